"""A gang of more tasks than the window of tasks that may be placed."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import curio

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins-2"))

from harness import ATLAS, CEDRE, Cluster, batch, decoded, run_case, trouble

TEAM = "core-platform-00"
JOB = "req-000001"
PLAN = ATLAS._replace(machines=((CEDRE, 19),), graphs=False)
CORES, MEMORY_GB, RUN_S = 0.1, 0.01, 2.0  # 8,400 tasks take 840 of 912 cores
WAIT_S = 90.0
POLL_S = 5.0


async def case(cluster: Cluster) -> bool:
    """Submit the gang; it has to begin while there is room for all of it."""
    job = batch(JOB, TEAM, 8400 if trouble() else 8000, CORES, RUN_S)
    job |= {"shape": "ensemble", "mem_gb": MEMORY_GB}
    everybody = list(range(PLAN.controllers))
    await cluster.insist(everybody, "POST", "/v1/jobs", job)
    began = False
    deadline = time.monotonic() + WAIT_S
    while time.monotonic() < deadline and not began:
        await curio.sleep(POLL_S)
        answer = await cluster.ask(0, "GET", f"/v1/jobs/{JOB}")
        state = decoded(answer) if answer is not None and answer.body else None
        done = isinstance(state, dict) and state.get("phase") == "done"
        began = done or bool(cluster.running(JOB))
    cluster.record.write("waited", seconds=WAIT_S, began=began)
    return began


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, PLAN, case))
