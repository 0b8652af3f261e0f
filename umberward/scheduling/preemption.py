"""Making room: whom to stop for whom, and the room that is kept for a job until it is free.

The search reads the scheduler's jobs and machines; the room that is being cleared is its own.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

from umberward.core.log import logger
from umberward.core.types import (
    MAX_TASKS,
    NO_RESOURCES,
    ImageName,
    Instant,
    JobId,
    MachineId,
    MachineOffer,
    Resources,
    ZoneName,
)
from umberward.scheduling import victim_selection
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.jobs import Job, Placement, PreemptionKey, may_preempt
from umberward.scheduling.machine_selection import choose_machines
from umberward.scheduling.machines import Machine
from umberward.scheduling.schedulable_machines import machines_with_room
from umberward.scheduling.victim_selection import VictimPlan

log = logger(__name__)

PREEMPT_INTERVAL_S = 0.1  # the search for work to stop looks at all that runs: not in every pass
MAX_PREEMPTIONS_PER_PASS = 16  # machines that are cleared for one job at once
PREEMPT_PAUSE_S = 1.5  # a job does not stop others again before the last ones are gone
MOVE_INTERVAL_S = 1.0
MAX_MOVES_PER_PASS = 8  # replicas that are looked at each time: few are away at any moment
MIN_REPLICA_RUN_S = 35.0  # a start counts for its user if the replica then stays for 30 s
RESERVATION_S = 12.0  # how long cleared room is kept


class Reservation(NamedTuple):
    """Room on a machine that is being cleared for a job."""

    job: JobId
    room: Resources
    until: Instant


class PreemptableWork:
    """What may be stopped for whom, for one pass.

    Most searches are over at once: nothing that runs has a lower standing. For the others the
    machines are looked through once for all jobs of equal standing, with sums that each machine
    keeps until its tasks change.
    """

    def __init__(self, cluster: ClusterState, usable: list[Machine]) -> None:
        self.cluster = cluster
        self.usable = usable
        self.rooms_by_key: dict[PreemptionKey, dict[MachineId, tuple[Machine, Resources]]] = {}
        self.exhausted: set[Any] = set()  # kinds of jobs for which nothing can be stopped
        # Jobs of one class need the same: what was found for one holds for the next, as long as
        # the machine's room is the same.
        self.plans: dict[
            tuple[PreemptionKey, Resources, MachineId], tuple[Resources, VictimPlan | None]
        ] = {}

    def preemptable_room(self, job: Job) -> dict[MachineId, tuple[Machine, Resources]]:
        """The machines where something may be stopped for the job, and how much room that is."""
        key = job.preemption_key
        found = self.rooms_by_key.get(key)
        if found is None:
            found = self.rooms_by_key[key] = {}
            weaker = {
                other
                for other, many in self.cluster.running_by_key.items()
                if many > 0 and may_preempt(key, other)
            }
            for machine in self.usable if weaker else ():
                if not machine.placements:
                    continue
                self.cluster.machines_examined += 1
                sums = machine.preemptable_by_key()
                room = NO_RESOURCES
                for other, amount in sums.items():
                    if other in weaker:
                        room = room.plus(amount)
                if room is not NO_RESOURCES:
                    found[machine.id] = (machine, room)
        return found

    def plan(self, machine: Machine, job: Job, free: Resources, now: Instant) -> VictimPlan | None:
        """Whom to stop there for one task of the job; None: it would not be enough."""
        key = job.preemption_key
        known = self.plans.get((key, job.need, machine.id))
        if known is not None and known[0] == free:
            found = known[1]
            if found is None or all(victim.stop_grace is None for victim in found.victims):
                return found
        victims = [
            placement
            for placement in machine.placements.values()
            if placement.stop_grace is None and may_preempt(key, placement.preemption_key)
        ]
        found = victim_selection.select_victims(job.need, free, victims, now)
        self.plans[key, job.need, machine.id] = (free, found)
        return found

    def machines_of(self, offers: set[MachineOffer]) -> Iterator[Machine]:
        """The machines of these kinds: of all, they may be few."""
        for offer, machines in self.cluster.schedulable.by_offer.items():
            if offer in offers:
                yield from machines.values()


class Preemption:
    def __init__(self, cluster: ClusterState, now: Instant) -> None:
        self.cluster = cluster
        self.reservations: dict[MachineId, Reservation] = {}
        self.denied_machines: set[MachineId] = set()  # held back from the job that is looked at
        self.preempt_not_before = now
        self.move_not_before = now

    # ---- room that is kept -------------------------------------------------------------

    def subtract_reservations(self, free: dict[MachineId, Resources], now: Instant) -> None:
        """Take it out of what is free: the victims would come back first."""
        for id, cleared in list(self.reservations.items()):
            if cleared.until < now or cleared.job not in self.cluster.jobs:
                del self.reservations[id]
            elif id in free:
                free[id] = free[id].minus(cleared.room)

    def grant_reserved(self, job: Job, free: dict[MachineId, Resources]) -> set[MachineId]:
        """The machines cleared for the job. Their room is its own everywhere, else it would clear
        them again."""
        mine = {id for id, cleared in self.reservations.items() if cleared.job == job.id}
        for id in mine:
            if id in free:
                free[id] = free[id].plus(self.reservations[id].room)
        return mine

    def return_unused(
        self, used: set[MachineId], mine: set[MachineId], free: dict[MachineId, Resources]
    ) -> None:
        """What the job did not use is kept for it once more."""
        for id in mine:
            if id in used:
                del self.reservations[id]
            elif id in free:
                free[id] = free[id].minus(self.reservations[id].room)

    # ---- the search --------------------------------------------------------------------

    def find_preemptable(
        self, waiting: list[Job], usable: list[Machine], now: Instant
    ) -> PreemptableWork | None:
        """All that runs, by whom it may be stopped; None: it is too soon to look again."""
        if now < self.preempt_not_before and not any(
            job.service and self.needs_cached_image(job) for job in waiting
        ):
            return None
        self.preempt_not_before = Instant(now + PREEMPT_INTERVAL_S)
        return PreemptableWork(self.cluster, usable)

    def preempt(
        self,
        job: Job,
        count: int,
        stoppable: PreemptableWork,
        free: dict[MachineId, Resources],
        barred: set[MachineId],
        now: Instant,
        near_image: bool = False,
        leaving: Placement | None = None,
    ) -> int:
        """Make room for work of a higher standing; for how many tasks room is on its way."""
        if now - job.preempted_at < PREEMPT_PAUSE_S or job.faulty:
            return 0
        if not (
            job.service or job.gang
        ) and self.cluster.wall() - job.ready_at < self.cluster.preemption_delay(job):
            return 0  # tasks end all the time: the next free room is this job's anyway
        if job.gang and job.size > 1:
            return self._preempt_for_gang(job, stoppable, free, now)
        image = ImageName(job.spec.image)
        zones = [
            placement.zone for placement in job.placements.values() if placement is not leaving
        ]
        cap = (job.size + 1) // 2 if job.spec.spread else MAX_TASKS
        kind = (job.placement_class, job.standing, job.priority, frozenset(self.denied_machines))
        if job.interchangeable and kind in stoppable.exhausted:
            return 0
        suits = self.cluster.suitable_offers(job)
        plans = [
            (image not in m.images, plan.cost, id, plan.victims)
            for id, (m, more) in stoppable.preemptable_room(job).items()
            if m.offer in suits
            and (not near_image or image in m.images)
            and id not in self.reservations
            and id not in barred
            and id not in self.denied_machines
            and (room := free.get(id)) is not None
            and job.need.fits(room.plus(more))
            and zones.count(m.zone) < cap
            and (not job.spec.same_zone or all(zone == m.zone for zone in zones))
            and (plan := stoppable.plan(m, job, room, now)) is not None
        ]
        plans.sort(key=lambda plan: plan[:3])
        made = 0
        for _, _, machine, victims in plans:
            if made >= min(count, MAX_PREEMPTIONS_PER_PASS):
                break
            # Room in one zone is of no use beyond what the job may have there.
            zone = self.cluster.machines[machine].zone
            if zones.count(zone) >= cap or any(victim.stop_grace is not None for victim in victims):
                continue
            zones.append(zone)
            made += 1
            self._preempt_and_reserve(job, machine, 1, victims, now)
        if not made and job.interchangeable and not near_image:
            stoppable.exhausted.add(kind)
        return made

    def _preempt_and_reserve(
        self, job: Job, machine: MachineId, tasks: int, victims: list[Placement], now: Instant
    ) -> None:
        """Stop the victims, and keep room for so many of the job's tasks."""
        room = NO_RESOURCES.plus(job.need, tasks)
        self.reservations[machine] = Reservation(job.id, room, Instant(now + RESERVATION_S))
        job.preempted_at = now
        for victim in victims:
            owner = self.cluster.jobs.get(victim.task.job)
            grace = 0.0
            if owner is not None and not job.service:
                grace = owner.spec.checkpoint_cost_s
            log.debug("stopping", task=victim.task, machine=machine, for_job=job.id)
            told = owner.placements.values() if owner is not None and owner.gang else [victim]
            for placement in list(told):  # a gang saves only if all of it is told in time
                self.cluster.stop(placement, grace)
        if victims:
            log.info("tasks_preempted", tasks=len(victims), machine=machine, for_job=job.id)

    def reserve(self, job: Job, machine: MachineId, now: Instant) -> None:
        """Keep free room for one of the job's tasks that is about to move there."""
        self._preempt_and_reserve(job, machine, 1, [], now)

    def move_replicas(
        self,
        kept: set[MachineId],
        able: set[MachineId],
        usable: list[Machine],
        free: dict[MachineId, Resources],
        stoppable: PreemptableWork,
        now: Instant,
    ) -> None:
        """Replicas never leave by themselves: those that keep accelerated work out are moved.

        One is stopped only when there is room for it elsewhere, with its image, so that it is
        away for a moment only; and not when it has just started, for its user's sake.
        """
        if now < self.move_not_before:
            return
        self.move_not_before = Instant(now + MOVE_INTERVAL_S)
        shut = [
            m for m in usable if m.id in kept and not self.cluster.headroom.need.fits(free[m.id])
        ]
        shut.sort(key=lambda m: (m.allocated.cores, m.id))
        replicas = [job for job in self.cluster.jobs.values() if job.service]
        roomy = machines_with_room(usable, free, replicas) if shut else []
        tries = 0
        for machine in shut:
            held = list(machine.placements.values())
            self.cluster.rng.shuffle(held)  # those that find no room must not hide the others
            for placement in held:
                job = self.cluster.jobs.get(placement.task.job)
                if (
                    tries >= MAX_MOVES_PER_PASS
                    or job is None
                    or not job.service
                    or job.requeued_tasks
                    or placement.stop_grace is not None
                    or placement.running_since is None
                    or now - placement.running_since < MIN_REPLICA_RUN_S
                    or now - job.preempted_at < PREEMPT_PAUSE_S
                ):
                    continue
                tries += 1
                image = ImageName(job.spec.image)
                others = [m for m in roomy if m.id not in able and image in m.images]
                chosen = [
                    id
                    for id in choose_machines(self.cluster, job, 1, others, free, set(), placement)
                    if id not in self.reservations
                ]
                if chosen:
                    self._preempt_and_reserve(job, chosen[0], 1, [], now)
                    free[chosen[0]] = free[chosen[0]].minus(job.need)
                elif not self.preempt(
                    job, 1, stoppable, free, able, now, near_image=True, leaving=placement
                ):
                    continue
                log.info("replica_moved", task=placement.task, machine=machine.id)
                self.cluster.stop(placement, 0.0)

    def _preempt_for_gang(
        self, job: Job, stoppable: PreemptableWork, free: dict[MachineId, Resources], now: Instant
    ) -> int:
        """Room for a whole gang or none: half of a gang's room is of no use to anybody."""
        # For each machine: how soon a task could start there, the work lost, ...
        found: dict[ZoneName, list[tuple[float, float, MachineId, int, list[Placement]]]] = {}
        suits = self.cluster.suitable_offers(job)
        # Where one gang finds no room, no other of its kind does in this pass.
        denied = self.denied_machines
        kind = (
            job.placement_class,
            job.standing,
            job.priority,
            job.size,
            job.spec.same_zone,
            frozenset(denied),
        )
        if kind in stoppable.exhausted:
            return 0
        rooms = stoppable.preemptable_room(job)
        for machine in stoppable.machines_of(suits):
            id = machine.id
            room = free[id]
            if id in self.reservations or id in denied:
                continue
            zone = machine.zone if job.spec.same_zone else ZoneName("")
            here = found.setdefault(zone, [])
            fits = job.need.count_within(room)
            soon = self._image_pull_s(job, machine)
            if fits:
                here.append((soon, 0.0, id, fits, []))
            elif id in rooms and job.need.fits(room.plus(rooms[id][1])):
                plan = stoppable.plan(machine, job, room, now)
                if plan is not None:
                    soon += self._checkpoint_s(plan.victims)
                    here.append((soon, plan.cost[1], id, 1, plan.victims))
        best: list[tuple[float, float, MachineId, int, list[Placement]]] = []
        least = 0.0
        for here in found.values():
            here.sort(key=lambda entry: entry[:3])
            picked: list[tuple[float, float, MachineId, int, list[Placement]]] = []
            left = job.size
            while left > 0 and len(picked) < len(here):
                picked.append(here[len(picked)])
                left -= picked[-1][3]
            loss = sum(entry[1] for entry in picked)
            if left <= 0 and (not best or loss < least):
                best, least = picked, loss
        if not best:
            stoppable.exhausted.add(kind)
        left = job.size
        for _, _, id, fits, victims in best:
            self._preempt_and_reserve(job, id, min(fits, left), victims, now)
            left -= fits
        return job.size if best else 0

    def _image_pull_s(self, job: Job, machine: Machine) -> float:
        """How long the job's image takes to be there."""
        if ImageName(job.spec.image) in machine.images:
            return 0.0
        return job.spec.image_gb / self.cluster.machine_types[machine.type].image_pull_gb_per_s

    def _checkpoint_s(self, victims: list[Placement]) -> float:
        """How long they take to leave: longer than nothing at all."""
        owners = (self.cluster.jobs.get(victim.task.job) for victim in victims)
        return max((job.spec.checkpoint_cost_s for job in owners if job), default=0.0) + 0.1

    def needs_cached_image(self, job: Job) -> bool:
        """Whether its tasks would start too late if their image had to be fetched."""
        wait, _ = self.cluster.class_aims.get(job.spec.job_class, (None, None))
        if wait is None:
            return False
        slowest = min(
            (sku.image_pull_gb_per_s for sku in self.cluster.machine_types.values()), default=1.0
        )
        left = wait - (self.cluster.wall() - job.ready_at)
        return 0.0 < left < job.spec.image_gb / slowest

    def preempt_near_image(
        self,
        job: Job,
        count: int,
        roomy: list[Machine],
        free: dict[MachineId, Resources],
        able: set[MachineId],
        stoppable: PreemptableWork,
        now: Instant,
    ) -> int:
        """Room for replicas that is cleared where their image is, if there is too little free."""
        image = ImageName(job.spec.image)
        near = [m for m in roomy if image in m.images]
        lacking = count - len(choose_machines(self.cluster, job, count, near, free, able))
        if lacking <= 0:
            return 0
        return self.preempt(job, lacking, stoppable, free, able, now, near_image=True)
