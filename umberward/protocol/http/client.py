"""An HTTP client that keeps connections, within a bound on open sockets."""

from __future__ import annotations

import socket
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import NamedTuple

import curio
import curio.socket as sockets
import h11

from umberward.core.types import Address
from umberward.protocol.http.connection import receive
from umberward.protocol.http.messages import (
    END_OF_MESSAGE,
    NoResponseError,
    RequestNotSentError,
    Response,
    known_responses,
    request_head,
    request_head_bytes,
)
from umberward.protocol.http.socket_budget import SocketBudget

SOCKET_RECHECK_S = 0.1  # how often it is looked whether the server has given sockets back
MAX_IDLE_PER_ADDRESS = 4  # connections kept for one address
MIN_WAIT_S = 0.001

EXCHANGE_DONE = (h11.DONE, h11.DONE)
NOT_USED = (h11.IDLE, h11.IDLE)  # the response was known by its bytes, h11 has seen nothing


class _Head(NamedTuple):
    """The parts of a request's head."""

    method: str
    target: str
    host: str
    length: int


class _KeptConnection(NamedTuple):
    """A connection of this client and h11's state of it."""

    sock: curio.io.Socket
    state: h11.Connection


class Client:
    """Sends requests over kept connections."""

    def __init__(self, most: SocketBudget | int) -> None:
        """`most`: how many sockets it may open, or the budget that it shares with a server."""
        self.sockets = SocketBudget.of(most)
        self.waiting: deque[curio.Event] = deque()  # requests that wait for a socket
        # Idle connections; the address least recently used comes first.
        self.idle: OrderedDict[Address, list[_KeptConnection]] = OrderedDict()

    async def request(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        timeout: float = 2.0,
        fresh: bool = False,  # noqa: FBT001, FBT002 (callers name it)
        still: Callable[[], bool] | None = None,
    ) -> Response:
        """Send a request and wait for its response.

        `timeout`: seconds for all of it; `fresh`: take no kept connection; `still` is asked once
        more when all is ready to be sent, as the process may have waited for a socket or a
        connection, or have been paused, since the decision was made. Raises RequestNotSentError
        or NoResponseError.
        """
        deadline = time.monotonic() + timeout
        connection = await self._connect(address, deadline, fresh=fresh)
        if still is not None and not still():
            await self._close(connection.sock)
            raise RequestNotSentError(f"{method} {address}: no longer ours to say")
        head = _Head(method, target, str(address), len(body))
        wait_s = max(deadline - time.monotonic(), MIN_WAIT_S)
        try:
            response: Response = await curio.timeout_after(
                wait_s, self._round_trip, connection, head, body
            )
        except (OSError, curio.TaskTimeout, h11.ProtocolError, EOFError) as error:
            await self._close(connection.sock)
            raise NoResponseError(f"{method} {address}: {error!r}") from None
        except BaseException:
            await self._close(connection.sock)
            raise
        await self._keep(address, connection)
        return response

    async def forget(self, address: Address) -> None:
        """Close the idle connections to an address that is gone."""
        for connection in self.idle.pop(address, []):
            await self._close(connection.sock)

    async def close_kept(self) -> bool:
        """Close an idle connection to the address least recently used; False: there is none."""
        if not self.idle:
            return False
        connection = self._take_idle(next(iter(self.idle)), 0)
        await self._close(connection.sock)
        return True

    async def _connect(self, address: Address, deadline: float, *, fresh: bool) -> _KeptConnection:
        """An idle connection that still works, or a new one. Raises RequestNotSentError."""
        while not fresh and address in self.idle:
            connection = self._take_idle(address, -1)
            if self._is_usable(connection.sock):
                return connection
            await self._close(connection.sock)
        # Idle connections count: with more addresses than sockets, they would take them all and
        # no new address could be reached any more.
        while self.sockets.left_to_client <= 0 and await self.close_kept():
            pass
        await self._take_socket(address, deadline)
        sock = sockets.socket(sockets.AF_INET, sockets.SOCK_STREAM)
        try:
            sock.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
            wait_s = max(deadline - time.monotonic(), MIN_WAIT_S)
            await curio.timeout_after(wait_s, sock.connect, tuple(address))
        except (OSError, curio.TaskTimeout) as error:
            await self._close(sock)
            raise RequestNotSentError(f"{address}: {error!r}") from None
        except BaseException:
            await self._close(sock)
            raise
        return _KeptConnection(sock, h11.Connection(h11.CLIENT))

    async def _keep(self, address: Address, connection: _KeptConnection) -> None:
        """Keep the connection for later requests, if it may go on."""
        idle = self.idle.get(address, [])
        states = (connection.state.our_state, connection.state.their_state)
        if states not in (EXCHANGE_DONE, NOT_USED) or len(idle) >= MAX_IDLE_PER_ADDRESS:
            await self._close(connection.sock)
            return
        if states == EXCHANGE_DONE:
            connection.state.start_next_cycle()
        self.idle[address] = [*idle, connection]
        self.idle.move_to_end(address)

    async def _take_socket(self, address: Address, deadline: float) -> None:
        """Wait for room in the socket budget, and take it. Raises RequestNotSentError."""
        while self.sockets.left_to_client <= 0:
            freed = curio.Event()
            self.waiting.append(freed)
            # The server gives sockets back without telling the client.
            wait_s = min(max(deadline - time.monotonic(), MIN_WAIT_S), SOCKET_RECHECK_S)
            if await curio.ignore_after(wait_s, freed.wait) is None and freed in self.waiting:
                self.waiting.remove(freed)
            if time.monotonic() >= deadline and self.sockets.left_to_client <= 0:
                raise RequestNotSentError(f"{address}: no socket to spare")
        self.sockets.sent += 1

    def _take_idle(self, address: Address, position: int) -> _KeptConnection:
        idle = self.idle[address]
        connection = idle.pop(position)
        if not idle:
            del self.idle[address]
        return connection

    @staticmethod
    def _is_usable(sock: curio.io.Socket) -> bool:
        """Nothing may come on an idle connection: data or an end both make it useless."""
        try:
            # One system call, where curio's way to a blocking socket takes four.
            sock._socket.recv(1, socket.MSG_DONTWAIT | socket.MSG_PEEK)  # noqa: SLF001
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def _close(self, sock: curio.io.Socket) -> None:
        await sock.close()
        self.sockets.sent -= 1
        if self.waiting:
            await self.waiting.popleft().set()

    @staticmethod
    async def _round_trip(connection: _KeptConnection, head: _Head, body: bytes) -> Response:
        sock, state = connection
        await sock.sendall(request_head_bytes(*head) + body)
        data = await receive(sock)
        known = known_responses.find(data)
        if known is not None:
            (status, retry_after), response_body = known
            return Response(status, response_body, retry_after)
        # Now h11 is told of the request as well, and reads the response.
        state.send(request_head(*head))
        if body:
            state.send(h11.Data(data=body))
        state.send(END_OF_MESSAGE)
        state.receive_data(data)
        return await Client._read_response(sock, state, data)

    @staticmethod
    async def _read_response(sock: curio.io.Socket, state: h11.Connection, data: bytes) -> Response:
        """The response that begins with `data`. Raises EOFError if the connection ends first."""
        status = 0
        retry_after: float | None = None
        parts: list[bytes] = []
        while True:
            event = state.next_event()
            if event is h11.NEED_DATA:
                state.receive_data(await receive(sock))
            elif isinstance(event, h11.Response):
                status = event.status_code
                retry_after = _retry_after(event)
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                body = b"".join(parts)
                if (state.our_state, state.their_state) == EXCHANGE_DONE:
                    known_responses.keep(data, (status, retry_after), len(body))
                return Response(status, body, retry_after)
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("closed")


def _retry_after(head: h11.Response) -> float | None:
    """Seconds from the header Retry-After; None: there is none, or it is no number."""
    found: float | None = None
    for name, value in head.headers:
        if name == b"retry-after":
            try:
                found = float(value)
            except ValueError:
                found = None
    return found
