"""A simulated cluster with task graphs.

Records the phase of each task that users are told and checks it against what the workers did.
"""

from __future__ import annotations

import random
from typing import Any

import curio
import msgspec
from cluster_settings import MACHINE_TYPES
from simulated_cluster import SimulatedCluster, Worker
from traffic_recorder import record_message

from umberward.clients import state_client
from umberward.core.types import Key, TeamName, Version, WallTime
from umberward.graphs import records, store
from umberward.graphs.graph_api import GraphApi
from umberward.graphs.graph_state import GraphState
from umberward.graphs.model import GraphId, Options, Part, Shape, Task, job_id
from umberward.graphs.records import GraphRecord
from umberward.graphs.remaining_tasks import read_remaining_tasks
from umberward.graphs.store import read_progress, read_tasks
from umberward.local.workercore import TaskOutcome
from umberward.protocol import wire
from umberward.protocol.http import Response

FINAL = ("done", "failed", "not_run", "cancelled")


class SimulatedGraphCluster(SimulatedCluster):
    def __init__(self, raw: dict[str, Any] | None = None) -> None:
        super().__init__(raw)
        self.store.strictest_limits = self.settings.platform.cluster.state.strictest()  # type: ignore[attr-defined]
        self.graph_state: GraphState | None = None
        self.seen_graph_revision = 0
        self.shapes: dict[str, Shape] = {}
        self.arrays: dict[str, tuple[str, int]] = {}  # job id of an array -> graph, kind
        self.failing: set[tuple[str, str]] = set()  # graph, task: fails on every machine
        self.runs: dict[str, float] = {}
        self.completed_tasks: dict[str, set[str]] = {}  # graph -> tasks that were completed
        self.start_counts: dict[tuple[str, str], int] = {}
        self.told_task_phases: dict[tuple[str, str], str] = {}  # graph, task -> phase
        self.told_phase: dict[str, str] = {}

    # ---- users -------------------------------------------------------------------------

    def new_graph_api(self) -> GraphApi:
        """The API of any controller, with empty caches."""
        wall = lambda: WallTime(self.now)  # noqa: E731
        return GraphApi(self.settings, self.store, MACHINE_TYPES, wall, random.Random(3))  # type: ignore[arg-type]

    def ask(self, method: str, path: str, body: Any = b"") -> Response:
        data = body if isinstance(body, bytes) else wire.encode(body)
        path, _, query = path.partition("?")
        response: Response = curio.run(self.new_graph_api().serve, method, path, query, data)
        request = (method, path, query, data)
        record_message(
            "user of graphs",
            *request,
            response.status,
            response.body,
            response.retry_after,
            self.now,
        )
        return response

    def know(self, id: str, tasks: list[Task], runs: float = 3.0) -> None:
        """Register a graph's tasks, so that workers can describe and run them."""
        if id in self.shapes:
            return
        try:
            shape = Shape(tasks)
        except ValueError:
            return  # an invalid graph, which will be rejected
        self.shapes[id] = shape
        self.runs[id] = runs
        self.completed_tasks[id] = set()
        for kind in range(len(shape.kinds)):
            name = job_id(GraphId(id), kind)
            spec = shape.spec(GraphId(id), Options(team="red"), kind)
            self.specs[name] = {
                **wire.to_builtins(spec),
                "same_place": False,
                "apart": False,
                "reclaimable": False,
                "_runs": runs,
            }
            self.arrays[name] = (id, kind)

    def send(self, id: str, options: Options, tasks: list[Task], parts: int = 1) -> Response:
        for part in self.split(id, options, tasks, parts):
            response = self.ask("POST", "", part)
            if response.status not in (200, 201, 202):
                break
        return response

    @staticmethod
    def split(id: str, options: Options, tasks: list[Task], parts: int) -> list[Part]:
        size = -(-len(tasks) // parts)
        return [Part(id, options, tasks[n * size : (n + 1) * size], n, parts) for n in range(parts)]

    def tell_all(self) -> None:
        """Poll all graphs and tasks; a final phase must not differ from an earlier one."""
        for id in self.shapes:
            response = self.ask("GET", f"/{id}")
            if response.status == 503:
                continue
            if response.status == 404:
                if id in self.told_phase:
                    self.broken.append(f"forgotten: {id}")
                continue
            phase = msgspec.msgpack.decode(response.body)["phase"]
            if self.told_phase.get(id, phase) != phase and self.told_phase[id] in FINAL:
                self.broken.append(f"went_back: {id} was {self.told_phase[id]}, is {phase}")
            self.told_phase[id] = phase
            for name, answer in self.answers(id).items():
                self._check_task_phase(id, name, answer["phase"], phase)

    def answers(self, id: str) -> dict[str, dict[str, Any]]:
        found: dict[str, dict[str, Any]] = {}
        while True:
            response = self.ask("GET", f"/{id}/tasks?from={len(found)}")
            assert response.status == 200, response.status
            page = msgspec.msgpack.decode(response.body)
            found.update((task["name"], task) for task in page["tasks"])
            if not page["more"]:
                return found

    def _check_task_phase(self, id: str, name: str, phase: str, graph_phase: str) -> None:
        before = self.told_task_phases.get((id, name))
        if before in FINAL and phase != before:
            self.broken.append(f"two answers: {id} {name} was {before}, is {phase}")
        self.told_task_phases[(id, name)] = phase
        if phase == "done" and name not in self.completed_tasks[id]:
            self.broken.append(f"not_done: {id} {name}")
        if phase == "not_run" and name in self.completed_tasks[id] and graph_phase != "cancelled":
            self.broken.append(f"ran all the same: {id} {name}")
        if graph_phase in FINAL and phase not in FINAL:
            self.broken.append(f"no answer: {id} is {graph_phase}, {name} is {phase}")

    # ---- controllers -------------------------------------------------------------------

    def load_jobs(self) -> None:
        assert self.scheduler is not None
        self.graph_state = GraphState(self.scheduler)
        for key, entry in list(self.store.keys.items()):
            if key.startswith(records.LIVE_PREFIX):
                self._admit_graph(key, entry.data, entry.version)
        self.seen_graph_revision = self.store.revision
        self._count_remaining_tasks()
        super().load_jobs()

    def _count_remaining_tasks(self) -> None:
        """Count what tasks of graphs that ended early may still use, as the leader loop does."""
        assert self.scheduler is not None
        scheduler = self.scheduler

        async def read() -> None:
            for key, entry in list(self.store.keys.items()):
                if not key.startswith(records.PAST_PREFIX):
                    continue
                graph_id = GraphId(key[len(records.PAST_PREFIX) :])
                end = wire.convert(entry.data, records.EndRecord)
                if scheduler.quota.has_limit(TeamName(end.graph.options.team)):
                    for array in await read_remaining_tasks(self.store, graph_id, end):  # type: ignore[arg-type]
                        scheduler.add_cancelled_job(array.job_id, array.tasks)

        curio.run(read)

    def _admit_graph(self, key: str, data: Any, stamp: int) -> None:
        async def read() -> None:
            id = GraphId(key[len(records.LIVE_PREFIX) :])
            record = wire.convert(data, GraphRecord)
            tasks = await read_tasks(self.store, id, record)  # type: ignore[arg-type]
            progress = await read_progress(self.store, id)  # type: ignore[arg-type]
            assert self.graph_state is not None
            self.graph_state.add(id, record, Version(stamp), tasks, progress)

        curio.run(read)

    def crash(self) -> None:
        super().crash()
        self.graph_state = None

    def _step(self) -> None:
        leader_working = (
            self.scheduler is not None and not self.paused and self.store.mode != "down"
        )
        if leader_working and self.watching and self.graph_state is not None:
            changes = self.store.core.changes_after(records.LIVE_PREFIX, self.seen_graph_revision)
            self.seen_graph_revision = self.store.revision
            for change in changes:
                if change.deleted_key is not None and change.deleted_key.startswith(
                    records.LIVE_PREFIX
                ):
                    self.graph_state.remove(GraphId(change.deleted_key[len(records.LIVE_PREFIX) :]))
                elif change.put_key in self.store.keys and change.put_key.startswith(
                    records.LIVE_PREFIX
                ):
                    self._admit_graph(change.put_key, change.data, change.version)
        super()._step()
        if leader_working and self.graph_state is not None:
            for end in self.graph_state.finished():
                try:
                    curio.run(self.store.commit, end.conditions, end.writes)
                except (
                    state_client.CompareAndSwapError,
                    state_client.UnknownOutcomeError,
                    state_client.StateUnavailableError,
                ):
                    continue
                self.graph_state.remove(end.id)

    def run_cleanup(self, after_s: float) -> None:
        """Run the leader's cleanup as if `after_s` seconds had passed."""

        async def run_cleanup() -> None:
            await store.abandon_old_submissions(self.store, self.now + after_s)  # type: ignore[arg-type]
            await store.delete_abandoned_parts(self.store)  # type: ignore[arg-type]

        curio.run(run_cleanup)

    def stored(self, prefix: str = records.GRAPHS_PREFIX) -> int:
        return sum(1 for key in self.store.keys if key.startswith(prefix))

    # ---- workers -----------------------------------------------------------------------

    def _find_task(self, name: str) -> tuple[str, str, int] | None:
        job, _, number = name.partition("/")
        if job not in self.arrays:
            return None
        id, kind = self.arrays[job]
        position = self.shapes[id].task_positions[kind][int(number)]
        return id, self.shapes[id].names[position], position

    def started(self, worker: Worker, name: str, attempt: int) -> None:
        found = self._find_task(name)
        if found is not None:
            id, task, position = found
            self.start_counts[(id, task)] = self.start_counts.get((id, task), 0) + 1
            shape = self.shapes[id]
            for need in shape.needs[position]:
                if shape.names[need] not in self.completed_tasks[id]:
                    self.broken.append(f"too_early: {task} started before {shape.names[need]}")
            if self.told_task_phases.get((id, task)) in FINAL:
                self.broken.append(f"{task} started after its final answer")
            if Key(records.PAST_PREFIX + id) in self.store.keys and self.watching:
                ended = self.store.keys[Key(records.PAST_PREFIX + id)].data["phase"]
                if ended != records.CANCELLED:
                    self.broken.append(f"{task} started after its graph's end")
        super().started(worker, name, attempt)

    def plan_outcome(self, name: str, spec: wire.JobSpec) -> TaskOutcome:
        found = self._find_task(name)
        if found is not None and (found[0], found[1]) in self.failing:
            return TaskOutcome(0.0, "error")
        return super().plan_outcome(name, spec)

    def completed(self, name: str) -> None:
        super().completed(name)
        found = self._find_task(name)
        if found is not None:
            self.completed_tasks[found[0]].add(found[1])
