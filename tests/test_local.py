"""The cluster on the loopback, with real processes: a graph runs during a drain and a kill."""

from __future__ import annotations

import subprocess
import sys
import time

import curio
import msgspec
import pytest

from umberward.core.settings import TeamQuota
from umberward.graphs.model import File, Options, Task
from umberward.local import example
from umberward.local.cluster import ClusterPlan, Fault, LocalCluster

FINAL = ("done", "failed", "not_run", "cancelled")
MAX_CORES = 12.0


def fifty_task_graph() -> File:
    """A graph of ten rows of five tasks; each task needs two of the previous row."""
    tasks = []
    for row in range(10):
        for column in range(5):
            needs = [f"r{row - 1}c{(column + step) % 5}" for step in (0, 1)] if row else []
            tasks.append(Task(f"r{row}c{column}", needs, expect_s=0.4))
    return File(Options(team="red", reclaimable=True), tasks)


async def run_graph_with_faults() -> None:
    plan = ClusterPlan(teams=[TeamQuota("red", cpus_max=MAX_CORES), TeamQuota("blue")], speed=4.0)
    async with LocalCluster.running(plan) as cluster:
        file = fifty_task_graph()
        assert (await example.send_graph(cluster, "graph-7", file)).status == 201
        final_phases: dict[str, set[str]] = {task.name: set() for task in file.tasks}
        drained = killed = late = False
        deadline = time.monotonic() + 75
        while time.monotonic() < deadline:
            poll = await example.send_request(cluster, "GET", "/v1/graphs/graph-7")
            state = msgspec.msgpack.decode(poll.body)
            page = await example.send_request(cluster, "GET", "/v1/graphs/graph-7/tasks")
            for task in msgspec.msgpack.decode(page.body)["tasks"]:
                if task["phase"] in FINAL:
                    final_phases[task["name"]].add(task["phase"])
            if state["done"] >= 5 and not drained:
                drained = True
                await cluster.cause(Fault(0.0, "drain", 2.0, zone="a"))
            if state["done"] >= 20 and killed and not late:
                late = True
                await cluster.task_scope.spawn(cluster.cause, Fault(0.0, "late", 1.5))
            if state["done"] >= 10 and not killed:
                killed = True
                cluster.crash(cluster.leader)
            if state["phase"] in FINAL:
                break
            await curio.sleep(0.2)
        assert state["phase"] == "done" and state["done"] == 50
        assert drained and killed and late
        assert all(phases == {"done"} for phases in final_phases.values()), final_phases
        assert 0 < cluster.peak_cores["red"] <= MAX_CORES
        assert len(cluster.exit_causes) == 50 and all(
            "done" in causes for causes in cluster.exit_causes.values()
        )
        children = [child for child in cluster.controller_processes if child is not None]
        folder = cluster.folder
    assert all(child.poll() is not None for child in children)
    assert not folder.exists()


def test_a_graph_completes_despite_a_drain_and_a_killed_leader() -> None:
    curio.run(run_graph_with_faults)


def test_controllers_exit_with_their_parent() -> None:
    """The controllers exit even if the command is killed without warning."""
    command = [sys.executable, "-m", "umberward", "local", "--controllers", "1"]
    parent = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    assert parent.stdout is not None
    address = parent.stdout.readline().split()[-1]
    status = [sys.executable, "-m", "umberward", "status", "--server", address, "req-000001"]
    assert "404" in subprocess.run(status, capture_output=True, text=True).stderr
    parent.kill()
    parent.wait()
    deadline = time.monotonic() + 10
    while "no answer" not in subprocess.run(status, capture_output=True, text=True).stderr:
        assert time.monotonic() < deadline, "a controller still runs"
        time.sleep(0.2)


@pytest.mark.parametrize(
    "text, expected_error",
    [
        ("[[troubles]]\nat = 1\nwhat = 'flood'\n", "Invalid enum value 'flood'"),
        ("[[troubles]]\nwhat = 'crash'\n", "missing required field `at`"),
        ("troubles = 3\n", "Expected `array`"),
    ],
)
def test_invalid_fault_files(tmp_path, text: str, expected_error: str) -> None:  # type: ignore[no-untyped-def]
    path = tmp_path / "troubles.toml"
    path.write_text(text)
    command = [sys.executable, "-m", "umberward", "local", "--troubles", str(path)]
    completed = subprocess.run(command, capture_output=True, text=True)
    assert completed.returncode == 1 and expected_error in completed.stderr
