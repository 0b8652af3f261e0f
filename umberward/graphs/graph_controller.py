"""Synchronizes the leader's graphs with the state service.

Reads accepted graphs and passes them to the leader's message loop, stores the end of finished
graphs, and deletes submissions that were never completed. Runs in the leader process.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import curio

from umberward.clients import state_client
from umberward.clients.state_client import StateClient
from umberward.core.log import logger
from umberward.core.types import Key, Revision, TeamName, Version
from umberward.graphs.graph_state import GraphEnd, GraphState
from umberward.graphs.model import GraphId
from umberward.graphs.records import (
    LIVE_PREFIX,
    PAST_PREFIX,
    EndRecord,
    GraphRecord,
    IncompleteGraphError,
)
from umberward.graphs.remaining_tasks import RemainingArrayTasks, read_remaining_tasks
from umberward.graphs.store import (
    abandon_old_submissions,
    delete_abandoned_parts,
    read_progress,
    read_tasks,
)
from umberward.protocol import wire

log = logger(__name__)

WATCH_TIMEOUT_S = 2.0
FIRST_LOAD_POLL_INTERVAL_S = 0.05
WATCH_RETRY_DELAY_S = 0.3
END_CHECK_INTERVAL_S = 0.2  # between two checks for finished graphs
SUBMISSION_CLEANUP_INTERVAL_S = 30.0

# Errors of a commit that is tried again in the next interval.
COMMIT_ERRORS = (
    state_client.StateUnavailableError,
    state_client.UnknownOutcomeError,
    state_client.CompareAndSwapError,
)


class GraphPut(NamedTuple):
    """Message to the leader's loop: an accepted graph was read.

    `args` are the arguments of `GraphState.add`.
    """

    args: tuple[Any, ...]


class GraphGone(NamedTuple):
    """Message to the leader's loop: the live record of graph `id` no longer exists."""

    id: GraphId


class GraphController:
    """Watches the stored graphs during one term of leadership.

    The graph state is changed only by messages to the leader's loop, never by the tasks of this
    controller.
    """

    def __init__(
        self,
        store: StateClient,
        graph_state: GraphState,
        send_message: Callable[[Any], Awaitable[Any]],
        leadership_condition: Callable[[], tuple[Key, Version]],
        is_leader: Callable[[], bool],
    ) -> None:
        """Create a controller that has read nothing yet.

        `send_message` sends a message to the leader's loop, which passes it to `handle`.
        `leadership_condition` returns a commit condition that fails once another process leads.
        """
        self.store = store
        self.graph_state = graph_state
        self.send_message = send_message
        self.leadership_condition = leadership_condition
        self.is_leader = is_leader
        # Graphs in the graph state, or with a GraphPut in the loop's queue.
        self.known_graphs: set[GraphId] = set()
        # All changes up to this revision were sent to the loop; None: all graphs must be loaded.
        self.watched_revision: Revision | None = None

    def handle(self, message: object) -> bool:
        """Apply a message about graphs; return False if the message is not about graphs."""
        if isinstance(message, GraphPut):
            self.graph_state.add(*message.args)
        elif isinstance(message, GraphGone):
            self.graph_state.remove(message.id)
        else:
            return False
        return True

    async def load(self) -> None:
        """Read all accepted graphs and send them to the loop.

        This must be done before the leader's job states count as complete: workers are ordered to
        stop the tasks of a graph that the leader does not know.
        """
        self.watched_revision = None
        entries, revision = await self.store.list_all(LIVE_PREFIX)
        listed = set()
        for entry in entries:
            listed.add(_graph_id(entry.key))
            await self._send_graph(entry.key, entry.data, entry.version)
        for graph_id in self.known_graphs - listed:
            await self._send_removal(graph_id)
        self.watched_revision = revision

    async def remaining_tasks(
        self, start_revision: Revision, has_limit: Callable[[TeamName], bool]
    ) -> list[RemainingArrayTasks] | None:
        """Return what graphs that ended early after `start_revision` may still use.

        Only teams for which `has_limit` is true are considered. None: it can't be read. Raises the
        errors of `StateClient.watch`.
        """
        changes, _ = await self.store.watch(PAST_PREFIX, start_revision, 0.0)
        remaining: list[RemainingArrayTasks] = []
        for change in changes:
            if change.put_key is None:
                continue
            graph_id = GraphId(change.put_key[len(PAST_PREFIX) :])
            try:
                end = wire.convert(change.data, EndRecord)
                if has_limit(TeamName(end.graph.options.team)):
                    remaining += await read_remaining_tasks(self.store, graph_id, end)
            except (wire.MalformedMessageError, IncompleteGraphError, ValueError) as error:
                log.error("graph_malformed", graph=graph_id, error=error)  # noqa: TRY400
                return None
        return remaining

    async def watch(self) -> None:
        """Watch for graphs that controllers accept or cancel; runs until cancelled.

        Starts once the first `load` has ended. No other task may read graphs at the same time: a
        graph that was read before its cancellation and sent to the loop after it would start again.
        """
        while self.watched_revision is None:
            await curio.sleep(FIRST_LOAD_POLL_INTERVAL_S)
        while True:
            try:
                await self.apply_next_changes()
            except state_client.RevisionCompactedError:
                self.watched_revision = None
            except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
                log.debug("graphs_not_read", error=error)
                # It is unknown which changes were sent, so all graphs are read again.
                self.watched_revision = None
                await curio.sleep(WATCH_RETRY_DELAY_S)

    async def apply_next_changes(self) -> None:
        """Wait for the next changes and send them to the loop, or load all graphs if necessary.

        Raises the errors of `StateClient.watch` and `StateClient.list_all`.
        """
        if self.watched_revision is None:
            await self.load()
            return
        changes, revision = await self.store.watch(
            LIVE_PREFIX, self.watched_revision, WATCH_TIMEOUT_S
        )
        for change in changes:
            if change.deleted_key is not None:
                await self._send_removal(_graph_id(change.deleted_key))
            elif change.put_key is not None:
                await self._send_graph(change.put_key, change.data, change.version)
        self.watched_revision = revision

    async def _send_removal(self, graph_id: GraphId) -> None:
        """Send the loop a message that the graph's live record was deleted."""
        self.known_graphs.discard(graph_id)
        await self.send_message(GraphGone(graph_id))

    async def _send_graph(self, key: str, data: object, version: int) -> None:
        """Read the rest of a graph and send it to the loop, unless the graph is already known.

        A malformed graph is logged and skipped, so that it does not block other graphs.
        """
        graph_id = _graph_id(key)
        if graph_id in self.known_graphs:
            return
        try:
            record = wire.convert(data, GraphRecord)
            tasks = await read_tasks(self.store, graph_id, record)
            progress = await read_progress(self.store, graph_id)
        except (wire.MalformedMessageError, IncompleteGraphError, ValueError) as error:
            # The cause is in the stored data, so a traceback would not help.
            log.error("graph_malformed", graph=graph_id, error=error)  # noqa: TRY400
            return
        self.known_graphs.add(graph_id)
        await self.send_message(GraphPut((graph_id, record, Version(version), tasks, progress)))

    async def store_ended_graphs(self) -> None:
        """Store the end of every finished graph; runs until cancelled."""
        while True:
            await curio.sleep(END_CHECK_INTERVAL_S)
            for end in self.graph_state.finished():
                if not self.is_leader():
                    break
                await self._store_end(end)

    async def _store_end(self, end: GraphEnd) -> None:
        """Store the end of one graph, on the condition that this process still leads."""
        try:
            conditions = [self.leadership_condition(), *end.conditions]
            await self.store.commit(conditions, end.writes)
        except COMMIT_ERRORS as error:
            # If the commit took effect after all, `watch` sees the deletion of the live record.
            log.debug("graph_end_not_stored", graph=end.id, error=error)
            return
        log.info("graph_ended", graph=end.id)
        await self._send_removal(end.id)

    async def delete_abandoned_submissions(self) -> None:
        """Delete submissions that never became a graph; runs until cancelled."""
        while True:
            await curio.sleep(SUBMISSION_CLEANUP_INTERVAL_S)
            if not self.is_leader():
                continue
            try:
                await abandon_old_submissions(self.store, time.time())
                await delete_abandoned_parts(self.store)
            except COMMIT_ERRORS as error:
                log.debug("graphs_not_cleaned", error=error)


def _graph_id(live_key: str) -> GraphId:
    """Return the graph id in a key below `graphs/live/`."""
    return GraphId(live_key[len(LIVE_PREFIX) :])
