"""Replicas leave dear machines on which nothing else runs, so that these can be returned. No I/O.

In a burst replicas take whatever room there is, and they never leave by themselves: a machine that
costs a hundred times as much as theirs would be held for them. They are moved to where their room
costs less than half, one at a time and so rarely that nobody misses them; if there is no such room,
some is rented. Only where the operators aim at a price.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from umberward.fleet import Machine
from umberward.jobs import Job, Placement
from umberward.types import ImageName, Instant, MachineId, TypeName

if TYPE_CHECKING:
    from umberward.scheduler import Scheduler

log = logging.getLogger(__name__)

CHEAPER = 0.5  # of the price of a core: what makes a move worth while
LOOK_EVERY_S = 1.0
TRIES = 8  # replicas that are looked at each time
AWAY_S = 0.3  # how long a replica is away that moves to where its image is
MISSED_PART = 0.25  # of the replica time that may be missed by the operators' aim: for moves
DEFAULT_UP = 0.998
MOVE_AFTER_S = 35.0  # a start counts for its user if the replica then stays for 30 s


class Thrift:
    def __init__(self, scheduler: Scheduler, up: float | None, now: Instant) -> None:
        self.scheduler = scheduler
        self.missed = MISSED_PART * (1.0 - (DEFAULT_UP if up is None else up))
        self.look_at = now
        self.move_at = now
        # Replicas for which cheaper room must be rented first, and what a core may cost there.
        self.homeless: list[tuple[Job, float]] = []

    def unit_price(self, type_: TypeName) -> float:
        """What a core costs for an hour on an ordinary machine."""
        sku = self.scheduler.skus[type_]
        return sku.hourly / sku.cores if sku.cores > 0 else sku.hourly

    def move(self, kept: set[MachineId], usable: list[Machine], now: Instant) -> None:
        """Stop one replica that has a cheaper place, with room kept for it there."""
        if now < self.look_at:
            return
        self.look_at = Instant(now + LOOK_EVERY_S)
        self.homeless = []
        scheduler = self.scheduler
        least = min(self.unit_price(type_) for type_ in scheduler.skus)
        sources = [
            (scheduler.skus[m.type].hourly - least * m.booked.cores, m.id, m)
            for m in usable
            if m.held
            and m.id not in kept
            and CHEAPER * self.unit_price(m.type) > least
            and all(p.rank == 0 and p.need.accelerators <= 0 for p in m.held.values())
        ]
        sources.sort(reverse=True)
        clearing = scheduler.clearing
        free = {m.id: m.free(scheduler.skus[m.type]) for m in usable}
        clearing.keep(free, now)
        tries = 0
        for _, _, machine in sources:
            bound = CHEAPER * self.unit_price(machine.type)
            others = [
                m
                for m in usable
                if self.unit_price(m.type) < bound and m.id not in clearing.cleared
            ]
            for placement in list(machine.held.values()):
                job = scheduler.jobs.get(placement.task.job)
                if job is None or not self._may_move(job, placement, now):
                    continue
                tries += 1
                if tries > TRIES:
                    return
                image = ImageName(job.spec.bundle)
                near = [m for m in others if image in m.images]
                fetch = 0.0
                chosen = scheduler.choose(job, 1, near, free, set(), placement)
                if not chosen:
                    chosen = scheduler.choose(job, 1, others, free, set(), placement)
                    slowest = min(sku.fetch_gb_per_s for sku in scheduler.skus.values())
                    fetch = job.spec.pull_gb / slowest
                if not chosen:
                    self.homeless.append((job, bound))
                elif now >= self.move_at:
                    log.info("%s moves off %s, a dear machine", placement.task, machine.id)
                    self.move_at = Instant(now + (AWAY_S + fetch) / self._away_at_once())
                    clearing.reserve_room(job, chosen[0], now)
                    scheduler.stop(placement, 0.0)
                    return

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
        return max(1e-3, self.missed * sum(
            len(job.placed) for job in self.scheduler.jobs.values() if job.service
        ))  # fmt: skip
