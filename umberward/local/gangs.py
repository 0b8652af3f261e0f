"""The gangs of simulated workers: tasks on several machines that run, stop and complete together.

Source: PROTOCOL, "Gangs". Times are seconds of the caller's clock; this module reads none.
"""

from __future__ import annotations

import math

from umberward.local.task_attempts import TaskAttempt
from umberward.protocol import wire


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
        self._loss_noticed_at = math.inf  # when the running tasks notice the first such end
        # Results of checks of all members, kept as each member asks for them at each step.
        self._complete = False
        self._unfinished: TaskAttempt | None = None  # a member that had not run for its time
        self._hanging = (-math.inf, False)  # the time of the last check, and its result

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

    def add(self, task: TaskAttempt) -> None:
        """Add a task, which has to fetch its image."""
        self.members[task.name] = task
        self._complete = False

    def remove(self, task: TaskAttempt) -> None:
        """Remove a task that has ended early."""
        del self.members[task.name]
        self._complete = False
        self._unfinished = None

    def notice_loss(self, at: float) -> None:
        """Let the running tasks notice at this time that one has ended, unless they do earlier."""
        if at >= self._loss_noticed_at:
            return
        self._loss_noticed_at = at
        for task in self.members.values():
            if task.phase == wire.RUNNING:
                task.peer_loss_noticed_at = min(task.peer_loss_noticed_at, at)

    def is_complete(self, task_count: int) -> bool:
        """Whether all tasks have started and fetched their image."""
        if not self._complete:
            self._complete = len(self.members) == task_count and all(
                task.phase in (wire.WAITING_FOR_GANG, wire.RUNNING)
                for task in self.members.values()
            )
        return self._complete

    def is_done(self, task_count: int) -> bool:
        """Whether every task has run for its time."""
        if len(self.members) != task_count:
            return False
        if self._unfinished is None or _has_run(self._unfinished):
            unfinished = (task for task in reversed(self.members.values()) if not _has_run(task))
            self._unfinished = next(unfinished, None)
        return self._unfinished is None

    def has_hanging_member(self, now: float, notice_s: float) -> bool:
        """Whether a task has not advanced for `notice_s`, as its machine hangs."""
        if self._hanging[0] != now:
            hanging = any(now - task.advanced_at > notice_s for task in self.members.values())
            self._hanging = (now, hanging)
        return self._hanging[1]

    def all_told(self) -> bool:
        """Whether all tasks were stopped in time for a common checkpoint."""
        return not self.failed and all(
            task.phase == wire.CHECKPOINTING for task in self.members.values()
        )


def _has_run(task: TaskAttempt) -> bool:
    """Whether a task has run for its time and will end as done."""
    return task.phase == wire.RUNNING and task.remaining_s <= 0 and task.planned_cause == wire.DONE
