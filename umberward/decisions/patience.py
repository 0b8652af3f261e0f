"""Which work waits for cheap machines rather than using dear ones. No I/O.

A machine with accelerators costs ten times as much for each core as one without, and several times
as much when it is no spot machine. Two kinds of work never need that:

- Work of the lowest rank, until it may miss a goal that it can still reach. It uses dear machines
  where other work keeps them anyway: what accelerated work leaves over, and the reserve. Else it
  would fill each that gets free, so that none is ever empty and returned, and have more rented.
- Accelerated work that has a deadline and may use spot machines, as long as the cheap machines,
  taking it in the order of service, will have started it by when it must start. It leaves the
  reserve alone as well: what has to save first would hold up the work that the reserve is for.

Elsewhere the difference in price is small next to what a missed deadline costs its user.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from umberward.core.types import NOTHING, Amount, JobId, Offer, WallTime
from umberward.decisions.cluster import BEGIN_S, LATEST_S, Cluster
from umberward.decisions.fleet import Machine
from umberward.decisions.jobs import Job
from umberward.protocol import wire
from umberward.protocol.wire import Sku

CHEAP = 1.5  # up to so many times the lowest price a machine is cheap for accelerated work
FAIR = 2.0  # ... and to so many times the lowest price of ordinary ones, for the lowest rank
LONG_S = 0.25 * BEGIN_S  # so long work of the lowest rank waits, or ...
PATIENT_PART = 0.3  # ... for this part of the time in which it should start
LEAST_S = 1.0
LOWEST = max(wire.RANKS.values())


class Cheap(NamedTuple):
    """What is cheap for a kind of jobs: a task's price for an hour, and the machines there are."""

    bound: float
    offers: frozenset[Offer]
    leftover: bool  # whether it may fill what accelerated work leaves over on others

    def room(self, machine: Machine, free: Amount, sku: Sku) -> Amount:
        """What the job may use of a machine's free room."""
        if machine.offer in self.offers:
            return free
        if not self.leftover or free.accelerators >= sku.accelerators:
            return NOTHING
        # Each accelerator that is free keeps its part of the machine.
        part = free.accelerators / sku.accelerators
        return free.minus(Amount(part * sku.cores, 0.0, part * sku.mem_gb))


def price(cluster: Cluster, job: Job, offer: Offer) -> float:
    """Of one of the job's tasks for an hour on such a machine, were it full of them."""
    sku = cluster.skus.get(offer.type)
    if sku is None or not cluster.allowed(job, *offer):
        return math.inf
    each = job.need.times_into(sku.whole)
    whole = sku.low_price if offer.spot else sku.hourly
    return math.inf if whole is None or not each else whole / each


def patient(
    cluster: Cluster, waiting: Iterable[Job], machines: Mapping[Offer, int]
) -> dict[JobId, Cheap]:
    """The jobs that use cheap machines only, for now; `machines`: how many there are of each kind.
    `waiting`: in the order of service."""
    found: dict[JobId, Cheap] = {}
    kinds: dict[Any, Cheap] = {}
    slots: dict[Any, int] = {}  # how many of a kind's tasks cheap machines take
    ahead: dict[Any, int] = {}
    wall = cluster.wall()
    for job in waiting:
        if job.service or job.gang or job.prompt:
            continue
        accelerated = job.need.accelerators > 0
        if not accelerated and (job.rank < LOWEST or job.standing[0] == 0):
            continue  # what is guaranteed to a team has not to be cheap
        if not accelerated and _pressed(cluster, job, wall):
            continue
        kind = (job.kind, accelerated)
        if kind not in kinds:
            kinds[kind] = _cheap(cluster, job, accelerated)
        if accelerated:
            cheap = kinds[kind]
            if kind not in slots:
                slots[kind] = _slots(cluster, job, cheap, machines)
            ahead[kind] = ahead.get(kind, 0) + job.startable()
            left = cluster.goal(job, wall) - wall
            if ahead[kind] > slots[kind] * left / max(LEAST_S, cluster.estimate(job)):
                continue
        found[job.id] = kinds[kind]
    return found


def _pressed(cluster: Cluster, job: Job, wall: float) -> bool:
    """Whether it has waited so long for cheap machines that it may miss a goal that it can still
    reach. What has missed all of them has no use for dear ones."""
    waited = wall - job.ready_at
    if waited > LATEST_S and not (job.began or job.placed):
        return True  # it should begin, if only with some of its tasks
    longest = max(LONG_S, PATIENT_PART * (cluster.deadline(job) - job.ready_at))
    return waited > longest and cluster.can_reach(job, WallTime(wall))


def _cheap(cluster: Cluster, job: Job, accelerated: bool) -> Cheap:
    """From the cloud's list, whether rented or not."""
    lowest = min(
        (
            price(cluster, job, Offer(type_, zone, spot))  # type: ignore[arg-type]
            for type_, sku in cluster.skus.items()
            for zone in sku.yards
            for spot in ((True, False) if accelerated else (False,))
        ),
        default=math.inf,
    )
    bound = lowest * (CHEAP if accelerated else FAIR)
    offers = frozenset(offer for offer in cluster.offers if price(cluster, job, offer) <= bound)
    return Cheap(bound, offers, not accelerated)


def _slots(cluster: Cluster, job: Job, cheap: Cheap, machines: Mapping[Offer, int]) -> int:
    many = 0
    for offer, count in machines.items():
        if price(cluster, job, offer) <= cheap.bound:
            sku = cluster.skus[offer.type]
            whole = sku.whole
            many += count * job.need.times_into(whole)
    return many
