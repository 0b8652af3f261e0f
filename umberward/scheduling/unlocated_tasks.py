"""Tasks placed by a previous leader that no heartbeat has listed yet. No I/O.

They may run on a machine that has not sent a heartbeat under this leader's fencing token. Until
each machine has done so, or its lease has expired, they count against their team's limit and are
not started again (docs/design.md, "Safety").
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from umberward.core.log import logger
from umberward.core.types import NO_RESOURCES, Instant, JobId, Resources, TeamName
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.jobs import Job
from umberward.scheduling.sessions.lease_delegation import Delegator

log = logger(__name__)

UNLIMITED_RESOURCES = Resources(math.inf, math.inf, math.inf)


class UnlocatedTasks:
    """Tracks how long unlocated tasks may still run on machines, and what they may use."""

    def __init__(self, cluster: ClusterState, delegator: Delegator) -> None:
        """Take from `delegator` the bound on sessions that previous leaders renewed."""
        self.cluster = cluster
        self.delegator = delegator
        # By job: the time after which its unlocated tasks certainly no longer run anywhere.
        self.locate_deadlines: dict[JobId, Instant] = {}

    def schedule_requeue(self, job: Job, now: Instant) -> None:
        """Requeue the job's unlocated tasks after a delay, unless a heartbeat lists them first.

        Machines that run them list them in their next heartbeat. If none arrives, the worker's
        session is over within this delay.
        """
        self.locate_deadlines[job.id] = Instant(now + self.delegator.bounds.takeover_s)

    def requeue_overdue(self, now: Instant) -> None:
        """Requeue tasks that were not listed in time, and stop waiting for jobs that are over."""
        cluster = self.cluster
        for job_id, deadline in list(self.locate_deadlines.items()):
            job = cluster.jobs.get(job_id)
            if now > deadline or (job is None and job_id not in cluster.cancelled_jobs):
                del self.locate_deadlines[job_id]
                if job is not None:
                    job.requeue_unlocated()
                    cluster.jobs_to_place[job_id] = job
                    cluster.scheduling_pass_needed = True

    def drop_cancelled_jobs(self) -> None:
        """Drop cancelled jobs whose tasks are on no machine, once reconciliation is complete."""
        cancelled = self.cluster.cancelled_jobs
        for job_id in [job_id for job_id in cancelled if job_id not in self.locate_deadlines]:
            del cancelled[job_id]

    def recover_lost_tasks(self, now: Instant) -> None:
        """Treat unaccounted tasks (`Job.count_unaccounted_tasks`) as unlocated, to run them."""
        for job in self.cluster.jobs.values():
            if job.id in self.locate_deadlines:
                continue
            lost = job.count_unaccounted_tasks()
            if lost:
                log.warning("lost_tasks_found", job=job.id, tasks=lost)
                job.unlocated_tasks.update(
                    index
                    for index in range(job.done_below, job.next_unstarted_task)
                    if job.is_unaccounted(index)
                )
            if job.unlocated_tasks:
                self.schedule_requeue(job, now)

    def usage_by_team(self) -> dict[TeamName, Resources]:
        """Return the resources that unlocated tasks of live and cancelled jobs may use.

        Only teams with a limit are counted, as nothing else depends on the result.
        """
        cluster = self.cluster
        usage: dict[TeamName, Resources] = {}
        for job in self._jobs_to_count():
            if job.unlocated_tasks and cluster.quota.has_limit(job.team):
                team_usage = usage.get(job.team, NO_RESOURCES)
                usage[job.team] = team_usage.plus(job.need, len(job.unlocated_tasks))
        if cluster.reconciliation_completed or not (usage or cluster.recent_cancellations_unknown):
            return usage
        # They can only run on machines that are not reconciled in this term and may still run tasks
        # of a previous leader, within their capacity.
        capacity = self._unreconciled_capacity()
        if cluster.recent_cancellations_unknown:
            return {team: capacity for team in cluster.quota.teams if cluster.quota.has_limit(team)}
        return {team: used.elementwise_min(capacity) for team, used in usage.items()}

    def _jobs_to_count(self) -> Iterable[Job]:
        """All jobs until reconciliation is complete, then only those still waited for."""
        cluster = self.cluster
        if not cluster.reconciliation_completed:
            return (*cluster.jobs.values(), *cluster.cancelled_jobs.values())
        waited_for = (
            cluster.jobs.get(job_id) or cluster.cancelled_jobs.get(job_id)
            for job_id in self.locate_deadlines
        )
        return [job for job in waited_for if job is not None]

    def _unreconciled_capacity(self) -> Resources:
        """Return the capacity of the machines that may run unknown tasks of a previous leader."""
        capacity = NO_RESOURCES
        for machine in self.cluster.machines.values():
            if not (machine.reconciled or machine.previous_tasks_ended):
                machine_type = self.cluster.machine_types.get(machine.machine_type)
                capacity = (
                    UNLIMITED_RESOURCES
                    if machine_type is None
                    else capacity.plus(machine_type.capacity)
                )
        return capacity
