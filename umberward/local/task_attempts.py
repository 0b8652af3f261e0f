"""The attempts of tasks on simulated workers, without I/O.

Times are seconds of the caller's monotonic clock; this module reads none.
"""

from __future__ import annotations

import math
from typing import NamedTuple, Protocol

from umberward.core.types import Resources
from umberward.protocol import wire
from umberward.protocol.wire import JobSpec


class GangAttempt(NamedTuple):
    """Identifies an attempt of a gang; each new attempt starts all tasks of the gang again."""

    job_id: str
    attempt: int


class AttemptRunner(Protocol):
    """The worker that runs an attempt."""

    def _exit(self, task: TaskAttempt, cause: str, *, stored: bool | None = None) -> None:
        """End the attempt; `stored`: whether a checkpoint was stored, None if there was none."""


class TaskOutcome(NamedTuple):
    """How a task that starts to run will end unless it is stopped."""

    seconds: float  # run time, not reduced by what a checkpoint has saved
    cause: str = wire.DONE


class TaskAttempt:
    """One attempt of a task on one machine."""

    worker: AttemptRunner  # that runs it, once it was admitted

    def __init__(self, name: str, attempt: int, spec: JobSpec | None, now: float) -> None:
        """Start with the fetch of the image. `spec`: None if the job is unknown."""
        self.name = name
        self.attempt = attempt
        self.spec = spec
        self.phase = wire.PULLING_IMAGE
        self.phase_since = now
        self.cause: str | None = None  # why it ended
        self.stored: bool | None = None  # whether a checkpoint was stored before it ended
        self.remaining_s = 0.0  # until the image fetch, the run or the checkpoint is complete
        self.run_s = 0.0  # how long it has run in this attempt
        self.advanced_at = now  # when its machine last executed it
        self.planned_cause = wire.DONE  # why it will end unless it is stopped
        self.peer_loss_noticed_at = math.inf  # when it notices that a task of its gang has ended

    @property
    def has_ended(self) -> bool:
        """Whether the attempt has ended."""
        return self.phase == wire.EXITED

    @property
    def required_spec(self) -> JobSpec:
        """The job's description; only for a task whose job is known."""
        assert self.spec is not None
        return self.spec

    @property
    def resources(self) -> Resources:
        """The resources that the task reserves until it ends."""
        spec = self.required_spec
        return Resources(spec.cores, spec.accelerators, spec.mem_gb)

    @property
    def is_gang_member(self) -> bool:
        """Whether the task belongs to a gang, whose tasks only run together."""
        return self.spec is not None and self.spec.kind == wire.GANG

    @property
    def gang_attempt(self) -> GangAttempt:
        """The attempt of the gang that this attempt belongs to, if its job is a gang."""
        return GangAttempt(self.job_id, self.attempt)

    @property
    def job_id(self) -> str:
        """The job that the task belongs to."""
        return self.name.rpartition("/")[0]

    @property
    def checkpoint_id(self) -> str:
        """What its checkpoints are stored under: the tasks of a gang have one in common."""
        return self.job_id if self.is_gang_member else self.name

    def exit(self, cause: str, *, stored: bool | None = None) -> None:
        """End the attempt; `stored`: whether a checkpoint was stored, None if there was none."""
        self.phase, self.cause, self.stored = wire.EXITED, cause, stored
