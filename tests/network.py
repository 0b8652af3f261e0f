"""A simulated network and clock, for running several controllers in one process.

`Server` and `Client` replace those of `umberward.protocol.http`, so that everything above them runs
as it does on sockets. Faults are set for each link and direction: a message may be refused, lost,
held until the link works again, or late.
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
from traffic_recorder import record_message

from umberward.core.tasks import TaskScope
from umberward.core.types import Address
from umberward.local.links import Links
from umberward.protocol.http import Handler, NoResponseError, Request, RequestNotSentError, Response
from umberward.protocol.message_sizes import exceeds_body_limit
from umberward.protocol.wire import MAX_BODY_BYTES

MESSAGE_DELAY_S = 0.001
# Responses of these services have limits of their own, or none.
UNLIMITED_RESPONSES = ("/kv", "/watch", "/hosts", "/flavors", "/peer")
MAX_KEPT_HEARTBEATS = 60


class Clock:
    """Simulated time: stands still while a task can run, then jumps to the next timer."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now

    @contextmanager
    def running(self) -> Iterator[None]:
        """Replace the clocks of the `time` module."""
        with mock.patch("time.monotonic", self), mock.patch("time.time", self):
            yield


class JumpingSelector(selectors.DefaultSelector):
    """Advances the simulated clock where curio would wait for I/O."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self.clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: no task can run and no timer is set")
        self.clock.now += max(0.0, timeout)
        return []


class Network:
    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.clock = clock
        self.rng = rng
        self.owners: dict[Address, str] = {}
        self.serving: dict[Address, Server] = {}
        self.links = Links(rng, MESSAGE_DELAY_S)
        # Owners whose heartbeats are delivered twice: the share of them, and the least and the
        # greatest delay of the copy.
        self.copied: dict[str, tuple[float, float, float]] = {}
        self.client_owner = ""  # owner of the clients that are created now
        self.sent: dict[str, float] = {}  # receiver -> when the request it handles now was sent
        self.kept_share = 0.0  # of all heartbeats: a copy is kept for the next leader
        self.kept_heartbeats: deque[Request] = deque(maxlen=MAX_KEPT_HEARTBEATS)
        self.messages = TaskScope()  # owns the messages in flight
        self.oversized: list[str] = []  # messages above the limit, which a receiver may refuse

    def check_size(self, sender: str, target: str, body: bytes) -> None:
        """Note a message above the limit of the protocol."""
        is_cbor = target.startswith("/peer")
        if len(body) > MAX_BODY_BYTES if is_cbor else exceeds_body_limit(body):
            self.oversized.append(f"{sender} {target}: {len(body)} bytes encoded")

    def client(self, _: Any = None) -> Client:
        return Client(self, self.client_owner)

    def server(self, address: Address, handler: Handler, *_: Any) -> Server:
        return Server(self, address, handler)

    def address(self, owner: str, port: int) -> Address:
        new_address = Address("127.0.0.1", port)
        self.owners[new_address] = owner
        return new_address

    async def deliver_kept_heartbeats(self, addresses: Iterable[Address]) -> None:
        """Deliver the kept heartbeats to all of these addresses."""
        kept, self.kept_heartbeats = self.kept_heartbeats, deque(maxlen=MAX_KEPT_HEARTBEATS)
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
        """Do nothing: connections are not simulated."""


class Client:
    def __init__(self, network: Network, owner: str) -> None:
        self.network = network
        self.owner = owner
        self.ended = False  # whether its process has ended

    async def request(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        timeout: float = 2.0,
        new_connection: bool = False,
        may_send: Callable[[], bool] | None = None,
    ) -> Response:
        network = self.network
        receiver = network.owners.get(address, "nobody")
        path, _, query = target.partition("?")
        if address not in network.serving or network.links.refuses(self.owner, receiver, target):
            await curio.sleep(MESSAGE_DELAY_S)
            raise RequestNotSentError(f"{address}: refused")
        if self.ended or may_send is not None and not may_send():
            raise RequestNotSentError(f"{method} {address}: its sender has ended or withdrawn it")
        sent = network.clock()
        network.check_size(self.owner, target, body)
        record_message(self.owner, receiver, method, target, body, sent)
        answered = curio.Event()
        answers: list[Response] = []

        async def carry() -> None:
            if await network.links.transmit(self.owner, receiver, target):
                server = network.serving.get(address)
                if server is None:
                    return
                network.sent[receiver] = sent
                response = await server.handler(Request(method, path, query, body))
                network.sent.pop(receiver, None)
                if not target.startswith(UNLIMITED_RESPONSES):
                    network.check_size(receiver, target, response.body)
                answer = (response.status, response.body, response.retry_after)
                record_message(receiver, self.owner, target, *answer, network.clock())
                # A process that has ended meanwhile sends no response.
                if network.serving.get(address) is server and await network.links.transmit(
                    receiver, self.owner, target
                ):
                    answers.append(response)
                    await answered.set()

        await network.messages.spawn(carry)
        copied_after_s = network.links.duplicate_delay_s(self.owner, receiver, target)
        if copied_after_s is not None:
            copy = Request(method, path, query, body)
            await network.messages.spawn(self._deliver_again, address, target, copy, copied_after_s)
        if path == "/hello" and network.rng.random() < network.kept_share:
            network.kept_heartbeats.append(Request(method, path, query, body))
        if path == "/hello" and self.owner in network.copied:
            await network.messages.spawn(self._copy, address, Request(method, path, query, body))
        await curio.ignore_after(timeout, answered.wait)
        if not answers:
            raise NoResponseError(f"{method} {address}: no answer")
        return answers[0]

    async def _deliver_again(
        self, address: Address, target: str, request: Request, after_s: float
    ) -> None:
        """Deliver a late copy of a request over its link, whose response nobody awaits."""
        await curio.sleep(after_s)
        receiver = self.network.owners.get(address, "nobody")
        server = self.network.serving.get(address)
        if server is not None and await self.network.links.transmit(self.owner, receiver, target):
            await server.handler(request)

    async def _copy(self, address: Address, request: Request) -> None:
        """Deliver a late copy of a heartbeat, whose response nobody awaits."""
        share, least, most = self.network.copied[self.owner]
        if self.network.rng.random() < share:
            await curio.sleep(self.network.rng.uniform(least, most))
            server = self.network.serving.get(address)
            if server is not None:
                await server.handler(request)

    async def close_idle_connections(self, address: Address) -> None:
        """Do nothing: connections are not simulated."""
