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
    """`make` gives its troubles, the first at 0 s; `cancelled`: the share of the jobs that is;
    `variant`: of the deployment (sites.VARIANTS), on which it is played."""

    make: Callable[[Times], list[Fault]]
    cancelled: float = 0.3
    slow_state: bool = False
    variant: str = ""


class Drawn(NamedTuple):
    """A day, and the variant of the deployment on which it is played."""

    day: dict[str, Any]
    variant: str


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
        lambda _: [_ends(0.0), _ends(1.5), _ends(3.0), _ends(8.0, 5), _ends(9.0)]
    ),
    "late-writes": Meeting(
        lambda _: [_at(0.0, "late_writes", share=0.4, for_s=60.0), _ends(15.0), _ends(32.0)], 0.5
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
        lambda _: [
            _at(0.0, "late_writes", share=0.5, for_s=20.0),
            _at(6.0, "state_outage", for_s=15.0),
            _ends(18.0, 5),
        ],
        0.5,
    ),
    "close-looks": Meeting(
        lambda _: [_at(0.0, "close_looks", for_s=70.0), _ends(20.0), _ends(45.0)], 0.6
    ),
    "answer-lost": Meeting(
        lambda _: [
            _at(0.0, "late_writes", share=0.4, for_s=60.0, at_once=True),
            _at(0.0, "close_looks", for_s=60.0),
            _ends(18.0),
            _ends(40.0),
        ],
        0.5,
    ),
    "limit-cut": Meeting(
        lambda t: [
            _at(0.0, "machine_cut", count=4 * t.tenth, for_s=0.9 * t.cancel_s, mode="hold"),
            _at(0.5, "cancel_now", count=40),
            _ends(1.0),
            _at(7.0, "cancel_now", count=40),
        ],
        variant="limited",
    ),
    "limit-hang": Meeting(
        lambda t: [
            _at(0.0, "cancel_now", count=20, hang_s=0.8 * t.lease_s),
            _ends(0.6),
            _at(8.0, "cancel_now", count=20, hang_s=1.5 * t.lease_s),
            _ends(9.0),
        ],
        variant="limited",
    ),
    "hung-cancelled": Meeting(
        lambda t: [
            _at(0.0, "cancel_now", count=8, hang_s=0.5 * t.lease_s),
            _at(12.0, "cancel_now", count=8, hang_s=0.9 * t.lease_s),
            _ends(14.0),
            _at(40.0, "cancel_now", count=8, hang_s=1.2 * t.lease_s),
        ]
    ),
    "handing-over": Meeting(
        lambda _: [
            _ends(0.0),
            *(_at(round(0.7 * n, 1), "cancel_now", count=6) for n in range(8)),
            _at(20.0, "cancel_now", count=10),
            _alone(20.1, 9.0),
            *(_at(20.5 + round(0.9 * n, 1), "cancel_now", count=6) for n in range(6)),
        ]
    ),
    "quick-machines": Meeting(
        lambda t: [
            _at(0.0, "late_writes", share=0.3, for_s=40.0),
            _at(2.0, "machine_die", count=2 * t.tenth),
            _ends(6.0),
            _at(20.0, "machine_die", count=t.tenth),
            _ends(23.5),
        ],
        variant="quick-boots",
    ),
    "report-for-next": Meeting(
        lambda t: [
            _at(0.0, "late_reports", share=0.5, for_s=60.0, for_next=True),
            _at(8.0, "machine_cut", count=t.tenth, for_s=0.8 * t.lease_s, mode="hold"),
            _ends(10.0),
            _ends(30.0),
            _ends(50.0, 5),
        ]
    ),
    "small-jobs": Meeting(
        lambda _: [_ends(30.0), _at(60.0, "late_writes", share=0.2, for_s=20.0)],
        0.25,
        variant="small-jobs",
    ),
    "cancelled-at-end": Meeting(
        lambda _: [_at(0.0, "cancel_at_end", share=0.5, for_s=60.0), _ends(30.0)], 0.0
    ),
    "odd-requests": Meeting(
        lambda _: [
            _at(0.0, "odd_requests", for_s=70.0),
            _ends(15.0),
            _at(30.0, "late_writes", share=0.3, for_s=20.0),
            _at(55.0, "state_outage", for_s=8.0),
        ]
    ),
    "mute": Meeting(
        lambda t: [
            _at(0.0, "machine_mute", count=2 * t.tenth, for_s=0.8 * t.lease_s),
            _ends(3.0),
            _at(40.0, "machine_mute", count=4 * t.tenth, for_s=2.0 * t.lease_s),
            _at(44.0, "cancel_now", count=10),
            _ends(52.0),
        ]
    ),
    "late-commands": Meeting(
        lambda t: [
            _at(0.0, "late_commands", share=0.5, for_s=60.0),
            _at(10.0, "machine_hang", count=t.tenth, for_s=6.0),
            _at(25.0, "cancel_now", count=6),
            _at(40.0, "machine_hang", count=t.tenth, for_s=6.0),
        ]
    ),
    "late-commands-cut": Meeting(
        lambda t: [
            _at(0.0, "late_commands", share=0.5, for_s=60.0),
            _at(5.0, "machine_cut", count=t.tenth, for_s=0.8 * t.lease_s, mode="hold"),
            _at(12.0, "machine_deaf", count=t.tenth, for_s=0.7 * t.lease_s),
            _at(22.0, "cancel_now", count=6, hang_s=6.0),
            _ends(25.0),
            _at(42.0, "machine_mute", count=t.tenth, for_s=0.8 * t.lease_s),
        ]
    ),
    "late-commands-ends": Meeting(
        lambda t: [
            _at(0.0, "late_commands", share=0.5, for_s=60.0),
            _ends(8.0),
            _at(14.0, "cancel_now", count=10),
            _at(20.0, "machine_hang", count=t.tenth, for_s=4.0),
            _ends(30.0),
            _ends(45.0),
        ]
    ),
    "ten-leaders": Meeting(
        lambda _: [
            *(_ends(12.0 * n) for n in range(10)),
            _at(50.0, "state_outage", for_s=20.0),
            _at(30.0, "cancel_now", count=10),
        ]
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
        "name": name,
        "slot": "scale",
        "light": True,
        "seed": seed,
        "duration_s": round(last + LAST_S, 1),
        "faults": faults,
        "jobs": [{"name": job["name"], "cancelled": cancelled} for job in site["jobs"]],
        "vary": SLOW if any(meeting.slow_state for meeting in met) else {},
    }


def days(site: dict[str, Any], seed: int, pairs: int, only: str = "") -> list[Drawn]:
    """One day for each meeting whose name contains `only`, and so many for drawn pairs of them.
    Raises ValueError if no meeting is called so."""
    names = [name for name in MEETINGS if only in name]
    if not names:
        raise ValueError(f"no meeting is called {only!r}; there are {', '.join(MEETINGS)}")
    made = [
        Drawn(_day(site, f"{name}-{seed}", seed, [MEETINGS[name]]), MEETINGS[name].variant)
        for name in names
    ]
    rng = random.Random(f"pairs {seed}")
    for number in range(pairs):
        met = [MEETINGS[name] for name in rng.sample(sorted(MEETINGS), 2)]
        variant = max(meeting.variant for meeting in met)  # one of them, if both have one
        made.append(Drawn(_day(site, f"pair-{seed}-{number}", seed, met), variant))
    return made
