"""The Python client: results, failures and cancellation of tasks on a loopback cluster."""

from __future__ import annotations

import time
from typing import Any

import curio
import pytest

from umberward import client
from umberward.client.store import PIECE_BYTES, Store
from umberward.core.types import Address
from umberward.local.cluster import ClusterPlan, LocalCluster
from umberward.protocol import wire
from umberward.protocol.http import Request


@client.remote
def add(a: int, b: int = 0) -> int:
    return a + b


@client.remote(num_cpus=1, max_retries=0)
def divide(a: int, b: int) -> float:
    return a / b


def run_user_program(servers: list[str], store: str) -> dict[str, Any]:
    """A user's program, which runs in its own thread."""
    client.init(servers, store=store, team="red")
    results: dict[str, Any] = {}
    first = [add.remote(n, b=1) for n in range(4)]
    total = add.remote(add.remote(first[0], first[1]), add.remote(first[2], first[3]))
    large = client.remote(lambda: b"x" * (3 * PIECE_BYTES)).remote()
    results["total"], results["large"] = client.get(total), len(client.get(large))
    # A task of a later graph takes the result of an earlier graph.
    results["later"] = client.get(add.remote(total, 100))
    bad = divide.remote(1, 0)
    after = add.remote(bad, 1)
    for name, ref in (("failed", bad), ("not_run", after)):
        with pytest.raises(client.ClientError) as caught:
            client.get(ref)
        results[name] = caught.value
    with pytest.raises(client.NotRun):
        client.get(add.remote(after, 1))
    slow = client.remote(time.sleep).remote(600)
    finished, unfinished = client.wait([slow, add.remote(1)], num_returns=1)
    results["over"] = (len(finished), unfinished == [slow])
    client.cancel(slow)
    with pytest.raises(client.Cancelled):
        client.get(slow)
    with pytest.raises(TimeoutError):
        client.get(client.remote(time.sleep).remote(600), timeout=1.0)
    return results


async def run_on_cluster() -> dict[str, Any]:
    async with LocalCluster.running(ClusterPlan(controllers=2, speed=4.0)) as cluster:
        servers = [str(address) for address in cluster.listen]
        results: dict[str, Any] = await curio.run_in_thread(
            run_user_program, servers, str(cluster.store.server.address)
        )
        results["processes"] = list(cluster.processes.values())
    assert results["processes"] and all(p.poll() is not None for p in results["processes"])
    return results


def test_functions_on_a_cluster() -> None:
    found = curio.run(run_on_cluster)
    assert found["total"] == 10 and found["later"] == 110
    assert found["large"] == 3 * PIECE_BYTES
    assert isinstance(found["failed"], client.TaskFailed)
    assert "ZeroDivisionError" in str(found["failed"]) and "in divide" in str(found["failed"])
    assert isinstance(found["not_run"], client.NotRun) and "divide-" in str(found["not_run"])
    assert found["over"] == (1, True)


def test_what_is_not_served_says_so() -> None:
    with pytest.raises(client.ActorsNotServed, match="Counter: actors"):

        @client.remote
        class Counter:
            pass

    with pytest.raises(TypeError, match=r"add is remote: call add.remote\(...\)"):
        add(1)
    with pytest.raises(client.ClientError, match="expected HOST:PORT"):
        client.init("nowhere", store="127.0.0.1:1", team="red")
    client.init("127.0.0.1:1", store="127.0.0.1:1", team="red")
    with pytest.raises(client.ClientError, match="num_cpus"):
        client.remote(num_cpus="two")(len).remote([])
    with pytest.raises(client.ClientError, match="not inside another"):
        add.remote([add.remote(1)])


@pytest.mark.parametrize(
    "piece, of, size, status", [(0, 1, 10, 200), (1, 1, 10, 400), (0, 0, 1, 400), (0, 1, 101, 507)]
)
def test_the_store_is_bounded(piece: int, of: int, size: int, status: int) -> None:
    store = Store(Address("127.0.0.1", 1), max_total_bytes=100)
    body = wire.encode({"of": of, "data": b"x" * size})
    request = Request("POST", "/values/a", f"piece={piece}", body)
    assert curio.run(store.serve, request).status == status
    found = curio.run(store.serve, Request("GET", "/values/a", "", b""))
    assert found.status == (200 if status == 200 else 404)
