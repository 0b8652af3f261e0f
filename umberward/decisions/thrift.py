"""Replicas leave dear machines on which nothing else runs, so that these can be returned. No I/O.

In a burst replicas take whatever room there is, and they never leave by themselves: a machine that
costs a hundred times as much as theirs would be held for them. They are moved to where their room
costs less than half, one at a time and so rarely that nobody misses them; if there is no such room,
some is rented.
"""

from __future__ import annotations

from umberward.core.log import logger
from umberward.core.types import ImageName, Instant, MachineId, TypeName
from umberward.decisions.choice import choose
from umberward.decisions.clearing import Clearing
from umberward.decisions.cluster import Cluster
from umberward.decisions.fleet import Machine, with_room
from umberward.decisions.jobs import Job, Placement

log = logger(__name__)

CHEAPER = 0.5  # of the price of a core: what makes a move worth while
LOOK_EVERY_S = 1.0
TRIES = 12  # replicas that are looked at each time
AWAY_S = 0.3  # how long a replica is away that moves to where its image is
AWAY_PART = 0.0005  # of all replica time may be lost to moves: a quarter of what operators allow
MOVE_AFTER_S = 35.0  # a start counts for its user if the replica then stays for 30 s


class Thrift:
    def __init__(self, cluster: Cluster, clearing: Clearing, now: Instant) -> None:
        self.cluster = cluster
        self.clearing = clearing
        self.look_at = now
        self.move_at = now
        # Replicas for which cheaper room must be rented first, and what a core may cost there.
        self.homeless: list[tuple[Job, float]] = []

    def unit_price(self, type_: TypeName) -> float:
        """What a core costs for an hour on an ordinary machine."""
        sku = self.cluster.skus[type_]
        return sku.hourly / sku.cores if sku.cores > 0 else sku.hourly

    def move(self, kept: set[MachineId], usable: list[Machine], now: Instant) -> None:
        """Stop one replica that has a cheaper place, with room kept for it there."""
        if now < max(self.look_at, self.move_at) or not self.cluster.skus:
            return
        self.look_at = Instant(now + LOOK_EVERY_S)
        self.homeless = []
        cluster = self.cluster
        least = min(self.unit_price(type_) for type_ in cluster.skus)
        sources = [
            (cluster.skus[m.type].hourly - least * m.booked.cores, m.id, m)
            for m in usable
            if m.held
            and m.id not in kept
            and CHEAPER * self.unit_price(m.type) > least
            and all(p.rank == 0 and p.need.accelerators <= 0 for p in m.held.values())
        ]
        sources.sort(reverse=True)
        clearing = self.clearing
        if not sources:
            return
        _, free = cluster.survey()
        clearing.keep(free, now)
        replicas = (job for job in cluster.jobs.values() if job.service)
        roomy = with_room(usable, free, replicas)
        tries = 0
        far: tuple[Placement, Machine, Job, MachineId] | None = None
        for _, _, machine in sources:
            bound = CHEAPER * self.unit_price(machine.type)
            others = [
                m for m in roomy if self.unit_price(m.type) < bound and m.id not in clearing.cleared
            ]
            for placement in list(machine.held.values()):
                job = cluster.jobs.get(placement.task.job)
                if job is None or tries >= TRIES or not self._may_move(job, placement, now):
                    continue
                tries += 1
                image = ImageName(job.spec.bundle)
                near = [m for m in others if image in m.images]
                chosen = choose(cluster, job, 1, near, free, set(), placement)
                if chosen:
                    self._move(placement, machine, job, chosen[0], AWAY_S, now)
                    return
                chosen = choose(cluster, job, 1, others, free, set(), placement)
                if not chosen:
                    self.homeless.append((job, bound))
                elif far is None:
                    far = (placement, machine, job, chosen[0])
        if far is not None:
            slowest = min(sku.fetch_gb_per_s for sku in cluster.skus.values())
            placement, machine, job, target = far
            away = AWAY_S + job.spec.pull_gb / slowest
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
        log.info("replica_moves", task=placement.task, machine=machine.id, reason="dear machine")
        self.move_at = Instant(now + away / self._away_at_once())
        self.clearing.reserve_room(job, target, now)
        self.cluster.stop(placement, 0.0)

    def _may_move(self, job: Job, placement: Placement, now: Instant) -> bool:
        return (
            job.service
            and not job.again
            and not job.unsure
            and placement.stop is None
            and placement.running_at is not None
            and now - placement.running_at > MOVE_AFTER_S
        )

    def _away_at_once(self) -> float:
        """How many replicas may be away on average, for the sake of moves."""
        jobs = self.cluster.jobs.values()
        return max(0.01, AWAY_PART * sum(len(job.placed) for job in jobs if job.service))
