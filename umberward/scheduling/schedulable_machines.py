"""The machines that may be given tasks, and filters by free room. No I/O."""

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

    Only machines that changed since the last scheduling pass are examined, few in a large cluster.
    """

    def __init__(self) -> None:
        """Start without machines."""
        self.changed: dict[MachineId, None] = {}  # in the order in which they changed
        self.machines: dict[MachineId, Machine] = {}
        self.free: dict[MachineId, Resources] = {}
        self.by_offer: dict[MachineOffer, dict[MachineId, Machine]] = {}

    def refresh(
        self,
        machines: Mapping[MachineId, Machine],
        machine_types: Mapping[MachineTypeName, MachineType],
    ) -> None:
        """Update the index for the machines in `changed`."""
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
    """Return the machines with room for the smallest need of the jobs: few in a full cluster.

    `free` has the free resources of each machine.
    """
    smallest = smallest_need(jobs)
    if smallest is None:
        return []
    # Inlined `smallest.fits(...)`, as it is evaluated for each machine in each pass.
    cores, accelerators, mem_gb, heartbeat_bytes = (part - ROUNDING_TOLERANCE for part in smallest)
    return [
        m
        for m in machines
        if (room := free[m.id])[0] >= cores
        and room[1] >= accelerators
        and room[2] >= mem_gb
        and room[3] >= heartbeat_bytes
    ]


def smallest_need(jobs: Iterable[Job], extra_need: Resources = NO_RESOURCES) -> Resources | None:
    """Return the minimum of each resource over the needs of the jobs.

    `extra_need` is the need of one more task, unless it is empty. None: there is no need at all.
    """
    needs = {job.need for job in jobs}
    if extra_need != NO_RESOURCES:
        needs.add(extra_need)
    if not needs:
        return None
    return Resources(*(min(parts) for parts in zip(*needs, strict=True)))
