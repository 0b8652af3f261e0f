"""Where a job's tasks may run: its constraints, and the room that small tasks may use. No I/O.

The results are kept for each job until an offer comes into use or the cloud's list of machine types
is read again.
"""

from __future__ import annotations

from collections.abc import Iterable

from umberward.core.settings import Objective
from umberward.core.types import MachineOffer, MachineTypeName, Resources, ZoneName
from umberward.protocol.wire import MachineType
from umberward.scheduling.heartbeat_room import is_small, room_for_small_tasks
from umberward.scheduling.job_timing import JobTiming
from umberward.scheduling.jobs import Job


class JobConstraints(JobTiming):
    """Which offers a job may use, and how much of a machine's room."""

    def __init__(
        self,
        objectives: Iterable[Objective],
        machine_types: dict[MachineTypeName, MachineType],
    ) -> None:
        """Start without offers in use; the caller updates `machine_types` in place."""
        super().__init__(objectives, machine_types)
        self.offers: set[MachineOffer] = set()  # offers with at least one machine
        self.offers_version = 0  # number of changes of the offers or the machine types

    def note_offer(self, offer: MachineOffer) -> None:
        """Record that there is a machine of this offer."""
        if offer not in self.offers:
            self.offers.add(offer)
            self.constraints_changed()

    def constraints_changed(self) -> None:
        """Drop what was found for each job, as the offers or machine types have changed."""
        self.offers_version += 1

    def admits_offer(
        self,
        job: Job,
        machine_type: MachineTypeName,
        zone: ZoneName,
        spot: bool,  # noqa: FBT001 - the fields of a MachineOffer, in order
    ) -> bool:
        """Tell whether the job's constraints admit such a machine, regardless of its size."""
        spec = job.spec
        return (
            (spec.machine_types is None or machine_type in spec.machine_types)
            and (spec.zone is None or zone == spec.zone)
            and (spec.spot or not spot)
        )

    def suitable_offers(self, job: Job) -> set[MachineOffer]:
        """Return the offers in use of which an empty machine could run a task of the job."""
        if job.suitable_offers is None or job.suitable_offers[0] != self.offers_version:
            suitable = set()
            for offer in self.offers:
                machine_type = self.machine_types.get(offer.type)
                if machine_type is None or not self.admits_offer(job, *offer):
                    continue
                if job.need.fits(machine_type.capacity):
                    suitable.add(offer)
            job.suitable_offers = (self.offers_version, suitable)
        return job.suitable_offers[1]

    def types_with_small_tasks(self, job: Job) -> frozenset[MachineTypeName]:
        """Return the machine types on which the job's tasks are small (`heartbeat_room`)."""
        if (
            job.types_with_small_tasks is None
            or job.types_with_small_tasks[0] != self.offers_version
        ):
            types = frozenset(
                name
                for name, machine_type in self.machine_types.items()
                if is_small(job.need, machine_type.capacity)
            )
            job.types_with_small_tasks = (self.offers_version, types)
        return job.types_with_small_tasks[1]

    def room_for_job(self, job: Job, machine_type: MachineTypeName, room: Resources) -> Resources:
        """Return the part of the free `room` of such a machine that the job's tasks may use."""
        if machine_type not in self.types_with_small_tasks(job):
            return room
        return room_for_small_tasks(room)
