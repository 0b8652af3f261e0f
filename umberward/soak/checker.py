"""Checks the rules of PROTOCOL against events observed outside the controllers. No I/O.

All times are seconds since the start of the run, by the clock of the soak's process.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import NamedTuple

from umberward.core.settings import TeamQuota
from umberward.protocol import wire
from umberward.soak import history
from umberward.soak.history import Answered, Event, MachineUp, Submitted, TaskEnded, TaskStarted

CORES_TOLERANCE = 1e-6  # for rounding errors in sums of floats
TASK_END_TOLERANCE_S = 0.5  # how late a soak worker may end a cancelled task
# A leader that has not learnt of a cancellation may send starts for at most this long after it.
MAX_START_AFTER_CANCEL_S = 3.5
STARVATION_LIMIT_S = 90.0  # after all faults, how long a job that could run may wait
FINAL_PHASES = (wire.DONE, wire.CANCELLED)


class Violation(NamedTuple):
    """A violation of a rule; `job` is empty if no job is concerned.

    `build`: of the controller that answered or acted, or should have; empty if it is not known.
    """

    at: float
    rule: str
    job: str
    detail: str
    build: str = ""


class RunningAttempt(NamedTuple):
    """A live attempt of a task on a machine."""

    host: str
    attempt: int


class Checker:
    """Processes events in order of time and collects the violations."""

    def __init__(self, teams: list[TeamQuota], cancel_s: float) -> None:
        """`cancel_s`: time after its confirmation within which a cancellation must take effect."""
        self.teams = {team.name: team for team in teams}
        self.cancel_s = cancel_s
        self.violations: list[Violation] = []
        self.jobs: dict[str, Submitted] = {}
        self.machines: dict[str, MachineUp] = {}
        self.still: set[str] = set()  # machines that hang
        self.running_attempts: dict[str, list[RunningAttempt]] = {}  # task -> its live attempts
        self.tasks_on: dict[str, set[str]] = {}  # machine -> tasks
        self.completed_tasks: dict[str, set[str]] = {}  # job -> tasks that have completed
        # Each with machine, session, task and attempt.
        self.started_attempts: set[tuple[str, int, str, int]] = set()
        self.accepted_at: dict[str, float] = {}  # job -> when its user was told
        # Job -> phase, when its user was told.
        self.confirmed_ends: dict[str, tuple[str, float]] = {}
        self.cancel_requested: set[str] = set()
        self.reported_overdue: set[str] = set()
        self.faults_over_since: float | None = None  # None while faults may occur
        self.last_start_at: dict[str, float] = {}  # by team; of a task
        self.waiting_since: dict[str, float] = {}  # jobs that wait while a machine has room
        self.reported_waiting: set[str] = set()
        self.starts = 0
        self.leader_build = ""
        # Starts after a confirmed cancellation, sent before it and after it.
        self.late_in_flight = 0
        self.late_sent_after = 0

    def observe(self, event: Event) -> None:  # noqa: C901 - one branch for each kind of event
        """Process the next event."""
        if isinstance(event, TaskStarted):
            self._handle_task_started(event)
        elif isinstance(event, TaskEnded):
            self._handle_task_ended(event)
        elif isinstance(event, history.SessionOver):
            self._end_attempts_on(event.host)
        elif isinstance(event, history.MachineGone):
            self.machines.pop(event.host, None)
        elif isinstance(event, history.MachineStill):
            (self.still.add if event.still else self.still.discard)(event.host)
        elif isinstance(event, MachineUp):
            self.machines[event.host] = event
        elif isinstance(event, Submitted):
            self.jobs[event.job] = event
        elif isinstance(event, history.CancelAsked):
            self.cancel_requested.add(event.job)
        elif isinstance(event, Answered):
            self._handle_answer(event)
        elif isinstance(event, history.LeaderChanged):
            self.leader_build = event.build
        elif isinstance(event, history.ProcessEnded) and not event.by_us:
            detail = f"{event.controller}: {event.code}"
            self._report(event.at, "ended_by_itself", "", detail, event.build)

    def check_deadlines(self, now: float) -> None:
        """Check that the tasks of cancelled jobs end in time."""
        for job, (phase, confirmed_at) in self.confirmed_ends.items():
            if (
                phase != wire.CANCELLED
                or now - confirmed_at <= self.cancel_s + TASK_END_TOLERANCE_S
            ):
                continue
            for task, host in self._tasks_of(job):
                if host not in self.still and task not in self.reported_overdue:
                    self.reported_overdue.add(task)
                    detail = f"{task} on {host}"
                    self._report(now, "ran_cancelled", job, detail, self.leader_build)

    def unfinished_jobs(self) -> list[str]:
        """Accepted jobs whose end has not been reported to a user yet."""
        return [job for job in self.accepted_at if job not in self.confirmed_ends]

    def report_forgotten(self, now: float, job: str, controller: str, build: str) -> None:
        """Report that the controller answered no poll of the job in time after all faults."""
        self._report(now, "forgotten", job, f"by {controller}, troubles over", build)

    def check_waiting_jobs(self, now: float) -> None:
        """Check that no job waits long while a machine has room. Call it only after all faults."""
        self.faults_over_since = now if self.faults_over_since is None else self.faults_over_since
        used = self._cores_used_by_machine()
        for job in self.unfinished_jobs():
            if self._makes_no_progress(self.jobs[job], now) and job not in self.reported_waiting:
                self.reported_waiting.add(job)
                detail = "its team's work stands still"
                self._report(now, "left_waiting", job, detail, self.leader_build)
            if self._could_start(self.jobs[job], used):
                since = self.waiting_since.setdefault(job, now)
                if now - since > STARVATION_LIMIT_S and job not in self.reported_waiting:
                    self.reported_waiting.add(job)
                    detail = f"for {now - since:.0f} s beside room"
                    self._report(now, "left_waiting", job, detail, self.leader_build)
            else:
                self.waiting_since.pop(job, None)

    def _makes_no_progress(self, spec: Submitted, now: float) -> bool:
        """Whether the job has no running task and its team has started none for a long time."""
        since = max(self.faults_over_since or now, self.last_start_at.get(spec.owner, 0.0))
        return not self._tasks_of(spec.job) and now - since > STARVATION_LIMIT_S

    def _cores_used_by_machine(self) -> dict[str, float]:
        used: dict[str, float] = {}
        for task, alive in self.running_attempts.items():
            for attempt in alive:
                used[attempt.host] = used.get(attempt.host, 0.0) + self.jobs[_job_of(task)].cores
        return used

    def _could_start(self, spec: Submitted, used: dict[str, float]) -> bool:
        """Whether a machine has room for another task of the job and the team's quota allows it.

        False for gangs and jobs with constraints between tasks, which need more than that to start.
        """
        if spec.shape == wire.GANG or spec.same_place or spec.apart:
            return False
        started_tasks = len(self._tasks_of(spec.job)) + len(self.completed_tasks.get(spec.job, ()))
        if started_tasks >= spec.shards or not self._within_quota(spec):
            return False
        return any(
            machine.cores - used.get(host, 0.0) >= spec.cores
            and spec.yard in (None, machine.zone)
            and (spec.reclaimable or not machine.spot)
            for host, machine in self.machines.items()
        )

    def _within_quota(self, spec: Submitted) -> bool:
        limit = self.teams[spec.owner].cpus_max
        return limit <= 0 or self._cores_used_by_team(spec.owner) + spec.cores <= limit

    def _cores_used_by_team(self, owner: str) -> float:
        return sum(
            self.jobs[_job_of(task)].cores * len(alive)
            for task, alive in self.running_attempts.items()
            if alive and self.jobs[_job_of(task)].owner == owner
        )

    def _running_tasks_of_team(self, owner: str) -> list[str]:
        """Each running attempt of the team's tasks as TASK#ATTEMPT@MACHINE."""
        return [
            f"{task}#{attempt.attempt}@{attempt.host}"
            for task, alive in self.running_attempts.items()
            for attempt in alive
            if self.jobs[_job_of(task)].owner == owner
        ]

    # ---- events of workers -----------------------------------------------------------------

    def _handle_task_started(self, event: TaskStarted) -> None:
        self.starts += 1
        job = _job_of(event.task)
        started = (event.host, event.session, event.task, event.attempt)
        if started in self.started_attempts:
            detail = f"{event.task} attempt {event.attempt} on {event.host}"
            self._report(event.at, "restarted", job, detail, event.build)
        self.started_attempts.add(started)
        alive = self.running_attempts.setdefault(event.task, [])
        for other in alive:
            there = f"{other.host} (attempt {other.attempt})"
            here = f"{event.host} (attempt {event.attempt})"
            detail = f"{event.task} on {there}, started on {here}"
            self._report(event.at, "ran_twice", job, detail, event.build)
        alive.append(RunningAttempt(event.host, event.attempt))
        self.tasks_on.setdefault(event.host, set()).add(event.task)
        self._check_not_cancelled(event, job)
        spec = self.jobs.get(job)
        if spec is None or spec.why_unfit:
            self._report(event.at, "invented", job, f"{event.task} starts", event.build)
            return
        self.last_start_at[spec.owner] = event.at
        self._check_placement(event, spec)
        self._check_quota(event, spec)

    def _check_not_cancelled(self, event: TaskStarted, job: str) -> None:
        phase, confirmed_at = self.confirmed_ends.get(job, ("", 0.0))
        if phase != wire.CANCELLED:
            return
        if event.sent_at <= confirmed_at:
            self.late_in_flight += 1
            return
        self.late_sent_after += 1
        if event.sent_at > confirmed_at + MAX_START_AFTER_CANCEL_S:
            detail = f"{event.task}, sent after cancellation"
            self._report(event.at, "ran_cancelled", job, detail, event.build)

    def _check_placement(self, event: TaskStarted, spec: Submitted) -> None:
        machine = self.machines[event.host]
        zones = [self.machines[host].zone for _, host in self._tasks_of(spec.job)]
        wrong = ""
        if spec.yard is not None and machine.zone != spec.yard:
            wrong = f"in {machine.zone}"
        elif machine.spot and not spec.reclaimable:
            wrong = "on a spot machine"
        elif spec.same_place and any(zone != machine.zone for zone in zones):
            wrong = "not with the others"
        elif spec.apart and zones.count(machine.zone) > (spec.shards + 1) // 2:
            wrong = "too many in one zone"
        if wrong:
            self._report(event.at, "wrong_place", spec.job, f"{event.task} {wrong}", event.build)

    def _check_quota(self, event: TaskStarted, spec: Submitted) -> None:
        limit = self.teams[spec.owner].cpus_max if spec.owner in self.teams else 0.0
        if limit <= 0:
            return
        used = self._cores_used_by_team(spec.owner)
        if used > limit + CORES_TOLERANCE:
            tasks = " ".join(sorted(self._running_tasks_of_team(spec.owner)))
            detail = f"{spec.owner} uses {used:g} cores: {tasks}"
            self._report(event.at, "quota", spec.job, detail, event.build)

    def _handle_task_ended(self, event: TaskEnded) -> None:
        alive = self.running_attempts.get(event.task, [])
        ended = RunningAttempt(event.host, event.attempt)
        if ended in alive:
            alive.remove(ended)
        if not any(attempt.host == event.host for attempt in alive):
            self.tasks_on.get(event.host, set()).discard(event.task)
        if event.cause == wire.DONE:
            self.completed_tasks.setdefault(_job_of(event.task), set()).add(event.task)

    def _end_attempts_on(self, host: str) -> None:
        for task in self.tasks_on.pop(host, set()):
            self.running_attempts[task] = [
                attempt for attempt in self.running_attempts[task] if attempt.host != host
            ]

    def _tasks_of(self, job: str) -> list[tuple[str, str]]:
        return [
            (task, attempt.host)
            for task, alive in self.running_attempts.items()
            if alive and _job_of(task) == job
            for attempt in alive
        ]

    # ---- responses to users ----------------------------------------------------------------

    def _handle_answer(self, event: Answered) -> None:
        if event.status == 0:
            return
        known_before = self.accepted_at.get(event.job, event.at) < event.asked_at
        spec = self.jobs.get(event.job)
        if event.status == HTTPStatus.NOT_FOUND and known_before:
            self._report_answer(event, "forgotten", f"404 by {event.controller}")
        if event.status in (400, 422) and event.kind == "submit" and known_before:
            self._report_answer(event, "forgotten", f"{event.status} for a repeat")
        if event.status not in (200, 201):
            return
        if spec is None:
            self._report_answer(event, "invented", f"{event.phase} by {event.controller}")
            return
        if event.kind == "submit":
            self.accepted_at.setdefault(event.job, event.at)
            if spec.why_unfit:
                self._report_answer(event, "accepted", spec.why_unfit)
        self._check_phase(event, spec)

    def _check_phase(self, event: Answered, spec: Submitted) -> None:
        final, confirmed_at = self.confirmed_ends.get(event.job, ("", 0.0))
        asked_after_end = bool(final) and confirmed_at < event.asked_at
        contradicts_end = bool(final) and event.phase in FINAL_PHASES and event.phase != final
        if contradicts_end or (
            asked_after_end and (event.phase != final or event.status == HTTPStatus.CREATED)
        ):
            detail = f"was {final}, is {event.phase} by {event.controller}"
            self._report_answer(event, "went_back", detail)
        if event.phase == wire.CANCELLED and event.job not in self.cancel_requested:
            self._report_answer(event, "went_back", "cancelled by nobody")
        # A gang is done as soon as one of its tasks is.
        needed = 1 if spec.shape == wire.GANG else spec.shards
        if event.phase == wire.DONE and len(self.completed_tasks.get(event.job, ())) < needed:
            self._report_answer(event, "not_done", f"done by {event.controller}")
        if event.phase in FINAL_PHASES and not final:
            self.confirmed_ends[event.job] = (event.phase, event.at)

    def _report_answer(self, event: Answered, rule: str, detail: str) -> None:
        self._report(event.at, rule, event.job, detail, event.build)

    def _report(self, at: float, rule: str, job: str, detail: str, build: str) -> None:
        self.violations.append(Violation(round(at, 3), rule, job, detail, build))


def _job_of(task: str) -> str:
    return task.rpartition("/")[0]
