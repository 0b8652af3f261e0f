"""What is written to the state service, when, and what follows when it is committed. No I/O.

Writes are the scarcest thing: marks before first starts and the ends of jobs are due at once,
completions of unfinished jobs now and then, and a block when its machines change.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any, NamedTuple

from umberward import state, wire
from umberward.fleet import Machine
from umberward.jobs import Job
from umberward.settings import StateLimits
from umberward.types import Instant, JobId, Key, MachineId, Stamp
from umberward.wire import BLOCKS, LIVE, PAST, JobRecord

if TYPE_CHECKING:
    from umberward.scheduler import Scheduler

log = logging.getLogger(__name__)

INTERIM_PART = 0.2  # of all writes, for the completions of unfinished jobs
INTERIM_S = 4.0  # how often the completions of an unfinished job are written


class Batch(NamedTuple):
    """One transaction, and what to note when it is committed."""

    conditions: list[tuple[Key, Stamp]]
    writes: list[dict[str, Any]]
    priority: int
    jobs: list[tuple[Job, int, tuple[int, int], bool]]  # marked, completions, final
    blocks: list[tuple[int, dict[str, tuple[str, str, str, bool]]]]


class Writer:
    def __init__(
        self, scheduler: Scheduler, limits: StateLimits, value_limit: int, now: Instant
    ) -> None:
        self.scheduler = scheduler
        self.most = limits.txn_ops  # changes in one transaction
        self.interim_rate = INTERIM_PART * limits.write_rps
        self.blocks: dict[int, tuple[Stamp, set[MachineId]]] = {}
        self.block_size = max(4, min(32, value_limit // 120))
        self.dirty_blocks: set[int] = set()
        self.pending_block: dict[MachineId, int] = {}
        self.touched: set[JobId] = set()  # jobs with completions to write by and by
        self.urgent: set[JobId] = set()  # jobs with a mark or their end to write
        self.interim_at = now

    def completions(self, job: Job) -> None:
        (self.urgent if job.complete else self.touched).add(job.id)

    def drop(self, machine: Machine) -> None:
        """The machine is gone."""
        if machine.block is not None:
            self.dirty_blocks.add(machine.block)
            self.blocks[machine.block][1].discard(machine.id)
        self.pending_block.pop(machine.id, None)

    # ---- writing -----------------------------------------------------------------------

    def due(self, now: Instant) -> bool:
        return bool(self.urgent or self.dirty_blocks or (self.touched and now >= self.interim_at))

    def next_batch(self, now: Instant) -> Batch | None:
        """The most urgent writes that are due, as one transaction."""
        most = self.most
        batch = Batch([], [], state.URGENT, [], [])
        size = 0
        finals: list[Job] = []
        marks: list[Job] = []
        for id in list(self.urgent):
            job = self.scheduler.jobs.get(id)
            if job is not None and job.complete:
                finals.append(job)
            elif job is not None and job.unready:
                marks.append(job)
            else:
                self.urgent.discard(id)
                if job is not None and job.dirty:
                    self.touched.add(id)
        marks.sort(key=lambda job: job.rank)
        for number in sorted(self.dirty_blocks):
            if len(batch.writes) + 1 > most:
                break
            stamp, names = self.blocks[number]
            hosts = {
                str(id): (m.address, str(m.type), str(m.zone), m.spot)
                for id in sorted(names)
                if (m := self.scheduler.machines.get(id)) is not None
            }
            key = Key(f"{BLOCKS}{number}")
            batch.conditions.append((key, stamp))
            batch.writes.append(state.put(key, wire.BlockRecord(hosts)))
            batch.blocks.append((number, hosts))
            size += wire.json_size(batch.writes[-1])
        # A replica should run at once; a job's end may be told a little later.
        at_once = [job for job in marks if job.service]
        later = [job for job in marks if not job.service]
        due = at_once + finals + later
        if not due and not batch.writes:
            due = self._interim(now)
            batch = batch._replace(priority=state.LAZY)
        for job in due:
            ops = 2 if job.complete else 1
            if len(batch.writes) + ops > most or size > 48 * 1024:
                break
            key = Key(LIVE + job.id)
            batch.conditions.append((key, job.stamp))
            if job.complete:
                past = wire.FinalRecord(wire.DONE, job.size)
                batch.writes.append(state.put(Key(PAST + job.id), past))
                batch.writes.append(state.delete(key))
                batch.jobs.append((job, job.marked, (job.base, job.bits), True))
            else:
                marked = max([job.marked, *(index + 1 for index in job.placed)])
                if marked > job.marked:
                    # Few jobs grow task by task: mark ahead, so that an array costs few writes.
                    marked = min(job.size, max(marked, 2 * job.marked))
                record = job.record(marked)
                batch.writes.append(state.put(key, record))
                batch.jobs.append((job, marked, (job.base, job.bits), False))
            size += wire.json_size(batch.writes[-1])
        return batch if batch.writes else None

    def _interim(self, now: Instant) -> list[Job]:
        """Jobs whose completions are to be written though they go on.

        Their workers remember the tasks meanwhile, so that nothing is lost: they get a small part
        of the writes, and the more such jobs there are, the longer each waits for its turn.
        """
        if now < self.interim_at:
            return []
        found = []
        for id in list(self.touched):
            job = self.scheduler.jobs.get(id)
            if job is None or not job.dirty:
                self.touched.discard(id)
            elif now - job.committed_at > INTERIM_S:
                found.append(job)
        found.sort(key=lambda job: job.committed_at)
        found = found[: max(1, min(self.most, int(self.interim_rate)))]
        self.interim_at = Instant(now + max(0.25, len(found) / self.interim_rate))
        return found

    def committed(self, batch: Batch, stamp: Stamp, now: Instant) -> None:
        for number, hosts in batch.blocks:
            _, names = self.blocks[number]
            self.blocks[number] = (stamp, names)
            self.block_stored(number, {MachineId(name) for name in hosts})
        for job, marked, saved, final in batch.jobs:
            if job.ended:
                continue
            if final:
                log.info("%s is done", job.id)
                self.scheduler.job_gone(job.id)
                continue
            job.stamp = stamp
            job.marked = marked
            job.saved = saved
            job.committed_at = now
            self.marked(job)
        self.scheduler.want_pass = True

    def block_stored(self, number: int, stored: set[MachineId]) -> None:
        names = self.blocks[number][1]
        if stored == names:
            self.dirty_blocks.discard(number)
        for id in stored & names:
            self.pending_block.pop(id, None)
            machine = self.scheduler.machines.get(id)
            if machine is not None:
                machine.block = number

    def marked(self, job: Job) -> None:
        for index, placement in list(job.placed.items()):
            if index < job.marked and not placement.ready:
                placement.ready = True
                job.unready -= 1
                if placement.stop is None and placement.machine in self.scheduler.machines:
                    self.scheduler.send(placement)

    def reread(self, key: Key, found: state.Got | None) -> None:
        """What the state service has after a conflict or an unknown outcome."""
        if key.startswith(BLOCKS):
            number = int(key[len(BLOCKS) :])
            if number in self.blocks:
                names = self.blocks[number][1]
                if found is None:
                    self.blocks[number] = (Stamp(0), names)
                else:
                    record = wire.converted(found.data, wire.BlockRecord)
                    self.blocks[number] = (found.stamp, names)
                    self.block_stored(number, {MachineId(name) for name in record.hosts})
            return
        id = JobId(key[len(LIVE) :])
        job = self.scheduler.jobs.get(id)
        if job is None:
            return
        if found is None:
            self.scheduler.job_gone(id)
            return
        job.adopt(wire.converted(found.data, JobRecord), found.stamp)
        self.marked(job)

    # ---- blocks ------------------------------------------------------------------------

    def assign_block(self, machine: Machine) -> None:
        if machine.id in self.pending_block:
            return
        number = 0
        while True:
            _, names = self.blocks.setdefault(number, (Stamp(0), set()))
            if len(names) < self.block_size:
                break
            number += 1
        names.add(machine.id)
        self.pending_block[machine.id] = number
        self.dirty_blocks.add(number)
