"""Adoption of tasks that a previous leader started and that a worker still runs. No I/O."""

from __future__ import annotations

from itertools import islice

from umberward.core.types import Attempt, Instant, TaskId
from umberward.protocol.wire import TaskStatus
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.jobs import Job, Placement
from umberward.scheduling.machines import Machine


class TaskAdoption:
    """Creates placements for tasks that workers list and that this leader has not placed."""

    def __init__(self, cluster: ClusterState) -> None:
        """Adopt tasks into `cluster`."""
        self.cluster = cluster

    def adopt(
        self, machine: Machine, task_id: TaskId, status: TaskStatus, now: Instant
    ) -> Placement | None:
        """Record a placement for a listed task; return None if the task must be stopped instead."""
        job = self.cluster.jobs.get(task_id.job)
        if job is None:
            return self._adopt_cancelled(machine, task_id, status, now)
        if not self._may_adopt(machine, job, task_id, status):
            return None
        placement = self._build_placement(machine, job, task_id, status, now)
        if placement is None:
            return None
        job.started_replicas.add(task_id.number)
        self._add(machine, job, placement)
        return placement

    def _adopt_cancelled(
        self, machine: Machine, task_id: TaskId, status: TaskStatus, now: Instant
    ) -> Placement | None:
        """Record a placement for a task of a cancelled job, to be stopped immediately.

        It occupies resources and counts towards its team's quota until it ends. Return None if the
        job's record is not known, as the task's resources are then unknown too.
        """
        job = self.cluster.cancelled_jobs.get(task_id.job)
        if job is None or task_id.number not in job.unlocated_tasks:
            return None
        if task_id in machine.placements:
            return None
        placement = self._build_placement(machine, job, task_id, status, now)
        if placement is None:
            return None
        placement.stop_grace_s = 0.0
        self._add(machine, job, placement)
        return placement

    def _may_adopt(self, machine: Machine, job: Job, task_id: TaskId, status: TaskStatus) -> bool:
        """Return whether a previous leader may have placed it and it has no other placement."""
        if not self.cluster.loaded or task_id.number >= job.size or job.is_done(task_id.number):
            return False
        if task_id in machine.placements or task_id.number in job.placements:
            return False
        if task_id.number >= job.placed_below:
            return False
        return not job.gang or _is_gang_attempt(job, status.attempt)

    def _build_placement(
        self, machine: Machine, job: Job, task_id: TaskId, status: TaskStatus, now: Instant
    ) -> Placement | None:
        """Build the placement of a running task; None if an invariant refuses it."""
        placement = Placement(task_id, Attempt(status.attempt), machine.id, machine.zone, job, now)
        if not self.cluster.invariants.may_place(machine, job, placement):
            return None
        placement.intent_stored = True
        placement.sent = True
        placement.seen_on_worker = True
        placement.adopted_from_previous_leader = True
        return placement

    def _add(self, machine: Machine, job: Job, placement: Placement) -> None:
        self.cluster.add_placement(machine, job, placement)
        job.locate_task(placement.task.number)


def _is_gang_attempt(job: Job, attempt: int) -> bool:
    """Return whether the placed tasks of a gang have this attempt: a gang runs as one attempt.

    They all have the same one, so that only the first is compared.
    """
    return all(placement.attempt == attempt for placement in islice(job.placements.values(), 1))
