"""The failures of a job's tasks, and whether the job or machines are at fault. No I/O."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from umberward.core.types import Instant, MachineId

FAULTY_TASK_AFTER_MACHINES = 3  # a task that fails on that many machines is at fault itself


@dataclass(slots=True)
class TaskFailures:
    """The failures of one task that has not completed since."""

    machines: set[MachineId] = field(default_factory=set)
    retry_count: int = 0  # retries since the task was found at fault
    retry_not_before: float = -math.inf  # monotonic time


class JobFailures(ABC):
    """What is known of the failed and successful runs of a job's tasks.

    `attributes_failures_per_task`: whether the job itself decides for each task which failures
    are the fault of machines.
    """

    attributes_failures_per_task = False

    def __init__(self) -> None:
        """Start without any runs."""
        self.failed_machines: set[MachineId] = set()
        # How often a machine on which it had failed proved sound by a task of another job.
        self.failures_on_sound_machines = 0
        self.failures_by_task: dict[int, TaskFailures] = {}
        self.failed_under_previous_leader = False
        self.delayed_tasks: set[int] = set()  # tasks at fault, to be queued again after a pause
        self.faulty = False  # its tasks fail on every machine, so the job itself is at fault
        self.retry_count = 0  # retries since the job was found faulty
        self.longest_failed_run_s = 0.0
        self.started_replicas: set[int] = set()  # tasks that have run; used for services
        self.has_begun = False  # a task was reported as running
        self.known_to_work = False  # a task succeeded, or ran much longer than those that failed

    # ---- the tasks ---------------------------------------------------------------------

    @abstractmethod
    def is_done(self, index: int) -> bool:
        """Whether the task has completed."""

    @abstractmethod
    def requeue_task(self, index: int) -> None:
        """Queue the task to be started again."""

    @abstractmethod
    def remove_requeued(self, index: int) -> bool:
        """Take the task from the queue; False if it is not queued."""

    # ---- failures ----------------------------------------------------------------------

    def task_failed(self, index: int, machine: MachineId, now: Instant) -> None:
        """Record a failure on a machine. Only for jobs that attribute failures per task."""
        raise NotImplementedError

    def attribute_failures(self, machines: Mapping[MachineId, Any], now: Instant) -> bool:
        """Attribute the failures that are still open; return False if none are left.

        Only for jobs that attribute failures per task.
        """
        raise NotImplementedError

    def failures_blamed_on_job(self, index: int) -> bool:
        """Return whether failures of this task must not count against machines."""
        return self.faulty or self.task_at_fault(index)

    def task_at_fault(self, index: int) -> bool:
        """Return whether the task has failed on so many machines that it must be at fault itself.

        Other tasks of the job may work.
        """
        return len(self.task_machines(index)) >= FAULTY_TASK_AFTER_MACHINES

    def machine_at_fault(self, index: int) -> bool:
        """Return whether failures of this task can only be the fault of the machines.

        That is so if it completed elsewhere, or if the job works and the task failed nowhere else.
        """
        failed_once = len(self.task_machines(index)) <= 1
        return self.is_done(index) or (self.known_to_work and failed_once)

    def failed_elsewhere(self, index: int, machine: MachineId) -> bool:
        """Return whether the task's failure on the machine may be the fault of the job or task.

        That is so if the task, or any task of a job that is not known to work, has failed on
        another machine as well.
        """
        machines = self.failed_machines if not self.known_to_work else self.task_machines(index)
        return bool(machines - {machine})

    def task_machines(self, index: int) -> set[MachineId]:
        """Return the machines on which the task has failed."""
        failures = self.failures_by_task.get(index)
        return set() if failures is None else failures.machines

    @property
    def has_open_failures(self) -> bool:
        """Whether tasks have failed that have not completed since, or the job may be at fault."""
        failed = bool(self.failed_machines) or self.failed_under_previous_leader
        return bool(self.failures_by_task) or (failed and not self.known_to_work)

    def record_failure(self, index: int, machine: MachineId) -> None:
        """Record that the task failed on the machine."""
        self.failed_machines.add(machine)
        self.failures_by_task.setdefault(index, TaskFailures()).machines.add(machine)

    def delay_task(self, index: int, until: float) -> None:
        """Take a task at fault from the queue until the monotonic time `until`."""
        self.failures_by_task[index].retry_not_before = until
        if self.remove_requeued(index):
            self.delayed_tasks.add(index)

    def requeue_delayed_tasks(self, now: Instant) -> bool:
        """Queue the delayed tasks whose pause is over; return whether there was one."""
        due = [
            index
            for index in self.delayed_tasks
            if self.failures_by_task[index].retry_not_before <= now
        ]
        for index in due:
            self.requeue_task(index)
        return bool(due)
