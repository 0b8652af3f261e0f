"""The runs whose traffic is recorded: all deterministic scenarios, and some randomly drawn days.

As a program it executes all runs and prints their digests as JSON. With `--keep FOLDER` it also
writes the messages of each run there, one per line, so that `diff` can compare two versions.
"""

from __future__ import annotations

import argparse
import contextlib
import functools
import json
import random
import time
import traceback
from collections.abc import Callable, Iterator, MutableSet
from pathlib import Path
from typing import Any
from unittest import mock

import curio
import curio.kernel
from curio import TaskGroup
from curio.sched import SchedBarrier
from network import Clock, JumpingSelector
from test_fault_combinations import FILES as MEETING_FILES
from test_fault_combinations import play_meeting
from test_fault_days import EVENTS, HANGS, KEPT, PROCESSES, TROUBLES, Day
from test_graphs import FILES as GRAPH_FILES
from test_graphs import GraphScenarioPlayer
from test_scenarios import FILES, play
from traffic_recorder import Digest, recording

from umberward.scheduling.invariants import Invariants

Run = Callable[[], None]

SEEDS = range(20)
STEPS_A_DAY = 4
ALL_TROUBLES = (*TROUBLES, HANGS, KEPT)  # in this order, not sorted as in test_fault_days
PAUSES_S = (0.05, 0.3, 1.0, 2.5, 4.5, 9.0, 16.0)

# Scenarios that are not recorded, and why.
REAL_SOCKETS = "it uses real sockets, where messages have no fixed order"
NO_MESSAGES = "it sends no message through the simulated services"
NOT_RECORDED: dict[str, str] = {
    "bad_settings": NO_MESSAGES,
    "cost_of_long_passes": NO_MESSAGES,
    "cost_of_sockets": REAL_SOCKETS,
    "large_array": "it takes 7 s; nearly all others contain smaller arrays",
    "lower_rate": NO_MESSAGES,
    "paused_before_sending": REAL_SOCKETS,
    "readme_pipeline": REAL_SOCKETS,
}


def scenario_names() -> set[str]:
    return {_name(path) for path in [*FILES, *GRAPH_FILES, *MEETING_FILES]}


def _name(path: Path) -> str:
    folder = path.parent.name
    return path.stem if folder == "scenarios" else f"{folder}/{path.stem}"


def all_runs() -> dict[str, Run]:
    runs: dict[str, Run] = {}
    for path in FILES:
        runs[_name(path)] = functools.partial(play, path)
    for path in GRAPH_FILES:
        runs[_name(path)] = functools.partial(play, path, GraphScenarioPlayer)
    for path in MEETING_FILES:
        runs[_name(path)] = functools.partial(play_meeting, path)
    runs = {name: run for name, run in runs.items() if name not in NOT_RECORDED}
    for seed in SEEDS:
        runs[f"day/{seed}"] = functools.partial(play_day, seed)
    return runs


def play_day(seed: int) -> None:
    """Run a day of `test_fault_days.Day`, drawn from the seed alone: what hypothesis draws would
    change with the constants of the code."""
    rng = random.Random(seed)
    day = Day()
    try:
        day.begins(
            limit=rng.choice((0.0, 0.0, 12.0)),
            speed=rng.choice((1.0, 8.0)),
            report_s=rng.choice((1.0, 0.3)),
        )
        for _ in range(STEPS_A_DAY):
            rng.choice(STEPS)(day, rng)
            day.rules_hold()
    finally:
        day.teardown()


def _ends(day: Day, rng: random.Random) -> None:
    day.ends(who=rng.choice(PROCESSES), away=rng.choice(PAUSES_S), after=rng.choice(PAUSES_S))


def _meeting(day: Day, rng: random.Random) -> None:
    day.meeting(
        tasks=rng.choice((1, 2, 3, 6)),
        runs=rng.choice((3.0, 12.0)),
        first=rng.choice(ALL_TROUBLES),
        second=rng.choice(ALL_TROUBLES),
        then=rng.choice(EVENTS),
        who=rng.choice(("leader", "other")),
        which=rng.choice(("busy", "m*")),
        before=rng.choice(PAUSES_S),
        after=rng.choice(PAUSES_S),
        heals=rng.random() < 0.5,
        shape=rng.choice(("batch", "ensemble")),
        yard=rng.choice((None, None, "a", "b")),
    )


def _looks(day: Day, rng: random.Random) -> None:
    day.looks(
        what=rng.choice(("accepted", "cancelled", "ended")),
        who=rng.choice(("leader", "other")),
        gap_ms=rng.choice((0.0, 1.0, 7.0, 60.0)),
    )


def _preempted(day: Day, rng: random.Random) -> None:
    day.preempted(
        tasks=rng.choice((1, 3)),
        gap=rng.choice((0.3, 0.8, 1.2)),
        shape=rng.choice(("batch", "ensemble")),
        link=rng.choice(("commands held", "commands late", "answers to commands held")),
        who=rng.choice(("leader", "other")),
        lasts=rng.choice((1.0, 2.2, 5.0)),
        after=rng.choice(PAUSES_S),
    )


def _stream(day: Day, rng: random.Random) -> None:
    day.stream(count=6)


def _leaders(day: Day, rng: random.Random) -> None:
    day.leaders(count=3, outage=rng.random() < 0.5)


def _copies(day: Day, rng: random.Random) -> None:
    day.copies(
        which=rng.choice(("busy", "m*")),
        least=rng.choice((0.5, 5.0)),
        most=rng.choice((8.0, 25.0)),
    )


STEPS = (_ends, _meeting, _meeting, _meeting, _looks, _preempted, _stream, _leaders, _copies)


class OrderedSet(MutableSet[Any]):
    """A set that iterates in the order of insertion."""

    def __init__(self) -> None:
        self.items: dict[Any, None] = {}

    def __contains__(self, item: object) -> bool:
        return item in self.items

    def __iter__(self) -> Iterator[Any]:
        return iter(self.items)

    def __len__(self) -> int:
        return len(self.items)

    def add(self, item: Any) -> None:
        self.items[item] = None

    def discard(self, item: Any) -> None:
        self.items.pop(item, None)


def _init_ordered_barrier(barrier: SchedBarrier) -> None:
    barrier._tasks = OrderedSet()


_init_task_group = TaskGroup.__init__


def _init_ordered_task_group(group: TaskGroup, **options: Any) -> None:
    _init_task_group(group, **options)
    group._running, group._daemonic, group._tasks = OrderedSet(), OrderedSet(), OrderedSet()


@contextlib.contextmanager
def deterministic() -> Iterator[None]:
    """Make runs deterministic: curio keeps its tasks in sets, whose order depends on memory
    addresses, and sleeps in real time in scenarios without a simulated clock."""
    clock = Clock()
    with (
        mock.patch.object(SchedBarrier, "__init__", _init_ordered_barrier),
        mock.patch.object(TaskGroup, "__init__", _init_ordered_task_group),
        mock.patch.object(curio.kernel, "DefaultSelector", lambda: JumpingSelector(clock)),
        clock.running(),
    ):
        yield


def record(keep: Path | None = None, timed: bool = False) -> dict[str, Digest]:
    """Execute all runs. `keep`: a folder for their messages; `timed`: print how long each takes."""
    Invariants.raise_on_violation = True  # as in the tests
    digests = {}
    for name, run in all_runs().items():
        began = time.perf_counter()
        with recording() as recorder, deterministic():
            try:
                run()
            except Exception:
                # Go on with the other runs; the digest of this one differs, so its test fails.
                traceback.print_exc()
                recorder.add(b"the run failed")
        digests[name] = recorder.digest()
        if timed:
            print(f"{time.perf_counter() - began:6.2f} s {name} {digests[name].messages}")
        if keep is not None:
            path = keep / f"{name}.txt"
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text("".join(f"{message!r}\n" for message in recorder.messages))
    return digests


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", type=Path, metavar="FOLDER")
    parser.add_argument("--times", action="store_true", help="print how long each run takes")
    options = parser.parse_args()
    digests = record(options.keep, options.times)
    if not options.times:
        print(json.dumps(digests))


if __name__ == "__main__":
    main()
