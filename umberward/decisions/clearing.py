"""Making room: whom to stop for whom, and the room that is kept for a job until it is free.

The search reads the scheduler's jobs and machines; the room that is being cleared is its own.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

from umberward.core.log import logger
from umberward.core.types import (
    MAX_TASKS,
    NOTHING,
    Amount,
    ImageName,
    Instant,
    JobId,
    MachineId,
    Offer,
    ZoneName,
)
from umberward.decisions import preemption
from umberward.decisions.choice import choose
from umberward.decisions.cluster import Cluster
from umberward.decisions.fleet import Machine, with_room
from umberward.decisions.jobs import Job, Placement, StopKey, may_stop
from umberward.decisions.preemption import Plan

log = logger(__name__)

PREEMPT_EVERY_S = 0.1  # the search for work to stop looks at all that runs: not in every pass
CLEAR_AT_ONCE = 16  # machines that are cleared for one job at once
PREEMPT_PAUSE_S = 1.5  # a job does not stop others again before the last ones are gone
MOVE_EVERY_S = 1.0
MOVE_AT_ONCE = 8  # replicas that are looked at each time: few are away at any moment
MOVE_AFTER_S = 35.0  # a start counts for its user if the replica then stays for 30 s
CLEARED_S = 12.0  # how long cleared room is kept


class Cleared(NamedTuple):
    """Room on a machine that is being cleared for a job."""

    job: JobId
    room: Amount
    until: Instant


class Stoppable:
    """What may be stopped for whom, for one pass.

    Most searches are over at once: nothing that runs has a lower standing. For the others the
    machines are looked through once for all jobs of equal standing, with sums that each machine
    keeps until its tasks change.
    """

    def __init__(self, cluster: Cluster, usable: list[Machine]) -> None:
        self.cluster = cluster
        self.usable = usable
        self.found: dict[StopKey, dict[MachineId, tuple[Machine, Amount]]] = {}
        self.futile: set[Any] = set()  # kinds of jobs for which nothing can be stopped
        # Jobs of one class need the same: what was found for one holds for the next, as long as
        # the machine's room is the same.
        self.plans: dict[tuple[StopKey, Amount, MachineId], tuple[Amount, Plan | None]] = {}

    def rooms(self, job: Job) -> dict[MachineId, tuple[Machine, Amount]]:
        """The machines where something may be stopped for the job, and how much room that is."""
        key = job.key
        found = self.found.get(key)
        if found is None:
            found = self.found[key] = {}
            weaker = {
                other
                for other, many in self.cluster.running.items()
                if many > 0 and may_stop(key, other)
            }
            for machine in self.usable if weaker else ():
                if not machine.held:
                    continue
                self.cluster.looks += 1
                sums = machine.stoppable()
                room = NOTHING
                for other, amount in sums.items():
                    if other in weaker:
                        room = room.plus(amount)
                if room is not NOTHING:
                    found[machine.id] = (machine, room)
        return found

    def plan(self, machine: Machine, job: Job, free: Amount, now: Instant) -> Plan | None:
        """Whom to stop there for one task of the job; None: it would not be enough."""
        key = job.key
        known = self.plans.get((key, job.need, machine.id))
        if known is not None and known[0] == free:
            found = known[1]
            if found is None or all(victim.stop is None for victim in found.victims):
                return found
        victims = [
            placement
            for placement in machine.held.values()
            if placement.stop is None and may_stop(key, placement.key)
        ]
        found = preemption.plan(job.need, free, victims, now)
        self.plans[key, job.need, machine.id] = (free, found)
        return found

    def of(self, offers: set[Offer]) -> Iterator[Machine]:
        """The machines of these kinds: of all, they may be few."""
        for offer, machines in self.cluster.ready.kinds.items():
            if offer in offers:
                yield from machines.values()


class Clearing:
    def __init__(self, cluster: Cluster, now: Instant) -> None:
        self.cluster = cluster
        self.cleared: dict[MachineId, Cleared] = {}
        self.denied: set[MachineId] = set()  # held back from the job that is looked at
        self.preempt_at = now
        self.move_at = now

    # ---- room that is kept -------------------------------------------------------------

    def keep(self, free: dict[MachineId, Amount], now: Instant) -> None:
        """Take it out of what is free: the victims would come back first."""
        for id, cleared in list(self.cleared.items()):
            if cleared.until < now or cleared.job not in self.cluster.jobs:
                del self.cleared[id]
            elif id in free:
                free[id] = free[id].minus(cleared.room)

    def give(self, job: Job, free: dict[MachineId, Amount]) -> set[MachineId]:
        """The machines cleared for the job. Their room is its own everywhere, else it would clear
        them again."""
        mine = {id for id, cleared in self.cleared.items() if cleared.job == job.id}
        for id in mine:
            if id in free:
                free[id] = free[id].plus(self.cleared[id].room)
        return mine

    def take_back(
        self, used: set[MachineId], mine: set[MachineId], free: dict[MachineId, Amount]
    ) -> None:
        """What the job did not use is kept for it once more."""
        for id in mine:
            if id in used:
                del self.cleared[id]
            elif id in free:
                free[id] = free[id].minus(self.cleared[id].room)

    # ---- the search --------------------------------------------------------------------

    def look(self, waiting: list[Job], usable: list[Machine], now: Instant) -> Stoppable | None:
        """All that runs, by whom it may be stopped; None: it is too soon to look again."""
        if now < self.preempt_at and not any(job.service and self.hurries(job) for job in waiting):
            return None
        self.preempt_at = Instant(now + PREEMPT_EVERY_S)
        return Stoppable(self.cluster, usable)

    def preempt(
        self,
        job: Job,
        count: int,
        stoppable: Stoppable,
        free: dict[MachineId, Amount],
        barred: set[MachineId],
        now: Instant,
        near_image: bool = False,
        leaving: Placement | None = None,
    ) -> int:
        """Make room for work of a higher standing; for how many tasks room is on its way."""
        if now - job.stopped_at < PREEMPT_PAUSE_S or job.mistaken:
            return 0
        if not (
            job.service or job.gang
        ) and self.cluster.wall() - job.ready_at < self.cluster.patience(job):
            return 0  # tasks end all the time: the next free room is this job's anyway
        if job.gang and job.size > 1:
            return self._clear_for_gang(job, stoppable, free, now)
        image = ImageName(job.spec.bundle)
        zones = [placement.zone for placement in job.placed.values() if placement is not leaving]
        cap = (job.size + 1) // 2 if job.spec.apart else MAX_TASKS
        kind = (job.kind, job.standing, job.rank, frozenset(self.denied))
        if job.plain and kind in stoppable.futile:
            return 0
        suits = self.cluster.suits(job)
        plans = [
            (image not in m.images, plan.cost, id, plan.victims)
            for id, (m, more) in stoppable.rooms(job).items()
            if m.offer in suits
            and (not near_image or image in m.images)
            and id not in self.cleared
            and id not in barred
            and id not in self.denied
            and (room := free.get(id)) is not None
            and job.need.fits(room.plus(more))
            and zones.count(m.zone) < cap
            and (not job.spec.same_place or all(zone == m.zone for zone in zones))
            and (plan := stoppable.plan(m, job, room, now)) is not None
        ]
        plans.sort(key=lambda plan: plan[:3])
        made = 0
        for _, _, machine, victims in plans:
            if made >= min(count, CLEAR_AT_ONCE):
                break
            # Room in one zone is of no use beyond what the job may have there.
            zone = self.cluster.machines[machine].zone
            if zones.count(zone) >= cap or any(victim.stop is not None for victim in victims):
                continue
            zones.append(zone)
            made += 1
            self._clear(job, machine, 1, victims, now)
        if not made and job.plain and not near_image:
            stoppable.futile.add(kind)
        return made

    def _clear(
        self, job: Job, machine: MachineId, tasks: int, victims: list[Placement], now: Instant
    ) -> None:
        """Stop the victims, and keep room for so many of the job's tasks."""
        room = NOTHING.plus(job.need, tasks)
        self.cleared[machine] = Cleared(job.id, room, Instant(now + CLEARED_S))
        job.stopped_at = now
        for victim in victims:
            owner = self.cluster.jobs.get(victim.task.job)
            grace = 0.0
            if owner is not None and not job.service:
                grace = owner.spec.snapshot_cost_s
            log.debug("stopping", task=victim.task, machine=machine, for_job=job.id)
            told = owner.placed.values() if owner is not None and owner.gang else [victim]
            for placement in list(told):  # a gang saves only if all of it is told in time
                self.cluster.stop(placement, grace)
        if victims:
            log.info("room_made", tasks=len(victims), machine=machine, for_job=job.id)

    def reserve_room(self, job: Job, machine: MachineId, now: Instant) -> None:
        """Keep free room for one of the job's tasks that is about to move there."""
        self._clear(job, machine, 1, [], now)

    def move_replicas(
        self,
        kept: set[MachineId],
        able: set[MachineId],
        usable: list[Machine],
        free: dict[MachineId, Amount],
        stoppable: Stoppable,
        now: Instant,
    ) -> None:
        """Replicas never leave by themselves: those that keep accelerated work out are moved.

        One is stopped only when there is room for it elsewhere, with its image, so that it is
        away for a moment only; and not when it has just started, for its user's sake.
        """
        if now < self.move_at:
            return
        self.move_at = Instant(now + MOVE_EVERY_S)
        shut = [
            m for m in usable if m.id in kept and not self.cluster.reserve.need.fits(free[m.id])
        ]
        shut.sort(key=lambda m: (m.booked.cores, m.id))
        replicas = [job for job in self.cluster.jobs.values() if job.service]
        roomy = with_room(usable, free, replicas) if shut else []
        tries = 0
        for machine in shut:
            held = list(machine.held.values())
            self.cluster.rng.shuffle(held)  # those that find no room must not hide the others
            for placement in held:
                job = self.cluster.jobs.get(placement.task.job)
                if (
                    tries >= MOVE_AT_ONCE
                    or job is None
                    or not job.service
                    or job.again
                    or placement.stop is not None
                    or placement.running_at is None
                    or now - placement.running_at < MOVE_AFTER_S
                    or now - job.stopped_at < PREEMPT_PAUSE_S
                ):
                    continue
                tries += 1
                image = ImageName(job.spec.bundle)
                others = [m for m in roomy if m.id not in able and image in m.images]
                chosen = [
                    id
                    for id in choose(self.cluster, job, 1, others, free, set(), placement)
                    if id not in self.cleared
                ]
                if chosen:
                    self._clear(job, chosen[0], 1, [], now)
                    free[chosen[0]] = free[chosen[0]].minus(job.need)
                elif not self.preempt(
                    job, 1, stoppable, free, able, now, near_image=True, leaving=placement
                ):
                    continue
                log.info("replica_moves", task=placement.task, machine=machine.id)
                self.cluster.stop(placement, 0.0)

    def _clear_for_gang(
        self, job: Job, stoppable: Stoppable, free: dict[MachineId, Amount], now: Instant
    ) -> int:
        """Room for a whole gang or none: half of a gang's room is of no use to anybody."""
        # For each machine: how soon a task could start there, the work lost, ...
        found: dict[ZoneName, list[tuple[float, float, MachineId, int, list[Placement]]]] = {}
        suits = self.cluster.suits(job)
        # Where one gang finds no room, no other of its kind does in this pass.
        denied = self.denied
        kind = (job.kind, job.standing, job.rank, job.size, job.spec.same_place, frozenset(denied))
        if kind in stoppable.futile:
            return 0
        rooms = stoppable.rooms(job)
        for machine in stoppable.of(suits):
            id = machine.id
            room = free[id]
            if id in self.cleared or id in denied:
                continue
            zone = machine.zone if job.spec.same_place else ZoneName("")
            here = found.setdefault(zone, [])
            fits = job.need.times_into(room)
            soon = self._fetch_s(job, machine)
            if fits:
                here.append((soon, 0.0, id, fits, []))
            elif id in rooms and job.need.fits(room.plus(rooms[id][1])):
                plan = stoppable.plan(machine, job, room, now)
                if plan is not None:
                    soon += self._saving_s(plan.victims)
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
            stoppable.futile.add(kind)
        left = job.size
        for _, _, id, fits, victims in best:
            self._clear(job, id, min(fits, left), victims, now)
            left -= fits
        return job.size if best else 0

    def _fetch_s(self, job: Job, machine: Machine) -> float:
        """How long the job's image takes to be there."""
        if ImageName(job.spec.bundle) in machine.images:
            return 0.0
        return job.spec.pull_gb / self.cluster.skus[machine.type].fetch_gb_per_s

    def _saving_s(self, victims: list[Placement]) -> float:
        """How long they take to leave: longer than nothing at all."""
        owners = (self.cluster.jobs.get(victim.task.job) for victim in victims)
        return max((job.spec.snapshot_cost_s for job in owners if job), default=0.0) + 0.1

    def hurries(self, job: Job) -> bool:
        """Whether its tasks would start too late if their image had to be fetched."""
        wait, _ = self.cluster.aims.get(job.spec.jobclass, (None, None))
        if wait is None:
            return False
        slowest = min((sku.fetch_gb_per_s for sku in self.cluster.skus.values()), default=1.0)
        left = wait - (self.cluster.wall() - job.ready_at)
        return 0.0 < left < job.spec.pull_gb / slowest

    def near_image(
        self,
        job: Job,
        count: int,
        roomy: list[Machine],
        free: dict[MachineId, Amount],
        able: set[MachineId],
        stoppable: Stoppable,
        now: Instant,
    ) -> int:
        """Room for replicas that is cleared where their image is, if there is too little free."""
        image = ImageName(job.spec.bundle)
        near = [m for m in roomy if image in m.images]
        lacking = count - len(choose(self.cluster, job, count, near, free, able))
        if lacking <= 0:
            return 0
        return self.preempt(job, lacking, stoppable, free, able, now, near_image=True)
