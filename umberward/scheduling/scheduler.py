"""What a holder of machines decides. No I/O: reports and results come in, effects go out.

The rules rest on one question: may a task still be on a machine? A `Placement` stands for "it
may", from before its start is sent until one of these is known (docs/design.md, "Safety"):
a newer report under our token does not list it and no start is in flight; the worker's session
has changed; its lease has run out since the last answer it could have accepted; the cloud has
deleted the machine.
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
from umberward.protocol.transactions import VersionedValue
from umberward.protocol.wire import Heartbeat, JobRecord, MachineType
from umberward.scheduling import summaries
from umberward.scheduling.cluster_state import ClusterState, DirectCommand, Probe
from umberward.scheduling.command_results import CommandResults
from umberward.scheduling.consolidation import Consolidation
from umberward.scheduling.deadline_triage import DeadlineTriage
from umberward.scheduling.dependencies import WaitingJobs
from umberward.scheduling.failure_attribution import FailureAttribution
from umberward.scheduling.failure_detector import FailureDetector
from umberward.scheduling.heartbeats import HeartbeatHandler
from umberward.scheduling.jobs import Job
from umberward.scheduling.lease_delegation import Delegation, Delegator
from umberward.scheduling.placement_pass import PlacementPass
from umberward.scheduling.preemption import Preemption
from umberward.scheduling.reachability import Reachability
from umberward.scheduling.service_order import ServiceOrder
from umberward.scheduling.state_writer import StateWriter, Transaction
from umberward.scheduling.unlocated_tasks import UnlocatedTasks

log = logger(__name__)


UNKNOWN_JOB_GRACE_S = 15.0  # a live job that is not known for so long is taken up


class Scheduler(ClusterState):
    """The cluster, and all that is decided about it: the one thing that a holder speaks to."""

    def __init__(
        self,
        settings: Settings,
        skus: dict[MachineTypeName, MachineType],
        epoch: FencingToken,
        now: Instant,
        wall: Callable[[], WallTime],
        rng: random.Random,
    ) -> None:
        super().__init__(settings, skus, epoch, now, wall, rng)
        platform = settings.platform
        borrowers = {ControllerName(peer.label): ZoneName(peer.site) for peer in platform.peers}
        self.delegator = Delegator(self.worker_times, borrowers, epoch)
        self.preemption = Preemption(self, now)
        self.deadline_triage = DeadlineTriage(self, now)
        self.consolidation = Consolidation(self, self.preemption, now)
        self.failure_attribution = FailureAttribution(self, now)
        self.waiting_jobs = WaitingJobs(self)
        self.job_order = ServiceOrder(self, self.waiting_jobs, self.deadline_triage)
        self.unlocated_tasks = UnlocatedTasks(self, self.delegator)
        self.placement_pass = PlacementPass(
            self, self.job_order, self.unlocated_tasks, self.preemption, self.consolidation
        )
        self.writer = StateWriter(self, self.waiting_jobs, platform.cluster.state.strictest(), now)
        self.reachability = Reachability(self)
        self.failure_detector = FailureDetector(self, self.delegator, self.reachability)
        self.heartbeats = HeartbeatHandler(
            self, self.reachability, self.failure_attribution, self.writer
        )
        self.command_results = CommandResults(self, self.reachability, self.heartbeats)
        self.unknown_since: dict[JobId, Instant] = {}  # live, and not known here: since when
        self.recently_ended: dict[JobId, Instant] = {}  # an older reading may still show them

    # ---- what is said to it: passed on to the part that knows ----------------------------

    def receive_heartbeat(
        self, head: wire.HeartbeatHeader, body: bytes, now: Instant
    ) -> list[wire.TaskCommand] | None:
        return self.heartbeats.receive(head, body, now)

    def command_completed(
        self, command: DirectCommand, report: Heartbeat | None, unknown: bool, now: Instant
    ) -> None:
        self.command_results.command_completed(command, report, unknown, now)

    def probe_completed(self, probe: Probe, report: Heartbeat | None, now: Instant) -> None:
        self.command_results.probe_completed(probe, report, now)

    def may_keep_session(self, id: MachineId) -> bool:
        """Whether a leader without its lease may keep the worker's session alive, as far as the
        starts that were sent there go."""
        machine = self.machines.get(id)
        return machine is None or not self.has_unwanted_start(machine)

    def wake(self, now: Instant) -> None:
        self.failure_detector.detect_pause(now)

    def tick(self, now: Instant) -> None:
        """Notice what time alone tells. To be called a few times a second."""
        self.now = now
        self.failure_detector.tick(now)
        self.reachability.tick(now)
        self.failure_attribution.tick(now)
        self.failure_detector.select_machines_to_delete(now)

    def is_isolated(self, now: Instant) -> bool:
        return self.failure_detector.is_isolated(now)

    def heard_no_machine(self, now: Instant) -> bool:
        return self.failure_detector.heard_no_machine(now)

    def delegate(
        self, borrower: ControllerName, seen: int, idle: bool, now: Instant
    ) -> Delegation | None:
        return self.failure_detector.delegate(borrower, seen, idle, now)

    def transaction_committed(self, batch: Transaction, stamp: Version, now: Instant) -> None:
        """A transaction of ours was carried out."""
        for job, final in self.writer.transaction_committed(batch, stamp, now):
            log.info("job_ended", job=job.id, phase=final.phase)
            self.apply_job_end(job.id, final, final.ended_at or self.wall())
            self.remove_job(job.id)

    def reconcile_key(self, key: Key, found: VersionedValue | None) -> None:
        """What the state service has after a conflict or an unknown outcome."""
        for gone in self.writer.reconcile_key(key, found):
            self.remove_job(gone)

    # ---- taking over -------------------------------------------------------------------

    def load_block(
        self, number: int, record: wire.BlockRecord, stamp: Version, now: Instant
    ) -> None:
        machines = []
        for name, (address, type_, zone, spot) in record.machines.items():
            machine = self.machine(
                MachineId(name), address, MachineTypeName(type_), ZoneName(zone), spot, now
            )
            machines.append(machine)
            if not machine.heartbeat_seen and not machine.probing:
                machine.probing = True
                self.outbox.append(Probe(machine.id, address))
        self.writer.load_block(number, stamp, machines)

    def finish_loading(self) -> None:
        self.loaded = True
        for machine in self.machines.values():
            if machine.reconciled:
                # It reported before the jobs were read, so its tasks could not be told: until it
                # has reported once more, they may run there and must not start elsewhere.
                machine.reconciled = False
                machine.availability_changed()
                machine.unchanged_heartbeat = None
                machine.probing = True
                self.outbox.append(Probe(machine.id, machine.address))
        self.pass_wanted = True
        log.info(
            "failover_completed",
            epoch=self.fencing_token,
            machines=len(self.machines),
            jobs=len(self.jobs),
        )

    def is_live(self, id: JobId) -> bool:
        """Whether it is live as far as we know."""
        return id in self.jobs or id in self.waiting_jobs.jobs

    def put_job(self, record: JobRecord, stamp: Version) -> None:
        """A job's record was read or has come by the watch."""
        id = JobId(record.spec.job_id)
        if self.is_live(id):
            return
        job = Job(record, stamp, self.value_limit)
        if record.dependencies and not record.placed_below:
            # A job that waits for others is in nothing that counts queued work, and cannot start.
            self.waiting_jobs.add(job, wire.unpack_dependencies(record.dependencies))
        else:
            self.admit_job(job)
        self.waiting_jobs.graph.note_live(id)

    def find_unknown_jobs(self, entries: Iterable[wire.KeyValue], now: Instant) -> list[JobId]:
        """Records of live jobs as they were read just now; returns the ids of those that nobody
        here knows of, for the second time in a row, so that no news of them is on its way."""
        found = []
        for entry in entries:
            id = JobId(entry.key[len(wire.LIVE_JOBS_PREFIX) :])
            if self.is_live(id) or id in self.recently_ended:
                self.unknown_since.pop(id, None)
            elif now - self.unknown_since.setdefault(id, now) > UNKNOWN_JOB_GRACE_S:
                found.append(id)
        return found

    def adopt_unknown_job(self, record: JobRecord, stamp: Version, now: Instant) -> None:
        """A job that is live and that we had lost sight of."""
        id = JobId(record.spec.job_id)
        if self.unknown_since.pop(id, None) is None or id in self.recently_ended:
            return
        log.warning("unknown_job_adopted", job=id, marked=record.placed_below)
        self.put_job(record, stamp)
        job = self.jobs.get(id)
        if job is None:
            return
        for machine in self.machines.values():
            for task, placement in machine.placements.items():
                if task.job == id:  # started before we lost sight of it
                    job.placements[task.number] = placement
                    job.locate_task(task.number)
        if job.unlocated_tasks:
            self.unlocated_tasks.requeue_later(job, now)

    def repair(self, now: Instant) -> None:
        """Queue tasks that got lost and forget what is over; to be called every few seconds."""
        self.unlocated_tasks.requeue_overdue(now)
        self._forget_recently_ended(now)
        if self.all_settled:
            self.unlocated_tasks.forget_cancelled_jobs()
            self.unlocated_tasks.find_lost_tasks(now)

    def _forget_recently_ended(self, now: Instant) -> None:
        for job_id, ended_at in list(self.recently_ended.items()):
            if now - ended_at <= UNKNOWN_JOB_GRACE_S:
                break  # they are kept in the order in which they ended
            del self.recently_ended[job_id]

    def admit_job(self, job: Job) -> None:
        """The job's tasks may start from now on."""
        self.jobs[job.id] = self.unplaced[job.id] = job
        if job.complete:
            self.writer.note_completions(job)  # all is done and its end was not written
        job.prompt = self.is_prompt(job)
        if not job.placed_below:
            log.info(
                "job_ready",
                job=job.id,
                jobclass=job.spec.job_class,
                tasks=job.size,
                size=round(job.size * max(job.need.cores, job.need.accelerators), 1),
            )
        self.standings_outdated = True
        self.pass_wanted = True

    def apply_job_end(self, id: JobId, final: wire.FinalJobRecord, at: float) -> None:
        """A job's end was read or committed: only now may those after it start."""
        for job in self.waiting_jobs.job_ended(id, final.phase, at):
            log.info("job_dependencies_done", job=job.id)
            self.admit_job(job)

    def remove_job(self, id: JobId) -> None:
        """A job's live record is gone: it is done, or was cancelled by some controller."""
        self.waiting_jobs.job_gone(id)
        self.recently_ended[id] = self.now
        job = self.jobs.pop(id, None)
        self.unplaced.pop(id, None)
        if job is None:
            return
        job.ended = True
        if job.unlocated_tasks:
            # They may run on until they are found: they go on counting against the team's limit.
            self.cancelled_jobs[id] = job
        self.failure_attribution.forget_job(job, self.now)
        self.standings_outdated = True
        for placement in list(job.placements.values()):
            self.stop(placement, 0.0)
        self.pass_wanted = True

    def count_remaining(self, id: JobId, remains: wire.RemainingTasks) -> None:
        """A job was cancelled, and we may never have known it: its tasks may be on machines that
        we have not heard yet."""
        if not (self.all_settled or self.is_live(id) or id in self.recently_ended):
            self.cancelled_jobs.setdefault(id, Job.of_remaining(id, remains))

    def remove_machines(self, ids: Iterable[MachineId], now: Instant) -> None:
        """The cloud has deleted these machines, or they stopped by themselves."""
        for id in ids:
            self.machines_to_delete.discard(id)
            machine = self.machines.get(id)
            if machine is None:
                continue
            machine.returning = True
            self.release_all(machine, "machine gone")
            del self.machines[id]
            machine.availability_changed()
            self.deleted_machines[id] = None
            while len(self.deleted_machines) > 5000:
                del self.deleted_machines[next(iter(self.deleted_machines))]
            self.writer.remove_machine(machine)
        self.pass_wanted = True

    def token_rotated(self, epoch: FencingToken) -> None:
        self.fencing_token = epoch
        self.token_rotation.completed(self.now)

    def jobs_in_service_order(self, now: Instant) -> list[Job]:
        """Return the jobs with tasks to place, in the order in which they are served."""
        return self.job_order.jobs_in_order(now)

    def jobs_without_room(self, now: Instant) -> list[tuple[Job, int]]:
        """Return the jobs that wait for machines and for how many tasks, in service order."""
        return self.job_order.jobs_without_room(now)

    def run_pass(self, now: Instant) -> None:
        """Place waiting tasks on machines, once over all jobs."""
        self.placement_pass.run(now)

    def fleet_summary(self) -> list[summaries.LogFields]:
        """Return the machines by offer, and the waiting tasks by job class, as log fields."""
        return summaries.fleet_summary(self)

    def inflight_summary(self) -> dict[str, int]:
        """Return how many starts may still reach a worker, as log fields."""
        return summaries.inflight_summary(self, self.heartbeats.deferred_forgets)
