"""The record of starts that a worker may still execute, and when the token is rotated for them."""

from __future__ import annotations

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
from umberward.scheduling.fencing_tokens import FencingTokens
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
        # Starts that were answered or given up, of which a copy may come: likewise.
        self.completed: list[int] = []

    def step(self, what: str) -> None:
        if what == "send":
            self.starts.sent(TASK, ATTEMPT)
            self.awaited.append(self.token)
        elif what == "withdraw" and self.awaited:
            self.awaited.pop(0)
            self.starts.not_sent(TASK, ATTEMPT)
        elif what == "answer or give up" and self.awaited:
            token = self.awaited.pop(0)
            self.completed.append(token)
            self.starts.completed(TASK, ATTEMPT, FencingToken(token), FencingToken(self.seen))
        elif what == "raise":
            self.token += 1
        elif what == "token seen":
            self.seen = self.token
            self.starts.token_seen(FencingToken(self.seen))
        elif what == "session over":
            self.awaited.clear()
            self.completed.clear()
            self.starts.incarnation_ended()

    def executable(self) -> bool:
        return self.executable_by(self.seen)

    def executable_by(self, token_seen: int) -> bool:
        return bool(self.awaited) or any(token >= token_seen for token in self.completed)


STEPS = ("send", "withdraw", "answer or give up", "raise", "token seen", "session over")


@given(st.lists(st.sampled_from(STEPS), max_size=40))
def test_what_a_worker_may_still_carry_out_is_known(steps: list[str]) -> None:
    model = Model()
    for what in steps:
        model.step(what)
        assert model.starts.may_arrive(TASK, ATTEMPT) == model.executable()
        assert model.starts.awaits_response == bool(model.awaited)
        for token in (model.seen, model.token, model.token + 1):
            void = model.starts.is_void_under(TASK, ATTEMPT, FencingToken(token))
            assert void == (not model.executable_by(token))
        assert len(model.starts) <= 1


def test_an_answer_to_an_earlier_session_ends_nothing() -> None:
    starts = InflightStarts()
    starts.sent(TASK, ATTEMPT)
    starts.incarnation_ended()
    starts.not_sent(TASK, ATTEMPT)
    starts.completed(TASK, ATTEMPT, FencingToken(5), FencingToken(5))
    assert not starts.may_arrive(TASK, ATTEMPT)


def test_the_token_is_raised_after_a_while_and_not_often() -> None:
    rotation = TokenRotation()
    at = 1000.0

    def requested(since: float, now: float) -> bool:
        rotation.requested = False
        rotation.note_missing_token(Instant(since), Instant(now))
        return rotation.requested

    assert not requested(at, at + token_rotation.MISSING_TOKEN_MIN_AGE_S - 0.1)
    assert requested(at, at + token_rotation.MISSING_TOKEN_MIN_AGE_S + 0.1)
    rotation.started()
    assert not requested(at, at + 10.0)  # a rotation is in progress
    rotation.failed()
    assert requested(at, at + 10.0)
    rotation.started()
    rotation.completed(Instant(at + 10.0))
    assert not requested(at, at + 10.0 + token_rotation.ROTATION_INTERVAL_S - 0.1)
    assert requested(at, at + 10.0 + token_rotation.ROTATION_INTERVAL_S + 0.1)
    assert rotation.count == 1


def test_an_unwanted_start_keeps_its_machine_from_being_renewed_lent_or_returned() -> None:
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

    def usable() -> tuple[bool, bool, bool]:
        returned = machine in autoscaler.machines_to_drain(later)
        return scheduler.may_keep_session(machine.id), delegated(), returned

    assert all(usable())
    machine.inflight_starts.sent(TASK, ATTEMPT)
    assert not any(usable())
    machine.inflight_starts.completed(TASK, ATTEMPT, machine.token_seen, machine.token_seen)
    assert not any(usable())
    machine.inflight_starts.token_seen(FencingToken(machine.token_seen + 1))
    assert all(usable())


def test_a_machines_token_rises_only_to_void_a_start_and_not_while_one_awaits_its_answer() -> None:
    player = ScenarioPlayer()
    player.do_machine("m1", "small", "a")
    player.do_lead()
    player.do_run("3")
    assert player.cluster.scheduler is not None
    machine = player.cluster.scheduler.machines[MachineId("m1")]
    tokens = FencingTokens(FencingToken(10))
    machine.fencing_token = machine.token_seen = FencingToken(10)
    starts = machine.inflight_starts
    assert tokens.void_starts(machine, TASK, ATTEMPT) and machine.fencing_token == 10
    starts.sent(TASK, ATTEMPT)
    tokens.commit_confirmed(FencingToken(12))
    assert not tokens.void_starts(machine, TASK, ATTEMPT)  # it awaits its answer
    starts.completed(TASK, ATTEMPT, FencingToken(10), machine.token_seen)
    other = Attempt(ATTEMPT + 1)
    starts.sent(TASK, other)
    assert not tokens.void_starts(machine, TASK, ATTEMPT)  # another one does
    starts.not_sent(TASK, other)
    assert machine.fencing_token == 10
    tokens.commit_confirmed(FencingToken(11))  # answered late
    assert tokens.void_starts(machine, TASK, ATTEMPT) and machine.fencing_token == 12
    starts.sent(TASK, other)
    starts.completed(TASK, other, FencingToken(12), machine.token_seen)
    assert not tokens.void_starts(machine, TASK, other)  # no higher token is known
    assert tokens.void_starts(machine, TASK, ATTEMPT) and machine.fencing_token == 12
