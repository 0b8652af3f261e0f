"""Proof that no controller has accepted a job, and a cache of such proofs.

"Not known" may be told to a user only with an `AbsentJob`, which `JobStateCache` alone makes, from
answered reads that began after the user's request.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from umberward.core.types import JobId, Revision
from umberward.protocol.transactions import AbsentKey


@dataclass(frozen=True, slots=True)
class AbsentJob:
    """No controller had accepted the job, as two answered reads show together.

    `final_record`: the answer that the job has no final record, received at `looked_up_at`.
    `read_sent_at`: when the refresh was sent that did not have the job among the live ones, up to
    `revision`. If it was sent after the lookup, it also covers the time since. Times are by the
    monotonic clock of the cache, in seconds.
    """

    job_id: JobId
    final_record: AbsentKey
    looked_up_at: float
    read_sent_at: float
    revision: Revision | None


@dataclass(frozen=True, slots=True)
class AnsweredLookup:
    """The answer that a job has no final record, and when it arrived."""

    final_record: AbsentKey
    answered_at: float  # by the monotonic clock that the cache's owner uses


@dataclass(eq=False)
class AbsenceLookup:
    """A lookup of a job in the state service; `answer` is None until it is confirmed."""

    answer: AnsweredLookup | None = None


class AbsentJobCache:
    """The latest lookups that are in progress or have found no job.

    Code that applies a change that shows a submission must call `discard`. A lookup is registered
    before its request is sent, so a submission during the lookup discards it as well, and the
    lookup can no longer be confirmed.
    """

    def __init__(self, capacity: int) -> None:
        """Create an empty cache of at most `capacity` ids; the oldest are evicted first."""
        self.capacity = capacity
        self._lookups: OrderedDict[JobId, AbsenceLookup] = OrderedDict()

    def __contains__(self, job_id: JobId) -> bool:
        """Whether a lookup of the job is registered, confirmed or not."""
        return job_id in self._lookups

    def begin(self, job_id: JobId) -> AbsenceLookup:
        """Register a lookup that is about to start, replacing any other of the same job."""
        lookup = AbsenceLookup()
        self._lookups[job_id] = lookup
        while len(self._lookups) > self.capacity:
            self._lookups.popitem(last=False)
        return lookup

    def confirm(self, job_id: JobId, lookup: AbsenceLookup, answer: AnsweredLookup) -> None:
        """Record that the lookup found no job, unless it has been discarded or replaced."""
        if self._lookups.get(job_id) is lookup:
            lookup.answer = answer

    def answer(self, job_id: JobId) -> AnsweredLookup | None:
        """The answer of a confirmed lookup, still valid; None if there is none."""
        lookup = self._lookups.get(job_id)
        return None if lookup is None else lookup.answer

    def discard(self, job_id: JobId) -> None:
        """Remove the job: it has been accepted, or its lookup has failed."""
        self._lookups.pop(job_id, None)

    def clear(self) -> None:
        """Remove all jobs."""
        self._lookups.clear()
