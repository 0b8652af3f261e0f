"""What is read from and written to the state service, as its transactions have it."""

from __future__ import annotations

from typing import Any

import msgspec

from umberward.core.types import Key, LeaseId, Version
from umberward.protocol import wire

URGENT, NORMAL, BACKGROUND = 0, 1, 2  # priorities under the limits


class VersionedValue(msgspec.Struct, rename={"version": "stamp"}):
    """What stands under a key, and the version of it."""

    data: Any
    version: Version


def put(key: Key, data: Any, lease: LeaseId | None = None) -> dict[str, Any]:
    """With a lease, the key is deleted when the lease ends."""
    made: dict[str, Any] = {"write": key, "data": wire.to_builtins(data)}
    if lease is not None:
        made["charter"] = lease
    return made


def delete(key: Key) -> dict[str, Any]:
    return {"delete": key}
