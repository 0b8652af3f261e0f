"""Each guard of the rules, and how it is taken out: the scenario that names it must fail then."""

from __future__ import annotations

import copy
from collections.abc import Callable
from typing import Any

import pytest

from umberward.control import job_api, job_state_cache
from umberward.control.cancellation_announcer import CancellationAnnouncer
from umberward.control.job_api import JobApi
from umberward.control.job_state_cache import JobStateCache
from umberward.core.types import JobId
from umberward.graphs import graph_job
from umberward.graphs.graph_job import DagJob
from umberward.graphs.live import LiveGraph
from umberward.leader import failover_snapshot, leader_loop
from umberward.leader.leader_election import LeaderElection
from umberward.protocol.http import Client
from umberward.protocol.wire import DONE, FinalJobRecord, JobRecord
from umberward.scheduling import (
    autoscaler,
    best_fit,
    dependencies,
    failure_attribution,
    failure_detector,
    lease_bounds,
    machine_selection,
    placement_pass,
    reachability,
)
from umberward.scheduling.consolidation import Consolidation
from umberward.scheduling.dependencies import NO_DEMAND, DependencyGraph, WaitingJobs
from umberward.scheduling.failure_attribution import FailureAttribution
from umberward.scheduling.failure_detector import FailureDetector
from umberward.scheduling.gang_reservation import GangReservations
from umberward.scheduling.heartbeats import HeartbeatHandler
from umberward.scheduling.inflight_commands import InflightStarts
from umberward.scheduling.jobs import Job
from umberward.scheduling.lease_bounds import LeaseBounds
from umberward.scheduling.lease_delegation import Delegate, Delegator
from umberward.scheduling.machine_blocks import MachineBlocks
from umberward.scheduling.machines import Machine
from umberward.scheduling.placement_pass import PlacementPass
from umberward.scheduling.quota import Quota
from umberward.scheduling.reachability import Reachability
from umberward.scheduling.scale_out import ScaleOutPlan
from umberward.scheduling.scheduler import Scheduler
from umberward.scheduling.state_writer import StateWriter
from umberward.scheduling.token_rotation import TokenRotation
from umberward.scheduling.unlocated_tasks import UnlocatedTasks

Patch = Callable[[pytest.MonkeyPatch], None]


def lease_wait(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(lease_bounds, "LEASE_MARGIN_S", -8.0)


def loan_bound(patch: pytest.MonkeyPatch) -> None:
    def session_over(self: Delegator, zone: Any, answered: Any, lent: Any, now: Any) -> bool:
        return bool(now - answered > self.bounds.lease_s)

    patch.setattr(Delegator, "lease_expired", session_over)


def loan_ends(patch: pytest.MonkeyPatch) -> None:
    whole = Delegate.__init__

    def init(self: Delegate, *args: Any) -> None:
        whole(self, *args)
        self.bounds.keepalive_s = 40.0

    patch.setattr(Delegate, "__init__", init)


def loan_age(patch: pytest.MonkeyPatch) -> None:
    whole = Scheduler.delegate

    def lend(self: Scheduler, *args: Any) -> Any:
        loan = whole(self, *args)
        loan.jobs_read_age_s = 0.0
        return loan

    patch.setattr(Scheduler, "delegate", lend)


def loan_unused(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Delegate, "unused", False)


def loan_without_stops(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Machine, "has_stopping_tasks", False)


def zones_apart(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(FailureDetector, "_find_cut_off_zones", lambda *_: set())


def settle_first(patch: pytest.MonkeyPatch) -> None:
    whole = Scheduler.finish_loading

    def load_done(self: Scheduler) -> None:
        whole(self)
        self.reconciliation_completed = True
        for job in self.jobs.values():
            job.requeue_unlocated()

    patch.setattr(Scheduler, "finish_loading", load_done)


def settle_again(patch: pytest.MonkeyPatch) -> None:
    whole = Scheduler.finish_loading

    def load_done(self: Scheduler) -> None:
        settled = [machine for machine in self.machines.values() if machine.reconciled]
        whole(self)
        for machine in settled:
            machine.reconciled = True

    patch.setattr(Scheduler, "finish_loading", load_done)


def token_first(patch: pytest.MonkeyPatch) -> None:
    whole = Scheduler.__init__

    def init(self: Scheduler, *args: Any) -> None:
        whole(self, *args)
        self.term_token = 0  # type: ignore[assignment]

    patch.setattr(Scheduler, "__init__", init)


def forget_after_commit(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Job, "is_completion_stored", lambda self, index: True)


def unanswered_start(patch: pytest.MonkeyPatch) -> None:
    whole = Scheduler.command_completed

    def commanded(self: Scheduler, command: Any, report: Any, unknown: bool, now: Any) -> None:
        whole(self, command, report, False, now)

    patch.setattr(Scheduler, "command_completed", commanded)


def quota_room(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Quota, "tasks_within_limit", lambda *_: 1000)


def quota_unsure(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(UnlocatedTasks, "usage_by_team", lambda _: {})


def allowed(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Scheduler, "admits_offer", lambda *_: True)


def apart(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        machine_selection,
        "best_fit",
        lambda need, count, rooms, distinct, left=None: best_fit.best_fit(
            need, count, rooms, distinct
        ),
    )


def same_place(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        machine_selection,
        "_choose_zone",
        lambda job, count, rooms, taken: best_fit.best_fit(job.need, count, rooms, 1),
    )


def kill_cancelled(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Scheduler, "remove_job", lambda *_: None)


def complete_first(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Job, "complete", property(lambda self: self.done_count >= self.size - 1))


def standing(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Quota, "fits_guarantee", lambda *_: False)


def past_lookup(patch: pytest.MonkeyPatch) -> None:
    async def state(self: JobStateCache, id: Any, urgent: bool = False) -> Any:
        await self._refresh()
        return self.live.get(id)

    patch.setattr(JobStateCache, "state", state)
    patch.setattr(JobStateCache, "keep_final", lambda self, id, final: None)


def known_first(patch: pytest.MonkeyPatch) -> None:
    """Every job is taken for one that was submitted."""

    async def known(self: JobApi, id: Any, urgent: bool = True) -> Any:
        state = job_api.JobStateResponse(job_id=id or JobId("req-0"), phase="pending", done_count=0)
        return job_api.state_response(state)

    patch.setattr(JobApi, "_known_response", known)


def mark_first(patch: pytest.MonkeyPatch) -> None:
    def job_marked(self: StateWriter, batch: Any, *_: Any) -> list[Any]:
        # The start goes out, but its mark never reaches the state service.
        for job, record in batch.job_records:
            job.placed_below = record.placed_below
            self.send_stored_starts(job)
        for number, hosts in batch.blocks:
            self.machine_blocks.record_stored(number, set(hosts))  # type: ignore[arg-type]
        return []

    patch.setattr(StateWriter, "transaction_committed", job_marked)

    from simulated_cluster import SimulatedStore

    async def commit(self: SimulatedStore, conditions: Any, writes: Any, **_: Any) -> Any:
        kept = [w for w in writes if not str(w.get("write", "")).startswith("jobs/live")]
        if "0" not in [str(stamp) for _, stamp in conditions]:
            writes = kept
        self.apply([], writes)
        return self.revision

    patch.setattr(SimulatedStore, "commit", commit)


def own_silence(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Scheduler, "wake", lambda *_: None)


def fresh_answers(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(job_state_cache, "MAX_STALENESS_S", 1e9)


def absent_known(patch: pytest.MonkeyPatch) -> None:
    async def state(self: JobStateCache, id: Any, urgent: bool = False) -> Any:
        self.absent.clear()
        return await whole(self, id)

    whole = JobStateCache.state
    patch.setattr(JobStateCache, "state", state)


def look_up_first(patch: pytest.MonkeyPatch) -> None:
    """As it was: the mark of a look-up under way is taken for its outcome."""

    async def found(self: JobStateCache, id: Any) -> Any:
        known = self.finals.get(id) or self.live.get(id)
        return await self._lookup_stored(id) if known is None and id not in self.absent else known

    patch.setattr(JobStateCache, "_lookup", found)


def ask_again(patch: pytest.MonkeyPatch) -> None:
    whole = Client.request

    async def request(self: Client, *args: Any, still: Any = None, **named: Any) -> Any:
        return await whole(self, *args, **named)

    patch.setattr(Client, "request", request)


def blame_jobs(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(failure_attribution, "FAULTY_JOB_AFTER_MACHINES", 1 << 30)


def blame_undone(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(FailureAttribution, "_exonerate", lambda *_: None)


def ever_rarer(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(FailureAttribution, "_delay_retry", lambda *_: None)


def hints_kept(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(failover_snapshot, "restore_snapshot", lambda *_: None)


def deaf(patch: pytest.MonkeyPatch) -> None:
    # As it was: any machine that is heard speaks for our own ears.
    patch.setattr(FailureDetector, "hears_nothing", lambda *_: False)
    patch.setattr(failure_detector, "HEARTBEAT_MARGIN_S", 4.0)


def few_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(failure_detector, "INDEPENDENT_FAILURE_SHARE", 1.0)


def graph_needs(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(LiveGraph, "is_ready", lambda *_: True)
    patch.setattr(
        DagJob, "requeue_unlocated", lambda self: self.requeued_tasks.extend(range(self.size))
    )


def graph_machines_cleared(patch: pytest.MonkeyPatch) -> None:
    """Failures of a task that fails everywhere count against machines."""
    patch.setattr(DagJob, "failure_excused", lambda *_: False)
    patch.setattr(failure_attribution, "QUARANTINE_AFTER_FAILURES", 1)


def graph_excused(patch: pytest.MonkeyPatch) -> None:
    """Failures count against their task, whatever is known of their machines."""
    patch.setattr(DagJob, "_used", lambda self, index: len(self.failed_attempts[index]))
    patch.setattr(graph_job, "EXTRA_ATTEMPTS", 0)


def graph_inferred(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(LiveGraph, "was_started", lambda *_: None)


def needs_first(patch: pytest.MonkeyPatch) -> None:
    def add(self: WaitingJobs, job: Job, needs: Any) -> None:
        self.cluster.admit_job(job)

    patch.setattr(WaitingJobs, "add", add)


def commit_first(patch: pytest.MonkeyPatch) -> None:
    """A report that a job is done is enough for those after it."""
    whole = StateWriter.note_completions

    def completions(self: StateWriter, job: Job) -> None:
        whole(self, job)
        if job.complete:
            self.cluster.apply_job_end(job.id, FinalJobRecord(DONE), self.cluster.wall_clock())

    patch.setattr(StateWriter, "note_completions", completions)


def derived(patch: pytest.MonkeyPatch) -> None:
    """A job is called cancelled only when its own record says so."""
    patch.setattr(DependencyGraph, "unresolved", lambda *_: set())
    whole = JobStateCache._lookup

    async def found(self: JobStateCache, id: Any) -> Any:
        return self.finals.get(id) or self.live.get(id) or await whole(self, id)

    patch.setattr(JobStateCache, "_lookup", found)


def claims(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(WaitingJobs, "demand_on", lambda *_: NO_DEMAND)
    patch.setattr(dependencies, "EXPECTED_DEMAND_SHARE", 2.0)


def part_in_order(patch: pytest.MonkeyPatch) -> None:
    """A block that machines leave is written like any other."""
    whole = MachineBlocks.split

    def part(self: MachineBlocks, number: int) -> None:
        whole(self, number)
        self.machines_moving_out.clear()

    patch.setattr(MachineBlocks, "split", part)


def rarer_passes(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(leader_loop, "SLOW_PASS_PAUSE_RATIO", 0.0)


def habits(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(dependencies, "EXPECTED_DEMAND_SHARE", 2.0)


def fits(patch: pytest.MonkeyPatch) -> None:
    def record(self: Job, marked: int) -> JobRecord:
        return JobRecord(
            self.spec, self.submitted_at, marked, self.done_below, f"{self.done_bitmap:x}"
        )

    patch.setattr(Job, "build_record", record)


def thrift(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Consolidation, "consolidate", lambda *_: None)


def _answered_stays(patch: pytest.MonkeyPatch, when: Callable[..., bool]) -> None:
    """When the report of a worker whose lease is known is taken in, and `when` says so of the
    machine before and after, the moment from which its lease is counted stays as it was."""
    whole = HeartbeatHandler.apply

    def report(self: HeartbeatHandler, report: Any, now: Any, hello: bool) -> Any:
        machine = self.cluster.machines.get(report.machine_id)
        before = None if machine is None else copy.copy(machine)
        orders = whole(self, report, now, hello)
        if machine and before and before.answered_at is not None and when(before, machine, report):
            machine.answered_at = before.answered_at
        return orders

    patch.setattr(HeartbeatHandler, "apply", report)


def session_anew(patch: pytest.MonkeyPatch) -> None:
    _answered_stays(patch, lambda before, after, _: before.incarnation < after.incarnation)


def settled_answered(patch: pytest.MonkeyPatch) -> None:
    _answered_stays(patch, lambda before, after, _: after.reconciled and not before.reconciled)


def overtaken_answered(patch: pytest.MonkeyPatch) -> None:
    _answered_stays(patch, lambda before, _, report: report.sequence <= before.sequence)


def asked_first(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(failure_detector, "PROBE_WAIT_S", -1.0)


def readable_or_known(patch: pytest.MonkeyPatch) -> None:
    whole = JobStateCache._apply_live

    def _live(self: JobStateCache, path: str, data: Any) -> None:
        if isinstance(data.get("spec"), dict):
            whole(self, path, data)
        else:
            self.live.pop(JobId(path.rpartition("/")[2]), None)

    patch.setattr(JobStateCache, "_apply_live", _live)


def read_of_its_own(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(job_state_cache, "RECENT_LISTING_S", 1e9)


def swept(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Scheduler, "find_unknown_jobs", lambda *_: [])


def mended(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Job, "count_lost_tasks", lambda _: 0)


def pass_alone(patch: pytest.MonkeyPatch) -> None:
    whole = PlacementPass.place_job

    def place_job(self: PlacementPass, job: Job, *rest: Any) -> None:
        """As if the first that fails ended the pass."""
        if self.failed_in != self.cluster.now:
            try:
                whole(self, job, *rest)
            except TypeError:
                self.failed_in = self.cluster.now

    patch.setattr(PlacementPass, "failed_in", -1.0, raising=False)
    patch.setattr(PlacementPass, "place_job", place_job)


def no_gathering(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(GangReservations, "update", lambda *_: None)


def gathers_what_fits(patch: pytest.MonkeyPatch) -> None:
    """Whatever could be of use is held back, for a gang that needs more than there is."""
    whole = GangReservations.denied_machines

    def denied(self: GangReservations, job: Job) -> set[Any]:
        first = next(iter(self.cluster.jobs.values()))
        long = [j for j in self.cluster.jobs.values() if j.gang and j.size > 1]
        if long and job is not long[0] and self.cluster.wall_clock() - long[0].ready_at > 48.0:
            return set(self.cluster.machines)
        return whole(self, job) if first else set()

    patch.setattr(GangReservations, "denied_machines", denied)


def gathered_room_is_used(patch: pytest.MonkeyPatch) -> None:
    def denied(self: GangReservations, job: Job) -> set[Any]:
        return {id for id, (owner, _) in self.reserved.items() if owner is not job}

    patch.setattr(GangReservations, "denied_machines", denied)


def hearing_off(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Machine, "unreachable", False)


def given_up(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Reachability, "machines_to_return", lambda *_: [])


def returned_anew(patch: pytest.MonkeyPatch) -> None:
    def returned(self: Reachability, machine: Machine, now: Any) -> None:
        self.suspect(machine, now, sure=True)

    patch.setattr(Reachability, "heard_after_silence", returned)
    patch.setattr(reachability, "PROMPT_PROBE_S", 1e9)


def many_unheard(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Reachability, "many_unreachable", lambda _: False)


def half_gangs(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Reachability, "_stop_waiting_gangs", lambda *_: None)


def copies_known(patch: pytest.MonkeyPatch) -> None:
    """A report that was answered before renews the lease as the first did."""
    whole = HeartbeatHandler._count_duplicate

    def _copy(self: HeartbeatHandler, machine: Machine, report: Any, now: Any) -> None:
        machine.answered_at = now
        whole(self, machine, report, now)

    patch.setattr(HeartbeatHandler, "_count_duplicate", _copy)


def confirmed(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Machine, "confirmed", property(lambda _: True, lambda *_: None), raising=False)


def cheap_only(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(placement_pass, "jobs_limited_to_affordable", lambda *_: {})
    patch.setattr(autoscaler, "jobs_limited_to_affordable", lambda *_: {})


def one_zone(patch: pytest.MonkeyPatch) -> None:
    def anywhere(self: ScaleOutPlan, job: Job, count: int, *_: Any) -> None:
        """As if room in any zone were room for it."""

    patch.setattr(ScaleOutPlan, "_request_for_gang", anywhere)


def knows_cancellations(patch: pytest.MonkeyPatch) -> None:
    """As if a granted renewal proved that nothing unknown was cancelled."""

    def may_answer(self: LeaseBounds, known: Any, held: Any, now: Any) -> bool:
        return known is not None and now < held + self.keepalive_s

    patch.setattr(LeaseBounds, "may_answer", may_answer)


def fresh_knows_nothing(patch: pytest.MonkeyPatch) -> None:
    whole = LeaderElection.may_answer

    def may_answer(self: LeaderElection, known: Any) -> bool:
        return whole(self, self.renewed_at if known is None else known)

    patch.setattr(LeaderElection, "may_answer", may_answer)


def tending_ends(patch: pytest.MonkeyPatch) -> None:
    whole = LeaseBounds.__init__

    def init(self: LeaseBounds, workers: Any) -> None:
        whole(self, workers)
        self.keepalive_s = 60.0

    patch.setattr(LeaseBounds, "__init__", init)


def lease_let_go(patch: pytest.MonkeyPatch) -> None:
    """Whoever gives up its term goes on renewing the lease that carries its key."""

    def _let_go(self: LeaderElection) -> None:
        self.nonce = ""

    patch.setattr(LeaderElection, "_abandon_lease", _let_go)


def longest_bound(patch: pytest.MonkeyPatch) -> None:
    """A new leader waits as long as a session lasts that its former holder does not tend."""
    whole = LeaseBounds.__init__

    def init(self: LeaseBounds, workers: Any) -> None:
        whole(self, workers)
        self.takeover_s = self.lease_s

    patch.setattr(LeaseBounds, "__init__", init)


def gang_done_together(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Job, "completed_with", lambda self, index: (index,))


def late_start(patch: pytest.MonkeyPatch) -> None:
    """A start counts as over until its answer is given up."""

    def may_arrive(self: InflightStarts, task: Any, attempt: Any) -> bool:
        starts = self._starts.get((task, attempt))
        return starts is not None and starts.timed_out_token is not None

    patch.setattr(InflightStarts, "may_arrive", may_arrive)


def exited_raise(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(TokenRotation, "unforgotten_exit", lambda *_: None)


def unwanted_start(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Scheduler, "has_unwanted_start", lambda *_: False)


def cancelled_use(patch: pytest.MonkeyPatch) -> None:
    """As it was: what is not live uses nothing, unless this leader has placed it."""
    patch.setattr(Scheduler, "count_remaining", lambda *_: None)
    whole = Scheduler.remove_job

    def job_gone(self: Scheduler, id: Any) -> None:
        whole(self, id)
        self.cancelled_jobs.clear()

    patch.setattr(Scheduler, "remove_job", job_gone)


def asked_anew(patch: pytest.MonkeyPatch) -> None:
    """Who asks shortly after somebody else gets what was read for that one."""
    whole = JobStateCache.state

    async def state(self: JobStateCache, id: Any, urgent: bool = False) -> Any:
        known = self.finals.get(id) or self.live.get(id)
        if known is not None and self.clock() - self.read_at <= job_state_cache.MAX_STALENESS_S:
            return known
        return await whole(self, id, urgent=urgent)

    patch.setattr(JobStateCache, "state", state)


def block_first(patch: pytest.MonkeyPatch) -> None:
    """A machine is given work before its name stands in a block."""
    whole = HeartbeatHandler.apply

    def report(self: HeartbeatHandler, report: Any, now: Any, hello: bool) -> Any:
        orders = whole(self, report, now, hello)
        machine = self.cluster.machines.get(report.machine_id)
        if machine is not None and machine.reconciled and machine.block_number is None:
            machine.block_number = -1
            machine.availability_changed()
        return orders

    patch.setattr(HeartbeatHandler, "apply", report)


def mute_unnoticed(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Reachability, "heartbeats_missing", lambda *_: None)


def starts_known(patch: pytest.MonkeyPatch) -> None:
    """As if the lease alone were enough to start something."""
    patch.setattr(LeaseBounds, "may_start", lambda *_: True)


def tells_others(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(CancellationAnnouncer, "announce", lambda *_: None)


MUTATIONS: dict[str, Patch] = {
    "lease-let-go": lease_let_go,
    "longest-bound": longest_bound,
    "gang-done-together": gang_done_together,
    "late-start": late_start,
    "exited-raise": exited_raise,
    "unwanted-start": unwanted_start,
    "tells-others": tells_others,
    "starts-known": starts_known,
    "mute-unnoticed": mute_unnoticed,
    "asked-anew": asked_anew,
    "block-first": block_first,
    "cancelled-use": cancelled_use,
    "knows-cancellations": knows_cancellations,
    "fresh-knows-nothing": fresh_knows_nothing,
    "tending-ends": tending_ends,
    "cheap-only": cheap_only,
    "one-zone": one_zone,
    "readable-or-known": readable_or_known,
    "read-of-its-own": read_of_its_own,
    "swept": swept,
    "mended": mended,
    "pass-alone": pass_alone,
    "gathering": no_gathering,
    "gathers-what-fits": gathers_what_fits,
    "gathered-room-is-used": gathered_room_is_used,
    "hearing": hearing_off,
    "given-up": given_up,
    "returned-anew": returned_anew,
    "many-unheard": many_unheard,
    "half-gangs": half_gangs,
    "copies-known": copies_known,
    "confirmed": confirmed,
    "asked-first": asked_first,
    "session-anew": session_anew,
    "settled-answered": settled_answered,
    "overtaken-answered": overtaken_answered,
    "loan-bound": loan_bound,
    "loan-ends": loan_ends,
    "loan-age": loan_age,
    "loan-unused": loan_unused,
    "loan-without-stops": loan_without_stops,
    "zones-apart": zones_apart,
    "lease-wait": lease_wait,
    "settle-first": settle_first,
    "settle-again": settle_again,
    "token-first": token_first,
    "forget-after-commit": forget_after_commit,
    "unanswered-start": unanswered_start,
    "quota-room": quota_room,
    "quota-unsure": quota_unsure,
    "allowed": allowed,
    "apart": apart,
    "same-place": same_place,
    "kill-cancelled": kill_cancelled,
    "complete-first": complete_first,
    "mark-first": mark_first,
    "standing": standing,
    "past-lookup": past_lookup,
    "known-first": known_first,
    "needs-first": needs_first,
    "graph-needs": graph_needs,
    "graph-machines-cleared": graph_machines_cleared,
    "graph-excused": graph_excused,
    "graph-inferred": graph_inferred,
    "commit-first": commit_first,
    "derived": derived,
    "claims": claims,
    "part-in-order": part_in_order,
    "fits": fits,
    "habits": habits,
    "rarer-passes": rarer_passes,
    "thrift": thrift,
    "deaf": deaf,
    "few-at-once": few_at_once,
    "hints-kept": hints_kept,
    "own-silence": own_silence,
    "fresh-answers": fresh_answers,
    "absent-known": absent_known,
    "ask-again": ask_again,
    "look-up-first": look_up_first,
    "blame-jobs": blame_jobs,
    "blame-undone": blame_undone,
    "ever-rarer": ever_rarer,
}
