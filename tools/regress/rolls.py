"""Drawn rolls: controllers are restarted in turn while some of them end for other reasons. No I/O.

Meanwhile the state service is out or refuses the leader, answers get lost, and users cancel jobs
and repeat their requests. Everything is drawn from a seed.
"""

from __future__ import annotations

import random
from typing import Any

Fault = dict[str, Any]

DURATION_S = 110.0  # what is played of such a day
RESTART_S = 0.2  # a controller that ends is back after that
FIRST_REQUESTS_S = 2.0
FIRST_TURN_S = (5.0, 25.0)
TURN_INTERVAL_S = (3.0, 30.0)
LAST_END_S = 90.0  # of the ends that no turn orders
ELECTION_S = 4.0  # from the end of a leader to the first actions of the next
OUTAGE_S = (3.0, 30.0)
REFUSED_S = (5.0, 40.0)
LOST_ANSWERS_S = (5.0, 30.0)
CANCELLATIONS = (3, 6)
CANCELLED_TOGETHER = 8
CANCELLED_AT_END_SHARE = 0.3
LOST_ANSWERS_SHARE = (0.1, 0.5)
LATE_WRITES_SHARE = 0.2
# Probabilities of what a day has beside the roll and one end.
SECOND_END, SECOND_IN_ELECTION, BUSIEST_ENDS = 0.7, 0.5, 0.5
STATE_OUTAGE, LEADER_REFUSED, ANSWERS_LOST, WRITES_LATE = 0.5, 0.5, 0.6, 0.4


def draw_roll(controllers: int, seed: int, *, upgrade: bool) -> dict[str, Any]:
    """A day with a roll; `upgrade`: from the production version, otherwise of this one alone."""
    rng = random.Random(f"roll {seed}")
    roll = _fault(
        rng.uniform(*FIRST_TURN_S), "node_roll", every_s=round(rng.uniform(*TURN_INTERVAL_S), 1)
    )
    if upgrade:
        roll["upgrade"] = True
    faults = [
        *_user_faults(rng),
        roll,
        *_ends(rng, controllers),
        *_state_faults(rng),
        *_lost_answers(rng),
    ]
    faults.sort(key=lambda fault: fault["at_s"])
    kind = "upgrade" if upgrade else "alone"
    return {
        "name": f"roll-{kind}-{seed}",
        "slot": "scale",
        "light": True,
        "seed": seed,
        "faults": faults,
    }


def _fault(at_s: float, kind: str, **more: float | bool | str) -> Fault:
    return {"at_s": round(at_s, 1), "kind": kind, **more}


def _user_faults(rng: random.Random) -> list[Fault]:
    """Requests repeated for ended jobs throughout, and cancellations."""
    throughout: Fault = {"for_s": DURATION_S - FIRST_REQUESTS_S}
    return [
        _fault(FIRST_REQUESTS_S, "close_looks", **throughout),
        _fault(FIRST_REQUESTS_S, "odd_requests", **throughout),
        _fault(FIRST_REQUESTS_S, "cancel_at_end", share=CANCELLED_AT_END_SHARE, **throughout),
        *(
            _fault(rng.uniform(10.0, LAST_END_S), "cancel_now", count=CANCELLED_TOGETHER)
            for _ in range(rng.randint(*CANCELLATIONS))
        ),
    ]


def _ends(rng: random.Random, controllers: int) -> list[Fault]:
    """One end or two of some controllers, the second at any time or in the election after."""
    at_s = rng.uniform(1.0, LAST_END_S)
    ends = [_end(rng, at_s, controllers)]
    if rng.random() < SECOND_END:
        in_election = rng.random() < SECOND_IN_ELECTION
        again_s = at_s + rng.uniform(0.2, ELECTION_S) if in_election else rng.uniform(1, LAST_END_S)
        ends.append(_end(rng, again_s, controllers))
    return ends


def _end(rng: random.Random, at_s: float, controllers: int) -> Fault:
    count = rng.randint(1, controllers)
    return _fault(at_s, "node_crash", count=count, busiest=rng.random() < BUSIEST_ENDS)


def _state_faults(rng: random.Random) -> list[Fault]:
    """None, an outage of the state service, one for the leader alone, or both."""
    faults = []
    if rng.random() < STATE_OUTAGE:
        for_s = round(rng.uniform(*OUTAGE_S), 1)
        faults.append(_fault(rng.uniform(5.0, LAST_END_S), "state_outage", for_s=for_s))
    if rng.random() < LEADER_REFUSED:
        cut: Fault = {"count": 1, "busiest": True, "from_state": True, "mode": "refuse"}
        cut["for_s"] = round(rng.uniform(*REFUSED_S), 1)
        faults.append(_fault(rng.uniform(5.0, LAST_END_S), "node_cut", **cut))
    return faults


def _lost_answers(rng: random.Random) -> list[Fault]:
    """Answers to workers, or of the state service, that get lost."""
    faults = []
    if rng.random() < ANSWERS_LOST:
        lost = {"share": round(rng.uniform(*LOST_ANSWERS_SHARE), 2)}
        lost["for_s"] = round(rng.uniform(*LOST_ANSWERS_S), 1)
        faults.append(_fault(rng.uniform(5.0, LAST_END_S), "machine_deaf", **lost))
    if rng.random() < WRITES_LATE:
        late: Fault = {"share": LATE_WRITES_SHARE, "at_once": True}
        late["for_s"] = round(rng.uniform(*LOST_ANSWERS_S), 1)
        faults.append(_fault(rng.uniform(5.0, LAST_END_S), "late_writes", **late))
    return faults
