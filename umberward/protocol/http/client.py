"""An HTTP client with a connection pool, within a limit on open sockets."""

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
    RequestHead,
    RequestNotSentError,
    Response,
    request_head,
    request_head_bytes,
    response_head_cache,
)
from umberward.protocol.http.socket_budget import SocketBudget

SOCKET_RECHECK_S = 0.1  # interval of checks whether the server has released sockets
MAX_IDLE_PER_ADDRESS = 4  # idle connections in the pool
MIN_TIMEOUT_S = 0.001  # for a step that begins at or after the deadline

EXCHANGE_DONE = (h11.DONE, h11.DONE)
PARSER_UNUSED = (h11.IDLE, h11.IDLE)  # the response head was cached, so h11 was bypassed


class _PooledConnection(NamedTuple):
    """An open connection and its h11 state."""

    sock: curio.io.Socket
    state: h11.Connection


class Client:
    """Sends requests over pooled connections."""

    def __init__(self, socket_budget: SocketBudget | int) -> None:
        """Create a client; `socket_budget` is a number of sockets, or shared with a server."""
        self.socket_budget = SocketBudget.of(socket_budget)
        self.socket_waiters: deque[curio.Event] = deque()  # requests that wait for a socket
        # Pooled connections; the least recently used address comes first.
        self.idle_connections: OrderedDict[Address, list[_PooledConnection]] = OrderedDict()

    async def request(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        timeout: float = 2.0,
        new_connection: bool = False,  # noqa: FBT001, FBT002 (passed by keyword)
        may_send: Callable[[], bool] | None = None,
    ) -> Response:
        """Send a request and wait for its response.

        `timeout` limits the whole exchange, in seconds; `new_connection` rules out a pooled one.
        `may_send` is called immediately before sending: the request is not sent if it returns
        False. It guards against decisions that are outdated because the process has waited for a
        socket or a connection, or was paused. Raises RequestNotSentError or NoResponseError.
        """
        deadline = time.monotonic() + timeout
        connection = await self._connect(address, deadline, new_connection=new_connection)
        if may_send is not None and not may_send():
            await self._close(connection.sock)
            raise RequestNotSentError(f"{method} {address}: no longer valid when ready to be sent")
        head = RequestHead(method, target, str(address), len(body))
        wait_s = max(deadline - time.monotonic(), MIN_TIMEOUT_S)
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
        await self._return_to_pool(address, connection)
        return response

    async def close_idle_connections(self, address: Address) -> None:
        """Close the idle connections to an address that is no longer used."""
        for connection in self.idle_connections.pop(address, []):
            await self._close(connection.sock)

    async def evict_idle_connection(self) -> bool:
        """Close an idle connection to the least recently used address; return False if none."""
        if not self.idle_connections:
            return False
        connection = self._take_idle_connection(next(iter(self.idle_connections)), 0)
        await self._close(connection.sock)
        return True

    async def _connect(
        self, address: Address, deadline: float, *, new_connection: bool
    ) -> _PooledConnection:
        """A usable idle connection, or a new one. Raises RequestNotSentError."""
        while not new_connection and address in self.idle_connections:
            connection = self._take_idle_connection(address, -1)
            if self._is_usable(connection.sock):
                return connection
            await self._close(connection.sock)
        # Otherwise idle connections to other addresses could use up the budget, and no further
        # address could be reached.
        while self.socket_budget.available_to_client <= 0 and await self.evict_idle_connection():
            pass
        await self._acquire_socket(address, deadline)
        sock = sockets.socket(sockets.AF_INET, sockets.SOCK_STREAM)
        try:
            sock.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
            wait_s = max(deadline - time.monotonic(), MIN_TIMEOUT_S)
            await curio.timeout_after(wait_s, sock.connect, tuple(address))
        except (OSError, curio.TaskTimeout) as error:
            await self._close(sock)
            raise RequestNotSentError(f"{address}: {error!r}") from None
        except BaseException:
            await self._close(sock)
            raise
        return _PooledConnection(sock, h11.Connection(h11.CLIENT))

    async def _return_to_pool(self, address: Address, connection: _PooledConnection) -> None:
        """Keep the connection for later requests, or close it if it can't be reused."""
        idle = self.idle_connections.get(address, [])
        states = (connection.state.our_state, connection.state.their_state)
        if states not in (EXCHANGE_DONE, PARSER_UNUSED) or len(idle) >= MAX_IDLE_PER_ADDRESS:
            await self._close(connection.sock)
            return
        if states == EXCHANGE_DONE:
            connection.state.start_next_cycle()
        self.idle_connections[address] = [*idle, connection]
        self.idle_connections.move_to_end(address)

    async def _acquire_socket(self, address: Address, deadline: float) -> None:
        """Wait for a socket in the budget and reserve it. Raises RequestNotSentError."""
        while self.socket_budget.available_to_client <= 0:
            freed = curio.Event()
            self.socket_waiters.append(freed)
            # The server releases sockets without notifying the client.
            wait_s = min(max(deadline - time.monotonic(), MIN_TIMEOUT_S), SOCKET_RECHECK_S)
            if (
                await curio.ignore_after(wait_s, freed.wait) is None
                and freed in self.socket_waiters
            ):
                self.socket_waiters.remove(freed)
            if time.monotonic() >= deadline and self.socket_budget.available_to_client <= 0:
                raise RequestNotSentError(f"{address}: socket limit reached")
        self.socket_budget.client_sockets += 1

    def _take_idle_connection(self, address: Address, position: int) -> _PooledConnection:
        idle = self.idle_connections[address]
        connection = idle.pop(position)
        if not idle:
            del self.idle_connections[address]
        return connection

    @staticmethod
    def _is_usable(sock: curio.io.Socket) -> bool:
        """Whether an idle connection is still open, with no unexpected data to read."""
        try:
            # One system call; curio's switch to a blocking socket takes four.
            sock._socket.recv(1, socket.MSG_DONTWAIT | socket.MSG_PEEK)  # noqa: SLF001
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def _close(self, sock: curio.io.Socket) -> None:
        await sock.close()
        self.socket_budget.client_sockets -= 1
        if self.socket_waiters:
            await self.socket_waiters.popleft().set()

    @staticmethod
    async def _round_trip(
        connection: _PooledConnection, head: RequestHead, body: bytes
    ) -> Response:
        sock, state = connection
        await sock.sendall(request_head_bytes(head) + body)
        data = await receive(sock)
        cached = response_head_cache.lookup(data)
        if cached is not None:
            (status, retry_after), response_body = cached
            return Response(status, response_body, retry_after)
        # The head is not cached: pass the request to h11 as well, so that it parses the response.
        state.send(request_head(head))
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
                    response_head_cache.add(data, (status, retry_after), len(body))
                return Response(status, body, retry_after)
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("closed")


def _retry_after(head: h11.Response) -> float | None:
    """The seconds in the Retry-After header; None if it is missing or not a number."""
    seconds: float | None = None
    for name, value in head.headers:
        if name == b"retry-after":
            try:
                seconds = float(value)
            except ValueError:
                seconds = None
    return seconds
