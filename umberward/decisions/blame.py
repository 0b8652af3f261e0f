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
from umberward.decisions.cluster import Cluster
from umberward.decisions.fleet import Machine
from umberward.decisions.jobs import Job, Placement

log = logger(__name__)

SICK_AFTER = 2  # failures, of jobs that are not to blame, that set a machine aside
MISTAKEN_AFTER = 3  # machines on which a job must fail before it is blamed
DECIDED_S = 15.0  # a machine is given up when nothing has spoken for it for so long
LONGEST_HOLD_S = 45.0  # the longest pause between two tries of a job that is to blame
LOOK_EVERY_S = 0.5


class Blame:
    def __init__(self, cluster: Cluster, now: Instant) -> None:
        self.cluster = cluster
        self.doubted: dict[JobId, Job] = {}  # jobs that have failed and never ran well
        self.judging: dict[JobId, Job] = {}  # jobs with failed tasks that are not decided yet
        self.look_at = now

    def failed(self, machine: Machine, job: Job, placement: Placement, now: Instant) -> None:
        if job.judges_tasks:
            self._task_failed(machine, job, placement, now)
            return
        ran = 0.0 if placement.running_at is None else now - placement.running_at
        job.fails_after = max(job.fails_after, ran)
        job.errors.add(machine.id)
        machine.failures[job.id] = machine.failures.get(job.id, 0) + 1
        machine.failed_at = now
        if job.mistaken:
            self._hold(job, now)
            return
        log.debug("task_failed", task=placement.task, machine=machine.id, ran_s=round(ran, 1))
        if not job.ran_well:
            self.doubted[job.id] = job
            self._clear_if_running(job, now)
        if not job.ran_well and len(job.errors) >= MISTAKEN_AFTER:
            log.info("job_blamed", job=job.id, machines=len(job.errors))
            job.mistaken = True
            self._hold(job, now)
            self._judge_machines(job, now)
            return
        self._judge(machine, now)

    def worked(self, machine: Machine, job: Job, placement: Placement | None, now: Instant) -> None:
        """A task completed. What began before the last failure says nothing about the machine."""
        if placement is not None and placement.at > machine.failed_at:
            machine.failures.clear()
            machine.worked_at = now
            self._judge(machine, now)
        self._clear(job, now)

    def tick(self, now: Instant) -> None:
        if now < self.look_at:
            return
        self.look_at = Instant(now + LOOK_EVERY_S)
        for job in list(self.doubted.values()):
            if job.ended:
                self.forget(job, now)
            else:
                self._clear_if_running(job, now)
        for id, job in list(self.judging.items()):
            if job.ended or not job.judge(self.cluster.machines, now):
                del self.judging[id]

    def forget(self, job: Job, now: Instant) -> None:
        """The job is over: nothing will be learnt about it any more."""
        self.doubted.pop(job.id, None)
        if job.mistaken:
            # Judged for the last time: what it did is not held against any machine.
            for id in job.errors:
                machine = self.cluster.machines.get(id)
                if machine is not None:
                    machine.failures.pop(job.id, None)

    def remember(self, job: Job, holds: int, now: Instant) -> None:
        """A former holder has blamed the job."""
        job.mistaken = True
        job.holds = holds
        self.doubted[job.id] = job
        self._hold(job, now)

    def given_up(self, machine: Machine, now: Instant) -> bool:
        """Whether a machine that was set aside is surely at fault, and may be returned."""
        if machine.sick_since is None:
            return False
        for culprit in machine.failures:
            id = culprit.job if isinstance(culprit, TaskId) else culprit
            job = self.cluster.jobs.get(id)
            if job is not None and job.ran_well:
                return True
        return now - machine.sick_since > DECIDED_S

    # ---- parts -------------------------------------------------------------------------

    def _task_failed(self, machine: Machine, job: Job, placement: Placement, now: Instant) -> None:
        """Of a job whose tasks have little in common each is judged for itself: one that fails
        wherever it is tried must set no machine aside, though its siblings run well."""
        task = placement.task
        machine.failures[task] = machine.failures.get(task, 0) + 1
        machine.failed_at = now
        job.errors.add(machine.id)
        job.task_failed(task.number, machine.id, now)
        self.judging[job.id] = job
        if job.excused(task.number):
            self._judge_machines(job, now)
        self._judge(machine, now)

    def _hold(self, job: Job, now: Instant) -> None:
        if now < job.hold_until:
            return  # many tasks of one try fail together
        job.hold_until = now + min(LONGEST_HOLD_S, 2.0 ** min(job.holds, 10))
        job.holds += 1

    def _clear_if_running(self, job: Job, now: Instant) -> None:
        bound = 2.0 * job.fails_after + 1.0
        for placement in job.placed.values():
            if placement.running_at is not None and now - placement.running_at > bound:
                self._clear(job, now)
                return

    def _clear(self, job: Job, now: Instant) -> None:
        if job.ran_well:
            return
        job.ran_well = True
        self.doubted.pop(job.id, None)
        if job.mistaken:
            log.info("job_cleared", job=job.id)
            job.mistaken = False
            job.hold_until = 0.0
        self._judge_machines(job, now)
        self.cluster.want_pass = True

    def _judge_machines(self, job: Job, now: Instant) -> None:
        for id in job.errors:
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
            if job is None or not job.excused(number):
                # Two failures of one task say no more about a machine than one does.
                count += min(times, 1) if isinstance(culprit, TaskId) else times
        if count >= SICK_AFTER and machine.sick_since is None:
            machine.sick_since = now
            machine.touched()
            log.info("machine_set_aside", machine=machine.id, failures=count)
        elif count < SICK_AFTER and machine.sick_since is not None:
            machine.sick_since = None
            machine.touched()
            self.cluster.want_pass = True
            log.info("machine_used_again", machine=machine.id)
