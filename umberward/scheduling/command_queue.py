"""Queue of direct commands, with at most one in flight to each machine. No I/O.

A queued command is validated again before it is sent: meanwhile the worker's session may have
changed, its tasks may have been stopped, or the leader may have lost the right to start tasks. What
exceeds the size of one message stays in the queue: stops are sent first, then starts by age.
"""

from __future__ import annotations

from collections.abc import Callable

from umberward.core.types import MachineId
from umberward.protocol.message_sizes import commands_that_fit
from umberward.protocol.wire import START, TaskCommand
from umberward.scheduling.cluster_state import ClusterState, CommandMessage
from umberward.scheduling.machines import Machine


class CommandQueue:
    """Returns the direct commands to send, and queues those for machines with one in flight."""

    def __init__(self, cluster: ClusterState, leader_may_start: Callable[[], bool]) -> None:
        """`leader_may_start` returns whether the leader may send a start at this moment."""
        self.cluster = cluster
        self.leader_may_start = leader_may_start
        self._inflight: set[MachineId] = set()
        self._waiting: dict[MachineId, list[CommandMessage]] = {}

    def add_and_take_next(self, command: CommandMessage) -> CommandMessage | None:
        """Accept a command, and return what of it is to be sent now.

        Return None if the command has to wait, or if no part of it is valid any more.
        """
        if command.machine in self._inflight:
            self._waiting.setdefault(command.machine, []).append(command)
            return None
        return self._prepare(command)

    def finish_and_take_next(self, machine_id: MachineId) -> CommandMessage | None:
        """Record that the command in flight was answered or given up; return the next to send."""
        self._inflight.discard(machine_id)
        waiting = self._waiting.pop(machine_id, [])
        while waiting:
            command = waiting.pop(0)
            # Queued commands for the same session are sent together.
            while waiting and waiting[0].incarnation == command.incarnation:
                command.commands.extend(waiting.pop(0).commands)
            prepared = self._prepare(command)
            if prepared is not None:
                if waiting:
                    self._waiting.setdefault(machine_id, []).extend(waiting)
                return prepared
        return None

    def _prepare(self, command: CommandMessage) -> CommandMessage | None:
        """Return the valid part of a command, counted as in flight; None if there is none."""
        machine = self.cluster.machines.get(command.machine)
        if machine is None:
            return None
        valid_commands = []
        for task_command in command.commands:
            if self._still_valid(task_command, command, machine):
                valid_commands.append(task_command)
            else:
                self._drop(task_command, command, machine)
        if command.commands and not valid_commands:
            return None
        if machine.incarnation != command.incarnation:
            return None
        self._inflight.add(command.machine)
        return command._replace(
            commands=self._take_message(command, valid_commands),
            fencing_token=machine.fencing_token,
            address=machine.address,
        )

    def _take_message(
        self, command: CommandMessage, valid_commands: list[TaskCommand]
    ) -> list[TaskCommand]:
        """Return the commands of the next message, and queue those that exceed its size."""
        fitting = commands_that_fit(valid_commands)
        if fitting == len(valid_commands):
            return valid_commands
        # A start of a task that is being stopped is not valid, so the order of a task's commands
        # does not matter.
        valid_commands.sort(key=lambda task_command: task_command.verb == START)
        fitting = commands_that_fit(valid_commands)
        rest = command._replace(commands=valid_commands[fitting:])
        self._waiting[command.machine] = [rest]
        return valid_commands[:fitting]

    @staticmethod
    def _drop(task_command: TaskCommand, command: CommandMessage, machine: Machine) -> None:
        """Record that a start for the current session is certain not to be sent."""
        started = task_command.started_attempt
        if started is not None and machine.incarnation == command.incarnation:
            machine.inflight_starts.not_sent(*started)

    def _still_valid(
        self, task_command: TaskCommand, command: CommandMessage, machine: Machine
    ) -> bool:
        """Whether the command for one task may be sent; only starts can become invalid."""
        if task_command.verb != START:
            return True
        if task_command.started_attempt is None:
            return False
        task_id, attempt = task_command.started_attempt
        placement = machine.placements.get(task_id)
        if placement is None or placement.attempt != attempt or placement.stop_grace_s is not None:
            return False
        if machine.incarnation != command.incarnation or not self.leader_may_start():
            return False
        job = self.cluster.jobs.get(placement.task.job)
        return self.cluster.invariants.may_start(
            job, placement, self.cluster.tasks_without_placement
        )
