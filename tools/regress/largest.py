"""How the largest jobs of each class fared on a day, from what the controllers logged. No I/O.

The users' page asks that of a class's largest jobs too at least half is served and that they begin
within four minutes, and does not say which these are. Here they are the tenth of a class with the
most tasks times cores, at least one.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Mapping
from typing import NamedTuple

BEGIN_S = 240.0
FAILED_SHARE = 0.5  # of the largest jobs of a class; less than that served speaks against landing
PART = 0.1

_EVENT = re.compile(r": (job_ready|job_began|job_ended|cancelled_by_user) (.*)")
_FIELD = re.compile(r"(\w+)=(\S+)")


class Largest(NamedTuple):
    """Of one class: how many of its largest there were, which share of those not cancelled is done,
    and after how many seconds the last of them began (infinite: one never did)."""

    name: str
    many: int
    share: float
    longest_s: float


def read(lines: Iterable[str], users_cancelled: Mapping[str, int] | None = None) -> list[Largest]:
    """From the log of a day, class by class.

    `users_cancelled`: how many of each class were, as the bench counts them. A controller that
    ends before it can say so logs no cancellation.
    """
    sizes: dict[str, dict[str, float]] = {}
    began: dict[str, float] = {}
    done: set[str] = set()
    cancelled: set[str] = set()
    excused: set[str] = set()  # of being done, not of beginning in time
    for line in lines:
        found = _EVENT.search(line)
        if found is None:
            continue
        fields = dict(_FIELD.findall(found[2]))
        job = fields.get("job", "")
        if found[1] == "job_ready":
            sizes.setdefault(fields["jobclass"], {})[job] = float(fields["size"])
        elif found[1] == "job_began":
            began[job] = min(began.get(job, math.inf), float(fields["waited_s"]))
        elif found[1] == "cancelled_by_user":
            cancelled.add(job)
        elif fields.get("phase") == "done":
            done.add(job)
            began.setdefault(job, 0.0)  # its beginning fell between two leaders
    for name, jobs in sizes.items():
        lost = [
            job for job in jobs if job not in began and job not in done and job not in cancelled
        ]
        known = sum(1 for job in jobs if job in cancelled)
        unlogged = (users_cancelled or {}).get(name, 0) - known
        if len(lost) <= unlogged:
            cancelled.update(lost)
        # One that began may have been cancelled later in the same way: then all that is neither
        # done nor known to be cancelled is within what the bench counts as cancelled.
        unfinished = [job for job in jobs if job not in done and job not in cancelled]
        if any(job in done for job in jobs) and len(unfinished) <= unlogged:
            excused.update(unfinished)
    return [
        _judge(name, jobs, began, done, cancelled, excused) for name, jobs in sorted(sizes.items())
    ]


def _judge(
    name: str,
    sizes: dict[str, float],
    began: dict[str, float],
    done: set[str],
    cancelled: set[str],
    excused: set[str],
) -> Largest:
    order = sorted(sizes, key=lambda job: (-sizes[job], job))
    chosen = order[: max(1, round(PART * len(order)))]
    asked = [job for job in chosen if job not in cancelled]
    # Services never end: what began is served.
    ends = any(job in done for job in sizes)
    served = [job for job in asked if job in (done if ends else began)]
    asked_to_end = [job for job in asked if job in served or job not in excused]
    share = len(served) / len(asked_to_end) if asked_to_end else 1.0
    longest = max((began.get(job, math.inf) for job in asked), default=0.0)
    return Largest(name, len(chosen), share, longest)


def judge(found: Iterable[Largest]) -> str:
    """What speaks against landing; empty: nothing."""
    wrong = []
    for one in found:
        if one.share < FAILED_SHARE:
            wrong.append(f"failed: {one.share:.2f} of the largest of {one.name} served")
        if one.longest_s > BEGIN_S:
            wrong.append(f"one of the largest of {one.name} began after {one.longest_s:.0f} s")
    return "; ".join(wrong)


def summary(found: Iterable[Largest]) -> str:
    """The least served and the longest wait to begin, in a few words."""
    known = list(found)
    if not known:
        return "-"
    least = min(known, key=lambda one: one.share)
    longest = max(known, key=lambda one: one.longest_s)
    return f"{least.share:.2f} {least.name}, began by {longest.longest_s:.0f} s {longest.name}"
