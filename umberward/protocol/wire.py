"""The names on the wire, in one place: messages as typed structures, and their codecs."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Annotated, Any, TypeVar

import msgspec

from umberward.core.types import (
    JOB_PREFIX,
    MAX_TASKS,
    Attempt,
    JobId,
    Resources,
    TaskId,
    parse_job_id,
    parse_task_id,
)

MAX_BODY_BYTES = 64 * 1024
MAX_MACHINES_PER_REQUEST = 50
MAX_DELETIONS_PER_REQUEST = 100
MAX_MACHINES_PER_PAGE = 500

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
NonNegative = Annotated[float, msgspec.Meta(ge=0, le=1e9)]

ARRAY, GANG, SERVICE = "batch", "ensemble", "service"
PRIORITIES = {"production": 0, "urgent": 1, "normal": 2, "idle": 3}

START, KILL, FORGET = "start", "kill", "forget"
PULLING_IMAGE, WAITING_FOR_GANG, RUNNING, CHECKPOINTING, EXITED = (
    "pulling",
    "gathering",
    "running",
    "flushing",
    "exited",
)
PENDING, DONE, CANCELLED = "pending", "done", "cancelled"
BOOTING, FAILED = "booting", "failed"


class JobSpec(
    msgspec.Struct,
    omit_defaults=True,
    rename={
        "job_id": "uid",
        "job_class": "jobclass",
        "team": "owner",
        "kind": "shape",
        "priority": "rank",
        "task_count": "shards",
        "image": "bundle",
        "image_gb": "pull_gb",
        "expected_runtime_s": "expect_s",
        "same_zone": "same_place",
        "spread": "apart",
        "spot": "reclaimable",
        "checkpoint_interval_s": "snapshot_every_s",
        "checkpoint_cost_s": "snapshot_cost_s",
        "machine_types": "flavors",
        "zone": "yard",
        "deadline_s": "due_s",
        "dependencies": "waits_on",
    },
):
    """A job as its user submits it."""

    job_id: Name
    job_class: Name
    team: Name
    kind: str
    priority: str
    task_count: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)]
    cores: NonNegative
    accelerators: NonNegative
    mem_gb: NonNegative
    image: Name
    image_gb: NonNegative
    expected_runtime_s: NonNegative
    same_zone: bool
    spread: bool
    spot: bool
    checkpoint_interval_s: NonNegative
    checkpoint_cost_s: NonNegative
    machine_types: list[Name] | None = None
    zone: Name | None = None
    deadline_s: Positive | None = None
    dependencies: list[Name] | None = None  # never in a record: see JobRecord.needs


class TaskStatus(msgspec.Struct, rename={"task_id": "shard", "checkpointed": "stored"}):
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
    """What a worker is told to do with one attempt of a task (PROTOCOL, "Workers -> controller
    nodes"). `drain_s`: of a kill, the seconds that it may take to save."""

    verb: str
    task_id: str
    attempt: int = msgspec.field(name="try")
    grace_s: float | None = None

    @property
    def started_attempt(self) -> tuple[TaskId, Attempt] | None:
        """The attempt that it starts; None: it starts none."""
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
    """A report of which the tasks, by far the most of it, are not looked at yet."""

    machine_id: Name
    incarnation: int
    sequence: int
    fencing_token: int
    tasks: msgspec.Raw
    preemption_notice_s: float | None = None


class MachineType(
    msgspec.Struct,
    rename={
        "name": "sku",
        "hourly_price": "hourly",
        "zones": "yards",
        "image_cache_gb": "local_gb",
        "image_pull_gb_per_s": "fetch_gb_per_s",
        "spot_price": "low_price",
    },
):
    name: Name
    cores: NonNegative
    mem_gb: NonNegative
    hourly_price: NonNegative
    boot_s: NonNegative
    zones: list[Name]
    accelerators: NonNegative = 0.0
    image_cache_gb: NonNegative = 0.0
    image_pull_gb_per_s: Positive = 1.0
    spot_price: NonNegative | None = None

    @property
    def capacity(self) -> Resources:
        """All that an empty machine has."""
        return Resources(self.cores, self.accelerators, self.mem_gb)


class MachineTypeList(msgspec.Struct, rename={"machine_types": "flavors"}):
    machine_types: list[MachineType]


class CloudMachine(
    msgspec.Struct,
    rename={
        "machine_id": "uid",
        "machine_type": "flavor",
        "zone": "yard",
        "spot": "reclaimable",
        "age_s": "held_s",
    },
):
    machine_id: Name
    address: str = ""
    machine_type: str = ""
    zone: str = ""
    spot: bool = False
    phase: str = "running"
    age_s: float = 0.0


class CloudMachinePage(msgspec.Struct, rename={"machines": "hosts"}):
    machines: list[CloudMachine]
    more: bool = False


class ScaleOutResponse(msgspec.Struct, rename={"machine_ids": "hosts"}):
    machine_ids: list[Name]


class KeyValue(msgspec.Struct, rename={"key": "path", "version": "stamp", "lease_id": "charter"}):
    key: str
    data: Any
    version: int
    lease_id: int | None = None


class KeyValuePage(msgspec.Struct, rename={"revision": "generation"}):
    entries: list[KeyValue]
    revision: int
    more: bool = False


class KeyChange(
    msgspec.Struct, rename={"put_key": "write", "deleted_key": "delete", "version": "stamp"}
):
    put_key: str | None = None
    deleted_key: str | None = None
    data: Any = None
    version: int = 0


class WatchResponse(msgspec.Struct, rename={"revision": "generation", "changes": "news"}):
    revision: int
    changes: list[KeyChange]


class CommitResponse(msgspec.Struct, rename={"revision": "generation"}):
    revision: int


class LeaseResponse(msgspec.Struct, rename={"lease_id": "charter"}):
    lease_id: int


# Where the records of the state service stand.
JOBS_PREFIX = "jobs/"
LIVE_JOBS_PREFIX = "jobs/live/"
FINAL_JOBS_PREFIX = "jobs/past/"
BLOCKS_PREFIX = "blocks/"
SNAPSHOT_PREFIX = "hints/"


class JobRecord(
    msgspec.Struct,
    omit_defaults=True,
    rename={
        "submitted_at": "at",
        "placed_below": "marked",
        "done_below": "base",
        "done_bitmap": "done",
        "dependencies": "needs",
        "ready_at": "ready",
    },
):
    """What the state service keeps of a job under way.

    `marked`: tasks below this number may have been placed by some holder.
    `base`: all tasks below this number are done, and `done` is a hexadecimal bitmap of the
    committed completions from there on, lowest bit first.
    `needs`: the jobs that were not done when this one was accepted, until its first mark;
    `ready`: when the last of them was done, from then on. Empty for jobs that wait for none.
    """

    spec: JobSpec
    submitted_at: float
    placed_below: int = 0
    done_below: int = 0
    done_bitmap: str = "0"
    dependencies: str = ""
    ready_at: float | None = None


class RemainingTasks(
    msgspec.Struct,
    omit_defaults=True,
    rename={"team": "owner", "placed_below": "marked", "done_below": "base", "done_bitmap": "done"},
):
    """Tasks of a cancelled job that may be on machines until they are told, or their sessions end.

    `marked`, `base` and `done` as its JobRecord had them; the rest is what each of them uses.
    """

    team: str
    cores: float
    mem_gb: float
    placed_below: int
    accelerators: float = 0.0
    done_below: int = 0
    done_bitmap: str = "0"


class FinalJobRecord(
    msgspec.Struct,
    omit_defaults=True,
    rename={
        "done_count": "done",
        "ended_at": "at",
        "cancelled_by": "because",
        "remaining": "remains",
    },
):
    """`at`: when it ended, if others waited for it; `because`: the cancelled job before it;
    `remains`: of a cancelled job whose team has a limit, if any of its tasks may have been placed.
    """

    phase: str
    done_count: int = 0
    ended_at: float | None = None
    cancelled_by: str = ""
    remaining: RemainingTasks | None = None


class LeaderRecord(msgspec.Struct, rename={"controller": "node"}):
    controller: str
    nonce: str


class BlockRecord(msgspec.Struct, rename={"machines": "hosts"}):
    """The machines of one block: id -> [address, type, zone, spot]."""

    machines: dict[str, tuple[str, str, str, bool]]


class ControllerRecord(msgspec.Struct, rename={"controller": "node", "job_hash_range": "jobs"}):
    """What a controller holds. Its fencing token is the revision of the grant."""

    controller: str
    nonce: str
    term: int
    job_hash_range: tuple[int, int]


encode = msgspec.msgpack.Encoder().encode
to_builtins = msgspec.to_builtins


class MalformedMessageError(Exception):
    """A body that is not what the protocol says."""


T = TypeVar("T")


def decoder(kind: type[T]) -> Callable[[bytes], T]:
    """A function that decodes a MessagePack body into `kind`."""
    return msgspec.msgpack.Decoder(kind).decode


def convert(data: object, kind: type[T]) -> T:
    """Decoded data as `kind`. Raises Malformed."""
    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as error:
        raise MalformedMessageError(str(error)) from None


_decode_job_spec = decoder(JobSpec)
_decode_heartbeat = decoder(Heartbeat)
_decode_header = decoder(HeartbeatHeader)


def decode_job_spec(body: bytes) -> JobSpec:
    """Raises Malformed, with the reason, for anything that must get a 400."""
    try:
        spec = _decode_job_spec(body)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError, ValueError) as error:
        raise MalformedMessageError(str(error)) from None
    if spec.kind not in (ARRAY, GANG, SERVICE):
        raise MalformedMessageError("shape: not one of batch, ensemble, service")
    if spec.priority not in PRIORITIES:
        raise MalformedMessageError("rank: not one of production, urgent, normal, idle")
    # The bounds of a field do not catch NaN: it compares false with everything.
    amounts = (spec.cores, spec.accelerators, spec.mem_gb, spec.image_gb, spec.expected_runtime_s)
    if any(
        value != value for value in amounts + (spec.checkpoint_interval_s, spec.checkpoint_cost_s)
    ):
        raise MalformedMessageError("an amount is not a number")
    if spec.deadline_s is not None and spec.deadline_s != spec.deadline_s:
        raise MalformedMessageError("due_s: not a number")
    if spec.cores <= 0 or spec.mem_gb <= 0:
        raise MalformedMessageError("cores and mem_gb must be above 0")
    if spec.machine_types is not None and not spec.machine_types:
        raise MalformedMessageError("flavors: an empty list allows nothing")
    if any(parse_job_id(name) is None for name in spec.dependencies or ()):
        raise MalformedMessageError("waits_on: not a list of job ids")
    return spec


def decode_heartbeat(body: bytes) -> Heartbeat:
    try:
        return _decode_heartbeat(body)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError, ValueError) as error:
        raise MalformedMessageError(str(error)) from None


def decode_heartbeat_header(body: bytes) -> HeartbeatHeader:
    try:
        return _decode_header(body)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError, ValueError) as error:
        raise MalformedMessageError(str(error)) from None


def pack_dependencies(ids: Iterable[JobId]) -> str:
    """As short as it goes: hundreds of ids must fit into one record."""
    return " ".join(id.removeprefix(JOB_PREFIX) for id in ids)


def unpack_dependencies(text: str) -> list[JobId]:
    return [JobId(JOB_PREFIX + digits) for digits in text.split()]


def json_size(data: Any) -> int:
    """Size in the form that the state service's limits count."""
    return len(msgspec.json.encode(data))
