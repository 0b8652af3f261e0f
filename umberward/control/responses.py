"""HTTP responses shared by the request handlers of a controller."""

from __future__ import annotations

from umberward.protocol import wire
from umberward.protocol.http import Response


def error_response(status: int, reason: str) -> Response:
    """An error response whose MessagePack body contains the reason."""
    return Response(status, wire.encode({"error": reason}))
