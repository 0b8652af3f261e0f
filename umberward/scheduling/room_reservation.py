"""Room that is kept on a machine for one job while it is cleared. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from umberward.core.types import NO_RESOURCES, Instant, JobId, MachineId, Resources
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.jobs import Job

RESERVATION_S = 12.0  # how long cleared room is kept


class Reservation(NamedTuple):
    """Room on a machine that is being cleared for a job."""

    job_id: JobId
    room: Resources
    until: Instant


class RoomReservations:
    """The reservations by machine, at most one on each."""

    def __init__(self, cluster: ClusterState) -> None:
        """Start without any; `cluster` tells which jobs are live."""
        self.cluster = cluster
        self.by_machine: dict[MachineId, Reservation] = {}

    def __contains__(self, machine_id: MachineId) -> bool:
        """Tell whether room is reserved on the machine."""
        return machine_id in self.by_machine

    def add(self, job: Job, machine_id: MachineId, task_count: int, now: Instant) -> None:
        """Reserve room for so many of the job's tasks."""
        room = NO_RESOURCES.plus(job.need, task_count)
        self.by_machine[machine_id] = Reservation(job.id, room, Instant(now + RESERVATION_S))

    def subtract(self, free: dict[MachineId, Resources], now: Instant) -> None:
        """Take reserved room out of what is free: the victims would come back first.

        Reservations that are over are dropped.
        """
        for machine_id, reservation in list(self.by_machine.items()):
            if reservation.until < now or reservation.job_id not in self.cluster.jobs:
                del self.by_machine[machine_id]
            elif machine_id in free:
                free[machine_id] = free[machine_id].minus(reservation.room)

    def grant(self, job: Job, free: dict[MachineId, Resources]) -> set[MachineId]:
        """Add the job's reserved room to what is free; return its machines.

        That room counts for the job everywhere, else it would clear the machines again.
        """
        granted = {
            machine_id
            for machine_id, reservation in self.by_machine.items()
            if reservation.job_id == job.id
        }
        for machine_id in granted:
            if machine_id in free:
                free[machine_id] = free[machine_id].plus(self.by_machine[machine_id].room)
        return granted

    def return_unused(
        self, used: set[MachineId], granted: set[MachineId], free: dict[MachineId, Resources]
    ) -> None:
        """Keep for the job what it did not use, and drop the reservations that it has used."""
        for machine_id in granted:
            if machine_id in used:
                del self.by_machine[machine_id]
            elif machine_id in free:
                free[machine_id] = free[machine_id].minus(self.by_machine[machine_id].room)
