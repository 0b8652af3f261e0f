"""Accepts graphs that users send to a controller.

A graph that fits into one value is accepted by one transaction. A larger one comes in parts: an
opening record, the pieces of each part and a head for it, and at the end one transaction that puts
the live record and deletes the opening record. Before that nothing counts; afterwards any leader
runs the graph to its end. Two clients that send the same graph at once take the same steps, and
either may stop at any point.
"""

from __future__ import annotations

import math
import random
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import curio
import msgspec

from umberward.clients import state_client
from umberward.core.log import logger
from umberward.core.settings import Settings
from umberward.core.types import Key, MachineTypeName, Version, WallTime
from umberward.graphs import model, records
from umberward.graphs.errors import GraphRejectedError
from umberward.graphs.graph_reader import GraphReader
from umberward.graphs.model import GraphId, Part, Task, parse_graph_id
from umberward.graphs.records import (
    EndRecord,
    GraphRecord,
    IncompleteGraphError,
    OpenRecord,
    PartRecord,
)
from umberward.graphs.store import delete_parts, give_up, read_parts
from umberward.graphs.task_answers import Phase
from umberward.protocol import transactions, wire
from umberward.protocol.http import Response
from umberward.protocol.wire import MachineType
from umberward.scheduling.quota import Quota

# Split from `graph_api`; the logger name is part of the log lines, which stay as they were.
log = logger("umberward.graphs.graph_api")

RETRY_AFTER_S = 1.0
MAX_ATTEMPTS = 6  # of a step that other writers may interfere with
MAX_CONFLICT_PAUSE_S = 0.05
WRITE_PATIENCE_S = 1.5  # longest wait for this controller's turn under the write limits
RECORD_RESERVE_BYTES = 256  # an end record holds the graph's record and some fields more
PIECE_TRANSACTION_BYTES = 40_000  # of pieces in one transaction

NO_SUCH_KEY = Version(0)  # as a condition: the key must not exist

_decode_part = wire.decoder(Part)


class _Submission(NamedTuple):
    """One received part of a graph; `data` is its packed tasks, `digest` identifies its content."""

    graph_id: GraphId
    part: Part
    data: bytes
    digest: str


class GraphSubmission:
    """Checks and stores the parts of graphs.

    Its methods raise GraphRejectedError for what the user must change, and what `StateClient`
    raises.
    """

    def __init__(
        self,
        settings: Settings,
        reader: GraphReader,
        machine_types: dict[MachineTypeName, MachineType],
        wall: Callable[[], WallTime],
        rng: random.Random,
        poll: Callable[[GraphId], Awaitable[Response]],
    ) -> None:
        """Create an acceptor that has stored nothing.

        `machine_types` is shared with its owner and empty until the controller knows the cluster.
        `wall` is this controller's clock. `poll` answers with the state of a known graph.
        """
        self._store = reader.store
        self._reader = reader
        self._machine_types = machine_types
        self._wall = wall
        self._rng = rng
        self._poll = poll
        cluster = settings.platform.cluster
        self._quota = Quota(cluster.teams)
        limits = cluster.state.strictest()
        self._value_limit_bytes = int(limits.value_kb * 1024)
        self._max_transaction_writes = limits.txn_ops

    async def submit(self, body: bytes) -> Response:
        """Store one part of a graph, and accept the graph if that was the last one missing."""
        submission = self._parse(body)
        for _ in range(MAX_ATTEMPTS):
            known = await self._reader.record(submission.graph_id)
            if known is not None:
                return await self._answer_known(submission, known)
            if not self._machine_types:
                return Response(503, retry_after=RETRY_AFTER_S)
            try:
                return await self._accept(submission)
            except (state_client.CompareAndSwapError, state_client.UnknownOutcomeError):
                # Another client sends the same graph, or the outcome is unknown: what is stored
                # now decides.
                await curio.sleep(self._rng.uniform(0.0, MAX_CONFLICT_PAUSE_S))
        return Response(503, retry_after=RETRY_AFTER_S)

    def _parse(self, body: bytes) -> _Submission:
        """Decode and check a request's body."""
        part = self._decode(body)
        graph_id = parse_graph_id(part.uid)
        if graph_id is None:
            raise GraphRejectedError(
                400, f"uid: expected graph-N with at most {model.GRAPH_DIGITS} digits"
            )
        data = records.pack(part.tasks)
        digest = records.digest(data, part.options, part.part, part.parts)
        return _Submission(graph_id, part, data, digest)

    def _decode(self, body: bytes) -> Part:
        """Decode a part and check what can be checked without the other parts."""
        try:
            part: Part = _decode_part(body)
        except (msgspec.DecodeError, RecursionError, ValueError) as error:
            raise GraphRejectedError(400, str(error)) from None
        if part.part >= part.parts:
            raise GraphRejectedError(
                400, f"part: {part.part} of {part.parts} parts, counted from 0"
            )
        if part.options.due_s is not None and math.isnan(part.options.due_s):
            raise GraphRejectedError(400, "options.due_s: not a number")
        for problem in model.team_problems(part.options.team, [], self._quota):
            raise GraphRejectedError(422, problem.text)
        return part

    def _check_runnable(self, options: model.Options, tasks: list[Task]) -> None:
        """Raise GraphRejectedError for a graph that can never run."""
        problems = model.problems(tasks, self._machine_types)
        problems = problems or model.team_problems(options.team, tasks, self._quota)[:1]
        if problems:
            status = 422 if all(problem.never for problem in problems) else 400
            more = f" (and {len(problems) - 1} more)" if len(problems) > 1 else ""
            raise GraphRejectedError(status, problems[0].text + more)

    async def _answer_known(
        self, submission: _Submission, known: GraphRecord | EndRecord
    ) -> Response:
        """Answer with the state of a known graph if this is the same content; refuse other."""
        graph_id, part, _, digest = submission
        graph = known.graph if isinstance(known, EndRecord) else known
        cancelled_while_incomplete = not graph.digests
        if not cancelled_while_incomplete and (
            part.parts != len(graph.digests) or graph.digests[part.part] != digest
        ):
            raise GraphRejectedError(409, f"{graph_id} was accepted with other content")
        return await self._poll(graph_id)

    async def _accept(self, submission: _Submission) -> Response:
        """Accept a graph in one value if it fits, and otherwise in parts."""
        part = submission.part
        if part.parts == 1 and await self._accept_whole(submission):
            return _accepted(submission.graph_id, len(part.tasks))
        return await self._accept_part(submission)

    async def _accept_whole(self, submission: _Submission) -> bool:
        """Accept a graph with all its content in its record; False: too large for one value."""
        graph_id, part, data, digest = submission
        record = GraphRecord(
            part.options,
            round(self._wall(), 3),
            len(part.tasks),
            [digest],
            content=records.compress(data),
        )
        if not self._fits(record):
            return False
        self._check_runnable(part.options, part.tasks)
        put = transactions.put(records.live_key(graph_id), record)
        await self._commit(_not_accepted(graph_id), [put])
        return True

    def _fits(self, record: GraphRecord) -> bool:
        """Whether the record fits into one value, also later as part of its end record."""
        return wire.json_size(record) <= self._value_limit_bytes - RECORD_RESERVE_BYTES

    async def _accept_part(self, submission: _Submission) -> Response:
        """Store one part; accept the graph if all its parts are stored now."""
        graph_id, part, _, digest = submission
        opened = await self._open(submission)
        stored_head = await self._store.get(records.head_key(graph_id, opened, part.part))
        if stored_head is None:
            await self._store_part(submission, opened)
        elif wire.convert(stored_head.data, PartRecord).digest != digest:
            raise GraphRejectedError(
                409, f"{graph_id}: part {part.part} has come with other content"
            )
        try:
            parts = await read_parts(self._store, graph_id, opened, part.parts)
        except IncompleteGraphError:
            body = {"uid": graph_id, "phase": "incomplete", "part": part.part, "parts": part.parts}
            return Response(202, wire.encode(body))
        return await self._accept_parts(submission, opened, parts)

    async def _accept_parts(
        self, submission: _Submission, opened: Version, parts: records.Parts
    ) -> Response:
        """Accept a graph of which all parts are stored; delete them if it is rejected."""
        graph_id, options = submission.graph_id, submission.part.options
        tasks = [task for _, part_tasks in parts for task in part_tasks]
        try:
            self._check_runnable(options, tasks)
        except GraphRejectedError:
            await self._delete_rejected(graph_id, opened)
            raise
        digests = [digest for digest, _ in parts]
        record = GraphRecord(options, round(self._wall(), 3), len(tasks), digests, opened)
        if not self._fits(record):
            await self._delete_rejected(graph_id, opened)
            raise GraphRejectedError(400, "the graph has too many parts for one record")
        conditions = [(records.open_key(graph_id), opened), *_not_accepted(graph_id)]
        writes = [
            transactions.put(records.live_key(graph_id), record),
            transactions.delete(records.open_key(graph_id)),
        ]
        await self._commit(conditions, writes)
        return _accepted(graph_id, len(tasks))

    async def _open(self, submission: _Submission) -> Version:
        """Return the version of the opening record; write the record if there is none.

        All clients that send the graph store its parts under this version.
        """
        graph_id, part, _, _ = submission
        key = records.open_key(graph_id)
        entry = await self._store.get(key)
        if entry is None:
            record = OpenRecord(round(self._wall(), 3), part.parts, part.options)
            conditions = [(key, NO_SUCH_KEY), *_not_accepted(graph_id)]
            await self._commit(conditions, [transactions.put(key, record)])
            entry = await self._store.get(key)
            if entry is None:
                raise state_client.CompareAndSwapError(key)
        opening = wire.convert(entry.data, OpenRecord)
        if (opening.parts, opening.options) != (part.parts, part.options):
            raise GraphRejectedError(409, f"{graph_id}: other parts of it are on their way in")
        return entry.version

    async def _store_part(self, submission: _Submission, opened: Version) -> None:
        """Store the pieces of a part, and then its head, which makes the part count."""
        graph_id, part, data, digest = submission
        pieces = records.pieces(records.compress(data), self._value_limit_bytes)
        # Clients that send the same content write the same values, so pieces need no condition
        # on their own keys.
        still_open = [(records.open_key(graph_id), opened)]
        writes = [
            transactions.put(records.piece_key(graph_id, opened, part.part, digest, number), piece)
            for number, piece in enumerate(pieces)
        ]
        pieces_by_size = PIECE_TRANSACTION_BYTES // self._value_limit_bytes
        batch_size = max(1, min(self._max_transaction_writes, pieces_by_size))
        for start in range(0, len(writes), batch_size):
            await self._commit(still_open, writes[start : start + batch_size])
        head_key = records.head_key(graph_id, opened, part.part)
        head = transactions.put(head_key, PartRecord(digest, len(pieces)))
        await self._commit([*still_open, (head_key, NO_SUCH_KEY)], [head])

    async def _delete_rejected(self, graph_id: GraphId, opened: Version) -> None:
        """Delete all that is stored of a rejected graph; the leader deletes what this cannot."""
        try:
            await give_up(self._store, graph_id, opened)
            await delete_parts(self._store, graph_id, opened)
        except (
            state_client.StateUnavailableError,
            state_client.UnknownOutcomeError,
            state_client.CompareAndSwapError,
        ) as error:
            log.debug("graph_not_deleted", graph=graph_id, error=error)

    async def _commit(
        self, conditions: list[tuple[Key, Version]], writes: list[dict[str, Any]]
    ) -> None:
        """Commit with this module's patience."""
        await self._store.commit(conditions, writes, patience=WRITE_PATIENCE_S)


def _not_accepted(graph_id: GraphId) -> list[tuple[Key, Version]]:
    """The conditions under which the graph is neither live nor past."""
    return [
        (records.live_key(graph_id), NO_SUCH_KEY),
        (records.past_key(graph_id), NO_SUCH_KEY),
    ]


def _accepted(graph_id: GraphId, task_count: int) -> Response:
    """Log that a graph was accepted, and return the answer to its user."""
    log.info("graph_accepted", graph=graph_id, tasks=task_count)
    body = {"uid": graph_id, "phase": Phase.PENDING.value, "tasks": task_count}
    return Response(201, wire.encode(body))
