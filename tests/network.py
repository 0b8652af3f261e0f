"""A network in memory and a clock that jumps, for whole controllers in one process.

`Server` and `Client` here take the place of those of `umberward.protocol.http`, so that all that is
above them runs as it does on sockets. Every link has a state for each direction: a message may be
refused, lost, held until the link is whole again, or late.
"""

from __future__ import annotations

import math
import random
import selectors
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

import curio
from traffic_recorder import note

from umberward.core.tasks import TaskScope
from umberward.core.types import Address
from umberward.local.links import Links
from umberward.protocol.http import Handler, NoResponseError, Request, RequestNotSentError, Response

TRIP_S = 0.001
MOST_KEPT = 60


class Clock:
    """Stands still while anything can run, and jumps to the next moment at which something can."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now

    @contextmanager
    def running(self) -> Iterator[None]:
        with mock.patch("time.monotonic", self), mock.patch("time.time", self):
            yield


class Jumping(selectors.DefaultSelector):
    """curio's waiting is the clock's jump."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self.clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("everybody waits for somebody else")
        self.clock.now += max(0.0, timeout)
        return []


class Network:
    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.clock = clock
        self.rng = rng
        self.owners: dict[Address, str] = {}
        self.serving: dict[Address, Server] = {}
        self.links = Links(rng, TRIP_S)
        self.copied: dict[str, tuple[float, float, float]] = {}  # owner -> share, from, to
        self.building = ""  # whose clients are made now
        self.sent: dict[str, float] = {}  # to whom a message is handed now -> when it was sent
        self.kept_share = 0.0  # of the reports a copy is kept for the next leader
        self.kept: deque[Request] = deque(maxlen=MOST_KEPT)
        self.messages = TaskScope()  # owns what is under way

    def client(self, _: Any = None) -> Client:
        return Client(self, self.building)

    def server(self, address: Address, handler: Handler, *_: Any) -> Server:
        return Server(self, address, handler)

    def address(self, owner: str, port: int) -> Address:
        made = Address("127.0.0.1", port)
        self.owners[made] = owner
        return made

    async def bring_kept(self, addresses: Iterable[Address]) -> None:
        """The copies that were kept come to all of these at once."""
        kept, self.kept = self.kept, deque(maxlen=MOST_KEPT)
        for request in kept:
            for address in addresses:
                if address in self.serving:
                    await self.messages.spawn(self.serving[address].handler, request)


class Server:
    def __init__(self, network: Network, address: Address, handler: Handler) -> None:
        self.network = network
        self.address = address
        self.handler = handler

    async def run(self) -> None:
        self.network.serving[self.address] = self
        try:
            await curio.sleep(math.inf)
        finally:
            if self.network.serving.get(self.address) is self:
                del self.network.serving[self.address]

    async def name(self, peer: Any, name: str) -> None:
        """Connections are not played."""


class Client:
    def __init__(self, network: Network, owner: str) -> None:
        self.network = network
        self.owner = owner
        self.ended = False  # its process is

    async def request(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        timeout: float = 2.0,
        fresh: bool = False,
        still: Callable[[], bool] | None = None,
    ) -> Response:
        network = self.network
        there = network.owners.get(address, "nobody")
        path, _, query = target.partition("?")
        if address not in network.serving or network.links.refuses(self.owner, there, target):
            await curio.sleep(TRIP_S)
            raise RequestNotSentError(f"{address}: refused")
        if self.ended or still is not None and not still():
            raise RequestNotSentError(f"{method} {address}: no longer ours to say")
        sent = network.clock()
        note(self.owner, there, method, target, body, sent)
        answered = curio.Event()
        answers: list[Response] = []

        async def carry() -> None:
            if await network.links.passes(self.owner, there, target):
                server = network.serving.get(address)
                if server is None:
                    return
                network.sent[there] = sent
                response = await server.handler(Request(method, path, query, body))
                network.sent.pop(there, None)
                answer = (response.status, response.body, response.retry_after)
                note(there, self.owner, target, *answer, network.clock())
                # A process that has ended since says nothing.
                if network.serving.get(address) is server and await network.links.passes(
                    there, self.owner, target
                ):
                    answers.append(response)
                    await answered.set()

        await network.messages.spawn(carry)
        if path == "/hello" and network.rng.random() < network.kept_share:
            network.kept.append(Request(method, path, query, body))
        if path == "/hello" and self.owner in network.copied:
            await network.messages.spawn(self._copy, address, Request(method, path, query, body))
        await curio.ignore_after(timeout, answered.wait)
        if not answers:
            raise NoResponseError(f"{method} {address}: no answer")
        return answers[0]

    async def _copy(self, address: Address, request: Request) -> None:
        """The same report comes once more, long after; nobody waits for an answer."""
        share, least, most = self.network.copied[self.owner]
        if self.network.rng.random() < share:
            await curio.sleep(self.network.rng.uniform(least, most))
            server = self.network.serving.get(address)
            if server is not None:
                await server.handler(request)

    async def forget(self, address: Address) -> None:
        """Connections are not played."""
