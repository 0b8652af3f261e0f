"""When the leader raises its fencing token, so that late commands under the old one are void.

A rotation costs one write, and each worker sends a heartbeat when it first sees the new token. So
it takes a reason, and happens no more often than that reason is worth. No I/O.
"""

from __future__ import annotations

import math

from umberward.core.types import Instant

# A start that is no longer wanted and may still be executed would run for nothing.
UNWANTED_START_S = 2.0  # the sender waits this long for a response
UNWANTED_START_ROTATION_S = 2.0  # at least, between two rotations for this reason
# An exited attempt that cannot be forgotten does no harm, but lengthens its worker's heartbeats.
UNFORGOTTEN_EXIT_S = 15.0
UNFORGOTTEN_EXIT_ROTATION_S = 60.0  # at least, between two rotations for this reason


class TokenRotation:
    """Collects reasons for a rotation; the leader loop carries it out when `wanted`."""

    def __init__(self) -> None:
        """Begin without a reason."""
        self.wanted = False  # to be carried out as soon as it can be written
        self.count = 0  # rotations in this term
        self._in_progress = False
        self._rotated_at = Instant(-math.inf)

    def unwanted_start(self, since: Instant, now: Instant) -> None:
        """Note that a start of a task stopped at `since` may still be executed."""
        self._request_after(since, now, UNWANTED_START_S, UNWANTED_START_ROTATION_S)

    def unforgotten_exit(self, since: Instant, now: Instant) -> None:
        """Note that an exited attempt can't be forgotten, at first at `since`."""
        self._request_after(since, now, UNFORGOTTEN_EXIT_S, UNFORGOTTEN_EXIT_ROTATION_S)

    def started(self) -> None:
        """Note that the write of the new token begins."""
        self.wanted = False
        self._in_progress = True

    def failed(self) -> None:
        """Note that the write failed: reasons that persist are noted again."""
        self._in_progress = False

    def completed(self, now: Instant) -> None:
        """Note that the new token is in force."""
        self.wanted = self._in_progress = False
        self.count += 1
        self._rotated_at = now

    def _request_after(
        self, since: Instant, now: Instant, reason_age_s: float, rotation_interval_s: float
    ) -> None:
        """Want a rotation if the reason is old enough and the last rotation long enough ago."""
        if self._in_progress:
            return
        if now - since > reason_age_s and now - self._rotated_at > rotation_interval_s:
            self.wanted = True
