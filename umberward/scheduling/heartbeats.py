"""Acceptance of worker heartbeats: which are answered, and what they say of the machine. No I/O.

A heartbeat reaches the leader as a periodic request of the worker or as the response to a command
or probe of the leader. `HeartbeatHandler` decides whether the leader may answer it, keeps the
machine's session (incarnation, sequence number, lease) up to date, and hands the listed tasks to
`reconciliation`. PROTOCOL, "Workers -> controller nodes", defines the messages.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

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
from umberward.scheduling.cluster_state import ClusterState, DirectCommand, Probe
from umberward.scheduling.failure_attribution import FailureAttribution
from umberward.scheduling.machines import Machine
from umberward.scheduling.reachability import Reachability
from umberward.scheduling.reconciliation import TaskReconciliation
from umberward.scheduling.state_writer import StateWriter

log = logger(__name__)

DUPLICATES_LOG_INTERVAL_S = 1.0  # duplicates are counted and logged at most this often
CHECKPOINT_MARGIN_S = 1.0  # left between the end of a checkpoint and the machine's preemption


class HeartbeatSource(StrEnum):
    """How a heartbeat came to the leader."""

    PERIODIC = "periodic"  # sent by the worker; its response renews the worker's lease
    RESPONSE = "response"  # the worker's response to a command or probe; renews no lease


class HeartbeatOutcome(NamedTuple):
    """The leader's decision on one heartbeat."""

    answerable: bool  # False: a response of this leader must not renew the worker's lease
    commands: list[TaskCommand]  # for the response, where it is answerable


def _refused() -> HeartbeatOutcome:
    return HeartbeatOutcome(answerable=False, commands=[])


def _without_commands() -> HeartbeatOutcome:
    return HeartbeatOutcome(answerable=True, commands=[])


class HeartbeatHandler:
    """Accepts heartbeats on behalf of the leader and updates the machines that sent them."""

    def __init__(
        self,
        cluster: ClusterState,
        reachability: Reachability,
        failure_attribution: FailureAttribution,
        writer: StateWriter,
    ) -> None:
        """Handle the heartbeats of the machines in `cluster`."""
        self.cluster = cluster
        self.reachability = reachability
        self.writer = writer
        self.reconciliation = TaskReconciliation(cluster, reachability, failure_attribution, writer)
        self.duplicates = 0  # duplicates since they were last logged
        self.duplicates_logged_at = cluster.started_at

    @property
    def deferred_forgets(self) -> int:
        """How often a machine had to keep exited attempts because a start might still arrive."""
        return self.reconciliation.deferred_forgets

    def receive(
        self, header: wire.HeartbeatHeader, body: bytes, now: Instant
    ) -> list[TaskCommand] | None:
        """Take in a periodic heartbeat.

        `header` is the part of `body` that is decoded cheaply; `now` is the leader's steady clock.
        Returns the commands for the response, or None if the leader must not answer.
        """
        if self._accept_unchanged(header, now):
            return []
        try:
            heartbeat = wire.decode_heartbeat(body)
        except wire.MalformedMessageError as error:
            log.info("heartbeat_malformed", machine=header.machine_id, error=error)
            return None
        self.cluster.heartbeats_decoded += 1
        outcome = self.apply(heartbeat, now, HeartbeatSource.PERIODIC)
        if not outcome.answerable:
            return None
        if not outcome.commands:
            self._remember_unchanged(header)
        return outcome.commands

    def apply(
        self, heartbeat: Heartbeat, now: Instant, source: HeartbeatSource
    ) -> HeartbeatOutcome:
        """Take in a decoded heartbeat from either source; `now` is the leader's steady clock."""
        self.cluster.now = now
        if heartbeat.fencing_token > self.cluster.fencing_token:
            self._note_higher_token(FencingToken(heartbeat.fencing_token))
            return _refused()
        if heartbeat.machine_id in self.cluster.deleted_machines:
            return _without_commands()
        machine = self._find_or_register(heartbeat, now)
        if machine is None or not self._may_answer(machine, heartbeat):
            return _refused()
        if source is HeartbeatSource.PERIODIC and heartbeat.incarnation == machine.incarnation:
            self._renew_lease(machine, heartbeat, now)
        if (heartbeat.incarnation, heartbeat.sequence) <= (machine.incarnation, machine.sequence):
            return _without_commands()  # out of order: a newer one was applied
        self._update_machine(machine, heartbeat, now, source)
        if not machine.reconciled and not self._may_reconcile(machine, heartbeat, now, source):
            return _without_commands()
        if machine.block_number is None and self.cluster.loaded:
            self.writer.assign_block(machine)
        periodic = source is HeartbeatSource.PERIODIC
        commands = self.reconciliation.reconcile(machine, heartbeat, now, periodic=periodic)
        return HeartbeatOutcome(answerable=True, commands=commands)

    # ---- unchanged heartbeats --------------------------------------------------------------

    def _accept_unchanged(self, header: wire.HeartbeatHeader, now: Instant) -> bool:
        """Take in a heartbeat that changes nothing; False if it must be decoded in full.

        Most heartbeats of a large fleet are of this kind, and cost the same however many tasks
        they list.
        """
        machine = self.cluster.machines.get(MachineId(header.machine_id))
        if (
            machine is None
            or machine.unchanged_heartbeat is None
            or header.incarnation != machine.incarnation
            or header.sequence <= machine.sequence
            or header.fencing_token != self.cluster.fencing_token
            or header.preemption_notice_s is not None
            or machine.deletion_requested
            or machine.probe_unanswered
            or machine.lease_expired
            or not machine.heartbeat_seen
            or machine.suspected_since is not None
            or machine.no_heartbeats_since is not None
            or machine.unchanged_heartbeat != bytes(header.tasks)
        ):
            return False
        machine.last_heard_at = machine.heartbeat_at = machine.answered_at = (
            self.cluster.last_heartbeat_at
        ) = now
        machine.sequence = machine.answered_sequence = SequenceNumber(header.sequence)
        return True

    def _remember_unchanged(self, header: wire.HeartbeatHeader) -> None:
        """Remember a heartbeat answered without commands: the next equal one needs none either."""
        machine = self.cluster.machines.get(MachineId(header.machine_id))
        if (
            machine is not None
            and machine.reconciled
            and machine.block_number is not None
            and machine.preempted_at is None
            and not (machine.exited_tasks or machine.unplaced_tasks or machine.deletion_requested)
            and all(
                p.seen_on_worker and p.stop_grace_s is None for p in machine.placements.values()
            )
        ):
            machine.unchanged_heartbeat = bytes(header.tasks)

    # ---- identity --------------------------------------------------------------------------

    def _note_higher_token(self, fencing_token: FencingToken) -> None:
        """A worker has seen a newer leader's token: this leader must not answer it."""
        self.cluster.higher_token_seen = FencingToken(
            max(self.cluster.higher_token_seen, fencing_token)
        )

    def _find_or_register(self, heartbeat: Heartbeat, now: Instant) -> Machine | None:
        """Return the sender's machine, registered if new; None if its type is not configured.

        The resources of an unknown type are unknown, so its tasks could not be managed.
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
        machine.confirmed = False
        log.info("machine_new", machine=machine_id, type=machine_type, zone=heartbeat.zone)
        return machine

    @staticmethod
    def _may_answer(machine: Machine, heartbeat: Heartbeat) -> bool:
        """Whether a response may renew the session that the heartbeat belongs to.

        A session that the leader has declared over must not be kept alive by a response. Nothing
        is applied from the heartbeats of a machine that is being deleted, so nothing on it is
        stopped either: what is cancelled until the cloud deletes it must end with its lease.
        """
        return heartbeat.incarnation >= machine.min_incarnation and not machine.deletion_requested

    # ---- session ---------------------------------------------------------------------------

    def _renew_lease(self, machine: Machine, heartbeat: Heartbeat, now: Instant) -> None:
        """Count the lease of the current session from this heartbeat, unless it is a duplicate.

        The heartbeat is answered whatever is made of it below, and that renews the lease, also if
        the response to a probe has overtaken it. A duplicate of an answered heartbeat renews
        nothing more: its lease runs from when the heartbeat was sent, which was before its first
        arrival.
        """
        if heartbeat.sequence > machine.answered_sequence:
            machine.answered_sequence = SequenceNumber(heartbeat.sequence)
            machine.answered_at = now
            self.reachability.heartbeat_seen(machine, now)
        else:
            self._count_duplicate(machine, heartbeat, now)

    def _count_duplicate(self, machine: Machine, heartbeat: Heartbeat, now: Instant) -> None:
        """Count a heartbeat that was answered before, and log the count once in a while."""
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
        """Apply everything a newer heartbeat says of the machine itself, its tasks excepted."""
        periodic = source is HeartbeatSource.PERIODIC
        machine.unchanged_heartbeat = None
        machine.availability_changed()
        # The first periodic heartbeat that a new leader receives may be an old duplicate: the
        # machine counts as seen once it has responded, or has sent something newer.
        machine.heartbeat_seen = machine.heartbeat_seen or not periodic or machine.sequence >= 0
        machine.last_heard_at = self.cluster.last_heartbeat_at = now
        if periodic and machine.probe_unanswered:
            # It left a probe unanswered: a heartbeat does not show that it receives anything.
            self.reachability.heard_after_silence(machine, now)
        machine.probe_unanswered = machine.lease_expired = False
        machine.address = heartbeat.address
        if heartbeat.incarnation > machine.incarnation:
            self._begin_incarnation(machine, heartbeat, now, source)
        saw_current_token = (
            machine.token_seen < heartbeat.fencing_token == self.cluster.fencing_token
        )
        if not periodic or saw_current_token:
            self.reachability.confirm_reachable(machine, now)
        else:
            self.reachability.heartbeat_received(machine, now)
        machine.sequence = SequenceNumber(heartbeat.sequence)
        if heartbeat.fencing_token > machine.token_seen:
            machine.token_seen = FencingToken(heartbeat.fencing_token)
            machine.inflight_starts.token_seen(machine.token_seen)
        if heartbeat.preemption_notice_s is not None:
            self._apply_preemption_notice(machine, heartbeat.preemption_notice_s, now)

    def _begin_incarnation(
        self, machine: Machine, heartbeat: Heartbeat, now: Instant, source: HeartbeatSource
    ) -> None:
        """Begin a new session: the worker has killed and forgotten every task of the last one."""
        periodic = source is HeartbeatSource.PERIODIC
        if machine.incarnation:
            self.cluster.release_all(machine, "session over")
        if periodic:
            self.reachability.heartbeat_seen(machine, now)
        if periodic and machine.incarnation:
            self.reachability.incarnation_began(machine, now)
        else:
            machine.incarnation_since = now
        machine.answered_sequence = SequenceNumber(heartbeat.sequence if periodic else -1)
        machine.incarnation = Incarnation(heartbeat.incarnation)
        # Without a response the worker's lease runs from the beginning of its session, which was
        # before this heartbeat, from either source. When the previous session was last answered
        # says nothing about this one.
        machine.answered_at = now

    def _apply_preemption_notice(self, machine: Machine, notice_s: float, now: Instant) -> None:
        """The cloud deletes the spot machine in `notice_s` seconds."""
        if machine.preempted_at is None:
            log.info("spot_preemption_notice", machine=machine.id, in_s=notice_s)
            self._checkpoint_before_preemption(machine, notice_s)
        machine.preempted_at = Instant(now + notice_s)

    def _checkpoint_before_preemption(self, machine: Machine, notice_s: float) -> None:
        """Stop the tasks that can save a checkpoint in time: they resume on other machines.

        Other tasks keep running, as they may complete before the machine is deleted.
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
        """Whether the first reconciliation of the machine in this term may begin; marks it if so.

        Otherwise a command or probe that must come first has been added to the outbox.
        """
        if heartbeat.fencing_token < self.cluster.term_token:
            # A delayed command of a former leader could still be executed there: a command
            # without tasks raises the worker's token first.
            self.cluster.outbox.append(
                DirectCommand(
                    machine.id,
                    machine.address,
                    self.cluster.fencing_token,
                    machine.incarnation,
                    [],
                )
            )
            return False
        if source is HeartbeatSource.PERIODIC and not machine.confirmed:
            # It may be a duplicate from a machine deleted so long ago that the leader no longer
            # knows of it: it counts once it has responded, or with its next heartbeat.
            machine.confirmed = True
            self.cluster.outbox.append(Probe(machine.id, machine.address))
            return False
        machine.reconciled = True
        # Until it saw this leader's token, a former leader may have answered it.
        machine.answered_at = now
        self.cluster.pass_wanted = True
        return True
