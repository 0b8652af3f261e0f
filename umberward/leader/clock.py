"""The clocks of this controller, as typed readings."""

from __future__ import annotations

import time

from umberward.core.types import Instant, WallTime


def monotonic_now() -> Instant:
    """Return the steady clock's reading, in seconds. It is comparable within a process only."""
    return Instant(time.monotonic())


def wall_now() -> WallTime:
    """Return the time of day, in seconds since 1970."""
    return WallTime(time.time())
