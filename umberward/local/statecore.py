"""The state service's semantics, without I/O: the loopback cluster and the tests play with it.

By PROTOCOL, "Controller nodes -> state service": conditions, leases, watches that may come too
late, limits of size and rate with bursts of one second.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Any

from umberward.core.types import Version
from umberward.protocol import wire
from umberward.protocol.transactions import VersionedValue

KEPT_CHANGES = 10_000
TXN_BYTES = 64 * 1024
CONDITIONS_FOR_EACH = 4  # times the limit of changes
MOST_ENTRIES = 1000
MOST_ENTRY_BYTES = 512 * 1024
LONGEST_KEY = 200


class CompareFailedError(Exception):
    """These conditions do not hold."""

    def __init__(self, keys: list[str]) -> None:
        super().__init__(", ".join(keys))
        self.keys = keys


class InvalidRequestError(Exception):
    """Malformed, too large, or its lease is over: 400 with this reason."""


class RevisionCompactedError(Exception):
    """The changes asked for are kept no longer."""


class Rate:
    """So many a second, with bursts of so many seconds' worth."""

    def __init__(self, rate: float, now: float, burst_s: float = 1.0) -> None:
        self.rate = rate
        self.most = self.tokens = rate * burst_s
        self.at = now

    def take(self, count: int, now: float) -> bool:
        self.tokens = min(self.most, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


class StateCore:
    def __init__(self, value_bytes: int = 4096, txn_ops: int = 8) -> None:
        self.value_bytes = value_bytes
        self.txn_ops = txn_ops
        self.revision = 0
        self.keys: dict[str, VersionedValue] = {}
        self.attached: dict[str, int] = {}  # key -> its lease
        self.leases: dict[int, tuple[float, float]] = {}  # lease -> (length, when it ends), seconds
        self.granted = 0
        self.changes: deque[wire.KeyChange] = deque(maxlen=KEPT_CHANGES)
        self.written = 0  # puts and deletes
        self.bytes = 0  # of the values put

    def commit(self, conditions: Iterable[tuple[str, int]], writes: list[dict[str, Any]]) -> int:
        """The revision of the transaction. Raises Failed or Refused; then nothing has changed."""
        conditions = list(conditions)
        self._check(conditions, writes)
        failed = [key for key, stamp in conditions if self._stamp(key) != stamp]
        if failed:
            raise CompareFailedError(failed)
        if writes:
            self.revision += 1
            self.written += len(writes)
        for write in writes:
            if "delete" in write:
                self._delete(write["delete"])
            else:
                self._put(write["write"], write.get("data"), write.get("charter"))
        return self.revision

    def _check(self, conditions: list[tuple[str, int]], writes: list[dict[str, Any]]) -> None:
        sizes = [wire.json_size(write.get("data")) for write in writes if "write" in write]
        if len(writes) > self.txn_ops or any(size > self.value_bytes for size in sizes):
            raise InvalidRequestError(f"{len(writes)} changes, values of {sizes} bytes")
        if len(conditions) > CONDITIONS_FOR_EACH * self.txn_ops:
            raise InvalidRequestError(f"{len(conditions)} conditions")
        if sum(sizes) > TXN_BYTES:
            raise InvalidRequestError(f"{sum(sizes)} bytes together")
        for write in writes:
            key = write.get("write", write.get("delete"))
            if not isinstance(key, str) or not 0 < len(key.encode()) <= LONGEST_KEY or " " in key:
                raise InvalidRequestError(f"not a key: {key!r}")
            lease = write.get("charter")
            if lease is not None and lease not in self.leases:
                raise InvalidRequestError("no such lease")

    def _stamp(self, key: str) -> int:
        found = self.keys.get(key)
        return found.version if found is not None else 0

    def _put(self, key: str, data: Any, lease: int | None) -> None:
        self.bytes += wire.json_size(data)
        self.keys[key] = VersionedValue(data, Version(self.revision))
        self.attached.pop(key, None)
        if lease is not None:
            self.attached[key] = lease
        self.changes.append(wire.KeyChange(key, None, data, self.revision))

    def _delete(self, key: str) -> None:
        if self.keys.pop(key, None) is not None:
            self.attached.pop(key, None)
            self.changes.append(wire.KeyChange(deleted_key=key, version=self.revision))

    def entries(self, prefix: str, start: str = "", most: int = MOST_ENTRIES) -> wire.KeyValuePage:
        """Entries after `start` in the order of their keys, as many as one answer holds."""
        found: list[wire.KeyValue] = []
        size = 0
        for key in sorted(key for key in self.keys if key.startswith(prefix) and key > start):
            got = self.keys[key]
            size += wire.json_size(got.data)
            if len(found) >= min(most, MOST_ENTRIES) or (found and size > MOST_ENTRY_BYTES):
                return wire.KeyValuePage(found, self.revision, True)
            found.append(wire.KeyValue(key, got.data, got.version, self.attached.get(key)))
        return wire.KeyValuePage(found, self.revision)

    def news(self, prefix: str, after: int) -> list[wire.KeyChange]:
        """Changes of keys with the prefix after that revision. Raises TooOld."""
        if len(self.changes) == KEPT_CHANGES and self.changes[0].version > after + 1:
            raise RevisionCompactedError
        found = []
        for change in reversed(self.changes):
            if change.version <= after:
                break
            if (change.put_key or change.deleted_key or "").startswith(prefix):
                found.append(change)
        return found[::-1]

    # ---- leases --------------------------------------------------------------------------

    def grant(self, seconds: float, now: float) -> int:
        self.granted += 1
        self.leases[self.granted] = (seconds, now + seconds)
        return self.granted

    def extend(self, lease: int, now: float) -> bool:
        """False: there is no such lease (any more)."""
        if lease not in self.leases:
            return False
        self.leases[lease] = (self.leases[lease][0], now + self.leases[lease][0])
        return True

    def end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        gone = [key for key, held in self.attached.items() if held == lease]
        if gone:
            self.revision += 1
            for key in gone:
                self._delete(key)

    def tick(self, now: float) -> None:
        """Leases that were not renewed in time end."""
        for lease, (_, ends) in list(self.leases.items()):
            if ends <= now:
                self.end_lease(lease)

    def recovered(self, now: float) -> None:
        """After an outage every lease has its full time again."""
        for lease in self.leases:
            self.extend(lease, now)
