"""A quiet soak: whether a controller's memory grows with what it has done. No faults are injected.

Jobs of many short tasks run, end, are cancelled and are asked about, so that the leader sends
commands all the time. After a warm-up, the memory of no controller may grow by more than
MAX_GROWTH, however long the run is. The warm-up must be long enough to fill the caches of a
controller: of parsed task ids, and of the heads of HTTP messages by address and length.
"""

from __future__ import annotations

import random
import time
from http import HTTPStatus
from pathlib import Path
from typing import Any, NamedTuple

import curio
import msgspec

from umberward.core.types import Address
from umberward.local.cluster import ClusterPlan
from umberward.protocol import wire
from umberward.protocol.http import (
    Client,
    Handler,
    NoResponseError,
    Request,
    RequestNotSentError,
    Response,
)
from umberward.soak import plan
from umberward.soak.cluster import HarnessError, SoakCluster
from umberward.soak.worker import SoakWorker

MAX_GROWTH = 0.05  # of the memory after the warm-up
WARM_UP_SHARE = 0.4  # of the time of a run, the most that the warm-up takes
LIVE_JOBS = 6
TASKS_PER_JOB = 1000
TASK_RUN_S = 0.05
CANCELLED_SHARE = 0.2
REQUEST_INTERVAL_S = 0.1
REQUEST_TIMEOUT_S = 5.0
MAX_CLIENT_SOCKETS = 16
CACHED_RECORDS = 50  # final states that a controller keeps, so that the warm-up fills them
KB_PER_MB = 1024.0


class MemoryPlan(NamedTuple):
    """The length of a run in direct commands and probes, unless `max_s` is over before."""

    seed: int
    warm_up_commands: int
    commands: int  # after the warm-up
    workers: int
    max_s: float


class ControllerMemory(msgspec.Struct, frozen=True):
    """The resident memory of a controller process, in MB."""

    controller: str
    role: str  # leader or follower, at the end
    warm_mb: float
    end_mb: float

    @property
    def growth(self) -> float:
        """The growth after the warm-up, as a share."""
        return self.end_mb / self.warm_mb - 1.0


class MemoryResult(msgspec.Struct):
    """The result of a run; `commands` and `jobs` count from the end of the warm-up.

    `warm_up_commands` are those before, fewer than planned if the warm-up ended by time.
    """

    seed: int
    warm_up_commands: int
    commands: int
    jobs: int
    seconds: float
    memory: list[ControllerMemory]

    @property
    def grown(self) -> list[str]:
        """The controllers whose memory has grown too much."""
        return [found.controller for found in self.memory if found.growth > MAX_GROWTH]


class MemoryCluster(SoakCluster):
    """A cluster without faults that counts the requests to its workers."""

    commands = 0

    @staticmethod
    def memory_plan(memory_plan: MemoryPlan) -> ClusterPlan:
        """The plan of the local cluster."""
        size = plan.Size(memory_plan.workers, 0.0, 0.0)
        local_plan = SoakCluster.local_plan(plan.draw_plan(memory_plan.seed, size, []))
        local_plan.log_level = "error"
        local_plan.properties["poll.cache"] = str(CACHED_RECORDS)
        return local_plan

    def _command_handler(self, core: SoakWorker, handler: Handler) -> Handler:
        handle = super()._command_handler(core, handler)

        async def count(request: Request) -> Response:
            self.commands += 1
            return await handle(request)

        return count

    def memory_mb(self) -> dict[str, float]:
        """The resident memory of each controller. Raises HarnessError if one does not run."""
        found = {}
        for name, process in zip(self.controller_names, self.controller_processes, strict=True):
            if process is None or process.poll() is not None:
                reason = f"{name} has ended"
                raise HarnessError(reason)
            found[name] = resident_memory_mb(process.pid)
        return found


class SteadyUsers:
    """Keeps LIVE_JOBS jobs running, and asks about them, about ended ones and unknown ids."""

    def __init__(self, cluster: MemoryCluster, seed: int) -> None:
        """`seed`: of all random choices."""
        self.cluster = cluster
        self.rng = random.Random(f"memory {seed}")
        self.client = Client(MAX_CLIENT_SOCKETS)
        self.submitted = 0
        self.live_jobs: list[str] = []

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            if len(self.live_jobs) < LIVE_JOBS:
                await self._submit()
            for job in list(self.live_jobs):
                if await self._poll(job) in (wire.DONE, wire.CANCELLED):
                    self.live_jobs.remove(job)
            await self._poll(f"req-{self.rng.randrange(10**6):06d}")
            if self.live_jobs and self.rng.random() < CANCELLED_SHARE * REQUEST_INTERVAL_S:
                await self._request("POST", f"/v1/jobs/{self.rng.choice(self.live_jobs)}/cancel")
            await curio.sleep(REQUEST_INTERVAL_S)

    async def _submit(self) -> None:
        self.submitted += 1
        spec = _array(f"req-{10**6 + self.submitted:07d}")
        self.cluster.specs[spec["uid"]] = wire.convert(spec, wire.JobSpec)
        self.cluster.task_runtimes_s[spec["uid"]] = TASK_RUN_S
        response = await self._request("POST", "/v1/jobs", wire.encode(spec))
        if response is not None and response.status in (HTTPStatus.OK, HTTPStatus.CREATED):
            self.live_jobs.append(spec["uid"])

    async def _poll(self, job: str) -> str:
        response = await self._request("GET", f"/v1/jobs/{job}")
        if response is None or response.status != HTTPStatus.OK:
            return ""
        phase: str = msgspec.msgpack.decode(response.body)["phase"]
        return phase

    async def _request(self, method: str, target: str, body: bytes = b"") -> Response | None:
        address: Address = self.rng.choice(self.cluster.listen)
        try:
            return await self.client.request(address, method, target, body, REQUEST_TIMEOUT_S)
        except (RequestNotSentError, NoResponseError):
            return None


class MemoryRun:
    """One run."""

    def __init__(self, memory_plan: MemoryPlan) -> None:
        """Start nothing yet."""
        self.plan = memory_plan

    async def execute(self) -> MemoryResult:
        """Run to the end. Raises HarnessError if a controller ends."""
        async with MemoryCluster.running(MemoryCluster.memory_plan(self.plan)) as cluster:
            assert isinstance(cluster, MemoryCluster)
            await cluster.add_machines(self.plan.workers)
            return await self._measure(cluster)

    async def _measure(self, cluster: MemoryCluster) -> MemoryResult:
        started_at = time.monotonic()
        users = SteadyUsers(cluster, self.plan.seed)
        await cluster.task_scope.spawn(users.run)
        warm_up_deadline = started_at + self.plan.max_s * WARM_UP_SHARE
        await self._wait_for(cluster, self.plan.warm_up_commands, warm_up_deadline)
        warm_mb, warm_commands, warm_jobs = cluster.memory_mb(), cluster.commands, users.submitted
        end = warm_commands + self.plan.commands
        await self._wait_for(cluster, end, started_at + self.plan.max_s)
        end_mb = cluster.memory_mb()
        leader = "" if cluster.leader is None else cluster.controller_names[cluster.leader]
        return MemoryResult(
            self.plan.seed,
            warm_commands,
            cluster.commands - warm_commands,
            users.submitted - warm_jobs,
            round(time.monotonic() - started_at, 1),
            [
                ControllerMemory(
                    name,
                    "leader" if name == leader else "follower",
                    round(warm_mb[name], 1),
                    round(end_mb[name], 1),
                )
                for name in cluster.controller_names
            ],
        )

    @staticmethod
    async def _wait_for(cluster: MemoryCluster, commands: int, deadline: float) -> None:
        while cluster.commands < commands and time.monotonic() < deadline:
            cluster.observe()
            cluster.memory_mb()
            await curio.sleep(REQUEST_INTERVAL_S)


def resident_memory_mb(process_id: int) -> float:
    """The resident memory of a process, from /proc."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name == "VmRSS":
            return int(value.split()[0]) / KB_PER_MB
    reason = f"/proc/{process_id}/status has no VmRSS"
    raise HarnessError(reason)


def _array(job: str) -> dict[str, Any]:
    return {
        "uid": job,
        "jobclass": "short",
        "owner": "blue",
        "shape": wire.ARRAY,
        "rank": "normal",
        "shards": TASKS_PER_JOB,
        "cores": 1.0,
        "accelerators": 0.0,
        "mem_gb": 0.5,
        "bundle": "short",
        "pull_gb": 0.0,
        "expect_s": TASK_RUN_S,
        "same_place": False,
        "apart": False,
        "reclaimable": False,
        "snapshot_every_s": 0.0,
        "snapshot_cost_s": 0.0,
    }
