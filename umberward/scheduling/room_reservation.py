"""Reservations of room that is being cleared for a job. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from umberward.core.types import NO_RESOURCES, Instant, JobId, MachineId, Resources
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.jobs import Job

RESERVATION_S = 12.0  # lifetime of a reservation


class Reservation(NamedTuple):
    """Room on a machine that is reserved for a job."""

    job_id: JobId
    room: Resources
    until: Instant


class RoomReservations:
    """The reservations by machine, at most one on each."""

    def __init__(self, cluster: ClusterState) -> None:
        """Start without reservations; `cluster` has the live jobs."""
        self.cluster = cluster
        self.by_machine: dict[MachineId, Reservation] = {}

    def __contains__(self, machine_id: MachineId) -> bool:
        """Tell whether room is reserved on the machine."""
        return machine_id in self.by_machine

    def add(self, job: Job, machine_id: MachineId, task_count: int, now: Instant) -> None:
        """Reserve room for `task_count` of the job's tasks, instead of any earlier reservation."""
        room = NO_RESOURCES.plus(job.need, task_count)
        self.by_machine[machine_id] = Reservation(job.id, room, Instant(now + RESERVATION_S))

    def subtract(self, free: dict[MachineId, Resources], now: Instant) -> None:
        """Subtract reserved room from `free`, so that the victims are not placed there again.

        Expired reservations and those of jobs that have ended are dropped.
        """
        for machine_id, reservation in list(self.by_machine.items()):
            if reservation.until < now or reservation.job_id not in self.cluster.jobs:
                del self.by_machine[machine_id]
            elif machine_id in free:
                free[machine_id] = free[machine_id].minus(reservation.room)

    def grant(self, job: Job, free: dict[MachineId, Resources]) -> set[MachineId]:
        """Add the job's reserved room to `free`; return the machines.

        The room counts as free for this job, so that it does not clear the machines again.
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

    def finish_grant(
        self, used: set[MachineId], granted: set[MachineId], free: dict[MachineId, Resources]
    ) -> None:
        """Drop the used reservations, and subtract the unused ones from `free` again."""
        for machine_id in granted:
            if machine_id in used:
                del self.by_machine[machine_id]
            elif machine_id in free:
                free[machine_id] = free[machine_id].minus(self.by_machine[machine_id].room)
