"""The event loop of a controller: curio's, with fewer system calls."""

from __future__ import annotations

import selectors
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar, TypeVarTuple

import curio

Arguments = TypeVarTuple("Arguments")
Result = TypeVar("Result")

POLL_INTERVAL_S = 0.002  # between polls of the sockets while tasks are ready to run


class ThrottledSelector(selectors.DefaultSelector):
    """A selector that limits how often sockets are polled while tasks are ready to run.

    curio polls before each round of ready tasks, and every message between actors causes a round.
    Sockets need not be polled that often.
    """

    def __init__(self) -> None:
        """Create a selector without sockets."""
        super().__init__()
        self.last_poll_at = 0.0  # seconds of the monotonic clock
        self.poll_count = 0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the events as `selectors` does, or none without polling if it is too early.

        `timeout`: in seconds; 0 while tasks are ready to run.
        """
        if timeout == 0 and time.monotonic() - self.last_poll_at < POLL_INTERVAL_S:
            return []
        events = super().select(timeout)
        self.last_poll_at = time.monotonic()
        self.poll_count += 1
        return events


def run(main: Callable[[*Arguments], Awaitable[Result]], *args: *Arguments) -> Result:
    """Run `main(*args)` as the main task; returns its result or raises its exception."""
    result: Result = curio.run(main, *args, selector=ThrottledSelector())
    return result
