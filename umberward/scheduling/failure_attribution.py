"""Attribution of task failures to the machine or to the job. No I/O.

A faulty machine fails every task, a faulty job fails on every machine, and the first failures of
either look the same. So both are suspected at first: the machine gets no new tasks (`quarantine`),
and the job runs elsewhere. A job counts as faulty once it has failed on several machines, or
repeatedly on machines that have proven sound since, and is not known to work. It is known to work,
even later, once a task completes or runs much longer than the failed ones. Its failures, which are
kept until then, count against the machines again.

A single task of a job that works may be faulty too, if it has failed on several machines. The
failures of a graph's job are attributed by the job itself, task by task
(`Job.attributes_failures_per_task`).
"""

from __future__ import annotations

from umberward.core.log import logger
from umberward.core.types import Instant, JobId, MachineId
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.jobs import Job, Placement
from umberward.scheduling.machines import Machine
from umberward.scheduling.quarantine import MachineQuarantines, ran_well_after_s

log = logger(__name__)

FAULTY_JOB_AFTER_MACHINES = 3  # a job that fails on that many machines counts as faulty
# A job counts as faulty if machines on which it has failed prove sound so often, also if it is one
# machine each time.
FAULTY_JOB_AFTER_SOUND_MACHINES = 2
CHECK_INTERVAL_S = 0.5  # between checks of the suspected jobs

# Exponential backoff: the pause before a faulty job or task is retried is 1 s at first, and grows
# by this factor with each retry.
RETRY_PAUSE_GROWTH_FACTOR = 2.0
MAX_RETRY_PAUSE_DOUBLINGS = 10
MAX_RETRY_PAUSE_S = 45.0


def retry_pause_s(retry_count: int) -> float:
    """Return the pause before the next retry, after so many retries."""
    doublings = min(retry_count, MAX_RETRY_PAUSE_DOUBLINGS)
    return min(MAX_RETRY_PAUSE_S, RETRY_PAUSE_GROWTH_FACTOR**doublings)


class FailureAttribution:
    """Attributes failures to machines, jobs or tasks, and delays the faulty jobs and tasks."""

    def __init__(
        self, cluster: ClusterState, quarantines: MachineQuarantines, now: Instant
    ) -> None:
        """Attribute the failures of `cluster`'s tasks.

        `now` is a time of the leader's monotonic clock.
        """
        self.cluster = cluster
        self.quarantines = quarantines
        self.suspected: dict[JobId, Job] = {}  # jobs that have failed and are not known to work
        # Jobs whose failures are attributed per task, with failures not attributed yet.
        self.undecided: dict[JobId, Job] = {}
        self.jobs_with_delayed_tasks: dict[JobId, Job] = {}
        self.check_not_before = now

    def task_failed(self, machine: Machine, job: Job, placement: Placement, now: Instant) -> None:
        """Count a task's failure on its machine."""
        if job.attributes_failures_per_task:
            self._attribute_to_task(machine, job, placement, now)
            return
        ran_s = 0.0 if placement.running_since is None else now - placement.running_since
        log.debug("task_failed", task=placement.task, machine=machine.id, ran_s=round(ran_s, 1))
        job.longest_failed_run_s = max(job.longest_failed_run_s, ran_s)
        job.record_failure(placement.task.number, machine.id)
        self._record_on_machine(machine, placement, now)
        if not (job.faulty or job.known_to_work):
            self.suspected[job.id] = job
            self._clear_if_running_well(job, now)
            if not job.known_to_work and len(job.failed_machines) >= FAULTY_JOB_AFTER_MACHINES:
                self._mark_faulty(job, now)
        elif job.failures_blamed_on_job(placement.task.number):
            self._delay_faulty(job, placement.task.number, now)
        self.quarantines.task_failed(machine, placement, now)

    def task_succeeded(
        self, machine: Machine, job: Job, placement: Placement | None, now: Instant
    ) -> None:
        """Record a success, after which the job is known to work.

        It proves the machine sound as well if the task was placed after the last failure there.
        """
        if placement is not None and placement.placed_at > machine.failed_at:
            self._machine_proven_sound(machine, job, now)
        if placement is not None:
            self._clear_task_fault(job, placement.task.number, now)
        self._mark_known_to_work(job, now)

    def tick(self, now: Instant) -> None:
        """Make the decisions that depend on elapsed time; to be called a few times a second."""
        if now < self.check_not_before:
            return
        self.check_not_before = Instant(now + CHECK_INTERVAL_S)
        for job in list(self.suspected.values()):
            self._clear_if_running_well(job, now)
        for job_id, job in list(self.undecided.items()):
            if not job.attribute_failures(self.cluster.machines, now):
                del self.undecided[job_id]
        self._requeue_delayed_tasks(now)
        self.quarantines.tick(now)

    def job_ended(self, job: Job, now: Instant) -> None:
        """Record that a job has ended, after which no decision about it follows.

        Its failures count only against the machines that they prove faulty.
        """
        self.suspected.pop(job.id, None)
        self.undecided.pop(job.id, None)
        self.jobs_with_delayed_tasks.pop(job.id, None)
        for machine in self._machines(job.failed_machines):
            self.quarantines.withdraw_evidence(machine, job, now)

    def restore_faulty_job(self, job: Job, retry_count: int, now: Instant) -> None:
        """Restore a previous leader's decision that the job is faulty, with its retry count."""
        job.faulty = True
        job.retry_count = retry_count
        self.suspected[job.id] = job
        self._delay_retry(job, now)

    # ---- machines ----------------------------------------------------------------------------

    def _machines(self, machine_ids: set[MachineId]) -> list[Machine]:
        """Return those of the machines that still exist."""
        machines = (self.cluster.machines.get(machine_id) for machine_id in machine_ids)
        return [machine for machine in machines if machine is not None]

    def _record_on_machine(self, machine: Machine, placement: Placement, now: Instant) -> None:
        ran_s = 0.0 if placement.running_since is None else now - placement.running_since
        machine.failures[placement.task] = machine.failures.get(placement.task, 0) + 1
        machine.longest_failed_run_s = max(machine.longest_failed_run_s, ran_s)
        machine.failed_at = now

    def _machine_proven_sound(self, machine: Machine, successful_job: Job, now: Instant) -> None:
        """Clear the failures on the machine; they were the fault of the jobs that failed there."""
        failed_jobs = {task.job for task in machine.failures} - {successful_job.id}
        self.quarantines.release(machine)
        machine.succeeded_at = now
        for job_id in failed_jobs:
            job = self.cluster.jobs.get(job_id)
            if job is not None and not (job.attributes_failures_per_task or job.known_to_work):
                self._failed_on_sound_machine(job, now)

    def _failed_on_sound_machine(self, job: Job, now: Instant) -> None:
        """Record that a machine on which the job had failed has proven sound."""
        job.failures_on_sound_machines += 1
        enough = job.failures_on_sound_machines >= FAULTY_JOB_AFTER_SOUND_MACHINES
        if enough and not job.faulty:
            self._mark_faulty(job, now)

    def _reassess_machines(self, machine_ids: set[MachineId], now: Instant) -> None:
        for machine in self._machines(machine_ids):
            self.quarantines.reassess(machine, now)

    # ---- jobs and tasks ----------------------------------------------------------------------

    def _attribute_to_task(
        self, machine: Machine, job: Job, placement: Placement, now: Instant
    ) -> None:
        """Count the failure of a task of a job whose failures are attributed per task.

        A task that fails on every machine must not quarantine any, even if other tasks
        of its job work. Repeated failures say no more about a machine than one failure.
        """
        task_id = placement.task
        self._record_on_machine(machine, placement, now)
        machine.failures[task_id] = 1
        job.failed_machines.add(machine.id)
        job.task_failed(task_id.number, machine.id, now)
        self.undecided[job.id] = job
        if job.failures_blamed_on_job(task_id.number):
            self._reassess_machines(job.failed_machines, now)
        self.quarantines.task_failed(machine, placement, now)

    def _mark_faulty(self, job: Job, now: Instant) -> None:
        log.info("job_faulty", job=job.id, machines=len(job.failed_machines))
        job.faulty = True
        self._delay_retry(job, now)
        self._reassess_machines(job.failed_machines, now)

    def _delay_faulty(self, job: Job, index: int, now: Instant) -> None:
        """Delay the retry of a faulty job, or of the one task of a job that is faulty."""
        if job.faulty or job.gang:
            self._delay_retry(job, now)
            return
        failures = job.failures_by_task[index]
        if not failures.retry_count:
            log.info("task_faulty", task=f"{job.id}/{index}", machines=len(failures.machines))
            self._reassess_machines(failures.machines, now)
        job.delay_task(index, now + retry_pause_s(failures.retry_count))
        failures.retry_count += 1
        self.jobs_with_delayed_tasks[job.id] = job

    def _delay_retry(self, job: Job, now: Instant) -> None:
        """Delay a faulty job's retry; further failures during the delay count as the same retry."""
        if now < job.retry_not_before:
            return
        job.retry_not_before = now + retry_pause_s(job.retry_count)
        job.retry_count += 1

    def _requeue_delayed_tasks(self, now: Instant) -> None:
        for job in list(self.jobs_with_delayed_tasks.values()):
            if job.requeue_delayed_tasks(now):
                self.cluster.jobs_to_place[job.id] = job
                self.cluster.scheduling_pass_needed = True
            if not job.delayed_tasks:
                del self.jobs_with_delayed_tasks[job.id]

    def _clear_task_fault(self, job: Job, index: int, now: Instant) -> None:
        """Record that a task completed; its failures count against the machines from now on."""
        failures = job.failures_by_task.pop(index, None)
        if failures is not None:
            self._reassess_machines(failures.machines, now)

    def _clear_if_running_well(self, job: Job, now: Instant) -> None:
        """Record that the job works if a task of it has run much longer than the failed ones."""
        ran_well_s = ran_well_after_s(job.longest_failed_run_s)
        for placement in job.placements.values():
            if placement.running_since is not None and now - placement.running_since > ran_well_s:
                self._mark_known_to_work(job, now)
                return

    def _mark_known_to_work(self, job: Job, now: Instant) -> None:
        """Record that the job works; its failures count against the machines from now on."""
        if job.known_to_work:
            return
        job.known_to_work = True
        self.suspected.pop(job.id, None)
        if job.faulty:
            log.info("job_fault_cleared", job=job.id)
            job.faulty = False
            job.retry_not_before = 0.0
        self._reassess_machines(job.failed_machines, now)
        self.cluster.scheduling_pass_needed = True
