"""Each invariant detects its violation: tests fail, and in service only the action is refused."""

from __future__ import annotations

from typing import Any

import mutations
import pytest
from test_scenarios import FILES, ScenarioFailure, ScenarioPlayer, play

from umberward.core.types import Attempt, Instant, JobId, MachineId, TaskId
from umberward.scheduling import invariants
from umberward.scheduling.fencing_tokens import FencingTokens
from umberward.scheduling.invariants import Invariant, Invariants, InvariantViolationError
from umberward.scheduling.jobs import Job, Placement
from umberward.scheduling.scheduler import Scheduler

JOB = JobId("req-000001")
TASK = TaskId(JOB, 0)


class Setup:
    """A job whose first task runs on m1, and an empty machine m2."""

    def __init__(self) -> None:
        self.player = ScenarioPlayer()
        for name in ("m1", "m2"):
            self.player.do_machine(name, "small", "a")
        self.player.do_lead()
        self.player.do_run("2")
        self.player.do_submit(JOB, "runs=50", "cores=4")
        self.player.do_run("2")
        assert self.player.cluster.scheduler is not None
        self.scheduler: Scheduler = self.player.cluster.scheduler
        self.job: Job = self.scheduler.jobs[JOB]
        self.placement = self.job.placements[0]
        self.other = next(
            m for m in self.scheduler.machines.values() if m.id != self.placement.machine
        )

    def second_attempt(self) -> Placement:
        """Another attempt of the same task, on the other machine."""
        now = Instant(self.player.cluster.now)
        return Placement(TASK, Attempt(99), self.other.id, self.other.zone, self.job, now)


def _place_twice(setup: Setup) -> None:
    assert not setup.scheduler.invariants.may_place(setup.other, setup.job, setup.second_attempt())


def _start_beside_a_placement(setup: Setup) -> None:
    setup.scheduler.add_placement(setup.other, setup.job, setup.second_attempt())
    setup.scheduler.queue_start(setup.placement)


def _start_beside_an_unplaced_task(setup: Setup) -> None:
    setup.scheduler.add_task_without_placement(setup.other, TASK)
    setup.scheduler.queue_start(setup.placement)


def _start_of_an_ended_job(setup: Setup) -> None:
    setup.job.ended = True
    setup.scheduler.queue_start(setup.placement)


def _forget_while_a_start_may_arrive(setup: Setup) -> None:
    machine = setup.scheduler.machines[setup.placement.machine]
    machine.inflight_starts.sent(TASK, setup.placement.attempt)
    assert not setup.scheduler.invariants.may_forget(machine, TASK, setup.placement.attempt)


def _renew_without_a_stop(setup: Setup) -> None:
    report = setup.player.cluster.workers[setup.placement.machine].report()
    assert not setup.scheduler.invariants.may_renew(report, [], {})


VIOLATIONS = {
    "hold twice": (_place_twice, Invariant.ONE_ATTEMPT_HELD),
    "start beside a placement": (_start_beside_a_placement, Invariant.STARTED_ALONE),
    "start beside a stray": (_start_beside_an_unplaced_task, Invariant.STARTED_ALONE),
    "start of the ended": (_start_of_an_ended_job, Invariant.STARTED_WHILE_LIVE),
    "renew": (_renew_without_a_stop, Invariant.RENEWED_WITH_STOPS),
    "forget": (_forget_while_a_start_may_arrive, Invariant.FORGOTTEN_FOR_GOOD),
}


@pytest.mark.parametrize("what", VIOLATIONS)
def test_in_tests_a_violation_raises(what: str) -> None:
    violate, invariant = VIOLATIONS[what]
    with pytest.raises(InvariantViolationError, match=invariant.value):
        violate(Setup())


@pytest.mark.parametrize("what", VIOLATIONS)
def test_in_service_the_action_is_refused(what: str, monkeypatch: pytest.MonkeyPatch) -> None:
    violate, invariant = VIOLATIONS[what]
    logged: list[dict[str, Any]] = []
    monkeypatch.setattr(Invariants, "raise_on_violation", False)
    monkeypatch.setattr(invariants.log, "error", lambda event, **fields: logged.append(fields))
    setup = Setup()
    violate(setup)
    assert setup.scheduler.invariants.violations == {invariant: 1}
    assert [fields["invariant"] for fields in logged] == [invariant.value]
    assert logged[0]["task"] == TASK and "machine" in logged[0]
    sent = [order for item in setup.scheduler.outbox for order in getattr(item, "commands", ())]
    assert all(order.verb != "start" for order in sent)


def test_a_forget_that_was_decided_wrongly_does_not_leave(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(FencingTokens, "void_starts", lambda *_: True)
    path = next(path for path in FILES if path.stem == "no_forget_while_start_in_flight")
    with pytest.raises(InvariantViolationError, match=Invariant.FORGOTTEN_FOR_GOOD.value):
        play(path)


def test_what_runs_without_a_placement_is_not_started_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """If the machine is not reconciled again, the invariant alone refuses the second start."""
    monkeypatch.setattr(Invariants, "raise_on_violation", False)
    mutations.settle_again(monkeypatch)
    path = next(path for path in FILES if path.stem == "takeover_heartbeat_before_jobs_read")
    with pytest.raises(ScenarioFailure, match=Invariant.STARTED_ALONE.value):
        play(path)


def test_a_stray_is_no_more_when_its_machine_is_gone() -> None:
    setup = Setup()
    setup.scheduler.add_task_without_placement(setup.other, TASK)
    setup.scheduler.add_task_without_placement(setup.other, TASK)
    assert setup.scheduler.tasks_without_placement == {TASK: 1}
    setup.scheduler.remove_machines([MachineId(setup.other.id)], Instant(setup.player.cluster.now))
    assert not setup.scheduler.tasks_without_placement
