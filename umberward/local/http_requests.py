"""Decoding of requests and encoding of errors, shared by the simulated services."""

from __future__ import annotations

from typing import Any
from urllib.parse import parse_qs

import msgspec

from umberward.protocol import wire
from umberward.protocol.http import Request, Response
from umberward.protocol.message_sizes import exceeds_body_limit


def query_parameters(request: Request) -> dict[str, str]:
    """The parameters of the request's query string, the first value of each."""
    return {name: values[0] for name, values in parse_qs(request.query).items()}


class BodyNotMapError(TypeError):
    """A request's body is not a map."""

    def __init__(self) -> None:
        """The client gets this text in the response."""
        super().__init__("not a map")


class BodyTooLargeError(ValueError):
    """A request's body is above the limit of the protocol."""

    def __init__(self) -> None:
        """The client gets this text in the response."""
        super().__init__("the body is too large")


def decode_body(request: Request) -> dict[str, Any]:
    """Decode a request's body; a missing body counts as an empty map.

    Raises msgspec.DecodeError, BodyNotMapError or BodyTooLargeError.
    """
    if exceeds_body_limit(request.body):
        raise BodyTooLargeError
    decoded = msgspec.msgpack.decode(request.body) if request.body else {}
    if not isinstance(decoded, dict):
        raise BodyNotMapError
    return decoded


def error_response(status: int, text: str) -> Response:
    """A response whose body contains the text."""
    return Response(status, wire.encode({"error": text}))
