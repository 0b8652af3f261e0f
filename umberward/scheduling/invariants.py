"""What must hold whatever goes wrong, checked where it would break. No I/O.

These checks repeat what the decisions before them rest on: a violation is a fault of this program.
In service the action is refused, one line says what was about to happen, and it is counted; in
tests it raises. Each check costs a few look-ups by key.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import Any

from umberward.core.log import logger
from umberward.core.types import Attempt, TaskId
from umberward.scheduling.jobs import Job, Placement
from umberward.scheduling.machines import Machine

log = logger(__name__)


class Invariant(StrEnum):
    ONE_ATTEMPT_HELD = "one_attempt_held"  # no two attempts of a task have a placement
    STARTED_ALONE = "started_alone"  # no other attempt may be on a machine or under way
    STARTED_WHILE_LIVE = "started_while_live"  # nothing starts of a job that is known to be over
    FORGOTTEN_FOR_GOOD = "forgotten_for_good"  # no start of a forgotten attempt may arrive


class InvariantViolationError(AssertionError):
    """An invariant does not hold; raised in tests only."""


class Invariants:
    raises = False  # set by the tests

    def __init__(self) -> None:
        self.violations: Counter[Invariant] = Counter()

    def may_hold(self, machine: Machine, job: Job, placement: Placement) -> bool:
        """Whether the placement may be added to the books."""
        other = job.placements.get(placement.task.number) or machine.placements.get(placement.task)
        if other is None:
            return True
        return self._violated(
            Invariant.ONE_ATTEMPT_HELD, placement, held_on=other.machine, held=other.attempt
        )

    def may_start(self, job: Job | None, placement: Placement, strays: Counter[TaskId]) -> bool:
        """Whether a start of the placement may leave; `strays`: tasks that workers run without a
        placement."""
        if job is None or job.ended:
            return self._violated(Invariant.STARTED_WHILE_LIVE, placement, known=job is not None)
        other = job.placements.get(placement.task.number)
        if other is not placement:
            held_on = None if other is None else other.machine
            return self._violated(Invariant.STARTED_ALONE, placement, held_on=held_on)
        if strays and placement.task in strays:
            return self._violated(Invariant.STARTED_ALONE, placement, strays=strays[placement.task])
        return True

    def may_forget(self, machine: Machine, task: TaskId, attempt: Attempt) -> bool:
        """Whether the worker may be told to forget the attempt."""
        if not machine.inflight_starts.may_arrive(task, attempt):
            return True
        return self._refused(
            Invariant.FORGOTTEN_FOR_GOOD,
            task=task,
            attempt=attempt,
            machine=machine.id,
            token_seen=machine.token_seen,
            session=machine.incarnation,
        )

    def _violated(self, invariant: Invariant, placement: Placement, **evidence: Any) -> bool:
        return self._refused(
            invariant,
            task=placement.task,
            attempt=placement.attempt,
            machine=placement.machine,
            **evidence,
        )

    def _refused(self, invariant: Invariant, **evidence: Any) -> bool:
        self.violations[invariant] += 1
        if self.raises:
            raise InvariantViolationError(f"{invariant}: {evidence}")
        log.error(
            "invariant_violated",
            invariant=invariant.value,
            count=self.violations[invariant],
            **evidence,
        )
        return False
