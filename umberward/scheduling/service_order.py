"""The order in which waiting jobs are served, and the precedence that decides preemption. No I/O.

A job's precedence is `(0, priority)` if it has the highest priority or is within its team's
guarantee, and `(1, priority)` otherwise; the smaller precedence is served first. Jobs of equal
precedence are served by the latest start that meets their next objective
(`JobTiming.serve_by`).
"""

from __future__ import annotations

from typing import NamedTuple

from umberward.core.types import (
    NO_RESOURCES,
    Instant,
    JobId,
    Resources,
    TeamName,
    WallTime,
)
from umberward.protocol import wire
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.deadline_triage import DeadlineTriage
from umberward.scheduling.dependencies import BlockedJobs
from umberward.scheduling.headroom import HIGHEST_PRIORITY
from umberward.scheduling.jobs import Job

# First part of a precedence: work of the highest priority or within its team's guarantee, which is
# served before all other work.
GUARANTEED = 0
NOT_GUARANTEED = 1


class _ServiceSortKey(NamedTuple):
    """Sort key of a waiting job, smallest first; `position` makes the sort stable.

    `late`: the job is chosen to be delayed (`DeadlineTriage`).
    """

    faulty: bool
    precedence: tuple[int, int]
    late: bool
    serve_by: float
    position: int


class _GuaranteeClaim(NamedTuple):
    """A job of a team with a guarantee; claims are granted in order of the first two fields."""

    ready_at: WallTime
    job_id: JobId
    priority: int
    job: Job


class ServiceOrder:
    """Orders the jobs that wait for machines, and sets the precedence of every live job."""

    def __init__(
        self, cluster: ClusterState, blocked_jobs: BlockedJobs, deadline_triage: DeadlineTriage
    ) -> None:
        """Read jobs from `cluster`, and the demands of dependent jobs from `blocked_jobs`."""
        self.cluster = cluster
        self.blocked_jobs = blocked_jobs
        self.deadline_triage = deadline_triage

    def jobs_in_service_order(self, now: Instant) -> list[Job]:
        """Return the jobs with tasks to place, in service order.

        Jobs without a startable task are removed from `ClusterState.jobs_to_place`.
        """
        cluster = self.cluster
        wall_now = cluster.wall_clock()
        cluster.jobs_examined += len(cluster.jobs_to_place)
        startable: list[Job] = []
        for job in list(cluster.jobs_to_place.values()):
            if not job.startable_count():
                del cluster.jobs_to_place[job.id]
            elif job.retry_not_before <= now:
                startable.append(job)
        self.deadline_triage.update(startable, now)
        delayed_jobs = self.deadline_triage.delayed_jobs
        ranked = [
            (
                _ServiceSortKey(
                    job.faulty,
                    self.blocked_jobs.expected_precedence(job),
                    job.id in delayed_jobs,
                    cluster.serve_by(job, wall_now),
                    position,
                ),
                job,
            )
            for position, job in enumerate(startable)
        ]
        ranked.sort()
        return [job for _, job in ranked]

    def jobs_without_room(self, now: Instant) -> list[tuple[Job, int]]:
        """Return the jobs that wait for machines and their numbers of tasks, in service order.

        Tasks beyond the team's quota and faulty jobs are left out, as more machines would not help.
        """
        jobs_and_counts = []
        for job in self.jobs_in_service_order(now):
            quota = self.cluster.quota.tasks_within_limit(job.team, job.need)
            count = min(job.startable_count(), quota)
            if job.gang and (job.placements or count < job.size):
                continue
            if count > 0 and not job.faulty:
                jobs_and_counts.append((job, count))
        return jobs_and_counts

    def update_precedences(self) -> None:
        """Set the precedence of every live job.

        A job is guaranteed if it fits its team's guarantee together with the team's earlier
        unfinished jobs. Work of the highest priority always has the precedence of guaranteed work.
        A job may become guaranteed but never loses the guarantee, and only work of a strictly lower
        precedence is preempted: so two jobs never preempt each other in turn.

        A team's jobs are ordered by when they became ready, so that a job that waited for its
        dependencies takes nothing from running jobs. The priority is the highest among the job and
        the live jobs that depend on it; it changes only when users act.
        """
        cluster = self.cluster
        cluster.precedences_outdated = False
        claims = []
        for job in cluster.jobs.values():
            priority = min(
                wire.JOB_PRIORITIES[job.spec.priority], self.blocked_jobs.demand_on(job.id).priority
            )
            has_guarantee = cluster.quota.has_guarantee(job.team)
            if priority == HIGHEST_PRIORITY:
                cluster.set_precedence(job, priority, (GUARANTEED, priority))
            elif not has_guarantee:
                cluster.set_precedence(job, priority, (NOT_GUARANTEED, priority))
            if has_guarantee:
                claims.append(_GuaranteeClaim(job.ready_at, job.id, priority, job))
        claims.sort(key=lambda claim: claim[:2])
        self._grant_guarantees(claims)

    def _grant_guarantees(self, claims: list[_GuaranteeClaim]) -> None:
        """Set the precedences of the claimants, each after the earlier claims of its team."""
        totals: dict[TeamName, Resources] = {}
        for _, _, priority, job in claims:
            total = totals.get(job.team, NO_RESOURCES).plus(job.need, job.size)
            totals[job.team] = total
            if priority > HIGHEST_PRIORITY:
                fits = self.cluster.quota.fits_guarantee(job.team, total)
                precedence = (GUARANTEED if fits else NOT_GUARANTEED, priority)
                self.cluster.set_precedence(job, priority, precedence)
