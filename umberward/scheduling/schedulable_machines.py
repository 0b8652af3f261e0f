"""The machines that may be given tasks, and those with room for some job. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from umberward.core.types import (
    NO_RESOURCES,
    ROUNDING_TOLERANCE,
    MachineId,
    MachineOffer,
    MachineTypeName,
    Resources,
)
from umberward.protocol.wire import MachineType
from umberward.scheduling.jobs import Job
from umberward.scheduling.machines import Machine


class SchedulableMachines:
    """An index of the schedulable machines and the free resources of each.

    Of a large fleet few machines change between two scheduling passes, and only those are
    examined.
    """

    def __init__(self) -> None:
        """Begin without machines."""
        self.changed: dict[MachineId, None] = {}  # in the order in which they changed
        self.machines: dict[MachineId, Machine] = {}
        self.free: dict[MachineId, Resources] = {}
        self.by_offer: dict[MachineOffer, dict[MachineId, Machine]] = {}

    def refresh(
        self,
        machines: Mapping[MachineId, Machine],
        machine_types: Mapping[MachineTypeName, MachineType],
    ) -> None:
        """Bring the index up to date with the machines noted in `changed`."""
        for machine_id in self.changed:
            machine = machines.get(machine_id)
            machine_type = None if machine is None else machine_types.get(machine.machine_type)
            if machine is not None and machine_type is not None and machine.schedulable:
                self.machines[machine_id] = machine
                self.free[machine_id] = machine.free_room(machine_type)
                self.by_offer.setdefault(machine.offer, {})[machine_id] = machine
            elif machine_id in self.machines:
                del self.free[machine_id]
                del self.by_offer[self.machines.pop(machine_id).offer][machine_id]
        self.changed.clear()


def machines_with_room(
    machines: list[Machine], free: dict[MachineId, Resources], jobs: Iterable[Job]
) -> list[Machine]:
    """The machines with room for the least that any of the jobs needs: of a full fleet, few.

    `free` has the free resources of each of the machines.
    """
    least = smallest_need(jobs)
    if least is None:
        return []
    # Written out instead of `least.fits(...)`: it is evaluated for each machine in each pass.
    cores, accelerators, mem_gb = (part - ROUNDING_TOLERANCE for part in least)
    return [
        m
        for m in machines
        if (room := free[m.id])[0] >= cores and room[1] >= accelerators and room[2] >= mem_gb
    ]


def smallest_need(jobs: Iterable[Job], besides: Resources = NO_RESOURCES) -> Resources | None:
    """The least of each resource that a task of any of the jobs needs.

    `besides` is one more task's need, unless it is empty. Returns None if there is no task.
    """
    needs = {job.need for job in jobs}
    if besides != NO_RESOURCES:
        needs.add(besides)
    if not needs:
        return None
    return Resources(*(min(parts) for parts in zip(*needs, strict=True)))
