"""The leader's graphs: read from the state service, handed to its scheduler, ended, cleaned up."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import curio

from umberward.clients import state_client
from umberward.clients.state_client import StateClient
from umberward.core.log import logger
from umberward.core.types import Key, Revision, Version
from umberward.graphs.graph_state import GraphState
from umberward.graphs.model import GraphId
from umberward.graphs.records import LIVE, GraphRecord, IncompleteGraphError
from umberward.graphs.store import delete_stale, give_up_old, read_progress, read_tasks
from umberward.protocol import wire

log = logger(__name__)

WATCH_S = 2.0
FIRST_LOOK_S = 0.05
ENDS_S = 0.2  # how often it is looked for graphs that are over
CLEAN_S = 30.0


class GraphPut(NamedTuple):
    args: tuple[Any, ...]  # of Board.put


class GraphGone(NamedTuple):
    id: GraphId


class GraphController:
    """Runs for one term of leadership; the board is changed by messages to the holder only."""

    def __init__(
        self,
        store: StateClient,
        board: GraphState,
        tell: Callable[[Any], Awaitable[Any]],
        condition: Callable[[], tuple[Key, Version]],
        leading: Callable[[], bool],
    ) -> None:
        self.store = store
        self.graph_state = board
        self.tell = tell
        self.leadership_condition = condition
        self.is_leader = leading
        self.known_graphs: set[GraphId] = set()  # graphs that the board has, or has in its mail
        self.watched_revision: Revision | None = None  # all changes until then have been told

    def handle(self, message: Any) -> bool:
        """Handle the message if it is about graphs."""
        if isinstance(message, GraphPut):
            self.graph_state.add(*message.args)
        elif isinstance(message, GraphGone):
            self.graph_state.remove(message.id)
        else:
            return False
        return True

    async def load(self) -> None:
        """All accepted graphs. Must be done before the holder's jobs are taken for complete: what
        workers run of a graph that is not known is stopped."""
        self.watched_revision = None
        entries, after = await self.store.list_all(LIVE)
        listed = set()
        for entry in entries:
            listed.add(GraphId(entry.key[len(LIVE) :]))
            await self._take(entry.key, entry.data, entry.version)
        for id in self.known_graphs - listed:
            await self._gone(id)
        self.watched_revision = after

    async def watch(self) -> None:
        """Follow what controllers accept and cancel, from where the first `load` has ended.

        Nobody else may read meanwhile: a graph that was read before its cancellation and told
        after it would start once more.
        """
        while self.watched_revision is None:
            await curio.sleep(FIRST_LOOK_S)
        while True:
            try:
                await self.follow()
            except state_client.RevisionCompactedError:
                self.watched_revision = None
            except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
                log.debug("graphs_not_read", error=error)
                self.watched_revision = None  # what was only half taken in is read again
                await curio.sleep(0.3)

    async def follow(self) -> None:
        """Tell the next changes."""
        if self.watched_revision is None:
            await self.load()
            return
        news, after = await self.store.watch(LIVE, self.watched_revision, WATCH_S)
        for change in news:
            if change.deleted_key is not None:
                await self._gone(GraphId(change.deleted_key[len(LIVE) :]))
            elif change.put_key is not None:
                await self._take(change.put_key, change.data, change.version)
        self.watched_revision = after

    async def _gone(self, id: GraphId) -> None:
        self.known_graphs.discard(id)
        await self.tell(GraphGone(id))

    async def _take(self, path: str, data: Any, stamp: int) -> None:
        id = GraphId(path[len(LIVE) :])
        if id in self.known_graphs:
            return
        try:
            record = wire.convert(data, GraphRecord)
            tasks = await read_tasks(self.store, id, record)
            progress = await read_progress(self.store, id)
        except (wire.MalformedMessageError, IncompleteGraphError, ValueError) as error:
            log.error("graph_malformed", graph=id, error=error)
            return
        self.known_graphs.add(id)
        await self.tell(GraphPut((id, record, Version(stamp), tasks, progress)))

    async def finish(self) -> None:
        while True:
            await curio.sleep(ENDS_S)
            for end in self.graph_state.finished():
                if not self.is_leader():
                    break
                try:
                    await self.store.commit(
                        [self.leadership_condition(), *end.conditions], end.writes
                    )
                except (
                    state_client.StateUnavailableError,
                    state_client.UnknownOutcomeError,
                    state_client.CompareAndSwapError,
                ) as error:
                    log.debug("graph_not_ended", graph=end.id, error=error)
                    continue  # if it was: its live record's deletion tells
                log.info("graph_ended", graph=end.id)
                await self._gone(end.id)

    async def clean(self) -> None:
        """Remove what never became a graph."""
        while True:
            await curio.sleep(CLEAN_S)
            if not self.is_leader():
                continue
            try:
                await give_up_old(self.store, time.time())
                await delete_stale(self.store)
            except (
                state_client.StateUnavailableError,
                state_client.UnknownOutcomeError,
                state_client.CompareAndSwapError,
            ) as error:
                log.debug("graphs_not_cleaned", error=error)
