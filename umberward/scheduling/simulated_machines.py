"""Existing and booting machines, as simulated by the autoscaler. No I/O.

The autoscaler fills them with waiting tasks to find how many more machines to request. The
simulation places nothing.
"""

from __future__ import annotations

from collections.abc import Iterable

from umberward.core.types import NO_RESOURCES, Instant, MachineOffer, Resources
from umberward.scheduling.jobs import Job
from umberward.scheduling.schedulable_machines import smallest_need
from umberward.scheduling.scheduler import Scheduler

# A machine that boots for longer than this multiple of `boot_s` plus the margin is not counted on.
LATE_BOOT_FACTOR = 2.5
LATE_BOOT_MARGIN_S = 5.0


class RequestedMachine:
    """A requested machine that has not sent a heartbeat yet."""

    def __init__(self, offer: MachineOffer, requested_at: Instant) -> None:
        """`requested_at` is a time of this leader's monotonic clock."""
        self.offer = offer
        self.requested_at = requested_at


class SimulatedMachine:
    """A machine's offer and the room left on it in the simulation."""

    __slots__ = ("free", "offer", "preemptable")

    def __init__(
        self, offer: MachineOffer, free: Resources, preemptable: Resources = NO_RESOURCES
    ) -> None:
        """`preemptable`: the room that prompt accelerated work could get by preemption."""
        self.offer = offer
        self.free = free
        self.preemptable = preemptable

    def room(self, *, prompt: bool) -> Resources:
        """Return the room for prompt accelerated work, which may preempt, or for other work."""
        return self.free.plus(self.preemptable) if prompt else self.free


def simulate_existing(
    scheduler: Scheduler, waiting: Iterable[tuple[Job, int]]
) -> list[SimulatedMachine]:
    """Return the existing machines without those too full for any waiting task.

    In a full cluster nearly all are omitted. If many machines are unreachable, they count as empty:
    the fault is likely in the network, and they come back.
    """
    jobs = [job for job, _ in waiting] + [
        job for job, _ in scheduler.consolidation.jobs_needing_cheaper_room
    ]
    headroom = scheduler.headroom
    least = smallest_need(jobs, headroom.largest_accelerator_need)
    for_accelerated = {offer: headroom.could_run_accelerated(*offer) for offer in scheduler.offers}
    simulated = []
    usable, free_by_machine = scheduler.schedulable_room()
    for machine in usable:
        free = free_by_machine[machine.id]
        preemptable = NO_RESOURCES
        if for_accelerated[machine.offer]:
            preemptable = headroom.preemptable_room(machine)
        if least is not None and least.fits(free.plus(preemptable)):
            simulated.append(SimulatedMachine(machine.offer, free, preemptable))
    if scheduler.reachability.many_partially_reachable():
        for machine in scheduler.reachability.partially_reachable_machines():
            machine_type = scheduler.machine_types.get(machine.machine_type)
            if machine_type is not None:
                simulated.append(SimulatedMachine(machine.offer, machine_type.capacity))
    return simulated


def simulate_pending(
    scheduler: Scheduler, pending: Iterable[RequestedMachine], now: Instant
) -> list[SimulatedMachine]:
    """Return the booting machines as empty ones, without those that are long overdue."""
    simulated = []
    for machine in pending:
        machine_type = scheduler.machine_types.get(machine.offer.type)
        if machine_type is None:
            continue
        if (
            now - machine.requested_at
            <= LATE_BOOT_FACTOR * machine_type.boot_s + LATE_BOOT_MARGIN_S
        ):
            simulated.append(SimulatedMachine(machine.offer, machine_type.capacity))
    return simulated
