"""The store on the user's side: calls that workers fetch, and the values that tasks leave.

Values are bytes under names, in pieces that fit into one message. It keeps them in memory, within a
bound, and answers any worker that can reach it.
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

VALUES = "/values/"
PIECE_BYTES = 60_000
MOST_BYTES = 512 * 1024 * 1024  # of all values
MOST_PIECES = 4096  # of one value
SOCKETS = 512
TIMEOUT_S = 5.0
TRIES = 5

# What a task's names in the store end with.
CALL, RESULT, ERROR = "/call", "/result", "/error"


class StoreError(Exception):
    """The store does not take or have a value, or cannot be reached."""


class _Piece(msgspec.Struct):
    of: int
    data: bytes


class Store:
    def __init__(self, address: Address, most_bytes: int = MOST_BYTES) -> None:
        self.most_bytes = most_bytes
        self.bytes = 0
        self.values: dict[str, dict[int, _Piece]] = {}
        self.server = Server(address, self.serve, SOCKETS)

    def whole(self, name: str) -> bool:
        pieces = self.values.get(name)
        return pieces is not None and len(pieces) == next(iter(pieces.values())).of

    async def serve(self, request: Request) -> Response:
        if not request.path.startswith(VALUES):
            return Response(404)
        name = unquote(request.path[len(VALUES) :])
        number = parse_qs(request.query).get("piece", ["0"])[0]
        if not number.isdecimal():
            return Response(400)
        if request.method == "POST":
            return self._put(name, int(number), request.body)
        if request.method == "GET":
            if not self.whole(name) or int(number) not in self.values[name]:
                return Response(404)
            return Response(200, wire.encode(self.values[name][int(number)]))
        return Response(405)

    def _put(self, name: str, number: int, body: bytes) -> Response:
        try:
            piece = msgspec.msgpack.decode(body, type=_Piece)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return Response(400)
        if not 0 <= number < piece.of <= MOST_PIECES:
            return Response(400)
        if self.bytes + len(piece.data) > self.most_bytes:
            return Response(507)
        pieces = self.values.setdefault(name, {})
        if any(other.of != piece.of for other in pieces.values()):
            # Another run of the task has left a value of another length.
            self.bytes -= sum(len(other.data) for other in pieces.values())
            pieces.clear()
        old = pieces.get(number)
        self.bytes += len(piece.data) - (0 if old is None else len(old.data))
        pieces[number] = piece
        return Response(200)


async def put(client: Client, store: Address, name: str, data: bytes) -> None:
    """Raises StoreError."""
    pieces = [data[at : at + PIECE_BYTES] for at in range(0, max(1, len(data)), PIECE_BYTES)]
    if len(pieces) > MOST_PIECES:
        most = MOST_PIECES * PIECE_BYTES
        raise StoreError(f"{name}: {len(data)} bytes, at most {most} are taken")
    for number, piece in enumerate(pieces):
        body = wire.encode(_Piece(len(pieces), piece))
        response = await _ask(client, store, "POST", name, number, body)
        if response.status != 200:
            raise StoreError(f"{name}: the store answers {response.status}")


async def get(client: Client, store: Address, name: str) -> bytes | None:
    """None: there is no such value. Raises StoreError."""
    data = b""
    number = 0
    while True:
        response = await _ask(client, store, "GET", name, number)
        if response.status == 404 and not number:
            return None
        if response.status != 200:
            raise StoreError(f"{name}: the store answers {response.status}")
        piece = msgspec.msgpack.decode(response.body, type=_Piece)
        data += piece.data
        number += 1
        if number == piece.of:
            return data


async def _ask(
    client: Client, store: Address, method: str, name: str, piece: int, body: bytes = b""
) -> Response:
    target = f"{VALUES}{quote(name)}?piece={piece}"
    failed: Exception | None = None
    for _ in range(TRIES):
        try:
            return await client.request(store, method, target, body, TIMEOUT_S)
        except (RequestNotSentError, NoResponseError) as error:
            failed = error  # the same again changes nothing
    raise StoreError(f"{name}: no answer from the store at {store}: {failed}")
