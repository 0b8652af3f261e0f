"""Handling of responses to direct commands and probes, and of missing responses. No I/O.

A direct command or a probe is a request of the leader to a worker; its response is the worker's
current heartbeat (PROTOCOL, "Controller nodes -> workers").
"""

from __future__ import annotations

from umberward.core.grouped_log import GroupedLog
from umberward.core.log import logger
from umberward.core.types import Instant, MachineId, parse_task_id
from umberward.protocol.wire import Heartbeat
from umberward.scheduling.cluster_state import ClusterState, CommandMessage, Probe
from umberward.scheduling.machines import Machine
from umberward.scheduling.sessions.heartbeats import HeartbeatHandler, HeartbeatSource
from umberward.scheduling.sessions.reachability import Reachability

log = logger(__name__)
grouped_log = GroupedLog(log)


class CommandResults:
    """Applies the results of the leader's requests to workers."""

    def __init__(
        self, cluster: ClusterState, reachability: Reachability, heartbeats: HeartbeatHandler
    ) -> None:
        """Pass responses to `heartbeats`, and report missing ones to `reachability`."""
        self.cluster = cluster
        self.reachability = reachability
        self.heartbeats = heartbeats

    def command_completed(
        self,
        command: CommandMessage,
        heartbeat: Heartbeat | None,
        outcome_unknown: bool,  # noqa: FBT001 - the scheduler passes the result on by position
        now: Instant,
    ) -> None:
        """Apply the result of a direct command.

        `heartbeat` is the response (None: there was none). `outcome_unknown` means that the worker
        may have received the command without answering, or may still receive it.
        """
        machine = self.cluster.machines.get(command.machine)
        if machine is None:
            return
        certainly_not_received = heartbeat is None and not outcome_unknown
        if heartbeat is not None and heartbeat.machine_id != command.machine:
            certainly_not_received = True
            self._record_starts_of_other_machine(command, heartbeat)
        if command.incarnation == machine.incarnation:
            self._record_start_outcomes(machine, command, received=not certainly_not_received)
        if heartbeat is None:
            self.reachability.suspect_unreachable(machine, now)
            return
        if heartbeat.machine_id != command.machine:
            self._address_reused(machine, command, heartbeat, now)
        self.heartbeats.apply(heartbeat, now, HeartbeatSource.RESPONSE)

    def probe_completed(self, probe: Probe, heartbeat: Heartbeat | None, now: Instant) -> None:
        """Apply the result of a probe; `heartbeat` is the response (None: there was none)."""
        machine = self.cluster.machines.get(probe.machine)
        if machine is None:
            return
        machine.probe_inflight = False
        if heartbeat is None:
            self._handle_unanswered_probe(machine, now)
            return
        if heartbeat.machine_id != machine.id:
            # Another machine now uses this one's address.
            self.reachability.suspect_unreachable(machine, now, mark_unreachable=True)
        elif (heartbeat.incarnation, heartbeat.sequence) <= (machine.incarnation, machine.sequence):
            # An old heartbeat is not applied below, but the machine has answered.
            machine.last_message_at = self.cluster.last_heartbeat_at = now
            self.reachability.confirm_reachable(machine, now)
        self.heartbeats.apply(heartbeat, now, HeartbeatSource.RESPONSE)

    def _handle_unanswered_probe(self, machine: Machine, now: Instant) -> None:
        """Count the probe, and mark the machine as silent if no message arrived in time either."""
        self.reachability.count_unanswered_probe(machine)
        silent_s = now - machine.last_message_at
        if silent_s <= self.cluster.heartbeat_timeout_s():
            return
        if not machine.silent:
            grouped_log.info(
                "machine_probe_unanswered", machine=machine.id, seconds=round(silent_s, 1)
            )
        machine.silent = True
        machine.settled_task_list = None
        machine.mark_availability_changed()
        self.cluster.silent_machines.add(machine.id)

    @staticmethod
    def _record_start_outcomes(
        machine: Machine, command: CommandMessage, *, received: bool
    ) -> None:
        """Record the outcome of the starts in a direct command of the current session.

        `received`: the worker may have received it. Even if it has answered, a copy may arrive.
        """
        for task_command in command.commands:
            if task_command.started_attempt is None:
                continue
            task_id, attempt = task_command.started_attempt
            if received:
                machine.inflight_starts.completed(
                    task_id, attempt, command.fencing_token, machine.token_seen
                )
            else:
                machine.inflight_starts.not_sent(task_id, attempt)

    def _record_starts_of_other_machine(
        self, command: CommandMessage, heartbeat: Heartbeat
    ) -> None:
        """Record the starts in a command that another machine has answered."""
        machine = self.cluster.machines.get(MachineId(heartbeat.machine_id))
        if machine is None or machine.incarnation != command.incarnation:
            return
        for task_command in command.commands:
            if task_command.started_attempt is not None:
                machine.inflight_starts.sent(*task_command.started_attempt)
        self._record_start_outcomes(machine, command, received=True)

    def _address_reused(
        self, machine: Machine, command: CommandMessage, heartbeat: Heartbeat, now: Instant
    ) -> None:
        """Handle a response of another machine that uses this one's address.

        That machine has executed the command that was meant for this one.
        """
        log.warning("machine_address_reused", machine=machine.id, by=heartbeat.machine_id)
        listed_attempts = {(status.task_id, status.attempt) for status in heartbeat.tasks}
        for task_command in command.commands:
            task_id = parse_task_id(task_command.task_id)
            placement = machine.placements.get(task_id) if task_id is not None else None
            if (
                placement is not None
                and (task_command.task_id, placement.attempt) in listed_attempts
            ):
                # The task runs only there, and is adopted through that machine's heartbeat.
                self.cluster.release(machine, placement, requeue=False)
        self.reachability.suspect_unreachable(machine, now, mark_unreachable=True)
