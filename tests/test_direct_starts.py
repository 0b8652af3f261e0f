"""The record of starts that may still be carried out, and when the token is raised for them."""

from __future__ import annotations

from typing import Any

import hypothesis.strategies as st
from hypothesis import given
from test_scenarios import Play

from umberward.core.types import Attempt, Epoch, Instant, JobId, MachineId, NodeName, TaskId
from umberward.decisions import token_raises
from umberward.decisions.direct_starts import DirectStarts
from umberward.decisions.token_raises import TokenRaises

TASK = TaskId(JobId("req-000001"), 0)
ATTEMPT = Attempt(7)


class Model:
    """One worker and one sender: which sent starts the worker would still carry out."""

    def __init__(self) -> None:
        self.starts = DirectStarts()
        self.token = 5  # the leader's
        self.seen = 5  # the worker's highest
        self.awaited: list[int] = []  # under which token each was sent
        self.given_up: list[int] = []

    def step(self, what: str) -> None:
        if what == "send":
            self.starts.handed(TASK, ATTEMPT)
            self.awaited.append(self.token)
        elif what == "answer" and self.awaited:
            self.awaited.pop(0)
            self.starts.answered(TASK, ATTEMPT)
        elif what == "give up" and self.awaited:
            token = self.awaited.pop(0)
            self.given_up.append(token)
            self.starts.given_up(TASK, ATTEMPT, Epoch(token), Epoch(self.seen))
        elif what == "raise":
            self.token += 1
        elif what == "token seen":
            self.seen = self.token
            self.starts.token_seen(Epoch(self.seen))
        elif what == "session over":
            self.awaited.clear()
            self.given_up.clear()
            self.starts.session_over()

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
    starts = DirectStarts()
    starts.handed(TASK, ATTEMPT)
    starts.session_over()
    starts.answered(TASK, ATTEMPT)
    starts.given_up(TASK, ATTEMPT, Epoch(5), Epoch(5))
    assert not starts.may_arrive(TASK, ATTEMPT)


def test_the_token_is_raised_after_a_while_and_not_often() -> None:
    raises = TokenRaises()
    at = 1000.0

    def asked(reason: Any, since: float, now: float) -> bool:
        raises.wanted = False
        reason(Instant(since), Instant(now))
        return raises.wanted

    assert not asked(raises.unwanted_start, at, at + 1.0)
    assert asked(raises.unwanted_start, at, at + token_raises.UNWANTED_S + 0.1)
    raises.begun()
    assert not asked(raises.unwanted_start, at, at + 10.0)  # it is being raised
    raises.failed()
    assert asked(raises.unwanted_start, at, at + 10.0)
    raises.begun()
    raises.raised(Instant(at + 10.0))
    assert not asked(raises.unwanted_start, at, at + 11.0)
    late = at + 10.0 + token_raises.EXITED_S + 1.0
    assert not asked(raises.exited_unforgotten, at, late)
    assert asked(raises.exited_unforgotten, at, at + 11.0 + token_raises.EXITED_EVERY_S)
    assert raises.count == 1


def test_a_machine_on_which_an_unwanted_start_may_arrive_is_neither_lent_nor_returned() -> None:
    game = Play()
    game.do_peer("n1", "a")
    game.do_machine("m1", "small", "a")
    game.do_lead()
    game.do_run("3")
    world, scheduler, provisioner = game.world, game.world.scheduler, game.world.provisioner
    assert scheduler is not None and provisioner is not None
    machine = scheduler.machines[MachineId("m1")]
    now, later = Instant(world.now), Instant(world.now + 1000.0)

    def lent() -> bool:
        loan = scheduler.lend(NodeName("n1"), 0, False, now)
        return loan is not None and "m1" in loan.hosts

    assert lent() and machine in provisioner.idle(later)
    machine.direct_starts.handed(TASK, ATTEMPT)
    assert not lent() and machine not in provisioner.idle(later)
    machine.direct_starts.given_up(TASK, ATTEMPT, machine.epoch, machine.epoch)
    assert not lent() and machine not in provisioner.idle(later)
    machine.direct_starts.token_seen(Epoch(machine.epoch + 1))
    assert lent() and machine in provisioner.idle(later)
