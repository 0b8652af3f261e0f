"""Reconciliation of the tasks that a worker lists with the leader's placements. No I/O.

A placement ends only when the worker's list shows that its attempt is gone and no start of it may
still arrive (`inflight_commands`). An attempt is forgotten only with a response under a token that
voids its direct starts. A task that runs without a placement is adopted or stopped.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from umberward.core.log import logger
from umberward.core.types import Attempt, Instant, TaskId, parse_task_id
from umberward.protocol import wire
from umberward.protocol.message_sizes import commands_that_fit, task_status_bytes
from umberward.protocol.wire import FORGET, KILL, START, Heartbeat, TaskCommand, TaskStatus
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.failure_attribution import FailureAttribution
from umberward.scheduling.jobs import Placement
from umberward.scheduling.machines import Machine
from umberward.scheduling.sessions.reachability import Reachability
from umberward.scheduling.sessions.task_adoption import TaskAdoption
from umberward.scheduling.state_writer import StateWriter
from umberward.scheduling.task_progress import TaskProgress

log = logger(__name__)

DEFERRAL_LOG_INTERVAL_S = 60.0
# By verb: which commands come first in a response that cannot carry all.
_SEND_ORDER = {KILL: 0, FORGET: 1, START: 2}


@dataclass(slots=True)
class _ReconciliationContext:
    """Input and intermediate results of the reconciliation of one heartbeat."""

    machine: Machine
    heartbeat: Heartbeat
    now: Instant
    periodic: bool  # a periodic heartbeat, whose response carries `commands`
    commands: list[TaskCommand] = field(default_factory=list)
    listed_tasks: set[TaskId] = field(default_factory=set)
    must_defer_forget: bool = False  # a token that voids an exited attempt's starts is missing
    unplaced_bytes: int = 0  # of the entries of listed attempts without a placement

    def add_command(self, verb: str, status: TaskStatus, grace_s: float | None = None) -> None:
        """Add a command about a listed attempt to the response."""
        self.commands.append(TaskCommand(verb, status.task_id, status.attempt, grace_s))

    def count_unplaced(self, status: TaskStatus) -> None:
        """Count the entry of a listed attempt without a placement."""
        self.unplaced_bytes += task_status_bytes(len(status.task_id))


class TaskReconciliation:
    """Compares listed tasks with placements and derives the commands that reconcile them."""

    def __init__(
        self,
        cluster: ClusterState,
        reachability: Reachability,
        failure_attribution: FailureAttribution,
        writer: StateWriter,
    ) -> None:
        """Initialize for the machines of `cluster`."""
        self.cluster = cluster
        self.reachability = reachability
        self.progress = TaskProgress(cluster, failure_attribution, writer)
        self.adoption = TaskAdoption(cluster)
        self.deferred_forget_count = 0  # times that forgetting had to be deferred
        self._next_deferral_log_at = cluster.started_at

    def reconcile(
        self, machine: Machine, heartbeat: Heartbeat, now: Instant, *, periodic: bool
    ) -> list[TaskCommand]:
        """Apply the heartbeat's tasks and return the commands for the response.

        `periodic` is true for a periodic heartbeat, the only kind whose response carries commands.
        """
        context = _ReconciliationContext(machine, heartbeat, now, periodic)
        machine.exited_tasks.clear()
        self.cluster.clear_tasks_without_placement(machine)
        known_ids, listed_ids = machine.listed_task_ids, {}
        for status in heartbeat.tasks:
            task_id = known_ids.get(status.task_id) or parse_task_id(status.task_id)
            if task_id is not None:
                listed_ids[status.task_id] = task_id
                context.listed_tasks.add(task_id)
                self._reconcile_listed(context, task_id, status)
        machine.listed_task_ids = listed_ids
        for task_id, placement in list(machine.placements.items()):
            if task_id not in context.listed_tasks and placement.sent:
                self._reconcile_unlisted(context, task_id, placement)
        machine.set_unplaced_heartbeat_bytes(context.unplaced_bytes)
        self._request_rotation_if_forget_deferred(context)
        return self._select_commands(context)

    def _select_commands(self, context: _ReconciliationContext) -> list[TaskCommand]:
        """Return the commands that one response can carry, and record the starts among them.

        If not all fit, stops come first, then forgets, then starts in the order in which the tasks
        were placed. The next heartbeat yields the others again.
        """
        commands = context.commands
        fitting = commands_that_fit(commands)
        if fitting < len(commands):
            commands = sorted(commands, key=lambda command: _SEND_ORDER[command.verb])
            fitting = commands_that_fit(commands)
            log.info(
                "commands_deferred", machine=context.machine.id, deferred=len(commands) - fitting
            )
        selected = commands[:fitting]
        for command in selected:
            if command.started_attempt is not None:
                placement = context.machine.placements[command.started_attempt[0]]
                placement.start_sent_sequence = context.heartbeat.sequence
        return selected

    def _reconcile_listed(
        self, context: _ReconciliationContext, task_id: TaskId, status: TaskStatus
    ) -> None:
        """Apply one listed attempt, which may differ from the placed attempt."""
        placement = context.machine.placements.get(task_id)
        if placement is not None and placement.attempt != status.attempt:
            placement = None
        if status.phase == wire.EXITED:
            self._reconcile_exited(context, task_id, status, placement)
        else:
            self._reconcile_running(context, task_id, status, placement)

    def _reconcile_exited(
        self,
        context: _ReconciliationContext,
        task_id: TaskId,
        status: TaskStatus,
        placement: Placement | None,
    ) -> None:
        """Apply an exit, and tell the worker to forget the attempt once that is safe."""
        machine, attempt = context.machine, Attempt(status.attempt)
        machine.exited_tasks.add(task_id)
        context.count_unplaced(status)
        self.progress.task_exited(machine, task_id, status, placement, context.now)
        if not (
            context.periodic
            and self.cluster.loaded
            and self._is_end_settled(machine, task_id, status)
        ):
            return
        if not self.cluster.tokens.void_starts(machine, task_id, attempt):
            context.must_defer_forget = True
        elif self.cluster.invariants.may_forget(machine, task_id, attempt):
            log.debug("task_forgotten", task=task_id, attempt=attempt, machine=machine.id)
            context.add_command(FORGET, status)

    def _reconcile_running(
        self,
        context: _ReconciliationContext,
        task_id: TaskId,
        status: TaskStatus,
        placement: Placement | None,
    ) -> None:
        """Apply an attempt that has not exited: update its placement, adopt it or stop it."""
        machine, now = context.machine, context.now
        if placement is None:
            placement = self.adoption.adopt(machine, task_id, status, now)
        if placement is None:
            context.count_unplaced(status)
            self.cluster.add_task_without_placement(machine, task_id)
            if self.cluster.loaded:
                context.add_command(KILL, status, 0.0)
            return
        if not placement.seen_on_worker:
            placement.seen_on_worker = True
            self.reachability.confirm_reachable(machine, now)
        self.progress.phase_reported(machine, placement, status.phase, now)
        if placement.stop_grace_s is not None:
            context.add_command(KILL, status, placement.stop_grace_s)

    def _reconcile_unlisted(
        self, context: _ReconciliationContext, task_id: TaskId, placement: Placement
    ) -> None:
        """Handle a placed attempt whose start was sent but that the worker does not list."""
        machine = context.machine
        if placement.stop_grace_s is None and not placement.seen_on_worker:
            # The start may be lost. Repeating it has no effect if it was executed.
            if context.periodic:
                self._repeat_start(context, placement)
        elif machine.inflight_starts.may_arrive(task_id, placement.attempt):
            # A start may be executed at any time; only a higher token prevents that.
            voided = self.cluster.tokens.void_starts(machine, task_id, placement.attempt)
            if not voided and not machine.inflight_starts.awaits_response:
                self.cluster.token_rotation.note_missing_token(
                    placement.stop_requested_at, context.now
                )
        elif placement.seen_on_worker or (
            # A heartbeat newer than the last one whose response carried the start does not list it.
            context.periodic and context.heartbeat.sequence > placement.start_sent_sequence
        ):
            self.cluster.release(machine, placement)

    def _repeat_start(self, context: _ReconciliationContext, placement: Placement) -> None:
        """Send the start again with the response, if the invariants allow it."""
        sequence = context.heartbeat.sequence
        if 0 <= placement.start_sent_sequence < sequence:
            # The response to an earlier heartbeat carried the start as well, without effect.
            self.reachability.suspect_unreachable(context.machine, context.now)
        job = self.cluster.jobs.get(placement.task.job)
        if self.cluster.invariants.may_start(job, placement, self.cluster.tasks_without_placement):
            context.commands.append(TaskCommand(START, str(placement.task), placement.attempt))

    def _request_rotation_if_forget_deferred(self, context: _ReconciliationContext) -> None:
        """Request a token rotation if exited attempts could not be forgotten for a long time."""
        machine = context.machine
        if not context.must_defer_forget:
            machine.forget_deferred_since = None
            return
        if machine.forget_deferred_since is None:
            machine.forget_deferred_since = context.now
            self.deferred_forget_count += 1
            self._log_deferral(machine, context.now)
        if not machine.inflight_starts.awaits_response:
            self.cluster.token_rotation.note_missing_token(
                machine.forget_deferred_since, context.now
            )

    def _log_deferral(self, machine: Machine, now: Instant) -> None:
        """Log that forgetting had to be deferred, at a low rate: `inflight_starts` counts them."""
        if now < self._next_deferral_log_at:
            return
        self._next_deferral_log_at = Instant(now + DEFERRAL_LOG_INTERVAL_S)
        log.info(
            "forget_deferred",
            machine=machine.id,
            token_seen=machine.token_seen,
            token=machine.fencing_token,
            starts_may_arrive=len(machine.inflight_starts),
        )

    def _is_end_settled(self, machine: Machine, task_id: TaskId, status: TaskStatus) -> bool:
        """Whether nothing depends on the worker's listing an exited attempt any longer.

        A completion must be stored first, as the list is the only other record of it.
        """
        placement = machine.placements.get(task_id)
        if placement is not None and placement.attempt == status.attempt:
            return False
        job = self.cluster.jobs.get(task_id.job)
        if job is None or status.cause != wire.DONE:
            return True
        return job.is_completion_stored(task_id.number)
