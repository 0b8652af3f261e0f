"""The leader's state of an unfinished graph: which tasks are finished and which may start. No I/O.

The tasks of each kind form one array job of the scheduler (`GraphJob`).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from umberward.core.types import Version
from umberward.graphs import records
from umberward.graphs.graph_job import GraphJob
from umberward.graphs.model import GraphId, Shape
from umberward.graphs.records import ArrayProgressRecord, GraphRecord
from umberward.scheduling.jobs import Job


class AcceptedGraph(NamedTuple):
    """The live record of an accepted graph, with the version of that record."""

    id: GraphId
    record: GraphRecord
    version: Version


class SchedulerCallbacks(NamedTuple):
    """Calls from a graph to the scheduler.

    `request_pass`: tasks of this array may start. `progress_changed`: the array has progress to
    store. `stop_task`: stop the array's task with this index, as it is finished.
    """

    request_pass: Callable[[Job], None]
    progress_changed: Callable[[Job], None]
    stop_task: Callable[[Job, int], None]


class LiveGraph:
    """One graph: which of its tasks are finished, and which of the others may start.

    A position is a task's number in the graph's topological order; an index is its number in its
    array.
    """

    def __init__(
        self,
        accepted: AcceptedGraph,
        shape: Shape,
        progress: records.Progress,
        max_value_bytes: int,
        callbacks: SchedulerCallbacks,
    ) -> None:
        """Create the graph from its stored progress.

        `max_value_bytes` is the maximum size of a value in the state service, in bytes.
        """
        self.id = accepted.id
        self.record = accepted.record
        self.options = accepted.record.options
        self.version = accepted.version
        self.shape = shape
        self.callbacks = callbacks
        # By position: the number of direct needs that are not done yet.
        self.unmet_needs = [len(needs) for needs in shape.needs]
        # Position of a task that will not run -> position of the failed task that it needs.
        self.not_run: dict[int, int] = {}
        self.jobs = [
            self._create_job(kind, progress, max_value_bytes) for kind in range(len(shape.kinds))
        ]
        self._restore()

    def _create_job(self, kind: int, progress: records.Progress, max_value_bytes: int) -> GraphJob:
        """Create the array of one kind from its stored progress."""
        run, version = progress.runs.get(kind, (ArrayProgressRecord(), 0))
        failures = progress.failed.get(kind, [])
        return GraphJob(self, kind, run, Version(version), failures, max_value_bytes)

    def _restore(self) -> None:
        """Queue the startable tasks according to the stored progress, which may be out of date."""
        failed = {
            self.shape.task_positions[job.kind][failure.number]
            for job in self.jobs
            for failure in job.failures
        }
        for position in sorted(failed):
            self._mark_dependents_not_run(position)
        for position in range(len(self.shape)):
            if (
                self.is_finished(position)
                and position not in failed
                and position not in self.not_run
            ):
                for dependent in self.shape.dependents[position]:
                    self.unmet_needs[dependent] -= 1
        for position in range(len(self.shape)):
            if not self.unmet_needs[position] and not self.is_finished(position):
                kind, index = self.shape.array_slots[position]
                self.jobs[kind].task_ready(index)

    @property
    def ready_to_end(self) -> bool:
        """Whether the graph has ended and all progress on which its end depends is stored."""
        if any(job.progress_unstored for job in self.jobs):
            return False
        return all(job.complete for job in self.jobs) or (
            self.options.on_failure == "cancel_rest" and any(job.failures for job in self.jobs)
        )

    def build_end_record(self, at: float) -> records.EndRecord:
        """Build the end record; `at` is the leader's wall clock time, in seconds."""
        failed = sum(len(job.failures) for job in self.jobs)
        finished = sum(job.done_count for job in self.jobs)
        done = finished - failed - len(self.not_run)
        return records.EndRecord(
            records.FAILED if failed else records.DONE,
            self.record,
            round(at, 3),
            done,
            failed,
            len(self.shape) - done - failed,
        )

    def is_finished(self, position: int) -> bool:
        """Whether the task at `position` is done, failed permanently, or will not run."""
        kind, index = self.shape.array_slots[position]
        return self.jobs[kind].is_done(index)

    def is_ready(self, kind: int, index: int) -> bool:
        """Whether all tasks that this one needs are done."""
        return not self.unmet_needs[self.shape.task_positions[kind][index]]

    # ---- task events ---------------------------------------------------------------------

    def task_done(self, kind: int, index: int) -> None:
        """Queue the tasks that needed only this task.

        The cost is proportional to the number of direct dependents, not to the size of the graph.
        """
        startable_kinds: dict[int, None] = {}
        for dependent in self.shape.dependents[self.shape.task_positions[kind][index]]:
            self.unmet_needs[dependent] -= 1
            if not self.unmet_needs[dependent] and not self.is_finished(dependent):
                place = self.shape.array_slots[dependent]
                self.jobs[place.kind].task_ready(place.number)
                startable_kinds[place.kind] = None
        for startable_kind in startable_kinds:
            self.callbacks.request_pass(self.jobs[startable_kind])

    def infer_needs_done(self, kind: int, index: int) -> None:
        """Infer from a started task that all tasks that it needs are done.

        A former leader may have started it without storing that its needs are done. Without this,
        the needed tasks would run again alongside the tasks that use their results.
        """
        position = self.shape.task_positions[kind][index]
        if not self.unmet_needs[position]:
            return
        for need in self.shape.transitive_needs(position):
            place = self.shape.array_slots[need]
            job = self.jobs[place.kind]
            if not job.is_done(place.number):
                self.callbacks.stop_task(job, place.number)
                job.mark_finished(place.number)
                self.task_done(*place)
                self.callbacks.progress_changed(job)

    def task_failed(self, job: GraphJob) -> None:
        """Store that a task of this array has failed permanently."""
        self.callbacks.progress_changed(job)

    def failure_stored(self, job: GraphJob, index: int) -> None:
        """Mark the tasks that need this permanently failed task as never to run."""
        self._mark_dependents_not_run(self.shape.task_positions[job.kind][index])

    def retry_task(self, job: GraphJob, index: int) -> None:
        """Queue the task for another attempt."""
        job.requeue_task(index)
        self.callbacks.request_pass(job)

    def _mark_dependents_not_run(self, position: int) -> None:
        """Mark all tasks that need this failed task as finished; none of them was started."""
        for dependent in self.shape.mark_not_run(position, self.not_run):
            kind, index = self.shape.array_slots[dependent]
            job = self.jobs[kind]
            if not job.is_done(index):
                job.mark_finished(index)
                self.callbacks.progress_changed(job)
