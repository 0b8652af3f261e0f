"""A job of many small tasks, and the limit on the size of messages to a worker."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins-2"))

from harness import BAYANIHAN, LARGE, Cluster, LeftWaiting, batch, run_case, trouble

TEAM = "payroll-ops-00"
JOB = "req-000001"
PLAN = BAYANIHAN._replace(machines=((LARGE, 2),), graphs=False)
CORES, MEMORY_GB = 0.02, 0.01  # 2,000 tasks take 40 of the 64 cores of a machine
RUN_S = 5.0
WAIT_S = 90.0


async def case(cluster: Cluster) -> bool:
    """Submit the job; it has to begin while there is room for all of it."""
    job = batch(JOB, TEAM, 2000 if trouble() else 500, CORES, RUN_S)
    job["mem_gb"] = MEMORY_GB
    everybody = list(range(PLAN.controllers))
    await cluster.insist(everybody, "POST", "/v1/jobs", job)
    return await LeftWaiting(cluster, JOB, CORES).watch(WAIT_S)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, PLAN, case))
