"""Jobs that wait for many others cost a controller a bounded amount of memory."""

from __future__ import annotations

import tracemalloc

import pytest
from cluster_settings import job_spec, raw_settings
from simulated_cluster import SimulatedCluster

from umberward.control.job_admission import DEPENDENCY_BYTES
from umberward.core.types import JobId
from umberward.protocol import wire
from umberward.scheduling.dependencies import DependencyGraph

WAITING_JOBS, DEPENDENCIES = 600, 800


def _names(count: int, first: int = 1) -> list[JobId]:
    """Ids as a record names them: a string of its own for each."""
    packed = wire.pack_dependencies(
        JobId(f"req-{number:06d}") for number in range(first, first + count)
    )
    return wire.unpack_dependencies(packed)


def _graph() -> DependencyGraph:
    graph = DependencyGraph(lambda _: True)
    for number in range(WAITING_JOBS):
        graph.add(JobId(f"req-{100_000 + number}"), _names(DEPENDENCIES))
    return graph


def test_a_dependency_takes_no_more_memory_than_is_reckoned() -> None:
    tracemalloc.start()
    try:
        graph = _graph()
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert graph.edge_count == WAITING_JOBS * DEPENDENCIES
    # A leader has two graphs: its own, and that of its cache of job states.
    assert 2 * held_bytes <= DEPENDENCY_BYTES * graph.edge_count


@pytest.mark.parametrize("phase", [wire.DONE, wire.CANCELLED])
def test_the_graph_is_empty_once_all_its_jobs_have_ended(phase: str) -> None:
    graph = _graph()
    ready = [job for name in _names(DEPENDENCIES) for job in graph.note_ended(name, phase)]
    assert len(ready) == (WAITING_JOBS if phase == wire.DONE else 0)
    for number in range(WAITING_JOBS):
        graph.note_ended(JobId(f"req-{100_000 + number}"), phase)
    assert graph.edge_count == 0
    assert not (graph.dependencies or graph.dependents or graph._dependency_ids)


def test_waiting_jobs_that_are_removed_leave_nothing_behind() -> None:
    graph = _graph()
    for number in range(WAITING_JOBS):
        graph.note_removed(JobId(f"req-{100_000 + number}"))
    assert graph.edge_count == 0
    assert not (graph.dependencies or graph.dependents or graph._dependency_ids)


def test_dependencies_beyond_a_controllers_memory_are_refused_for_now() -> None:
    raw = raw_settings()
    raw["cluster"]["machine_limits"]["memory_mb"] = 100 * DEPENDENCY_BYTES / 0.25 / 1e6
    cluster = SimulatedCluster(raw)
    needed = [f"req-{number:06d}" for number in range(1, 61)]
    for name in needed:
        assert cluster.submit(job_spec(name, _runs=5.0)).status == 201
    first = job_spec("req-000100", waits_on=needed, _runs=5.0)
    second = job_spec("req-000101", waits_on=needed, _runs=5.0)
    assert cluster.submit(first).status == 201
    refused = cluster.submit(second)
    assert (refused.status, refused.retry_after is not None) == (429, True)
    assert cluster.submit(first).status == 200  # accepted before
    assert cluster.submit(job_spec("req-000102", waits_on=needed[:40], _runs=5.0)).status == 201
    for name in needed[:30]:
        cluster.cancel(name)
    cluster.poll("req-000100")
    assert cluster.submit(job_spec("req-000103", waits_on=needed[40:], _runs=5.0)).status == 201
    assert cluster.broken == []
