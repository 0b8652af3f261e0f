"""Handling of the task phases and exits that workers report. No I/O."""

from __future__ import annotations

from umberward.core.grouped_log import GroupedLog
from umberward.core.log import logger
from umberward.core.types import ImageName, Instant, TaskId
from umberward.protocol import wire
from umberward.protocol.wire import TaskStatus
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.failure_attribution import FailureAttribution
from umberward.scheduling.jobs import Job, Placement
from umberward.scheduling.machines import Machine
from umberward.scheduling.state_writer import StateWriter

log = logger(__name__)
grouped_log = GroupedLog(log)

FAILED_CAUSE = "error"  # the task itself failed (PROTOCOL, "POST /hello")
REFUSED_START_CAUSES = ("no_room", "in_use", "no_such")  # the worker did not start the task
WORKER_REFUSAL_PAUSE_S = 0.5  # pause of a job after a worker refused one of its starts
MIN_RUNTIME_RATIO, MAX_RUNTIME_RATIO = 0.1, 10.0  # of the actual to the estimated run time
RUNTIME_RATIO_WEIGHT = 0.05  # weight of the latest task in its class's moving average


class TaskProgress:
    """Applies task phases and exits to placements, jobs and run time statistics."""

    def __init__(
        self, cluster: ClusterState, failure_attribution: FailureAttribution, writer: StateWriter
    ) -> None:
        """Pass failures to `failure_attribution` and completions to `writer`."""
        self.cluster = cluster
        self.failure_attribution = failure_attribution
        self.writer = writer

    def task_exited(
        self,
        machine: Machine,
        task_id: TaskId,
        status: TaskStatus,
        placement: Placement | None,
        now: Instant,
    ) -> None:
        """Apply an exit; `placement` is that of the exited attempt, None if it was released."""
        job = self.cluster.jobs.get(task_id.job)
        if placement is not None:
            placement.seen_on_worker = True
            self.cluster.release(machine, placement, requeue=status.cause != wire.DONE)
        if job is None:
            return
        if status.cause == wire.DONE:
            self._task_completed(machine, job, task_id, placement, now)
        elif placement is None:
            return
        elif status.cause == FAILED_CAUSE:
            self.failure_attribution.task_failed(machine, job, placement, now)
        else:
            log.debug("task_exited", task=task_id, machine=machine.id, cause=status.cause)
            if status.cause in REFUSED_START_CAUSES:
                log.info("start_refused", machine=machine.id, task=task_id, cause=status.cause)
                job.retry_not_before = max(job.retry_not_before, now + WORKER_REFUSAL_PAUSE_S)

    def phase_reported(
        self, machine: Machine, placement: Placement, phase: str, now: Instant
    ) -> None:
        """Apply the phase that a worker lists for a placed task."""
        if placement.phase == phase:
            return
        placement.phase = phase
        placement.image_pulled |= phase == wire.PULLING_IMAGE
        job = self.cluster.jobs.get(placement.task.job)
        if job is None:
            return
        if phase in (wire.RUNNING, wire.WAITING_FOR_GANG):
            self._record_image_use(machine, job)
        if phase == wire.RUNNING and placement.running_since is None:
            placement.running_since = now
            self._log_job_began(job, placement)
            self._log_late_replica(job, placement, now)

    def _task_completed(
        self,
        machine: Machine,
        job: Job,
        task_id: TaskId,
        placement: Placement | None,
        now: Instant,
    ) -> None:
        """Mark the task and those that complete with it as done, and queue them for storing."""
        self.failure_attribution.task_succeeded(machine, job, placement, now)
        if placement is not None and placement.running_since is not None:
            self._record_runtime(job, now - placement.running_since)
        if not (job.gang and job.complete):  # each of its machines reports this
            for index in job.tasks_completed_with(task_id.number):
                job.mark_done(index)
                other = job.placements.get(index)
                if other is not None and not job.gang:
                    self.cluster.stop(other, 0.0)
        self.writer.note_completions(job)
        # The window of tasks that may be placed may have advanced.
        self.cluster.jobs_to_place[job.id] = job

    def _record_image_use(self, machine: Machine, job: Job) -> None:
        """Record that the worker has the job's image, cached if the machine type has a cache."""
        machine_type = self.cluster.machine_types.get(machine.machine_type)
        cache_gb = 0.0 if machine_type is None else machine_type.image_cache_gb
        machine.cache_image(ImageName(job.spec.image), job.spec.image_gb, cache_gb)

    def _log_job_began(self, job: Job, placement: Placement) -> None:
        """Log how long the job waited for its first task, unless a previous leader started it."""
        if job.has_begun:
            return
        job.has_begun = True
        if not placement.adopted_from_previous_leader:
            waited_s = round(self.cluster.wall_clock() - job.ready_at, 1)
            log.info("job_began", job=job.id, waited_s=waited_s)

    def _log_late_replica(self, job: Job, placement: Placement, now: Instant) -> None:
        """Log a replica that missed its class's start objective, and what may have delayed it.

        Only the first start of each replica counts, and only under the leader that placed it.
        """
        if not job.service:
            return
        first_start = placement.task.number not in job.started_replicas
        job.started_replicas.add(placement.task.number)
        start_within_s, _ = self.cluster.strictest_objectives.get(job.spec.job_class, (None, None))
        waited_s = self.cluster.wall_clock() - job.ready_at
        if start_within_s is None or waited_s <= start_within_s:
            return
        if placement.adopted_from_previous_leader or not first_start:
            return
        grouped_log.info(
            "replica_started_late",
            task=placement.task,
            jobclass=job.spec.job_class,
            waited_s=round(waited_s, 1),
            since_placed_s=round(now - placement.placed_at, 1),
            image_fetched=placement.image_pulled,
        )

    def _record_runtime(self, job: Job, runtime_s: float) -> None:
        """Update the moving average of actual to estimated run time of the job's class."""
        expected_s = job.spec.expected_runtime_s
        if expected_s <= 0:
            return
        ratio = min(max(runtime_s / expected_s, MIN_RUNTIME_RATIO), MAX_RUNTIME_RATIO)
        ratios = self.cluster.runtime_ratios
        average = ratios.get(job.spec.job_class, ratio)
        ratios[job.spec.job_class] = average + RUNTIME_RATIO_WEIGHT * (ratio - average)
