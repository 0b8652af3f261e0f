"""Messages of the state service (PROTOCOL, "Controller nodes -> state service").

The table of wire words is in `umberward.protocol.wire`.
"""

from __future__ import annotations

from typing import Any

import msgspec


class KeyValue(msgspec.Struct, rename={"key": "path", "version": "stamp", "lease_id": "charter"}):
    """A key in the state service; `version`: the revision at which it was written last.

    `lease_id`: the lease whose end deletes the key; None: it has none.
    """

    key: str
    data: Any
    version: int
    lease_id: int | None = None


class KeyValuePage(msgspec.Struct, rename={"revision": "generation"}):
    """A part of the keys under a prefix, at a revision; `more`: others follow the last one."""

    entries: list[KeyValue]
    revision: int
    more: bool = False


class KeyChange(
    msgspec.Struct, rename={"put_key": "write", "deleted_key": "delete", "version": "stamp"}
):
    """A change in the state service: a key was put, with its new version, or deleted."""

    put_key: str | None = None
    deleted_key: str | None = None
    data: Any = None
    version: int = 0


class WatchResponse(msgspec.Struct, rename={"revision": "generation", "changes": "news"}):
    """The state service's response to GET /watch: the changes up to a revision."""

    revision: int
    changes: list[KeyChange]


class CommitResponse(msgspec.Struct, rename={"revision": "generation"}):
    """The state service's response to POST /commit: the revision of the changes."""

    revision: int


class LeaseResponse(msgspec.Struct, rename={"lease_id": "charter"}):
    """The state service's response to POST /leases."""

    lease_id: int
