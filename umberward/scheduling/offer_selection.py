"""Selection of the cheapest offer for a job, among those that the cloud probably has. No I/O.

Prices are hourly prices from the cloud's list.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from umberward.core.types import Instant, JobId, MachineOffer, MachineTypeName, ZoneName
from umberward.protocol.wire import MAX_MACHINES_PER_REQUEST, MachineType
from umberward.scheduling.heartbeat_room import room_for_tasks
from umberward.scheduling.jobs import Job
from umberward.scheduling.scheduler import Scheduler
from umberward.scheduling.spot_policy import AffordableMachines

# Machines up to this multiple of the lowest price are requested immediately.
MAX_PRICE_RATIO = 3.0
# More expensive machines are requested after this fraction of the time in which the job should
# start.
AFFORDABLE_WAIT_FRACTION = 0.3
# Factor on spot prices: the cloud may take a spot machine back, and lost work must be repeated.
SPOT_PRICE_FACTOR = 1.25

NO_PAUSE = (Instant(0.0), 0.0)


class OfferChoice(NamedTuple):
    """An offer, and how many of the job's tasks fit one such machine."""

    offer: MachineOffer
    tasks_per_machine: int


class _PricedOffer(NamedTuple):
    offer: MachineOffer
    price: float
    tasks_per_machine: int


class OfferSelection:
    """Chooses offers in one decision to scale out, and counts the machines requested of each."""

    def __init__(
        self,
        scheduler: Scheduler,
        affordable_by_job: Mapping[JobId, AffordableMachines],
        offer_pauses: Mapping[MachineOffer, tuple[Instant, float]],
        now: Instant,
    ) -> None:
        """`affordable_by_job`: the jobs that wait for affordable machines, with these.

        `offer_pauses`: by refused offer, the time of the leader's monotonic clock before which
        it is not requested again, and the pause in seconds.
        """
        self.scheduler = scheduler
        self.affordable_by_job = affordable_by_job
        self.offer_pauses = offer_pauses
        self.now = now
        self.requested: dict[MachineOffer, int] = {}  # machine counts, in order of first request

    def request(self, offer: MachineOffer, machine_count: int) -> None:
        """Count machines that are to be requested."""
        self.requested[offer] = self.requested.get(offer, 0) + machine_count

    def is_exhausted(self, offer: MachineOffer) -> bool:
        """Tell whether this decision has requested as many machines of the offer as allowed."""
        return self.requested.get(offer, 0) >= MAX_MACHINES_PER_REQUEST

    def is_available(self, offer: MachineOffer) -> bool:
        """Tell whether the offer is not paused after a refusal by the cloud."""
        until, _ = self.offer_pauses.get(offer, NO_PAUSE)
        return until <= self.now

    def cheapest(
        self, job: Job, task_count: int, zone: ZoneName | None = None
    ) -> OfferChoice | None:
        """Return the offer with the lowest price per task; None: none may be requested now.

        `zone`: the required zone; None: any.
        """
        max_task_price = self._max_task_price(job)
        best: tuple[float, OfferChoice] | None = None
        for offer, price, tasks_per_machine in self._priced_offers(job, zone):
            if price / tasks_per_machine > max_task_price:
                continue  # the job can still wait for cheaper room
            cost = price * math.ceil(task_count / tasks_per_machine) / task_count
            if best is None or cost < best[0]:
                best = (cost, OfferChoice(offer, tasks_per_machine))
        return None if best is None else best[1]

    def _priced_offers(self, job: Job, zone: ZoneName | None) -> Iterator[_PricedOffer]:
        """Yield the offers that suit the job and can be requested now."""
        for machine_type in self.scheduler.machine_types.values():
            capacity = machine_type.capacity
            tasks_per_machine = job.need.count_within(room_for_tasks(job.need, capacity, capacity))
            if tasks_per_machine <= 0:
                continue
            for offer in _offers_of(machine_type):
                if not self.scheduler.admits_offer(job, *offer) or zone not in (None, offer.zone):
                    continue
                price = _effective_price(machine_type, spot=offer.spot)
                if price is None or not self.is_available(offer) or self.is_exhausted(offer):
                    continue
                yield _PricedOffer(offer, price, tasks_per_machine)

    def _max_task_price(self, job: Job) -> float:
        """Return the highest hourly price per task that the job's urgency justifies."""
        scheduler = self.scheduler
        waited_s = scheduler.wall_clock() - job.ready_at
        price_limited_s = AFFORDABLE_WAIT_FRACTION * (scheduler.start_by(job) - job.ready_at)
        max_price = math.inf
        if waited_s <= price_limited_s:
            max_price = MAX_PRICE_RATIO * self._lowest_on_demand_price(job)
        if job.id in self.affordable_by_job:
            max_price = min(max_price, self.affordable_by_job[job.id].max_task_price)
        return max_price

    def _lowest_on_demand_price(self, job: Job) -> float:
        """Return the lowest hourly price per task of the job on on-demand machines."""
        lowest = math.inf
        for machine_type in self.scheduler.machine_types.values():
            tasks_per_machine = job.need.count_within(machine_type.capacity)
            names = job.spec.machine_types
            if tasks_per_machine > 0 and (names is None or machine_type.name in names):
                lowest = min(lowest, machine_type.hourly_price / tasks_per_machine)
        return lowest


def _offers_of(machine_type: MachineType) -> Iterator[MachineOffer]:
    name = MachineTypeName(machine_type.name)
    for zone in machine_type.zones:
        for spot in (True, False):
            yield MachineOffer(name, ZoneName(zone), spot)


def _effective_price(machine_type: MachineType, *, spot: bool) -> float | None:
    """Return the hourly price, raised for losses on spot machines; None: there is no such offer."""
    if not spot:
        return machine_type.hourly_price
    if machine_type.spot_price is None:
        return None
    return machine_type.spot_price * SPOT_PRICE_FACTOR
