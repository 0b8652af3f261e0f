"""What simulated workers have in common: gangs, checkpoints and completed tasks. No I/O."""

from __future__ import annotations

from umberward.local.gangs import Gang
from umberward.local.task_attempts import GangAttempt, TaskAttempt
from umberward.protocol import wire


class SharedTaskState:
    """The gangs, checkpoints and completed tasks of all machines.

    All workers share one instance: the tasks of a gang run on several machines, and checkpoints can
    be read from any machine.
    """

    def __init__(self) -> None:
        """Start without any tasks."""
        self.gangs: dict[GangAttempt, Gang] = {}
        self.saved_run_s: dict[str, float] = {}  # by checkpoint id: run time saved by a checkpoint
        self.done: set[str] = set()  # tasks that have completed on any machine

    def join(self, task: TaskAttempt) -> Gang:
        """Add a task to its gang."""
        if task.gang_attempt not in self.gangs:
            self.gangs[task.gang_attempt] = Gang(self.saved_run_s.get(task.job_id, 0.0))
        gang = self.gangs[task.gang_attempt]
        gang.add(task)
        return gang

    def gang_of(self, task: TaskAttempt) -> Gang:
        """The gang of an attempt; one of its own if the task ran twice and its gang has ended."""
        return self.gangs.get(task.gang_attempt) or self.join(task)

    def leave(self, task: TaskAttempt, now: float, notice_s: float) -> None:
        """Remove a task that has ended early; the running ones notice that after `notice_s`.

        What the gang has done since its last checkpoint is lost, unless it was stopped in an
        orderly way.
        """
        gang = self.gangs.get(task.gang_attempt)
        if gang is None or gang.members.get(task.name) is not task:
            return
        started = task.phase in (wire.RUNNING, wire.CHECKPOINTING)
        if started and not task.stored and not gang.failed:
            gang.failed = True
            interval_s = task.required_spec.checkpoint_interval_s
            self.save_progress(task, gang.last_checkpoint_s(interval_s))
        gang.remove(task)
        if task.phase == wire.RUNNING:
            gang.notice_loss(now + notice_s)
        if not gang.members:
            del self.gangs[task.gang_attempt]

    def save_progress(self, task: TaskAttempt, run_s: float) -> None:
        """Store a checkpoint; one of less progress has no effect."""
        saved_s = self.saved_run_s.get(task.checkpoint_id, 0.0)
        self.saved_run_s[task.checkpoint_id] = max(saved_s, run_s)

    def complete(self, gang: Gang) -> None:
        """End all tasks of a gang that has run for its time, on every machine."""
        members = list(gang.members.values())
        del self.gangs[members[0].gang_attempt]
        for member in members:
            self.done.add(member.name)
        for member in members:
            member.worker._exit(member, wire.DONE)  # noqa: SLF001 - the tasks end at one moment
