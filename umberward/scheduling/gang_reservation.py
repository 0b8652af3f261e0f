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
from umberward.core.types import ImageName, Instant, JobId, MachineId, Resources, ZoneName
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.job_timing import START_WITHIN_S
from umberward.scheduling.jobs import Job, PreemptionKey, may_preempt
from umberward.scheduling.machines import Machine

log = logger(__name__)

RESERVE_AFTER_S = 0.35 * START_WITHIN_S  # from when on room is gathered
ZONE_CHANGE_GAIN_S = 10.0  # it is gathered in another zone if that is so much sooner
ANY_ZONE = ZoneName("")


class GangSlot(NamedTuple):
    """When a machine has room for the gang, and for how many of its tasks."""

    available_in_s: float
    image_missing: bool
    machine_id: MachineId
    task_count: int


class GangReservations:
    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster
        # Machines that are held back, for whom, and until when the last of them is expected.
        self.reserved: dict[MachineId, tuple[Job, Instant]] = {}
        self.zone_of_job: dict[JobId, ZoneName] = {}

    def update(self, waiting: list[Job], free: Mapping[MachineId, Resources], now: Instant) -> None:
        self.reserved.clear()
        wall = self.cluster.wall()
        long = [
            job
            for job in waiting
            if job.gang
            and job.size > 1
            and wall - job.ready_at > RESERVE_AFTER_S
            and not (job.placements or job.unlocated_tasks or job.faulty)
            and self.cluster.quota.tasks_within_limit(job.team, job.need) >= job.size
        ]
        long.sort(key=lambda job: (job.ready_at, job.id))
        taken: set[ZoneName] = set()
        zones = {}
        for job in long:
            zone = self._reserve_zone(job, taken, free, now)
            if zone is not None:
                taken.add(zone)
                zones[job.id] = zone
                if job.id not in self.zone_of_job:
                    log.info("gang_room_reserved", job=job.id, tasks=job.size, zone=zone)
        self.zone_of_job = zones

    def denied_machines(self, job: Job) -> set[MachineId]:
        """The machines that the job may not use, as they are held back for others."""
        takes = math.inf if job.service else self.cluster.expected_duration(job)
        return {
            id
            for id, (owner, until) in self.reserved.items()
            if owner is not job
            and not may_preempt(owner.preemption_key, job.preemption_key)
            and self.cluster.now + takes > until
        }

    # ---- parts ---------------------------------------------------------------------------

    def _reserve_zone(
        self, job: Job, taken: set[ZoneName], free: Mapping[MachineId, Resources], now: Instant
    ) -> ZoneName | None:
        if taken and (ANY_ZONE in taken or not job.spec.same_zone):
            return None
        found: dict[ZoneName, list[GangSlot]] = {}
        for offer in self.cluster.suitable_offers(job):
            zone = offer.zone if job.spec.same_zone else ANY_ZONE
            if zone in taken:
                continue
            for machine in self.cluster.schedulable.by_offer.get(offer, {}).values():
                slot = self._gang_slot(job, machine, free[machine.id], now)
                if slot is not None:
                    found.setdefault(zone, []).append(slot)
        best: tuple[float, ZoneName, list[GangSlot]] | None = None
        for zone, slots in sorted(found.items()):
            slots.sort()
            chosen: list[GangSlot] = []
            left = job.size
            while left > 0 and len(chosen) < len(slots):
                chosen.append(slots[len(chosen)])
                left -= chosen[-1].task_count
            if left > 0:
                continue  # the zone never has room for it
            eta = chosen[-1].available_in_s
            if self.zone_of_job.get(job.id) == zone:
                eta = max(0.0, eta - ZONE_CHANGE_GAIN_S)
            if best is None or eta < best[0]:
                best = (eta, zone, chosen)
        if best is None:
            return None
        _, zone, chosen = best
        until = Instant(now + chosen[-1].available_in_s)
        for slot in chosen:
            if slot.available_in_s <= 0:
                self.reserved[slot.machine_id] = (job, until)
        return zone

    def _gang_slot(
        self, job: Job, machine: Machine, room: Resources, now: Instant
    ) -> GangSlot | None:
        """None: it never has room for a task of the job while what runs there goes on."""
        key = job.preemption_key
        for other, amount in machine.preemptable_by_key().items():
            if may_preempt(key, other):
                room = room.plus(amount)
        fits = job.need.count_within(room)
        eta = 0.0
        if not fits:
            eta = self._available_in_s(job, machine, key, room, now)
            if eta == math.inf:
                return None
            fits = 1
        away = ImageName(job.spec.image) not in machine.images
        return GangSlot(eta, away, machine.id, fits)

    def _available_in_s(
        self, job: Job, machine: Machine, key: PreemptionKey, room: Resources, now: Instant
    ) -> float:
        """In how many seconds enough of what it may not stop has ended."""
        lasting = []
        for placement in machine.placements.values():
            if placement.stop_grace is None and may_preempt(key, placement.preemption_key):
                continue
            owner = self.cluster.jobs.get(placement.task.job)
            left = 0.0
            if owner is not None and placement.stop_grace is None:
                if owner.service:
                    continue
                ran = 0.0 if placement.running_since is None else now - placement.running_since
                left = max(1.0, self.cluster.estimate(owner) - ran)
            lasting.append((left, placement.need))
        lasting.sort()
        for left, need in lasting:
            room = room.plus(need)
            if job.need.fits(room):
                return left
        return math.inf
