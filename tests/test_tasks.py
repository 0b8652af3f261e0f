"""A task scope ends all of its tasks, whatever they do; so do the simulated controllers."""

from __future__ import annotations

import curio
import pytest
from simulated_controllers import SimulatedControllers

from umberward.core.tasks import TaskScope
from umberward.local.links import HELD, LinkFault

LONG_S = 60.0


async def sleep_long(ended: list[str], name: str) -> None:
    try:
        await curio.sleep(LONG_S)
    finally:
        ended.append(name)


def test_all_tasks_have_ended_when_the_block_is_left() -> None:
    ended: list[str] = []

    async def main() -> None:
        async with TaskScope() as scope:
            for name in "ab":
                await scope.spawn(sleep_long, ended, name)
            await curio.sleep(0)
        assert sorted(ended) == ["a", "b"]

    curio.run(main)


def test_what_a_task_spawns_while_it_is_cancelled_ends_too() -> None:
    ended: list[str] = []

    async def main() -> None:
        scope = TaskScope()

        async def spawn_at_the_end() -> None:
            try:
                await curio.sleep(LONG_S)
            finally:
                await scope.spawn(sleep_long, ended, "late")

        await scope.spawn(spawn_at_the_end)
        await curio.sleep(0)
        await scope.close()
        assert ended == ["late"]
        with pytest.raises(RuntimeError):
            await scope.spawn(sleep_long, ended, "after")

    curio.run(main)


def test_other_tasks_run_on_after_a_failure_or_a_finish() -> None:
    ended: list[str] = []

    async def fail() -> None:
        raise ValueError("of the test")

    async def main() -> None:
        async with TaskScope() as scope:
            failing = await scope.spawn(fail)
            finishing = await scope.spawn(curio.sleep, 0)
            await scope.spawn(sleep_long, ended, "other")
            await curio.sleep(0.05)
            assert isinstance(failing.exception, ValueError) and finishing.terminated
            assert not ended
        assert ended == ["other"]

    curio.run(main)


def test_a_cancelled_close_still_ends_all() -> None:
    ended: list[str] = []

    async def slow_to_end(name: str) -> None:
        try:
            await curio.sleep(LONG_S)
        finally:
            await curio.sleep(0.05)
            ended.append(name)

    async def main() -> None:
        scope = TaskScope()
        for name in "abc":
            await scope.spawn(slow_to_end, name)
        await curio.sleep(0)
        closing = await curio.spawn(scope.close)
        await curio.sleep(0.01)
        await closing.cancel()
        assert sorted(ended) == ["a", "b", "c"]

    curio.run(main)


def test_no_message_outlives_the_controllers() -> None:
    """A worker's heartbeat is due while the kernel shuts down, and its link holds messages."""
    world = SimulatedControllers(size=1)

    async def slow_to_end() -> None:
        try:
            await curio.sleep(LONG_S)
        finally:
            await curio.sleep(2.0 * world.cluster.workers.report_s)

    async def spawn_slow_to_end() -> None:
        # The kernel cancels the newest task first and waits until it has ended.
        await curio.spawn(slow_to_end, daemon=True)
        await curio.sleep(0)

    with world.playing():
        world.start("k0")
        world.run(1.0)
        world.network.links.faults["all"] = LinkFault("*", "*", HELD)
        world.machine("m1", "small", "a")
        world.run(0.01)
        world.kernel.run(spawn_slow_to_end)
