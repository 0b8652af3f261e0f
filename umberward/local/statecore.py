"""A model of the state service, without I/O, for the local cluster and the tests.

Source: PROTOCOL, "Controller nodes -> state service": conditional transactions, leases, a bounded
history of changes for watches, size limits, and rate limits with bursts of one second.

Times are seconds of the caller's monotonic clock; this module never reads a clock itself.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple, cast

from umberward.core.types import Version
from umberward.local.errors import SimulatedServiceError
from umberward.protocol import wire
from umberward.protocol.transactions import VersionedValue

MAX_RETAINED_CHANGES = 10_000
MAX_TRANSACTION_BYTES = 64 * 1024
MAX_CONDITIONS_PER_WRITE = 4  # ratio of the limit of conditions to the limit of writes
MAX_PAGE_ENTRIES = 1000
MAX_PAGE_BYTES = 512 * 1024
MAX_KEY_BYTES = 200


class CompareFailedError(SimulatedServiceError):
    """Some conditions of a transaction are not met; `keys`: the keys of those conditions."""

    def __init__(self, keys: list[str]) -> None:
        """`keys`: in the order of the conditions."""
        super().__init__(", ".join(keys))
        self.keys = keys


class InvalidRequestError(SimulatedServiceError):
    """A transaction is malformed or too large, or its lease has ended (status 400)."""


class WritesTooLargeError(InvalidRequestError):
    """A transaction has too many writes, or one value is too large."""

    def __init__(self, write_count: int, value_sizes: list[int]) -> None:
        """`value_sizes`: sizes of the written values in bytes."""
        super().__init__(f"{write_count} changes, values of {value_sizes} bytes")


class TooManyConditionsError(InvalidRequestError):
    """A transaction has too many conditions."""

    def __init__(self, condition_count: int) -> None:
        """`condition_count`: the number of conditions of the transaction."""
        super().__init__(f"{condition_count} conditions")


class TransactionTooLargeError(InvalidRequestError):
    """The written values of a transaction are too large in total."""

    def __init__(self, size_bytes: int) -> None:
        """`size_bytes`: the size of the whole transaction."""
        super().__init__(f"{size_bytes} bytes together")


class InvalidKeyError(InvalidRequestError):
    """A write has an invalid key."""

    def __init__(self, key: object) -> None:
        """`key`: the invalid key, of any type."""
        super().__init__(f"not a key: {key!r}")


class UnknownLeaseError(InvalidRequestError):
    """A write refers to a lease that does not exist or has ended."""

    def __init__(self) -> None:
        """The text does not name the lease: the service's text doesn't either."""
        super().__init__("no such lease")


class RevisionCompactedError(SimulatedServiceError):
    """Some changes after the requested revision are no longer retained."""


class TokenBucket:
    """A token bucket that limits a rate and allows bursts."""

    def __init__(self, rate: float, now: float, burst_s: float = 1.0) -> None:
        """Start with a full bucket. `rate`: tokens per second; `burst_s`: time to fill it."""
        self.rate = rate
        self.capacity = self.tokens = rate * burst_s
        self.refilled_at = now

    def take(self, count: int, now: float) -> bool:
        """Take `count` tokens; False, without taking any, if there are fewer."""
        self.tokens = min(self.capacity, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


class Lease(NamedTuple):
    """A lease; each renewal extends it for its original duration."""

    duration_s: float
    expires_at: float


class StateCore:
    """The state service's keys, changes and leases."""

    def __init__(self, value_bytes: int = 4096, txn_ops: int = 8) -> None:
        """`value_bytes`: maximum size of a value; `txn_ops`: maximum writes per transaction."""
        self.value_bytes = value_bytes
        self.txn_ops = txn_ops
        self.revision = 0
        self.keys: dict[str, VersionedValue] = {}
        self.lease_by_key: dict[str, int] = {}  # key -> id of the lease that it is attached to
        self.leases: dict[int, Lease] = {}
        self.lease_count = 0  # leases granted so far, which is also the id of the last one
        self.changes: deque[wire.KeyChange] = deque(maxlen=MAX_RETAINED_CHANGES)
        self.write_count = 0  # number of puts and deletes so far
        self.written_bytes = 0  # total size of the values put so far

    # ---- transactions ----------------------------------------------------------------------

    def commit(self, conditions: Iterable[tuple[str, int]], writes: list[dict[str, object]]) -> int:
        """Execute a transaction atomically; returns the revision after it.

        `conditions`: pairs of a key and the version that it must have, 0 for an absent key.
        `writes`: as on the wire, maps with `write` and `data` (and `charter`), or with `delete`.
        Raises CompareFailedError or InvalidRequestError.
        """
        conditions = list(conditions)
        self._validate(conditions, writes)
        failed_keys = [key for key, version in conditions if self._version(key) != version]
        if failed_keys:
            raise CompareFailedError(failed_keys)
        if writes:
            self.revision += 1
            self.write_count += len(writes)
        for write in writes:
            if "delete" in write:
                self._delete(str(write["delete"]))
            else:
                lease_id = cast("int | None", write.get("charter"))  # validated to exist
                self._put(str(write["write"]), write.get("data"), lease_id)
        return self.revision

    def _validate(self, conditions: list[tuple[str, int]], writes: list[dict[str, object]]) -> None:
        """Raise InvalidRequestError if the transaction is malformed or exceeds a limit."""
        value_sizes = [wire.json_size(write.get("data")) for write in writes if "write" in write]
        if len(writes) > self.txn_ops or any(size > self.value_bytes for size in value_sizes):
            raise WritesTooLargeError(len(writes), value_sizes)
        if len(conditions) > MAX_CONDITIONS_PER_WRITE * self.txn_ops:
            raise TooManyConditionsError(len(conditions))
        body_bytes = wire.json_size(
            {
                "if": [{"path": key, "stamp": version} for key, version in conditions],
                "writes": writes,
            }
        )
        if body_bytes > MAX_TRANSACTION_BYTES:
            raise TransactionTooLargeError(body_bytes)
        for write in writes:
            key = write.get("write", write.get("delete"))
            if not _is_valid_key(key):
                raise InvalidKeyError(key)
            lease_id = write.get("charter")
            if lease_id is not None and lease_id not in self.leases:
                raise UnknownLeaseError

    def _version(self, key: str) -> int:
        """The revision that last wrote the key, or 0 if there is no such key."""
        stored = self.keys.get(key)
        return stored.version if stored is not None else 0

    def _put(self, key: str, data: object, lease_id: int | None) -> None:
        """Store a value; without a lease, the key is detached from its previous one."""
        self.written_bytes += wire.json_size(data)
        self.keys[key] = VersionedValue(data, Version(self.revision))
        self.lease_by_key.pop(key, None)
        if lease_id is not None:
            self.lease_by_key[key] = lease_id
        self.changes.append(wire.KeyChange(key, None, data, self.revision))

    def _delete(self, key: str) -> None:
        if self.keys.pop(key, None) is not None:
            self.lease_by_key.pop(key, None)
            self.changes.append(wire.KeyChange(deleted_key=key, version=self.revision))

    # ---- reads -----------------------------------------------------------------------------

    def entries(
        self, prefix: str, start: str = "", most: int = MAX_PAGE_ENTRIES
    ) -> wire.KeyValuePage:
        """A page of the keys with the prefix that come after `start`, sorted by key.

        It has up to `most` entries, at least one if any is left, and tells whether more follow.
        """
        page: list[wire.KeyValue] = []
        size_bytes = 0
        for key in sorted(key for key in self.keys if key.startswith(prefix) and key > start):
            stored = self.keys[key]
            size_bytes += wire.json_size(stored.data)
            if len(page) >= min(most, MAX_PAGE_ENTRIES) or (page and size_bytes > MAX_PAGE_BYTES):
                return wire.KeyValuePage(page, self.revision, more=True)
            page.append(wire.KeyValue(key, stored.data, stored.version, self.lease_by_key.get(key)))
        return wire.KeyValuePage(page, self.revision)

    def changes_after(self, prefix: str, after: int) -> list[wire.KeyChange]:
        """The changes after revision `after` of keys with the prefix, oldest first.

        Raises RevisionCompactedError if some of them may no longer be retained.
        """
        if len(self.changes) == MAX_RETAINED_CHANGES and self.changes[0].version > after + 1:
            raise RevisionCompactedError
        newest_first = []
        for change in reversed(self.changes):
            if change.version <= after:
                break
            if (change.put_key or change.deleted_key or "").startswith(prefix):
                newest_first.append(change)
        return newest_first[::-1]

    # ---- leases ----------------------------------------------------------------------------

    def grant(self, seconds: float, now: float) -> int:
        """Grant a lease for the duration; returns its id."""
        self.lease_count += 1
        self.leases[self.lease_count] = Lease(seconds, now + seconds)
        return self.lease_count

    def extend(self, lease_id: int, now: float) -> bool:
        """Renew a lease for its full duration; False if it does not exist or has ended."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return False
        self.leases[lease_id] = Lease(lease.duration_s, now + lease.duration_s)
        return True

    def end_lease(self, lease_id: int) -> None:
        """End a lease and delete the keys attached to it, in one revision."""
        self.leases.pop(lease_id, None)
        attached_keys = [
            key for key, attached_to in self.lease_by_key.items() if attached_to == lease_id
        ]
        if attached_keys:
            self.revision += 1
            for key in attached_keys:
                self._delete(key)

    def tick(self, now: float) -> None:
        """End the leases that have expired."""
        for lease_id, lease in list(self.leases.items()):
            if lease.expires_at <= now:
                self.end_lease(lease_id)

    def renew_all_leases(self, now: float) -> None:
        """Renew every lease for its full duration, as the service does after an outage."""
        for lease_id in self.leases:
            self.extend(lease_id, now)


def _is_valid_key(key: object) -> bool:
    return isinstance(key, str) and 0 < len(key.encode()) <= MAX_KEY_BYTES and " " not in key
