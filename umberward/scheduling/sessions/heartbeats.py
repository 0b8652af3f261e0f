"""Handling of worker heartbeats: whether to answer them, and what they report. No I/O.

A heartbeat reaches the leader as the worker's periodic request, or as its response to a command or
probe. `HeartbeatHandler` decides whether the leader may answer it, updates the machine's session
(incarnation, sequence number, lease), and passes the listed tasks to `reconciliation`. PROTOCOL,
"Workers -> controller nodes", defines the messages.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from umberward.core.grouped_log import GroupedLog
from umberward.core.log import logger
from umberward.core.types import (
    FencingToken,
    Incarnation,
    Instant,
    MachineId,
    MachineTypeName,
    SequenceNumber,
    ZoneName,
)
from umberward.protocol import wire
from umberward.protocol.wire import Heartbeat, TaskCommand
from umberward.scheduling.cluster_state import ClusterState, CommandMessage, Probe
from umberward.scheduling.failure_attribution import FailureAttribution
from umberward.scheduling.machines import Machine
from umberward.scheduling.sessions.reachability import Reachability
from umberward.scheduling.sessions.reconciliation import TaskReconciliation
from umberward.scheduling.sessions.session_renewal import SessionRenewal
from umberward.scheduling.state_writer import StateWriter

log = logger(__name__)
grouped_log = GroupedLog(log)

DUPLICATES_LOG_INTERVAL_S = 1.0  # minimum interval between log lines on duplicates
CHECKPOINT_MARGIN_S = 1.0  # safety margin between a checkpoint's end and the preemption


class HeartbeatSource(StrEnum):
    """How a heartbeat reached the leader."""

    PERIODIC = "periodic"  # sent by the worker; its response renews the worker's lease
    RESPONSE = "response"  # the worker's response to a command or probe; renews no lease


class HeartbeatOutcome(NamedTuple):
    """The leader's decision on one heartbeat."""

    answerable: bool  # False: this leader must not renew the worker's lease with a response
    reconciled: bool  # whether its tasks were reconciled
    commands: list[TaskCommand]  # of the reconciliation


def _refused() -> HeartbeatOutcome:
    return HeartbeatOutcome(answerable=False, reconciled=False, commands=[])


def _not_reconciled() -> HeartbeatOutcome:
    return HeartbeatOutcome(answerable=True, reconciled=False, commands=[])


class HeartbeatHandler:
    """Processes heartbeats for the leader and updates the machines that sent them."""

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
        self.writer = writer
        self.reconciliation = TaskReconciliation(cluster, reachability, failure_attribution, writer)
        self.renewal = SessionRenewal(cluster)
        self.duplicates = 0  # since the last log line on duplicates
        self.duplicates_logged_at = cluster.started_at

    @property
    def deferred_forget_count(self) -> int:
        """Number of times that forgetting had to be deferred on a machine."""
        return self.reconciliation.deferred_forget_count

    def receive(
        self, header: wire.HeartbeatHeader, body: bytes, now: Instant
    ) -> list[TaskCommand] | None:
        """Process a periodic heartbeat.

        `header` holds the fields of `body` that are cheap to decode; `now` is a time of the
        leader's monotonic clock. Return the commands for the response, or None if the leader must
        not answer.
        """
        if self._accept_unchanged(header, now):
            self.renewal.unchanged += 1
            return []
        try:
            heartbeat = wire.decode_heartbeat(body)
        except wire.MalformedMessageError as error:
            log.info("heartbeat_malformed", machine=header.machine_id, error=error)
            return None
        self.cluster.heartbeats_decoded += 1
        outcome = self.apply(heartbeat, now, HeartbeatSource.PERIODIC)
        if not outcome.answerable:
            self.renewal.refused += 1
            return None
        commands = self.renewal.complete(
            heartbeat, outcome.commands, now, reconciled=outcome.reconciled
        )
        if commands is None or not self.cluster.invariants.may_renew(
            heartbeat, commands, self.cluster.jobs
        ):
            return None
        if outcome.reconciled and not commands:
            self._store_settled_task_list(header)
        return commands

    def apply(
        self, heartbeat: Heartbeat, now: Instant, source: HeartbeatSource
    ) -> HeartbeatOutcome:
        """Process a decoded heartbeat from either source; `now` is monotonic time."""
        self.cluster.now = now
        if heartbeat.fencing_token > self.cluster.tokens.newest:
            self._note_higher_token(FencingToken(heartbeat.fencing_token))
            return _refused()
        if heartbeat.machine_id in self.cluster.deleted_machines:
            return _refused()  # its tasks may have been started elsewhere
        machine = self._find_or_register(heartbeat, now)
        if machine is None or not self._may_answer(machine, heartbeat):
            return _refused()
        if source is HeartbeatSource.PERIODIC and heartbeat.incarnation == machine.incarnation:
            self._renew_lease(machine, heartbeat, now)
        if (heartbeat.incarnation, heartbeat.sequence) <= (machine.incarnation, machine.sequence):
            return _not_reconciled()  # out of order: a newer one was already applied
        self._update_machine(machine, heartbeat, now, source)
        if not machine.reconciled and not self._may_reconcile(machine, heartbeat, now, source):
            return _not_reconciled()
        if machine.block_number is None and self.cluster.loaded:
            self.writer.assign_block(machine)
        periodic = source is HeartbeatSource.PERIODIC
        commands = self.reconciliation.reconcile(machine, heartbeat, now, periodic=periodic)
        return HeartbeatOutcome(answerable=True, reconciled=True, commands=commands)

    # ---- unchanged heartbeats --------------------------------------------------------------

    def _accept_unchanged(self, header: wire.HeartbeatHeader, now: Instant) -> bool:
        """Process a heartbeat that changes nothing; return False if it must be decoded in full.

        Most heartbeats of a large fleet change nothing. Handling them here costs the same however
        many tasks they list.
        """
        machine = self.cluster.machines.get(MachineId(header.machine_id))
        if (
            machine is None
            or machine.settled_task_list is None
            or header.incarnation != machine.incarnation
            or header.sequence <= machine.sequence
            or header.fencing_token != machine.fencing_token
            or header.preemption_notice_s is not None
            or machine.draining
            or machine.silent
            or machine.lease_expired
            or not machine.confirmed_in_term
            or machine.suspected_unreachable_since is not None
            or machine.no_heartbeats_since is not None
            or machine.settled_task_list != bytes(header.tasks)
        ):
            return False
        machine.last_message_at = machine.heartbeat_at = machine.lease_started_at = (
            self.cluster.last_heartbeat_at
        ) = now
        machine.sequence = machine.answered_sequence = SequenceNumber(header.sequence)
        return True

    def _store_settled_task_list(self, header: wire.HeartbeatHeader) -> None:
        """Store the encoded tasks of a heartbeat that needed no commands.

        A next heartbeat with the same tasks needs none either.
        """
        machine = self.cluster.machines.get(MachineId(header.machine_id))
        if (
            machine is not None
            and machine.reconciled
            and machine.block_number is not None
            and machine.reclaim_at is None
            and not (machine.exited_tasks or machine.tasks_without_placement or machine.draining)
            and all(
                placement.seen_on_worker and placement.stop_grace_s is None
                for placement in machine.placements.values()
            )
        ):
            machine.settled_task_list = bytes(header.tasks)

    # ---- token and registration ------------------------------------------------------------

    def _note_higher_token(self, fencing_token: FencingToken) -> None:
        """Record that a worker has seen a newer leader's token: this leader must not answer it."""
        self.cluster.higher_token_seen = FencingToken(
            max(self.cluster.higher_token_seen, fencing_token)
        )

    def _find_or_register(self, heartbeat: Heartbeat, now: Instant) -> Machine | None:
        """Return the sender's machine, registering a new one; None if its type is unknown.

        The resources of a type that the cloud's list does not contain are unknown, so the tasks on
        such a machine could not be managed.
        """
        machine_id = MachineId(heartbeat.machine_id)
        machine = self.cluster.machines.get(machine_id)
        if machine is not None:
            return machine
        machine_type = MachineTypeName(heartbeat.machine_type)
        if machine_type not in self.cluster.machine_types:
            return None
        machine = self.cluster.find_or_add_machine(
            machine_id,
            heartbeat.address,
            machine_type,
            ZoneName(heartbeat.zone),
            heartbeat.spot,
            now,
        )
        machine.existence_confirmed = False
        grouped_log.info("machine_new", machine=machine_id, type=machine_type, zone=heartbeat.zone)
        return machine

    @staticmethod
    def _may_answer(machine: Machine, heartbeat: Heartbeat) -> bool:
        """Whether a response may renew the heartbeat's session.

        A session that the leader has declared over must not be renewed. Heartbeats of a machine
        that is being deleted are not applied, so none of its tasks is stopped by command: tasks
        cancelled before the cloud deletes the machine must end with its lease, which must therefore
        not be renewed.
        """
        return heartbeat.incarnation >= machine.min_incarnation and not machine.draining

    # ---- session ---------------------------------------------------------------------------

    def _renew_lease(self, machine: Machine, heartbeat: Heartbeat, now: Instant) -> None:
        """Restart the session's lease at this heartbeat, unless it is a duplicate.

        The heartbeat is answered even if it is not applied, for example because the response to a
        probe has overtaken it, and that answer renews the lease. A duplicate of an answered
        heartbeat does not extend the lease: it runs from when the heartbeat was sent, which was
        before its first arrival.
        """
        if heartbeat.sequence > machine.answered_sequence:
            machine.answered_sequence = SequenceNumber(heartbeat.sequence)
            machine.lease_started_at = now
            self.reachability.periodic_heartbeat_received(machine, now)
        else:
            self._count_duplicate(machine, heartbeat, now)

    def _count_duplicate(self, machine: Machine, heartbeat: Heartbeat, now: Instant) -> None:
        """Count a heartbeat that was answered before; log the count at intervals."""
        self.duplicates += 1
        if now - self.duplicates_logged_at > DUPLICATES_LOG_INTERVAL_S:
            self.duplicates_logged_at = now
            log.info(
                "duplicate_heartbeat_ignored",
                machine=machine.id,
                serial=heartbeat.sequence,
                latest=machine.sequence,
                copies=self.duplicates,
            )
            self.duplicates = 0

    def _update_machine(
        self, machine: Machine, heartbeat: Heartbeat, now: Instant, source: HeartbeatSource
    ) -> None:
        """Apply what a newer heartbeat reports about the machine, except its tasks."""
        periodic = source is HeartbeatSource.PERIODIC
        machine.settled_task_list = None
        machine.mark_availability_changed()
        # The first periodic heartbeat that a new leader receives may be an old duplicate. The
        # machine is confirmed once it has responded or sent a newer heartbeat.
        machine.confirmed_in_term = (
            machine.confirmed_in_term or not periodic or machine.sequence >= 0
        )
        machine.last_message_at = self.cluster.last_heartbeat_at = now
        if periodic and machine.silent:
            # After an unanswered probe, a heartbeat does not prove that the machine receives.
            self.reachability.suspect_after_silence(machine, now)
        machine.silent = machine.lease_expired = False
        machine.address = heartbeat.address
        if heartbeat.incarnation > machine.incarnation:
            self._begin_incarnation(machine, heartbeat, now, source)
        first_saw_current_token = (
            machine.token_seen < heartbeat.fencing_token >= machine.fencing_token
        )
        if not periodic or first_saw_current_token:
            self.reachability.confirm_reachable(machine, now)
        else:
            self.reachability.newer_heartbeat_received(machine, now)
        machine.sequence = SequenceNumber(heartbeat.sequence)
        if heartbeat.fencing_token > machine.token_seen:
            machine.token_seen = FencingToken(heartbeat.fencing_token)
            machine.fencing_token = max(machine.fencing_token, machine.token_seen)
            machine.inflight_starts.token_seen(machine.token_seen)
        if heartbeat.preemption_notice_s is not None:
            self._apply_preemption_notice(machine, heartbeat.preemption_notice_s, now)

    def _begin_incarnation(
        self, machine: Machine, heartbeat: Heartbeat, now: Instant, source: HeartbeatSource
    ) -> None:
        """Begin a new session; the worker has killed and forgotten all earlier tasks."""
        periodic = source is HeartbeatSource.PERIODIC
        if machine.incarnation:
            self.cluster.release_all_placements(machine, "session over")
            machine.previous_tasks_ended = True
        if periodic:
            self.reachability.periodic_heartbeat_received(machine, now)
        if periodic and machine.incarnation:
            self.reachability.incarnation_began(machine, now)
        else:
            machine.incarnation_since = now
        machine.answered_sequence = SequenceNumber(heartbeat.sequence if periodic else -1)
        machine.incarnation = Incarnation(heartbeat.incarnation)
        # Until it is answered, the worker's lease runs from the start of its session, which was
        # before this heartbeat, whatever its source. When the previous session was last answered
        # is irrelevant to this one.
        machine.lease_started_at = now

    def _apply_preemption_notice(self, machine: Machine, notice_s: float, now: Instant) -> None:
        """Record that the cloud deletes the spot machine in `notice_s` seconds."""
        if machine.reclaim_at is None:
            log.info("spot_preemption_notice", machine=machine.id, in_s=notice_s)
            self._checkpoint_before_preemption(machine, notice_s)
        machine.reclaim_at = Instant(now + notice_s)

    def _checkpoint_before_preemption(self, machine: Machine, notice_s: float) -> None:
        """Stop the tasks that can save a checkpoint in time; they resume on other machines.

        The other tasks keep running, as they may complete before the machine is deleted.
        """
        for placement in list(machine.placements.values()):
            job = self.cluster.jobs.get(placement.task.job)
            if job is None or job.gang or job.spec.checkpoint_interval_s <= 0:
                continue
            if job.spec.checkpoint_cost_s + CHECKPOINT_MARGIN_S < notice_s:
                self.cluster.stop(placement, job.spec.checkpoint_cost_s)

    def _may_reconcile(
        self, machine: Machine, heartbeat: Heartbeat, now: Instant, source: HeartbeatSource
    ) -> bool:
        """Whether the machine's first reconciliation in this term may begin.

        If so, mark the machine as reconciled; if not, add the command or probe that must come
        first to the outbox.
        """
        if heartbeat.fencing_token < self.cluster.tokens.initial:
            # The worker could still execute a delayed command of a previous leader. An empty
            # command first raises the worker's token.
            self.cluster.outbox.append(
                CommandMessage(
                    machine.id,
                    machine.address,
                    machine.fencing_token,
                    machine.incarnation,
                    [],
                )
            )
            return False
        if source is HeartbeatSource.PERIODIC and not machine.existence_confirmed:
            # This may be a duplicate from a machine that was deleted so long ago that the leader
            # no longer knows it. A response or the next heartbeat confirms the machine.
            machine.existence_confirmed = True
            self.cluster.outbox.append(Probe(machine.id, machine.address))
            return False
        machine.reconciled = True
        # A previous leader may have answered the worker until it saw this leader's token.
        machine.lease_started_at = now
        self.cluster.scheduling_pass_needed = True
        return True
