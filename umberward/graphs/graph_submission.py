"""Accepts graphs that users send to a controller.

A graph that fits into one value is accepted by one transaction. A larger one is sent in parts. An
opening record is stored first, then the pieces and the head of each part; one last transaction puts
the live record and deletes the opening record. Only that transaction accepts the graph; afterwards
any leader runs it to its end. Two clients that send the same graph concurrently write the same
data, and either may stop at any point.
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
from umberward.graphs.errors import AbsentGraph, GraphRejectedError
from umberward.graphs.graph_reader import GraphReader
from umberward.graphs.model import GraphId, Part, Task, parse_graph_id
from umberward.graphs.records import (
    EndRecord,
    GraphRecord,
    IncompleteGraphError,
    OpeningRecord,
    PartRecord,
)
from umberward.graphs.store import abandon_submission, delete_parts, read_parts
from umberward.graphs.task_answers import Phase
from umberward.protocol import transactions, wire
from umberward.protocol.http import Response
from umberward.protocol.transactions import AbsentKey
from umberward.protocol.wire import MachineType
from umberward.scheduling.quota import Quota

# The name of the module that this code was split from: log lines keep their logger name.
log = logger("umberward.graphs.graph_api")

RETRY_AFTER_S = 1.0
MAX_ATTEMPTS = 6  # of an operation that may conflict with other writers
MAX_CONFLICT_DELAY_S = 0.05
MAX_WRITE_WAIT_S = 1.5  # maximum wait of a commit for this controller's write budget
RECORD_RESERVE_BYTES = 256  # for the fields that an end record adds to the graph's record
PIECE_TRANSACTION_BYTES = 40_000  # size of the pieces in one transaction

NO_SUCH_KEY = Version(0)  # in a commit condition: the key must not exist

_decode_part = wire.decoder(Part)


class _Submission(NamedTuple):
    """One received part; `data` is its encoded tasks, `digest` identifies the content."""

    graph_id: GraphId
    part: Part
    data: bytes
    digest: str


class GraphSubmission:
    """Checks and stores the parts of graphs.

    Its methods raise GraphRejectedError for requests that the user must change, and the errors of
    `StateClient`.
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
        """Create an object that has stored nothing yet.

        `machine_types` is shared with its owner and empty until the controller has read the machine
        types of the cluster. `wall` is this controller's wall clock. `poll` returns a response with
        the state of a known graph.
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
        """Store one part of a graph, and accept the graph if all its parts are stored."""
        try:
            submission = self._parse(body)
        except GraphRejectedError:
            # A repeated submission of an accepted graph gets its state, whatever the body contains.
            graph_id = parse_graph_id(wire.extract_uid(body))
            if graph_id is None or isinstance(
                await self._reader.read_record(graph_id), AbsentGraph
            ):
                raise
            return await self._poll(graph_id)
        for _ in range(MAX_ATTEMPTS):
            known = await self._reader.read_record(submission.graph_id)
            if not isinstance(known, AbsentGraph):
                return await self._answer_known(submission, known)
            if not self._machine_types:
                return Response(503, retry_after=RETRY_AFTER_S)
            try:
                return await self._accept(submission)
            except (state_client.CompareAndSwapError, state_client.UnknownOutcomeError):
                # Another client sends the same graph, or the outcome is unknown: read again what
                # is stored.
                await curio.sleep(self._rng.uniform(0.0, MAX_CONFLICT_DELAY_S))
        return Response(503, retry_after=RETRY_AFTER_S)

    def _parse(self, body: bytes) -> _Submission:
        """Decode and check the body of a request."""
        part = self._decode(body)
        graph_id = parse_graph_id(part.uid)
        if graph_id is None:
            raise GraphRejectedError(
                400, f"uid: expected graph-N with at most {model.GRAPH_DIGITS} digits"
            )
        data = records.encode_tasks(part.tasks)
        digest = records.digest(data, part.options, part.part, part.parts)
        return _Submission(graph_id, part, data, digest)

    def _decode(self, body: bytes) -> Part:
        """Decode a part and run the checks that do not need the other parts."""
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
        for problem in model.find_team_problems(part.options.team, [], self._quota):
            raise GraphRejectedError(422, problem.text)
        return part

    def _check_runnable(self, options: model.Options, tasks: list[Task]) -> None:
        """Raise GraphRejectedError for a graph that is malformed or can never run."""
        problems = model.find_problems(tasks, self._machine_types)
        problems = problems or model.find_team_problems(options.team, tasks, self._quota)[:1]
        if problems:
            status = 422 if all(problem.unrunnable for problem in problems) else 400
            more = f" (and {len(problems) - 1} more)" if len(problems) > 1 else ""
            raise GraphRejectedError(status, problems[0].text + more)

    async def _answer_known(
        self, submission: _Submission, known: GraphRecord | EndRecord
    ) -> Response:
        """Return the state of a known graph if the content is the same; reject other content."""
        graph_id, part, _, digest = submission
        graph = known.graph if isinstance(known, EndRecord) else known
        cancelled_while_incomplete = not graph.digests
        if not cancelled_while_incomplete and (
            part.parts != len(graph.digests) or graph.digests[part.part] != digest
        ):
            raise GraphRejectedError(409, f"{graph_id} was accepted with other content")
        return await self._poll(graph_id)

    async def _accept(self, submission: _Submission) -> Response:
        """Accept a graph as one record if it fits into a value, otherwise in parts."""
        part = submission.part
        if part.parts == 1 and await self._accept_as_one_record(submission):
            return _accepted_response(submission.graph_id, len(part.tasks))
        return await self._add_part(submission)

    async def _accept_as_one_record(self, submission: _Submission) -> bool:
        """Accept a graph with its content in the live record; False: too large for a value."""
        graph_id, part, data, digest = submission
        record = GraphRecord(
            part.options,
            round(self._wall(), 3),
            len(part.tasks),
            [digest],
            content=records.compress(data),
        )
        if not self._fits_into_value(record):
            return False
        self._check_runnable(part.options, part.tasks)
        put = transactions.put(records.live_key(graph_id), record)
        await self._commit(_not_accepted_conditions(graph_id), [put])
        return True

    def _fits_into_value(self, record: GraphRecord) -> bool:
        """Whether the record fits into a value, also later as part of the end record."""
        return wire.json_size(record) <= self._value_limit_bytes - RECORD_RESERVE_BYTES

    async def _add_part(self, submission: _Submission) -> Response:
        """Store one part; accept the graph if all its parts are stored by now."""
        graph_id, part, _, digest = submission
        opened = await self._open_submission(submission)
        stored_head = await self._store.get(records.head_key(graph_id, opened, part.part))
        if isinstance(stored_head, AbsentKey):
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
        return await self._accept_complete(submission, opened, parts)

    async def _accept_complete(
        self, submission: _Submission, opened: Version, parts: records.Parts
    ) -> Response:
        """Accept a graph whose parts are all stored; delete the parts if it is rejected."""
        graph_id, options = submission.graph_id, submission.part.options
        tasks = [task for _, part_tasks in parts for task in part_tasks]
        try:
            self._check_runnable(options, tasks)
        except GraphRejectedError:
            await self._delete_rejected(graph_id, opened)
            raise
        digests = [digest for digest, _ in parts]
        record = GraphRecord(options, round(self._wall(), 3), len(tasks), digests, opened)
        if not self._fits_into_value(record):
            await self._delete_rejected(graph_id, opened)
            raise GraphRejectedError(400, "the graph has too many parts for one record")
        conditions = [(records.open_key(graph_id), opened), *_not_accepted_conditions(graph_id)]
        writes = [
            transactions.put(records.live_key(graph_id), record),
            transactions.delete(records.open_key(graph_id)),
        ]
        await self._commit(conditions, writes)
        return _accepted_response(graph_id, len(tasks))

    async def _open_submission(self, submission: _Submission) -> Version:
        """Return the version of the opening record; create the record if there is none.

        All clients that send the graph store its parts under this version.
        """
        graph_id, part, _, _ = submission
        key = records.open_key(graph_id)
        entry = await self._store.get(key)
        if isinstance(entry, AbsentKey):
            record = OpeningRecord(round(self._wall(), 3), part.parts, part.options)
            conditions = [(key, NO_SUCH_KEY), *_not_accepted_conditions(graph_id)]
            await self._commit(conditions, [transactions.put(key, record)])
            entry = await self._store.get(key)
            if isinstance(entry, AbsentKey):
                raise state_client.CompareAndSwapError(key)
        opening = wire.convert(entry.data, OpeningRecord)
        if (opening.parts, opening.options) != (part.parts, part.options):
            raise GraphRejectedError(409, f"{graph_id}: other parts of it are on their way in")
        return entry.version

    async def _store_part(self, submission: _Submission, opened: Version) -> None:
        """Store the pieces of a part, then its head, which marks the part as complete."""
        graph_id, part, data, digest = submission
        pieces = records.pieces(records.compress(data), self._value_limit_bytes)
        # Clients that send the same content write the same values, so writing pieces needs no
        # condition on their keys.
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
        """Delete the stored parts of a rejected graph; if this fails, the leader does so later."""
        try:
            await abandon_submission(self._store, graph_id, opened)
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
        """Commit, waiting up to MAX_WRITE_WAIT_S for the write budget."""
        await self._store.commit(conditions, writes, budget_wait_s=MAX_WRITE_WAIT_S)


def _not_accepted_conditions(graph_id: GraphId) -> list[tuple[Key, Version]]:
    """Return the conditions that the graph has neither a live nor a past record."""
    return [
        (records.live_key(graph_id), NO_SUCH_KEY),
        (records.past_key(graph_id), NO_SUCH_KEY),
    ]


def _accepted_response(graph_id: GraphId, task_count: int) -> Response:
    """Log that a graph was accepted and return the response for the user."""
    log.info("graph_accepted", graph=graph_id, tasks=task_count)
    body = {"uid": graph_id, "phase": Phase.PENDING.value, "tasks": task_count}
    return Response(201, wire.encode(body))
