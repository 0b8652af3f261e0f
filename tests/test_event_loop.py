"""The event loop polls sockets rarely while tasks are ready, and actors answer all requests."""

from __future__ import annotations

from typing import Any

import curio

from umberward.core.actor import Actor
from umberward.core.event_loop import ThrottledSelector


class Echo(Actor):
    async def handle(self, message: Any) -> Any:
        return message


def test_messages_between_actors_rarely_poll_sockets() -> None:
    selector = ThrottledSelector()

    async def main() -> None:
        echo = Echo()
        running = await curio.spawn(echo.run, daemon=True)
        for number in range(300):
            assert await echo.ask(number) == number
        await running.cancel()

    curio.run(main, selector=selector)
    assert selector.poll_count < 150  # at least 600 without the selector


def test_a_request_to_an_idle_actor_switches_no_task() -> None:
    """With an empty queue the asking task handles the message; otherwise queue order is kept."""
    order = []

    class RecordingActor(Actor):
        async def handle(self, message: Any) -> Any:
            order.append(message)
            task = await curio.current_task()
            return task.id

    async def main() -> None:
        recorder = RecordingActor()
        running = await curio.spawn(recorder.run, daemon=True)
        await curio.sleep(0)
        own_id = (await curio.current_task()).id
        assert await recorder.ask("first") == own_id
        await recorder.tell("second")
        assert await recorder.ask("third") == running.id
        await running.cancel()
        assert await recorder.ask("late") is None

    curio.run(main)
    assert order == ["first", "second", "third"]


def test_a_request_to_an_ending_actor_is_answered() -> None:
    async def main() -> Any:
        echo = Echo()
        request_task = await curio.spawn(echo.ask, 1)
        running = await curio.spawn(echo.run, daemon=True)
        await running.cancel()
        return await curio.timeout_after(1.0, request_task.join)

    assert curio.run(main) in (1, None)


def test_sockets_are_polled_while_tasks_are_always_ready() -> None:
    async def busy() -> None:
        while True:
            await curio.sleep(0)

    async def main() -> bytes:
        busy_task = await curio.spawn(busy, daemon=True)
        receiving_socket, sending_socket = curio.socket.socketpair()
        receiving = await curio.spawn(receiving_socket.recv, 10)
        await curio.sleep(0.01)
        await sending_socket.sendall(b"heard")
        received: bytes = await curio.timeout_after(2.0, receiving.join)
        await busy_task.cancel()
        return received

    assert curio.run(main, selector=ThrottledSelector()) == b"heard"
