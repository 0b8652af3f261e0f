"""Jobs that wait for dependencies, and what they require of these. No I/O.

A dependency's demand is the priority and the time limit that its dependents require of it.

`DependencyGraph` tells from the records read so far which jobs may start, which can never run
because a dependency was cancelled, and for which this is not known yet. The leader and every
controller's cache of job states use it, so that all come to the same result. `BlockedJobs` holds
the leader's waiting jobs and propagates the demand of dependents to their dependencies.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from itertools import islice

from umberward.core.types import JobId, WallTime
from umberward.protocol import wire
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.jobs import NO_DEMAND, DependentDemand, Job

CLASS_DEMAND_WEIGHT = 0.1  # weight of one job in the moving average of its class
# Demand is expected for a class if more than this fraction of its jobs had dependents.
EXPECTED_DEMAND_FRACTION = 0.5


class DependencyGraph:
    """The dependencies of waiting jobs. Other jobs are not in it and cost nothing.

    Hundreds of jobs may each wait for hundreds of others, so an edge must be small: both its ends
    are references in lists, to one string for each job. Searching a list of some thousand
    references takes microseconds.
    """

    def __init__(self, is_live: Callable[[JobId], bool]) -> None:
        """Start empty; `is_live` tells whether the graph's owner knows a job as live."""
        self.is_live = is_live
        self.edge_count = 0  # pairs of a waiting job and a dependency that is not done
        # By waiting job: the dependencies that are not done yet, each once.
        self.dependencies: dict[JobId, list[JobId]] = {}
        # By dependency: the jobs that wait for it, each once.
        self.dependents: dict[JobId, list[JobId]] = {}
        # The one string that stands for each dependency.
        self._dependency_ids: dict[JobId, JobId] = {}
        # Dependencies that are not live and whose end is not known: their final records must be
        # looked up before their dependents may start. A dictionary used as an ordered set.
        self.unresolved_dependency_ids: dict[JobId, None] = {}
        # By waiting job that can never run: the cancelled dependency that caused it.
        self.cancelled_by: dict[JobId, JobId] = {}

    def add(self, job_id: JobId, dependency_ids: Iterable[JobId]) -> None:
        """Add a live job that waits for others; adding it again changes nothing."""
        if job_id in self.dependencies:
            return
        ids = self._dependency_ids
        dependencies = [ids.setdefault(id_, id_) for id_ in dict.fromkeys(dependency_ids)]
        self.dependencies[job_id] = dependencies
        self.edge_count += len(dependencies)
        for dependency_id in dependencies:
            self.dependents.setdefault(dependency_id, []).append(job_id)
            if dependency_id in self.cancelled_by:
                self._cancel_dependents([job_id], self.cancelled_by[dependency_id])
            elif not self.is_live(dependency_id):
                self.unresolved_dependency_ids[dependency_id] = None

    def note_live(self, job_id: JobId) -> None:
        """Note that the job is live: it has not ended yet and need not be looked up."""
        self.unresolved_dependency_ids.pop(job_id, None)

    def note_not_waiting(self, job_id: JobId) -> None:
        """Note that, according to its record, the job no longer waits for dependencies."""
        self._remove(job_id)

    def note_ended(self, job_id: JobId, phase: str) -> list[JobId]:
        """Note that the job's end was committed; return the jobs that may start now."""
        self._remove(job_id)
        self.unresolved_dependency_ids.pop(job_id, None)
        dependents = self.dependents.pop(job_id, [])
        self._dependency_ids.pop(job_id, None)
        self.edge_count -= len(dependents)
        if phase != wire.DONE:
            self._cancel_dependents(dependents, job_id)
            for dependent_id in dependents:
                self.dependencies[dependent_id].remove(job_id)
            return []
        ready = []
        for dependent_id in dependents:
            remaining = self.dependencies[dependent_id]
            remaining.remove(job_id)
            if not remaining and dependent_id not in self.cancelled_by:
                del self.dependencies[dependent_id]
                ready.append(dependent_id)
        return sorted(ready)

    def note_removed(self, job_id: JobId) -> None:
        """Note that the job's live record was deleted and its end is not known."""
        self._remove(job_id)
        if job_id in self.dependents:
            self.unresolved_dependency_ids[job_id] = None

    def unresolved_dependencies(self, job_id: JobId) -> set[JobId]:
        """Return the jobs to look up to determine whether this job can ever run."""
        if not self.unresolved_dependency_ids:
            return set()
        found: set[JobId] = set()
        seen = {job_id}
        to_visit = [job_id]
        while to_visit:
            for dependency_id in self.dependencies.get(to_visit.pop(), ()):
                if dependency_id in self.unresolved_dependency_ids:
                    found.add(dependency_id)
                if dependency_id not in seen:
                    seen.add(dependency_id)
                    to_visit.append(dependency_id)
        return found

    def clear(self) -> None:
        """Remove everything, before all records are read again."""
        self.edge_count = 0
        self.dependencies.clear()
        self.dependents.clear()
        self._dependency_ids.clear()
        self.unresolved_dependency_ids.clear()
        self.cancelled_by.clear()

    def _remove(self, job_id: JobId) -> None:
        """Remove a job that no longer waits for others."""
        self.cancelled_by.pop(job_id, None)
        for dependency_id in self.dependencies.pop(job_id, ()):
            dependents = self.dependents[dependency_id]
            dependents.remove(job_id)
            self.edge_count -= 1
            if not dependents:
                del self.dependents[dependency_id]
                del self._dependency_ids[dependency_id]
                self.unresolved_dependency_ids.pop(dependency_id, None)

    def _cancel_dependents(self, job_ids: Iterable[JobId], cause: JobId) -> None:
        """Mark these jobs and all that depend on them as cancelled by `cause`."""
        to_visit = list(job_ids)
        while to_visit:
            job_id = to_visit.pop()
            if job_id not in self.cancelled_by:
                self.cancelled_by[job_id] = cause
                to_visit.extend(self.dependents.get(job_id, ()))


class BlockedJobs:
    """The leader's jobs that wait for dependencies.

    They are not in `ClusterState.jobs`, so that placement and autoscaling ignore them.
    """

    def __init__(self, cluster: ClusterState) -> None:
        """Keep the demand on live jobs in `cluster.demands`."""
        self.cluster = cluster
        self.jobs: dict[JobId, Job] = {}
        self.demands = cluster.demands
        # By job class: the fraction of its jobs that had dependents, and the priority of the
        # dependents. Some users submit the last job of a pipeline only after the others have
        # ended; such a pipeline should be served in time as well.
        self.class_demand: dict[str, tuple[float, int]] = {}
        self.graph = DependencyGraph(lambda job_id: job_id in cluster.jobs or job_id in self.jobs)

    def add(self, job: Job, dependency_ids: Iterable[JobId]) -> None:
        """Add a job that waits for others."""
        self.jobs[job.id] = job
        self.graph.add(job.id, dependency_ids)
        self._propagate_demand([job.id])

    def job_ended(self, job_id: JobId, phase: str, ended_at: float) -> list[Job]:
        """Apply a job's committed end; return the jobs that may start now.

        `ended_at`: wall-clock time, in seconds.
        """
        dependents = list(self.graph.dependents.get(job_id, ()))
        dependencies = list(self.graph.dependencies.get(job_id, ()))
        ready = self.graph.note_ended(job_id, phase)
        self._learn_demand(job_id)
        self.demands.pop(job_id, None)
        self._recompute_demand(dependencies)
        for dependent_id in dependents:
            # Objectives count from the end of the last dependency.
            job = self.jobs[dependent_id]
            job.ready_at = WallTime(max(job.ready_at, ended_at))
        return [self.jobs.pop(ready_id) for ready_id in ready]

    def job_removed(self, job_id: JobId) -> None:
        """Remove a job whose live record was deleted."""
        dependencies = list(self.graph.dependencies.get(job_id, ()))
        self.jobs.pop(job_id, None)
        self.graph.note_removed(job_id)
        self.demands.pop(job_id, None)
        self._recompute_demand(dependencies)

    def jobs_to_cancel(self, limit: int) -> list[Job]:
        """Return up to `limit` jobs that can never run and are to be stored as cancelled."""
        return [self.jobs[job_id] for job_id in islice(self.graph.cancelled_by, limit)]

    def demand_on(self, job_id: JobId) -> DependentDemand:
        """Return what the job's live dependents require of it."""
        return self.demands.get(job_id, NO_DEMAND)

    def expected_precedence(self, job: Job) -> tuple[int, int]:
        """Return the job's precedence, including the demand that is expected for its class.

        Expected demand affects only the order. To preempt, a job needs a live dependent.
        """
        share, priority = self.class_demand.get(job.spec.job_class, (0.0, job.priority))
        guaranteed, own_priority = job.precedence
        if share > EXPECTED_DEMAND_FRACTION:
            return (guaranteed, min(own_priority, priority))
        return (guaranteed, own_priority)

    def _learn_demand(self, job_id: JobId) -> None:
        """Update the fraction of its class's jobs that had dependents, after a job has ended."""
        job = self.cluster.jobs.get(job_id)
        if job is None or job.spec.job_class not in self.class_demand:
            return
        share, priority = self.class_demand[job.spec.job_class]
        had_demand = 1.0 if job_id in self.demands else 0.0
        share += CLASS_DEMAND_WEIGHT * (had_demand - share)
        self.class_demand[job.spec.job_class] = (share, priority)

    # ---- demand on dependencies ----------------------------------------------------------

    def _demand_of(self, job_id: JobId) -> DependentDemand:
        """Return what this waiting job requires of its dependencies."""
        job = self.jobs[job_id]
        priority, finish_by = self.demand_on(job_id)
        if job.spec.deadline_s is not None:
            finish_by = min(finish_by, job.submitted_at + job.spec.deadline_s)
        return DependentDemand(
            min(priority, wire.JOB_PRIORITIES[job.spec.priority]),
            finish_by - self.cluster.expected_duration_s(job),
        )

    def _propagate_demand(self, job_ids: list[JobId]) -> None:
        """Propagate added demand to direct and indirect dependencies until nothing changes."""
        to_visit = job_ids
        while to_visit:
            job_id = to_visit.pop()
            if job_id not in self.jobs:
                continue
            demand = self._demand_of(job_id)
            for dependency_id in self.graph.dependencies.get(job_id, ()):
                old = self.demand_on(dependency_id)
                new = DependentDemand(
                    min(old.priority, demand.priority), min(old.finish_by, demand.finish_by)
                )
                if new != old:
                    self._set_demand(dependency_id, new)
                    to_visit.append(dependency_id)

    def _recompute_demand(self, job_ids: list[JobId]) -> None:
        """Recompute the demand on these jobs after one of their dependents was removed."""
        to_visit = job_ids
        while to_visit:
            job_id = to_visit.pop()
            demands = [
                self._demand_of(dependent_id)
                for dependent_id in self.graph.dependents.get(job_id, ())
                if dependent_id in self.jobs
            ]
            new = DependentDemand(
                min((demand.priority for demand in demands), default=NO_DEMAND.priority),
                min((demand.finish_by for demand in demands), default=NO_DEMAND.finish_by),
            )
            if new != self.demand_on(job_id):
                self._set_demand(job_id, new)
                to_visit.extend(self.graph.dependencies.get(job_id, ()))

    def _set_demand(self, job_id: JobId, demand: DependentDemand) -> None:
        if demand == NO_DEMAND:
            self.demands.pop(job_id, None)
        else:
            self.demands[job_id] = demand
        job = self.cluster.jobs.get(job_id) or self.jobs.get(job_id)
        if job is not None and demand.priority < wire.JOB_PRIORITIES[job.spec.priority]:
            share, _ = self.class_demand.get(job.spec.job_class, (1.0, 0))
            self.class_demand[job.spec.job_class] = (share, demand.priority)
        if job_id in self.cluster.jobs:
            self.cluster.precedences_outdated = self.cluster.scheduling_pass_needed = True
