"""Headroom: spare capacity that is kept free for accelerated work. No I/O.

Accelerated machines are few, expensive and slow to boot, and a task needs nearly all of one. So as
many as such work needed recently are kept free or allowed to become empty, and other work uses only
the resources that an accelerated task would not need; the headroom shrinks to zero when no such
work arrives. Only work that should start soon after submission counts (`Job.needs_prompt_start`).
Work with a deadline and no start objective can wait for a machine, and uses the headroom if it has
a lower priority.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from umberward.core.types import (
    NO_RESOURCES,
    Instant,
    MachineId,
    MachineOffer,
    MachineTypeName,
    Resources,
    ZoneName,
)
from umberward.protocol.wire import JOB_PRIORITIES, JobSpec, MachineType
from umberward.scheduling.jobs import Job, Placement
from umberward.scheduling.machines import Machine

PEAK_DECAY_S = 60.0  # time constant of the exponential decay of the peak to the current need
# A task is brief if it takes at most this fraction of the time within which accelerated work should
# start.
BRIEF_TASK_FRACTION = 0.3
HIGHEST_PRIORITY = min(JOB_PRIORITIES.values())

# Penalties per core of other work on a machine, by how long that work is likely to stay.
REPLICA_WEIGHT = 20.0
TASK_WEIGHT = 1.0
PREEMPTABLE_ACCELERATED_WEIGHT = 0.02
PREEMPTABLE_WEIGHT = 0.01


class _Candidate(NamedTuple):
    """Sort key of a machine that could run accelerated work; the smallest are kept free."""

    blocked: bool
    newly_selected: bool
    negated_zone_cores: float
    weight: float
    machine_id: MachineId


class Headroom:
    """Tracks the demand for accelerated work and selects the machines to keep free for it."""

    def __init__(self, machine_types: dict[MachineTypeName, MachineType], now: Instant) -> None:
        """Start without demand; `machine_types` is the cloud's list, which its owner updates."""
        self.machine_types = machine_types
        self.largest_accelerator_need = NO_RESOURCES  # the one with the most accelerators
        # Spec of the last accelerated job in the service order of the latest pass that had one; its
        # constraints decide where such work may run.
        self.latest_accelerated_spec: JobSpec | None = None
        self.lowest_priority = 0  # of all accelerated work seen; a lower one is a larger number
        self.placement_count = 0  # accelerated tasks with a placement
        self.waiting_count = 0  # accelerated tasks that wait for one
        self.peak = 0.0  # decaying maximum of running and waiting tasks together
        self.updated_at = now
        self.headroom_machines: set[MachineId] = set()

    def placement_added(self, placement: Placement) -> None:
        """Count a placement of accelerated work; ignore others."""
        if placement.needs_prompt_start:
            self.placement_count += 1
            self._update_largest_accelerator_need(placement.need)

    def placement_released(self, placement: Placement) -> None:
        """Undo `placement_added`."""
        if placement.needs_prompt_start:
            self.placement_count -= 1

    def update(self, waiting: Iterable[Job], now: Instant) -> None:
        """Count the accelerated tasks that wait, and update the decaying peak."""
        self.waiting_count = 0
        for job in waiting:
            if job.needs_prompt_start:
                self.waiting_count += job.startable_count()
                self.lowest_priority = max(self.lowest_priority, job.priority)
                self.latest_accelerated_spec = job.spec
                self._update_largest_accelerator_need(job.need)
        tasks = self.placement_count + self.waiting_count
        decayed = tasks + (self.peak - tasks) * math.exp((self.updated_at - now) / PEAK_DECAY_S)
        self.updated_at = now
        self.peak = max(decayed, float(tasks))

    def restore(self, spec: JobSpec, need: Resources, peak: float) -> None:
        """Restore the demand that the previous leader recorded, unless this one has more."""
        self.peak = max(self.peak, peak)
        self.lowest_priority = max(self.lowest_priority, JOB_PRIORITIES[spec.priority])
        if self.latest_accelerated_spec is None:
            self.latest_accelerated_spec = spec
        self._update_largest_accelerator_need(need)

    def _update_largest_accelerator_need(self, need: Resources) -> None:
        if need.accelerators >= self.largest_accelerator_need.accelerators:
            self.largest_accelerator_need = need

    def headroom_task_count(self) -> int:
        """Return the number of further accelerated tasks to keep room free for."""
        if self.largest_accelerator_need.accelerators <= 0:
            return 0
        return max(0, round(self.peak) - self.placement_count)

    def could_run_accelerated(
        self,
        machine_type_name: MachineTypeName,
        zone: ZoneName,
        spot: bool,  # noqa: FBT001 - the fields of a MachineOffer, in order
    ) -> bool:
        """Tell whether accelerated work may run on such a machine if it is empty."""
        spec, machine_type = self.latest_accelerated_spec, self.machine_types.get(machine_type_name)
        if spec is None:
            return False
        return (
            machine_type is not None
            and self.largest_accelerator_need.fits(machine_type.capacity)
            and (spec.machine_types is None or machine_type_name in spec.machine_types)
            and (spec.zone is None or zone == spec.zone)
            and (spec.spot or not spot)
        )

    def select_machines(
        self,
        by_offer: Mapping[MachineOffer, Mapping[MachineId, Machine]],
        free: Mapping[MachineId, Resources],
    ) -> tuple[set[MachineId], set[MachineId]]:
        """Return the machines to keep free, and all that could run accelerated work.

        If too few are free, those that will be free soonest are selected and allowed to become
        empty; otherwise a succession of short tasks would starve accelerated work.
        """
        if self.largest_accelerator_need.accelerators <= 0:
            return set(), set()
        cores_by_zone = self._cores_by_zone(by_offer)
        candidates = []
        for offer, machines in by_offer.items():
            if not self.could_run_accelerated(*offer):
                continue
            zone_cores = cores_by_zone.get(offer.zone, 0.0)
            for machine in machines.values():
                room = free[machine.id].plus(self.preemptable_room(machine))
                if room.accelerators >= self.largest_accelerator_need.accelerators:
                    candidates.append(self._candidate(machine, room, zone_cores))
        candidates.sort()
        machine_ids = [candidate.machine_id for candidate in candidates]
        self.headroom_machines = set(machine_ids[: self.headroom_task_count()])
        return set(self.headroom_machines), set(machine_ids)

    def _cores_by_zone(
        self, by_offer: Mapping[MachineOffer, Mapping[MachineId, Machine]]
    ) -> dict[ZoneName, float]:
        """Return the cores of the on-demand machines by zone."""
        cores_by_zone: dict[ZoneName, float] = {}
        for offer, machines in by_offer.items():
            if not offer.spot:
                cores = self.machine_types[offer.type].cores * len(machines)
                cores_by_zone[offer.zone] = cores_by_zone.get(offer.zone, 0.0) + cores
        return cores_by_zone

    def _candidate(self, machine: Machine, room: Resources, zone_cores: float) -> _Candidate:
        """Return the machine's sort key; `room`: free room plus that of preemptable work.

        Spread work needs as much of a small zone as of a large one, so machines of large zones come
        first. Preemptable work may fill headroom machines: if those had to be empty, such work
        would move to the next empty machine each time, until it runs on all and none is returned.
        """
        weight = sum(
            load.cores * self._weight(accelerated=accelerated, priority=priority)
            for (accelerated, priority), load in machine.load_by_priority().items()
        )
        return _Candidate(
            not self.largest_accelerator_need.fits(room),
            machine.id not in self.headroom_machines,
            -zone_cores,
            weight,
            machine.id,
        )

    def _weight(self, *, accelerated: bool, priority: int) -> float:
        """Return the penalty for each core that such work uses."""
        if self._is_preemptable(priority):
            return PREEMPTABLE_ACCELERATED_WEIGHT if accelerated else PREEMPTABLE_WEIGHT
        return REPLICA_WEIGHT if priority == HIGHEST_PRIORITY else TASK_WEIGHT

    def _is_preemptable(self, priority: int) -> bool:
        """Tell whether prompt accelerated work may preempt work of this priority."""
        return priority > self.lowest_priority

    def preemptable_room(self, machine: Machine) -> Resources:
        """Return the resources that preempting all preemptable work on the machine would free."""
        room = NO_RESOURCES
        for (_, priority), load in machine.load_by_priority().items():
            if self._is_preemptable(priority):
                room = room.plus(load)
        return room

    def headroom_limited_machines(
        self, job: Job, candidate_machines: set[MachineId], task_s: float, start_within_s: float
    ) -> set[MachineId]:
        """Return those of `candidate_machines` on which the job must leave the headroom free.

        Work of lower priority is not limited, as it is preempted when the machines are needed.
        While no accelerated work waits, brief tasks are not limited either, as they end long before
        such work must start. So scarce and expensive machines do not stand idle. `task_s`: the
        expected duration of a task; `start_within_s`: the time within which accelerated work should
        start.
        """
        if job.need.accelerators > 0 or job.priority > self.lowest_priority:
            return set()
        is_brief = 0 < task_s <= BRIEF_TASK_FRACTION * start_within_s
        if is_brief and not job.service and not self.waiting_count:
            return set()
        return candidate_machines
