"""Overlapping requests of users for the same jobs: an accepted job is never unknown.

A state machine draws the requests, the records that others write, and faults of the state service.
"""

from __future__ import annotations

import contextlib
import itertools
from typing import Any

import pytest
from cluster_settings import job_spec
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from mutations import MUTATIONS
from simulated_job_api import CONTROLLERS, SimulatedJobApis
from test_scenarios import ScenarioPlayer

from umberward.control.job_state_cache import RECENT_LISTING_S
from umberward.core.types import JobId
from umberward.protocol import wire
from umberward.scheduling import job_records

EXAMPLES = 150
EXAMPLES_TO_FIND_FORMER_FAULT = 100
STEPS = 25
JOB_IDS = [f"req-{number:06}" for number in range(1, 8)]
STORED_JOBS = {
    JOB_IDS[0]: wire.DONE,
    JOB_IDS[1]: wire.CANCELLED,
    JOB_IDS[2]: wire.PENDING,
}
NEVER_SUBMITTED = "req-999999"
UNREADABLE_RECORDS: tuple[object, ...] = ({}, {"phase": "over"}, {"phase": "done\n"}, "text")
REQUESTS = ("submit", "poll", "cancel", "submit dependent", "submit malformed", "submit infeasible")
# Faults of the links between one controller and the state service: fields of LinkFault after its
# two ends; True: of the answers, False: of the requests.
LINK_FAULTS: dict[str, tuple[bool, tuple[Any, ...]]] = {
    "slow lookups": (True, ("late", "/kv/", 0.01, 0.6, 0.7)),
    "late lookups": (False, ("late", "/kv/", 0.01, 0.6, 0.7)),
    "slow watches": (True, ("late", "/watch", 0.05, 1.0, 0.7)),
    "slow lists": (True, ("late", "/kv?prefix=jobs", 0.05, 0.8)),
    "lost answers": (True, ("lost", "/commit", 0.0, 0.0, 0.6)),
    "late transactions": (False, ("late", "/commit", 1.0, 8.0, 0.6)),
    "refused": (False, ("refuse",)),
}
jobs = st.sampled_from(JOB_IDS)
names = st.sampled_from(CONTROLLERS)
requests = st.tuples(st.sampled_from(REQUESTS), jobs, names, jobs)


class JobRequests(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.open = contextlib.ExitStack()

    @initialize()
    def begin(self) -> None:
        self.apis = self.open.enter_context(SimulatedJobApis().running())
        for job_id, phase in STORED_JOBS.items():
            self.apis.store_job(job_id, phase)

    @rule(
        asked=st.lists(requests, min_size=1, max_size=5),
        gap_s=st.sampled_from((0.0, 0.001, 0.004, 0.05)),
        after_s=st.sampled_from((0.0, 0.003, 0.3)),
    )
    def users_ask(
        self, asked: list[tuple[str, str, str, str]], gap_s: float, after_s: float
    ) -> None:
        for what, job_id, name, dependency in asked:
            self._ask(what, job_id, name, dependency)
            self.apis.run(gap_s)
        self.apis.run(after_s)

    @rule(
        job_id=jobs,
        whats=st.lists(st.sampled_from(REQUESTS[:3]), min_size=2, max_size=4),
        name=names,
        gap_s=st.sampled_from((0.0, 0.001, 0.003)),
    )
    def users_ask_for_one_job(self, job_id: str, whats: list[str], name: str, gap_s: float) -> None:
        self.users_ask([(what, job_id, name, job_id) for what in whats], gap_s, 0.0)

    def _ask(self, what: str, job_id: str, name: str, dependency: str) -> None:
        body = None
        if what == "submit dependent":
            if dependency == job_id or dependency not in self.apis.accepted:
                return
            if job_id in self.apis.needed_jobs(dependency) or job_id in self.apis.submitted:
                return
            body = job_spec(job_id, waits_on=[dependency])
        elif what == "submit malformed":
            body = {"uid": job_id}
        elif what == "submit infeasible":
            body = job_spec(job_id, cores=1e6)
        self.apis.ask(what.split()[0], job_id, name, body)

    @rule(name=names)
    def users_ask_for_a_job_nobody_submitted(self, name: str) -> None:
        for what in ("poll", "cancel"):
            self.apis.ask(what, NEVER_SUBMITTED, name)

    @rule(job_id=jobs, ends=st.booleans())
    def leader_writes(self, job_id: str, ends: bool) -> None:
        if ends:
            self.apis.end_job(job_id)
        else:
            self.apis.place_job(job_id)

    @rule(job_id=jobs, data=st.sampled_from(UNREADABLE_RECORDS))
    def final_record_is_unreadable(self, job_id: str, data: object) -> None:
        self.apis.end_job(job_id, data)

    @rule(count=st.sampled_from((1, 5, 15)))
    def others_write(self, count: int) -> None:
        self.apis.add_revisions(count)

    @rule(seconds=st.sampled_from((0.001, 0.006, 0.05, 0.3, 1.0, 6.0, 11.0)))
    def time_passes(self, seconds: float) -> None:
        self.apis.run(seconds)

    @rule(seconds=st.sampled_from((0.3, 0.5, 3.0)), job_id=jobs)
    def processes_pause_while_a_job_ends(self, seconds: float, job_id: str) -> None:
        self.apis.pause_processes(seconds)
        self.apis.end_job(job_id)

    @rule(name=names)
    def controller_restarts(self, name: str) -> None:
        self.apis.restart(name)

    @rule(label=st.sampled_from(sorted(LINK_FAULTS)), name=names)
    def link_fault_begins(self, label: str, name: str) -> None:
        of_answers, fault = LINK_FAULTS[label]
        ends = ("state", name) if of_answers else (name, "state")
        self.apis.set_fault(f"{label} {name}", *ends, *fault)

    @rule()
    def rate_limit_is_used_up(self) -> None:
        self.apis.state.request_bucket.tokens = 0.0

    @rule()
    def outage_begins(self) -> None:
        self.apis.state.set_down(True)

    @rule()
    def faults_end(self) -> None:
        self.apis.heal()

    @invariant()
    def answers_are_right(self) -> None:
        assert not self.apis.broken, self.apis.broken[:3]

    def teardown(self) -> None:
        try:
            if not self.apis.broken:
                self.apis.heal()
                self.apis.run(10.0)
                self.apis.check_all_known()
            assert not self.apis.broken, self.apis.broken[:3]
        finally:
            self.open.close()


def _run_examples(count: int = EXAMPLES) -> None:
    run_state_machine_as_test(
        JobRequests,
        settings=settings(
            max_examples=count,
            stateful_step_count=STEPS,
            deadline=None,
            database=None,
            derandomize=True,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_drawn_requests_never_find_an_accepted_job_unknown() -> None:
    _run_examples()


def test_drawn_requests_find_the_former_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    MUTATIONS["look-up-first"](monkeypatch)
    with pytest.raises(AssertionError, match="forgotten"):
        _run_examples(EXAMPLES_TO_FIND_FORMER_FAULT)


OVERLAPPING = list(itertools.combinations_with_replacement(REQUESTS, 2))
# A submission that finds the job's key taken but no job is only answered with 503.
HARMLESS_IF_MUTATED = [("submit", "submit")]


def _overlapping_requests(*whats: str) -> list[str]:
    """Send all requests for one ended job at once to a controller that has just started."""
    broken = []
    for gap_s in (0.0, 0.002, 0.004, 0.01):
        machine = JobRequests()
        machine.begin()
        try:
            machine.link_fault_begins("slow lookups", "k0")
            for number, what in enumerate(whats * 2):
                job_id = JOB_IDS[3 + number] if what == "submit dependent" else JOB_IDS[1]
                machine._ask(what, job_id, "k0", JOB_IDS[1])
                machine.apis.run(gap_s)
            machine.apis.run(3.0)
            broken += machine.apis.broken
        finally:
            machine.open.close()
    return broken


@pytest.mark.parametrize("whats", OVERLAPPING)
def test_overlapping_requests_for_an_ended_job_get_its_state(whats: tuple[str, str]) -> None:
    assert not _overlapping_requests(*whats)


@pytest.mark.parametrize("whats", [pair for pair in OVERLAPPING if pair not in HARMLESS_IF_MUTATED])
def test_overlapping_requests_fail_if_a_lookup_in_progress_counts(
    whats: tuple[str, str], monkeypatch: pytest.MonkeyPatch
) -> None:
    MUTATIONS["look-up-first"](monkeypatch)
    assert _overlapping_requests(*whats)


@pytest.mark.parametrize("data", UNREADABLE_RECORDS)
def test_unreadable_final_record_is_neither_an_answer_nor_a_cancellation(data: object) -> None:
    with SimulatedJobApis().running() as apis:
        apis.store_job(JOB_IDS[0])
        apis.ask("submit", JOB_IDS[1], "k0", job_spec(JOB_IDS[1], waits_on=[JOB_IDS[0]]))
        apis.run(0.1)
        apis.end_job(JOB_IDS[0], data)
        apis.answers.clear()
        for what, job_id, name in itertools.product(REQUESTS[:3], JOB_IDS[:1], CONTROLLERS):
            apis.ask(what, job_id, name)
        for name in CONTROLLERS:
            apis.ask("poll", JOB_IDS[1], name)
        apis.run(5.0)
        assert not apis.broken
        assert {status for *_, status in apis.answers} == {503}


def test_leader_ignores_unreadable_final_record_of_a_dependency() -> None:
    player = ScenarioPlayer()
    player.do_lead()
    player.do_submit(JOB_IDS[0])
    player.do_submit(JOB_IDS[1], f"waits_on={JOB_IDS[0]}")
    player.do_run("1")
    scheduler = player.cluster.scheduler
    for data in UNREADABLE_RECORDS:
        job_records.apply_final_record(scheduler, JobId(JOB_IDS[0]), data)
    assert not scheduler.blocked_jobs.jobs_to_cancel(1)
    assert JobId(JOB_IDS[1]) in scheduler.blocked_jobs.jobs


def _forget_live_job(apis: SimulatedJobApis, name: str, job_id: str) -> None:
    """Remove a live job from a controller's cache, as if a change had been missed."""
    apis.ask("poll", NEVER_SUBMITTED, name)
    apis.run(RECENT_LISTING_S + 1.0)
    del apis.controllers[name].job_states.live_jobs[JobId(job_id)]


@pytest.mark.parametrize("what", ["poll", "cancel", "submit infeasible"])
@pytest.mark.parametrize("ends_after_s", [0.0, 0.1, 0.2, 0.3, 0.4, 0.5])
def test_missed_job_that_ends_during_its_lookup_is_not_unknown(
    what: str, ends_after_s: float
) -> None:
    machine = JobRequests()
    machine.begin()
    try:
        _forget_live_job(machine.apis, "k0", JOB_IDS[2])
        machine.apis.set_fault("slow", "state", "k0", "late", "/kv/", 0.15, 0.15)
        machine._ask(what, JOB_IDS[2], "k0", JOB_IDS[2])
        machine.apis.run(ends_after_s)
        machine.apis.end_job(JOB_IDS[2])
        machine.apis.run(5.0)
        assert not machine.apis.broken
    finally:
        machine.open.close()


# Reads of a controller that are slow, or fail at first, while a job ends elsewhere.
SLOW_READS = {
    "job archived between two pages of a listing": ("state", "k0", "late", "/kv?prefix=", 0.2, 0.2),
    "first listing in progress": ("state", "k0", "hold", "/kv?prefix="),
    "refresh of a follower fails": ("state", "k0", "lost", "/watch"),
}


@pytest.mark.parametrize("what", ["poll", "cancel", "submit", "submit infeasible"])
@pytest.mark.parametrize("situation", SLOW_READS)
def test_job_that_ends_while_reads_are_slow_is_not_unknown(situation: str, what: str) -> None:
    with SimulatedJobApis().running() as apis:
        for number in range(6):  # three pages
            apis.store_job(f"req-{number:06d}")
        apis.ask("cancel", "req-000001", "k1")
        apis.run(1.0)
        apis.restart("k0")
        apis.set_fault(situation, *SLOW_READS[situation])
        for job_id in ("req-000001", "req-000003", "req-000005") * 4:
            body = job_spec(job_id, cores=1e6) if what == "submit infeasible" else None
            apis.ask(what.split()[0] if what != "cancel" else "poll", job_id, "k0", body)
            apis.run(0.11)
            if job_id != "req-000001":
                apis.ask("cancel", job_id, "k1" if what != "cancel" else "k0")
        apis.heal()
        apis.run(3.0)
        assert not apis.broken and apis.answers
