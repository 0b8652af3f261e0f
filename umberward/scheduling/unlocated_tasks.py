"""Tasks that a previous leader placed and that no heartbeat has shown yet. No I/O.

They may run on a machine that has not reported under this leader's fencing token. Until each
machine has reported, or its lease has run out, they count against their team's limit and are not
started again (docs/design.md, "Safety").
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from umberward.core.log import logger
from umberward.core.types import NO_RESOURCES, Instant, JobId, Resources, TeamName
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.jobs import Job
from umberward.scheduling.lease_delegation import Delegator

log = logger(__name__)

UNLIMITED = Resources(math.inf, math.inf, math.inf)


class UnlocatedTasks:
    """Tracks how long such tasks may still be on machines and what they may use meanwhile."""

    def __init__(self, cluster: ClusterState, delegator: Delegator) -> None:
        """Take the time within which every worker session ends from the delegator's bounds."""
        self.cluster = cluster
        self.delegator = delegator
        # Until when tasks of a job may be somewhere, after all machines have reported.
        self.locate_until: dict[JobId, Instant] = {}

    def requeue_later(self, job: Job, now: Instant) -> None:
        """Wait for the job's tasks to show before they are queued again.

        Machines that run them list them with their next heartbeats. Where none comes, the worker's
        session is over within this time.
        """
        self.locate_until[job.id] = Instant(now + self.delegator.bounds.takeover_s)

    def requeue_overdue(self, now: Instant) -> None:
        """Queue the tasks that have not shown in time, and stop waiting for jobs that are over."""
        cluster = self.cluster
        for job_id, until in list(self.locate_until.items()):
            job = cluster.jobs.get(job_id)
            if now > until or (job is None and job_id not in cluster.cancelled_jobs):
                del self.locate_until[job_id]
                if job is not None:
                    job.requeue_unlocated()
                    cluster.jobs_to_place[job_id] = job
                    cluster.pass_wanted = True

    def forget_cancelled_jobs(self) -> None:
        """Drop cancelled jobs whose tasks are on no machine; for when all machines have settled."""
        cancelled = self.cluster.cancelled_jobs
        for job_id in [job_id for job_id in cancelled if job_id not in self.locate_until]:
            del cancelled[job_id]

    def find_lost_tasks(self, now: Instant) -> None:
        """Treat tasks that are in no queue and on no machine as unlocated, so that they run."""
        for job in self.cluster.jobs.values():
            if job.id in self.locate_until:
                continue
            lost = job.count_lost_tasks()
            if lost:
                log.warning("lost_tasks_found", job=job.id, tasks=lost)
                job.unlocated_tasks.update(
                    index
                    for index in range(job.done_below, job.next_fresh_task)
                    if job.is_lost(index)
                )
            if job.unlocated_tasks:
                self.requeue_later(job, now)

    def usage_by_team(self) -> dict[TeamName, Resources]:
        """Return what such tasks may use, be their jobs live or cancelled.

        Only for teams with a limit: nothing else depends on it.
        """
        cluster = self.cluster
        usage: dict[TeamName, Resources] = {}
        for job in self._jobs_to_count():
            if job.unlocated_tasks and cluster.quota.has_limit(job.team):
                counted = usage.get(job.team, NO_RESOURCES)
                usage[job.team] = counted.plus(job.need, len(job.unlocated_tasks))
        if cluster.reconciliation_completed or not (usage or cluster.cancellations_unread):
            return usage
        # They are on machines not heard under this token, as far as these have room.
        capacity = self._unreconciled_capacity()
        if cluster.cancellations_unread:
            return {team: capacity for team in cluster.quota.teams if cluster.quota.has_limit(team)}
        return {team: used.minimum(capacity) for team, used in usage.items()}

    def _jobs_to_count(self) -> Iterable[Job]:
        """Once all machines have settled, only the jobs that are still waited for matter."""
        cluster = self.cluster
        if not cluster.reconciliation_completed:
            return (*cluster.jobs.values(), *cluster.cancelled_jobs.values())
        waited_for = (
            cluster.jobs.get(job_id) or cluster.cancelled_jobs.get(job_id)
            for job_id in self.locate_until
        )
        return [job for job in waited_for if job is not None]

    def _unreconciled_capacity(self) -> Resources:
        """Return the capacity of all machines that may run unknown tasks of a previous leader."""
        capacity = NO_RESOURCES
        for machine in self.cluster.machines.values():
            if not (machine.reconciled or machine.predecessor_expired):
                machine_type = self.cluster.machine_types.get(machine.machine_type)
                capacity = (
                    UNLIMITED if machine_type is None else capacity.plus(machine_type.capacity)
                )
        return capacity
