"""The semantics of a worker, without I/O, for the local cluster and the tests.

Source: PROTOCOL, "Workers -> controller nodes" and the sections after it: sessions, fencing tokens,
the worker's lease, images, gangs, checkpoints.

Times are seconds of the caller's monotonic clock, or seconds of duration where the name says so;
this module never reads a clock itself.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

from umberward.core.settings import WorkerTimes
from umberward.core.types import NO_RESOURCES, Resources
from umberward.protocol import wire
from umberward.protocol.wire import Heartbeat, JobSpec, MachineType, TaskCommand, TaskStatus

# Causes of a task's end, as they stand in heartbeats.
STOPPED = "stopped"  # by a command
NO_SUCH_TASK = "no_such"  # the job is unknown, or has fewer tasks
ALREADY_RUNNING = "in_use"  # another attempt of the task runs on this machine
NO_ROOM = "no_room"  # its resources are not free on this machine
GANG_INCOMPLETE = "alone"  # the other tasks of its gang did not arrive in time
GANG_PEER_LOST = "mates_gone"  # another task of its gang has ended early


class Fate(NamedTuple):
    """How a task that starts to run on a machine will end, if nothing stops it."""

    seconds: float  # from the start of its run, without time saved by a checkpoint
    cause: str = wire.DONE


class GangAttempt(NamedTuple):
    """What the tasks of a gang have in common; a new attempt is made of all tasks together."""

    job_id: str
    attempt: int


class Task:
    """One attempt of a task on one machine."""

    def __init__(self, name: str, attempt: int, spec: JobSpec | None, now: float) -> None:
        """The attempt starts with the fetch of its image. `spec`: None if the job is unknown."""
        self.name = name
        self.attempt = attempt
        self.spec = spec
        self.phase = wire.PULLING_IMAGE
        self.phase_since = now
        self.cause: str | None = None  # of its end
        self.stored: bool | None = None  # whether a checkpoint was stored before its end
        self.remaining_s = 0.0  # of the image fetch, the run, or the checkpoint
        self.ends_as = wire.DONE  # the cause of its end, if nothing stops it
        self.peer_loss_noticed_at = math.inf  # when it notices that its gang is incomplete

    @property
    def over(self) -> bool:
        """Whether the attempt has ended."""
        return self.phase == wire.EXITED

    @property
    def required_spec(self) -> JobSpec:
        """The job's description, of a task that was started and so has one."""
        assert self.spec is not None
        return self.spec

    @property
    def resources(self) -> Resources:
        """What the task occupies while it is alive."""
        spec = self.required_spec
        return Resources(spec.cores, spec.accelerators, spec.mem_gb)

    @property
    def is_gang_member(self) -> bool:
        """Whether the task runs only together with the others of its job."""
        return self.spec is not None and self.spec.kind == wire.GANG

    @property
    def gang_attempt(self) -> GangAttempt:
        """The gang that the attempt is part of, if its job is one."""
        return GangAttempt(self.name.rpartition("/")[0], self.attempt)

    def exit(self, cause: str, *, stored: bool | None = None) -> None:
        """End the attempt; `stored`: whether a checkpoint was stored, None if there was none."""
        self.phase, self.cause, self.stored = wire.EXITED, cause, stored


class Mates:
    """The tasks of gangs on all machines, and the progress that tasks have saved.

    One instance is shared by all workers: the tasks of a gang find each other by their attempt, and
    a checkpoint can be read from every machine.
    """

    def __init__(self) -> None:
        """No task has started yet."""
        self.gangs: dict[GangAttempt, dict[str, Task]] = {}
        self.saved: dict[str, float] = {}  # task -> seconds of its run that need no repeating
        self.done: set[str] = set()  # tasks that have completed on any machine

    def join(self, task: Task) -> None:
        """Add a task to its gang."""
        self.gangs.setdefault(task.gang_attempt, {})[task.name] = task

    def leave(self, task: Task, now: float, notice_s: float) -> None:
        """Remove a task that has ended early; those that run notice it after `notice_s`."""
        peers = self.gangs.get(task.gang_attempt, {})
        peers.pop(task.name, None)
        if task.phase == wire.RUNNING:
            for peer in peers.values():
                if peer.phase == wire.RUNNING:
                    peer.peer_loss_noticed_at = min(peer.peer_loss_noticed_at, now + notice_s)

    def complete(self, task: Task) -> bool:
        """Whether all tasks of the gang have fetched their image, so that they can run."""
        peers = self.gangs.get(task.gang_attempt, {})
        return len(peers) == task.required_spec.task_count and all(
            peer.phase in (wire.WAITING_FOR_GANG, wire.RUNNING) for peer in peers.values()
        )


def _ignore_exit(_task_id: str, _cause: str) -> None:
    """The default of `WorkerCore.exited`."""


class WorkerCore:
    """The worker of one machine."""

    def __init__(  # noqa: PLR0913 - the machine and its surroundings, as the tests pass them
        self,
        host: str,
        address: str,
        sku: MachineType,
        zone: str,
        spot: bool,  # noqa: FBT001 - a property of the machine
        times: WorkerTimes,
        mates: Mates,
        describe: Callable[[str], JobSpec | None],
        fate: Callable[[str, JobSpec], Fate],
        now: float,
        speed: float = 1.0,
    ) -> None:
        """A worker without tasks, at the start of its first session.

        `host`: the machine's id; `address`: where the worker takes direct commands;
        `describe`: fetches a job's description by its id, as users have uploaded it;
        `fate`: decides how a task ends; `speed`: how much faster images and checkpoints are.
        """
        self.host = host
        self.address = address
        self.machine_type = sku
        self.zone = zone
        self.spot = spot
        self.times = times
        self.mates = mates
        self.describe = describe
        self.fate = fate
        self.speed = speed
        self.now = now
        self.incarnation = 1  # the incarnation: the number of the session
        self.sequence = 0  # the sequence number of the session's last heartbeat
        self.fencing_token = 0  # the highest fencing token seen
        self.lease_renewed_at = (
            now  # when the last answered heartbeat was sent, or the session began
        )
        self.tasks: dict[tuple[str, int], Task] = {}  # by name and attempt
        self.running_tasks: dict[str, Task] = {}  # those of them that are not over, by name
        self.reserved = NO_RESOURCES
        self.images: set[str] = set()
        self.notice_at: float | None = None  # when the cloud takes the machine back
        self.changes = 0  # counts what a heartbeat is due for
        self.exited: Callable[[str, str], None] = _ignore_exit  # called with each task and cause

    # ---- time ----------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Advance all tasks to `now`, or end the session if the worker's lease has expired."""
        elapsed_s, self.now = now - self.now, now
        if now - self.lease_renewed_at > self.times.lease_s:
            self.end_session()
            return
        for task in list(self.running_tasks.values()):
            if not task.over:
                self._advance(task, elapsed_s)

    def end_session(self) -> None:
        """End all tasks without a report and begin the next session."""
        for task in self.running_tasks.values():
            self.mates.leave(task, self.now, self.times.gang_peer_s)
        self.tasks.clear()
        self.running_tasks.clear()
        self.reserved = NO_RESOURCES
        self.incarnation += 1
        self.sequence = 0
        self.lease_renewed_at = self.now
        self.changes += 1

    def _advance(self, task: Task, elapsed_s: float) -> None:
        if task.phase == wire.PULLING_IMAGE:
            self._pull_image(task, elapsed_s)
        elif task.phase == wire.WAITING_FOR_GANG:
            if self.mates.complete(task):
                self._enter_phase(task, wire.RUNNING)
            elif self.now - task.phase_since > self.times.gang_wait_s:
                self._exit(task, GANG_INCOMPLETE)
        elif task.phase == wire.RUNNING:
            self._run(task, elapsed_s)
        elif task.phase == wire.CHECKPOINTING:
            task.remaining_s -= elapsed_s
            if task.remaining_s <= 0:
                self._exit(task, STOPPED, stored=True)

    def _pull_image(self, task: Task, elapsed_s: float) -> None:
        image = task.required_spec.image
        task.remaining_s -= elapsed_s
        if task.remaining_s <= 0 or image in self.images:
            self.images.add(image)
            next_phase = wire.WAITING_FOR_GANG if task.is_gang_member else wire.RUNNING
            self._enter_phase(task, next_phase)

    def _run(self, task: Task, elapsed_s: float) -> None:
        if self.now >= task.peer_loss_noticed_at:
            self._exit(task, GANG_PEER_LOST)
            return
        task.remaining_s -= elapsed_s
        if task.remaining_s > 0:
            return
        if task.ends_as == wire.DONE:
            self.mates.done.add(task.name)
        self._exit(task, task.ends_as)

    def _enter_phase(self, task: Task, phase: str) -> None:
        task.phase, task.phase_since = phase, self.now
        self.changes += 1
        if phase == wire.RUNNING:
            self._begin_run(task)

    def _begin_run(self, task: Task) -> None:
        """Decide how the run ends; it ends at once if the task's work is already done."""
        if task.name in self.mates.done:
            self._exit(task, wire.DONE)
            return
        fate = self.fate(task.name, task.required_spec)
        task.remaining_s = fate.seconds - self.mates.saved.get(task.name, 0.0)
        task.ends_as = fate.cause
        if task.remaining_s <= 0:
            self._run(task, 0.0)

    def _exit(
        self,
        task: Task,
        cause: str,
        stored: bool | None = None,  # noqa: FBT001 - overriders pass it by position
    ) -> None:
        """End a task; subclasses extend this to record the end."""
        if cause != wire.DONE:
            self.mates.leave(task, self.now, self.times.gang_peer_s)
        task.exit(cause, stored=stored)
        del self.running_tasks[task.name]
        self.reserved = self.reserved.minus(task.resources)
        self.changes += 1
        self.exited(task.name, cause)

    def finish(self, name: str, cause: str) -> None:
        """End a running task whose duration could not be known beforehand; others stay."""
        task = self.running_tasks.get(name)
        if task is not None and task.phase == wire.RUNNING:
            task.remaining_s, task.ends_as = 0.0, cause
            self._run(task, 0.0)

    # ---- commands ------------------------------------------------------------------------

    def answered(
        self,
        sent_at: float,
        incarnation: int,
        fencing_token: int,
        commands: Sequence[TaskCommand],
    ) -> bool:
        """Take in the response to the heartbeat that was sent at `sent_at`.

        Renews the worker's lease, counted from when the heartbeat was sent, and executes the
        commands. False: dropped, as its token is too low or its session is over.
        """
        if not self._accepts(fencing_token, incarnation):
            return False
        self._observe_token(fencing_token)
        self.lease_renewed_at = sent_at
        self.execute(commands)
        return True

    def direct(self, fencing_token: int, incarnation: int, commands: Sequence[TaskCommand]) -> bool:
        """Execute commands sent outside of a heartbeat; False: refused, nothing was executed."""
        if not self._accepts(fencing_token, incarnation):
            return False
        self._observe_token(fencing_token)
        self.execute(commands)
        return True

    def _accepts(self, fencing_token: int, incarnation: int) -> bool:
        return fencing_token >= self.fencing_token and incarnation == self.incarnation

    def _observe_token(self, fencing_token: int) -> None:
        """Note the token; a new one is due to be confirmed by a heartbeat."""
        if fencing_token > self.fencing_token:
            self.fencing_token = fencing_token
            self.changes += 1

    def execute(self, commands: Sequence[TaskCommand]) -> None:
        """Execute commands in their order; those for unknown or ended attempts have no effect."""
        for command in commands:
            self._execute(command)

    def _execute(self, command: TaskCommand) -> None:
        attempt_key = (command.task_id, command.attempt)
        task = self.tasks.get(attempt_key)
        if command.verb == wire.START:
            if task is None:
                self.start(command.task_id, command.attempt)
        elif task is None:
            return
        elif command.verb == wire.FORGET and task.over:
            del self.tasks[attempt_key]
        elif command.verb == wire.KILL and not task.over:
            self._kill(task, command.grace_s or 0.0)

    def start(self, name: str, attempt: int) -> None:
        """Start an attempt of a task; one that cannot start ends at once with the cause."""
        job_id, _, number = name.rpartition("/")
        spec = self.describe(job_id)
        task = self.tasks[(name, attempt)] = Task(name, attempt, spec, self.now)
        self.changes += 1
        if spec is None or not number.isdecimal() or int(number) >= spec.task_count:
            task.exit(NO_SUCH_TASK)
        elif name in self.running_tasks:
            task.exit(ALREADY_RUNNING)
        elif not task.resources.fits(self._free_resources()):
            task.exit(NO_ROOM)
        else:
            self._admit(task, spec)

    def _admit(self, task: Task, spec: JobSpec) -> None:
        self.running_tasks[task.name] = task
        self.reserved = self.reserved.plus(task.resources)
        task.remaining_s = spec.image_gb / self.machine_type.image_pull_gb_per_s / self.speed
        if task.is_gang_member:
            self.mates.join(task)
        if task.remaining_s <= 0:
            self._advance(task, 0.0)

    def _free_resources(self) -> Resources:
        return self.machine_type.capacity.minus(self.reserved)

    def _kill(self, task: Task, grace_s: float) -> None:
        """Stop a task, after a checkpoint if it takes any and `grace_s` is long enough for one."""
        spec = task.required_spec
        can_checkpoint = spec.checkpoint_interval_s > 0 and grace_s >= spec.checkpoint_cost_s
        if task.phase == wire.RUNNING and can_checkpoint:
            run_s = self.fate(task.name, spec).seconds
            self.mates.saved[task.name] = max(0.0, run_s - task.remaining_s)
            task.remaining_s = spec.checkpoint_cost_s / self.speed
            task.phase = wire.CHECKPOINTING
            self.changes += 1
        elif task.phase != wire.CHECKPOINTING or grace_s <= 0:
            self._exit(task, STOPPED)

    def report(self) -> Heartbeat:
        """The next heartbeat, with the state of all attempts that were not forgotten."""
        self.sequence += 1
        return Heartbeat(
            self.host,
            self.address,
            self.machine_type.name,
            self.zone,
            self.incarnation,
            self.sequence,
            self.fencing_token,
            [
                TaskStatus(task.name, task.attempt, task.phase, task.cause, task.stored)
                for task in self.tasks.values()
            ],
            self.spot,
            None if self.notice_at is None else max(0.0, self.notice_at - self.now),
        )
