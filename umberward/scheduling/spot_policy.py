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

from umberward.core.types import NO_RESOURCES, JobId, MachineOffer, Resources, WallTime
from umberward.protocol import wire
from umberward.protocol.wire import MachineType
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.job_timing import START_WITHIN_S, WAITING_PRIORITY_S
from umberward.scheduling.jobs import Job
from umberward.scheduling.machines import Machine

SPOT_PRICE_RATIO_MAX = (
    1.5  # up to so many times the lowest price a machine is cheap for accelerated work
)
LOWEST_PRIORITY_PRICE_RATIO_MAX = (
    2.0  # ... and to so many times the lowest price of ordinary ones, for the lowest rank
)
MIN_WAIT_FOR_AFFORDABLE_S = 0.25 * START_WITHIN_S  # so long work of the lowest rank waits, or ...
WAIT_SHARE_OF_START_TIME = 0.3  # ... for this part of the time in which it should start
MIN_TASK_S = 1.0
LOWEST_PRIORITY = max(wire.PRIORITIES.values())


class AffordableMachines(NamedTuple):
    """What is cheap for a kind of jobs: a task's price for an hour, and the machines there are."""

    max_task_price: float
    offers: frozenset[MachineOffer]
    may_use_leftovers: bool  # whether it may fill what accelerated work leaves over on others

    def usable_room(self, machine: Machine, free: Resources, sku: MachineType) -> Resources:
        """What the job may use of a machine's free room."""
        if machine.offer in self.offers:
            return free
        if not self.may_use_leftovers or free.accelerators >= sku.accelerators:
            return NO_RESOURCES
        # Each accelerator that is free keeps its part of the machine.
        part = free.accelerators / sku.accelerators
        return free.minus(Resources(part * sku.cores, 0.0, part * sku.mem_gb))


def task_price(cluster: ClusterState, job: Job, offer: MachineOffer) -> float:
    """Of one of the job's tasks for an hour on such a machine, were it full of them."""
    sku = cluster.machine_types.get(offer.type)
    if sku is None or not cluster.allowed(job, *offer):
        return math.inf
    each = job.need.count_within(sku.capacity)
    whole = sku.spot_price if offer.spot else sku.hourly_price
    return math.inf if whole is None or not each else whole / each


def jobs_limited_to_affordable(
    cluster: ClusterState, waiting: Iterable[Job], machines: Mapping[MachineOffer, int]
) -> dict[JobId, AffordableMachines]:
    """The jobs that use cheap machines only, for now; `machines`: how many there are of each kind.
    `waiting`: in the order of service."""
    found: dict[JobId, AffordableMachines] = {}
    kinds: dict[Any, AffordableMachines] = {}
    slots: dict[Any, int] = {}  # how many of a kind's tasks cheap machines take
    ahead: dict[Any, int] = {}
    wall = cluster.wall()
    for job in waiting:
        if job.service or job.gang or job.prompt:
            continue
        accelerated = job.need.accelerators > 0
        if not accelerated and (job.priority < LOWEST_PRIORITY or job.standing[0] == 0):
            continue  # what is guaranteed to a team has not to be cheap
        if not accelerated and _may_miss_goal(cluster, job, wall):
            continue
        kind = (job.placement_class, accelerated)
        if kind not in kinds:
            kinds[kind] = _affordable_machines(cluster, job, accelerated)
        if accelerated:
            cheap = kinds[kind]
            if kind not in slots:
                slots[kind] = _slots(cluster, job, cheap, machines)
            ahead[kind] = ahead.get(kind, 0) + job.startable_count()
            left = cluster.service_order(job, wall) - wall
            if ahead[kind] > slots[kind] * left / max(MIN_TASK_S, cluster.estimate(job)):
                continue
        found[job.id] = kinds[kind]
    return found


def _may_miss_goal(cluster: ClusterState, job: Job, wall: float) -> bool:
    """Whether it has waited so long for cheap machines that it may miss a goal that it can still
    reach. What has missed all of them has no use for dear ones."""
    waited = wall - job.ready_at
    if waited > WAITING_PRIORITY_S and not (job.has_begun or job.placements):
        return True  # it should begin, if only with some of its tasks
    longest = max(
        MIN_WAIT_FOR_AFFORDABLE_S, WAIT_SHARE_OF_START_TIME * (cluster.start_by(job) - job.ready_at)
    )
    return waited > longest and cluster.can_reach(job, WallTime(wall))


def _affordable_machines(cluster: ClusterState, job: Job, accelerated: bool) -> AffordableMachines:
    """From the cloud's list, whether rented or not."""
    lowest = min(
        (
            task_price(cluster, job, MachineOffer(type_, zone, spot))  # type: ignore[arg-type]
            for type_, sku in cluster.machine_types.items()
            for zone in sku.zones
            for spot in ((True, False) if accelerated else (False,))
        ),
        default=math.inf,
    )
    bound = lowest * (SPOT_PRICE_RATIO_MAX if accelerated else LOWEST_PRIORITY_PRICE_RATIO_MAX)
    offers = frozenset(
        offer for offer in cluster.offers if task_price(cluster, job, offer) <= bound
    )
    return AffordableMachines(bound, offers, not accelerated)


def _slots(
    cluster: ClusterState, job: Job, cheap: AffordableMachines, machines: Mapping[MachineOffer, int]
) -> int:
    many = 0
    for offer, count in machines.items():
        if task_price(cluster, job, offer) <= cheap.max_task_price:
            sku = cluster.machine_types[offer.type]
            whole = sku.capacity
            many += count * job.need.count_within(whole)
    return many
