"""Requests and responses, their errors, and caches of message heads.

Most messages repeat the head (start line and headers) of an earlier one, and h11 spends more time
on parsing or writing a head than on the rest of the message. Received heads are therefore cached by
their bytes, and heads to be sent by their fields.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import lru_cache
from typing import Generic, NamedTuple, TypeVar

import h11

from umberward.protocol.http.connection import Connection

CACHED_HEADS = 4096
HEAD_END = b"\r\n\r\n"
TRANSFER_ENCODING = b"transfer-encoding"
END_OF_MESSAGE = h11.EndOfMessage()


class HttpError(Exception):
    """The client has got no response to its request."""


class RequestNotSentError(HttpError):
    """The request was not sent, so the server has certainly not executed it."""


class NoResponseError(HttpError):
    """No response arrived: the request may have been executed, or may be executed later."""


class Request(NamedTuple):
    """A request received by the server; `connection` is the one it arrived on."""

    method: str
    path: str
    query: str
    body: bytes
    connection: Connection | None = None


class Response(NamedTuple):
    """A response; `retry_after` is in seconds, and is sent as an integer of at least 1."""

    status: int
    body: bytes = b""
    retry_after: float | None = None


Handler = Callable[[Request], Awaitable[Response]]


def retry_after_header(seconds: float | None) -> int | None:
    """The value of the Retry-After header; None if the header is omitted."""
    return None if seconds is None else max(1, round(seconds))


@lru_cache(CACHED_HEADS)
def response_head(status: int, length: int, retry_after: int | None, close: bool) -> h11.Response:  # noqa: FBT001 (a cache key)
    """The head of a response; `close` announces that the connection is closed after it."""
    headers = [("content-type", "application/msgpack"), ("content-length", str(length))]
    if retry_after is not None:
        headers.append(("retry-after", str(retry_after)))
    if close:
        headers.append(("connection", "close"))
    return h11.Response(status_code=status, headers=headers)


class RequestHead(NamedTuple):
    """The fields of the head of a request with a body of `length` bytes."""

    method: str
    target: str
    host: str
    length: int

    @property
    def is_repeated(self) -> bool:
        """Whether the same head is likely to be sent again.

        A request without a body says all it asks for in its target, which differs each time.
        """
        return self.length > 0


def request_head(head: RequestHead) -> h11.Request:
    """The head of a request, as h11 takes it."""
    return _cached_request_head(head) if head.is_repeated else _build_request_head(head)


def request_head_bytes(head: RequestHead) -> bytes:
    """The encoded head of a request."""
    return _cached_request_head_bytes(head) if head.is_repeated else _encode_request_head(head)


def _build_request_head(head: RequestHead) -> h11.Request:
    method, target, host, length = head
    headers = [("host", host)]
    if length or method == "POST":
        headers.append(("content-type", "application/msgpack"))
        headers.append(("content-length", str(length)))
    return h11.Request(method=method, target=target, headers=headers)


@lru_cache(CACHED_HEADS)
def response_head_bytes(status: int, length: int, retry_after: int | None) -> bytes:
    """The encoded head of a response that keeps the connection open."""
    state = h11.Connection(h11.SERVER)
    state.receive_data(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    while not isinstance(state.next_event(), h11.EndOfMessage):
        pass
    return state.send(response_head(status, length, retry_after, False)) or b""  # noqa: FBT003


def _encode_request_head(head: RequestHead) -> bytes:
    return h11.Connection(h11.CLIENT).send(request_head(head)) or b""


_cached_request_head = lru_cache(CACHED_HEADS)(_build_request_head)
_cached_request_head_bytes = lru_cache(CACHED_HEADS)(_encode_request_head)


ParsedHead = TypeVar("ParsedHead")


class HeadCache(Generic[ParsedHead]):
    """A cache of parsed heads by their bytes.

    It holds only heads of messages that keep the connection open, that are not in chunked encoding
    and whose body, if any, arrived in the same read: h11 would parse an identical head to the same
    result. The head of a chunked message does not tell the length of its body.
    """

    def __init__(self) -> None:
        """Create an empty cache; it is cleared when it is full, at CACHED_HEADS heads."""
        self._entries: dict[bytes, tuple[ParsedHead, int]] = {}

    def lookup(self, data: bytes) -> tuple[ParsedHead, bytes] | None:
        """The parsed head and the body, if `data` is one complete message with a cached head."""
        head, end, body = data.partition(HEAD_END)
        found = self._entries.get(head) if end else None
        if found is None or len(body) != found[1]:
            return None
        return found[0], body

    def add(self, data: bytes, parsed_head: ParsedHead, body_length: int) -> None:
        """Cache the head of `data` if the complete body follows it."""
        head, end, body = data.partition(HEAD_END)
        if not end or len(body) != body_length or TRANSFER_ENCODING in head.lower():
            return
        if len(self._entries) >= CACHED_HEADS:
            self._entries.clear()
        self._entries[head] = (parsed_head, body_length)


# Entries: method, path, query.
request_head_cache: HeadCache[tuple[str, str, str]] = HeadCache()
# Entries: status, seconds of Retry-After.
response_head_cache: HeadCache[tuple[int, float | None]] = HeadCache()
