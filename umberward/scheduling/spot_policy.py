"""Work that waits for affordable machines, mainly spot machines. No I/O.

Machines with accelerators cost ten times as much per core as those without, and on-demand machines
several times as much as spot ones. Two kinds of work wait for affordable machines:

- Work of the lowest priority, until it may miss an objective that it can still meet. It uses
  expensive machines only where other work keeps them anyway: the resources that accelerated work
  does not use, and the headroom. Otherwise it would fill each that becomes free, so that none is
  ever empty and returned, and cause requests for more.
- Accelerated work with a deadline that may use spot machines, as long as the affordable machines,
  in service order, can start it in time. It does not use the headroom either: saving its checkpoint
  first would delay the work that the headroom is for.

For other work the price difference is small compared with the cost of a missed deadline.
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
from umberward.scheduling.job_timing import SERVE_WITHIN_S, START_WITHIN_S
from umberward.scheduling.jobs import Job
from umberward.scheduling.machines import Machine
from umberward.scheduling.service_order import GUARANTEED

# Highest affordable price for accelerated work, as a multiple of the lowest price of all machines.
MAX_ACCELERATED_PRICE_RATIO = 1.5
# Highest affordable price for work of the lowest priority, as a multiple of the lowest price of
# on-demand machines.
MAX_LOWEST_PRIORITY_PRICE_RATIO = 2.0
# Work of the lowest priority waits for the longer of a fixed time and a fraction of its time to
# start.
MIN_WAIT_FOR_AFFORDABLE_S = 0.25 * START_WITHIN_S
WAIT_FRACTION_OF_START_TIME = 0.3
MIN_TASK_S = 1.0
LOWEST_PRIORITY = max(wire.JOB_PRIORITIES.values())


class AffordableMachines(NamedTuple):
    """The machines that are affordable for one kind of jobs."""

    max_task_price: float  # per hour
    offers: frozenset[MachineOffer]  # among the offers of existing machines
    may_use_remaining_room: bool  # on other machines: the room that accelerated work does not use

    def usable_room(
        self, machine: Machine, free: Resources, machine_type: MachineType
    ) -> Resources:
        """Return the part of a machine's free room that the job may use."""
        if machine.offer in self.offers:
            return free
        if not self.may_use_remaining_room or free.accelerators >= machine_type.accelerators:
            return NO_RESOURCES
        # Each free accelerator keeps its share of the machine's cores and memory free.
        part = free.accelerators / machine_type.accelerators
        return free.minus(Resources(part * machine_type.cores, 0.0, part * machine_type.mem_gb))


class _JobKind(NamedTuple):
    """Jobs of one kind have the same affordable machines."""

    placement_class: Hashable
    accelerated: bool


def task_price(cluster: ClusterState, job: Job, offer: MachineOffer) -> float:
    """Return the hourly price of one task on such a machine when it is full of the job's tasks.

    The price is infinite if the job may not run there.
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
    """Return the jobs that may use only affordable machines for now, with these machines.

    `waiting` is in service order; `machine_counts` is the number of existing machines by offer.
    """
    limited: dict[JobId, AffordableMachines] = {}
    by_kind: dict[_JobKind, AffordableMachines] = {}
    task_capacity: dict[_JobKind, int] = {}  # the tasks of a kind that fit the affordable machines
    tasks_ahead: Counter[_JobKind] = Counter()
    wall_now = cluster.wall_clock()
    for job in waiting:
        if not _may_wait_for_affordable(cluster, job, wall_now):
            continue
        kind = _JobKind(job.placement_class, job.need.accelerators > 0)
        affordable = by_kind.get(kind)
        if affordable is None:
            affordable = by_kind[kind] = _affordable_machines(
                cluster, job, accelerated=kind.accelerated
            )
        if kind.accelerated:
            if kind not in task_capacity:
                task_capacity[kind] = _affordable_task_capacity(
                    cluster, job, affordable, machine_counts
                )
            tasks_ahead[kind] += job.startable_count()
            left_s = cluster.serve_by(job, wall_now) - wall_now
            task_s = max(MIN_TASK_S, cluster.expected_task_runtime_s(job))
            if tasks_ahead[kind] > task_capacity[kind] * left_s / task_s:
                continue
        limited[job.id] = affordable
    return limited


def _may_wait_for_affordable(cluster: ClusterState, job: Job, wall_now: WallTime) -> bool:
    """Tell whether the job is one of the two kinds of work that wait for affordable machines."""
    if job.service or job.gang or job.needs_prompt_start:
        return False
    if job.need.accelerators > 0:
        return True
    if job.priority < LOWEST_PRIORITY or job.precedence[0] == GUARANTEED:
        return False  # guaranteed work does not wait for a low price
    return not _may_miss_objective(cluster, job, wall_now)


def _may_miss_objective(cluster: ClusterState, job: Job, wall_now: WallTime) -> bool:
    """Tell whether waiting longer may make the job miss an objective that it can still meet.

    Expensive machines would not help a job that has missed all its objectives.
    """
    waited_s = wall_now - job.ready_at
    if waited_s > SERVE_WITHIN_S and not (job.has_begun or job.placements):
        return True  # at least some of its tasks should begin
    max_wait_s = max(
        MIN_WAIT_FOR_AFFORDABLE_S,
        WAIT_FRACTION_OF_START_TIME * (cluster.start_by(job) - job.ready_at),
    )
    return waited_s > max_wait_s and cluster.update_next_latest_start(job, wall_now)


def _affordable_machines(
    cluster: ClusterState, job: Job, *, accelerated: bool
) -> AffordableMachines:
    """Compute affordable prices from the cloud's whole list, not only from existing machines."""
    lowest = min(
        (
            task_price(cluster, job, MachineOffer(MachineTypeName(name), ZoneName(zone), spot))
            for name, machine_type in cluster.machine_types.items()
            for zone in machine_type.zones
            for spot in ((True, False) if accelerated else (False,))
        ),
        default=math.inf,
    )
    ratio = MAX_ACCELERATED_PRICE_RATIO if accelerated else MAX_LOWEST_PRIORITY_PRICE_RATIO
    max_task_price = lowest * ratio
    offers = frozenset(
        offer for offer in cluster.offers if task_price(cluster, job, offer) <= max_task_price
    )
    return AffordableMachines(max_task_price, offers, may_use_remaining_room=not accelerated)


def _affordable_task_capacity(
    cluster: ClusterState,
    job: Job,
    affordable: AffordableMachines,
    machine_counts: Mapping[MachineOffer, int],
) -> int:
    """Return how many of the job's tasks can run on the affordable machines at the same time."""
    task_capacity = 0
    for offer, count in machine_counts.items():
        if task_price(cluster, job, offer) <= affordable.max_task_price:
            capacity = cluster.machine_types[offer.type].capacity
            task_capacity += count * job.need.count_within(capacity)
    return task_capacity
