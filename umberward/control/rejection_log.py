"""Logs and counts the answers that tell a user that a job is unknown or not accepted.

An accepted job must never get such an answer, but users also ask about jobs that were never
submitted. Ordinary answers are counted. What an answer was based on is kept for a while, and
written when it may have been wrong, so that it can be traced to a read of the state service.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from umberward.control.absent_jobs import AbsentJob
from umberward.control.job_state_cache import JobStateCache
from umberward.core.log import logger
from umberward.core.rate_limited_log import RateLimitedLog
from umberward.core.types import JobId
from umberward.protocol.http import Response

log = logger(__name__)

AGE_DIGITS = 3  # decimal places of ages in seconds
MAX_KEPT_ANSWERS = 500
YOUNG_PROCESS_S = 30.0  # all answers of a process are written until then
UNPROVED_ABSENCE = "unproved_absence"
SAMPLE_INTERVAL_S = 60.0  # between two lines of an event that are written without a suspicion


class JobRequest(StrEnum):
    """A user's request for a single job."""

    SUBMIT = "submit"
    POLL = "poll"
    CANCEL = "cancel"


class Occasion(StrEnum):
    """Why what an answer was based on is written."""

    YOUNG_PROCESS = "young_process"
    FAULTY_PEER = "faulty_peer"
    SAMPLE = "sample"
    KNOWN_TO_PEER = "known_to_peer"
    JOB_APPEARED = "job_appeared"


class RejectedRequest(NamedTuple):
    """An answer with its evidence; times are by the monotonic clock, in seconds.

    `absent` is the proof that the job is not known; None if the request names no job.
    """

    request: JobRequest
    status: int
    absent: AbsentJob | None
    reason: str
    answered_at: float
    listed_at: float

    @property
    def event(self) -> str:
        """The name of its log event."""
        return "submission_refused" if self.request is JobRequest.SUBMIT else "unknown_job"


class RejectionLog:
    """Counts each 404, 400 or 422, and writes those that may be wrong."""

    def __init__(
        self,
        job_states: JobStateCache,
        clock: Callable[[], float],
        has_faulty_peer: Callable[[], bool] = lambda: False,
    ) -> None:
        """`clock`: monotonic, in seconds; the process is assumed to start now.

        `has_faulty_peer` returns whether a peer runs a build with a known fault.
        """
        self.job_states = job_states
        self.clock = clock
        self.has_faulty_peer = has_faulty_peer
        self.started_at = clock()
        self.counts: Counter[str] = Counter()  # by request and status
        self.rate_limited_log = RateLimitedLog(log, clock=clock)
        self._kept: OrderedDict[JobId, RejectedRequest] = OrderedDict()
        self._next_sample_at: dict[str, float] = {}  # by event

    def record(
        self, request: JobRequest, absent: AbsentJob | None, response: Response, reason: str = ""
    ) -> Response:
        """Count a response and return it. `absent`: None if the request names no job."""
        self.counts[f"{request}_{response.status}"] += 1
        rejected = RejectedRequest(
            request, response.status, absent, reason, self.clock(), self.job_states.listed_at
        )
        if absent is not None:
            self._keep(absent.job_id, rejected)
        occasion = self._occasion(rejected)
        if occasion is not None:
            fields = self._fields(rejected, occasion)
            self.rate_limited_log.info(rejected.event, **fields)
        return response

    def note_job_known_to_peer(self, job_id: JobId) -> None:
        """A peer knows a job that was called unknown here: write what that was based on."""
        self._write_kept(job_id, Occasion.KNOWN_TO_PEER)

    def note_job_known(self, job_id: JobId) -> None:
        """This controller has read the job from the state service: likewise."""
        if job_id in self._kept:
            self._write_kept(job_id, Occasion.JOB_APPEARED)

    def note_unproved_absence(self, absent: AbsentJob, arrived_at: float) -> None:
        """An answer was withheld, as its proof is older than the request: a fault of this code."""
        self.counts[UNPROVED_ABSENCE] += 1
        log.error(
            "invariant_violated",
            invariant=UNPROVED_ABSENCE,
            job=absent.job_id,
            too_old_s=round(arrived_at - absent.read_sent_at, AGE_DIGITS),
            revision=absent.revision,
            times=self.counts[UNPROVED_ABSENCE],
        )

    def summary(self) -> str:
        """The counts of this process for a log line."""
        return ",".join(f"{name}:{count}" for name, count in sorted(self.counts.items()))

    def _keep(self, job_id: JobId, rejected: RejectedRequest) -> None:
        self._kept[job_id] = rejected
        self._kept.move_to_end(job_id)
        while len(self._kept) > MAX_KEPT_ANSWERS:
            self._kept.popitem(last=False)

    def _occasion(self, rejected: RejectedRequest) -> Occasion | None:
        """Why the answer is written at once; None if it is not."""
        now = rejected.answered_at
        if now - self.started_at < YOUNG_PROCESS_S:
            return Occasion.YOUNG_PROCESS
        if self.has_faulty_peer():
            return Occasion.FAULTY_PEER
        if now >= self._next_sample_at.get(rejected.event, now):
            self._next_sample_at[rejected.event] = now + SAMPLE_INTERVAL_S
            return Occasion.SAMPLE
        return None

    def _write_kept(self, job_id: JobId, occasion: Occasion) -> None:
        """Write a kept answer once; not rate-limited, as it may be evidence of a wrong answer."""
        rejected = self._kept.pop(job_id, None)
        if rejected is not None:
            fields = self._fields(rejected, occasion)
            log.info(rejected.event, **fields)

    def _fields(self, rejected: RejectedRequest, occasion: Occasion) -> dict[str, object]:
        """The fields of a line; ages are those at the time of the answer."""
        answered_at = rejected.answered_at
        absent = rejected.absent
        fields: dict[str, object] = {
            "request": rejected.request.value,
            "status": rejected.status,
            "occasion": occasion.value,
        }
        if absent is not None:
            fields |= {
                "job": absent.job_id,
                "answered_s": round(self.clock() - answered_at, AGE_DIGITS),
                "looked_up_s": round(answered_at - absent.looked_up_at, AGE_DIGITS),
                "looked_up_revision": absent.final_record.revision,
                "refreshed_s": round(answered_at - absent.read_sent_at, AGE_DIGITS),
                "listed_s": round(answered_at - rejected.listed_at, AGE_DIGITS),
                "revision": absent.revision,
                "uptime_s": round(answered_at - self.started_at, AGE_DIGITS),
            }
        if rejected.reason:
            fields["error"] = rejected.reason
        return fields
