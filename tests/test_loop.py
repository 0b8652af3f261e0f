"""The event loop does not look at sockets for each message between actors."""

from __future__ import annotations

from typing import Any

import curio

from umberward.core.actor import Actor
from umberward.core.loop import SparingSelector


class Echo(Actor):
    async def handle(self, message: Any) -> Any:
        return message


def test_messages_cost_no_system_call_each() -> None:
    selector = SparingSelector()

    async def main() -> None:
        echo = Echo()
        running = await curio.spawn(echo.run, daemon=True)
        for number in range(300):
            assert await echo.ask(number) == number
        await running.cancel()

    curio.run(main, selector=selector)
    assert selector.polls < 150  # 600 and more without it


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

    assert curio.run(main, selector=SparingSelector()) == b"heard"
