"""A controller's cache of all job states, refreshed on demand for batches of requests.

A poll must reflect everything that any controller has returned to a user before. Reading the state
service for each poll would cost requests in proportion to the number of jobs. All waiting polls
therefore share one request, sent after they arrived, for the changes since the previous one.
"""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

import curio
import msgspec

from umberward.clients import state_client
from umberward.clients.state_client import StateClient
from umberward.control.absent_jobs import AbsentJob, AbsentJobCache, AnsweredLookup
from umberward.control.job_states import JobState, LiveJobState, decode_final, decode_live
from umberward.control.revision_history import RevisionHistory
from umberward.control.stored_jobs import final_key, live_key
from umberward.core.actor import PendingRequest
from umberward.core.log import logger
from umberward.core.settings import Settings
from umberward.core.types import JobId, Revision
from umberward.protocol import wire
from umberward.protocol.transactions import AbsentKey, VersionedValue
from umberward.protocol.wire import (
    CANCELLED,
    FINAL_JOBS_PREFIX,
    JOBS_PREFIX,
    LIVE_JOBS_PREFIX,
    FinalJobRecord,
)
from umberward.scheduling.dependencies import DependencyGraph
from umberward.scheduling.sessions.lease_bounds import LeaseBounds

log = logger(__name__)

REFRESH_RATE_SHARE = 0.2  # of the state service's request rate, for refreshes by all controllers
MAX_ANSWER_TIME_S = 1.2  # of a poll or of one refresh; users wait 2 s for the response to a poll
# If the latest refresh was sent longer ago than this when the result is ready, it is repeated: the
# process was paused, or a request was delayed.
MAX_STALENESS_S = 0.4
# Polls arriving within this time share a refresh; users wait 2 s. Submissions do not wait.
BATCH_WINDOW_S = 0.15
# Refresh interval without polls, needed because the state service discards old changes.
IDLE_REFRESH_S = 10.0
# The changes after a listing complete what it may have missed, so a job's live record is not read
# again unless the listing is older than this.
RECENT_LISTING_S = 5.0
LIVE_PHASE = "live"  # of a job without a final record
NO_DELAY_S = 0.0  # the state service responds immediately, even without changes
STALE_ANSWER = "the job state that was read is out of date"


class RefreshRequested(NamedTuple):
    """Requests a refresh that includes everything stored before this message was sent."""


class _Refresh(NamedTuple):
    """When a refresh was sent, and the revision up to which it applied all changes."""

    sent_at: float
    revision: Revision | None


class JobStateCache:
    """Its `run` loop responds to all waiting requests after a single refresh.

    `live_jobs` and `final_records` hold the states by job id. `refresh_sent_at` is when the latest
    refresh was sent and `listed_at` when all live jobs were last listed, both by `clock`.
    """

    def __init__(
        self, settings: Settings, store: StateClient, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Create an empty cache; `clock` is a monotonic clock, in seconds."""
        self.store = store
        self.clock = clock
        cluster = settings.platform.cluster
        self.refresh_pause_s = cluster.size / (cluster.state.rps * REFRESH_RATE_SHARE)
        self.live_jobs: dict[JobId, LiveJobState] = {}
        self.dependency_graph = DependencyGraph(self.live_jobs.__contains__)
        self.final_records: OrderedDict[JobId, FinalJobRecord] = OrderedDict()
        self.max_final_records = settings.operator.poll_cache
        self.absent_jobs = AbsentJobCache(self.max_final_records)
        self.watched_revision: Revision | None = None  # None: the live jobs must be listed
        self.must_list = False  # a change was missed: list them although there is a revision
        self.listed_at = 0.0
        self.refresh_sent_at = 0.0
        takeover_s = LeaseBounds(cluster.workers).takeover_s
        self.revision_history = RevisionHistory(takeover_s + IDLE_REFRESH_S)
        # Called with each job of which a record has been read.
        self.on_job_known: Callable[[JobId], None] = lambda _: None
        self.mailbox: curio.Queue = curio.Queue()
        self.urgent_request = curio.Event()

    # ---- reads -------------------------------------------------------------------------

    async def state(self, job_id: JobId, *, urgent: bool = False) -> JobState | AbsentJob:
        """The job's state at the time of the call or later.

        A request that is not urgent waits up to BATCH_WINDOW_S for others. Raises
        StateUnavailableError or UnknownOutcomeError if the state service can't be read in time.
        """
        requested_at = self.clock()
        while True:
            final = self.final_records.get(job_id)
            if final is not None:
                return final
            await self._request_refresh(urgent=urgent)
            state = await self._lookup(job_id)
            now = self.clock()
            if isinstance(state, FinalJobRecord) or now - self.refresh_sent_at <= MAX_STALENESS_S:
                return state
            if now - requested_at > MAX_ANSWER_TIME_S:
                raise state_client.StateUnavailableError(STALE_ANSWER)

    async def states(self, job_ids: list[JobId]) -> dict[JobId, JobState | AbsentJob]:
        """The states of many jobs, after a single refresh.

        Every job that was accepted before the call is found. A job that ends during the call may
        have either state. Raises the same errors as `state`.
        """
        await self._request_refresh(urgent=True)
        return {job_id: await self._lookup(job_id) for job_id in job_ids}

    def known_phase(self, job_id: JobId) -> str | None:
        """What was last read of the job, without a new read: its final phase, or `live`."""
        final = self.final_records.get(job_id)
        if final is not None:
            return final.phase
        return LIVE_PHASE if job_id in self.live_jobs else None

    def dependencies_of(self, job_id: JobId) -> list[JobId]:
        """The jobs that this one still waits for, as of the latest refresh."""
        return sorted(self.dependency_graph.dependencies.get(job_id, ()))

    def revision_before(self, instant: float) -> Revision | None:
        """A revision lower than that of every commit after `instant`, by this process's clock.

        None if no refresh is that old.
        """
        return self.revision_history.before(instant)

    def add_final_record(self, job_id: JobId, final: FinalJobRecord) -> None:
        """Add a job that has ended; its record never changes, so it needs no refresh."""
        self.live_jobs.pop(job_id, None)
        self.absent_jobs.discard(job_id)
        self.on_job_known(job_id)
        self.dependency_graph.note_ended(job_id, final.phase)
        # Only the leader needs the remaining tasks; users never see them.
        self.final_records[job_id] = msgspec.structs.replace(final, remaining=None)
        while len(self.final_records) > self.max_final_records:
            self.final_records.popitem(last=False)

    async def _request_refresh(self, *, urgent: bool) -> None:
        """Wait for a refresh that is sent after this call. Raises its error if it fails."""
        pending_request = PendingRequest(RefreshRequested())
        await self.mailbox.put(pending_request)
        if urgent:
            await self.urgent_request.set()
        failure: Exception | None = await pending_request.wait()
        if failure is not None:
            raise failure

    # ---- lookups -----------------------------------------------------------------------

    async def _lookup(self, job_id: JobId) -> JobState | AbsentJob:
        """The job's state as of the latest refresh, with further requests if necessary."""
        # A final record takes precedence: it may have been returned to a user during the refresh.
        state = self.final_records.get(job_id) or self.live_jobs.get(job_id)
        if state is None:
            answer = self.absent_jobs.answer(job_id)
            if answer is not None:
                return self._absent_job(job_id, answer, self._latest_refresh())
            return await self._lookup_stored(job_id)
        if isinstance(state, LiveJobState) and state.has_dependencies and not state.placed_below:
            return await self._lookup_dependent(job_id, state)
        return state

    async def _lookup_dependent(self, job_id: JobId, state: LiveJobState) -> JobState:
        """The state of a job that waits for dependencies, any of which may have been cancelled.

        In that case the job is cancelled too, even if its own record does not say so yet, and every
        controller must return the same state.
        """
        for dependency in self.dependency_graph.unresolved_dependencies(job_id):
            final = self.final_records.get(dependency)
            if final is not None:
                self.dependency_graph.note_ended(dependency, final.phase)
            elif isinstance(await self._lookup_stored(dependency), AbsentJob):
                reason = f"the state of the dependency {dependency} is not known yet"
                raise state_client.StateUnavailableError(reason)
        cause = self.dependency_graph.cancelled_by.get(job_id)
        if cause is not None:
            return FinalJobRecord(CANCELLED, cancelled_by=cause)
        return self.final_records.get(job_id, state)

    async def _lookup_stored(self, job_id: JobId) -> JobState | AbsentJob:
        """The stored state of a job that was not live as of the latest refresh."""
        lookup = self.absent_jobs.begin(job_id)
        refresh = self._latest_refresh()
        # Decided now: a listing during the read below may no longer have the job, if it ends.
        is_listing_old = self.clock() - self.listed_at > RECENT_LISTING_S
        try:
            stored_final = await self.store.get(final_key(job_id))
            stored_live: VersionedValue | AbsentKey | None = None
            if isinstance(stored_final, AbsentKey) and is_listing_old:
                stored_live = await self.store.get(live_key(job_id))
                if isinstance(stored_live, AbsentKey):
                    # It may have ended between these reads.
                    stored_final = await self.store.get(final_key(job_id))
        except BaseException:
            self.absent_jobs.discard(job_id)
            raise
        if not isinstance(stored_final, AbsentKey):
            return self._add_stored_final(job_id, stored_final.data)
        if isinstance(stored_live, VersionedValue):
            # The cache has missed a job that was accepted: polls must not report it as unknown.
            log.warning("job_missing_from_cache", job=job_id)
            self.absent_jobs.discard(job_id)
            # Not cached: the job may have ended since this record was read.
            self.must_list = True
            return decode_live(live_key(job_id), stored_live.data).state
        # Confirm only now: concurrent requests must not take an unfinished lookup for a result.
        answer = AnsweredLookup(stored_final, self.clock())
        self.absent_jobs.confirm(job_id, lookup, answer)
        # It may have been accepted during the lookup, and another request answered accordingly.
        known = self.final_records.get(job_id) or self.live_jobs.get(job_id)
        return known or self._absent_job(job_id, answer, refresh)

    def _latest_refresh(self) -> _Refresh:
        return _Refresh(self.refresh_sent_at, self.watched_revision)

    @staticmethod
    def _absent_job(job_id: JobId, answer: AnsweredLookup, refresh: _Refresh) -> AbsentJob:
        """The proof of an answered lookup, and a refresh that has not shown the job since."""
        return AbsentJob(
            job_id, answer.final_record, answer.answered_at, refresh.sent_at, refresh.revision
        )

    def _add_stored_final(self, job_id: JobId, data: object) -> FinalJobRecord:
        """Add a stored final record. Raises StateUnavailableError if it can't be decoded."""
        final = decode_final(data, final_key(job_id))
        if final is None:
            reason = f"the stored final record of {job_id} can't be decoded"
            raise state_client.StateUnavailableError(reason)
        self.add_final_record(job_id, final)
        return final

    # ---- refresh -----------------------------------------------------------------------

    async def run(self) -> None:
        """Refresh the cache on demand, or after IDLE_REFRESH_S without requests, in a loop."""
        while True:
            pending_requests = await self._receive_requests()
            failure = await self._try_refresh()
            for pending_request in pending_requests:
                await pending_request.respond(failure)
            await curio.sleep(self.refresh_pause_s)
            await curio.ignore_after(BATCH_WINDOW_S, self.urgent_request.wait)

    async def _receive_requests(self) -> list[PendingRequest]:
        """Wait up to IDLE_REFRESH_S for a request and return all that have arrived."""
        pending_requests: list[PendingRequest] = []
        first = await curio.ignore_after(IDLE_REFRESH_S, self.mailbox.get)
        if first is not None:
            pending_requests.append(first)
        self.urgent_request.clear()
        while not self.mailbox.empty():
            pending_requests.append(await self.mailbox.get())
        return pending_requests

    async def _try_refresh(self) -> state_client.StateUnavailableError | None:
        """Refresh the cache; return None, or the error to report to the waiting requests."""
        try:
            await self._refresh()
        except (
            state_client.StateUnavailableError,
            state_client.UnknownOutcomeError,
            state_client.RevisionCompactedError,
        ) as error:
            log.debug("job_states_not_read", error=error)
            return state_client.StateUnavailableError(str(error))
        except curio.CancelledError:
            raise
        except Exception as error:
            # The waiting requests must get a reply, and the next refresh starts from a listing.
            log.exception("job_states_not_read")
            self.watched_revision = None
            return state_client.StateUnavailableError(str(error))
        return None

    async def _refresh(self) -> None:
        sent_at = self.clock()
        await self._read_changes()
        self.refresh_sent_at = sent_at
        if self.watched_revision is not None:
            self.revision_history.record(self.watched_revision, self.clock())

    async def _read_changes(self) -> None:
        """Apply the changes since the latest refresh, or list all live jobs if they are lost."""
        if self.watched_revision is not None and not self.must_list:
            try:
                await self._apply_changes_after(self.watched_revision)
            except state_client.RevisionCompactedError:
                self.watched_revision = None
            else:
                return
        self.must_list = False
        started_at = self.clock()
        entries, listed_revision = await self.store.list_all(LIVE_JOBS_PREFIX)
        self.listed_at = started_at
        self.live_jobs.clear()
        self.absent_jobs.clear()
        self.dependency_graph.clear()
        for entry in entries:
            self._apply_live(entry.key, entry.data)
        # The pages of a listing are read one after another. Changes made in between must be applied
        # before any request is answered.
        await self._apply_changes_after(listed_revision)
        log.info(
            "live_jobs_listed",
            jobs=len(entries),
            revision=self.watched_revision,
            seconds=round(self.clock() - self.listed_at, 3),
        )

    async def _apply_changes_after(self, revision: Revision) -> None:
        changes, self.watched_revision = await self.store.watch(
            JOBS_PREFIX, revision, NO_DELAY_S, MAX_ANSWER_TIME_S
        )
        for change in changes:
            self._apply_change(change)

    def _apply_change(self, change: wire.KeyChange) -> None:
        if change.deleted_key is not None and change.deleted_key.startswith(LIVE_JOBS_PREFIX):
            job_id = JobId(change.deleted_key[len(LIVE_JOBS_PREFIX) :])
            self.live_jobs.pop(job_id, None)
            self.dependency_graph.note_removed(job_id)
        elif change.put_key is not None and change.put_key.startswith(LIVE_JOBS_PREFIX):
            self._apply_live(change.put_key, change.data)
        elif change.put_key is not None and change.put_key.startswith(FINAL_JOBS_PREFIX):
            final = decode_final(change.data, change.put_key)
            if final is not None:
                self.add_final_record(JobId(change.put_key[len(FINAL_JOBS_PREFIX) :]), final)

    def _apply_live(self, key: str, data: object) -> None:
        """Add or update a live job, from its key and its record."""
        job_id = JobId(key[len(LIVE_JOBS_PREFIX) :])
        self.absent_jobs.discard(job_id)
        self.on_job_known(job_id)
        self.dependency_graph.note_live(job_id)
        decoded = decode_live(key, data)
        self.live_jobs[job_id] = decoded.state
        if decoded.dependencies is None:
            return
        if decoded.dependencies:
            self.dependency_graph.add(job_id, decoded.dependencies)
        else:
            self.dependency_graph.note_not_waiting(job_id)
