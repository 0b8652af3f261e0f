"""A negative cache: job ids that no controller has accepted, so that polls need no request."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from umberward.core.types import JobId


@dataclass(eq=False)
class AbsenceLookup:
    """A lookup of a job in the state service; its result is not known until it is confirmed."""

    confirmed_at: float | None = None  # by the monotonic clock that the cache's owner uses


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

    def confirm(self, job_id: JobId, lookup: AbsenceLookup, now: float) -> None:
        """Record that the lookup found no job, unless it has been discarded or replaced."""
        if self._lookups.get(job_id) is lookup:
            lookup.confirmed_at = now

    def is_absent(self, job_id: JobId) -> bool:
        """Whether a confirmed lookup has found that no controller has accepted the job."""
        return self.confirmed_at(job_id) is not None

    def confirmed_at(self, job_id: JobId) -> float | None:
        """When a lookup has found that no controller has accepted the job; None if none has."""
        lookup = self._lookups.get(job_id)
        return None if lookup is None else lookup.confirmed_at

    def discard(self, job_id: JobId) -> None:
        """Remove the job: it has been accepted, or its lookup has failed."""
        self._lookups.pop(job_id, None)

    def clear(self) -> None:
        """Remove all jobs."""
        self._lookups.clear()
