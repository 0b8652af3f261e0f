"""A rate-limited log: suppressed lines are counted and reported with the next line."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol

DEFAULT_LINES_PER_S = 20  # per event name
WINDOW_S = 1.0


class InfoLogger(Protocol):
    """The logger method that is used here; loggers of `umberward.core.log` have it."""

    def info(self, event: str, **fields: Any) -> Any:  # noqa: ANN401 - as in structlog
        """Write one line."""


class _EventWindow:
    """Counts of one event: `lines` written in the window that began at `began_at`.

    `left_out` counts the lines suppressed since the last written one, also in earlier windows.
    """

    __slots__ = ("began_at", "left_out", "lines")

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at
        self.lines = 0
        self.left_out = 0


class RateLimitedLog:
    """A logger that writes a limited number of lines per second for each event name."""

    def __init__(
        self,
        log: InfoLogger,
        lines_per_s: int = DEFAULT_LINES_PER_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """`log`: a logger of `umberward.core.log`; `clock`: monotonic, in seconds."""
        self.log = log
        self.lines_per_s = lines_per_s
        self.clock = clock
        self._windows: dict[str, _EventWindow] = {}

    def info(self, event: str, **fields: Any) -> None:  # noqa: ANN401 - any value can be logged
        """Write a line, unless too many of this event were written in the current window.

        The field `left_out` of a line is the number of lines of its event suppressed before it.
        """
        now = self.clock()
        window = self._windows.get(event)
        if window is None:
            window = self._windows[event] = _EventWindow(now)
        if now - window.began_at >= WINDOW_S:
            window.began_at, window.lines = now, 0
        if window.lines >= self.lines_per_s:
            window.left_out += 1
            return
        window.lines += 1
        if window.left_out:
            fields["left_out"] = window.left_out
            window.left_out = 0
        self.log.info(event, **fields)
