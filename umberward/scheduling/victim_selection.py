"""Whom to stop so that other work finds room. Pure."""

from __future__ import annotations

from typing import NamedTuple

from umberward.core.types import Instant, Resources
from umberward.scheduling.jobs import Placement


class VictimPlan(NamedTuple):
    """Whom to stop on one machine, and the price: low rank first, then little loss."""

    cost: tuple[float, float]
    victims: list[Placement]


def lost_work(placement: Placement, now: Instant) -> float:
    """Core-seconds that are done again if this attempt is stopped at once."""
    if placement.running_since is None:
        return 0.0
    lost = now - placement.running_since
    if placement.checkpoint_interval_s > 0:
        lost = min(lost, placement.checkpoint_interval_s / 2)
    return lost * placement.need.cores


def select_victims(
    need: Resources, free: Resources, victims: list[Placement], now: Instant
) -> VictimPlan | None:
    """What of `victims` has to go so that the need finds room; None: all of it is not enough."""
    room = free
    picked: list[Placement] = []
    for placement in sorted(victims, key=lambda p: (-p.priority, lost_work(p, now))):
        if need.fits(room):
            break
        room = room.plus(placement.need)
        picked.append(placement)
    if not picked or not need.fits(room):
        return None
    return VictimPlan(
        (-min(p.priority for p in picked), sum(lost_work(p, now) for p in picked)), picked
    )
