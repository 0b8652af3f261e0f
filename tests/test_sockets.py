"""1000 machines share one controller's socket budget: none may be refused a lease renewal."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from umberward.protocol import http
from umberward.protocol.http import Client, Request, Response, Server, SocketBudget
from umberward.soak import loopback_network
from umberward.soak.loopback_network import LoopbackNetwork

MACHINE_COUNT = 1000
# Of a controller with 1,280 sockets: for workers, users and direct commands, and for the last.
SHARED_SOCKETS, MAX_CLIENT_SOCKETS = 1176, 426


class TakeoverSimulation:
    def __init__(self) -> None:
        self.sockets = SocketBudget(SHARED_SOCKETS, MAX_CLIENT_SOCKETS)
        self.client = Client(self.sockets)
        self.network = LoopbackNetwork()
        self.address = self.network.next_address()
        self.server = Server(self.address, self.serve, self.sockets, self.client)
        self.max_used_sockets = 0

    async def serve(self, request: Request) -> Response:
        if request.path == "/hello":
            assert request.connection is not None
            await self.server.set_client_name(request.connection, request.query)
        self.max_used_sockets = max(
            self.max_used_sockets, SHARED_SOCKETS - self.sockets.available_to_server
        )
        return Response(200)

    async def count_answered_reports(self) -> int:
        """Count the answered ones of two heartbeats of each machine, under the worst other load."""
        running = [await curio.spawn(self.server.run, daemon=True)]
        worker_addresses = [self.network.next_address() for _ in range(110)]
        for address in worker_addresses:
            worker_server = Server(address, _respond_ok, 8)
            running.append(await curio.spawn(worker_server.run, daemon=True))
        await curio.sleep(0.1)
        # Direct commands leave 440 idle connections, or as many as the budget allows.
        await _gather(
            [self.client.request(address, "POST", "/do") for address in worker_addresses * 4]
        )
        # Users keep their connections between two polls.
        users = [Client(1) for _ in range(300)]
        await _gather([user.request(self.address, "GET", "/v1/jobs/req-1") for user in users])
        # Each machine connects twice: the controller cannot know that the first connection is dead.
        answered = 0
        open_clients = []
        for _ in range(2):
            workers = [Client(1) for _ in range(MACHINE_COUNT)]
            open_clients.append(workers)
            responses = await _gather(
                [
                    worker.request(self.address, "POST", f"/hello?m{number}", timeout=8.0)
                    for number, worker in enumerate(workers)
                ]
            )
            answered += sum(1 for response in responses if response is not None)
        # Direct commands still get a socket.
        assert (await self.client.request(worker_addresses[0], "POST", "/do")).status == 200
        for task in running:
            await task.cancel()
        self.network.close()
        return answered


async def _respond_ok(_: Request) -> Response:
    return Response(200)


async def _gather(requests: list[Any]) -> list[Response | None]:
    async def send(request: Any) -> Response | None:
        try:
            response: Response = await request
            return response
        except (http.RequestNotSentError, http.NoResponseError):
            return None

    tasks = [await curio.spawn(send, request) for request in requests]
    return [await task.join() for task in tasks]


def test_takeover_with_1000_machines_refuses_none() -> None:
    simulation = TakeoverSimulation()
    assert curio.run(simulation.count_answered_reports) == 2 * MACHINE_COUNT
    assert simulation.server.refused_connections == 0
    assert simulation.max_used_sockets <= SHARED_SOCKETS


def test_without_eviction_machines_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    async def none(_: Server) -> bool:
        return False

    monkeypatch.setattr(Server, "_evict", none)
    monkeypatch.setattr(http.server, "MAX_SOCKET_POLLS", 1)
    simulation = TakeoverSimulation()
    assert curio.run(simulation.count_answered_reports) < 2 * MACHINE_COUNT


def test_runs_side_by_side_reserve_networks_of_their_own() -> None:
    networks = [LoopbackNetwork() for _ in range(3)]
    addresses = [network.next_address() for network in networks for _ in range(400)]
    assert len(set(addresses)) == len(addresses)
    assert [loopback_network._try_reserve(network.number) for network in networks] == [None] * 3
    for network in networks:
        network.close()
