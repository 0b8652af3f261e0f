"""Which kind of machine to request for a job: the cheapest that the cloud is likely to have. Pure.

Prices are those of the cloud's list, for an hour.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from umberward.core.types import Instant, JobId, MachineOffer, MachineTypeName, ZoneName
from umberward.protocol.wire import MAX_MACHINES_PER_REQUEST, MachineType
from umberward.scheduling.jobs import Job
from umberward.scheduling.scheduler import Scheduler
from umberward.scheduling.spot_policy import AffordableMachines

PRICE_RATIO_MAX = 3.0  # up to so many times the lowest price, machines are requested at once
AFFORDABLE_WAIT_SHARE = 0.3  # ... and more expensive ones after this share of the time to the start
SPOT_LOSS_RATIO = 1.25  # a spot machine may be taken at any time, and its work is done again

NO_PAUSE = (Instant(0.0), 0.0)


class OfferChoice(NamedTuple):
    """An offer and how many tasks of the job one such machine takes."""

    offer: MachineOffer
    tasks_per_machine: int


class _PricedOffer(NamedTuple):
    offer: MachineOffer
    price: float
    tasks_per_machine: int


class OfferSelection:
    """Chooses offers during one decision to scale out, and counts what is requested of each."""

    def __init__(
        self,
        scheduler: Scheduler,
        affordable: Mapping[JobId, AffordableMachines],
        no_capacity_until: Mapping[MachineOffer, tuple[Instant, float]],
        now: Instant,
    ) -> None:
        """`affordable`: the jobs that wait for spot machines; `no_capacity_until`: refused offers.

        The latter are not requested again before the given time of the leader's monotonic clock.
        """
        self.scheduler = scheduler
        self.affordable = affordable
        self.no_capacity_until = no_capacity_until
        self.now = now
        self.requested: dict[MachineOffer, int] = {}  # machines, in the order of the first request

    def request(self, offer: MachineOffer, machine_count: int) -> None:
        """Count machines that are to be requested."""
        self.requested[offer] = self.requested.get(offer, 0) + machine_count

    def is_exhausted(self, offer: MachineOffer) -> bool:
        """Tell whether no more machines of the offer can be requested in this decision."""
        return self.requested.get(offer, 0) >= MAX_MACHINES_PER_REQUEST

    def is_available(self, offer: MachineOffer) -> bool:
        """Tell whether the cloud has not refused the offer lately."""
        until, _ = self.no_capacity_until.get(offer, NO_PAUSE)
        return until <= self.now

    def cheapest(
        self, job: Job, task_count: int, zone: ZoneName | None = None
    ) -> OfferChoice | None:
        """Return the offer with the lowest price per task; None: none may be requested now.

        `zone`: the one in which it has to be; None: any.
        """
        max_task_price = self._max_task_price(job)
        best: tuple[float, OfferChoice] | None = None
        for offer, price, tasks_per_machine in self._priced_offers(job, zone):
            if price / tasks_per_machine > max_task_price:
                continue  # the job waits for cheaper room while it has time
            cost = price * math.ceil(task_count / tasks_per_machine) / task_count
            if best is None or cost < best[0]:
                best = (cost, OfferChoice(offer, tasks_per_machine))
        return None if best is None else best[1]

    def _priced_offers(self, job: Job, zone: ZoneName | None) -> Iterator[_PricedOffer]:
        """Yield the offers that suit the job and can be requested now."""
        for machine_type in self.scheduler.machine_types.values():
            tasks_per_machine = job.need.count_within(machine_type.capacity)
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
        """Return the highest price of one task for an hour that the job's urgency justifies."""
        scheduler = self.scheduler
        waited_s = scheduler.wall_clock() - job.ready_at
        patience_s = AFFORDABLE_WAIT_SHARE * (scheduler.start_by(job) - job.ready_at)
        max_price = math.inf
        if waited_s <= patience_s:
            max_price = PRICE_RATIO_MAX * self._lowest_ordinary_price(job)
        if job.id in self.affordable:
            max_price = min(max_price, self.affordable[job.id].max_task_price)
        return max_price

    def _lowest_ordinary_price(self, job: Job) -> float:
        """Return the lowest price without spot machines for which a task of the job could run."""
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
    """Return the hourly price, with what is lost on spot machines; None: there is no such offer."""
    if not spot:
        return machine_type.hourly_price
    if machine_type.spot_price is None:
        return None
    return machine_type.spot_price * SPOT_LOSS_RATIO
