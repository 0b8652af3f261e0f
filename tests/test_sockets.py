"""A thousand machines on one controller's sockets: nobody who needs one for a lease is refused."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from umberward.core.types import Address
from umberward.protocol import http
from umberward.protocol.http import Client, Request, Response, Server, SocketBudget

HERE = Address("127.0.0.1", 29440)
MACHINES = 1000
# What a controller of 1,280 sockets has for workers, users and direct commands, and for these last.
SHARED, OF_CLIENT = 1176, 426


class Played:
    def __init__(self) -> None:
        self.sockets = SocketBudget(SHARED, OF_CLIENT)
        self.client = Client(self.sockets)
        self.server = Server(HERE, self.serve, self.sockets, self.client)
        self.most = 0

    async def serve(self, request: Request) -> Response:
        if request.path == "/hello":
            assert request.origin is not None
            await self.server.name_connection(request.origin, request.query)
        self.most = max(self.most, SHARED - self.sockets.left)
        return Response(200)

    async def play(self) -> int:
        """How many of two reports of each machine are answered, while all else is at its worst."""
        running = [await curio.spawn(self.server.run, daemon=True)]
        addresses = [Address("127.0.0.1", HERE.port + 1 + n) for n in range(110)]
        for address in addresses:
            other = Server(address, _answer, 8)
            running.append(await curio.spawn(other.run, daemon=True))
        await curio.sleep(0.1)
        # Direct commands have left 440 kept connections, or as many as there may be, ...
        await _together([self.client.request(address, "POST", "/do") for address in addresses * 4])
        # ... users keep theirs between two polls, ...
        users = [Client(1) for _ in range(300)]
        await _together([user.request(HERE, "GET", "/v1/jobs/req-1") for user in users])
        # ... and the machines come twice: nobody has told us that their first connection is dead.
        answered = 0
        kept = []
        for _ in range(2):
            workers = [Client(1) for _ in range(MACHINES)]
            kept.append(workers)
            answers = await _together(
                [
                    worker.request(HERE, "POST", f"/hello?m{number}", timeout=8.0)
                    for number, worker in enumerate(workers)
                ]
            )
            answered += sum(1 for answer in answers if answer is not None)
        # What is left still serves for direct commands.
        assert (await self.client.request(addresses[0], "POST", "/do")).status == 200
        for task in running:
            await task.cancel()
        return answered


async def _answer(_: Request) -> Response:
    return Response(200)


async def _together(asked: list[Any]) -> list[Response | None]:
    async def one(request: Any) -> Response | None:
        try:
            found: Response = await request
            return found
        except (http.RequestNotSentError, http.NoResponseError):
            return None

    tasks = [await curio.spawn(one, request) for request in asked]
    return [await task.join() for task in tasks]


def test_a_take_over_of_a_thousand_machines() -> None:
    played = Played()
    assert curio.run(played.play) == 2 * MACHINES
    assert played.server.refused == 0
    assert played.most <= SHARED


def test_without_room_made_machines_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    async def none(_: Server) -> bool:
        return False

    monkeypatch.setattr(Server, "_evict", none)
    monkeypatch.setattr(http.server, "SOCKET_POLLS", 1)
    played = Played()
    assert curio.run(played.play) < 2 * MACHINES
