"""Checks the rules of PROTOCOL against what was seen outside of the controllers. No I/O.

All times are seconds since the run began, by the clock of the process that runs the soak.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import NamedTuple

from umberward.core.settings import TeamQuota
from umberward.protocol import wire
from umberward.soak import history
from umberward.soak.history import Answered, Event, MachineUp, Submitted, TaskEnded, TaskStarted

CORES_TOLERANCE = 1e-6  # sums of decimal numbers are not exact
WORKER_DELAY_S = 0.5  # by which a worker of the soak may end a task too late
# A leader that does not learn of a cancellation sends no start for longer than this after it.
UNTOLD_S = 3.5
LEFT_WAITING_S = 90.0  # faults over, for a job beside a machine with room for it
FINAL = (wire.DONE, wire.CANCELLED)


class Broken(NamedTuple):
    """A violation of a rule; `job` is empty if it concerns none."""

    at: float
    rule: str
    job: str
    what: str


class Running(NamedTuple):
    """An attempt of a task that is alive on a machine."""

    host: str
    attempt: int


class Checker:
    """Takes in events in the order of time and collects violations in `broken`."""

    def __init__(self, teams: list[TeamQuota], cancel_s: float) -> None:
        """`cancel_s`: within this time after its confirmation a cancellation must take effect."""
        self.teams = {team.name: team for team in teams}
        self.cancel_s = cancel_s
        self.broken: list[Broken] = []
        self.jobs: dict[str, Submitted] = {}
        self.machines: dict[str, MachineUp] = {}
        self.still: set[str] = set()
        self.running: dict[str, list[Running]] = {}  # task -> its attempts that are alive
        self.on: dict[str, set[str]] = {}  # machine -> tasks
        self.done: dict[str, set[str]] = {}  # job -> tasks that have completed
        self.attempts: set[tuple[str, int, str, int]] = set()
        self.accepted: dict[str, float] = {}  # job -> when its user learnt of it
        self.ended: dict[str, tuple[str, float]] = {}  # job -> phase, when its user learnt of it
        self.cancel_asked: set[str] = set()
        self.reported_overdue: set[str] = set()
        self.faults_over_since: float | None = None  # None while there may be faults
        self.last_start: dict[str, float] = {}  # by team
        self.waits_since: dict[str, float] = {}  # jobs that wait beside a machine with room
        self.reported_waiting: set[str] = set()
        self.starts = 0
        # Starts after a confirmed cancellation: sent before it, and sent after it.
        self.late_in_flight = 0
        self.late_sent_after = 0

    def observe(self, event: Event) -> None:  # noqa: C901 - one branch for each kind of event
        """Take in the next event."""
        if isinstance(event, TaskStarted):
            self._started(event)
        elif isinstance(event, TaskEnded):
            self._ended(event)
        elif isinstance(event, history.SessionOver):
            self._end_all_on(event.host)
        elif isinstance(event, history.MachineGone):
            self.machines.pop(event.host, None)
        elif isinstance(event, history.MachineStill):
            (self.still.add if event.still else self.still.discard)(event.host)
        elif isinstance(event, MachineUp):
            self.machines[event.host] = event
        elif isinstance(event, Submitted):
            self.jobs[event.job] = event
        elif isinstance(event, history.CancelAsked):
            self.cancel_asked.add(event.job)
        elif isinstance(event, Answered):
            self._answered(event)
        elif isinstance(event, history.ProcessEnded) and not event.by_us:
            self._break(event.at, "ended_by_itself", "", f"{event.controller}: {event.code}")

    def tick(self, now: float) -> None:
        """Check the rules that depend on time alone: cancelled tasks end in time."""
        for job, (phase, confirmed_at) in self.ended.items():
            if phase != wire.CANCELLED or now - confirmed_at <= self.cancel_s + WORKER_DELAY_S:
                continue
            for task, host in self._tasks_of(job):
                if host not in self.still and task not in self.reported_overdue:
                    self.reported_overdue.add(task)
                    self._break(now, "ran_cancelled", job, f"{task} on {host}")

    def unfinished(self) -> list[str]:
        """Jobs that were accepted and of whose end no user has learnt so far."""
        return [job for job in self.accepted if job not in self.ended]

    def forgotten(self, now: float, job: str, controller: str) -> None:
        """Note that the controller answered no poll of the job in time, after all faults."""
        self._break(now, "forgotten", job, f"by {controller}, troubles over")

    def look_for_waiting(self, now: float) -> None:
        """Check that no job waits long beside a machine with room; only while there is no fault."""
        self.faults_over_since = now if self.faults_over_since is None else self.faults_over_since
        used = self._used_on()
        for job in self.unfinished():
            if self._stands_still(self.jobs[job], now) and job not in self.reported_waiting:
                self.reported_waiting.add(job)
                self._break(now, "left_waiting", job, "its team's work stands still")
            if self._waits_beside_room(self.jobs[job], used):
                since = self.waits_since.setdefault(job, now)
                if now - since > LEFT_WAITING_S and job not in self.reported_waiting:
                    self.reported_waiting.add(job)
                    self._break(now, "left_waiting", job, f"for {now - since:.0f} s beside room")
            else:
                self.waits_since.pop(job, None)

    def _stands_still(self, spec: Submitted, now: float) -> bool:
        """Whether no task of the job runs, and none of its team has started for a long time."""
        since = max(self.faults_over_since or now, self.last_start.get(spec.owner, 0.0))
        return not self._tasks_of(spec.job) and now - since > LEFT_WAITING_S

    def _used_on(self) -> dict[str, float]:
        used: dict[str, float] = {}
        for task, alive in self.running.items():
            for attempt in alive:
                used[attempt.host] = used.get(attempt.host, 0.0) + self.jobs[_job(task)].cores
        return used

    def _waits_beside_room(self, spec: Submitted, used: dict[str, float]) -> bool:
        """Whether a machine has room for a task of the job, and the team's quota allows it.

        False for gangs and for jobs with constraints between tasks, which depend on more than that.
        """
        if spec.shape == wire.GANG or spec.same_place or spec.apart:
            return False
        under_way = len(self._tasks_of(spec.job)) + len(self.done.get(spec.job, ()))
        if under_way >= spec.shards or not self._within_quota(spec):
            return False
        return any(
            machine.cores - used.get(host, 0.0) >= spec.cores
            and spec.yard in (None, machine.zone)
            and (spec.reclaimable or not machine.spot)
            for host, machine in self.machines.items()
        )

    def _within_quota(self, spec: Submitted) -> bool:
        limit = self.teams[spec.owner].cpus_max
        return limit <= 0 or self._used_by(spec.owner) + spec.cores <= limit

    def _used_by(self, owner: str) -> float:
        return sum(
            self.jobs[_job(task)].cores * len(alive)
            for task, alive in self.running.items()
            if alive and self.jobs[_job(task)].owner == owner
        )

    # ---- what workers do -----------------------------------------------------------------

    def _started(self, event: TaskStarted) -> None:
        self.starts += 1
        job = _job(event.task)
        started = (event.host, event.session, event.task, event.attempt)
        if started in self.attempts:
            self._break(
                event.at, "restarted", job, f"{event.task} attempt {event.attempt} on {event.host}"
            )
        self.attempts.add(started)
        alive = self.running.setdefault(event.task, [])
        for other in alive:
            there = f"{other.host} (attempt {other.attempt})"
            here = f"{event.host} (attempt {event.attempt})"
            self._break(event.at, "ran_twice", job, f"{event.task} on {there}, started on {here}")
        alive.append(Running(event.host, event.attempt))
        self.on.setdefault(event.host, set()).add(event.task)
        self._check_cancelled(event, job)
        spec = self.jobs.get(job)
        if spec is None or spec.why_unfit:
            self._break(event.at, "invented", job, f"{event.task} starts")
            return
        self.last_start[spec.owner] = event.at
        self._check_place(event, spec)
        self._check_quota(event, spec)

    def _check_cancelled(self, event: TaskStarted, job: str) -> None:
        phase, confirmed_at = self.ended.get(job, ("", 0.0))
        if phase != wire.CANCELLED:
            return
        if event.sent_at <= confirmed_at:
            self.late_in_flight += 1
            return
        self.late_sent_after += 1
        if event.sent_at > confirmed_at + UNTOLD_S:
            self._break(event.at, "ran_cancelled", job, f"{event.task}, sent after cancellation")

    def _check_place(self, event: TaskStarted, spec: Submitted) -> None:
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
            self._break(event.at, "wrong_place", spec.job, f"{event.task} {wrong}")

    def _check_quota(self, event: TaskStarted, spec: Submitted) -> None:
        limit = self.teams[spec.owner].cpus_max if spec.owner in self.teams else 0.0
        if limit <= 0:
            return
        used = self._used_by(spec.owner)
        if used > limit + CORES_TOLERANCE:
            self._break(event.at, "quota", spec.job, f"{spec.owner} uses {used:g} cores")

    def _ended(self, event: TaskEnded) -> None:
        alive = self.running.get(event.task, [])
        ended = Running(event.host, event.attempt)
        if ended in alive:
            alive.remove(ended)
        if not any(attempt.host == event.host for attempt in alive):
            self.on.get(event.host, set()).discard(event.task)
        if event.cause == wire.DONE:
            self.done.setdefault(_job(event.task), set()).add(event.task)

    def _end_all_on(self, host: str) -> None:
        for task in self.on.pop(host, set()):
            self.running[task] = [attempt for attempt in self.running[task] if attempt.host != host]

    def _tasks_of(self, job: str) -> list[tuple[str, str]]:
        return [
            (task, attempt.host)
            for task, alive in self.running.items()
            if alive and _job(task) == job
            for attempt in alive
        ]

    # ---- answers to users ----------------------------------------------------------------

    def _answered(self, event: Answered) -> None:
        if event.status == 0:
            return
        known_before = self.accepted.get(event.job, event.at) < event.asked_at
        spec = self.jobs.get(event.job)
        if event.status == HTTPStatus.NOT_FOUND and known_before:
            self._break(event.at, "forgotten", event.job, f"404 by {event.controller}")
        if event.status in (400, 422) and event.kind == "submit" and known_before:
            self._break(event.at, "forgotten", event.job, f"{event.status} for a repeat")
        if event.status not in (200, 201):
            return
        if spec is None:
            self._break(event.at, "invented", event.job, f"{event.phase} by {event.controller}")
            return
        if event.kind == "submit":
            self.accepted.setdefault(event.job, event.at)
            if spec.why_unfit:
                self._break(event.at, "accepted", event.job, spec.why_unfit)
        self._check_phase(event, spec)

    def _check_phase(self, event: Answered, spec: Submitted) -> None:
        final, confirmed_at = self.ended.get(event.job, ("", 0.0))
        asked_after = bool(final) and confirmed_at < event.asked_at
        other_end = bool(final) and event.phase in FINAL and event.phase != final
        if other_end or (
            asked_after and (event.phase != final or event.status == HTTPStatus.CREATED)
        ):
            self._break(
                event.at,
                "went_back",
                event.job,
                f"was {final}, is {event.phase} by {event.controller}",
            )
        if event.phase == wire.CANCELLED and event.job not in self.cancel_asked:
            self._break(event.at, "went_back", event.job, "cancelled by nobody")
        # Of a gang all are done if one is.
        needed = 1 if spec.shape == wire.GANG else spec.shards
        if event.phase == wire.DONE and len(self.done.get(event.job, ())) < needed:
            self._break(event.at, "not_done", event.job, f"done by {event.controller}")
        if event.phase in FINAL and not final:
            self.ended[event.job] = (event.phase, event.at)

    def _break(self, at: float, rule: str, job: str, what: str) -> None:
        self.broken.append(Broken(round(at, 3), rule, job, what))


def _job(task: str) -> str:
    return task.rpartition("/")[0]
