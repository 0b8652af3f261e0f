"""Days on which two troubles meet, made for any deployment. No I/O.

Each is one line of the users' page on such meetings, or a pair of them drawn by a seed; times
follow from the deployment's own leases and bounds. docs/meetings.md says what could go wrong.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, NamedTuple

Fault = dict[str, Any]

BEGIN_S = 20.0  # after the warm-up: the first trouble
LAST_S = 60.0  # without troubles, at a day's end
AGAIN_S = 75.0  # between a meeting and its second time
SLOW = {"state_slow": 0.3, "state_slow_times": 60.0}


class Times(NamedTuple):
    """What a deployment's workers are told, in seconds, and how many machines a tenth of it is."""

    lease_s: float
    cancel_s: float
    tenth: int


class Meeting(NamedTuple):
    """`make` gives its troubles, the first at 0 s; `cancelled`: the share of the jobs that is."""

    make: Callable[[Times], list[Fault]]
    cancelled: float = 0.3
    slow_state: bool = False


def _at(at_s: float, kind: str, **more: Any) -> Fault:
    return {"at_s": at_s, "kind": kind, **more}


def _ends(at_s: float, count: int = 1) -> Fault:
    return _at(at_s, "node_crash", count=count, busiest=True)


def _alone(at_s: float, for_s: float, **more: Any) -> Fault:
    """The leader is cut from the state service, and from what else is named."""
    cut = {"mode": "refuse", **more}
    return _at(at_s, "node_cut", count=1, busiest=True, from_state=True, for_s=for_s, **cut)


MEETINGS: dict[str, Meeting] = {
    "gap": Meeting(
        lambda t: [_alone(0.0, 14.0), _at(2.0, "state_outage", for_s=t.cancel_s + 12.0)], 0.8
    ),
    "ends-unreachable": Meeting(
        lambda t: [
            _at(0.0, "machine_cut", count=2 * t.tenth, for_s=0.7 * t.lease_s, mode="hold"),
            _ends(1.0),
            _at(35.0, "machine_cut", count=t.tenth, for_s=1.5 * t.lease_s, mode="hold"),
            _ends(36.0),
        ]
    ),
    "ends-unheard": Meeting(
        lambda t: [_at(0.0, "machine_deaf", count=2 * t.tenth, for_s=0.9 * t.lease_s), _ends(2.0)]
    ),
    "alone": Meeting(lambda t: [_alone(0.0, t.cancel_s, from_peers=True, mode="hold")], 0.6),
    "back-and-forth": Meeting(
        lambda t: [_ends(0.0), _ends(1.5), _ends(3.0), _ends(8.0, 5), _ends(9.0)]
    ),
    "late-writes": Meeting(
        lambda t: [_at(0.0, "late_writes", share=0.4, for_s=60.0), _ends(15.0), _ends(32.0)], 0.5
    ),
    "late-reports": Meeting(
        lambda t: [
            _at(0.0, "late_reports", share=0.4, for_s=60.0),
            _at(8.0, "machine_cut", count=t.tenth, for_s=1.2 * t.lease_s, mode="hold"),
            _ends(12.0),
            _ends(40.0),
        ]
    ),
    "slow-then-down": Meeting(
        lambda t: [_alone(0.0, 20.0), _at(6.0, "state_outage", for_s=t.cancel_s + 8.0)], 0.7, True
    ),
    "written-in-the-last-moment": Meeting(
        lambda t: [
            _at(0.0, "late_writes", share=0.5, for_s=20.0),
            _at(6.0, "state_outage", for_s=15.0),
            _ends(18.0, 5),
        ],
        0.5,
    ),
}


def _times(site: dict[str, Any]) -> Times:
    workers = site["workers"]
    most = sum(row["count"] + row.get("spot", 0) for row in site["capacity"])
    return Times(workers["lease_s"], workers["cancel_s"], max(1, most // 20))


def _day(site: dict[str, Any], name: str, seed: int, met: list[Meeting]) -> dict[str, Any]:
    """Each meeting twice, one after the other; what `met` holds begins within seconds."""
    times = _times(site)
    rng = random.Random(f"{name} {seed}")
    begin = site["warmup_s"] + BEGIN_S
    faults = []
    for again in range(2):
        for number, meeting in enumerate(met):
            shift = begin + again * (AGAIN_S + times.cancel_s) + number * rng.uniform(0.5, 6.0)
            faults += [
                {**fault, "at_s": round(shift + fault["at_s"], 1)} for fault in meeting.make(times)
            ]
    faults.sort(key=lambda fault: fault["at_s"])
    last = max(fault["at_s"] + fault.get("for_s", 0.0) for fault in faults)
    cancelled = max(meeting.cancelled for meeting in met)
    return {
        "name": name, "slot": "scale", "light": True, "seed": seed,
        "duration_s": round(last + LAST_S, 1), "faults": faults,
        "jobs": [{"name": job["name"], "cancelled": cancelled} for job in site["jobs"]],
        "vary": SLOW if any(meeting.slow_state for meeting in met) else {},
    }  # fmt: skip


def days(site: dict[str, Any], seed: int, pairs: int, only: str = "") -> list[dict[str, Any]]:
    """One day for each meeting whose name contains `only`, and so many for drawn pairs of them.
    Raises ValueError if no meeting is called so."""
    names = [name for name in MEETINGS if only in name]
    if not names:
        raise ValueError(f"no meeting is called {only!r}; there are {', '.join(MEETINGS)}")
    made = [_day(site, f"{name}-{seed}", seed, [MEETINGS[name]]) for name in names]
    rng = random.Random(f"pairs {seed}")
    for number in range(pairs):
        first, second = rng.sample(sorted(MEETINGS), 2)
        name = f"pair-{seed}-{number}"
        made.append(_day(site, name, seed, [MEETINGS[first], MEETINGS[second]]))
    return made
