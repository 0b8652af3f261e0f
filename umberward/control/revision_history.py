"""Remembers which revision of the state service was current at past moments."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from umberward.core.types import Revision

RECORD_INTERVAL_S = 1.0  # moments are remembered no closer together than this


class ObservedRevision(NamedTuple):
    """A revision, and the moment after which all that is committed has a higher one."""

    observed_at: float
    revision: Revision


class RevisionHistory:
    """The revisions of a bounded past, by this process's steady clock, in seconds."""

    def __init__(self, retention_s: float) -> None:
        """Create an empty history that reaches back at least `retention_s`, once it is filled."""
        self.retention_s = retention_s
        self._observed: deque[ObservedRevision] = deque()

    def record(self, revision: Revision, now: float) -> None:
        """Remember the revision that was current at `now`, and forget what is too old."""
        observed = self._observed
        if observed and now - observed[-1].observed_at <= RECORD_INTERVAL_S:
            return
        observed.append(ObservedRevision(now, revision))
        # The second oldest must be too old: then the oldest is not needed to cover the retention.
        while len(observed) > 1 and now - observed[1].observed_at > self.retention_s:
            observed.popleft()

    def before(self, moment: float) -> Revision | None:
        """A revision below all that was committed after `moment`; None if none is that old."""
        revisions = [entry.revision for entry in self._observed if entry.observed_at <= moment]
        return revisions[-1] if revisions else None
