"""How the largest jobs of each class were served on a day, from the controllers' logs. No I/O.

The users' page requires that at least half of a class's largest jobs are served and that they start
within four minutes, but does not define them. Here they are the tenth of a class, at least one job,
with the largest product of tasks and cores.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Mapping
from typing import NamedTuple

MAX_START_DELAY_S = 240.0
FAILED_SHARE = 0.5  # serving less of the largest jobs of a class is an objection
LARGEST_SHARE = 0.1

_EVENT = re.compile(r": (job_ready|job_began|job_ended|cancelled_by_user) (.*)")
_FIELD = re.compile(r"(\w+)=(\S+)")


class LargestJobs(NamedTuple):
    """The largest jobs of one class: their number, the share of those not cancelled that is done,
    and the longest time until one of them started (infinite if one never did)."""

    name: str
    total: int
    share: float
    longest_s: float


def read(
    lines: Iterable[str], users_cancelled: Mapping[str, int] | None = None
) -> list[LargestJobs]:
    """Read the log of a day; one result per class.

    `users_cancelled`: how many jobs of each class users cancelled, by the bench's count. The log
    may have fewer: a controller that ends too early does not log a cancellation.
    """
    sizes: dict[str, dict[str, float]] = {}
    began: dict[str, float] = {}
    done: set[str] = set()
    cancelled: set[str] = set()
    exempt: set[str] = set()  # need not be done, but must still have started in time
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
            began.setdefault(job, 0.0)  # no leader logged the start, as it fell into a failover
    for name, jobs in sizes.items():
        lost = [
            job for job in jobs if job not in began and job not in done and job not in cancelled
        ]
        logged = sum(1 for job in jobs if job in cancelled)
        unlogged = (users_cancelled or {}).get(name, 0) - logged
        if len(lost) <= unlogged:
            cancelled.update(lost)
        # A job that started may also have been cancelled without a log line. That explains all jobs
        # neither done nor known to be cancelled if there are at most as many as the bench counted.
        unfinished = [job for job in jobs if job not in done and job not in cancelled]
        if any(job in done for job in jobs) and len(unfinished) <= unlogged:
            exempt.update(unfinished)
    return [
        _largest_jobs(name, jobs, began, done, cancelled, exempt)
        for name, jobs in sorted(sizes.items())
    ]


def _largest_jobs(
    name: str,
    sizes: dict[str, float],
    began: dict[str, float],
    done: set[str],
    cancelled: set[str],
    exempt: set[str],
) -> LargestJobs:
    order = sorted(sizes, key=lambda job: (-sizes[job], job))
    chosen = order[: max(1, round(LARGEST_SHARE * len(order)))]
    expected = [job for job in chosen if job not in cancelled]
    # Services never end; one that has started counts as served.
    class_ends = any(job in done for job in sizes)
    served = [job for job in expected if job in (done if class_ends else began)]
    expected_to_end = [job for job in expected if job in served or job not in exempt]
    share = len(served) / len(expected_to_end) if expected_to_end else 1.0
    longest = max((began.get(job, math.inf) for job in expected), default=0.0)
    return LargestJobs(name, len(chosen), share, longest)


def objections(found: Iterable[LargestJobs]) -> str:
    """The reasons against landing, or an empty string."""
    objection_list = []
    for group in found:
        if group.share < FAILED_SHARE:
            objection_list.append(
                f"failed: {group.share:.2f} of the largest of {group.name} served"
            )
        if group.longest_s > MAX_START_DELAY_S:
            objection_list.append(
                f"one of the largest of {group.name} began after {group.longest_s:.0f} s"
            )
    return "; ".join(objection_list)


def summary(found: Iterable[LargestJobs]) -> str:
    """A short text with the lowest share served and the longest time to start."""
    groups = list(found)
    if not groups:
        return "-"
    least = min(groups, key=lambda group: group.share)
    longest = max(groups, key=lambda group: group.longest_s)
    return f"{least.share:.2f} {least.name}, began by {longest.longest_s:.0f} s {longest.name}"
