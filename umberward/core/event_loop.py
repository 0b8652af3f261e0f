"""The event loop of a controller: the one of curio, with fewer system calls."""

from __future__ import annotations

import selectors
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar, TypeVarTuple

import curio

Arguments = TypeVarTuple("Arguments")
Result = TypeVar("Result")

POLL_INTERVAL_S = 0.002  # how often sockets are polled while tasks are ready to run


class BatchingSelector(selectors.DefaultSelector):
    """A selector that limits how often sockets are polled while tasks are ready to run.

    curio polls before each round of ready tasks, and every message from one actor to another makes
    a round. Sockets need no polling that often.
    """

    def __init__(self) -> None:
        """A selector that watches no sockets yet."""
        super().__init__()
        self.last_poll_at = 0.0  # seconds of the monotonic clock
        self.polls = 0  # so far

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Events as of `selectors`; none, without a poll, if the last one was just before.

        `timeout`: seconds, 0 while tasks are ready to run.
        """
        if timeout == 0 and time.monotonic() - self.last_poll_at < POLL_INTERVAL_S:
            return []
        events = super().select(timeout)
        self.last_poll_at = time.monotonic()
        self.polls += 1
        return events


def run(main: Callable[[*Arguments], Awaitable[Result]], *args: *Arguments) -> Result:
    """Run `main(*args)` as the main task to its end; returns its result, raises what it raises."""
    result: Result = curio.run(main, *args, selector=BatchingSelector())
    return result
