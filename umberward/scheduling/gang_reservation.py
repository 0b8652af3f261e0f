"""Reservation of machines for gangs that have waited for a long time. No I/O.

A gang starts only when enough machines are free at the same time, in one zone if it asks for that;
a stream of smaller gangs would starve it. So after a part of the four minutes within which every
job should begin, the machines of one zone that become free are reserved for the gang until there
are enough of them. Work that the gang may preempt can still be placed there, and so can work that
ends before the last machine is expected to become free. Each zone has one such gang at a time, the
longest waiting, to avoid a deadlock of two gangs that each hold half of what they need.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from umberward.core.log import logger
from umberward.core.types import ImageName, Instant, JobId, MachineId, Resources, ZoneName
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.job_timing import START_WITHIN_S
from umberward.scheduling.jobs import Job, Placement, may_preempt
from umberward.scheduling.machines import Machine

log = logger(__name__)

RESERVE_AFTER_S = 0.35 * START_WITHIN_S  # waiting time after which machines are reserved
ZONE_CHANGE_GAIN_S = 10.0  # a reservation changes its zone if the gang starts this much sooner
MIN_REMAINING_RUN_S = 1.0  # assumed for a task that runs longer than estimated
ANY_ZONE = ZoneName("")


class GangSlot(NamedTuple):
    """The time until a machine has room for the gang, and the number of tasks that fit.

    Sorted by the fields.
    """

    available_in_s: float
    image_missing: bool
    machine_id: MachineId
    task_count: int


class _ZoneChoice(NamedTuple):
    """The machines of one zone that the gang would use."""

    available_in_s: float  # until all have room; reduced for the zone chosen before
    zone: ZoneName
    slots: list[GangSlot]


class GangReservations:
    """Selects a zone for each gang that has waited too long, and reserves free machines there."""

    def __init__(self, cluster: ClusterState) -> None:
        """Start without any reservation."""
        self.cluster = cluster
        # By reserved machine: the gang, and when its last machine is expected to be free.
        self.reserved: dict[MachineId, tuple[Job, Instant]] = {}
        self.zone_of_job: dict[JobId, ZoneName] = {}

    def update(self, waiting: list[Job], free: Mapping[MachineId, Resources], now: Instant) -> None:
        """Select the machines to reserve in this pass; `free`: the room on each machine."""
        self.reserved.clear()
        zones_in_use: set[ZoneName] = set()
        zone_of_job: dict[JobId, ZoneName] = {}
        for job in self._gangs_to_reserve_for(waiting):
            zone = self._reserve_zone(job, zones_in_use, free, now)
            if zone is not None:
                zones_in_use.add(zone)
                zone_of_job[job.id] = zone
                if job.id not in self.zone_of_job:
                    log.info("gang_room_reserved", job=job.id, tasks=job.size, zone=zone)
        self.zone_of_job = zone_of_job

    def _gangs_to_reserve_for(self, waiting: list[Job]) -> list[Job]:
        """Return the gangs that have waited too long and could start, the longest waiting first."""
        wall_now = self.cluster.wall_clock()
        gangs = [
            job
            for job in waiting
            if job.gang
            and job.size > 1
            and wall_now - job.ready_at > RESERVE_AFTER_S
            and not (job.placements or job.unlocated_tasks or job.faulty)
            and self.cluster.quota.tasks_within_limit(job.team, job.need) >= job.size
        ]
        gangs.sort(key=lambda job: (job.ready_at, job.id))
        return gangs

    def machines_reserved_for_others(self, job: Job) -> set[MachineId]:
        """Return the machines that the job may not use, as they are reserved for other gangs."""
        duration_s = math.inf if job.service else self.cluster.expected_duration_s(job)
        return {
            machine_id
            for machine_id, (owner, until) in self.reserved.items()
            if owner is not job
            and not may_preempt(owner.preemption_key, job.preemption_key)
            and self.cluster.now + duration_s > until
        }

    def _reserve_zone(
        self,
        job: Job,
        zones_in_use: set[ZoneName],
        free: Mapping[MachineId, Resources],
        now: Instant,
    ) -> ZoneName | None:
        """Reserve the free machines of the best zone; None: no zone will have room for the gang.

        `zones_in_use`: the zones in which machines are reserved for other gangs.
        """
        if zones_in_use and (ANY_ZONE in zones_in_use or not job.spec.same_zone):
            return None
        choice = self._choose_zone(job, self._slots_by_zone(job, zones_in_use, free, now))
        if choice is None:
            return None
        until = Instant(now + choice.slots[-1].available_in_s)
        for slot in choice.slots:
            if slot.available_in_s <= 0:
                self.reserved[slot.machine_id] = (job, until)
        return choice.zone

    def _slots_by_zone(
        self,
        job: Job,
        zones_in_use: set[ZoneName],
        free: Mapping[MachineId, Resources],
        now: Instant,
    ) -> dict[ZoneName, list[GangSlot]]:
        """Return the slots by zone, all under `ANY_ZONE` if the job may span zones."""
        slots_by_zone: dict[ZoneName, list[GangSlot]] = {}
        for offer in self.cluster.suitable_offers(job):
            zone = offer.zone if job.spec.same_zone else ANY_ZONE
            if zone in zones_in_use:
                continue
            for machine in self.cluster.schedulable_index.by_offer.get(offer, {}).values():
                slot = self._gang_slot(job, machine, free[machine.id], now)
                if slot is not None:
                    slots_by_zone.setdefault(zone, []).append(slot)
        return slots_by_zone

    def _choose_zone(
        self, job: Job, slots_by_zone: dict[ZoneName, list[GangSlot]]
    ) -> _ZoneChoice | None:
        """Return the zone that is the first to have room for the whole gang."""
        best: _ZoneChoice | None = None
        for zone, slots in sorted(slots_by_zone.items()):
            slots.sort()
            chosen: list[GangSlot] = []
            missing_tasks = job.size
            while missing_tasks > 0 and len(chosen) < len(slots):
                chosen.append(slots[len(chosen)])
                missing_tasks -= chosen[-1].task_count
            if missing_tasks > 0:
                continue  # the zone will not have room for the gang
            available_in_s = chosen[-1].available_in_s
            if self.zone_of_job.get(job.id) == zone:
                available_in_s = max(0.0, available_in_s - ZONE_CHANGE_GAIN_S)
            if best is None or available_in_s < best.available_in_s:
                best = _ZoneChoice(available_in_s, zone, chosen)
        return best

    def _gang_slot(
        self, job: Job, machine: Machine, room: Resources, now: Instant
    ) -> GangSlot | None:
        """Return when the machine has room; None: never, as replicas occupy it."""
        key = job.preemption_key
        for other, load in machine.preemptable_by_key().items():
            if may_preempt(key, other):
                room = room.plus(load)
        room = self.cluster.room_for_job(job, machine.machine_type, room)
        task_count = job.need.count_within(room)
        available_in_s = 0.0
        if not task_count:
            available_in_s = self._available_in_s(job, machine, room, now)
            if available_in_s == math.inf:
                return None
            task_count = 1
        image_missing = ImageName(job.spec.image) not in machine.images
        return GangSlot(available_in_s, image_missing, machine.id, task_count)

    def _available_in_s(self, job: Job, machine: Machine, room: Resources, now: Instant) -> float:
        """Return the seconds until enough work that the job may not preempt has ended."""
        key = job.preemption_key
        ends = []
        for placement in machine.placements.values():
            if placement.stop_grace_s is None and may_preempt(key, placement.preemption_key):
                continue
            remaining_s = self._remaining_s(placement, now)
            if remaining_s < math.inf:
                ends.append((remaining_s, placement.need))
        ends.sort()
        for remaining_s, need in ends:
            room = room.plus(need)
            if job.need.fits(room):
                return remaining_s
        return math.inf

    def _remaining_s(self, placement: Placement, now: Instant) -> float:
        """Return the expected seconds to the task's end; infinite for a replica."""
        owner = self.cluster.jobs.get(placement.task.job)
        if owner is None or placement.stop_grace_s is not None:
            return 0.0
        if owner.service:
            return math.inf
        ran_s = 0.0 if placement.running_since is None else now - placement.running_since
        return max(MIN_REMAINING_RUN_S, self.cluster.expected_task_runtime_s(owner) - ran_s)
