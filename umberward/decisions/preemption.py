"""Whom to stop so that other work finds room. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from umberward.core.types import Amount, Instant, MachineId
from umberward.decisions.jobs import Placement


class Option(NamedTuple):
    machine: MachineId
    free: Amount
    victims: list[Placement]  # what may be stopped
    has_image: bool


def loss(placement: Placement, now: Instant) -> float:
    """Core-seconds that are done again if this attempt is stopped at once."""
    if placement.running_at is None:
        return 0.0
    lost = now - placement.running_at
    if placement.saves_every > 0:
        lost = min(lost, placement.saves_every / 2)
    return lost * placement.need.cores


def plans(
    need: Amount, options: Iterable[Option], now: Instant
) -> list[tuple[MachineId, list[Placement]]]:
    """Machines with the victims on each: a cached image first, then low rank, then little loss."""
    found: list[tuple[tuple[float, float, float], MachineId, list[Placement]]] = []
    for option in options:
        room = option.free
        picked: list[Placement] = []
        for placement in sorted(option.victims, key=lambda p: (-p.rank, loss(p, now))):
            if need.fits(room):
                break
            room = room.plus(placement.need)
            picked.append(placement)
        if not picked or not need.fits(room):
            continue
        cost = (
            0.0 if option.has_image else 1.0,
            -min(p.rank for p in picked),
            sum(loss(p, now) for p in picked),
        )
        found.append((cost, option.machine, picked))
    found.sort(key=lambda plan: plan[:2])
    return [(machine, picked) for _, machine, picked in found]
