"""Compare-and-swap transactions of the leader for the state service. No I/O.

A `TransactionBuilder` collects changes within the service's limits; the resulting `Transaction`
also contains what the leader records in memory once it is committed.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from umberward.core.types import Key, Version
from umberward.protocol import transactions, wire
from umberward.protocol.constants import MAX_BODY_BYTES
from umberward.protocol.wire import BLOCKS_PREFIX, FINAL_JOBS_PREFIX
from umberward.scheduling.jobs import Job
from umberward.scheduling.stored_progress import StoredProgressRecord

# What a transaction can spend on the builder's writes and conditions, in JSON form. The rest is for
# the frame and the condition that the sender leads.
MAX_CHANGES_BYTES = MAX_BODY_BYTES - 512


class BlockWrite(NamedTuple):
    """A machine block that a transaction writes: id -> (address, type, zone, spot)."""

    number: int
    machines: dict[str, tuple[str, str, str, bool]]


class JobRecordWrite(NamedTuple):
    """A live job's record that a transaction writes."""

    job: Job
    record: StoredProgressRecord


class FinalRecordWrite(NamedTuple):
    """The final record by which a transaction replaces a job's live record."""

    job: Job
    record: wire.FinalJobRecord


class Transaction(NamedTuple):
    """A transaction and what to record in memory when it is committed.

    `priority` is one of the priorities of `umberward.protocol.transactions`.
    """

    conditions: list[tuple[Key, Version]]
    writes: list[dict[str, Any]]
    priority: transactions.RequestPriority
    job_records: list[JobRecordWrite]
    final_records: list[FinalRecordWrite]
    blocks: list[BlockWrite]


class TransactionBuilder:
    """Collects the changes of one transaction within the limits on their number and size.

    Each `add` method adds all changes of one record or none, and returns whether it added them. An
    empty builder accepts changes of any size, as no other transaction would have more room.
    """

    def __init__(self, max_changes: int) -> None:
        """Start without changes and with the priority URGENT."""
        self.priority = transactions.URGENT
        self._max_changes = max_changes
        self._size_bytes = 0
        self._conditions: list[tuple[Key, Version]] = []
        self._writes: list[dict[str, Any]] = []
        self._job_records: list[JobRecordWrite] = []
        self._final_records: list[FinalRecordWrite] = []
        self._blocks: list[BlockWrite] = []

    @property
    def empty(self) -> bool:
        """Whether the transaction has no changes yet."""
        return not self._writes

    @property
    def block_numbers(self) -> set[int]:
        """The numbers of the blocks that this transaction writes."""
        return {block.number for block in self._blocks}

    def allows_changes(self, change_count: int) -> bool:
        """Return whether `change_count` more changes stay within the limit on changes."""
        return len(self._writes) + change_count <= self._max_changes

    def add_block(self, number: int, version: Version, record: wire.BlockRecord) -> bool:
        """Write a machine block if its stored version is still `version`."""
        key = Key(f"{BLOCKS_PREFIX}{number}")
        if not self._add([transactions.put(key, record)], [(key, version)]):
            return False
        self._blocks.append(BlockWrite(number, record.machines))
        return True

    def add_final_record(self, job: Job, record: wire.FinalJobRecord) -> bool:
        """Replace the live record of an ended job with its final record."""
        writes = [
            transactions.put(Key(FINAL_JOBS_PREFIX + job.id), record),
            transactions.delete(job.record_key),
        ]
        if not self._add(writes, [(job.record_key, job.version)]):
            return False
        self._final_records.append(FinalRecordWrite(job, record))
        return True

    def add_job_record(
        self, job: Job, record: StoredProgressRecord, companions: list[dict[str, Any]]
    ) -> bool:
        """Write a live job's record together with its `companions` (Job.companion_writes)."""
        writes = [transactions.put(job.record_key, record), *companions]
        if not self._add(writes, [*job.conditions, (job.record_key, job.version)]):
            return False
        self._job_records.append(JobRecordWrite(job, record))
        return True

    def _add(self, writes: list[dict[str, Any]], conditions: list[tuple[Key, Version]]) -> bool:
        """Add changes and the conditions that are not there yet, if there is room for all."""
        conditions = [condition for condition in conditions if condition not in self._conditions]
        size_bytes = sum(wire.json_size(write) + 1 for write in writes) + sum(
            wire.json_size({"path": key, "stamp": version}) + 1 for key, version in conditions
        )
        if not self.allows_changes(len(writes)):
            return False
        if self._size_bytes + size_bytes > MAX_CHANGES_BYTES and not self.empty:
            return False
        self._writes += writes
        self._conditions += conditions
        self._size_bytes += size_bytes
        return True

    def build(self) -> Transaction | None:
        """Return the transaction; None if it would change nothing."""
        if self.empty:
            return None
        return Transaction(
            self._conditions,
            self._writes,
            self.priority,
            self._job_records,
            self._final_records,
            self._blocks,
        )
