"""Requests and responses, their errors, and a cache of message heads.

Most messages have the head of an earlier one, and h11 spends more time on checking and writing a
head than on all the rest of a message: so heads are kept, by their bytes and by their parts.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import lru_cache
from typing import Generic, NamedTuple, TypeVar

import h11

from umberward.protocol.http.connection import Connection

CACHED_HEADS = 4096
HEAD_END = b"\r\n\r\n"
END_OF_MESSAGE = h11.EndOfMessage()


class HttpError(Exception):
    """A request that the client could not carry out."""


class RequestNotSentError(HttpError):
    """The request did not reach the other side: it was certainly not executed."""


class NoResponseError(HttpError):
    """No response came: the request may have been executed, or may be executed later."""


class Request(NamedTuple):
    """A request as the server has read it; `origin`: the connection on which it came."""

    method: str
    path: str
    query: str
    body: bytes
    origin: Connection | None = None


class Response(NamedTuple):
    """A response; `retry_after`: seconds, sent as a whole number of at least 1."""

    status: int
    body: bytes = b""
    retry_after: float | None = None


Handler = Callable[[Request], Awaitable[Response]]


def retry_after_header(seconds: float | None) -> int | None:
    """The value of the header Retry-After; None: the header is left out."""
    return None if seconds is None else max(1, round(seconds))


@lru_cache(CACHED_HEADS)
def response_head(status: int, length: int, retry_after: int | None, close: bool) -> h11.Response:  # noqa: FBT001 (a cache key)
    """The head of a response; `close`: the connection ends after it."""
    headers = [("content-type", "application/msgpack"), ("content-length", str(length))]
    if retry_after is not None:
        headers.append(("retry-after", str(retry_after)))
    if close:
        headers.append(("connection", "close"))
    return h11.Response(status_code=status, headers=headers)


@lru_cache(CACHED_HEADS)
def request_head(method: str, target: str, host: str, length: int) -> h11.Request:
    """The head of a request with a body of `length` bytes."""
    headers = [("host", host)]
    if length or method == "POST":
        headers.append(("content-type", "application/msgpack"))
        headers.append(("content-length", str(length)))
    return h11.Request(method=method, target=target, headers=headers)


@lru_cache(CACHED_HEADS)
def response_head_bytes(status: int, length: int, retry_after: int | None) -> bytes:
    """The encoded head of a response after which the connection goes on."""
    state = h11.Connection(h11.SERVER)
    state.receive_data(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    while not isinstance(state.next_event(), h11.EndOfMessage):
        pass
    return state.send(response_head(status, length, retry_after, False)) or b""  # noqa: FBT003


@lru_cache(CACHED_HEADS)
def request_head_bytes(method: str, target: str, host: str, length: int) -> bytes:
    """The encoded head of a request."""
    return h11.Connection(h11.CLIENT).send(request_head(method, target, host, length)) or b""


Meaning = TypeVar("Meaning")


class HeadCache(Generic[Meaning]):
    """What h11 has read from heads, kept by their bytes.

    Only heads are kept after which the connection goes on, and whose bodies came unencoded and
    together with them: for such a message h11 would read the same again.
    """

    def __init__(self) -> None:
        """An empty cache; it is emptied when it holds CACHED_HEADS heads."""
        self._known: dict[bytes, tuple[Meaning, int]] = {}

    def find(self, data: bytes) -> tuple[Meaning, bytes] | None:
        """What the head says, and the body, if `data` is one whole message with a known head."""
        head, end, body = data.partition(HEAD_END)
        found = self._known.get(head) if end else None
        if found is None or len(body) != found[1]:
            return None
        return found[0], body

    def keep(self, data: bytes, meaning: Meaning, body_length: int) -> None:
        """Remember the head of `data`, if the whole body came with it."""
        head, end, body = data.partition(HEAD_END)
        if not end or len(body) != body_length:
            return
        if len(self._known) >= CACHED_HEADS:
            self._known.clear()
        self._known[head] = (meaning, body_length)


known_requests: HeadCache[tuple[str, str, str]] = HeadCache()  # method, path, query
known_responses: HeadCache[tuple[int, float | None]] = HeadCache()  # status, seconds to retry after
