"""Room that is gathered for a gang which has waited long. No I/O.

A gang of several machines starts when so many are free at once, in one zone if it asks for that. A
stream of smaller gangs would take each machine as it gets free, and the large one would wait for as
long as they come. So for a gang that has waited for a part of the four minutes within which all
should begin, the machines that get free in one zone are held back until they are enough: from other
work that it could not stop, unless that is over before the last machine is expected. Work that it
may stop uses them meanwhile. In each zone one gang gathers at a time, the one that waits longest,
so that two never hold half of what each of them needs.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from umberward.core.log import logger
from umberward.core.types import Amount, ImageName, Instant, JobId, MachineId, ZoneName
from umberward.decisions.cluster import BEGIN_S, Cluster
from umberward.decisions.fleet import Machine
from umberward.decisions.jobs import Job, StopKey, may_stop

log = logger(__name__)

GATHER_S = 0.35 * BEGIN_S  # from when on room is gathered
MOVE_GAIN_S = 10.0  # it is gathered in another zone if that is so much sooner
ANYWHERE = ZoneName("")


class Slot(NamedTuple):
    """When a machine has room for the gang, and for how many of its tasks."""

    eta: float
    without_image: bool
    machine: MachineId
    fits: int


class Gathering:
    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        # Machines that are held back, for whom, and until when the last of them is expected.
        self.held: dict[MachineId, tuple[Job, Instant]] = {}
        self.zones: dict[JobId, ZoneName] = {}

    def look(self, waiting: list[Job], free: Mapping[MachineId, Amount], now: Instant) -> None:
        self.held.clear()
        wall = self.cluster.wall()
        long = [
            job
            for job in waiting
            if job.gang
            and job.size > 1
            and wall - job.ready_at > GATHER_S
            and not (job.placed or job.unsure or job.mistaken)
            and self.cluster.quota.room(job.team, job.need) >= job.size
        ]
        long.sort(key=lambda job: (job.ready_at, job.id))
        taken: set[ZoneName] = set()
        zones = {}
        for job in long:
            zone = self._gather(job, taken, free, now)
            if zone is not None:
                taken.add(zone)
                zones[job.id] = zone
                if job.id not in self.zones:
                    log.info("gathering_room", job=job.id, tasks=job.size, zone=zone)
        self.zones = zones

    def denied(self, job: Job) -> set[MachineId]:
        """The machines that the job may not use, as they are held back for others."""
        takes = math.inf if job.service else self.cluster.takes(job)
        return {
            id
            for id, (owner, until) in self.held.items()
            if owner is not job
            and not may_stop(owner.key, job.key)
            and self.cluster.now + takes > until
        }

    # ---- parts ---------------------------------------------------------------------------

    def _gather(
        self, job: Job, taken: set[ZoneName], free: Mapping[MachineId, Amount], now: Instant
    ) -> ZoneName | None:
        if taken and (ANYWHERE in taken or not job.spec.same_place):
            return None
        found: dict[ZoneName, list[Slot]] = {}
        for offer in self.cluster.suits(job):
            zone = offer.zone if job.spec.same_place else ANYWHERE
            if zone in taken:
                continue
            for machine in self.cluster.ready.kinds.get(offer, {}).values():
                slot = self._slot(job, machine, free[machine.id], now)
                if slot is not None:
                    found.setdefault(zone, []).append(slot)
        best: tuple[float, ZoneName, list[Slot]] | None = None
        for zone, slots in sorted(found.items()):
            slots.sort()
            chosen: list[Slot] = []
            left = job.size
            while left > 0 and len(chosen) < len(slots):
                chosen.append(slots[len(chosen)])
                left -= chosen[-1].fits
            if left > 0:
                continue  # the zone never has room for it
            eta = chosen[-1].eta
            if self.zones.get(job.id) == zone:
                eta = max(0.0, eta - MOVE_GAIN_S)
            if best is None or eta < best[0]:
                best = (eta, zone, chosen)
        if best is None:
            return None
        _, zone, chosen = best
        until = Instant(now + chosen[-1].eta)
        for slot in chosen:
            if slot.eta <= 0:
                self.held[slot.machine] = (job, until)
        return zone

    def _slot(self, job: Job, machine: Machine, room: Amount, now: Instant) -> Slot | None:
        """None: it never has room for a task of the job while what runs there goes on."""
        key = job.key
        for other, amount in machine.stoppable().items():
            if may_stop(key, other):
                room = room.plus(amount)
        fits = job.need.times_into(room)
        eta = 0.0
        if not fits:
            eta = self._eta(job, machine, key, room, now)
            if eta == math.inf:
                return None
            fits = 1
        away = ImageName(job.spec.bundle) not in machine.images
        return Slot(eta, away, machine.id, fits)

    def _eta(self, job: Job, machine: Machine, key: StopKey, room: Amount, now: Instant) -> float:
        """In how many seconds enough of what it may not stop has ended."""
        lasting = []
        for placement in machine.held.values():
            if placement.stop is None and may_stop(key, placement.key):
                continue
            owner = self.cluster.jobs.get(placement.task.job)
            left = 0.0
            if owner is not None and placement.stop is None:
                if owner.service:
                    continue
                ran = 0.0 if placement.running_at is None else now - placement.running_at
                left = max(1.0, self.cluster.estimate(owner) - ran)
            lasting.append((left, placement.need))
        lasting.sort()
        for left, need in lasting:
            room = room.plus(need)
            if job.need.fits(room):
                return left
        return math.inf
