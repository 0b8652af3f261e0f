"""Machines as their holder sees them. No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from umberward.core.types import (
    NOTHING,
    SLACK,
    Amount,
    Epoch,
    ImageName,
    Instant,
    JobId,
    MachineId,
    Offer,
    Serial,
    TaskId,
    Tenure,
    TypeName,
    ZoneName,
)
from umberward.decisions.direct_starts import DirectStarts
from umberward.decisions.jobs import Job, Placement, StopKey
from umberward.protocol.wire import Sku

DEAF_AFTER = 2  # questions without an answer, while reports come


class Machine:
    def __init__(
        self,
        id: MachineId,
        address: str,
        type: TypeName,
        zone: ZoneName,
        spot: bool,
        now: Instant,
        changed: dict[MachineId, None],
    ) -> None:
        """`changed` is told of it when it may be usable no longer, or again, or has other room."""
        self.id = id
        self.address = address
        self.type = type
        self.zone = zone
        self.spot = spot
        self.offer = Offer(type, zone, spot)
        self.block: int | None = None  # its name stands in this committed block
        self.tenure = Tenure(0)
        self.serial = Serial(-1)
        self.told = Serial(-1)  # the session's latest report that we answered
        self.session_at = now  # when its session was first heard of
        self.doubted: Instant | None = None  # since when it may not hear us
        self.unanswered = 0  # questions since then that had no answer
        self.asked_at = now  # when it was last asked about that, and may be asked again
        self.ask_at = now
        self.reported = now  # when its latest report came, answers to questions apart
        self.mute_since: Instant | None = None  # since when it only answers questions
        self.confirmed = True  # more than one report that may be a late copy tells of it
        self.min_tenure = Tenure(0)  # reports of earlier sessions are late ones
        self.epoch = Epoch(0)
        self.settled = False  # its tasks are known under our token
        self.cleared = False  # whatever it ran for a former holder is surely gone
        self.heard = now
        self.met = False  # has reported since we took over
        self.answered: Instant | None = None  # when the last answered report came
        self.lent: Instant | None = None  # when others were last told that they may answer it
        self.since = now
        self.idle_since = now
        self.held: dict[TaskId, Placement] = {}
        self.direct_starts = DirectStarts()  # those that may still be carried out
        self.lingering: set[TaskId] = set()  # exited and still listed
        self.unforgotten_since: Instant | None = None  # an exited attempt waits to be forgotten
        self.strays: set[TaskId] = set()  # listed as alive and not held here: to be stopped
        self.booked: Amount = NOTHING
        self.images: dict[ImageName, float] = {}
        self.notice_at: Instant | None = None  # when the cloud takes it
        # What failed here since a task went well, and how often: jobs, or tasks judged one by one.
        self.failures: dict[JobId | TaskId, int] = {}
        self.worked_at = Instant(-math.inf)  # a task that began after the last failure was done
        self.failed_at = Instant(-math.inf)
        self.sick_since: Instant | None = None  # set aside, as it fails what it starts
        self.returning = False  # a deletion is on its way
        self.probing = False
        self.silent = False  # did not answer a probe
        self.lapsed = False  # its lease ran out and nothing was heard of it since
        # The tasks of the last report as they stood in it, if nothing was left to do about them.
        self.calm: bytes | None = None
        self._changed = changed
        # What is derived from `held` and asked for in every pass: None when it must be found anew.
        self._free: tuple[Sku, Amount] | None = None
        self._stoppable: dict[StopKey, Amount] | None = None
        self._loads: dict[tuple[bool, int], Amount] | None = None

    def touched(self) -> None:
        """Something has changed on which it depends whether it is usable."""
        self._changed[self.id] = None

    def tasks_changed(self) -> None:
        """A task has come, is gone, or is being stopped."""
        self.touched()
        self.calm = None
        self._free = None
        self.standing_changed()

    def standing_changed(self) -> None:
        """A task here may be stopped by others than before."""
        self._stoppable = None
        self._loads = None

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
            and not self.one_way
        )

    @property
    def deaf(self) -> bool:
        """Whether what we say does not seem to reach it, whatever we hear of it."""
        return self.doubted is not None and self.unanswered >= DEAF_AFTER

    @property
    def one_way(self) -> bool:
        """Whether only what it says reaches us, or only what we say reaches it."""
        return self.deaf or self.mute_since is not None

    def free(self, sku: Sku) -> Amount:
        """The room that no task is booked on."""
        if self._free is None or self._free[0] is not sku:
            self._free = (sku, sku.whole.minus(self.booked))
        return self._free[1]

    @property
    def stopping(self) -> bool:
        """Whether something here is to end that has not ended yet."""
        return any(placement.stop is not None for placement in self.held.values())

    def stoppable(self) -> dict[StopKey, Amount]:
        """What runs here and is not being stopped, summed by who may stop it."""
        if self._stoppable is None:
            sums: dict[StopKey, Amount] = {}
            for placement in self.held.values():
                if placement.stop is None:
                    sums[placement.key] = sums.get(placement.key, NOTHING).plus(placement.need)
            self._stoppable = sums
        return self._stoppable

    def loads(self) -> dict[tuple[bool, int], Amount]:
        """All that is on the machine, summed by whether it is accelerated and by rank."""
        if self._loads is None:
            sums: dict[tuple[bool, int], Amount] = {}
            for placement in self.held.values():
                kind = (placement.key.accelerated, placement.key.rank)
                sums[kind] = sums.get(kind, NOTHING).plus(placement.need)
            self._loads = sums
        return self._loads

    def note_image(self, image: ImageName, gb: float, room: float) -> None:
        """The worker caches the most recently used images."""
        self.images.pop(image, None)
        self.images[image] = gb
        while len(self.images) > 1 and sum(self.images.values()) > room:
            del self.images[next(iter(self.images))]


class Ready:
    """The machines that may be given tasks, and the room on each.

    Of a large fleet few machines change between two passes, and only those are looked at.
    """

    def __init__(self) -> None:
        self.changed: dict[MachineId, None] = {}  # in the order in which they did
        self.machines: dict[MachineId, Machine] = {}
        self.free: dict[MachineId, Amount] = {}
        self.kinds: dict[Offer, dict[MachineId, Machine]] = {}

    def refresh(self, machines: Mapping[MachineId, Machine], skus: Mapping[TypeName, Sku]) -> None:
        for id in self.changed:
            machine = machines.get(id)
            sku = None if machine is None else skus.get(machine.type)
            if machine is not None and sku is not None and machine.usable:
                self.machines[id] = machine
                self.free[id] = machine.free(sku)
                self.kinds.setdefault(machine.offer, {})[id] = machine
            elif id in self.machines:
                del self.free[id]
                del self.kinds[self.machines.pop(id).offer][id]
        self.changed.clear()


def with_room(
    machines: list[Machine], free: dict[MachineId, Amount], jobs: Iterable[Job]
) -> list[Machine]:
    """The machines with room for the least that any of the jobs takes: of a full fleet, few."""
    least = least_need(jobs)
    if least is None:
        return []
    # Said out, as it is asked of each machine in each pass: `least.fits(free[m.id])`.
    cores, accelerators, mem_gb = (part - SLACK for part in least)
    return [
        m
        for m in machines
        if (room := free[m.id])[0] >= cores and room[1] >= accelerators and room[2] >= mem_gb
    ]


def least_need(jobs: Iterable[Job], besides: Amount = NOTHING) -> Amount | None:
    """The least of each resource that a task of any of the jobs takes; None: there is no task.

    `besides`: one more task, if it takes anything.
    """
    needs = {job.need for job in jobs}
    if besides != NOTHING:
        needs.add(besides)
    if not needs:
        return None
    return Amount(*(min(parts) for parts in zip(*needs, strict=True)))
