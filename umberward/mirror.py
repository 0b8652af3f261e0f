"""Every controller's copy of the jobs' states, made fresh on demand for all who ask at once.

A poll must see whatever any controller has told a user before. Reading the state service for each
poll would cost requests in proportion to the jobs; so all polls that wait share one request, sent
after they came, which brings the changes since the last one.
"""

from __future__ import annotations

import logging
import time
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

import curio

from umberward import state, wire
from umberward.actor import Ask
from umberward.settings import Settings
from umberward.state import State
from umberward.types import JobId, Key, Revision
from umberward.wire import JOBS, LIVE, PAST, FinalRecord, JobRecord

log = logging.getLogger(__name__)

SHARE = 0.2  # of the state service's requests, for all controllers' copies together
ANSWER_S = 1.2  # users wait 2 s for the answer to a poll
STALE_S = 0.4  # what was read so long ago is read again: we stood still, or were kept waiting
LULL_S = 10.0  # without polls a copy is brought up to date so often, as old changes are dropped


class Lookup:
    """A look-up of a job's final record that has not been answered yet: nothing is known."""


NOT_FOUND = Lookup()  # a look-up was answered: nobody has submitted the job


class Live(NamedTuple):
    """What users may know of a job under way."""

    marked: int
    done: int


class Fresh(NamedTuple):
    """Asks for everything that stood in the state service when this message was sent."""


class Mirror:
    """An actor: questions that wait are answered together."""

    def __init__(
        self, settings: Settings, store: State, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.store = store
        self.clock = clock
        cluster = settings.platform.cluster
        self.pause = cluster.size / (cluster.state.rps * SHARE)
        self.live: dict[JobId, Live] = {}
        self.finals: OrderedDict[JobId, FinalRecord] = OrderedDict()
        # Ids that are looked up, or were and were not found; a submission shows as a change.
        self.absent: OrderedDict[JobId, Lookup] = OrderedDict()
        self.most_finals = settings.operator.poll_cache
        self.after: Revision | None = None
        self.read_at = 0.0  # when the latest changes were asked for
        self.mail: curio.Queue = curio.Queue()

    async def state(self, id: JobId) -> Live | FinalRecord | None:
        """Raises state.Unavailable or state.Unknown. None: no controller has accepted it."""
        asked = self.clock()
        while True:
            final = self.finals.get(id)
            if final is not None:
                return final
            question = Ask(Fresh())
            await self.mail.put(question)
            failed = await question.wait()
            if failed is not None:
                raise failed
            # A final state may have been told to its user while we waited: it comes first.
            found = self.finals.get(id) or self.live.get(id)
            if found is None and self.absent.get(id) is not NOT_FOUND:
                found = await self._past(id)
            now = self.clock()
            if isinstance(found, FinalRecord) or now - self.read_at <= STALE_S:
                return found
            if now - asked > ANSWER_S:
                raise state.Unavailable("what was read is out of date")

    async def _past(self, id: JobId) -> FinalRecord | None:
        # Noted before it is looked up: whatever is submitted meanwhile takes the note away.
        lookup = self.absent[id] = Lookup()
        while len(self.absent) > self.most_finals:
            self.absent.popitem(last=False)
        try:
            past = await self.store.get(Key(PAST + id))
        except BaseException:
            self.absent.pop(id, None)
            raise
        if past is None:
            if self.absent.get(id) is lookup:
                self.absent[id] = NOT_FOUND
            return None
        self.absent.pop(id, None)
        record = wire.converted(past.data, FinalRecord)
        self.keep(id, record)
        return record

    def keep(self, id: JobId, final: FinalRecord) -> None:
        """Final states never change, so they need no refreshing."""
        self.live.pop(id, None)
        self.absent.pop(id, None)
        self.finals[id] = final
        while len(self.finals) > self.most_finals:
            self.finals.popitem(last=False)

    async def run(self) -> None:
        while True:
            asked: list[Ask] = []
            first = await curio.ignore_after(LULL_S, self.mail.get)
            if first is not None:
                asked.append(first)
            while not self.mail.empty():
                asked.append(await self.mail.get())
            failed: Exception | None = None
            try:
                await self._refresh()
            except (state.Unavailable, state.Unknown, state.TooOld) as error:
                log.debug("jobs' states: %s", error)
                failed = state.Unavailable(str(error))
            for question in asked:
                await question.reply(failed)
            await curio.sleep(self.pause)

    async def _refresh(self) -> None:
        sent = self.clock()
        await self._read()
        self.read_at = sent

    async def _read(self) -> None:
        if self.after is not None:
            try:
                changes, self.after = await self.store.watch(JOBS, self.after, 0.0, ANSWER_S)
            except state.TooOld:
                self.after = None
            else:
                for change in changes:
                    self._change(change)
                return
        entries, after = await self.store.entries(LIVE)
        self.live.clear()
        self.absent.clear()
        for entry in entries:
            self._live(entry.path, entry.data)
        # The pages were read one after the other: what changed meanwhile comes with the next
        # changes, and must be known before anybody is answered.
        changes, self.after = await self.store.watch(JOBS, after, 0.0, ANSWER_S)
        for change in changes:
            self._change(change)

    def _change(self, change: wire.Change) -> None:
        if change.delete is not None and change.delete.startswith(LIVE):
            self.live.pop(JobId(change.delete[len(LIVE) :]), None)
        elif change.write is not None and change.write.startswith(LIVE):
            self._live(change.write, change.data)
        elif change.write is not None and change.write.startswith(PAST):
            try:
                final = wire.converted(change.data, FinalRecord)
            except wire.Malformed as error:
                log.error("record %s: %s", change.write, error)
                return
            self.keep(JobId(change.write[len(PAST) :]), final)

    def _live(self, path: str, data: object) -> None:
        try:
            record = wire.converted(data, JobRecord)
        except wire.Malformed as error:
            log.error("record %s: %s", path, error)
            return
        done = record.base + int(record.done, 16).bit_count()
        id = JobId(path[len(LIVE) :])
        self.absent.pop(id, None)
        self.live[id] = Live(record.marked, done)
