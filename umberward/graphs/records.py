"""The records of task graphs in the state service, and how contents are packed into values.

    graphs/live/ID          an accepted graph that is not over; never changes while it stands there
    graphs/past/ID          how it ended
    graphs/run/ID/KIND      progress of one of its arrays, and /KIND/PAGE the tasks that failed
    graphs/open/ID          a graph with parts still to come, until it is accepted
    graphs/part/ID/OPEN/... its parts: a head for each, and its pieces
    graphs/stale/ID.OPEN    a graph that was given up before its acceptance: its parts are to be
                            deleted

OPEN is the version of the opening record. The version of umberward in production reads none of
these keys, so both versions may run at once.
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
DIGEST_DIGITS = 16  # hexadecimal
MAX_PART_BYTES = 1 << 20  # of one part's packed tasks
PIECE_RESERVE_BYTES = 64  # kept free in the value that holds a piece


class GraphRecord(msgspec.Struct, omit_defaults=True):
    """An accepted graph.

    `at` is the wall clock of the accepting controller, in seconds; `tasks` the number of tasks;
    `digests` those of the parts, in order. `opened` is the version of `graphs/open/ID` under which
    the parts were stored; 0 means that `content` holds the whole content.
    """

    options: Options
    at: float
    tasks: int
    digests: list[str]
    opened: int = 0
    content: str = ""


class EndRecord(msgspec.Struct, omit_defaults=True):
    """How a graph ended.

    The results of its tasks are in the records of its arrays, which are written under the
    condition that the graph is live, and so never after this record. `at` is the wall clock of the
    process that ended it, in seconds; the others are counts of tasks.
    """

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
    """Progress of one array, as in a job's record.

    A task counts as done there if it is over: done, failed for good, or never to run. `pages` is
    the number of page records with the tasks that failed.
    """

    placed_below: int = 0
    done_below: int = 0
    done_bitmap: str = "0"
    pages: int = 0


class Failure(msgspec.Struct, array_like=True):
    """A task that failed for good: its index in its array, why, and where it was tried."""

    number: int
    cause: str
    machines: list[str]


class PageRecord(msgspec.Struct):
    """Some of an array's failures; a full page never changes."""

    failed: list[Failure]


class OpenRecord(msgspec.Struct):
    """The opening record of a graph with parts still to come.

    `at` is the wall clock of the controller that wrote it, in seconds; `parts` the number of parts.
    """

    at: float
    parts: int
    options: Options


class PartRecord(msgspec.Struct):
    """The head of a stored part, written once all its `pieces` are stored."""

    digest: str
    pieces: int


class PartTooLongError(ValueError):
    """A stored part has more than MAX_PART_BYTES when decompressed."""

    def __init__(self) -> None:
        """Create the error; the part is named by whoever reads it."""
        super().__init__("too long")


def pack(tasks: list[Task]) -> bytes:
    """Encode tasks; equal tasks give equal bytes, however the user has written them."""
    return cbor2.dumps([wire.to_builtins(task) for task in tasks], canonical=True)


def unpack(data: bytes) -> list[Task]:
    """Decode what `pack` has encoded; raise ValueError for other bytes."""
    try:
        return msgspec.convert(cbor2.loads(data), list[Task])
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
        raise ValueError(str(error)) from None


def digest(data: bytes, options: Options, part: int, parts: int) -> str:
    """Return the digest of packed tasks as part number `part` of `parts` with these options."""
    head = wire.encode([wire.to_builtins(options), part, parts])
    return hashlib.sha256(head + data).hexdigest()[:DIGEST_DIGITS]


def compress(data: bytes) -> str:
    """Compress bytes into text that JSON holds without escapes."""
    return base64.b64encode(zlib.compress(data, 9)).decode()


def decompress(text: str) -> bytes:
    """Reverse `compress`; raise ValueError for other text and for more than MAX_PART_BYTES."""
    try:
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(base64.b64decode(text, validate=True), MAX_PART_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from None
    if decompressor.unconsumed_tail:
        raise PartTooLongError
    return data


def pieces(text: str, value_limit: int) -> list[str]:
    """Cut text so that each piece fits into a value of at most `value_limit` bytes."""
    size = value_limit - PIECE_RESERVE_BYTES
    return [text[start : start + size] for start in range(0, len(text), size)]


class IncompleteGraphError(Exception):
    """Some of a graph's content is missing in the state service."""

    def __init__(self, graph_id: GraphId, problem: str) -> None:
        """Create an error about the content of `graph_id`."""
        super().__init__(f"{graph_id}: {problem}")
        self.graph_id = graph_id


Parts = list[tuple[str, list[Task]]]  # the digest and the tasks of each part


def parts_of(graph_id: GraphId, values: Mapping[str, Any], count: int) -> Parts:
    """Build `count` parts from the values below `graphs/part/ID/OPEN/`, by the rest of their keys.

    Raises IncompleteGraphError, ValueError and MalformedMessageError.
    """
    missing = [part for part in range(count) if str(part) not in values]
    if missing:
        raise IncompleteGraphError(graph_id, f"part {missing[0]} is missing")
    parts = []
    for part in range(count):
        head = wire.convert(values[str(part)], PartRecord)
        piece_names = [f"{part}/{head.digest}/{piece}" for piece in range(head.pieces)]
        if any(name not in values for name in piece_names):
            raise IncompleteGraphError(graph_id, f"part {part} is not whole")
        text = "".join(values[name] for name in piece_names)
        parts.append((head.digest, unpack(decompress(text))))
    return parts


def joined(graph_id: GraphId, record: GraphRecord, parts: Parts) -> list[Task]:
    """Return the tasks of all parts; raise IncompleteGraphError unless these were accepted."""
    if [digest for digest, _ in parts] != record.digests:
        raise IncompleteGraphError(graph_id, "parts do not match")
    return [task for _, tasks in parts for task in tasks]


def live_key(graph_id: GraphId) -> Key:
    """Return the key of an accepted graph's record."""
    return Key(LIVE + graph_id)


def past_key(graph_id: GraphId) -> Key:
    """Return the key of an ended graph's record."""
    return Key(PAST + graph_id)


def run_key(graph_id: GraphId, kind: int) -> Key:
    """Return the key of the progress record of one array."""
    return Key(f"{RUN}{graph_id}/{kind}")


def page_key(graph_id: GraphId, kind: int, page: int) -> Key:
    """Return the key of one page of an array's failures."""
    return Key(f"{RUN}{graph_id}/{kind}/{page}")


def open_key(graph_id: GraphId) -> Key:
    """Return the key of a graph's opening record."""
    return Key(OPEN + graph_id)


def head_key(graph_id: GraphId, opened: int, part: int) -> Key:
    """Return the key of a part's head, stored under opening version `opened`."""
    return Key(f"{PART}{graph_id}/{opened}/{part}")


def piece_key(graph_id: GraphId, opened: int, part: int, digest: str, piece: int) -> Key:
    """Return the key of one piece of a part's content."""
    return Key(f"{PART}{graph_id}/{opened}/{part}/{digest}/{piece}")


def stale_key(graph_id: GraphId, opened: int) -> Key:
    """Return the key of the note that the parts under version `opened` are to be deleted."""
    return Key(f"{STALE}{graph_id}.{opened}")


class Progress(msgspec.Struct):
    """The stored progress of a graph's arrays.

    By the array's kind: its record with that record's version, and its failures.
    """

    runs: dict[int, tuple[RunRecord, int]]
    failed: dict[int, list[Failure]]


def progress(graph_id: GraphId, entries: list[wire.KeyValue]) -> Progress:
    """Build the progress from all entries below `graphs/run/ID/`.

    Raises MalformedMessageError.
    """
    runs: dict[int, tuple[RunRecord, int]] = {}
    for entry in entries:
        kind, page = _split_run_key(graph_id, entry.key)
        if not page:
            runs[int(kind)] = (wire.convert(entry.data, RunRecord), entry.version)
    failed: dict[int, list[Failure]] = {}
    for entry in entries:
        kind, page = _split_run_key(graph_id, entry.key)
        # A page beyond those that the array's record counts was not committed with it.
        if page and int(kind) in runs and int(page) < runs[int(kind)][0].pages:
            failures = failed.setdefault(int(kind), [])
            failures += wire.convert(entry.data, PageRecord).failed
    return Progress(runs, failed)


def _split_run_key(graph_id: GraphId, key: str) -> tuple[str, str]:
    """Return the kind and the page in a key below `graphs/run/ID/`; no page: the array's record."""
    kind, _, page = key[len(RUN) + len(graph_id) + 1 :].partition("/")
    return kind, page
