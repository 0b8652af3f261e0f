"""The cloud's semantics, without I/O: rentals with claims, boot times, capacity, a list that lags,
machines that are taken back."""

from __future__ import annotations

import random
from typing import NamedTuple

from umberward.protocol.wire import (
    MAX_DELETIONS_PER_REQUEST,
    MAX_MACHINES_PER_REQUEST,
    CloudMachine,
    MachineType,
)

BOOT_SPREAD = (0.6, 1.5)  # of the nominal boot time
NOTICE_SPREAD = (0.5, 1.5)


class NoCapacityError(Exception):
    pass


class MalformedRequestError(Exception):
    pass


class Machine:
    def __init__(
        self, id: str, sku: MachineType, zone: str, spot: bool, rented_at: float, up_at: float
    ) -> None:
        self.id = id
        self.sku = sku
        self.zone = zone
        self.spot = spot
        self.rented_at = rented_at
        self.up_at = up_at
        self.up = False
        self.address = ""
        self.taken_at: float | None = None  # the cloud takes it back then


class Capacity(NamedTuple):
    """How many machines of a type, zone and kind there are at most."""

    sku: str
    zone: str
    spot: bool


class CloudCore:
    def __init__(
        self, skus: list[MachineType], list_lag_s: float, rng: random.Random, speed: float
    ) -> None:
        self.skus = {sku.name: sku for sku in skus}
        self.list_lag_s = list_lag_s
        self.rng = rng
        self.speed = speed
        self.machines: dict[str, Machine] = {}
        self.claims: dict[str, list[str]] = {}
        self.capacity: dict[Capacity, int] = {}
        self.rented = 0
        self.past: list[tuple[float, list[CloudMachine]]] = []  # what was there when

    def rent(
        self, claim: str, flavor: str, zone: str, spot: bool, many: int, now: float
    ) -> list[str]:
        """The machines' names; the same claim rents nothing twice. Raises NoCapacity, Malformed."""
        if claim in self.claims:
            return self.claims[claim]
        sku = self.skus.get(flavor)
        if sku is None or zone not in sku.zones or not 0 < many <= MAX_MACHINES_PER_REQUEST:
            raise MalformedRequestError(f"{flavor} in {zone}, {many} times")
        kind = Capacity(flavor, zone, spot)
        there = sum((m.sku.name, m.zone, m.spot) == kind for m in self.machines.values())
        many = min(many, self.capacity.get(kind, MAX_MACHINES_PER_REQUEST) - there)
        if many <= 0:
            raise NoCapacityError
        names = []
        for _ in range(many):
            self.rented += 1
            id = f"i-{self.rented:06d}"
            boot = sku.boot_s * self.rng.uniform(*BOOT_SPREAD) / self.speed
            self.machines[id] = Machine(id, sku, zone, spot, now, now + boot)
            names.append(id)
        self.claims[claim] = names
        return names

    def delete(self, names: list[str]) -> list[Machine]:
        """The machines that are gone by this; unknown names are ignored. Raises Malformed."""
        if len(names) > MAX_DELETIONS_PER_REQUEST:
            raise MalformedRequestError(f"{len(names)} names")
        return [self.machines.pop(name) for name in names if name in self.machines]

    def take_back(self, count: int, notice_s: float, now: float, zone: str = "") -> list[Machine]:
        """Spot machines (or, with a zone, any of it) are told that they will be taken."""
        found = [
            m
            for m in self.machines.values()
            if m.up and m.taken_at is None and (m.zone == zone if zone else m.spot)
        ]
        for machine in found[:count]:
            machine.taken_at = now + notice_s * self.rng.uniform(*NOTICE_SPREAD)
        return found[:count]

    def tick(self, now: float) -> tuple[list[Machine], list[Machine]]:
        """Machines that are up since the last look, and those that were taken."""
        taken = [m for m in self.machines.values() if m.taken_at is not None and m.taken_at <= now]
        for machine in taken:
            del self.machines[machine.id]
        up = [m for m in self.machines.values() if not m.up and m.up_at <= now]
        for machine in up:
            machine.up = True
        self.past.append((now, self._hosts(now)))
        while len(self.past) > 1 and self.past[1][0] <= now - self.list_lag_s:
            del self.past[0]
        return up, taken

    def listed(self, start: str, most: int) -> tuple[list[CloudMachine], bool]:
        """As it was a while ago, after `start` in the order of names; whether there are more."""
        hosts = self.past[0][1] if self.past else []
        found = [host for host in hosts if host.machine_id > start]
        return found[:most], len(found) > most

    def _hosts(self, now: float) -> list[CloudMachine]:
        return [
            CloudMachine(
                m.id,
                m.address,
                m.sku.name,
                m.zone,
                m.spot,
                "running" if m.up else "booting",
                now - m.rented_at,
            )
            for _, m in sorted(self.machines.items())
        ]
