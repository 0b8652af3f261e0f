"""Logs and counts the answers that tell a user that a job is unknown or not accepted.

An accepted job must never get such an answer. Each line says what it was based on, so that a wrong
one can be traced to a read of the state service.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import StrEnum

import curio

from umberward.control.job_state_cache import JobStateCache
from umberward.core.log import logger
from umberward.core.rate_limited_log import RateLimitedLog
from umberward.core.types import JobId
from umberward.protocol.http import Response

log = logger(__name__)

COUNTS_INTERVAL_S = 10.0
AGE_DIGITS = 3  # decimal places of ages in seconds


class JobRequest(StrEnum):
    """A user's request for a single job."""

    SUBMIT = "submit"
    POLL = "poll"
    CANCEL = "cancel"


class RejectionLog:
    """Writes a line of bounded rate for each 404, 400 or 422, and the counts every 10 s."""

    def __init__(self, job_states: JobStateCache, clock: Callable[[], float]) -> None:
        """`clock`: monotonic, in seconds; the process is assumed to start now."""
        self.job_states = job_states
        self.clock = clock
        self.started_at = clock()
        self.counts: Counter[str] = Counter()  # by request and status
        self.log = RateLimitedLog(log, clock=clock)

    def record(
        self, request: JobRequest, job_id: JobId | None, response: Response, reason: str = ""
    ) -> Response:
        """Log and count a response, and return it. `job_id`: None if the request names none."""
        self.counts[f"{request}_{response.status}"] += 1
        event = "submission_refused" if request is JobRequest.SUBMIT else "unknown_job"
        fields: dict[str, object] = {"request": request.value, "status": response.status}
        if job_id is not None:
            fields["job"] = job_id
            fields |= self._evidence(job_id)
        if reason:
            fields["error"] = reason
        self.log.info(event, **fields)
        return response

    def _evidence(self, job_id: JobId) -> dict[str, object]:
        """What this controller's cache knows of the absence of the job."""
        now = self.clock()
        states = self.job_states
        looked_up_at = states.absent_jobs.confirmed_at(job_id)
        return {
            "looked_up_s": None if looked_up_at is None else round(now - looked_up_at, AGE_DIGITS),
            "refreshed_s": round(now - states.refresh_sent_at, AGE_DIGITS),
            "listed_s": round(now - states.listed_at, AGE_DIGITS),
            "revision": states.watched_revision,
            "uptime_s": round(now - self.started_at, AGE_DIGITS),
        }

    async def run(self) -> None:
        """Log the counts of this process whenever they have changed, until cancelled."""
        logged: Counter[str] = Counter()
        while True:
            await curio.sleep(COUNTS_INTERVAL_S)
            if self.counts != logged:
                logged = Counter(self.counts)
                log.info("rejected_job_requests", **dict(sorted(logged.items())))
