"""Records which revision of the state service was current at past times."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from umberward.core.types import Revision

RECORD_INTERVAL_S = 1.0  # minimum interval between records


class ObservedRevision(NamedTuple):
    """A revision and its time of observation: every later commit has a higher revision."""

    observed_at: float
    revision: Revision


class RevisionHistory:
    """Recent revisions by the time of their observation on this process's monotonic clock."""

    def __init__(self, retention_s: float) -> None:
        """Create an empty history that will cover at least the last `retention_s` seconds."""
        self.retention_s = retention_s
        self._observed: deque[ObservedRevision] = deque()

    def record(self, revision: Revision, now: float) -> None:
        """Record the revision that was current at `now`, and drop entries that are too old."""
        observed = self._observed
        if observed and now - observed[-1].observed_at <= RECORD_INTERVAL_S:
            return
        observed.append(ObservedRevision(now, revision))
        # The oldest entry is needed until the second oldest is past the retention as well.
        while len(observed) > 1 and now - observed[1].observed_at > self.retention_s:
            observed.popleft()

    def before(self, instant: float) -> Revision | None:
        """A revision lower than that of every commit after `instant`; None if none is that old."""
        revisions = [entry.revision for entry in self._observed if entry.observed_at <= instant]
        return revisions[-1] if revisions else None
