"""One worker's session under leaders in turn, a former leader and a delegate, for the explorer.

The worker runs one task. Its reports, their responses, direct commands and probes arrive, are lost,
late or copied in every order. Left out: a second machine, silence of the machine at the cloud, and
the timers of `reachability`, by which probes depend on more than what the explorer compares.
"""

from __future__ import annotations

import random
from collections.abc import Hashable
from typing import Any, NamedTuple

from cluster_settings import MACHINE_TYPES, job_spec, raw_settings
from explorer import Choice, Task

from umberward.core.settings import OperatorSettings, settings_from_toml
from umberward.core.types import (
    ControllerName,
    FencingToken,
    Instant,
    JobId,
    MachineId,
    MachineTypeName,
    Version,
    WallTime,
)
from umberward.local.shared_tasks import SharedTaskState
from umberward.local.workercore import TaskOutcome, WorkerCore
from umberward.protocol import wire
from umberward.protocol.wire import Heartbeat, JobRecord, JobSpec, TaskCommand
from umberward.scheduling.cluster_state import CommandMessage, Probe
from umberward.scheduling.command_queue import CommandQueue
from umberward.scheduling.invariants import InvariantViolationError
from umberward.scheduling.scheduler import Scheduler
from umberward.scheduling.sessions.lease_bounds import LeaseBounds
from umberward.scheduling.sessions.lease_delegation import Delegate

JOB, MACHINE, TASK = JobId("req-000001"), MachineId("m1"), "req-000001/0"
LEASE_S, CANCEL_S = 8.0, 16.0
RUNS_S = 900.0
BEGIN = 1000.0
DELEGATE = ControllerName("k1")


def _settings() -> Any:
    raw = raw_settings()
    raw["cluster"]["workers"].update(lease_s=LEASE_S, cancel_s=CANCEL_S, report_s=1.0)
    raw["peers"] = [{"label": DELEGATE, "site": "a", "addr": "127.0.0.1:5"}]
    return settings_from_toml(raw, OperatorSettings())


SETTINGS = _settings()
WORKERS = SETTINGS.platform.cluster.workers
BOUNDS = LeaseBounds(WORKERS)
SPEC = wire.convert({**job_spec(JOB), "pull_gb": 0.0}, JobSpec)


class SessionScenario(NamedTuple):
    """What may happen, and how often.

    `starts`: the first leader starts the task with a direct command, rather than adopting it.
    `isolated`: a leader that is replaced may go on answering. `cancelled`: the job is cancelled.
    `direct`: direct commands and probes may arrive, and not only late. `step_s`: of the clock.
    """

    leader_changes: int = 0
    isolated: bool = False
    delegations: int = 0
    copies: int = 0
    starts: bool = False
    cancelled: bool = True
    direct: bool = True
    steps: int = 6
    step_s: float = 3.6  # less than half a lease


class Leader:
    """A leader with what it sends; `former`: it has been replaced and reads nothing any more."""

    def __init__(self, token: int, job: JobRecord | None, now: float) -> None:
        self.scheduler = Scheduler(
            SETTINGS, MACHINE_TYPES, FencingToken(token), Instant(now), _wall_time, random.Random(1)
        )
        self.lease_renewed_at = now
        self.may_start = True
        self.queue = CommandQueue(self.scheduler, lambda: self.may_start)
        block = wire.BlockRecord({MACHINE: ("127.0.0.1:9", "small", "a", False)})
        self.scheduler.load_block(1, block, Version(1), Instant(now))
        if job is not None:
            self.scheduler.add_job(job, Version(1))
        self.scheduler.finish_loading()
        self.scheduler.jobs_read_requested_at = Instant(now)

    def answer(self, report: Heartbeat, now: float, *, valid: bool) -> list[TaskCommand] | None:
        """The commands of the response as by `HeartbeatApi`; `valid`: with a valid lease."""
        scheduler = self.scheduler
        if not BOUNDS.may_answer_heartbeat(
            scheduler.jobs_read_requested_at, Instant(self.lease_renewed_at), Instant(now)
        ):
            return None
        body = wire.encode(report)
        header = wire.decode_heartbeat_header(body)
        commands = scheduler.receive_heartbeat(header, body, Instant(now))
        if commands is None or valid:
            return commands
        if not scheduler.may_keep_session(MACHINE):
            return None
        return [command for command in commands if command.verb == wire.KILL]

    def fingerprint(self, now: float) -> Hashable:
        scheduler, machine = self.scheduler, self.scheduler.machines[MACHINE]
        job = scheduler.jobs.get(JOB)

        def age(instant: float | None) -> float | None:
            return None if instant is None else round(now - instant, 1)

        return (
            *(scheduler.tokens.initial, scheduler.tokens.newest),
            scheduler.reconciliation_completed,
            *(age(scheduler.jobs_read_requested_at), age(self.lease_renewed_at)),
            age(scheduler.started_at),
            None if job is None else (*job.requeued_tasks, len(job.unlocated_tasks)),
            *(machine.incarnation, machine.min_incarnation, machine.token_seen),
            *(machine.fencing_token, age(machine.lease_started_at), age(machine.delegated_at)),
            *(machine.existence_confirmed, machine.reconciled),
            *(machine.previous_tasks_ended, machine.lease_expired, machine.confirmed_in_term),
            *(machine.settled_task_list is None, machine.probe_inflight, machine.silent),
            *(len(machine.exited_tasks), len(machine.tasks_without_placement)),
            *((p.attempt, p.sent, p.seen_on_worker, p.stop_grace_s)
              for p in machine.placements.values()),
            *((key, machine.inflight_starts.is_void_under(*key, machine.fencing_token))
              for key in machine.inflight_starts),
            machine.inflight_starts.awaits_response,
            scheduler.token_rotation.requested,
            repr(scheduler.outbox),
        )  # fmt: skip


def _wall_time() -> WallTime:
    return WallTime(1000.0)


def _seen(report: Heartbeat | None) -> Hashable:
    """What a leader learns from a report, apart from its sequence number."""
    if report is None:
        return None
    listed = tuple((status.attempt, status.phase) for status in report.tasks)
    return (report.incarnation, report.fencing_token, listed)


class StartedOnceWorker(WorkerCore):
    """A worker that records each start of an attempt in a session."""

    def __init__(self, world: SessionWorld) -> None:
        self.world = world
        self.started: set[tuple[int, int]] = set()
        sku = MACHINE_TYPES[MachineTypeName("small")]
        super().__init__(
            MACHINE, "127.0.0.1:9", sku, "a", False, WORKERS, SharedTaskState(),
            lambda _: SPEC, lambda *_: TaskOutcome(RUNS_S), world.now,
        )  # fmt: skip

    def start(self, name: str, attempt: int) -> None:
        if (self.incarnation, attempt) in self.started:
            self.world.broken.append("restarted: a forgotten attempt started again")
        self.started.add((self.incarnation, attempt))
        super().start(name, attempt)


class SessionWorld:
    """The worker, the leaders and the messages in flight."""

    def __init__(self, scenario: SessionScenario) -> None:
        self.left = scenario._asdict()
        self.scenario = scenario
        self.tasks: list[Task] = []
        self.broken: list[str] = []
        self.now = BEGIN
        # Nothing depends on how long the task has run.
        self.latest_cancel = BEGIN + scenario.step_s
        self.token = 1
        self.cancelled_at: float | None = None
        self.worker = StartedOnceWorker(self)
        self.delegate = Delegate(WORKERS)
        self.former: Leader | None = None
        self.report: tuple[float, Heartbeat] | None = None
        self.copy: Heartbeat | None = None
        # A direct command, and who waits for its answer; the late ones have been given up.
        self.command: tuple[CommandMessage, Leader | None] | None = None
        self.late: CommandMessage | None = None
        self.placed_below = 0 if scenario.starts else 1
        if not scenario.starts:
            self.worker.handle_direct_commands(1, 1, [TaskCommand(wire.START, TASK, 1)])
        self._elect()
        self._send_report()

    # ---- what may happen -----------------------------------------------------------------

    def steps(self) -> list[Choice]:
        if not self.left["steps"] or not self._may_still_run():
            return []
        choices = [Choice("time passes", self._pass_time)]
        if self.report is not None:
            choices += [
                Choice("response arrives", lambda: self._answer(self.leader, arrives=True)),
                Choice("response lost", lambda: self._answer(self.leader, arrives=False)),
            ]
            if self.former is not None:
                choices.append(Choice("former answers", lambda: self._answer(self.former)))
            if self._delegate_may_answer():
                choices.append(Choice("delegate answers", self._answer_as_delegate))
            if self.left["copies"] and self.copy is None:
                choices.append(Choice("report copied", self._copy_report))
        if self.copy is not None:
            choices.append(Choice("copy heard", self._hear_copy))
        if self.command is not None and self.scenario.direct:
            choices += [
                Choice("command executed", lambda: self._execute(answered=True)),
                Choice("command executed, answer lost", lambda: self._execute(answered=False)),
            ]
        if self.late is not None:
            choices.append(Choice("late command executed", self._execute_late))
        probing = any(isinstance(item, Probe) for item in self.leader.scheduler.outbox)
        if probing and self.scenario.direct:
            choices.append(Choice("probe answered", lambda: self._probe(answered=True)))
        if self.scenario.cancelled and self.cancelled_at is None and self.now <= self.latest_cancel:
            choices.append(Choice("cancelled", self._cancel))
        if self.left["leader_changes"]:
            choices.append(Choice("leader ends", lambda: self._replace(isolated=False)))
            if self.scenario.isolated and self.former is None:
                choices.append(Choice("leader isolated", lambda: self._replace(isolated=True)))
        if self.left["delegations"]:
            choices.append(Choice("delegated", self._delegate))
        return [Choice(name, self._checked(act)) for name, act in choices]

    def _may_still_run(self) -> bool:
        """Whether the task runs, or a start of it is under way."""
        messages = [self.late, self.command and self.command[0]]
        return bool(
            (self.scenario.starts and not self.worker.started)
            or self.worker.running_tasks
            or self.leader.scheduler.machines[MACHINE].inflight_starts.awaits_response
            or any(
                command.verb == wire.START
                for message in messages
                if message is not None
                for command in message.commands
            )
        )

    def _checked(self, act: Any) -> Any:
        def run() -> None:
            try:
                act()
                self._after()
            except InvariantViolationError as error:
                self.broken.append(str(error))

        return run

    def _pass_time(self) -> None:
        self.left["steps"] -= 1
        self.now = round(self.now + self.scenario.step_s, 3)
        self.worker.tick(self.now)
        scheduler, now = self.leader.scheduler, Instant(self.now)
        if self.command is not None:
            command, sender = self.command
            self.command, self.late = None, command
            self._complete(sender, command, None)
        self._probe(answered=False)
        if self.cancelled_at is not None:
            scheduler.remove_job(JOB)
        scheduler.jobs_read_requested_at = now
        self.leader.lease_renewed_at = self.now
        scheduler.last_pause_check_at = now
        scheduler.tick(now)
        if scheduler.token_rotation.requested:
            scheduler.token_rotation.started()
            self.token += 1
            scheduler.token_rotated(FencingToken(self.token))
        self._send_report()

    def _send_report(self) -> None:
        self.report = (self.now, self.worker.report())

    def _answer(self, leader: Leader | None, *, arrives: bool = True) -> None:
        assert self.report is not None and leader is not None
        (sent_at, report), self.report = self.report, None
        commands = leader.answer(report, self.now, valid=leader is self.leader)
        if commands is not None and arrives:
            token = leader.scheduler.fencing_token_for(MACHINE)
            self.worker.handle_heartbeat_response(sent_at, report.incarnation, token, commands)

    def _delegate_may_answer(self) -> bool:
        return self.delegate.serial > 0 and self.now - self.delegate.leader_responded_at > 2.5

    def _answer_as_delegate(self) -> None:
        assert self.report is not None
        (sent_at, report), self.report = self.report, None
        token = report.fencing_token
        if self.delegate.claim_answer(MACHINE, token, Instant(self.now)):
            self.worker.handle_heartbeat_response(sent_at, report.incarnation, token, [])

    def _copy_report(self) -> None:
        assert self.report is not None
        self.left["copies"] -= 1
        self.copy = self.report[1]

    def _hear_copy(self) -> None:
        assert self.copy is not None
        report, self.copy = self.copy, None
        self.leader.answer(report, self.now, valid=True)

    def _execute(self, *, answered: bool) -> None:
        assert self.command is not None
        (command, sender), self.command = self.command, None
        report = self._run(command)
        self._complete(sender, command, report if answered else None)

    def _execute_late(self) -> None:
        assert self.late is not None
        command, self.late = self.late, None
        self._run(command)

    def _run(self, command: CommandMessage) -> Heartbeat:
        self.worker.handle_direct_commands(
            command.fencing_token, command.incarnation, command.commands
        )
        return self.worker.report()

    def _complete(
        self, sender: Leader | None, command: CommandMessage, report: Heartbeat | None
    ) -> None:
        if sender is not self.leader:
            return
        sender.scheduler.command_completed(command, report, report is None, Instant(self.now))
        following = sender.queue.finish_and_take_next(MACHINE)
        if following is not None:
            self.command = (following, sender)

    def _probe(self, *, answered: bool) -> None:
        scheduler = self.leader.scheduler
        probes = [item for item in scheduler.outbox if isinstance(item, Probe)]
        scheduler.outbox = [item for item in scheduler.outbox if not isinstance(item, Probe)]
        for probe in probes[:1]:
            report = self.worker.report() if answered else None
            scheduler.probe_completed(probe, report, Instant(self.now))

    def _cancel(self) -> None:
        self.cancelled_at = self.now

    def _replace(self, *, isolated: bool) -> None:
        self.left["leader_changes"] -= 1
        self.former = self.leader if isolated else self.former
        self._elect()

    def _elect(self) -> None:
        self.token += 1
        live = self.cancelled_at is None
        record = JobRecord(SPEC, 1000.0, self.placed_below) if live else None
        self.leader = Leader(self.token, record, self.now)

    def _delegate(self) -> None:
        self.left["delegations"] -= 1
        now = Instant(self.now)
        delegation = self.leader.scheduler.issue_delegation(
            DELEGATE, self.delegate.serial, self.delegate.unused, now
        )
        if delegation is not None:
            self.delegate.accept(delegation, now, now)

    # ---- after each step -----------------------------------------------------------------

    def _after(self) -> None:
        self._start_task()
        scheduler = self.leader.scheduler
        for item in [item for item in scheduler.outbox if isinstance(item, CommandMessage)]:
            scheduler.outbox.remove(item)
            command = self.leader.queue.add_and_take_next(item)
            if command is not None:
                self.command = (command, self.leader)
        self._check()

    def _start_task(self) -> None:
        """Let the first leader place the task, store the intent and send the start."""
        scheduler = self.leader.scheduler
        if not self.scenario.starts or self.placed_below or self.cancelled_at is not None:
            return
        scheduler.run_pass(Instant(self.now))
        transaction = scheduler.state_writer.next_transaction(Instant(self.now))
        if transaction is not None:
            self.token += 1
            scheduler.transaction_committed(transaction, Version(self.token), Instant(self.now))
            self.placed_below = int(JOB in scheduler.jobs and scheduler.jobs[JOB].placed_below)

    def _check(self) -> None:
        running = bool(self.worker.running_tasks)
        overdue = self.cancelled_at is not None and self.now - self.cancelled_at > CANCEL_S
        if running and overdue:
            self.broken.append("ran_cancelled")
        job = self.leader.scheduler.jobs.get(JOB)
        if running and job is not None and self.cancelled_at is None and job.requeued_tasks:
            self.broken.append("ran_twice: the task may be started elsewhere")

    def fingerprint(self) -> Hashable:
        worker, delegate = self.worker, self.delegate
        reports = [None if self.report is None else self.report[1], self.copy]
        leaders = [self.leader, *([self.former] if self.former is not None else [])]
        sequences = [report.sequence for report in reports if report is not None]
        for leader in leaders:
            machine = leader.scheduler.machines[MACHINE]
            sequences += [machine.sequence, machine.answered_sequence]
        order = sorted(set(sequences))  # only the order of sequence numbers matters
        return (
            tuple(self.left.values()),
            None if self.cancelled_at is None else round(self.now - self.cancelled_at, 1),
            *(worker.fencing_token, worker.incarnation),
            round(self.now - worker.lease_renewed_at, 1),
            tuple((task.attempt, task.phase) for task in worker.tasks.values()),
            *(_seen(report) for report in reports),
            None if self.report is None else round(self.now - self.report[0], 1),
            tuple(order.index(sequence) for sequence in sequences),
            *(repr(self.command and self.command[0]), repr(self.late)),
            self.command is not None and self.command[1] is self.leader,
            *(leader.fingerprint(self.now) for leader in leaders),
            *(delegate.jobs_read_requested_at, delegate.machine_ids, delegate.initial_token),
            *(delegate.requested_at, delegate.last_used_at, delegate.newest_token),
        )  # fmt: skip

    def failed(self) -> None:
        """No request of a task is explored here."""

    def failures_left(self) -> bool:
        return False

    def close(self) -> None:
        """There are no tasks to end."""
