"""Each invariant fires when what it rests on is broken; in service it refuses and goes on."""

from __future__ import annotations

from typing import Any

import mutations
import pytest
from test_scenarios import FILES, Failed, ScenarioPlayer, play

from umberward.core.types import Attempt, Instant, JobId, MachineId, TaskId
from umberward.scheduling import invariants
from umberward.scheduling.invariants import Invariant, Invariants, InvariantViolationError
from umberward.scheduling.jobs import Job, Placement
from umberward.scheduling.reconciliation import TaskReconciliation
from umberward.scheduling.scheduler import Scheduler

JOB = JobId("req-000001")
TASK = TaskId(JOB, 0)


class Scene:
    """A job whose first task runs on m1, and m2, which is empty."""

    def __init__(self) -> None:
        self.game = ScenarioPlayer()
        for name in ("m1", "m2"):
            self.game.do_machine(name, "small", "a")
        self.game.do_lead()
        self.game.do_run("2")
        self.game.do_submit(JOB, "runs=50", "cores=4")
        self.game.do_run("2")
        assert self.game.cluster.scheduler is not None
        self.scheduler: Scheduler = self.game.cluster.scheduler
        self.job: Job = self.scheduler.jobs[JOB]
        self.placement = self.job.placements[0]
        self.other = next(
            m for m in self.scheduler.machines.values() if m.id != self.placement.machine
        )

    def second(self) -> Placement:
        """Another attempt of the same task."""
        now = Instant(self.game.cluster.now)
        return Placement(TASK, Attempt(99), self.other.id, self.other.zone, self.job, now)


def _hold_twice(scene: Scene) -> None:
    assert not scene.scheduler.invariants.may_place(scene.other, scene.job, scene.second())


def _start_beside_a_placement(scene: Scene) -> None:
    scene.scheduler.add_placement(scene.other, scene.job, scene.second())
    scene.scheduler.send_start(scene.placement)


def _start_beside_a_stray(scene: Scene) -> None:
    scene.scheduler.add_unplaced_task(scene.other, TASK)
    scene.scheduler.send_start(scene.placement)


def _start_of_the_ended(scene: Scene) -> None:
    scene.job.ended = True
    scene.scheduler.send_start(scene.placement)


def _forget_while_a_start_may_arrive(scene: Scene) -> None:
    machine = scene.scheduler.machines[scene.placement.machine]
    machine.inflight_starts.sent(TASK, scene.placement.attempt)
    assert not scene.scheduler.invariants.may_forget(machine, TASK, scene.placement.attempt)


BROKEN = {
    "hold twice": (_hold_twice, Invariant.ONE_ATTEMPT_HELD),
    "start beside a placement": (_start_beside_a_placement, Invariant.STARTED_ALONE),
    "start beside a stray": (_start_beside_a_stray, Invariant.STARTED_ALONE),
    "start of the ended": (_start_of_the_ended, Invariant.STARTED_WHILE_LIVE),
    "forget": (_forget_while_a_start_may_arrive, Invariant.FORGOTTEN_FOR_GOOD),
}


@pytest.mark.parametrize("what", BROKEN)
def test_in_tests_a_violation_raises(what: str) -> None:
    breaks, invariant = BROKEN[what]
    with pytest.raises(InvariantViolationError, match=invariant.value):
        breaks(Scene())


@pytest.mark.parametrize("what", BROKEN)
def test_in_service_the_action_is_refused(what: str, monkeypatch: pytest.MonkeyPatch) -> None:
    breaks, invariant = BROKEN[what]
    said: list[dict[str, Any]] = []
    monkeypatch.setattr(Invariants, "raises", False)
    monkeypatch.setattr(invariants.log, "error", lambda event, **fields: said.append(fields))
    scene = Scene()
    breaks(scene)
    assert scene.scheduler.invariants.violations == {invariant: 1}
    assert [fields["invariant"] for fields in said] == [invariant.value]
    assert said[0]["task"] == TASK and "machine" in said[0]
    sent = [order for item in scene.scheduler.outbox for order in getattr(item, "commands", ())]
    assert all(order.verb != "start" for order in sent)


def test_a_forget_that_was_decided_wrongly_does_not_leave(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(TaskReconciliation, "_may_forget", lambda *_: True)
    path = next(path for path in FILES if path.stem == "forget_not_while_start_unanswered")
    with pytest.raises(InvariantViolationError, match=Invariant.FORGOTTEN_FOR_GOOD.value):
        play(path)


def test_what_runs_without_a_placement_is_not_started_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With the machine not settled anew, the invariant alone refuses the second start."""
    monkeypatch.setattr(Invariants, "raises", False)
    mutations.settle_again(monkeypatch)
    path = next(path for path in FILES if path.stem == "takeover_report_before_jobs")
    with pytest.raises(Failed, match=Invariant.STARTED_ALONE.value):
        play(path)


def test_a_stray_is_no_more_when_its_machine_is_gone() -> None:
    scene = Scene()
    scene.scheduler.add_unplaced_task(scene.other, TASK)
    scene.scheduler.add_unplaced_task(scene.other, TASK)
    assert scene.scheduler.tasks_without_placement == {TASK: 1}
    scene.scheduler.remove_machines([MachineId(scene.other.id)], Instant(scene.game.cluster.now))
    assert not scene.scheduler.tasks_without_placement
