"""A controller that ends is back within a fraction of a second, while its old lease still runs."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import curio
import pytest
from test_scenarios import Play
from world import raw_settings

from umberward.clients import state
from umberward.control import membership
from umberward.control.membership import LEADER, Membership
from umberward.core.settings import Operator, check
from umberward.core.types import Epoch, LeaseId, Revision
from umberward.local import statecore
from umberward.local.statecore import StateCore
from umberward.protocol import wire

TTL_S = 0.9


class Store:
    """The state service with its leases, for several controllers in one process."""

    def __init__(self) -> None:
        self.core = StateCore()
        self.requests = 0

    def _asked(self) -> None:
        self.requests += 1
        self.core.tick(time.monotonic())

    def share(self, leading: bool) -> None:
        pass

    async def grant(self, ttl_s: float) -> LeaseId:
        self._asked()
        return LeaseId(self.core.grant(ttl_s, time.monotonic()))

    async def extend(self, lease: LeaseId, timeout: float) -> None:
        self._asked()
        if not self.core.extend(lease, time.monotonic()):
            raise state.NoLease

    async def entries(self, prefix: str) -> tuple[list[wire.Entry], Revision]:
        self._asked()
        return self.core.entries(prefix).entries, Revision(self.core.revision)

    async def commit(self, conditions: Any, writes: Any, **_: Any) -> Revision:
        self._asked()
        try:
            return Revision(self.core.commit(conditions, writes))
        except statecore.Failed:
            raise state.Conflict from None
        except statecore.Refused:
            raise state.NoLease from None

    async def watch(
        self, prefix: str, after: Revision, hold_s: float
    ) -> tuple[list[wire.Change], Revision]:
        self.requests += 1
        until = time.monotonic() + hold_s
        while True:
            self.core.tick(time.monotonic())
            news = self.core.news(prefix, after)
            if news or time.monotonic() > until:
                return news, Revision(self.core.revision)
            await curio.sleep(0.01)


class Controllers:
    def __init__(self) -> None:
        self.store = Store()
        self.tasks: dict[str, list[Any]] = {}
        self.terms: list[tuple[str, int]] = []  # who won, with which token
        self.rng = random.Random(5)

    async def start(self, label: str) -> None:
        raw = raw_settings()
        raw["label"] = label

        async def elected(epoch: Epoch) -> None:
            self.terms.append((label, epoch))

        async def lost() -> None:
            pass

        settings = check(raw, Operator(lease_seconds=TTL_S))
        made = Membership(settings, self.store, self.rng, elected, lost)  # type: ignore[arg-type]
        self.tasks[label] = [
            await curio.spawn(part, daemon=True) for part in (made.keep_lease, made.follow)
        ]

    async def end(self, label: str) -> None:
        for task in self.tasks.pop(label):
            await task.cancel()

    def leader(self) -> str | None:
        self.store.core.tick(time.monotonic())
        found = self.store.core.keys.get(LEADER)
        return None if found is None else str(found.data["node"])

    async def until(self, true: Callable[[], bool], seconds: float) -> float:
        """How long it took; as long as `seconds` if it has not come true."""
        since = time.monotonic()
        while not true() and time.monotonic() - since < seconds:
            await curio.sleep(0.01)
        return time.monotonic() - since


async def _ends_again_and_again() -> tuple[int, float, int]:
    """The leader ends every 0.4 s for 4 s and is back after 0.05 s: how often it led in that time,
    the longest time without another leader, and the requests a second."""
    game = Controllers()
    await game.start("k0")
    await game.until(lambda: game.leader() == "k0", 2.0)
    await game.start("k1")
    await game.start("k2")
    won = len(game.terms)
    before, longest = game.store.requests, 0.0
    for _ in range(9):
        await game.end("k0")
        await curio.sleep(0.05)
        await game.start("k0")
        longest = max(longest, await game.until(lambda: game.leader() in ("k1", "k2"), 0.35))
        await curio.sleep(0.35)
    mine = sum(1 for label, _ in game.terms[won:] if label == "k0")
    rate = round((game.store.requests - before) / 4.0)
    for label in list(game.tasks):
        await game.end(label)
    assert [epoch for _, epoch in game.terms] == sorted({epoch for _, epoch in game.terms})
    return mine, longest, rate


def test_a_leader_that_ends_again_and_again_leaves_its_place() -> None:
    mine, longest, rate = curio.run(_ends_again_and_again)
    assert mine == 0
    assert longest < 0.3
    assert rate < 100


def test_without_a_rest_it_would_keep_it(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(membership, "RETURN_REST_S", -1.0)
    mine, longest, _ = curio.run(_ends_again_and_again)
    assert mine > 0 or longest >= 0.3


def test_alone_it_leads_again() -> None:
    async def main() -> float:
        game = Controllers()
        await game.start("k0")
        await game.until(lambda: game.leader() == "k0", 2.0)
        await game.end("k0")
        await curio.sleep(0.05)
        await game.start("k0")
        took = await game.until(lambda: len(game.terms) == 2, 4.0)
        await game.end("k0")
        return took

    assert curio.run(main) < 2.5


PHASES = (
    "key taken",
    "blocks read",
    "jobs read",
    "machines unsettled",
    "start sent",
    "start shown",
)


@pytest.mark.parametrize("after_s", [0.1, 0.2, 0.5])
@pytest.mark.parametrize("phase", PHASES)
def test_a_leader_that_ends_in_any_phase_is_replaced_at_once(phase: str, after_s: float) -> None:
    """Three times in a row: no task runs twice, none is lost, and what ran goes on."""
    game = Play()
    for number in range(1, 5):
        game.do_machine(f"m{number}", "small", "a")
    game.do_lead()
    game.do_run("2.5")
    game.do_submit("req-000001", "shards=4", "cores=2", "runs=40")
    game.do_run("3")
    for turn in range(3):
        game.do_submit(f"req-00001{turn}", "shards=2", "cores=2", "runs=6")
        game.do_crash()
        game.do_run(str(after_s))
        if phase in ("key taken", "blocks read"):
            game.do_read_blocks()
            game.do_run("0.1" if phase == "blocks read" else "0")
            continue
        game.do_watch("on")
        game.do_lead()
        if phase == "machines unsettled":
            game.do_set("m1", "cut")
            game.do_run("0.3")
            game.do_set("m1", "not-cut")
        elif phase != "jobs read":
            game.do_run("0.1" if phase == "start sent" else "1.2")
    game.do_crash()
    game.do_run(str(after_s))
    game.do_watch("on")
    game.do_lead()
    game.do_run("70")
    assert not game.world.broken
    for id in ("req-000001", "req-000010", "req-000011", "req-000012"):
        game.do_poll(id)
        assert game.see_phase() == "done"
    assert all(game.world.starts[f"req-000001/{n}"] == 1 for n in range(4))
