"""With its caches of heads, the HTTP code reads messages exactly as h11 alone does.

Messages are drawn with every framing and cut into reads at any place. The caches belong to the
process, so that one client's message must not change how another's is read.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

import curio
import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from umberward.core.types import Address
from umberward.protocol.http import Request, Response, Server, client, messages, server
from umberward.protocol.http.client import Client
from umberward.protocol.http.connection import Connection
from umberward.protocol.http.messages import RequestHead

CHUNKED = b"transfer-encoding: chunked\r\n"


class Message(NamedTuple):
    """A message as it is sent: a head, the encoded body, and where the reads end."""

    head: bytes
    body: bytes
    cuts: tuple[int, ...]

    @property
    def data(self) -> bytes:
        return self.head + self.body

    @property
    def reads(self) -> list[bytes]:
        """The message in pieces; a cut of 0 is the end of the head."""
        places = sorted({(len(self.head) + cut) % len(self.data) for cut in self.cuts} - {0})
        ends = [*places, len(self.data)]
        return [self.data[start:end] for start, end in zip([0, *places], ends, strict=True)]


def _encode_chunks(parts: Iterable[bytes]) -> bytes:
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts if part)
    return chunks + b"0\r\n\r\n"


@st.composite
def _messages(draw: st.DrawFn, start_lines: list[bytes], unframed: bool) -> Message:
    framing = draw(
        st.sampled_from(["length", "chunked", "none"] if unframed else ["length", "chunked"])
    )
    head = draw(st.sampled_from(start_lines)) + b"host: x\r\n"
    if framing == "chunked":
        head += draw(st.sampled_from([CHUNKED, b"Transfer-Encoding: chunked\r\n"]))
        body = _encode_chunks(
            draw(st.lists(st.sampled_from([b"", b"\x81", b"\x93abc"]), max_size=2))
        )
    else:
        body = draw(st.sampled_from([b"", b"\x81", b"\x93abc"])) if framing == "length" else b""
        head += b"content-length: %d\r\n" % len(body) if framing == "length" else b""
    cuts = draw(st.lists(st.integers(-8, 8), max_size=2))
    return Message(head + b"\r\n", body, tuple([0, *cuts] if draw(st.booleans()) else cuts))


requests = _messages(
    [
        b"POST /v1/jobs HTTP/1.1\r\n",
        b"GET /v1/jobs/req-1 HTTP/1.1\r\n",
        b"POST /hello?a HTTP/1.1\r\n",
    ],
    unframed=True,
)
responses = _messages(
    [b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 429 Wait\r\nretry-after: 2\r\n"], unframed=False
)


class FakeSocket:
    """A socket that yields given reads, then the end of the connection."""

    def __init__(self, reads: list[bytes]) -> None:
        self.reads = list(reads)

    async def recv(self, _: int = 0) -> bytes:
        return self.reads.pop(0) if self.reads else b""

    async def sendall(self, _: bytes) -> None:
        pass


async def _receive(sock: Any) -> bytes:
    return bytes(await sock.recv())


@pytest.fixture(autouse=True)
def _fake_sockets(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "receive", _receive)
    monkeypatch.setattr(client, "receive", _receive)


def _clear_caches() -> None:
    messages.request_head_cache._entries.clear()
    messages.response_head_cache._entries.clear()


def _requests_by_h11(message: Message) -> tuple[str, str, str, bytes]:
    state = h11.Connection(h11.SERVER)
    state.receive_data(message.data)
    head: Any = state.next_event()
    body = b""
    while not isinstance(event := state.next_event(), h11.EndOfMessage):
        body += event.data
    path, _, query = head.target.decode().partition("?")
    return head.method.decode(), path, query, body


@settings(max_examples=400, deadline=None)
@given(st.lists(st.lists(requests, min_size=1, max_size=4), min_size=1, max_size=3))
def test_requests_on_any_connections_are_read_as_by_h11_alone(
    connections: list[list[Message]],
) -> None:
    _clear_caches()
    served: list[tuple[str, str, str, bytes]] = []

    async def handle(request: Request) -> Response:
        served.append(request[:4])
        return Response(200, b"\x80")

    async def run() -> None:
        http_server = Server(Address("127.0.0.1", 1), handle, 10)
        for sent in connections:
            reads = [read for message in sent for read in message.reads]
            await http_server._exchange_messages(Connection(FakeSocket(reads)))  # type: ignore[arg-type]

    curio.run(run)
    assert served == [_requests_by_h11(message) for sent in connections for message in sent]


def _response_by_h11(message: Message) -> Response:
    state = h11.Connection(h11.CLIENT)
    state.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    state.send(h11.EndOfMessage())
    state.receive_data(message.data)
    head: Any = state.next_event()
    body = b""
    while not isinstance(event := state.next_event(), h11.EndOfMessage):
        body += event.data
    return Response(head.status_code, body, client._retry_after(head))


@settings(max_examples=400, deadline=None)
@given(st.lists(responses, min_size=1, max_size=6))
def test_responses_are_read_as_by_h11_alone(sent: list[Message]) -> None:
    _clear_caches()

    async def exchange(message: Message) -> Response:
        sock = FakeSocket(message.reads)
        state = h11.Connection(h11.CLIENT)
        connection = client._PooledConnection(sock, state)  # type: ignore[arg-type]
        head = RequestHead("GET", "/", "x", 0)
        response = await Client._round_trip(connection, head, b"")
        assert sock.reads == []  # nothing of it is left for the next response
        return response

    async def run() -> list[Response]:
        return [await exchange(message) for message in sent]

    assert curio.run(run) == [_response_by_h11(message) for message in sent]


def test_heads_of_requests_that_differ_each_time_take_no_memory() -> None:
    """Watches and lookups filled the caches of heads for 24 minutes: memory grew as in a leak."""

    def sizes() -> list[int]:
        caches = (messages._cached_request_head, messages._cached_request_head_bytes)
        return [cache.cache_info().currsize for cache in caches]

    before = sizes()
    for revision in range(100):
        head = RequestHead("GET", f"/watch?prefix=jobs/&from={revision}", "state:1", 0)
        assert f"from={revision} ".encode() in messages.request_head_bytes(head)
    assert sizes() == before
    for length in range(1, 11):
        head = RequestHead("POST", "/commit", "other-state:1", length)
        for _ in range(2):
            assert b"content-length: %d\r\n" % length in messages.request_head_bytes(head)
    assert sizes() == [size + 10 for size in before]
