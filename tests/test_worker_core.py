"""The simulated worker follows PROTOCOL where other tests rely on it."""

from __future__ import annotations

from cluster_settings import MACHINE_TYPES, job_spec, raw_settings

from umberward.core.settings import OperatorSettings, settings_from_toml
from umberward.core.types import MachineTypeName
from umberward.local.workercore import SharedTaskState, TaskOutcome, WorkerCore
from umberward.protocol import wire
from umberward.protocol.wire import START, JobSpec, TaskCommand

GANG = "req-000001"
TASKS = [f"{GANG}/{index}" for index in range(2)]
STEP_S = 0.1


def _worker(name: str, shared_tasks: SharedTaskState) -> WorkerCore:
    settings = settings_from_toml(raw_settings(), OperatorSettings())
    spec = wire.decode_job_spec(wire.encode(job_spec(GANG, shape="ensemble", shards=2)))

    def find_spec(_: str) -> JobSpec:
        return spec

    return WorkerCore(
        name,
        "127.0.0.1:1",
        MACHINE_TYPES[MachineTypeName("small")],
        "a",
        False,
        settings.platform.cluster.workers,
        shared_tasks,
        find_spec,
        lambda *_: TaskOutcome(1.0),
        0.0,
    )


def _run(workers: list[WorkerCore], attempt: int, since: float, until: float) -> None:
    """Start one task of the gang on each worker, or both on the only one, and let time pass."""
    for index, task in enumerate(TASKS):
        worker = workers[index % len(workers)]
        worker.execute([TaskCommand(START, task, attempt)])
    now = since
    while now < until:
        now += STEP_S
        for worker in workers:
            worker.lease_renewed_at = now
            worker.tick(now)


def _exits(workers: list[WorkerCore], attempt: int) -> list[str | None]:
    return [
        worker.tasks[task, attempt].cause
        for task in TASKS
        for worker in workers
        if (task, attempt) in worker.tasks
    ]


def test_completed_gang_that_is_started_again_exits_done_without_waiting() -> None:
    for count in (1, 2):
        shared_tasks = SharedTaskState()
        workers = [_worker(f"m{number}", shared_tasks) for number in range(count)]
        _run(workers, 1, 0.0, 20.0)
        assert _exits(workers, 1) == [wire.DONE] * 2
        for worker in workers:
            worker.end_session()
        _run(workers, 2, 20.0, 20.0 + 2 * STEP_S)
        assert _exits(workers, 2) == [wire.DONE] * 2
