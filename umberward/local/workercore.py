"""A model of a worker, without I/O, for the local cluster and the tests.

Source: PROTOCOL, "Workers -> controller nodes" and the sections after it: sessions, fencing tokens,
the worker's lease, images, gangs, checkpoints.

Times are seconds of the caller's monotonic clock, or durations in seconds; this module never reads
a clock itself.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from umberward.core.settings import WorkerTimes
from umberward.core.types import NO_RESOURCES, Resources
from umberward.local.shared_tasks import SharedTaskState
from umberward.local.task_attempts import TaskAttempt, TaskOutcome
from umberward.protocol import wire
from umberward.protocol.wire import Heartbeat, JobSpec, MachineType, TaskCommand, TaskStatus

# Causes of the end of an attempt, with their values in heartbeats.
STOPPED = "stopped"  # by a command
NO_SUCH_TASK = "no_such"  # the job is unknown or has fewer tasks
ALREADY_RUNNING = "in_use"  # another attempt of the task runs on this machine
NO_ROOM = "no_room"  # the machine has too few free resources
GANG_INCOMPLETE = "alone"  # the other tasks of its gang were not ready in time
GANG_PEER_LOST = "mates_gone"  # another task of its gang ended early


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
        shared_tasks: SharedTaskState,
        find_spec: Callable[[str], JobSpec | None],
        plan_outcome: Callable[[str, JobSpec], TaskOutcome],
        now: float,
        speed: float = 1.0,
    ) -> None:
        """Start the first session, without any tasks.

        `host`: the machine's id; `address`: where the worker accepts direct commands;
        `find_spec`: finds a job's description by its id, as users have uploaded it;
        `plan_outcome`: decides how a task ends;
        `speed`: speed-up factor of image fetches and checkpoints.
        """
        self.host = host
        self.address = address
        self.machine_type = sku
        self.zone = zone
        self.spot = spot
        self.times = times
        self.shared_tasks = shared_tasks
        self.find_spec = find_spec
        self.plan_outcome = plan_outcome
        self.speed = speed
        self.now = now
        self.incarnation = 1  # number of the current session
        self.sequence = 0  # number of the session's last heartbeat
        self.fencing_token = 0  # the highest fencing token seen
        # When the last answered heartbeat was sent, or the session started.
        self.lease_renewed_at = now
        self.tasks: dict[tuple[str, int], TaskAttempt] = {}  # by name and attempt, until forgotten
        self.running_tasks: dict[str, TaskAttempt] = {}  # the tasks that have not ended, by name
        self.reserved = NO_RESOURCES
        self.images: set[str] = set()
        self.notice_at: float | None = None  # when the cloud reclaims the machine, once announced
        self.changes = 0  # number of changes so far; after each, a heartbeat is due
        self.exited: Callable[[str, str], None] = _ignore_exit  # called with the task and the cause

    # ---- ticks ---------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Advance all tasks to `now`, or end the session if the worker's lease has expired."""
        elapsed_s, self.now = now - self.now, now
        if now - self.lease_renewed_at > self.times.lease_s:
            self.end_session()
            return
        for task in list(self.running_tasks.values()):
            if not task.has_ended:
                self._advance(task, elapsed_s)

    def end_session(self) -> None:
        """End all tasks without reporting them, and start the next session."""
        for task in self.running_tasks.values():
            if task.is_gang_member:
                self.shared_tasks.leave(task, self.now, self.times.gang_peer_s)
        self.tasks.clear()
        self.running_tasks.clear()
        self.reserved = NO_RESOURCES
        self.incarnation += 1
        self.sequence = 0
        self.lease_renewed_at = self.now
        self.changes += 1

    def _advance(self, task: TaskAttempt, elapsed_s: float) -> None:
        task.advanced_at = self.now
        if task.is_gang_member and task.gang_attempt not in self.shared_tasks.gangs:
            # It ran twice, and the gang has ended without this one.
            self._exit(task, wire.DONE if task.name in self.shared_tasks.done else GANG_PEER_LOST)
            return
        if task.phase == wire.PULLING_IMAGE:
            self._pull_image(task, elapsed_s)
        elif task.phase == wire.WAITING_FOR_GANG:
            gang = self.shared_tasks.gang_of(task)
            if gang.is_complete(task.required_spec.task_count):
                self._enter_phase(task, wire.RUNNING)
            elif self.now - task.phase_since > self.times.gang_wait_s:
                self._exit(task, GANG_INCOMPLETE)
        elif task.phase == wire.RUNNING:
            self._run(task, elapsed_s)
        elif task.phase == wire.CHECKPOINTING:
            task.remaining_s -= elapsed_s
            if task.remaining_s <= 0:
                self._finish_checkpoint(task)

    def _pull_image(self, task: TaskAttempt, elapsed_s: float) -> None:
        image = task.required_spec.image
        task.remaining_s -= elapsed_s
        if task.remaining_s <= 0 or image in self.images:
            self.images.add(image)
            if task.name in self.shared_tasks.done:
                self._exit(task, wire.DONE)  # without waiting for the rest of its gang
                return
            next_phase = wire.WAITING_FOR_GANG if task.is_gang_member else wire.RUNNING
            self._enter_phase(task, next_phase)

    def _run(self, task: TaskAttempt, elapsed_s: float) -> None:
        if self.now >= task.peer_loss_noticed_at:
            self._exit(task, GANG_PEER_LOST)
            return
        if task.is_gang_member:
            self._run_in_gang(task, elapsed_s)
            return
        task.remaining_s -= elapsed_s
        task.run_s += elapsed_s
        if task.remaining_s > 0:
            return
        if task.planned_cause == wire.DONE:
            self.shared_tasks.done.add(task.name)
        self._exit(task, task.planned_cause)

    def _run_in_gang(self, task: TaskAttempt, elapsed_s: float) -> None:
        gang = self.shared_tasks.gang_of(task)
        notice_s = self.times.gang_peer_s
        if gang.has_hanging_member(self.now - elapsed_s, notice_s):
            self._exit(task, GANG_PEER_LOST)
            return
        if gang.is_stopping:
            if self.now - gang.first_kill_at > notice_s:
                self._exit(task, GANG_PEER_LOST)  # it was not told in time
            return
        task.remaining_s -= elapsed_s
        task.run_s += elapsed_s
        if task.remaining_s <= 0 and task.planned_cause != wire.DONE:
            self._exit(task, task.planned_cause)
        elif gang.is_done(task.required_spec.task_count):
            self.shared_tasks.complete(gang)

    def _finish_checkpoint(self, task: TaskAttempt) -> None:
        """End a task that has saved; one of a gang waits until all others were told to stop."""
        if not task.is_gang_member:
            self._exit(task, STOPPED, stored=True)
            return
        gang = self.shared_tasks.gang_of(task)
        if gang.all_told():
            self.shared_tasks.save_progress(task, gang.stopped_progress_s)
            self._exit(task, STOPPED, stored=True)
        elif gang.failed or self.now - gang.first_kill_at > self.times.gang_peer_s:
            self._exit(task, STOPPED, stored=False)

    def _enter_phase(self, task: TaskAttempt, phase: str) -> None:
        task.phase, task.phase_since = phase, self.now
        self.changes += 1
        if phase == wire.RUNNING:
            self._begin_run(task)

    def _begin_run(self, task: TaskAttempt) -> None:
        """Start the run and decide how it will end."""
        outcome = self.plan_outcome(task.name, task.required_spec)
        task.remaining_s = outcome.seconds - self.shared_tasks.saved_run_s.get(
            task.checkpoint_id, 0.0
        )
        task.planned_cause = outcome.cause
        if task.remaining_s <= 0:
            self._run(task, 0.0)

    def _exit(
        self,
        task: TaskAttempt,
        cause: str,
        stored: bool | None = None,  # noqa: FBT001 - overriders pass it by position
    ) -> None:
        """End a task; subclasses override this to record it."""
        if cause != wire.DONE and task.is_gang_member:
            task.stored = stored
            self.shared_tasks.leave(task, self.now, self.times.gang_peer_s)
        task.exit(cause, stored=stored)
        del self.running_tasks[task.name]
        self.reserved = self.reserved.minus(task.resources)
        self.changes += 1
        self.exited(task.name, cause)

    def finish(self, name: str, cause: str) -> None:
        """End a task whose run time was not known in advance; no effect unless it is running."""
        task = self.running_tasks.get(name)
        if task is not None and task.phase == wire.RUNNING:
            task.remaining_s, task.planned_cause = 0.0, cause
            self._run(task, 0.0)

    # ---- commands ------------------------------------------------------------------------

    def handle_heartbeat_response(
        self,
        sent_at: float,
        incarnation: int,
        fencing_token: int,
        commands: Sequence[TaskCommand],
    ) -> bool:
        """Handle the response to the heartbeat that was sent at `sent_at`.

        Renews the worker's lease, counted from `sent_at`, and executes the commands. Returns False
        if the response was dropped: its token is too low, or its session has ended.
        """
        if not self._accepts(fencing_token, incarnation):
            return False
        self._observe_token(fencing_token)
        self.lease_renewed_at = sent_at
        self.execute(commands)
        return True

    def handle_direct_commands(
        self, fencing_token: int, incarnation: int, commands: Sequence[TaskCommand]
    ) -> bool:
        """Execute commands sent outside of a heartbeat response; False if they were rejected."""
        if not self._accepts(fencing_token, incarnation):
            return False
        self._observe_token(fencing_token)
        self.execute(commands)
        return True

    def _accepts(self, fencing_token: int, incarnation: int) -> bool:
        return fencing_token >= self.fencing_token and incarnation == self.incarnation

    def _observe_token(self, fencing_token: int) -> None:
        """Adopt a higher token; a heartbeat is then due to confirm it."""
        if fencing_token > self.fencing_token:
            self.fencing_token = fencing_token
            self.changes += 1

    def execute(self, commands: Sequence[TaskCommand]) -> None:
        """Execute commands in order; those for unknown or ended attempts have no effect."""
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
        elif command.verb == wire.FORGET and task.has_ended:
            del self.tasks[attempt_key]
        elif command.verb == wire.KILL and not task.has_ended:
            self._kill(task, command.grace_s or 0.0)

    def start(self, name: str, attempt: int) -> None:
        """Start an attempt of a task; if that is not possible, it ends at once with a cause."""
        job_id, _, number = name.rpartition("/")
        spec = self.find_spec(job_id)
        task = self.tasks[(name, attempt)] = TaskAttempt(name, attempt, spec, self.now)
        self.changes += 1
        if spec is None or not number.isdecimal() or int(number) >= spec.task_count:
            task.exit(NO_SUCH_TASK)
        elif name in self.running_tasks:
            task.exit(ALREADY_RUNNING)
        elif not task.resources.fits(self._free_resources()):
            task.exit(NO_ROOM)
        else:
            self._admit(task, spec)

    def _admit(self, task: TaskAttempt, spec: JobSpec) -> None:
        task.worker = self
        self.running_tasks[task.name] = task
        self.reserved = self.reserved.plus(task.resources)
        task.remaining_s = spec.image_gb / self.machine_type.image_pull_gb_per_s / self.speed
        if task.is_gang_member:
            self.shared_tasks.join(task)
        if task.remaining_s <= 0:
            self._advance(task, 0.0)

    def _free_resources(self) -> Resources:
        return self.machine_type.capacity.minus(self.reserved)

    def _kill(self, task: TaskAttempt, grace_s: float) -> None:
        """Stop a task, after a checkpoint if its job takes any and one fits into `grace_s`."""
        spec = task.required_spec
        can_checkpoint = spec.checkpoint_interval_s > 0 and grace_s >= spec.checkpoint_cost_s
        if task.phase == wire.RUNNING and can_checkpoint:
            self._begin_checkpoint(task)
            task.remaining_s = spec.checkpoint_cost_s / self.speed
            task.phase = wire.CHECKPOINTING
            self.changes += 1
        elif task.phase != wire.CHECKPOINTING or grace_s <= 0:
            self._exit(task, STOPPED)

    def _begin_checkpoint(self, task: TaskAttempt) -> None:
        if task.is_gang_member:
            gang = self.shared_tasks.gang_of(task)
            gang.stop(self.now)
        else:
            saved_s = self.shared_tasks.saved_run_s.get(task.checkpoint_id, 0.0)
            self.shared_tasks.save_progress(task, saved_s + task.run_s)

    def report(self) -> Heartbeat:
        """Make the next heartbeat, with the state of all attempts that were not forgotten."""
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
