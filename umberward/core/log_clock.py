"""Instants as times of day, so that lines of different controllers' logs can be compared."""

from __future__ import annotations

import time
from collections.abc import Callable

DECIMAL_PLACES = 1


class LogClock:
    """Converts a process's monotonic instants to seconds since the Unix epoch.

    The offset is read once: an instant is the same text in every line of the process, even if the
    time of day is set meanwhile.
    """

    def __init__(
        self, clock: Callable[[], float], wall_clock: Callable[[], float] | None = None
    ) -> None:
        """`clock`: monotonic, in seconds; `wall_clock`: in seconds since the Unix epoch."""
        self._clock = clock
        self._offset_s = (wall_clock or time.time)() - clock()

    def now(self) -> float:
        """The current time, as in a log line."""
        return self.time_of(self._clock())

    def time_of(self, instant: float) -> float:
        """The time of a monotonic instant, as in a log line."""
        return round(instant + self._offset_s, DECIMAL_PLACES)
