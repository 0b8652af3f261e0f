"""HTTP/1.1 with h11 over curio: a server, and a client that keeps connections."""

from __future__ import annotations

import math
import socket
import time
from collections import OrderedDict, deque
from collections.abc import Awaitable, Callable
from functools import lru_cache
from typing import Any, Generic, NamedTuple, TypeVar

import curio
import curio.socket as sockets
import h11
from curio.traps import _read_wait

from umberward.core.log import logger
from umberward.core.types import Address
from umberward.protocol.wire import MAX_BODY_BYTES

log = logger(__name__)

IDLE_S = 75.0  # a connection without a request is closed after this
SILENT_S = 20.0  # ... and after this if there are too few sockets, whoever is behind it
SLOW_S = 10.0  # a request must be complete this long after its first byte
ROOM_S = 0.01  # how often it is looked whether there is room for a new connection
ROOM_TRIES = 20  # ... and how many times, before it is refused
SWEEP_S = 1.0  # how often connections are looked at that have outlived these times
RECHECK_S = 0.1  # how often it is looked whether the server has given sockets back
KEEP_IDLE = 4  # pooled connections kept for one address
READ = 16384


class RequestNotSentError(Exception):
    """The request did not reach the other side: it was certainly not executed."""


class NoResponseError(Exception):
    """No answer came: the request may have been executed, or may be executed later."""


class Request(NamedTuple):
    """`origin`: the connection it came on, as far as its server is told who is behind it."""

    method: str
    path: str
    query: str
    body: bytes
    origin: Peer | None = None


class Response(NamedTuple):
    status: int
    body: bytes = b""
    retry_after: float | None = None


# Most messages have the head of an earlier one, and to check and to write a head costs more than
# all the rest: so heads are kept.
HEADS = 4096
END = h11.EndOfMessage()
GOES_ON = (h11.DONE, h11.DONE)
UNTOUCHED = (h11.IDLE, h11.IDLE)  # what was said was known by its bytes


@lru_cache(HEADS)
def _response_head(status: int, length: int, again: int | None, last: bool) -> h11.Response:
    headers = [("content-type", "application/msgpack"), ("content-length", str(length))]
    if again is not None:
        headers.append(("retry-after", str(again)))
    if last:
        headers.append(("connection", "close"))
    return h11.Response(status_code=status, headers=headers)


@lru_cache(HEADS)
def _request_head(method: str, target: str, host: str, length: int) -> h11.Request:
    headers = [("host", host)]
    if length or method == "POST":
        headers.append(("content-type", "application/msgpack"))
        headers.append(("content-length", str(length)))
    return h11.Request(method=method, target=target, headers=headers)


T = TypeVar("T")


@lru_cache(HEADS)
def _response_bytes(status: int, length: int, again: int | None) -> bytes:
    """The head of a response after which the connection goes on."""
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    while not isinstance(conn.next_event(), h11.EndOfMessage):
        pass
    return conn.send(_response_head(status, length, again, False)) or b""


@lru_cache(HEADS)
def _request_bytes(method: str, target: str, host: str, length: int) -> bytes:
    return h11.Connection(h11.CLIENT).send(_request_head(method, target, host, length)) or b""


class Heads(Generic[T]):
    """What h11 has made of heads, kept by their bytes.

    Only those are kept after which the connection goes on, and whose bodies came unencoded and
    together with them: to such a message, as often as it comes, h11 would say the same again.
    """

    def __init__(self) -> None:
        self.known: dict[bytes, tuple[T, int]] = {}

    def find(self, data: bytes) -> tuple[T, bytes] | None:
        """What the head says, and the body, if the data is one such message."""
        head, ends, body = data.partition(HEAD_ENDS)
        found = self.known.get(head) if ends else None
        if found is None or len(body) != found[1]:
            return None
        return found[0], body

    def keep(self, data: bytes, meaning: T, length: int) -> None:
        head, ends, body = data.partition(HEAD_ENDS)
        if ends and len(body) == length:
            if len(self.known) >= HEADS:
                self.known.clear()
            self.known[head] = (meaning, length)


HEAD_ENDS = b"\r\n\r\n"
_requests: Heads[tuple[str, str, str]] = Heads()  # method, path, query
_responses: Heads[tuple[int, float | None]] = Heads()  # status, seconds to retry after


async def _receive(sock: Any) -> bytes:
    """Wait for data first: to ask for it before it has come would be a system call in vain."""
    await _read_wait(sock._fileno)
    data: bytes = await sock.recv(READ)
    return data


Handler = Callable[[Request], Awaitable[Response]]


class Peer:
    """One client's connection, and until when what is under way on it must be over.

    One sweep looks after all of them: a timer for each read and write of a thousand workers would
    cost the event loop more than what they say.
    """

    __slots__ = ("sock", "deadline", "task", "name", "resting", "served")

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        self.deadline = 0.0
        self.task: Any = None
        self.name = ""  # who is behind it, if that was told
        self.resting = True  # before a request
        self.served = False  # has had an answer

    def gives_way(self, now: float) -> bool:
        """Whether it is of less use than a new connection: not one that has only just come."""
        silent = now - (self.deadline - IDLE_S)
        if not self.resting:
            return False
        return silent > SILENT_S if self.name else self.served or silent > SLOW_S


class Sockets:
    """The sockets that a server and a client of one process share.

    No fixed part of them is the server's: at a take-over all workers come at once, and one that is
    refused loses its lease. So the server takes what it needs, from what the client keeps for
    later first, and the client makes do with the rest.
    """

    def __init__(self, limit: int, most_of_client: int) -> None:
        self.limit = limit
        self.most_of_client = most_of_client
        self.served = 0
        self.sent = 0

    @property
    def left(self) -> int:
        return self.limit - self.served - self.sent

    @property
    def left_to_client(self) -> int:
        return min(self.left, self.most_of_client - self.sent)


def _whole(again_s: float | None) -> int | None:
    return None if again_s is None else max(1, round(again_s))


def _sockets(most: Sockets | int) -> Sockets:
    return most if isinstance(most, Sockets) else Sockets(most, most)


class Server:
    """Serves one address. Each connection is a task of its own, so that none hurts another."""

    def __init__(
        self,
        address: Address,
        handler: Handler,
        most: Sockets | int,
        client: Client | None = None,
    ) -> None:
        """`most`: how many sockets it may have, or those that it shares with `client`, whose kept
        connections are closed if there are too few."""
        self.address = address
        self.handler = handler
        self.sockets = _sockets(most)
        self.client = client
        self.peers: set[Peer] = set()
        self.named: dict[str, Peer] = {}
        self.refused = 0

    @property
    def open(self) -> int:
        return len(self.peers)

    async def run(self) -> None:
        listener = sockets.socket(sockets.AF_INET, sockets.SOCK_STREAM)
        listener.setsockopt(sockets.SOL_SOCKET, sockets.SO_REUSEADDR, 1)
        listener.bind(tuple(self.address))
        listener.listen(256)
        log.info("serving", address=self.address)
        sweeper = await curio.spawn(self._sweep, daemon=True)
        try:
            await self._accept(listener)
        finally:
            await sweeper.cancel(blocking=False)

    async def _accept(self, listener: Any) -> None:
        async with listener:
            while True:
                try:
                    client, _ = await listener.accept()
                except OSError as error:
                    # Out of sockets: wait rather than spin, clients are told by the refusal.
                    log.error("connection_accept_failed", address=self.address, error=error)
                    await curio.sleep(0.05)
                    continue
                for _ in range(ROOM_TRIES):
                    if self.sockets.left > 0 or await self._make_room():
                        break
                    # Those that came before it may say who they are, and end their earlier ones.
                    await curio.sleep(ROOM_S)
                else:
                    self.refused += 1
                    await client.close()
                    continue
                peer = Peer(client)
                peer.deadline = time.monotonic() + IDLE_S
                self.peers.add(peer)
                self.sockets.served += 1
                peer.task = await curio.spawn(self._serve, peer, daemon=True)

    async def name(self, peer: Peer, name: str) -> None:
        """It is known who is behind a connection: an earlier one of theirs is of no use any more,
        though nobody may have told us that it was closed."""
        earlier = self.named.get(name)
        if earlier is peer:
            return
        self.named[name] = peer
        peer.name = name
        if earlier is not None:
            await self._end(earlier)

    async def _make_room(self) -> bool:
        """Close a connection that rests: one that we keep for later, or that of a client of
        whom nothing is known, or of one that has said nothing for long."""
        if self.client is not None and await self.client.close_kept():
            return True
        now = time.monotonic()
        resting = (peer for peer in self.peers if peer.gives_way(now))
        longest = min(resting, key=lambda peer: peer.deadline, default=None)
        if longest is None:
            return False
        await self._end(longest)
        return True

    async def _end(self, peer: Peer) -> None:
        self._gone(peer)
        await peer.task.cancel(blocking=False)

    def _gone(self, peer: Peer) -> None:
        if peer in self.peers:
            self.peers.remove(peer)
            self.sockets.served -= 1
        if self.named.get(peer.name) is peer:
            del self.named[peer.name]

    async def _sweep(self) -> None:
        while True:
            await curio.sleep(SWEEP_S)
            for peer in list(self.peers):
                if time.monotonic() > peer.deadline:
                    await self._end(peer)

    async def _serve(self, peer: Peer) -> None:
        client = peer.sock
        try:
            client.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
            async with client:
                await self._converse(peer)
        except (OSError, h11.LocalProtocolError):
            pass  # the client is gone
        except curio.CancelledError:
            pass  # it was idle, or too slow
        except Exception:
            log.exception("connection_failed", address=self.address)
        finally:
            self._gone(peer)

    async def _converse(self, peer: Peer) -> None:
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_BODY_BYTES)
        while True:
            peer.deadline = time.monotonic() + IDLE_S
            data = b""
            if not conn.trailing_data[0]:
                peer.resting = True
                data = await _receive(peer.sock)
                peer.resting = False
                known = _requests.find(data)
                if known is not None:
                    response = await self._handled(peer, Request(*known[0], known[1], peer))
                    head = _response_bytes(
                        response.status, len(response.body), _whole(response.retry_after)
                    )
                    peer.deadline = time.monotonic() + SLOW_S
                    await peer.sock.sendall(head + response.body)
                    peer.served = True
                    continue
            try:
                request = await self._read(peer, conn, data)
            except h11.RemoteProtocolError as error:
                status = error.error_status_hint or 400
                await self._refuse(peer, conn, status)
                return
            if request is None:
                return
            response = await self._handled(peer, request)
            await self._write(peer, conn, response)
            peer.served = True
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()
            if request.method != "HEAD":
                _requests.keep(data, request[:3], len(request.body))

    async def _handled(self, peer: Peer, request: Request) -> Response:
        peer.deadline = math.inf  # its answer is ours to give
        try:
            return await self.handler(request)
        except curio.CancelledError:
            raise
        except Exception:
            log.exception("request_failed", method=request.method, path=request.path)
            return Response(503, retry_after=1.0)

    async def _read(self, peer: Peer, conn: h11.Connection, data: bytes) -> Request | None:
        """The request that begins with the data, or with what the connection has left over."""
        client = peer.sock
        head: h11.Request | None = None
        body = b""
        # A client that sends a byte now and then must not hold a socket for ever.
        peer.deadline = time.monotonic() + SLOW_S
        if not conn.trailing_data[0]:
            conn.receive_data(data)
        event: Any = conn.next_event()
        while True:
            if event is h11.NEED_DATA:
                conn.receive_data(await _receive(client))
            elif isinstance(event, h11.Request):
                head = event
                for name, value in event.headers:
                    if name == b"content-length" and int(value) > MAX_BODY_BYTES:
                        raise h11.RemoteProtocolError("body too large", error_status_hint=413)
                if conn.they_are_waiting_for_100_continue:
                    await client.sendall(
                        conn.send(h11.InformationalResponse(status_code=100, headers=[]))
                    )
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise h11.RemoteProtocolError("body too large", error_status_hint=413)
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                target = head.target.decode("ascii", "replace")
                path, _, query = target.partition("?")
                return Request(head.method.decode("ascii", "replace"), path, query, body, peer)
            else:
                return None
            event = conn.next_event()

    async def _write(self, peer: Peer, conn: h11.Connection, response: Response) -> None:
        again = _whole(response.retry_after)
        last = response.status == 413 or conn.their_state is h11.ERROR
        head = _response_head(response.status, len(response.body), again, last)
        data = conn.send(head) or b""
        if response.body:
            data += conn.send(h11.Data(data=response.body)) or b""
        data += conn.send(END) or b""
        peer.deadline = time.monotonic() + SLOW_S
        await peer.sock.sendall(data)

    async def _refuse(self, peer: Peer, conn: h11.Connection, status: int) -> None:
        if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._write(peer, conn, Response(status))


class Client:
    """Sends requests over kept connections, within a bound on open sockets."""

    def __init__(self, most: Sockets | int) -> None:
        self.sockets = _sockets(most)
        self.waiting: deque[curio.Event] = deque()  # who waits for a socket
        # Kept connections, those to the address least recently used first.
        self.idle: OrderedDict[Address, list[tuple[Any, h11.Connection]]] = OrderedDict()

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
        """Raises NotSent or NoAnswer. With `fresh`, takes no kept connection.

        `still` is asked once more when all is ready to be sent: we may have waited for a socket or
        a connection, or have stood still, since the decision was made.
        """
        deadline = time.monotonic() + timeout
        sock, conn = await self._connection(address, deadline, fresh)
        if still is not None and not still():
            await self._close(sock)
            raise RequestNotSentError(f"{method} {address}: no longer ours to say")
        try:
            response = await self._exchange(sock, conn, address, method, target, body, deadline)
        except (OSError, curio.TaskTimeout, h11.ProtocolError, EOFError) as error:
            await self._close(sock)
            raise NoResponseError(f"{method} {address}: {error!r}") from None
        except BaseException:
            await self._close(sock)
            raise
        kept = self.idle.get(address, [])
        states = (conn.our_state, conn.their_state)
        if states in (GOES_ON, UNTOUCHED) and len(kept) < KEEP_IDLE:
            if states == GOES_ON:
                conn.start_next_cycle()
            self.idle[address] = [*kept, (sock, conn)]
            self.idle.move_to_end(address)
        else:
            await self._close(sock)
        return response

    async def forget(self, address: Address) -> None:
        """Close what is kept for an address that is gone."""
        for sock, _ in self.idle.pop(address, []):
            await self._close(sock)

    async def _connection(self, address: Address, deadline: float, fresh: bool) -> Any:
        while not fresh and address in self.idle:
            sock, conn = self._kept(address, -1)
            if self._usable(sock):
                return sock, conn
            await self._close(sock)
        # Kept connections count: with more addresses than sockets, they would take them all and
        # no new address could be reached any more.
        while self.sockets.left_to_client <= 0 and await self.close_kept():
            pass
        await self._take_socket(address, deadline)
        sock = sockets.socket(sockets.AF_INET, sockets.SOCK_STREAM)
        try:
            sock.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
            wait = max(deadline - time.monotonic(), 0.001)
            await curio.timeout_after(wait, sock.connect, tuple(address))
        except (OSError, curio.TaskTimeout) as error:
            await self._close(sock)
            raise RequestNotSentError(f"{address}: {error!r}") from None
        except BaseException:
            await self._close(sock)
            raise
        return sock, h11.Connection(h11.CLIENT)

    async def close_kept(self) -> bool:
        """Close the kept connection to the address least recently used; False: there is none."""
        if not self.idle:
            return False
        sock, _ = self._kept(next(iter(self.idle)), 0)
        await self._close(sock)
        return True

    async def _take_socket(self, address: Address, deadline: float) -> None:
        while self.sockets.left_to_client <= 0:
            freed = curio.Event()
            self.waiting.append(freed)
            # The server gives sockets back without a word to us.
            wait = min(max(deadline - time.monotonic(), 0.001), RECHECK_S)
            if await curio.ignore_after(wait, freed.wait) is None and freed in self.waiting:
                self.waiting.remove(freed)
            if time.monotonic() >= deadline and self.sockets.left_to_client <= 0:
                raise RequestNotSentError(f"{address}: no socket to spare")
        self.sockets.sent += 1

    def _kept(self, address: Address, which: int) -> tuple[Any, h11.Connection]:
        kept = self.idle[address]
        found = kept.pop(which)
        if not kept:
            del self.idle[address]
        return found

    @staticmethod
    def _usable(sock: Any) -> bool:
        """Nothing may come on an idle connection: data or an end both make it useless."""
        try:
            # One system call, where curio's way to a blocking socket takes four.
            sock._socket.recv(1, socket.MSG_DONTWAIT | socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def _close(self, sock: Any) -> None:
        await sock.close()
        self.sockets.sent -= 1
        if self.waiting:
            await self.waiting.popleft().set()

    async def _exchange(
        self,
        sock: Any,
        conn: h11.Connection,
        address: Address,
        method: str,
        target: str,
        body: bytes,
        deadline: float,
    ) -> Response:
        asked = (method, target, str(address), len(body))
        wait = max(deadline - time.monotonic(), 0.001)
        return await curio.timeout_after(wait, self._round_trip, sock, conn, asked, body)

    @staticmethod
    async def _round_trip(
        sock: Any, conn: h11.Connection, asked: tuple[str, str, str, int], sent: bytes
    ) -> Response:
        await sock.sendall(_request_bytes(*asked) + sent)
        data = await _receive(sock)
        known = _responses.find(data)
        if known is not None:
            (status, retry_after), body = known
            return Response(status, body, retry_after)
        # Now h11 is told of the request as well, and makes of the answer what it says.
        conn.send(_request_head(*asked))
        if sent:
            conn.send(h11.Data(data=sent))
        conn.send(END)
        conn.receive_data(data)
        return await Client._answer(sock, conn, data)

    @staticmethod
    async def _answer(sock: Any, conn: h11.Connection, data: bytes) -> Response:
        status = 0
        retry_after: float | None = None
        parts: list[bytes] = []
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await _receive(sock))
            elif isinstance(event, h11.Response):
                status = event.status_code
                for name, value in event.headers:
                    if name == b"retry-after":
                        try:
                            retry_after = float(value)
                        except ValueError:
                            retry_after = None
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                body = b"".join(parts)
                if conn.our_state is h11.DONE and conn.their_state is h11.DONE:
                    _responses.keep(data, (status, retry_after), len(body))
                return Response(status, body, retry_after)
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("closed")
