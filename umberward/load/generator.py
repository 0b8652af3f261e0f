"""An open-loop load generator: sends requests at given rates, independently of the responses.

A closed loop slows down with the service and so hides its stalls. Here arrivals are a Poisson
process drawn from a seed, and response times count from when each request was due.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

import curio
import msgspec
from hdrh.histogram import HdrHistogram

from umberward.core.tasks import TaskScope
from umberward.core.types import Address
from umberward.graphs import files
from umberward.graphs.model import File, GraphId, Options, Task
from umberward.protocol import wire
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError

JOBS_PATH, GRAPHS_PATH = "/v1/jobs", "/v1/graphs"
MAX_RECORDED_MS = 600_000
SIGNIFICANT_DIGITS = 3  # of the recorded times
RESPONSE_TIMEOUT_S = 5.0
MAX_OPEN_REQUESTS = 1000  # requests that come due while so many are open are not sent
DRAIN_POLL_S = 0.05
MAX_REQUESTS = 1_000_000
CLIENT_SOCKETS = 512
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
KINDS = ("submit", "poll", "cancel", "graph")


class Rates(NamedTuple):
    """Requests per second of each kind."""

    submit: float = 0.0
    poll: float = 0.0
    cancel: float = 0.0
    graph: float = 0.0


class Workload(NamedTuple):
    """The jobs and graphs to submit: team, size, resources and run time."""

    team: str = "red"
    tasks: int = 4
    cores: float = 1.0
    expect_s: float = 5.0
    graph_tasks: int = 50


class RequestStats(msgspec.Struct):
    """Results for one kind of request; `ms`: response times from when it was due, by percentile."""

    sent: int
    statuses: dict[str, int]
    ms: dict[str, float]


class Result(msgspec.Struct):
    """Results of a run; `kinds`: only the kinds of which any request was due."""

    seconds: float
    seed: int
    kinds: dict[str, RequestStats]


class Generator:
    """Sends requests to controllers and records statuses and response times."""

    def __init__(self, servers: list[Address], rates: Rates, workload: Workload, seed: int) -> None:
        """`servers`: each request goes to a random one; `seed`: of all random choices."""
        self.servers = servers
        self.rates = rates
        self.workload = workload
        self.seed = seed
        self.rng = random.Random(seed)
        self.client = Client(CLIENT_SOCKETS)
        self.times = {kind: HdrHistogram(1, MAX_RECORDED_MS, SIGNIFICANT_DIGITS) for kind in KINDS}
        self.statuses: dict[str, Counter[str]] = {kind: Counter() for kind in KINDS}
        self.jobs: list[str] = []  # ids of accepted jobs
        # The number in the last id; the first one depends on the seed.
        self.number = self.rng.randrange(10**8, 10**9) * 1000
        self.open_requests = 0  # sent and not answered yet

    def arrivals(self, seconds: float) -> Iterator[tuple[float, str]]:
        """The due time, in seconds from the start, and the kind of each request."""
        total_rate = sum(self.rates)
        due_s = 0.0
        for _ in range(MAX_REQUESTS):
            if not total_rate:
                return
            due_s += self.rng.expovariate(total_rate)
            if due_s > seconds:
                return
            yield due_s, self.rng.choices(KINDS, self.rates)[0]

    async def run(self, seconds: float) -> Result:
        """Send requests for the given time and wait for all responses."""
        started_at = time.monotonic()
        async with TaskScope() as requests:
            for due_s, kind in self.arrivals(seconds):
                await curio.sleep(max(0.0, started_at + due_s - time.monotonic()))
                if self.open_requests >= MAX_OPEN_REQUESTS:
                    self.statuses[kind]["not sent"] += 1
                    continue
                self.open_requests += 1
                await requests.spawn(self._send, kind, started_at + due_s)
            while self.open_requests:
                await curio.sleep(DRAIN_POLL_S)  # ends at the latest with the requests' time-outs
        return self.result(time.monotonic() - started_at)

    async def _send(self, kind: str, due_at: float) -> None:
        """Send one request, in as many parts as needed, and record its status and time."""
        try:
            method, path, bodies, job = self._request(kind)
            if not path:
                self.statuses[kind]["nothing to ask about"] += 1
                return
            for body in bodies:
                server = self.rng.choice(self.servers)
                try:
                    response = await self.client.request(
                        server, method, path, body, RESPONSE_TIMEOUT_S
                    )
                    status = str(response.status)
                except RequestNotSentError:
                    status = "not reached"
                except NoResponseError:
                    status = "no answer"
                if status not in ("200", "201", "202"):
                    break
            if job and status in ("200", "201"):
                self.jobs.append(job)
            self.statuses[kind][status] += 1
            self.times[kind].record_value(max(1, round(1000 * (time.monotonic() - due_at))))
        finally:
            self.open_requests -= 1

    def _request(self, kind: str) -> tuple[str, str, list[bytes], str]:
        """Method, path, bodies to send in turn, and the id of a submitted job or an empty string.

        The path is empty for a poll or cancellation while no job has been accepted.
        """
        self.number += 1
        if kind == "submit":
            job_id = f"req-{self.number}"
            return "POST", JOBS_PATH, [wire.encode(self._job(job_id))], job_id
        if kind == "graph":
            parts = files.split_graph(GraphId(f"graph-{self.number}"), self._graph())
            return "POST", GRAPHS_PATH, [wire.encode(part) for part in parts], ""
        if not self.jobs:
            return "", "", [], ""
        job_id = self.rng.choice(self.jobs)
        if kind == "poll":
            return "GET", f"{JOBS_PATH}/{job_id}", [b""], ""
        return "POST", f"{JOBS_PATH}/{job_id}/cancel", [b""], ""

    def _job(self, job_id: str) -> dict[str, object]:
        """A job's description as it goes over the wire."""
        workload = self.workload
        return {
            "uid": job_id,
            "jobclass": "load",
            "owner": workload.team,
            "shape": wire.ARRAY,
            "rank": "normal",
            "shards": workload.tasks,
            "cores": workload.cores,
            "accelerators": 0.0,
            "mem_gb": 0.5,
            "bundle": "load",
            "pull_gb": 0.0,
            "expect_s": workload.expect_s,
            "same_place": False,
            "apart": False,
            "reclaimable": True,
            "snapshot_every_s": 0.0,
            "snapshot_cost_s": 0.0,
        }

    def _graph(self) -> File:
        """A graph in which each task needs up to two earlier ones."""
        workload = self.workload
        tasks = []
        for number in range(workload.graph_tasks):
            needs = {f"t{self.rng.randrange(number)}" for _ in "ab"} if number else set()
            tasks.append(
                Task(
                    f"t{number}",
                    sorted(needs),
                    workload.cores,
                    memory=5e8,
                    expect_s=workload.expect_s,
                )
            )
        return File(Options(team=workload.team), tasks)

    def result(self, seconds: float) -> Result:
        """The results so far; `seconds`: the length of the run."""
        stats = {}
        for kind in KINDS:
            if self.statuses[kind]:
                times = self.times[kind]
                ms = {
                    f"p{percentile:g}": float(times.get_value_at_percentile(percentile))
                    for percentile in PERCENTILES
                }
                statuses = dict(sorted(self.statuses[kind].items()))
                stats[kind] = RequestStats(sum(statuses.values()), statuses, ms)
        return Result(round(seconds, 1), self.seed, stats)


def plot(generator: Generator, path: str) -> None:
    """Plot response times by percentile for each kind; `path` ends with .svg or .png."""
    import matplotlib

    matplotlib.use("agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5))
    percentiles = [0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 100]
    for kind, times in generator.times.items():
        if times.get_total_count():
            axes.plot(
                range(len(percentiles)),
                [times.get_value_at_percentile(percentile) for percentile in percentiles],
                label=kind,
            )
    axes.set_xticks(range(len(percentiles)), [f"{percentile:g}" for percentile in percentiles])
    axes.set_xlabel("percentile")
    axes.set_ylabel("milliseconds from when it was due")
    axes.set_yscale("log")
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)
