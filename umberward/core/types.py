"""Ids, versions and times. Each is its own type so that they cannot be mixed up."""

from __future__ import annotations

import re
from functools import lru_cache, partial
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


SLACK = 1e-6  # sums of decimal numbers are not exact


class Amount(NamedTuple):
    """What a task takes, or a machine has."""

    cores: float
    accelerators: float
    mem_gb: float

    def plus(self, other: Amount, times: int = 1) -> Amount:
        cores, accelerators, mem_gb = other
        return _amount(
            (
                self[0] + times * cores,
                self[1] + times * accelerators,
                self[2] + times * mem_gb,
            )
        )

    def minus(self, other: Amount, times: int = 1) -> Amount:
        return self.plus(other, -times)

    def least(self, other: Amount) -> Amount:
        """The smaller of each part."""
        return Amount(*map(min, self, other))

    def fits(self, room: Amount) -> bool:
        return (
            self[0] <= room[0] + SLACK and self[1] <= room[1] + SLACK and self[2] <= room[2] + SLACK
        )

    def times_into(self, room: Amount) -> int:
        """How many tasks of this size fit into `room`."""
        most = MAX_TASKS
        for need, free in zip(self, room, strict=True):
            if need > 0:
                most = min(most, int((free + SLACK) / need))
        return max(most, 0)


# Of all that a placing pass makes there is most of these: this is their quickest way.
_amount = partial(tuple.__new__, Amount)
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
