"""A token bucket that keeps this controller within its share of a service's rate limit."""

from __future__ import annotations

import time

import curio

from umberward.clients.errors import RateBudgetError
from umberward.protocol.transactions import Priority

# Shares of one second's requests that a priority leaves to the more urgent ones.
RESERVED_SHARES = {Priority.URGENT: 0.0, Priority.NORMAL: 0.15, Priority.BACKGROUND: 0.4}
TIMER_MARGIN_S = 0.001  # the bucket is full enough only shortly after the computed wait


class RateBudget:
    """A token bucket: it refills at `rate` tokens a second and holds `burst` tokens.

    Requests of a lower priority leave a reserve in the bucket for those of a higher one. All times
    are those of the process's own steady clock.
    """

    def __init__(self, rate: float) -> None:
        """Start with a full bucket that holds one second's tokens."""
        self.rate = rate
        self.burst = rate
        self.tokens = rate
        self.filled_at = time.monotonic()

    def set_rate(self, rate: float, min_burst: float = 0.0) -> None:
        """Refill at `rate` tokens a second from now on.

        The bucket holds one second's tokens, or `min_burst` tokens if that is more.
        """
        self._fill()
        self.rate = rate
        self.burst = max(rate, min_burst)

    def wait_time(self, count: int, priority: Priority) -> float:
        """Seconds until `count` tokens may be taken; 0: at once."""
        self._fill()
        needed = min(count, self.rate) + RESERVED_SHARES[priority] * self.rate
        # More than one second's tokens would possibly never be in the bucket.
        needed = min(needed, self.rate)
        return max(0.0, (needed - self.tokens) / self.rate)

    def drain(self) -> None:
        """Empty the bucket: the service's limit is used up by the other controllers."""
        self._fill()
        self.tokens = min(self.tokens, 0.0)

    async def take(self, count: int, priority: Priority, max_wait_s: float) -> None:
        """Take `count` tokens, after a wait of `max_wait_s` seconds at most.

        Raises RateBudgetError, without a wait, as soon as the tokens would come too late.
        """
        deadline = time.monotonic() + max_wait_s
        while True:
            wait_s = self.wait_time(count, priority)
            if wait_s <= 0:
                self.tokens -= count
                return
            if time.monotonic() + wait_s > deadline:
                raise RateBudgetError(wait_s)
            await curio.sleep(wait_s + TIMER_MARGIN_S)

    def _fill(self) -> None:
        now = time.monotonic()
        self.tokens = min(self.burst, self.tokens + (now - self.filled_at) * self.rate)
        self.filled_at = now
