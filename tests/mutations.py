"""Mutations of the code under test, each of which disables one safeguard.

A scenario with a line `guard NAME` must fail with the mutation of that name.
"""

from __future__ import annotations

import copy
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
import simulated_graphs

from umberward.control import job_api, job_state_cache
from umberward.control.absent_jobs import AbsentJob
from umberward.control.cancellation_announcer import CancellationAnnouncer
from umberward.control.job_api import JobApi
from umberward.control.job_state_cache import JobStateCache
from umberward.control.stored_jobs import final_key
from umberward.core.types import JobId, Revision
from umberward.graphs import graph_job
from umberward.graphs.graph_job import GraphJob
from umberward.graphs.live import LiveGraph
from umberward.leader import failover_snapshot, leader_loop
from umberward.leader.leader_election import LeaderElection
from umberward.protocol import cloud_messages
from umberward.protocol.http import Client
from umberward.protocol.transactions import AbsentKey
from umberward.protocol.wire import DONE, FinalJobRecord, JobRecord
from umberward.scheduling import (
    autoscaler,
    best_fit,
    dependencies,
    failure_attribution,
    job_constraints,
    job_failures,
    machine_selection,
    placement_pass,
    quarantine,
)
from umberward.scheduling.best_fit import MachineRoom
from umberward.scheduling.consolidation import Consolidation
from umberward.scheduling.dependencies import NO_DEMAND, BlockedJobs, DependencyGraph
from umberward.scheduling.failure_attribution import FailureAttribution
from umberward.scheduling.fencing_tokens import FencingTokens
from umberward.scheduling.gang_reservation import GangReservations
from umberward.scheduling.inflight_commands import InflightStarts
from umberward.scheduling.jobs import Job
from umberward.scheduling.machine_blocks import MachineBlocks
from umberward.scheduling.machines import Machine
from umberward.scheduling.placement_pass import PlacementPass
from umberward.scheduling.placement_search import JobSearch, PassState
from umberward.scheduling.quarantine import DueTrials, MachineQuarantines
from umberward.scheduling.quota import Quota
from umberward.scheduling.scale_out import ScaleOutPlan
from umberward.scheduling.scheduler import Scheduler
from umberward.scheduling.sessions import failure_detector, lease_bounds, reachability
from umberward.scheduling.sessions.failure_detector import FailureDetector
from umberward.scheduling.sessions.heartbeats import HeartbeatHandler
from umberward.scheduling.sessions.lease_bounds import LeaseBounds
from umberward.scheduling.sessions.lease_delegation import Delegate, Delegator
from umberward.scheduling.sessions.machine_checks import MachineChecks
from umberward.scheduling.sessions.reachability import Reachability
from umberward.scheduling.sessions.session_renewal import SessionRenewal
from umberward.scheduling.state_writer import StateWriter
from umberward.scheduling.token_rotation import TokenRotation
from umberward.scheduling.unlocated_tasks import UnlocatedTasks

Patch = Callable[[pytest.MonkeyPatch], None]


def lease_wait(patch: pytest.MonkeyPatch) -> None:
    """Leases count as expired several seconds too early."""
    patch.setattr(lease_bounds, "LEASE_MARGIN_S", -8.0)


def loan_bound(patch: pytest.MonkeyPatch) -> None:
    """A session counts as over one lease after the leader's last answer, even if delegated."""

    def lease_expired(self: Delegator, zone: Any, answered: Any, lent: Any, now: Any) -> bool:
        return bool(now - answered > self.bounds.lease_s)

    patch.setattr(Delegator, "lease_expired", lease_expired)


def loan_ends(patch: pytest.MonkeyPatch) -> None:
    """A delegate may renew leases for longer than the delegation permits."""
    original = Delegate.__init__

    def init(self: Delegate, *args: Any) -> None:
        original(self, *args)
        self.bounds.renewal_window_s = 40.0

    patch.setattr(Delegate, "__init__", init)


def loan_age(patch: pytest.MonkeyPatch) -> None:
    """A delegation counts from when it was sent, not from when the leader last read the jobs."""
    original = Scheduler.issue_delegation

    def issue_delegation(self: Scheduler, *args: Any) -> Any:
        delegation = original(self, *args)
        delegation.jobs_read_age_s = 0.0
        return delegation

    patch.setattr(Scheduler, "issue_delegation", issue_delegation)


def loan_unused(patch: pytest.MonkeyPatch) -> None:
    """A delegate never reports that it has renewed no session."""
    patch.setattr(Delegate, "unused", False)


def loan_without_stops(patch: pytest.MonkeyPatch) -> None:
    """Lease renewal is delegated even for machines where tasks are being stopped."""
    patch.setattr(Machine, "has_stopping_tasks", False)


def zones_apart(patch: pytest.MonkeyPatch) -> None:
    """No zone counts as cut off with a controller that may renew the leases there."""
    patch.setattr(FailureDetector, "_find_cut_off_zones", lambda *_: set())


def settle_first(patch: pytest.MonkeyPatch) -> None:
    """A new leader requeues the tasks it has not located at once, before reconciling machines."""
    original = Scheduler.finish_loading

    def finish_loading(self: Scheduler) -> None:
        original(self)
        self.reconciliation_completed = True
        for job in self.jobs.values():
            job.requeue_unlocated()

    patch.setattr(Scheduler, "finish_loading", finish_loading)


def settle_again(patch: pytest.MonkeyPatch) -> None:
    """Machines that were reconciled before the jobs were loaded are not reconciled again."""
    original = Scheduler.finish_loading

    def finish_loading(self: Scheduler) -> None:
        reconciled = [machine for machine in self.machines.values() if machine.reconciled]
        original(self)
        for machine in reconciled:
            machine.reconciled = True

    patch.setattr(Scheduler, "finish_loading", finish_loading)


def token_first(patch: pytest.MonkeyPatch) -> None:
    """Heartbeats under an older fencing token reconcile a machine."""
    original = Scheduler.__init__

    def init(self: Scheduler, *args: Any) -> None:
        original(self, *args)
        self.tokens.initial = 0  # type: ignore[assignment]

    patch.setattr(Scheduler, "__init__", init)


def forget_after_commit(patch: pytest.MonkeyPatch) -> None:
    """A worker may forget a completed task before the completion is stored."""
    patch.setattr(Job, "is_completion_stored", lambda self, index: True)


def _never_raise_tokens(patch: pytest.MonkeyPatch) -> None:
    def void_starts(self: FencingTokens, machine: Machine, task: Any, attempt: Any) -> bool:
        return machine.inflight_starts.is_void_under(task, attempt, machine.fencing_token)

    patch.setattr(FencingTokens, "void_starts", void_starts)


def unanswered_start(patch: pytest.MonkeyPatch) -> None:
    """A command without an answer counts as not executed, and no token voids it."""
    _never_raise_tokens(patch)
    original = Scheduler.command_completed

    def command_completed(
        self: Scheduler, command: Any, report: Any, unknown: bool, now: Any
    ) -> None:
        original(self, command, report, False, now)

    patch.setattr(Scheduler, "command_completed", command_completed)


def quota_room(patch: pytest.MonkeyPatch) -> None:
    """Teams have no maximum."""
    patch.setattr(Quota, "tasks_within_limit", lambda *_: 1000)


def quota_unsure(patch: pytest.MonkeyPatch) -> None:
    """Unlocated tasks of a previous leader do not count against their team's limit."""
    patch.setattr(UnlocatedTasks, "usage_by_team", lambda _: {})


def allowed(patch: pytest.MonkeyPatch) -> None:
    """Jobs may use machines of any type, zone and kind."""
    patch.setattr(Scheduler, "admits_offer", lambda *_: True)


def apart(patch: pytest.MonkeyPatch) -> None:
    """The tasks of a job need not be spread over zones."""
    patch.setattr(
        machine_selection,
        "best_fit",
        lambda need, count, rooms, distinct, left=None: best_fit.best_fit(
            need, count, rooms, distinct
        ),
    )


def same_place(patch: pytest.MonkeyPatch) -> None:
    """A job that must run in one zone may start where only some of its tasks fit."""
    patch.setattr(
        machine_selection,
        "_choose_zone",
        lambda job, count, rooms, taken: best_fit.best_fit(job.need, count, rooms, 1),
    )


def kill_cancelled(patch: pytest.MonkeyPatch) -> None:
    """The tasks of a cancelled job are not stopped."""
    patch.setattr(Scheduler, "remove_job", lambda *_: None)


def complete_first(patch: pytest.MonkeyPatch) -> None:
    """A job counts as complete when one task is missing."""
    patch.setattr(Job, "complete", property(lambda self: self.done_count >= self.size - 1))


def standing(patch: pytest.MonkeyPatch) -> None:
    """No job counts as within its team's guarantee."""
    patch.setattr(Quota, "fits_guarantee", lambda *_: False)


def absence(cache: JobStateCache, id: JobId) -> AbsentJob:
    """A job that is called unknown without a proof."""
    never_read = AbsentKey(final_key(id), Revision(0))
    return AbsentJob(id, never_read, 0.0, cache.refresh_sent_at, cache.watched_revision)


def past_lookup(patch: pytest.MonkeyPatch) -> None:
    """Job states are not looked up among the final records."""

    async def state(self: JobStateCache, id: Any, urgent: bool = False) -> Any:
        await self._refresh()
        return self.live_jobs.get(id) or absence(self, id)

    patch.setattr(JobStateCache, "state", state)
    patch.setattr(JobStateCache, "add_final_record", lambda self, id, final: None)


def known_first(patch: pytest.MonkeyPatch) -> None:
    """Any job id counts as that of a submitted job."""

    async def existing_job_response(self: JobApi, id: Any, urgent: bool = True) -> Any:
        state = job_api.JobStateResponse(job_id=id or JobId("req-0"), phase="pending", done_count=0)
        return job_api.state_response(state)

    patch.setattr(JobApi, "_existing_job_response", existing_job_response)


def mark_first(patch: pytest.MonkeyPatch) -> None:
    """A start is sent although the job's record was stored without its mark."""

    def transaction_committed(self: StateWriter, batch: Any, *_: Any) -> list[Any]:
        # The start is sent, but its mark never reaches the state service.
        for job, record in batch.job_records:
            job.placed_below = record.placed_below
            self.send_stored_starts(job)
        for number, hosts in batch.blocks:
            self.machine_blocks.record_stored(number, set(hosts))  # type: ignore[arg-type]
        return []

    patch.setattr(StateWriter, "transaction_committed", transaction_committed)

    from simulated_store import SimulatedStore

    async def commit(self: SimulatedStore, conditions: Any, writes: Any, **_: Any) -> Any:
        kept = [w for w in writes if not str(w.get("write", "")).startswith("jobs/live")]
        if "0" not in [str(stamp) for _, stamp in conditions]:
            writes = kept
        self.apply([], writes)
        return self.revision

    patch.setattr(SimulatedStore, "commit", commit)


def own_silence(patch: pytest.MonkeyPatch) -> None:
    """A pause of the leader's process counts as silence of the machines."""
    patch.setattr(Scheduler, "discount_process_pause", lambda *_: None)


def fresh_answers(patch: pytest.MonkeyPatch) -> None:
    """A job state is answered however long ago it was read."""
    patch.setattr(job_state_cache, "MAX_STALENESS_S", 1e9)


def absent_known(patch: pytest.MonkeyPatch) -> None:
    """It is not remembered which jobs are unknown."""

    async def state(self: JobStateCache, id: Any, urgent: bool = False) -> Any:
        self.absent_jobs.clear()
        return await original(self, id)

    original = JobStateCache.state
    patch.setattr(JobStateCache, "state", state)


def look_up_first(patch: pytest.MonkeyPatch) -> None:
    """As in a former fault, the marker of a lookup in progress counts as its result."""

    async def lookup(self: JobStateCache, id: Any) -> Any:
        known = self.final_records.get(id) or self.live_jobs.get(id)
        if known is not None:
            return known
        return absence(self, id) if id in self.absent_jobs else await self._lookup_stored(id)

    patch.setattr(JobStateCache, "_lookup", lookup)


def ask_again(patch: pytest.MonkeyPatch) -> None:
    """A request is sent even if its reason no longer holds at that moment."""
    original = Client.request

    async def request(self: Client, *args: Any, may_send: Any = None, **named: Any) -> Any:
        return await original(self, *args, **named)

    patch.setattr(Client, "request", request)


def blame_jobs(patch: pytest.MonkeyPatch) -> None:
    """A job never counts as faulty, on however many machines it fails."""
    patch.setattr(failure_attribution, "FAULTY_JOB_AFTER_MACHINES", 1 << 30)


def blame_tasks(patch: pytest.MonkeyPatch) -> None:
    """A single task never counts as faulty, on however many machines it fails."""
    patch.setattr(job_failures, "FAULTY_TASK_AFTER_MACHINES", 1 << 30)


def gang_avoids(patch: pytest.MonkeyPatch) -> None:
    """A gang never uses a machine on which it has failed besides others."""
    machine_rooms = machine_selection._machine_rooms

    def without_avoided(
        cluster: Any, job: Job, candidates: Any, preferred: Any
    ) -> list[MachineRoom]:
        rooms = machine_rooms(cluster, job, candidates, preferred)
        used = [room for room in rooms if room.machine_id not in job.avoided_machines]
        return used or rooms

    patch.setattr(machine_selection, "_machine_rooms", without_avoided)


def no_trials(patch: pytest.MonkeyPatch) -> None:
    """A machine in quarantine gets no trial, so that only its tasks from before can prove it."""
    patch.setattr(MachineQuarantines, "due_trials", lambda *_: DueTrials([], set(), set()))


def ended_jobs_count(patch: pytest.MonkeyPatch) -> None:
    """The failures of a job still count against machines after it has ended."""
    patch.setattr(MachineQuarantines, "withdraw_evidence", lambda *_: None)


def trials_first(patch: pytest.MonkeyPatch) -> None:
    """A trial goes before the machines that are not in quarantine."""
    find_machines = PlacementPass._find_machines

    def find_trial_first(self: PlacementPass, search: JobSearch, state: PassState) -> None:
        self._choose_trials(search, state)
        if not search.chosen:
            find_machines(self, search, state)

    patch.setattr(PlacementPass, "_find_machines", find_trial_first)
    patch.setattr(
        machine_selection,
        "_trial_room",
        lambda job, trial: MachineRoom(trial.machine.id, trial.machine.zone, job.need, (-1.0,)),
    )


def eager_trials(patch: pytest.MonkeyPatch) -> None:
    """A machine in quarantine may be tried at any time."""
    patch.setattr(quarantine, "trial_pause_s", lambda _: 0.0)


def blame_undone(patch: pytest.MonkeyPatch) -> None:
    """A faulty job that runs well after all still counts as faulty."""
    patch.setattr(FailureAttribution, "_mark_known_to_work", lambda *_: None)


def ever_rarer(patch: pytest.MonkeyPatch) -> None:
    """A faulty job is retried without a delay."""
    patch.setattr(FailureAttribution, "_delay_retry", lambda *_: None)


def hints_kept(patch: pytest.MonkeyPatch) -> None:
    """A new leader ignores the snapshot of its predecessor."""
    patch.setattr(failover_snapshot, "restore_snapshot", lambda *_: None)


def deaf(patch: pytest.MonkeyPatch) -> None:
    """A leader that is cut off from all workers takes them for failed."""
    # As in a former fault, a heartbeat of any machine proves that the leader receives them.
    patch.setattr(FailureDetector, "all_workers_silent", lambda *_: False)
    patch.setattr(failure_detector, "HEARTBEAT_MARGIN_S", 4.0)


def few_at_once(patch: pytest.MonkeyPatch) -> None:
    """Any number of machines may count as failed at once."""
    patch.setattr(failure_detector, "MAX_INDEPENDENT_FAILURE_FRACTION", 1.0)


def graph_needs(patch: pytest.MonkeyPatch) -> None:
    """Tasks of a graph do not wait for the tasks that they need."""
    patch.setattr(LiveGraph, "is_ready", lambda *_: True)
    patch.setattr(
        GraphJob, "requeue_unlocated", lambda self: self.requeued_tasks.extend(range(self.size))
    )


def graph_machines_cleared(patch: pytest.MonkeyPatch) -> None:
    """Failures of a task that fails on every machine count against the machines."""
    patch.setattr(GraphJob, "failures_blamed_on_job", lambda *_: False)
    patch.setattr(quarantine, "QUARANTINE_AFTER_FAILURES", 1)


def graph_excused(patch: pytest.MonkeyPatch) -> None:
    """All failures count against their task, even those on faulty machines."""
    patch.setattr(
        GraphJob, "_counted_failures", lambda self, index: len(self.failed_attempts[index])
    )
    patch.setattr(graph_job, "EXTRA_ATTEMPTS", 0)


def graph_inferred(patch: pytest.MonkeyPatch) -> None:
    """The start of a graph's task does not prove that the tasks it needs were done."""
    patch.setattr(LiveGraph, "infer_needs_done", lambda *_: None)


def needs_first(patch: pytest.MonkeyPatch) -> None:
    """Jobs do not wait for the jobs that they depend on."""

    def add(self: BlockedJobs, job: Job, needs: Any) -> None:
        self.cluster.admit_job(job)

    patch.setattr(BlockedJobs, "add", add)


def commit_first(patch: pytest.MonkeyPatch) -> None:
    """Dependent jobs may start as soon as a job is reported done, before that is stored."""
    original = StateWriter.note_completions

    def note_completions(self: StateWriter, job: Job) -> None:
        original(self, job)
        if job.complete:
            self.cluster.apply_job_end(job.id, FinalJobRecord(DONE), self.cluster.wall_clock())

    patch.setattr(StateWriter, "note_completions", note_completions)


def derived(patch: pytest.MonkeyPatch) -> None:
    """A job counts as cancelled only if its own record says so, not if a dependency's does."""
    patch.setattr(DependencyGraph, "unresolved_dependencies", lambda *_: set())
    original = JobStateCache._lookup

    async def lookup(self: JobStateCache, id: Any) -> Any:
        return self.final_records.get(id) or self.live_jobs.get(id) or await original(self, id)

    patch.setattr(JobStateCache, "_lookup", lookup)


def claims(patch: pytest.MonkeyPatch) -> None:
    """Dependent jobs have no influence on the order of service."""
    patch.setattr(BlockedJobs, "demand_on", lambda *_: NO_DEMAND)
    patch.setattr(dependencies, "EXPECTED_DEMAND_FRACTION", 2.0)


def part_in_order(patch: pytest.MonkeyPatch) -> None:
    """A block that machines are moved out of is written in the usual order."""
    original = MachineBlocks.split

    def part(self: MachineBlocks, number: int) -> None:
        original(self, number)
        self.machines_moving_out.clear()

    patch.setattr(MachineBlocks, "split", part)


def rarer_passes(patch: pytest.MonkeyPatch) -> None:
    """The interval between placement passes does not grow with their length."""
    patch.setattr(leader_loop, "SLOW_PASS_INTERVAL_RATIO", 0.0)


def habits(patch: pytest.MonkeyPatch) -> None:
    """Job classes whose jobs usually have dependents get no preference."""
    patch.setattr(dependencies, "EXPECTED_DEMAND_FRACTION", 2.0)


def fits(patch: pytest.MonkeyPatch) -> None:
    """Job records are written even if the bitmap of completed tasks exceeds the size limit."""

    def build_record(self: Job, marked: int) -> JobRecord:
        return JobRecord(
            self.spec, self.submitted_at, marked, self.done_below, f"{self.done_bitmap:x}"
        )

    patch.setattr(Job, "build_record", build_record)


def thrift(patch: pytest.MonkeyPatch) -> None:
    """Replicas are not moved to cheaper machines."""
    patch.setattr(Consolidation, "consolidate", lambda *_: None)


def _keep_answered_at(patch: pytest.MonkeyPatch, when: Callable[..., bool]) -> None:
    """A heartbeat leaves `lease_started_at`, from which the worker's lease is counted, unchanged if
    it was known and if `when` holds for the machine before and after and the heartbeat."""
    original = HeartbeatHandler.apply

    def report(self: HeartbeatHandler, report: Any, now: Any, hello: bool) -> Any:
        machine = self.cluster.machines.get(report.machine_id)
        before = None if machine is None else copy.copy(machine)
        orders = original(self, report, now, hello)
        if (
            machine
            and before
            and before.lease_started_at is not None
            and when(before, machine, report)
        ):
            machine.lease_started_at = before.lease_started_at
        return orders

    patch.setattr(HeartbeatHandler, "apply", report)


def session_anew(patch: pytest.MonkeyPatch) -> None:
    """The first heartbeat of a new session does not restart the worker's lease."""
    _keep_answered_at(patch, lambda before, after, _: before.incarnation < after.incarnation)


def settled_answered(patch: pytest.MonkeyPatch) -> None:
    """The reconciliation of a machine does not restart its worker's lease."""
    _keep_answered_at(patch, lambda before, after, _: after.reconciled and not before.reconciled)


def overtaken_answered(patch: pytest.MonkeyPatch) -> None:
    """A heartbeat that another message has overtaken does not renew the worker's lease."""
    _keep_answered_at(patch, lambda before, _, report: report.sequence <= before.sequence)


def asked_first(patch: pytest.MonkeyPatch) -> None:
    """A leader that hears no worker does not wait for answers to its probes."""
    patch.setattr(failure_detector, "ISOLATION_PROBE_TIMEOUT_S", -1.0)


def readable_or_known(patch: pytest.MonkeyPatch) -> None:
    """A live job counts as unknown if its record can't be decoded."""
    original = JobStateCache._apply_live

    def apply_live(self: JobStateCache, path: str, data: Any) -> None:
        if isinstance(data.get("spec"), dict):
            original(self, path, data)
        else:
            self.live_jobs.pop(JobId(path.rpartition("/")[2]), None)

    patch.setattr(JobStateCache, "_apply_live", apply_live)


def read_of_its_own(patch: pytest.MonkeyPatch) -> None:
    """The cache counts as complete however old its last listing is."""
    patch.setattr(job_state_cache, "RECENT_LISTING_S", 1e9)


def swept(patch: pytest.MonkeyPatch) -> None:
    """Live jobs that the leader does not know are not found."""
    patch.setattr(Scheduler, "find_unknown_jobs", lambda *_: [])


def mended(patch: pytest.MonkeyPatch) -> None:
    """Tasks that the leader has lost track of are not found."""
    patch.setattr(Job, "count_unaccounted_tasks", lambda _: 0)


def pass_alone(patch: pytest.MonkeyPatch) -> None:
    """A job whose placement fails ends the placement pass."""
    original = PlacementPass.place_job

    def place_job(self: PlacementPass, job: Job, *rest: Any) -> None:
        """The first job that fails ends the pass."""
        if self.failed_in != self.cluster.now:
            try:
                original(self, job, *rest)
            except TypeError:
                self.failed_in = self.cluster.now

    patch.setattr(PlacementPass, "failed_in", -1.0, raising=False)
    patch.setattr(PlacementPass, "place_job", place_job)


def no_gathering(patch: pytest.MonkeyPatch) -> None:
    """No machines are reserved for a gang."""
    patch.setattr(GangReservations, "update", lambda *_: None)


def gathers_what_fits(patch: pytest.MonkeyPatch) -> None:
    """All machines are reserved for a gang that needs more than there is."""
    original = GangReservations.machines_reserved_for_others

    def machines_reserved_for_others(self: GangReservations, job: Job) -> set[Any]:
        first = next(iter(self.cluster.jobs.values()))
        gangs = [j for j in self.cluster.jobs.values() if j.gang and j.size > 1]
        if gangs and job is not gangs[0] and self.cluster.wall_clock() - gangs[0].ready_at > 48.0:
            return set(self.cluster.machines)
        return original(self, job) if first else set()

    patch.setattr(GangReservations, "machines_reserved_for_others", machines_reserved_for_others)


def gathered_room_is_used(patch: pytest.MonkeyPatch) -> None:
    """Machines reserved for a gang are unusable even for work that can be preempted."""

    def machines_reserved_for_others(self: GangReservations, job: Job) -> set[Any]:
        return {id for id, (owner, _) in self.reserved.items() if owner is not job}

    patch.setattr(GangReservations, "machines_reserved_for_others", machines_reserved_for_others)


def hearing_off(patch: pytest.MonkeyPatch) -> None:
    """No machine counts as unable to receive messages."""
    patch.setattr(Machine, "unreachable", False)


def given_up(patch: pytest.MonkeyPatch) -> None:
    """Machines that receive nothing are never returned."""
    patch.setattr(Reachability, "partially_reachable_machines_to_drain", lambda *_: [])


def returned_anew(patch: pytest.MonkeyPatch) -> None:
    """A machine that is heard again after a long silence counts as unreachable at once."""

    def suspect_after_silence(self: Reachability, machine: Machine, now: Any) -> None:
        self.suspect_unreachable(machine, now, mark_unreachable=True)

    patch.setattr(Reachability, "suspect_after_silence", suspect_after_silence)
    patch.setattr(reachability, "REPORTING_MACHINE_PROBE_INTERVAL_S", 1e9)


def many_unheard(patch: pytest.MonkeyPatch) -> None:
    """Unreachable machines are replaced however many there are at once."""
    patch.setattr(Reachability, "many_partially_reachable", lambda _: False)


def half_gangs(patch: pytest.MonkeyPatch) -> None:
    """Gangs wait for members whose start does not show on their machine."""
    patch.setattr(Reachability, "_stop_waiting_gangs", lambda *_: None)


def copies_known(patch: pytest.MonkeyPatch) -> None:
    """A copy of a heartbeat that was answered before renews the lease as the first did."""
    original = HeartbeatHandler._count_duplicate

    def count_duplicate(self: HeartbeatHandler, machine: Machine, report: Any, now: Any) -> None:
        machine.lease_started_at = now
        original(self, machine, report, now)

    patch.setattr(HeartbeatHandler, "_count_duplicate", count_duplicate)


def confirmed(patch: pytest.MonkeyPatch) -> None:
    """A machine that is known only from a heartbeat counts as existing at once."""
    patch.setattr(
        Machine, "existence_confirmed", property(lambda _: True, lambda *_: None), raising=False
    )


def cheap_only(patch: pytest.MonkeyPatch) -> None:
    """Jobs of the lowest rank may use and rent expensive machines."""
    patch.setattr(placement_pass, "jobs_limited_to_affordable", lambda *_: {})
    patch.setattr(autoscaler, "jobs_limited_to_affordable", lambda *_: {})


def one_zone(patch: pytest.MonkeyPatch) -> None:
    def request_for_gang(self: ScaleOutPlan, job: Job, count: int, *_: Any) -> None:
        """Request nothing, as if the gang could use room in any zone."""

    patch.setattr(ScaleOutPlan, "_request_for_gang", request_for_gang)


def knows_cancellations(patch: pytest.MonkeyPatch) -> None:
    """A successful lease renewal counts as proof that the leader knows of all cancellations."""

    def may_answer_heartbeat(self: LeaseBounds, known: Any, held: Any, now: Any) -> bool:
        return known is not None and now < held + self.renewal_window_s

    patch.setattr(LeaseBounds, "may_answer_heartbeat", may_answer_heartbeat)


def fresh_knows_nothing(patch: pytest.MonkeyPatch) -> None:
    """A leader that has read no jobs may renew sessions."""
    original = LeaderElection.may_answer_heartbeat

    def may_answer_heartbeat(self: LeaderElection, known: Any) -> bool:
        return original(self, self.renewal_sent_at if known is None else known)

    patch.setattr(LeaderElection, "may_answer_heartbeat", may_answer_heartbeat)
    renewal_without_stops(patch)


def renewal_without_stops(patch: pytest.MonkeyPatch) -> None:
    """A response that renews a session carries only the commands of the reconciliation."""
    patch.setattr(SessionRenewal, "complete", lambda _, __, commands, *___, **____: commands)


def renewed_unreconciled(patch: pytest.MonkeyPatch) -> None:
    """The tasks of a previous leader count as ended although this one has renewed their session."""
    original = MachineChecks._check_session

    def check_session(self: MachineChecks, machine: Machine, now: Any) -> Any:
        if now - self.cluster.started_at > self.delegator.bounds.takeover_s:
            machine.previous_tasks_ended = True
        return original(self, machine, now)

    patch.setattr(MachineChecks, "_check_session", check_session)


def tending_ends(patch: pytest.MonkeyPatch) -> None:
    """Sessions may be renewed for 60 s after the jobs were last read."""
    original = LeaseBounds.__init__

    def init(self: LeaseBounds, workers: Any) -> None:
        original(self, workers)
        self.renewal_window_s = 60.0

    patch.setattr(LeaseBounds, "__init__", init)


def lease_let_go(patch: pytest.MonkeyPatch) -> None:
    """A leader that gives up its term goes on renewing the lease that its key is attached to."""

    def abandon_lease(self: LeaderElection) -> None:
        self.nonce = ""

    patch.setattr(LeaderElection, "_abandon_lease", abandon_lease)


def longest_bound(patch: pytest.MonkeyPatch) -> None:
    """A new leader waits only one lease, as if the former leader had renewed no session."""
    original = LeaseBounds.__init__

    def init(self: LeaseBounds, workers: Any) -> None:
        original(self, workers)
        self.takeover_s = self.lease_s

    patch.setattr(LeaseBounds, "__init__", init)


def gang_done_together(patch: pytest.MonkeyPatch) -> None:
    """The completion of one task of a gang does not complete the others."""
    patch.setattr(Job, "tasks_completed_with", lambda self, index: (index,))


def late_start(patch: pytest.MonkeyPatch) -> None:
    """A start counts as unable to arrive until the wait for its answer has timed out."""

    def may_arrive(self: InflightStarts, task: Any, attempt: Any) -> bool:
        starts = self._starts.get((task, attempt))
        return starts is not None and starts.token is not None

    def is_void_under(self: InflightStarts, task: Any, attempt: Any, token: Any) -> bool:
        starts = self._starts.get((task, attempt))
        return starts is None or starts.token is None or starts.token < token

    patch.setattr(InflightStarts, "may_arrive", may_arrive)
    patch.setattr(InflightStarts, "is_void_under", is_void_under)
    patch.setattr(InflightStarts, "awaits_response", False)


def answered_start(patch: pytest.MonkeyPatch) -> None:
    """An answer ends a start: a copy of it that comes later is not counted."""
    original = InflightStarts.completed

    def completed(self: InflightStarts, task: Any, attempt: Any, *tokens: Any) -> None:
        original(self, task, attempt, *tokens)
        starts = self._starts.get((task, attempt))
        if starts is not None and not starts.outstanding:
            del self._starts[(task, attempt)]

    patch.setattr(InflightStarts, "completed", completed)


def one_token(patch: pytest.MonkeyPatch) -> None:
    """A delegate knows one fencing token of its leader, as earlier versions do."""
    original = Delegate.accept

    def accept(self: Delegate, delegation: Any, *times: Any) -> None:
        original(self, msgspec.structs.replace(delegation, newest_token=msgspec.UNSET), *times)

    patch.setattr(Delegate, "accept", accept)


def unannounced_tokens(patch: pytest.MonkeyPatch) -> None:
    """A machine's token rises to the newest one, whether other controllers know it or not, and it
    is delegated only once its worker has seen that."""
    original = FailureDetector._may_delegate

    def announce(self: FencingTokens) -> Any:
        return self.newest

    def may_delegate(self: FailureDetector, machine: Machine, now: Any) -> bool:
        seen = machine.token_seen == machine.fencing_token
        return seen and original(self, machine, now)

    patch.setattr(FencingTokens, "announce", announce)
    patch.setattr(FailureDetector, "_may_delegate", may_delegate)


def exited_raise(patch: pytest.MonkeyPatch) -> None:
    """The token is not rotated for exited attempts that can't be forgotten."""
    patch.setattr(TokenRotation, "note_missing_token", lambda *_: None)


def unwanted_start(patch: pytest.MonkeyPatch) -> None:
    """Sessions are renewed even while an unwanted start may still arrive, and no token voids it."""
    _never_raise_tokens(patch)
    patch.setattr(Scheduler, "is_unwanted_start", lambda *_: False)


def cancelled_use(patch: pytest.MonkeyPatch) -> None:
    """As in a former fault, jobs that are not live count as using nothing, unless this leader
    placed them."""
    patch.setattr(Scheduler, "add_cancelled_job", lambda *_: None)
    original = Scheduler.remove_job

    def remove_job(self: Scheduler, id: Any) -> None:
        original(self, id)
        self.cancelled_jobs.clear()

    patch.setattr(Scheduler, "remove_job", remove_job)


def asked_anew(patch: pytest.MonkeyPatch) -> None:
    """A request shortly after another gets the state that was read for the other."""
    original = JobStateCache.state

    async def state(self: JobStateCache, id: Any, urgent: bool = False) -> Any:
        known = self.final_records.get(id) or self.live_jobs.get(id)
        if (
            known is not None
            and self.clock() - self.refresh_sent_at <= job_state_cache.MAX_STALENESS_S
        ):
            return known
        return await original(self, id, urgent=urgent)

    patch.setattr(JobStateCache, "state", state)


def block_first(patch: pytest.MonkeyPatch) -> None:
    """A machine is given work before its name is stored in a block record."""
    original = HeartbeatHandler.apply

    def report(self: HeartbeatHandler, report: Any, now: Any, hello: bool) -> Any:
        orders = original(self, report, now, hello)
        machine = self.cluster.machines.get(report.machine_id)
        if machine is not None and machine.reconciled and machine.block_number is None:
            machine.block_number = -1
            machine.mark_availability_changed()
        return orders

    patch.setattr(HeartbeatHandler, "apply", report)


def mute_unnoticed(patch: pytest.MonkeyPatch) -> None:
    """Machines whose heartbeats are missing still get work."""
    patch.setattr(Reachability, "heartbeats_missing", lambda *_: None)


def starts_known(patch: pytest.MonkeyPatch) -> None:
    """The leader's lease alone permits starts, even if it may not know of all cancellations."""
    patch.setattr(LeaseBounds, "may_start", lambda *_: True)


def tells_others(patch: pytest.MonkeyPatch) -> None:
    """Cancellations are not announced to the other controllers."""
    patch.setattr(CancellationAnnouncer, "announce", lambda *_: None)


def window_for_arrays(patch: pytest.MonkeyPatch) -> None:
    """Let the task window bound gangs and services too."""
    init = Job._init_progress

    def init_progress(self: Job, *arguments: Any) -> None:
        self.runs_all_tasks_at_once = False
        init(self, *arguments)

    patch.setattr(Job, "_init_progress", init_progress)


def graph_remains(patch: pytest.MonkeyPatch) -> None:
    """Forget what the tasks of a cancelled graph may still use."""

    async def none(*_: Any) -> list[Any]:
        return []

    patch.setattr(simulated_graphs, "read_remaining_tasks", none)


def heartbeat_limit(patch: pytest.MonkeyPatch) -> None:
    """Let the tasks of a machine grow beyond what a heartbeat can list."""
    patch.setattr(cloud_messages, "HEARTBEAT_TASK_BYTES", 1 << 40)


def exits_listed(patch: pytest.MonkeyPatch) -> None:
    """Do not count listed attempts without a placement against the limit of heartbeats."""
    patch.setattr(Machine, "set_unplaced_heartbeat_bytes", lambda _self, _bytes: None)


def room_for_larger(patch: pytest.MonkeyPatch) -> None:
    """Let small tasks take all the room in heartbeats."""
    patch.setattr(job_constraints, "is_small", lambda _need, _capacity: False)


MUTATIONS: dict[str, Patch] = {
    "lease-let-go": lease_let_go,
    "longest-bound": longest_bound,
    "gang-done-together": gang_done_together,
    "late-start": late_start,
    "answered-start": answered_start,
    "one-token": one_token,
    "unannounced-tokens": unannounced_tokens,
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
    "renewal-without-stops": renewal_without_stops,
    "renewed-unreconciled": renewed_unreconciled,
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
    "blame-tasks": blame_tasks,
    "gang-avoids": gang_avoids,
    "no-trials": no_trials,
    "ended-jobs-count": ended_jobs_count,
    "trials-first": trials_first,
    "eager-trials": eager_trials,
    "window-for-arrays": window_for_arrays,
    "graph-remains": graph_remains,
    "heartbeat-limit": heartbeat_limit,
    "exits-listed": exits_listed,
    "room-for-larger": room_for_larger,
}
