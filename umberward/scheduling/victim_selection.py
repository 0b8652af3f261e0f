"""Selection of the tasks to preempt on one machine. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from umberward.core.types import Instant, Resources
from umberward.scheduling.jobs import Placement


class VictimCost(NamedTuple):
    """The cost of a preemption, smaller is better.

    Ordered by the priority of the most important victim (the lower the better), then by lost work.
    """

    negated_priority: float  # of the most important victim, whose priority is the smallest number
    lost_work: float  # core-seconds that must be repeated


class VictimPlan(NamedTuple):
    """The tasks to preempt on one machine, and the cost."""

    cost: VictimCost
    victims: list[Placement]


def lost_work(placement: Placement, now: Instant) -> float:
    """Return the core-seconds that must be repeated if this attempt is stopped now.

    A task with checkpoints loses half a checkpoint interval on average.
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
    """Return which of `candidates` to stop so that `need` fits on their machine.

    None: it fits already, or not even after stopping all of them.
    """
    available = free
    victims: list[Placement] = []
    for placement in sorted(candidates, key=lambda p: (-p.priority, lost_work(p, now))):
        if need.fits(available):
            break
        available = available.plus(placement.need)
        victims.append(placement)
    if not victims or not need.fits(available):
        return None
    cost = VictimCost(
        -min(victim.priority for victim in victims),
        sum(lost_work(victim, now) for victim in victims),
    )
    return VictimPlan(cost, victims)
