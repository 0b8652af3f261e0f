"""Structured concurrency: background tasks with an owner that cancels them.

A curio task without an owner is cancelled only when the kernel shuts down. The kernel then lists
the existing tasks and cancels them one after another; a task started meanwhile is not in the list,
and the shutdown fails. A task of a `TaskScope` ends with its scope, while the kernel still runs.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Any

import curio


class TaskScope:
    """Owns background tasks: closing the scope ends all of them.

    The scope does not wait for its tasks to finish, and a failing task does not end the others.
    Finished tasks are not retained, so a scope can own any number of short tasks.
    """

    def __init__(self) -> None:
        """Create an open scope without tasks."""
        self._group = curio.TaskGroup(wait=None)

    async def spawn(self, function: Callable[..., Awaitable[Any]], *args: object) -> curio.Task:
        """Start `function(*args)` as a task of this scope.

        Raises RuntimeError if the scope is closed.
        """
        # curio's groups retain a finished task until it is joined, unless it is a daemon.
        return await self._group.spawn(function, *args, daemon=True)

    async def close(self) -> None:
        """Cancel all tasks and wait for their end, even if the caller is cancelled."""
        async with curio.disable_cancellation():
            await self._group.join()

    async def __aenter__(self) -> TaskScope:
        """Return the scope, which is already open."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the scope, whether or not the block raised."""
        await self.close()
