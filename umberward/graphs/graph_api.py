"""HTTP API for graphs on any controller: submit, poll, list tasks, cancel."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from umberward.clients import state_client
from umberward.clients.state_client import StateClient
from umberward.core.log import logger
from umberward.core.settings import Settings
from umberward.core.types import MAX_TASKS_PER_JOB, MachineTypeName, WallTime
from umberward.graphs import model, records
from umberward.graphs.errors import GraphRejectedError, InvalidGraphNameError
from umberward.graphs.graph_reader import GraphReader, StoredGraph
from umberward.graphs.graph_submission import MAX_ATTEMPTS, RETRY_AFTER_S, GraphSubmission
from umberward.graphs.model import GraphId, parse_graph_id
from umberward.graphs.records import EndRecord, GraphRecord, OpeningRecord
from umberward.graphs.task_answers import Phase, TaskAnswers
from umberward.protocol import transactions, wire
from umberward.protocol.http import Response
from umberward.protocol.transactions import AbsentKey
from umberward.protocol.wire import MachineType

log = logger(__name__)

OUTAGE_RETRY_AFTER_S = 2.0  # Retry-After while the state service is unavailable
MAX_TASK_LIST_BYTES = wire.MAX_BODY_BYTES - 1024  # size of the tasks listed in one response


class _Request(NamedTuple):
    """The parts of a request that handlers use; `name` is the graph's name in the path."""

    name: str
    query: str
    body: bytes


class _Route(NamedTuple):
    """The key that selects a handler; `action` is the path after the graph's name."""

    method: str
    names_graph: bool
    action: str


class GraphApi:
    """Serves the paths below /v1/graphs of one controller."""

    def __init__(
        self,
        settings: Settings,
        store: StateClient,
        machine_types: dict[MachineTypeName, MachineType],
        wall: Callable[[], WallTime],
        rng: random.Random,
    ) -> None:
        """Create an API with empty caches.

        `machine_types` is shared with its owner and empty until the controller has read the machine
        types of the cluster. `wall` is this controller's wall clock. `rng` randomizes the delay
        before a conflicting submission is retried.
        """
        self._store = store
        self._wall = wall
        self._max_transaction_writes = settings.platform.cluster.state.strictest().txn_ops
        self._reader = GraphReader(store)
        self._submission = GraphSubmission(
            settings, self._reader, machine_types, wall, rng, self.poll
        )
        self._handlers: dict[_Route, Callable[[_Request], Awaitable[Response]]] = {
            _Route("POST", names_graph=False, action=""): self._serve_submit,
            _Route("GET", names_graph=True, action=""): self._serve_poll,
            _Route("GET", names_graph=True, action="tasks"): self._serve_tasks,
            _Route("POST", names_graph=True, action="cancel"): self._serve_cancel,
        }

    async def serve(self, method: str, path: str, query: str, body: bytes) -> Response:
        """Serve one request; `path` is the part after /v1/graphs."""
        name, _, action = path.strip("/").partition("/")
        route = _Route(method, bool(name), action)
        handler = self._handlers.get(route)
        if handler is None:
            path_is_known = any(known[1:] == route[1:] for known in self._handlers)
            return Response(405 if path_is_known else 404)
        try:
            return await handler(_Request(name, query, body))
        except GraphRejectedError as error:
            log.info("graph_refused", status=error.status, error=error)
            return Response(error.status, wire.encode({"error": str(error)}))
        except state_client.RateBudgetExceededError as error:
            return Response(429, retry_after=max(RETRY_AFTER_S, error.wait_s))
        except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
            log.info("graph_not_served", error=error)
            return Response(503, retry_after=OUTAGE_RETRY_AFTER_S)

    async def _serve_submit(self, request: _Request) -> Response:
        return await self._submission.submit(request.body)

    async def _serve_poll(self, request: _Request) -> Response:
        return await self.poll(_parse_name(request.name))

    async def _serve_tasks(self, request: _Request) -> Response:
        graph_id = _parse_name(request.name)
        return await self.tasks(graph_id, _parse_start(request.query))

    async def _serve_cancel(self, request: _Request) -> Response:
        return await self.cancel(_parse_name(request.name))

    async def poll(self, graph_id: GraphId) -> Response:
        """Return a response with the graph's phase and the number of tasks in each state.

        Raises GraphRejectedError (404) and the errors of `StateClient`.
        """
        stored = await self._reader.find(graph_id)
        return Response(200, wire.encode(await self._summarize(graph_id, stored)))

    async def tasks(self, graph_id: GraphId, start: int) -> Response:
        """Return a response that lists the tasks from position `start` in topological order.

        It lists as many tasks as fit into one body, and at least one. Raises GraphRejectedError
        (404) and the errors of `StateClient`.
        """
        stored = await self._reader.find(graph_id)
        shape = await self._reader.shape(graph_id, stored.graph)
        answers = TaskAnswers(shape, stored)
        listed: list[dict[str, Any]] = []
        size_bytes = 0
        for position in range(start, len(shape)):
            kind, index = shape.array_slots[position]
            task = f"{model.job_id(graph_id, kind)}/{index}"
            entry = {"name": shape.names[position], "task": task} | answers.answer(position)
            size_bytes += wire.json_size(entry) + 1  # with the comma
            if listed and size_bytes > MAX_TASK_LIST_BYTES:
                break
            listed.append(entry)
        more = start + len(listed) < len(shape)
        return Response(200, wire.encode({"uid": graph_id, "tasks": listed, "more": more}))

    async def cancel(self, graph_id: GraphId) -> Response:
        """Cancel a graph unless it has ended, and return a response with its state.

        Raises GraphRejectedError (404) and the errors of `StateClient` except conflicts.
        """
        for _ in range(MAX_ATTEMPTS):
            entry = await self._store.get(records.live_key(graph_id))
            if isinstance(entry, AbsentKey):
                if await self._cancel_incomplete(graph_id):
                    continue
                stored = await self._reader.find(graph_id)
                if stored.end is None:
                    continue  # its last part has been accepted since the live record was read
                return Response(200, wire.encode(await self._summarize(graph_id, stored)))
            record = wire.convert(entry.data, GraphRecord)
            end = EndRecord(records.CANCELLED, record, round(self._wall(), 3))
            writes = [
                transactions.put(records.past_key(graph_id), end),
                transactions.delete(records.live_key(graph_id)),
            ]
            conditions = [(records.live_key(graph_id), entry.version)]
            try:
                await self._store.commit(conditions, writes, priority=transactions.URGENT)
            except (state_client.CompareAndSwapError, state_client.UnknownOutcomeError):
                continue  # the graph may have ended in the meantime
            log.info("graph_cancelled", graph=graph_id)
            return await self.poll(graph_id)
        return Response(503, retry_after=RETRY_AFTER_S)

    async def _cancel_incomplete(self, graph_id: GraphId) -> bool:
        """Cancel a graph with missing parts; later parts are then answered with that phase.

        Returns True if another writer may have changed it, so that the caller must read it again;
        False if it was cancelled or nothing of it is stored.
        """
        entry = await self._store.get(records.open_key(graph_id))
        if isinstance(entry, AbsentKey):
            return False
        opening = wire.convert(entry.data, OpeningRecord)
        record = GraphRecord(opening.options, opening.at, 0, [], entry.version)
        end = EndRecord(records.CANCELLED, record, round(self._wall(), 3))
        conditions = [(records.open_key(graph_id), entry.version)]
        writes = [
            transactions.put(records.past_key(graph_id), end),
            transactions.delete(records.open_key(graph_id)),
        ]
        # The note that marks the stored parts for deletion is part of the same transaction, unless
        # the limit on writes per transaction is too low.
        note = transactions.put(records.stale_key(graph_id, entry.version), {})
        fits = len(writes) < self._max_transaction_writes
        if fits:
            writes.append(note)
        try:
            await self._store.commit(conditions, writes, priority=transactions.URGENT)
            if not fits:
                await self._store.commit([], [note])
        except (state_client.CompareAndSwapError, state_client.UnknownOutcomeError):
            return True
        return False

    async def _summarize(self, graph_id: GraphId, stored: StoredGraph) -> dict[str, Any]:
        """Build the body of a poll response."""
        end = stored.end
        total = stored.graph.tasks
        body: dict[str, Any] = {"uid": graph_id, "tasks": total}
        if end is not None and end.phase != records.CANCELLED:
            return body | {"phase": end.phase} | _counts(end.done, end.failed, end.not_run)
        runs = [run for run, _ in stored.progress.runs.values()]
        failed = sum(len(failures) for failures in stored.progress.failed.values())
        finished = sum(run.done_below + int(run.done_bitmap, 16).bit_count() for run in runs)
        not_run = 0
        if failed:
            # Tasks that need a failed one may not be stored as finished yet; they count already.
            answers = TaskAnswers(await self._reader.shape(graph_id, stored.graph), stored)
            not_run = len(answers.because)
            finished = answers.done + failed + not_run
        counts = _counts(finished - failed - not_run, failed, not_run)
        if end is not None:
            return body | {"phase": end.phase} | counts | {"cancelled": total - finished}
        started = any(run.placed_below for run in runs)
        phase = Phase.RUNNING if started else Phase.PENDING
        return body | {"phase": phase.value} | counts


def _counts(done: int, failed: int, not_run: int) -> dict[str, Any]:
    """Return the task counts of a poll response."""
    return {"done": done, "failed": failed, Phase.NOT_RUN.value: not_run}


def _parse_name(name: str) -> GraphId:
    """Return the graph id in a request's path; raise GraphRejectedError (404) if it is invalid."""
    graph_id = parse_graph_id(name)
    if graph_id is None:
        raise InvalidGraphNameError
    return graph_id


def _parse_start(query: str) -> int:
    """Return the first position to list: NUMBER of `from=NUMBER`, or 0 without a query."""
    name, _, value = query.partition("=")
    if not query:
        return 0
    if name != "from" or not value.isdecimal() or int(value) > MAX_TASKS_PER_JOB:
        raise GraphRejectedError(400, "expected from=NUMBER")
    return int(value)
