"""Typed readings of the monotonic clock and of the wall clock."""

from __future__ import annotations

import time

from umberward.core.types import Instant, WallTime


def monotonic_now() -> Instant:
    """Return the monotonic clock's reading in seconds, comparable only within this process."""
    return Instant(time.monotonic())


def wall_now() -> WallTime:
    """Return the wall-clock time in seconds since the Unix epoch."""
    return WallTime(time.time())
