"""The leader's writes to the state service, their timing and the effects of a commit. No I/O.

The service's write limit is the scarcest resource of the controllers. Placement intents (the
write-ahead records of first starts) and the ends of jobs are written immediately, completions of
unfinished jobs every few seconds, and a machine block when its machines change.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from umberward.core.log import logger
from umberward.core.settings import StateLimits
from umberward.core.types import Instant, JobId, Key, MachineId, Version
from umberward.protocol import transactions, wire
from umberward.protocol.transactions import AbsentKey, VersionedValue
from umberward.protocol.wire import BLOCKS_PREFIX, LIVE_JOBS_PREFIX
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.dependencies import BlockedJobs
from umberward.scheduling.jobs import Job
from umberward.scheduling.machine_blocks import MachineBlocks
from umberward.scheduling.machines import Machine
from umberward.scheduling.state_transaction import (
    FinalRecordWrite,
    Transaction,
    TransactionBuilder,
)

__all__ = ["StateWriter", "Transaction"]

log = logger(__name__)

PROGRESS_WRITE_FRACTION = 0.2  # fraction of the write limit for completions of unfinished jobs
PROGRESS_WRITE_INTERVAL_S = 4.0  # minimum between two writes of one unfinished job's completions
MIN_PROGRESS_PAUSE_S = 0.25  # minimum between transactions with completions of unfinished jobs
INTENT_GROWTH_FACTOR = 2  # minimum ratio of a new bound of stored intents to the last one
END_TIME_DIGITS = 3  # stored wall-clock times are rounded to milliseconds


class _PendingJobs(NamedTuple):
    """Jobs whose records are to be written immediately."""

    ended: list[Job]
    with_intents: list[Job]  # by priority, the most urgent first


class StateWriter:
    """Chooses the leader's next transaction and applies its outcome to jobs and machines."""

    def __init__(
        self, cluster: ClusterState, blocked_jobs: BlockedJobs, limits: StateLimits, now: Instant
    ) -> None:
        """Take the strictest `limits` of the state service; `now` is monotonic time."""
        self.cluster = cluster
        self.blocked_jobs = blocked_jobs
        self.max_changes = limits.txn_ops  # in one transaction
        self.max_value_bytes = cluster.max_value_bytes  # largest stored value, in bytes
        self.progress_write_rate = PROGRESS_WRITE_FRACTION * limits.write_rps  # writes per second
        self.machine_blocks = MachineBlocks(cluster)
        self.jobs_with_progress: set[JobId] = set()  # unfinished, with completions to store
        self.jobs_to_write = cluster.jobs_to_write
        self.progress_not_before = now

    @property
    def machines_per_block(self) -> int:
        """The number of machines that a block can hold."""
        return self.machine_blocks.machines_per_block

    def note_completions(self, job: Job) -> None:
        """Queue the job's record for writing after a task of it has completed."""
        (self.jobs_to_write if job.has_end_to_write else self.jobs_with_progress).add(job.id)

    def load_block(self, number: int, version: Version, machines: list[Machine]) -> None:
        """Load a block that a new leader has read from the state service."""
        self.machine_blocks.load(number, version, machines)

    def assign_block(self, machine: Machine) -> None:
        """Choose the block in which a new machine will be stored."""
        self.machine_blocks.assign(machine)

    def remove_machine(self, machine: Machine) -> None:
        """Remove a machine that no longer exists from its block."""
        self.machine_blocks.remove(machine)

    # ---- choosing what to write --------------------------------------------------------

    def has_work(self, now: Instant) -> bool:
        """Return whether `next_transaction` may have something to write."""
        return bool(
            self.jobs_to_write
            or self.machine_blocks.changed
            or self.blocked_jobs.graph.cancelled_by
            or (self.jobs_with_progress and now >= self.progress_not_before)
        )

    def next_transaction(self, now: Instant) -> Transaction | None:
        """Return the most urgent writes that are due as one transaction; None: nothing is due."""
        builder = TransactionBuilder(self.max_changes)
        pending = self._pending_jobs()
        self._add_changed_blocks(builder)
        due = self._jobs_in_write_order(pending)
        if not due and builder.empty:
            due = self._jobs_with_progress_due(now)
            builder.priority = transactions.BACKGROUND
        for job in due:
            if not self._add_job(builder, job, now):
                break
        return builder.build()

    def _pending_jobs(self) -> _PendingJobs:
        """Return the jobs of `jobs_to_write` that still have something to write immediately.

        All others are removed from `jobs_to_write`.
        """
        pending = _PendingJobs([], [])
        for job_id in list(self.jobs_to_write):
            job = self.cluster.jobs.get(job_id)
            if job is None or job.record_unreadable:
                self.jobs_to_write.discard(job_id)
            elif job.has_end_to_write:
                pending.ended.append(job)
            elif job.unstored_intents:
                pending.with_intents.append(job)
            else:
                self.jobs_to_write.discard(job_id)
                if job.progress_unstored:
                    self.jobs_with_progress.add(job_id)
        pending.with_intents.sort(key=lambda job: job.priority)
        return pending

    def _add_changed_blocks(self, builder: TransactionBuilder) -> None:
        for number in self.machine_blocks.changed_blocks_in_write_order():
            if not builder.allows_changes(1):
                return
            record = self.machine_blocks.build_record(number)
            if wire.json_size(record) > self.max_value_bytes:
                self.machine_blocks.split(number)
                continue
            destinations_stored = (
                self.machine_blocks.destination_blocks(number) <= builder.block_numbers
            )
            version = self.machine_blocks.version(number)
            if destinations_stored and not builder.add_block(number, version, record):
                return

    def _jobs_in_write_order(self, pending: _PendingJobs) -> list[Job]:
        """Return the jobs whose records are to be written immediately, the most urgent first."""
        # A replica of a service should run immediately; the end of a job can be stored slightly
        # later.
        services = [job for job in pending.with_intents if job.service]
        others = [job for job in pending.with_intents if not job.service]
        # Every controller reports a job as cancelled as soon as a dependency is cancelled, so these
        # records can wait; but each transaction writes at least one of them.
        cancelled = self.blocked_jobs.jobs_to_cancel(self.max_changes)
        return services + pending.ended + cancelled[:1] + others + cancelled[1:]

    def _jobs_with_progress_due(self, now: Instant) -> list[Job]:
        """Return the unfinished jobs whose completions are to be stored now.

        Until they are stored, the workers keep the completed tasks in their heartbeats, so nothing
        is lost. These writes get a small share of the write limit: the more jobs have completions,
        the longer each waits.
        """
        if now < self.progress_not_before:
            return []
        due = []
        for job_id in list(self.jobs_with_progress):
            job = self.cluster.jobs.get(job_id)
            if job is None or not job.progress_unstored or job.record_unreadable:
                self.jobs_with_progress.discard(job_id)
            elif now - job.progress_stored_at > PROGRESS_WRITE_INTERVAL_S:
                due.append(job)
        due.sort(key=lambda job: job.progress_stored_at)
        due = due[: max(1, min(self.max_changes, int(self.progress_write_rate)))]
        pause_s = max(MIN_PROGRESS_PAUSE_S, len(due) / self.progress_write_rate)
        self.progress_not_before = Instant(now + pause_s)
        return due

    def _add_job(self, builder: TransactionBuilder, job: Job, now: Instant) -> bool:
        """Add the writes of one job; return False if the transaction is full."""
        final = self._final_record(job)
        if final is not None:
            return builder.add_final_record(job, final)
        record = job.build_record(_next_placed_below(job))
        if record is None:
            # The bitmap is too wide at present: retry after the usual interval.
            job.progress_stored_at = now
            return True
        if wire.json_size(record) > self.max_value_bytes:
            log.error("record_too_large", job=job.id)
            self._suspend_job(job)
            return True
        return builder.add_job_record(job, record, job.companion_writes())

    def _final_record(self, job: Job) -> wire.FinalJobRecord | None:
        """Return the record of how the job has ended; None: it has not ended."""
        graph = self.blocked_jobs.graph
        if job.id in graph.cancelled_by:
            return wire.FinalJobRecord(wire.CANCELLED, cancelled_by=graph.cancelled_by[job.id])
        if not job.complete or job.conditions:
            return None  # with conditions, the job ends together with the records that they name
        # The time of the end is needed only by dependents.
        ended_at = (
            round(self.cluster.wall_clock(), END_TIME_DIGITS)
            if job.id in graph.dependents
            else None
        )
        return wire.FinalJobRecord(wire.DONE, job.size, ended_at)

    def _suspend_job(self, job: Job) -> None:
        """Stop placing tasks of a job whose placement intents cannot be stored.

        Either its spec was accepted under wider limits and leaves no space in the record, or its
        stored record cannot be read. No task may start without an intent; the job stays pending
        until its user cancels it, and must not delay others.
        """
        job.retry_not_before = math.inf
        self.jobs_to_write.discard(job.id)
        for placement in list(job.placements.values()):
            if not placement.intent_stored:
                self.cluster.stop(placement, 0.0)

    # ---- after the commit --------------------------------------------------------------

    def transaction_committed(
        self, transaction: Transaction, version: Version, now: Instant
    ) -> list[FinalRecordWrite]:
        """Apply a commit; `version` is the new version of all keys that it wrote.

        Return the jobs that it has ended, with their final records.
        """
        for block in transaction.blocks:
            self.machine_blocks.set_version(block.number, version)
            self.machine_blocks.record_stored(
                block.number, {MachineId(name) for name in block.machines}
            )
        for job, record in transaction.job_records:
            if not job.ended:
                job.record_stored(record, version, now)
                self.send_stored_starts(job)
        self.cluster.scheduling_pass_needed = True
        return [final for final in transaction.final_records if not final.job.ended]

    def send_stored_starts(self, job: Job) -> None:
        """Queue the start commands of all placements whose intent is now stored."""
        for index, placement in list(job.placements.items()):
            if index < job.placed_below and not placement.intent_stored:
                placement.intent_stored = True
                job.unstored_intents -= 1
                if placement.stop_grace_s is None and placement.machine in self.cluster.machines:
                    self.cluster.queue_start(placement)

    # ---- after a conflict or an unknown outcome ----------------------------------------

    def reconcile_key(self, key: Key, found: VersionedValue | AbsentKey) -> list[JobId]:
        """Apply the value that the state service has under `key`, or that there is none.

        Return the jobs whose live record was deleted, or of which a condition no longer holds.
        """
        if key.startswith(BLOCKS_PREFIX):
            self._reconcile_block(int(key[len(BLOCKS_PREFIX) :]), found)
            return []
        if not key.startswith(LIVE_JOBS_PREFIX):
            return self._reconcile_graph_key(key, found)
        job_id = JobId(key[len(LIVE_JOBS_PREFIX) :])
        job = self.cluster.jobs.get(job_id) or self.blocked_jobs.jobs.get(job_id)
        if job is None:
            return []
        if isinstance(found, AbsentKey):
            return [job_id]
        self._adopt_stored_record(job, found)
        return []

    def _reconcile_block(self, number: int, found: VersionedValue | AbsentKey) -> None:
        if number not in self.machine_blocks:
            return
        if isinstance(found, AbsentKey):
            self.machine_blocks.set_version(number, Version(0))
            return
        record = wire.convert(found.data, wire.BlockRecord)
        self.machine_blocks.set_version(number, found.version)
        self.machine_blocks.record_stored(number, {MachineId(name) for name in record.machines})

    def _reconcile_graph_key(self, key: Key, found: VersionedValue | AbsentKey) -> list[JobId]:
        """Apply the value of a key of a graph's job arrays: a record or one of the conditions.

        Return the jobs of which a condition no longer holds.
        """
        jobs_to_remove = []
        for job in self.cluster.jobs.values():
            if job.record_key == key:
                if not isinstance(found, AbsentKey):
                    self._adopt_stored_record(job, found)
            elif any(
                key == condition_key and (isinstance(found, AbsentKey) or found.version != version)
                for condition_key, version in job.conditions
            ):
                jobs_to_remove.append(job.id)
        return jobs_to_remove

    def _adopt_stored_record(self, job: Job, found: VersionedValue) -> None:
        """Replace what is known of the job's stored record by its record in the state service."""
        try:
            job.replace_stored_record(job.parse_record(found.data), found.version)
        except (wire.MalformedMessageError, ValueError) as error:
            # The leader must not overwrite a record that it cannot read, whoever wrote it, and the
            # writes of other jobs must not fail together with those of this one.
            log.error("record_malformed", job=job.id, error=error)  # noqa: TRY400 - no traceback
            job.record_unreadable = True
            self._suspend_job(job)
            return
        self.send_stored_starts(job)


def _next_placed_below(job: Job) -> int:
    """Return the bound to store, below which tasks may be placed once it is committed.

    Most jobs place many tasks at the same time, so storing intents ahead of placements keeps the
    number of writes of an array small.
    """
    bound = max([job.placed_below, *(index + 1 for index in job.placements)])
    if bound > job.placed_below:
        bound = min(job.size, max(bound, INTENT_GROWTH_FACTOR * job.placed_below))
    return bound
