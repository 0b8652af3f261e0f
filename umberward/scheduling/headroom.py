"""The room that is kept open for accelerated work. No I/O.

Accelerated machines are few, dear and slow to come, and their work needs nearly all of one. So as
many of them as such work needed lately are kept open or run empty, for other work uses only what
an accelerated task leaves over; and none is kept when no such work comes any more. Only work that
should start soon after it comes is meant (`Job.prompt`): what has a deadline and no aim for its
start can wait for a machine, and uses the reserve meanwhile if it is of lower rank.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

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

PEAK_DECAY_S = 60.0  # the peak falls by two thirds of the way to the present need in so long
BRIEF_TASK_SHARE = (
    0.3  # of the time in which accelerated work should start: a task may take so long
)
REPLICA_WEIGHT = 20.0  # a replica keeps its room so many times longer than a task


class Headroom:
    def __init__(self, skus: dict[MachineTypeName, MachineType], now: Instant) -> None:
        self.machine_types = skus
        self.need = NO_RESOURCES  # the largest accelerated task seen
        self.spec: JobSpec | None = None  # the latest accelerated job: where such work may run
        self.lowest_priority = 0  # the least rank of accelerated work seen
        self.running_count = 0  # accelerated tasks that have a place
        self.waiting_count = 0  # ... and that wait for one
        self.peak = 0.0  # how many there were at once, waiting ones included
        self.updated_at = now
        self.open_machines: set[MachineId] = set()

    def placement_added(self, placement: Placement) -> None:
        if placement.prompt:
            self.running_count += 1
            if placement.need.accelerators >= self.need.accelerators:
                self.need = placement.need

    def placement_released(self, placement: Placement) -> None:
        if placement.prompt:
            self.running_count -= 1

    def update(self, waiting: Iterable[Job], now: Instant) -> None:
        """How much accelerated work there is at once."""
        self.waiting_count = 0
        for job in waiting:
            if job.prompt:
                self.waiting_count += job.startable_count()
                self.lowest_priority = max(self.lowest_priority, job.priority)
                self.spec = job.spec
                if job.need.accelerators >= self.need.accelerators:
                    self.need = job.need
        tasks = self.running_count + self.waiting_count
        faded = tasks + (self.peak - tasks) * math.exp((self.updated_at - now) / PEAK_DECAY_S)
        self.updated_at = now
        self.peak = max(faded, float(tasks))

    def restore(self, spec: JobSpec, need: Resources, peak: float) -> None:
        """What a former holder saw, unless more was seen since."""
        self.peak = max(self.peak, peak)
        self.lowest_priority = max(self.lowest_priority, PRIORITIES[spec.priority])
        if self.spec is None:
            self.spec = spec
        if need.accelerators >= self.need.accelerators:
            self.need = need

    def open_task_count(self) -> int:
        """How many tasks' room to keep open for accelerated work that is likely to come."""
        if self.need.accelerators <= 0:
            return 0
        return max(0, round(self.peak) - self.running_count)

    def could_run(self, type_: MachineTypeName, zone: ZoneName, spot: bool) -> bool:
        """Whether accelerated work may run on such a machine, were it empty."""
        spec, sku = self.spec, self.machine_types.get(type_)
        if spec is None:
            return False
        return (
            sku is not None
            and self.need.fits(sku.capacity)
            and (spec.machine_types is None or type_ in spec.machine_types)
            and (spec.zone is None or zone == spec.zone)
            and (spec.spot or not spot)
        )

    def select_machines(
        self,
        kinds: Mapping[MachineOffer, Mapping[MachineId, Machine]],
        free: dict[MachineId, Resources],
    ) -> tuple[set[MachineId], set[MachineId]]:
        """Of the usable machines by kind: those whose room for accelerated work must stay open, or
        is to become so; and all that could do such work.

        Where none is open, those that will be soonest are left to run empty: else short tasks
        that come and go would keep accelerated work out for ever.
        """
        need = self.need
        if need.accelerators <= 0:
            return set(), set()
        zones: dict[ZoneName, float] = {}
        for offer, machines in kinds.items():
            if not offer.spot:
                cores = self.machine_types[offer.type].cores
                zones[offer.zone] = zones.get(offer.zone, 0.0) + cores * len(machines)
        able = []
        candidates = [m for offer in kinds if self.could_run(*offer) for m in kinds[offer].values()]
        for machine in candidates:
            room = free[machine.id]
            open_ = room.plus(self.yielding_room(machine))
            if open_.accelerators < need.accelerators:
                continue
            weight = sum(
                room.cores * self._weight(*kind)
                for kind, room in machine.load_by_priority().items()
            )
            # Work that must be spread needs as much of a small zone as of a large one. What gives
            # way at once fills the reserve: had that to be empty, it would move on to the next
            # empty machine each time, until such work stands on all and none is returned.
            able.append(
                (
                    not need.fits(open_),
                    machine.id not in self.open_machines,
                    -zones.get(machine.zone, 0.0),
                    weight,
                    machine.id,
                )
            )
        able.sort()
        names = [id for *_, id in able]
        self.open_machines = set(names[: self.open_task_count()])
        return set(self.open_machines), set(names)

    def _weight(self, accelerated: bool, rank: int) -> float:
        """How much such work keeps accelerated work out, for each core that it takes."""
        if self._is_preemptable(rank):
            return 0.02 if accelerated else 0.01
        return REPLICA_WEIGHT if rank == 0 else 1.0

    def _is_preemptable(self, rank: int) -> bool:
        """Whether it is stopped at once when prompt accelerated work comes."""
        return rank > self.lowest_priority

    def yielding_room(self, machine: Machine) -> Resources:
        """How much room stopping such work would make."""
        room = NO_RESOURCES
        for (_, rank), amount in machine.load_by_priority().items():
            if self._is_preemptable(rank):
                room = room.plus(amount)
        return room

    def barred_machines(
        self, job: Job, kept: set[MachineId], takes_s: float, wait_s: float
    ) -> set[MachineId]:
        """The machines among `kept` of which the job may only use what accelerated work leaves.

        Work of lower rank may fill them, as it is stopped when they are needed; and, while no
        accelerated work waits, tasks that are over long before such work must start. `takes_s`:
        how long a task of the job is expected to take; `wait_s`: how soon accelerated work
        should start. So dear and scarce machines do not stand idle meanwhile.
        """
        if job.need.accelerators > 0 or job.priority > self.lowest_priority:
            return set()
        brief = (
            not job.service and not self.waiting_count and 0 < takes_s <= BRIEF_TASK_SHARE * wait_s
        )
        return set() if brief else kept
