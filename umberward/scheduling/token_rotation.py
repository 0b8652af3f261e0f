"""When the token is raised, so that late commands under the old one become void. No I/O.

That costs one write, and each worker sends a report when it first sees the new token: so it is done
for a reason, and no more often than the reason is worth.
"""

from __future__ import annotations

import math

from umberward.core.types import Instant

# A start that nobody wants any more and that may still be carried out would run for nothing.
UNWANTED_START_S = 2.0  # the sender waits so long for an answer
UNWANTED_START_ROTATION_S = 2.0
# An exited attempt that cannot be forgotten does no harm but lengthens its worker's reports.
UNFORGOTTEN_EXIT_S = 15.0
UNFORGOTTEN_EXIT_ROTATION_S = 60.0


class TokenRotation:
    def __init__(self) -> None:
        self.wanted = False  # to be raised as soon as that can be written
        self.count = 0
        self._in_progress = False
        self._rotated_at = Instant(-math.inf)

    def unwanted_start(self, since: Instant, now: Instant) -> None:
        """A start may still be carried out of what is to be stopped since then."""
        self._request(
            now - since > UNWANTED_START_S and now - self._rotated_at > UNWANTED_START_ROTATION_S
        )

    def unforgotten_exit(self, since: Instant, now: Instant) -> None:
        """An attempt that has exited can't be forgotten since then."""
        self._request(
            now - since > UNFORGOTTEN_EXIT_S
            and now - self._rotated_at > UNFORGOTTEN_EXIT_ROTATION_S
        )

    def started(self) -> None:
        """It is being raised now."""
        self.wanted = False
        self._in_progress = True

    def failed(self) -> None:
        """It could not be written: who still has a reason asks again."""
        self._in_progress = False

    def completed(self, now: Instant) -> None:
        self.wanted = self._in_progress = False
        self.count += 1
        self._rotated_at = now

    def _request(self, due: bool) -> None:
        if due and not self._in_progress:
            self.wanted = True
