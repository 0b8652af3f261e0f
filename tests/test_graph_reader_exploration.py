"""No order of reads and commits lets a controller forget a graph or derive a wrong final answer.

Every order of the steps of two reads and of the leader's commits is run, on the code of
`GraphReader` itself, with one entry in each page of a listing.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from typing import Any

import pytest
from explored_job_states import ExploredStore, canonical
from explorer import Choice, Task, Wait, explore

from umberward.clients.state_client import ListResult, StateClient, StateUnavailableError
from umberward.core.types import Revision
from umberward.graphs import records
from umberward.graphs.errors import AbsentGraph, GraphRejectedError
from umberward.graphs.graph_reader import GraphReader, StoredGraph
from umberward.graphs.model import GraphId, Options, Shape
from umberward.graphs.model import Task as GraphTask
from umberward.graphs.records import (
    ArrayProgressRecord,
    EndRecord,
    Failure,
    FailurePageRecord,
    GraphRecord,
)
from umberward.graphs.task_answers import Phase, TaskAnswers
from umberward.local.statecore import StateCore
from umberward.protocol import wire
from umberward.protocol.transactions import VersionedValue

GRAPH = GraphId("graph-1")
# The task that fails is of the first array, so that its record is read before that of the other.
TASKS = [GraphTask("scan"), GraphTask("report", ["scan"], num_cpus=2.0)]
LIVE = GraphRecord(Options(team="red"), 1.0, len(TASKS), [])
FINISHED = ArrayProgressRecord(done_bitmap="1", placed_below=1)


def _accept(core: StateCore) -> None:
    core.commit([], [{"write": records.live_key(GRAPH), "data": wire.to_builtins(LIVE)}])


def _place(core: StateCore) -> None:
    for kind in range(len(TASKS)):  # as if other tasks of both arrays had been placed
        run = wire.to_builtins(ArrayProgressRecord(placed_below=1))
        core.commit([], [{"write": records.run_key(GRAPH, kind), "data": run}])


def _store_failure(core: StateCore) -> None:
    page = FailurePageRecord([Failure(0, "error", [])])
    run = ArrayProgressRecord(placed_below=1, done_bitmap="1", pages=1)
    core.commit(
        [],
        [
            {"write": records.run_key(GRAPH, 0), "data": wire.to_builtins(run)},
            {"write": records.page_key(GRAPH, 0, 0), "data": wire.to_builtins(page)},
        ],
    )


def _store_dependent(core: StateCore) -> None:
    core.commit([], [{"write": records.run_key(GRAPH, 1), "data": wire.to_builtins(FINISHED)}])


def _end(core: StateCore) -> None:
    end = EndRecord(records.FAILED, LIVE, 2.0, 0, 1, 1)
    core.commit(
        [],
        [
            {"write": records.past_key(GRAPH), "data": wire.to_builtins(end)},
            {"delete": records.live_key(GRAPH)},
        ],
    )


COMMITS = (_accept, _place, _store_failure, _store_dependent, _end)


class GraphReaderWorld:
    """Two users who read the graph, one after the other, while the leader commits."""

    page_entries = 1

    def __init__(self, commits: tuple[Callable[[StateCore], None], ...] = COMMITS) -> None:
        self.commits = commits
        self.core = StateCore()
        self.broken: list[str] = []
        self.done_commits = 0
        self.told: dict[str, str] = {}  # final phases of tasks
        self.reader = GraphReader(ExploredStore(self))  # type: ignore[arg-type]
        self.shape = Shape(TASKS)
        self.tasks = [Task(f"user {number}", self._read()) for number in range(2)]
        # Readers have only the ended graphs in common, so the second one reads after the first.
        self.tasks[1].wait = Wait(lambda: self.tasks[0].wait is None)
        self.current = self.tasks[0]

    def close(self) -> None:
        for task in self.tasks:
            task.coroutine.close()

    def failures_left(self) -> bool:
        return False

    def failed(self) -> None:
        raise NotImplementedError

    def steps(self) -> list[Choice]:
        if self.done_commits == len(self.commits):
            return []
        return [Choice(self.commits[self.done_commits].__name__, self._commit)]

    def _commit(self) -> None:
        self.commits[self.done_commits](self.core)
        self.done_commits += 1

    async def _read(self) -> None:
        accepted, ended = self.done_commits >= 1, self.done_commits == len(self.commits)
        self.current.observed.append((accepted, ended, canonical(self.told)))
        told = dict(self.told)
        try:
            stored = await self.reader.find(GRAPH)
        except GraphRejectedError:
            if accepted:
                self.broken.append("forgotten")
            return
        except StateUnavailableError:
            return  # the user asks again
        if ended and stored.end is None:
            self.broken.append("went back: the graph")
        self._check_tasks(stored, told)

    def _check_tasks(self, stored: StoredGraph, told: dict[str, str]) -> None:
        answers = TaskAnswers(self.shape, stored)
        for position, name in enumerate(self.shape.names):
            phase = str(answers.answer(position)["phase"])
            if phase == records.DONE:
                self.broken.append(f"not done: {name}")
            if name in told and phase != told[name]:
                self.broken.append(f"went back: {name}: {told[name]}, then {phase}")
            if phase in (records.FAILED, Phase.NOT_RUN):
                self.told[name] = phase

    def fingerprint(self) -> Hashable:
        return (
            self.done_commits,
            canonical(self.told),
            canonical(self.reader._ended_graphs),
            tuple(self._task_fingerprint(task) for task in self.tasks),
        )

    @staticmethod
    def _task_fingerprint(task: Task) -> Hashable:
        if task.wait is None:
            return None
        frames = [(frame.f_code.co_name, frame.f_lasti) for frame in task.frames()]
        return (tuple(frames), tuple(task.observed))


def test_no_order_forgets_a_graph_or_calls_a_task_done_that_never_ran() -> None:
    found = explore(GraphReaderWorld)
    print(f"{found.states} states, {found.runs} runs")
    assert found.broken is None, found.schedule


def test_some_order_fails_if_the_failure_is_stored_after_the_tasks_that_need_it() -> None:
    commits = (_accept, _place, _store_dependent, _store_failure, _end)
    assert explore(lambda: GraphReaderWorld(commits)).broken == "not done: report"


def test_some_order_fails_if_the_pages_of_a_listing_are_read_at_different_moments(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def list_all(self: Any, prefix: str) -> ListResult:
        found = await StateClient.list_all(self, prefix)
        return ListResult(found.entries, Revision(1 << 40))

    monkeypatch.setattr(ExploredStore, "list_all", list_all)
    assert explore(GraphReaderWorld).broken == "not done: report"


def test_some_order_fails_if_the_past_record_is_read_first(monkeypatch: pytest.MonkeyPatch) -> None:
    async def read_record(
        self: GraphReader, graph_id: GraphId
    ) -> GraphRecord | EndRecord | AbsentGraph:
        past = await self.store.get(records.past_key(graph_id))
        if isinstance(past, VersionedValue):
            return wire.convert(past.data, EndRecord)
        live = await self.store.get(records.live_key(graph_id))
        if isinstance(live, VersionedValue):
            return wire.convert(live.data, GraphRecord)
        return AbsentGraph(live, past)

    monkeypatch.setattr(GraphReader, "read_record", read_record)
    assert explore(GraphReaderWorld).broken == "forgotten"
