"""The record of starts that a worker may still execute, and when the token is rotated for them."""

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
    """One worker and one sender: which sent starts the worker would still execute."""

    def __init__(self) -> None:
        self.starts = InflightStarts()
        self.token = 5  # of the leader
        self.seen = 5  # highest token that the worker has seen
        self.awaited: list[int] = []  # unanswered starts: the token each was sent with
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
    rotation = TokenRotation()
    at = 1000.0

    def requested(reason: Any, since: float, now: float) -> bool:
        rotation.requested = False
        reason(Instant(since), Instant(now))
        return rotation.requested

    assert not requested(rotation.note_unwanted_start, at, at + 1.0)
    assert requested(
        rotation.note_unwanted_start, at, at + token_rotation.UNWANTED_START_MIN_AGE_S + 0.1
    )
    rotation.started()
    assert not requested(rotation.note_unwanted_start, at, at + 10.0)  # a rotation is in progress
    rotation.failed()
    assert requested(rotation.note_unwanted_start, at, at + 10.0)
    rotation.started()
    rotation.completed(Instant(at + 10.0))
    assert not requested(rotation.note_unwanted_start, at, at + 11.0)
    late = at + 10.0 + token_rotation.DEFERRED_FORGET_MIN_AGE_S + 1.0
    assert not requested(rotation.note_deferred_forget, at, late)
    assert requested(
        rotation.note_deferred_forget,
        at,
        at + 11.0 + token_rotation.DEFERRED_FORGET_ROTATION_INTERVAL_S,
    )
    assert rotation.count == 1


def test_a_machine_on_which_an_unwanted_start_may_arrive_is_neither_lent_nor_returned() -> None:
    player = ScenarioPlayer()
    player.do_peer("n1", "a")
    player.do_machine("m1", "small", "a")
    player.do_lead()
    player.do_run("3")
    cluster, scheduler, autoscaler = (
        player.cluster,
        player.cluster.scheduler,
        player.cluster.autoscaler,
    )
    assert scheduler is not None and autoscaler is not None
    machine = scheduler.machines[MachineId("m1")]
    now, later = Instant(cluster.now), Instant(cluster.now + 1000.0)

    def delegated() -> bool:
        delegation = scheduler.issue_delegation(ControllerName("n1"), 0, False, now)
        return delegation is not None and "m1" in delegation.machine_ids

    assert delegated() and machine in autoscaler.machines_to_drain(later)
    machine.inflight_starts.sent(TASK, ATTEMPT)
    assert not delegated() and machine not in autoscaler.machines_to_drain(later)
    machine.inflight_starts.timed_out(TASK, ATTEMPT, machine.token_seen, machine.token_seen)
    assert not delegated() and machine not in autoscaler.machines_to_drain(later)
    machine.inflight_starts.token_seen(FencingToken(machine.token_seen + 1))
    assert delegated() and machine in autoscaler.machines_to_drain(later)
