"""The requests of users for single jobs, at every controller: submit, poll and cancel.

No response is older than its request: it comes from records that never change, or from a read of
the state service after the request arrived.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import overload

from umberward.clients import state_client
from umberward.clients.state_client import StateClient
from umberward.control.absent_jobs import AbsentJob
from umberward.control.cancelled_records import cancelled_record
from umberward.control.errors import ControllerError
from umberward.control.job_admission import (
    JobAdmission,
    JobRejectedError,
    SelfDependencyError,
    Submission,
    UnknownDependencyError,
    extract_job_id,
    resolve_dependencies,
)
from umberward.control.job_responses import (
    JobStateResponse,
    final_response,
    live_response,
    state_response,
)
from umberward.control.job_state_cache import JobStateCache
from umberward.control.rejection_log import JobRequest, RejectionLog
from umberward.control.responses import (
    error_response,
    rate_limited_response,
    retry_later_response,
)
from umberward.control.stored_jobs import final_key, live_key
from umberward.core.grouped_log import GroupedLog
from umberward.core.log import logger
from umberward.core.rate_limited_log import RateLimitedLog
from umberward.core.settings import Settings
from umberward.core.types import JobId, MachineTypeName, Version, WallTime
from umberward.protocol import transactions, wire
from umberward.protocol.http import Response
from umberward.protocol.transactions import AbsentKey
from umberward.protocol.wire import (
    CANCELLED,
    FinalJobRecord,
    JobRecord,
    MachineType,
)

log = logger(__name__)
grouped_log = GroupedLog(log)
rate_limited_log = RateLimitedLog(log)

DEPENDENCIES_RETRY_AFTER_S = 10.0
SUBMIT_BUDGET_WAIT_S = 0.4  # longest wait of a submission for the rate budget of the writes
MAX_SUBMIT_ATTEMPTS = 2
MAX_CANCEL_ATTEMPTS = 4
OUTAGE_RETRY_AFTER_S = 2.0
STATE_UNREACHABLE = "the state service is unreachable"
ABSENCE_TOO_OLD = "the read that does not have the job is older than the request"
NO_RECORD = Version(0)  # the version of a key that does not exist


class JobChangedError(ControllerError):
    """The job's record changed, or may have changed, between the read and the write."""


@dataclass(frozen=True)
class JobApiCallbacks:
    """Connections of the job API to other parts of the controller.

    `is_state_reachable` returns whether the state service can be reached; if not, requests that
    need it are rejected immediately. `announce_cancellation` is called with each job whose
    cancellation is confirmed to a user, and `report_unknown` with each job that a user is told is
    unknown. `has_faulty_peer` returns whether a peer runs a build with a known fault.
    """

    is_state_reachable: Callable[[], bool] = lambda: True
    announce_cancellation: Callable[[JobId], None] = lambda _: None
    report_unknown: Callable[[JobId], None] = lambda _: None
    has_faulty_peer: Callable[[], bool] = lambda: False


NO_CALLBACKS = JobApiCallbacks()


class JobApi:
    """Serves job requests of users."""

    def __init__(
        self,
        settings: Settings,
        store: StateClient,
        job_states: JobStateCache,
        machine_types: dict[MachineTypeName, MachineType],
        wall_clock: Callable[[], WallTime],
        callbacks: JobApiCallbacks = NO_CALLBACKS,
    ) -> None:
        """Create the API; submissions get a 503 until `machine_types` has been filled in."""
        self.store = store
        self.job_states = job_states
        self.machine_types = machine_types
        self.callbacks = callbacks
        self.admission = JobAdmission(settings, machine_types, wall_clock)
        self.rejections = RejectionLog(job_states, job_states.clock, callbacks.has_faulty_peer)
        job_states.on_job_known = self.rejections.note_job_known

    # ---- submit ------------------------------------------------------------------------

    async def submit(self, body: bytes) -> Response:
        """Accept the job in a MessagePack body, or return the state of a job accepted before.

        Responds 201 for a newly accepted job, 200 for one accepted before, 400 or 422 with a reason
        for one that is malformed or can never run, and 429 or 503 if the user should retry later.
        """
        arrived_at = self.job_states.clock()
        try:
            return await self._submit(body, arrived_at)
        except state_client.RateBudgetExceededError as error:
            grouped_log.info(
                "submission_not_accepted",
                error="this controller's share of the write rate is used up",
            )
            return rate_limited_response(error.wait_s)
        except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
            grouped_log.info("submission_not_accepted", error=error)
            return retry_later_response(OUTAGE_RETRY_AFTER_S)

    async def _submit(self, body: bytes, arrived_at: float) -> Response:
        try:
            submission = self.admission.decode(body)
        except wire.MalformedMessageError as error:
            job_id = extract_job_id(body)
            return await self._known_or_refused_response(job_id, 400, str(error), arrived_at)
        final = self.job_states.final_records.get(submission.job_id)
        if final is not None:
            return final_response(submission.job_id, final)
        self._require_state_service()
        if not self.machine_types:
            return retry_later_response()
        try:
            self.admission.check_feasible(submission.spec)
            if submission.job_id in submission.dependencies:
                raise SelfDependencyError  # rejected like an infeasible job
        except JobRejectedError as error:
            job_id = submission.job_id
            return await self._known_or_refused_response(job_id, 422, str(error), arrived_at)
        if submission.dependencies:
            return await self._submit_dependent(submission, arrived_at)
        return await self._store_submission(submission.job_id, submission.record)

    async def _known_or_refused_response(
        self, job_id: JobId | None, status: int, reason: str, arrived_at: float
    ) -> Response:
        """The state of a job accepted before, whatever the submission contains; else a refusal."""
        existing = await self._existing_job_response(job_id)
        if isinstance(existing, Response):
            return existing
        return self._refused_response(existing, status, reason, arrived_at)

    async def _submit_dependent(self, submission: Submission, arrived_at: float) -> Response:
        """Submit a job with dependencies, all of which must already have been accepted."""
        job_id, record, dependencies = submission
        states = await self.job_states.states([job_id, *dependencies])
        own_state = states.pop(job_id)
        if not isinstance(own_state, AbsentJob):
            # Accepted before: return its state, whatever the states of its dependencies are.
            existing = await self._existing_job_response(job_id)
            return existing if isinstance(existing, Response) else retry_later_response()
        try:
            outcome = resolve_dependencies(states)
        except UnknownDependencyError as error:
            self._require_proof_since(error.dependency, arrived_at)
            return self._refused_response(own_state, 422, str(error), arrived_at)
        except JobRejectedError as error:
            return self._refused_response(own_state, 422, str(error), arrived_at)
        if outcome.cancelled is not None:
            final = FinalJobRecord(CANCELLED, cancelled_by=outcome.cancelled)
            return await self._store_submission(job_id, final)
        held = self.job_states.dependency_graph.edge_count
        if held + len(outcome.unfinished) > self.admission.max_dependencies:
            requested = len(outcome.unfinished)
            rate_limited_log.info(
                "dependencies_exhausted", job=job_id, held=held, requested=requested
            )
            return Response(429, retry_after=DEPENDENCIES_RETRY_AFTER_S)
        record.dependencies = wire.pack_dependencies(outcome.unfinished)
        return await self._store_submission(job_id, record)

    async def _store_submission(
        self, job_id: JobId, record: JobRecord | FinalJobRecord
    ) -> Response:
        """Store the first record of a job unless it already has one."""
        key = final_key(job_id) if isinstance(record, FinalJobRecord) else live_key(job_id)
        conditions = [(live_key(job_id), NO_RECORD), (final_key(job_id), NO_RECORD)]
        writes = [transactions.put(key, record)]
        for attempt in range(1, MAX_SUBMIT_ATTEMPTS + 1):
            try:
                await self.store.commit(conditions, writes, budget_wait_s=SUBMIT_BUDGET_WAIT_S)
            except (state_client.CompareAndSwapError, state_client.UnknownOutcomeError):
                # Accepted before, or the outcome is unknown: read the stored state to find out.
                existing = await self._existing_job_response(job_id)
                if isinstance(existing, Response):
                    return existing
            except state_client.RateBudgetExceededError:
                raise  # `submit` responds with the time to wait
            except state_client.StateUnavailableError:
                if attempt == MAX_SUBMIT_ATTEMPTS:
                    raise
            else:
                return self._accepted_response(job_id, record)
        return retry_later_response()

    def _accepted_response(self, job_id: JobId, record: JobRecord | FinalJobRecord) -> Response:
        log.debug("accepted", job=job_id)
        if isinstance(record, FinalJobRecord):
            self.job_states.add_final_record(job_id, record)
            return final_response(job_id, record, status=201)
        state = JobStateResponse(job_id=job_id, phase=wire.PENDING, done_count=0)
        return state_response(state, status=201)

    # ---- poll --------------------------------------------------------------------------

    async def poll(self, job_id: JobId) -> Response:
        """Respond 200 with the job's state, 404 if no controller has accepted it, or 503."""
        arrived_at = self.job_states.clock()
        try:
            final = self.job_states.final_records.get(job_id)
            if final is not None:
                return final_response(job_id, final)
            self._require_state_service()
            found = await self._existing_job_response(job_id, urgent=False)
            if isinstance(found, Response):
                return found
            return self._unknown_job_response(JobRequest.POLL, found, arrived_at)
        except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
            log.debug("poll_not_answered", job=job_id, error=error)
            return retry_later_response()

    # ---- cancel ------------------------------------------------------------------------

    async def cancel(self, job_id: JobId) -> Response:
        """Cancel a job unless it has ended, and respond with its state.

        Responds 404 if no controller has accepted the job, and 429 or 503 if the user should retry.
        """
        arrived_at = self.job_states.clock()
        try:
            self._require_state_service()
            for _ in range(MAX_CANCEL_ATTEMPTS):
                try:
                    response = await self._try_cancel(job_id, arrived_at)
                except JobChangedError:
                    continue
                self._report_cancellation(job_id)
                return response
        except state_client.RateBudgetExceededError as error:
            return rate_limited_response(error.wait_s)
        except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
            log.info("cancellation_not_accepted", job=job_id, error=error)
        return retry_later_response()

    async def _try_cancel(self, job_id: JobId, arrived_at: float) -> Response:
        """Try once to cancel the job. Raises JobChangedError if this should be retried."""
        live = await self.store.get(live_key(job_id))
        if isinstance(live, AbsentKey):
            # A single transaction replaces the live record by the final one, so an accepted job
            # without a live record has ended.
            state = await self.job_states.state(job_id, urgent=True)
            if isinstance(state, AbsentJob):
                return self._unknown_job_response(JobRequest.CANCEL, state, arrived_at)
            if isinstance(state, FinalJobRecord):
                return final_response(job_id, state)
            raise JobChangedError(job_id)
        admission = self.admission
        final = cancelled_record(job_id, live.data, admission.quota, admission.max_value_bytes)
        try:
            await self.store.commit(
                [(live_key(job_id), live.version)],
                [
                    transactions.put(final_key(job_id), final),
                    transactions.delete(live_key(job_id)),
                ],
                priority=transactions.URGENT,
            )
        except (state_client.CompareAndSwapError, state_client.UnknownOutcomeError):
            raise JobChangedError(job_id) from None
        self.job_states.add_final_record(job_id, final)
        return final_response(job_id, final)

    def _report_cancellation(self, job_id: JobId) -> None:
        """Log and announce a confirmed cancellation, including one that was made earlier."""
        final = self.job_states.final_records.get(job_id)
        if final is not None and final.phase == CANCELLED:
            log.info("cancelled_by_user", job=job_id)
            self.callbacks.announce_cancellation(job_id)

    # ---- states ------------------------------------------------------------------------

    def _require_state_service(self) -> None:
        """Raise StateUnavailableError if the state service is known to be unreachable."""
        if not self.callbacks.is_state_reachable():
            raise state_client.StateUnavailableError(STATE_UNREACHABLE)

    @overload
    async def _existing_job_response(
        self, job_id: JobId, *, urgent: bool = True
    ) -> Response | AbsentJob: ...

    @overload
    async def _existing_job_response(
        self, job_id: JobId | None, *, urgent: bool = True
    ) -> Response | AbsentJob | None: ...

    async def _existing_job_response(
        self, job_id: JobId | None, *, urgent: bool = True
    ) -> Response | AbsentJob | None:
        """The state of an accepted job, or the proof that there is none; None without an id.

        A lookup that is not urgent may be delayed to share a read with others.
        """
        if job_id is None:
            return None
        state = await self.job_states.state(job_id, urgent=urgent)
        if isinstance(state, AbsentJob):
            return state
        if isinstance(state, FinalJobRecord):
            return final_response(job_id, state)
        return live_response(job_id, state, self.job_states.dependencies_of(job_id))

    def _require_proof_since(self, absent: AbsentJob, arrived_at: float) -> None:
        """Raise StateUnavailableError for a proof that is older than the request.

        The job may have been accepted in between, and its user told so by another controller.
        """
        if absent.read_sent_at < arrived_at:
            self.rejections.note_unproved_absence(absent, arrived_at)
            raise state_client.StateUnavailableError(ABSENCE_TOO_OLD)

    def _unknown_job_response(
        self, request: JobRequest, absent: AbsentJob, arrived_at: float
    ) -> Response:
        """404. Raises StateUnavailableError if that is not proved for the time of the request."""
        self._require_proof_since(absent, arrived_at)
        self.callbacks.report_unknown(absent.job_id)
        return self.rejections.record(request, absent, Response(404))

    def _refused_response(
        self, absent: AbsentJob | None, status: int, reason: str, arrived_at: float
    ) -> Response:
        """400 or 422; `absent`: None if the submission has no valid id. Raises as for a 404."""
        if absent is not None:
            self._require_proof_since(absent, arrived_at)
        response = error_response(status, reason)
        return self.rejections.record(JobRequest.SUBMIT, absent, response, reason)
