"""The gangs of the simulated worker, by the sentences of PROTOCOL's section "Gangs".

tasks find each other by attempt; the last image starts all:
    test_gang_starts_once_its_last_task_has_its_image
they complete together:
    test_gang_whose_machine_hung_completes_at_one_moment
the slowest machine sets the speed:
    test_gang_whose_machine_hung_completes_at_one_moment
`same_place`, or different zones; `try` of arrays:
    not checked by a worker: the rules of the soak's checker
waiting: occupies its place, no progress, `alone` after `gang_wait_s`:
    test_waiting_task_exits_alone_and_makes_no_progress
waiting: a replacement with the same attempt completes the gang:
    test_replacement_completes_a_waiting_gang
waiting: stopped, it exits immediately:
    test_waiting_task_that_is_stopped_exits_at_once
failure: a task disappears:
    test_others_notice_that_a_task_has_disappeared
failure: its machine hangs:
    test_others_notice_a_machine_that_hangs_for_too_long
failure: progress since the last checkpoint is lost:
    test_failed_gang_falls_back_to_its_last_checkpoint
orderly stop: all told in time; progress stops with the first kill; the save is safe:
    test_gang_that_is_stopped_in_time_saves_its_progress
orderly stop: not told in time: `mates_gone`, the save fails:
    test_gang_that_is_not_told_in_time_saves_nothing
orderly stop: too little grace:
    test_gang_that_is_stopped_with_too_little_grace_falls_back
restart: the next attempt continues:
    test_failed_gang_falls_back_to_its_last_checkpoint
restart: tasks of the old attempt stay until they exit:
    test_task_of_the_former_attempt_keeps_its_place
a completed gang that is started again:
    test_worker_core
"""

from __future__ import annotations

import pytest
from cluster_settings import MACHINE_TYPES, job_spec, raw_settings

from umberward.core.settings import OperatorSettings, settings_from_toml
from umberward.core.types import MachineTypeName
from umberward.local.workercore import (
    GANG_INCOMPLETE,
    GANG_PEER_LOST,
    STOPPED,
    SharedTaskState,
    TaskAttempt,
    TaskOutcome,
    WorkerCore,
)
from umberward.protocol import wire
from umberward.protocol.wire import KILL, START, TaskCommand

GANG = "req-000001"
TICK_S = 0.1
RUN_S = 5.0
CHECKPOINT_INTERVAL_S, CHECKPOINT_COST_S = 2.0, 0.5
TIMES = settings_from_toml(raw_settings(), OperatorSettings()).platform.cluster.workers
PEER_S = TIMES.gang_peer_s


class GangOfMachines:
    """A gang with one task on each machine; `hanging` machines execute nothing."""

    def __init__(self, count: int = 2, tasks: int | None = None) -> None:
        self.now = 0.0
        self.hanging: set[int] = set()
        spec = wire.decode_job_spec(
            wire.encode(
                job_spec(
                    GANG,
                    shape="ensemble",
                    shards=tasks or count,
                    snapshot_every_s=CHECKPOINT_INTERVAL_S,
                    snapshot_cost_s=CHECKPOINT_COST_S,
                    pull_gb=0.0,
                )
            )
        )
        self.shared_tasks = SharedTaskState()
        self.workers = [
            WorkerCore(
                f"m{number}",
                "127.0.0.1:1",
                MACHINE_TYPES[MachineTypeName("small")],
                "a",
                False,
                TIMES,
                self.shared_tasks,
                lambda _: spec,
                lambda *_: TaskOutcome(RUN_S),
                0.0,
            )
            for number in range(count)
        ]
        self.ended_at: dict[tuple[str, int], float] = {}
        self.attempt = 1

    def start(self, *numbers: int) -> None:
        for number in numbers or range(len(self.workers)):
            self.command(number, TaskCommand(START, f"{GANG}/{number}", self.attempt))

    def command(self, number: int, command: TaskCommand) -> None:
        self.workers[number].execute([command])

    def kill(self, number: int, grace_s: float) -> None:
        self.command(number, TaskCommand(KILL, f"{GANG}/{number}", self.attempt, grace_s))

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.now = round(self.now + TICK_S, 3)
            for number, worker in enumerate(self.workers):
                worker.lease_renewed_at = self.now
                if number in self.hanging:
                    worker.now = self.now
                else:
                    worker.tick(self.now)
            for worker in self.workers:
                for key, task in worker.tasks.items():
                    if task.has_ended:
                        self.ended_at.setdefault(key, self.now)

    def hang(self, number: int, seconds: float) -> None:
        self.hanging.add(number)
        self.run(seconds)
        self.hanging.discard(number)

    def task(self, number: int) -> TaskAttempt:
        return self.workers[number].tasks[f"{GANG}/{number}", self.attempt]

    def causes(self) -> list[str | None]:
        return [self.task(number).cause for number in range(len(self.workers))]

    def phases(self) -> list[str]:
        return [self.task(number).phase for number in range(len(self.workers))]

    def saved_s(self) -> float:
        return self.shared_tasks.saved_run_s.get(GANG, 0.0)


def test_gang_whose_machine_hung_completes_at_one_moment() -> None:
    gang = GangOfMachines(3)
    gang.start()
    gang.run(1.0)
    hung_s = PEER_S * 0.6
    gang.hang(1, hung_s)
    gang.run(RUN_S + 2.0)
    assert gang.causes() == [wire.DONE] * 3
    (ended_at,) = set(gang.ended_at.values())
    assert RUN_S + hung_s <= ended_at <= RUN_S + hung_s + 5 * TICK_S


def test_gang_that_completes_while_a_machine_hangs_is_done_there_too() -> None:
    gang = GangOfMachines()
    gang.start()
    gang.run(1.0)
    gang.hang(0, 2 * TICK_S)  # so that the other one has run for its time before
    while gang.task(1).remaining_s > 0.0:
        gang.run(TICK_S)
    gang.hang(1, 5 * TICK_S)
    assert gang.causes() == [wire.DONE] * 2 and len(set(gang.ended_at.values())) == 1
    assert not gang.workers[1].running_tasks


def test_gang_starts_once_its_last_task_has_its_image() -> None:
    gang = GangOfMachines()
    gang.start(0)
    gang.run(1.0)
    assert gang.task(0).phase == wire.WAITING_FOR_GANG
    gang.start(1)
    gang.run(1.0)
    assert gang.phases() == [wire.RUNNING] * 2


def test_waiting_task_exits_alone_and_makes_no_progress() -> None:
    gang = GangOfMachines()
    gang.start(0)
    gang.run(TIMES.gang_wait_s - 1.0)
    assert gang.task(0).phase == wire.WAITING_FOR_GANG and gang.task(0).run_s == 0.0
    assert gang.workers[0].reserved.cores > 0.0
    gang.run(2.0)
    assert gang.task(0).cause == GANG_INCOMPLETE and gang.saved_s() == 0.0


def test_replacement_completes_a_waiting_gang() -> None:
    gang = GangOfMachines(3, tasks=2)
    gang.start(0)
    gang.run(0.5)
    gang.workers[0].end_session()
    gang.start(1)
    gang.run(0.5)
    gang.command(2, TaskCommand(START, f"{GANG}/0", gang.attempt))
    gang.run(1.0)
    assert gang.task(1).phase == wire.RUNNING


def test_waiting_task_that_is_stopped_exits_at_once() -> None:
    gang = GangOfMachines()
    gang.start(0)
    gang.run(0.5)
    gang.kill(0, 10.0)
    assert gang.task(0).cause == STOPPED


@pytest.mark.parametrize("end", ["session", "stop"])
def test_others_notice_that_a_task_has_disappeared(end: str) -> None:
    gang = GangOfMachines()
    gang.start()
    gang.run(1.0)
    if end == "session":
        gang.workers[1].end_session()
    else:
        gang.kill(1, 0.0)
    gang.run(PEER_S - 0.5)
    assert gang.task(0).phase == wire.RUNNING
    gang.run(1.0)
    assert gang.task(0).cause == GANG_PEER_LOST


def test_others_notice_a_machine_that_hangs_for_too_long() -> None:
    gang = GangOfMachines(3)
    gang.start()
    gang.run(1.0)
    gang.hang(1, PEER_S + 1.0)
    assert gang.causes() == [GANG_PEER_LOST, None, GANG_PEER_LOST]
    gang.run(PEER_S + 1.0)
    assert gang.causes() == [GANG_PEER_LOST] * 3


def test_failed_gang_falls_back_to_its_last_checkpoint() -> None:
    gang = GangOfMachines()
    gang.start()
    gang.run(CHECKPOINT_INTERVAL_S + 1.0)
    gang.workers[1].end_session()
    gang.run(PEER_S + 1.0)
    assert gang.saved_s() == CHECKPOINT_INTERVAL_S
    gang.attempt = 2
    gang.start()
    gang.run(RUN_S - CHECKPOINT_INTERVAL_S - 0.5)
    assert gang.phases() == [wire.RUNNING] * 2
    gang.run(1.0)
    assert gang.causes() == [wire.DONE] * 2


def test_gang_that_is_stopped_in_time_saves_its_progress() -> None:
    gang = GangOfMachines()
    gang.start()
    gang.run(3.0)
    gang.kill(0, 10.0)
    progress_s = gang.task(0).run_s
    gang.run(PEER_S - 0.5)
    assert gang.phases() == [wire.CHECKPOINTING, wire.RUNNING]
    gang.kill(1, 10.0)
    gang.run(CHECKPOINT_COST_S + 0.5)
    assert [(gang.task(n).cause, gang.task(n).stored) for n in (0, 1)] == [(STOPPED, True)] * 2
    assert gang.saved_s() == pytest.approx(progress_s, abs=TICK_S)


def test_gang_that_is_not_told_in_time_saves_nothing() -> None:
    gang = GangOfMachines()
    gang.start()
    gang.run(3.0)
    gang.kill(0, 10.0)
    gang.run(PEER_S + 2 * TICK_S)
    assert gang.causes() == [STOPPED, GANG_PEER_LOST]
    assert gang.task(0).stored is False and gang.saved_s() == CHECKPOINT_INTERVAL_S


def test_gang_that_is_stopped_with_too_little_grace_falls_back() -> None:
    gang = GangOfMachines()
    gang.start()
    gang.run(3.0)
    gang.kill(0, 10.0)
    gang.kill(1, CHECKPOINT_COST_S / 2)
    gang.run(PEER_S + 1.0)
    assert [gang.task(n).stored for n in (0, 1)] == [False, None]
    assert gang.saved_s() == CHECKPOINT_INTERVAL_S


def test_task_of_the_former_attempt_keeps_its_place() -> None:
    gang = GangOfMachines()
    gang.start()
    gang.run(1.0)
    gang.attempt = 2
    gang.start(0)
    assert gang.task(0).cause == "in_use"


def test_task_that_ran_twice_can_be_stopped_after_its_gang_has_ended() -> None:
    gang = GangOfMachines(3, tasks=2)
    gang.start(0, 1)
    gang.run(1.0)
    gang.command(2, TaskCommand(START, f"{GANG}/0", gang.attempt))
    gang.hang(0, RUN_S * 2)
    assert gang.shared_tasks.gangs == {}
    gang.kill(0, 10.0)
    gang.run(PEER_S)
    assert all(task.has_ended for worker in gang.workers for task in worker.tasks.values())


def test_task_that_ran_twice_ends_with_its_gang() -> None:
    gang = GangOfMachines(3, tasks=2)
    gang.start(0, 1)
    gang.run(1.0)
    gang.command(2, TaskCommand(START, f"{GANG}/0", gang.attempt))
    gang.run(RUN_S * 2)
    assert all(task.has_ended for worker in gang.workers for task in worker.tasks.values())
