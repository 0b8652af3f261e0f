"""The plan of a soak run: its size, and random faults derived from a seed. No I/O."""

from __future__ import annotations

import random
from enum import StrEnum

import msgspec

from umberward.core.settings import WorkerTimes

# Shorter than in a deployment, so that more leases expire during a run.
WORKER_TIMES = WorkerTimes(
    report_s=0.5, lease_s=4.0, gang_wait_s=8.0, gang_peer_s=2.0, cancel_s=11.0
)
CONTROLLER_COUNT = 3
MAX_SIMULTANEOUS_FAULTS = 3  # faults that begin together
FIRST_FAULT_AT_S = 3.0  # after the start of the run
FAULT_DURATIONS_S = (0.05, 0.3, 1.0, 2.5, 6.0)  # of faults, and before a killed process restarts
LONGEST_FAULT_S = 2.0 * WORKER_TIMES.lease_s
KILLS_IN_SERIES = 3  # leaders killed one after another
# Of the length of a run: ranges of the time of the first turn of a roll, and between two turns.
FIRST_TURN_SHARES = (0.1, 0.3)
TURN_INTERVAL_SHARES = (0.08, 0.25)


class InvalidOptionError(Exception):
    """A command line option is invalid; the text names the option."""


class Size(msgspec.Struct, frozen=True):
    """Number of initial workers, mean rate of submissions, and length of the fault phase."""

    workers: int
    jobs_per_s: float
    seconds: float


SIZES = {
    "short": Size(8, 4.0, 20.0),
    "small": Size(12, 5.0, 40.0),
    "medium": Size(60, 8.0, 40.0),
    "large": Size(250, 12.0, 40.0),
}


class FaultKind(StrEnum):
    """Kinds of faults. Leader and affected machines are determined when a fault begins."""

    KILL_LEADER = "kill-leader"
    KILL_OTHER = "kill-other"
    KILL_ALL = "kill-all"
    KILL_LEADERS_IN_SERIES = "kill-leaders-in-series"
    STOP_LEADER = "stop-leader"  # SIGSTOP, later SIGCONT
    STOP_OTHER = "stop-other"
    COMMANDS_LATE = "commands-late"
    COMMANDS_HELD = "commands-held"
    COMMAND_ANSWERS_LOST = "command-answers-lost"
    REPORTS_LOST = "reports-lost"  # the machines only answer status requests
    # Nothing from the controllers reaches the machines.
    REPORT_ANSWERS_LOST = "report-answers-lost"
    REPORTS_COPIED = "reports-copied"
    MACHINES_CUT = "machines-cut"
    MACHINES_HANG = "machines-hang"
    MACHINES_DIE = "machines-die"
    LEADER_CUT_FROM_WORKERS = "leader-cut-from-workers"
    LEADER_CUT_FROM_PEERS = "leader-cut-from-peers"
    LEADER_ALONE = "leader-alone"  # reaches only its workers, neither peers nor state service
    STATE_REFUSES_LEADER = "state-refuses-leader"
    STATE_SLOW = "state-slow"
    STATE_DOWN = "state-down"
    STATE_ANSWERS_LOST = "state-answers-lost"
    TRANSACTIONS_LATE = "transactions-late"
    CANCEL_MANY = "cancel-many"  # users cancel many running jobs at once


class Fault(msgspec.Struct, frozen=True):
    """A planned fault. `at_s`: seconds after the start; `machine_count`: how many it affects."""

    at_s: float
    kind: FaultKind
    duration_s: float
    machine_count: int


class Turn(msgspec.Struct, frozen=True):
    """A controller's restart with the other build. `at_s`: seconds after the start of the run."""

    at_s: float
    controller: int
    restart_delay_s: float


class Roll(msgspec.Struct, frozen=True):
    """A planned upgrade; `to_beside`: from this build to the one beside it, or the reverse."""

    to_beside: bool
    turns: list[Turn]


class Plan(msgspec.Struct, frozen=True):
    """The plan derived from one seed; the faults are sorted by time."""

    seed: int
    size: Size
    faults: list[Fault]
    roll: Roll


def fault_kinds_by_name(names: list[str]) -> list[FaultKind]:
    """The kinds with these names, or all if there are none.

    Raises InvalidOptionError if one is unknown.
    """
    unknown = [name for name in names if name not in list(FaultKind)]
    if unknown:
        raise InvalidOptionError(f"--fault: unknown kind of fault {unknown[0]!r}")
    return [FaultKind(name) for name in names] or list(FaultKind)


def size_by_name(name: str) -> Size:
    """The size with this name. Raises InvalidOptionError if it is unknown."""
    if name not in SIZES:
        raise InvalidOptionError(f"--size: {name!r} is not one of {', '.join(SIZES)}")
    return SIZES[name]


def draw_plan(seed: int, size: Size, kinds: list[FaultKind]) -> Plan:
    """Draw a random plan; the same seed, size and kinds give the same faults and times."""
    rng = random.Random(f"soak {seed}")
    faults: list[Fault] = []
    at_s = FIRST_FAULT_AT_S
    while at_s < size.seconds:
        for kind in rng.sample(kinds, min(rng.randint(1, MAX_SIMULTANEOUS_FAULTS), len(kinds))):
            duration_s = rng.choice([*FAULT_DURATIONS_S, LONGEST_FAULT_S])
            machine_count = max(1, round(size.workers * rng.choice((0.1, 0.3, 1.0))))
            faults.append(
                Fault(round(at_s + rng.uniform(0.0, 2.0), 2), kind, duration_s, machine_count)
            )
        at_s += rng.uniform(2.0, 9.0)
    return Plan(seed, size, sorted(faults, key=lambda fault: fault.at_s), _draw_roll(seed, size))


def _draw_roll(seed: int, size: Size) -> Roll:
    """Draw the upgrade that a run with two builds makes; the faults do not depend on it."""
    rng = random.Random(f"roll {seed}")
    at_s = size.seconds * rng.uniform(*FIRST_TURN_SHARES)
    turns: list[Turn] = []
    for controller in rng.sample(range(CONTROLLER_COUNT), CONTROLLER_COUNT):
        turns.append(Turn(round(at_s, 2), controller, rng.choice(FAULT_DURATIONS_S)))
        at_s += size.seconds * rng.uniform(*TURN_INTERVAL_SHARES)
    return Roll(rng.random() < 0.5, turns)  # noqa: PLR2004 - either direction
