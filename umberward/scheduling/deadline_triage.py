"""Which jobs are put off when not all can be done by their deadlines. No I/O.

In the order of their latest starts, work that is too much makes everybody late: each job waits for
one before it that will be late all the same. By the algorithm of Moore and Hodgson as few as can be
are late: jobs are taken in the order of their latest starts, and whenever one would start too late,
the longest of those taken is put off. What is put off is served behind the rest, and not for long:
a job that has waited for a part of the four minutes is served first, whatever its size.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Any, NamedTuple

from umberward.core.types import Instant, JobId
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.job_timing import MISSED_GOALS_PRIORITY_S
from umberward.scheduling.jobs import Job

TRIAGE_INTERVAL_S = 0.4


class DeadlineJob(NamedTuple):
    """One job: until when its last task should start, and for how long it keeps the machines."""

    start_by: float
    duration_s: float
    job_id: JobId


def choose_late_jobs(waits: Iterable[DeadlineJob], free_at: float) -> set[JobId]:
    """As few as can be, so that each of the others starts in time. Times in seconds; `free_at`:
    when the machines have done what comes before all of them."""
    chosen: list[tuple[float, JobId]] = []  # a heap, the longest first
    late: set[JobId] = set()
    total = 0.0
    for wait in sorted(waits):
        heapq.heappush(chosen, (-wait.duration_s, wait.job_id))
        total += wait.duration_s
        if free_at + total > wait.start_by:
            longest, job = heapq.heappop(chosen)
            total += longest
            late.add(job)
    return late


class DeadlineTriage:
    def __init__(self, cluster: ClusterState, now: Instant) -> None:
        self.cluster = cluster
        self.triage_not_before = now
        self.late_jobs: set[JobId] = set()

    def update(self, jobs: Iterable[Job], now: Instant) -> None:
        """To be called before jobs are brought into the order of service."""
        if now < self.triage_not_before:
            return
        self.triage_not_before = Instant(now + TRIAGE_INTERVAL_S)
        self.late_jobs = set()
        wall = self.cluster.wall()
        groups: dict[Any, list[Job]] = {}
        for job in jobs:
            if job.spec.deadline_s is not None and not (job.gang or job.service or job.faulty):
                groups.setdefault((job.need.accelerators > 0, job.priority), []).append(job)
        for (accelerated, rank), members in groups.items():
            if len(members) < 2:
                continue
            rate = self._service_rate(accelerated, rank)
            waits = []
            free_at: float = wall
            for job in members:
                amount = job.need.accelerators if accelerated else job.need.cores
                runs = self.cluster.estimate(job)
                work = job.startable_count() * amount * runs
                if rate <= 0:
                    continue
                if wall - job.ready_at > MISSED_GOALS_PRIORITY_S:
                    free_at += work / rate  # served first
                    continue
                # Its last task starts while those that were started last still run: half of a
                # run before all that work is done, as what runs now is half done on average.
                start_by = self.cluster.service_order(job, wall) + 0.5 * runs
                waits.append(DeadlineJob(start_by, work / rate, job.id))
            self.late_jobs |= choose_late_jobs(waits, free_at)

    def _service_rate(self, accelerated: bool, rank: int) -> float:
        """How much such work the machines do at once: what they have of it and what is free."""
        total = 0.0
        for machine in self.cluster.schedulable.machines.values():
            sku = self.cluster.machine_types.get(machine.type)
            held = machine.load_by_priority().get((accelerated, rank))
            place = 1 if accelerated else 0
            if held is not None:
                total += held[place]
            if sku is not None:
                total += max(0.0, machine.free(sku)[place])
        return total
