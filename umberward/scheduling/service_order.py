"""The order in which waiting jobs are served, and who may be preempted for whom. No I/O.

A job's standing is `(0, priority)` if it is of the highest priority or within its team's guarantee
and `(1, priority)` otherwise; the smaller standing is served first. Jobs of equal standing are
served by the latest start for the next of their objectives (`ClusterState.service_order`).
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
from umberward.scheduling.dependencies import WaitingJobs
from umberward.scheduling.headroom import HIGHEST_PRIORITY
from umberward.scheduling.jobs import Job

GUARANTEED = 0  # first part of a standing: served before all other work
NOT_GUARANTEED = 1


class _ServiceRank(NamedTuple):
    """Sort key of one waiting job, smallest first; `position` keeps the order among equals."""

    faulty: bool
    standing: tuple[int, int]
    late: bool
    serve_by: float
    position: int


class _GuaranteeClaim(NamedTuple):
    """A job of a team with a guarantee; claims are granted in the order of the first two fields."""

    ready_at: WallTime
    job_id: JobId
    priority: int
    job: Job


class ServiceOrder:
    """Orders the jobs that wait for machines and keeps every live job's standing."""

    def __init__(
        self, cluster: ClusterState, waiting_jobs: WaitingJobs, deadline_triage: DeadlineTriage
    ) -> None:
        """Read jobs from `cluster`, and the demand of dependent jobs from `waiting_jobs`."""
        self.cluster = cluster
        self.waiting_jobs = waiting_jobs
        self.deadline_triage = deadline_triage

    def jobs_in_order(self, now: Instant) -> list[Job]:
        """Return the jobs with tasks to place, in the order in which they are served.

        Jobs without a startable task are dropped from `ClusterState.unplaced` on the way.
        """
        cluster = self.cluster
        wall = cluster.wall_clock()
        cluster.jobs_examined += len(cluster.jobs_to_place)
        startable: list[Job] = []
        for job in list(cluster.jobs_to_place.values()):
            if not job.startable_count():
                del cluster.jobs_to_place[job.id]
            elif job.retry_not_before <= now:
                startable.append(job)
        self.deadline_triage.update(startable, now)
        late_jobs = self.deadline_triage.late_jobs
        ranked = [
            (
                _ServiceRank(
                    job.faulty,
                    self.waiting_jobs.service_standing(job),
                    job.id in late_jobs,
                    cluster.service_order(job, wall),
                    position,
                ),
                job,
            )
            for position, job in enumerate(startable)
        ]
        ranked.sort()
        return [job for _, job in ranked]

    def jobs_without_room(self, now: Instant) -> list[tuple[Job, int]]:
        """Return the jobs that wait for machines and for how many tasks, in the order of service.

        Tasks beyond the team's limit are left out, and so are faulty jobs: no machine would help.
        """
        found = []
        for job in self.jobs_in_order(now):
            quota = self.cluster.quota.tasks_within_limit(job.team, job.need)
            count = min(job.startable_count(), quota)
            if job.gang and (job.placements or count < job.size):
                continue
            if count > 0 and not job.faulty:
                found.append((job, count))
        return found

    def update_standings(self) -> None:
        """Set the standing of every live job.

        A job is guaranteed if it fits its team's guarantee together with the team's earlier
        unfinished jobs. That only ever changes from no to yes, and only work of a strictly lower
        standing is preempted: so two jobs never take turns in preempting each other.

        The team's order is that in which its jobs became ready: a job that waited for others takes
        nothing from those that run. The priority is the highest among the job and the live jobs
        that depend on it, which changes only when users act.
        """
        cluster = self.cluster
        cluster.standings_outdated = False
        claims = []
        for job in cluster.jobs.values():
            priority = min(
                wire.PRIORITIES[job.spec.priority], self.waiting_jobs.demand_on(job.id).priority
            )
            has_guarantee = cluster.quota.has_guarantee(job.team)
            if priority == HIGHEST_PRIORITY:
                cluster.set_standing(job, priority, (GUARANTEED, priority))
            elif not has_guarantee:
                cluster.set_standing(job, priority, (NOT_GUARANTEED, priority))
            if has_guarantee:
                claims.append(_GuaranteeClaim(job.ready_at, job.id, priority, job))
        claims.sort(key=lambda claim: claim[:2])
        self._grant_guarantees(claims)

    def _grant_guarantees(self, claims: list[_GuaranteeClaim]) -> None:
        """Set the standings of those that depend on the claims of the same team before them."""
        totals: dict[TeamName, Resources] = {}
        for _, _, priority, job in claims:
            total = totals.get(job.team, NO_RESOURCES).plus(job.need, job.size)
            totals[job.team] = total
            if priority > HIGHEST_PRIORITY:
                fits = self.cluster.quota.fits_guarantee(job.team, total)
                standing = (GUARANTEED if fits else NOT_GUARANTEED, priority)
                self.cluster.set_standing(job, priority, standing)
