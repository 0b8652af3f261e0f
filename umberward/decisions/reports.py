"""What workers say: their reports, and the answers to our commands and questions. No I/O."""

from __future__ import annotations

from umberward.core.bounded_log import BoundedLog
from umberward.core.log import logger
from umberward.core.types import (
    Attempt,
    Epoch,
    ImageName,
    Instant,
    MachineId,
    Serial,
    TaskId,
    Tenure,
    TypeName,
    ZoneName,
    parse_task_id,
)
from umberward.decisions.blame import Blame
from umberward.decisions.cluster import Cluster, Command, Probe
from umberward.decisions.fleet import Machine
from umberward.decisions.hearing import Hearing
from umberward.decisions.jobs import Job, Placement
from umberward.decisions.writer import Writer
from umberward.protocol import wire
from umberward.protocol.wire import FORGET, KILL, START, Order, Report

log = logger(__name__)
bounded_log = BoundedLog(log)

COPIES_SAID_S = 1.0  # how often copies are logged


class Reports:
    def __init__(self, cluster: Cluster, hearing: Hearing, blame: Blame, writer: Writer) -> None:
        self.cluster = cluster
        self.hearing = hearing
        self.blame = blame
        self.writer = writer
        self.copies = 0  # late copies of reports, since they were last logged
        self.copies_at = cluster.started
        self.forgets_put_off = 0  # machines that kept exited attempts as a start may arrive

    def hello(self, head: wire.Head, body: bytes, now: Instant) -> list[Order] | None:
        """A periodic report; the orders for its response, or None: it is not ours to answer."""
        if self._unchanged(head, now):
            return []
        try:
            report = wire.decode_report(body)
        except wire.Malformed as error:
            log.info("report_malformed", machine=head.host, error=error)
            return None
        self.cluster.read += 1
        orders = self.report(report, now, hello=True)
        if orders is not None and not orders:
            self._note_calm(head)
        return orders

    def _unchanged(self, head: wire.Head, now: Instant) -> bool:
        """Take in a report that says and needs nothing new; False if it must be read in full.

        Most reports of a large fleet are of this kind, and cost the same however many tasks they
        list.
        """
        machine = self.cluster.machines.get(MachineId(head.host))
        if (
            machine is None
            or machine.calm is None
            or head.tenure != machine.tenure
            or head.serial <= machine.serial
            or head.epoch != self.cluster.epoch
            or head.reclaim_in_s is not None
            or machine.returning
            or machine.silent
            or machine.lapsed
            or not machine.met
            or machine.doubted is not None
            or machine.mute_since is not None
            or machine.calm != bytes(head.shards)
        ):
            return False
        machine.heard = machine.reported = machine.answered = self.cluster.heard = now
        machine.serial = machine.told = Serial(head.serial)
        return True

    def _note_calm(self, head: wire.Head) -> None:
        """The response to this report had no orders: it may be given again to the next like it."""
        machine = self.cluster.machines.get(MachineId(head.host))
        if (
            machine is not None
            and machine.settled
            and machine.block is not None
            and machine.notice_at is None
            and not (machine.lingering or machine.strays or machine.returning)
            and all(p.seen and p.stop is None for p in machine.held.values())
        ):
            machine.calm = bytes(head.shards)

    def report(self, report: Report, now: Instant, hello: bool) -> list[Order] | None:
        """Take in a worker's report; the orders for its response, or None: not ours to answer."""
        self.cluster.now = now
        id = MachineId(report.host)
        if report.epoch > self.cluster.epoch:
            self.cluster.higher = Epoch(max(self.cluster.higher, report.epoch))
            return None
        if id in self.cluster.gone:
            return []
        machine = self.cluster.machines.get(id)
        if machine is None:
            if TypeName(report.flavor) not in self.cluster.skus:
                return None  # what it runs we could not stop
            machine = self.cluster.machine(
                id, report.address, TypeName(report.flavor), ZoneName(report.yard),
                report.reclaimable, now,
            )  # fmt: skip
            machine.confirmed = False
            log.info("machine_new", machine=id, type=report.flavor, zone=report.yard)
        if report.tenure < machine.min_tenure:
            return None  # a session that we take for over must not be kept alive by our answer
        if machine.returning:
            # While the cloud does not delete it, nothing is taken from its reports, and so nothing
            # on it is stopped: what is cancelled meanwhile must end with its lease.
            return None
        if hello and report.tenure == machine.tenure:
            # Whatever is made of the report below, it is answered, and that renews the lease:
            # also if the machine is being returned, or if the answer to a direct question has
            # overtaken the report. A copy of a report that was answered renews nothing more: its
            # lease runs from when the report was sent, and that was before we first had it.
            if report.serial > machine.told:
                machine.told = Serial(report.serial)
                machine.answered = now
                self.hearing.reports(machine, now)
            else:
                self._copy(machine, report, now)
        if (report.tenure, report.serial) <= (machine.tenure, machine.serial):
            return []  # late: something newer was seen
        machine.calm = None
        machine.touched()
        # The first that a new leader hears of a machine may be a copy of long ago: it is met when
        # it has answered us, or has said something newer.
        machine.met = machine.met or not hello or machine.serial >= 0
        machine.heard = self.cluster.heard = now
        if hello and machine.silent:
            # It left a question unanswered: that we hear it does not mean that it hears us.
            self.hearing.returned(machine, now)
        machine.silent = machine.lapsed = False
        machine.address = report.address
        if report.tenure > machine.tenure:
            # A new session: the worker has killed and forgotten all it had.
            if machine.tenure:
                self.cluster.lose_tasks(machine, "session over")
            if hello:
                self.hearing.reports(machine, now)
            if hello and machine.tenure:
                self.hearing.session_began(machine, now)
            else:
                machine.session_at = now
            machine.told = Serial(report.serial if hello else -1)
            machine.tenure = Tenure(report.tenure)
            # Without an answer the worker's lease runs from the beginning of its session, which
            # was before this report, be it the answer to a direct question. When the session
            # before was answered last says nothing about this one.
            machine.answered = now
        if not hello or machine.epoch < report.epoch == self.cluster.epoch:
            self.hearing.proved(machine, now)
        else:
            self.hearing.reported(machine, now)
        machine.serial = Serial(report.serial)
        if report.epoch > machine.epoch:
            machine.epoch = Epoch(report.epoch)
            machine.direct_starts.token_seen(machine.epoch)
        if report.reclaim_in_s is not None:
            if machine.notice_at is None:
                log.info("machine_will_be_taken", machine=id, in_s=report.reclaim_in_s)
                self._leave(machine, report.reclaim_in_s)
            machine.notice_at = Instant(now + report.reclaim_in_s)
        if not machine.settled:
            if report.epoch < self.cluster.term:
                # A late command of a former holder could still be executed: raise the token first.
                self.cluster.out.append(
                    Command(id, machine.address, self.cluster.epoch, machine.tenure, [])
                )
                return []
            if hello and not machine.confirmed:
                # It may be a copy, of a machine that was deleted so long ago that we forgot it:
                # it counts when it has answered, or with its next report.
                machine.confirmed = True
                self.cluster.out.append(Probe(id, machine.address))
                return []
            machine.settled = True
            # Until it saw our token, a former holder may have answered it.
            machine.answered = now
            self.cluster.want_pass = True
        if machine.block is None and self.cluster.loaded:
            self.writer.assign_block(machine)
        return self._reconcile(machine, report, now, hello)

    def _leave(self, machine: Machine, left_s: float) -> None:
        """The machine is about to be taken: what can save its progress does so, and goes on
        elsewhere. Other work may be done before."""
        for placement in list(machine.held.values()):
            job = self.cluster.jobs.get(placement.task.job)
            if job is None or job.gang or job.spec.snapshot_every_s <= 0:
                continue
            if job.spec.snapshot_cost_s + 1.0 < left_s:
                self.cluster.stop(placement, job.spec.snapshot_cost_s)

    def _reconcile(
        self, machine: Machine, report: Report, now: Instant, hello: bool
    ) -> list[Order]:
        orders: list[Order] = []
        listed: set[TaskId] = set()
        kept = False
        machine.lingering.clear()
        self.cluster.clear_strays(machine)
        for shard in report.shards:
            task = parse_task_id(shard.shard)
            if task is None:
                continue
            listed.add(task)
            placement = machine.held.get(task)
            if placement is not None and placement.attempt != shard.attempt:
                placement = None
            if shard.phase == wire.EXITED:
                machine.lingering.add(task)
                self._exited(machine, task, shard, placement, now)
                kept |= machine.direct_starts.valid_under(
                    task, Attempt(shard.attempt), self.cluster.epoch
                )
                if (
                    hello and self.cluster.loaded and self._may_forget(machine, task, shard)
                    and self.cluster.invariants.may_forget(machine, task, Attempt(shard.attempt))
                ):  # fmt: skip
                    log.debug("forgetting", task=task, attempt=shard.attempt, machine=machine.id)
                    orders.append(Order(FORGET, shard.shard, shard.attempt))
                continue
            if placement is None:
                placement = self._stray(machine, task, shard, now)
                if placement is None:
                    self.cluster.add_stray(machine, task)
                    if self.cluster.loaded:
                        orders.append(Order(KILL, shard.shard, shard.attempt, 0.0))
                    continue
            if not placement.seen:
                placement.seen = True
                self.hearing.proved(machine, now)
            self._progress(machine, placement, shard.phase, now)
            if placement.stop is not None:
                orders.append(Order(KILL, shard.shard, shard.attempt, placement.stop))
        for task, placement in list(machine.held.items()):
            if task in listed or not placement.sent:
                continue
            may_arrive = machine.direct_starts.may_arrive(task, placement.attempt)
            if placement.seen and not may_arrive:
                self.cluster.release(machine, placement)
            elif placement.stop is None:
                # The start may be lost; repeating it has no effect where it was executed.
                if hello:
                    if 0 <= placement.hello_serial < report.serial:
                        self.hearing.doubt(machine, now)  # our last answer had it as well
                    self._start_again(machine, placement, report, orders)
            elif not may_arrive:
                if hello and report.serial > placement.hello_serial:
                    self.cluster.release(machine, placement)
            elif machine.direct_starts.valid_under(task, placement.attempt, self.cluster.epoch):
                # An unanswered start may be executed at any time: only a higher token ends that.
                self.cluster.token_raises.unwanted_start(placement.stop_at, now)
        self._ask_to_forget_later(machine, kept, now)
        return orders

    def _start_again(
        self, machine: Machine, placement: Placement, report: Report, orders: list[Order]
    ) -> None:
        job = self.cluster.jobs.get(placement.task.job)
        if self.cluster.invariants.may_start(job, placement, self.cluster.strays):
            placement.hello_serial = report.serial
            orders.append(Order(START, str(placement.task), placement.attempt))

    def _ask_to_forget_later(self, machine: Machine, kept: bool, now: Instant) -> None:
        """`kept`: whether an exited attempt stays on its worker as a start may still arrive."""
        if not kept:
            machine.unforgotten_since = None
            return
        if machine.unforgotten_since is None:
            machine.unforgotten_since = now
            self.forgets_put_off += 1
            bounded_log.info("forget_put_off", machine=machine.id, token_seen=machine.epoch,
                             starts_may_arrive=len(machine.direct_starts))  # fmt: skip
        self.cluster.token_raises.exited_unforgotten(machine.unforgotten_since, now)

    def _exited(
        self,
        machine: Machine,
        task: TaskId,
        shard: wire.ShardReport,
        placement: Placement | None,
        now: Instant,
    ) -> None:
        job = self.cluster.jobs.get(task.job)
        if placement is not None:
            placement.seen = True
            self.cluster.release(machine, placement, requeue=shard.cause != wire.DONE)
        if job is None:
            return
        if shard.cause == wire.DONE:
            self.blame.worked(machine, job, placement, now)
            if placement is not None and placement.running_at is not None:
                self._note_runtime(job, now - placement.running_at)
            for index in job.done_with(task.number):
                job.mark_done(index)
                other = job.placed.get(index)
                if other is not None and not job.gang:
                    self.cluster.stop(other, 0.0)
            self.writer.completions(job)
            self.cluster.unplaced[job.id] = job  # its window may have moved on
        elif placement is not None and shard.cause == "error":
            self.blame.failed(machine, job, placement, now)
        elif placement is not None:
            log.debug("task_exited", task=task, machine=machine.id, cause=shard.cause)
            if shard.cause in ("no_room", "in_use", "no_such"):
                log.info("start_refused", machine=machine.id, task=task, cause=shard.cause)
                job.hold_until = max(job.hold_until, now + 0.5)

    def _may_forget(self, machine: Machine, task: TaskId, shard: wire.ShardReport) -> bool:
        """After a forget, a start that is still under way would start the task again."""
        placement = machine.held.get(task)
        if placement is not None and placement.attempt == shard.attempt:
            return False
        if machine.direct_starts.may_arrive(task, Attempt(shard.attempt)):
            return False
        job = self.cluster.jobs.get(task.job)
        return job is None or shard.cause != wire.DONE or job.is_saved(task.number)

    def _stray(
        self, machine: Machine, task: TaskId, shard: wire.ShardReport, now: Instant
    ) -> Placement | None:
        """A task that a former holder started: ours from now on, unless it must go."""
        job = self.cluster.jobs.get(task.job)
        if job is None:
            return self._cancelled(machine, task, shard, now)
        if not self.cluster.loaded or task.number >= job.size or job.is_done(task.number):
            return None
        if task in machine.held or task.number in job.placed:
            return None
        if task.number >= job.marked or job.gang and not self._same_attempt(job, shard.attempt):
            return None
        placement = Placement(task, Attempt(shard.attempt), machine.id, machine.zone, job, now)
        if not self.cluster.invariants.may_hold(machine, job, placement):
            return None
        job.ran.add(task.number)
        placement.ready = placement.sent = placement.seen = placement.adopted = True
        self.cluster.hold(machine, job, placement)
        job.found(task.number)
        return placement

    def _cancelled(
        self, machine: Machine, task: TaskId, shard: wire.ShardReport, now: Instant
    ) -> Placement | None:
        """A task of a job that is cancelled: it takes room and counts for its team until it ends.
        None: we don't know what it uses."""
        job = self.cluster.cancelled.get(task.job)
        if job is None or task.number not in job.unsure or task in machine.held:
            return None
        placement = Placement(task, Attempt(shard.attempt), machine.id, machine.zone, job, now)
        if not self.cluster.invariants.may_hold(machine, job, placement):
            return None
        placement.ready = placement.sent = placement.seen = placement.adopted = True
        placement.stop = 0.0
        self.cluster.hold(machine, job, placement)
        job.found(task.number)
        return placement

    @staticmethod
    def _same_attempt(job: Job, attempt: int) -> bool:
        return all(placement.attempt == attempt for placement in job.placed.values())

    def _progress(self, machine: Machine, placement: Placement, phase: str, now: Instant) -> None:
        if placement.phase == phase:
            return
        placement.phase = phase
        placement.fetched |= phase == wire.PULLING
        job = self.cluster.jobs.get(placement.task.job)
        if job is None:
            return
        if phase in (wire.RUNNING, wire.GATHERING):
            spec = job.spec
            room = (
                self.cluster.skus[machine.type].local_gb
                if machine.type in self.cluster.skus
                else 0.0
            )
            machine.note_image(ImageName(spec.bundle), spec.pull_gb, room)
        if phase == wire.RUNNING and placement.running_at is None:
            placement.running_at = now
            if not job.began:
                job.began = True
                if not placement.adopted:
                    waited = round(self.cluster.wall() - job.ready_at, 1)
                    log.info("job_began", job=job.id, waited_s=waited)
            self._say_if_late(job, placement, now)

    def _say_if_late(self, job: Job, placement: Placement, now: Instant) -> None:
        """Where the time went, for work that its operators want to start sooner."""
        wait, _ = self.cluster.aims.get(job.spec.jobclass, (None, None))
        waited = self.cluster.wall() - job.ready_at
        first = placement.task.number not in job.ran
        if job.service:
            job.ran.add(placement.task.number)
        if wait is None or waited <= wait or placement.adopted or not first or not job.service:
            return
        log.info(
            "runs_late", task=placement.task, jobclass=job.spec.jobclass, waited_s=round(waited, 1),
            since_placed_s=round(now - placement.at, 1), image_fetched=placement.fetched,
        )  # fmt: skip

    def _note_runtime(self, job: Job, seconds: float) -> None:
        if job.spec.expect_s > 0:
            ratio = min(max(seconds / job.spec.expect_s, 0.1), 10.0)
            old = self.cluster.runtime.get(job.spec.jobclass, ratio)
            self.cluster.runtime[job.spec.jobclass] = old + 0.05 * (ratio - old)

    def _copy(self, machine: Machine, report: Report, now: Instant) -> None:
        """A report that was answered before has come again: it is no news, whatever it says."""
        self.copies += 1
        if now - self.copies_at > COPIES_SAID_S:
            self.copies_at = now
            log.info("report_copy_ignored", machine=machine.id, serial=report.serial,
                     latest=machine.serial, copies=self.copies)  # fmt: skip
            self.copies = 0
