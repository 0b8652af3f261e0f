"""Ids, versions and times. Each is its own type so that they cannot be mixed up."""

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
FencingToken = NewType("FencingToken", int)  # fencing token
Incarnation = NewType("Incarnation", int)  # session of a worker
SequenceNumber = NewType("SequenceNumber", int)
Attempt = NewType("Attempt", int)
LeaseId = NewType("LeaseId", int)

Seconds = NewType("Seconds", float)
Instant = NewType("Instant", float)  # a reading of the steady clock
WallTime = NewType("WallTime", float)  # a reading of the time of day

MAX_TASKS = 100_000
JOB_PREFIX = "req-"
_JOB_ID = re.compile(JOB_PREFIX + r"[0-9]{1,18}\Z")


class TaskId(NamedTuple):
    job: JobId
    number: int

    def __str__(self) -> str:
        return f"{self.job}/{self.number}"


class Address(NamedTuple):
    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_job_id(text: object) -> JobId | None:
    if isinstance(text, str) and _JOB_ID.match(text):
        return JobId(text)
    return None


@lru_cache(32768)  # each report names the same tasks again
def parse_task_id(text: str) -> TaskId | None:
    job, slash, index = text.rpartition("/")
    if not slash or not index.isdecimal():
        return None
    return TaskId(JobId(job), int(index))


def parse_address(text: str) -> Address:
    """Raises ValueError for anything but HOST:PORT."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"expected HOST:PORT, got {text!r}")
    return Address(host, int(port))


ROUNDING_TOLERANCE = 1e-6  # sums of decimal numbers are not exact


class Resources(NamedTuple):
    """What a task takes, or a machine has."""

    cores: float
    accelerators: float
    mem_gb: float

    def plus(self, other: Resources, times: int = 1) -> Resources:
        cores, accelerators, mem_gb = other
        return _make_resources(
            (
                self[0] + times * cores,
                self[1] + times * accelerators,
                self[2] + times * mem_gb,
            )
        )

    def minus(self, other: Resources, times: int = 1) -> Resources:
        return self.plus(other, -times)

    def minimum(self, other: Resources) -> Resources:
        """The smaller of each part."""
        return Resources(*map(min, self, other))

    def fits(self, room: Resources) -> bool:
        return (
            self[0] <= room[0] + ROUNDING_TOLERANCE
            and self[1] <= room[1] + ROUNDING_TOLERANCE
            and self[2] <= room[2] + ROUNDING_TOLERANCE
        )

    def count_within(self, room: Resources) -> int:
        """How many tasks of this size fit into `room`."""
        most = MAX_TASKS
        for need, free in zip(self, room, strict=True):
            if need > 0:
                most = min(most, int((free + ROUNDING_TOLERANCE) / need))
        return max(most, 0)


# Of all that a placing pass makes there is most of these: this is their quickest way.
_make_resources = partial(tuple.__new__, Resources)
NO_RESOURCES = Resources(0.0, 0.0, 0.0)


class MachineOffer(NamedTuple):
    """What the cloud rents: a machine type in a zone, spot or ordinary."""

    type: MachineTypeName
    zone: ZoneName
    spot: bool


class ScaleOutRequest(NamedTuple):
    """So many machines of one offer; the claim makes sure that they are rented once."""

    request_id: ScaleOutRequestId
    offer: MachineOffer
    machine_count: int
