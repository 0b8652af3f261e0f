"""Which tasks on a machine to preempt so that other work finds room. Pure."""

from __future__ import annotations

from typing import NamedTuple

from umberward.core.types import Instant, Resources
from umberward.scheduling.jobs import Placement


class VictimCost(NamedTuple):
    """What a preemption costs; the smaller, the better: a low priority first, then little loss."""

    negated_priority: float  # of the most important victim, whose priority figure is the smallest
    lost_work: float  # core-seconds that are done again


class VictimPlan(NamedTuple):
    """The tasks to preempt on one machine, and the cost of that."""

    cost: VictimCost
    victims: list[Placement]


def lost_work(placement: Placement, now: Instant) -> float:
    """Return the core-seconds that are done again if this attempt is stopped at once.

    On average half of a checkpoint interval is lost, if there are checkpoints.
    """
    if placement.running_since is None:
        return 0.0
    lost_s = now - placement.running_since
    if placement.checkpoint_interval_s > 0:
        lost_s = min(lost_s, placement.checkpoint_interval_s / 2)
    return lost_s * placement.need.cores


def select_victims(
    need: Resources, free: Resources, candidates: list[Placement], now: Instant
) -> VictimPlan | None:
    """Return which of `candidates` to stop so that `need` finds room on their machine.

    None: nothing has to be stopped, or all of them would not be enough.
    """
    room = free
    victims: list[Placement] = []
    for placement in sorted(candidates, key=lambda p: (-p.priority, lost_work(p, now))):
        if need.fits(room):
            break
        room = room.plus(placement.need)
        victims.append(placement)
    if not victims or not need.fits(room):
        return None
    cost = VictimCost(
        -min(victim.priority for victim in victims),
        sum(lost_work(victim, now) for victim in victims),
    )
    return VictimPlan(cost, victims)
