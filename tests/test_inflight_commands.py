"""The record of starts that may still be carried out, and when the token is raised for them."""

from __future__ import annotations

from typing import Any

import hypothesis.strategies as st
from hypothesis import given
from test_scenarios import ScenarioPlayer

from umberward.core.types import (
    Attempt,
    ControllerName,
    FencingToken,
    Instant,
    JobId,
    MachineId,
    TaskId,
)
from umberward.scheduling import token_rotation
from umberward.scheduling.inflight_commands import InflightStarts
from umberward.scheduling.token_rotation import TokenRotation

TASK = TaskId(JobId("req-000001"), 0)
ATTEMPT = Attempt(7)


class Model:
    """One worker and one sender: which sent starts the worker would still carry out."""

    def __init__(self) -> None:
        self.starts = InflightStarts()
        self.token = 5  # the leader's
        self.seen = 5  # the worker's highest
        self.awaited: list[int] = []  # under which token each was sent
        self.given_up: list[int] = []

    def step(self, what: str) -> None:
        if what == "send":
            self.starts.sent(TASK, ATTEMPT)
            self.awaited.append(self.token)
        elif what == "answer" and self.awaited:
            self.awaited.pop(0)
            self.starts.answered(TASK, ATTEMPT)
        elif what == "give up" and self.awaited:
            token = self.awaited.pop(0)
            self.given_up.append(token)
            self.starts.timed_out(TASK, ATTEMPT, FencingToken(token), FencingToken(self.seen))
        elif what == "raise":
            self.token += 1
        elif what == "token seen":
            self.seen = self.token
            self.starts.token_seen(FencingToken(self.seen))
        elif what == "session over":
            self.awaited.clear()
            self.given_up.clear()
            self.starts.incarnation_ended()

    def executable(self) -> bool:
        return bool(self.awaited) or any(token >= self.seen for token in self.given_up)


STEPS = ("send", "answer", "give up", "raise", "token seen", "session over")


@given(st.lists(st.sampled_from(STEPS), max_size=40))
def test_what_a_worker_may_still_carry_out_is_known(steps: list[str]) -> None:
    model = Model()
    for what in steps:
        model.step(what)
        assert model.starts.may_arrive(TASK, ATTEMPT) == model.executable()
        assert len(model.starts) <= 1


def test_an_answer_to_an_earlier_session_ends_nothing() -> None:
    starts = InflightStarts()
    starts.sent(TASK, ATTEMPT)
    starts.incarnation_ended()
    starts.answered(TASK, ATTEMPT)
    starts.timed_out(TASK, ATTEMPT, FencingToken(5), FencingToken(5))
    assert not starts.may_arrive(TASK, ATTEMPT)


def test_the_token_is_raised_after_a_while_and_not_often() -> None:
    raises = TokenRotation()
    at = 1000.0

    def asked(reason: Any, since: float, now: float) -> bool:
        raises.wanted = False
        reason(Instant(since), Instant(now))
        return raises.wanted

    assert not asked(raises.unwanted_start, at, at + 1.0)
    assert asked(raises.unwanted_start, at, at + token_rotation.UNWANTED_START_S + 0.1)
    raises.started()
    assert not asked(raises.unwanted_start, at, at + 10.0)  # it is being raised
    raises.failed()
    assert asked(raises.unwanted_start, at, at + 10.0)
    raises.started()
    raises.completed(Instant(at + 10.0))
    assert not asked(raises.unwanted_start, at, at + 11.0)
    late = at + 10.0 + token_rotation.UNFORGOTTEN_EXIT_S + 1.0
    assert not asked(raises.unforgotten_exit, at, late)
    assert asked(
        raises.unforgotten_exit, at, at + 11.0 + token_rotation.UNFORGOTTEN_EXIT_ROTATION_S
    )
    assert raises.count == 1


def test_a_machine_on_which_an_unwanted_start_may_arrive_is_neither_lent_nor_returned() -> None:
    game = ScenarioPlayer()
    game.do_peer("n1", "a")
    game.do_machine("m1", "small", "a")
    game.do_lead()
    game.do_run("3")
    world, scheduler, provisioner = game.cluster, game.cluster.scheduler, game.cluster.autoscaler
    assert scheduler is not None and provisioner is not None
    machine = scheduler.machines[MachineId("m1")]
    now, later = Instant(world.now), Instant(world.now + 1000.0)

    def lent() -> bool:
        loan = scheduler.delegate(ControllerName("n1"), 0, False, now)
        return loan is not None and "m1" in loan.machine_ids

    assert lent() and machine in provisioner.machines_to_return(later)
    machine.inflight_starts.sent(TASK, ATTEMPT)
    assert not lent() and machine not in provisioner.machines_to_return(later)
    machine.inflight_starts.timed_out(TASK, ATTEMPT, machine.token_seen, machine.token_seen)
    assert not lent() and machine not in provisioner.machines_to_return(later)
    machine.inflight_starts.token_seen(FencingToken(machine.token_seen + 1))
    assert lent() and machine in provisioner.machines_to_return(later)
