"""A log of bounded rate: repeated events are counted, and reported with their next line."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol

LINES_PER_S = 20  # of one event
WINDOW_S = 1.0


class InfoLogger(Protocol):
    """The part of a logger of `umberward.core.log` that is used here."""

    def info(self, event: str, **fields: Any) -> Any:  # noqa: ANN401 - as structlog has it
        """Write one line."""


class _EventWindow:
    """The lines of one event within the window that began at `began`."""

    __slots__ = ("began", "left_out", "lines")

    def __init__(self, began: float) -> None:
        self.began = began
        self.lines = 0
        self.left_out = 0


class RateLimitedLog:
    """A logger that writes at most so many lines of each event a second."""

    def __init__(
        self,
        log: InfoLogger,
        lines_per_s: int = LINES_PER_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """`log`: a logger of `umberward.core.log`; `clock`: steady, in seconds."""
        self.log = log
        self.lines_per_s = lines_per_s
        self.clock = clock
        self._windows: dict[str, _EventWindow] = {}

    def info(self, event: str, **fields: Any) -> None:  # noqa: ANN401 - any value can be logged
        """Write a line, unless too many of this event were written within the last second.

        The field `left_out` of a line is how many lines of its event were dropped before it.
        """
        now = self.clock()
        window = self._windows.get(event)
        if window is None:
            window = self._windows[event] = _EventWindow(now)
        if now - window.began >= WINDOW_S:
            window.began, window.lines = now, 0
        if window.lines >= self.lines_per_s:
            window.left_out += 1
            return
        window.lines += 1
        if window.left_out:
            fields["left_out"] = window.left_out
            window.left_out = 0
        self.log.info(event, **fields)
