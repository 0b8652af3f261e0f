"""The event loop of a controller: curio's, with fewer system calls."""

from __future__ import annotations

import selectors
import time
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import curio

POLL_INTERVAL_S = 0.002  # between two polls of the sockets while tasks are ready to run

Result = TypeVar("Result")


class BatchingSelector(selectors.DefaultSelector):
    """A selector that polls the sockets less often while tasks are ready to run.

    In that case curio asks for events before each round of its tasks, and each message from one
    actor to another makes a round. The sockets need not be polled that often.
    """

    def __init__(self) -> None:
        """The first call of `select` polls in any case."""
        super().__init__()
        self.polled = 0.0  # when the sockets were last polled, by the steady clock
        self.polls = 0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """The events that are ready; `timeout` in seconds as for `selectors.BaseSelector`."""
        if timeout == 0 and time.monotonic() - self.polled < POLL_INTERVAL_S:
            return []
        events = super().select(timeout)
        self.polled = time.monotonic()
        self.polls += 1
        return events


def run(main: Callable[..., Awaitable[Result]], *args: Any) -> Result:  # noqa: ANN401 - main's own
    """Run a controller's main task to its end, and return its result."""
    result: Result = curio.run(main, *args, selector=BatchingSelector())
    return result
