"""What users request of any controller: to submit, poll or cancel a job.

Each answer is at least as recent as its request: it is given from records that never change, or
from what the state service contained after the request arrived.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from umberward.clients import state_client
from umberward.clients.state_client import StateClient
from umberward.control.errors import ControllerError
from umberward.control.job_admission import (
    JobAdmission,
    JobRejectedError,
    SelfDependencyError,
    Submission,
    job_id_in,
    resolve_dependencies,
)
from umberward.control.job_responses import (
    JobStateResponse,
    final_response,
    rejection_response,
    state_response,
)
from umberward.control.job_state_cache import JobStateCache, LiveJobState
from umberward.control.stored_jobs import done_task_count, final_key, live_key
from umberward.core.log import logger
from umberward.core.settings import Settings
from umberward.core.types import JobId, MachineTypeName, TeamName, Version, WallTime
from umberward.protocol import transactions, wire
from umberward.protocol.http import Response
from umberward.protocol.wire import (
    CANCELLED,
    FinalJobRecord,
    JobRecord,
    MachineType,
    RemainingTasks,
)

log = logger(__name__)

SUBMIT_BUDGET_WAIT_S = 0.4  # how long a submission may wait for the state service's rate budget
MAX_SUBMIT_ATTEMPTS = 2
MAX_CANCEL_ATTEMPTS = 4
RETRY_AFTER_S = 1.0
OUTAGE_RETRY_AFTER_S = 2.0
STATE_UNREACHABLE = "the state service is out of our reach"
NO_RECORD = Version(0)  # the version of a key that does not exist


class JobChangedError(ControllerError):
    """The job's record changed, or may have changed, between its reading and the write."""


@dataclass(frozen=True)
class JobApiHooks:
    """How the job API is connected with other parts of the controller.

    `state_reachable`: whether the state service can be reached at all; if not, each request that
    needs it is refused at once. `on_cancelled` is called with each job whose cancellation is
    confirmed to a user.
    """

    state_reachable: Callable[[], bool] = lambda: True
    on_cancelled: Callable[[JobId], None] = lambda _: None


NO_HOOKS = JobApiHooks()


class JobApi:
    """Serves the job requests of users at one controller."""

    def __init__(
        self,
        settings: Settings,
        store: StateClient,
        job_states: JobStateCache,
        machine_types: dict[MachineTypeName, MachineType],
        wall_clock: Callable[[], WallTime],
        hooks: JobApiHooks = NO_HOOKS,
    ) -> None:
        """Create the API; `machine_types` may be filled later, until then submissions must wait."""
        self.store = store
        self.job_states = job_states
        self.machine_types = machine_types
        self.hooks = hooks
        self.admission = JobAdmission(settings, machine_types, wall_clock)

    # ---- submit ------------------------------------------------------------------------

    async def submit(self, body: bytes) -> Response:
        """Accept the job in a MessagePack body, or repeat the state of a job already accepted.

        Responds 201 for an accepted job, 200 for a repeated one, 400 or 422 with a reason for one
        that is malformed or can never run, and 429 or 503 if the user should try again later.
        """
        try:
            return await self._submit(body)
        except state_client.RateBudgetError as error:
            log.info("submission_not_taken", error="our part of the writes is used up")
            return _rate_limited(error)
        except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
            log.info("submission_not_taken", error=error)
            return Response(503, retry_after=OUTAGE_RETRY_AFTER_S)

    async def _submit(self, body: bytes) -> Response:
        try:
            submission = self.admission.decode(body)
        except wire.MalformedMessageError as error:
            # The repeat of an accepted job gets its state, whatever its body says.
            known = await self._known_response(job_id_in(body))
            return known or rejection_response(400, str(error))
        final = self.job_states.finals.get(submission.job_id)
        if final is not None:
            return final_response(submission.job_id, final)
        self._require_state()
        if not self.machine_types:
            return _try_again()
        try:
            self.admission.check_feasible(submission.spec)
            if submission.job_id in submission.dependencies:
                raise SelfDependencyError  # answered like an infeasible job
        except JobRejectedError as error:
            known = await self._known_response(submission.job_id)
            return known or rejection_response(422, str(error))
        if submission.dependencies:
            return await self._submit_dependent(submission)
        return await self._store_submission(submission.job_id, submission.record)

    async def _submit_dependent(self, submission: Submission) -> Response:
        """Submit a job with dependencies, all of which must have been accepted before."""
        job_id, record, dependencies = submission
        states = await self.job_states.states([job_id, *dependencies])
        if states.pop(job_id) is not None:
            # Accepted before: it gets its state, whatever became of its dependencies.
            return await self._known_response(job_id) or _try_again()
        try:
            outcome = resolve_dependencies(states)
        except JobRejectedError as error:
            return rejection_response(422, str(error))
        if outcome.cancelled is not None:
            final = FinalJobRecord(CANCELLED, cancelled_by=outcome.cancelled)
            return await self._store_submission(job_id, final)
        record.dependencies = wire.pack_dependencies(outcome.unfinished)
        return await self._store_submission(job_id, record)

    async def _store_submission(
        self, job_id: JobId, record: JobRecord | FinalJobRecord
    ) -> Response:
        """Store the first record of a job, unless it has one already."""
        key = final_key(job_id) if isinstance(record, FinalJobRecord) else live_key(job_id)
        conditions = [(live_key(job_id), NO_RECORD), (final_key(job_id), NO_RECORD)]
        writes = [transactions.put(key, record)]
        for attempt in range(1, MAX_SUBMIT_ATTEMPTS + 1):
            try:
                await self.store.commit(conditions, writes, patience=SUBMIT_BUDGET_WAIT_S)
            except (state_client.CompareAndSwapError, state_client.UnknownOutcomeError):
                # Accepted before, or the outcome is unknown: what can be read decides.
                known = await self._known_response(job_id)
                if known is not None:
                    return known
            except state_client.RateBudgetError:
                raise  # the response names its wait
            except state_client.StateUnavailableError:
                if attempt == MAX_SUBMIT_ATTEMPTS:
                    raise
            else:
                return self._accepted_response(job_id, record)
        return _try_again()

    def _accepted_response(self, job_id: JobId, record: JobRecord | FinalJobRecord) -> Response:
        log.debug("accepted", job=job_id)
        if isinstance(record, FinalJobRecord):
            self.job_states.keep_final(job_id, record)
            return final_response(job_id, record, status=201)
        state = JobStateResponse(job_id=job_id, phase=wire.PENDING, done_count=0)
        return state_response(state, status=201)

    # ---- poll --------------------------------------------------------------------------

    async def poll(self, job_id: JobId) -> Response:
        """Respond 200 with the job's state, 404 if no controller has accepted it, or 503."""
        try:
            final = self.job_states.finals.get(job_id)
            if final is not None:
                return final_response(job_id, final)
            self._require_state()
            return await self._known_response(job_id, urgent=False) or Response(404)
        except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
            log.debug("poll_not_answered", job=job_id, error=error)
            return _try_again()

    # ---- cancel ------------------------------------------------------------------------

    async def cancel(self, job_id: JobId) -> Response:
        """Cancel a job that has not ended, and respond with its state.

        Responds 404 if no controller has accepted the job, 429 or 503 if it is not cancelled yet.
        """
        try:
            self._require_state()
            for _ in range(MAX_CANCEL_ATTEMPTS):
                try:
                    response = await self._try_cancel(job_id)
                except JobChangedError:
                    continue
                self._report_cancellation(job_id)
                return response
        except state_client.RateBudgetError as error:
            return _rate_limited(error)
        except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
            log.info("cancellation_not_taken", job=job_id, error=error)
        return _try_again()

    async def _try_cancel(self, job_id: JobId) -> Response:
        """Cancel the job as it is stored now. Raises JobChangedError to be tried again."""
        live = await self.store.get(live_key(job_id))
        if live is None:
            # One transaction replaces the live record by the final one: a known job has ended.
            state = await self.job_states.state(job_id, urgent=True)
            if state is None:
                return Response(404)
            if isinstance(state, FinalJobRecord):
                return final_response(job_id, state)
            raise JobChangedError(job_id)
        final = self._cancelled_record(job_id, live.data)
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
        self.job_states.keep_final(job_id, final)
        return final_response(job_id, final)

    def _report_cancellation(self, job_id: JobId) -> None:
        """Report a cancellation that is confirmed to the user, also one that was only read."""
        final = self.job_states.finals.get(job_id)
        if final is not None and final.phase == CANCELLED:
            log.info("cancelled_by_user", job=job_id)
            self.hooks.on_cancelled(job_id)

    def _cancelled_record(self, job_id: JobId, stored: object) -> FinalJobRecord:
        """The final record of a job with this live record, which is cancelled now."""
        try:
            record = wire.convert(stored, JobRecord)
            done_count = done_task_count(record)
        except (wire.MalformedMessageError, ValueError) as error:
            log.error("record_malformed", job=job_id, error=error)  # noqa: TRY400 - a fault of the record, not of the code
            return FinalJobRecord(CANCELLED)
        remaining = self._remaining_tasks(record, done_count)
        return FinalJobRecord(CANCELLED, done_count, remaining=remaining)

    def _remaining_tasks(self, record: JobRecord, done_count: int) -> RemainingTasks | None:
        """The tasks that may still run, which count against the limit of their team.

        A leader that never reads the live record needs them. None if there are none, or the team
        has no limit.
        """
        spec = record.spec
        has_limit = self.admission.quota.has_limit(TeamName(spec.team))
        if record.placed_below <= done_count or not has_limit:
            return None
        return RemainingTasks(
            spec.team,
            spec.cores,
            spec.mem_gb,
            record.placed_below,
            spec.accelerators,
            record.done_below,
            record.done_bitmap,
        )

    # ---- states ------------------------------------------------------------------------

    def _require_state(self) -> None:
        """Raise StateUnavailableError at once while the state service is known to be away."""
        if not self.hooks.state_reachable():
            raise state_client.StateUnavailableError(STATE_UNREACHABLE)

    async def _known_response(
        self, job_id: JobId | None, *, urgent: bool = True
    ) -> Response | None:
        """The state of an accepted job; None if no controller has accepted it, or there is no id.

        A response that is not urgent may wait to be read together with others.
        """
        if job_id is None:
            return None
        state = await self.job_states.state(job_id, urgent=urgent)
        if state is None:
            return None
        if isinstance(state, FinalJobRecord):
            return final_response(job_id, state)
        return self._live_response(job_id, state)

    def _live_response(self, job_id: JobId, state: LiveJobState) -> Response:
        return state_response(
            JobStateResponse(
                job_id=job_id,
                phase=wire.RUNNING if state.placed_below else wire.PENDING,
                done_count=state.done_count,
                running_count=max(0, state.placed_below - state.done_count),
                dependencies=self.job_states.dependencies_of(job_id) or msgspec.UNSET,
            )
        )


def _try_again() -> Response:
    return Response(503, retry_after=RETRY_AFTER_S)


def _rate_limited(error: state_client.RateBudgetError) -> Response:
    """Ask the user to wait until this controller's share of the write rate allows the request."""
    return Response(429, retry_after=max(RETRY_AFTER_S, error.wait_s))
