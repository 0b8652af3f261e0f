"""No order of requests, reads and commits lets a controller forget or go back on a job.

Every order of the steps of each scenario is run, on the code of `JobStateCache` itself. A scenario
must fail once one of the safeguards beside it is taken out.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import pytest
from explored_job_states import Commit, JobStateWorld, Scenario
from explorer import Exploration, explore, replay
from mutations import MUTATIONS

from umberward.control import job_state_cache
from umberward.control.absent_jobs import AbsentJob, AbsentJobCache
from umberward.control.job_state_cache import JobStateCache
from umberward.control.job_states import JobState
from umberward.core.types import JobId, Revision
from umberward.protocol import wire

FIRST, SECOND, THIRD = "req-000001", "req-000002", "req-000003"


class Case(NamedTuple):
    """A scenario, and the mutations with which it must fail."""

    scenario: Scenario
    mutations: tuple[str, ...] = ()


def _keep_absent_when_listing(patch: pytest.MonkeyPatch) -> None:
    """A listing does not clear which jobs are unknown."""
    patch.setattr(AbsentJobCache, "clear", lambda _: None)


def _no_live_record_after_an_old_listing(patch: pytest.MonkeyPatch) -> None:
    """A job that is in no listing and in no change is unknown, however old the listing is."""
    patch.setattr(job_state_cache, "RECENT_LISTING_S", 1e9)


def _no_changes_after_the_pages(patch: pytest.MonkeyPatch) -> None:
    """What changed while the pages of a listing were read is not applied."""
    original = JobStateCache._apply_changes_after
    apply_change = JobStateCache._apply_change

    async def apply(self: JobStateCache, revision: Revision) -> None:
        self.ignores_changes = self.watched_revision is None  # type: ignore[attr-defined]
        await original(self, revision)

    def apply_one(self: JobStateCache, change: wire.KeyChange) -> None:
        if not self.ignores_changes:  # type: ignore[attr-defined]
            apply_change(self, change)

    patch.setattr(JobStateCache, "_apply_changes_after", apply)
    patch.setattr(JobStateCache, "_apply_change", apply_one)


def _live_record_before_final(patch: pytest.MonkeyPatch) -> None:
    """A live record that is cached counts more than a final one."""
    original = JobStateCache._lookup

    async def lookup(self: JobStateCache, job_id: JobId) -> JobState | AbsentJob:
        return self.live_jobs.get(job_id) or await original(self, job_id)

    patch.setattr(JobStateCache, "_lookup", lookup)


TAKEN_OUT: dict[str, Callable[[pytest.MonkeyPatch], None]] = {
    "confirmed lookup": MUTATIONS["look-up-first"],
    "clearing by a listing": _keep_absent_when_listing,
    "live record after an old listing": _no_live_record_after_an_old_listing,
    "changes after the pages": _no_changes_after_the_pages,
    "final record first": _live_record_before_final,
}


CASES = {
    "ended before the start": Case(
        Scenario(
            before=(Commit("accept", FIRST), Commit("cancel", FIRST)),
            asks=((FIRST,), (FIRST,)),
            failures=1,
        ),
        ("confirmed lookup",),
    ),
    "accepted and ended": Case(
        Scenario(
            commits=(Commit("accept", FIRST), Commit("done", FIRST)),
            asks=((FIRST,), (FIRST,)),
            by_answer_time=True,
        ),
        ("confirmed lookup", "final record first"),
    ),
    "ends between two pages": Case(
        Scenario(
            before=(Commit("accept", FIRST), Commit("accept", SECOND)),
            commits=(Commit("cancel", SECOND),),
            asks=((SECOND,), (SECOND,)),
            page_entries=1,
            failures=1,
        ),
        ("confirmed lookup",),
    ),
    "accepted between two pages": Case(
        Scenario(
            before=(Commit("accept", SECOND), Commit("accept", THIRD)),
            commits=(Commit("accept", FIRST),),
            asks=((FIRST,), (FIRST,)),
            by_answer_time=True,
            page_entries=1,
        ),
        ("changes after the pages",),
    ),
    "changes lost to a compaction": Case(
        Scenario(
            commits=(Commit("accept", FIRST), Commit("cancel", FIRST)),
            asks=((FIRST,), (FIRST,)),
            retained_changes=2,
        ),
        ("clearing by a listing",),
    ),
    "final records evicted": Case(
        Scenario(
            before=(Commit("accept", FIRST), Commit("accept", SECOND), Commit("done", FIRST)),
            commits=(Commit("cancel", SECOND),),
            asks=((SECOND,), (FIRST, SECOND)),
            cached_records=1,
        ),
        ("confirmed lookup",),
    ),
    "live job missed": Case(
        Scenario(
            before=(Commit("accept", FIRST),),
            once_listed=(Commit("miss", FIRST),),
            commits=(Commit("done", FIRST),),
            asks=((FIRST,), (FIRST,)),
        ),
        ("live record after an old listing",),
    ),
    "missed job ends during its lookup, and its record is evicted": Case(
        Scenario(
            before=(Commit("accept", FIRST), Commit("accept", SECOND)),
            once_listed=(Commit("miss", FIRST),),
            commits=(Commit("done", FIRST), Commit("done", SECOND)),
            asks=((FIRST,), (FIRST,)),
            cached_records=1,
        ),
    ),
    "dependency cancelled": Case(
        Scenario(
            before=(Commit("accept", FIRST), Commit("accept", SECOND, (FIRST,))),
            commits=(Commit("cancel", FIRST),),
            asks=((SECOND,), (SECOND,)),
            failures=1,
        ),
    ),
}


def _explore(scenario: Scenario) -> Exploration:
    return explore(lambda: JobStateWorld(scenario))


@pytest.mark.parametrize("name", CASES)
def test_no_order_forgets_a_job_or_goes_back_on_it(name: str, pytestconfig: pytest.Config) -> None:
    scenario = CASES[name].scenario
    more_users = scenario.asks[:1] * pytestconfig.getoption("--more-users")
    found = _explore(scenario._replace(asks=more_users + scenario.asks))
    print(f"{name}: {found.states} states, {found.runs} runs")
    assert found.broken is None, found.schedule


@pytest.mark.parametrize(
    ("name", "taken_out"), [(name, guard) for name in CASES for guard in CASES[name].mutations]
)
def test_some_order_fails_once_a_safeguard_is_taken_out(
    name: str, taken_out: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    TAKEN_OUT[taken_out](monkeypatch)
    assert _explore(CASES[name].scenario).broken is not None


def test_each_safeguard_is_needed_in_some_scenario() -> None:
    assert {guard for case in CASES.values() for guard in case.mutations} == set(TAKEN_OUT)


# Found with three users. The second one looks the missed job up while the jobs are listed anew,
# and it ends before that listing has reached it.
MISSED_JOB_ENDS_DURING_A_LISTING = (
    ["user 0", *["refresh"] * 5, *["user 0"] * 4, "user 1", *["refresh"] * 5, "user 0", "user 2"],
    ["refresh", "refresh", "user 1", "user 1", f"done {FIRST}", "user 1"],
)


def test_missed_job_that_ends_while_the_jobs_are_listed_is_not_unknown() -> None:
    scenario = CASES["live job missed"].scenario
    world = JobStateWorld(scenario._replace(asks=scenario.asks[:1] + scenario.asks))
    steps = [step for part in MISSED_JOB_ENDS_DURING_A_LISTING for step in part]
    assert replay(world, steps) == []
