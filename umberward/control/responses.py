"""HTTP responses that several request handlers of a controller give."""

from __future__ import annotations

from umberward.protocol import wire
from umberward.protocol.http import Response


def error_response(status: int, reason: str) -> Response:
    """A response with the HTTP status and a MessagePack body that names the reason."""
    return Response(status, wire.encode({"error": reason}))
