"""The names on the wire, in one place: messages as typed structures, and their codecs."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Annotated, Any, TypeVar

import msgspec

from umberward.core.types import (
    JOB_PREFIX,
    MAX_TASKS,
    Amount,
    Attempt,
    JobId,
    TaskId,
    parse_job_id,
    parse_task_id,
)

BODY_LIMIT = 64 * 1024
RENT_LIMIT = 50
DELETE_LIMIT = 100
LIST_LIMIT = 500

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Above0 = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
From0 = Annotated[float, msgspec.Meta(ge=0, le=1e9)]

ARRAY, GANG, SERVICE = "batch", "ensemble", "service"
RANKS = {"production": 0, "urgent": 1, "normal": 2, "idle": 3}

START, KILL, FORGET = "start", "kill", "forget"
PULLING, GATHERING, RUNNING, FLUSHING, EXITED = (
    "pulling",
    "gathering",
    "running",
    "flushing",
    "exited",
)
PENDING, DONE, CANCELLED = "pending", "done", "cancelled"
BOOTING, FAILED = "booting", "failed"


class Spec(msgspec.Struct, omit_defaults=True):
    """A job as its user submits it."""

    uid: Name
    jobclass: Name
    owner: Name
    shape: str
    rank: str
    shards: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)]
    cores: From0
    accelerators: From0
    mem_gb: From0
    bundle: Name
    pull_gb: From0
    expect_s: From0
    same_place: bool
    apart: bool
    reclaimable: bool
    snapshot_every_s: From0
    snapshot_cost_s: From0
    flavors: list[Name] | None = None
    yard: Name | None = None
    due_s: Above0 | None = None
    waits_on: list[Name] | None = None  # never in a record: see JobRecord.needs


class ShardReport(msgspec.Struct):
    shard: str
    attempt: int = msgspec.field(name="try")
    phase: str
    cause: str | None = None
    stored: bool | None = None


class Order(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a worker is told to do with one attempt of a task (PROTOCOL, "Workers -> controller
    nodes"). `drain_s`: of a kill, the seconds that it may take to save."""

    verb: str
    shard: str
    attempt: int = msgspec.field(name="try")
    drain_s: float | None = None

    @property
    def started(self) -> tuple[TaskId, Attempt] | None:
        """The attempt that it starts; None: it starts none."""
        task = parse_task_id(self.shard) if self.verb == START else None
        return None if task is None else (task, Attempt(self.attempt))


class Report(msgspec.Struct):
    host: Name
    address: Name
    flavor: Name
    yard: Name
    tenure: int
    serial: int
    epoch: int
    shards: list[ShardReport]
    reclaimable: bool = False
    reclaim_in_s: float | None = None


class Head(msgspec.Struct):
    """A report of which the tasks, by far the most of it, are not looked at yet."""

    host: Name
    tenure: int
    serial: int
    epoch: int
    shards: msgspec.Raw
    reclaim_in_s: float | None = None


class Sku(msgspec.Struct):
    sku: Name
    cores: From0
    mem_gb: From0
    hourly: From0
    boot_s: From0
    yards: list[Name]
    accelerators: From0 = 0.0
    local_gb: From0 = 0.0
    fetch_gb_per_s: Above0 = 1.0
    low_price: From0 | None = None

    @property
    def whole(self) -> Amount:
        """All that an empty machine has."""
        return Amount(self.cores, self.accelerators, self.mem_gb)


class Flavors(msgspec.Struct):
    flavors: list[Sku]


class Host(msgspec.Struct):
    uid: Name
    address: str = ""
    flavor: str = ""
    yard: str = ""
    reclaimable: bool = False
    phase: str = "running"
    held_s: float = 0.0


class Hosts(msgspec.Struct):
    hosts: list[Host]
    more: bool = False


class Rented(msgspec.Struct):
    hosts: list[Name]


class Entry(msgspec.Struct):
    path: str
    data: Any
    stamp: int
    charter: int | None = None


class Listing(msgspec.Struct):
    entries: list[Entry]
    generation: int
    more: bool = False


class Change(msgspec.Struct):
    write: str | None = None
    delete: str | None = None
    data: Any = None
    stamp: int = 0


class News(msgspec.Struct):
    generation: int
    news: list[Change]


class Generation(msgspec.Struct):
    generation: int


class Lease(msgspec.Struct):
    charter: int


# Where the records of the state service stand.
JOBS = "jobs/"
LIVE = "jobs/live/"
PAST = "jobs/past/"
BLOCKS = "blocks/"
HINTS = "hints/"


class JobRecord(msgspec.Struct, omit_defaults=True):
    """What the state service keeps of a job under way.

    `marked`: tasks below this number may have been placed by some holder.
    `base`: all tasks below this number are done, and `done` is a hexadecimal bitmap of the
    committed completions from there on, lowest bit first.
    `needs`: the jobs that were not done when this one was accepted, until its first mark;
    `ready`: when the last of them was done, from then on. Empty for jobs that wait for none.
    """

    spec: Spec
    at: float
    marked: int = 0
    base: int = 0
    done: str = "0"
    needs: str = ""
    ready: float | None = None


class Remains(msgspec.Struct, omit_defaults=True):
    """Tasks of a cancelled job that may be on machines until they are told, or their sessions end.

    `marked`, `base` and `done` as its JobRecord had them; the rest is what each of them uses.
    """

    owner: str
    cores: float
    mem_gb: float
    marked: int
    accelerators: float = 0.0
    base: int = 0
    done: str = "0"


class FinalRecord(msgspec.Struct, omit_defaults=True):
    """`at`: when it ended, if others waited for it; `because`: the cancelled job before it;
    `remains`: of a cancelled job whose team has a limit, if any of its tasks may have been placed.
    """

    phase: str
    done: int = 0
    at: float | None = None
    because: str = ""
    remains: Remains | None = None


class LeaderRecord(msgspec.Struct):
    node: str
    nonce: str


class BlockRecord(msgspec.Struct):
    """The machines of one block: id -> [address, type, zone, spot]."""

    hosts: dict[str, tuple[str, str, str, bool]]


class ControllerRecord(msgspec.Struct):
    """What a controller holds. Its fencing token is the revision of the grant."""

    node: str
    nonce: str
    term: int
    jobs: tuple[int, int]


encode = msgspec.msgpack.Encoder().encode
builtins = msgspec.to_builtins


class Malformed(Exception):
    """A body that is not what the protocol says."""


T = TypeVar("T")


def decoder(kind: type[T]) -> Callable[[bytes], T]:
    """A function that decodes a MessagePack body into `kind`."""
    return msgspec.msgpack.Decoder(kind).decode


def converted(data: object, kind: type[T]) -> T:
    """Decoded data as `kind`. Raises Malformed."""
    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as error:
        raise Malformed(str(error)) from None


_spec = decoder(Spec)
_report = decoder(Report)
_head = decoder(Head)


def decode_spec(body: bytes) -> Spec:
    """Raises Malformed, with the reason, for anything that must get a 400."""
    try:
        spec = _spec(body)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError, ValueError) as error:
        raise Malformed(str(error)) from None
    if spec.shape not in (ARRAY, GANG, SERVICE):
        raise Malformed("shape: not one of batch, ensemble, service")
    if spec.rank not in RANKS:
        raise Malformed("rank: not one of production, urgent, normal, idle")
    # The bounds of a field do not catch NaN: it compares false with everything.
    amounts = (spec.cores, spec.accelerators, spec.mem_gb, spec.pull_gb, spec.expect_s)
    if any(value != value for value in amounts + (spec.snapshot_every_s, spec.snapshot_cost_s)):
        raise Malformed("an amount is not a number")
    if spec.due_s is not None and spec.due_s != spec.due_s:
        raise Malformed("due_s: not a number")
    if spec.cores <= 0 or spec.mem_gb <= 0:
        raise Malformed("cores and mem_gb must be above 0")
    if spec.flavors is not None and not spec.flavors:
        raise Malformed("flavors: an empty list allows nothing")
    if any(parse_job_id(name) is None for name in spec.waits_on or ()):
        raise Malformed("waits_on: not a list of job ids")
    return spec


def decode_report(body: bytes) -> Report:
    try:
        return _report(body)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError, ValueError) as error:
        raise Malformed(str(error)) from None


def decode_head(body: bytes) -> Head:
    try:
        return _head(body)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError, ValueError) as error:
        raise Malformed(str(error)) from None


def pack_needs(ids: Iterable[JobId]) -> str:
    """As short as it goes: hundreds of ids must fit into one record."""
    return " ".join(id.removeprefix(JOB_PREFIX) for id in ids)


def unpack_needs(text: str) -> list[JobId]:
    return [JobId(JOB_PREFIX + digits) for digits in text.split()]


def json_size(data: Any) -> int:
    """Size in the form that the state service's limits count."""
    return len(msgspec.json.encode(data))
