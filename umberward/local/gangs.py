"""The gangs of simulated workers: tasks on several machines that run, stop and complete together.

Source: PROTOCOL, "Gangs". Times are seconds of the caller's clock; this module reads none.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from umberward.protocol import wire

if TYPE_CHECKING:
    from umberward.local.workercore import TaskAttempt


class GangAttempt(NamedTuple):
    """Identifies an attempt of a gang; each new attempt starts all tasks of the gang again."""

    job_id: str
    attempt: int


class Gang:
    """The tasks of one attempt of a gang, by name, and its common progress.

    `saved_s` is the progress that its job had saved when the attempt began. A task's `run_s` is how
    long it has run on its machine in this attempt, and the slowest one sets the gang's progress.
    """

    def __init__(self, saved_s: float) -> None:
        """Start without any tasks."""
        self.saved_s = saved_s
        self.members: dict[str, TaskAttempt] = {}
        self.first_kill_at = math.inf  # of an orderly stop
        self.stopped_progress_s = 0.0  # the progress at that moment
        self.failed = False  # a task has ended early

    @property
    def is_stopping(self) -> bool:
        """Whether a task has been stopped with time for a checkpoint: progress has ended."""
        return self.first_kill_at < math.inf

    def progress_s(self) -> float:
        """The progress of the job, at the speed of the slowest task."""
        return self.saved_s + min((task.run_s for task in self.members.values()), default=0.0)

    def last_checkpoint_s(self, interval_s: float) -> float:
        """The progress that the gang falls back to if it fails: a multiple of the interval."""
        if interval_s <= 0:
            return 0.0
        return math.floor(self.progress_s() / interval_s) * interval_s

    def stop(self, now: float) -> None:
        """Begin an orderly stop, or continue one: a task is told to stop."""
        if not self.is_stopping:
            self.first_kill_at = now
            self.stopped_progress_s = self.progress_s()

    def is_complete(self, task_count: int) -> bool:
        """Whether all tasks have started and fetched their image."""
        return len(self.members) == task_count and all(
            task.phase in (wire.WAITING_FOR_GANG, wire.RUNNING) for task in self.members.values()
        )

    def is_done(self, task_count: int) -> bool:
        """Whether every task has run for its time."""
        return len(self.members) == task_count and all(
            task.phase == wire.RUNNING and task.remaining_s <= 0 and task.planned_cause == wire.DONE
            for task in self.members.values()
        )

    def has_hanging_member(self, now: float, notice_s: float) -> bool:
        """Whether a task has not advanced for `notice_s`, as its machine hangs."""
        return any(now - task.advanced_at > notice_s for task in self.members.values())

    def all_told(self) -> bool:
        """Whether all tasks were stopped in time for a common checkpoint."""
        return not self.failed and all(
            task.phase == wire.CHECKPOINTING for task in self.members.values()
        )
