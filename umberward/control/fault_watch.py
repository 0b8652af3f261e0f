"""Since when this controller would have learned of a peer with a known fault.

"No known fault" rests on that: a controller knows what it has observed itself, and what its peers
had observed when they told it. Nothing is decided by it.
"""

from __future__ import annotations

import math
from collections.abc import Callable

CHECK_INTERVAL_S = 2.0  # between two requests for the status of a peer
STATUS_TIMEOUT_S = 0.5  # of such a request; short, so that a silent peer does not delay others
# The longest time without an answer of any peer that counts as no gap: one request may be lost.
MAX_GAP_S = 2 * CHECK_INTERVAL_S + STATUS_TIMEOUT_S


class FaultWatch:
    """The start of the latest period without a gap, here or at a peer that told this controller."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock`: monotonic, in seconds."""
        self._clock = clock
        self._since = 0.0  # meaningless while `_contact_at` is None
        self._contact_at: float | None = None  # when a peer last answered

    def note_contact(self) -> None:
        """A peer has just answered."""
        now = self._clock()
        if self.since() is None:
            self._since = now
        self._contact_at = now

    def note_told(self, watched_s: object, received_at: float) -> None:
        """A peer that has just told all it knows has watched for so long; ignored if invalid.

        Call `note_contact` before.
        """
        if not isinstance(watched_s, float) or not 0.0 <= watched_s < math.inf:
            return
        told_since = received_at - watched_s
        # Smaller differences come from the time that answers take.
        if told_since < self._since - STATUS_TIMEOUT_S:
            self._since = told_since

    def note_forgotten(self, instant: float) -> None:
        """What was observed up to an instant has been dropped."""
        self._since = max(self._since, instant)

    def since(self) -> float | None:
        """The start by this controller's clock; None: it does not watch now."""
        if self._contact_at is None or self._clock() - self._contact_at > MAX_GAP_S:
            return None
        return self._since

    def watched_s(self) -> float | None:
        """The length of the period, in seconds; None: it does not watch now."""
        since = self.since()
        return None if since is None else self._clock() - since
