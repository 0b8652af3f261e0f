"""An HTTP server for one address."""

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
    known_requests,
    response_head,
    response_head_bytes,
    retry_after_header,
)
from umberward.protocol.http.socket_budget import SocketBudget
from umberward.protocol.wire import MAX_BODY_BYTES

log = logger(__name__)

SWEEP_INTERVAL_S = 1.0  # how often connections past their deadline are closed
SOCKET_POLL_S = 0.01  # how often a new connection without a socket budget looks for one
SOCKET_POLLS = 20  # ... and how many times, before it is refused
ACCEPT_RETRY_S = 0.05
LISTEN_BACKLOG = 256

BAD_REQUEST, BODY_TOO_LARGE, UNAVAILABLE = 400, 413, 503


class Server:
    """Serves one address. Each connection is a task of its own, so that none delays another."""

    def __init__(
        self,
        address: Address,
        handler: Handler,
        most: SocketBudget | int,
        client: Client | None = None,
    ) -> None:
        """`most`: how many sockets it may open, or the budget that it shares with `client`, whose
        idle connections are closed if there are too few."""
        self.address = address
        self.handler = handler
        self.sockets = SocketBudget.of(most)
        self.client = client
        self.connections: set[Connection] = set()
        self.named: dict[str, Connection] = {}
        self.refused = 0  # connections closed at once for want of a socket

    @property
    def open(self) -> int:
        """How many connections are open."""
        return len(self.connections)

    async def run(self) -> None:
        """Accept connections until cancelled."""
        listener = sockets.socket(sockets.AF_INET, sockets.SOCK_STREAM)
        listener.setsockopt(sockets.SOL_SOCKET, sockets.SO_REUSEADDR, 1)
        listener.bind(tuple(self.address))
        listener.listen(LISTEN_BACKLOG)
        log.info("serving", address=self.address)
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
                    # Out of sockets: wait rather than spin, clients are told by the refusal.
                    log.error("connection_accept_failed", address=self.address, error=error)  # noqa: TRY400 (expected, without a traceback)
                    await curio.sleep(ACCEPT_RETRY_S)
                    continue
                if await self._has_socket():
                    await self._open(sock)
                else:
                    self.refused += 1
                    await sock.close()

    async def _has_socket(self) -> bool:
        """Wait for a moment for room in the socket budget.

        Clients that connected before may name themselves meanwhile, which closes their earlier
        connections.
        """
        for _ in range(SOCKET_POLLS):
            if self.sockets.left > 0 or await self._evict():
                return True
            await curio.sleep(SOCKET_POLL_S)
        return False

    async def _open(self, sock: curio.io.Socket) -> None:
        """Serve the connection in a task that ends with it.

        The task is owned by this server: `_close` cancels it after the deadline, to make room, or
        when its client has connected anew.
        """
        connection = Connection(sock)
        self.connections.add(connection)
        self.sockets.served += 1
        connection.task = await curio.spawn(self._serve, connection, daemon=True)

    async def name_connection(self, connection: Connection, name: str) -> None:
        """Note who has connected. An earlier connection of the same client is closed: the client
        has given it up, though its end may never have arrived here."""
        earlier = self.named.get(name)
        if earlier is connection:
            return
        self.named[name] = connection
        connection.name = name
        if earlier is not None:
            await self._close(earlier)

    async def _evict(self) -> bool:
        """Close an idle connection of the client, else the accepted one that rests longest."""
        if self.client is not None and await self.client.close_kept():
            return True
        now = time.monotonic()
        resting = (one for one in self.connections if one.may_be_evicted(now))
        longest = min(resting, key=lambda one: one.deadline, default=None)
        if longest is None:
            return False
        await self._close(longest)
        return True

    async def _close(self, connection: Connection) -> None:
        self._forget(connection)
        await connection.task.cancel(blocking=False)

    def _forget(self, connection: Connection) -> None:
        if connection in self.connections:
            self.connections.remove(connection)
            self.sockets.served -= 1
        if self.named.get(connection.name) is connection:
            del self.named[connection.name]

    async def _sweep(self) -> None:
        while True:
            await curio.sleep(SWEEP_INTERVAL_S)
            for connection in list(self.connections):
                if time.monotonic() > connection.deadline:
                    await self._close(connection)

    async def _serve(self, connection: Connection) -> None:
        try:
            connection.sock.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
            async with connection.sock:
                await self._exchange_messages(connection)
        except (OSError, h11.LocalProtocolError):
            pass  # the client is gone
        except curio.CancelledError:
            pass  # it was idle, or too slow
        except Exception:
            log.exception("connection_failed", address=self.address)
        finally:
            self._forget(connection)

    async def _exchange_messages(self, connection: Connection) -> None:
        """Read requests and write responses until one of both sides ends the connection."""
        state = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_BODY_BYTES)
        while True:
            connection.await_request()
            data = b""
            if not state.trailing_data[0]:
                connection.resting = True
                data = await receive(connection.sock)
                connection.resting = False
                if await self._serve_known(connection, data):
                    continue
            try:
                request = await self._read(connection, state, data)
            except h11.RemoteProtocolError as error:
                await self._refuse(connection, state, error.error_status_hint or BAD_REQUEST)
                return
            if request is None:
                return
            response = await self._handle(connection, request)
            await self._write(connection, state, response)
            connection.served = True
            if state.our_state is not h11.DONE or state.their_state is not h11.DONE:
                return
            state.start_next_cycle()
            if request.method != "HEAD":
                known_requests.keep(data, request[:3], len(request.body))

    async def _serve_known(self, connection: Connection, data: bytes) -> bool:
        """Serve a request whose head is known by its bytes, without h11; False: it is not."""
        known = known_requests.find(data)
        if known is None:
            return False
        (method, path, query), body = known
        response = await self._handle(connection, Request(method, path, query, body, connection))
        retry_after = retry_after_header(response.retry_after)
        head = response_head_bytes(response.status, len(response.body), retry_after)
        connection.await_transfer()
        await connection.sock.sendall(head + response.body)
        connection.served = True
        return True

    async def _handle(self, connection: Connection, request: Request) -> Response:
        connection.await_handler()
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
        """The request that begins with `data`, or with what h11 has left over; None: the client
        has ended the connection. Raises h11.RemoteProtocolError."""
        head: h11.Request | None = None
        body = b""
        # A client that sends a byte now and then must not hold a socket for ever.
        connection.await_transfer()
        if not state.trailing_data[0]:
            state.receive_data(data)
        event: Any = state.next_event()
        while True:
            if event is h11.NEED_DATA:
                state.receive_data(await receive(connection.sock))
            elif isinstance(event, h11.Request):
                head = event
                await self._accept_head(connection, state, event)
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

    async def _accept_head(
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
        connection.await_transfer()
        await connection.sock.sendall(data)

    async def _refuse(self, connection: Connection, state: h11.Connection, status: int) -> None:
        if state.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._write(connection, state, Response(status))


def _body_too_large() -> h11.RemoteProtocolError:
    return h11.RemoteProtocolError("body too large", error_status_hint=BODY_TOO_LARGE)


def _request(head: h11.Request, body: bytes, connection: Connection) -> Request:
    target = head.target.decode("ascii", "replace")
    path, _, query = target.partition("?")
    return Request(head.method.decode("ascii", "replace"), path, query, body, connection)
