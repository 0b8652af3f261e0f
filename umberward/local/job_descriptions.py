"""Descriptions of jobs, read from the records in the state service.

Workers of a deployment read the descriptions that users have uploaded; in a local cluster nobody
uploads them.
"""

from __future__ import annotations

from umberward.graphs import model, records
from umberward.graphs.model import Shape
from umberward.local.statecore import StateCore
from umberward.protocol import wire
from umberward.protocol.wire import JobSpec


class JobDescriptions:
    """Finds the descriptions of jobs: users' own, and those that run the tasks of graphs."""

    def __init__(self, state: StateCore) -> None:
        """`state`: the state service that holds the records."""
        self._state = state
        self._shapes: dict[model.GraphId, Shape] = {}  # a graph's shape never changes

    def find(self, job_id: str) -> JobSpec | None:
        """The job's description, or None if there is no such job."""
        graph_kind = model.parse_graph_job_id(job_id)
        if graph_kind is not None:
            graph_id, kind = graph_kind
            return self._of_graph(graph_id, kind)
        stored = self._state.keys.get(wire.LIVE_JOBS_PREFIX + job_id)
        if stored is None:
            return None
        record: wire.JobRecord = wire.convert(stored.data, wire.JobRecord)
        return record.spec

    def _of_graph(self, graph_id: model.GraphId, kind: int) -> JobSpec | None:
        """The description of the job that runs the graph's tasks of one kind."""
        stored = self._state.keys.get(records.live_key(graph_id))
        if stored is None:
            return None
        graph: records.GraphRecord = wire.convert(stored.data, records.GraphRecord)
        if graph_id not in self._shapes:
            self._shapes[graph_id] = Shape(self._tasks(graph_id, graph))
        return self._shapes[graph_id].spec(graph_id, graph.options, kind)

    def _tasks(self, graph_id: model.GraphId, graph: records.GraphRecord) -> list[model.Task]:
        """The graph's tasks, from its record or, if it was sent in parts, from those."""
        if not graph.opened:
            return records.decode_tasks(records.decompress(graph.content))
        prefix = f"{records.PART_PREFIX}{graph_id}/{graph.opened}/"
        parts = {
            key[len(prefix) :]: stored.data
            for key, stored in self._state.keys.items()
            if key.startswith(prefix)
        }
        part_records = records.assemble_parts(graph_id, parts, len(graph.digests))
        return records.join_parts(graph_id, graph, part_records)
