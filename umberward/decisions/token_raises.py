"""When the token is raised, so that late commands under the old one become void. No I/O.

That costs one write, and each worker sends a report when it first sees the new token: so it is done
for a reason, and no more often than the reason is worth.
"""

from __future__ import annotations

import math

from umberward.core.types import Instant

# A start that nobody wants any more and that may still be carried out would run for nothing.
UNWANTED_S = 2.0  # the sender waits so long for an answer
UNWANTED_EVERY_S = 2.0
# An exited attempt that cannot be forgotten does no harm but lengthens its worker's reports.
EXITED_S = 15.0
EXITED_EVERY_S = 60.0


class TokenRaises:
    def __init__(self) -> None:
        self.wanted = False  # to be raised as soon as that can be written
        self.count = 0
        self._under_way = False
        self._raised_at = Instant(-math.inf)

    def unwanted_start(self, since: Instant, now: Instant) -> None:
        """A start may still be carried out of what is to be stopped since then."""
        self._ask(now - since > UNWANTED_S and now - self._raised_at > UNWANTED_EVERY_S)

    def exited_unforgotten(self, since: Instant, now: Instant) -> None:
        """An attempt that has exited can't be forgotten since then."""
        self._ask(now - since > EXITED_S and now - self._raised_at > EXITED_EVERY_S)

    def begun(self) -> None:
        """It is being raised now."""
        self.wanted = False
        self._under_way = True

    def failed(self) -> None:
        """It could not be written: who still has a reason asks again."""
        self._under_way = False

    def raised(self, now: Instant) -> None:
        self.wanted = self._under_way = False
        self.count += 1
        self._raised_at = now

    def _ask(self, due: bool) -> None:
        if due and not self._under_way:
            self.wanted = True
