"""What is written to the state service, when, and what follows when it is committed. No I/O.

Writes are the scarcest thing: marks before first starts and the ends of jobs are due at once,
completions of unfinished jobs now and then, and a block when its machines change.
"""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from umberward.core.log import logger
from umberward.core.settings import StateLimits
from umberward.core.types import Instant, JobId, Key, MachineId, Version
from umberward.protocol import transactions, wire
from umberward.protocol.wire import BLOCKS_PREFIX, FINAL_JOBS_PREFIX, LIVE_JOBS_PREFIX
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.dependencies import WaitingJobs
from umberward.scheduling.jobs import Job
from umberward.scheduling.machines import Machine

log = logger(__name__)

PROGRESS_WRITE_SHARE = 0.2  # of all writes, for the completions of unfinished jobs
PROGRESS_WRITE_INTERVAL_S = 4.0  # how often the completions of an unfinished job are written


class Transaction(NamedTuple):
    """One transaction, and what to note when it is committed."""

    conditions: list[tuple[Key, Version]]
    writes: list[dict[str, Any]]
    priority: int
    job_records: list[tuple[Job, Any]]  # as they will be stored
    final_records: list[tuple[Job, wire.FinalJobRecord]]
    blocks: list[tuple[int, dict[str, tuple[str, str, str, bool]]]]


class StateWriter:
    def __init__(
        self, cluster: ClusterState, pipelines: WaitingJobs, limits: StateLimits, now: Instant
    ) -> None:
        self.cluster = cluster
        self.waiting_jobs = pipelines
        self.max_changes = limits.txn_ops  # changes in one transaction
        self.value_limit = cluster.value_limit
        self.progress_write_rate = PROGRESS_WRITE_SHARE * limits.write_rps
        self.blocks: dict[int, tuple[Version, set[MachineId]]] = {}
        self.block_size = max(4, min(32, cluster.value_limit // 120))
        self.dirty_blocks: set[int] = set()
        self.machines_moving_out: dict[
            int, set[MachineId]
        ] = {}  # block -> machines that move to others
        self.pending_blocks: dict[MachineId, int] = {}
        self.jobs_with_progress: set[JobId] = set()  # jobs with completions to write by and by
        self.jobs_to_write = cluster.jobs_to_write
        self.progress_not_before = now

    def note_completions(self, job: Job) -> None:
        (self.jobs_to_write if job.end_unwritten else self.jobs_with_progress).add(job.id)

    def remove_machine(self, machine: Machine) -> None:
        """The machine is gone."""
        if machine.block is not None:
            self.dirty_blocks.add(machine.block)
            self.blocks[machine.block][1].discard(machine.id)
        pending = self.pending_blocks.pop(machine.id, None)
        if pending is not None:
            # Else it would be looked for there after each write, for ever.
            self.dirty_blocks.add(pending)
            self.blocks[pending][1].discard(machine.id)

    # ---- writing -----------------------------------------------------------------------

    def has_work(self, now: Instant) -> bool:
        return bool(
            self.jobs_to_write
            or self.dirty_blocks
            or self.waiting_jobs.graph.cancelled_by
            or (self.jobs_with_progress and now >= self.progress_not_before)
        )

    def next_transaction(self, now: Instant) -> Transaction | None:
        """The most urgent writes that are due, as one transaction."""
        most = self.max_changes
        batch = Transaction([], [], transactions.URGENT, [], [], [])
        size = 0
        finals: list[Job] = []
        marks: list[Job] = []
        for id in list(self.jobs_to_write):
            job = self.cluster.jobs.get(id)
            if job is not None and job.record_unreadable:
                self.jobs_to_write.discard(id)
            elif job is not None and job.end_unwritten:
                finals.append(job)
            elif job is not None and job.unstored_intents:
                marks.append(job)
            else:
                self.jobs_to_write.discard(id)
                if job is not None and job.progress_unstored:
                    self.jobs_with_progress.add(id)
        marks.sort(key=lambda job: job.priority)
        # A block that machines leave comes after those that they move to, or with them.
        for number in sorted(self.dirty_blocks, key=lambda n: (n in self.machines_moving_out, n)):
            if len(batch.writes) + 1 > most:
                break
            hosts = self._machines_of_block(number)
            if wire.json_size(wire.BlockRecord(hosts)) > self.value_limit:
                self._split_block(number)
                continue
            targets = {
                self.pending_blocks[id]
                for id in self.machines_moving_out.get(number, ())
                if id in self.pending_blocks
            }
            if not targets.issubset(written for written, _ in batch.blocks):
                continue
            stamp, _ = self.blocks[number]
            key = Key(f"{BLOCKS_PREFIX}{number}")
            batch.conditions.append((key, stamp))
            batch.writes.append(transactions.put(key, wire.BlockRecord(hosts)))
            batch.blocks.append((number, hosts))
            size += wire.json_size(batch.writes[-1])
        # A replica should run at once; a job's end may be told a little later.
        at_once = [job for job in marks if job.service]
        later = [job for job in marks if not job.service]
        # All controllers call a job cancelled as soon as one before it is, so its record may wait;
        # but something is always done about it.
        dooms = self.waiting_jobs.jobs_to_cancel(most)
        due = at_once + finals + dooms[:1] + later + dooms[1:]
        if not due and not batch.writes:
            due = self._jobs_with_progress_due(now)
            batch = batch._replace(priority=transactions.BACKGROUND)
        for job in due:
            final = self._final_record(job)
            together = [] if final is not None else job.companion_writes()
            ops = 2 if final is not None else 1 + len(together)
            if len(batch.writes) + ops > most or size > 48 * 1024:
                break
            key = job.record_key
            if final is not None:
                batch.writes.append(transactions.put(Key(FINAL_JOBS_PREFIX + job.id), final))
                batch.writes.append(transactions.delete(key))
                batch.final_records.append((job, final))
            else:
                marked = max([job.placed_below, *(index + 1 for index in job.placements)])
                if marked > job.placed_below:
                    # Few jobs grow task by task: mark ahead, so that an array costs few writes.
                    marked = min(job.size, max(marked, 2 * job.placed_below))
                record = job.build_record(marked)
                if record is None:
                    job.progress_stored_at = now  # too wide as yet: looked at again by and by
                    continue
                if wire.json_size(record) > self.value_limit:
                    log.error("record_too_large", job=job.id)
                    self._park_job(job)
                    continue
                batch.writes.append(transactions.put(key, record))
                batch.writes.extend(together)
                batch.job_records.append((job, record))
                batch.conditions.extend(c for c in job.conditions if c not in batch.conditions)
            batch.conditions.append((key, job.version))
            size += wire.json_size(batch.writes[-1])
        return batch if batch.writes else None

    def _final_record(self, job: Job) -> wire.FinalJobRecord | None:
        """How the job has ended, if it has."""
        graph = self.waiting_jobs.graph
        if job.id in graph.cancelled_by:
            return wire.FinalJobRecord(wire.CANCELLED, cancelled_by=graph.cancelled_by[job.id])
        if not job.complete or job.conditions:
            return None  # what rests on something else ends with that
        # When it ended matters to those that wait for it only.
        at = round(self.cluster.wall(), 3) if job.id in graph.dependents else None
        return wire.FinalJobRecord(wire.DONE, job.size, at)

    def _park_job(self, job: Job) -> None:
        """No mark can be written, as a description that was accepted under wider limits leaves no
        room for one, or as its record cannot be read. Without one nothing may start; the job waits
        for its user to cancel it, and must not hold up others."""
        job.held_until = math.inf
        self.jobs_to_write.discard(job.id)
        for placement in list(job.placements.values()):
            if not placement.intent_stored:
                self.cluster.stop(placement, 0.0)

    def _jobs_with_progress_due(self, now: Instant) -> list[Job]:
        """Jobs whose completions are to be written though they go on.

        Their workers remember the tasks meanwhile, so that nothing is lost: they get a small part
        of the writes, and the more such jobs there are, the longer each waits for its turn.
        """
        if now < self.progress_not_before:
            return []
        found = []
        for id in list(self.jobs_with_progress):
            job = self.cluster.jobs.get(id)
            if job is None or not job.progress_unstored or job.record_unreadable:
                self.jobs_with_progress.discard(id)
            elif now - job.progress_stored_at > PROGRESS_WRITE_INTERVAL_S:
                found.append(job)
        found.sort(key=lambda job: job.progress_stored_at)
        found = found[: max(1, min(self.max_changes, int(self.progress_write_rate)))]
        self.progress_not_before = Instant(now + max(0.25, len(found) / self.progress_write_rate))
        return found

    def transaction_committed(
        self, batch: Transaction, stamp: Version, now: Instant
    ) -> list[tuple[Job, wire.FinalJobRecord]]:
        """Note what stands in the state service now; returns the jobs that are over by it."""
        for number, hosts in batch.blocks:
            _, names = self.blocks[number]
            self.blocks[number] = (stamp, names)
            self.block_written(number, {MachineId(name) for name in hosts})
        for job, record in batch.job_records:
            if job.ended:
                continue
            job.record_stored(record, stamp, now)
            self.send_stored_starts(job)
        self.cluster.pass_wanted = True
        return [(job, final) for job, final in batch.final_records if not job.ended]

    def block_written(self, number: int, stored: set[MachineId]) -> None:
        names = self.blocks[number][1]
        if stored == names:
            self.dirty_blocks.discard(number)
            self.machines_moving_out.pop(number, None)
        for id in stored & names:
            self.pending_blocks.pop(id, None)
            machine = self.cluster.machines.get(id)
            if machine is not None:
                machine.block = number
                machine.availability_changed()

    def send_stored_starts(self, job: Job) -> None:
        for index, placement in list(job.placements.items()):
            if index < job.placed_below and not placement.intent_stored:
                placement.intent_stored = True
                job.unstored_intents -= 1
                if placement.stop_grace is None and placement.machine in self.cluster.machines:
                    self.cluster.send_start(placement)

    def reconcile_key(self, key: Key, found: transactions.VersionedValue | None) -> list[JobId]:
        """What the state service has after a conflict or an unknown outcome. Returns jobs whose
        records are gone, or what these rest on."""
        if key.startswith(BLOCKS_PREFIX):
            number = int(key[len(BLOCKS_PREFIX) :])
            if number in self.blocks:
                names = self.blocks[number][1]
                if found is None:
                    self.blocks[number] = (Version(0), names)
                else:
                    record = wire.convert(found.data, wire.BlockRecord)
                    self.blocks[number] = (found.version, names)
                    self.block_written(number, {MachineId(name) for name in record.machines})
            return []
        if not key.startswith(LIVE_JOBS_PREFIX):
            return self._reconcile_graph_key(key, found)
        id = JobId(key[len(LIVE_JOBS_PREFIX) :])
        job = self.cluster.jobs.get(id) or self.waiting_jobs.jobs.get(id)
        if job is None or found is None:
            return [] if job is None else [id]
        self._adopt_stored_record(job, found)
        return []

    def _adopt_stored_record(self, job: Job, found: transactions.VersionedValue) -> None:
        """Go on from what the state service has."""
        try:
            job.adopt_record(job.parse_record(found.data), found.version)
        except (wire.MalformedMessageError, ValueError) as error:
            # Whoever wrote that, nothing may be put in its place, and no other job's writes may
            # fail with this one's.
            log.error("record_malformed", job=job.id, error=error)
            job.record_unreadable = True
            self._park_job(job)
            return
        self.send_stored_starts(job)

    def _reconcile_graph_key(
        self, key: Key, found: transactions.VersionedValue | None
    ) -> list[JobId]:
        """The same for records of arrays that are no users' jobs, and what they rest on."""
        gone = []
        for job in self.cluster.jobs.values():
            if job.record_key == key:
                if found is not None:
                    self._adopt_stored_record(job, found)
            elif any(
                key == name and (found is None or found.version != stamp)
                for name, stamp in job.conditions
            ):
                gone.append(job.id)
        return gone

    # ---- blocks ------------------------------------------------------------------------

    def load_block(self, number: int, stamp: Version, machines: list[Machine]) -> None:
        """A block as it is stored."""
        names = set()
        for machine in machines:
            if machine.block in (None, number):
                machine.block = number
                machine.availability_changed()
                names.add(machine.id)
            else:
                # It was moved, and the block that it left was not written before the end.
                self.dirty_blocks.add(number)
        self.blocks[number] = (stamp, names)

    def _machines_of_block(self, number: int) -> dict[str, tuple[str, str, str, bool]]:
        return {
            str(id): (m.address, str(m.type), str(m.zone), m.spot)
            for id in sorted(self.blocks[number][1])
            if (m := self.cluster.machines.get(id)) is not None
        }

    def _split_block(self, number: int) -> None:
        """The block was stored under wider limits: a part of its machines moves to others.

        A machine must never stand in no block, else a new leader would not wait for its tasks. So
        the old block is written only when the new ones are.
        """
        names = self.blocks[number][1]
        leaving = sorted(names)[min(self.block_size, len(names) // 2) :]
        names.difference_update(leaving)
        self.machines_moving_out.setdefault(number, set()).update(leaving)
        for id in leaving:
            machine = self.cluster.machines.get(id)
            if machine is not None:
                self.assign_block(machine)

    def assign_block(self, machine: Machine) -> None:
        if machine.id in self.pending_blocks:
            return
        number = 0
        while True:
            _, names = self.blocks.setdefault(number, (Version(0), set()))
            if len(names) < self.block_size and number not in self.machines_moving_out:
                break
            number += 1
        names.add(machine.id)
        self.pending_blocks[machine.id] = number
        self.dirty_blocks.add(number)
