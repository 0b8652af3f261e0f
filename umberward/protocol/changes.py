"""What is read from and written to the state service, as its transactions have it."""

from __future__ import annotations

from typing import Any

import msgspec

from umberward.core.types import Key, LeaseId, Stamp
from umberward.protocol import wire

URGENT, COMMON, LAZY = 0, 1, 2  # priorities under the limits


class Got(msgspec.Struct):
    """What stands under a key, and the version of it."""

    data: Any
    stamp: Stamp


def put(key: Key, data: Any, lease: LeaseId | None = None) -> dict[str, Any]:
    """With a lease, the key is deleted when the lease ends."""
    made: dict[str, Any] = {"write": key, "data": wire.builtins(data)}
    if lease is not None:
        made["charter"] = lease
    return made


def delete(key: Key) -> dict[str, Any]:
    return {"delete": key}
