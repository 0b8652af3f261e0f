"""A task graph under way, as the leader sees it: which tasks are over and which may start. No I/O.

Each kind of a graph's tasks is one array of the scheduler (`DagJob`).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from umberward.core.types import Version
from umberward.graphs import records
from umberward.graphs.graph_job import DagJob
from umberward.graphs.model import GraphId, Shape
from umberward.graphs.records import GraphRecord, RunRecord
from umberward.scheduling.jobs import Job


class AcceptedGraph(NamedTuple):
    """An accepted graph: its live record and the version of that record."""

    id: GraphId
    record: GraphRecord
    version: Version


class SchedulerCallbacks(NamedTuple):
    """What a graph asks of the scheduler.

    `request_pass`: tasks of this array may start. `progress_changed`: the array has something to
    store. `withdraw`: the array's task of this index is to be stopped, as it is over.
    """

    request_pass: Callable[[Job], None]
    progress_changed: Callable[[Job], None]
    withdraw: Callable[[Job, int], None]


class LiveGraph:
    """One graph: which of its tasks are over, and which of the others may start.

    A position is a task's place in the graph's topological order; an index is its number within
    its array.
    """

    def __init__(
        self,
        accepted: AcceptedGraph,
        shape: Shape,
        progress: records.Progress,
        value_limit: int,
        callbacks: SchedulerCallbacks,
    ) -> None:
        """Create the graph from what is stored of its progress.

        `value_limit` is the largest value of the state service, in bytes.
        """
        self.id = accepted.id
        self.record = accepted.record
        self.options = accepted.record.options
        self.version = accepted.version
        self.shape = shape
        self.callbacks = callbacks
        # By position: how many of the tasks that this one needs directly are not done yet.
        self.unmet_needs = [len(needs) for needs in shape.needs]
        # Position of each task that will not run -> position of the failed task that it needs.
        self.not_run: dict[int, int] = {}
        self.jobs = [
            self._create_job(kind, progress, value_limit) for kind in range(len(shape.kinds))
        ]
        self._restore()

    def _create_job(self, kind: int, progress: records.Progress, value_limit: int) -> DagJob:
        """Create the array of one kind from its stored progress."""
        run, version = progress.runs.get(kind, (RunRecord(), 0))
        failures = progress.failed.get(kind, [])
        return DagJob(self, kind, run, Version(version), failures, value_limit)

    def _restore(self) -> None:
        """Derive what may start from the stored progress, which may lack the latest events."""
        failed = {
            self.shape.members[job.kind][failure.number]
            for job in self.jobs
            for failure in job.failures
        }
        for position in sorted(failed):
            self._give_up_dependents(position)
        for position in range(len(self.shape)):
            if self.is_over(position) and position not in failed and position not in self.not_run:
                for dependent in self.shape.heirs[position]:
                    self.unmet_needs[dependent] -= 1
        for position in range(len(self.shape)):
            if not self.unmet_needs[position] and not self.is_over(position):
                kind, index = self.shape.place[position]
                self.jobs[kind].task_ready(index)

    @property
    def ended(self) -> bool:
        """Whether the graph's end may be stored: all that it rests on is stored."""
        if any(job.progress_unstored for job in self.jobs):
            return False
        return all(job.complete for job in self.jobs) or (
            self.options.on_failure == "cancel_rest" and any(job.failures for job in self.jobs)
        )

    def end(self, at: float) -> records.EndRecord:
        """Build the end record; `at` is the time on the leader's wall clock, in seconds."""
        failed = sum(len(job.failures) for job in self.jobs)
        over = sum(job.done_count for job in self.jobs)
        done = over - failed - len(self.not_run)
        return records.EndRecord(
            records.FAILED if failed else records.DONE,
            self.record,
            round(at, 3),
            done,
            failed,
            len(self.shape) - done - failed,
        )

    def is_over(self, position: int) -> bool:
        """Whether the task at `position` has its final answer."""
        kind, index = self.shape.place[position]
        return self.jobs[kind].is_done(index)

    def is_ready(self, kind: int, index: int) -> bool:
        """Whether all that the task needs is done."""
        return not self.unmet_needs[self.shape.members[kind][index]]

    # ---- what happens to tasks -----------------------------------------------------------

    def task_done(self, kind: int, index: int) -> None:
        """Start what needed only this task.

        The cost is that of the task's direct dependents, however large the graph is.
        """
        startable_kinds: dict[int, None] = {}
        for dependent in self.shape.heirs[self.shape.members[kind][index]]:
            self.unmet_needs[dependent] -= 1
            if not self.unmet_needs[dependent] and not self.is_over(dependent):
                place = self.shape.place[dependent]
                self.jobs[place.kind].task_ready(place.number)
                startable_kinds[place.kind] = None
        for startable_kind in startable_kinds:
            self.callbacks.request_pass(self.jobs[startable_kind])

    def was_started(self, kind: int, index: int) -> None:
        """Infer from a started task that all that it needs was done.

        A former leader may have started it without having stored that. Otherwise the needed tasks
        would run again beside those that build on their results.
        """
        position = self.shape.members[kind][index]
        if not self.unmet_needs[position]:
            return
        for need in self.shape.before(position):
            place = self.shape.place[need]
            job = self.jobs[place.kind]
            if not job.is_done(place.number):
                self.callbacks.withdraw(job, place.number)
                job.mark_over(place.number)
                self.task_done(*place)
                self.callbacks.progress_changed(job)

    def task_failed(self, job: DagJob, index: int) -> None:
        """Give up what needs this task, which has failed for good."""
        self.callbacks.progress_changed(job)
        self._give_up_dependents(self.shape.members[job.kind][index])

    def retry_task(self, job: DagJob, index: int) -> None:
        """Have the task placed once more."""
        job.put_back(index)
        self.callbacks.request_pass(job)

    def _give_up_dependents(self, position: int) -> None:
        """Mark all that needs this failed task as over; none of it was started."""
        for dependent in self.shape.spread(position, self.not_run):
            kind, index = self.shape.place[dependent]
            job = self.jobs[kind]
            if not job.is_done(index):
                job.mark_over(index)
                self.callbacks.progress_changed(job)
