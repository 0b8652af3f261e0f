"""The cluster on the loopback, with real processes: a graph through a drain and a kill."""

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
MAXIMUM = 12.0


def fifty() -> File:
    """Ten rows of five; each task needs two of the row before."""
    tasks = []
    for row in range(10):
        for column in range(5):
            needs = [f"r{row - 1}c{(column + step) % 5}" for step in (0, 1)] if row else []
            tasks.append(Task(f"r{row}c{column}", needs, expect_s=0.4))
    return File(Options(team="red", reclaimable=True), tasks)


async def through_troubles() -> None:
    plan = ClusterPlan(teams=[TeamQuota("red", cpus_max=MAXIMUM), TeamQuota("blue")], speed=4.0)
    async with LocalCluster.running(plan) as cluster:
        file = fifty()
        assert (await example.send_graph(cluster, "graph-7", file)).status == 201
        heard: dict[str, set[str]] = {task.name: set() for task in file.tasks}
        drained = killed = late = False
        deadline = time.monotonic() + 75
        while time.monotonic() < deadline:
            poll = await example.send_request(cluster, "GET", "/v1/graphs/graph-7")
            state = msgspec.msgpack.decode(poll.body)
            page = await example.send_request(cluster, "GET", "/v1/graphs/graph-7/tasks")
            for task in msgspec.msgpack.decode(page.body)["tasks"]:
                if task["phase"] in FINAL:
                    heard[task["name"]].add(task["phase"])
            if state["done"] >= 5 and not drained:
                drained = True
                await cluster.cause(Fault(0.0, "drain", 2.0, zone="a"))
            if state["done"] >= 20 and killed and not late:
                late = True
                await cluster.group.spawn(cluster.cause, Fault(0.0, "late", 1.5))
            if state["done"] >= 10 and not killed:
                killed = True
                cluster.crash(cluster.leader)
            if state["phase"] in FINAL:
                break
            await curio.sleep(0.2)
        assert state["phase"] == "done" and state["done"] == 50
        assert drained and killed and late
        assert all(answers == {"done"} for answers in heard.values()), heard
        assert 0 < cluster.peak_cores["red"] <= MAXIMUM
        assert len(cluster.exit_causes) == 50 and all(
            "done" in causes for causes in cluster.exit_causes.values()
        )
        children = [child for child in cluster.children if child is not None]
        folder = cluster.folder
    assert all(child.poll() is not None for child in children)
    assert not folder.exists()


def test_a_graph_of_fifty_tasks_through_a_drain_and_a_kill() -> None:
    curio.run(through_troubles)


def test_local_ends_with_its_processes() -> None:
    """Killed without warning, it leaves no controller behind."""
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
        assert time.monotonic() < deadline, "a controller goes on"
        time.sleep(0.2)


@pytest.mark.parametrize(
    "text, said",
    [
        ("[[troubles]]\nat = 1\nwhat = 'flood'\n", "Invalid enum value 'flood'"),
        ("[[troubles]]\nwhat = 'crash'\n", "missing required field `at`"),
        ("troubles = 3\n", "Expected `array`"),
    ],
)
def test_bad_troubles(tmp_path, text: str, said: str) -> None:  # type: ignore[no-untyped-def]
    path = tmp_path / "troubles.toml"
    path.write_text(text)
    command = [sys.executable, "-m", "umberward", "local", "--troubles", str(path)]
    found = subprocess.run(command, capture_output=True, text=True)
    assert found.returncode == 1 and said in found.stderr
