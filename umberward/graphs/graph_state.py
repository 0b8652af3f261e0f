"""All unfinished graphs of the leader, beside the scheduler that runs their tasks. No I/O."""

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

NO_GRACE_S = 0.0  # a withdrawn task is over, so it has no checkpoint to save


class GraphEnd(NamedTuple):
    """The transaction that stores the end of graph `id`."""

    id: GraphId
    conditions: list[tuple[Key, Version]]
    writes: list[dict[str, Any]]


class GraphState:
    """The leader's unfinished graphs, each with its arrays admitted to the scheduler."""

    def __init__(self, scheduler: Scheduler) -> None:
        """Create a state without graphs; `scheduler` runs the tasks of those added later."""
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
        """Admit an accepted graph to the scheduler; does nothing if the graph is known.

        `version` is that of the graph's live record, `progress` what is stored of its arrays.
        Raises ValueError for tasks that form no graph.
        """
        if graph_id in self.graphs:
            return
        graph = LiveGraph(
            AcceptedGraph(graph_id, record, version),
            Shape(tasks),
            progress,
            self.scheduler.value_limit,
            SchedulerCallbacks(
                request_pass=self._request_pass,
                progress_changed=self.scheduler.writer.note_completions,
                withdraw=self._withdraw,
            ),
        )
        self.graphs[graph_id] = graph
        self._admit_jobs(graph)
        log.info("graph_taken", graph=graph_id, tasks=len(graph.shape), arrays=len(graph.jobs))

    def _admit_jobs(self, graph: LiveGraph) -> None:
        """Pass the graph's arrays to the scheduler."""
        for job in graph.jobs:
            self.scheduler.admit_job(job)
            if job.progress_unstored:
                self.scheduler.writer.note_completions(job)
        if self.scheduler.reconciliation_completed:
            # No machine is left on which a task started by a former leader could be found.
            for job in graph.jobs:
                job.requeue_unlocated()

    def remove(self, graph_id: GraphId) -> None:
        """Forget a graph with a deleted live record: it has ended or a controller cancelled it."""
        graph = self.graphs.pop(graph_id, None)
        if graph is not None:
            for job in graph.jobs:
                self.scheduler.remove_job(job.id)

    def finished(self) -> list[GraphEnd]:
        """Return the transactions that store the end of each finished graph."""
        return [self._end_of(graph) for graph in self.graphs.values() if graph.ended]

    def _end_of(self, graph: LiveGraph) -> GraphEnd:
        """Build the transaction that moves a graph from its live to its past record.

        Its condition is the live record's version: a cancellation in between must win.
        """
        live_key = records.live_key(graph.id)
        writes = [
            transactions.put(records.past_key(graph.id), graph.end(self.scheduler.wall_clock())),
            transactions.delete(live_key),
        ]
        # What the end record counts must agree with the arrays' records; `LiveGraph.ended` waits
        # until these are stored.
        return GraphEnd(graph.id, [(live_key, graph.version)], writes)

    def _request_pass(self, job: Job) -> None:
        """Have the scheduler place this array's startable tasks in its next pass."""
        self.scheduler.jobs_to_place[job.id] = job
        self.scheduler.pass_wanted = True

    def _withdraw(self, job: Job, index: int) -> None:
        """Stop a task that is over, if it has a placement."""
        placement = job.placements.get(index)
        if placement is not None:
            self.scheduler.stop(placement, NO_GRACE_S)
