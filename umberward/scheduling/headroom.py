"""Headroom: the room that is kept open for accelerated work. No I/O.

Accelerated machines are few, expensive and slow to boot, and their work needs nearly all of one.
So as many of them as such work needed lately are kept open or run empty, for other work uses only
what an accelerated task leaves over; and none is kept when no such work comes any more. Only work
that should start soon after it comes counts (`Job.prompt`): what has a deadline and no objective
for its start can wait for a machine, and uses the headroom meanwhile if it is of lower priority.
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
from umberward.protocol.wire import PRIORITIES, JobSpec, MachineType
from umberward.scheduling.jobs import Job, Placement
from umberward.scheduling.machines import Machine

PEAK_DECAY_S = 60.0  # time constant with which the peak falls towards the present need
BRIEF_TASK_SHARE = 0.3  # of the time in which accelerated work should start: a brief task's length
HIGHEST_PRIORITY = min(PRIORITIES.values())

# How much a core of other work keeps accelerated work out, by how long it is likely to stay.
REPLICA_WEIGHT = 20.0
TASK_WEIGHT = 1.0
PREEMPTABLE_ACCELERATED_WEIGHT = 0.02
PREEMPTABLE_WEIGHT = 0.01


class _Candidate(NamedTuple):
    """A machine that could run accelerated work; the smaller, the sooner it is kept open."""

    blocked: bool
    newly_kept: bool
    negated_zone_cores: float
    weight: float
    machine_id: MachineId


class Headroom:
    """Follows how much accelerated work there is and selects the machines to keep open for it."""

    def __init__(self, machine_types: dict[MachineTypeName, MachineType], now: Instant) -> None:
        """`machine_types` is the cloud's list, which its owner keeps up to date."""
        self.machine_types = machine_types
        self.largest_need = NO_RESOURCES  # the largest accelerated task seen
        self.latest_spec: JobSpec | None = (
            None  # the latest accelerated job: where such work may run
        )
        self.lowest_priority = 0  # the least important priority of accelerated work seen
        self.running_count = 0  # accelerated tasks that have a placement
        self.waiting_count = 0  # ... and that wait for one
        self.peak = 0.0  # how many there were at once, waiting ones included
        self.updated_at = now
        self.open_machines: set[MachineId] = set()

    def placement_added(self, placement: Placement) -> None:
        """Count a placement, if it is of accelerated work."""
        if placement.needs_prompt_start:
            self.running_count += 1
            self._note_need(placement.need)

    def placement_released(self, placement: Placement) -> None:
        """Take back what `placement_added` counted."""
        if placement.needs_prompt_start:
            self.running_count -= 1

    def update(self, waiting: Iterable[Job], now: Instant) -> None:
        """Count the accelerated tasks that wait, and let the peak follow."""
        self.waiting_count = 0
        for job in waiting:
            if job.needs_prompt_start:
                self.waiting_count += job.startable_count()
                self.lowest_priority = max(self.lowest_priority, job.priority)
                self.latest_spec = job.spec
                self._note_need(job.need)
        tasks = self.running_count + self.waiting_count
        decayed = tasks + (self.peak - tasks) * math.exp((self.updated_at - now) / PEAK_DECAY_S)
        self.updated_at = now
        self.peak = max(decayed, float(tasks))

    def restore(self, spec: JobSpec, need: Resources, peak: float) -> None:
        """Take over what the previous leader saw, unless more was seen since."""
        self.peak = max(self.peak, peak)
        self.lowest_priority = max(self.lowest_priority, PRIORITIES[spec.priority])
        if self.latest_spec is None:
            self.latest_spec = spec
        self._note_need(need)

    def _note_need(self, need: Resources) -> None:
        if need.accelerators >= self.largest_need.accelerators:
            self.largest_need = need

    def open_task_count(self) -> int:
        """Return for how many tasks to keep room open, as accelerated work is likely to come."""
        if self.largest_need.accelerators <= 0:
            return 0
        return max(0, round(self.peak) - self.running_count)

    def could_run(
        self,
        machine_type_name: MachineTypeName,
        zone: ZoneName,
        spot: bool,  # noqa: FBT001 - the fields of a MachineOffer, in order
    ) -> bool:
        """Tell whether accelerated work may run on such a machine, were it empty."""
        spec, machine_type = self.latest_spec, self.machine_types.get(machine_type_name)
        if spec is None:
            return False
        return (
            machine_type is not None
            and self.largest_need.fits(machine_type.capacity)
            and (spec.machine_types is None or machine_type_name in spec.machine_types)
            and (spec.zone is None or zone == spec.zone)
            and (spec.spot or not spot)
        )

    def select_machines(
        self,
        by_offer: Mapping[MachineOffer, Mapping[MachineId, Machine]],
        free: Mapping[MachineId, Resources],
    ) -> tuple[set[MachineId], set[MachineId]]:
        """Return the machines to keep open, and all candidates: those that could run such work.

        Where none is open, those that will be soonest are left to run empty: else short tasks that
        come and go would keep accelerated work out for ever.
        """
        if self.largest_need.accelerators <= 0:
            return set(), set()
        cores_by_zone = self._cores_by_zone(by_offer)
        candidates = []
        for offer, machines in by_offer.items():
            if not self.could_run(*offer):
                continue
            zone_cores = cores_by_zone.get(offer.zone, 0.0)
            for machine in machines.values():
                room = free[machine.id].plus(self.preemptable_room(machine))
                if room.accelerators >= self.largest_need.accelerators:
                    candidates.append(self._candidate(machine, room, zone_cores))
        candidates.sort()
        machine_ids = [candidate.machine_id for candidate in candidates]
        self.open_machines = set(machine_ids[: self.open_task_count()])
        return set(self.open_machines), set(machine_ids)

    def _cores_by_zone(
        self, by_offer: Mapping[MachineOffer, Mapping[MachineId, Machine]]
    ) -> dict[ZoneName, float]:
        """Sum up the cores of the machines that are no spot machines."""
        cores_by_zone: dict[ZoneName, float] = {}
        for offer, machines in by_offer.items():
            if not offer.spot:
                cores = self.machine_types[offer.type].cores * len(machines)
                cores_by_zone[offer.zone] = cores_by_zone.get(offer.zone, 0.0) + cores
        return cores_by_zone

    def _candidate(self, machine: Machine, room: Resources, zone_cores: float) -> _Candidate:
        """Return the machine's sort key; `room`: what accelerated work would find there at once.

        Work that must be spread needs as much of a small zone as of a large one, so machines of
        large zones come first. Preemptable work may fill a machine that is kept open: had that to
        be empty, such work would move on to the next empty machine each time, until it stands on
        all and none is returned.
        """
        weight = sum(
            load.cores * self._weight(accelerated=accelerated, priority=priority)
            for (accelerated, priority), load in machine.load_by_priority().items()
        )
        return _Candidate(
            not self.largest_need.fits(room),
            machine.id not in self.open_machines,
            -zone_cores,
            weight,
            machine.id,
        )

    def _weight(self, *, accelerated: bool, priority: int) -> float:
        """Return how much such work keeps accelerated work out, for each core that it takes."""
        if self._is_preemptable(priority):
            return PREEMPTABLE_ACCELERATED_WEIGHT if accelerated else PREEMPTABLE_WEIGHT
        return REPLICA_WEIGHT if priority == HIGHEST_PRIORITY else TASK_WEIGHT

    def _is_preemptable(self, priority: int) -> bool:
        """Tell whether such work is stopped at once when prompt accelerated work comes."""
        return priority > self.lowest_priority

    def preemptable_room(self, machine: Machine) -> Resources:
        """Return the room that preempting such work on the machine would make."""
        room = NO_RESOURCES
        for (_, priority), load in machine.load_by_priority().items():
            if self._is_preemptable(priority):
                room = room.plus(load)
        return room

    def barred_machines(
        self, job: Job, open_machines: set[MachineId], task_s: float, start_within_s: float
    ) -> set[MachineId]:
        """Return those of `open_machines` of which the job may use only what headroom leaves.

        Work of lower priority may fill them, as it is preempted when they are needed; and, while no
        accelerated work waits, tasks that are over long before such work must start. So scarce and
        expensive machines do not stand idle meanwhile. `task_s`: how long a task of the job is
        expected to take; `start_within_s`: how soon accelerated work should start.
        """
        if job.need.accelerators > 0 or job.priority > self.lowest_priority:
            return set()
        is_brief = 0 < task_s <= BRIEF_TASK_SHARE * start_within_s
        if is_brief and not job.service and not self.waiting_count:
            return set()
        return open_machines
