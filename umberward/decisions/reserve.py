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

from umberward.core.types import NOTHING, Amount, Instant, MachineId, Offer, TypeName, ZoneName
from umberward.decisions.fleet import Machine
from umberward.decisions.jobs import Job, Placement
from umberward.protocol.wire import RANKS, Sku, Spec

FADE_S = 60.0  # the peak falls by two thirds of the way to the present need in so long
BRIEF = 0.3  # of the time in which accelerated work should start: a task may take so long
LASTING = 20.0  # a replica keeps its room so many times longer than a task


class Reserve:
    def __init__(self, skus: dict[TypeName, Sku], now: Instant) -> None:
        self.skus = skus
        self.need = NOTHING  # the largest accelerated task seen
        self.spec: Spec | None = None  # the latest accelerated job: where such work may run
        self.rank = 0  # the least rank of accelerated work seen
        self.running = 0  # accelerated tasks that have a place
        self.waiting = 0  # ... and that wait for one
        self.peak = 0.0  # how many there were at once, waiting ones included
        self.at = now
        self.kept: set[MachineId] = set()

    def placed(self, placement: Placement) -> None:
        if placement.prompt:
            self.running += 1
            if placement.need.accelerators >= self.need.accelerators:
                self.need = placement.need

    def released(self, placement: Placement) -> None:
        if placement.prompt:
            self.running -= 1

    def note(self, waiting: Iterable[Job], now: Instant) -> None:
        """How much accelerated work there is at once."""
        self.waiting = 0
        for job in waiting:
            if job.prompt:
                self.waiting += job.startable()
                self.rank = max(self.rank, job.rank)
                self.spec = job.spec
                if job.need.accelerators >= self.need.accelerators:
                    self.need = job.need
        tasks = self.running + self.waiting
        faded = tasks + (self.peak - tasks) * math.exp((self.at - now) / FADE_S)
        self.at = now
        self.peak = max(faded, float(tasks))

    def remember(self, spec: Spec, need: Amount, peak: float) -> None:
        """What a former holder saw, unless more was seen since."""
        self.peak = max(self.peak, peak)
        self.rank = max(self.rank, RANKS[spec.rank])
        if self.spec is None:
            self.spec = spec
        if need.accelerators >= self.need.accelerators:
            self.need = need

    def size(self) -> int:
        """How many tasks' room to keep open for accelerated work that is likely to come."""
        if self.need.accelerators <= 0:
            return 0
        return max(0, round(self.peak) - self.running)

    def could_run(self, type_: TypeName, zone: ZoneName, spot: bool) -> bool:
        """Whether accelerated work may run on such a machine, were it empty."""
        spec, sku = self.spec, self.skus.get(type_)
        if spec is None:
            return False
        return (
            sku is not None
            and self.need.fits(sku.whole)
            and (spec.flavors is None or type_ in spec.flavors)
            and (spec.yard is None or zone == spec.yard)
            and (spec.reclaimable or not spot)
        )

    def split(
        self, kinds: Mapping[Offer, Mapping[MachineId, Machine]], free: dict[MachineId, Amount]
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
                cores = self.skus[offer.type].cores
                zones[offer.zone] = zones.get(offer.zone, 0.0) + cores * len(machines)
        able = []
        candidates = [m for offer in kinds if self.could_run(*offer) for m in kinds[offer].values()]
        for machine in candidates:
            room = free[machine.id]
            open_ = room.plus(self.yielding(machine))
            if open_.accelerators < need.accelerators:
                continue
            weight = sum(room.cores * self._weight(*kind) for kind, room in machine.loads().items())
            # Work that must be spread needs as much of a small zone as of a large one. What gives
            # way at once fills the reserve: had that to be empty, it would move on to the next
            # empty machine each time, until such work stands on all and none is returned.
            able.append(
                (
                    not need.fits(open_), machine.id not in self.kept,
                    -zones.get(machine.zone, 0.0), weight, machine.id,
                )
            )  # fmt: skip
        able.sort()
        names = [id for *_, id in able]
        self.kept = set(names[: self.size()])
        return set(self.kept), set(names)

    def _weight(self, accelerated: bool, rank: int) -> float:
        """How much such work keeps accelerated work out, for each core that it takes."""
        if self._yields(rank):
            return 0.02 if accelerated else 0.01
        return LASTING if rank == 0 else 1.0

    def _yields(self, rank: int) -> bool:
        """Whether it is stopped at once when prompt accelerated work comes."""
        return rank > self.rank

    def yielding(self, machine: Machine) -> Amount:
        """How much room stopping such work would make."""
        room = NOTHING
        for (_, rank), amount in machine.loads().items():
            if self._yields(rank):
                room = room.plus(amount)
        return room

    def barred(
        self, job: Job, kept: set[MachineId], takes_s: float, wait_s: float
    ) -> set[MachineId]:
        """The machines among `kept` of which the job may only use what accelerated work leaves.

        Work of lower rank may fill them, as it is stopped when they are needed; and, while no
        accelerated work waits, tasks that are over long before such work must start. `takes_s`:
        how long a task of the job is expected to take; `wait_s`: how soon accelerated work
        should start. So dear and scarce machines do not stand idle meanwhile.
        """
        if job.need.accelerators > 0 or job.rank > self.rank:
            return set()
        brief = not job.service and not self.waiting and 0 < takes_s <= BRIEF * wait_s
        return set() if brief else kept
