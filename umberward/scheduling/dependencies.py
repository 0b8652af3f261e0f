"""Jobs that wait for others. No I/O.

`Graph` tells, from the records that were read so far, which jobs may start, which can never run
because one before them was cancelled, and of which it can't tell yet. The leader and every
controller's copy of the jobs' states use it, so that all come to the same answer.
`Pipelines` holds the leader's waiting jobs, and passes on to the jobs before them what is asked of
those after them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from itertools import islice

from umberward.core.types import JobId, WallTime
from umberward.protocol import wire
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.jobs import NO_DEMAND, DependentDemand, Job


class DependencyGraph:
    """What waits for what. Only jobs that still wait are in it, so it costs nothing besides."""

    def __init__(self, is_live: Callable[[JobId], bool]) -> None:
        self.is_live = is_live
        self.dependencies: dict[JobId, set[JobId]] = {}  # a waiting job -> what it still waits for
        self.dependents: dict[JobId, set[JobId]] = {}  # a job -> the jobs that wait for it
        # Needed, not live, and its end was not seen: not done until it was looked up.
        self.unresolved_ids: dict[JobId, None] = {}
        # Waiting jobs that can never run -> the cancelled job that is to blame.
        self.cancelled_by: dict[JobId, JobId] = {}

    def add(self, id: JobId, needs: Iterable[JobId]) -> None:
        """A live job that waits for others. The same again changes nothing."""
        if id in self.dependencies:
            return
        self.dependencies[id] = set(needs)
        for need in self.dependencies[id]:
            self.dependents.setdefault(need, set()).add(id)
            if need in self.cancelled_by:
                self._cancel_dependents([id], self.cancelled_by[need])
            elif not self.is_live(need):
                self.unresolved_ids[need] = None

    def note_live(self, id: JobId) -> None:
        """The job is live: its end is not unknown but yet to come."""
        self.unresolved_ids.pop(id, None)

    def note_started(self, id: JobId) -> None:
        """Its record says that it waits for nothing any more."""
        self._remove(id)

    def note_ended(self, id: JobId, phase: str) -> list[JobId]:
        """The job's end was committed; returns the jobs that may start now."""
        self._remove(id)
        self.unresolved_ids.pop(id, None)
        heirs = self.dependents.pop(id, set())
        if phase != wire.DONE:
            self._cancel_dependents(heirs, id)
            for heir in heirs:
                self.dependencies[heir].discard(id)
            return []
        ready = []
        for heir in heirs:
            left = self.dependencies[heir]
            left.discard(id)
            if not left and heir not in self.cancelled_by:
                del self.dependencies[heir]
                ready.append(heir)
        return sorted(ready)

    def note_gone(self, id: JobId) -> None:
        """The job's live record is gone, and it was not said what became of it."""
        self._remove(id)
        if id in self.dependents:
            self.unresolved_ids[id] = None

    def unresolved(self, id: JobId) -> set[JobId]:
        """What must be looked up to tell what becomes of this job."""
        if not self.unresolved_ids:
            return set()
        found: set[JobId] = set()
        seen = {id}
        walk = [id]
        while walk:
            for need in self.dependencies.get(walk.pop(), ()):
                if need in self.unresolved_ids:
                    found.add(need)
                if need not in seen:
                    seen.add(need)
                    walk.append(need)
        return found

    def clear(self) -> None:
        self.dependencies.clear()
        self.dependents.clear()
        self.unresolved_ids.clear()
        self.cancelled_by.clear()

    def _remove(self, id: JobId) -> None:
        self.cancelled_by.pop(id, None)
        for need in self.dependencies.pop(id, ()):
            heirs = self.dependents.get(need)
            if heirs is not None:
                heirs.discard(id)
                if not heirs:
                    del self.dependents[need]
                    self.unresolved_ids.pop(need, None)

    def _cancel_dependents(self, ids: Iterable[JobId], cause: JobId) -> None:
        walk = list(ids)
        while walk:
            id = walk.pop()
            if id not in self.cancelled_by:
                self.cancelled_by[id] = cause
                walk.extend(self.dependents.get(id, ()))


DEMAND_LEARNING_RATE = 0.1  # how much one job says about its class
EXPECTED_DEMAND_SHARE = 0.5  # of the jobs of a class must be needed by others for it to be expected


class WaitingJobs:
    """The leader's jobs that wait: nothing else knows of them until they may start."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster
        self.jobs: dict[JobId, Job] = {}
        self.demands = cluster.demands
        # class -> share of its jobs that others needed, and the rank of those: some users submit
        # the last job of a pipeline only when the others are over, which should get through.
        self.class_demand: dict[str, tuple[float, int]] = {}
        self.graph = DependencyGraph(lambda id: id in cluster.jobs or id in self.jobs)

    def add(self, job: Job, needs: Iterable[JobId]) -> None:
        self.jobs[job.id] = job
        self.graph.add(job.id, needs)
        self._propagate_demand([job.id])

    def job_ended(self, id: JobId, phase: str, at: float) -> list[Job]:
        """The job's end was committed at that time; returns the jobs that may start now."""
        heirs = list(self.graph.dependents.get(id, ()))
        needs = list(self.graph.dependencies.get(id, ()))
        ready = self.graph.note_ended(id, phase)
        self._learn_demand(id)
        self.demands.pop(id, None)
        self._recompute_demand(needs)
        for heir in heirs:
            # What is asked of a job counts from the end of the last one that it needs.
            job = self.jobs[heir]
            job.ready_at = WallTime(max(job.ready_at, at))
        return [self.jobs.pop(heir) for heir in ready]

    def job_gone(self, id: JobId) -> None:
        """The job's live record is gone."""
        needs = list(self.graph.dependencies.get(id, ()))
        self.jobs.pop(id, None)
        self.graph.note_gone(id)
        self.demands.pop(id, None)
        self._recompute_demand(needs)

    def jobs_to_cancel(self, most: int) -> list[Job]:
        """Some of the jobs whose records are to be moved, as one before them was cancelled."""
        return [self.jobs[id] for id in islice(self.graph.cancelled_by, most)]

    def demand_on(self, id: JobId) -> DependentDemand:
        return self.demands.get(id, NO_DEMAND)

    def service_standing(self, job: Job) -> tuple[int, int]:
        """Its place in the order of service. Nothing is stopped on an expectation: that takes a
        live job that needs this one."""
        share, rank = self.class_demand.get(job.spec.job_class, (0.0, job.priority))
        guaranteed, own = job.standing
        return (guaranteed, min(own, rank) if share > EXPECTED_DEMAND_SHARE else own)

    def _learn_demand(self, id: JobId) -> None:
        job = self.cluster.jobs.get(id)
        if job is not None and job.spec.job_class in self.class_demand:
            share, rank = self.class_demand[job.spec.job_class]
            asked = 1.0 if id in self.demands else 0.0
            self.class_demand[job.spec.job_class] = (
                share + DEMAND_LEARNING_RATE * (asked - share),
                rank,
            )

    # ---- what those after a job ask of it ------------------------------------------------

    def _demand_of(self, id: JobId) -> DependentDemand:
        """What this waiting job asks of those before it."""
        job = self.jobs[id]
        rank, late = self.demand_on(id)
        if job.spec.deadline_s is not None:
            late = min(late, job.submitted_at + job.spec.deadline_s)
        return DependentDemand(
            min(rank, wire.PRIORITIES[job.spec.priority]),
            late - self.cluster.expected_duration(job),
        )

    def _propagate_demand(self, ids: list[JobId]) -> None:
        """Something more is asked: it goes from job to job towards the first, while it matters."""
        walk = ids
        while walk:
            id = walk.pop()
            if id not in self.jobs:
                continue
            asked = self._demand_of(id)
            for need in self.graph.dependencies.get(id, ()):
                old = self.demand_on(need)
                new = DependentDemand(
                    min(old.priority, asked.priority), min(old.finish_by, asked.finish_by)
                )
                if new != old:
                    self._set_demand(need, new)
                    walk.append(need)

    def _recompute_demand(self, ids: list[JobId]) -> None:
        """A job after these is gone: what the others ask is found anew."""
        walk = ids
        while walk:
            id = walk.pop()
            asked = [
                self._demand_of(heir)
                for heir in self.graph.dependents.get(id, ())
                if heir in self.jobs
            ]
            new = DependentDemand(
                min((claim.priority for claim in asked), default=NO_DEMAND.priority),
                min((claim.finish_by for claim in asked), default=NO_DEMAND.finish_by),
            )
            if new != self.demand_on(id):
                self._set_demand(id, new)
                walk.extend(self.graph.dependencies.get(id, ()))

    def _set_demand(self, id: JobId, claim: DependentDemand) -> None:
        if claim == NO_DEMAND:
            self.demands.pop(id, None)
        else:
            self.demands[id] = claim
        job = self.cluster.jobs.get(id) or self.jobs.get(id)
        if job is not None and claim.priority < wire.PRIORITIES[job.spec.priority]:
            share, _ = self.class_demand.get(job.spec.job_class, (1.0, 0))
            self.class_demand[job.spec.job_class] = (share, claim.priority)
        if id in self.cluster.jobs:
            self.cluster.standings_outdated = self.cluster.pass_wanted = True
