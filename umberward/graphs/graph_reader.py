"""Reads graphs for a controller's responses and caches immutable data."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from umberward.clients import state_client
from umberward.clients.state_client import StateClient
from umberward.core.log import logger
from umberward.graphs import records
from umberward.graphs.errors import AbsentGraph, UnknownGraphError
from umberward.graphs.model import GraphId, Shape
from umberward.graphs.records import EndRecord, GraphRecord, IncompleteGraphError, Progress
from umberward.graphs.store import read_progress, read_tasks
from umberward.protocol import wire
from umberward.protocol.transactions import AbsentKey

# The name of the module that this code was split from: log lines keep their logger name.
log = logger("umberward.graphs.graph_api")

MAX_CACHED_SHAPES = 8
MAX_CACHED_ENDED_GRAPHS = 200


class StoredGraph(NamedTuple):
    """The stored state of a graph; `end` is None while it is live."""

    graph: GraphRecord
    end: EndRecord | None
    progress: Progress


class _CachedShape(NamedTuple):
    """A shape and the digests of the content that it was built from."""

    digests: list[str]
    shape: Shape


class GraphReader:
    """Reads graphs from the state service.

    All methods raise the errors of `StateClient` if the service is unavailable.
    """

    def __init__(self, store: StateClient) -> None:
        """Create a reader with empty caches."""
        self.store = store
        self._shapes: OrderedDict[GraphId, _CachedShape] = OrderedDict()
        self._ended_graphs: OrderedDict[GraphId, StoredGraph] = OrderedDict()

    async def read_record(self, graph_id: GraphId) -> GraphRecord | EndRecord | AbsentGraph:
        """Return the graph's live or past record, or the proof that no such graph was accepted.

        One transaction moves a graph from live to past, so the live key must be read first.
        """
        ended_graph = self._ended_graphs.get(graph_id)
        if ended_graph is not None and ended_graph.end is not None:
            return ended_graph.end
        live = await self.store.get(records.live_key(graph_id))
        if not isinstance(live, AbsentKey):
            return wire.convert(live.data, GraphRecord)
        past = await self.store.get(records.past_key(graph_id))
        if not isinstance(past, AbsentKey):
            return wire.convert(past.data, EndRecord)
        return AbsentGraph(live, past)

    async def find(self, graph_id: GraphId) -> StoredGraph:
        """Return the graph with its progress; raise UnknownGraphError if it was never accepted."""
        if graph_id in self._ended_graphs:
            return self._ended_graphs[graph_id]
        # Progress is read first: if the live record still exists after that, the progress is recent
        # enough; once the live record is deleted, the progress no longer changes.
        progress = await read_progress(self.store, graph_id)
        record = await self.read_record(graph_id)
        if isinstance(record, AbsentGraph):
            raise UnknownGraphError(record)
        if isinstance(record, GraphRecord):
            return StoredGraph(record, None, progress)
        # The final progress may have been stored after the read above.
        progress = await read_progress(self.store, graph_id)
        ended_graph = StoredGraph(record.graph, record, progress)
        self._ended_graphs[graph_id] = ended_graph
        while len(self._ended_graphs) > MAX_CACHED_ENDED_GRAPHS:
            self._ended_graphs.popitem(last=False)
        return ended_graph

    async def shape(self, graph_id: GraphId, record: GraphRecord) -> Shape:
        """Return the shape of an accepted graph.

        Raises StateUnavailableError, so that the user retries, if its stored content is malformed.
        """
        cached = self._shapes.get(graph_id)
        if cached is not None and cached.digests == record.digests:
            return cached.shape
        try:
            shape = Shape(await read_tasks(self.store, graph_id, record))
        except (IncompleteGraphError, ValueError, wire.MalformedMessageError) as error:
            # The cause is in the stored data, so a traceback would not help.
            log.error("graph_malformed", graph=graph_id, error=error)  # noqa: TRY400
            raise state_client.StateUnavailableError(str(error)) from None
        self._shapes[graph_id] = _CachedShape(record.digests, shape)
        while len(self._shapes) > MAX_CACHED_SHAPES:
            self._shapes.popitem(last=False)
        return shape
