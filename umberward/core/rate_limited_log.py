"""A log of bounded rate: repeated events are counted, and said with the next line of theirs."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

LINES_PER_S = 20  # of one event


class _EventWindow:
    """What was said of one event within the second that began at `began`."""

    __slots__ = ("began", "lines", "left_out")

    def __init__(self, began: float) -> None:
        self.began = began
        self.lines = 0
        self.left_out = 0


class RateLimitedLog:
    def __init__(
        self,
        log: Any,
        lines_per_s: int = LINES_PER_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """`log`: a logger of `umberward.core.log`; `clock`: steady, in seconds."""
        self.log = log
        self.lines_per_s = lines_per_s
        self.clock = clock
        self._seconds: dict[str, _EventWindow] = {}

    def info(self, event: str, **fields: Any) -> None:
        """As the logger's own; `left_out` is how many lines of this event came before and were not
        written."""
        now = self.clock()
        second = self._seconds.get(event)
        if second is None:
            second = self._seconds[event] = _EventWindow(now)
        if now - second.began >= 1.0:
            second.began, second.lines = now, 0
        if second.lines >= self.lines_per_s:
            second.left_out += 1
            return
        second.lines += 1
        if second.left_out:
            fields["left_out"] = second.left_out
            second.left_out = 0
        self.log.info(event, **fields)
