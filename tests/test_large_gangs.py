"""What a leader does for a large gang grows with its tasks, not with their square."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import msgspec
import pytest
from cluster_settings import MACHINE_TYPES, job_spec, raw_settings

from umberward.core.settings import OperatorSettings, settings_from_toml
from umberward.core.types import (
    FencingToken,
    Incarnation,
    Instant,
    JobId,
    MachineId,
    MachineTypeName,
    Version,
    WallTime,
    ZoneName,
)
from umberward.protocol import wire
from umberward.protocol.wire import BlockRecord, Heartbeat, JobRecord, TaskStatus
from umberward.scheduling.jobs import Job
from umberward.scheduling.scheduler import Scheduler

TASKS, MACHINES = 2000, 6
JOB = JobId("req-000001")


class LeaderWithGang:
    """A leader whose gang runs on several machines."""

    def __init__(self) -> None:
        self.now = 100.0
        self.sequence = 0
        self.scheduler = Scheduler(
            settings_from_toml(raw_settings(), OperatorSettings()),
            MACHINE_TYPES,
            FencingToken(7),
            Instant(self.now),
            lambda: WallTime(0.0),
            random.Random(1),
        )
        self._add_machines()
        spec = job_spec(JOB, shape="ensemble", shards=TASKS, cores=0.01, mem_gb=0.01)
        self.scheduler.add_job(JobRecord(msgspec.convert(spec, wire.JobSpec), 0.0), Version(1))
        self.job = self.scheduler.jobs[JOB]
        self.scheduler.run_pass(Instant(self.now))
        transaction = self.scheduler.state_writer.next_transaction(Instant(self.now))
        assert transaction is not None
        self.scheduler.transaction_committed(transaction, Version(9), Instant(self.now))
        self.attempts = {
            machine.id: [(str(task), p.attempt) for task, p in machine.placements.items()]
            for machine in self.scheduler.machines.values()
            if machine.placements
        }

    def _add_machines(self) -> None:
        names = [MachineId(f"m{number}") for number in range(MACHINES)]
        block = BlockRecord({name: ("127.0.0.1:9", "big", "a", False) for name in names})
        for name in names:
            machine = self.scheduler.find_or_add_machine(
                name, "127.0.0.1:9", MachineTypeName("big"), ZoneName("a"), False, Instant(self.now)
            )
            machine.reconciled = machine.confirmed_in_term = True
            machine.incarnation = Incarnation(1)
            machine.mark_availability_changed()
        self.scheduler.load_block(0, block, Version(1), Instant(self.now))
        self.scheduler.loaded = self.scheduler.reconciliation_completed = True
        self.scheduler.outbox.clear()

    def report(self, phase: str, cause: str | None = None) -> None:
        """Each machine sends a heartbeat that lists its tasks of the gang."""
        self.now += 1.0
        for name, attempts in self.attempts.items():
            if name not in self.scheduler.machines:
                continue
            self.sequence += 1
            statuses = [TaskStatus(task, attempt, phase, cause) for task, attempt in attempts]
            heartbeat = Heartbeat(name, "127.0.0.1:9", "big", "a", 1, self.sequence, 7, statuses)
            body = wire.encode(heartbeat)
            header = wire.decode_heartbeat_header(body)
            self.scheduler.receive_heartbeat(header, body, Instant(self.now))


class CountingDict(dict[Any, Any]):
    """A dictionary that counts how often all of its values are taken."""

    scans = 0

    def values(self) -> Any:
        self.scans += 1
        return super().values()


def test_each_machine_of_a_done_gang_does_not_mark_all_its_tasks_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    marked = Counter[int]()
    mark_done = Job.mark_done

    def counting(job: Job, index: int) -> bool:
        marked[index] += 1
        return mark_done(job, index)

    monkeypatch.setattr(Job, "mark_done", counting)
    leader = LeaderWithGang()
    leader.report("running")
    leader.report("exited", "done")
    assert leader.job.complete
    assert marked == Counter(range(TASKS))


def test_each_lost_task_of_a_gang_does_not_search_all_the_others_again() -> None:
    leader = LeaderWithGang()
    leader.report("running")
    placements = leader.job.placements = CountingDict(leader.job.placements)
    lost = next(iter(leader.attempts))
    leader.scheduler.remove_machines([lost], Instant(leader.now))
    assert placements
    assert all(placement.stop_grace_s is not None for placement in placements.values())
    leader.report("exited", "stopped")
    assert not placements
    assert len(leader.job.requeued_tasks) == TASKS
    assert placements.scans <= MACHINES


def test_a_gang_is_stopped_again_if_a_task_was_placed_since() -> None:
    leader = LeaderWithGang()
    leader.report("running")
    leader.report("exited", "stopped")
    scheduler, job = leader.scheduler, leader.job
    for machine in scheduler.machines.values():
        machine.exited_tasks.clear()
        machine.set_unplaced_heartbeat_bytes(0)
    leader.now += 60.0
    scheduler.run_pass(Instant(leader.now))
    assert len(job.placements) == TASKS
    scheduler.state_writer.send_stored_starts(job)
    first = next(iter(job.placements.values()))
    scheduler.release(scheduler.machines[first.machine], first)
    assert all(p.stop_grace_s is not None for p in job.placements.values())
