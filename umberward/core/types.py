"""Ids, versions and times. Each is its own type so that they cannot be mixed up."""

from __future__ import annotations

import re
from functools import lru_cache
from typing import NamedTuple, NewType

JobId = NewType("JobId", str)
TeamName = NewType("TeamName", str)
ImageName = NewType("ImageName", str)
TypeName = NewType("TypeName", str)
ZoneName = NewType("ZoneName", str)
MachineId = NewType("MachineId", str)
NodeName = NewType("NodeName", str)
ClaimId = NewType("ClaimId", str)
Key = NewType("Key", str)

Stamp = NewType("Stamp", int)  # version of a key in the state service; 0: no such key
Revision = NewType("Revision", int)  # counter of all changes in the state service
Epoch = NewType("Epoch", int)  # fencing token
Tenure = NewType("Tenure", int)  # session of a worker
Serial = NewType("Serial", int)
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


class Amount(NamedTuple):
    """What a task takes, or a machine has."""

    cores: float
    accelerators: float
    mem_gb: float

    def plus(self, other: Amount, times: int = 1) -> Amount:
        return Amount(
            self.cores + times * other.cores,
            self.accelerators + times * other.accelerators,
            self.mem_gb + times * other.mem_gb,
        )

    def minus(self, other: Amount, times: int = 1) -> Amount:
        return self.plus(other, -times)

    def fits(self, room: Amount) -> bool:
        return (
            self.cores <= room.cores + 1e-6
            and self.accelerators <= room.accelerators + 1e-6
            and self.mem_gb <= room.mem_gb + 1e-6
        )

    def times_into(self, room: Amount) -> int:
        """How many tasks of this size fit into `room`."""
        most = MAX_TASKS
        for need, free in zip(self, room, strict=True):
            if need > 0:
                most = min(most, int((free + 1e-6) / need))
        return max(most, 0)


NOTHING = Amount(0.0, 0.0, 0.0)


class Offer(NamedTuple):
    """What the cloud rents: a machine type in a zone, spot or ordinary."""

    type: TypeName
    zone: ZoneName
    spot: bool


class Rental(NamedTuple):
    """So many machines of one offer; the claim makes sure that they are rented once."""

    claim: ClaimId
    offer: Offer
    many: int
