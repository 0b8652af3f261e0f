"""Selection of the jobs to delay when not all can meet their deadlines. No I/O.

Under overload, serving jobs by latest start makes nearly all of them late: each is queued behind a
job that will miss its deadline anyway. The Moore-Hodgson algorithm minimizes the number of late
jobs: it adds jobs in order of their latest starts, and whenever one would start too late, it
removes the longest added so far. Removed jobs are served after the rest, but a job that has waited
for `SERVE_MISSED_WITHIN_S` is served first, whatever its size.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import NamedTuple

from umberward.core.types import Instant, JobId, WallTime
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.job_timing import SERVE_MISSED_WITHIN_S
from umberward.scheduling.jobs import Job

UPDATE_INTERVAL_S = 0.4
REMAINING_RUN_FRACTION = 0.5  # running tasks are half done on average


class DeadlineJob(NamedTuple):
    """The latest start of a job's last task, and how long the job occupies the machines.

    `start_by` is a wall-clock time; `duration_s` assumes that the job gets all usable machines.
    """

    start_by: float
    duration_s: float
    job_id: JobId


class _WorkKind(NamedTuple):
    """Jobs of one kind compete for the same machines at the same priority."""

    accelerated: bool
    priority: int


def choose_jobs_to_delay(jobs: Iterable[DeadlineJob], free_at: float) -> set[JobId]:
    """Return the fewest jobs to delay so that all others start in time.

    `free_at`: wall-clock time at which the machines will have finished the work that is served
    before these jobs.
    """
    chosen: list[tuple[float, JobId]] = []  # a heap, longest job first
    late: set[JobId] = set()
    total_s = 0.0
    for job in sorted(jobs):
        heapq.heappush(chosen, (-job.duration_s, job.job_id))
        total_s += job.duration_s
        if free_at + total_s > job.start_by:
            negated_duration_s, longest = heapq.heappop(chosen)
            total_s += negated_duration_s
            late.add(longest)
    return late


class DeadlineTriage:
    """Maintains the set of jobs to delay, which is recomputed a few times per second."""

    def __init__(self, cluster: ClusterState, now: Instant) -> None:
        """Allow the first update at `now`, a time of the leader's monotonic clock."""
        self.cluster = cluster
        self.update_not_before = now
        self.delayed_jobs: set[JobId] = set()

    def update(self, jobs: Iterable[Job], now: Instant) -> None:
        """Recompute `delayed_jobs` from the startable jobs; call this before ordering them."""
        if now < self.update_not_before:
            return
        self.update_not_before = Instant(now + UPDATE_INTERVAL_S)
        self.delayed_jobs = set()
        wall_now = self.cluster.wall_clock()
        by_kind: dict[_WorkKind, list[Job]] = {}
        for job in jobs:
            if job.spec.deadline_s is not None and not (job.gang or job.service or job.faulty):
                kind = _WorkKind(job.need.accelerators > 0, job.priority)
                by_kind.setdefault(kind, []).append(job)
        for kind, members in by_kind.items():
            if len(members) > 1:
                self.delayed_jobs |= self._delayed_jobs_of(kind, members, wall_now)

    def _delayed_jobs_of(
        self, kind: _WorkKind, members: list[Job], wall_now: WallTime
    ) -> set[JobId]:
        rate = self._usable_amount(kind)
        deadline_jobs = []
        free_at: float = wall_now
        for job in members:
            task_s = self.cluster.expected_task_runtime_s(job)
            amount = job.need.accelerators if kind.accelerated else job.need.cores
            work = job.startable_count() * amount * task_s
            if rate <= 0:
                continue
            if wall_now - job.ready_at > SERVE_MISSED_WITHIN_S:
                free_at += work / rate  # served first
                continue
            # The last task starts before the job's work is done: others still run at that time.
            start_by = self.cluster.serve_by(job, wall_now) + REMAINING_RUN_FRACTION * task_s
            deadline_jobs.append(DeadlineJob(start_by, work / rate, job.id))
        return choose_jobs_to_delay(deadline_jobs, free_at)

    def _usable_amount(self, kind: _WorkKind) -> float:
        """Return the cores, or accelerators, that such work uses or that are free for it."""
        total = 0.0
        for machine in self.cluster.schedulable_index.machines.values():
            machine_type = self.cluster.machine_types.get(machine.machine_type)
            load = machine.load_by_priority().get(kind)
            if load is not None:
                total += load.accelerators if kind.accelerated else load.cores
            if machine_type is not None:
                free = machine.free_room(machine_type)
                total += max(0.0, free.accelerators if kind.accelerated else free.cores)
        return total
