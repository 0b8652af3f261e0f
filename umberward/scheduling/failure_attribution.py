"""Whose fault it is that a task failed: its machine's or its job's. No I/O.

A faulty machine fails whatever it starts, a job submitted with a mistake fails wherever it is
started, and the first failures of either look the same. So both are doubted at first: the machine
gets nothing new and the job goes elsewhere. What else the job does tells them apart: it is blamed
when it fails on several machines and runs on none, and it is cleared, also later, by one task
that completes or runs much longer than those that failed. Then its failures count against
the machines again, which are kept until that is decided.
"""

from __future__ import annotations

from umberward.core.log import logger
from umberward.core.types import Instant, JobId, TaskId
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.jobs import Job, Placement
from umberward.scheduling.machines import Machine

log = logger(__name__)

QUARANTINE_AFTER_FAILURES = 2  # failures, of jobs that are not to blame, that set a machine aside
FAULTY_JOB_AFTER_MACHINES = 3  # machines on which a job must fail before it is blamed
QUARANTINE_DECISION_S = 15.0  # a machine is given up when nothing has spoken for it for so long
MAX_RETRY_PAUSE_S = 45.0  # the longest pause between two tries of a job that is to blame
CHECK_INTERVAL_S = 0.5


class FailureAttribution:
    def __init__(self, cluster: ClusterState, now: Instant) -> None:
        self.cluster = cluster
        self.suspected: dict[JobId, Job] = {}  # jobs that have failed and never ran well
        self.undecided: dict[JobId, Job] = {}  # jobs with failed tasks that are not decided yet
        self.check_not_before = now

    def task_failed(self, machine: Machine, job: Job, placement: Placement, now: Instant) -> None:
        if job.attributes_failures_per_task:
            self._task_failed(machine, job, placement, now)
            return
        ran = 0.0 if placement.running_since is None else now - placement.running_since
        job.longest_failed_run_s = max(job.longest_failed_run_s, ran)
        job.failed_machines.add(machine.id)
        machine.failures[job.id] = machine.failures.get(job.id, 0) + 1
        machine.failed_at = now
        if job.faulty:
            self._delay_retry(job, now)
            return
        log.debug("task_failed", task=placement.task, machine=machine.id, ran_s=round(ran, 1))
        if not job.ran_well:
            self.suspected[job.id] = job
            self._exonerate_if_running(job, now)
        if not job.ran_well and len(job.failed_machines) >= FAULTY_JOB_AFTER_MACHINES:
            log.info("job_faulty", job=job.id, machines=len(job.failed_machines))
            job.faulty = True
            self._delay_retry(job, now)
            self._judge_machines(job, now)
            return
        self._judge(machine, now)

    def task_succeeded(
        self, machine: Machine, job: Job, placement: Placement | None, now: Instant
    ) -> None:
        """A task completed. What began before the last failure says nothing about the machine."""
        if placement is not None and placement.placed_at > machine.failed_at:
            machine.failures.clear()
            machine.succeeded_at = now
            self._judge(machine, now)
        self._exonerate(job, now)

    def tick(self, now: Instant) -> None:
        if now < self.check_not_before:
            return
        self.check_not_before = Instant(now + CHECK_INTERVAL_S)
        for job in list(self.suspected.values()):
            if job.ended:
                self.forget_job(job, now)
            else:
                self._exonerate_if_running(job, now)
        for id, job in list(self.undecided.items()):
            if job.ended or not job.judge_failures(self.cluster.machines, now):
                del self.undecided[id]

    def forget_job(self, job: Job, now: Instant) -> None:
        """The job is over: nothing will be learnt about it any more."""
        self.suspected.pop(job.id, None)
        if job.faulty:
            # Judged for the last time: what it did is not held against any machine.
            for id in job.failed_machines:
                machine = self.cluster.machines.get(id)
                if machine is not None:
                    machine.failures.pop(job.id, None)

    def restore_faulty_job(self, job: Job, holds: int, now: Instant) -> None:
        """A former holder has blamed the job."""
        job.faulty = True
        job.retry_count = holds
        self.suspected[job.id] = job
        self._delay_retry(job, now)

    def machine_is_faulty(self, machine: Machine, now: Instant) -> bool:
        """Whether a machine that was set aside is surely at fault, and may be returned."""
        if machine.quarantined_since is None:
            return False
        for culprit in machine.failures:
            id = culprit.job if isinstance(culprit, TaskId) else culprit
            job = self.cluster.jobs.get(id)
            if job is not None and job.ran_well:
                return True
        return now - machine.quarantined_since > QUARANTINE_DECISION_S

    # ---- parts -------------------------------------------------------------------------

    def _task_failed(self, machine: Machine, job: Job, placement: Placement, now: Instant) -> None:
        """Of a job whose tasks have little in common each is judged for itself: one that fails
        wherever it is tried must set no machine aside, though its siblings run well."""
        task = placement.task
        machine.failures[task] = machine.failures.get(task, 0) + 1
        machine.failed_at = now
        job.failed_machines.add(machine.id)
        job.task_failed(task.number, machine.id, now)
        self.undecided[job.id] = job
        if job.failure_excused(task.number):
            self._judge_machines(job, now)
        self._judge(machine, now)

    def _delay_retry(self, job: Job, now: Instant) -> None:
        if now < job.held_until:
            return  # many tasks of one try fail together
        job.held_until = now + min(MAX_RETRY_PAUSE_S, 2.0 ** min(job.retry_count, 10))
        job.retry_count += 1

    def _exonerate_if_running(self, job: Job, now: Instant) -> None:
        bound = 2.0 * job.longest_failed_run_s + 1.0
        for placement in job.placements.values():
            if placement.running_since is not None and now - placement.running_since > bound:
                self._exonerate(job, now)
                return

    def _exonerate(self, job: Job, now: Instant) -> None:
        if job.ran_well:
            return
        job.ran_well = True
        self.suspected.pop(job.id, None)
        if job.faulty:
            log.info("job_exonerated", job=job.id)
            job.faulty = False
            job.held_until = 0.0
        self._judge_machines(job, now)
        self.cluster.pass_wanted = True

    def _judge_machines(self, job: Job, now: Instant) -> None:
        for id in job.failed_machines:
            machine = self.cluster.machines.get(id)
            if machine is not None:
                self._judge(machine, now)

    def _judge(self, machine: Machine, now: Instant) -> None:
        jobs = self.cluster.jobs
        count = 0
        for culprit, times in machine.failures.items():
            if isinstance(culprit, TaskId):
                job, number = jobs.get(culprit.job), culprit.number
            else:
                job, number = jobs.get(culprit), 0
            if job is None or not job.failure_excused(number):
                # Two failures of one task say no more about a machine than one does.
                count += min(times, 1) if isinstance(culprit, TaskId) else times
        if count >= QUARANTINE_AFTER_FAILURES and machine.quarantined_since is None:
            machine.quarantined_since = now
            machine.availability_changed()
            log.info("machine_quarantined", machine=machine.id, failures=count)
        elif count < QUARANTINE_AFTER_FAILURES and machine.quarantined_since is not None:
            machine.quarantined_since = None
            machine.availability_changed()
            self.cluster.pass_wanted = True
            log.info("machine_released_from_quarantine", machine=machine.id)
