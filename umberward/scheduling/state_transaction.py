"""Compare-and-swap transactions of the leader for the state service. No I/O.

A `TransactionBuilder` collects changes within the service's limits; the resulting `Transaction`
also contains what the leader records in memory once it is committed.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from umberward.core.types import Key, Version
from umberward.protocol import transactions, wire
from umberward.protocol.wire import BLOCKS_PREFIX, FINAL_JOBS_PREFIX
from umberward.scheduling.jobs import Job
from umberward.scheduling.stored_progress import StoredProgressRecord

# Below the service's limit of 64 KiB per request. Only the last write of each addition is counted:
# neither a final record nor, if it has companions, a live record is.
MAX_COUNTED_BYTES = 48 * 1024
FINAL_RECORD_CHANGES = 2  # the final record is put and the live record is deleted


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
    """Collects the changes of one transaction, at most `max_changes` of them."""

    def __init__(self, max_changes: int) -> None:
        """Start without changes and with the priority URGENT."""
        self.priority = transactions.URGENT
        self._max_changes = max_changes
        self._counted_bytes = 0
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

    def has_room(self, change_count: int) -> bool:
        """Return whether more changes stay within the limits on changes and on size."""
        return self.allows_changes(change_count) and self._counted_bytes <= MAX_COUNTED_BYTES

    def add_block(self, number: int, version: Version, record: wire.BlockRecord) -> None:
        """Write a machine block if its stored version is still `version`."""
        key = Key(f"{BLOCKS_PREFIX}{number}")
        self._conditions.append((key, version))
        self._writes.append(transactions.put(key, record))
        self._blocks.append(BlockWrite(number, record.machines))
        self._count_last_write()

    def add_final_record(self, job: Job, record: wire.FinalJobRecord) -> None:
        """Replace the live record of an ended job with its final record."""
        self._writes.append(transactions.put(Key(FINAL_JOBS_PREFIX + job.id), record))
        self._writes.append(transactions.delete(job.record_key))
        self._final_records.append(FinalRecordWrite(job, record))
        self._conditions.append((job.record_key, job.version))
        self._count_last_write()

    def add_job_record(
        self, job: Job, record: StoredProgressRecord, companions: list[dict[str, Any]]
    ) -> None:
        """Write a live job's record together with its `companions` (Job.companion_writes)."""
        self._writes.append(transactions.put(job.record_key, record))
        self._writes.extend(companions)
        self._job_records.append(JobRecordWrite(job, record))
        for condition in job.conditions:
            if condition not in self._conditions:
                self._conditions.append(condition)
        self._conditions.append((job.record_key, job.version))
        self._count_last_write()

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

    def _count_last_write(self) -> None:
        self._counted_bytes += wire.json_size(self._writes[-1])
