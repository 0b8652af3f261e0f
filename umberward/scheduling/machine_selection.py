"""Which machines a job's tasks go to: what may take them, in the order of best fit. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Container

from umberward.core.types import (
    ImageName,
    MachineId,
    Resources,
    ZoneName,
)
from umberward.scheduling.best_fit import MachineRoom, best_fit
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.jobs import Job, Placement
from umberward.scheduling.machines import Machine


def choose_machines(
    cluster: ClusterState,
    job: Job,
    count: int,
    usable: list[Machine],
    free: dict[MachineId, Resources],
    barred: set[MachineId],
    leaving: Placement | None = None,
    prefer: Container[MachineId] = (),
) -> list[MachineId]:
    """`leaving` is about to end, `prefer` is where room was made for the job: a replica that
    moves would else go back to where its image is."""
    cluster.searches += 1
    spec = job.spec
    need = job.need
    image = ImageName(spec.image)
    zones: dict[ZoneName, int] = {}
    for placement in job.placements.values():
        if placement is not leaving:
            zones[placement.zone] = zones.get(placement.zone, 0) + 1
    if job.unlocated_tasks and (spec.same_zone or spec.spread):
        return []  # a task of the job may be in a zone that we cannot name
    suits = cluster.suitable_offers(job)
    avoided = job.avoided_machines
    fitting = [
        (m, room)
        for m in usable
        if m.offer in suits
        and need.fits(room := free[m.id])
        and (m.id not in barred or need.fits(room := room.minus(cluster.headroom.need)))
    ]
    rooms = [
        MachineRoom(m.id, m.zone, room, (m.id not in prefer, *_preference(cluster, job, m, image)))
        for m, room in fitting
        if m.id not in avoided
    ]
    if not rooms and avoided:
        rooms = [MachineRoom(m.id, m.zone, room, (-m.allocated.cores,)) for m, room in fitting]
    if not rooms:
        return []
    if spec.same_zone:
        return _choose_zone(job, count, rooms, set(zones))
    left: Callable[[ZoneName], int] | None = None
    distinct = 1
    if spec.spread:
        cap = (job.size + 1) // 2

        def left(zone: ZoneName) -> int:
            return cap - zones.get(zone, 0)

    if job.service:
        distinct = min(3, job.size) if spec.spread else 1
    return best_fit(need, count, rooms, distinct, left)


def _choose_zone(
    job: Job, count: int, rooms: list[MachineRoom], taken: set[ZoneName]
) -> list[MachineId]:
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


def _preference(
    cluster: ClusterState, job: Job, machine: Machine, image: ImageName
) -> tuple[float, ...]:
    """Before the most cores booked come the image, where a replica's start waits for it;
    spot machines, for work that may use them, as other work may not; and machines without
    accelerators."""
    fetch = 0.0 if image in machine.images else 1.0
    scarce = 0.0 if machine.spot else 1.0
    accelerators = cluster.machine_types[machine.type].accelerators
    if job.service or job.gang:
        return (fetch, accelerators, -machine.allocated.cores)
    kept = float(machine.id in cluster.headroom_machines)
    if job.need.accelerators > 0:
        # It fills one dear machine after the other, those first that are kept anyway: what gets
        # empty can be returned.
        return (
            scarce,
            1.0 - kept,
            -machine.allocated.accelerators,
            fetch,
            -machine.allocated.cores,
        )
    return (kept, scarce, accelerators, fetch, -machine.allocated.cores)
