"""Leaders that crash and restart within a fraction of a second, before their old lease expires."""

from __future__ import annotations

import pytest
from simulated_controllers import SimulatedControllers
from test_scenarios import ScenarioPlayer

from umberward.leader import leader_election


def _crash_repeatedly() -> tuple[int, float, int]:
    """Crash k0 nine times, every 0.4 s, and restart it after 0.05 s.

    Returns how often k0 was elected again, the longest time until another controller led, and the
    requests per second to the state service.
    """
    controllers = SimulatedControllers()
    with controllers.playing():
        controllers.start("k0")
        controllers.run(2.0)
        assert controllers.leader() == "k0"
        controllers.start("k1")
        controllers.start("k2")
        controllers.run(1.0)
        terms_before, before, longest_wait_s = (
            len(controllers.terms),
            controllers.state.requests,
            0.0,
        )
        for _ in range(9):
            controllers.crash("k0")
            controllers.run(0.05)
            controllers.start("k0")
            waited = 0.0
            while controllers.leader() not in ("k1", "k2") and waited < 0.35:
                controllers.run(0.01)
                waited += 0.01
            longest_wait_s = max(longest_wait_s, waited)
            controllers.run(0.35)
        terms_of_k0 = sum(1 for label, _ in controllers.terms[terms_before:] if label == "k0")
        rate = round((controllers.state.requests - before) / 4.0)
        assert [term for _, term in controllers.terms] == sorted(
            {term for _, term in controllers.terms}
        )
    return terms_of_k0, longest_wait_s, rate


def test_a_leader_that_ends_again_and_again_leaves_its_place() -> None:
    terms_of_k0, longest_wait_s, rate = _crash_repeatedly()
    assert terms_of_k0 == 0
    assert longest_wait_s < 0.3
    assert rate < 100


def test_without_a_rest_it_would_keep_it(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(leader_election, "RESTARTED_LEADER_CAMPAIGN_DELAY_S", -1.0)
    terms_of_k0, longest_wait_s, _ = _crash_repeatedly()
    assert terms_of_k0 > 0 or longest_wait_s >= 0.3


def test_alone_it_leads_again() -> None:
    controllers = SimulatedControllers()
    with controllers.playing():
        controllers.start("k0")
        controllers.run(2.0)
        controllers.crash("k0")
        controllers.run(0.05)
        controllers.start("k0")
        controllers.run(2.5)
        assert len(controllers.terms) == 2 and controllers.leader() == "k0"


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
    """Three crashes in a row: no task runs twice, none is lost, and running tasks go on."""
    player = ScenarioPlayer()
    for number in range(1, 5):
        player.do_machine(f"m{number}", "small", "a")
    player.do_lead()
    player.do_run("2.5")
    player.do_submit("req-000001", "shards=4", "cores=2", "runs=40")
    player.do_run("3")
    for turn in range(3):
        player.do_submit(f"req-00001{turn}", "shards=2", "cores=2", "runs=6")
        player.do_crash()
        player.do_run(str(after_s))
        if phase in ("key taken", "blocks read"):
            player.do_read_blocks()
            player.do_run("0.1" if phase == "blocks read" else "0")
            continue
        player.do_watch("on")
        player.do_lead()
        if phase == "machines unsettled":
            player.do_set("m1", "cut")
            player.do_run("0.3")
            player.do_set("m1", "not-cut")
        elif phase != "jobs read":
            player.do_run("0.1" if phase == "start sent" else "1.2")
    player.do_crash()
    player.do_run(str(after_s))
    player.do_watch("on")
    player.do_lead()
    player.do_run("70")
    assert not player.cluster.broken
    for id in ("req-000001", "req-000010", "req-000011", "req-000012"):
        player.do_poll(id)
        assert player.see_phase() == "done"
    assert all(player.cluster.starts[f"req-000001/{n}"] == 1 for n in range(4))
