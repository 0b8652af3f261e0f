"""Requests at given rates, whatever becomes of those before; times from when each was due.

A closed loop slows down with the service and hides its stalls. Here each request is due at a moment
drawn beforehand (Poisson arrivals, from a seed) and its time counts from that moment.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Iterator
from typing import Any, NamedTuple

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
LONGEST_MS = 600_000
DIGITS = 3
ANSWER_S = 5.0  # users give up a request then
MOST_AT_ONCE = 1000
MOST_REQUESTS = 1_000_000
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
    """What is submitted."""

    team: str = "red"
    tasks: int = 4
    cores: float = 1.0
    expect_s: float = 5.0
    graph_tasks: int = 50


class Figures(msgspec.Struct):
    """Of one kind of request; times in milliseconds, by percentile, from when it was due."""

    sent: int
    statuses: dict[str, int]
    ms: dict[str, float]


class Result(msgspec.Struct):
    seconds: float
    seed: int
    kinds: dict[str, Figures]


class Generator:
    def __init__(self, servers: list[Address], rates: Rates, work: Work, seed: int) -> None:
        self.servers = servers
        self.rates = rates
        self.work = work
        self.seed = seed
        self.rng = random.Random(seed)
        self.client = Client(SOCKETS)
        self.times = {kind: HdrHistogram(1, LONGEST_MS, DIGITS) for kind in KINDS}
        self.statuses: dict[str, Counter[str]] = {kind: Counter() for kind in KINDS}
        self.jobs: list[str] = []  # accepted
        self.number = self.rng.randrange(10**8, 10**9) * 1000
        self.under_way = 0

    def arrivals(self, seconds: float) -> Iterator[tuple[float, str]]:
        """When each request is due, and of what kind."""
        total = sum(self.rates)
        at = 0.0
        for _ in range(MOST_REQUESTS):
            if not total:
                return
            at += self.rng.expovariate(total)
            if at > seconds:
                return
            yield at, self.rng.choices(KINDS, self.rates)[0]

    async def run(self, seconds: float) -> Result:
        began = time.monotonic()
        async with TaskScope() as requests:
            for at, kind in self.arrivals(seconds):
                await curio.sleep(max(0.0, began + at - time.monotonic()))
                if self.under_way >= MOST_AT_ONCE:
                    self.statuses[kind]["not sent"] += 1
                    continue
                self.under_way += 1
                await requests.spawn(self._one, kind, began + at)
            while self.under_way:
                await curio.sleep(0.05)  # each is over within its time
        return self.result(time.monotonic() - began)

    async def _one(self, kind: str, due: float) -> None:
        try:
            method, path, bodies, job = self._request(kind)
            if not path:
                self.statuses[kind]["nothing to ask about"] += 1
                return
            for body in bodies:
                server = self.rng.choice(self.servers)
                try:
                    response = await self.client.request(server, method, path, body, ANSWER_S)
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
            self.times[kind].record_value(max(1, round(1000 * (time.monotonic() - due))))
        finally:
            self.under_way -= 1

    def _request(self, kind: str) -> tuple[str, str, list[bytes], str]:
        """Method, path, bodies to be sent one after the other, and the job that is submitted."""
        self.number += 1
        if kind == "submit":
            uid = f"req-{self.number}"
            return "POST", JOBS, [wire.encode(self._job(uid))], uid
        if kind == "graph":
            parts = files.parts(GraphId(f"graph-{self.number}"), self._graph())
            return "POST", GRAPHS, [wire.encode(part) for part in parts], ""
        if not self.jobs:
            return "", "", [], ""
        uid = self.rng.choice(self.jobs)
        if kind == "poll":
            return "GET", f"{JOBS}/{uid}", [b""], ""
        return "POST", f"{JOBS}/{uid}/cancel", [b""], ""

    def _job(self, uid: str) -> dict[str, Any]:
        work = self.work
        return {
            "uid": uid,
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
        """Each task needs up to two of those before it."""
        work = self.work
        tasks = []
        for number in range(work.graph_tasks):
            needs = {f"t{self.rng.randrange(number)}" for _ in "ab"} if number else set()
            tasks.append(
                Task(f"t{number}", sorted(needs), work.cores, memory=5e8, expect_s=work.expect_s)
            )
        return File(Options(team=work.team), tasks)

    def result(self, seconds: float) -> Result:
        made = {}
        for kind in KINDS:
            if self.statuses[kind]:
                times = self.times[kind]
                ms = {
                    f"p{part:g}": float(times.get_value_at_percentile(part)) for part in PERCENTILES
                }
                some = dict(sorted(self.statuses[kind].items()))
                made[kind] = Figures(sum(some.values()), some, ms)
        return Result(round(seconds, 1), self.seed, made)


def plot(generator: Generator, path: str) -> None:
    """The times of each kind by percentile, as SVG or PNG by the name's ending."""
    import matplotlib

    matplotlib.use("agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5))
    parts = [0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 100]
    for kind, times in generator.times.items():
        if times.get_total_count():
            axes.plot(
                range(len(parts)), [times.get_value_at_percentile(p) for p in parts], label=kind
            )
    axes.set_xticks(range(len(parts)), [f"{part:g}" for part in parts])
    axes.set_xlabel("percentile")
    axes.set_ylabel("milliseconds from when it was due")
    axes.set_yscale("log")
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)
