"""Whom to stop so that other work finds room. Pure."""

from __future__ import annotations

from typing import NamedTuple

from umberward.core.types import Amount, Instant
from umberward.decisions.jobs import Placement


class Plan(NamedTuple):
    """Whom to stop on one machine, and the price: low rank first, then little loss."""

    cost: tuple[float, float]
    victims: list[Placement]


def loss(placement: Placement, now: Instant) -> float:
    """Core-seconds that are done again if this attempt is stopped at once."""
    if placement.running_at is None:
        return 0.0
    lost = now - placement.running_at
    if placement.saves_every > 0:
        lost = min(lost, placement.saves_every / 2)
    return lost * placement.need.cores


def plan(need: Amount, free: Amount, victims: list[Placement], now: Instant) -> Plan | None:
    """What of `victims` has to go so that the need finds room; None: all of it is not enough."""
    room = free
    picked: list[Placement] = []
    for placement in sorted(victims, key=lambda p: (-p.rank, loss(p, now))):
        if need.fits(room):
            break
        room = room.plus(placement.need)
        picked.append(placement)
    if not picked or not need.fits(room):
        return None
    return Plan((-min(p.rank for p in picked), sum(loss(p, now) for p in picked)), picked)
