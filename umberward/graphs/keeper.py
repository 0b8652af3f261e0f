"""The leader's graphs: read from the state service, handed to its scheduler, ended, cleaned up."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import curio

from umberward.clients import state
from umberward.clients.state import State
from umberward.core.log import logger
from umberward.core.types import Key, Revision, Stamp
from umberward.graphs.board import Board
from umberward.graphs.model import GraphId
from umberward.graphs.records import LIVE, GraphRecord, Incomplete
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


class Keeper:
    """Runs for one term of leadership; the board is changed by messages to the holder only."""

    def __init__(
        self,
        store: State,
        board: Board,
        tell: Callable[[Any], Awaitable[Any]],
        condition: Callable[[], tuple[Key, Stamp]],
        leading: Callable[[], bool],
    ) -> None:
        self.store = store
        self.board = board
        self.tell = tell
        self.condition = condition
        self.leading = leading
        self.told: set[GraphId] = set()  # graphs that the board has, or has in its mail
        self.after: Revision | None = None  # all changes until then have been told

    def takes(self, message: Any) -> bool:
        """Handle the message if it is about graphs."""
        if isinstance(message, GraphPut):
            self.board.put(*message.args)
        elif isinstance(message, GraphGone):
            self.board.gone(message.id)
        else:
            return False
        return True

    async def load(self) -> None:
        """All accepted graphs. Must be done before the holder's jobs are taken for complete: what
        workers run of a graph that is not known is stopped."""
        self.after = None
        entries, after = await self.store.entries(LIVE)
        listed = set()
        for entry in entries:
            listed.add(GraphId(entry.path[len(LIVE) :]))
            await self._take(entry.path, entry.data, entry.stamp)
        for id in self.told - listed:
            await self._gone(id)
        self.after = after

    async def watch(self) -> None:
        """Follow what controllers accept and cancel, from where the first `load` has ended.

        Nobody else may read meanwhile: a graph that was read before its cancellation and told
        after it would start once more.
        """
        while self.after is None:
            await curio.sleep(FIRST_LOOK_S)
        while True:
            try:
                await self.follow()
            except state.TooOld:
                self.after = None
            except (state.Unavailable, state.Unknown) as error:
                log.debug("graphs_not_read", error=error)
                self.after = None  # what was only half taken in is read again
                await curio.sleep(0.3)

    async def follow(self) -> None:
        """Tell the next changes."""
        if self.after is None:
            await self.load()
            return
        news, after = await self.store.watch(LIVE, self.after, WATCH_S)
        for change in news:
            if change.delete is not None:
                await self._gone(GraphId(change.delete[len(LIVE) :]))
            elif change.write is not None:
                await self._take(change.write, change.data, change.stamp)
        self.after = after

    async def _gone(self, id: GraphId) -> None:
        self.told.discard(id)
        await self.tell(GraphGone(id))

    async def _take(self, path: str, data: Any, stamp: int) -> None:
        id = GraphId(path[len(LIVE) :])
        if id in self.told:
            return
        try:
            record = wire.converted(data, GraphRecord)
            tasks = await read_tasks(self.store, id, record)
            progress = await read_progress(self.store, id)
        except (wire.Malformed, Incomplete, ValueError) as error:
            log.error("graph_malformed", graph=id, error=error)
            return
        self.told.add(id)
        await self.tell(GraphPut((id, record, Stamp(stamp), tasks, progress)))

    async def finish(self) -> None:
        while True:
            await curio.sleep(ENDS_S)
            for end in self.board.ends():
                if not self.leading():
                    break
                try:
                    await self.store.commit([self.condition(), *end.conditions], end.writes)
                except (state.Unavailable, state.Unknown, state.Conflict) as error:
                    log.debug("graph_not_ended", graph=end.id, error=error)
                    continue  # if it was: its live record's deletion tells
                log.info("graph_ended", graph=end.id)
                await self._gone(end.id)

    async def clean(self) -> None:
        """Remove what never became a graph."""
        while True:
            await curio.sleep(CLEAN_S)
            if not self.leading():
                continue
            try:
                await give_up_old(self.store, time.time())
                await delete_stale(self.store)
            except (state.Unavailable, state.Unknown, state.Conflict) as error:
                log.debug("graphs_not_cleaned", error=error)
