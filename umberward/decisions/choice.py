"""Which machines a job's tasks go to: what may take them, in the order of best fit. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Container

from umberward.core.types import (
    Amount,
    ImageName,
    MachineId,
    ZoneName,
)
from umberward.decisions.cluster import Cluster
from umberward.decisions.fleet import Machine
from umberward.decisions.jobs import Job, Placement
from umberward.decisions.placement import Room, best_fit


def choose(
    cluster: Cluster,
    job: Job,
    count: int,
    usable: list[Machine],
    free: dict[MachineId, Amount],
    barred: set[MachineId],
    leaving: Placement | None = None,
    prefer: Container[MachineId] = (),
) -> list[MachineId]:
    """`leaving` is about to end, `prefer` is where room was made for the job: a replica that
    moves would else go back to where its image is."""
    cluster.searches += 1
    spec = job.spec
    need = job.need
    image = ImageName(spec.bundle)
    zones: dict[ZoneName, int] = {}
    for placement in job.placed.values():
        if placement is not leaving:
            zones[placement.zone] = zones.get(placement.zone, 0) + 1
    if job.unsure and (spec.same_place or spec.apart):
        return []  # a task of the job may be in a zone that we cannot name
    suits = cluster.suits(job)
    avoided = job.avoided
    fitting = [
        (m, room)
        for m in usable
        if m.offer in suits
        and need.fits(room := free[m.id])
        and (m.id not in barred or need.fits(room := room.minus(cluster.reserve.need)))
    ]
    rooms = [
        Room(m.id, m.zone, room, (m.id not in prefer, *_order(cluster, job, m, image)))
        for m, room in fitting
        if m.id not in avoided
    ]
    if not rooms and avoided:
        rooms = [Room(m.id, m.zone, room, (-m.booked.cores,)) for m, room in fitting]
    if not rooms:
        return []
    if spec.same_place:
        return _choose_zone(job, count, rooms, set(zones))
    left: Callable[[ZoneName], int] | None = None
    distinct = 1
    if spec.apart:
        cap = (job.size + 1) // 2

        def left(zone: ZoneName) -> int:
            return cap - zones.get(zone, 0)

    if job.service:
        distinct = min(3, job.size) if spec.apart else 1
    return best_fit(need, count, rooms, distinct, left)


def _choose_zone(job: Job, count: int, rooms: list[Room], taken: set[ZoneName]) -> list[MachineId]:
    """All tasks in one zone: where the others are, else where most fit."""
    if len(taken) > 1:
        return []
    best: list[MachineId] = []
    for zone in taken or sorted({room.zone for room in rooms}):
        here = [room for room in rooms if room.zone == zone]
        chosen = best_fit(job.need, count, here, 1)
        if len(chosen) > len(best):
            best = chosen
    return best


def _order(cluster: Cluster, job: Job, machine: Machine, image: ImageName) -> tuple[float, ...]:
    """Before the most cores booked come the image, where a replica's start waits for it;
    spot machines, for work that may use them, as other work may not; and machines without
    accelerators."""
    fetch = 0.0 if image in machine.images else 1.0
    scarce = 0.0 if machine.spot else 1.0
    accelerators = cluster.skus[machine.type].accelerators
    if job.service or job.gang:
        return (fetch, accelerators, -machine.booked.cores)
    kept = float(machine.id in cluster.kept)
    if job.need.accelerators > 0:
        # It fills one dear machine after the other, those first that are kept anyway: what gets
        # empty can be returned.
        return (scarce, 1.0 - kept, -machine.booked.accelerators, fetch, -machine.booked.cores)
    return (kept, scarce, accelerators, fetch, -machine.booked.cores)
