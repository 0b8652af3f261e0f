"""Runs coroutines in every order that they may take, without a clock or an event loop.

Every wait of a task is a choice of who goes on. The explorer goes through all choices depth first:
it plays a run from its start to each choice again, and stops where the state was seen before.
"""

from __future__ import annotations

import inspect
import types
from collections.abc import Callable, Coroutine, Generator, Hashable
from typing import Any, NamedTuple, Protocol


class Wait(NamedTuple):
    """Why a task waits: it may go on when `ready()`; `may_fail`: its request may fail instead."""

    ready: Callable[[], bool]
    may_fail: bool = False


MAX_STEPS = 400  # of one run


class RunTooLongError(Exception):
    """A run has not ended after MAX_STEPS steps, so not every order can be run to its end."""


class RequestFailed(Exception):
    """Raised in a task whose request was chosen to fail."""


def _always() -> bool:
    return True


@types.coroutine
def wait_until(ready: Callable[[], bool] = _always, may_fail: bool = False) -> Generator[Wait]:
    """Let others go on until `ready()`, or for as long as the explorer chooses."""
    yield Wait(ready, may_fail)


class Event:
    """Stands in for `curio.Event`."""

    def __init__(self) -> None:
        self._set = False

    async def set(self) -> None:
        self._set = True

    def clear(self) -> None:
        self._set = False

    async def wait(self) -> None:
        if not self._set:
            await wait_until(lambda: self._set)


class Queue:
    """Stands in for `curio.Queue`."""

    def __init__(self) -> None:
        self.items: list[Any] = []

    def empty(self) -> bool:
        return not self.items

    async def put(self, item: object) -> None:
        self.items.append(item)

    async def get(self) -> Any:
        if not self.items:
            await wait_until(lambda: bool(self.items))
        return self.items.pop(0)


class FakeCurio:
    """Stands in for the module `curio`; `may_time_out` tells whether a wait may end by its time."""

    Event, Queue = Event, Queue
    CancelledError = type("CancelledError", (BaseException,), {})

    def __init__(self, may_time_out: Callable[[float], bool]) -> None:
        self.may_time_out = may_time_out

    async def sleep(self, _: float) -> None:
        await wait_until()

    @types.coroutine
    def ignore_after(
        self, seconds: float, function: Callable[[], Any]
    ) -> Generator[Wait, Any, Any]:
        waiting = function()
        try:
            inner: Wait = waiting.send(None)
            yield Wait(lambda: inner.ready() or self.may_time_out(seconds))
            if inner.ready():
                waiting.send(None)
        except StopIteration as stop:
            return stop.value
        waiting.close()
        return None


class Task:
    """A coroutine that the explorer runs; `observed` is what it has read so far."""

    def __init__(self, name: str, coroutine: Coroutine[Any, Any, Any]) -> None:
        self.name = name
        self.coroutine = coroutine
        self.wait: Wait | None = Wait(_always)  # None: it has ended
        self.observed: list[Hashable] = []

    def frames(self) -> list[types.FrameType]:
        """The frames it is suspended in, outermost first."""
        frames = []
        awaited: Any = self.coroutine
        while awaited is not None:
            is_generator = inspect.isgenerator(awaited)
            frame = awaited.gi_frame if is_generator else getattr(awaited, "cr_frame", None)
            if frame is None:
                break
            frames.append(frame)
            awaited = awaited.gi_yieldfrom if is_generator else awaited.cr_await
        return frames


class Choice(NamedTuple):
    """What goes on next: a task, one whose request fails, or a step of the world."""

    name: str
    act: Callable[[], None]


class World(Protocol):
    """What the explorer runs; made anew for each run."""

    tasks: list[Task]
    current: Task
    broken: list[str]

    def steps(self) -> list[Choice]:
        """What may happen now besides the tasks."""

    def failed(self) -> None:
        """A request was chosen to fail."""

    def failures_left(self) -> bool:
        """Whether a request may fail."""

    def fingerprint(self) -> Hashable:
        """All that the further course depends on."""

    def close(self) -> None:
        """End all tasks."""


class Exploration(NamedTuple):
    """How many states and runs an exploration has seen, and the first broken rule with its run."""

    states: int
    runs: int
    broken: str | None
    schedule: list[str]


def _resume(world: World, task: Task, fails: bool) -> None:
    world.current = task
    try:
        if fails:
            world.failed()
            task.wait = task.coroutine.throw(RequestFailed())
        else:
            task.wait = task.coroutine.send(None)
    except StopIteration:
        task.wait = None


def _choices(world: World) -> list[Choice]:
    choices = []
    for task in world.tasks:
        wait = task.wait
        if wait is None or not wait.ready():
            continue
        choices.append(Choice(task.name, lambda task=task: _resume(world, task, False)))  # type: ignore[misc]
        if wait.may_fail and world.failures_left():
            failure = Choice(f"{task.name} fails", lambda task=task: _resume(world, task, True))  # type: ignore[misc]
            choices.append(failure)
    return choices + world.steps()


def explore(make_world: Callable[[], World]) -> Exploration:
    """Run every order to its end, until one breaks a rule. Raises RunTooLongError."""
    seen: set[Hashable] = set()
    pending: list[list[int]] = [[]]  # the choices that lead to what is still to be run
    runs = 0
    while pending:
        path = pending.pop()
        runs += 1
        world = make_world()
        schedule = []
        try:
            for depth in range(MAX_STEPS):
                choices = _choices(world)
                if not choices:
                    break
                if depth >= len(path):
                    fingerprint = world.fingerprint()
                    if fingerprint in seen:
                        break
                    seen.add(fingerprint)
                    pending += [[*path, number] for number in range(1, len(choices))]
                    path = [*path, 0]
                choice = choices[path[depth]]
                schedule.append(choice.name)
                choice.act()
                if world.broken:
                    return Exploration(len(seen), runs, world.broken[0], schedule)
            else:
                raise RunTooLongError(schedule)
        finally:
            world.close()
    return Exploration(len(seen), runs, None, [])


def replay(world: World, schedule: list[str]) -> list[str]:
    """Run the steps of a schedule as far as they may happen, then the rest; the broken rules."""
    try:
        remaining = list(schedule)
        while choices := _choices(world):
            by_name = {choice.name: choice for choice in choices}
            name = remaining.pop(0) if remaining else choices[0].name
            if name in by_name:
                by_name[name].act()
        return world.broken
    finally:
        world.close()
