"""A graph within the stated limits takes a bounded amount of memory for each need of its tasks."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable
from typing import Any

import pytest

from umberward.graphs import records
from umberward.graphs.errors import CyclicGraphError, UnknownNeedError
from umberward.graphs.model import GraphId, Shape, Task, find_problems
from umberward.graphs.records import PartRecord
from umberward.protocol import wire

STAGES, WIDTH, PARTS = 20, 100, 10
NEEDS = (STAGES - 1) * WIDTH * WIDTH
BYTES_PER_TASK = 500  # for all but its needs


def _tasks() -> list[Task]:
    """Each task needs all of the stage before, by strings of its own."""
    return [
        Task(
            f"s{stage:02d}n{number:03d}",
            [f"s{stage - 1:02d}n{need:03d}" for need in range(WIDTH) if stage],
        )
        for stage in range(STAGES)
        for number in range(WIDTH)
    ]


def _stored_parts() -> dict[str, Any]:
    tasks = _tasks()
    size = len(tasks) // PARTS
    values: dict[str, Any] = {}
    for part in range(PARTS):
        data = records.encode_tasks(tasks[part * size : (part + 1) * size])
        values[str(part)] = wire.to_builtins(PartRecord(f"digest{part}", 1))
        values[f"{part}/digest{part}/0"] = records.compress(data)
    return values


def _measure(build: Callable[[], Any]) -> tuple[Any, int, int]:
    """Return what was built, the bytes that it holds, and the most that were held meanwhile."""
    tracemalloc.start()
    try:
        built = build()
        held, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return built, held, peak


def test_the_parts_of_a_graph_hold_one_string_for_each_task() -> None:
    values = _stored_parts()
    parts, held, peak = _measure(lambda: records.assemble_parts(GraphId("graph-1"), values, PARTS))
    assert [task for _, tasks in parts for task in tasks] == _tasks()
    tasks_bytes = STAGES * WIDTH * BYTES_PER_TASK
    assert held <= 10 * NEEDS + tasks_bytes
    # Besides, one part is decoded at a time.
    assert peak <= held + 400 * NEEDS / PARTS


def test_the_shape_of_a_graph_takes_a_few_bytes_for_each_need() -> None:
    tasks = _tasks()
    shape, held, peak = _measure(lambda: Shape(tasks))
    assert [len(needs) for needs in shape.needs] == [0] * WIDTH + [WIDTH] * (STAGES - 1) * WIDTH
    assert held <= 6 * NEEDS + STAGES * WIDTH * BYTES_PER_TASK
    assert peak <= 10 * NEEDS + STAGES * WIDTH * BYTES_PER_TASK


def test_the_search_for_problems_takes_no_copy_of_the_names() -> None:
    tasks = _tasks()
    problems, _, peak = _measure(lambda: find_problems(tasks))
    assert problems == []
    assert peak <= 20 * NEEDS + STAGES * WIDTH * BYTES_PER_TASK


def test_a_shape_still_names_an_unknown_need_and_a_cycle() -> None:
    with pytest.raises(UnknownNeedError, match="nobody"):
        Shape([Task("a", ["nobody"])])
    with pytest.raises(CyclicGraphError):
        Shape([Task("a", ["b"]), Task("b", ["a"]), Task("c", [])])
    shape = Shape([Task("c", ["b", "a", "b"]), Task("b", ["a"]), Task("a", [])])
    assert shape.names == ["a", "b", "c"]
    assert [list(needs) for needs in shape.needs] == [[], [0], [0, 1]]
    assert [list(dependents) for dependents in shape.dependents] == [[1, 2], [2], []]
