"""No order of messages keeps a cancelled task running, starts one twice or forgets one too early.

Every order of the steps of each scenario is run to its end (`explored_sessions.py`), on the code of
the scheduler that hears workers. `--more-users N` allows N more leaders, by hand.
"""

from __future__ import annotations

from typing import Any

import pytest
from explored_sessions import SessionScenario, SessionWorld
from explorer import Exploration, explore
from mutations import MUTATIONS

from umberward.scheduling.invariants import Invariants

LOST = SessionScenario(direct=False)  # direct commands and probes are lost, or late
SCENARIOS = {
    "two leaders after a cancellation": LOST._replace(leader_changes=2),
    "a former leader goes on answering": LOST._replace(
        leader_changes=1, isolated=True, cancelled=False
    ),
    "delegated to another controller": LOST._replace(delegations=1, steps=7),
    "direct commands and probes": SessionScenario(leader_changes=1, steps=5),
    "started by a direct command": SessionScenario(starts=True, steps=5),
}


def explored(scenario: SessionScenario) -> Exploration:
    return explore(lambda: SessionWorld(scenario))


@pytest.mark.parametrize("name", SCENARIOS)
def test_no_order_of_messages_breaks_a_rule(name: str, request: pytest.FixtureRequest) -> None:
    more = request.config.getoption("--more-users")
    scenario = SCENARIOS[name]
    result = explored(scenario._replace(leader_changes=scenario.leader_changes + more))
    print(f"{name}: {result.states} states, {result.runs} runs")
    assert result.broken is None, result.schedule


# Safeguard taken out, scenario, and the rule that breaks.
WITHOUT_SAFEGUARD = [
    ("renewal-without-stops", "two leaders after a cancellation", "ran_cancelled"),
    ("renewed-unreconciled", "a former leader goes on answering", "ran_twice"),
    ("loan-ends", "delegated to another controller", "ran_twice"),
    ("answered-start", "started by a direct command", "restarted"),
]


@pytest.mark.parametrize(("mutation", "name", "rule"), WITHOUT_SAFEGUARD)
def test_without_a_safeguard_a_rule_breaks(
    mutation: str, name: str, rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    MUTATIONS[mutation](monkeypatch)
    for check in ("may_renew", "may_forget"):  # which would refuse the step before
        monkeypatch.setattr(Invariants, check, lambda *_: True)
    found: Any = explored(SCENARIOS[name]).broken
    assert found is not None and found.startswith(rule)


def test_without_the_stops_the_invariant_refuses_the_renewal(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    MUTATIONS["renewal-without-stops"](monkeypatch)
    found: Any = explored(SCENARIOS["two leaders after a cancellation"]).broken
    assert found is not None and found.startswith("renewed_with_stops")
