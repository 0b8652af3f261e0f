"""The state of each task of a graph, as reported to users. No I/O."""

from __future__ import annotations

import functools
from enum import StrEnum
from typing import Any, NamedTuple

from umberward.graphs import records
from umberward.graphs.graph_reader import StoredGraph
from umberward.graphs.model import Shape


class Phase(StrEnum):
    """Phases that are reported to users in addition to the final ones in `records`."""

    PENDING = "pending"
    RUNNING = "running"
    NOT_RUN = "not_run"


class _FinishedTasks(NamedTuple):
    """The finished tasks of one array: all below `base`, then one bit for each task."""

    base: int
    bits: int

    def contains(self, index: int) -> bool:
        """Whether the array's task `index` is finished."""
        return index < self.base or bool(self.bits >> (index - self.base) & 1)


NO_FINISHED_TASKS = _FinishedTasks(0, 0)


class TaskAnswers:
    """Reports each task's state from the stored records of a graph; final states never change."""

    def __init__(self, shape: Shape, stored: StoredGraph) -> None:
        """Determine the failed tasks and those that cannot run because of them."""
        self.shape = shape
        self.stored = stored
        self.failures = {
            shape.task_positions[kind][failure.number]: failure
            for kind, failures in stored.progress.failed.items()
            for failure in failures
        }
        # Position of a task that will not run -> position of the failed task that it needs.
        self.because: dict[int, int] = {}
        for position in sorted(self.failures):
            shape.mark_not_run(position, self.because)
        self._finished_tasks = {
            kind: _FinishedTasks(run.done_below, int(run.done_bitmap, 16))
            for kind, (run, _) in stored.progress.runs.items()
        }

    @functools.cached_property
    def done(self) -> int:
        """The number of tasks that succeeded."""
        return sum(
            1
            for position in range(len(self.shape))
            if self._is_finished(position)
            and position not in self.failures
            and position not in self.because
        )

    def answer(self, position: int) -> dict[str, Any]:
        """Return the response fields for the task at `position` in topological order."""
        if position in self.failures:
            failure = self.failures[position]
            return {
                "phase": records.FAILED,
                "cause": failure.cause,
                "machines": failure.machines,
            }
        if position in self.because:
            return self._not_run(self.because[position])
        if self._is_finished(position):
            return {"phase": records.DONE}
        end = self.stored.end
        if end is None:
            return {"phase": Phase.PENDING.value}
        if end.phase == records.CANCELLED:
            return {"phase": records.CANCELLED}
        # A task failed, and the graph's options request to cancel the rest in that case.
        return self._not_run(min(self.failures))

    def _not_run(self, failed_position: int) -> dict[str, Any]:
        """Return the response fields for a task that will not run because another failed."""
        return {"phase": Phase.NOT_RUN.value, "because": self.shape.names[failed_position]}

    def _is_finished(self, position: int) -> bool:
        """Whether the task is stored as finished: done, failed or never to run."""
        kind, index = self.shape.array_slots[position]
        return self._finished_tasks.get(kind, NO_FINISHED_TASKS).contains(index)
