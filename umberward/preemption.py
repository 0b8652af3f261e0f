"""Whom to stop so that work of a higher rank finds room. Pure."""

from __future__ import annotations

from collections.abc import Iterable

from umberward.jobs import Placement
from umberward.types import Amount, Instant, MachineId


def loss(placement: Placement, now: Instant) -> float:
    """Core-seconds that are done again if this attempt is stopped."""
    if placement.running_at is None:
        return 0.0
    return (now - placement.running_at) * placement.need.cores


def choose(
    need: Amount,
    rank: int,
    machines: Iterable[tuple[MachineId, Amount, list[Placement]]],
    now: Instant,
    taken: set[int],
) -> list[Placement]:
    """The victims on one machine, of lower rank than `rank`, that lose the least work."""
    best: list[Placement] = []
    best_cost: tuple[float, float] | None = None
    for _, free, held in machines:
        victims = [p for p in held if p.rank > rank and p.stop is None and id(p) not in taken]
        if not victims:
            continue
        room = free
        picked: list[Placement] = []
        for placement in sorted(victims, key=lambda p: (-p.rank, loss(p, now))):
            if need.fits(room):
                break
            room = room.plus(placement.need)
            picked.append(placement)
        if not picked or not need.fits(room):
            continue
        cost = (-min(p.rank for p in picked), sum(loss(p, now) for p in picked))
        if best_cost is None or cost < best_cost:
            best, best_cost = picked, cost
    return best
