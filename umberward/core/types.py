"""Ids, versions, times and resources, each as a type of its own so that none is mistaken."""

from __future__ import annotations

import re
from functools import lru_cache, partial
from typing import NamedTuple, NewType

JobId = NewType("JobId", str)
TeamName = NewType("TeamName", str)
ImageName = NewType("ImageName", str)
MachineTypeName = NewType("MachineTypeName", str)
ZoneName = NewType("ZoneName", str)
MachineId = NewType("MachineId", str)
ControllerName = NewType("ControllerName", str)
ScaleOutRequestId = NewType("ScaleOutRequestId", str)
Key = NewType("Key", str)

Version = NewType("Version", int)  # version of a key in the state service; 0: no such key
Revision = NewType("Revision", int)  # counter of all changes in the state service
FencingToken = NewType("FencingToken", int)  # workers ignore commands with a lower one than seen
Incarnation = NewType("Incarnation", int)  # of a worker: grows whenever its lease expires
SequenceNumber = NewType("SequenceNumber", int)  # of a worker's heartbeats within an incarnation
Attempt = NewType("Attempt", int)  # tells the starts of one task apart
LeaseId = NewType("LeaseId", int)

Seconds = NewType("Seconds", float)
Instant = NewType("Instant", float)  # a reading of the process's steady clock, in seconds
WallTime = NewType("WallTime", float)  # a time of day, in seconds as time.time() has them

MAX_TASKS = 100_000  # of one job
MAX_PORT = 65535
PARSED_TASK_IDS = 32768  # that are remembered: each heartbeat names the same tasks again
JOB_PREFIX = "req-"
_JOB_ID = re.compile(JOB_PREFIX + r"[0-9]{1,18}\Z")


class TaskId(NamedTuple):
    """A task by its job and its number from 0; as text `req-000412/3`."""

    job: JobId
    number: int

    def __str__(self) -> str:
        """The form in messages."""
        return f"{self.job}/{self.number}"


class Address(NamedTuple):
    """A TCP address; as text HOST:PORT."""

    host: str
    port: int

    def __str__(self) -> str:
        """The form in settings and messages."""
        return f"{self.host}:{self.port}"


def parse_job_id(text: object) -> JobId | None:
    """`text` as a job id; None: no job can have it."""
    if isinstance(text, str) and _JOB_ID.match(text):
        return JobId(text)
    return None


@lru_cache(PARSED_TASK_IDS)
def parse_task_id(text: str) -> TaskId | None:
    """`text` as a task id; None: it has no number after its last slash."""
    job_id, slash, number = text.rpartition("/")
    if not slash or not number.isdecimal():
        return None
    return TaskId(JobId(job_id), int(number))


def parse_address(text: str) -> Address:
    """`text` as an address. Raises ValueError for anything but HOST:PORT."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"expected HOST:PORT, got {text!r}")  # noqa: TRY003 - its only place
    return Address(host, int(port))


ROUNDING_TOLERANCE = 1e-6  # sums of decimal numbers are not exact


class Resources(NamedTuple):
    """What a task needs, or what a machine has."""

    cores: float
    accelerators: float
    mem_gb: float

    def plus(self, other: Resources, times: int = 1) -> Resources:
        """The sum with `times` times the other resources."""
        cores, accelerators, mem_gb = other
        return _make_resources(
            (
                self[0] + times * cores,
                self[1] + times * accelerators,
                self[2] + times * mem_gb,
            )
        )

    def minus(self, other: Resources, times: int = 1) -> Resources:
        """The difference to `times` times the other resources."""
        return self.plus(other, -times)

    def minimum(self, other: Resources) -> Resources:
        """The smaller one of each resource."""
        return Resources(*map(min, self, other))

    def fits(self, room: Resources) -> bool:
        """Whether these resources fit into `room`, but for rounding errors."""
        return (
            self[0] <= room[0] + ROUNDING_TOLERANCE
            and self[1] <= room[1] + ROUNDING_TOLERANCE
            and self[2] <= room[2] + ROUNDING_TOLERANCE
        )

    def count_within(self, room: Resources) -> int:
        """How many tasks of this size fit into `room`."""
        count = MAX_TASKS
        for needed, free in zip(self, room, strict=True):
            if needed > 0:
                count = min(count, int((free + ROUNDING_TOLERANCE) / needed))
        return max(count, 0)


# A scheduling pass creates more of these than of anything else, and this is the fastest way.
_make_resources = partial(tuple.__new__, Resources)
NO_RESOURCES = Resources(0.0, 0.0, 0.0)


class MachineOffer(NamedTuple):
    """What the cloud rents: a machine type in a zone, spot or ordinary."""

    type: MachineTypeName
    zone: ZoneName
    spot: bool


class ScaleOutRequest(NamedTuple):
    """A request for machines of one offer; its id ensures that they are rented only once."""

    request_id: ScaleOutRequestId
    offer: MachineOffer
    machine_count: int
