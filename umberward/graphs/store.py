"""Graphs in the state service: reading what is stored, whole or in parts."""

from __future__ import annotations

from umberward.clients.state import State
from umberward.graphs import records
from umberward.graphs.model import GraphId, Task
from umberward.graphs.records import PART, GraphRecord, PartRecord, Progress
from umberward.protocol import wire


class Incomplete(Exception):
    """Not all of a graph's content stands in the state service."""


async def read_tasks(store: State, id: GraphId, record: GraphRecord) -> list[Task]:
    """The tasks of an accepted graph. Raises Incomplete, ValueError, and what State raises."""
    if not record.opened:
        return records.unpack(records.unfold(record.content))
    parts = await read_parts(store, id, record.opened, len(record.digests))
    if [digest for digest, _ in parts] != record.digests:
        raise Incomplete(f"{id}: parts do not match")
    return [task for _, tasks in parts for task in tasks]


async def read_parts(
    store: State, id: GraphId, opened: int, count: int
) -> list[tuple[str, list[Task]]]:
    """The digest and the tasks of each part. Raises Incomplete, ValueError, wire.Malformed."""
    prefix = f"{PART}{id}/{opened}/"
    entries, _ = await store.entries(prefix)
    found = {entry.path[len(prefix) :]: entry.data for entry in entries}
    missing = [part for part in range(count) if str(part) not in found]
    if missing:
        raise Incomplete(f"{id}: part {missing[0]} is missing")
    parts = []
    for part in range(count):
        head = wire.converted(found[str(part)], PartRecord)
        names = [f"{part}/{head.digest}/{piece}" for piece in range(head.pieces)]
        if any(name not in found for name in names):
            raise Incomplete(f"{id}: part {part} is not whole")
        text = "".join(found[name] for name in names)
        parts.append((head.digest, records.unpack(records.unfold(text))))
    return parts


async def read_progress(store: State, id: GraphId) -> Progress:
    entries, _ = await store.entries(f"{records.RUN}{id}/")
    return records.progress(id, entries)
