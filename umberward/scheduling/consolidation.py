"""Replicas leave dear machines on which nothing else runs, so that these can be returned. No I/O.

In a burst replicas take whatever room there is, and they never leave by themselves: a machine that
costs a hundred times as much as theirs would be held for them. They are moved to where their room
costs less than half, one at a time and so rarely that nobody misses them; if there is no such room,
some is rented.
"""

from __future__ import annotations

from umberward.core.log import logger
from umberward.core.types import ImageName, Instant, MachineId, MachineTypeName
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.jobs import Job, Placement
from umberward.scheduling.machine_selection import choose_machines
from umberward.scheduling.machines import Machine
from umberward.scheduling.preemption import Preemption
from umberward.scheduling.schedulable_machines import machines_with_room

log = logger(__name__)

MOVE_PRICE_RATIO_MAX = 0.5  # of the price of a core: what makes a move worth while
CONSOLIDATE_INTERVAL_S = 1.0
MAX_REPLICAS_EXAMINED = 12  # replicas that are looked at each time
MOVE_DOWNTIME_S = 0.3  # how long a replica is away that moves to where its image is
MOVE_DOWNTIME_SHARE_MAX = (
    0.0005  # of all replica time may be lost to moves: a quarter of what operators allow
)
MIN_REPLICA_RUN_S = 35.0  # a start counts for its user if the replica then stays for 30 s


class Consolidation:
    def __init__(self, cluster: ClusterState, clearing: Preemption, now: Instant) -> None:
        self.cluster = cluster
        self.preemption = clearing
        self.check_not_before = now
        self.move_not_before = now
        # Replicas for which cheaper room must be rented first, and what a core may cost there.
        self.replicas_without_room: list[tuple[Job, float]] = []

    def unit_price(self, type_: MachineTypeName) -> float:
        """What a core costs for an hour on an ordinary machine."""
        sku = self.cluster.machine_types[type_]
        return sku.hourly_price / sku.cores if sku.cores > 0 else sku.hourly_price

    def consolidate(self, kept: set[MachineId], usable: list[Machine], now: Instant) -> None:
        """Stop one replica that has a cheaper place, with room kept for it there."""
        if now < max(self.check_not_before, self.move_not_before) or not self.cluster.machine_types:
            return
        self.check_not_before = Instant(now + CONSOLIDATE_INTERVAL_S)
        self.replicas_without_room = []
        cluster = self.cluster
        least = min(self.unit_price(type_) for type_ in cluster.machine_types)
        sources = [
            (cluster.machine_types[m.type].hourly_price - least * m.allocated.cores, m.id, m)
            for m in usable
            if m.placements
            and m.id not in kept
            and MOVE_PRICE_RATIO_MAX * self.unit_price(m.type) > least
            and all(p.priority == 0 and p.need.accelerators <= 0 for p in m.placements.values())
        ]
        sources.sort(reverse=True)
        clearing = self.preemption
        if not sources:
            return
        _, free = cluster.schedulable_room()
        clearing.subtract_reservations(free, now)
        replicas = (job for job in cluster.jobs.values() if job.service)
        roomy = machines_with_room(usable, free, replicas)
        tries = 0
        far: tuple[Placement, Machine, Job, MachineId] | None = None
        for _, _, machine in sources:
            bound = MOVE_PRICE_RATIO_MAX * self.unit_price(machine.type)
            others = [
                m
                for m in roomy
                if self.unit_price(m.type) < bound and m.id not in clearing.reservations
            ]
            for placement in list(machine.placements.values()):
                job = cluster.jobs.get(placement.task.job)
                if (
                    job is None
                    or tries >= MAX_REPLICAS_EXAMINED
                    or not self._may_move(job, placement, now)
                ):
                    continue
                tries += 1
                image = ImageName(job.spec.image)
                near = [m for m in others if image in m.images]
                chosen = choose_machines(cluster, job, 1, near, free, set(), placement)
                if chosen:
                    self._move(placement, machine, job, chosen[0], MOVE_DOWNTIME_S, now)
                    return
                chosen = choose_machines(cluster, job, 1, others, free, set(), placement)
                if not chosen:
                    self.replicas_without_room.append((job, bound))
                elif far is None:
                    far = (placement, machine, job, chosen[0])
        if far is not None:
            slowest = min(sku.image_pull_gb_per_s for sku in cluster.machine_types.values())
            placement, machine, job, target = far
            away = MOVE_DOWNTIME_S + job.spec.image_gb / slowest
            self._move(placement, machine, job, target, away, now)

    def _move(
        self,
        placement: Placement,
        machine: Machine,
        job: Job,
        target: MachineId,
        away: float,
        now: Instant,
    ) -> None:
        log.info("replica_moved", task=placement.task, machine=machine.id, reason="dear machine")
        self.move_not_before = Instant(now + away / self._replicas_away_max())
        self.preemption.reserve(job, target, now)
        self.cluster.stop(placement, 0.0)

    def _may_move(self, job: Job, placement: Placement, now: Instant) -> bool:
        return (
            job.service
            and not job.requeued_tasks
            and not job.unlocated_tasks
            and placement.stop_grace is None
            and placement.running_since is not None
            and now - placement.running_since > MIN_REPLICA_RUN_S
        )

    def _replicas_away_max(self) -> float:
        """How many replicas may be away on average, for the sake of moves."""
        jobs = self.cluster.jobs.values()
        return max(
            0.01, MOVE_DOWNTIME_SHARE_MAX * sum(len(job.placements) for job in jobs if job.service)
        )
