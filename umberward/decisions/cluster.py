"""The cluster as its holder sees it: jobs, machines, and the placements that tie them. No I/O.

What one part decides, the others see here; the parts know the cluster and never each other's
insides. Its methods are what several of them need: who may run where and by when, and the steps
that keep the books of a placement from the decision until it is surely gone.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from umberward.core.log import logger
from umberward.core.settings import Settings
from umberward.core.types import (
    NOTHING,
    Amount,
    Epoch,
    Instant,
    JobId,
    MachineId,
    Offer,
    TaskId,
    Tenure,
    TypeName,
    WallTime,
    ZoneName,
)
from umberward.decisions.fleet import Machine, Ready
from umberward.decisions.invariants import Invariants
from umberward.decisions.jobs import NO_CLAIM, Claim, Job, Placement, StopKey
from umberward.decisions.quota import Quota
from umberward.decisions.reserve import Reserve
from umberward.decisions.token_raises import TokenRaises
from umberward.protocol.wire import KILL, START, Order, Sku

log = logger(__name__)

ESTIMATE_SPARE = 1.3  # some tasks of a job take longer than its estimate
BEGIN_S = 240.0  # every job should begin within four minutes (the users' rules)
AGED_S = 0.4 * BEGIN_S  # a job that has missed its goals and waited so long is served first
LATEST_S = 0.6 * BEGIN_S  # ... and so is any that has waited so long
REFUSED_START_S = 1.0  # a job of which a start was refused by an invariant rests for so long
DEFAULT_WAIT_S = 120.0  # when a job should start for which nothing is said


class Command(NamedTuple):
    """Send orders to a worker directly."""

    machine: MachineId
    address: str
    epoch: Epoch
    tenure: Tenure
    orders: list[Order]


class Probe(NamedTuple):
    """Ask a worker for its report."""

    machine: MachineId
    address: str


class Asked(NamedTuple):
    """What operators aim at for a class: in seconds, and in multiples of a job's own deadline."""

    waits: list[float]
    finished: list[float]
    times: list[float]


NOTHING_ASKED = Asked([], [], [])


class Cluster:
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
        self.value_limit = int(cluster.state.least().value_kb * 1024)
        self.operator = settings.operator
        self.skus = skus
        self.quota = Quota(cluster.teams)
        # class -> (within how many seconds its tasks should start, its jobs be finished)
        self.aims: dict[str, tuple[float | None, float | None]] = {}
        # class -> all such times, and by which multiples of their deadlines jobs should be done
        self.asked: dict[str, Asked] = {}
        self.guarantee_s: float | None = None  # how soon guaranteed work should start
        for aim in cluster.objectives:
            if aim.kind == "guarantee" and aim.within_s:
                self.guarantee_s = aim.within_s
            if aim.job_class is not None:
                asked = self.asked.setdefault(aim.job_class, Asked([], [], []))
                if aim.kind == "deadline":
                    asked.times.append(aim.times or 1.0)
                elif aim.within_s and aim.kind in ("wait", "finished"):
                    (asked.waits if aim.kind == "wait" else asked.finished).append(aim.within_s)
            if aim.job_class is not None and aim.within_s:
                wait, finished = self.aims.get(aim.job_class, (None, None))
                if aim.kind == "wait":
                    wait = min(wait or aim.within_s, aim.within_s)
                elif aim.kind == "finished":
                    finished = min(finished or aim.within_s, aim.within_s)
                self.aims[aim.job_class] = (wait, finished)
        # Of all that was cancelled until then we know: when the latest answered reading of the jobs
        # was asked. None: this term has read nothing yet.
        self.known: Instant | None = None
        self.epoch = epoch
        self.term = epoch
        self.higher = Epoch(0)  # a token above ours that a worker has seen
        self.started = now
        self.now = now
        self.awake = now  # when we last looked at the clock
        self.heard = now  # when we last heard of any worker
        self.wall = wall
        self.rng = rng
        self.jobs: dict[JobId, Job] = {}
        # Cancelled ones with tasks that a former holder placed and nobody has found yet.
        self.cancelled: dict[JobId, Job] = {}
        # Jobs that may have tasks to place, in the order in which they came to have some.
        self.unplaced: dict[JobId, Job] = {}
        self.claims: dict[JobId, Claim] = {}  # what the jobs after a job ask of it
        self.urgent: set[JobId] = set()  # jobs with a mark or their end to write
        self.machines: dict[MachineId, Machine] = {}
        self.ready = Ready()
        self.unwatched: list[Machine] = []  # new ones
        self.hushed: set[MachineId] = set()  # those that did not answer a question of late
        self.gone: dict[MachineId, None] = {}  # deleted machines: late reports are ignored
        self.reserve = Reserve(skus, now)
        self.offers: set[Offer] = set()  # the kinds of machines there are
        self.fleet_kinds = 0  # how often these, or the machine types, have changed
        self.kept: set[MachineId] = set()  # the machines that the reserve is made of
        self.read = 0  # reports that were read in full
        self.considered = 0  # jobs that were looked at for tasks to place
        self.looks = 0  # machines that were looked at for work that may be stopped
        self.searches = 0  # searches for room among all machines
        self.loaded = False
        self.want_grades = True
        # Placements by who may stop them: for most jobs there are none, and no use in looking.
        self.running: Counter[StopKey] = Counter()
        self.all_settled = False
        self.want_pass = True
        self.token_raises = TokenRaises()
        self.invariants = Invariants()
        self.strays: Counter[TaskId] = Counter()  # those of all machines
        self.out: list[Command | Probe] = []
        self.doomed: set[MachineId] = set()  # to be deleted as soon as the cloud answers
        self.runtime: dict[str, float] = {}  # class -> seen run time by what was estimated

    def stand(self, job: Job, rank: int, standing: tuple[int, int]) -> None:
        """Who is served before the job, and who may be stopped for it, from now on."""
        if (rank, standing) == (job.rank, job.standing):
            return
        job.rank, job.standing = rank, standing
        for placement in job.placed.values():
            self.running[placement.key] -= 1
            placement.key = job.key
            self.running[placement.key] += 1
            machine = self.machines.get(placement.machine)
            if machine is not None:
                machine.standing_changed()

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
                if job.need.fits(sku.whole):
                    found.add(offer)
            job.suits = (self.fleet_kinds, found)
        return job.suits[1]

    def survey(self) -> tuple[list[Machine], dict[MachineId, Amount]]:
        """The machines that may be given tasks, and the room on each."""
        self.ready.refresh(self.machines, self.skus)
        return list(self.ready.machines.values()), dict(self.ready.free)

    def types_changed(self) -> None:
        """The cloud was asked anew for its machine types."""
        self.fleet_kinds += 1
        self.ready.changed.update(dict.fromkeys(self.machines))

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
        return min(start_by, self.claims.get(job.id, NO_CLAIM).late - estimate)

    def goals(self, job: Job) -> list[float]:
        """Until when the job has to start for each thing asked of it, the next one first."""
        spec = job.spec
        estimate = ESTIMATE_SPARE * self.estimate(job)
        waits, finished, times = self.asked.get(spec.jobclass, NOTHING_ASKED)
        found = [job.ready_at + within for within in waits]
        found += [job.ready_at + within - estimate for within in finished]
        if spec.due_s is not None:
            found += [job.at + spec.due_s * factor - estimate for factor in times or (1.0,)]
        claim = self.claims.get(job.id)
        if claim is not None:
            found = [min([claim.late - estimate, *found])]
        return sorted(found)

    def goal(self, job: Job, wall: WallTime) -> float:
        """Its place among jobs of equal standing: the latest start for the next of its goals that
        can still be reached.

        What can no longer be reached is no reason to be served before those who still can reach
        theirs. A job that has missed all of them comes behind, but not for long: then it is first.
        Replicas are served as they came: each second that one is away counts alike.
        """
        if job.service:
            return self.deadline(job)
        if self.can_reach(job, wall):
            # To begin in time is a goal of its own: a late goal is no reason to wait for ever.
            return min(job.goal_at, max(self.deadline(job), job.ready_at + LATEST_S))
        return max(self.deadline(job), job.ready_at + AGED_S)

    def can_reach(self, job: Job, wall: WallTime) -> bool:
        """Whether it can still reach one of its goals; the next one is noted."""
        if wall > job.goal_at or job.id in self.claims:
            left = (start_by for start_by in self.goals(job) if start_by >= wall)
            job.goal_at = next(left, math.inf)
        return job.goal_at < math.inf

    def prompt(self, job: Job) -> bool:
        """Whether it needs accelerators and should have them soon after it comes."""
        aim = self.aims.get(job.spec.jobclass, (None, None))[0]
        return job.need.accelerators > 0 and (aim is not None or job.spec.due_s is None)

    def takes(self, job: Job) -> float:
        """How long the job takes from when it may start, if there is room at once."""
        slowest = min((sku.fetch_gb_per_s for sku in self.skus.values()), default=1.0)
        return ESTIMATE_SPARE * self.estimate(job) + job.spec.pull_gb / slowest

    def estimate(self, job: Job) -> float:
        """How long a task of the job takes, by its owner's word and what was seen of its class."""
        return job.spec.expect_s * self.runtime.get(job.spec.jobclass, 1.0)

    def patience(self, job: Job) -> float:
        """How long an array waits for room before others are stopped for it."""
        if self.guarantee_s is not None:
            return 0.5 * self.guarantee_s
        return 0.3 * (self.deadline(job) - job.ready_at)

    def barred(self, job: Job, kept: set[MachineId]) -> set[MachineId]:
        spec = self.reserve.spec
        wait = None if spec is None else self.aims.get(spec.jobclass, (None, None))[0]
        return self.reserve.barred(job, kept, self.estimate(job), wait or DEFAULT_WAIT_S)

    def hold(self, machine: Machine, job: Job, placement: Placement) -> None:
        machine.tasks_changed()
        machine.held[placement.task] = placement
        self.running[placement.key] += 1
        self.reserve.placed(placement)
        if not placement.ready:
            job.unready += 1
            self.urgent.add(job.id)
        machine.booked = machine.booked.plus(placement.need)
        job.placed[placement.task.number] = placement
        self.quota.take(placement.team, placement.need)

    def release(self, machine: Machine, placement: Placement, requeue: bool = True) -> None:
        """The attempt is surely gone from its machine; once, however often that is said.

        Releasing one task of a gang releases those of the others that were not sent, and a caller
        that walks all tasks of a machine comes to these again."""
        if machine.held.get(placement.task) is not placement:
            return
        machine.tasks_changed()
        machine.held.pop(placement.task, None)
        self.running[placement.key] -= 1
        self.reserve.released(placement)
        machine.booked = machine.booked.minus(placement.need) if machine.held else NOTHING
        if not machine.held:
            machine.idle_since = self.now
        self.quota.give_back(placement.team, placement.need)
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
        self.unplaced[job.id] = job
        if job.gang:
            # The rest of a gang is of no use without this task.
            for other in list(job.placed.values()):
                if other.stop is None:
                    self.stop(other, 0.0)

    def lose_tasks(self, machine: Machine, why: str) -> None:
        if machine.held:
            log.info("tasks_lost", machine=machine.id, tasks=len(machine.held), reason=why)
        machine.direct_starts.session_over()
        for placement in list(machine.held.values()):
            self.release(machine, placement)
        machine.lingering.clear()
        machine.unforgotten_since = None
        self.clear_strays(machine)

    def add_stray(self, machine: Machine, task: TaskId) -> None:
        """The machine runs a task that is not held there, and that is to be stopped."""
        if task not in machine.strays:
            machine.strays.add(task)
            self.strays[task] += 1

    def clear_strays(self, machine: Machine) -> None:
        for task in machine.strays:
            self.strays[task] -= 1
            if not self.strays[task]:
                del self.strays[task]
        machine.strays.clear()

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
            self.release(machine, placement)
            return
        order = Order(KILL, str(placement.task), placement.attempt, grace)
        self.command(machine, [order])

    def command(self, machine: Machine, orders: list[Order]) -> None:
        for item in self.out:
            if isinstance(item, Command) and item.machine == machine.id:
                item.orders.extend(orders)
                return
        self.out.append(
            Command(machine.id, machine.address, self.epoch, machine.tenure, list(orders))
        )

    def send(self, placement: Placement) -> None:
        machine = self.machines[placement.machine]
        job = self.jobs.get(placement.task.job)
        if not self.invariants.may_start(job, placement, self.strays):
            if job is not None:
                job.hold_until = max(job.hold_until, self.now + REFUSED_START_S)
            self.release(machine, placement)
            return
        placement.sent = True
        machine.direct_starts.handed(placement.task, placement.attempt)
        order = Order(START, str(placement.task), placement.attempt)
        self.command(machine, [order])

    def unwanted_start(self, machine: Machine) -> bool:
        """Whether a start of what is to be stopped may still be carried out there. A higher token
        makes it void, or the session's end: without the first, the second must not be put off.

        An attempt that its worker has, exited or not, is not started by it.
        """
        for task, attempt in machine.direct_starts:
            placement = machine.held.get(task)
            if placement is None or placement.attempt != attempt:
                if task not in machine.lingering:
                    return True
            elif placement.stop is not None and not placement.seen:
                return True
        return False

    def machine(
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
            machine = self.machines[id] = Machine(
                id, address, type_, zone, spot, now, self.ready.changed
            )
            self.unwatched.append(machine)
            if machine.offer not in self.offers:
                self.offers.add(machine.offer)
                self.fleet_kinds += 1
        return machine

    def silence(self) -> float:
        return max(self.operator.silence_seconds, self.workers.report_s * 1.25 + 1.0)
