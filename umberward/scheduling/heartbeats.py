"""What workers say: their reports, and the answers to our commands and questions. No I/O."""

from __future__ import annotations

from umberward.core.log import logger
from umberward.core.rate_limited_log import RateLimitedLog
from umberward.core.types import (
    Attempt,
    FencingToken,
    ImageName,
    Incarnation,
    Instant,
    MachineId,
    MachineTypeName,
    SequenceNumber,
    TaskId,
    ZoneName,
    parse_task_id,
)
from umberward.protocol import wire
from umberward.protocol.wire import FORGET, KILL, START, Heartbeat, TaskCommand
from umberward.scheduling.cluster_state import ClusterState, DirectCommand, Probe
from umberward.scheduling.failure_attribution import FailureAttribution
from umberward.scheduling.jobs import Job, Placement
from umberward.scheduling.machines import Machine
from umberward.scheduling.reachability import Reachability
from umberward.scheduling.state_writer import StateWriter

log = logger(__name__)
bounded_log = RateLimitedLog(log)

DUPLICATES_LOG_INTERVAL_S = 1.0  # how often copies are logged


class HeartbeatHandler:
    def __init__(
        self,
        cluster: ClusterState,
        hearing: Reachability,
        blame: FailureAttribution,
        writer: StateWriter,
    ) -> None:
        self.cluster = cluster
        self.reachability = hearing
        self.failure_attribution = blame
        self.writer = writer
        self.duplicates = 0  # late copies of reports, since they were last logged
        self.duplicates_logged_at = cluster.started
        self.deferred_forgets = 0  # machines that kept exited attempts as a start may arrive

    def receive(
        self, head: wire.HeartbeatHeader, body: bytes, now: Instant
    ) -> list[TaskCommand] | None:
        """A periodic report; the orders for its response, or None: it is not ours to answer."""
        if self._unchanged(head, now):
            return []
        try:
            report = wire.decode_heartbeat(body)
        except wire.MalformedMessageError as error:
            log.info("heartbeat_malformed", machine=head.machine_id, error=error)
            return None
        self.cluster.heartbeats_decoded += 1
        orders = self.apply(report, now, hello=True)
        if orders is not None and not orders:
            self._remember_unchanged(head)
        return orders

    def _unchanged(self, head: wire.HeartbeatHeader, now: Instant) -> bool:
        """Take in a report that says and needs nothing new; False if it must be read in full.

        Most reports of a large fleet are of this kind, and cost the same however many tasks they
        list.
        """
        machine = self.cluster.machines.get(MachineId(head.machine_id))
        if (
            machine is None
            or machine.unchanged_heartbeat is None
            or head.incarnation != machine.incarnation
            or head.sequence <= machine.sequence
            or head.fencing_token != self.cluster.fencing_token
            or head.preemption_notice_s is not None
            or machine.returning
            or machine.probe_unanswered
            or machine.lease_expired
            or not machine.heartbeat_seen
            or machine.suspected_since is not None
            or machine.no_heartbeats_since is not None
            or machine.unchanged_heartbeat != bytes(head.tasks)
        ):
            return False
        machine.last_heard_at = machine.heartbeat_at = machine.answered_at = (
            self.cluster.last_heartbeat_at
        ) = now
        machine.sequence = machine.answered_sequence = SequenceNumber(head.sequence)
        return True

    def _remember_unchanged(self, head: wire.HeartbeatHeader) -> None:
        """The response to this report had no orders: it may be given again to the next like it."""
        machine = self.cluster.machines.get(MachineId(head.machine_id))
        if (
            machine is not None
            and machine.reconciled
            and machine.block is not None
            and machine.notice_at is None
            and not (machine.exited_tasks or machine.unplaced_tasks or machine.returning)
            and all(p.seen_on_worker and p.stop_grace is None for p in machine.placements.values())
        ):
            machine.unchanged_heartbeat = bytes(head.tasks)

    def apply(self, report: Heartbeat, now: Instant, hello: bool) -> list[TaskCommand] | None:
        """Take in a worker's report; the orders for its response, or None: not ours to answer."""
        self.cluster.now = now
        id = MachineId(report.machine_id)
        if report.fencing_token > self.cluster.fencing_token:
            self.cluster.higher_token_seen = FencingToken(
                max(self.cluster.higher_token_seen, report.fencing_token)
            )
            return None
        if id in self.cluster.deleted_machines:
            return []
        machine = self.cluster.machines.get(id)
        if machine is None:
            if MachineTypeName(report.machine_type) not in self.cluster.machine_types:
                return None  # what it runs we could not stop
            machine = self.cluster.machine(
                id,
                report.address,
                MachineTypeName(report.machine_type),
                ZoneName(report.zone),
                report.spot,
                now,
            )
            machine.confirmed = False
            log.info("machine_new", machine=id, type=report.machine_type, zone=report.zone)
        if report.incarnation < machine.min_incarnation:
            return None  # a session that we take for over must not be kept alive by our answer
        if machine.returning:
            # While the cloud does not delete it, nothing is taken from its reports, and so nothing
            # on it is stopped: what is cancelled meanwhile must end with its lease.
            return None
        if hello and report.incarnation == machine.incarnation:
            # Whatever is made of the report below, it is answered, and that renews the lease:
            # also if the machine is being returned, or if the answer to a direct question has
            # overtaken the report. A copy of a report that was answered renews nothing more: its
            # lease runs from when the report was sent, and that was before we first had it.
            if report.sequence > machine.answered_sequence:
                machine.answered_sequence = SequenceNumber(report.sequence)
                machine.answered_at = now
                self.reachability.heartbeat_seen(machine, now)
            else:
                self._count_duplicate(machine, report, now)
        if (report.incarnation, report.sequence) <= (machine.incarnation, machine.sequence):
            return []  # late: something newer was seen
        machine.unchanged_heartbeat = None
        machine.availability_changed()
        # The first that a new leader hears of a machine may be a copy of long ago: it is met when
        # it has answered us, or has said something newer.
        machine.heartbeat_seen = machine.heartbeat_seen or not hello or machine.sequence >= 0
        machine.last_heard_at = self.cluster.last_heartbeat_at = now
        if hello and machine.probe_unanswered:
            # It left a question unanswered: that we hear it does not mean that it hears us.
            self.reachability.heard_after_silence(machine, now)
        machine.probe_unanswered = machine.lease_expired = False
        machine.address = report.address
        if report.incarnation > machine.incarnation:
            # A new session: the worker has killed and forgotten all it had.
            if machine.incarnation:
                self.cluster.release_all(machine, "session over")
            if hello:
                self.reachability.heartbeat_seen(machine, now)
            if hello and machine.incarnation:
                self.reachability.incarnation_began(machine, now)
            else:
                machine.incarnation_since = now
            machine.answered_sequence = SequenceNumber(report.sequence if hello else -1)
            machine.incarnation = Incarnation(report.incarnation)
            # Without an answer the worker's lease runs from the beginning of its session, which
            # was before this report, be it the answer to a direct question. When the session
            # before was answered last says nothing about this one.
            machine.answered_at = now
        if not hello or machine.token_seen < report.fencing_token == self.cluster.fencing_token:
            self.reachability.confirm_reachable(machine, now)
        else:
            self.reachability.heartbeat_received(machine, now)
        machine.sequence = SequenceNumber(report.sequence)
        if report.fencing_token > machine.token_seen:
            machine.token_seen = FencingToken(report.fencing_token)
            machine.inflight_starts.token_seen(machine.token_seen)
        if report.preemption_notice_s is not None:
            if machine.notice_at is None:
                log.info("spot_preemption_notice", machine=id, in_s=report.preemption_notice_s)
                self._drain_before_notice(machine, report.preemption_notice_s)
            machine.notice_at = Instant(now + report.preemption_notice_s)
        if not machine.reconciled:
            if report.fencing_token < self.cluster.term_token:
                # A late command of a former holder could still be executed: raise the token first.
                self.cluster.outbox.append(
                    DirectCommand(
                        id, machine.address, self.cluster.fencing_token, machine.incarnation, []
                    )
                )
                return []
            if hello and not machine.confirmed:
                # It may be a copy, of a machine that was deleted so long ago that we forgot it:
                # it counts when it has answered, or with its next report.
                machine.confirmed = True
                self.cluster.outbox.append(Probe(id, machine.address))
                return []
            machine.reconciled = True
            # Until it saw our token, a former holder may have answered it.
            machine.answered_at = now
            self.cluster.pass_wanted = True
        if machine.block is None and self.cluster.loaded:
            self.writer.assign_block(machine)
        return self._reconcile(machine, report, now, hello)

    def _drain_before_notice(self, machine: Machine, left_s: float) -> None:
        """The machine is about to be taken: what can save its progress does so, and goes on
        elsewhere. Other work may be done before."""
        for placement in list(machine.placements.values()):
            job = self.cluster.jobs.get(placement.task.job)
            if job is None or job.gang or job.spec.checkpoint_interval_s <= 0:
                continue
            if job.spec.checkpoint_cost_s + 1.0 < left_s:
                self.cluster.stop(placement, job.spec.checkpoint_cost_s)

    def _reconcile(
        self, machine: Machine, report: Heartbeat, now: Instant, hello: bool
    ) -> list[TaskCommand]:
        orders: list[TaskCommand] = []
        listed: set[TaskId] = set()
        kept = False
        machine.exited_tasks.clear()
        self.cluster.clear_unplaced_tasks(machine)
        for shard in report.tasks:
            task = parse_task_id(shard.task_id)
            if task is None:
                continue
            listed.add(task)
            placement = machine.placements.get(task)
            if placement is not None and placement.attempt != shard.attempt:
                placement = None
            if shard.phase == wire.EXITED:
                machine.exited_tasks.add(task)
                self._apply_exit(machine, task, shard, placement, now)
                kept |= machine.inflight_starts.valid_under(
                    task, Attempt(shard.attempt), self.cluster.fencing_token
                )
                if (
                    hello
                    and self.cluster.loaded
                    and self._may_forget(machine, task, shard)
                    and self.cluster.invariants.may_forget(machine, task, Attempt(shard.attempt))
                ):
                    log.debug(
                        "task_forgotten", task=task, attempt=shard.attempt, machine=machine.id
                    )
                    orders.append(TaskCommand(FORGET, shard.task_id, shard.attempt))
                continue
            if placement is None:
                placement = self._adopt_task(machine, task, shard, now)
                if placement is None:
                    self.cluster.add_unplaced_task(machine, task)
                    if self.cluster.loaded:
                        orders.append(TaskCommand(KILL, shard.task_id, shard.attempt, 0.0))
                    continue
            if not placement.seen_on_worker:
                placement.seen_on_worker = True
                self.reachability.confirm_reachable(machine, now)
            self._progress(machine, placement, shard.phase, now)
            if placement.stop_grace is not None:
                orders.append(TaskCommand(KILL, shard.task_id, shard.attempt, placement.stop_grace))
        for task, placement in list(machine.placements.items()):
            if task in listed or not placement.sent:
                continue
            may_arrive = machine.inflight_starts.may_arrive(task, placement.attempt)
            if placement.seen_on_worker and not may_arrive:
                self.cluster.release(machine, placement)
            elif placement.stop_grace is None:
                # The start may be lost; repeating it has no effect where it was executed.
                if hello:
                    if 0 <= placement.start_sent_sequence < report.sequence:
                        self.reachability.suspect(machine, now)  # our last answer had it as well
                    self._start_again(machine, placement, report, orders)
            elif not may_arrive:
                if hello and report.sequence > placement.start_sent_sequence:
                    self.cluster.release(machine, placement)
            elif machine.inflight_starts.valid_under(
                task, placement.attempt, self.cluster.fencing_token
            ):
                # An unanswered start may be executed at any time: only a higher token ends that.
                self.cluster.token_rotation.unwanted_start(placement.stopped_at, now)
        self._defer_forget(machine, kept, now)
        return orders

    def _start_again(
        self, machine: Machine, placement: Placement, report: Heartbeat, orders: list[TaskCommand]
    ) -> None:
        job = self.cluster.jobs.get(placement.task.job)
        if self.cluster.invariants.may_start(job, placement, self.cluster.unplaced_tasks):
            placement.start_sent_sequence = report.sequence
            orders.append(TaskCommand(START, str(placement.task), placement.attempt))

    def _defer_forget(self, machine: Machine, kept: bool, now: Instant) -> None:
        """`kept`: whether an exited attempt stays on its worker as a start may still arrive."""
        if not kept:
            machine.unforgotten_since = None
            return
        if machine.unforgotten_since is None:
            machine.unforgotten_since = now
            self.deferred_forgets += 1
            bounded_log.info(
                "forget_deferred",
                machine=machine.id,
                token_seen=machine.token_seen,
                starts_may_arrive=len(machine.inflight_starts),
            )
        self.cluster.token_rotation.unforgotten_exit(machine.unforgotten_since, now)

    def _apply_exit(
        self,
        machine: Machine,
        task: TaskId,
        shard: wire.TaskStatus,
        placement: Placement | None,
        now: Instant,
    ) -> None:
        job = self.cluster.jobs.get(task.job)
        if placement is not None:
            placement.seen_on_worker = True
            self.cluster.release(machine, placement, requeue=shard.cause != wire.DONE)
        if job is None:
            return
        if shard.cause == wire.DONE:
            self.failure_attribution.task_succeeded(machine, job, placement, now)
            if placement is not None and placement.running_since is not None:
                self._note_runtime(job, now - placement.running_since)
            for index in job.completed_with(task.number):
                job.mark_done(index)
                other = job.placements.get(index)
                if other is not None and not job.gang:
                    self.cluster.stop(other, 0.0)
            self.writer.note_completions(job)
            self.cluster.unplaced[job.id] = job  # its window may have moved on
        elif placement is not None and shard.cause == "error":
            self.failure_attribution.task_failed(machine, job, placement, now)
        elif placement is not None:
            log.debug("task_exited", task=task, machine=machine.id, cause=shard.cause)
            if shard.cause in ("no_room", "in_use", "no_such"):
                log.info("start_refused", machine=machine.id, task=task, cause=shard.cause)
                job.held_until = max(job.held_until, now + 0.5)

    def _may_forget(self, machine: Machine, task: TaskId, shard: wire.TaskStatus) -> bool:
        """After a forget, a start that is still under way would start the task again."""
        placement = machine.placements.get(task)
        if placement is not None and placement.attempt == shard.attempt:
            return False
        if machine.inflight_starts.may_arrive(task, Attempt(shard.attempt)):
            return False
        job = self.cluster.jobs.get(task.job)
        return job is None or shard.cause != wire.DONE or job.is_completion_stored(task.number)

    def _adopt_task(
        self, machine: Machine, task: TaskId, shard: wire.TaskStatus, now: Instant
    ) -> Placement | None:
        """A task that a former holder started: ours from now on, unless it must go."""
        job = self.cluster.jobs.get(task.job)
        if job is None:
            return self._adopt_cancelled_task(machine, task, shard, now)
        if not self.cluster.loaded or task.number >= job.size or job.is_done(task.number):
            return None
        if task in machine.placements or task.number in job.placements:
            return None
        if (
            task.number >= job.placed_below
            or job.gang
            and not self._same_attempt(job, shard.attempt)
        ):
            return None
        placement = Placement(task, Attempt(shard.attempt), machine.id, machine.zone, job, now)
        if not self.cluster.invariants.may_hold(machine, job, placement):
            return None
        job.replicas_run.add(task.number)
        placement.intent_stored = placement.sent = placement.seen_on_worker = (
            placement.adopted_from_predecessor
        ) = True
        self.cluster.add_placement(machine, job, placement)
        job.locate_task(task.number)
        return placement

    def _adopt_cancelled_task(
        self, machine: Machine, task: TaskId, shard: wire.TaskStatus, now: Instant
    ) -> Placement | None:
        """A task of a job that is cancelled: it takes room and counts for its team until it ends.
        None: we don't know what it uses."""
        job = self.cluster.cancelled_jobs.get(task.job)
        if job is None or task.number not in job.unlocated_tasks or task in machine.placements:
            return None
        placement = Placement(task, Attempt(shard.attempt), machine.id, machine.zone, job, now)
        if not self.cluster.invariants.may_hold(machine, job, placement):
            return None
        placement.intent_stored = placement.sent = placement.seen_on_worker = (
            placement.adopted_from_predecessor
        ) = True
        placement.stop_grace = 0.0
        self.cluster.add_placement(machine, job, placement)
        job.locate_task(task.number)
        return placement

    @staticmethod
    def _same_attempt(job: Job, attempt: int) -> bool:
        return all(placement.attempt == attempt for placement in job.placements.values())

    def _progress(self, machine: Machine, placement: Placement, phase: str, now: Instant) -> None:
        if placement.phase == phase:
            return
        placement.phase = phase
        placement.image_fetched |= phase == wire.PULLING_IMAGE
        job = self.cluster.jobs.get(placement.task.job)
        if job is None:
            return
        if phase in (wire.RUNNING, wire.WAITING_FOR_GANG):
            spec = job.spec
            room = (
                self.cluster.machine_types[machine.type].image_cache_gb
                if machine.type in self.cluster.machine_types
                else 0.0
            )
            machine.cache_image(ImageName(spec.image), spec.image_gb, room)
        if phase == wire.RUNNING and placement.running_since is None:
            placement.running_since = now
            if not job.has_begun:
                job.has_begun = True
                if not placement.adopted_from_predecessor:
                    waited = round(self.cluster.wall() - job.ready_at, 1)
                    log.info("job_began", job=job.id, waited_s=waited)
            self._log_late_start(job, placement, now)

    def _log_late_start(self, job: Job, placement: Placement, now: Instant) -> None:
        """Where the time went, for work that its operators want to start sooner."""
        wait, _ = self.cluster.class_aims.get(job.spec.job_class, (None, None))
        waited = self.cluster.wall() - job.ready_at
        first = placement.task.number not in job.replicas_run
        if job.service:
            job.replicas_run.add(placement.task.number)
        if (
            wait is None
            or waited <= wait
            or placement.adopted_from_predecessor
            or not first
            or not job.service
        ):
            return
        log.info(
            "replica_started_late",
            task=placement.task,
            jobclass=job.spec.job_class,
            waited_s=round(waited, 1),
            since_placed_s=round(now - placement.placed_at, 1),
            image_fetched=placement.image_fetched,
        )

    def _note_runtime(self, job: Job, seconds: float) -> None:
        if job.spec.expected_runtime_s > 0:
            ratio = min(max(seconds / job.spec.expected_runtime_s, 0.1), 10.0)
            old = self.cluster.runtime_ratios.get(job.spec.job_class, ratio)
            self.cluster.runtime_ratios[job.spec.job_class] = old + 0.05 * (ratio - old)

    def _count_duplicate(self, machine: Machine, report: Heartbeat, now: Instant) -> None:
        """A report that was answered before has come again: it is no news, whatever it says."""
        self.duplicates += 1
        if now - self.duplicates_logged_at > DUPLICATES_LOG_INTERVAL_S:
            self.duplicates_logged_at = now
            log.info(
                "duplicate_heartbeat_ignored",
                machine=machine.id,
                serial=report.sequence,
                latest=machine.sequence,
                copies=self.duplicates,
            )
            self.duplicates = 0
