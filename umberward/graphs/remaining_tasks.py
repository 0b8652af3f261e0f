"""What the tasks of a graph that has ended early may still use, for a leader that never knew it."""

from __future__ import annotations

from typing import NamedTuple

from umberward.clients.state_client import StateClient
from umberward.core.types import JobId
from umberward.graphs.model import GraphId, Shape, job_id
from umberward.graphs.records import DONE, EndRecord
from umberward.graphs.store import read_progress, read_tasks
from umberward.protocol.wire import RemainingTasks


class RemainingArrayTasks(NamedTuple):
    """The tasks of one array of a graph that may still be on machines."""

    job_id: JobId
    tasks: RemainingTasks


async def read_remaining_tasks(
    store: StateClient, graph_id: GraphId, end: EndRecord
) -> list[RemainingArrayTasks]:
    """Return the tasks that some leader may have placed and that are not stored as finished.

    Raises IncompleteGraphError, ValueError and MalformedMessageError for missing or malformed
    content, and the errors of `StateClient`.
    """
    if end.phase == DONE or not end.graph.digests:  # without digests it was never accepted
        return []
    shape = Shape(await read_tasks(store, graph_id, end.graph))
    progress = await read_progress(store, graph_id)
    remaining = []
    for kind, (run, _) in sorted(progress.runs.items()):
        if not run.placed_below:
            continue
        need = shape.kinds[kind].need
        tasks = RemainingTasks(
            end.graph.options.team,
            need.cores,
            need.mem_gb,
            run.placed_below,
            need.accelerators,
            run.done_below,
            run.done_bitmap,
        )
        remaining.append(RemainingArrayTasks(job_id(graph_id, kind), tasks))
    return remaining
