"""Direct commands that wait for their turn: one at a time is under way to each machine. No I/O.

What waits is decided upon again when its turn comes: the worker's session may have changed since, a
task may have been given up, and the leader may no longer start anything.
"""

from __future__ import annotations

from collections.abc import Callable

from umberward.core.types import MachineId
from umberward.protocol.wire import START, TaskCommand
from umberward.scheduling.cluster_state import ClusterState, DirectCommand
from umberward.scheduling.machines import Machine


class CommandQueue:
    def __init__(self, cluster: ClusterState, may_start: Callable[[], bool]) -> None:
        """`may_start`: whether a start may be sent at this moment."""
        self.cluster = cluster
        self.may_start = may_start
        self._inflight: set[MachineId] = set()
        self._waiting: dict[MachineId, list[DirectCommand]] = {}

    def submit(self, command: DirectCommand) -> DirectCommand | None:
        """The command as it is to be sent now; None: it has to wait, or nothing of it holds."""
        if command.machine in self._inflight:
            self._waiting.setdefault(command.machine, []).append(command)
            return None
        return self._to_send(command)

    def completed(self, machine: MachineId) -> DirectCommand | None:
        """What is to be sent next, as the command under way was answered or given up."""
        self._inflight.discard(machine)
        waiting = self._waiting.pop(machine, [])
        while waiting:
            command = waiting.pop(0)
            # What waited for the same session goes together.
            while waiting and waiting[0].incarnation == command.incarnation:
                command.commands.extend(waiting.pop(0).commands)
            to_send = self._to_send(command)
            if to_send is not None:
                if waiting:
                    self._waiting[machine] = waiting
                return to_send
        return None

    def _to_send(self, command: DirectCommand) -> DirectCommand | None:
        """What still holds of the command, which counts as under way from now on."""
        machine = self.cluster.machines.get(command.machine)
        if machine is None:
            return None
        orders = []
        for order in command.commands:
            if self._still_valid(order, command, machine):
                orders.append(order)
            elif machine.incarnation == command.incarnation and order.started_attempt is not None:
                machine.inflight_starts.answered(*order.started_attempt)
        if (command.commands and not orders) or machine.incarnation != command.incarnation:
            return None
        self._inflight.add(command.machine)
        return command._replace(
            commands=orders, fencing_token=self.cluster.fencing_token, address=machine.address
        )

    def _still_valid(self, order: TaskCommand, command: DirectCommand, machine: Machine) -> bool:
        if order.verb != START:
            return True
        if order.started_attempt is None:
            return False
        task, attempt = order.started_attempt
        placement = machine.placements.get(task)
        if placement is None or placement.attempt != attempt:
            return False
        if (
            placement.stop_grace is not None
            or machine.incarnation != command.incarnation
            or not self.may_start()
        ):
            return False
        job = self.cluster.jobs.get(placement.task.job)
        return self.cluster.invariants.may_start(job, placement, self.cluster.unplaced_tasks)
