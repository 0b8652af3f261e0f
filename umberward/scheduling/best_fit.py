"""Best-fit descending, the placement step of BestFit (Algorithm 3, lines 19-32). Pure.

The machines are sorted by how many cores are booked, most first, and are filled in round-robin
order from the first D, each taking what fits. A machine that is full leaves the list and the next
in order takes its turn. D is 1 for arrays and gangs and the asked spread for services.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from umberward.core.types import MachineId, Resources, ZoneName


class MachineRoom(NamedTuple):
    machine_id: MachineId
    zone: ZoneName
    free: Resources
    order: tuple[float, ...]  # sort key, smallest first


def best_fit(
    need: Resources,
    count: int,
    rooms: Iterable[MachineRoom],
    distinct: int,
    zone_left: Callable[[ZoneName], int] | None = None,
) -> list[MachineId]:
    """Machines for up to `count` tasks, in the order in which tasks are to take them.

    `zone_left` bounds how many more tasks of the job a zone may take.
    """
    ready = sorted((room for room in rooms if need.fits(room.free)), key=lambda room: room.order)
    left: dict[MachineId, int] = {}  # of the machines whose turn has come
    zones: dict[ZoneName, int] = {}
    if zone_left is not None:
        for room in ready:
            if room.zone not in zones:
                zones[room.zone] = zone_left(room.zone)
    chosen: list[MachineId] = []
    ring = ready[: max(distinct, 1)]
    rest = ready[max(distinct, 1) :]
    rest.reverse()
    turn = 0
    while ring and len(chosen) < count:
        turn %= len(ring)
        room = ring[turn]
        if room.machine_id not in left:
            left[room.machine_id] = need.count_within(room.free)
        if left[room.machine_id] <= 0 or zones.get(room.zone, 1) <= 0:
            if rest:
                ring[turn] = rest.pop()
            else:
                del ring[turn]
            continue
        left[room.machine_id] -= 1
        if zone_left is not None:
            zones[room.zone] -= 1
        chosen.append(room.machine_id)
        turn += 1
    return chosen
