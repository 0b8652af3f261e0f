"""What users ask of any controller about graphs: send, poll, list tasks, cancel.

A graph that fits into one value is accepted by one transaction. A larger one comes in parts: an
opening record, the pieces of each part and a head for it, and at the end one transaction that puts
the live record and takes the opening record away. Before that nothing counts; afterwards any
leader finishes it. Two who send the same at once do the same steps, and either may end anywhere.
"""

from __future__ import annotations

import functools
import random
from collections import OrderedDict
from collections.abc import Callable
from typing import Any, NamedTuple

import curio
import msgspec

from umberward.clients import state_client
from umberward.clients.state_client import StateClient
from umberward.core.log import logger
from umberward.core.settings import Settings
from umberward.core.types import MAX_TASKS, MachineTypeName, Version, WallTime
from umberward.graphs import model, records
from umberward.graphs.model import GraphId, Part, Shape, Task, parse_graph_id
from umberward.graphs.records import (
    EndRecord,
    GraphRecord,
    IncompleteGraphError,
    OpenRecord,
    PartRecord,
    Progress,
)
from umberward.graphs.store import delete_parts, give_up, read_parts, read_progress, read_tasks
from umberward.protocol import transactions, wire
from umberward.protocol.http import Response
from umberward.protocol.wire import MachineType
from umberward.scheduling.quota import Quota

log = logger(__name__)

RETRY_S = 1.0
OUTAGE_RETRY_S = 2.0
TRIES = 6  # of a step that others may interfere with
PATIENCE_S = 1.5  # for our turn under the limits of writes
SHAPES_KEPT = 8
ENDS_KEPT = 200
PAGE_BYTES = wire.MAX_BODY_BYTES - 1024  # of tasks in one answer
RECORD_SPARE = 256
PIECES_AT_ONCE_BYTES = 40_000  # of one transaction

PENDING, RUNNING = "pending", "running"
NOT_RUN = "not_run"


class GraphRejectedError(Exception):
    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class StoredGraph(NamedTuple):
    """A graph as it stands in the state service."""

    graph: GraphRecord
    end: EndRecord | None
    progress: Progress


class GraphApi:
    def __init__(
        self,
        settings: Settings,
        store: StateClient,
        skus: dict[MachineTypeName, MachineType],
        wall: Callable[[], WallTime],
        rng: random.Random,
    ) -> None:
        self.store = store
        self.skus = skus
        self.wall = wall
        self.rng = rng
        cluster = settings.platform.cluster
        self.quota = Quota(cluster.teams)
        limits = cluster.state.strictest()
        self.value_limit = int(limits.value_kb * 1024)
        self.most = limits.txn_ops
        self.shapes: OrderedDict[GraphId, tuple[list[str], Shape]] = OrderedDict()
        self.ends: OrderedDict[GraphId, StoredGraph] = OrderedDict()  # what never changes any more

    async def serve(self, method: str, path: str, query: str, body: bytes) -> Response:
        """`path`: what follows /v1/graphs."""
        name, _, verb = path.strip("/").partition("/")
        calls: dict[tuple[str, bool, str], Callable[[], Any]] = {
            ("POST", False, ""): lambda: self.submit(body),
            ("GET", True, ""): lambda: self.poll(self._id(name)),
            ("GET", True, "tasks"): lambda: self.tasks(self._id(name), _from(query)),
            ("POST", True, "cancel"): lambda: self.cancel(self._id(name)),
        }
        call = calls.get((method, bool(name), verb))
        if call is None:
            known = any(key[1:] == (bool(name), verb) for key in calls)
            return Response(405 if known else 404)
        try:
            made: Response = await call()
            return made
        except GraphRejectedError as error:
            log.info("graph_refused", status=error.status, error=error)
            return Response(error.status, wire.encode({"error": str(error)}))
        except state_client.RateBudgetError as error:
            return Response(429, retry_after=max(RETRY_S, error.wait_s))
        except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
            log.info("graph_not_served", error=error)
            return Response(503, retry_after=OUTAGE_RETRY_S)

    @staticmethod
    def _id(name: str) -> GraphId:
        id = parse_graph_id(name)
        if id is None:
            raise GraphRejectedError(404, "no such graph")
        return id

    # ---- sending -----------------------------------------------------------------------

    async def submit(self, body: bytes) -> Response:
        part = self._part(body)
        id = parse_graph_id(part.uid)
        if id is None:
            raise GraphRejectedError(
                400, f"uid: expected graph-N with at most {model.GRAPH_DIGITS} digits"
            )
        data = records.pack(part.tasks)
        digest = records.digest(data, part.options, part.part, part.parts)
        for _ in range(TRIES):
            found = await self._record(id)
            if found is not None:
                return await self._again(id, found, part, digest)
            if not self.skus:
                return Response(503, retry_after=RETRY_S)
            try:
                if part.parts == 1 and await self._accept_whole(id, part, data, digest):
                    return self._accepted(id, len(part.tasks))
                return await self._accept_part(id, part, data, digest)
            except (state_client.CompareAndSwapError, state_client.UnknownOutcomeError):
                # Somebody else sends it too, or the outcome is unknown: what stands there decides.
                await curio.sleep(self.rng.uniform(0.0, 0.05))
        return Response(503, retry_after=RETRY_S)

    def _part(self, body: bytes) -> Part:
        try:
            part: Part = _decode_part(body)
        except (msgspec.DecodeError, RecursionError, ValueError) as error:
            raise GraphRejectedError(400, str(error)) from None
        if part.part >= part.parts:
            raise GraphRejectedError(
                400, f"part: {part.part} of {part.parts} parts, counted from 0"
            )
        if part.options.due_s is not None and part.options.due_s != part.options.due_s:
            raise GraphRejectedError(400, "options.due_s: not a number")
        for problem in model.team_problems(part.options.team, [], self.quota):
            raise GraphRejectedError(422, problem.text)
        return part

    def _check(self, options: model.Options, tasks: list[Task]) -> None:
        """Raises Refused for a graph that can never run."""
        found = model.problems(tasks, self.skus)
        found = found or model.team_problems(options.team, tasks, self.quota)[:1]
        if found:
            status = 422 if all(problem.never for problem in found) else 400
            more = f" (and {len(found) - 1} more)" if len(found) > 1 else ""
            raise GraphRejectedError(status, found[0].text + more)

    async def _again(
        self, id: GraphId, found: GraphRecord | EndRecord, part: Part, digest: str
    ) -> Response:
        """It is known already: the same gets its state, anything else is refused."""
        graph = found.graph if isinstance(found, EndRecord) else found
        if not graph.digests:
            return await self.poll(id)  # cancelled before all of it had come
        if part.parts != len(graph.digests) or graph.digests[part.part] != digest:
            raise GraphRejectedError(409, f"{id} was accepted with other content")
        return await self.poll(id)

    async def _accept_whole(self, id: GraphId, part: Part, data: bytes, digest: str) -> bool:
        """In one value; False if it is too large for that."""
        record = GraphRecord(
            part.options,
            round(self.wall(), 3),
            len(part.tasks),
            [digest],
            content=records.compress(data),
        )
        # Its end is stored with the same content.
        if wire.json_size(record) > self.value_limit - RECORD_SPARE:
            return False
        self._check(part.options, part.tasks)
        conditions = [(records.live_key(id), Version(0)), (records.past_key(id), Version(0))]
        put = transactions.put(records.live_key(id), record)
        await self.store.commit(conditions, [put], patience=PATIENCE_S)
        return True

    async def _accept_part(self, id: GraphId, part: Part, data: bytes, digest: str) -> Response:
        opened = await self._open(id, part)
        head = records.head_key(id, opened, part.part)
        there = await self.store.get(head)
        if there is None:
            await self._store_part(id, opened, part, data, digest)
        elif wire.convert(there.data, PartRecord).digest != digest:
            raise GraphRejectedError(409, f"{id}: part {part.part} has come with other content")
        try:
            parts = await read_parts(self.store, id, opened, part.parts)
        except IncompleteGraphError:
            body = {"uid": id, "phase": "incomplete", "part": part.part, "parts": part.parts}
            return Response(202, wire.encode(body))
        tasks = [task for _, tasks in parts for task in tasks]
        try:
            self._check(part.options, tasks)
        except GraphRejectedError:
            await self._drop(id, opened)
            raise
        digests = [digest for digest, _ in parts]
        record = GraphRecord(part.options, round(self.wall(), 3), len(tasks), digests, opened)
        if wire.json_size(record) > self.value_limit - RECORD_SPARE:
            await self._drop(id, opened)
            raise GraphRejectedError(400, "the graph has too many parts for one record")
        conditions = [
            (records.open_key(id), opened),
            (records.live_key(id), Version(0)),
            (records.past_key(id), Version(0)),
        ]
        writes = [
            transactions.put(records.live_key(id), record),
            transactions.delete(records.open_key(id)),
        ]
        await self.store.commit(conditions, writes, patience=PATIENCE_S)
        return self._accepted(id, len(tasks))

    async def _open(self, id: GraphId, part: Part) -> Version:
        """The version of the opening record, under which all who send the graph store it."""
        key = records.open_key(id)
        found = await self.store.get(key)
        if found is None:
            record = OpenRecord(round(self.wall(), 3), part.parts, part.options)
            conditions = [(key, Version(0)), (records.live_key(id), Version(0))]
            await self.store.commit(
                [*conditions, (records.past_key(id), Version(0))],
                [transactions.put(key, record)],
                patience=PATIENCE_S,
            )
            found = await self.store.get(key)
            if found is None:
                raise state_client.CompareAndSwapError(key)
        there = wire.convert(found.data, OpenRecord)
        if (there.parts, there.options) != (part.parts, part.options):
            raise GraphRejectedError(409, f"{id}: other parts of it are on their way in")
        return found.version

    async def _store_part(
        self, id: GraphId, opened: Version, part: Part, data: bytes, digest: str
    ) -> None:
        pieces = records.pieces(records.compress(data), self.value_limit)
        keys = [
            records.piece_key(id, opened, part.part, digest, number)
            for number in range(len(pieces))
        ]
        still = [(records.open_key(id), opened)]
        # Whoever sends the same content writes the same values.
        at_once = max(1, min(self.most, PIECES_AT_ONCE_BYTES // self.value_limit))
        for start in range(0, len(pieces), at_once):
            some = slice(start, start + at_once)
            writes = [
                transactions.put(*pair) for pair in zip(keys[some], pieces[some], strict=True)
            ]
            await self.store.commit(still, writes, patience=PATIENCE_S)
        head = records.head_key(id, opened, part.part)
        put = transactions.put(head, PartRecord(digest, len(pieces)))
        await self.store.commit([*still, (head, Version(0))], [put], patience=PATIENCE_S)

    async def _drop(self, id: GraphId, opened: Version) -> None:
        """Refused: nothing of it stays. The leader finishes what we cannot."""
        try:
            await give_up(self.store, id, opened)
            await delete_parts(self.store, id, opened)
        except (
            state_client.StateUnavailableError,
            state_client.UnknownOutcomeError,
            state_client.CompareAndSwapError,
        ) as error:
            log.debug("graph_not_deleted", graph=id, error=error)

    @staticmethod
    def _accepted(id: GraphId, tasks: int) -> Response:
        log.info("graph_accepted", graph=id, tasks=tasks)
        return Response(201, wire.encode({"uid": id, "phase": PENDING, "tasks": tasks}))

    # ---- reading -----------------------------------------------------------------------

    async def poll(self, id: GraphId) -> Response:
        found = await self._find(id)
        return Response(200, wire.encode(await self._state(id, found)))

    async def tasks(self, id: GraphId, start: int) -> Response:
        """The answers of as many tasks as fit, in the graph's topological order."""
        found = await self._find(id)
        shape = await self._shape(id, found.graph)
        states = GraphResponses(shape, found)
        listed: list[dict[str, Any]] = []
        size = 0
        for position in range(start, len(shape)):
            kind, number = shape.place[position]
            entry = {"name": shape.names[position], "task": f"{model.job_id(id, kind)}/{number}"}
            entry |= states.answer(position)
            size += len(wire.encode(entry))
            if listed and size > PAGE_BYTES:
                break
            listed.append(entry)
        more = start + len(listed) < len(shape)
        return Response(200, wire.encode({"uid": id, "tasks": listed, "more": more}))

    async def cancel(self, id: GraphId) -> Response:
        for _ in range(TRIES):
            found = await self.store.get(records.live_key(id))
            if found is None:
                if await self._cancel_half(id):
                    continue
                return await self.poll(id)  # over, or 404
            record = wire.convert(found.data, GraphRecord)
            end = EndRecord(records.CANCELLED, record, round(self.wall(), 3))
            writes = [
                transactions.put(records.past_key(id), end),
                transactions.delete(records.live_key(id)),
            ]
            try:
                await self.store.commit(
                    [(records.live_key(id), found.version)], writes, priority=transactions.URGENT
                )
            except (state_client.CompareAndSwapError, state_client.UnknownOutcomeError):
                continue  # its last task may have been done meanwhile
            log.info("graph_cancelled", graph=id)
            return await self.poll(id)
        return Response(503, retry_after=RETRY_S)

    async def _cancel_half(self, id: GraphId) -> bool:
        """A graph of which not all has come: what comes later finds it cancelled. False: there is
        none, or it has moved on."""
        there = await self.store.get(records.open_key(id))
        if there is None:
            return False
        opened = wire.convert(there.data, OpenRecord)
        record = GraphRecord(opened.options, opened.at, 0, [], there.version)
        end = EndRecord(records.CANCELLED, record, round(self.wall(), 3))
        writes = [
            transactions.put(records.past_key(id), end),
            transactions.delete(records.open_key(id)),
        ]
        note = transactions.put(records.stale_key(id, there.version), {})
        together = len(writes) < self.most
        try:
            await self.store.commit(
                [(records.open_key(id), there.version)],
                [*writes, note] if together else writes,
                priority=transactions.URGENT,
            )
            if not together:
                await self.store.commit([], [note])
        except (state_client.CompareAndSwapError, state_client.UnknownOutcomeError):
            return True  # what stands there now decides
        return False

    async def _state(self, id: GraphId, found: StoredGraph) -> dict[str, Any]:
        total = found.graph.tasks
        end = found.end
        body: dict[str, Any] = {"uid": id, "tasks": total}
        if end is not None and end.phase != records.CANCELLED:
            counts = {"done": end.done, "failed": end.failed, NOT_RUN: end.not_run}
            return body | {"phase": end.phase} | counts
        failed = sum(len(some) for some in found.progress.failed.values())
        over = sum(
            run.done_below + int(run.done_bitmap, 16).bit_count()
            for run, _ in found.progress.runs.values()
        )
        not_run = 0
        if failed:
            # What hangs on a failed task is stored as over, or will be.
            answers = GraphResponses(await self._shape(id, found.graph), found)
            not_run, over = len(answers.because), answers.done + failed + len(answers.because)
        counts = {"done": over - failed - not_run, "failed": failed, NOT_RUN: not_run}
        if end is not None:
            return body | {"phase": end.phase} | counts | {"cancelled": total - over}
        started = any(run.placed_below for run, _ in found.progress.runs.values())
        return body | {"phase": RUNNING if started else PENDING} | counts

    async def _record(self, id: GraphId) -> GraphRecord | EndRecord | None:
        """It moves from live to past at once: so live is looked at first."""
        if id in self.ends:
            return self.ends[id].end
        found = await self.store.get(records.live_key(id))
        if found is not None:
            return wire.convert(found.data, GraphRecord)
        found = await self.store.get(records.past_key(id))
        if found is not None:
            return wire.convert(found.data, EndRecord)
        return None

    async def _find(self, id: GraphId) -> StoredGraph:
        """Raises Refused (404)."""
        if id in self.ends:
            return self.ends[id]
        # Progress comes first: while the live record stands, what was read before is not too old,
        # and once it is gone the progress does not change.
        progress = await read_progress(self.store, id)
        record = await self._record(id)
        if record is None:
            raise GraphRejectedError(404, "no such graph")
        if isinstance(record, GraphRecord):
            return StoredGraph(record, None, progress)
        # The last of it may have been stored after it was read.
        found = StoredGraph(record.graph, record, await read_progress(self.store, id))
        self.ends[id] = found
        while len(self.ends) > ENDS_KEPT:
            self.ends.popitem(last=False)
        return found

    async def _shape(self, id: GraphId, record: GraphRecord) -> Shape:
        known = self.shapes.get(id)
        if known is not None and known[0] == record.digests:
            return known[1]
        try:
            shape = Shape(await read_tasks(self.store, id, record))
        except (IncompleteGraphError, ValueError, wire.MalformedMessageError) as error:
            log.error("graph_malformed", graph=id, error=error)
            raise state_client.StateUnavailableError(str(error)) from None
        self.shapes[id] = (record.digests, shape)
        while len(self.shapes) > SHAPES_KEPT:
            self.shapes.popitem(last=False)
        return shape


class GraphResponses:
    """Each task's answer, from what is stored. A final one never changes."""

    def __init__(self, shape: Shape, found: StoredGraph) -> None:
        self.shape = shape
        self.found = found
        self.failures = {
            shape.members[kind][failure.number]: failure
            for kind, failures in found.progress.failed.items()
            for failure in failures
        }
        self.because: dict[int, int] = {}  # position of what will not run -> the failed task
        for position in sorted(self.failures):
            shape.spread(position, self.because)
        self.bits = {
            kind: (run.done_below, int(run.done_bitmap, 16))
            for kind, (run, _) in found.progress.runs.items()
        }

    @functools.cached_property
    def done(self) -> int:
        return sum(
            1
            for position in range(len(self.shape))
            if self._over(position)
            and position not in self.failures
            and position not in self.because
        )

    def answer(self, position: int) -> dict[str, Any]:
        if position in self.failures:
            failure = self.failures[position]
            return {"phase": "failed", "cause": failure.cause, "machines": failure.machines}
        if position in self.because:
            return {"phase": NOT_RUN, "because": self.shape.names[self.because[position]]}
        if self._over(position):
            return {"phase": "done"}
        end = self.found.end
        if end is None:
            return {"phase": PENDING}
        if end.phase == records.CANCELLED:
            return {"phase": "cancelled"}
        # One failed, and the graph's user has asked to go no further then.
        return {"phase": NOT_RUN, "because": self.shape.names[min(self.failures)]}

    def _over(self, position: int) -> bool:
        kind, number = self.shape.place[position]
        base, bits = self.bits.get(kind, (0, 0))
        return number < base or bool(bits >> (number - base) & 1)


_decode_part = wire.decoder(Part)


def _from(query: str) -> int:
    name, _, value = query.partition("=")
    if not query:
        return 0
    if name != "from" or not value.isdecimal() or int(value) > MAX_TASKS:
        raise GraphRejectedError(400, "expected from=NUMBER")
    return int(value)
