"""Placements: attempts of tasks on machines, as tracked by the leader. No I/O."""

from __future__ import annotations

from typing import Protocol

from umberward.core.types import (
    Attempt,
    Instant,
    MachineId,
    Resources,
    TaskId,
    TeamName,
    ZoneName,
)
from umberward.protocol.wire import JobSpec
from umberward.scheduling.preemption_key import PreemptionKey


class PlacedJob(Protocol):
    """The attributes of a job that a placement copies."""

    need: Resources
    team: TeamName
    spec: JobSpec
    needs_prompt_start: bool

    @property
    def preemption_key(self) -> PreemptionKey:
        """The key that determines preemption of and by the job's tasks."""


class Placement:
    """One attempt of a task on a machine, from the decision until it has certainly ended.

    All times are the leader's monotonic time.
    """

    __slots__ = (  # noqa: RUF023 - the order of the assignments below
        "task",
        "attempt",
        "machine",
        "zone",
        "need",
        "team",
        "preemption_key",
        "placed_at",
        "sent",
        "seen_on_worker",
        "start_sent_sequence",
        "phase",
        "running_since",
        "checkpoint_interval_s",
        "stop_grace_s",
        "stop_requested_at",
        "intent_stored",
        "adopted_from_previous_leader",
        "image_pulled",
        "needs_prompt_start",
        "is_trial",
    )

    def __init__(
        self,
        task: TaskId,
        attempt: Attempt,
        machine: MachineId,
        zone: ZoneName,
        job: PlacedJob,
        placed_at: Instant,
    ) -> None:
        """Create a placement decided at `placed_at` without a stored intent or a sent start."""
        self.task = task
        self.attempt = attempt
        self.machine = machine
        self.zone = zone
        self.need = job.need
        self.team = job.team
        self.preemption_key = job.preemption_key
        self.placed_at = placed_at
        self.intent_stored = False  # its placement intent is committed, so the start may be sent
        self.adopted_from_previous_leader = False  # started by a previous leader
        self.image_pulled = False  # its worker had to pull the image
        self.sent = False  # its start command is queued for sending
        self.seen_on_worker = False  # listed in a heartbeat of its worker
        # Sequence number of the last heartbeat whose response carried the start.
        self.start_sent_sequence = -1
        self.phase = ""  # as last reported by its worker; empty: not reported yet
        self.running_since: Instant | None = None
        self.checkpoint_interval_s = job.spec.checkpoint_interval_s
        # Seconds to save a checkpoint; None: the task is not being stopped.
        self.stop_grace_s: float | None = None
        self.stop_requested_at = placed_at  # valid only if the task is being stopped
        self.needs_prompt_start = job.needs_prompt_start
        self.is_trial = False  # placed on a quarantined machine, as its trial

    @property
    def priority(self) -> int:
        """The priority of its job; smaller values are more urgent."""
        return self.preemption_key.priority
