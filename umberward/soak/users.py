"""Simulated users: they submit, poll, resubmit and cancel jobs at all controllers concurrently."""

from __future__ import annotations

import random
from http import HTTPStatus
from typing import Any

import curio
import msgspec

from umberward.protocol import wire
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError
from umberward.soak import history
from umberward.soak.cluster import SoakCluster

SUBMIT_TIMEOUT_S = 5.0
POLL_TIMEOUT_S = 2.0
RETRY_DELAY_S = 1.0
GIVE_UP_AFTER_S = 60.0
TASK_RUNTIMES_S = (0.2, 0.5, 1.0, 3.0, 8.0, 15.0)
QUERY_GAPS_S = (0.0, 0.002, 0.05)  # between queries of the same job at different controllers
LIVE_JOBS_PER_TEN_WORKERS = 60  # users submit nothing beyond that
MAX_CLIENT_SOCKETS = 300
POLLS_PER_SUBMISSION = 3
RECLAIMABLE_SHARE = 0.5
SPREAD_SERVICE_SHARE = 0.3
ZONE_SHARE = 0.2
SAME_ZONE_GANG_SHARE = 0.5
CHECKPOINT_SHARE = 0.3
REPEATED_SHARE, CANCELLED_SHARE, QUERIED_SHARE, UNRUNNABLE_SHARE = 0.2, 0.25, 0.3, 0.05
ENDED_QUERY_INTERVAL_S = 0.5  # between queries of jobs that have ended


class Users:
    """Sends requests about jobs of many kinds and records the responses."""

    def __init__(self, cluster: SoakCluster, rng: random.Random, jobs_per_s: float) -> None:
        """`jobs_per_s`: the mean rate of submissions."""
        self.cluster = cluster
        self.rng = rng
        self.jobs_per_s = jobs_per_s
        self.client = Client(MAX_CLIENT_SOCKETS)
        self.submission_count = 0
        self.live_jobs: dict[str, dict[str, Any]] = {}  # accepted and not known to have ended
        self.ended_jobs: list[str] = []

    async def run(self, until: float) -> None:
        """Submit and poll until second `until` of the run."""
        await self.cluster.task_scope.spawn(self._query_ended_jobs, until)
        while self.cluster.now() < until:
            await curio.sleep(self.rng.expovariate(self.jobs_per_s))
            max_live_jobs = LIVE_JOBS_PER_TEN_WORKERS * max(1, len(self.cluster.workers) // 10)
            if len(self.live_jobs) < max_live_jobs:
                await self.cluster.task_scope.spawn(self._run_job)
            for _ in range(POLLS_PER_SUBMISSION):
                if self.live_jobs:
                    job = self.rng.choice(list(self.live_jobs))
                    await self.cluster.task_scope.spawn(self.send_request, "poll", job)

    async def cancel_many(self, count: int) -> None:
        """Cancel `count` of the live jobs at once."""
        for job in self.rng.sample(list(self.live_jobs), min(count, len(self.live_jobs))):
            await self.cluster.task_scope.spawn(self.cancel, job)

    async def cancel_services(self) -> None:
        """Cancel the services, which would never end by themselves."""
        for job, spec in list(self.live_jobs.items()):
            if spec["shape"] == wire.SERVICE:
                await self.cluster.task_scope.spawn(self.cancel, job)

    # ---- one job ---------------------------------------------------------------------------

    async def _run_job(self) -> None:
        spec = self._draw_spec()
        job = spec["uid"]
        until = self.cluster.now() + GIVE_UP_AFTER_S
        while True:
            status = await self.send_request("submit", job, body=wire.encode(spec))
            if status not in (0, 429, 503, 504):
                break
            await curio.sleep(RETRY_DELAY_S)
            if self.cluster.now() > until:
                return
        if status not in (200, 201):
            return
        self.live_jobs[job] = spec
        if self.rng.random() < QUERIED_SHARE:
            await self._query_all_controllers(job, spec)
        if self.rng.random() < REPEATED_SHARE:
            await self.cluster.task_scope.spawn(self._repeat_submission, job, spec)
        if spec["shape"] == wire.SERVICE or self.rng.random() < CANCELLED_SHARE:
            await curio.sleep(self.rng.choice((0.0, 0.1, 1.0, 2.1, 6.0)))
            await self.cancel(job)
            await self._query_all_controllers(job, spec)

    async def _repeat_submission(self, job: str, spec: dict[str, Any]) -> None:
        """Send the same submission again after a random delay."""
        await curio.sleep(self.rng.uniform(0.0, 15.0))
        await self.send_request("submit", job, body=wire.encode(spec))

    async def _query_all_controllers(self, job: str, spec: dict[str, Any]) -> None:
        gap_s = self.rng.choice(QUERY_GAPS_S)
        for name in self.cluster.controller_names:
            await self.cluster.task_scope.spawn(self.send_request, "poll", job, name)
            await self.cluster.task_scope.spawn(
                self.send_request, "submit", job, name, wire.encode(spec)
            )
            await curio.sleep(gap_s)

    async def _query_ended_jobs(self, until: float) -> None:
        """Query random jobs that have ended: a controller that was restarted must look them up."""
        while self.cluster.now() < until:
            await curio.sleep(ENDED_QUERY_INTERVAL_S)
            if self.ended_jobs:
                await self._query_ended_job(self.rng.choice(self.ended_jobs))

    async def _query_ended_job(self, job: str) -> None:
        """Cancel and poll an ended job twice at every controller, within milliseconds."""
        kinds = self.rng.sample(("cancel", "poll", "cancel", "poll"), 4)
        gap_s = self.rng.choice(QUERY_GAPS_S)
        for kind in kinds:
            for name in self.cluster.controller_names:
                await self.cluster.task_scope.spawn(self.send_request, kind, job, name)
            await curio.sleep(gap_s)

    async def cancel(self, job: str) -> None:
        """Send cancellations of the job until one succeeds."""
        self.cluster.record(history.CancelAsked(self.cluster.now(), job))
        until = self.cluster.now() + GIVE_UP_AFTER_S
        while (
            self.cluster.now() < until and await self.send_request("cancel", job) != HTTPStatus.OK
        ):
            await curio.sleep(RETRY_DELAY_S)

    async def send_request(self, kind: str, job: str, name: str = "", body: bytes = b"") -> int:
        """Send a request to one controller, `name` or a random one. Returns its status or 0."""
        name = name or self.rng.choice(self.cluster.controller_names)
        method, target, wait = {
            "submit": ("POST", "/v1/jobs", SUBMIT_TIMEOUT_S),
            "poll": ("GET", f"/v1/jobs/{job}", POLL_TIMEOUT_S),
            "cancel": ("POST", f"/v1/jobs/{job}/cancel", SUBMIT_TIMEOUT_S),
        }[kind]
        asked_at = self.cluster.now()
        asked_build = self.cluster.build_of(name)
        status, phase = 0, ""
        try:
            response = await self.client.request(
                self.cluster.controller_addresses[name], method, target, body, wait
            )
            status = response.status
            if status in (200, 201):
                phase = msgspec.msgpack.decode(response.body)["phase"]
        except (RequestNotSentError, NoResponseError):
            pass
        build = self.cluster.build_of(name)
        if build != asked_build:
            build = f"{asked_build} or {build}"  # it was restarted in between
        answer = history.Answered(
            self.cluster.now(), kind, job, name, asked_at, status, phase, build
        )
        self.cluster.record(answer)
        if phase in (wire.DONE, wire.CANCELLED) and self.live_jobs.pop(job, None) is not None:
            self.ended_jobs.append(job)
        return status

    # ---- submitted jobs --------------------------------------------------------------------

    def _draw_spec(self) -> dict[str, Any]:
        rng = self.rng
        self.submission_count += 1
        shape = rng.choices((wire.ARRAY, wire.GANG, wire.SERVICE), (6, 2, 2))[0]
        spec: dict[str, Any] = {
            "uid": f"req-{self.submission_count:06d}",
            "jobclass": shape,
            "owner": rng.choice(("red", "blue")),
            "shape": shape,
            "rank": "normal",
            "shards": rng.randint(1, 3),
            "cores": 1.0,
            "accelerators": 0.0,
            "mem_gb": 1.0,
            "bundle": f"img-{rng.randint(1, 5)}",
            "pull_gb": rng.choice((0.0, 0.5, 2.0)),
            "flavors": None,
            "yard": None,
            "same_place": False,
            "apart": False,
            "reclaimable": rng.random() < RECLAIMABLE_SHARE,
            "expect_s": 5.0,
            "snapshot_every_s": 0.0,
            "snapshot_cost_s": 0.0,
            "due_s": None,
        }
        if shape == wire.ARRAY:
            spec["shards"] = rng.choice((1, 1, 2, 6, max(4, len(self.cluster.workers) // 10)))
        # The mix makes jobs of high rank preempt jobs of lower rank all the time.
        weights = {wire.SERVICE: (3, 1, 1, 1), wire.GANG: (0, 3, 2, 1), wire.ARRAY: (0, 1, 3, 4)}
        spec["rank"] = rng.choices(("production", "urgent", "normal", "idle"), weights[shape])[0]
        spec["cores"] = rng.choice((1.0, 2.0, 4.0))
        if shape == wire.SERVICE:
            spec["expect_s"] = 0.0
            spec["apart"] = rng.random() < SPREAD_SERVICE_SHARE
        if rng.random() < ZONE_SHARE:
            spec["yard"] = rng.choice(self.cluster.zones)
        elif shape == wire.GANG and rng.random() < SAME_ZONE_GANG_SHARE:
            spec["same_place"] = True
        if rng.random() < CHECKPOINT_SHARE:
            spec["snapshot_every_s"], spec["snapshot_cost_s"] = 2.0, 0.5
        why = self._make_unrunnable(spec) if rng.random() < UNRUNNABLE_SHARE else ""
        self._register_job(spec, why)
        return spec

    def _make_unrunnable(self, spec: dict[str, Any]) -> str:
        """Make the job one that can never run. Returns why."""
        field = self.rng.choice(("cores", "owner", "mem_gb"))
        spec[field] = "nobody" if field == "owner" else 1000.0
        return f"{field} is {spec[field]}"

    def _register_job(self, spec: dict[str, Any], why: str) -> None:
        job = spec["uid"]
        self.cluster.specs[job] = wire.convert(spec, wire.JobSpec)
        self.cluster.task_runtimes_s[job] = self.rng.choice(TASK_RUNTIMES_S)
        self.cluster.record(
            history.Submitted(
                self.cluster.now(),
                job,
                spec["owner"],
                spec["shape"],
                spec["shards"],
                spec["cores"],
                spec["yard"],
                spec["same_place"],
                spec["apart"],
                spec["reclaimable"],
                why,
            )
        )
