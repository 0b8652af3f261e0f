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

from umberward.core.types import JOB_ID_PREFIX, JobId, parse_job_id
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
    AbsenceResponse,
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
from umberward.protocol.worker_messages import (
    Heartbeat,
    HeartbeatHeader,
    TaskCommand,
    TaskStatus,
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
    "AbsenceResponse",
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
