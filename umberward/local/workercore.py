"""A worker's semantics, without I/O: sessions, tokens, leases, images, gangs, checkpoints.

By PROTOCOL, "Workers -> controller nodes" and what follows it. One `Mates` is shared by all
workers, as the tasks of a gang find each other by their attempt.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

from umberward.core.settings import WorkerTimes
from umberward.core.types import NO_RESOURCES, Resources
from umberward.protocol import wire
from umberward.protocol.wire import Heartbeat, JobSpec, MachineType, TaskCommand, TaskStatus


class Fate(NamedTuple):
    """How a task that starts to run here will end, if nothing stops it."""

    seconds: float
    cause: str = wire.DONE


class Task:
    def __init__(self, name: str, attempt: int, spec: JobSpec | None, now: float) -> None:
        self.name = name
        self.attempt = attempt
        self.spec = spec
        self.phase = wire.PULLING_IMAGE
        self.since = now
        self.cause: str | None = None
        self.stored: bool | None = None
        self.left = 0.0  # of the image fetch, the run, or the saving
        self.ends_as = wire.DONE
        self.leaves_at = math.inf  # when a gang's task notices that another is gone

    @property
    def over(self) -> bool:
        return self.phase == wire.EXITED

    def exit(self, cause: str, stored: bool | None = None) -> None:
        self.phase, self.cause, self.stored = wire.EXITED, cause, stored


class Mates:
    """The tasks of gangs, wherever they are, and the progress that tasks have saved."""

    def __init__(self) -> None:
        self.gangs: dict[tuple[str, int], dict[str, Task]] = {}
        self.saved: dict[str, float] = {}  # task -> seconds of its run that need no repeating
        self.done: set[str] = set()

    def join(self, task: Task) -> None:
        self.gangs.setdefault(_gang(task), {})[task.name] = task

    def leave(self, task: Task, now: float, notice_s: float) -> None:
        """The task is gone otherwise than by its end: the others notice in a while."""
        mates = self.gangs.get(_gang(task), {})
        mates.pop(task.name, None)
        if task.phase == wire.RUNNING:
            for mate in mates.values():
                if mate.phase == wire.RUNNING:
                    mate.leaves_at = min(mate.leaves_at, now + notice_s)

    def complete(self, task: Task) -> bool:
        assert task.spec is not None
        mates = self.gangs.get(_gang(task), {})
        return len(mates) == task.spec.task_count and all(
            mate.phase in (wire.WAITING_FOR_GANG, wire.RUNNING) for mate in mates.values()
        )


def _gang(task: Task) -> tuple[str, int]:
    return task.name.rpartition("/")[0], task.attempt


class WorkerCore:
    def __init__(
        self,
        host: str,
        address: str,
        sku: MachineType,
        zone: str,
        spot: bool,
        times: WorkerTimes,
        mates: Mates,
        describe: Callable[[str], JobSpec | None],
        fate: Callable[[str, JobSpec], Fate],
        now: float,
        speed: float = 1.0,
    ) -> None:
        """`describe` fetches a job's description, as users have uploaded it."""
        self.host = host
        self.address = address
        self.sku = sku
        self.zone = zone
        self.spot = spot
        self.times = times
        self.mates = mates
        self.describe = describe
        self.fate = fate
        self.speed = speed
        self.now = now
        self.tenure = 1
        self.serial = 0
        self.epoch = 0
        self.lease_from = now  # when the last answered report was sent, or the session began
        self.tasks: dict[tuple[str, int], Task] = {}
        self.alive: dict[str, Task] = {}  # those of them that are not over
        self.booked = NO_RESOURCES
        self.images: set[str] = set()
        self.notice_at: float | None = None
        self.changes = 0  # what a report is due for
        self.exited: Callable[[str, str], None] = lambda name, cause: None  # is told of each exit

    # ---- time ----------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        step, self.now = now - self.now, now
        if now - self.lease_from > self.times.lease_s:
            self.end_session()
            return
        for task in list(self.alive.values()):
            if not task.over:
                self._advance(task, step)

    def end_session(self) -> None:
        for task in self.alive.values():
            self.mates.leave(task, self.now, self.times.gang_peer_s)
        self.tasks.clear()
        self.alive.clear()
        self.booked = NO_RESOURCES
        self.tenure += 1
        self.serial = 0
        self.lease_from = self.now
        self.changes += 1

    def _advance(self, task: Task, step: float) -> None:
        assert task.spec is not None
        if task.phase == wire.PULLING_IMAGE:
            task.left -= step
            if task.left <= 0 or task.spec.image in self.images:
                self.images.add(task.spec.image)
                self._phase(task, wire.WAITING_FOR_GANG if _is_gang(task) else wire.RUNNING)
        elif task.phase == wire.WAITING_FOR_GANG:
            if self.mates.complete(task):
                self._phase(task, wire.RUNNING)
            elif self.now - task.since > self.times.gang_wait_s:
                self._exit(task, "alone")
        elif task.phase == wire.RUNNING:
            self._run(task, step)
        elif task.phase == wire.CHECKPOINTING:
            task.left -= step
            if task.left <= 0:
                self._exit(task, "stopped", True)

    def _run(self, task: Task, step: float) -> None:
        if self.now >= task.leaves_at:
            self._exit(task, "mates_gone")
            return
        task.left -= step
        if task.left > 0:
            return
        if task.ends_as == wire.DONE:
            self.mates.done.add(task.name)
        self._exit(task, task.ends_as)

    def _phase(self, task: Task, phase: str) -> None:
        assert task.spec is not None
        task.phase, task.since = phase, self.now
        self.changes += 1
        if phase == wire.RUNNING:
            if task.name in self.mates.done:
                self._exit(task, wire.DONE)
                return
            fate = self.fate(task.name, task.spec)
            task.left = fate.seconds - self.mates.saved.get(task.name, 0.0)
            task.ends_as = fate.cause
            if task.left <= 0:
                self._run(task, 0.0)

    def _exit(self, task: Task, cause: str, stored: bool | None = None) -> None:
        if cause != wire.DONE:
            self.mates.leave(task, self.now, self.times.gang_peer_s)
        task.exit(cause, stored)
        del self.alive[task.name]
        self.booked = self.booked.minus(_need(task))
        self.changes += 1
        self.exited(task.name, cause)

    def finish(self, name: str, cause: str) -> None:
        """A task whose end nobody could foretell has ended."""
        task = self.alive.get(name)
        if task is not None and task.phase == wire.RUNNING:
            task.left, task.ends_as = 0.0, cause
            self._run(task, 0.0)

    # ---- commands ------------------------------------------------------------------------

    def answered(self, sent: float, tenure: int, epoch: int, orders: Sequence[TaskCommand]) -> bool:
        """The response to a report that was sent then; False: dropped, as its token is too low or
        its session is over."""
        if epoch < self.epoch or tenure != self.tenure:
            return False
        self._token(epoch)
        self.lease_from = sent
        self.execute(orders)
        return True

    def direct(self, epoch: int, tenure: int, orders: Sequence[TaskCommand]) -> bool:
        """False: nothing was executed."""
        if epoch < self.epoch or tenure != self.tenure:
            return False
        self._token(epoch)
        self.execute(orders)
        return True

    def _token(self, epoch: int) -> None:
        if epoch > self.epoch:
            self.epoch = epoch
            self.changes += 1

    def execute(self, orders: Sequence[TaskCommand]) -> None:
        for order in orders:
            name, attempt = order.task_id, order.attempt
            task = self.tasks.get((name, attempt))
            if order.verb == wire.START:
                if task is None:
                    self.start(name, attempt)
            elif task is None:
                continue
            elif order.verb == wire.FORGET and task.over:
                del self.tasks[(name, attempt)]
            elif order.verb == wire.KILL and not task.over:
                self._kill(task, order.grace_s or 0.0)

    def start(self, name: str, attempt: int) -> None:
        job, _, number = name.rpartition("/")
        spec = self.describe(job)
        task = self.tasks[(name, attempt)] = Task(name, attempt, spec, self.now)
        self.changes += 1
        if spec is None or not number.isdecimal() or int(number) >= spec.task_count:
            task.exit("no_such")
        elif name in self.alive:
            task.exit("in_use")
        elif not _need(task).fits(self._room()):
            task.exit("no_room")
        else:
            self.alive[name] = task
            self.booked = self.booked.plus(_need(task))
            task.left = spec.image_gb / self.sku.image_pull_gb_per_s / self.speed
            if _is_gang(task):
                self.mates.join(task)
            if task.left <= 0:
                self._advance(task, 0.0)

    def _room(self) -> Resources:
        sku = self.sku
        return sku.capacity.minus(self.booked)

    def _kill(self, task: Task, drain_s: float) -> None:
        assert task.spec is not None
        spec = task.spec
        saves = spec.checkpoint_interval_s > 0 and drain_s >= spec.checkpoint_cost_s
        if task.phase == wire.RUNNING and saves:
            whole = self.fate(task.name, spec).seconds
            self.mates.saved[task.name] = max(0.0, whole - task.left)
            task.left = spec.checkpoint_cost_s / self.speed
            task.phase = wire.CHECKPOINTING
            self.changes += 1
        elif task.phase != wire.CHECKPOINTING or drain_s <= 0:
            self._exit(task, "stopped")

    def report(self) -> Heartbeat:
        self.serial += 1
        return Heartbeat(
            self.host,
            self.address,
            self.sku.name,
            self.zone,
            self.tenure,
            self.serial,
            self.epoch,
            [
                TaskStatus(task.name, task.attempt, task.phase, task.cause, task.stored)
                for task in self.tasks.values()
            ],
            self.spot,
            None if self.notice_at is None else max(0.0, self.notice_at - self.now),
        )


def _is_gang(task: Task) -> bool:
    return task.spec is not None and task.spec.kind == wire.GANG


def _need(task: Task) -> Resources:
    assert task.spec is not None
    return Resources(task.spec.cores, task.spec.accelerators, task.spec.mem_gb)
