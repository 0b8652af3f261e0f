"""An example of each kind of work, sent to a local cluster and followed to its end."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import curio
import msgspec

from umberward.graphs import files
from umberward.graphs.model import File, GraphId, Options, Task
from umberward.local.cluster import LocalCluster
from umberward.protocol import wire
from umberward.protocol.http import NoResponseError, RequestNotSentError, Response
from umberward.protocol.wire import ARRAY, GANG, SERVICE, JobSpec

AGAIN_S = 0.5
END_S = 90.0


def job(number: int, shape: str, shards: int, **fields: Any) -> JobSpec:
    """A small job; `fields` are those of the protocol."""
    base: dict[str, Any] = {
        "uid": f"req-{number:06d}",
        "jobclass": f"example-{shape}",
        "owner": "red",
        "shape": shape,
        "rank": "normal",
        "shards": shards,
        "cores": 1.0,
        "accelerators": 0.0,
        "mem_gb": 1.0,
        "bundle": "example",
        "pull_gb": 0.5,
        "expect_s": 4.0,
        "same_place": False,
        "apart": False,
        "reclaimable": False,
        "snapshot_every_s": 0.0,
        "snapshot_cost_s": 0.0,
    }
    return msgspec.convert(base | fields, JobSpec)


def graph(width: int = 6) -> File:
    """A fan-out and a fan-in."""
    middle = [Task(f"map-{n}", ["split"], expect_s=2.0) for n in range(width)]
    last = Task("reduce", [task.name for task in middle], num_cpus=2.0, expect_s=2.0)
    return File(Options(team="red"), [Task("split", expect_s=1.0), *middle, last])


async def ask(cluster: LocalCluster, method: str, path: str, body: bytes = b"") -> Response:
    """As a user does: the next controller if one does not answer, later if it says so."""
    deadline = time.monotonic() + END_S
    number = 0
    while time.monotonic() < deadline:
        address = cluster.listen[number % len(cluster.listen)]
        try:
            response = await cluster.client.request(address, method, path, body, 5.0)
            if response.status < 429:
                return response
        except (RequestNotSentError, NoResponseError):
            pass
        number += 1
        await curio.sleep(AGAIN_S)
    raise RuntimeError(f"{method} {path}: no answer")


async def send_graph(cluster: LocalCluster, id: str, file: File) -> Response:
    for part in files.parts(GraphId(id), file):
        response = await ask(cluster, "POST", "/v1/graphs", wire.encode(part))
        if response.status not in (200, 201, 202):
            break
    return response


async def wait_for(cluster: LocalCluster, path: str, phases: tuple[str, ...]) -> dict[str, Any]:
    """Poll until the phase is one of these."""
    deadline = time.monotonic() + END_S
    while True:
        response = await ask(cluster, "GET", path)
        found: dict[str, Any] = msgspec.msgpack.decode(response.body)
        if found.get("phase") in phases or time.monotonic() > deadline:
            return found
        await curio.sleep(AGAIN_S)


async def run(cluster: LocalCluster, say: Callable[[str], Any]) -> bool:
    """Whether all ended as they should."""
    array, gang = job(1, ARRAY, 12), job(2, GANG, 3, same_place=True)
    service = job(3, SERVICE, 2, rank="production", expect_s=0.0)
    for spec in (array, gang, service):
        await ask(cluster, "POST", "/v1/jobs", wire.encode(spec))
    await send_graph(cluster, "graph-1", graph())
    ended = await wait_for(cluster, f"/v1/jobs/{service.job_id}", ("running",))
    say(f"service {service.job_id}: {ended['phase']}")
    await ask(cluster, "POST", f"/v1/jobs/{service.job_id}/cancel")
    good = ended["phase"] == "running"
    for what, path in (
        (f"array {array.job_id}", f"/v1/jobs/{array.job_id}"),
        (f"gang {gang.job_id}", f"/v1/jobs/{gang.job_id}"),
        ("graph graph-1", "/v1/graphs/graph-1"),
    ):
        ended = await wait_for(cluster, path, ("done", "failed", "cancelled"))
        say(f"{what}: {ended['phase']}, {ended['done']} tasks done")
        good = good and ended["phase"] == "done"
    return bool(good)
