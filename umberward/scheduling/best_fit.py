"""Best-fit descending, the placement step of BestFit (Algorithm 3, lines 19-32). No I/O.

The machines are sorted by allocated cores, descending. Tasks are assigned one at a time,
round-robin over the first D machines; a full machine is replaced by the next in order. D is 1 for
arrays and gangs and the requested spread for services.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from umberward.core.types import MachineId, Resources, ZoneName


class MachineRoom(NamedTuple):
    """The room that a job may use on one machine."""

    machine_id: MachineId
    zone: ZoneName
    free: Resources
    order: tuple[float, ...]  # sort key, smallest first


def best_fit(
    need: Resources,
    count: int,
    rooms: Iterable[MachineRoom],
    spread_width: int,
    remaining_in_zone: Callable[[ZoneName], int] | None = None,
) -> list[MachineId]:
    """Return machines for up to `count` tasks, in the order of assignment.

    `spread_width` is D above; `remaining_in_zone` returns how many more tasks of the job a zone may
    run.
    """
    ordered = sorted((room for room in rooms if need.fits(room.free)), key=lambda room: room.order)
    zone_limits: dict[ZoneName, int] = {}
    if remaining_in_zone is not None:
        for room in ordered:
            if room.zone not in zone_limits:
                zone_limits[room.zone] = remaining_in_zone(room.zone)
    active = ordered[: max(spread_width, 1)]  # the machines in rotation
    # Machines that replace full ones, in reverse order: pop() returns the next.
    replacements = ordered[max(spread_width, 1) :]
    replacements.reverse()
    task_limits: dict[MachineId, int] = {}  # set when a machine is first visited
    chosen: list[MachineId] = []
    active_index = 0
    while active and len(chosen) < count:
        active_index %= len(active)
        room = active[active_index]
        if room.machine_id not in task_limits:
            task_limits[room.machine_id] = need.count_within(room.free)
        if task_limits[room.machine_id] <= 0 or zone_limits.get(room.zone, 1) <= 0:
            if replacements:
                active[active_index] = replacements.pop()
            else:
                del active[active_index]
            continue
        task_limits[room.machine_id] -= 1
        if remaining_in_zone is not None:
            zone_limits[room.zone] -= 1
        chosen.append(room.machine_id)
        active_index += 1
    return chosen
