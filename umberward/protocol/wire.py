"""Typed structures of the messages on the wire, and their codecs.

The interfaces to users, workers, the cloud and the state service use names that differ from those
in the code (PROTOCOL). Most of them are mapped to the fields of the structures in this package;
bodies that are built or read as plain dictionaries use them directly:

| wire name | field |
| --- | --- |
| `uid` | `job_id` (JobSpec), `machine_id` (CloudMachine) |
| `jobclass`, `owner` | `job_class`, `team` |
| `shape`, `rank` | `kind`, `priority` |
| `shards` | `task_count` (JobSpec), `tasks` (heartbeats) |
| `shard`, `try` | `task_id`, `attempt` |
| `bundle`, `pull_gb` | `image`, `image_gb` |
| `expect_s`, `due_s` | `expected_runtime_s`, `deadline_s` |
| `same_place`, `apart` | `same_zone`, `spread` |
| `yard`, `yards` | `zone`, `zones` |
| `flavor`, `flavors`, `sku` | `machine_type`, `machine_types`, `MachineType.name` |
| `reclaimable`, `reclaim_in_s` | `spot`, `preemption_notice_s` |
| `snapshot_every_s`, `snapshot_cost_s` | `checkpoint_interval_s`, `checkpoint_cost_s` |
| `stored`, `drain_s` | `checkpointed`, `grace_s` |
| `waits_on` | `dependencies` |
| `host` | `machine_id` (heartbeats) |
| `hosts` | `machines`, `machine_ids` |
| `tenure`, `serial`, `epoch` | `incarnation`, `sequence`, `fencing_token` |
| `hourly`, `low_price` | `hourly_price`, `spot_price` |
| `local_gb`, `fetch_gb_per_s` | `image_cache_gb`, `image_pull_gb_per_s` |
| `held_s` | `age_s` |
| `path`, `stamp`, `charter` | `key`, `version`, `lease_id` |
| `generation`, `news` | `revision`, `changes` |
| `write`, `delete` | `put_key`, `deleted_key` |

Enumerated values are in `umberward.protocol.constants`, stored records in
`umberward.protocol.state_records`. All message types of the package can be imported from here.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import TypeVar

import msgspec

from umberward.core.types import (
    JOB_ID_PREFIX,
    Attempt,
    JobId,
    TaskId,
    parse_job_id,
    parse_task_id,
)
from umberward.protocol.cloud_messages import (
    CloudMachine,
    CloudMachinePage,
    MachineType,
    MachineTypeList,
    ScaleOutResponse,
)
from umberward.protocol.constants import (
    JOB_PRIORITIES,
    MAX_BODY_BYTES,
    MAX_DELETIONS_PER_REQUEST,
    MAX_MACHINES_PER_PAGE,
    MAX_MACHINES_PER_REQUEST,
    CommandVerb,
    JobKind,
    JobPhase,
    MachinePhase,
    TaskPhase,
)
from umberward.protocol.job_spec import JobSpec, Name, NonNegative, Positive
from umberward.protocol.state_messages import (
    CommitResponse,
    KeyChange,
    KeyValue,
    KeyValuePage,
    LeaseResponse,
    WatchResponse,
)
from umberward.protocol.state_records import (
    BLOCKS_PREFIX,
    FINAL_JOBS_PREFIX,
    JOBS_PREFIX,
    LIVE_JOBS_PREFIX,
    SNAPSHOT_PREFIX,
    BlockRecord,
    ControllerRecord,
    FinalJobRecord,
    JobRecord,
    LeaderRecord,
    RemainingTasks,
)

__all__ = [
    "ARRAY",
    "BLOCKS_PREFIX",
    "BOOTING",
    "CANCELLED",
    "CHECKPOINTING",
    "DONE",
    "EXITED",
    "FAILED",
    "FINAL_JOBS_PREFIX",
    "FORGET",
    "GANG",
    "JOBS_PREFIX",
    "JOB_PRIORITIES",
    "KILL",
    "LIVE_JOBS_PREFIX",
    "MAX_BODY_BYTES",
    "MAX_DELETIONS_PER_REQUEST",
    "MAX_MACHINES_PER_PAGE",
    "MAX_MACHINES_PER_REQUEST",
    "PENDING",
    "PULLING_IMAGE",
    "RUNNING",
    "SERVICE",
    "SNAPSHOT_PREFIX",
    "START",
    "WAITING_FOR_GANG",
    "BlockRecord",
    "CloudMachine",
    "CloudMachinePage",
    "CommandVerb",
    "CommitResponse",
    "ControllerRecord",
    "FinalJobRecord",
    "Heartbeat",
    "HeartbeatHeader",
    "JobKind",
    "JobPhase",
    "JobRecord",
    "JobSpec",
    "KeyChange",
    "KeyValue",
    "KeyValuePage",
    "LeaderRecord",
    "LeaseResponse",
    "MachinePhase",
    "MachineType",
    "MachineTypeList",
    "MalformedMessageError",
    "Name",
    "NonNegative",
    "Positive",
    "RemainingTasks",
    "ScaleOutResponse",
    "TaskCommand",
    "TaskPhase",
    "TaskStatus",
    "WatchResponse",
    "convert",
    "decode_heartbeat",
    "decode_heartbeat_header",
    "decode_job_spec",
    "decoder",
    "encode",
    "json_size",
    "pack_dependencies",
    "to_builtins",
    "unpack_dependencies",
]

# The enumerated values as plain strings: heartbeats compare and encode many of them, and both are
# slower with enumeration members.
ARRAY = JobKind.ARRAY.value
GANG = JobKind.GANG.value
SERVICE = JobKind.SERVICE.value
START = CommandVerb.START.value
KILL = CommandVerb.KILL.value
FORGET = CommandVerb.FORGET.value
PULLING_IMAGE = TaskPhase.PULLING_IMAGE.value
WAITING_FOR_GANG = TaskPhase.WAITING_FOR_GANG.value
RUNNING = TaskPhase.RUNNING.value
CHECKPOINTING = TaskPhase.CHECKPOINTING.value
EXITED = TaskPhase.EXITED.value
PENDING = JobPhase.PENDING.value
DONE = JobPhase.DONE.value
CANCELLED = JobPhase.CANCELLED.value
BOOTING = MachinePhase.BOOTING.value
FAILED = MachinePhase.FAILED.value


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
        task = parse_task_id(self.task_id) if self.verb == START else None
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


T = TypeVar("T")

encode = msgspec.msgpack.Encoder().encode
to_builtins = msgspec.to_builtins


class MalformedMessageError(Exception):
    """A message or a stored value does not conform to the protocol or the record type."""


def decoder(message_type: type[T]) -> Callable[[bytes], T]:
    """A function that decodes a MessagePack body into `message_type`."""
    return msgspec.msgpack.Decoder(message_type).decode


def convert(data: object, record_type: type[T]) -> T:
    """Convert decoded data to `record_type`. Raises MalformedMessageError."""
    try:
        return msgspec.convert(data, record_type)
    except msgspec.ValidationError as error:
        raise MalformedMessageError(str(error)) from None


_decode_job_spec = decoder(JobSpec)
_decode_heartbeat = decoder(Heartbeat)
_decode_heartbeat_header = decoder(HeartbeatHeader)


def decode_job_spec(body: bytes) -> JobSpec:
    """Decode a submitted job and check all its fields.

    Raises MalformedMessageError with the reason for the user; the response is a 400 then.
    """
    spec = _decode_body(_decode_job_spec, body)
    problem = _invalid_field(spec)
    if problem is not None:
        raise MalformedMessageError(problem)
    return spec


def extract_uid(body: bytes) -> object:
    """The value of `uid` in a malformed submission, of any type; None if there is none."""
    try:
        data = msgspec.msgpack.decode(body)
    except (msgspec.DecodeError, RecursionError, ValueError):
        return None
    return data.get("uid") if isinstance(data, dict) else None


def _invalid_field(spec: JobSpec) -> str | None:
    """The reason why a field is invalid beyond its type and bounds; None if all are valid."""
    if spec.kind not in (ARRAY, GANG, SERVICE):
        return "shape: not one of batch, ensemble, service"
    if spec.priority not in JOB_PRIORITIES:
        return "rank: not one of production, urgent, normal, idle"
    if _has_nan_amount(spec):
        return "an amount is not a number"
    if spec.deadline_s is not None and math.isnan(spec.deadline_s):
        return "due_s: not a number"
    return _impossible_requirement(spec)


def _has_nan_amount(spec: JobSpec) -> bool:
    # The bounds checks accept NaN, because all comparisons with it are false.
    amounts = (
        spec.cores,
        spec.accelerators,
        spec.mem_gb,
        spec.image_gb,
        spec.expected_runtime_s,
        spec.checkpoint_interval_s,
        spec.checkpoint_cost_s,
    )
    return any(math.isnan(amount) for amount in amounts)


def _impossible_requirement(spec: JobSpec) -> str | None:
    if spec.cores <= 0 or spec.mem_gb <= 0:
        return "cores and mem_gb must be above 0"
    if spec.machine_types is not None and not spec.machine_types:
        return "flavors: an empty list allows nothing"
    if any(parse_job_id(name) is None for name in spec.dependencies or ()):
        return "waits_on: not a list of job ids"
    return None


def decode_heartbeat(body: bytes) -> Heartbeat:
    """Decode a worker's heartbeat. Raises MalformedMessageError."""
    return _decode_body(_decode_heartbeat, body)


def decode_heartbeat_header(body: bytes) -> HeartbeatHeader:
    """Decode a worker's heartbeat except for its tasks. Raises MalformedMessageError."""
    return _decode_body(_decode_heartbeat_header, body)


def _decode_body(decode: Callable[[bytes], T], body: bytes) -> T:
    try:
        return decode(body)
    # Nesting that is too deep and text that is not UTF-8 raise built-in exceptions.
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError, ValueError) as error:
        raise MalformedMessageError(str(error)) from None


def pack_dependencies(job_ids: Iterable[JobId]) -> str:
    """Join job ids without their common prefix, so that hundreds of them fit into one record."""
    return " ".join(job_id.removeprefix(JOB_ID_PREFIX) for job_id in job_ids)


def unpack_dependencies(text: str) -> list[JobId]:
    """The job ids in a text from `pack_dependencies`."""
    return [JobId(JOB_ID_PREFIX + digits) for digits in text.split()]


def json_size(data: object) -> int:
    """The size in bytes when encoded as JSON, to which the limits in PROTOCOL apply."""
    return len(msgspec.json.encode(data))
