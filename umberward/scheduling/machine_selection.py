"""Selection of the machines for a job's tasks by best fit among the permitted ones. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Container, Mapping, Sequence
from typing import NamedTuple

from umberward.core.types import (
    MAX_TASKS_PER_JOB,
    ImageName,
    MachineId,
    Resources,
    ZoneName,
)
from umberward.scheduling.best_fit import MachineRoom, best_fit
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.heartbeat_room import room_for_small_tasks
from umberward.scheduling.jobs import Job, Placement
from umberward.scheduling.machines import Machine
from umberward.scheduling.quarantine import TrialMachine

# First part of the sort key of avoided machines and of trials; that of others is 0 or 1.
ORDER_OF_AVOIDED, ORDER_OF_TRIALS = 2.0, 3.0
MAX_SPREAD_MACHINES = 3  # machines over which replicas of a spread service go round-robin


class CandidateMachines(NamedTuple):
    """The machines to search, and the room that the job may use on each."""

    machines: list[Machine]
    free: Mapping[MachineId, Resources]
    # Machines on which the job must leave the headroom for accelerated work free.
    restricted: Container[MachineId] = ()
    # Quarantined machines that the job may try, after all others.
    trials: Sequence[TrialMachine] = ()
    # The part that small tasks may use of the room reserved for larger ones (`heartbeat_room`).
    reserved_fraction: float = 0.0


def choose_machines(
    cluster: ClusterState,
    job: Job,
    count: int,
    candidates: CandidateMachines,
    *,
    ending: Placement | None = None,
    preferred: Container[MachineId] = (),
) -> list[MachineId]:
    """Return a machine for each of up to `count` tasks, in the order of assignment.

    `ending`: a placement of the job that is about to end and is not counted. `preferred`: the
    machines on which room is reserved for the job; without them a moved replica would return to
    where its image is.
    """
    cluster.room_searches += 1
    spec = job.spec
    tasks_by_zone = Counter(
        placement.zone for placement in job.placements.values() if placement is not ending
    )
    if job.unlocated_tasks and (spec.same_zone or spec.spread):
        return []  # these tasks may be in any zone
    rooms = _machine_rooms(cluster, job, candidates, preferred)
    if not rooms or (job.gang and not _fits_whole(job, count, rooms)):
        return []
    if spec.same_zone:
        return _choose_zone(job, count, rooms, set(tasks_by_zone))
    remaining_in_zone: Callable[[ZoneName], int] | None = None
    spread_width = 1
    if spec.spread:
        max_per_zone = max_tasks_per_zone(job)

        def remaining_in_zone(zone: ZoneName) -> int:
            return max_per_zone - tasks_by_zone.get(zone, 0)

        if job.service:
            spread_width = min(MAX_SPREAD_MACHINES, job.size)
    return best_fit(job.need, count, rooms, spread_width, remaining_in_zone)


def max_tasks_per_zone(job: Job) -> int:
    """Return the limit of the job's tasks per zone: half of them if the job is spread."""
    return (job.size + 1) // 2 if job.spec.spread else MAX_TASKS_PER_JOB


def _machine_rooms(
    cluster: ClusterState, job: Job, candidates: CandidateMachines, preferred: Container[MachineId]
) -> list[MachineRoom]:
    """Return the machines that may run a task, with their sort keys.

    Machines on which the job's tasks have failed are returned only if there are no others, or as
    the last ones for a gang, which may need them besides the others.
    """
    machines, free, restricted, trials, reserved_fraction = candidates
    need, headroom_need = job.need, cluster.headroom.largest_accelerator_need
    image = ImageName(job.spec.image)
    suitable = cluster.suitable_offers(job)
    avoided = job.avoided_machines
    small_on = cluster.types_with_small_tasks(job)
    fitting = [
        (machine, room)
        for machine in machines
        if machine.offer in suitable
        and need.fits(room := free[machine.id])
        and (
            machine.machine_type not in small_on
            or need.fits(room := room_for_small_tasks(room, reserved_fraction))
        )
        and (machine.id not in restricted or need.fits(room := room.minus(headroom_need)))
    ]
    rooms = [
        MachineRoom(
            machine.id,
            machine.zone,
            room,
            (machine.id not in preferred, *_preference(cluster, job, machine, image)),
        )
        for machine, room in fitting
        if machine.id not in avoided
    ]
    if avoided and (job.gang or not rooms):
        rooms += [
            MachineRoom(
                machine.id, machine.zone, room, (ORDER_OF_AVOIDED, -machine.allocated.cores)
            )
            for machine, room in fitting
            if machine.id in avoided
        ]
    return rooms + [
        _trial_room(job, trial)
        for trial in trials
        if trial.machine.offer in suitable and need.fits(trial.free)
    ]


def _fits_whole(job: Job, count: int, rooms: list[MachineRoom]) -> bool:
    """Whether so many tasks fit at all; if not, none of a gang needs a machine."""
    return sum(job.need.count_within(room.free) for room in rooms) >= count


def _trial_room(job: Job, trial: TrialMachine) -> MachineRoom:
    """Return a quarantined machine, as the last one: room for one task, or for all of a gang."""
    room = trial.free if job.gang else job.need
    return MachineRoom(trial.machine.id, trial.machine.zone, room, (ORDER_OF_TRIALS,))


def _choose_zone(
    job: Job, count: int, rooms: list[MachineRoom], used_zones: set[ZoneName]
) -> list[MachineId]:
    """Choose machines in one zone: that of the job's other tasks, else where most tasks fit."""
    if len(used_zones) > 1:
        return []
    best: list[MachineId] = []
    for zone in used_zones or sorted({room.zone for room in rooms}):
        rooms_in_zone = [room for room in rooms if room.zone == zone]
        chosen = best_fit(job.need, count, rooms_in_zone, 1)
        if len(chosen) > len(best):
            best = chosen
    return best


def _preference(
    cluster: ClusterState, job: Job, machine: Machine, image: ImageName
) -> tuple[float, ...]:
    """Return the machine's sort key for the job, smallest first.

    The criteria, most significant first:

    - Replicas and gangs: a cached image, as their start waits for it; few accelerators; best fit.
    - Accelerated work: spot machines; headroom machines; allocated accelerators; a cached image;
      best fit.
    - Other work: machines outside the headroom; spot machines; few accelerators; a cached image;
      best fit.

    Best fit means the most allocated cores first. Spot machines come first for work that may use
    them, as other work may not.
    """
    image_missing = 0.0 if image in machine.images else 1.0
    not_spot = 0.0 if machine.spot else 1.0
    accelerators = cluster.machine_types[machine.machine_type].accelerators
    if job.service or job.gang:
        return (image_missing, accelerators, -machine.allocated.cores)
    is_headroom_machine = float(machine.id in cluster.headroom_machines)
    if job.need.accelerators > 0:
        # Fill expensive machines one by one, headroom machines first as they are kept anyway, so
        # that the others become empty and can be returned.
        return (
            not_spot,
            1.0 - is_headroom_machine,
            -machine.allocated.accelerators,
            image_missing,
            -machine.allocated.cores,
        )
    return (is_headroom_machine, not_spot, accelerators, image_missing, -machine.allocated.cores)
