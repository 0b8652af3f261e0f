"""Structured concurrency: background tasks with an owner that ends them.

A curio task that nobody owns is cancelled only while the kernel shuts down. The kernel cancels the
tasks of one moment, one after the other; whatever another task starts meanwhile is left over, and
the shutdown fails. A task of a `TaskScope` ends with its scope, while the kernel still runs.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Any

import curio


class TaskScope:
    """Owns background tasks: all of them have ended once the scope is closed.

    The scope does not wait for its tasks, and a task that fails does not end the others. A task
    that has finished is not kept, so a scope can own any number of short tasks. Spawning in a
    closed scope raises RuntimeError.
    """

    def __init__(self) -> None:
        self._group = curio.TaskGroup(wait=None)

    async def spawn(self, function: Callable[..., Awaitable[Any]], *args: Any) -> curio.Task:
        # curio's groups keep a finished task until it is joined, unless it is a daemon.
        return await self._group.spawn(function, *args, daemon=True)

    async def close(self) -> None:
        """Cancel all tasks and wait for their ends, even if the caller is cancelled meanwhile."""
        async with curio.disable_cancellation():
            await self._group.join()

    async def __aenter__(self) -> TaskScope:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.close()
