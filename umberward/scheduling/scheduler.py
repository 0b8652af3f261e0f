"""The scheduling state of a cluster and all decisions about it. No I/O.

The leader loop passes in heartbeats, command results and records, and takes out commands,
probes and transactions. A `Placement` means that a task may be on a machine. It exists from before
the start is sent until one of these is known (docs/design.md, "Safety"): a newer heartbeat under
this leader's fencing token does not list it and no start is in flight; the worker's incarnation has
changed; the worker's lease has expired since the last response that it could have accepted; the
cloud has deleted the machine.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from umberward.core.log import logger
from umberward.core.settings import Settings
from umberward.core.types import (
    ControllerName,
    FencingToken,
    Instant,
    JobId,
    Key,
    MachineId,
    MachineTypeName,
    Version,
    WallTime,
    ZoneName,
)
from umberward.protocol import wire
from umberward.protocol.transactions import AbsentKey, VersionedValue
from umberward.protocol.wire import Heartbeat, JobRecord, MachineType
from umberward.scheduling import summaries
from umberward.scheduling.cluster_state import ClusterState, CommandMessage, Probe
from umberward.scheduling.consolidation import Consolidation
from umberward.scheduling.deadline_triage import DeadlineTriage
from umberward.scheduling.dependencies import BlockedJobs
from umberward.scheduling.failure_attribution import FailureAttribution
from umberward.scheduling.jobs import Job
from umberward.scheduling.machines import Machine
from umberward.scheduling.placement_pass import PlacementPass
from umberward.scheduling.preemption import Preemption
from umberward.scheduling.quarantine import MachineQuarantines
from umberward.scheduling.service_order import ServiceOrder
from umberward.scheduling.sessions.command_results import CommandResults
from umberward.scheduling.sessions.failure_detector import FailureDetector
from umberward.scheduling.sessions.heartbeats import HeartbeatHandler
from umberward.scheduling.sessions.lease_delegation import Delegation, Delegator
from umberward.scheduling.sessions.reachability import Reachability
from umberward.scheduling.state_writer import StateWriter, Transaction
from umberward.scheduling.unlocated_tasks import UnlocatedTasks

log = logger(__name__)

UNKNOWN_JOB_GRACE_S = 15.0  # a live job that is missing here for longer is added
# Number of deleted machines to remember; heartbeats of older ones are assumed to be no longer in
# flight.
MAX_DELETED_MACHINES_KEPT = 5000


class Scheduler(ClusterState):
    """The cluster state and all parts that decide about it; the leader loop calls its methods.

    Each part reads and changes the `ClusterState` without depending on other parts' internals.
    """

    def __init__(
        self,
        settings: Settings,
        machine_types: dict[MachineTypeName, MachineType],
        fencing_token: FencingToken,
        now: Instant,
        wall_clock: Callable[[], WallTime],
        rng: random.Random,
    ) -> None:
        """Start a term; the arguments are those of `ClusterState`."""
        super().__init__(settings, machine_types, fencing_token, now, wall_clock, rng)
        platform = settings.platform
        delegates = {ControllerName(peer.label): ZoneName(peer.site) for peer in platform.peers}
        self.delegator = Delegator(self.worker_times, delegates, fencing_token)
        self.preemption = Preemption(self, now)
        self.deadline_triage = DeadlineTriage(self, now)
        self.consolidation = Consolidation(self, self.preemption, now)
        self.quarantines = MachineQuarantines(self)
        self.failure_attribution = FailureAttribution(self, self.quarantines, now)
        self.blocked_jobs = BlockedJobs(self)
        self.service_order = ServiceOrder(self, self.blocked_jobs, self.deadline_triage)
        self.unlocated_tasks = UnlocatedTasks(self, self.delegator)
        self.placement_pass = PlacementPass(
            self,
            self.service_order,
            self.unlocated_tasks,
            self.preemption,
            self.consolidation,
            self.quarantines,
        )
        self.state_writer = StateWriter(
            self, self.blocked_jobs, platform.cluster.state.strictest(), now
        )
        self.reachability = Reachability(self)
        self.failure_detector = FailureDetector(self, self.delegator, self.reachability)
        self.heartbeats = HeartbeatHandler(
            self, self.reachability, self.failure_attribution, self.state_writer
        )
        self.command_results = CommandResults(self, self.reachability, self.heartbeats)
        # Jobs with a live record that are not known here, with the time when that was first seen.
        self.unknown_since: dict[JobId, Instant] = {}
        # Jobs that ended within UNKNOWN_JOB_GRACE_S, with the time: a listing that was read earlier
        # may still show them.
        self.recently_ended: dict[JobId, Instant] = {}

    # ---- events of the leader loop, passed on to the responsible part ----------------------

    def receive_heartbeat(
        self, header: wire.HeartbeatHeader, body: bytes, now: Instant
    ) -> list[wire.TaskCommand] | None:
        """Apply a periodic heartbeat; return the commands for its response.

        None: this leader must not answer the heartbeat.
        """
        return self.heartbeats.receive(header, body, now)

    def command_completed(
        self,
        command: CommandMessage,
        heartbeat: Heartbeat | None,
        outcome_unknown: bool,  # noqa: FBT001 - a field of the event, passed on in order
        now: Instant,
    ) -> None:
        """Apply a direct command's result; if unknown, the worker may still execute it."""
        self.command_results.command_completed(command, heartbeat, outcome_unknown, now)

    def probe_completed(self, probe: Probe, heartbeat: Heartbeat | None, now: Instant) -> None:
        """Apply a worker's answer to a probe; None: it did not answer."""
        self.command_results.probe_completed(probe, heartbeat, now)

    def may_keep_session(self, machine_id: MachineId) -> bool:
        """Tell whether a leader without its lease may keep the worker's session alive.

        It may not while a start of a task that is to be stopped may still arrive there.
        """
        machine = self.machines.get(machine_id)
        return machine is None or not self.has_unwanted_start(machine)

    def discount_process_pause(self, now: Instant) -> None:
        """Detect a pause of this process and do not count it as silence of the machines.

        Call before any other event is handled.
        """
        self.failure_detector.discount_process_pause(now)

    def tick(self, now: Instant) -> None:
        """Apply changes that depend on time alone. Call a few times a second."""
        self.now = now
        self.failure_detector.tick(now)
        self.reachability.tick(now)
        self.failure_attribution.tick(now)
        self.failure_detector.mark_silent_machines_for_deletion(now)

    def receives_few_heartbeats(self, now: Instant) -> bool:
        """Tell whether nearly all workers seem unreachable from this controller."""
        return self.failure_detector.receives_few_heartbeats(now)

    def received_no_heartbeat_this_term(self, now: Instant) -> bool:
        """Tell whether no machine has sent a message in this term, although each should have."""
        return self.failure_detector.received_no_heartbeat_this_term(now)

    def issue_delegation(
        self,
        delegate: ControllerName,
        seen: int,
        idle: bool,  # noqa: FBT001 - a field of the request, passed on in order
        now: Instant,
    ) -> Delegation | None:
        """Delegate lease renewal for the machines of a controller's zone (`FailureDetector`).

        `seen` is the sequence number of the last delegation that the delegate has received, `idle`
        whether it has used none since it requested that one. None: the jobs have not been read in
        this term.
        """
        return self.failure_detector.issue_delegation(delegate, seen, idle, now)

    def transaction_committed(
        self, transaction: Transaction, version: Version, now: Instant
    ) -> None:
        """Apply the effects of a committed transaction of this leader."""
        self.tokens.commit_confirmed(FencingToken(version))
        for job, final in self.state_writer.transaction_committed(transaction, version, now):
            log.info("job_ended", job=job.id, phase=final.phase)
            self.apply_job_end(job.id, final, final.ended_at or self.wall_clock())
            self.remove_job(job.id)

    def reconcile_key(self, key: Key, found: VersionedValue | AbsentKey) -> None:
        """Apply the stored value of a key after a conflict or an unknown outcome."""
        for job_id in self.state_writer.reconcile_key(key, found):
            self.remove_job(job_id)

    def token_rotated(self, fencing_token: FencingToken) -> None:
        """Record that a higher fencing token was committed for the current term."""
        self.tokens.commit_confirmed(fencing_token)
        self.token_rotation.completed(self.now)

    # ---- failover ----------------------------------------------------------------------

    def load_block(
        self, number: int, record: wire.BlockRecord, version: Version, now: Instant
    ) -> None:
        """Load one block of the stored machine list and probe its machines."""
        machines = []
        for name, (address, machine_type, zone, spot) in record.machines.items():
            machine = self.find_or_add_machine(
                MachineId(name), address, MachineTypeName(machine_type), ZoneName(zone), spot, now
            )
            machines.append(machine)
            if not machine.confirmed_in_term and not machine.probe_inflight:
                self._probe(machine)
        self.state_writer.load_block(number, version, machines)

    def finish_loading(self) -> None:
        """Start placing tasks, as all blocks and all jobs have been loaded."""
        self.loaded = True
        for machine in self.machines.values():
            if machine.reconciled:
                # Its heartbeat came before the jobs were read, so its tasks were unknown. Until
                # the next heartbeat they may run there and must not start elsewhere.
                machine.reconciled = False
                machine.mark_availability_changed()
                machine.settled_task_list = None
                self._probe(machine)
        self.scheduling_pass_needed = True
        log.info(
            "failover_completed",
            term=self.tokens.initial,
            machines=len(self.machines),
            jobs=len(self.jobs),
        )

    def _probe(self, machine: Machine) -> None:
        machine.probe_inflight = True
        self.outbox.append(Probe(machine.id, machine.address))

    # ---- jobs ----------------------------------------------------------------------------

    def is_live(self, job_id: JobId) -> bool:
        """Tell whether this leader knows the job as live."""
        return job_id in self.jobs or job_id in self.blocked_jobs.jobs

    def add_job(self, record: JobRecord, version: Version) -> None:
        """Add a live job whose record was read or reported by a watch; ignore known jobs."""
        job_id = JobId(record.spec.job_id)
        if self.is_live(job_id):
            return
        job = Job(record, version, self.max_value_bytes)
        if record.dependencies and not record.placed_below:
            # A job with unfinished dependencies cannot start and is not counted as queued work.
            self.blocked_jobs.add(job, wire.unpack_dependencies(record.dependencies))
        else:
            self.admit_job(job)
        self.blocked_jobs.graph.note_live(job_id)

    def admit_job(self, job: Job) -> None:
        """Make the job's tasks available for placement."""
        self.jobs[job.id] = self.jobs_to_place[job.id] = job
        if job.complete:
            self.state_writer.note_completions(job)  # all tasks are done, its end is not written
        job.needs_prompt_start = self.is_prompt_accelerated(job)
        if not job.placed_below:
            log.info(
                "job_ready",
                job=job.id,
                jobclass=job.spec.job_class,
                tasks=job.size,
                size=round(job.size * max(job.need.cores, job.need.accelerators), 1),
            )
        self.precedences_outdated = True
        self.scheduling_pass_needed = True

    def apply_job_end(self, job_id: JobId, final: wire.FinalJobRecord, ended_at: float) -> None:
        """Apply a job's end: admit its dependents. Call only after the end was read or committed.

        `ended_at` is a wall-clock time in seconds.
        """
        for job in self.blocked_jobs.job_ended(job_id, final.phase, ended_at):
            log.info("job_dependencies_done", job=job.id)
            self.admit_job(job)

    def remove_job(self, job_id: JobId) -> None:
        """Remove a job whose live record was deleted, and stop its tasks.

        The job is done, or a controller cancelled it.
        """
        self.blocked_jobs.job_removed(job_id)
        self.recently_ended[job_id] = self.now
        job = self.jobs.pop(job_id, None)
        self.jobs_to_place.pop(job_id, None)
        if job is None:
            return
        job.ended = True
        if job.unlocated_tasks:
            # Until these tasks are located they may run, so they count against the team's limit.
            self.cancelled_jobs[job_id] = job
        self.failure_attribution.job_ended(job, self.now)
        self.precedences_outdated = True
        for placement in list(job.placements.values()):
            self.stop(placement, 0.0)
        self.scheduling_pass_needed = True

    def add_cancelled_job(self, job_id: JobId, remaining: wire.RemainingTasks) -> None:
        """Count against the team's limit what a cancelled job may still use.

        This leader may never have known the job, and its tasks may be on machines that have not
        reported yet.
        """
        if not (
            self.reconciliation_completed or self.is_live(job_id) or job_id in self.recently_ended
        ):
            self.cancelled_jobs.setdefault(job_id, Job.from_remaining_tasks(job_id, remaining))

    def find_unknown_jobs(self, entries: Iterable[wire.KeyValue], now: Instant) -> list[JobId]:
        """Return the live jobs among the records just read that this leader does not know.

        Only jobs that were unknown for `UNKNOWN_JOB_GRACE_S` are returned: by then no change that
        adds them can be in flight.
        """
        found = []
        for entry in entries:
            job_id = JobId(entry.key[len(wire.LIVE_JOBS_PREFIX) :])
            if self.is_live(job_id) or job_id in self.recently_ended:
                self.unknown_since.pop(job_id, None)
            elif now - self.unknown_since.setdefault(job_id, now) > UNKNOWN_JOB_GRACE_S:
                found.append(job_id)
        return found

    def adopt_missing_job(self, record: JobRecord, version: Version, now: Instant) -> None:
        """Add a live job that is missing from the leader's state, with its existing placements."""
        job_id = JobId(record.spec.job_id)
        if self.unknown_since.pop(job_id, None) is None or job_id in self.recently_ended:
            return
        log.warning("unknown_job_adopted", job=job_id, marked=record.placed_below)
        self.add_job(record, version)
        job = self.jobs.get(job_id)
        if job is None:
            return
        for machine in self.machines.values():
            for task, placement in machine.placements.items():
                if task.job == job_id:  # started before the job went missing
                    job.placements[task.number] = placement
                    job.locate_task(task.number)
        if job.unlocated_tasks:
            self.unlocated_tasks.schedule_requeue(job, now)

    def run_maintenance(self, now: Instant) -> None:
        """Requeue unaccounted tasks and drop records of ended jobs. Call every few seconds."""
        self.unlocated_tasks.requeue_overdue(now)
        self._forget_recently_ended(now)
        if self.reconciliation_completed:
            self.unlocated_tasks.drop_cancelled_jobs()
            self.unlocated_tasks.recover_lost_tasks(now)

    def _forget_recently_ended(self, now: Instant) -> None:
        for job_id, ended_at in list(self.recently_ended.items()):
            if now - ended_at <= UNKNOWN_JOB_GRACE_S:
                break  # ordered by the time of the end
            del self.recently_ended[job_id]

    # ---- machines ------------------------------------------------------------------------

    def remove_machines(
        self,
        machine_ids: Iterable[MachineId],
        now: Instant,  # noqa: ARG002 - part of the interface that the machine scaler calls
    ) -> None:
        """Remove machines that the cloud has deleted or that stopped by themselves."""
        for machine_id in machine_ids:
            self.machines_to_delete.discard(machine_id)
            machine = self.machines.get(machine_id)
            if machine is None:
                continue
            machine.draining = True
            self.release_all_placements(machine, "machine gone")
            del self.machines[machine_id]
            machine.mark_availability_changed()
            self.deleted_machines[machine_id] = None
            while len(self.deleted_machines) > MAX_DELETED_MACHINES_KEPT:
                del self.deleted_machines[next(iter(self.deleted_machines))]
            self.state_writer.remove_machine(machine)
        self.scheduling_pass_needed = True

    # ---- the scheduling pass -------------------------------------------------------------

    def run_pass(self, now: Instant) -> None:
        """Place waiting tasks on machines, in one pass over the waiting jobs."""
        self.placement_pass.run(now)

    def jobs_in_service_order(self, now: Instant) -> list[Job]:
        """Return the jobs with tasks to place, in service order."""
        return self.service_order.jobs_in_service_order(now)

    def jobs_without_room(self, now: Instant) -> list[tuple[Job, int]]:
        """Return the jobs that wait for machines, with their task counts, in service order."""
        return self.service_order.jobs_without_room(now)

    # ---- summaries for the log -----------------------------------------------------------

    def fleet_summary(self) -> list[summaries.LogFields]:
        """Return the machines by offer and the waiting tasks by job class, as log fields."""
        return summaries.fleet_summary(self)

    def quarantine_summary(self, now: Instant) -> list[summaries.LogFields]:
        """Return the quarantined machines and what keeps them there, as log fields."""
        return self.quarantines.summary(now)

    def renewal_summary(self, now: Instant) -> dict[str, int | float]:
        """Return how heartbeats were answered, as log fields."""
        return self.heartbeats.renewal.summary(now)

    def inflight_summary(self) -> dict[str, int]:
        """Return the number of starts that may still reach a worker, as log fields."""
        return summaries.inflight_summary(self, self.heartbeats.deferred_forget_count)
