"""No order of requests, reads, commits and restarts makes a controller forget or go back on a job.

Every order of the steps of each scenario is run, on the code of `JobApi` and `JobStateCache`.
"""

from __future__ import annotations

from typing import NamedTuple

import pytest
from explored_job_api import ApiScenario, JobApiWorld, Request
from explored_job_states import Commit
from explorer import Exploration, explore
from mutations import MUTATIONS

FIRST, SECOND = "req-000001", "req-000002"
ENDED = (Commit("accept", FIRST), Commit("cancel", FIRST))
SUBMIT, POLL, CANCEL = (Request(what, FIRST) for what in ("submit", "poll", "cancel"))
MALFORMED, INFEASIBLE = (Request(what, FIRST) for what in ("malformed", "infeasible"))
DEPENDENT = Request("submit", SECOND, (FIRST,))


class Case(NamedTuple):
    """A scenario, and whether it must fail once a lookup in progress counts as its result."""

    scenario: ApiScenario
    fails_with_production_rule: bool = False


CASES = {
    "ended job submitted again and polled": Case(
        ApiScenario((SUBMIT, POLL), before=ENDED, failures=1), True
    ),
    "the same by three users": Case(ApiScenario((SUBMIT, POLL, POLL), before=ENDED), True),
    "the same with a restart": Case(ApiScenario((SUBMIT, POLL), before=ENDED, restarts=1), True),
    "ended job submitted malformed and infeasible": Case(
        ApiScenario((MALFORMED, INFEASIBLE), before=ENDED, failures=1), True
    ),
    "ended job cancelled again and polled": Case(
        ApiScenario((CANCEL, POLL), before=ENDED, failures=1), True
    ),
    "accepted and ended elsewhere during a submission": Case(
        ApiScenario((SUBMIT, POLL), commits=(Commit("accept", FIRST), Commit("done", FIRST)))
    ),
    "submitted and cancelled at once": Case(ApiScenario((SUBMIT, CANCEL), failures=1)),
    "done elsewhere during a cancellation": Case(
        ApiScenario(
            (CANCEL, POLL), before=(Commit("accept", FIRST),), commits=(Commit("done", FIRST),)
        )
    ),
    "malformed and infeasible while accepted elsewhere": Case(
        ApiScenario((MALFORMED, INFEASIBLE), commits=(Commit("accept", FIRST),))
    ),
    "dependency cancelled elsewhere": Case(
        ApiScenario(
            (DEPENDENT, Request("poll", SECOND)),
            before=(Commit("accept", FIRST),),
            commits=(Commit("cancel", FIRST),),
        )
    ),
    "dependency accepted elsewhere": Case(
        ApiScenario((DEPENDENT, POLL), commits=(Commit("accept", FIRST),))
    ),
    "dependency has ended": Case(ApiScenario((DEPENDENT, POLL), before=ENDED), True),
}


def _explore(scenario: ApiScenario) -> Exploration:
    return explore(lambda: JobApiWorld(scenario))


@pytest.mark.parametrize("name", CASES)
def test_no_order_forgets_a_job_or_goes_back_on_it(name: str, pytestconfig: pytest.Config) -> None:
    scenario = CASES[name].scenario
    more_users = scenario.requests[-1:] * pytestconfig.getoption("--more-users")
    found = _explore(scenario._replace(requests=scenario.requests + more_users))
    print(f"{name}: {found.states} states, {found.runs} runs")
    assert found.broken is None, found.schedule


@pytest.mark.parametrize("name", [name for name in CASES if CASES[name].fails_with_production_rule])
def test_some_order_fails_with_the_rule_of_production(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    MUTATIONS["look-up-first"](monkeypatch)
    found = _explore(CASES[name].scenario)
    print(f"{name}: {found.broken} after {found.states} states")
    assert found.broken is not None


def test_pair_of_the_fifth_record_is_found_with_the_rule_of_production(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    MUTATIONS["look-up-first"](monkeypatch)
    found = _explore(CASES["ended job submitted again and polled"].scenario)
    assert found.broken == f"forgotten: poll {FIRST}: 404"
