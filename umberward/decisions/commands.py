"""Direct commands that wait for their turn: one at a time is under way to each machine. No I/O.

What waits is decided upon again when its turn comes: the worker's session may have changed since, a
task may have been given up, and the leader may no longer start anything.
"""

from __future__ import annotations

from collections.abc import Callable

from umberward.core.types import MachineId
from umberward.decisions.cluster import Cluster, Command
from umberward.decisions.fleet import Machine
from umberward.protocol.wire import START, Order


class CommandQueue:
    def __init__(self, cluster: Cluster, may_start: Callable[[], bool]) -> None:
        """`may_start`: whether a start may be sent at this moment."""
        self.cluster = cluster
        self.may_start = may_start
        self._under_way: set[MachineId] = set()
        self._waiting: dict[MachineId, list[Command]] = {}

    def submit(self, command: Command) -> Command | None:
        """The command as it is to be sent now; None: it has to wait, or nothing of it holds."""
        if command.machine in self._under_way:
            self._waiting.setdefault(command.machine, []).append(command)
            return None
        return self._to_send(command)

    def ended(self, machine: MachineId) -> Command | None:
        """What is to be sent next, as the command under way was answered or given up."""
        self._under_way.discard(machine)
        waiting = self._waiting.pop(machine, [])
        while waiting:
            command = waiting.pop(0)
            # What waited for the same session goes together.
            while waiting and waiting[0].tenure == command.tenure:
                command.orders.extend(waiting.pop(0).orders)
            to_send = self._to_send(command)
            if to_send is not None:
                if waiting:
                    self._waiting[machine] = waiting
                return to_send
        return None

    def _to_send(self, command: Command) -> Command | None:
        """What still holds of the command, which counts as under way from now on."""
        machine = self.cluster.machines.get(command.machine)
        if machine is None:
            return None
        orders = []
        for order in command.orders:
            if self._holds(order, command, machine):
                orders.append(order)
            elif machine.tenure == command.tenure and order.started is not None:
                machine.direct_starts.answered(*order.started)
        if (command.orders and not orders) or machine.tenure != command.tenure:
            return None
        self._under_way.add(command.machine)
        return command._replace(orders=orders, epoch=self.cluster.epoch, address=machine.address)

    def _holds(self, order: Order, command: Command, machine: Machine) -> bool:
        if order.verb != START:
            return True
        if order.started is None:
            return False
        task, attempt = order.started
        placement = machine.held.get(task)
        if placement is None or placement.attempt != attempt:
            return False
        if placement.stop is not None or machine.tenure != command.tenure or not self.may_start():
            return False
        job = self.cluster.jobs.get(placement.task.job)
        return self.cluster.invariants.may_start(job, placement, self.cluster.strays)
