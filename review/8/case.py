"""A gang of more tasks than the window of tasks that may be placed."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins-2"))

from harness import ATLAS, CEDRE, Cluster, LeftWaiting, batch, run_case, trouble

TEAM, VIEWERS_TEAM = "core-platform-00", "core-platform-01"
VIEWERS, JOB = "req-000001", "req-000002"
MACHINES = 19
PLAN = ATLAS._replace(machines=((CEDRE, MACHINES),), graphs=False)
VIEWER_CORES = 25.0  # more than half of a machine: each machine runs one replica
# 8,400 tasks take 420 of the 437 cores beside the replicas.
CORES, MEMORY_GB, RUN_S = 0.05, 0.01, 2.0
WAIT_S = 90.0


async def case(cluster: Cluster) -> bool:
    """Submit a service, then the gang; it has to begin while there is room for all of it."""
    everybody = list(range(PLAN.controllers))
    viewers = batch(VIEWERS, VIEWERS_TEAM, MACHINES, VIEWER_CORES, 0.0)
    await cluster.insist(
        everybody, "POST", "/v1/jobs", viewers | {"shape": "service", "rank": "production"}
    )

    async def all_serve() -> bool:
        return len(cluster.running(VIEWERS)) == MACHINES

    await cluster.wait_until("the service runs", all_serve, 20.0)
    tasks = 8400 if trouble() else 8000
    gang = batch(JOB, TEAM, tasks, CORES, RUN_S) | {"shape": "ensemble", "mem_gb": MEMORY_GB}
    await cluster.insist(everybody, "POST", "/v1/jobs", gang)
    return await LeftWaiting(cluster, JOB, CORES, whole=tasks).watch(WAIT_S)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, PLAN, case))
