"""Requests for graphs that overlap with their acceptance, and malformed repeats of submissions."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import msgspec
import pytest
from simulated_graphs import SimulatedGraphCluster

from umberward.core.types import Key, Revision
from umberward.graphs import files
from umberward.graphs.model import Options, Part, Task
from umberward.graphs.records import CANCELLED
from umberward.protocol import wire
from umberward.protocol.http import Response
from umberward.protocol.transactions import AbsentKey, VersionedValue

GRAPH, OPTIONS = "graph-1", Options(team="red")
TASKS = [Task("a", []), Task("b", ["a"])]
MAX_REQUESTS = 9  # more than a cancellation sends to the state service


class InterruptedStore:
    """A client of the state service that does something else before its request `number`."""

    def __init__(self, store: Any, number: int, action: Callable[[], Awaitable[None]]) -> None:
        self._store = store
        self._remaining = number
        self._action = action

    def __getattr__(self, name: str) -> Any:
        return getattr(self._store, name)

    async def get(self, key: Key, **more: Any) -> VersionedValue | AbsentKey:
        await self._count()
        found: VersionedValue | AbsentKey = await self._store.get(key, **more)
        return found

    async def commit(self, conditions: Any, writes: Any, **more: Any) -> Revision:
        await self._count()
        revision: Revision = await self._store.commit(conditions, writes, **more)
        return revision

    async def _count(self) -> None:
        self._remaining -= 1
        if self._remaining == -1:
            await self._action()


def phase(response: Response) -> str:
    assert response.status in (200, 201), response
    found: str = msgspec.msgpack.decode(response.body)["phase"]
    return found


@pytest.mark.parametrize("number", range(MAX_REQUESTS))
def test_cancellation_that_overlaps_with_the_acceptance_is_not_answered_as_live(
    number: int,
) -> None:
    """The last part is accepted before one of the requests that the cancellation sends."""
    cluster = SimulatedGraphCluster()
    first, last = cluster.split(GRAPH, OPTIONS, TASKS, 2)
    assert cluster.ask("POST", "", first).status == 202

    async def accept() -> None:
        await cluster.new_graph_api().serve("POST", "", "", wire.encode(last))

    api = cluster.new_graph_api()
    interrupted = InterruptedStore(cluster.store, number, accept)
    api._store = api._reader.store = interrupted  # type: ignore[assignment]
    assert phase(curio.run(api.serve, "POST", f"/{GRAPH}/cancel", "", b"")) == CANCELLED
    assert phase(cluster.ask("GET", f"/{GRAPH}")) == CANCELLED
    assert phase(cluster.ask("POST", "", last)) == CANCELLED


MALFORMED: dict[str, dict[str, Any]] = {
    "field of another type": {"tasks": 7},
    "part out of range": {"part": 3},
    "not a number": {"options": {"team": "red", "due_s": float("nan")}},
    "unknown team": {"options": {"team": "green"}},
}


def malformed_body(what: str, graph: str = GRAPH) -> dict[str, Any]:
    body: dict[str, Any] = wire.to_builtins(Part(graph, OPTIONS, TASKS, 0, 1))
    return body | MALFORMED[what]


@pytest.mark.parametrize("what", MALFORMED)
@pytest.mark.parametrize("cancelled", [False, True])
def test_malformed_repeat_of_an_accepted_graph_gets_its_state(what: str, cancelled: bool) -> None:
    cluster = SimulatedGraphCluster()
    assert cluster.send(GRAPH, OPTIONS, TASKS).status == 201
    if cancelled:
        assert phase(cluster.ask("POST", f"/{GRAPH}/cancel")) == CANCELLED
    repeated = cluster.ask("POST", "", malformed_body(what))
    assert phase(repeated) == (CANCELLED if cancelled else "pending")
    without_zeros = cluster.ask("POST", "", malformed_body(what, "graph-01"))
    assert phase(without_zeros) == phase(repeated)


@pytest.mark.parametrize("what", MALFORMED)
def test_malformed_submission_of_an_unknown_or_incomplete_graph_is_refused(what: str) -> None:
    cluster = SimulatedGraphCluster()
    refused = 422 if what == "unknown team" else 400
    assert cluster.ask("POST", "", malformed_body(what)).status == refused
    assert cluster.ask("POST", "", cluster.split(GRAPH, OPTIONS, TASKS, 2)[0]).status == 202
    assert cluster.ask("POST", "", malformed_body(what)).status == refused


@pytest.mark.parametrize("what", MALFORMED)
def test_malformed_repeat_is_not_refused_while_the_graph_cannot_be_read(what: str) -> None:
    cluster = SimulatedGraphCluster()
    assert cluster.send(GRAPH, OPTIONS, TASKS).status == 201
    cluster.store.mode = "down"
    assert cluster.ask("POST", "", malformed_body(what)).status == 503


def test_each_page_of_tasks_is_below_the_limit_in_json() -> None:
    cluster = SimulatedGraphCluster()
    tasks = [Task(f"t{number}", []) for number in range(3000)]
    for part in files.split_graph(GRAPH, files.File(OPTIONS, tasks)):
        assert cluster.ask("POST", "", part).status in (201, 202)
    listed: list[str] = []
    more = True
    while more:
        page = cluster.ask("GET", f"/{GRAPH}/tasks?from={len(listed)}")
        answer = msgspec.msgpack.decode(page.body)
        assert wire.json_size(answer) <= wire.MAX_BODY_BYTES
        listed += [entry["name"] for entry in answer["tasks"]]
        more = answer["more"]
    assert listed == [task.name for task in tasks]


def test_each_part_of_a_graph_is_below_the_limit_in_json() -> None:
    tasks = [Task(f"t{number}", []) for number in range(9000)]
    parts = files.split_graph(GRAPH, files.File(OPTIONS, tasks))
    assert len(parts) > 1
    assert all(wire.json_size(part) <= wire.MAX_BODY_BYTES for part in parts)
    assert sum(len(part.tasks) for part in parts) == len(tasks)
