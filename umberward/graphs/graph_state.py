"""The leader's unfinished graphs and their connection to the scheduler. No I/O."""

from __future__ import annotations

from typing import Any, NamedTuple

from umberward.core.log import logger
from umberward.core.types import Key, Version
from umberward.graphs import records
from umberward.graphs.live import AcceptedGraph, LiveGraph, SchedulerCallbacks
from umberward.graphs.model import GraphId, Shape, Task
from umberward.graphs.records import GraphRecord
from umberward.protocol import transactions
from umberward.scheduling.jobs import Job
from umberward.scheduling.scheduler import Scheduler

log = logger(__name__)

NO_GRACE_S = 0.0  # a finished task needs no time to save a checkpoint


class GraphEnd(NamedTuple):
    """The transaction that stores the end of the graph `id`."""

    id: GraphId
    conditions: list[tuple[Key, Version]]
    writes: list[dict[str, Any]]


class GraphState:
    """The leader's unfinished graphs, whose arrays are admitted to the scheduler."""

    def __init__(self, scheduler: Scheduler) -> None:
        """Create a state without graphs; `scheduler` runs the tasks of graphs that are added."""
        self.scheduler = scheduler
        self.graphs: dict[GraphId, LiveGraph] = {}

    def add(
        self,
        graph_id: GraphId,
        record: GraphRecord,
        version: Version,
        tasks: list[Task],
        progress: records.Progress,
    ) -> None:
        """Admit an accepted graph to the scheduler; do nothing if the graph is already known.

        `version` is that of the graph's live record, `progress` the stored progress of its arrays.
        Raises ValueError if the tasks form no valid graph.
        """
        if graph_id in self.graphs:
            return
        graph = LiveGraph(
            AcceptedGraph(graph_id, record, version),
            Shape(tasks),
            progress,
            self.scheduler.max_value_bytes,
            SchedulerCallbacks(
                request_pass=self._request_pass,
                progress_changed=self.scheduler.state_writer.note_completions,
                stop_task=self._stop_task,
            ),
        )
        self.graphs[graph_id] = graph
        self._admit_jobs(graph)
        log.info("graph_admitted", graph=graph_id, tasks=len(graph.shape), arrays=len(graph.jobs))

    def _admit_jobs(self, graph: LiveGraph) -> None:
        """Admit the graph's arrays to the scheduler."""
        for job in graph.jobs:
            self.scheduler.admit_job(job)
            if job.progress_unstored:
                self.scheduler.state_writer.note_completions(job)
        if self.scheduler.reconciliation_completed:
            # It is known what each machine runs, so no task of a former leader is left to be found.
            for job in graph.jobs:
                job.requeue_unlocated()

    def remove(self, graph_id: GraphId) -> None:
        """Remove a graph whose live record was deleted: it ended or a controller cancelled it."""
        graph = self.graphs.pop(graph_id, None)
        if graph is not None:
            for job in graph.jobs:
                self.scheduler.remove_job(job.id)

    def finished(self) -> list[GraphEnd]:
        """Return one transaction for each finished graph that stores its end."""
        return [self._end_of(graph) for graph in self.graphs.values() if graph.ready_to_end]

    def _end_of(self, graph: LiveGraph) -> GraphEnd:
        """Build the transaction that moves a graph from its live to its past record.

        The condition is the version of the live record, so that a concurrent cancellation wins.
        """
        live_key = records.live_key(graph.id)
        writes = [
            transactions.put(
                records.past_key(graph.id), graph.build_end_record(self.scheduler.wall_clock())
            ),
            transactions.delete(live_key),
        ]
        # The counts in the end record must agree with the arrays' records, so
        # `LiveGraph.ready_to_end` is false until these are stored.
        return GraphEnd(graph.id, [(live_key, graph.version)], writes)

    def _request_pass(self, job: Job) -> None:
        """Request that the next scheduling pass places this array's startable tasks."""
        self.scheduler.jobs_to_place[job.id] = job
        self.scheduler.scheduling_pass_needed = True

    def _stop_task(self, job: Job, index: int) -> None:
        """Stop a finished task if it still has a placement."""
        placement = job.placements.get(index)
        if placement is not None:
            self.scheduler.stop(placement, NO_GRACE_S)
