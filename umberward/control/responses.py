"""HTTP responses shared by the request handlers of a controller."""

from __future__ import annotations

from umberward.protocol import wire
from umberward.protocol.http import Response

MIN_RETRY_AFTER_S = 1.0


def error_response(status: int, reason: str) -> Response:
    """An error response whose MessagePack body contains the reason."""
    return Response(status, wire.encode({"error": reason}))


def retry_later_response(retry_after_s: float = MIN_RETRY_AFTER_S) -> Response:
    """503: the request can't be decided now."""
    return Response(503, retry_after=retry_after_s)


def rate_limited_response(wait_s: float) -> Response:
    """429: the user should retry when this controller's share of the write rate allows it."""
    return Response(429, retry_after=max(MIN_RETRY_AFTER_S, wait_s))
