"""Machines as their holder sees them. No I/O."""

from __future__ import annotations

import math

from umberward.jobs import Placement
from umberward.types import (
    NOTHING,
    Amount,
    Epoch,
    ImageName,
    Instant,
    JobId,
    MachineId,
    Serial,
    TaskId,
    Tenure,
    TypeName,
    ZoneName,
)
from umberward.wire import Sku


class Machine:
    def __init__(
        self, id: MachineId, address: str, type: TypeName, zone: ZoneName, spot: bool, now: Instant
    ) -> None:
        self.id = id
        self.address = address
        self.type = type
        self.zone = zone
        self.spot = spot
        self.block: int | None = None  # its name stands in this committed block
        self.tenure = Tenure(0)
        self.serial = Serial(-1)
        self.min_tenure = Tenure(0)  # reports of earlier sessions are late ones
        self.epoch = Epoch(0)
        self.settled = False  # its tasks are known under our token
        self.cleared = False  # whatever it ran for a former holder is surely gone
        self.heard = now
        self.met = False  # has reported since we took over
        self.answered: Instant | None = None  # when the last answered report came
        self.since = now
        self.idle_since = now
        self.held: dict[TaskId, Placement] = {}
        self.lingering: set[TaskId] = set()  # exited and still listed
        self.strays = 0  # tasks of unknown size still listed as alive
        self.booked: Amount = NOTHING
        self.images: dict[ImageName, float] = {}
        self.notice_at: Instant | None = None  # when the cloud takes it
        self.failures: dict[JobId, int] = {}  # tasks that failed here since one went well
        self.failed_at = Instant(-math.inf)
        self.sick_since: Instant | None = None  # set aside, as it fails what it starts
        self.returning = False  # a deletion is on its way
        self.probing = False
        self.silent = False  # did not answer a probe
        self.lapsed = False  # its lease ran out and nothing was heard of it since
        # The tasks of the last report as they stood in it, if nothing was left to do about them.
        self.calm: bytes | None = None

    @property
    def sick(self) -> bool:
        return self.sick_since is not None

    @property
    def usable(self) -> bool:
        return (
            self.settled
            and self.block is not None
            and self.notice_at is None
            and not (self.sick or self.returning or self.silent or self.lapsed or self.strays)
        )

    def free(self, sku: Sku) -> Amount:
        return Amount(sku.cores, sku.accelerators, sku.mem_gb).minus(self.booked)

    def note_image(self, image: ImageName, gb: float, room: float) -> None:
        """The worker caches the most recently used images."""
        self.images.pop(image, None)
        self.images[image] = gb
        while len(self.images) > 1 and sum(self.images.values()) > room:
            del self.images[next(iter(self.images))]
