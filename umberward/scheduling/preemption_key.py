"""The rule that says which work may preempt which (PROTOCOL, "Preemption"). No I/O."""

from __future__ import annotations

from typing import NamedTuple


class PreemptionKey(NamedTuple):
    """The properties of a job that decide which work may preempt which.

    `accelerated`: whether its tasks use accelerators. `precedence`: its place in the service order,
    smallest first: 0 for work of the highest priority or within its team's guarantee, else 1; then
    the priority.
    """

    accelerated: bool
    priority: int
    precedence: tuple[int, int]


def may_preempt(preemptor: PreemptionKey, victim: PreemptionKey) -> bool:
    """Tell whether work with the key `preemptor` may stop work with the key `victim`."""
    # Ordinary work never preempts accelerated work, whatever their precedence. So accelerated work
    # may preempt ordinary work of lower priority as well, and the two cannot preempt each other in
    # turn.
    if preemptor.accelerated != victim.accelerated:
        return preemptor.accelerated and (
            victim.priority > preemptor.priority or victim.precedence > preemptor.precedence
        )
    return victim.precedence > preemptor.precedence
