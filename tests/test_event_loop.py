"""The event loop does not look at sockets for each message between actors."""

from __future__ import annotations

from typing import Any

import curio

from umberward.core.actor import Actor
from umberward.core.event_loop import BatchingSelector


class Echo(Actor):
    async def handle(self, message: Any) -> Any:
        return message


def test_messages_cost_no_system_call_each() -> None:
    selector = BatchingSelector()

    async def main() -> None:
        echo = Echo()
        running = await curio.spawn(echo.run, daemon=True)
        for number in range(300):
            assert await echo.ask(number) == number
        await running.cancel()

    curio.run(main, selector=selector)
    assert selector.polls < 150  # 600 and more without it


def test_a_question_before_which_nothing_stands_changes_no_task() -> None:
    """It is answered in the task that asks; what stands in the queue comes first all the same."""
    order = []

    class Notes(Actor):
        async def handle(self, message: Any) -> Any:
            order.append(message)
            task = await curio.current_task()
            return task.id

    async def main() -> None:
        notes = Notes()
        running = await curio.spawn(notes.run, daemon=True)
        await curio.sleep(0)
        mine = (await curio.current_task()).id
        assert await notes.ask("first") == mine
        await notes.tell("second")
        assert await notes.ask("third") == running.id
        await running.cancel()
        assert await notes.ask("late") is None

    curio.run(main)
    assert order == ["first", "second", "third"]


def test_who_asks_an_actor_that_ends_is_answered() -> None:
    async def main() -> Any:
        echo = Echo()
        asking = await curio.spawn(echo.ask, 1)
        running = await curio.spawn(echo.run, daemon=True)
        await running.cancel()
        return await curio.timeout_after(1.0, asking.join)

    assert curio.run(main) in (1, None)


def test_sockets_are_looked_at_though_tasks_are_always_ready() -> None:
    async def busy() -> None:
        while True:
            await curio.sleep(0)

    async def main() -> bytes:
        spinning = await curio.spawn(busy, daemon=True)
        ours, theirs = curio.socket.socketpair()
        receiving = await curio.spawn(ours.recv, 10)
        await curio.sleep(0.01)
        await theirs.sendall(b"heard")
        found: bytes = await curio.timeout_after(2.0, receiving.join)
        await spinning.cancel()
        return found

    assert curio.run(main, selector=BatchingSelector()) == b"heard"
