"""The rule that says which work may preempt which (PROTOCOL, "Preemption"). No I/O."""

from __future__ import annotations

from typing import NamedTuple


class PreemptionKey(NamedTuple):
    """Everything about a job that decides which other work may preempt its tasks.

    `accelerated`: whether its tasks use accelerators; `standing`: the order of service, the
    smaller the earlier: 0 or 1 for work within or beyond its team's guarantee, then the priority.
    """

    accelerated: bool
    priority: int
    standing: tuple[int, int]


def may_preempt(mine: PreemptionKey, other: PreemptionKey) -> bool:
    """Whether work with the key `mine` may stop work with the key `other`."""
    # Accelerated work is never stopped for ordinary work, whatever their standing. Therefore it
    # may stop ordinary work of lower priority, and the two cannot stop each other in turn.
    if mine.accelerated != other.accelerated:
        return mine.accelerated and (
            other.priority > mine.priority or other.standing > mine.standing
        )
    return other.standing > mine.standing
