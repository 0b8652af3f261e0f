"""Messages between workers and controllers (PROTOCOL, "Workers -> controller nodes").

The table of wire names is in `umberward.protocol.wire`, the limits on sizes are in
`umberward.protocol.message_sizes`.
"""

from __future__ import annotations

import msgspec

from umberward.core.types import Attempt, TaskId, parse_task_id
from umberward.protocol.constants import CommandVerb
from umberward.protocol.job_spec import Name

_START = CommandVerb.START.value  # a plain string, which compares faster


class TaskStatus(msgspec.Struct, rename={"task_id": "shard", "checkpointed": "stored"}):
    """An attempt of a task in a heartbeat (PROTOCOL, "POST /hello").

    `cause` is the reason for its exit; `checkpointed` is whether its progress was saved when it was
    stopped.
    """

    task_id: str
    attempt: int = msgspec.field(name="try")
    phase: str
    cause: str | None = None
    checkpointed: bool | None = None


class TaskCommand(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    rename={"task_id": "shard", "grace_s": "drain_s"},
):
    """A command for one attempt of a task (PROTOCOL, "Workers -> controller nodes").

    `grace_s` is set for a kill: the time in seconds for the task to save a checkpoint.
    """

    verb: str
    task_id: str
    attempt: int = msgspec.field(name="try")
    grace_s: float | None = None

    @property
    def started_attempt(self) -> tuple[TaskId, Attempt] | None:
        """The attempt that the command starts; None for other commands."""
        task = parse_task_id(self.task_id) if self.verb == _START else None
        return None if task is None else (task, Attempt(self.attempt))


class Heartbeat(
    msgspec.Struct,
    rename={
        "machine_id": "host",
        "machine_type": "flavor",
        "zone": "yard",
        "incarnation": "tenure",
        "sequence": "serial",
        "fencing_token": "epoch",
        "tasks": "shards",
        "spot": "reclaimable",
        "preemption_notice_s": "reclaim_in_s",
    },
):
    """A heartbeat of a worker (PROTOCOL, "POST /hello").

    `incarnation` increases whenever the worker's lease expires, and `sequence` with each heartbeat:
    the larger pair is the newer one. `fencing_token` is the highest one that the worker has seen.
    `preemption_notice_s` is the time in seconds until the cloud reclaims the machine, or None.
    """

    machine_id: Name
    address: Name
    machine_type: Name
    zone: Name
    incarnation: int
    sequence: int
    fencing_token: int
    tasks: list[TaskStatus]
    spot: bool = False
    preemption_notice_s: float | None = None


class HeartbeatHeader(
    msgspec.Struct,
    rename={
        "machine_id": "host",
        "incarnation": "tenure",
        "sequence": "serial",
        "fencing_token": "epoch",
        "tasks": "shards",
        "preemption_notice_s": "reclaim_in_s",
    },
):
    """A heartbeat whose task list, by far its largest part, is not decoded yet."""

    machine_id: Name
    incarnation: int
    sequence: int
    fencing_token: int
    tasks: msgspec.Raw
    preemption_notice_s: float | None = None
