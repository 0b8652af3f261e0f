"""Quarantine of machines on which tasks fail, and their way back into use. No I/O.

Each machine has a circuit breaker. After `QUARANTINE_AFTER_FAILURES` failures that count against
it, it gets no tasks. What proves it sound is a task that succeeds there, so it would stay in
quarantine for good without any task. After a pause it therefore gets a *trial*: one task, or the
tasks of one gang, for which no other machine has room. A trial that completes or runs well
releases the machine; one that fails makes the next pause longer.

A machine must not be idle beside a job that waits for `MAX_WAIT_BESIDE_ROOM_S`. Before a trial of
that job, another one may last `TRIAL_INTERVAL_S`, fail, and be followed by the longest pause:

    TRIAL_INTERVAL_S + MAX_TRIAL_PAUSE_S < MAX_WAIT_BESIDE_ROOM_S

All times are those of the leader's monotonic clock. The difference covers heartbeats, which report
a failure late, and the time until the next scheduling pass.
"""

from __future__ import annotations

from typing import NamedTuple

from umberward.core.log import logger
from umberward.core.types import Instant, JobId, MachineId, Resources
from umberward.protocol.wire import MachineType
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.jobs import Job, Placement
from umberward.scheduling.machines import Machine, Quarantine
from umberward.scheduling.summaries import LogFields

log = logger(__name__)

QUARANTINE_AFTER_FAILURES = 2  # failures on one machine that are not attributed to a job or task
# A machine still in quarantine after this time is faulty, and returned if it is empty.
QUARANTINE_TIMEOUT_S = 15.0

MAX_WAIT_BESIDE_ROOM_S = 90.0  # the rule `left_waiting`
# The pause before a trial; the first is longer than `QUARANTINE_TIMEOUT_S`, so that an empty
# machine is returned and not tried. It doubles with each failed trial.
FIRST_TRIAL_PAUSE_S = 20.0
MAX_TRIAL_PAUSE_S = 40.0
TRIAL_INTERVAL_S = 30.0  # the next trial need not wait longer for the result of the previous one
# A job that may be at fault itself is a trial only if no other job takes it for so long.
REPEATED_TRIAL_DELAY_S = 2.0

# A task that has run this multiple of the longest failed run, plus the margin, runs well.
RAN_WELL_FACTOR = 2.0
RAN_WELL_MARGIN_S = 1.0


def ran_well_after_s(longest_failed_run_s: float) -> float:
    """Return the run time from which a task runs well, given the longest run that failed."""
    return RAN_WELL_FACTOR * longest_failed_run_s + RAN_WELL_MARGIN_S


def trial_pause_s(failed_trials: int) -> float:
    """Return the pause before the next trial of a machine that failed so many trials."""
    pause_s = FIRST_TRIAL_PAUSE_S
    for _ in range(failed_trials):
        pause_s = min(2.0 * pause_s, MAX_TRIAL_PAUSE_S)
    return pause_s


class TrialMachine(NamedTuple):
    """A quarantined machine that may be given a trial, and its free resources."""

    machine: Machine
    free: Resources


class DueTrials(NamedTuple):
    """The trials that may be placed in one scheduling pass."""

    machines: list[TrialMachine]
    repeated: set[MachineId]  # of these, the machines that jobs with open failures may try
    jobs_under_trial: set[JobId]  # jobs with a trial that has no result yet

    def for_job(self, job: Job) -> list[TrialMachine]:
        """Return the machines that the job may try.

        A job with open failures may be at fault itself: it comes after the others. An array or a
        service has one trial at a time, so that it does not occupy all machines with them.
        """
        if not job.gang and job.id in self.jobs_under_trial:
            return []
        if job.has_open_failures:
            return [trial for trial in self.machines if trial.machine.id in self.repeated]
        return self.machines

    def remove(self, machine_ids: set[MachineId], job_id: JobId) -> None:
        """Remove the machines that were given to a job for its trial."""
        if machine_ids:
            self.machines[:] = [t for t in self.machines if t.machine.id not in machine_ids]
            self.jobs_under_trial.add(job_id)


class MachineQuarantines:
    """Quarantines machines, gives them trials and releases them."""

    def __init__(self, cluster: ClusterState) -> None:
        """Start without quarantined machines."""
        self.cluster = cluster
        self.machines: dict[MachineId, Machine] = {}  # the quarantined ones

    # ---- events --------------------------------------------------------------------------

    def task_failed(self, machine: Machine, placement: Placement, now: Instant) -> None:
        """Apply a failure that was recorded on the machine; a failed trial prolongs the pause."""
        quarantine = machine.quarantine
        if quarantine is None:
            self.reassess(machine, now)
        elif placement.is_trial:
            self._trial_failed(machine, quarantine, placement, now)

    def reassess(self, machine: Machine, now: Instant) -> None:
        """Quarantine or release the machine after failures were attributed anew.

        A machine is released if none but a faulty job or task failed on it. If something else may
        have failed there, it is tried instead.
        """
        quarantine = machine.quarantine
        if quarantine is None:
            failures = self.count_failures(machine)
            if failures >= QUARANTINE_AFTER_FAILURES:
                self._quarantine(machine, failures, now)
        elif self._is_justified(machine, quarantine):
            return
        elif quarantine.evidence_withdrawn or quarantine.restored:
            _try_at_once(quarantine, now)
        else:
            self.release(machine)

    def withdraw_evidence(self, machine: Machine, job: Job, now: Instant) -> None:
        """Withdraw the failures of an ended job that do not prove the machine faulty.

        Nothing more can show whether the machine or the job was at fault. A machine that is in
        quarantine only for them is not released, as it may be faulty, but tried at once.
        """
        withdrawn = [
            task
            for task in machine.failures
            if task.job == job.id and not job.machine_at_fault(task.number)
        ]
        for task in withdrawn:
            del machine.failures[task]
        quarantine = machine.quarantine
        if withdrawn and quarantine is not None and not self._is_justified(machine, quarantine):
            quarantine.evidence_withdrawn = True
            _try_at_once(quarantine, now)

    def tick(self, now: Instant) -> None:
        """Release the machines on which a trial runs well, and drop those that are gone."""
        for machine in list(self.machines.values()):
            if self.cluster.machines.get(machine.id) is not machine:
                del self.machines[machine.id]
            elif _trial_runs_well(machine, now):
                self.release(machine)

    def release(self, machine: Machine) -> None:
        """Clear the failures of a machine that proved sound, and give it tasks again."""
        machine.failures.clear()
        machine.longest_failed_run_s = 0.0
        if machine.quarantine is None:
            return
        machine.quarantine = None
        self.machines.pop(machine.id, None)
        machine.mark_availability_changed()
        self.cluster.scheduling_pass_needed = True
        log.info("machine_released_from_quarantine", machine=machine.id)

    def restore(self, machine: Machine, quarantine: Quarantine) -> None:
        """Continue a quarantine of the previous leader."""
        if machine.quarantine is None:
            machine.quarantine = quarantine
            self.machines[machine.id] = machine
            machine.mark_availability_changed()

    # ---- trials --------------------------------------------------------------------------

    def _trial_failed(
        self, machine: Machine, quarantine: Quarantine, placement: Placement, now: Instant
    ) -> None:
        """Pause the trials; those of jobs without open failures only if this one tells enough."""
        quarantine.trial_job = None
        quarantine.failed_trials += 1
        _schedule_trial(quarantine, now + trial_pause_s(quarantine.failed_trials))
        if self._counts_against(machine, placement):
            quarantine.evidence_withdrawn = False
        else:
            quarantine.next_trial_at = now
        log.info(
            "machine_trial_failed",
            machine=machine.id,
            task=placement.task,
            trials=quarantine.failed_trials,
            again_s=round(quarantine.next_trial_at - now, 1),
        )

    def due_trials(self, now: Instant) -> DueTrials:
        """Return the trials that may be placed in one scheduling pass."""
        due = DueTrials([], set(), set())
        for machine in self.machines.values():
            quarantine, machine_type = machine.quarantine, self._machine_type(machine)
            if quarantine is None or machine_type is None:
                continue
            if now < quarantine.next_trial_at:
                if quarantine.trial_job is not None:
                    due.jobs_under_trial.add(quarantine.trial_job)
            elif machine.usable_apart_from_quarantine:
                due.machines.append(TrialMachine(machine, machine.free_room(machine_type)))
                if now >= quarantine.next_repeated_trial_at:
                    due.repeated.add(machine.id)
        return due

    def _machine_type(self, machine: Machine) -> MachineType | None:
        return self.cluster.machine_types.get(machine.machine_type)

    def trial_placed(self, machine: Machine, job_id: JobId, now: Instant) -> None:
        """Record that a job's task was placed on the machine as its trial."""
        if machine.quarantine is not None:
            machine.quarantine.trial_job = job_id
            _schedule_trial(machine.quarantine, now + TRIAL_INTERVAL_S)
            log.info("machine_trial", machine=machine.id, job=job_id)

    # ---- evidence ------------------------------------------------------------------------

    def is_faulty(self, machine: Machine, now: Instant) -> bool:
        """Whether a quarantined machine is considered faulty, so that it may be deleted."""
        quarantine = machine.quarantine
        if quarantine is None or quarantine.evidence_withdrawn:
            return False
        for task in machine.failures:
            job = self.cluster.jobs.get(task.job)
            if job is not None and job.machine_at_fault(task.number):
                return True
        return now - quarantine.since > QUARANTINE_TIMEOUT_S

    def count_failures(self, machine: Machine) -> int:
        """Count the failures on the machine that are not attributed to their job or task."""
        count = 0
        for task, times in machine.failures.items():
            job = self.cluster.jobs.get(task.job)
            if job is None or not job.failures_blamed_on_job(task.number):
                count += times
        return count

    def summary(self, now: Instant) -> list[LogFields]:
        """Return the log fields of one line per quarantined machine, with what keeps it there."""
        return [
            {
                "machine": machine.id,
                "for_s": round(now - machine.quarantine.since, 1),
                "trial_in_s": round(machine.quarantine.next_trial_at - now, 1),
                "failed_trials": machine.quarantine.failed_trials,
                "tasks": len(machine.placements),
                "failures": self.count_failures(machine),
                "evidence": self._describe_evidence(machine),
            }
            for machine in self.machines.values()
            if machine.quarantine is not None
        ]

    def _quarantine(self, machine: Machine, failures: int, now: Instant) -> None:
        machine.quarantine = Quarantine(since=now, next_trial_at=now, next_repeated_trial_at=now)
        _schedule_trial(machine.quarantine, now + trial_pause_s(0))
        self.machines[machine.id] = machine
        machine.mark_availability_changed()
        log.info(
            "machine_quarantined",
            machine=machine.id,
            failures=failures,
            evidence=self._describe_evidence(machine),
        )

    def _is_justified(self, machine: Machine, quarantine: Quarantine) -> bool:
        """Whether the failures that still count are enough for the machine's quarantine."""
        enough = 1 if quarantine.failed_trials else QUARANTINE_AFTER_FAILURES
        return self.count_failures(machine) >= enough

    def _counts_against(self, machine: Machine, placement: Placement) -> bool:
        """Whether the failure of this trial is more likely the machine's fault than the job's."""
        job, index = self.cluster.jobs.get(placement.task.job), placement.task.number
        return job is None or not (
            job.failures_blamed_on_job(index) or job.failed_elsewhere(index, machine.id)
        )

    def _describe_evidence(self, machine: Machine) -> str:
        """Describe the failures on the machine: task, their number, and what the job is."""
        return ",".join(
            f"{task}:{times}:{_job_state(self.cluster.jobs.get(task.job), task.number)}"
            for task, times in machine.failures.items()
        )


def _schedule_trial(quarantine: Quarantine, at: float) -> None:
    quarantine.next_trial_at = Instant(at)
    quarantine.next_repeated_trial_at = Instant(at + REPEATED_TRIAL_DELAY_S)


def _try_at_once(quarantine: Quarantine, now: Instant) -> None:
    if now < quarantine.next_trial_at:
        _schedule_trial(quarantine, now)


def _trial_runs_well(machine: Machine, now: Instant) -> bool:
    """Whether a trial has run well, and for a whole trial interval."""
    ran_well_s = max(TRIAL_INTERVAL_S, ran_well_after_s(machine.longest_failed_run_s))
    return any(
        placement.is_trial
        and placement.running_since is not None
        and now - placement.running_since > ran_well_s
        and placement.placed_at > machine.failed_at
        for placement in machine.placements.values()
    )


def _job_state(job: Job | None, index: int) -> str:
    """Name what is known about the job whose task failed."""
    if job is None:
        return "ended"
    if job.failures_blamed_on_job(index):
        return "faulty"
    return "works" if job.known_to_work else "undecided"
