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
from umberward.decisions.cluster import Cluster
from umberward.decisions.jobs import NO_CLAIM, Claim, Job
from umberward.protocol import wire


class Graph:
    """What waits for what. Only jobs that still wait are in it, so it costs nothing besides."""

    def __init__(self, is_live: Callable[[JobId], bool]) -> None:
        self.is_live = is_live
        self.needs: dict[JobId, set[JobId]] = {}  # a waiting job -> what it still waits for
        self.heirs: dict[JobId, set[JobId]] = {}  # a job -> the jobs that wait for it
        # Needed, not live, and its end was not seen: not done until it was looked up.
        self.unknown: dict[JobId, None] = {}
        # Waiting jobs that can never run -> the cancelled job that is to blame.
        self.doomed: dict[JobId, JobId] = {}

    def add(self, id: JobId, needs: Iterable[JobId]) -> None:
        """A live job that waits for others. The same again changes nothing."""
        if id in self.needs:
            return
        self.needs[id] = set(needs)
        for need in self.needs[id]:
            self.heirs.setdefault(need, set()).add(id)
            if need in self.doomed:
                self._doom([id], self.doomed[need])
            elif not self.is_live(need):
                self.unknown[need] = None

    def seen(self, id: JobId) -> None:
        """The job is live: its end is not unknown but yet to come."""
        self.unknown.pop(id, None)

    def started(self, id: JobId) -> None:
        """Its record says that it waits for nothing any more."""
        self._leave(id)

    def ended(self, id: JobId, phase: str) -> list[JobId]:
        """The job's end was committed; returns the jobs that may start now."""
        self._leave(id)
        self.unknown.pop(id, None)
        heirs = self.heirs.pop(id, set())
        if phase != wire.DONE:
            self._doom(heirs, id)
            for heir in heirs:
                self.needs[heir].discard(id)
            return []
        ready = []
        for heir in heirs:
            left = self.needs[heir]
            left.discard(id)
            if not left and heir not in self.doomed:
                del self.needs[heir]
                ready.append(heir)
        return sorted(ready)

    def gone(self, id: JobId) -> None:
        """The job's live record is gone, and it was not said what became of it."""
        self._leave(id)
        if id in self.heirs:
            self.unknown[id] = None

    def hazy(self, id: JobId) -> set[JobId]:
        """What must be looked up to tell what becomes of this job."""
        if not self.unknown:
            return set()
        found: set[JobId] = set()
        seen = {id}
        walk = [id]
        while walk:
            for need in self.needs.get(walk.pop(), ()):
                if need in self.unknown:
                    found.add(need)
                if need not in seen:
                    seen.add(need)
                    walk.append(need)
        return found

    def clear(self) -> None:
        self.needs.clear()
        self.heirs.clear()
        self.unknown.clear()
        self.doomed.clear()

    def _leave(self, id: JobId) -> None:
        self.doomed.pop(id, None)
        for need in self.needs.pop(id, ()):
            heirs = self.heirs.get(need)
            if heirs is not None:
                heirs.discard(id)
                if not heirs:
                    del self.heirs[need]
                    self.unknown.pop(need, None)

    def _doom(self, ids: Iterable[JobId], cause: JobId) -> None:
        walk = list(ids)
        while walk:
            id = walk.pop()
            if id not in self.doomed:
                self.doomed[id] = cause
                walk.extend(self.heirs.get(id, ()))


HABIT_PART = 0.1  # how much one job says about its class
HABIT_SHARE = 0.5  # of the jobs of a class must be needed by others for it to be expected


class Pipelines:
    """The leader's jobs that wait: nothing else knows of them until they may start."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.jobs: dict[JobId, Job] = {}
        self.claims = cluster.claims
        # class -> share of its jobs that others needed, and the rank of those: some users submit
        # the last job of a pipeline only when the others are over, which should get through.
        self.habits: dict[str, tuple[float, int]] = {}
        self.graph = Graph(lambda id: id in cluster.jobs or id in self.jobs)

    def add(self, job: Job, needs: Iterable[JobId]) -> None:
        self.jobs[job.id] = job
        self.graph.add(job.id, needs)
        self._pass_on([job.id])

    def ended(self, id: JobId, phase: str, at: float) -> list[Job]:
        """The job's end was committed at that time; returns the jobs that may start now."""
        heirs = list(self.graph.heirs.get(id, ()))
        needs = list(self.graph.needs.get(id, ()))
        ready = self.graph.ended(id, phase)
        self._learn(id)
        self.claims.pop(id, None)
        self._withdraw(needs)
        for heir in heirs:
            # What is asked of a job counts from the end of the last one that it needs.
            job = self.jobs[heir]
            job.ready_at = WallTime(max(job.ready_at, at))
        return [self.jobs.pop(heir) for heir in ready]

    def gone(self, id: JobId) -> None:
        """The job's live record is gone."""
        needs = list(self.graph.needs.get(id, ()))
        self.jobs.pop(id, None)
        self.graph.gone(id)
        self.claims.pop(id, None)
        self._withdraw(needs)

    def dooms(self, most: int) -> list[Job]:
        """Some of the jobs whose records are to be moved, as one before them was cancelled."""
        return [self.jobs[id] for id in islice(self.graph.doomed, most)]

    def claim(self, id: JobId) -> Claim:
        return self.claims.get(id, NO_CLAIM)

    def served_as(self, job: Job) -> tuple[int, int]:
        """Its place in the order of service. Nothing is stopped on an expectation: that takes a
        live job that needs this one."""
        share, rank = self.habits.get(job.spec.jobclass, (0.0, job.rank))
        guaranteed, own = job.standing
        return (guaranteed, min(own, rank) if share > HABIT_SHARE else own)

    def _learn(self, id: JobId) -> None:
        job = self.cluster.jobs.get(id)
        if job is not None and job.spec.jobclass in self.habits:
            share, rank = self.habits[job.spec.jobclass]
            asked = 1.0 if id in self.claims else 0.0
            self.habits[job.spec.jobclass] = (share + HABIT_PART * (asked - share), rank)

    # ---- what those after a job ask of it ------------------------------------------------

    def _asks(self, id: JobId) -> Claim:
        """What this waiting job asks of those before it."""
        job = self.jobs[id]
        rank, late = self.claim(id)
        if job.spec.due_s is not None:
            late = min(late, job.at + job.spec.due_s)
        return Claim(min(rank, wire.RANKS[job.spec.rank]), late - self.cluster.takes(job))

    def _pass_on(self, ids: list[JobId]) -> None:
        """Something more is asked: it goes from job to job towards the first, while it matters."""
        walk = ids
        while walk:
            id = walk.pop()
            if id not in self.jobs:
                continue
            asked = self._asks(id)
            for need in self.graph.needs.get(id, ()):
                old = self.claim(need)
                new = Claim(min(old.rank, asked.rank), min(old.late, asked.late))
                if new != old:
                    self._set(need, new)
                    walk.append(need)

    def _withdraw(self, ids: list[JobId]) -> None:
        """A job after these is gone: what the others ask is found anew."""
        walk = ids
        while walk:
            id = walk.pop()
            asked = [self._asks(heir) for heir in self.graph.heirs.get(id, ()) if heir in self.jobs]
            new = Claim(
                min((claim.rank for claim in asked), default=NO_CLAIM.rank),
                min((claim.late for claim in asked), default=NO_CLAIM.late),
            )
            if new != self.claim(id):
                self._set(id, new)
                walk.extend(self.graph.needs.get(id, ()))

    def _set(self, id: JobId, claim: Claim) -> None:
        if claim == NO_CLAIM:
            self.claims.pop(id, None)
        else:
            self.claims[id] = claim
        job = self.cluster.jobs.get(id) or self.jobs.get(id)
        if job is not None and claim.rank < wire.RANKS[job.spec.rank]:
            share, _ = self.habits.get(job.spec.jobclass, (1.0, 0))
            self.habits[job.spec.jobclass] = (share, claim.rank)
        if id in self.cluster.jobs:
            self.cluster.want_grades = self.cluster.want_pass = True
