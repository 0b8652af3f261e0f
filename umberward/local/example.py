"""Submits an example of each kind of work to a local cluster and waits until each has ended."""

from __future__ import annotations

import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import curio
import msgspec

from umberward.graphs import files
from umberward.graphs.model import File, GraphId, Options, Task
from umberward.local.cluster import LocalCluster
from umberward.protocol import wire
from umberward.protocol.http import NoResponseError, RequestNotSentError, Response
from umberward.protocol.wire import ARRAY, GANG, SERVICE, JobSpec

RETRY_S = 0.5
MAX_WAIT_S = 90.0  # for a response, and for the end of each job or graph
REQUEST_TIMEOUT_S = 5.0


class NoAnswerError(RuntimeError):
    """No controller answered a request in time."""

    def __init__(self, method: str, path: str) -> None:
        """`method`, `path`: of the request."""
        super().__init__(f"{method} {path}: no answer")


def job(number: int, kind: str, task_count: int, **fields: object) -> JobSpec:
    """A small job; `fields` override its defaults, under their names on the wire."""
    base: dict[str, Any] = {
        "uid": f"req-{number:06d}",
        "jobclass": f"example-{kind}",
        "owner": "red",
        "shape": kind,
        "rank": "normal",
        "shards": task_count,
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
    """A graph that fans out from one task to `width` tasks and in to one."""
    middle = [Task(f"map-{index}", ["split"], expect_s=2.0) for index in range(width)]
    last = Task("reduce", [task.name for task in middle], num_cpus=2.0, expect_s=2.0)
    return File(Options(team="red"), [Task("split", expect_s=1.0), *middle, last])


async def send_request(
    cluster: LocalCluster, method: str, path: str, body: bytes = b""
) -> Response:
    """Send a request, retrying with the next controller if one is overloaded or does not answer.

    Raises NoAnswerError.
    """
    deadline = time.monotonic() + MAX_WAIT_S
    number = 0
    while time.monotonic() < deadline:
        address = cluster.listen[number % len(cluster.listen)]
        try:
            response = await cluster.client.request(address, method, path, body, REQUEST_TIMEOUT_S)
            if response.status < HTTPStatus.TOO_MANY_REQUESTS:
                return response
        except (RequestNotSentError, NoResponseError):
            pass
        number += 1
        await curio.sleep(RETRY_S)
    raise NoAnswerError(method, path)


async def send_graph(cluster: LocalCluster, graph_id: str, file: File) -> Response:
    """Send a graph in as many parts as needed; returns the response to the last part sent."""
    for part in files.split_graph(GraphId(graph_id), file):
        response = await send_request(cluster, "POST", "/v1/graphs", wire.encode(part))
        if response.status not in (HTTPStatus.OK, HTTPStatus.CREATED, HTTPStatus.ACCEPTED):
            break
    return response


async def wait_for(cluster: LocalCluster, path: str, phases: tuple[str, ...]) -> dict[str, Any]:
    """Poll a job or graph until it is in one of `phases` or time is up; returns its last state."""
    deadline = time.monotonic() + MAX_WAIT_S
    while True:
        response = await send_request(cluster, "GET", path)
        state: dict[str, Any] = msgspec.msgpack.decode(response.body)
        if state.get("phase") in phases or time.monotonic() > deadline:
            return state
        await curio.sleep(RETRY_S)


async def run(cluster: LocalCluster, print_line: Callable[[str], object]) -> bool:
    """Run one of each kind of work and print how each ends; True if all ended as expected."""
    array, gang = job(1, ARRAY, 12), job(2, GANG, 3, same_place=True)
    service = job(3, SERVICE, 2, rank="production", expect_s=0.0)
    for spec in (array, gang, service):
        await send_request(cluster, "POST", "/v1/jobs", wire.encode(spec))
    await send_graph(cluster, "graph-1", graph())
    state = await wait_for(cluster, f"/v1/jobs/{service.job_id}", ("running",))
    print_line(f"service {service.job_id}: {state['phase']}")
    await send_request(cluster, "POST", f"/v1/jobs/{service.job_id}/cancel")
    succeeded = state["phase"] == "running"
    for label, path in (
        (f"array {array.job_id}", f"/v1/jobs/{array.job_id}"),
        (f"gang {gang.job_id}", f"/v1/jobs/{gang.job_id}"),
        ("graph graph-1", "/v1/graphs/graph-1"),
    ):
        state = await wait_for(cluster, path, ("done", "failed", "cancelled"))
        print_line(f"{label}: {state['phase']}, {state['done']} tasks done")
        succeeded = succeeded and state["phase"] == "done"
    return bool(succeeded)
