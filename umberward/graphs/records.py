"""The records of task graphs in the state service, and the encoding of tasks into values.

    graphs/live/ID          an accepted graph that has not ended; the record never changes
    graphs/past/ID          how the graph ended
    graphs/run/ID/KIND      progress of one of its arrays; /KIND/PAGE: the tasks that failed
    graphs/open/ID          opening record: a graph with missing parts, until it is accepted
    graphs/part/ID/OPEN/... its parts: the head and the pieces of each
    graphs/stale/ID.OPEN    a submission that was abandoned: its parts must be deleted

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

GRAPHS_PREFIX = "graphs/"
LIVE_PREFIX = "graphs/live/"
PAST_PREFIX = "graphs/past/"
RUN_PREFIX = "graphs/run/"
OPEN_PREFIX = "graphs/open/"
PART_PREFIX = "graphs/part/"
STALE_PREFIX = "graphs/stale/"

DONE, FAILED, CANCELLED = "done", "failed", "cancelled"
DIGEST_DIGITS = 16  # hexadecimal
MAX_PART_BYTES = 1 << 20  # size of the encoded tasks of one part
PIECE_RESERVE_BYTES = 64  # left free in a value that holds a piece


class GraphRecord(msgspec.Struct, omit_defaults=True):
    """An accepted graph.

    `at` is the accepting controller's wall clock time, in seconds; `tasks` the number of tasks;
    `digests` the digests of the parts, in order. `opened` is the version of `graphs/open/ID` under
    which the parts were stored; 0 means that `content` holds the whole content.
    """

    options: Options
    at: float
    tasks: int
    digests: list[str]
    opened: int = 0
    content: str = ""


class EndRecord(msgspec.Struct, omit_defaults=True):
    """How a graph ended.

    The results of the tasks are in the records of the arrays. Those are written on the condition
    that the graph is live, hence never after this record. `at` is the wall clock time of the
    process that ended the graph, in seconds; `done`, `failed` and `not_run` are numbers of tasks.
    """

    phase: str
    graph: GraphRecord
    at: float = 0.0
    done: int = 0
    failed: int = 0
    not_run: int = 0


class ArrayProgressRecord(
    msgspec.Struct,
    omit_defaults=True,
    rename={"placed_below": "marked", "done_below": "base", "done_bitmap": "done"},
):
    """Progress of one array, as in a job's record.

    A task counts as done here if it is finished: done, failed permanently, or never to run.
    `pages` is the number of page records with the tasks that failed.
    """

    placed_below: int = 0
    done_below: int = 0
    done_bitmap: str = "0"
    pages: int = 0


class Failure(msgspec.Struct, array_like=True):
    """A permanently failed task: its index in the array, the cause, and the machines."""

    number: int
    cause: str
    machines: list[str]


class FailurePageRecord(msgspec.Struct):
    """Some of an array's failures; a full page never changes."""

    failed: list[Failure]


class OpeningRecord(msgspec.Struct):
    """The opening record of a graph with missing parts.

    `at` is the wall clock time of the controller that wrote it, in seconds; `parts` is the number
    of parts.
    """

    at: float
    parts: int
    options: Options


class PartRecord(msgspec.Struct):
    """The head of a stored part, written once its pieces are stored.

    `pieces` is their number.
    """

    digest: str
    pieces: int


class PartTooLongError(ValueError):
    """A stored part has more than MAX_PART_BYTES when decompressed."""

    def __init__(self) -> None:
        """Create the error; the caller knows which part it is."""
        super().__init__("a part is larger than the limit when decompressed")


def encode_tasks(tasks: list[Task]) -> bytes:
    """Encode tasks as canonical CBOR: equal tasks give equal bytes, however the user wrote them."""
    return cbor2.dumps([wire.to_builtins(task) for task in tasks], canonical=True)


def decode_tasks(data: bytes) -> list[Task]:
    """Reverse `encode_tasks`; raise ValueError for other bytes."""
    try:
        return msgspec.convert(cbor2.loads(data), list[Task])
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
        raise ValueError(str(error)) from None


def digest(data: bytes, options: Options, part: int, parts: int) -> str:
    """Return the digest of encoded tasks as part `part` of `parts` with these options."""
    head = wire.encode([wire.to_builtins(options), part, parts])
    return hashlib.sha256(head + data).hexdigest()[:DIGEST_DIGITS]


def compress(data: bytes) -> str:
    """Compress bytes into text that needs no escapes in JSON."""
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


def pieces(text: str, max_value_bytes: int) -> list[str]:
    """Split text into pieces that each fit into a value of at most `max_value_bytes` bytes."""
    size = max_value_bytes - PIECE_RESERVE_BYTES
    return [text[start : start + size] for start in range(0, len(text), size)]


class IncompleteGraphError(Exception):
    """Content of a graph is missing in the state service."""

    def __init__(self, graph_id: GraphId, problem: str) -> None:
        """Create an error about the content of `graph_id`."""
        super().__init__(f"{graph_id}: {problem}")
        self.graph_id = graph_id


Parts = list[tuple[str, list[Task]]]  # the digest and the tasks of each part


def assemble_parts(graph_id: GraphId, values: Mapping[str, Any], count: int) -> Parts:
    """Assemble `count` parts from the values below `graphs/part/ID/OPEN/`.

    `values` maps the rest of each key to its value.

    Raises IncompleteGraphError, ValueError and MalformedMessageError.
    """
    missing = [part for part in range(count) if str(part) not in values]
    if missing:
        raise IncompleteGraphError(graph_id, f"part {missing[0]} is missing")
    parts = []
    names: dict[str, str] = {}
    for part in range(count):
        head = wire.convert(values[str(part)], PartRecord)
        piece_names = [f"{part}/{head.digest}/{piece}" for piece in range(head.pieces)]
        if any(name not in values for name in piece_names):
            raise IncompleteGraphError(graph_id, f"pieces of part {part} are missing")
        text = "".join(values[name] for name in piece_names)
        tasks = decode_tasks(decompress(text))
        _share_names(tasks, names)
        parts.append((head.digest, tasks))
    return parts


def _share_names(tasks: list[Task], names: dict[str, str]) -> None:
    """Use one string for each name in the needs of all parts; `names` maps each to itself."""
    for task in tasks:
        task.needs = [names.setdefault(name, name) for name in task.needs]


def join_parts(graph_id: GraphId, record: GraphRecord, parts: Parts) -> list[Task]:
    """Return the tasks of all parts; raise IncompleteGraphError if other parts were accepted."""
    if [digest for digest, _ in parts] != record.digests:
        raise IncompleteGraphError(graph_id, "the stored parts are not those that were accepted")
    return [task for _, tasks in parts for task in tasks]


def live_key(graph_id: GraphId) -> Key:
    """Return the key of the live record of a graph."""
    return Key(LIVE_PREFIX + graph_id)


def past_key(graph_id: GraphId) -> Key:
    """Return the key of the end record of a graph."""
    return Key(PAST_PREFIX + graph_id)


def run_key(graph_id: GraphId, kind: int) -> Key:
    """Return the key of the progress record of one array."""
    return Key(f"{RUN_PREFIX}{graph_id}/{kind}")


def page_key(graph_id: GraphId, kind: int, page: int) -> Key:
    """Return the key of one page record with an array's failures."""
    return Key(f"{RUN_PREFIX}{graph_id}/{kind}/{page}")


def open_key(graph_id: GraphId) -> Key:
    """Return the key of a graph's opening record."""
    return Key(OPEN_PREFIX + graph_id)


def head_key(graph_id: GraphId, opened: int, part: int) -> Key:
    """Return the key of a part's head, stored under version `opened` of the opening record."""
    return Key(f"{PART_PREFIX}{graph_id}/{opened}/{part}")


def piece_key(graph_id: GraphId, opened: int, part: int, digest: str, piece: int) -> Key:
    """Return the key of one piece of a part."""
    return Key(f"{PART_PREFIX}{graph_id}/{opened}/{part}/{digest}/{piece}")


def stale_key(graph_id: GraphId, opened: int) -> Key:
    """Return the key of the note that marks the parts under version `opened` for deletion."""
    return Key(f"{STALE_PREFIX}{graph_id}.{opened}")


class Progress(msgspec.Struct):
    """The stored progress of a graph's arrays, by kind.

    `runs` holds each array's record with the version of that record, `failed` its failures.
    """

    runs: dict[int, tuple[ArrayProgressRecord, int]]
    failed: dict[int, list[Failure]]


def progress(graph_id: GraphId, entries: list[wire.KeyValue]) -> Progress:
    """Parse the progress from all entries below `graphs/run/ID/`.

    Raises MalformedMessageError.
    """
    runs: dict[int, tuple[ArrayProgressRecord, int]] = {}
    for entry in entries:
        kind, page = _split_run_key(graph_id, entry.key)
        if not page:
            runs[int(kind)] = (wire.convert(entry.data, ArrayProgressRecord), entry.version)
    failed: dict[int, list[Failure]] = {}
    for entry in entries:
        kind, page = _split_run_key(graph_id, entry.key)
        # Pages beyond those that the array's record counts were not committed with it.
        if page and int(kind) in runs and int(page) < runs[int(kind)][0].pages:
            failures = failed.setdefault(int(kind), [])
            failures += wire.convert(entry.data, FailurePageRecord).failed
    return Progress(runs, failed)


def _split_run_key(graph_id: GraphId, key: str) -> tuple[str, str]:
    """Return kind and page of a key below `graphs/run/ID/`; the page is empty for the record."""
    kind, _, page = key[len(RUN_PREFIX) + len(graph_id) + 1 :].partition("/")
    return kind, page
