"""What the state service keeps of task graphs: records, and how contents are packed into values.

    graphs/live/ID          an accepted graph that is not over; never changes while it stands there
    graphs/past/ID          how it ended
    graphs/run/ID/KIND      progress of one of its arrays, and /KIND/PAGE the tasks that failed
    graphs/open/ID          a graph of several parts on its way in, until it is accepted
    graphs/part/ID/OPEN/... its parts: a head for each, and its pieces
    graphs/stale/ID.OPEN    a graph that was given up on its way in: its parts are to be deleted

The version in production reads none of these, so it may serve beside this one.
"""

from __future__ import annotations

import base64
import hashlib
import zlib
from collections.abc import Mapping
from typing import Any

import cbor2
import msgspec

from umberward.core.types import Key
from umberward.graphs.model import GraphId, Options, Task
from umberward.protocol import wire

GRAPHS = "graphs/"
LIVE = "graphs/live/"
PAST = "graphs/past/"
RUN = "graphs/run/"
OPEN = "graphs/open/"
PART = "graphs/part/"
STALE = "graphs/stale/"

DONE, FAILED, CANCELLED = "done", "failed", "cancelled"
DIGEST = 16  # hexadecimal digits
MOST_UNPACKED = 1 << 20  # bytes of one part


class GraphRecord(msgspec.Struct, omit_defaults=True):
    """An accepted graph.

    `digests`: of its parts, in their order; `opened`: the version of `graphs/open/ID` under which
    these were stored, 0: the whole content is in `content`.
    """

    options: Options
    at: float
    tasks: int
    digests: list[str]
    opened: int = 0
    content: str = ""


class EndRecord(msgspec.Struct, omit_defaults=True):
    """How a graph ended. What its tasks came to is told by the records of its arrays, which are
    written under the condition that the graph is live, so never after this."""

    phase: str
    graph: GraphRecord
    at: float = 0.0
    done: int = 0
    failed: int = 0
    not_run: int = 0


class RunRecord(
    msgspec.Struct,
    omit_defaults=True,
    rename={"placed_below": "marked", "done_below": "base", "done_bitmap": "done"},
):
    """Progress of one array, as in a job's record; what is over is done, failed or will not run.

    `pages`: records with the tasks that failed.
    """

    placed_below: int = 0
    done_below: int = 0
    done_bitmap: str = "0"
    pages: int = 0


class Failure(msgspec.Struct, array_like=True):
    """A task that failed for good: its number in its array, why, and where it was tried."""

    number: int
    cause: str
    machines: list[str]


class PageRecord(msgspec.Struct):
    failed: list[Failure]


class OpenRecord(msgspec.Struct):
    at: float
    parts: int
    options: Options


class PartRecord(msgspec.Struct):
    """The head of a stored part."""

    digest: str
    pieces: int


def pack(tasks: list[Task]) -> bytes:
    """The same tasks make the same bytes, however their user has written them."""
    return cbor2.dumps([wire.to_builtins(task) for task in tasks], canonical=True)


def unpack(data: bytes) -> list[Task]:
    """Raises ValueError."""
    try:
        return msgspec.convert(cbor2.loads(data), list[Task])
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
        raise ValueError(str(error)) from None


def digest(data: bytes, options: Options, part: int, parts: int) -> str:
    head = wire.encode([wire.to_builtins(options), part, parts])
    return hashlib.sha256(head + data).hexdigest()[:DIGEST]


def compress(data: bytes) -> str:
    """Bytes as text that JSON stores as it is."""
    return base64.b64encode(zlib.compress(data, 9)).decode()


def decompress(text: str) -> bytes:
    """Raises ValueError."""
    try:
        machine = zlib.decompressobj()
        data = machine.decompress(base64.b64decode(text, validate=True), MOST_UNPACKED)
    except zlib.error as error:
        raise ValueError(str(error)) from None
    if machine.unconsumed_tail:
        raise ValueError("too long")
    return data


def pieces(text: str, value_limit: int) -> list[str]:
    """The text cut so that each piece is a value of its own."""
    size = value_limit - 64
    return [text[start : start + size] for start in range(0, len(text), size)]


class IncompleteGraphError(Exception):
    """Not all of a graph's content stands in the state service."""


Parts = list[tuple[str, list[Task]]]  # of each part its digest and its tasks


def parts_of(id: GraphId, found: Mapping[str, Any], count: int) -> Parts:
    """From what stands under `graphs/part/ID/OPEN/`, by the rest of its keys. Raises Incomplete,
    ValueError, wire.Malformed."""
    missing = [part for part in range(count) if str(part) not in found]
    if missing:
        raise IncompleteGraphError(f"{id}: part {missing[0]} is missing")
    parts = []
    for part in range(count):
        head = wire.convert(found[str(part)], PartRecord)
        names = [f"{part}/{head.digest}/{piece}" for piece in range(head.pieces)]
        if any(name not in found for name in names):
            raise IncompleteGraphError(f"{id}: part {part} is not whole")
        text = "".join(found[name] for name in names)
        parts.append((head.digest, unpack(decompress(text))))
    return parts


def joined(id: GraphId, record: GraphRecord, parts: Parts) -> list[Task]:
    """All tasks, if these are the parts that were accepted. Raises Incomplete."""
    if [digest for digest, _ in parts] != record.digests:
        raise IncompleteGraphError(f"{id}: parts do not match")
    return [task for _, tasks in parts for task in tasks]


def live_key(id: GraphId) -> Key:
    return Key(LIVE + id)


def past_key(id: GraphId) -> Key:
    return Key(PAST + id)


def run_key(id: GraphId, kind: int) -> Key:
    return Key(f"{RUN}{id}/{kind}")


def page_key(id: GraphId, kind: int, page: int) -> Key:
    return Key(f"{RUN}{id}/{kind}/{page}")


def open_key(id: GraphId) -> Key:
    return Key(OPEN + id)


def head_key(id: GraphId, opened: int, part: int) -> Key:
    return Key(f"{PART}{id}/{opened}/{part}")


def piece_key(id: GraphId, opened: int, part: int, digest: str, piece: int) -> Key:
    return Key(f"{PART}{id}/{opened}/{part}/{digest}/{piece}")


def stale_key(id: GraphId, opened: int) -> Key:
    return Key(f"{STALE}{id}.{opened}")


class Progress(msgspec.Struct):
    """The stored progress of a graph: by kind, its record with its version, and its failures."""

    runs: dict[int, tuple[RunRecord, int]]
    failed: dict[int, list[Failure]]


def progress(id: GraphId, entries: list[wire.KeyValue]) -> Progress:
    """From all records under `graphs/run/ID/`. Raises wire.Malformed."""
    made = Progress({}, {})
    for entry in entries:
        kind, _, page = entry.key[len(RUN) + len(id) + 1 :].partition("/")
        if not page:
            made.runs[int(kind)] = (wire.convert(entry.data, RunRecord), entry.version)
    for entry in entries:
        kind, _, page = entry.key[len(RUN) + len(id) + 1 :].partition("/")
        # A page beyond those that the array's record counts was not committed with it.
        if page and int(kind) in made.runs and int(page) < made.runs[int(kind)][0].pages:
            found = made.failed.setdefault(int(kind), [])
            found += wire.convert(entry.data, PageRecord).failed
    return made
