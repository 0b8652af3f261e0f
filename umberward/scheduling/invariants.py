"""Safety invariants, checked at run time before each action that could break them. No I/O.

The checks repeat what earlier decisions rely on, so a violation is a bug. In production the action
is refused, logged in one line and counted; in tests the check raises. Each check costs a few
look-ups by key.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Iterable
from enum import StrEnum

from umberward.core.log import logger
from umberward.core.types import Attempt, TaskId, parse_task_id
from umberward.protocol.wire import EXITED, KILL, Heartbeat, TaskCommand, TaskStatus
from umberward.scheduling.jobs import Job, Placement
from umberward.scheduling.machines import Machine

log = logger(__name__)


class Invariant(StrEnum):
    """Conditions that must hold whatever fails; the values are logged."""

    ONE_ATTEMPT_HELD = "one_attempt_held"  # held: at most one attempt of a task has a placement
    STARTED_ALONE = "started_alone"  # no other attempt is on a machine or in flight
    STARTED_WHILE_LIVE = "started_while_live"  # a task is started only if its job is live
    FORGOTTEN_FOR_GOOD = "forgotten_for_good"  # no start of a forgotten attempt can arrive
    RENEWED_WITH_STOPS = "renewed_with_stops"  # a renewal stops each listed task of an ended job


class InvariantViolationError(AssertionError):
    """An invariant is violated; raised in tests only."""

    def __init__(self, invariant: Invariant, evidence: dict[str, object]) -> None:
        """`evidence` holds the fields that are logged in production."""
        super().__init__(f"{invariant}: {evidence}")


class Invariants:
    """Checks the invariants and counts their violations."""

    raise_on_violation = False  # set by the tests

    def __init__(self) -> None:
        """Start without violations."""
        self.violations: Counter[Invariant] = Counter()

    def may_place(self, machine: Machine, job: Job, placement: Placement) -> bool:
        """Whether the placement may be added to its job and machine."""
        other = job.placements.get(placement.task.number) or machine.placements.get(placement.task)
        if other is None:
            return True
        return self._refuse_placement(
            Invariant.ONE_ATTEMPT_HELD, placement, held_on=other.machine, held=other.attempt
        )

    def may_start(
        self, job: Job | None, placement: Placement, tasks_without_placement: Counter[TaskId]
    ) -> bool:
        """Whether a start of the placement may be sent.

        `tasks_without_placement` counts the tasks that workers run without a placement.
        """
        if job is None or job.ended:
            return self._refuse_placement(
                Invariant.STARTED_WHILE_LIVE, placement, known=job is not None
            )
        other = job.placements.get(placement.task.number)
        if other is not placement:
            held_on = None if other is None else other.machine
            return self._refuse_placement(Invariant.STARTED_ALONE, placement, held_on=held_on)
        if tasks_without_placement and placement.task in tasks_without_placement:
            return self._refuse_placement(
                Invariant.STARTED_ALONE, placement, strays=tasks_without_placement[placement.task]
            )
        return True

    def may_forget(self, machine: Machine, task_id: TaskId, attempt: Attempt) -> bool:
        """Whether the worker may be told to forget the attempt, under the machine's token."""
        if machine.inflight_starts.is_void_under(task_id, attempt, machine.fencing_token):
            return True
        return self._refuse(
            Invariant.FORGOTTEN_FOR_GOOD,
            task=task_id,
            attempt=attempt,
            machine=machine.id,
            token_seen=machine.token_seen,
            token=machine.fencing_token,
            session=machine.incarnation,
        )

    def may_renew(
        self, heartbeat: Heartbeat, commands: list[TaskCommand], live_jobs: Container[str]
    ) -> bool:
        """Whether a response with these commands may renew the session of the heartbeat's worker.

        `live_jobs` are the jobs that the leader knows as live.
        """
        ended = running_without_live_job(heartbeat.tasks, live_jobs)
        if not ended:
            return True
        stopped = {
            (command.task_id, command.attempt)
            for command in commands
            if command.verb == KILL and not command.grace_s
        }
        unstopped = [status for status in ended if (status.task_id, status.attempt) not in stopped]
        if not unstopped:
            return True
        return self._refuse(
            Invariant.RENEWED_WITH_STOPS,
            machine=heartbeat.machine_id,
            task=parse_task_id(unstopped[0].task_id),
            attempt=unstopped[0].attempt,
            unstopped=len(unstopped),
        )

    def _refuse_placement(
        self, invariant: Invariant, placement: Placement, **evidence: object
    ) -> bool:
        """Refuse an action on a placement, and return False."""
        return self._refuse(
            invariant,
            task=placement.task,
            attempt=placement.attempt,
            machine=placement.machine,
            **evidence,
        )

    def _refuse(self, invariant: Invariant, **evidence: object) -> bool:
        """Count and log a violation, and return False; in tests, raise."""
        self.violations[invariant] += 1
        if self.raise_on_violation:
            raise InvariantViolationError(invariant, evidence)
        log.error(
            "invariant_violated",
            invariant=invariant.value,
            count=self.violations[invariant],
            **evidence,
        )
        return False


def running_without_live_job(
    tasks: Iterable[TaskStatus], live_jobs: Container[str]
) -> list[TaskStatus]:
    """Return the listed attempts that have not exited and whose job is not live."""
    ended = []
    live_prefix = "/"  # of the ids of the latest live job's tasks, which mostly follow each other
    for status in tasks:
        if status.task_id.startswith(live_prefix) or status.phase == EXITED:
            continue
        job_id = status.task_id.partition("/")[0]
        if job_id in live_jobs:
            live_prefix = f"{job_id}/"
        else:
            ended.append(status)
    return ended
