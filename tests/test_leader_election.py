"""Answers of the state service that come while a controller has gone on to another lease."""

from __future__ import annotations

import random
from typing import Any

import curio
from simulated_cluster import raw_settings

from umberward.clients import state_client
from umberward.core.settings import OperatorSettings, validate
from umberward.core.types import FencingToken, Instant, LeaseId, Revision
from umberward.leader.leader_election import LeaderElection


class Slow:
    """Says what it is told to, when it is told to."""

    def __init__(self) -> None:
        self.asked: list[tuple[str, curio.Event]] = []
        self.says: dict[str, Any] = {}

    def set_role(self, leading: bool) -> None:
        pass

    async def _answer(self, what: str) -> Any:
        said = curio.Event()
        self.asked.append((what, said))
        await said.wait()
        found = self.says[what]
        if isinstance(found, Exception):
            raise found
        return found

    async def grant_lease(self, ttl_s: float) -> Any:
        return await self._answer("grant")

    async def renew_lease(self, lease: LeaseId, timeout: float) -> Any:
        return await self._answer("extend")

    async def commit(self, *_: Any, **__: Any) -> Any:
        return await self._answer("commit")

    async def say(self, number: int, found: Any) -> None:
        """The answer to the request of that number."""
        what, event = self.asked[number]
        self.says[what] = found
        await event.set()
        await curio.sleep(0)
        await curio.sleep(0)


class Game:
    def __init__(self) -> None:
        self.now = 100.0
        self.won: list[FencingToken] = []
        self.store = Slow()
        settings = validate(raw_settings(), OperatorSettings())
        self.made = LeaderElection(
            settings, self.store, random.Random(1), self._elected, self._lost, lambda: self.now
        )  # type: ignore[arg-type]

    async def _elected(self, epoch: FencingToken) -> None:
        self.won.append(epoch)

    async def _lost(self) -> None:
        pass

    async def begin(self, call: Any) -> None:
        await curio.spawn(call, daemon=True)
        await curio.sleep(0)


def test_of_two_leases_granted_at_once_the_first_is_kept() -> None:
    """A campaign's key hangs on it; renewals of the other would prove nothing."""

    async def play() -> None:
        game = Game()
        await game.begin(game.made._renew)
        await game.begin(game.made._campaign)
        await game.store.say(1, LeaseId(7))  # the campaign's
        await game.store.say(0, LeaseId(8))
        assert game.made.lease == 7

    curio.run(play)


def test_the_end_of_a_lease_of_before_ends_nothing() -> None:
    async def play() -> None:
        game = Game()
        game.made.lease, game.made.renewed_at = LeaseId(3), Instant(99.0)
        await game.begin(game.made._renew)
        game.made._abandon_lease()
        game.made.lease, game.made.nonce, game.made.renewed_at = LeaseId(4), "later", Instant(100.0)
        await game.store.say(0, state_client.LeaseExpiredError())
        assert (game.made.lease, game.made.nonce) == (4, "later")

    curio.run(play)


def test_no_term_begins_on_a_lease_that_was_let_go() -> None:
    async def play() -> None:
        game = Game()
        game.made.lease, game.made.renewed_at = LeaseId(3), Instant(game.now)
        await game.begin(game.made._campaign)
        game.made._abandon_lease()
        game.made.lease = LeaseId(4)
        await game.store.say(0, Revision(12))
        assert not game.won and not game.made.is_leader()

    curio.run(play)


def test_a_setting_that_leaves_no_time_keeps_workers_only_while_we_lead() -> None:
    raw = raw_settings()
    raw["cluster"]["workers"]["cancel_s"] = raw["cluster"]["workers"]["lease_s"] + 0.2
    made = LeaderElection(
        validate(raw, OperatorSettings()), None, random.Random(1), None, None, lambda: 100.0
    )  # type: ignore[arg-type]
    made.fencing_token, made.lease, made.renewed_at = FencingToken(5), LeaseId(1), Instant(99.0)
    assert made.bounds.keepalive_s == 0.0
    assert made.is_leader() and made.may_answer(Instant(99.0)) and not made.may_answer(None)
    made.renewed_at = Instant(96.0)
    assert not made.is_leader() and not made.may_answer(Instant(99.9))
