"""The plan of a soak: sizes, and the faults drawn from a seed. No I/O."""

from __future__ import annotations

import random
from enum import StrEnum

import msgspec

from umberward.core.settings import WorkerTimes

# Times are shorter than in a deployment, so that more leases end within a run.
TIMES = WorkerTimes(report_s=0.5, lease_s=4.0, gang_wait_s=8.0, gang_peer_s=2.0, cancel_s=11.0)
CONTROLLERS = 3
MAX_SIMULTANEOUS_FAULTS = 3  # that begin together
FIRST_FAULT_S = 3.0  # from the beginning of the run
FAULT_DURATIONS_S = (0.05, 0.3, 1.0, 2.5, 6.0)  # how long faults last, and processes stay away
LONGEST_FAULT_S = 2.0 * TIMES.lease_s
SERIES = 3  # leaders that are killed one after the other


class PlanError(Exception):
    """An option of the command line is wrong; its text names the option."""


class Size(msgspec.Struct, frozen=True):
    """How many workers there are from the start, jobs a second, and seconds of faults."""

    workers: int
    jobs_per_s: float
    seconds: float


SIZES = {
    "short": Size(8, 4.0, 20.0),
    "small": Size(12, 5.0, 40.0),
    "medium": Size(60, 8.0, 40.0),
    "large": Size(250, 12.0, 40.0),
}


class Kind(StrEnum):
    """Kinds of faults. Who leads, and which machines are concerned, is decided when one begins."""

    KILL_LEADER = "kill-leader"
    KILL_OTHER = "kill-other"
    KILL_ALL = "kill-all"
    KILL_LEADERS_IN_SERIES = "kill-leaders-in-series"
    STOP_LEADER = "stop-leader"  # SIGSTOP, and SIGCONT later
    STOP_OTHER = "stop-other"
    COMMANDS_LATE = "commands-late"
    COMMANDS_HELD = "commands-held"
    COMMAND_ANSWERS_LOST = "command-answers-lost"
    REPORTS_LOST = "reports-lost"  # machines that answer status requests and nothing else
    REPORT_ANSWERS_LOST = (
        "report-answers-lost"  # nothing from the controllers reaches these machines
    )
    REPORTS_COPIED = "reports-copied"
    MACHINES_CUT = "machines-cut"
    MACHINES_HANG = "machines-hang"
    MACHINES_DIE = "machines-die"
    LEADER_CUT_FROM_WORKERS = "leader-cut-from-workers"
    LEADER_CUT_FROM_PEERS = "leader-cut-from-peers"
    LEADER_ALONE = "leader-alone"  # with its workers: without peers and state service
    STATE_REFUSES_LEADER = "state-refuses-leader"
    STATE_SLOW = "state-slow"
    STATE_DOWN = "state-down"
    STATE_ANSWERS_LOST = "state-answers-lost"
    TRANSACTIONS_LATE = "transactions-late"
    CANCEL_MANY = "cancel-many"  # users cancel many running jobs at once


class Fault(msgspec.Struct, frozen=True):
    """A drawn fault. `at_s`: seconds from the beginning; `machines`: how many it concerns."""

    at_s: float
    kind: Kind
    for_s: float
    machines: int


class Plan(msgspec.Struct, frozen=True):
    """What one seed plays; the faults are in the order of their times."""

    seed: int
    size: Size
    faults: list[Fault]


def kinds(names: list[str]) -> list[Kind]:
    """The kinds of these names, all kinds without names. Raises PlanError for an unknown name."""
    unknown = [name for name in names if name not in list(Kind)]
    if unknown:
        raise PlanError(f"--fault: no fault is called {unknown[0]!r}")
    return [Kind(name) for name in names] or list(Kind)


def size(name: str) -> Size:
    """The size of that name. Raises PlanError for an unknown one."""
    if name not in SIZES:
        raise PlanError(f"--size: {name!r} is none of {', '.join(SIZES)}")
    return SIZES[name]


def draw(seed: int, of: Size, among: list[Kind]) -> Plan:
    """Draw a plan; the same seed, size and kinds give the same faults at the same times."""
    rng = random.Random(f"soak {seed}")
    faults: list[Fault] = []
    at_s = FIRST_FAULT_S
    while at_s < of.seconds:
        for kind in rng.sample(among, min(rng.randint(1, MAX_SIMULTANEOUS_FAULTS), len(among))):
            duration_s = rng.choice([*FAULT_DURATIONS_S, LONGEST_FAULT_S])
            machines = max(1, round(of.workers * rng.choice((0.1, 0.3, 1.0))))
            faults.append(Fault(round(at_s + rng.uniform(0.0, 2.0), 2), kind, duration_s, machines))
        at_s += rng.uniform(2.0, 9.0)
    return Plan(seed, of, sorted(faults, key=lambda fault: fault.at_s))
