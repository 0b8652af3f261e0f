"""What follows from workers' answers to direct commands and questions, or from none. No I/O."""

from __future__ import annotations

from umberward.core.log import logger
from umberward.core.types import Instant, parse_task_id
from umberward.protocol.wire import Heartbeat
from umberward.scheduling.cluster_state import ClusterState, DirectCommand, Probe
from umberward.scheduling.heartbeats import HeartbeatHandler, HeartbeatSource
from umberward.scheduling.machines import Machine
from umberward.scheduling.reachability import Reachability

log = logger(__name__)


class CommandResults:
    def __init__(
        self, cluster: ClusterState, hearing: Reachability, reports: HeartbeatHandler
    ) -> None:
        self.cluster = cluster
        self.reachability = hearing
        self.heartbeats = reports

    def command_completed(
        self, command: DirectCommand, report: Heartbeat | None, unknown: bool, now: Instant
    ) -> None:
        """A direct command was answered, or was not (`unknown`: it may still be executed)."""
        machine = self.cluster.machines.get(command.machine)
        if machine is None:
            return
        if command.incarnation == machine.incarnation:
            self._note_starts(machine, command, unknown)
        if report is None:
            self.reachability.suspect(machine, now)
            return
        if report.machine_id != command.machine:
            self._address_reused(machine, command, report, now)
        self.heartbeats.apply(report, now, HeartbeatSource.RESPONSE)

    @staticmethod
    def _note_starts(machine: Machine, command: DirectCommand, unknown: bool) -> None:
        """What has become of the starts in a direct command of the session of now."""
        for order in command.commands:
            if order.started_attempt is None:
                continue
            task, attempt = order.started_attempt
            if unknown:
                machine.inflight_starts.timed_out(
                    task, attempt, command.fencing_token, machine.token_seen
                )
            else:
                machine.inflight_starts.answered(task, attempt)

    def _address_reused(
        self, machine: Machine, command: DirectCommand, report: Heartbeat, now: Instant
    ) -> None:
        """Another machine has its address, and has carried out what was meant for it."""
        log.warning("address_taken", machine=machine.id, by=report.machine_id)
        listed = {(shard.task_id, shard.attempt) for shard in report.tasks}
        for made in command.commands:
            task = parse_task_id(made.task_id)
            placement = machine.placements.get(task) if task is not None else None
            if placement is not None and (made.task_id, placement.attempt) in listed:
                # It is there, and nowhere else: its report makes it ours again.
                self.cluster.release(machine, placement, requeue=False)
        self.reachability.suspect(machine, now, sure=True)

    def probe_completed(self, probe: Probe, report: Heartbeat | None, now: Instant) -> None:
        machine = self.cluster.machines.get(probe.machine)
        if machine is None:
            return
        machine.probing = False
        if report is None:
            self.reachability.probe_unanswered(machine)
        if report is not None and report.machine_id != machine.id:
            self.reachability.suspect(machine, now, sure=True)  # another machine has its address
            self.heartbeats.apply(report, now, HeartbeatSource.RESPONSE)
        elif report is not None:
            if (report.incarnation, report.sequence) <= (machine.incarnation, machine.sequence):
                machine.last_heard_at = self.cluster.last_heartbeat_at = now
                self.reachability.confirm_reachable(machine, now)
            self.heartbeats.apply(report, now, HeartbeatSource.RESPONSE)
        elif now - machine.last_heard_at > self.cluster.heartbeat_timeout():
            if not machine.probe_unanswered:
                log.info(
                    "machine_probe_unanswered",
                    machine=machine.id,
                    seconds=round(now - machine.last_heard_at, 1),
                )
            machine.probe_unanswered = True
            machine.unchanged_heartbeat = None
            machine.availability_changed()
            self.cluster.unanswered_probes.add(machine.id)
