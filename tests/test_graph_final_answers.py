"""A final answer about a task of a graph is proved by the records that are stored at that moment.

The answers are derived after every transaction, and the leader may end between any two.
"""

from __future__ import annotations

from typing import Any

import curio
import hypothesis
import pytest
from hypothesis import strategies
from simulated_graphs import FINAL, SimulatedGraphCluster
from test_graphs import REPEATABLE, GraphScenarioPlayer, graphs

from umberward.clients.state_client import ListResult, StateUnavailableError
from umberward.core.types import Revision
from umberward.graphs import records
from umberward.graphs.graph_reader import StoredGraph
from umberward.graphs.model import GraphId, Options, Task
from umberward.graphs.records import ArrayProgressRecord, EndRecord
from umberward.graphs.store import MAX_PROGRESS_LISTINGS, read_progress
from umberward.graphs.task_answers import TaskAnswers
from umberward.protocol import wire

GRAPH = GraphId("graph-1")


class AnswersAfterEachWrite:
    """Checks the answers after each transaction, and ends the leader after some of them."""

    def __init__(self, cluster: SimulatedGraphCluster, ends_after: set[int]) -> None:
        """`ends_after`: the numbers of the transactions after which the leader ends."""
        self.cluster = cluster
        self.ends_after = ends_after
        self.transactions = 0
        self.leading = False  # not while a new leader reads what is stored
        cluster.store.on_applied = self._check

    def _check(self) -> None:
        if self.leading:
            self.transactions += 1
            if self.transactions in self.ends_after:
                self.cluster.store.mode = "down"  # the rest of this step is not stored
        stored = self._stored_graph()
        if stored is None:
            return
        answers = TaskAnswers(self.cluster.shapes[GRAPH], stored)
        phase = stored.end.phase if stored.end else "running"
        for position, name in enumerate(self.cluster.shapes[GRAPH].names):
            answer = answers.answer(position)
            self.cluster._check_task_phase(GRAPH, name, str(answer["phase"]), phase)

    def _stored_graph(self) -> StoredGraph | None:
        core = self.cluster.store.core
        end = core.keys.get(records.past_key(GRAPH))
        live = core.keys.get(records.live_key(GRAPH))
        progress = records.progress(GRAPH, core.entries(f"{records.RUN_PREFIX}{GRAPH}/").entries)
        if end is not None:
            record = wire.convert(end.data, EndRecord)
            return StoredGraph(record.graph, record, progress)
        if live is None:
            return None
        return StoredGraph(wire.convert(live.data, records.GraphRecord), None, progress)

    def run(self, seconds: int) -> None:
        for _ in range(seconds * 5):
            self.leading = True
            self.cluster.run(0.2)
            self.leading = False
            if self.cluster.store.mode == "down":
                self.cluster.crash()
                self.cluster.store.mode = "ok"
                self.cluster.takeover()
            if self.cluster.told_phase.get(GRAPH) in FINAL:
                return


def _play(tasks: list[Task], failing: set[str], on_failure: Any, ends_after: set[int]) -> list[str]:
    """Run a graph to its end; return the rules that were broken."""
    player = GraphScenarioPlayer()
    cluster = player.cluster
    for number in range(4):
        player.do_machine(f"m{number}", "small", "a" if number % 2 else "b")
    player.do_lead()
    cluster.run(2)
    cluster.know(GRAPH, tasks, 1.0)
    cluster.failing = {(GRAPH, name) for name in failing}
    cluster.send(GRAPH, Options(team="red", on_failure=on_failure), tasks)
    answers = AnswersAfterEachWrite(cluster, ends_after)
    for _ in range(20):
        answers.run(10)
        cluster.tell_all()
        if cluster.told_phase.get(GRAPH) in FINAL:
            break
    else:
        cluster.broken.append("the graph has not ended")
    # What was done and not stored when the leader ended is done once more, as of any job.
    return [text for text in cluster.broken if "again after it was done" not in text]


SCANS, FAILING_SCANS = 246, (3, 40, 81, 120, 160, 201)


def _scans_and_reports() -> list[Task]:
    """Tasks of one kind, some of which fail, and one of a kind of its own for each of these."""
    return [
        *(Task(f"t{number}", max_retries=0) for number in range(SCANS)),
        *(
            Task(f"report{number}", [f"t{number}"], num_cpus=2.0 + place / 4)
            for place, number in enumerate(FAILING_SCANS)
        ),
    ]


@pytest.mark.parametrize("ends_after", [set(), *({number} for number in range(2, 12))])
def test_task_that_needs_a_failed_one_is_never_done(ends_after: set[int]) -> None:
    failing = {f"t{number}" for number in FAILING_SCANS}
    assert _play(_scans_and_reports(), failing, "go_on", ends_after) == []


@hypothesis.settings(REPEATABLE, max_examples=150)
@hypothesis.given(
    tasks=graphs(),
    failing=strategies.sets(strategies.integers(0, 13), min_size=1, max_size=3),
    on_failure=strategies.sampled_from(["go_on", "cancel_rest"]),
    ends_after=strategies.sets(strategies.integers(1, 20), max_size=3),
)
def test_each_final_answer_is_proved_whenever_the_leader_ends(
    tasks: list[Task], failing: set[int], on_failure: Any, ends_after: set[int]
) -> None:
    names = {f"t{number}" for number in failing}
    assert _play(tasks, names, on_failure, ends_after) == []


class ListingsThatChange:
    """A state service whose first `changed` listings were read across a change."""

    def __init__(self, changed: int) -> None:
        self.changed = changed

    async def list_all(self, prefix: str) -> ListResult:
        self.changed -= 1
        version = 8 if self.changed >= 0 else 7
        data = wire.to_builtins(ArrayProgressRecord(done_bitmap="1"))
        return ListResult([wire.KeyValue(f"{prefix}0", data, version, None)], Revision(7))  # type: ignore[arg-type]


@pytest.mark.parametrize("changed", range(MAX_PROGRESS_LISTINGS))
def test_progress_that_changes_between_two_pages_is_read_again(changed: int) -> None:
    store: Any = ListingsThatChange(changed)
    progress = curio.run(read_progress, store, GRAPH)
    assert store.changed == -1 and progress.runs[0][1] == 7


def test_progress_that_changes_during_each_listing_is_not_answered() -> None:
    store: Any = ListingsThatChange(MAX_PROGRESS_LISTINGS)
    with pytest.raises(StateUnavailableError):
        curio.run(read_progress, store, GRAPH)
