"""Rotation of the leader's fencing token, for machines whose direct starts no known token voids.

Each of the leader's transactions yields a higher token, so this is needed only while there are none
and costs one write. No I/O.
"""

from __future__ import annotations

import math

from umberward.core.types import Instant

# How long a start has to lack a token that voids it, and the minimum time between two rotations.
MISSING_TOKEN_MIN_AGE_S = 1.0
ROTATION_INTERVAL_S = 2.0


class TokenRotation:
    """Collects reasons for a rotation, which the leader loop performs when `requested` is set."""

    def __init__(self) -> None:
        """Start without a reason."""
        self.requested = False  # to be performed as soon as the state service can be written
        self.count = 0  # rotations in this term
        self._in_progress = False
        self._rotated_at = Instant(-math.inf)

    def note_missing_token(self, since: Instant, now: Instant) -> None:
        """Record that no known token voids a start that is not wanted any more since `since`."""
        if self._in_progress:
            return
        if now - since > MISSING_TOKEN_MIN_AGE_S and now - self._rotated_at > ROTATION_INTERVAL_S:
            self.requested = True

    def started(self) -> None:
        """Record that the write of the new token begins."""
        self.requested = False
        self._in_progress = True

    def failed(self) -> None:
        """Record that the write failed; reasons that persist are reported again."""
        self._in_progress = False

    def completed(self, now: Instant) -> None:
        """Record that the new token is in force."""
        self.requested = self._in_progress = False
        self.count += 1
        self._rotated_at = now
