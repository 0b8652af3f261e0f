"""All graphs under way, beside the scheduler that runs their tasks. No I/O."""

from __future__ import annotations

from typing import Any, NamedTuple

from umberward.core.log import logger
from umberward.core.types import Key, Version
from umberward.graphs import records
from umberward.graphs.live import LiveGraph
from umberward.graphs.model import GraphId, Shape, Task
from umberward.graphs.records import GraphRecord
from umberward.protocol import transactions
from umberward.scheduling.jobs import Job
from umberward.scheduling.scheduler import Scheduler

log = logger(__name__)


class GraphEnd(NamedTuple):
    """A graph is over: one transaction says so."""

    id: GraphId
    conditions: list[tuple[Key, Version]]
    writes: list[dict[str, Any]]


class GraphState:
    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.graphs: dict[GraphId, LiveGraph] = {}

    def add(
        self,
        id: GraphId,
        record: GraphRecord,
        stamp: Version,
        tasks: list[Task],
        progress: records.Progress,
    ) -> None:
        """An accepted graph, with what is stored of its progress."""
        if id in self.graphs:
            return
        scheduler = self.scheduler
        graph = LiveGraph(
            id,
            record,
            stamp,
            Shape(tasks),
            progress,
            scheduler.value_limit,
            self._task_ready,
            scheduler.writer.note_completions,
            self._withdraw,
        )
        self.graphs[id] = graph
        for job in graph.jobs:
            scheduler.admit_job(job)
            if job.progress_unstored:
                scheduler.writer.note_completions(job)
        if scheduler.all_settled:
            # No machine is left on which a former holder's task could be found.
            for job in graph.jobs:
                job.requeue_unlocated()
        log.info("graph_taken", graph=id, tasks=len(graph.shape), arrays=len(graph.jobs))

    def remove(self, id: GraphId) -> None:
        """The graph's live record is gone: it is over, or was cancelled by some controller."""
        graph = self.graphs.pop(id, None)
        if graph is not None:
            for job in graph.jobs:
                self.scheduler.remove_job(job.id)

    def finished(self) -> list[GraphEnd]:
        """Graphs whose end is to be stored."""
        found = []
        for graph in self.graphs.values():
            if graph.ended:
                key = records.live_key(graph.id)
                end = graph.end(self.scheduler.wall())
                writes = [
                    transactions.put(records.past_key(graph.id), end),
                    transactions.delete(key),
                ]
                # What stands in the arrays' records must be what was counted.
                found.append(GraphEnd(graph.id, [(key, graph.stamp)], writes))
        return found

    def _task_ready(self, job: Job) -> None:
        self.scheduler.unplaced[job.id] = job
        self.scheduler.pass_wanted = True

    def _withdraw(self, job: Job, number: int) -> None:
        placement = job.placements.get(number)
        if placement is not None:
            self.scheduler.stop(placement, 0.0)
