"""Rotation of the leader's fencing token, which voids delayed commands under the old one. No I/O.

A rotation costs one write, and a heartbeat of each worker when it first sees the new token. So it
needs a reason, and each reason has a minimum interval between rotations.
"""

from __future__ import annotations

import math

from umberward.core.types import Instant

# For each reason: the age from which it causes a rotation, and the minimum time since the last
# rotation.
#
# A start that is no longer wanted but may still be executed would waste resources.
UNWANTED_START_MIN_AGE_S = 2.0  # how long the sender waits for a response
UNWANTED_START_ROTATION_INTERVAL_S = 2.0
# An exited attempt that cannot be forgotten does no harm, but lengthens its worker's heartbeats.
DEFERRED_FORGET_MIN_AGE_S = 15.0
DEFERRED_FORGET_ROTATION_INTERVAL_S = 60.0


class TokenRotation:
    """Collects reasons for a rotation, which the leader loop performs when `requested` is set."""

    def __init__(self) -> None:
        """Start without a reason."""
        self.requested = False  # to be performed as soon as the state service can be written
        self.count = 0  # rotations in this term
        self._in_progress = False
        self._rotated_at = Instant(-math.inf)

    def note_unwanted_start(self, since: Instant, now: Instant) -> None:
        """Record that a start may still be executed although its task was stopped at `since`."""
        self._request_after(
            since, now, UNWANTED_START_MIN_AGE_S, UNWANTED_START_ROTATION_INTERVAL_S
        )

    def note_deferred_forget(self, since: Instant, now: Instant) -> None:
        """Record that an exited attempt could not be forgotten since `since`."""
        self._request_after(
            since, now, DEFERRED_FORGET_MIN_AGE_S, DEFERRED_FORGET_ROTATION_INTERVAL_S
        )

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

    def _request_after(
        self, since: Instant, now: Instant, min_age_s: float, min_interval_s: float
    ) -> None:
        """Request a rotation if the reason is old enough and the last one long enough ago."""
        if self._in_progress:
            return
        if now - since > min_age_s and now - self._rotated_at > min_interval_s:
            self.requested = True
