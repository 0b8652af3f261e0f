"""The semantics of the cloud provider, without I/O, for the local cluster and the tests.

Rentals are idempotent by a claim; machines take a while to boot; capacity may be limited; the list
of machines lags behind; spot machines may be taken back after a notice.

Times are seconds of the caller's monotonic clock; this module never reads a clock itself.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import NamedTuple

from umberward.local.errors import StandInError
from umberward.protocol.wire import (
    MAX_DELETIONS_PER_REQUEST,
    MAX_MACHINES_PER_REQUEST,
    CloudMachine,
    MachineType,
)

BOOT_TIME_FACTORS = (0.6, 1.5)  # least and most, of the nominal boot time
NOTICE_FACTORS = (0.5, 1.5)  # least and most, of the nominal notice before a machine is taken back


class NoCapacityError(StandInError):
    """The cloud has no machine of the requested type, zone and price left."""


class MalformedRequestError(StandInError):
    """A request names something unknown or asks for too much at once: status 400."""


class InvalidRentalError(MalformedRequestError):
    """A rental of an unknown type, in a zone without that type, or of too many machines."""

    def __init__(self, machine_type: str, zone: str, count: int) -> None:
        """The arguments are those of the request."""
        super().__init__(f"{machine_type} in {zone}, {count} times")


class TooManyDeletionsError(MalformedRequestError):
    """A deletion names too many machines."""

    def __init__(self, count: int) -> None:
        """`count`: how many names the request has."""
        super().__init__(f"{count} names")


@dataclass(eq=False, slots=True)
class Machine:
    """A rented machine."""

    id: str
    machine_type: MachineType
    zone: str
    spot: bool
    rented_at: float
    up_at: float  # when it has booted
    up: bool = False
    address: str = ""
    taken_at: float | None = None  # when the cloud takes it back, once that is announced


class Capacity(NamedTuple):
    """What the cloud has a limit for: machines of one type, in one zone, spot or not."""

    machine_type: str
    zone: str
    spot: bool


class CloudTick(NamedTuple):
    """What has happened since the tick before."""

    booted: list[Machine]
    taken_back: list[Machine]


class MachineListPage(NamedTuple):
    """A page of the list of machines."""

    machines: list[CloudMachine]
    more: bool  # whether the list goes on after this page


class MachineListSnapshot(NamedTuple):
    """The list of machines as it was at one moment."""

    taken_at: float
    machines: list[CloudMachine]


class CloudCore:
    """The cloud's machines, rentals and limits."""

    def __init__(
        self,
        machine_types: list[MachineType],
        list_lag_s: float,
        rng: random.Random,
        speed: float,
    ) -> None:
        """`list_lag_s`: how far the list lags behind; `speed`: how much faster machines boot."""
        self.machine_types = {machine_type.name: machine_type for machine_type in machine_types}
        self.list_lag_s = list_lag_s
        self.rng = rng
        self.speed = speed
        self.machines: dict[str, Machine] = {}
        self.claims: dict[str, list[str]] = {}  # claim -> the machines that it has rented
        self.capacity: dict[Capacity, int] = {}  # kinds of machines without an entry: no limit
        self.rented = 0  # machines so far
        self.past: list[MachineListSnapshot] = []  # oldest first, the first being the one shown

    def rent(self, claim: str, kind: Capacity, count: int, now: float) -> list[str]:
        """Rent at most `count` machines, fewer if the capacity ends; returns their ids.

        The same claim once more rents nothing and returns the same ids.
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

    def _rented_count(self, kind: Capacity) -> int:
        return sum(
            (machine.machine_type.name, machine.zone, machine.spot) == kind
            for machine in self.machines.values()
        )

    def _add_machine(self, machine_type: MachineType, kind: Capacity, now: float) -> str:
        """Start to boot one machine; returns its id."""
        self.rented += 1
        machine_id = f"i-{self.rented:06d}"
        boot_s = machine_type.boot_s * self.rng.uniform(*BOOT_TIME_FACTORS) / self.speed
        self.machines[machine_id] = Machine(
            machine_id, machine_type, kind.zone, kind.spot, now, now + boot_s
        )
        return machine_id

    def delete(self, machine_ids: list[str]) -> list[Machine]:
        """Delete machines; returns those deleted. Unknown ids are ignored.

        Raises MalformedRequestError for more ids than one request may have.
        """
        if len(machine_ids) > MAX_DELETIONS_PER_REQUEST:
            raise TooManyDeletionsError(len(machine_ids))
        return [
            self.machines.pop(machine_id)
            for machine_id in machine_ids
            if machine_id in self.machines
        ]

    def take_back(self, count: int, notice_s: float, now: float, zone: str = "") -> list[Machine]:
        """Announce that machines will be taken back, after about `notice_s` seconds.

        At most `count` running ones: spot machines or, with a zone, any machines of that zone.
        """
        candidates = [
            machine
            for machine in self.machines.values()
            if machine.up
            and machine.taken_at is None
            and (machine.zone == zone if zone else machine.spot)
        ]
        for machine in candidates[:count]:
            machine.taken_at = now + notice_s * self.rng.uniform(*NOTICE_FACTORS)
        return candidates[:count]

    def tick(self, now: float) -> CloudTick:
        """Boot and take back the machines that are due, and add to the history of the list."""
        taken_back = [
            machine
            for machine in self.machines.values()
            if machine.taken_at is not None and machine.taken_at <= now
        ]
        for machine in taken_back:
            del self.machines[machine.id]
        booted = [
            machine for machine in self.machines.values() if not machine.up and machine.up_at <= now
        ]
        for machine in booted:
            machine.up = True
        self.past.append(MachineListSnapshot(now, self._current_list(now)))
        while len(self.past) > 1 and self.past[1].taken_at <= now - self.list_lag_s:
            del self.past[0]
        return CloudTick(booted, taken_back)

    def listed(self, start: str, most: int) -> MachineListPage:
        """A page of the list as it was `list_lag_s` ago: ids after `start`, in their order."""
        machines = self.past[0].machines if self.past else []
        following = [machine for machine in machines if machine.machine_id > start]
        return MachineListPage(following[:most], len(following) > most)

    def _current_list(self, now: float) -> list[CloudMachine]:
        """All machines in the order of their ids, with their ages in seconds."""
        return [
            CloudMachine(
                machine.id,
                machine.address,
                machine.machine_type.name,
                machine.zone,
                machine.spot,
                "running" if machine.up else "booting",
                now - machine.rented_at,
            )
            for _, machine in sorted(self.machines.items())
        ]
