"""Preemption plans for whole gangs, as a gang cannot start with part of its room. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from umberward.core.types import ImageName, MachineId, Resources, ZoneName
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.gang_reservation import ANY_ZONE
from umberward.scheduling.jobs import Job, Placement
from umberward.scheduling.machines import Machine
from umberward.scheduling.preemptable_work import PreemptableWork
from umberward.scheduling.room_reservation import RoomReservations

VICTIM_STOP_S = 0.1  # time for a victim to stop, besides saving its checkpoint


class GangStep(NamedTuple):
    """Room for some of a gang's tasks on one machine, and its cost."""

    ready_in_s: float  # until a task could start there
    lost_work: float  # core-seconds that must be repeated
    machine_id: MachineId
    task_count: int
    victims: list[Placement]


def plan_gang_preemption(
    cluster: ClusterState,
    job: Job,
    work: PreemptableWork,
    reservations: RoomReservations,
    reserved_for_others: set[MachineId],
) -> list[GangStep]:
    """Return the plan for the whole gang that loses the least work; empty: there is no room.

    `reserved_for_others`: the machines that are reserved for other gangs.
    """
    steps_by_zone = _steps_by_zone(cluster, job, work, reservations, reserved_for_others)
    best: list[GangStep] = []
    least_lost = 0.0
    for steps in steps_by_zone.values():
        steps.sort(key=lambda step: step[:3])
        picked: list[GangStep] = []
        missing_tasks = job.size
        while missing_tasks > 0 and len(picked) < len(steps):
            picked.append(steps[len(picked)])
            missing_tasks -= picked[-1].task_count
        lost_work = sum(step.lost_work for step in picked)
        if missing_tasks <= 0 and (not best or lost_work < least_lost):
            best, least_lost = picked, lost_work
    return best


def _steps_by_zone(
    cluster: ClusterState,
    job: Job,
    work: PreemptableWork,
    reservations: RoomReservations,
    reserved_for_others: set[MachineId],
) -> dict[ZoneName, list[GangStep]]:
    """Return the possible steps by zone, all under `ANY_ZONE` if the gang may span zones."""
    steps_by_zone: dict[ZoneName, list[GangStep]] = {}
    preemptable_by_machine = work.preemptable_room(job)
    for machine in work.machines_of(cluster.suitable_offers(job)):
        if machine.id in reservations or machine.id in reserved_for_others:
            continue
        zone = machine.zone if job.spec.same_zone else ANY_ZONE
        steps = steps_by_zone.setdefault(zone, [])
        step = _step(cluster, job, machine, work, preemptable_by_machine)
        if step is not None:
            steps.append(step)
    return steps_by_zone


def _step(
    cluster: ClusterState,
    job: Job,
    machine: Machine,
    work: PreemptableWork,
    preemptable_by_machine: dict[MachineId, tuple[Machine, Resources]],
) -> GangStep | None:
    """Return a step for free room, else for one task by preemption; None: neither is possible."""
    free = cluster.room_for_job(job, machine.machine_type, work.free[machine.id])
    ready_in_s = _image_pull_s(cluster, job, machine)
    task_count = job.need.count_within(free)
    if task_count:
        return GangStep(ready_in_s, 0.0, machine.id, task_count, [])
    if machine.id not in preemptable_by_machine or not job.need.fits(
        free.plus(preemptable_by_machine[machine.id][1])
    ):
        return None
    plan = work.plan(machine, job, free)
    if plan is None:
        return None
    ready_in_s += _stop_s(cluster, plan.victims)
    return GangStep(ready_in_s, plan.cost.lost_work, machine.id, 1, plan.victims)


def _image_pull_s(cluster: ClusterState, job: Job, machine: Machine) -> float:
    """Return the seconds that the machine needs to pull the job's image; 0 if it is cached."""
    if ImageName(job.spec.image) in machine.images:
        return 0.0
    return job.spec.image_gb / cluster.machine_types[machine.machine_type].image_pull_gb_per_s


def _stop_s(cluster: ClusterState, victims: list[Placement]) -> float:
    """Return the seconds that the victims take to save checkpoints and stop; always positive."""
    owners = (cluster.jobs.get(victim.task.job) for victim in victims)
    return (
        max((owner.spec.checkpoint_cost_s for owner in owners if owner), default=0.0)
        + VICTIM_STOP_S
    )
