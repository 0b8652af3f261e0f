"""Days with combined faults ("meetings"), for any deployment. No I/O.

Each day has one of the combinations from the users' page, or a pair of them drawn from a seed.
Times are derived from the deployment's leases and timeouts. docs/meetings.md says what could go
wrong in each.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, NamedTuple

Fault = dict[str, Any]

FIRST_FAULT_DELAY_S = 20.0  # from the end of the warm-up to the first fault
FAULT_FREE_END_S = 60.0  # from the last fault to the end of the day
REPETITION_DELAY_S = 75.0  # from a combination's first run to its second, plus `cancel_s`
ENDED_JOBS_FOR_S = 85.0
CRASH_INTERVAL_S = 20.0
CANCELLED_BEFORE_CRASH_S = 6.0
SLOW_STATE_SERVICE = {"state_slow": 0.3, "state_slow_times": 60.0}


class Times(NamedTuple):
    """A deployment's worker times in seconds, and how many machines are a tenth of it."""

    lease_s: float
    cancel_s: float
    tenth: int


class Combination(NamedTuple):
    """Faults that act together: `make_faults` makes them, the first at 0 s; `cancelled`: the share
    of jobs that users cancel; `variant`: the variant of the deployment (sites.VARIANTS) to use."""

    make_faults: Callable[[Times], list[Fault]]
    cancelled: float = 0.3
    slow_state: bool = False
    variant: str = ""


class PlannedDay(NamedTuple):
    """A day, and the variant of the deployment to run it on."""

    day: dict[str, Any]
    variant: str


def _fault(at_s: float, kind: str, **more: Any) -> Fault:
    return {"at_s": at_s, "kind": kind, **more}


def _crash(at_s: float, count: int = 1) -> Fault:
    return _fault(at_s, "node_crash", count=count, busiest=True)


def _cut_leader(at_s: float, for_s: float, **more: Any) -> Fault:
    """Cut the leader off from the state service, and from what `more` names."""
    cut = {"mode": "refuse", **more}
    return _fault(at_s, "node_cut", count=1, busiest=True, from_state=True, for_s=for_s, **cut)


def _ended_jobs() -> list[Fault]:
    """All controllers end again and again, while users repeat requests for jobs that have ended."""
    faults = [
        _fault(0.0, "close_looks", for_s=ENDED_JOBS_FOR_S),
        _fault(0.0, "odd_requests", for_s=ENDED_JOBS_FOR_S),
    ]
    for number in range(int(ENDED_JOBS_FOR_S / CRASH_INTERVAL_S)):
        crash_at_s = (number + 1) * CRASH_INTERVAL_S
        faults.append(_fault(crash_at_s - CANCELLED_BEFORE_CRASH_S, "cancel_now", count=8))
        faults.append(_crash(crash_at_s, 5))
    return faults


COMBINATIONS: dict[str, Combination] = {
    "gap": Combination(
        lambda t: [_cut_leader(0.0, 14.0), _fault(2.0, "state_outage", for_s=t.cancel_s + 12.0)],
        0.8,
    ),
    "ends-unreachable": Combination(
        lambda t: [
            _fault(0.0, "machine_cut", count=2 * t.tenth, for_s=0.7 * t.lease_s, mode="hold"),
            _crash(1.0),
            _fault(35.0, "machine_cut", count=t.tenth, for_s=1.5 * t.lease_s, mode="hold"),
            _crash(36.0),
        ]
    ),
    "ends-unheard": Combination(
        lambda t: [
            _fault(0.0, "machine_deaf", count=2 * t.tenth, for_s=0.9 * t.lease_s),
            _crash(2.0),
        ]
    ),
    "alone": Combination(
        lambda t: [_cut_leader(0.0, t.cancel_s, from_peers=True, mode="hold")], 0.6
    ),
    "back-and-forth": Combination(
        lambda _: [_crash(0.0), _crash(1.5), _crash(3.0), _crash(8.0, 5), _crash(9.0)]
    ),
    "late-writes": Combination(
        lambda _: [_fault(0.0, "late_writes", share=0.4, for_s=60.0), _crash(15.0), _crash(32.0)],
        0.5,
    ),
    "late-reports": Combination(
        lambda t: [
            _fault(0.0, "late_reports", share=0.4, for_s=60.0),
            _fault(8.0, "machine_cut", count=t.tenth, for_s=1.2 * t.lease_s, mode="hold"),
            _crash(12.0),
            _crash(40.0),
        ]
    ),
    "slow-then-down": Combination(
        lambda t: [_cut_leader(0.0, 20.0), _fault(6.0, "state_outage", for_s=t.cancel_s + 8.0)],
        0.7,
        True,
    ),
    "written-in-the-last-moment": Combination(
        lambda _: [
            _fault(0.0, "late_writes", share=0.5, for_s=20.0),
            _fault(6.0, "state_outage", for_s=15.0),
            _crash(18.0, 5),
        ],
        0.5,
    ),
    "close-looks": Combination(
        lambda _: [_fault(0.0, "close_looks", for_s=70.0), _crash(20.0), _crash(45.0)], 0.6
    ),
    "answer-lost": Combination(
        lambda _: [
            _fault(0.0, "late_writes", share=0.4, for_s=60.0, at_once=True),
            _fault(0.0, "close_looks", for_s=60.0),
            _crash(18.0),
            _crash(40.0),
        ],
        0.5,
    ),
    "limit-cut": Combination(
        lambda t: [
            _fault(0.0, "machine_cut", count=4 * t.tenth, for_s=0.9 * t.cancel_s, mode="hold"),
            _fault(0.5, "cancel_now", count=40),
            _crash(1.0),
            _fault(7.0, "cancel_now", count=40),
        ],
        variant="limited",
    ),
    "limit-hang": Combination(
        lambda t: [
            _fault(0.0, "cancel_now", count=20, hang_s=0.8 * t.lease_s),
            _crash(0.6),
            _fault(8.0, "cancel_now", count=20, hang_s=1.5 * t.lease_s),
            _crash(9.0),
        ],
        variant="limited",
    ),
    "hung-cancelled": Combination(
        lambda t: [
            _fault(0.0, "cancel_now", count=8, hang_s=0.5 * t.lease_s),
            _fault(12.0, "cancel_now", count=8, hang_s=0.9 * t.lease_s),
            _crash(14.0),
            _fault(40.0, "cancel_now", count=8, hang_s=1.2 * t.lease_s),
        ]
    ),
    "handing-over": Combination(
        lambda _: [
            _crash(0.0),
            *(_fault(round(0.7 * n, 1), "cancel_now", count=6) for n in range(8)),
            _fault(20.0, "cancel_now", count=10),
            _cut_leader(20.1, 9.0),
            *(_fault(20.5 + round(0.9 * n, 1), "cancel_now", count=6) for n in range(6)),
        ]
    ),
    "quick-machines": Combination(
        lambda t: [
            _fault(0.0, "late_writes", share=0.3, for_s=40.0),
            _fault(2.0, "machine_die", count=2 * t.tenth),
            _crash(6.0),
            _fault(20.0, "machine_die", count=t.tenth),
            _crash(23.5),
        ],
        variant="quick-boots",
    ),
    "report-for-next": Combination(
        lambda t: [
            _fault(0.0, "late_reports", share=0.5, for_s=60.0, for_next=True),
            _fault(8.0, "machine_cut", count=t.tenth, for_s=0.8 * t.lease_s, mode="hold"),
            _crash(10.0),
            _crash(30.0),
            _crash(50.0, 5),
        ]
    ),
    "small-jobs": Combination(
        lambda _: [_crash(30.0), _fault(60.0, "late_writes", share=0.2, for_s=20.0)],
        0.25,
        variant="small-jobs",
    ),
    "cancelled-at-end": Combination(
        lambda _: [_fault(0.0, "cancel_at_end", share=0.5, for_s=60.0), _crash(30.0)], 0.0
    ),
    "odd-requests": Combination(
        lambda _: [
            _fault(0.0, "odd_requests", for_s=70.0),
            _crash(15.0),
            _fault(30.0, "late_writes", share=0.3, for_s=20.0),
            _fault(55.0, "state_outage", for_s=8.0),
        ]
    ),
    "mute": Combination(
        lambda t: [
            _fault(0.0, "machine_mute", count=2 * t.tenth, for_s=0.8 * t.lease_s),
            _crash(3.0),
            _fault(40.0, "machine_mute", count=4 * t.tenth, for_s=2.0 * t.lease_s),
            _fault(44.0, "cancel_now", count=10),
            _crash(52.0),
        ]
    ),
    "late-commands": Combination(
        lambda t: [
            _fault(0.0, "late_commands", share=0.5, for_s=60.0),
            _fault(10.0, "machine_hang", count=t.tenth, for_s=6.0),
            _fault(25.0, "cancel_now", count=6),
            _fault(40.0, "machine_hang", count=t.tenth, for_s=6.0),
        ]
    ),
    "late-commands-cut": Combination(
        lambda t: [
            _fault(0.0, "late_commands", share=0.5, for_s=60.0),
            _fault(5.0, "machine_cut", count=t.tenth, for_s=0.8 * t.lease_s, mode="hold"),
            _fault(12.0, "machine_deaf", count=t.tenth, for_s=0.7 * t.lease_s),
            _fault(22.0, "cancel_now", count=6, hang_s=6.0),
            _crash(25.0),
            _fault(42.0, "machine_mute", count=t.tenth, for_s=0.8 * t.lease_s),
        ]
    ),
    "late-commands-ends": Combination(
        lambda t: [
            _fault(0.0, "late_commands", share=0.5, for_s=60.0),
            _crash(8.0),
            _fault(14.0, "cancel_now", count=10),
            _fault(20.0, "machine_hang", count=t.tenth, for_s=4.0),
            _crash(30.0),
            _crash(45.0),
        ]
    ),
    "ended-jobs": Combination(lambda _: _ended_jobs(), 0.8),
    # The production version, which runs first, may forget ended jobs: its log tells which answered.
    "ended-jobs-upgrade": Combination(
        lambda _: [_fault(5.0, "node_roll", every_s=30.0, upgrade=True), *_ended_jobs()], 0.8
    ),
    "ten-leaders": Combination(
        lambda _: [
            *(_crash(12.0 * n) for n in range(10)),
            _fault(50.0, "state_outage", for_s=20.0),
            _fault(30.0, "cancel_now", count=10),
        ]
    ),
}


def _times(site: dict[str, Any]) -> Times:
    workers = site["workers"]
    most = sum(row["count"] + row.get("spot", 0) for row in site["capacity"])
    return Times(workers["lease_s"], workers["cancel_s"], max(1, most // 20))


def _day(
    site: dict[str, Any], name: str, seed: int, combinations: list[Combination]
) -> dict[str, Any]:
    """A day with two runs of all `combinations`, which start within seconds of each other."""
    times = _times(site)
    rng = random.Random(f"{name} {seed}")
    first_fault_at_s = site["warmup_s"] + FIRST_FAULT_DELAY_S
    faults = []
    for repetition in range(2):
        for number, combination in enumerate(combinations):
            start_at_s = (
                first_fault_at_s
                + repetition * (REPETITION_DELAY_S + times.cancel_s)
                + number * rng.uniform(0.5, 6.0)
            )
            faults += [
                {**fault, "at_s": round(start_at_s + fault["at_s"], 1)}
                for fault in combination.make_faults(times)
            ]
    faults.sort(key=lambda fault: fault["at_s"])
    last = max(fault["at_s"] + fault.get("for_s", 0.0) for fault in faults)
    cancelled = max(combination.cancelled for combination in combinations)
    return {
        "name": name,
        "slot": "scale",
        "light": True,
        "seed": seed,
        "duration_s": round(last + FAULT_FREE_END_S, 1),
        "faults": faults,
        "jobs": [{"name": job["name"], "cancelled": cancelled} for job in site["jobs"]],
        "vary": SLOW_STATE_SERVICE
        if any(combination.slow_state for combination in combinations)
        else {},
    }


def days(site: dict[str, Any], seed: int, pairs: int, only: str = "") -> list[PlannedDay]:
    """One day for each combination whose name contains `only`, and `pairs` days for random pairs of
    combinations. Raises ValueError if no name contains it."""
    names = [name for name in COMBINATIONS if only in name]
    if not names:
        raise ValueError(f"no meeting name contains {only!r}; there are {', '.join(COMBINATIONS)}")
    planned_days = [
        PlannedDay(
            _day(site, f"{name}-{seed}", seed, [COMBINATIONS[name]]), COMBINATIONS[name].variant
        )
        for name in names
    ]
    rng = random.Random(f"pairs {seed}")
    for number in range(pairs):
        combinations = [COMBINATIONS[name] for name in rng.sample(sorted(COMBINATIONS), 2)]
        # If both have a variant, one of them is chosen.
        variant = max(combination.variant for combination in combinations)
        planned_days.append(
            PlannedDay(_day(site, f"pair-{seed}-{number}", seed, combinations), variant)
        )
    return planned_days
