"""Every controller's copy of the jobs' states, made fresh on demand for all who ask at once.

A poll must see whatever any controller has told a user before. Reading the state service for each
poll would cost requests in proportion to the jobs; so all polls that wait share one request, sent
after they came, which brings the changes since the last one.
"""

from __future__ import annotations

import time
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import NamedTuple

import curio
import msgspec

from umberward.clients import state
from umberward.clients.state import State
from umberward.core.actor import Ask
from umberward.core.log import logger
from umberward.core.settings import Settings
from umberward.core.types import JobId, Key, Revision
from umberward.decisions.pipelines import Graph
from umberward.decisions.tending import Bounds
from umberward.protocol import wire
from umberward.protocol.wire import CANCELLED, JOBS, LIVE, PAST, FinalRecord, JobRecord

log = logger(__name__)

SHARE = 0.2  # of the state service's requests, for all controllers' copies together
ANSWER_S = 1.2  # users wait 2 s for the answer to a poll
STALE_S = 0.4  # what was read so long ago is read again: we stood still, or were kept waiting
# Polls that come meanwhile are answered together; their users wait 2 s. Submissions do not wait.
GATHER_S = 0.15
LULL_S = 10.0  # without polls a copy is brought up to date so often, as old changes are dropped
LISTED_S = 5.0  # a copy that was listed so lately lacks nothing that its changes do not tell
REVISIONS_S = 1.0  # how often the revision of a moment is remembered
NOBODYS = object()  # nobody has submitted the job


class Live(NamedTuple):
    """What users may know of a job under way."""

    marked: int
    done: int
    service: bool
    waits: bool  # it was accepted to wait for others


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
        self.graph = Graph(self.live.__contains__)
        self.finals: OrderedDict[JobId, FinalRecord] = OrderedDict()
        # Ids that nobody had submitted when they were looked up; a submission shows as a change.
        # While the look-up is under way its own mark stands there, and nothing is known yet.
        self.absent: OrderedDict[JobId, object] = OrderedDict()
        self.most_finals = settings.operator.poll_cache
        self.after: Revision | None = None
        self.listed_at = 0.0  # when all live jobs were last read
        self.read_at = 0.0  # when the latest changes were asked for
        # All that was committed after a moment has a higher revision than the one beside it.
        self.revisions: deque[tuple[float, Revision]] = deque()
        self.remembered_s = Bounds(cluster.workers).takeover_s + LULL_S
        self.mail: curio.Queue = curio.Queue()
        self.hurry = curio.Event()

    async def state(self, id: JobId, urgent: bool = False) -> Live | FinalRecord | None:
        """Raises state.Unavailable or state.Unknown. None: no controller has accepted it.

        What is not urgent waits for others that come within GATHER_S.
        """
        asked = self.clock()
        while True:
            final = self.finals.get(id)
            if final is not None:
                return final
            failed = await self._ask(urgent)
            if failed is not None:
                raise failed
            # A final state may have been told to its user while we waited: it comes first.
            found = await self._found(id)
            now = self.clock()
            if isinstance(found, FinalRecord) or now - self.read_at <= STALE_S:
                return found
            if now - asked > ANSWER_S:
                raise state.Unavailable("what was read is out of date")

    def revision_before(self, moment: float) -> Revision | None:
        """A revision below all that was committed after that moment, by our clock; None: we have
        not read so long ago."""
        found = [revision for at, revision in self.revisions if at <= moment]
        return found[-1] if found else None

    def needs(self, id: JobId) -> list[JobId]:
        """What the job still waits for, as far as it was read."""
        return sorted(self.graph.needs.get(id, ()))

    async def states(self, ids: list[JobId]) -> dict[JobId, Live | FinalRecord | None]:
        """The same for many jobs, with one reading of what has changed. Whatever was accepted
        before the question is found; what ends meanwhile may show either way."""
        failed = await self._ask(urgent=True)
        if failed is not None:
            raise failed
        return {id: await self._found(id) for id in ids}

    async def _ask(self, urgent: bool) -> Exception | None:
        question = Ask(Fresh())
        await self.mail.put(question)
        if urgent:
            await self.hurry.set()
        failed: Exception | None = await question.wait()
        return failed

    async def _found(self, id: JobId) -> Live | FinalRecord | None:
        # A final state may have been told to its user while we waited: it comes first.
        found = self.finals.get(id) or self.live.get(id)
        if found is None and self.absent.get(id) is not NOBODYS:
            return await self._past(id)
        if isinstance(found, Live) and found.waits and not found.marked:
            # A job before it may have been cancelled: then this one is, whatever its own record
            # says as yet, and every controller must say the same.
            for need in self.graph.hazy(id):
                final = self.finals.get(need)
                if final is not None:
                    self.graph.ended(need, final.phase)
                elif await self._past(need) is None:
                    raise state.Unavailable(f"what became of {need} is not known yet")
            cause = self.graph.doomed.get(id)
            if cause is not None:
                return FinalRecord(CANCELLED, because=cause)
            return self.finals.get(id, found)
        return found

    async def _past(self, id: JobId) -> Live | FinalRecord | None:
        """What the state service has of a job that our copy does not know as live."""
        # Noted before it is looked up: whatever is submitted meanwhile takes the note away.
        mark = object()
        self.absent[id] = mark
        while len(self.absent) > self.most_finals:
            self.absent.popitem(last=False)
        try:
            past = await self.store.get(Key(PAST + id))
            live = None
            if past is None and self.clock() - self.listed_at > LISTED_S:
                live = await self.store.get(Key(LIVE + id))
        except BaseException:
            self.absent.pop(id, None)
            raise
        if past is None and live is not None:
            # It was accepted and our copy does not have it: its user must never be told otherwise.
            log.warning("job_not_in_copy", job=id)
            self._live(LIVE + id, live.data)
            return self.live[id]
        if past is None:
            # Only now: somebody else who asked meanwhile must not take the mark for an answer.
            if self.absent.get(id) is mark:
                self.absent[id] = NOBODYS
            return None
        record = self._final(past.data, Key(PAST + id))
        if record is None:
            raise state.Unavailable(f"what is stored of {id} can't be read")
        self.keep(id, record)
        return record

    def _final(self, data: object, key: str) -> FinalRecord | None:
        """None: it says nothing that could be told to anybody."""
        try:
            return wire.converted(data, FinalRecord)  # type: ignore[no-any-return]
        except wire.Malformed as error:
            log.error("record_malformed", key=key, error=error)
        phase = data.get("phase") if isinstance(data, dict) else None
        return FinalRecord(phase) if phase in (wire.DONE, CANCELLED) else None

    def keep(self, id: JobId, final: FinalRecord) -> None:
        """Final states never change, so they need no refreshing."""
        self.live.pop(id, None)
        self.absent.pop(id, None)
        self.graph.ended(id, final.phase)
        self.finals[id] = msgspec.structs.replace(final, remains=None)  # no matter of users
        while len(self.finals) > self.most_finals:
            self.finals.popitem(last=False)

    async def run(self) -> None:
        while True:
            asked: list[Ask] = []
            first = await curio.ignore_after(LULL_S, self.mail.get)
            if first is not None:
                asked.append(first)
            self.hurry.clear()
            while not self.mail.empty():
                asked.append(await self.mail.get())
            failed: Exception | None = None
            try:
                await self._refresh()
            except (state.Unavailable, state.Unknown, state.TooOld) as error:
                log.debug("states_not_read", error=error)
                failed = state.Unavailable(str(error))
            except curio.CancelledError:
                raise
            except Exception as error:
                # Who asked must not wait for ever, and the next reading begins anew.
                log.exception("states_not_read")
                self.after = None
                failed = state.Unavailable(str(error))
            for question in asked:
                await question.reply(failed)
            await curio.sleep(self.pause)
            await curio.ignore_after(GATHER_S, self.hurry.wait)

    async def _refresh(self) -> None:
        sent = self.clock()
        await self._read()
        self.read_at = sent
        self._note_revision()

    def _note_revision(self) -> None:
        now = self.clock()
        known = self.revisions
        if self.after is not None and (not known or now - known[-1][0] > REVISIONS_S):
            known.append((now, self.after))
            while len(known) > 1 and now - known[1][0] > self.remembered_s:
                known.popleft()

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
        self.listed_at = self.clock()
        entries, after = await self.store.entries(LIVE)
        self.live.clear()
        self.absent.clear()
        self.graph.clear()
        for entry in entries:
            self._live(entry.path, entry.data)
        # The pages were read one after the other: what changed meanwhile comes with the next
        # changes, and must be known before anybody is answered.
        changes, self.after = await self.store.watch(JOBS, after, 0.0, ANSWER_S)
        for change in changes:
            self._change(change)

    def _change(self, change: wire.Change) -> None:
        if change.delete is not None and change.delete.startswith(LIVE):
            id = JobId(change.delete[len(LIVE) :])
            self.live.pop(id, None)
            self.graph.gone(id)
        elif change.write is not None and change.write.startswith(LIVE):
            self._live(change.write, change.data)
        elif change.write is not None and change.write.startswith(PAST):
            final = self._final(change.data, change.write)
            if final is not None:
                self.keep(JobId(change.write[len(PAST) :]), final)

    def _live(self, path: str, data: object) -> None:
        id = JobId(path[len(LIVE) :])
        self.absent.pop(id, None)
        self.graph.seen(id)
        try:
            record = wire.converted(data, JobRecord)
            done = record.base + int(record.done, 16).bit_count()
            needs = wire.unpack_needs(record.needs) if record.needs else []
        except (wire.Malformed, ValueError) as error:
            # It was accepted all the same, and its user is told so.
            log.error("record_malformed", key=path, error=error)
            self.live[id] = Live(0, 0, service=False, waits=False)
            return
        self.live[id] = Live(record.marked, done, record.spec.shape == wire.SERVICE, bool(needs))
        if needs:
            self.graph.add(id, needs)
        else:
            self.graph.started(id)
