"""Graphs in the state service: reading what is stored, deleting what never became a graph."""

from __future__ import annotations

from umberward.clients.state_client import StateClient
from umberward.core.log import logger
from umberward.core.types import Key, Version
from umberward.graphs import records
from umberward.graphs.model import GraphId, Task
from umberward.graphs.records import OPEN, PART, STALE, GraphRecord, OpenRecord, Progress
from umberward.protocol import transactions, wire

log = logger(__name__)

OPEN_S = 180.0  # a graph whose parts have not all come by then is given up: its user has
DELETED_AT_ONCE = 8


async def read_tasks(store: StateClient, id: GraphId, record: GraphRecord) -> list[Task]:
    """The tasks of an accepted graph. Raises Incomplete, ValueError, and what State raises."""
    if not record.opened:
        return records.unpack(records.decompress(record.content))
    parts = await read_parts(store, id, record.opened, len(record.digests))
    return records.joined(id, record, parts)


async def read_parts(
    store: StateClient, id: GraphId, opened: int, count: int
) -> list[tuple[str, list[Task]]]:
    """The digest and the tasks of each part. Raises Incomplete, ValueError, wire.Malformed."""
    prefix = f"{PART}{id}/{opened}/"
    entries, _ = await store.list_all(prefix)
    found = {entry.key[len(prefix) :]: entry.data for entry in entries}
    return records.parts_of(id, found, count)


async def read_progress(store: StateClient, id: GraphId) -> Progress:
    entries, _ = await store.list_all(f"{records.RUN}{id}/")
    return records.progress(id, entries)


async def give_up_old(store: StateClient, now: float) -> None:
    """Nothing can be accepted any more once its opening record is gone."""
    entries, _ = await store.list_all(OPEN)
    for entry in entries:
        id = GraphId(entry.key[len(OPEN) :])
        if now - wire.convert(entry.data, OpenRecord).at > OPEN_S:
            await give_up(store, id, Version(entry.version))


async def give_up(store: StateClient, id: GraphId, opened: Version) -> None:
    """In one transaction with a note of what is to be deleted, so that no end in between leaves
    anything behind."""
    key = records.open_key(id)
    note = transactions.put(records.stale_key(id, opened), {})
    await store.commit(
        [(key, opened)], [note, transactions.delete(key)], priority=transactions.BACKGROUND
    )
    log.info("graph_given_up", graph=id)


async def delete_stale(store: StateClient) -> None:
    """All that was given up."""
    notes, _ = await store.list_all(STALE)
    for note in notes:
        id, _, opened = note.key[len(STALE) :].rpartition(".")
        await delete_parts(store, GraphId(id), Version(int(opened)))


async def delete_parts(store: StateClient, id: GraphId, opened: Version) -> None:
    """What had come of one graph that was given up, and the note that says so last."""
    most = min(DELETED_AT_ONCE, store.strictest_limits.txn_ops)
    entries, _ = await store.list_all(f"{PART}{id}/{opened}/")
    for start in range(0, len(entries), most):
        gone = [transactions.delete(Key(entry.key)) for entry in entries[start : start + most]]
        await store.commit([], gone, priority=transactions.BACKGROUND, patience=5.0)
    note = transactions.delete(records.stale_key(id, opened))
    await store.commit([], [note], priority=transactions.BACKGROUND)
