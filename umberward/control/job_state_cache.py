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

from umberward.clients import state_client
from umberward.clients.state_client import StateClient
from umberward.core.actor import Question
from umberward.core.log import logger
from umberward.core.settings import Settings
from umberward.core.types import JobId, Key, Revision
from umberward.protocol import wire
from umberward.protocol.wire import (
    CANCELLED,
    FINAL_JOBS_PREFIX,
    JOBS_PREFIX,
    LIVE_JOBS_PREFIX,
    FinalJobRecord,
    JobRecord,
)
from umberward.scheduling.dependencies import DependencyGraph
from umberward.scheduling.lease_bounds import LeaseBounds

log = logger(__name__)

REQUEST_SHARE = 0.2  # of the state service's requests, for all controllers' copies together
MAX_ANSWER_S = 1.2  # users wait 2 s for the answer to a poll
MAX_STALENESS_S = (
    0.4  # what was read so long ago is read again: we stood still, or were kept waiting
)
# Polls that come meanwhile are answered together; their users wait 2 s. Submissions do not wait.
BATCH_WINDOW_S = 0.15
IDLE_REFRESH_S = (
    10.0  # without polls a copy is brought up to date so often, as old changes are dropped
)
RECENT_LISTING_S = (
    5.0  # a copy that was listed so lately lacks nothing that its changes do not tell
)
REVISION_NOTE_INTERVAL_S = 1.0  # how often the revision of a moment is remembered
NEVER_SUBMITTED = object()  # nobody has submitted the job


class LiveJobState(NamedTuple):
    """What users may know of a job under way."""

    placed_below: int
    done_count: int
    service: bool
    has_dependencies: bool  # it was accepted to wait for others


class RefreshRequested(NamedTuple):
    """Asks for everything that stood in the state service when this message was sent."""


class JobStateCache:
    """An actor: questions that wait are answered together."""

    def __init__(
        self, settings: Settings, store: StateClient, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.store = store
        self.clock = clock
        cluster = settings.platform.cluster
        self.pause = cluster.size / (cluster.state.rps * REQUEST_SHARE)
        self.live: dict[JobId, LiveJobState] = {}
        self.graph = DependencyGraph(self.live.__contains__)
        self.finals: OrderedDict[JobId, FinalJobRecord] = OrderedDict()
        # Ids that nobody had submitted when they were looked up; a submission shows as a change.
        # While the look-up is under way its own mark stands there, and nothing is known yet.
        self.absent: OrderedDict[JobId, object] = OrderedDict()
        self.max_finals = settings.operator.poll_cache
        self.watched_revision: Revision | None = None
        self.listed_at = 0.0  # when all live jobs were last read
        self.read_at = 0.0  # when the latest changes were asked for
        # All that was committed after a moment has a higher revision than the one beside it.
        self.revisions: deque[tuple[float, Revision]] = deque()
        self.revision_history_s = LeaseBounds(cluster.workers).takeover_s + IDLE_REFRESH_S
        self.mailbox: curio.Queue = curio.Queue()
        self.urgent_request = curio.Event()

    async def state(self, id: JobId, urgent: bool = False) -> LiveJobState | FinalJobRecord | None:
        """Raises state.Unavailable or state.Unknown. None: no controller has accepted it.

        What is not urgent waits for others that come within GATHER_S.
        """
        asked = self.clock()
        while True:
            final = self.finals.get(id)
            if final is not None:
                return final
            failed = await self._request_refresh(urgent)
            if failed is not None:
                raise failed
            # A final state may have been told to its user while we waited: it comes first.
            found = await self._lookup(id)
            now = self.clock()
            if isinstance(found, FinalJobRecord) or now - self.read_at <= MAX_STALENESS_S:
                return found
            if now - asked > MAX_ANSWER_S:
                raise state_client.StateUnavailableError("what was read is out of date")

    def revision_before(self, moment: float) -> Revision | None:
        """A revision below all that was committed after that moment, by our clock; None: we have
        not read so long ago."""
        found = [revision for at, revision in self.revisions if at <= moment]
        return found[-1] if found else None

    def dependencies_of(self, id: JobId) -> list[JobId]:
        """What the job still waits for, as far as it was read."""
        return sorted(self.graph.dependencies.get(id, ()))

    async def states(self, ids: list[JobId]) -> dict[JobId, LiveJobState | FinalJobRecord | None]:
        """The same for many jobs, with one reading of what has changed. Whatever was accepted
        before the question is found; what ends meanwhile may show either way."""
        failed = await self._request_refresh(urgent=True)
        if failed is not None:
            raise failed
        return {id: await self._lookup(id) for id in ids}

    async def _request_refresh(self, urgent: bool) -> Exception | None:
        question = Question(RefreshRequested())
        await self.mailbox.put(question)
        if urgent:
            await self.urgent_request.set()
        failed: Exception | None = await question.wait()
        return failed

    async def _lookup(self, id: JobId) -> LiveJobState | FinalJobRecord | None:
        # A final state may have been told to its user while we waited: it comes first.
        found = self.finals.get(id) or self.live.get(id)
        if found is None and self.absent.get(id) is not NEVER_SUBMITTED:
            return await self._lookup_stored(id)
        if isinstance(found, LiveJobState) and found.has_dependencies and not found.placed_below:
            # A job before it may have been cancelled: then this one is, whatever its own record
            # says as yet, and every controller must say the same.
            for need in self.graph.unresolved(id):
                final = self.finals.get(need)
                if final is not None:
                    self.graph.note_ended(need, final.phase)
                elif await self._lookup_stored(need) is None:
                    raise state_client.StateUnavailableError(
                        f"what became of {need} is not known yet"
                    )
            cause = self.graph.cancelled_by.get(id)
            if cause is not None:
                return FinalJobRecord(CANCELLED, cancelled_by=cause)
            return self.finals.get(id, found)
        return found

    async def _lookup_stored(self, id: JobId) -> LiveJobState | FinalJobRecord | None:
        """What the state service has of a job that our copy does not know as live."""
        # Noted before it is looked up: whatever is submitted meanwhile takes the note away.
        mark = object()
        self.absent[id] = mark
        while len(self.absent) > self.max_finals:
            self.absent.popitem(last=False)
        try:
            past = await self.store.get(Key(FINAL_JOBS_PREFIX + id))
            live = None
            if past is None and self.clock() - self.listed_at > RECENT_LISTING_S:
                live = await self.store.get(Key(LIVE_JOBS_PREFIX + id))
        except BaseException:
            self.absent.pop(id, None)
            raise
        if past is None and live is not None:
            # It was accepted and our copy does not have it: its user must never be told otherwise.
            log.warning("job_missing_from_cache", job=id)
            self._apply_live(LIVE_JOBS_PREFIX + id, live.data)
            return self.live[id]
        if past is None:
            # Only now: somebody else who asked meanwhile must not take the mark for an answer.
            if self.absent.get(id) is mark:
                self.absent[id] = NEVER_SUBMITTED
            return None
        record = self._parse_final(past.data, Key(FINAL_JOBS_PREFIX + id))
        if record is None:
            raise state_client.StateUnavailableError(f"what is stored of {id} can't be read")
        self.keep_final(id, record)
        return record

    def _parse_final(self, data: object, key: str) -> FinalJobRecord | None:
        """None: it says nothing that could be told to anybody."""
        try:
            return wire.convert(data, FinalJobRecord)  # type: ignore[no-any-return]
        except wire.MalformedMessageError as error:
            log.error("record_malformed", key=key, error=error)
        phase = data.get("phase") if isinstance(data, dict) else None
        return FinalJobRecord(phase) if phase in (wire.DONE, CANCELLED) else None

    def keep_final(self, id: JobId, final: FinalJobRecord) -> None:
        """Final states never change, so they need no refreshing."""
        self.live.pop(id, None)
        self.absent.pop(id, None)
        self.graph.note_ended(id, final.phase)
        self.finals[id] = msgspec.structs.replace(final, remaining=None)  # no matter of users
        while len(self.finals) > self.max_finals:
            self.finals.popitem(last=False)

    async def run(self) -> None:
        while True:
            asked: list[Question] = []
            first = await curio.ignore_after(IDLE_REFRESH_S, self.mailbox.get)
            if first is not None:
                asked.append(first)
            self.urgent_request.clear()
            while not self.mailbox.empty():
                asked.append(await self.mailbox.get())
            failed: Exception | None = None
            try:
                await self._refresh()
            except (
                state_client.StateUnavailableError,
                state_client.UnknownOutcomeError,
                state_client.RevisionCompactedError,
            ) as error:
                log.debug("job_states_not_read", error=error)
                failed = state_client.StateUnavailableError(str(error))
            except curio.CancelledError:
                raise
            except Exception as error:
                # Who asked must not wait for ever, and the next reading begins anew.
                log.exception("job_states_not_read")
                self.watched_revision = None
                failed = state_client.StateUnavailableError(str(error))
            for question in asked:
                await question.reply(failed)
            await curio.sleep(self.pause)
            await curio.ignore_after(BATCH_WINDOW_S, self.urgent_request.wait)

    async def _refresh(self) -> None:
        sent = self.clock()
        await self._read_changes()
        self.read_at = sent
        self._note_revision()

    def _note_revision(self) -> None:
        now = self.clock()
        known = self.revisions
        if self.watched_revision is not None and (
            not known or now - known[-1][0] > REVISION_NOTE_INTERVAL_S
        ):
            known.append((now, self.watched_revision))
            while len(known) > 1 and now - known[1][0] > self.revision_history_s:
                known.popleft()

    async def _read_changes(self) -> None:
        if self.watched_revision is not None:
            try:
                changes, self.watched_revision = await self.store.watch(
                    JOBS_PREFIX, self.watched_revision, 0.0, MAX_ANSWER_S
                )
            except state_client.RevisionCompactedError:
                self.watched_revision = None
            else:
                for change in changes:
                    self._apply_change(change)
                return
        self.listed_at = self.clock()
        entries, after = await self.store.list_all(LIVE_JOBS_PREFIX)
        self.live.clear()
        self.absent.clear()
        self.graph.clear()
        for entry in entries:
            self._apply_live(entry.key, entry.data)
        # The pages were read one after the other: what changed meanwhile comes with the next
        # changes, and must be known before anybody is answered.
        changes, self.watched_revision = await self.store.watch(
            JOBS_PREFIX, after, 0.0, MAX_ANSWER_S
        )
        for change in changes:
            self._apply_change(change)

    def _apply_change(self, change: wire.KeyChange) -> None:
        if change.deleted_key is not None and change.deleted_key.startswith(LIVE_JOBS_PREFIX):
            id = JobId(change.deleted_key[len(LIVE_JOBS_PREFIX) :])
            self.live.pop(id, None)
            self.graph.note_gone(id)
        elif change.put_key is not None and change.put_key.startswith(LIVE_JOBS_PREFIX):
            self._apply_live(change.put_key, change.data)
        elif change.put_key is not None and change.put_key.startswith(FINAL_JOBS_PREFIX):
            final = self._parse_final(change.data, change.put_key)
            if final is not None:
                self.keep_final(JobId(change.put_key[len(FINAL_JOBS_PREFIX) :]), final)

    def _apply_live(self, path: str, data: object) -> None:
        id = JobId(path[len(LIVE_JOBS_PREFIX) :])
        self.absent.pop(id, None)
        self.graph.note_live(id)
        try:
            record = wire.convert(data, JobRecord)
            done = record.done_below + int(record.done_bitmap, 16).bit_count()
            needs = wire.unpack_dependencies(record.dependencies) if record.dependencies else []
        except (wire.MalformedMessageError, ValueError) as error:
            # It was accepted all the same, and its user is told so.
            log.error("record_malformed", key=path, error=error)
            self.live[id] = LiveJobState(0, 0, service=False, has_dependencies=False)
            return
        self.live[id] = LiveJobState(
            record.placed_below, done, record.spec.kind == wire.SERVICE, bool(needs)
        )
        if needs:
            self.graph.add(id, needs)
        else:
            self.graph.note_started(id)
