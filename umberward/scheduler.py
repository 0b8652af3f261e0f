"""What a holder of machines decides. No I/O: reports and results come in, effects go out.

The rules rest on one question: may a task still be on a machine? A `Placement` stands for "it
may", from before its start is sent until one of these is known (docs/design.md, "Safety"):
a newer report under our token does not list it and no start is in flight; the worker's session
has changed; its lease has run out since the last answer it could have accepted; the cloud has
deleted the machine.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Container, Iterable
from typing import Any, NamedTuple

from umberward import wire
from umberward.blame import Blame
from umberward.clearing import Clearing
from umberward.fleet import Machine, Offer, with_room
from umberward.jobs import Job, Placement
from umberward.pipelines import Pipelines
from umberward.placement import Room, best_fit
from umberward.quota import Quota
from umberward.reserve import Reserve
from umberward.settings import Settings
from umberward.tending import DRIFT, MARGIN_S, Lender, Loan
from umberward.thrift import Thrift
from umberward.types import (
    NOTHING,
    Amount,
    Attempt,
    Epoch,
    ImageName,
    Instant,
    JobId,
    MachineId,
    NodeName,
    Serial,
    Stamp,
    TaskId,
    TeamName,
    Tenure,
    TypeName,
    WallTime,
    ZoneName,
    parse_task_id,
)
from umberward.wire import FORGET, KILL, START, JobRecord, Report, Sku
from umberward.writer import Writer

log = logging.getLogger(__name__)

ESTIMATE_SPARE = 1.3  # some tasks of a job take longer than its estimate
DEFAULT_WAIT_S = 120.0  # when a job should start for which nothing is said
LEAST_WORKERS = 4  # with fewer it can't be told whether they or we are cut off
MANY_WORKERS = 20  # so many report at moments spread evenly enough
DEAF_MARGIN_S = 1.0
FEW_PART = 0.1  # of the machines may die at once, more are rather cut off
ZONE_PART = 0.5  # of a zone's machines: where fewer are heard, the zone may be cut off
STOOD_STILL_S = 1.0  # without a message for so long, it was we who stood still: ticks are frequent


class Command(NamedTuple):
    """Send orders to a worker directly."""

    machine: MachineId
    address: str
    epoch: Epoch
    tenure: Tenure
    orders: list[dict[str, Any]]


class Probe(NamedTuple):
    """Ask a worker for its report."""

    machine: MachineId
    address: str


class Scheduler:
    def __init__(
        self,
        settings: Settings,
        skus: dict[TypeName, Sku],
        epoch: Epoch,
        now: Instant,
        wall: Callable[[], WallTime],
        rng: random.Random,
    ) -> None:
        cluster = settings.platform.cluster
        self.workers = cluster.workers
        limits = cluster.state.least()
        self.value_limit = int(limits.value_kb * 1024)
        self.operator = settings.operator
        self.skus = skus
        self.quota = Quota(cluster.teams)
        # class -> (within how many seconds its tasks should start, its jobs be finished)
        self.aims: dict[str, tuple[float | None, float | None]] = {}
        self.guarantee_s: float | None = None  # how soon guaranteed work should start
        self.thrift = Thrift(self, now)
        for aim in cluster.objectives:
            if aim.kind == "guarantee" and aim.within_s:
                self.guarantee_s = aim.within_s
            if aim.job_class is not None and aim.within_s:
                wait, finished = self.aims.get(aim.job_class, (None, None))
                if aim.kind == "wait":
                    wait = min(wait or aim.within_s, aim.within_s)
                elif aim.kind == "finished":
                    finished = min(finished or aim.within_s, aim.within_s)
                self.aims[aim.job_class] = (wait, finished)
        platform = settings.platform
        borrowers = {NodeName(peer.label): ZoneName(peer.site) for peer in platform.peers}
        self.lender = Lender(cluster.workers, borrowers, epoch)
        self.current = now  # of all that was cancelled until then we know
        self.epoch = epoch
        self.term = epoch
        self.started = now
        self.now = now
        self.awake = now  # when we last looked at the clock
        self.heard = now  # when we last heard of any worker
        self.wall = wall
        self.rng = rng
        self.jobs: dict[JobId, Job] = {}
        self.machines: dict[MachineId, Machine] = {}
        self.gone: dict[MachineId, None] = {}  # deleted machines: late reports are ignored
        # Exited attempts whose start may still be under way, with the token it carries.
        self.tainted_exits: dict[tuple[TaskId, int], int] = {}
        self.reserve = Reserve(skus, now)
        self.clearing = Clearing(self, now)
        self.blame = Blame(self, now)
        self.writer = Writer(self, limits, self.value_limit, now)
        self.pipelines = Pipelines(self)
        self.offers: set[Offer] = set()  # the kinds of machines there are
        self.fleet_kinds = 0  # how often these, or the machine types, have changed
        self.kept: set[MachineId] = set()  # the machines that the reserve is made of
        self.attempts = 0
        self.read = 0  # reports that were read in full
        self.looks = 0  # machines that were looked at for work that may be stopped
        self.searches = 0  # searches for room among all machines
        self.loaded = False
        self.want_grades = True
        self.grades = 0  # how often standings were found
        self.all_settled = False
        self.want_pass = True
        self.want_epoch = False
        self.out: list[Command | Probe] = []
        self.doomed: set[MachineId] = set()  # to be deleted as soon as the cloud answers
        self.runtime: dict[str, float] = {}  # class -> seen run time by what was estimated

    # ---- taking over -------------------------------------------------------------------

    def load_block(self, number: int, record: wire.BlockRecord, stamp: Stamp, now: Instant) -> None:
        machines = []
        for name, (address, type_, zone, spot) in record.hosts.items():
            machine = self._machine(
                MachineId(name), address, TypeName(type_), ZoneName(zone), spot, now
            )
            machines.append(machine)
            if not machine.met and not machine.probing:
                machine.probing = True
                self.out.append(Probe(machine.id, address))
        self.writer.load_block(number, stamp, machines)

    def load_done(self) -> None:
        self.loaded = True
        for machine in self.machines.values():
            if machine.settled:
                # It reported before the jobs were read, so its tasks could not be told: until it
                # has reported once more, they may run there and must not start elsewhere.
                machine.settled = False
                machine.calm = None
                machine.probing = True
                self.out.append(Probe(machine.id, machine.address))
        self.want_pass = True
        log.info(
            "took over with token %d: %d machines, %d jobs",
            self.epoch, len(self.machines), len(self.jobs),
        )  # fmt: skip

    def _machine(
        self,
        id: MachineId,
        address: str,
        type_: TypeName,
        zone: ZoneName,
        spot: bool,
        now: Instant,
    ) -> Machine:
        machine = self.machines.get(id)
        if machine is None:
            machine = self.machines[id] = Machine(id, address, type_, zone, spot, now)
            if machine.offer not in self.offers:
                self.offers.add(machine.offer)
                self.fleet_kinds += 1
        return machine

    # ---- jobs --------------------------------------------------------------------------

    def job_put(self, record: JobRecord, stamp: Stamp) -> None:
        """A job's record was read or has come by the watch."""
        id = JobId(record.spec.uid)
        if id in self.jobs or id in self.pipelines.jobs:
            return
        job = Job(record, stamp, self.value_limit)
        if record.needs and not record.marked:
            # A job that waits for others is in nothing that counts queued work, and cannot start.
            self.pipelines.add(job, wire.unpack_needs(record.needs))
        else:
            self._admit(job)
        self.pipelines.graph.seen(id)

    def _admit(self, job: Job) -> None:
        self.jobs[job.id] = job
        self.want_grades = True
        self.want_pass = True

    def job_ended(self, id: JobId, final: wire.FinalRecord, at: float) -> None:
        """A job's end was read or committed: only now may those after it start."""
        for job in self.pipelines.ended(id, final.phase, at):
            log.info("%s may start: all that it waited for is done", job.id)
            self._admit(job)

    def job_gone(self, id: JobId) -> None:
        """A job's live record is gone: it is done, or was cancelled by some controller."""
        self.pipelines.gone(id)
        job = self.jobs.pop(id, None)
        if job is None:
            return
        job.ended = True
        self.blame.forget(job, self.now)
        self.want_grades = True
        for placement in list(job.placed.values()):
            self.stop(placement, 0.0)
        self.want_pass = True

    # ---- reports -----------------------------------------------------------------------

    def hello(self, head: wire.Head, body: bytes, now: Instant) -> list[dict[str, Any]] | None:
        """A periodic report; the orders for its response, or None: it is not ours to answer."""
        if self._unchanged(head, now):
            return []
        try:
            report = wire.decode_report(body)
        except wire.Malformed as error:
            log.info("report of %s: %s", head.host, error)
            return None
        self.read += 1
        orders = self.report(report, now, hello=True)
        if orders is not None and not orders:
            self._note_calm(head)
        return orders

    def _unchanged(self, head: wire.Head, now: Instant) -> bool:
        """Take in a report that says and needs nothing new; False if it must be read in full.

        Most reports of a large fleet are of this kind, and cost the same however many tasks they
        list.
        """
        machine = self.machines.get(MachineId(head.host))
        if (
            machine is None
            or machine.calm is None
            or head.tenure != machine.tenure
            or head.serial <= machine.serial
            or head.epoch != self.epoch
            or head.reclaim_in_s is not None
            or machine.returning
            or machine.calm != bytes(head.shards)
        ):
            return False
        machine.heard = machine.answered = self.heard = now
        machine.silent = machine.lapsed = False
        machine.serial = Serial(head.serial)
        return True

    def _note_calm(self, head: wire.Head) -> None:
        """The response to this report had no orders: it may be given again to the next like it."""
        machine = self.machines.get(MachineId(head.host))
        if (
            machine is not None
            and machine.settled
            and machine.block is not None
            and machine.notice_at is None
            and not (machine.lingering or machine.strays or machine.returning)
            and all(p.seen and p.stop is None for p in machine.held.values())
        ):
            machine.calm = bytes(head.shards)

    def report(self, report: Report, now: Instant, hello: bool) -> list[dict[str, Any]] | None:
        """Take in a worker's report; the orders for its response, or None: not ours to answer."""
        self.now = now
        id = MachineId(report.host)
        if report.epoch > self.epoch:
            return None
        if id in self.gone:
            return []
        machine = self.machines.get(id)
        if machine is None:
            if TypeName(report.flavor) not in self.skus:
                return []
            machine = self._machine(
                id, report.address, TypeName(report.flavor), ZoneName(report.yard),
                report.reclaimable, now,
            )  # fmt: skip
            log.info("new machine %s (%s, %s)", id, report.flavor, report.yard)
        if machine.returning:
            return []
        if report.tenure < machine.min_tenure:
            return []
        if (report.tenure, report.serial) <= (machine.tenure, machine.serial):
            return []  # late: something newer was seen
        machine.calm = None
        machine.heard = self.heard = now
        machine.met = True
        machine.silent = machine.lapsed = False
        machine.address = report.address
        if report.tenure > machine.tenure:
            # A new session: the worker has killed and forgotten all it had.
            if machine.tenure:
                self._lose_tasks(machine, "session over")
            machine.tenure = Tenure(report.tenure)
        machine.serial = Serial(report.serial)
        machine.epoch = Epoch(report.epoch)
        if hello or machine.answered is None:
            # Without an answer the worker's lease runs from the beginning of its session, which
            # was before this report.
            machine.answered = now
        if report.reclaim_in_s is not None:
            if machine.notice_at is None:
                log.info("%s will be taken in %.0f s", id, report.reclaim_in_s)
                self._leave(machine, report.reclaim_in_s)
            machine.notice_at = Instant(now + report.reclaim_in_s)
        if not machine.settled:
            if report.epoch < self.term:
                # A late command of a former holder could still be executed: raise the token first.
                self.out.append(Command(id, machine.address, self.epoch, machine.tenure, []))
                return []
            machine.settled = True
            self.want_pass = True
        if machine.block is None and self.loaded:
            self.writer.assign_block(machine)
        return self._reconcile(machine, report, now, hello)

    def _leave(self, machine: Machine, left_s: float) -> None:
        """The machine is about to be taken: what can save its progress does so, and goes on
        elsewhere. Other work may be done before."""
        for placement in list(machine.held.values()):
            job = self.jobs.get(placement.task.job)
            if job is None or job.gang or job.spec.snapshot_every_s <= 0:
                continue
            if job.spec.snapshot_cost_s + 1.0 < left_s:
                self.stop(placement, job.spec.snapshot_cost_s)

    def _reconcile(
        self, machine: Machine, report: Report, now: Instant, hello: bool
    ) -> list[dict[str, Any]]:
        orders: list[dict[str, Any]] = []
        listed: set[TaskId] = set()
        machine.lingering.clear()
        machine.strays = 0
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
                if hello and self.loaded and self._may_forget(machine, task, shard):
                    orders.append(wire.order(FORGET, shard.shard, shard.attempt))
                continue
            if placement is None:
                placement = self._stray(machine, task, shard, now)
                if placement is None:
                    machine.strays += 1
                    if self.loaded:
                        orders.append(wire.order(KILL, shard.shard, shard.attempt, 0.0))
                    continue
            placement.seen = True
            self._progress(machine, placement, shard.phase, now)
            if placement.stop is not None:
                orders.append(wire.order(KILL, shard.shard, shard.attempt, placement.stop))
        for task, placement in list(machine.held.items()):
            if task in listed or not placement.sent:
                continue
            if placement.tainted and placement.tainted < machine.epoch:
                placement.tainted = 0  # late starts carry a token that is too low now
            if placement.seen:
                self._release(machine, placement)
                continue
            if placement.stop is None:
                # The start may be lost; repeating it has no effect where it was executed.
                if hello:
                    placement.hello_serial = report.serial
                    orders.append(wire.order(START, str(task), placement.attempt))
            elif not placement.inflight and not placement.tainted:
                if hello and report.serial > placement.hello_serial:
                    self._release(machine, placement)
            elif not placement.inflight and now - placement.stop_at > 2.0:
                # An unanswered start may be executed at any time: only a higher token ends that.
                self.want_epoch = True
        return orders

    def _exited(
        self,
        machine: Machine,
        task: TaskId,
        shard: wire.ShardReport,
        placement: Placement | None,
        now: Instant,
    ) -> None:
        job = self.jobs.get(task.job)
        if placement is not None:
            placement.seen = True
            self._release(machine, placement, requeue=shard.cause != wire.DONE)
        if job is None:
            return
        if shard.cause == wire.DONE:
            self.blame.worked(machine, job, placement, now)
            if placement is not None and placement.running_at is not None:
                self._note_runtime(job, now - placement.running_at)
            indices: Iterable[int] = (task.number,)
            if job.gang and placement is not None:
                indices = range(job.size)  # if one task of a gang is done, all are
            for index in indices:
                job.mark_done(index)
                other = job.placed.get(index)
                if other is not None and not job.gang:
                    self.stop(other, 0.0)
            self.writer.completions(job)
        elif placement is not None and shard.cause == "error":
            self.blame.failed(machine, job, placement, now)
        elif placement is not None:
            log.debug("%s on %s exited: %s", task, machine.id, shard.cause)
            if shard.cause in ("no_room", "in_use", "no_such"):
                log.info("%s refused %s: %s", machine.id, task, shard.cause)
                job.hold_until = max(job.hold_until, now + 0.5)

    def _may_forget(self, machine: Machine, task: TaskId, shard: wire.ShardReport) -> bool:
        """After a forget, a start that is still under way would start the task again."""
        placement = machine.held.get(task)
        if placement is not None and placement.attempt == shard.attempt:
            return False
        if self.tainted_exits.get((task, shard.attempt), -1) >= machine.epoch:
            return False
        self.tainted_exits.pop((task, shard.attempt), None)
        job = self.jobs.get(task.job)
        return job is None or shard.cause != wire.DONE or job.is_saved(task.number)

    def _stray(
        self, machine: Machine, task: TaskId, shard: wire.ShardReport, now: Instant
    ) -> Placement | None:
        """A task that a former holder started: ours from now on, unless it must go."""
        job = self.jobs.get(task.job)
        if not self.loaded or job is None or task.number >= job.size or job.is_done(task.number):
            return None
        if task in machine.held or task.number in job.placed:
            return None
        if task.number >= job.marked or job.gang and not self._same_attempt(job, shard.attempt):
            return None
        placement = Placement(task, Attempt(shard.attempt), machine.id, machine.zone, job, now)
        job.ran.add(task.number)
        placement.ready = placement.sent = placement.seen = placement.adopted = True
        self._hold(machine, job, placement)
        job.unsure.discard(task.number)
        if task.number in job.again:
            job.again.remove(task.number)
        return placement

    @staticmethod
    def _same_attempt(job: Job, attempt: int) -> bool:
        return all(placement.attempt == attempt for placement in job.placed.values())

    def _progress(self, machine: Machine, placement: Placement, phase: str, now: Instant) -> None:
        if placement.phase == phase:
            return
        placement.phase = phase
        placement.fetched |= phase == wire.PULLING
        job = self.jobs.get(placement.task.job)
        if job is None:
            return
        if phase in (wire.RUNNING, wire.GATHERING):
            spec = job.spec
            room = self.skus[machine.type].local_gb if machine.type in self.skus else 0.0
            machine.note_image(ImageName(spec.bundle), spec.pull_gb, room)
        if phase == wire.RUNNING and placement.running_at is None:
            placement.running_at = now
            self._say_if_late(job, placement, now)

    def _say_if_late(self, job: Job, placement: Placement, now: Instant) -> None:
        """Where the time went, for work that its operators want to start sooner."""
        wait, _ = self.aims.get(job.spec.jobclass, (None, None))
        waited = self.wall() - job.ready_at
        first = placement.task.number not in job.ran
        if job.service:
            job.ran.add(placement.task.number)
        if wait is None or waited <= wait or placement.adopted or not first or not job.service:
            return
        log.info(
            "%s (%s) runs %.1f s after its submission, %.1f s after it was given a place%s",
            placement.task, job.spec.jobclass, waited, now - placement.at,
            "; its image was fetched" if placement.fetched else "",
        )  # fmt: skip

    def _note_runtime(self, job: Job, seconds: float) -> None:
        if job.spec.expect_s > 0:
            ratio = min(max(seconds / job.spec.expect_s, 0.1), 10.0)
            old = self.runtime.get(job.spec.jobclass, ratio)
            self.runtime[job.spec.jobclass] = old + 0.05 * (ratio - old)

    def lend(self, borrower: NodeName, seen: int, idle: bool, now: Instant) -> Loan:
        """The machines of its zone that this controller may answer if the zone is cut off."""
        zone = self.lender.borrowers.get(borrower)
        serial = self.lender.asked(borrower, seen, idle, now)
        hosts = []
        for machine in self.machines.values() if self.loaded else ():
            if (
                machine.zone == zone
                and machine.settled
                and machine.epoch == self.epoch
                and now - machine.heard < self._silence()
                and not (machine.strays or machine.returning or machine.lapsed)
                and not machine.stopping
            ):
                machine.lent = now
                hosts.append(str(machine.id))
        return Loan(self.epoch, serial, max(0.0, now - self.current), hosts)

    # ---- placements --------------------------------------------------------------------

    def _hold(self, machine: Machine, job: Job, placement: Placement) -> None:
        machine.tasks_changed()
        machine.held[placement.task] = placement
        self.reserve.placed(placement)
        if not placement.ready:
            job.unready += 1
            self.writer.urgent.add(job.id)
        machine.booked = machine.booked.plus(placement.need)
        job.placed[placement.task.number] = placement
        self.quota.take(placement.team, placement.need)

    def _release(self, machine: Machine, placement: Placement, requeue: bool = True) -> None:
        """The attempt is surely gone from its machine."""
        machine.tasks_changed()
        machine.held.pop(placement.task, None)
        self.reserve.released(placement)
        machine.booked = machine.booked.minus(placement.need) if machine.held else NOTHING
        if not machine.held:
            machine.idle_since = self.now
        self.quota.give_back(placement.team, placement.need)
        if placement.tainted >= machine.epoch and placement.tainted:
            self.tainted_exits[(placement.task, placement.attempt)] = placement.tainted
        self.want_pass = True
        job = self.jobs.get(placement.task.job)
        if job is None or job.ended:
            return
        if job.placed.get(placement.task.number) is placement:
            del job.placed[placement.task.number]
            if not placement.ready:
                job.unready -= 1
        if not requeue:
            return
        job.put_back(placement.task.number)
        if job.gang:
            # The rest of a gang is of no use without this task.
            for other in list(job.placed.values()):
                if other.stop is None:
                    self.stop(other, 0.0)

    def _lose_tasks(self, machine: Machine, why: str) -> None:
        if machine.held:
            log.info("%s: %d tasks lost (%s)", machine.id, len(machine.held), why)
        for placement in list(machine.held.values()):
            placement.tainted = 0
            self._release(machine, placement)
        machine.lingering.clear()
        machine.strays = 0

    def stop(self, placement: Placement, grace: float) -> None:
        if placement.stop is not None and placement.stop <= grace:
            return
        placement.stop = grace
        machine = self.machines.get(placement.machine)
        if machine is None:
            return
        placement.stop_at = self.now
        machine.tasks_changed()
        if not placement.sent:
            self._release(machine, placement)
            return
        order = wire.order(KILL, str(placement.task), placement.attempt, grace)
        self._command(machine, [order])

    def _command(self, machine: Machine, orders: list[dict[str, Any]]) -> None:
        for item in self.out:
            if isinstance(item, Command) and item.machine == machine.id:
                item.orders.extend(orders)
                return
        self.out.append(
            Command(machine.id, machine.address, self.epoch, machine.tenure, list(orders))
        )

    def send(self, placement: Placement) -> None:
        machine = self.machines[placement.machine]
        placement.sent = True
        placement.inflight += 1
        order = wire.order(START, str(placement.task), placement.attempt)
        self._command(machine, [order])

    def commanded(
        self, command: Command, report: Report | None, unknown: bool, now: Instant
    ) -> None:
        """A direct command was answered, or was not (`unknown`: it may still be executed)."""
        machine = self.machines.get(command.machine)
        if machine is None:
            return
        for made in command.orders:
            task = parse_task_id(made["shard"])
            placement = machine.held.get(task) if task is not None else None
            if made["verb"] == START and placement is not None and placement.attempt == made["try"]:
                placement.inflight -= 1
                if unknown:
                    placement.tainted = max(placement.tainted, command.epoch)
        if report is not None:
            self.report(report, now, hello=False)

    def probed(self, probe: Probe, report: Report | None, now: Instant) -> None:
        machine = self.machines.get(probe.machine)
        if machine is None:
            return
        machine.probing = False
        if report is not None:
            if (report.tenure, report.serial) <= (machine.tenure, machine.serial):
                machine.heard = self.heard = now
            self.report(report, now, hello=False)
        elif now - machine.heard > self._silence():
            if not machine.silent:
                log.info("%s is silent for %.1f s", machine.id, now - machine.heard)
            machine.silent = True

    # ---- time --------------------------------------------------------------------------

    def _silence(self) -> float:
        return max(self.operator.silence_seconds, self.workers.report_s * 1.25 + 1.0)

    def wake(self, now: Instant) -> None:
        """To be called before anything else is decided, with the clock read anew.

        If we stood still, the machines were not silent: it was we who did not listen, and what they
        sent meanwhile is still to be read. Their leases ran on all the same.
        """
        gap = now - self.awake
        self.awake = now
        if gap <= STOOD_STILL_S:
            return
        log.info("stood still for %.1f s", gap)
        self.heard = min(now, Instant(self.heard + gap))
        for machine in self.machines.values():
            machine.heard = min(now, Instant(machine.heard + gap))

    def tick(self, now: Instant) -> None:
        """Notice what time alone tells. To be called a few times a second."""
        self.now = now
        takeover = self.workers.cancel_s * DRIFT + 2 * MARGIN_S
        silence = self._silence()
        for machine in self.machines.values():
            quiet = now - machine.heard
            if quiet > silence and not machine.probing and not machine.returning:
                machine.probing = True
                self.out.append(Probe(machine.id, machine.address))
            if machine.settled:
                if machine.answered is not None and self.lender.session_over(
                    machine.zone, machine.answered, machine.lent, now
                ):
                    # Its lease has run out: it has killed all that it had.
                    self._expire(machine)
            elif not machine.cleared and now - self.started > takeover:
                # A former holder may answer reports for cancel_s - lease_s after it last held its
                # lease, which was before we took over; lease_s after that all is gone.
                machine.cleared = True
        if not self.all_settled and self.loaded:
            waiting = [m for m in self.machines.values() if not (m.settled or m.cleared)]
            if not waiting:
                self.all_settled = True
                for job in self.jobs.values():
                    job.settle()
                self.want_pass = True
                log.info("all machines settled after %.1f s", now - self.started)
        self.blame.tick(now)
        self._pick_doomed(now)

    def deaf(self, now: Instant) -> bool:
        """Whether no worker at all is heard, though so many should report that one would be."""
        met = sum(1 for m in self.machines.values() if m.met)
        if met < LEAST_WORKERS:
            return False
        # Each reports at least so often; the more there are, the sooner one of them does.
        longest = 1.25 * self.workers.report_s * min(1.0, MANY_WORKERS / met) + DEAF_MARGIN_S
        return now - self.heard > longest

    def cut_off(self, now: Instant) -> bool:
        """Whether the workers seem to be out of our reach, all but a few."""
        if now - self.started < 2 * self._silence():
            return False
        if self.deaf(now):
            return True
        met = [m for m in self.machines.values() if m.met]
        if len(met) < LEAST_WORKERS:
            return False
        heard = sum(1 for m in met if not m.silent and now - m.heard < self._silence() + 1.0)
        return heard < 0.25 * len(met)

    def _expire(self, machine: Machine) -> None:
        self._lose_tasks(machine, "lease over")
        machine.min_tenure = Tenure(machine.tenure + 1)
        machine.answered = None
        machine.lapsed = True

    def _pick_doomed(self, now: Instant) -> None:
        """Silent machines are deleted: that frees their tasks before the lease does.

        Many silent ones at once mean that we, or their zone, are cut off, not that they are dead:
        what runs there goes on until their leases are nearly over, and so long they are left alone.
        If hardly any is heard, it is us.
        """
        silent = [m for m in self.machines.values() if m.silent and not m.returning]
        if not silent:
            return
        taken = [m for m in silent if m.notice_at is not None]
        self.doomed.update(m.id for m in taken)
        recent = 1.25 * self.workers.report_s + DEAF_MARGIN_S
        apart = self._zones_apart(now, recent)
        silent = [m for m in silent if m.zone not in apart or m.lapsed or m.cleared]
        met = [m for m in self.machines.values() if m.met and m.zone not in apart]
        alive = sum(1 for m in met if now - m.heard < recent)
        if self.deaf(now) or not alive:
            return
        # Those whose report is overdue count as well: of a cut, some are noticed before others.
        overdue = len(met) - alive - sum(1 for m in taken if m.zone not in apart)
        if overdue <= max(3, FEW_PART * len(met)):
            self.doomed.update(m.id for m in silent)
        elif overdue <= 0.7 * alive:
            late = 0.8 * self.workers.lease_s
            self.doomed.update(m.id for m in silent if now - m.heard > late)

    def _zones_apart(self, now: Instant, recent: float) -> set[ZoneName]:
        """Zones of which hardly any machine is heard, and in which another controller may answer
        them: what runs there goes on, for as long as that may be so.

        A new leader may never have heard of any of them.
        """
        heard: dict[ZoneName, list[bool]] = {}
        for machine in self.machines.values():
            if machine.zone in self.lender.zones and machine.notice_at is None:
                here = machine.met and now - machine.heard < recent
                heard.setdefault(machine.zone, []).append(here)
        return {
            zone
            for zone, here in heard.items()
            if len(here) >= LEAST_WORKERS and sum(here) < ZONE_PART * len(here)
        }

    def removed(self, ids: Iterable[MachineId], now: Instant) -> None:
        """The cloud has deleted these machines, or they stopped by themselves."""
        for id in ids:
            self.doomed.discard(id)
            machine = self.machines.get(id)
            if machine is None:
                continue
            machine.returning = True
            self._lose_tasks(machine, "machine gone")
            del self.machines[id]
            self.gone[id] = None
            while len(self.gone) > 5000:
                del self.gone[next(iter(self.gone))]
            self.writer.drop(machine)
        self.want_pass = True

    def next_epoch(self, epoch: Epoch) -> None:
        self.epoch = epoch
        self.want_epoch = False

    # ---- placing -----------------------------------------------------------------------

    def _unsure_usage(self) -> dict[TeamName, Amount]:
        """What tasks may use that a former holder placed and nobody has found yet."""
        usage: dict[TeamName, Amount] = {}
        if not self.all_settled:
            for job in self.jobs.values():
                if job.unsure:
                    old = usage.get(job.team, NOTHING)
                    usage[job.team] = old.plus(job.need, len(job.unsure))
        return usage

    def deadline(self, job: Job) -> float:
        """The time by which the job should start; the sooner, the earlier it is served.

        It follows from the job's own deadline and from what the operators aim at for its class.
        """
        spec = job.spec
        estimate = ESTIMATE_SPARE * self.estimate(job)
        start_by = job.ready_at + DEFAULT_WAIT_S
        wait, finished = self.aims.get(spec.jobclass, (None, None))
        if wait is not None:
            start_by = job.ready_at + wait
        if finished is not None:
            start_by = min(start_by, job.ready_at + finished - estimate)
        if spec.due_s is not None:
            start_by = job.at + spec.due_s - estimate
        # Those after it leave it so much time.
        return min(start_by, self.pipelines.claim(job.id).late - estimate)

    def takes(self, job: Job) -> float:
        """How long the job takes from when it may start, if there is room at once."""
        slowest = min((sku.fetch_gb_per_s for sku in self.skus.values()), default=1.0)
        return ESTIMATE_SPARE * self.estimate(job) + job.spec.pull_gb / slowest

    def estimate(self, job: Job) -> float:
        """How long a task of the job takes, by its owner's word and what was seen of its class."""
        return job.spec.expect_s * self.runtime.get(job.spec.jobclass, 1.0)

    def barred(self, job: Job, kept: set[MachineId]) -> set[MachineId]:
        spec = self.reserve.spec
        wait = None if spec is None else self.aims.get(spec.jobclass, (None, None))[0]
        return self.reserve.barred(job, kept, self.estimate(job), wait or DEFAULT_WAIT_S)

    def patience(self, job: Job) -> float:
        """How long an array waits for room before others are stopped for it."""
        if self.guarantee_s is not None:
            return 0.5 * self.guarantee_s
        return 0.3 * (self.deadline(job) - job.ready_at)

    def waiting(self, now: Instant) -> list[Job]:
        """Jobs with tasks to place, in the order in which they are served."""
        ready = [
            job
            for job in self.jobs.values()
            if (job.again or job.startable()) and job.hold_until <= now
        ]
        ready.sort(
            key=lambda job: (
                job.mistaken,
                self.pipelines.served_as(job),
                self.deadline(job),
            )
        )
        return ready

    def _grade(self) -> None:
        """Each job's standing: who is served first and who may be stopped for whom.

        A job is guaranteed if it fits its team's guarantee together with the team's earlier
        unfinished jobs. That only ever changes from no to yes, and only work of a strictly lower
        standing is stopped: so two jobs never take turns in stopping each other.
        """
        # The team's order is that in which its jobs became ready: one that waited for others takes
        # nothing from those that run. The rank is that of the live jobs that need it, which changes
        # only when users act.
        self.want_grades = False
        self.grades += 1
        totals: dict[TeamName, Amount] = {}
        for job in sorted(self.jobs.values(), key=lambda job: (job.ready_at, job.id)):
            rank = min(wire.RANKS[job.spec.rank], self.pipelines.claim(job.id).rank)
            if rank != job.rank:
                job.rank = rank
                for placement in job.placed.values():
                    placement.rank = rank
            total = totals.get(job.team, NOTHING).plus(job.need, job.size)
            totals[job.team] = total
            if job.rank == 0:
                job.standing = (0, 0)
            elif self.quota.fits_guarantee(job.team, total):
                job.standing = (0, job.rank)
            else:
                job.standing = (1, job.rank)

    def allowed(self, job: Job, type_: TypeName, zone: ZoneName, spot: bool) -> bool:
        spec = job.spec
        return (
            (spec.flavors is None or type_ in spec.flavors)
            and (spec.yard is None or zone == spec.yard)
            and (spec.reclaimable or not spot)
        )

    def suits(self, job: Job) -> set[Offer]:
        """The kinds of machines on which a task of the job may run, were they empty."""
        if job.suits is None or job.suits[0] != self.fleet_kinds:
            found = set()
            for offer in self.offers:
                sku = self.skus.get(offer.type)
                if sku is None or not self.allowed(job, *offer):
                    continue
                if job.need.fits(Amount(sku.cores, sku.accelerators, sku.mem_gb)):
                    found.add(offer)
            job.suits = (self.fleet_kinds, found)
        return job.suits[1]

    def types_changed(self) -> None:
        """The cloud was asked anew for its machine types."""
        self.fleet_kinds += 1

    def place(self, now: Instant) -> None:
        """One pass over the waiting jobs."""
        self.want_pass = False
        if not self.loaded:
            return
        usable = [m for m in self.machines.values() if m.usable and m.type in self.skus]
        free = {m.id: m.free(self.skus[m.type]) for m in usable}
        unsure = self._unsure_usage()
        if self.want_grades:
            self._grade()
        waiting = self.waiting(now)
        self.reserve.note((job for job in waiting if not job.mistaken), now)
        self.clearing.keep(free, now)
        kept, able = self.reserve.split(usable, free, self.grades)
        self.kept = kept
        roomy = with_room(usable, free, waiting)
        names = {m.id for m in roomy}
        # Kinds of jobs for which nothing is left in this pass: thousands of tasks may wait.
        full: set[Any] = set()
        stoppable = self.clearing.look(waiting, now)
        for job in waiting:
            need = job.need
            count = min(
                job.startable(),
                self.quota.room(job.team, need, unsure.get(job.team, NOTHING)),
            )
            if count <= 0 or (job.gang and (count < job.size or job.placed or job.unsure)):
                continue
            if job.mistaken:
                # One try at a time, in room that happens to be there; nobody gives way for it.
                if job.placed:
                    continue
                count = job.size if job.gang else 1
            mine = self.clearing.give(job, free)
            # What was cleared for the job counts as full for all others.
            open_ = [m for m in usable if m.id in mine or m.id in names] if mine else roomy
            # Replicas stay long: they take accelerated machines only if nothing else is left.
            lasting = job.service and need.accelerators <= 0
            barred = self.barred(job, able if lasting else kept) - mine
            kind = (job.kind, lasting, bool(barred))
            chosen: list[MachineId] = []
            # Replicas wait for what is being cleared for them: it is gone in a moment.
            coming = 0
            if lasting:
                coming = sum(1 for id in mine if id in free and not need.fits(free[id]))
                if stoppable is not None and self.clearing.hurries(job):
                    coming += self.clearing.near_image(
                        job, count - coming, open_, free, able, stoppable, now
                    )
            if coming < count and (mine or kind not in full):
                chosen = self.choose(job, count - coming, open_, free, barred, prefer=mine)
                if not chosen and not mine and job.plain:
                    full.add(kind)
            if len(chosen) + coming < count and stoppable is not None:
                coming += self.clearing.preempt(
                    job, count - len(chosen) - coming, stoppable, free, mine, now
                )
            for step, wider in enumerate((kept - mine, set()) if lasting else ()):
                if len(chosen) + coming < count and (mine or (kind, step) not in full):
                    chosen = self.choose(job, count - coming, open_, free, wider, prefer=mine)
                    if not chosen and not mine and job.plain:
                        full.add((kind, step))
            if job.gang and len(chosen) < job.size:
                chosen = []
            used = mine if len(chosen) == count else mine.intersection(chosen)
            self.clearing.take_back(used, mine, free)
            self._start(job, chosen, free, now)
            if need.accelerators > 0 and chosen:
                kept, able = self.reserve.split(usable, free, self.grades)
                self.kept = kept
        if stoppable is not None and self.all_settled:
            self.clearing.move_replicas(kept, able, usable, free, stoppable, now)
        if self.all_settled:
            self.thrift.move(kept, usable, now)

    def _start(
        self, job: Job, chosen: list[MachineId], free: dict[MachineId, Amount], now: Instant
    ) -> None:
        if not chosen:
            return
        self.attempts += 1
        attempt = Attempt((self.term << 20) + self.attempts)
        left = [job.take() for _ in chosen]
        pairs: list[tuple[int, MachineId]] = []
        for id in chosen:
            machine = self.machines[id]
            for index in left:
                task = TaskId(job.id, index)
                if task not in machine.held and task not in machine.lingering:
                    left.remove(index)
                    pairs.append((index, id))
                    break
        if job.gang and left:
            # One task would be refused where its last attempt is still listed: not without it.
            left += [index for index, _ in pairs]
            pairs = []
        for index in left:
            job.put_back(index)
        for index, id in pairs:
            machine = self.machines[id]
            task = TaskId(job.id, index)
            placement = Placement(task, attempt, id, machine.zone, job, now)
            placement.ready = index < job.marked
            self._hold(machine, job, placement)
            free[id] = free[id].minus(job.need)
            if placement.ready:
                self.send(placement)

    def choose(
        self,
        job: Job,
        count: int,
        usable: list[Machine],
        free: dict[MachineId, Amount],
        barred: set[MachineId],
        leaving: Placement | None = None,
        prefer: Container[MachineId] = (),
    ) -> list[MachineId]:
        """`leaving` is about to end, `prefer` is where room was made for the job: a replica that
        moves would else go back to where its image is."""
        self.searches += 1
        spec = job.spec
        need = job.need
        image = ImageName(spec.bundle)
        zones: dict[ZoneName, int] = {}
        for placement in job.placed.values():
            if placement is not leaving:
                zones[placement.zone] = zones.get(placement.zone, 0) + 1
        if job.unsure and (spec.same_place or spec.apart):
            return []  # a task of the job may be in a zone that we cannot name
        suits = self.suits(job)
        fitting = [
            (m, room)
            for m in usable
            if m.offer in suits
            and need.fits(room := free[m.id])
            and (m.id not in barred or need.fits(room := room.minus(self.reserve.need)))
        ]
        rooms = [
            Room(m.id, m.zone, room, (m.id not in prefer, *self._order(job, m, image)))
            for m, room in fitting
            if m.id not in job.errors
        ]
        if not rooms and job.errors:
            rooms = [Room(m.id, m.zone, room, (-m.booked.cores,)) for m, room in fitting]
        if not rooms:
            return []
        if spec.same_place:
            return self._choose_zone(job, count, rooms, set(zones))
        left: Callable[[ZoneName], int] | None = None
        distinct = 1
        if spec.apart:
            cap = (job.size + 1) // 2

            def left(zone: ZoneName) -> int:
                return cap - zones.get(zone, 0)

        if job.service:
            distinct = min(3, job.size) if spec.apart else 1
        return best_fit(need, count, rooms, distinct, left)

    def standing_of(self, placement: Placement) -> tuple[int, int] | None:
        job = self.jobs.get(placement.task.job)
        return None if job is None else job.standing

    def _choose_zone(
        self, job: Job, count: int, rooms: list[Room], taken: set[ZoneName]
    ) -> list[MachineId]:
        """All tasks in one zone: where the others are, else where most fit."""
        if len(taken) > 1:
            return []
        best: list[MachineId] = []
        for zone in taken or sorted({room.zone for room in rooms}):
            here = [room for room in rooms if room.zone == zone]
            chosen = best_fit(job.need, count, here, 1)
            if len(chosen) > len(best):
                best = chosen
        return best

    def _order(self, job: Job, machine: Machine, image: ImageName) -> tuple[float, ...]:
        """Before the most cores booked come the image, where a replica's start waits for it;
        spot machines, for work that may use them, as other work may not; and machines without
        accelerators."""
        fetch = 0.0 if image in machine.images else 1.0
        scarce = 0.0 if machine.spot else 1.0
        accelerators = self.skus[machine.type].accelerators
        if job.service or job.gang:
            return (fetch, accelerators, -machine.booked.cores)
        return (float(machine.id in self.kept), scarce, accelerators, fetch, -machine.booked.cores)

    # ---- what operators see ------------------------------------------------------------

    def fleet_lines(self) -> list[str]:
        """The machines by offer: how many, how many of them empty, how full; and what waits."""
        groups: dict[str, list[Machine]] = {}
        for machine in self.machines.values():
            kind = "spot" if machine.spot else "ordinary"
            groups.setdefault(f"{machine.type} {machine.zone} {kind}", []).append(machine)
        lines = []
        for name, machines in sorted(groups.items()):
            whole = sum(self.skus[m.type].cores for m in machines if m.type in self.skus)
            booked = sum(m.booked.cores for m in machines)
            empty = sum(1 for m in machines if not m.held)
            unusable = sum(1 for m in machines if not m.usable)
            lines.append(
                f"{name}: {len(machines)}, {empty} empty, {unusable} not usable,"
                f" {100 * booked / whole if whole else 0:.0f}% of the cores booked"
            )
        waits: dict[str, tuple[int, int, float]] = {}
        for job in self.jobs.values():
            tasks = job.startable()
            if tasks:
                jobs, total, first = waits.get(job.spec.jobclass, (0, 0, job.at))
                waits[job.spec.jobclass] = (jobs + 1, total + tasks, min(first, job.at))
        for name, (jobs, total, first) in sorted(waits.items()):
            lines.append(
                f"waiting {name}: {total} tasks of {jobs} jobs,"
                f" the oldest job {self.wall() - first:.0f} s old"
            )
        return lines

    # ---- what the provisioner asks -----------------------------------------------------

    def lacking(self, now: Instant) -> list[tuple[Job, int]]:
        """Jobs with tasks for which there is no room, in the order of service."""
        found = []
        for job in self.waiting(now):
            count = min(job.startable(), self.quota.room(job.team, job.need))
            if job.gang and (job.placed or count < job.size):
                continue
            if count > 0 and not job.mistaken:
                found.append((job, count))
        return found
