"""An HTTP server on one address."""

from __future__ import annotations

import time
from typing import Any

import curio
import curio.socket as sockets
import h11

from umberward.core.log import logger
from umberward.core.types import Address
from umberward.protocol.http.client import Client
from umberward.protocol.http.connection import Connection, receive
from umberward.protocol.http.messages import (
    END_OF_MESSAGE,
    Handler,
    Request,
    Response,
    request_head_cache,
    response_head,
    response_head_bytes,
    retry_after_header,
)
from umberward.protocol.http.socket_budget import SocketBudget
from umberward.protocol.wire import MAX_BODY_BYTES

log = logger(__name__)

DEADLINE_CHECK_INTERVAL_S = 1.0  # how often connections past their deadline are closed
SOCKET_POLL_INTERVAL_S = 0.01  # interval of checks for a free socket in the budget
MAX_SOCKET_POLLS = 20  # such checks before a new connection is refused
ACCEPT_RETRY_S = 0.05
LISTEN_BACKLOG = 256

BAD_REQUEST, BODY_TOO_LARGE, UNAVAILABLE = 400, 413, 503


class Server:
    """Serves one address, with a task per connection so that none delays another."""

    def __init__(
        self,
        address: Address,
        handler: Handler,
        socket_budget: SocketBudget | int,
        client: Client | None = None,
        build: str = "",
    ) -> None:
        """Create a server; `socket_budget` is a number of sockets, or shared with `client`.

        When the budget is exhausted, idle connections of `client` are closed. `build`: logged when
        the server starts.
        """
        self.address = address
        self.handler = handler
        self.socket_budget = SocketBudget.of(socket_budget)
        self.client = client
        self.log_fields = {"build": build} if build else {}
        self.connections: set[Connection] = set()
        self.connections_by_name: dict[str, Connection] = {}
        self.refused_connections = 0  # closed at once because the socket budget was exhausted

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self.connections)

    async def run(self) -> None:
        """Accept connections until cancelled."""
        listener = sockets.socket(sockets.AF_INET, sockets.SOCK_STREAM)
        listener.setsockopt(sockets.SOL_SOCKET, sockets.SO_REUSEADDR, 1)
        listener.bind(tuple(self.address))
        listener.listen(LISTEN_BACKLOG)
        log.info("serving", address=self.address, **self.log_fields)
        sweeper = await curio.spawn(self._sweep, daemon=True)
        try:
            await self._accept(listener)
        finally:
            await sweeper.cancel(blocking=False)

    async def _accept(self, listener: curio.io.Socket) -> None:
        async with listener:
            while True:
                try:
                    sock, _ = await listener.accept()
                except OSError as error:
                    # The process is out of sockets: pause instead of looping. New clients wait in
                    # the backlog, and are refused once it is full.
                    log.error("connection_accept_failed", address=self.address, error=error)  # noqa: TRY400 (expected, without a traceback)
                    await curio.sleep(ACCEPT_RETRY_S)
                    continue
                if await self._wait_for_socket():
                    await self._open(sock)
                else:
                    self.refused_connections += 1
                    await sock.close()

    async def _wait_for_socket(self) -> bool:
        """Wait briefly for a free socket in the budget; return whether there is one.

        Meanwhile, clients that have reconnected may be identified, which closes their earlier
        connections.
        """
        for _ in range(MAX_SOCKET_POLLS):
            if self.socket_budget.available_to_server > 0 or await self._evict():
                return True
            await curio.sleep(SOCKET_POLL_INTERVAL_S)
        return False

    async def _open(self, sock: curio.io.Socket) -> None:
        """Serve the connection in a task of its own.

        The server owns the task: `_close` cancels it after the deadline, to free a socket, or when
        its client has reconnected.
        """
        connection = Connection(sock)
        self.connections.add(connection)
        self.socket_budget.server_sockets += 1
        connection.task = await curio.spawn(self._serve, connection, daemon=True)

    async def set_client_name(self, connection: Connection, name: str) -> None:
        """Record which client has connected, and close its earlier connection if there is one.

        The client has abandoned that one, though the server may never have seen it closed.
        """
        earlier = self.connections_by_name.get(name)
        if earlier is connection:
            return
        self.connections_by_name[name] = connection
        connection.name = name
        if earlier is not None:
            await self._close(earlier)

    async def _evict(self) -> bool:
        """Close an idle connection of `client`, or else the accepted one idle for longest."""
        if self.client is not None and await self.client.evict_idle_connection():
            return True
        now = time.monotonic()
        evictable = (
            connection for connection in self.connections if connection.may_be_evicted(now)
        )
        oldest = min(evictable, key=lambda connection: connection.deadline, default=None)
        if oldest is None:
            return False
        await self._close(oldest)
        return True

    async def _close(self, connection: Connection) -> None:
        self._forget(connection)
        await connection.task.cancel(blocking=False)

    def _forget(self, connection: Connection) -> None:
        if connection in self.connections:
            self.connections.remove(connection)
            self.socket_budget.server_sockets -= 1
        if self.connections_by_name.get(connection.name) is connection:
            del self.connections_by_name[connection.name]

    async def _sweep(self) -> None:
        while True:
            await curio.sleep(DEADLINE_CHECK_INTERVAL_S)
            for connection in list(self.connections):
                if time.monotonic() > connection.deadline:
                    await self._close(connection)

    async def _serve(self, connection: Connection) -> None:
        try:
            connection.sock.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
            async with connection.sock:
                await self._exchange_messages(connection)
        except (OSError, h11.LocalProtocolError):
            pass  # the client has disconnected
        except curio.CancelledError:
            pass  # the server has closed it, see `_close`
        except Exception:
            log.exception("connection_failed", address=self.address)
        finally:
            self._forget(connection)

    async def _exchange_messages(self, connection: Connection) -> None:
        """Read requests and write responses until either side closes the connection."""
        state = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_BODY_BYTES)
        while True:
            connection.set_idle_deadline()
            data = b""
            if not state.trailing_data[0]:
                connection.request_awaited = True
                data = await receive(connection.sock)
                connection.request_awaited = False
                if await self._serve_cached_head(connection, data):
                    continue
            try:
                request = await self._read(connection, state, data)
            except h11.RemoteProtocolError as error:
                await self._send_error(connection, state, error.error_status_hint or BAD_REQUEST)
                return
            if request is None:
                return
            response = await self._handle(connection, request)
            await self._write(connection, state, response)
            connection.response_sent = True
            if state.our_state is not h11.DONE or state.their_state is not h11.DONE:
                return
            state.start_next_cycle()
            if request.method != "HEAD":
                # The first three fields are the method, the path and the query.
                request_head_cache.add(data, request[:3], len(request.body))

    async def _serve_cached_head(self, connection: Connection, data: bytes) -> bool:
        """Serve a request with a cached head, bypassing h11; return False if it is not cached."""
        cached = request_head_cache.lookup(data)
        if cached is None:
            return False
        (method, path, query), body = cached
        response = await self._handle(connection, Request(method, path, query, body, connection))
        retry_after = retry_after_header(response.retry_after)
        head = response_head_bytes(response.status, len(response.body), retry_after)
        connection.set_transfer_deadline()
        await connection.sock.sendall(head + response.body)
        connection.response_sent = True
        return True

    async def _handle(self, connection: Connection, request: Request) -> Response:
        connection.clear_deadline()
        try:
            return await self.handler(request)
        except curio.CancelledError:
            raise
        except Exception:
            log.exception("request_failed", method=request.method, path=request.path)
            return Response(UNAVAILABLE, retry_after=1.0)

    async def _read(
        self, connection: Connection, state: h11.Connection, data: bytes
    ) -> Request | None:
        """Read the request that begins with `data`, or with data that h11 has buffered.

        Returns None if the client has closed the connection. Raises h11.RemoteProtocolError.
        """
        head: h11.Request | None = None
        body = b""
        # Limits the whole request: a client that sends slowly must not hold a socket indefinitely.
        connection.set_transfer_deadline()
        if not state.trailing_data[0]:
            state.receive_data(data)
        event: Any = state.next_event()
        while True:
            if event is h11.NEED_DATA:
                state.receive_data(await receive(connection.sock))
            elif isinstance(event, h11.Request):
                head = event
                await self._check_head(connection, state, event)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise _body_too_large()
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                return _request(head, body, connection)
            else:
                return None
            event = state.next_event()

    async def _check_head(
        self, connection: Connection, state: h11.Connection, head: h11.Request
    ) -> None:
        for name, value in head.headers:
            if name == b"content-length" and int(value) > MAX_BODY_BYTES:
                raise _body_too_large()
        if state.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await connection.sock.sendall(state.send(go_on))

    async def _write(
        self, connection: Connection, state: h11.Connection, response: Response
    ) -> None:
        close = response.status == BODY_TOO_LARGE or state.their_state is h11.ERROR
        retry_after = retry_after_header(response.retry_after)
        head = response_head(response.status, len(response.body), retry_after, close)
        data = state.send(head) or b""
        if response.body:
            data += state.send(h11.Data(data=response.body)) or b""
        data += state.send(END_OF_MESSAGE) or b""
        connection.set_transfer_deadline()
        await connection.sock.sendall(data)

    async def _send_error(self, connection: Connection, state: h11.Connection, status: int) -> None:
        if state.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._write(connection, state, Response(status))


def _body_too_large() -> h11.RemoteProtocolError:
    return h11.RemoteProtocolError("body too large", error_status_hint=BODY_TOO_LARGE)


def _request(head: h11.Request, body: bytes, connection: Connection) -> Request:
    target = head.target.decode("ascii", "replace")
    path, _, query = target.partition("?")
    return Request(head.method.decode("ascii", "replace"), path, query, body, connection)
