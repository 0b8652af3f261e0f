"""The event loop of a controller: curio's, with fewer system calls."""

from __future__ import annotations

import selectors
import time
from collections.abc import Callable
from typing import Any

import curio

POLL_INTERVAL_S = 0.002  # while tasks are ready, sockets are looked at so often


class BatchingSelector(selectors.DefaultSelector):
    """While tasks are ready to run, curio asks for events before each round of them, and a message
    from one actor to another makes a round. Sockets need not be looked at that often.
    """

    def __init__(self) -> None:
        super().__init__()
        self.polled = 0.0
        self.polls = 0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout == 0 and time.monotonic() - self.polled < POLL_INTERVAL_S:
            return []
        found = super().select(timeout)
        self.polled = time.monotonic()
        self.polls += 1
        return found


def run(main: Callable[..., Any], *args: Any) -> Any:
    """Run a controller's main task to its end."""
    return curio.run(main, *args, selector=BatchingSelector())
