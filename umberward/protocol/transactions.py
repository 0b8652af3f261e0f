"""Versioned values, the priorities of requests, and the writes of transactions.

The wire names of a write: `write` (the key to put), `data`, `charter` (the lease) and `delete`.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any

import msgspec

from umberward.core.types import Key, LeaseId, Revision, Version
from umberward.protocol import wire


class RequestPriority(enum.IntEnum):
    """The priority of a request to a rate-limited service.

    A request of a lower value may use more of the rate budget (`RateBudget`).
    """

    URGENT = 0
    NORMAL = 1
    BACKGROUND = 2


URGENT, NORMAL, BACKGROUND = (
    RequestPriority.URGENT,
    RequestPriority.NORMAL,
    RequestPriority.BACKGROUND,
)


class VersionedValue(msgspec.Struct, rename={"version": "stamp"}):
    """The decoded value of a key and the version of its last write."""

    data: Any
    version: Version


@dataclass(frozen=True, slots=True)
class AbsentKey:
    """The state service's answer that there is no such key, as of a revision."""

    key: Key
    revision: Revision


def put(key: Key, data: object, lease: LeaseId | None = None) -> dict[str, Any]:
    """A write that stores `data` under `key`; the key is deleted when its `lease` ends."""
    write: dict[str, Any] = {"write": key, "data": wire.to_builtins(data)}
    if lease is not None:
        write["charter"] = lease
    return write


def delete(key: Key) -> dict[str, Any]:
    """A write that deletes `key`."""
    return {"delete": key}
