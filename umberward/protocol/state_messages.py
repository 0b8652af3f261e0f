"""Messages of the state service (PROTOCOL, "Controller nodes -> state service").

The table of wire names is in `umberward.protocol.wire`. The names in requests are in
`umberward.clients.state_client`.
"""

from __future__ import annotations

from typing import Any

import msgspec


class KeyValue(msgspec.Struct, rename={"key": "path", "version": "stamp", "lease_id": "charter"}):
    """A key in the state service and its value.

    `version` is the revision of the last write. `lease_id` is the lease whose end deletes the key,
    or None.
    """

    key: str
    data: Any
    version: int
    lease_id: int | None = None


class KeyValuePage(msgspec.Struct, rename={"revision": "generation"}):
    """A page of the keys under a prefix at a revision; `more` is true if further keys follow."""

    entries: list[KeyValue]
    revision: int
    more: bool = False


class KeyChange(
    msgspec.Struct, rename={"put_key": "write", "deleted_key": "delete", "version": "stamp"}
):
    """A change in the state service: a key was written, with a new version, or deleted."""

    put_key: str | None = None
    deleted_key: str | None = None
    data: Any = None
    version: int = 0


class WatchResponse(msgspec.Struct, rename={"revision": "generation", "changes": "news"}):
    """The state service's response to GET /watch: the changes up to `revision`."""

    revision: int
    changes: list[KeyChange]


class AbsenceResponse(msgspec.Struct, rename={"revision": "generation"}):
    """The state service's response to GET /kv/KEY if there is no such key at `revision`."""

    revision: int


class CommitResponse(msgspec.Struct, rename={"revision": "generation"}):
    """The state service's response to POST /commit: the revision of the transaction."""

    revision: int


class LeaseResponse(msgspec.Struct, rename={"lease_id": "charter"}):
    """The state service's response to POST /leases."""

    lease_id: int
