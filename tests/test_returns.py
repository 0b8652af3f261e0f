"""A controller that ends is back within a fraction of a second, while its old lease still runs."""

from __future__ import annotations

import pytest
from simulated_controllers import SimulatedControllers
from test_scenarios import ScenarioPlayer

from umberward.leader import leader_election


def _ends_again_and_again() -> tuple[int, float, int]:
    """The leader ends every 0.4 s for 4 s and is back after 0.05 s: how often it led in that time,
    the longest time without another leader, and the requests a second."""
    game = SimulatedControllers()
    with game.playing():
        game.start("k0")
        game.run(2.0)
        assert game.leader() == "k0"
        game.start("k1")
        game.start("k2")
        game.run(1.0)
        won, before, longest = len(game.terms), game.state.requests, 0.0
        for _ in range(9):
            game.crash("k0")
            game.run(0.05)
            game.start("k0")
            waited = 0.0
            while game.leader() not in ("k1", "k2") and waited < 0.35:
                game.run(0.01)
                waited += 0.01
            longest = max(longest, waited)
            game.run(0.35)
        mine = sum(1 for label, _ in game.terms[won:] if label == "k0")
        rate = round((game.state.requests - before) / 4.0)
        assert [epoch for _, epoch in game.terms] == sorted({epoch for _, epoch in game.terms})
    return mine, longest, rate


def test_a_leader_that_ends_again_and_again_leaves_its_place() -> None:
    mine, longest, rate = _ends_again_and_again()
    assert mine == 0
    assert longest < 0.3
    assert rate < 100


def test_without_a_rest_it_would_keep_it(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(leader_election, "RESTARTED_LEADER_PAUSE_S", -1.0)
    mine, longest, _ = _ends_again_and_again()
    assert mine > 0 or longest >= 0.3


def test_alone_it_leads_again() -> None:
    game = SimulatedControllers()
    with game.playing():
        game.start("k0")
        game.run(2.0)
        game.crash("k0")
        game.run(0.05)
        game.start("k0")
        game.run(2.5)
        assert len(game.terms) == 2 and game.leader() == "k0"


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
    game = ScenarioPlayer()
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
    assert not game.cluster.broken
    for id in ("req-000001", "req-000010", "req-000011", "req-000012"):
        game.do_poll(id)
        assert game.see_phase() == "done"
    assert all(game.cluster.starts[f"req-000001/{n}"] == 1 for n in range(4))
