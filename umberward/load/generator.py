"""Requests at given rates, independent of the responses; times count from when each was due.

A closed loop slows down with the service and hides its stalls. In this open loop each request is
due at a moment drawn from a seed (Poisson arrivals), and its time counts from that moment.
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

JOBS, GRAPHS = "/v1/jobs", "/v1/graphs"
MAX_RECORDED_MS = 600_000
SIGNIFICANT_DIGITS = 3  # of the recorded times
RESPONSE_TIMEOUT_S = 5.0
MAX_OPEN_REQUESTS = 1000  # those that are due beyond it are not sent
DRAIN_POLL_S = 0.05
MAX_REQUESTS = 1_000_000
SOCKETS = 512
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
KINDS = ("submit", "poll", "cancel", "graph")


class Rates(NamedTuple):
    """Requests a second of each kind."""

    submit: float = 0.0
    poll: float = 0.0
    cancel: float = 0.0
    graph: float = 0.0


class Work(NamedTuple):
    """What is submitted: the size of jobs and graphs."""

    team: str = "red"
    tasks: int = 4
    cores: float = 1.0
    expect_s: float = 5.0
    graph_tasks: int = 50


class Figures(msgspec.Struct):
    """Results of one kind of request; `ms`: times from when each was due, by percentile."""

    sent: int
    statuses: dict[str, int]
    ms: dict[str, float]


class Result(msgspec.Struct):
    """Results of a run; `kinds`: those kinds of requests that were due at all."""

    seconds: float
    seed: int
    kinds: dict[str, Figures]


class Generator:
    """Sends requests to controllers and records how long each takes."""

    def __init__(self, servers: list[Address], rates: Rates, work: Work, seed: int) -> None:
        """`servers`: each request goes to one of them, drawn at random; `seed`: of all draws."""
        self.servers = servers
        self.rates = rates
        self.work = work
        self.seed = seed
        self.rng = random.Random(seed)
        self.client = Client(SOCKETS)
        self.times = {kind: HdrHistogram(1, MAX_RECORDED_MS, SIGNIFICANT_DIGITS) for kind in KINDS}
        self.statuses: dict[str, Counter[str]] = {kind: Counter() for kind in KINDS}
        self.jobs: list[str] = []  # ids of the accepted ones
        self.number = self.rng.randrange(10**8, 10**9) * 1000
        self.under_way = 0  # requests without a response so far

    def arrivals(self, seconds: float) -> Iterator[tuple[float, str]]:
        """When each request is due, in seconds from the start, and of what kind."""
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
        """Send requests for so many seconds and wait for all responses."""
        started_at = time.monotonic()
        async with TaskScope() as requests:
            for due_s, kind in self.arrivals(seconds):
                await curio.sleep(max(0.0, started_at + due_s - time.monotonic()))
                if self.under_way >= MAX_OPEN_REQUESTS:
                    self.statuses[kind]["not sent"] += 1
                    continue
                self.under_way += 1
                await requests.spawn(self._send, kind, started_at + due_s)
            while self.under_way:
                await curio.sleep(DRAIN_POLL_S)  # each ends by its time-out
        return self.result(time.monotonic() - started_at)

    async def _send(self, kind: str, due_at: float) -> None:
        """Send one request, in as many parts as it takes, and record its status and time."""
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
            self.under_way -= 1

    def _request(self, kind: str) -> tuple[str, str, list[bytes], str]:
        """Method, path, bodies to be sent one after the other, and the job that is submitted."""
        self.number += 1
        if kind == "submit":
            job_id = f"req-{self.number}"
            return "POST", JOBS, [wire.encode(self._job(job_id))], job_id
        if kind == "graph":
            parts = files.parts(GraphId(f"graph-{self.number}"), self._graph())
            return "POST", GRAPHS, [wire.encode(part) for part in parts], ""
        if not self.jobs:
            return "", "", [], ""
        job_id = self.rng.choice(self.jobs)
        if kind == "poll":
            return "GET", f"{JOBS}/{job_id}", [b""], ""
        return "POST", f"{JOBS}/{job_id}/cancel", [b""], ""

    def _job(self, job_id: str) -> dict[str, object]:
        """A job's description as it is sent."""
        work = self.work
        return {
            "uid": job_id,
            "jobclass": "load",
            "owner": work.team,
            "shape": wire.ARRAY,
            "rank": "normal",
            "shards": work.tasks,
            "cores": work.cores,
            "accelerators": 0.0,
            "mem_gb": 0.5,
            "bundle": "load",
            "pull_gb": 0.0,
            "expect_s": work.expect_s,
            "same_place": False,
            "apart": False,
            "reclaimable": True,
            "snapshot_every_s": 0.0,
            "snapshot_cost_s": 0.0,
        }

    def _graph(self) -> File:
        """A graph in which each task needs up to two of those before it."""
        work = self.work
        tasks = []
        for number in range(work.graph_tasks):
            needs = {f"t{self.rng.randrange(number)}" for _ in "ab"} if number else set()
            tasks.append(
                Task(f"t{number}", sorted(needs), work.cores, memory=5e8, expect_s=work.expect_s)
            )
        return File(Options(team=work.team), tasks)

    def result(self, seconds: float) -> Result:
        """The results so far; `seconds`: how long it took."""
        figures = {}
        for kind in KINDS:
            if self.statuses[kind]:
                times = self.times[kind]
                ms = {
                    f"p{percentile:g}": float(times.get_value_at_percentile(percentile))
                    for percentile in PERCENTILES
                }
                statuses = dict(sorted(self.statuses[kind].items()))
                figures[kind] = Figures(sum(statuses.values()), statuses, ms)
        return Result(round(seconds, 1), self.seed, figures)


def plot(generator: Generator, path: str) -> None:
    """Draw the times of each kind by percentile; `path` ends with .svg or .png."""
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
