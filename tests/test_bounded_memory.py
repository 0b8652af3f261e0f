"""No table of a controller grows with the jobs, machines and requests that it has dealt with."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest
from cluster_settings import job_spec
from simulated_controllers import SimulatedControllers

from umberward.control import rejection_log
from umberward.scheduling import heartbeat_forwarding, scheduler

CONTAINERS = (dict, set, list, deque)
# Low limits of the tables that keep what is over for a time.
CACHED_RECORDS, REMEMBERED_WORKERS, DELETED_MACHINES, KEPT_ANSWERS = 10, 6, 4, 10
# Tables that the load must reach.
EXPECTED_TABLES = {
    "AbsentJobCache._lookups",
    "Scheduler.machines",
    "DependencyGraph.dependencies",
    "JobStateCache.final_records",
    "RejectionLog._kept",
}
KINDS: list[dict[str, Any]] = [
    {"shape": "service", "rank": "production"},
    {"expect_s": 60.0, "snapshot_every_s": 1.0},
    {"shape": "ensemble", "rank": "urgent"},
    {"waits_on": True},
    {"yard": "b"},
    {"rank": "idle"},
]
JOBS_PER_ROUND = len(KINDS)
WARM_UP_ROUNDS, ROUNDS = 4, 12
ROUND_S = 40.0
IMAGE_GB = 10.0  # so that a machine's image cache is full after the first rounds


def attributes(found: object) -> Iterator[tuple[str, object]]:
    names = set(getattr(found, "__dict__", ()))
    for kind in type(found).__mro__:
        names.update(getattr(kind, "__slots__", ()))
    if isinstance(found, msgspec.Struct):
        names.update(found.__struct_fields__)
    for name in sorted(names):
        if hasattr(found, name):
            yield name, getattr(found, name)


def table_sizes(root: object) -> Counter[str]:
    """The entries in each table of the program's objects that can be reached from `root`.

    Tables are named by class and attribute, and added up over all objects of the class.
    """
    sizes: Counter[str] = Counter()
    seen: set[int] = set()
    waiting: list[Any] = [root]
    while waiting:
        found = waiting.pop()
        if id(found) in seen:
            continue
        seen.add(id(found))
        if isinstance(found, CONTAINERS):
            waiting += found.values() if isinstance(found, dict) else found
        elif isinstance(found, tuple):
            waiting += found
        elif type(found).__module__.startswith("umberward."):
            for name, value in attributes(found):
                waiting.append(value)
                if isinstance(value, CONTAINERS):
                    sizes[f"{type(found).__name__}.{name}"] += len(value)
    return sizes


class Load:
    """Jobs that end, are cancelled and are asked about, and machines that come and go."""

    def __init__(self, controllers: SimulatedControllers) -> None:
        self.controllers = controllers
        self.rounds = 0

    def run_round(self) -> None:
        controllers, first = self.controllers, self.rounds * JOBS_PER_ROUND
        self.rounds += 1
        jobs = [f"req-{first + number:06d}" for number in range(JOBS_PER_ROUND)]
        machine = f"extra{self.rounds}"
        controllers.machine(machine, "small", "a")
        for job, kind in zip(jobs, KINDS, strict=True):
            runs = 1e9 if kind.get("shape") == "service" else 2.0
            more = {**kind, "waits_on": [jobs[1]]} if "waits_on" in kind else kind
            image = {"bundle": f"img-{job}", "pull_gb": IMAGE_GB}
            spec = job_spec(job, shards=2, cores=1.0, _runs=runs, **image, **more)
            controllers.submit(spec, "k0")
        controllers.run(ROUND_S / 2)
        controllers.remove(machine)
        for job in jobs[:2]:
            controllers.cancel(job, "k1")
        for number, job in enumerate(jobs):
            controllers.poll(job, "k0")
            controllers.poll(f"req-{900_000 + first + number:06d}", "k1")
        controllers.run(ROUND_S / 2)


def test_tables_do_not_grow_with_what_is_over(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(heartbeat_forwarding, "MAX_REMEMBERED_WORKERS", REMEMBERED_WORKERS)
    monkeypatch.setattr(scheduler, "MAX_DELETED_MACHINES_KEPT", DELETED_MACHINES)
    monkeypatch.setattr(rejection_log, "MAX_KEPT_ANSWERS", KEPT_ANSWERS)
    controllers = SimulatedControllers(size=2, operator={"poll_cache": CACHED_RECORDS})
    with controllers.playing():
        for name in controllers.names:
            controllers.start(name)
        for zone in "ab":
            controllers.machine(f"m{zone}", "big", zone)
        load = Load(controllers)
        for _ in range(WARM_UP_ROUNDS):
            load.run_round()
        before = {name: table_sizes(controllers.nodes[name]) for name in controllers.names}
        for _ in range(ROUNDS):
            load.run_round()
        assert not controllers.broken
        assert set(before["k0"]) | set(before["k1"]) >= EXPECTED_TABLES
        grown = {
            f"{name}: {table}": (before[name][table], size)
            for name in controllers.names
            for table, size in table_sizes(controllers.nodes[name]).items()
            if size >= before[name][table] + ROUNDS
        }
        assert grown == {}
