"""Graphs in the state service: reading what is stored, deleting what never became a graph."""

from __future__ import annotations

from umberward.clients.state import State
from umberward.core.log import logger
from umberward.core.types import Key, Stamp
from umberward.graphs import records
from umberward.graphs.model import GraphId, Task
from umberward.graphs.records import OPEN, PART, STALE, GraphRecord, OpenRecord, Progress
from umberward.protocol import changes, wire

log = logger(__name__)

OPEN_S = 180.0  # a graph whose parts have not all come by then is given up: its user has
DELETED_AT_ONCE = 8


async def read_tasks(store: State, id: GraphId, record: GraphRecord) -> list[Task]:
    """The tasks of an accepted graph. Raises Incomplete, ValueError, and what State raises."""
    if not record.opened:
        return records.unpack(records.unfold(record.content))
    parts = await read_parts(store, id, record.opened, len(record.digests))
    return records.joined(id, record, parts)


async def read_parts(
    store: State, id: GraphId, opened: int, count: int
) -> list[tuple[str, list[Task]]]:
    """The digest and the tasks of each part. Raises Incomplete, ValueError, wire.Malformed."""
    prefix = f"{PART}{id}/{opened}/"
    entries, _ = await store.entries(prefix)
    found = {entry.path[len(prefix) :]: entry.data for entry in entries}
    return records.parts_of(id, found, count)


async def read_progress(store: State, id: GraphId) -> Progress:
    entries, _ = await store.entries(f"{records.RUN}{id}/")
    return records.progress(id, entries)


async def give_up_old(store: State, now: float) -> None:
    """Nothing can be accepted any more once its opening record is gone."""
    entries, _ = await store.entries(OPEN)
    for entry in entries:
        id = GraphId(entry.path[len(OPEN) :])
        if now - wire.converted(entry.data, OpenRecord).at > OPEN_S:
            await give_up(store, id, Stamp(entry.stamp))


async def give_up(store: State, id: GraphId, opened: Stamp) -> None:
    """In one transaction with a note of what is to be deleted, so that no end in between leaves
    anything behind."""
    key = records.open_key(id)
    note = changes.put(records.stale_key(id, opened), {})
    await store.commit([(key, opened)], [note, changes.delete(key)], priority=changes.LAZY)
    log.info("graph_given_up", graph=id)


async def delete_stale(store: State) -> None:
    """All that was given up."""
    notes, _ = await store.entries(STALE)
    for note in notes:
        id, _, opened = note.path[len(STALE) :].rpartition(".")
        await delete_parts(store, GraphId(id), Stamp(int(opened)))


async def delete_parts(store: State, id: GraphId, opened: Stamp) -> None:
    """What had come of one graph that was given up, and the note that says so last."""
    most = min(DELETED_AT_ONCE, store.lower.txn_ops)
    entries, _ = await store.entries(f"{PART}{id}/{opened}/")
    for start in range(0, len(entries), most):
        gone = [changes.delete(Key(entry.path)) for entry in entries[start : start + most]]
        await store.commit([], gone, priority=changes.LAZY, patience=5.0)
    note = changes.delete(records.stale_key(id, opened))
    await store.commit([], [note], priority=changes.LAZY)
