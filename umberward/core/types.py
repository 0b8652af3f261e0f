"""Distinct types of ids, versions, times and resources, so that they cannot be mixed up."""

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

Version = NewType("Version", int)  # of a key in the state service; 0: no such key
Revision = NewType("Revision", int)  # counter of all changes in the state service
FencingToken = NewType("FencingToken", int)  # workers reject commands below the highest seen
Incarnation = NewType("Incarnation", int)  # of a worker's session; increases when its lease expires
SequenceNumber = NewType("SequenceNumber", int)  # of a worker's heartbeats within an incarnation
Attempt = NewType("Attempt", int)  # distinguishes the starts of one task
LeaseId = NewType("LeaseId", int)

Seconds = NewType("Seconds", float)
Instant = NewType("Instant", float)  # a reading of the process's monotonic clock, in seconds
WallTime = NewType("WallTime", float)  # wall-clock time in seconds since the Unix epoch

MAX_TASKS_PER_JOB = 100_000
MAX_PORT = 65535
TASK_ID_CACHE_SIZE = 2048  # parsed ids: those of a command are needed several times in a row
JOB_ID_PREFIX = "req-"
_JOB_ID_PATTERN = re.compile(JOB_ID_PREFIX + r"[0-9]{1,18}\Z")


class TaskId(NamedTuple):
    """A task's job and its number in the job, from 0; as text `req-000412/3`."""

    job: JobId
    number: int

    def __str__(self) -> str:
        """Return the form used in messages."""
        return f"{self.job}/{self.number}"


class Address(NamedTuple):
    """A TCP address; as text HOST:PORT."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the form used in settings and messages."""
        return f"{self.host}:{self.port}"


def parse_job_id(text: object) -> JobId | None:
    """Parse a job id; None if `text` is not a valid one."""
    if isinstance(text, str) and _JOB_ID_PATTERN.match(text):
        return JobId(text)
    return None


@lru_cache(TASK_ID_CACHE_SIZE)
def parse_task_id(text: str) -> TaskId | None:
    """Parse a task id; None if `text` has no number after its last slash."""
    job_id, slash, number = text.rpartition("/")
    if not slash or not number.isdecimal():
        return None
    return TaskId(JobId(job_id), int(number))


def parse_address(text: str) -> Address:
    """Parse an address. Raises ValueError if `text` is not HOST:PORT."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"expected HOST:PORT, got {text!r}")  # noqa: TRY003 - its only place
    return Address(host, int(port))


ROUNDING_TOLERANCE = 1e-6  # sums of floating-point numbers are inexact


class Resources(NamedTuple):
    """The resources that a task needs or that a machine has.

    `heartbeat_bytes` bounds the number of tasks on a machine: its worker lists each of them in one
    heartbeat of limited size (`umberward.protocol.message_sizes`). It is 0 where only what a task
    consumes counts.
    """

    cores: float
    accelerators: float
    mem_gb: float
    heartbeat_bytes: int = 0

    def plus(self, other: Resources, times: int = 1) -> Resources:
        """Return the sum of these resources and `times` times `other`."""
        cores, accelerators, mem_gb, heartbeat_bytes = other
        return _make_resources(
            (
                self[0] + times * cores,
                self[1] + times * accelerators,
                self[2] + times * mem_gb,
                self[3] + times * heartbeat_bytes,
            )
        )

    def minus(self, other: Resources, times: int = 1) -> Resources:
        """Return these resources minus `times` times `other`."""
        return self.plus(other, -times)

    def elementwise_min(self, other: Resources) -> Resources:
        """Return the smaller amount of each resource."""
        return Resources(
            min(self.cores, other.cores),
            min(self.accelerators, other.accelerators),
            min(self.mem_gb, other.mem_gb),
            min(self.heartbeat_bytes, other.heartbeat_bytes),
        )

    def fits(self, room: Resources) -> bool:
        """Whether these resources fit into `room`, tolerating rounding errors."""
        return (
            self[0] <= room[0] + ROUNDING_TOLERANCE
            and self[1] <= room[1] + ROUNDING_TOLERANCE
            and self[2] <= room[2] + ROUNDING_TOLERANCE
            and self[3] <= room[3]
        )

    def count_within(self, room: Resources) -> int:
        """Return how many tasks of this size fit into `room`."""
        count = MAX_TASKS_PER_JOB
        for needed, free in zip(self, room, strict=True):
            if needed <= 0:
                continue
            quotient = (free + ROUNDING_TOLERANCE) / needed
            if quotient < 1:
                return 0
            if quotient < count:  # not for an infinite quotient, if hardly anything is needed
                count = int(quotient)
        return count


# Bypasses `Resources.__new__`, as the fastest way to create one: a scheduling pass creates more of
# these than of any other object.
_make_resources = partial(tuple.__new__, Resources)
NO_RESOURCES = Resources(0.0, 0.0, 0.0, 0)


class MachineOffer(NamedTuple):
    """What the cloud offers for rent: a machine type in a zone, spot or not."""

    type: MachineTypeName
    zone: ZoneName
    spot: bool


class ScaleOutRequest(NamedTuple):
    """A request for machines of one offer; its id makes retries idempotent."""

    request_id: ScaleOutRequestId
    offer: MachineOffer
    machine_count: int
