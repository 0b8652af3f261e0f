"""A token bucket that keeps this controller within its share of a service's rate limit."""

from __future__ import annotations

import time

import curio

from umberward.clients.errors import RateBudgetExceededError
from umberward.protocol.transactions import RequestPriority

# Share of one second's tokens that requests of a priority leave to those of higher ones.
RESERVED_SHARES = {
    RequestPriority.URGENT: 0.0,
    RequestPriority.NORMAL: 0.15,
    RequestPriority.BACKGROUND: 0.4,
}
# Added to each computed wait, at the end of which the bucket may still lack a fraction of a token.
TIMER_MARGIN_S = 0.001


class RateBudget:
    """A token bucket: it refills at `rate` tokens per second and holds up to `capacity` tokens.

    Requests of a lower priority leave a reserve in the bucket for those of a higher one. All times
    are readings of the process's monotonic clock.
    """

    def __init__(self, rate: float) -> None:
        """Create a full bucket that holds one second's tokens."""
        self.rate = rate
        self.capacity = rate
        self.tokens = rate
        self.refilled_at = time.monotonic()

    def set_rate(self, rate: float, min_capacity: float = 0.0) -> None:
        """Refill at `rate` tokens per second from now on.

        The bucket then holds one second's tokens, but at least `min_capacity`.
        """
        self._refill()
        self.rate = rate
        self.capacity = max(rate, min_capacity)

    def wait_time(self, count: int, priority: RequestPriority) -> float:
        """Return the seconds until `count` tokens may be taken; 0: immediately."""
        self._refill()
        needed = min(count, self.rate) + RESERVED_SHARES[priority] * self.rate
        # Require at most one second's tokens: the bucket need not hold more.
        needed = min(needed, self.rate)
        return max(0.0, (needed - self.tokens) / self.rate)

    def drain(self) -> None:
        """Remove all tokens, as the other controllers have used up the service's limit.

        A negative number of tokens, left by a large request, remains.
        """
        self._refill()
        self.tokens = min(self.tokens, 0.0)

    async def take(self, count: int, priority: RequestPriority, max_wait_s: float) -> None:
        """Take `count` tokens, waiting for them for at most `max_wait_s` seconds.

        Raises RateBudgetExceededError, without further waiting, if they would become available
        later.
        """
        deadline = time.monotonic() + max_wait_s
        while True:
            wait_s = self.wait_time(count, priority)
            if wait_s <= 0:
                self.tokens -= count
                return
            if time.monotonic() + wait_s > deadline:
                raise RateBudgetExceededError(wait_s)
            await curio.sleep(wait_s + TIMER_MARGIN_S)

    def _refill(self) -> None:
        now = time.monotonic()
        self.tokens = min(self.capacity, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
