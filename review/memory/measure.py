"""Not a case: measures how the leader's memory grows with the commands that it sends.

Run it with `PYTHONPATH=target/deps:.:review python3 review/memory/measure.py`; it takes 100 s,
writes `record.txt` beside it and exits with 0 unless it could not run.
"""

from __future__ import annotations

import time
from pathlib import Path

import curio
from standins import users
from standins.cluster import Cluster, Plan, RecordedWorker
from standins.record import Record
from standins.users import Users, job

from umberward.core.settings import StateLimits, WorkerTimes
from umberward.core.types import Address
from umberward.local.worker_server import WorkerServer
from umberward.local.workercore import TaskAttempt, WorkerCore
from umberward.protocol.http import Request, Response
from umberward.protocol.wire import MachineType

MACHINES, ARRAYS, TASKS = 538, 3, 100_000
RUN_S = 0.01
MEASURE_S, STEP_S = 95.0, 5.0
LIMIT_MB = 186.0
KB_PER_MB = 1024
PLAN = Plan(
    machine_types=[MachineType("argan", 4.0, 16.0, 0.17, 30.0, ["casablanca"])],
    machines=[("argan", "casablanca")] * MACHINES,
    teams=[{"name": "red"}],
    workers=WorkerTimes(
        report_s=3.0, lease_s=24.0, gang_wait_s=35.0, gang_peer_s=5.0, cancel_s=44.0
    ),
    limits=StateLimits(rps=150.0, write_rps=60.0, value_kb=16.0, txn_ops=12),
    zones=["casablanca"],
    cloud_rps=1.5,
    list_lag_s=10.0,
    cpu=0.75,
    memory_mb=LIMIT_MB,
    sockets=1200,
)


class QuietWorker(RecordedWorker):
    """A worker whose starts and ends are not recorded, as there are too many."""

    def start(self, name: str, attempt: int) -> None:
        """Start an attempt."""
        WorkerCore.start(self, name, attempt)

    def _exit(self, task: TaskAttempt, cause: str, stored: bool | None = None) -> None:  # noqa: FBT001 - as in the base class
        WorkerCore._exit(self, task, cause, stored)  # noqa: SLF001 - past the base class


class CountingCluster(Cluster):
    """A deployment that counts the requests to its workers."""

    worker_class = QuietWorker
    commands = 0

    def new_worker_server(
        self, core: RecordedWorker, addresses: dict[str, Address]
    ) -> WorkerServer:
        """A worker's server that counts what it is sent."""
        worker = super().new_worker_server(core, addresses)
        handler = worker.server.handler

        async def handle(request: Request) -> Response:
            self.commands += 1
            return await handler(request)

        worker.server.handler = handle
        return worker


def memory_mb(process_id: int) -> float:
    """What a process holds in memory."""
    status = Path(f"/proc/{process_id}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / KB_PER_MB


async def measure(record: Record, _with_trouble: bool) -> list[str]:  # noqa: FBT001 - as `users.run` calls it
    """Run short tasks, one after another on each machine, and note the leader's memory."""
    cluster = CountingCluster(PLAN, record)
    people = Users(cluster)
    async with cluster:
        for number in range(ARRAYS):
            body = job(f"req-{number + 57:06d}", "batch", TASKS, cores=4.0, expect_s=RUN_S)
            await people.request("POST", "/v1/jobs", body)
        began_at = time.monotonic()
        while time.monotonic() < began_at + MEASURE_S:
            await curio.sleep(STEP_S)
            leader = cluster.leader
            process = None if leader is None else cluster.processes[leader]
            if process is not None:
                used = memory_mb(process.pid)
                record.write(f"{cluster.commands} commands, leader {leader}: {used:.0f} MB")
    record.write(f"the limit of the deployment is {LIMIT_MB:g} MB")
    return []


if __name__ == "__main__":
    users.run(Path(__file__).resolve().parent, measure)
