"""Machines as their holder sees them. No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from umberward.core.types import (
    NO_RESOURCES,
    ROUNDING_TOLERANCE,
    FencingToken,
    ImageName,
    Incarnation,
    Instant,
    JobId,
    MachineId,
    MachineOffer,
    MachineTypeName,
    Resources,
    SequenceNumber,
    TaskId,
    ZoneName,
)
from umberward.protocol.wire import MachineType
from umberward.scheduling.inflight_commands import InflightStarts
from umberward.scheduling.jobs import Job, Placement, PreemptionKey

UNREACHABLE_AFTER_PROBES = 2  # questions without an answer, while reports come


class Machine:
    def __init__(
        self,
        id: MachineId,
        address: str,
        type: MachineTypeName,
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
        self.offer = MachineOffer(type, zone, spot)
        self.block: int | None = None  # its name stands in this committed block
        self.incarnation = Incarnation(0)
        self.sequence = SequenceNumber(-1)
        self.answered_sequence = SequenceNumber(-1)  # the session's latest report that we answered
        self.incarnation_since = now  # when its session was first heard of
        self.suspected_since: Instant | None = None  # since when it may not hear us
        self.unanswered_probes = 0  # questions since then that had no answer
        self.probed_at = now  # when it was last asked about that, and may be asked again
        self.probe_not_before = now
        self.heartbeat_at = now  # when its latest report came, answers to questions apart
        self.no_heartbeats_since: Instant | None = None  # since when it only answers questions
        self.confirmed = True  # more than one report that may be a late copy tells of it
        self.min_incarnation = Incarnation(0)  # reports of earlier sessions are late ones
        self.token_seen = FencingToken(0)
        self.reconciled = False  # its tasks are known under our token
        self.predecessor_expired = False  # whatever it ran for a former holder is surely gone
        self.last_heard_at = now
        self.heartbeat_seen = False  # has reported since we took over
        self.answered_at: Instant | None = None  # when the last answered report came
        self.delegated_at: Instant | None = (
            None  # when others were last told that they may answer it
        )
        self.known_since = now
        self.idle_since = now
        self.placements: dict[TaskId, Placement] = {}
        self.inflight_starts = InflightStarts()  # those that may still be carried out
        self.exited_tasks: set[TaskId] = set()  # exited and still listed
        self.unforgotten_since: Instant | None = None  # an exited attempt waits to be forgotten
        self.unplaced_tasks: set[TaskId] = set()  # listed as alive and not held here: to be stopped
        self.allocated: Resources = NO_RESOURCES
        self.images: dict[ImageName, float] = {}
        self.notice_at: Instant | None = None  # when the cloud takes it
        # What failed here since a task went well, and how often: jobs, or tasks judged one by one.
        self.failures: dict[JobId | TaskId, int] = {}
        self.succeeded_at = Instant(-math.inf)  # a task that began after the last failure was done
        self.failed_at = Instant(-math.inf)
        self.quarantined_since: Instant | None = None  # set aside, as it fails what it starts
        self.returning = False  # a deletion is on its way
        self.probing = False
        self.probe_unanswered = False  # did not answer a probe
        self.lease_expired = False  # its lease ran out and nothing was heard of it since
        # The tasks of the last report as they stood in it, if nothing was left to do about them.
        self.unchanged_heartbeat: bytes | None = None
        self._changed = changed
        # What is derived from `held` and asked for in every pass: None when it must be found anew.
        self._free: tuple[MachineType, Resources] | None = None
        self._preemptable: dict[PreemptionKey, Resources] | None = None
        self._load: dict[tuple[bool, int], Resources] | None = None

    def availability_changed(self) -> None:
        """Something has changed on which it depends whether it is usable."""
        self._changed[self.id] = None

    def placements_changed(self) -> None:
        """A task has come, is gone, or is being stopped."""
        self.availability_changed()
        self.unchanged_heartbeat = None
        self._free = None
        self.standing_changed()

    def standing_changed(self) -> None:
        """A task here may be stopped by others than before."""
        self._preemptable = None
        self._load = None

    @property
    def quarantined(self) -> bool:
        return self.quarantined_since is not None

    @property
    def schedulable(self) -> bool:
        return (
            self.reconciled
            and self.block is not None
            and self.notice_at is None
            and not (
                self.quarantined
                or self.returning
                or self.probe_unanswered
                or self.lease_expired
                or self.unplaced_tasks
            )
            and not self.partially_reachable
        )

    @property
    def unreachable(self) -> bool:
        """Whether what we say does not seem to reach it, whatever we hear of it."""
        return (
            self.suspected_since is not None and self.unanswered_probes >= UNREACHABLE_AFTER_PROBES
        )

    @property
    def partially_reachable(self) -> bool:
        """Whether only what it says reaches us, or only what we say reaches it."""
        return self.unreachable or self.no_heartbeats_since is not None

    def free(self, sku: MachineType) -> Resources:
        """The room that no task is booked on."""
        if self._free is None or self._free[0] is not sku:
            self._free = (sku, sku.capacity.minus(self.allocated))
        return self._free[1]

    @property
    def has_stopping_tasks(self) -> bool:
        """Whether something here is to end that has not ended yet."""
        return any(placement.stop_grace is not None for placement in self.placements.values())

    def preemptable_by_key(self) -> dict[PreemptionKey, Resources]:
        """What runs here and is not being stopped, summed by who may stop it."""
        if self._preemptable is None:
            sums: dict[PreemptionKey, Resources] = {}
            for placement in self.placements.values():
                if placement.stop_grace is None:
                    sums[placement.preemption_key] = sums.get(
                        placement.preemption_key, NO_RESOURCES
                    ).plus(placement.need)
            self._preemptable = sums
        return self._preemptable

    def load_by_priority(self) -> dict[tuple[bool, int], Resources]:
        """All that is on the machine, summed by whether it is accelerated and by rank."""
        if self._load is None:
            sums: dict[tuple[bool, int], Resources] = {}
            for placement in self.placements.values():
                kind = (placement.preemption_key.accelerated, placement.preemption_key.priority)
                sums[kind] = sums.get(kind, NO_RESOURCES).plus(placement.need)
            self._load = sums
        return self._load

    def cache_image(self, image: ImageName, gb: float, room: float) -> None:
        """The worker caches the most recently used images."""
        self.images.pop(image, None)
        self.images[image] = gb
        while len(self.images) > 1 and sum(self.images.values()) > room:
            del self.images[next(iter(self.images))]


class SchedulableMachines:
    """The machines that may be given tasks, and the room on each.

    Of a large fleet few machines change between two passes, and only those are looked at.
    """

    def __init__(self) -> None:
        self.changed: dict[MachineId, None] = {}  # in the order in which they did
        self.machines: dict[MachineId, Machine] = {}
        self.free: dict[MachineId, Resources] = {}
        self.by_offer: dict[MachineOffer, dict[MachineId, Machine]] = {}

    def refresh(
        self, machines: Mapping[MachineId, Machine], skus: Mapping[MachineTypeName, MachineType]
    ) -> None:
        for id in self.changed:
            machine = machines.get(id)
            sku = None if machine is None else skus.get(machine.type)
            if machine is not None and sku is not None and machine.schedulable:
                self.machines[id] = machine
                self.free[id] = machine.free(sku)
                self.by_offer.setdefault(machine.offer, {})[id] = machine
            elif id in self.machines:
                del self.free[id]
                del self.by_offer[self.machines.pop(id).offer][id]
        self.changed.clear()


def machines_with_room(
    machines: list[Machine], free: dict[MachineId, Resources], jobs: Iterable[Job]
) -> list[Machine]:
    """The machines with room for the least that any of the jobs takes: of a full fleet, few."""
    least = smallest_need(jobs)
    if least is None:
        return []
    # Said out, as it is asked of each machine in each pass: `least.fits(free[m.id])`.
    cores, accelerators, mem_gb = (part - ROUNDING_TOLERANCE for part in least)
    return [
        m
        for m in machines
        if (room := free[m.id])[0] >= cores and room[1] >= accelerators and room[2] >= mem_gb
    ]


def smallest_need(jobs: Iterable[Job], besides: Resources = NO_RESOURCES) -> Resources | None:
    """The least of each resource that a task of any of the jobs takes; None: there is no task.

    `besides`: one more task, if it takes anything.
    """
    needs = {job.need for job in jobs}
    if besides != NO_RESOURCES:
        needs.add(besides)
    if not needs:
        return None
    return Resources(*(min(parts) for parts in zip(*needs, strict=True)))
