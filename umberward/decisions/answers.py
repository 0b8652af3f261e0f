"""What follows from workers' answers to direct commands and questions, or from none. No I/O."""

from __future__ import annotations

from umberward.core.log import logger
from umberward.core.types import Instant, parse_task_id
from umberward.decisions.cluster import Cluster, Command, Probe
from umberward.decisions.fleet import Machine
from umberward.decisions.hearing import Hearing
from umberward.decisions.reports import Reports
from umberward.protocol.wire import Report

log = logger(__name__)


class Answers:
    def __init__(self, cluster: Cluster, hearing: Hearing, reports: Reports) -> None:
        self.cluster = cluster
        self.hearing = hearing
        self.reports = reports

    def commanded(
        self, command: Command, report: Report | None, unknown: bool, now: Instant
    ) -> None:
        """A direct command was answered, or was not (`unknown`: it may still be executed)."""
        machine = self.cluster.machines.get(command.machine)
        if machine is None:
            return
        if command.tenure == machine.tenure:
            self._note_starts(machine, command, unknown)
        if report is None:
            self.hearing.doubt(machine, now)
            return
        if report.host != command.machine:
            self._took_its_place(machine, command, report, now)
        self.reports.report(report, now, hello=False)

    @staticmethod
    def _note_starts(machine: Machine, command: Command, unknown: bool) -> None:
        """What has become of the starts in a direct command of the session of now."""
        for order in command.orders:
            if order.started is None:
                continue
            task, attempt = order.started
            if unknown:
                machine.direct_starts.given_up(task, attempt, command.epoch, machine.epoch)
            else:
                machine.direct_starts.answered(task, attempt)

    def _took_its_place(
        self, machine: Machine, command: Command, report: Report, now: Instant
    ) -> None:
        """Another machine has its address, and has carried out what was meant for it."""
        log.warning("address_taken", machine=machine.id, by=report.host)
        listed = {(shard.shard, shard.attempt) for shard in report.shards}
        for made in command.orders:
            task = parse_task_id(made.shard)
            placement = machine.held.get(task) if task is not None else None
            if placement is not None and (made.shard, placement.attempt) in listed:
                # It is there, and nowhere else: its report makes it ours again.
                self.cluster.release(machine, placement, requeue=False)
        self.hearing.doubt(machine, now, sure=True)

    def probed(self, probe: Probe, report: Report | None, now: Instant) -> None:
        machine = self.cluster.machines.get(probe.machine)
        if machine is None:
            return
        machine.probing = False
        if report is None:
            self.hearing.not_answered(machine, now)
        if report is not None and report.host != machine.id:
            self.hearing.doubt(machine, now, sure=True)  # another machine has its address
            self.reports.report(report, now, hello=False)
        elif report is not None:
            if (report.tenure, report.serial) <= (machine.tenure, machine.serial):
                machine.heard = self.cluster.heard = now
                self.hearing.proved(machine, now)
            self.reports.report(report, now, hello=False)
        elif now - machine.heard > self.cluster.silence():
            if not machine.silent:
                log.info(
                    "machine_silent", machine=machine.id, seconds=round(now - machine.heard, 1)
                )
            machine.silent = True
            machine.calm = None
            machine.touched()
            self.cluster.hushed.add(machine.id)
