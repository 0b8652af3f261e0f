"""Reads graphs from the state service and deletes submissions that never became a graph.

All functions raise the errors of `StateClient` if the service is unavailable.
"""

from __future__ import annotations

from umberward.clients.state_client import StateClient, StateUnavailableError
from umberward.core.log import logger
from umberward.core.types import Key, Version
from umberward.graphs import records
from umberward.graphs.model import GraphId, Task
from umberward.graphs.records import (
    OPEN_PREFIX,
    PART_PREFIX,
    STALE_PREFIX,
    GraphRecord,
    OpeningRecord,
    Parts,
    Progress,
)
from umberward.protocol import transactions, wire

log = logger(__name__)

# A submission with parts still missing after this time is abandoned: its user has given up too.
MAX_SUBMISSION_S = 180.0
MAX_PROGRESS_LISTINGS = 5
PROGRESS_CHANGES = "the progress of the graph changes while it is read"
MAX_DELETIONS_PER_TRANSACTION = 8
MAX_DELETE_WAIT_S = 5.0  # maximum wait of a commit for the write budget


async def read_tasks(store: StateClient, graph_id: GraphId, record: GraphRecord) -> list[Task]:
    """Return the tasks of an accepted graph.

    Raises IncompleteGraphError, ValueError and MalformedMessageError for missing or malformed
    content.
    """
    if not record.opened:
        return records.decode_tasks(records.decompress(record.content))
    parts = await read_parts(store, graph_id, record.opened, len(record.digests))
    return records.join_parts(graph_id, record, parts)


async def read_parts(store: StateClient, graph_id: GraphId, opened: int, count: int) -> Parts:
    """Return the digest and the tasks of each of `count` parts stored under version `opened`.

    Raises IncompleteGraphError, ValueError and MalformedMessageError.
    """
    prefix = f"{PART_PREFIX}{graph_id}/{opened}/"
    entries, _ = await store.list_all(prefix)
    values = {entry.key[len(prefix) :]: entry.data for entry in entries}
    return records.assemble_parts(graph_id, values, count)


async def read_progress(store: StateClient, graph_id: GraphId) -> Progress:
    """Return the stored progress of a graph's arrays at one moment.

    The pages of a listing are read one after another. A task that will not run would be read as
    done if the failure of another array were stored between two pages, so a listing that has
    changed meanwhile is repeated. Raises MalformedMessageError, and StateUnavailableError if the
    progress changes during every listing.
    """
    for _ in range(MAX_PROGRESS_LISTINGS):
        entries, revision = await store.list_all(f"{records.RUN_PREFIX}{graph_id}/")
        if all(entry.version <= revision for entry in entries):
            return records.progress(graph_id, entries)
    raise StateUnavailableError(PROGRESS_CHANGES)


async def abandon_old_submissions(store: StateClient, now: float) -> None:
    """Abandon submissions that were opened more than MAX_SUBMISSION_S before `now`.

    The opening time is on the wall clock of the controller that wrote the record, `now` on that of
    the leader, in seconds. Once its opening record is deleted, a submission cannot be accepted.
    """
    entries, _ = await store.list_all(OPEN_PREFIX)
    for entry in entries:
        graph_id = GraphId(entry.key[len(OPEN_PREFIX) :])
        if now - wire.convert(entry.data, OpeningRecord).at > MAX_SUBMISSION_S:
            await abandon_submission(store, graph_id, Version(entry.version))


async def abandon_submission(store: StateClient, graph_id: GraphId, opened: Version) -> None:
    """Delete the opening record with version `opened`.

    The same transaction stores a note that marks the parts for deletion, so that nothing is left
    behind if the process stops before it has deleted them.
    """
    key = records.open_key(graph_id)
    note = transactions.put(records.stale_key(graph_id, opened), {})
    await store.commit(
        [(key, opened)], [note, transactions.delete(key)], priority=transactions.BACKGROUND
    )
    log.info("graph_submission_abandoned", graph=graph_id)


async def delete_abandoned_parts(store: StateClient) -> None:
    """Delete the parts of all abandoned submissions."""
    notes, _ = await store.list_all(STALE_PREFIX)
    for note in notes:
        graph_id, _, opened = note.key[len(STALE_PREFIX) :].rpartition(".")
        await delete_parts(store, GraphId(graph_id), Version(int(opened)))


async def delete_parts(store: StateClient, graph_id: GraphId, opened: Version) -> None:
    """Delete the stored parts of an abandoned submission, then the note that marks them."""
    batch_size = min(MAX_DELETIONS_PER_TRANSACTION, store.strictest_limits.txn_ops)
    entries, _ = await store.list_all(f"{PART_PREFIX}{graph_id}/{opened}/")
    deletions = [transactions.delete(Key(entry.key)) for entry in entries]
    for start in range(0, len(deletions), batch_size):
        await store.commit(
            [],
            deletions[start : start + batch_size],
            priority=transactions.BACKGROUND,
            budget_wait_s=MAX_DELETE_WAIT_S,
        )
    note_deletion = transactions.delete(records.stale_key(graph_id, opened))
    await store.commit([], [note_deletion], priority=transactions.BACKGROUND)
