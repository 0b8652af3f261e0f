"""Graphs in the state service: reading what is stored, deleting what never became a graph.

All functions raise what `StateClient` raises when the service does not answer.
"""

from __future__ import annotations

from umberward.clients.state_client import StateClient
from umberward.core.log import logger
from umberward.core.types import Key, Version
from umberward.graphs import records
from umberward.graphs.model import GraphId, Task
from umberward.graphs.records import OPEN, PART, STALE, GraphRecord, OpenRecord, Parts, Progress
from umberward.protocol import transactions, wire

log = logger(__name__)

# A submission with parts still missing after this time is given up, as its user has given up too.
MAX_SUBMISSION_S = 180.0
MAX_DELETIONS_PER_TRANSACTION = 8
DELETE_PATIENCE_S = 5.0  # longest wait for a turn under the write limits


async def read_tasks(store: StateClient, graph_id: GraphId, record: GraphRecord) -> list[Task]:
    """Return the tasks of an accepted graph.

    Raises IncompleteGraphError, ValueError and MalformedMessageError for content that is missing
    or broken.
    """
    if not record.opened:
        return records.unpack(records.decompress(record.content))
    parts = await read_parts(store, graph_id, record.opened, len(record.digests))
    return records.joined(graph_id, record, parts)


async def read_parts(store: StateClient, graph_id: GraphId, opened: int, count: int) -> Parts:
    """Return the digest and the tasks of each of `count` parts stored under version `opened`.

    Raises IncompleteGraphError, ValueError and MalformedMessageError.
    """
    prefix = f"{PART}{graph_id}/{opened}/"
    entries, _ = await store.list_all(prefix)
    values = {entry.key[len(prefix) :]: entry.data for entry in entries}
    return records.parts_of(graph_id, values, count)


async def read_progress(store: StateClient, graph_id: GraphId) -> Progress:
    """Return the stored progress of a graph's arrays; raise MalformedMessageError."""
    entries, _ = await store.list_all(f"{records.RUN}{graph_id}/")
    return records.progress(graph_id, entries)


async def give_up_old(store: StateClient, now: float) -> None:
    """Give up submissions that were opened too long before `now`, in seconds of the wall clock.

    The opening time is that of the controller which wrote the record, `now` the leader's. Nothing
    of a submission can be accepted any more once its opening record is deleted.
    """
    entries, _ = await store.list_all(OPEN)
    for entry in entries:
        graph_id = GraphId(entry.key[len(OPEN) :])
        if now - wire.convert(entry.data, OpenRecord).at > MAX_SUBMISSION_S:
            await give_up(store, graph_id, Version(entry.version))


async def give_up(store: StateClient, graph_id: GraphId, opened: Version) -> None:
    """Delete the opening record with version `opened`.

    The same transaction stores a note that the parts are to be deleted, so that a process which
    stops in between leaves nothing behind.
    """
    key = records.open_key(graph_id)
    note = transactions.put(records.stale_key(graph_id, opened), {})
    await store.commit(
        [(key, opened)], [note, transactions.delete(key)], priority=transactions.BACKGROUND
    )
    log.info("graph_given_up", graph=graph_id)


async def delete_stale(store: StateClient) -> None:
    """Delete the parts of all submissions that were given up."""
    notes, _ = await store.list_all(STALE)
    for note in notes:
        graph_id, _, opened = note.key[len(STALE) :].rpartition(".")
        await delete_parts(store, GraphId(graph_id), Version(int(opened)))


async def delete_parts(store: StateClient, graph_id: GraphId, opened: Version) -> None:
    """Delete the stored parts of a submission that was given up, and last the note that says so."""
    batch_size = min(MAX_DELETIONS_PER_TRANSACTION, store.strictest_limits.txn_ops)
    entries, _ = await store.list_all(f"{PART}{graph_id}/{opened}/")
    deletions = [transactions.delete(Key(entry.key)) for entry in entries]
    for start in range(0, len(deletions), batch_size):
        await store.commit(
            [],
            deletions[start : start + batch_size],
            priority=transactions.BACKGROUND,
            patience=DELETE_PATIENCE_S,
        )
    note_deletion = transactions.delete(records.stale_key(graph_id, opened))
    await store.commit([], [note_deletion], priority=transactions.BACKGROUND)
