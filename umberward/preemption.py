"""Whom to stop so that other work finds room. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from umberward.jobs import Placement
from umberward.types import Amount, Instant, MachineId


class Option(NamedTuple):
    machine: MachineId
    free: Amount
    held: list[Placement]
    has_image: bool


def loss(placement: Placement, now: Instant) -> float:
    """Core-seconds that are done again if this attempt is stopped at once."""
    if placement.running_at is None:
        return 0.0
    lost = now - placement.running_at
    if placement.saves_every > 0:
        lost = min(lost, placement.saves_every / 2)
    return lost * placement.need.cores


def choose(
    need: Amount,
    may_stop: Callable[[Placement], bool],
    options: Iterable[Option],
    now: Instant,
    taken: set[int],
) -> tuple[MachineId, list[Placement]] | None:
    """A machine and the victims on it: a cached image first, then low rank, then little loss."""
    best: tuple[MachineId, list[Placement]] | None = None
    best_cost: tuple[float, float, float] | None = None
    for option in options:
        if not need.fits(_all_of(option, may_stop, taken)):
            continue
        victims = [p for p in option.held if p.stop is None and id(p) not in taken and may_stop(p)]
        room = option.free
        picked: list[Placement] = []
        for placement in sorted(victims, key=lambda p: (-p.rank, loss(p, now))):
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
        if best_cost is None or cost < best_cost:
            best, best_cost = (option.machine, picked), cost
    return best


def _all_of(option: Option, may_stop: Callable[[Placement], bool], taken: set[int]) -> Amount:
    room = option.free
    for placement in option.held:
        if placement.stop is None and id(placement) not in taken and may_stop(placement):
            room = room.plus(placement.need)
    return room
