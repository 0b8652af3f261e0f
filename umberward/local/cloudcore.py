"""A model of the cloud provider, without I/O, for the local cluster and the tests.

A claim makes a rental idempotent, machines take time to boot, capacity may be limited, the list of
machines lags behind, and spot machines may be reclaimed after a notice.

Times are seconds of the caller's monotonic clock; this module never reads a clock itself.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import NamedTuple

from umberward.local.errors import SimulatedServiceError
from umberward.protocol.wire import (
    MAX_DELETIONS_PER_REQUEST,
    MAX_MACHINES_PER_REQUEST,
    CloudMachine,
    MachineType,
)

BOOT_TIME_FACTORS = (0.6, 1.5)  # minimum and maximum, relative to the nominal boot time
RECLAIM_NOTICE_FACTORS = (0.5, 1.5)  # minimum and maximum, relative to the nominal notice


class NoCapacityError(SimulatedServiceError):
    """The cloud has no more machines of the requested type, zone and price."""


class MalformedRequestError(SimulatedServiceError):
    """A request names something unknown or exceeds a limit (status 400)."""


class InvalidRentalError(MalformedRequestError):
    """A rental of an unknown type, in a zone without that type, or of too many machines."""

    def __init__(self, machine_type: str, zone: str, count: int) -> None:
        """Describe the rejected request."""
        super().__init__(f"{machine_type} in {zone}, {count} times")


class TooManyDeletionsError(MalformedRequestError):
    """A request deletes too many machines."""

    def __init__(self, count: int) -> None:
        """`count`: the number of machines in the request."""
        super().__init__(f"{count} names")


@dataclass(eq=False, slots=True)
class Machine:
    """A rented machine."""

    id: str
    machine_type: MachineType
    zone: str
    spot: bool
    rented_at: float
    boots_at: float  # when it will have booted
    booted: bool = False
    address: str = ""
    reclaim_at: float | None = None  # when the cloud reclaims it; None until that is announced


class CapacityPool(NamedTuple):
    """The kind of machine that a capacity limit applies to: type, zone, and spot or not."""

    machine_type: str
    zone: str
    spot: bool


class CloudTick(NamedTuple):
    """Machines that have booted or were reclaimed since the previous tick."""

    booted: list[Machine]
    reclaimed: list[Machine]


class MachineListPage(NamedTuple):
    """A page of the list of machines."""

    machines: list[CloudMachine]
    more: bool  # whether another page follows


class MachineListSnapshot(NamedTuple):
    """The list of machines at one point in time."""

    taken_at: float
    machines: list[CloudMachine]


class CloudCore:
    """The cloud's machines, rentals and capacity limits."""

    def __init__(
        self,
        machine_types: list[MachineType],
        list_lag_s: float,
        rng: random.Random,
        speed: float,
    ) -> None:
        """`list_lag_s`: the age of the list that is returned; `speed`: speed-up factor of boots."""
        self.machine_types = {machine_type.name: machine_type for machine_type in machine_types}
        self.list_lag_s = list_lag_s
        self.rng = rng
        self.speed = speed
        self.machines: dict[str, Machine] = {}
        self.claims: dict[str, list[str]] = {}  # claim -> ids of the machines rented by it
        self.capacity: dict[CapacityPool, int] = {}  # kinds without an entry are unlimited
        self.total_rented = 0  # machines rented since the start
        # Oldest first; the first one is what requests get.
        self.list_snapshots: list[MachineListSnapshot] = []

    def rent(self, claim: str, kind: CapacityPool, count: int, now: float) -> list[str]:
        """Rent up to `count` machines, as far as the capacity suffices; returns their ids.

        A claim that was used before rents nothing and returns the same ids again.
        Raises NoCapacityError or MalformedRequestError.
        """
        if claim in self.claims:
            return self.claims[claim]
        machine_type = self.machine_types.get(kind.machine_type)
        if (
            machine_type is None
            or kind.zone not in machine_type.zones
            or not 0 < count <= MAX_MACHINES_PER_REQUEST
        ):
            raise InvalidRentalError(kind.machine_type, kind.zone, count)
        available = self.capacity.get(kind, MAX_MACHINES_PER_REQUEST) - self._rented_count(kind)
        count = min(count, available)
        if count <= 0:
            raise NoCapacityError
        self.claims[claim] = [self._add_machine(machine_type, kind, now) for _ in range(count)]
        return self.claims[claim]

    def _rented_count(self, kind: CapacityPool) -> int:
        return sum(
            (machine.machine_type.name, machine.zone, machine.spot) == kind
            for machine in self.machines.values()
        )

    def _add_machine(self, machine_type: MachineType, kind: CapacityPool, now: float) -> str:
        """Start to boot one machine; returns its id."""
        self.total_rented += 1
        machine_id = f"i-{self.total_rented:06d}"
        boot_s = machine_type.boot_s * self.rng.uniform(*BOOT_TIME_FACTORS) / self.speed
        self.machines[machine_id] = Machine(
            machine_id, machine_type, kind.zone, kind.spot, now, now + boot_s
        )
        return machine_id

    def delete(self, machine_ids: list[str]) -> list[Machine]:
        """Delete machines; returns the deleted ones. Unknown ids are ignored.

        Raises MalformedRequestError if there are more ids than one request may have.
        """
        if len(machine_ids) > MAX_DELETIONS_PER_REQUEST:
            raise TooManyDeletionsError(len(machine_ids))
        return [
            self.machines.pop(machine_id)
            for machine_id in machine_ids
            if machine_id in self.machines
        ]

    def reclaim_machines(
        self, count: int, notice_s: float, now: float, zone: str = ""
    ) -> list[Machine]:
        """Announce that up to `count` machines will be reclaimed in about `notice_s` seconds.

        Chooses booted spot machines or, if `zone` is given, any booted machines of that zone.
        """
        candidates = [
            machine
            for machine in self.machines.values()
            if machine.booted
            and machine.reclaim_at is None
            and (machine.zone == zone if zone else machine.spot)
        ]
        for machine in candidates[:count]:
            machine.reclaim_at = now + notice_s * self.rng.uniform(*RECLAIM_NOTICE_FACTORS)
        return candidates[:count]

    def tick(self, now: float) -> CloudTick:
        """Finish due boots, reclaim due machines, and take a snapshot of the list of machines."""
        reclaimed = [
            machine
            for machine in self.machines.values()
            if machine.reclaim_at is not None and machine.reclaim_at <= now
        ]
        for machine in reclaimed:
            del self.machines[machine.id]
        booted = [
            machine
            for machine in self.machines.values()
            if not machine.booted and machine.boots_at <= now
        ]
        for machine in booted:
            machine.booted = True
        self.list_snapshots.append(MachineListSnapshot(now, self._current_list(now)))
        while (
            len(self.list_snapshots) > 1
            and self.list_snapshots[1].taken_at <= now - self.list_lag_s
        ):
            del self.list_snapshots[0]
        return CloudTick(booted, reclaimed)

    def list_page(self, start: str, most: int) -> MachineListPage:
        """A page of up to `most` machines of the list as of `list_lag_s` ago, sorted by id.

        `start`: the last id of the previous page.
        """
        machines = self.list_snapshots[0].machines if self.list_snapshots else []
        following = [machine for machine in machines if machine.machine_id > start]
        return MachineListPage(following[:most], len(following) > most)

    def _current_list(self, now: float) -> list[CloudMachine]:
        """All machines, sorted by id, with their ages in seconds."""
        return [
            CloudMachine(
                machine.id,
                machine.address,
                machine.machine_type.name,
                machine.zone,
                machine.spot,
                "running" if machine.booted else "booting",
                now - machine.rented_at,
            )
            for _, machine in sorted(self.machines.items())
        ]
