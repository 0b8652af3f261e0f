"""Late copies of direct commands, in each run of a soak. No I/O.

PROTOCOL executes a direct command as long as its fencing token and session match, so a copy of one
that was executed and answered may take effect minutes later.
"""

from __future__ import annotations

import random

from umberward.protocol.http import Request
from umberward.soak.plan import WORKER_TIMES

COMMAND_PATH = "/do"
COPIED_SHARE = 0.2  # of all direct commands
COPY_DELAY_S = (0.05, 4.0 * WORKER_TIMES.lease_s)


class LateCopies:
    """Decides which direct commands are delivered once more, and when."""

    def __init__(self, rng: random.Random) -> None:
        """`rng`: of its own, so that the planned faults do not depend on the copies."""
        self.rng = rng
        self.count = 0  # copies so far

    def delay_s(self, request: Request) -> float | None:
        """Seconds after which a copy of the request arrives; None: there is none."""
        if request.path != COMMAND_PATH or self.rng.random() >= COPIED_SHARE:
            return None
        self.count += 1
        return self.rng.uniform(*COPY_DELAY_S)
