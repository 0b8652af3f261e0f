"""Which work waits for affordable machines, spot ones above all. No I/O.

A machine with accelerators costs ten times as much for each core as one without, and several times
as much when it is no spot machine. Two kinds of work never need that:

- Work of the lowest priority, until it may miss a goal that it can still reach. It uses expensive
  machines where other work keeps them anyway: what accelerated work leaves over, and the headroom.
  Else it would fill each that gets free, so that none is ever empty and returned, and have more
  requested.
- Accelerated work that has a deadline and may use spot machines, as long as the affordable
  machines, taking it in the order of service, will have started it by when it must start. It leaves
  the headroom alone as well: what has to save a checkpoint first would hold up the work that the
  headroom is for.

Elsewhere the difference in price is small next to what a missed deadline costs its user.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Hashable, Iterable, Mapping
from typing import NamedTuple

from umberward.core.types import (
    NO_RESOURCES,
    JobId,
    MachineOffer,
    MachineTypeName,
    Resources,
    WallTime,
    ZoneName,
)
from umberward.protocol import wire
from umberward.protocol.wire import MachineType
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.job_timing import START_WITHIN_S, WAITING_PRIORITY_S
from umberward.scheduling.jobs import Job
from umberward.scheduling.machines import Machine
from umberward.scheduling.service_order import GUARANTEED

# Up to so many times the lowest price a machine is affordable, for accelerated work ...
SPOT_PRICE_RATIO_MAX = 1.5
# ... and for work of the lowest priority, of the prices of machines that are no spot machines.
LOWEST_PRIORITY_PRICE_RATIO_MAX = 2.0
MIN_WAIT_FOR_AFFORDABLE_S = 0.25 * START_WITHIN_S  # so long work of the lowest priority waits, or
WAIT_SHARE_OF_START_TIME = 0.3  # ... for this share of the time in which it should start, if longer
MIN_TASK_S = 1.0
LOWEST_PRIORITY = max(wire.PRIORITIES.values())


class AffordableMachines(NamedTuple):
    """What is affordable for a kind of jobs."""

    max_task_price: float  # for an hour
    offers: frozenset[MachineOffer]  # among those of which there is a machine
    may_use_leftovers: bool  # whether it may fill what accelerated work leaves over on others

    def usable_room(
        self, machine: Machine, free: Resources, machine_type: MachineType
    ) -> Resources:
        """Return what the job may use of a machine's free room."""
        if machine.offer in self.offers:
            return free
        if not self.may_use_leftovers or free.accelerators >= machine_type.accelerators:
            return NO_RESOURCES
        # Each accelerator that is free keeps its part of the machine.
        part = free.accelerators / machine_type.accelerators
        return free.minus(Resources(part * machine_type.cores, 0.0, part * machine_type.mem_gb))


class _JobKind(NamedTuple):
    """Jobs of one kind have the same affordable machines."""

    placement_class: Hashable
    accelerated: bool


def task_price(cluster: ClusterState, job: Job, offer: MachineOffer) -> float:
    """Return the price of one of the job's tasks for an hour on such a machine, full of them.

    It is infinite if the job may not run there.
    """
    machine_type = cluster.machine_types.get(offer.type)
    if machine_type is None or not cluster.admits_offer(job, *offer):
        return math.inf
    tasks_per_machine = job.need.count_within(machine_type.capacity)
    price = machine_type.spot_price if offer.spot else machine_type.hourly_price
    return math.inf if price is None or not tasks_per_machine else price / tasks_per_machine


def jobs_limited_to_affordable(
    cluster: ClusterState, waiting: Iterable[Job], machine_counts: Mapping[MachineOffer, int]
) -> dict[JobId, AffordableMachines]:
    """Return the jobs that use affordable machines only, for now, and what these are.

    `waiting` is in the order of service; `machine_counts` has the machines there are of each offer.
    """
    found: dict[JobId, AffordableMachines] = {}
    by_kind: dict[_JobKind, AffordableMachines] = {}
    slots: dict[_JobKind, int] = {}  # how many of a kind's tasks the affordable machines take
    tasks_ahead: Counter[_JobKind] = Counter()
    wall = cluster.wall_clock()
    for job in waiting:
        if not _may_wait(cluster, job, wall):
            continue
        kind = _JobKind(job.placement_class, job.need.accelerators > 0)
        affordable = by_kind.get(kind)
        if affordable is None:
            affordable = by_kind[kind] = _affordable_machines(
                cluster, job, accelerated=kind.accelerated
            )
        if kind.accelerated:
            if kind not in slots:
                slots[kind] = _slots(cluster, job, affordable, machine_counts)
            tasks_ahead[kind] += job.startable_count()
            left_s = cluster.service_order(job, wall) - wall
            task_s = max(MIN_TASK_S, cluster.estimate(job))
            if tasks_ahead[kind] > slots[kind] * left_s / task_s:
                continue
        found[job.id] = affordable
    return found


def _may_wait(cluster: ClusterState, job: Job, wall: WallTime) -> bool:
    """Tell whether the job is of the two kinds of work that wait for affordable machines."""
    if job.service or job.gang or job.needs_prompt_start:
        return False
    if job.need.accelerators > 0:
        return True
    if job.priority < LOWEST_PRIORITY or job.standing[0] == GUARANTEED:
        return False  # what is guaranteed to a team need not be cheap
    return not _may_miss_goal(cluster, job, wall)


def _may_miss_goal(cluster: ClusterState, job: Job, wall: WallTime) -> bool:
    """Tell whether the job has waited so long that it may miss a goal it can still reach.

    A job that has missed all of them has no use for expensive machines.
    """
    waited_s = wall - job.ready_at
    if waited_s > WAITING_PRIORITY_S and not (job.has_begun or job.placements):
        return True  # it should begin, if only with some of its tasks
    max_wait_s = max(
        MIN_WAIT_FOR_AFFORDABLE_S, WAIT_SHARE_OF_START_TIME * (cluster.start_by(job) - job.ready_at)
    )
    return waited_s > max_wait_s and cluster.can_reach(job, wall)


def _affordable_machines(
    cluster: ClusterState, job: Job, *, accelerated: bool
) -> AffordableMachines:
    """Find the lowest price in the cloud's list, whether there is such a machine or not."""
    lowest = min(
        (
            task_price(cluster, job, MachineOffer(MachineTypeName(name), ZoneName(zone), spot))
            for name, machine_type in cluster.machine_types.items()
            for zone in machine_type.zones
            for spot in ((True, False) if accelerated else (False,))
        ),
        default=math.inf,
    )
    ratio = SPOT_PRICE_RATIO_MAX if accelerated else LOWEST_PRIORITY_PRICE_RATIO_MAX
    max_task_price = lowest * ratio
    offers = frozenset(
        offer for offer in cluster.offers if task_price(cluster, job, offer) <= max_task_price
    )
    return AffordableMachines(max_task_price, offers, may_use_leftovers=not accelerated)


def _slots(
    cluster: ClusterState,
    job: Job,
    affordable: AffordableMachines,
    machine_counts: Mapping[MachineOffer, int],
) -> int:
    """Return how many of the job's tasks the affordable machines take at once."""
    slots = 0
    for offer, count in machine_counts.items():
        if task_price(cluster, job, offer) <= affordable.max_task_price:
            capacity = cluster.machine_types[offer.type].capacity
            slots += count * job.need.count_within(capacity)
    return slots
