"""The leader's background tasks: finished ones are dropped, and a failing one ends the term."""

from __future__ import annotations

import gc

import curio
from cluster_settings import job_spec
from simulated_controllers import SimulatedControllers

from umberward.leader.leader_loop import LeaderLoop

COMMANDS = 1000
MAX_RETAINED_TASKS = 20


def finished_tasks() -> int:
    gc.collect()
    return sum(isinstance(found, curio.Task) and found.terminated for found in gc.get_objects())


def test_leader_retains_no_finished_command_or_probe() -> None:
    """Otherwise its memory grows with each, until it is ended for memory."""
    sent = 0

    async def send() -> None:
        nonlocal sent
        await curio.sleep(0.0)
        sent += 1

    async def send_all(loop: LeaderLoop) -> None:
        for _ in range(COMMANDS):
            await loop.commands.spawn(send)
        await curio.sleep(1.0)

    controllers = SimulatedControllers()
    with controllers.playing():
        controllers.start("k0")
        controllers.run(5.0)
        leader_loop = controllers.nodes["k0"].leader_loop
        assert leader_loop is not None
        before = finished_tasks()
        controllers.kernel.run(send_all, leader_loop)
        assert sent == COMMANDS
        assert finished_tasks() - before <= MAX_RETAINED_TASKS


def test_failing_background_task_ends_all_tasks_of_the_term() -> None:
    controllers = SimulatedControllers()
    ended: list[str] = []

    async def fail() -> None:
        raise ValueError("a fault in the code")

    async def run_on() -> None:
        try:
            await curio.sleep(60.0)
        finally:
            ended.append("run_on")

    with controllers.playing():
        controllers.start("k0")
        controllers.run(5.0)
        node = controllers.nodes["k0"]
        leader_loop = node.leader_loop
        assert leader_loop is not None
        controllers.kernel.run(leader_loop._spawn, run_on)
        controllers.kernel.run(leader_loop._spawn, fail)
        controllers.run(0.2)
        assert ended == ["run_on"]
        controllers.machine("m1", "big", "a")
        controllers.submit(job_spec("req-000001", shards=1, cores=1.0, _runs=0.5), "k0")
        controllers.run(60.0)
        response = controllers.poll("req-000001", "k0")
        assert controllers.phase(response) == "done"
