"""The store on the user's side: calls that workers fetch, and the results of tasks.

Values are bytes under names, in pieces that fit into one message. The store keeps them in memory up
to a total size and serves any worker that can reach it.
"""

from __future__ import annotations

from urllib.parse import parse_qs, quote, unquote

import msgspec

from umberward.core.types import Address
from umberward.protocol import wire
from umberward.protocol.http import (
    Client,
    NoResponseError,
    Request,
    RequestNotSentError,
    Response,
    Server,
)

VALUES_PATH = "/values/"
PIECE_BYTES = 60_000
MAX_TOTAL_BYTES = 512 * 1024 * 1024  # of all values
MAX_PIECES_PER_VALUE = 4096  # of one value
MAX_CONNECTIONS = 512
REQUEST_TIMEOUT_S = 5.0
MAX_ATTEMPTS = 5

# Suffixes of a task's names in the store.
CALL_SUFFIX, RESULT_SUFFIX, ERROR_SUFFIX = "/call", "/result", "/error"


class StoreError(Exception):
    """The store rejects or does not have a value, or cannot be reached."""


class _Piece(msgspec.Struct):
    of: int
    data: bytes


class Store:
    def __init__(self, address: Address, max_total_bytes: int = MAX_TOTAL_BYTES) -> None:
        self.max_total_bytes = max_total_bytes
        self.total_bytes = 0
        self.values: dict[str, dict[int, _Piece]] = {}
        self.server = Server(address, self.serve, MAX_CONNECTIONS)

    def is_complete(self, name: str) -> bool:
        pieces = self.values.get(name)
        return pieces is not None and len(pieces) == next(iter(pieces.values())).of

    async def serve(self, request: Request) -> Response:
        if not request.path.startswith(VALUES_PATH):
            return Response(404)
        name = unquote(request.path[len(VALUES_PATH) :])
        number = parse_qs(request.query).get("piece", ["0"])[0]
        if not number.isdecimal():
            return Response(400)
        if request.method == "POST":
            return self._put(name, int(number), request.body)
        if request.method == "GET":
            if not self.is_complete(name) or int(number) not in self.values[name]:
                return Response(404)
            return Response(200, wire.encode(self.values[name][int(number)]))
        return Response(405)

    def _put(self, name: str, number: int, body: bytes) -> Response:
        try:
            piece = msgspec.msgpack.decode(body, type=_Piece)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return Response(400)
        if not 0 <= number < piece.of <= MAX_PIECES_PER_VALUE:
            return Response(400)
        if self.total_bytes + len(piece.data) > self.max_total_bytes:
            return Response(507)
        pieces = self.values.setdefault(name, {})
        if any(other.of != piece.of for other in pieces.values()):
            # Another attempt of the task has stored a value of another length.
            self.total_bytes -= sum(len(other.data) for other in pieces.values())
            pieces.clear()
        old = pieces.get(number)
        self.total_bytes += len(piece.data) - (0 if old is None else len(old.data))
        pieces[number] = piece
        return Response(200)


async def put(client: Client, store: Address, name: str, data: bytes) -> None:
    """Store a value in pieces; raise StoreError."""
    pieces = [data[at : at + PIECE_BYTES] for at in range(0, max(1, len(data)), PIECE_BYTES)]
    if len(pieces) > MAX_PIECES_PER_VALUE:
        most = MAX_PIECES_PER_VALUE * PIECE_BYTES
        raise StoreError(f"{name}: {len(data)} bytes exceed the limit of {most} bytes")
    for number, piece in enumerate(pieces):
        body = wire.encode(_Piece(len(pieces), piece))
        response = await _send_request(client, store, "POST", name, number, body)
        if response.status != 200:
            raise StoreError(f"{name}: the store responded with status {response.status}")


async def get(client: Client, store: Address, name: str) -> bytes | None:
    """Return a value, or None if there is no such value; raise StoreError."""
    data = b""
    number = 0
    while True:
        response = await _send_request(client, store, "GET", name, number)
        if response.status == 404 and not number:
            return None
        if response.status != 200:
            raise StoreError(f"{name}: the store responded with status {response.status}")
        piece = msgspec.msgpack.decode(response.body, type=_Piece)
        data += piece.data
        number += 1
        if number == piece.of:
            return data


async def _send_request(
    client: Client, store: Address, method: str, name: str, piece: int, body: bytes = b""
) -> Response:
    target = f"{VALUES_PATH}{quote(name)}?piece={piece}"
    failed: Exception | None = None
    for _ in range(MAX_ATTEMPTS):
        try:
            return await client.request(store, method, target, body, REQUEST_TIMEOUT_S)
        except (RequestNotSentError, NoResponseError) as error:
            failed = error  # both requests are idempotent, so all errors are retried
    raise StoreError(f"{name}: no response from the store at {store}: {failed}")
