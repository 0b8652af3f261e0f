"""Reconciliation of the tasks that a worker lists with the leader's placements. No I/O.

A placement ends only when the worker shows that its attempt is gone and no start of it may still
arrive (`inflight_commands`); what a worker runs without a placement is adopted or stopped.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from umberward.core.log import logger
from umberward.core.rate_limited_log import RateLimitedLog
from umberward.core.types import Attempt, Instant, TaskId, parse_task_id
from umberward.protocol import wire
from umberward.protocol.wire import FORGET, KILL, START, Heartbeat, TaskCommand, TaskStatus
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.failure_attribution import FailureAttribution
from umberward.scheduling.jobs import Placement
from umberward.scheduling.machines import Machine
from umberward.scheduling.reachability import Reachability
from umberward.scheduling.state_writer import StateWriter
from umberward.scheduling.task_adoption import TaskAdoption
from umberward.scheduling.task_progress import TaskProgress

log = logger(__name__)
rate_limited_log = RateLimitedLog(log)


@dataclass(slots=True)
class _HeartbeatPass:
    """The reconciliation of one heartbeat: its input, and what has been found so far."""

    machine: Machine
    heartbeat: Heartbeat
    now: Instant
    periodic: bool  # sent by the worker itself: its response carries `commands`
    commands: list[TaskCommand] = field(default_factory=list)
    listed_tasks: set[TaskId] = field(default_factory=set)
    forget_blocked: bool = False  # an exited attempt must stay listed: a start may still arrive

    def add_command(self, verb: str, status: TaskStatus, grace_s: float | None = None) -> None:
        """Add a command about a listed attempt to the response."""
        self.commands.append(TaskCommand(verb, status.task_id, status.attempt, grace_s))


class TaskReconciliation:
    """Compares listed tasks with placements and finds the commands that bring them together."""

    def __init__(
        self,
        cluster: ClusterState,
        reachability: Reachability,
        failure_attribution: FailureAttribution,
        writer: StateWriter,
    ) -> None:
        """Reconcile the machines of `cluster`."""
        self.cluster = cluster
        self.reachability = reachability
        self.progress = TaskProgress(cluster, failure_attribution, writer)
        self.adoption = TaskAdoption(cluster)
        self.deferred_forgets = 0  # times that a machine began to keep attempts it can't forget

    def reconcile(
        self, machine: Machine, heartbeat: Heartbeat, now: Instant, *, periodic: bool
    ) -> list[TaskCommand]:
        """Apply the heartbeat's tasks; returns the commands for the response.

        `periodic`: the worker sent it itself, so that a response with commands follows.
        """
        current = _HeartbeatPass(machine, heartbeat, now, periodic)
        machine.exited_tasks.clear()
        self.cluster.clear_unplaced_tasks(machine)
        for status in heartbeat.tasks:
            task_id = parse_task_id(status.task_id)
            if task_id is not None:
                current.listed_tasks.add(task_id)
                self._reconcile_listed(current, task_id, status)
        for task_id, placement in list(machine.placements.items()):
            if task_id not in current.listed_tasks and placement.sent:
                self._reconcile_unlisted(current, task_id, placement)
        self._note_blocked_forget(current)
        return current.commands

    def _reconcile_listed(
        self, current: _HeartbeatPass, task_id: TaskId, status: TaskStatus
    ) -> None:
        """Apply one listed attempt, which may be another one than the placed one."""
        placement = current.machine.placements.get(task_id)
        if placement is not None and placement.attempt != status.attempt:
            placement = None
        if status.phase == wire.EXITED:
            self._reconcile_exited(current, task_id, status, placement)
        else:
            self._reconcile_running(current, task_id, status, placement)

    def _reconcile_exited(
        self,
        current: _HeartbeatPass,
        task_id: TaskId,
        status: TaskStatus,
        placement: Placement | None,
    ) -> None:
        """Apply an exit, and let the worker forget the attempt as soon as that is safe."""
        machine, attempt = current.machine, Attempt(status.attempt)
        machine.exited_tasks.add(task_id)
        self.progress.task_exited(machine, task_id, status, placement, current.now)
        current.forget_blocked |= machine.inflight_starts.valid_under(
            task_id, attempt, self.cluster.fencing_token
        )
        if (
            current.periodic
            and self.cluster.loaded
            and self._may_forget(machine, task_id, status)
            and self.cluster.invariants.may_forget(machine, task_id, attempt)
        ):
            log.debug("task_forgotten", task=task_id, attempt=attempt, machine=machine.id)
            current.add_command(FORGET, status)

    def _reconcile_running(
        self,
        current: _HeartbeatPass,
        task_id: TaskId,
        status: TaskStatus,
        placement: Placement | None,
    ) -> None:
        """Apply an attempt that has not exited: follow, adopt or stop it."""
        machine, now = current.machine, current.now
        if placement is None:
            placement = self.adoption.adopt(machine, task_id, status, now)
        if placement is None:
            self.cluster.add_unplaced_task(machine, task_id)
            if self.cluster.loaded:
                current.add_command(KILL, status, 0.0)
            return
        if not placement.seen_on_worker:
            placement.seen_on_worker = True
            self.reachability.confirm_reachable(machine, now)
        self.progress.phase_reported(machine, placement, status.phase, now)
        if placement.stop_grace_s is not None:
            current.add_command(KILL, status, placement.stop_grace_s)

    def _reconcile_unlisted(
        self, current: _HeartbeatPass, task_id: TaskId, placement: Placement
    ) -> None:
        """Decide on a placed attempt whose start was sent and that the worker does not list."""
        machine = current.machine
        may_arrive = machine.inflight_starts.may_arrive(task_id, placement.attempt)
        if placement.seen_on_worker and not may_arrive:
            self.cluster.release(machine, placement)
        elif placement.stop_grace_s is None:
            # The start may be lost; repeating it has no effect where it was executed.
            if current.periodic:
                self._repeat_start(current, placement)
        elif not may_arrive:
            if current.periodic and current.heartbeat.sequence > placement.start_sent_sequence:
                self.cluster.release(machine, placement)
        elif machine.inflight_starts.valid_under(
            task_id, placement.attempt, self.cluster.fencing_token
        ):
            # An unanswered start may be executed at any time: only a higher token ends that.
            self.cluster.token_rotation.unwanted_start(placement.stopped_at, current.now)

    def _repeat_start(self, current: _HeartbeatPass, placement: Placement) -> None:
        """Send the start with the response, as far as the invariants allow it."""
        sequence = current.heartbeat.sequence
        if 0 <= placement.start_sent_sequence < sequence:
            # The response to the previous heartbeat carried the start as well.
            self.reachability.suspect(current.machine, current.now)
        job = self.cluster.jobs.get(placement.task.job)
        if self.cluster.invariants.may_start(job, placement, self.cluster.tasks_without_placement):
            placement.start_sent_sequence = sequence
            current.commands.append(TaskCommand(START, str(placement.task), placement.attempt))

    def _note_blocked_forget(self, current: _HeartbeatPass) -> None:
        """Ask for a token rotation once exited attempts have stayed on the worker for long."""
        machine = current.machine
        if not current.forget_blocked:
            machine.unforgotten_since = None
            return
        if machine.unforgotten_since is None:
            machine.unforgotten_since = current.now
            self.deferred_forgets += 1
            rate_limited_log.info(
                "forget_deferred",
                machine=machine.id,
                token_seen=machine.token_seen,
                starts_may_arrive=len(machine.inflight_starts),
            )
        self.cluster.token_rotation.unforgotten_exit(machine.unforgotten_since, current.now)

    def _may_forget(self, machine: Machine, task_id: TaskId, status: TaskStatus) -> bool:
        """Whether the worker may drop an exited attempt from its list.

        After a forget, a start that is still in flight would start the task again. A completion
        must be stored first, as the list is the only other record of it.
        """
        placement = machine.placements.get(task_id)
        if placement is not None and placement.attempt == status.attempt:
            return False
        if machine.inflight_starts.may_arrive(task_id, Attempt(status.attempt)):
            return False
        job = self.cluster.jobs.get(task_id.job)
        if job is None or status.cause != wire.DONE:
            return True
        return job.is_completion_stored(task_id.number)
