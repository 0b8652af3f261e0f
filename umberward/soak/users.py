"""The users of a soak: they submit, poll, repeat and cancel at all controllers, concurrently."""

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

SUBMIT_WAIT_S = 5.0
POLL_WAIT_S = 2.0
RETRY_S = 1.0
GIVE_UP_S = 60.0
RUNS_S = (0.2, 0.5, 1.0, 3.0, 8.0, 15.0)
CLOSE_GAPS_S = (0.0, 0.002, 0.05)  # between requests about the same job
MOST_LIVE = 60  # jobs under way for each ten workers; users rest beyond that
SOCKETS = 300
POLLS = 3  # for each submission
RECLAIMABLE_SHARE = 0.5
SPREAD_SERVICE_SHARE = 0.3
ZONE_SHARE = 0.2
SAME_ZONE_GANG_SHARE = 0.5
CHECKPOINT_SHARE = 0.3
REPEATED, CANCELLED, LOOKED_AT, ODD = 0.2, 0.25, 0.3, 0.05  # shares of the jobs


class Users:
    """Sends requests about jobs of many kinds, and records the answers."""

    def __init__(self, cluster: SoakCluster, rng: random.Random, jobs_per_s: float) -> None:
        """`jobs_per_s`: the mean rate of submissions."""
        self.cluster = cluster
        self.rng = rng
        self.jobs_per_s = jobs_per_s
        self.client = Client(SOCKETS)
        self.count = 0
        self.live: dict[str, dict[str, Any]] = {}  # accepted, and not known to be over

    async def run(self, until: float) -> None:
        """Submit and poll until that second of the run."""
        while self.cluster.now() < until:
            await curio.sleep(self.rng.expovariate(self.jobs_per_s))
            most = MOST_LIVE * max(1, len(self.cluster.workers) // 10)
            if len(self.live) < most:
                await self.cluster.group.spawn(self._one_job)
            for _ in range(POLLS):
                if self.live:
                    job = self.rng.choice(list(self.live))
                    await self.cluster.group.spawn(self.ask, "poll", job)

    async def cancel_many(self, count: int) -> None:
        """Cancel so many of the jobs that are under way, all at once."""
        for job in self.rng.sample(list(self.live), min(count, len(self.live))):
            await self.cluster.group.spawn(self.cancel, job)

    async def cancel_endless(self) -> None:
        """Cancel the jobs that would never end by themselves."""
        for job, spec in list(self.live.items()):
            if spec["shape"] == wire.SERVICE:
                await self.cluster.group.spawn(self.cancel, job)

    # ---- one job ---------------------------------------------------------------------------

    async def _one_job(self) -> None:
        spec = self._spec()
        job = spec["uid"]
        until = self.cluster.now() + GIVE_UP_S
        while True:
            status = await self.ask("submit", job, body=wire.encode(spec))
            if status not in (0, 429, 503, 504):
                break
            await curio.sleep(RETRY_S)
            if self.cluster.now() > until:
                return
        if status not in (200, 201):
            return
        self.live[job] = spec
        if self.rng.random() < LOOKED_AT:
            await self._look_closely(job, spec)
        if self.rng.random() < REPEATED:
            await self.cluster.group.spawn(self._again, job, spec)
        if spec["shape"] == wire.SERVICE or self.rng.random() < CANCELLED:
            await curio.sleep(self.rng.choice((0.0, 0.1, 1.0, 2.1, 6.0)))
            await self.cancel(job)
            await self._look_closely(job, spec)

    async def _again(self, job: str, spec: dict[str, Any]) -> None:
        """Send the same submission once more, a while later."""
        await curio.sleep(self.rng.uniform(0.0, 15.0))
        await self.ask("submit", job, body=wire.encode(spec))

    async def _look_closely(self, job: str, spec: dict[str, Any]) -> None:
        gap_s = self.rng.choice(CLOSE_GAPS_S)
        for name in self.cluster.names:
            await self.cluster.group.spawn(self.ask, "poll", job, name)
            await self.cluster.group.spawn(self.ask, "submit", job, name, wire.encode(spec))
            await curio.sleep(gap_s)

    async def cancel(self, job: str) -> None:
        """Send cancellations of the job until one is answered."""
        self.cluster.record(history.CancelAsked(self.cluster.now(), job))
        until = self.cluster.now() + GIVE_UP_S
        while self.cluster.now() < until and await self.ask("cancel", job) != HTTPStatus.OK:
            await curio.sleep(RETRY_S)

    async def ask(self, kind: str, job: str, name: str = "", body: bytes = b"") -> int:
        """Send a request to the controller `name`, or to any; its status, 0 for no answer."""
        name = name or self.rng.choice(self.cluster.names)
        method, target, wait = {
            "submit": ("POST", "/v1/jobs", SUBMIT_WAIT_S),
            "poll": ("GET", f"/v1/jobs/{job}", POLL_WAIT_S),
            "cancel": ("POST", f"/v1/jobs/{job}/cancel", SUBMIT_WAIT_S),
        }[kind]
        asked_at = self.cluster.now()
        status, phase = 0, ""
        try:
            response = await self.client.request(
                self.cluster.nodes[name], method, target, body, wait
            )
            status = response.status
            if status in (200, 201):
                phase = msgspec.msgpack.decode(response.body)["phase"]
        except (RequestNotSentError, NoResponseError):
            pass
        answered = history.Answered(self.cluster.now(), kind, job, name, asked_at, status, phase)
        self.cluster.record(answered)
        if phase in (wire.DONE, wire.CANCELLED):
            self.live.pop(job, None)
        return status

    # ---- what is submitted -----------------------------------------------------------------

    def _spec(self) -> dict[str, Any]:
        rng = self.rng
        self.count += 1
        shape = rng.choices((wire.ARRAY, wire.GANG, wire.SERVICE), (6, 2, 2))[0]
        spec: dict[str, Any] = {
            "uid": f"req-{self.count:06d}",
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
        # Work of high rank stops work of lower rank all the time.
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
        why = self._make_odd(spec) if rng.random() < ODD else ""
        self._known(spec, why)
        return spec

    def _make_odd(self, spec: dict[str, Any]) -> str:
        """Make it a job that can never run; why."""
        field = self.rng.choice(("cores", "owner", "mem_gb"))
        spec[field] = "nobody" if field == "owner" else 1000.0
        return f"{field} is {spec[field]}"

    def _known(self, spec: dict[str, Any], why: str) -> None:
        job = spec["uid"]
        self.cluster.specs[job] = wire.convert(spec, wire.JobSpec)
        self.cluster.runs[job] = self.rng.choice(RUNS_S)
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
