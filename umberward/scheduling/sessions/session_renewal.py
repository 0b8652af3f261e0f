"""The decision whether a response renews a worker's session, and the stops it must carry. No I/O.

A response that renews a session lets every task on the machine go on for another lease. A stop in a
message of its own may be lost while that response arrives, and each new leader gives a first
response, so the extensions add up without end. Therefore the response itself carries the stop of
each listed attempt that may not go on, or it is not given: the worker accepts both or neither.

A stop is safe at any time, under any token, before reconciliation and for an outdated list: it
concludes nothing from absence, and has no effect on an attempt that is gone. Forgets, starts and
releases are not; only `reconciliation` decides on these.
"""

from __future__ import annotations

from umberward.core.grouped_log import GroupedLog
from umberward.core.log import logger
from umberward.core.types import Instant, MachineId
from umberward.protocol.message_sizes import commands_that_fit
from umberward.protocol.wire import KILL, Heartbeat, TaskCommand
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.invariants import running_without_live_job
from umberward.scheduling.machines import Machine

log = logger(__name__)
grouped_log = GroupedLog(log)


class SessionRenewal:
    """Judges each response to a heartbeat before it may renew the worker's session."""

    def __init__(self, cluster: ClusterState) -> None:
        """Judge for the machines and jobs of `cluster`."""
        self.cluster = cluster
        # How the heartbeats of this term were answered. Plain numbers, as each heartbeat counts.
        self.unchanged = 0  # nothing has changed since the last reconciliation
        self.reconciled = 0  # with the commands of a reconciliation
        self.stops_only = 0  # not reconciled: at most with stops
        self.refused = 0  # not answered, so that the session is not renewed
        # Machines that last listed attempts to be stopped, and when they first did so.
        self.awaiting_stops: dict[MachineId, Instant] = {}

    def complete(
        self, heartbeat: Heartbeat, commands: list[TaskCommand], now: Instant, *, reconciled: bool
    ) -> list[TaskCommand] | None:
        """Return the commands of the response, or None if it must not be given.

        `commands` come from the reconciliation of this heartbeat, if it was `reconciled`: then they
        stop each listed attempt that has no placement or whose placement is to be stopped.
        """
        if not self.cluster.loaded:
            self._refuse(heartbeat, "the jobs have not been read")
            return None
        machine = self.cluster.machines.get(MachineId(heartbeat.machine_id))
        stops = (
            [command for command in commands if command.verb == KILL]
            if reconciled
            else self._due_stops(machine, heartbeat)
        )
        self._track(heartbeat, stops, now)
        completed = commands
        if stops:
            carried = set(commands)
            completed = [*(stop for stop in stops if stop not in carried), *commands]
        reason = self._reason_to_refuse(machine, stops, completed)
        if reason is not None:
            self._refuse(heartbeat, reason)
            return None
        if reconciled:
            self.reconciled += 1
        else:
            self.stops_only += 1
        return completed

    def _refuse(self, heartbeat: Heartbeat, reason: str) -> None:
        grouped_log.info("renewal_refused", machine=heartbeat.machine_id, reason=reason)
        self.refused += 1

    def summary(self, now: Instant) -> dict[str, int | float]:
        """Return the counts by kind, and the machines that list tasks to be stopped, as log fields.

        `oldest_s` is for how long the longest of these has done so.
        """
        machines = self.cluster.machines
        for machine_id in [each for each in self.awaiting_stops if each not in machines]:
            del self.awaiting_stops[machine_id]
        oldest = min(self.awaiting_stops.values(), default=now)
        return {
            "unchanged": self.unchanged,
            "reconciled": self.reconciled,
            "stops_only": self.stops_only,
            "refused": self.refused,
            "awaiting_stops": len(self.awaiting_stops),
            "oldest_s": round(now - oldest, 1),
        }

    def _due_stops(self, machine: Machine | None, heartbeat: Heartbeat) -> list[TaskCommand]:
        """Return a stop of each attempt that may be on the machine and must not go on."""
        stops = [
            TaskCommand(KILL, status.task_id, status.attempt, 0.0)
            for status in running_without_live_job(heartbeat.tasks, self.cluster.jobs)
        ]
        if machine is None or not machine.has_stopping_tasks:
            return stops
        # A newer heartbeat, overtaken by this one's arrival, may have listed more.
        listed = {(stop.task_id, stop.attempt) for stop in stops}
        stops += [
            TaskCommand(KILL, str(placement.task), placement.attempt, 0.0)
            for placement in machine.placements.values()
            if placement.seen_on_worker
            and placement.task.job not in self.cluster.jobs
            and (str(placement.task), placement.attempt) not in listed
        ]
        return stops

    def _reason_to_refuse(
        self, machine: Machine | None, stops: list[TaskCommand], commands: list[TaskCommand]
    ) -> str | None:
        """Why a task that must end could go on after the worker has accepted the response."""
        if stops and commands_that_fit(commands) < len(commands):
            return "the stops exceed the size of a response"
        if machine is None:
            return None
        if self._lists_other_unplaced_tasks(machine, stops):
            return "a newer heartbeat lists tasks of ended jobs"
        if self._start_of_ended_job_may_arrive(machine):
            return "a start of an ended job may still arrive"
        return None

    def _lists_other_unplaced_tasks(self, machine: Machine, stops: list[TaskCommand]) -> bool:
        """Whether the newest list has unplaced tasks of ended jobs that are not among `stops`."""
        if not machine.tasks_without_placement:
            return False
        stopped = {stop.task_id for stop in stops}
        return any(
            task.job not in self.cluster.jobs and str(task) not in stopped
            for task in machine.tasks_without_placement
        )

    def _start_of_ended_job_may_arrive(self, machine: Machine) -> bool:
        """Whether a start of an ended job is not void under the token of the response."""
        jobs = self.cluster.jobs
        return any(
            self.cluster.is_unwanted_start(machine, task, attempt)
            and not machine.inflight_starts.is_void_under(task, attempt, machine.fencing_token)
            for task, attempt in machine.inflight_starts
            if task.job not in jobs
        )

    def _track(self, heartbeat: Heartbeat, stops: list[TaskCommand], now: Instant) -> None:
        """Record since when the machine has listed attempts that were stopped by the answer."""
        machine_id = MachineId(heartbeat.machine_id)
        if stops:
            self.awaiting_stops.setdefault(machine_id, now)
        else:
            self.awaiting_stops.pop(machine_id, None)
