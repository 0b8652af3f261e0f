"""Placements: attempts of tasks on machines, as the leader keeps account of them. No I/O."""

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
    """What a placement takes over from its job."""

    need: Resources
    team: TeamName
    spec: JobSpec
    needs_prompt_start: bool

    @property
    def preemption_key(self) -> PreemptionKey:
        """Which other work may preempt the job's tasks."""


class Placement:
    """One attempt of one task on one machine, from the decision until the attempt surely ended.

    All times are those of the leader's steady clock.
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
        "stopped_at",
        "intent_stored",
        "adopted_from_predecessor",
        "image_fetched",
        "needs_prompt_start",
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
        """A placement that was decided at `placed_at` and is neither stored nor sent yet."""
        self.task = task
        self.attempt = attempt
        self.machine = machine
        self.zone = zone
        self.need = job.need
        self.team = job.team
        self.preemption_key = job.preemption_key
        self.placed_at = placed_at
        self.intent_stored = False  # its placement intent is committed: it may be sent
        self.adopted_from_predecessor = False  # started by an earlier leader
        self.image_fetched = False  # its worker had to fetch the image
        self.sent = False
        self.seen_on_worker = False  # listed in a heartbeat of its worker
        self.start_sent_sequence = -1  # the heartbeat that was last answered with the start
        self.phase = ""  # as its worker reported it last; empty: not reported yet
        self.running_since: Instant | None = None
        self.checkpoint_interval_s = job.spec.checkpoint_interval_s
        self.stop_grace_s: float | None = None  # seconds to save in; None: it is not being stopped
        self.stopped_at = placed_at
        self.needs_prompt_start = job.needs_prompt_start

    @property
    def priority(self) -> int:
        """The priority of its job, the smaller the more urgent."""
        return self.preemption_key.priority
