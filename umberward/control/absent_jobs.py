"""Remembers job ids that no controller has accepted, so that polls for them cost no request."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from umberward.core.types import JobId


@dataclass(eq=False)
class AbsenceLookup:
    """One lookup of a job in the state service. Until it is confirmed, nothing is known."""

    confirmed_absent: bool = False


class AbsentJobs:
    """The latest lookups that found no job, or are under way.

    A submission shows as a change, and whoever applies the change discards the id. As a lookup is
    registered before its request is sent, a submission in between discards it as well, and the
    lookup can no longer be confirmed.
    """

    def __init__(self, capacity: int) -> None:
        """Create an empty memory for at most `capacity` ids; the oldest are dropped first."""
        self.capacity = capacity
        self._lookups: OrderedDict[JobId, AbsenceLookup] = OrderedDict()

    def __contains__(self, job_id: JobId) -> bool:
        """Whether a lookup of the job is registered, confirmed or not."""
        return job_id in self._lookups

    def begin(self, job_id: JobId) -> AbsenceLookup:
        """Register a lookup that is about to start, in place of any other of the same job."""
        lookup = AbsenceLookup()
        self._lookups[job_id] = lookup
        while len(self._lookups) > self.capacity:
            self._lookups.popitem(last=False)
        return lookup

    def confirm(self, job_id: JobId, lookup: AbsenceLookup) -> None:
        """Note that the lookup has found no job, unless it was discarded or replaced meanwhile."""
        if self._lookups.get(job_id) is lookup:
            lookup.confirmed_absent = True

    def is_absent(self, job_id: JobId) -> bool:
        """Whether a finished lookup has found that no controller had accepted the job."""
        lookup = self._lookups.get(job_id)
        return lookup is not None and lookup.confirmed_absent

    def discard(self, job_id: JobId) -> None:
        """Forget the job: it has been accepted, or its lookup has failed."""
        self._lookups.pop(job_id, None)

    def clear(self) -> None:
        """Forget all jobs."""
        self._lookups.clear()
