"""Responses of the state service that arrive after the controller has changed to another lease."""

from __future__ import annotations

import random
from typing import Any

import curio
from cluster_settings import raw_settings

from umberward.clients import state_client
from umberward.core.settings import OperatorSettings, settings_from_toml
from umberward.core.types import FencingToken, Instant, LeaseId, Revision
from umberward.leader.leader_election import LeaderElection


class DelayedStore:
    """A state client whose responses the test chooses and delivers."""

    def __init__(self) -> None:
        self.requests: list[tuple[str, curio.Event]] = []
        self.responses: dict[str, Any] = {}

    def set_role(self, leading: bool) -> None:
        pass

    async def _answer(self, what: str) -> Any:
        delivered = curio.Event()
        self.requests.append((what, delivered))
        await delivered.wait()
        response = self.responses[what]
        if isinstance(response, Exception):
            raise response
        return response

    async def grant_lease(self, ttl_s: float) -> Any:
        return await self._answer("grant")

    async def renew_lease(self, lease: LeaseId, timeout: float) -> Any:
        return await self._answer("extend")

    async def commit(self, *_: Any, **__: Any) -> Any:
        return await self._answer("commit")

    async def respond(self, number: int, response: Any) -> None:
        """Deliver the response to the request with this number."""
        what, event = self.requests[number]
        self.responses[what] = response
        await event.set()
        await curio.sleep(0)
        await curio.sleep(0)


class Candidate:
    def __init__(self) -> None:
        self.now = 100.0
        self.tokens_won: list[FencingToken] = []
        self.store = DelayedStore()
        settings = settings_from_toml(raw_settings(), OperatorSettings())
        self.election = LeaderElection(
            settings, self.store, random.Random(1), self._elected, self._lost, lambda: self.now
        )  # type: ignore[arg-type]

    async def _elected(self, token: FencingToken) -> None:
        self.tokens_won.append(token)

    async def _lost(self) -> None:
        pass

    async def spawn_call(self, call: Any) -> None:
        await curio.spawn(call, daemon=True)
        await curio.sleep(0)


def test_of_two_leases_granted_at_once_the_first_is_kept() -> None:
    """A campaign's key is attached to it; renewals of the other would not keep that key."""

    async def run() -> None:
        candidate = Candidate()
        await candidate.spawn_call(candidate.election._renew)
        await candidate.spawn_call(candidate.election._campaign)
        await candidate.store.respond(1, LeaseId(7))  # of the campaign
        await candidate.store.respond(0, LeaseId(8))
        assert candidate.election.lease == 7

    curio.run(run)


def test_the_end_of_a_lease_of_before_ends_nothing() -> None:
    async def run() -> None:
        candidate = Candidate()
        candidate.election.lease, candidate.election.renewal_sent_at = LeaseId(3), Instant(99.0)
        await candidate.spawn_call(candidate.election._renew)
        candidate.election._abandon_lease()
        candidate.election.lease, candidate.election.nonce, candidate.election.renewal_sent_at = (
            LeaseId(4),
            "later",
            Instant(100.0),
        )
        await candidate.store.respond(0, state_client.LeaseExpiredError())
        assert (candidate.election.lease, candidate.election.nonce) == (4, "later")

    curio.run(run)


def test_no_term_begins_on_a_lease_that_was_let_go() -> None:
    async def run() -> None:
        candidate = Candidate()
        candidate.election.lease, candidate.election.renewal_sent_at = (
            LeaseId(3),
            Instant(candidate.now),
        )
        await candidate.spawn_call(candidate.election._campaign)
        candidate.election._abandon_lease()
        candidate.election.lease = LeaseId(4)
        await candidate.store.respond(0, Revision(12))
        assert not candidate.tokens_won and not candidate.election.is_leader()

    curio.run(run)


def test_a_setting_that_leaves_no_time_keeps_workers_only_while_we_lead() -> None:
    raw = raw_settings()
    raw["cluster"]["workers"]["cancel_s"] = raw["cluster"]["workers"]["lease_s"] + 0.2
    election = LeaderElection(
        settings_from_toml(raw, OperatorSettings()),
        None,
        random.Random(1),
        None,
        None,
        lambda: 100.0,
    )  # type: ignore[arg-type]
    election.fencing_token, election.lease, election.renewal_sent_at = (
        FencingToken(5),
        LeaseId(1),
        Instant(99.0),
    )
    assert election.bounds.renewal_window_s == 0.0
    assert (
        election.is_leader()
        and election.may_answer_heartbeat(Instant(99.0))
        and not election.may_answer_heartbeat(None)
    )
    election.renewal_sent_at = Instant(96.0)
    assert not election.is_leader() and not election.may_answer_heartbeat(Instant(99.9))
