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
    NO_RESOURCES,
    FencingToken,
    Incarnation,
    Instant,
    JobId,
    MachineId,
    MachineOffer,
    MachineTypeName,
    Resources,
    TaskId,
    WallTime,
    ZoneName,
)
from umberward.protocol.wire import KILL, START, MachineType, TaskCommand
from umberward.scheduling.headroom import Headroom
from umberward.scheduling.invariants import Invariants
from umberward.scheduling.jobs import NO_DEMAND, DependentDemand, Job, Placement, PreemptionKey
from umberward.scheduling.machines import Machine, SchedulableMachines
from umberward.scheduling.quota import Quota
from umberward.scheduling.token_rotation import TokenRotation

log = logger(__name__)

ESTIMATE_MARGIN = 1.3  # some tasks of a job take longer than its estimate
START_WITHIN_S = 240.0  # every job should begin within four minutes (the users' rules)
MISSED_GOALS_PRIORITY_S = (
    0.4 * START_WITHIN_S
)  # a job that has missed its goals and waited so long is served first
WAITING_PRIORITY_S = 0.6 * START_WITHIN_S  # ... and so is any that has waited so long
REFUSED_START_PAUSE_S = 1.0  # a job of which a start was refused by an invariant rests for so long
DEFAULT_WAIT_S = 120.0  # when a job should start for which nothing is said


class DirectCommand(NamedTuple):
    """Send orders to a worker directly."""

    machine: MachineId
    address: str
    fencing_token: FencingToken
    incarnation: Incarnation
    commands: list[TaskCommand]


class Probe(NamedTuple):
    """Ask a worker for its report."""

    machine: MachineId
    address: str


class ClassObjectives(NamedTuple):
    """What operators aim at for a class: in seconds, and in multiples of a job's own deadline."""

    start_within_s: list[float]
    finish_within_s: list[float]
    deadline_factors: list[float]


NO_OBJECTIVES = ClassObjectives([], [], [])


class ClusterState:
    def __init__(
        self,
        settings: Settings,
        skus: dict[MachineTypeName, MachineType],
        epoch: FencingToken,
        now: Instant,
        wall: Callable[[], WallTime],
        rng: random.Random,
    ) -> None:
        cluster = settings.platform.cluster
        self.worker_times = cluster.workers
        self.value_limit = int(cluster.state.strictest().value_kb * 1024)
        self.operator = settings.operator
        self.machine_types = skus
        self.quota = Quota(cluster.teams)
        # class -> (within how many seconds its tasks should start, its jobs be finished)
        self.class_aims: dict[str, tuple[float | None, float | None]] = {}
        # class -> all such times, and by which multiples of their deadlines jobs should be done
        self.class_objectives: dict[str, ClassObjectives] = {}
        self.guaranteed_start_s: float | None = None  # how soon guaranteed work should start
        for aim in cluster.objectives:
            if aim.kind == "guarantee" and aim.within_s:
                self.guaranteed_start_s = aim.within_s
            if aim.job_class is not None:
                asked = self.class_objectives.setdefault(aim.job_class, ClassObjectives([], [], []))
                if aim.kind == "deadline":
                    asked.deadline_factors.append(aim.times or 1.0)
                elif aim.within_s and aim.kind in ("wait", "finished"):
                    (asked.start_within_s if aim.kind == "wait" else asked.finish_within_s).append(
                        aim.within_s
                    )
            if aim.job_class is not None and aim.within_s:
                wait, finished = self.class_aims.get(aim.job_class, (None, None))
                if aim.kind == "wait":
                    wait = min(wait or aim.within_s, aim.within_s)
                elif aim.kind == "finished":
                    finished = min(finished or aim.within_s, aim.within_s)
                self.class_aims[aim.job_class] = (wait, finished)
        # Of all that was cancelled until then we know: when the latest answered reading of the jobs
        # was asked. None: this term has read nothing yet.
        self.jobs_read_at: Instant | None = None
        self.fencing_token = epoch
        self.term_token = epoch
        self.higher_token_seen = FencingToken(0)  # a token above ours that a worker has seen
        self.started = now
        self.now = now
        self.last_wake = now  # when we last looked at the clock
        self.last_heartbeat_at = now  # when we last heard of any worker
        self.wall = wall
        self.rng = rng
        self.jobs: dict[JobId, Job] = {}
        # Cancelled ones with tasks that a former holder placed and nobody has found yet.
        self.cancelled_jobs: dict[JobId, Job] = {}
        # Which jobs were cancelled lately could not be read: any machine may run tasks of theirs.
        self.cancellations_unread = False
        # Jobs that may have tasks to place, in the order in which they came to have some.
        self.unplaced: dict[JobId, Job] = {}
        self.demands: dict[JobId, DependentDemand] = {}  # what the jobs after a job ask of it
        self.jobs_to_write: set[JobId] = set()  # jobs with a mark or their end to write
        self.machines: dict[MachineId, Machine] = {}
        self.schedulable = SchedulableMachines()
        self.unscheduled_checks: list[Machine] = []  # new ones
        self.unanswered_probes: set[MachineId] = (
            set()
        )  # those that did not answer a question of late
        self.deleted_machines: dict[
            MachineId, None
        ] = {}  # deleted machines: late reports are ignored
        self.headroom = Headroom(skus, now)
        self.offers: set[MachineOffer] = set()  # the kinds of machines there are
        self.offers_version = 0  # how often these, or the machine types, have changed
        self.headroom_machines: set[MachineId] = set()  # the machines that the reserve is made of
        self.heartbeats_decoded = 0  # reports that were read in full
        self.jobs_examined = 0  # jobs that were looked at for tasks to place
        self.machines_examined = 0  # machines that were looked at for work that may be stopped
        self.searches = 0  # searches for room among all machines
        self.loaded = False
        self.standings_outdated = True
        # Placements by who may stop them: for most jobs there are none, and no use in looking.
        self.running_by_key: Counter[PreemptionKey] = Counter()
        self.all_settled = False
        self.pass_wanted = True
        self.token_rotation = TokenRotation()
        self.invariants = Invariants()
        self.unplaced_tasks: Counter[TaskId] = Counter()  # those of all machines
        self.outbox: list[DirectCommand | Probe] = []
        self.machines_to_delete: set[MachineId] = (
            set()
        )  # to be deleted as soon as the cloud answers
        self.runtime_ratios: dict[str, float] = {}  # class -> seen run time by what was estimated

    def set_standing(self, job: Job, rank: int, standing: tuple[int, int]) -> None:
        """Who is served before the job, and who may be stopped for it, from now on."""
        if (rank, standing) == (job.priority, job.standing):
            return
        job.priority, job.standing = rank, standing
        for placement in job.placements.values():
            self.running_by_key[placement.preemption_key] -= 1
            placement.preemption_key = job.preemption_key
            self.running_by_key[placement.preemption_key] += 1
            machine = self.machines.get(placement.machine)
            if machine is not None:
                machine.standing_changed()

    def allowed(self, job: Job, type_: MachineTypeName, zone: ZoneName, spot: bool) -> bool:
        spec = job.spec
        return (
            (spec.machine_types is None or type_ in spec.machine_types)
            and (spec.zone is None or zone == spec.zone)
            and (spec.spot or not spot)
        )

    def suitable_offers(self, job: Job) -> set[MachineOffer]:
        """The kinds of machines on which a task of the job may run, were they empty."""
        if job.suitable_offers is None or job.suitable_offers[0] != self.offers_version:
            found = set()
            for offer in self.offers:
                sku = self.machine_types.get(offer.type)
                if sku is None or not self.allowed(job, *offer):
                    continue
                if job.need.fits(sku.capacity):
                    found.add(offer)
            job.suitable_offers = (self.offers_version, found)
        return job.suitable_offers[1]

    def schedulable_room(self) -> tuple[list[Machine], dict[MachineId, Resources]]:
        """The machines that may be given tasks, and the room on each."""
        self.schedulable.refresh(self.machines, self.machine_types)
        return list(self.schedulable.machines.values()), dict(self.schedulable.free)

    def machine_types_changed(self) -> None:
        """The cloud was asked anew for its machine types."""
        self.offers_version += 1
        self.schedulable.changed.update(dict.fromkeys(self.machines))

    def start_by(self, job: Job) -> float:
        """The time by which the job should start; the sooner, the earlier it is served.

        It follows from the job's own deadline and from what the operators aim at for its class.
        """
        spec = job.spec
        estimate = ESTIMATE_MARGIN * self.estimate(job)
        start_by = job.ready_at + DEFAULT_WAIT_S
        wait, finished = self.class_aims.get(spec.job_class, (None, None))
        if wait is not None:
            start_by = job.ready_at + wait
        if finished is not None:
            start_by = min(start_by, job.ready_at + finished - estimate)
        if spec.deadline_s is not None:
            start_by = job.submitted_at + spec.deadline_s - estimate
        # Those after it leave it so much time.
        return min(start_by, self.demands.get(job.id, NO_DEMAND).finish_by - estimate)

    def start_goals(self, job: Job) -> list[float]:
        """Until when the job has to start for each thing asked of it, the next one first."""
        spec = job.spec
        estimate = ESTIMATE_MARGIN * self.estimate(job)
        waits, finished, times = self.class_objectives.get(spec.job_class, NO_OBJECTIVES)
        found = [job.ready_at + within for within in waits]
        found += [job.ready_at + within - estimate for within in finished]
        if spec.deadline_s is not None:
            found += [
                job.submitted_at + spec.deadline_s * factor - estimate for factor in times or (1.0,)
            ]
        claim = self.demands.get(job.id)
        if claim is not None:
            found = [min([claim.finish_by - estimate, *found])]
        return sorted(found)

    def service_order(self, job: Job, wall: WallTime) -> float:
        """Its place among jobs of equal standing: the latest start for the next of its goals that
        can still be reached.

        What can no longer be reached is no reason to be served before those who still can reach
        theirs. A job that has missed all of them comes behind, but not for long: then it is first.
        Replicas are served as they came: each second that one is away counts alike.
        """
        if job.service:
            return self.start_by(job)
        if self.can_reach(job, wall):
            # To begin in time is a goal of its own: a late goal is no reason to wait for ever.
            return min(job.next_goal_at, max(self.start_by(job), job.ready_at + WAITING_PRIORITY_S))
        return max(self.start_by(job), job.ready_at + MISSED_GOALS_PRIORITY_S)

    def can_reach(self, job: Job, wall: WallTime) -> bool:
        """Whether it can still reach one of its goals; the next one is noted."""
        if wall > job.next_goal_at or job.id in self.demands:
            left = (start_by for start_by in self.start_goals(job) if start_by >= wall)
            job.next_goal_at = next(left, math.inf)
        return job.next_goal_at < math.inf

    def is_prompt(self, job: Job) -> bool:
        """Whether it needs accelerators and should have them soon after it comes."""
        aim = self.class_aims.get(job.spec.job_class, (None, None))[0]
        return job.need.accelerators > 0 and (aim is not None or job.spec.deadline_s is None)

    def expected_duration(self, job: Job) -> float:
        """How long the job takes from when it may start, if there is room at once."""
        slowest = min((sku.image_pull_gb_per_s for sku in self.machine_types.values()), default=1.0)
        return ESTIMATE_MARGIN * self.estimate(job) + job.spec.image_gb / slowest

    def estimate(self, job: Job) -> float:
        """How long a task of the job takes, by its owner's word and what was seen of its class."""
        return job.spec.expected_runtime_s * self.runtime_ratios.get(job.spec.job_class, 1.0)

    def preemption_delay(self, job: Job) -> float:
        """How long an array waits for room before others are stopped for it."""
        if self.guaranteed_start_s is not None:
            return 0.5 * self.guaranteed_start_s
        return 0.3 * (self.start_by(job) - job.ready_at)

    def barred_machines(self, job: Job, kept: set[MachineId]) -> set[MachineId]:
        spec = self.headroom.spec
        wait = None if spec is None else self.class_aims.get(spec.job_class, (None, None))[0]
        return self.headroom.barred_machines(job, kept, self.estimate(job), wait or DEFAULT_WAIT_S)

    def add_placement(self, machine: Machine, job: Job, placement: Placement) -> None:
        machine.placements_changed()
        machine.placements[placement.task] = placement
        self.running_by_key[placement.preemption_key] += 1
        self.headroom.placement_added(placement)
        if not placement.intent_stored:
            job.unstored_intents += 1
            self.jobs_to_write.add(job.id)
        machine.allocated = machine.allocated.plus(placement.need)
        job.placements[placement.task.number] = placement
        self.quota.reserve(placement.team, placement.need)

    def release(self, machine: Machine, placement: Placement, requeue: bool = True) -> None:
        """The attempt is surely gone from its machine; once, however often that is said.

        Releasing one task of a gang releases those of the others that were not sent, and a caller
        that walks all tasks of a machine comes to these again."""
        if machine.placements.get(placement.task) is not placement:
            return
        machine.placements_changed()
        machine.placements.pop(placement.task, None)
        self.running_by_key[placement.preemption_key] -= 1
        self.headroom.placement_released(placement)
        machine.allocated = (
            machine.allocated.minus(placement.need) if machine.placements else NO_RESOURCES
        )
        if not machine.placements:
            machine.idle_since = self.now
        self.quota.release(placement.team, placement.need)
        self.pass_wanted = True
        job = self.jobs.get(placement.task.job)
        if job is None or job.ended:
            return
        if job.placements.get(placement.task.number) is placement:
            del job.placements[placement.task.number]
            if not placement.intent_stored:
                job.unstored_intents -= 1
        if not requeue:
            return
        job.put_back(placement.task.number)
        self.unplaced[job.id] = job
        if job.gang:
            # The rest of a gang is of no use without this task.
            for other in list(job.placements.values()):
                if other.stop_grace is None:
                    self.stop(other, 0.0)

    def release_all(self, machine: Machine, why: str) -> None:
        if machine.placements:
            log.info("tasks_lost", machine=machine.id, tasks=len(machine.placements), reason=why)
        machine.inflight_starts.incarnation_ended()
        for placement in list(machine.placements.values()):
            self.release(machine, placement)
        machine.exited_tasks.clear()
        machine.unforgotten_since = None
        self.clear_unplaced_tasks(machine)

    def add_unplaced_task(self, machine: Machine, task: TaskId) -> None:
        """The machine runs a task that is not held there, and that is to be stopped."""
        if task not in machine.unplaced_tasks:
            machine.unplaced_tasks.add(task)
            self.unplaced_tasks[task] += 1

    def clear_unplaced_tasks(self, machine: Machine) -> None:
        for task in machine.unplaced_tasks:
            self.unplaced_tasks[task] -= 1
            if not self.unplaced_tasks[task]:
                del self.unplaced_tasks[task]
        machine.unplaced_tasks.clear()

    def stop(self, placement: Placement, grace: float) -> None:
        if placement.stop_grace is not None and placement.stop_grace <= grace:
            return
        placement.stop_grace = grace
        machine = self.machines.get(placement.machine)
        if machine is None:
            return
        placement.stopped_at = self.now
        machine.placements_changed()
        if not placement.sent:
            self.release(machine, placement)
            return
        order = TaskCommand(KILL, str(placement.task), placement.attempt, grace)
        self.command(machine, [order])

    def command(self, machine: Machine, orders: list[TaskCommand]) -> None:
        for item in self.outbox:
            if isinstance(item, DirectCommand) and item.machine == machine.id:
                item.commands.extend(orders)
                return
        self.outbox.append(
            DirectCommand(
                machine.id, machine.address, self.fencing_token, machine.incarnation, list(orders)
            )
        )

    def send_start(self, placement: Placement) -> None:
        machine = self.machines[placement.machine]
        job = self.jobs.get(placement.task.job)
        if not self.invariants.may_start(job, placement, self.unplaced_tasks):
            if job is not None:
                job.held_until = max(job.held_until, self.now + REFUSED_START_PAUSE_S)
            self.release(machine, placement)
            return
        placement.sent = True
        machine.inflight_starts.sent(placement.task, placement.attempt)
        order = TaskCommand(START, str(placement.task), placement.attempt)
        self.command(machine, [order])

    def has_unwanted_start(self, machine: Machine) -> bool:
        """Whether a start of what is to be stopped may still be carried out there. A higher token
        makes it void, or the session's end: without the first, the second must not be put off.

        An attempt that its worker has, exited or not, is not started by it.
        """
        for task, attempt in machine.inflight_starts:
            placement = machine.placements.get(task)
            if placement is None or placement.attempt != attempt:
                if task not in machine.exited_tasks:
                    return True
            elif placement.stop_grace is not None and not placement.seen_on_worker:
                return True
        return False

    def machine(
        self,
        id: MachineId,
        address: str,
        type_: MachineTypeName,
        zone: ZoneName,
        spot: bool,
        now: Instant,
    ) -> Machine:
        machine = self.machines.get(id)
        if machine is None:
            machine = self.machines[id] = Machine(
                id, address, type_, zone, spot, now, self.schedulable.changed
            )
            self.unscheduled_checks.append(machine)
            if machine.offer not in self.offers:
                self.offers.add(machine.offer)
                self.offers_version += 1
        return machine

    def heartbeat_timeout(self) -> float:
        return max(self.operator.silence_seconds, self.worker_times.report_s * 1.25 + 1.0)
