"""Which machines to return to the cloud, as nothing needs them. Pure."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from umberward.core.types import Instant, JobId
from umberward.scheduling.jobs import Job
from umberward.scheduling.machines import Machine
from umberward.scheduling.scheduler import Scheduler
from umberward.scheduling.spot_policy import AffordableMachines


def unneeded_machines(
    scheduler: Scheduler, affordable: Mapping[JobId, AffordableMachines], now: Instant
) -> list[Machine]:
    """Return the machines that have been empty for long, and those quarantined for their faults.

    `affordable`: the jobs that wait for spot machines. None is returned before each machine's tasks
    are known.
    """
    if not scheduler.reconciliation_completed:
        return []
    # Jobs of one class need the same: one of them stands for all.
    waiting = {
        (job.placement_class, job.id in affordable): job
        for job, _ in scheduler.jobs_without_room(now)
    }.values()
    headroom = scheduler.headroom
    kept_for_headroom = headroom.open_task_count() if scheduler.operator.rent_spare > 0 else 0
    found = []
    for machine in scheduler.machines.values():
        if not _is_empty(scheduler, machine):
            continue
        if machine.quarantined:
            # Others may still exonerate it: a faulty job fails in the same way.
            if scheduler.failure_attribution.machine_is_faulty(machine, now):
                found.append(machine)
        elif kept_for_headroom > 0 and headroom.could_run(*machine.offer):
            kept_for_headroom -= 1  # it would be requested again
        elif _is_idle_for_long(scheduler, machine, now) and not _is_wanted(
            scheduler, machine, waiting, affordable
        ):
            found.append(machine)
    return found


def _is_empty(scheduler: Scheduler, machine: Machine) -> bool:
    """Tell whether the machine surely runs nothing, and no start may still arrive there."""
    return (
        not (machine.placements or machine.unplaced_tasks or machine.deletion_requested)
        and machine.reconciled
        and not scheduler.has_unwanted_start(machine)
    )


def _is_idle_for_long(scheduler: Scheduler, machine: Machine, now: Instant) -> bool:
    """Tell whether it is idle for longer than operators allow, and than a new one takes to boot."""
    machine_type = scheduler.machine_types.get(machine.machine_type)
    boot_s = machine_type.boot_s if machine_type is not None else 0.0
    idle_s = now - max(machine.idle_since, machine.known_since)
    return idle_s > max(scheduler.operator.idle_seconds, boot_s)


def _is_wanted(
    scheduler: Scheduler,
    machine: Machine,
    waiting: Collection[Job],
    affordable: Mapping[JobId, AffordableMachines],
) -> bool:
    """Tell whether a waiting job could use it: a gang may wait for more machines than this one."""
    machine_type = scheduler.machine_types.get(machine.machine_type)
    return machine_type is not None and any(
        job.need.fits(machine_type.capacity)
        and scheduler.admits_offer(job, *machine.offer)
        and (job.id not in affordable or machine.offer in affordable[job.id].offers)
        for job in waiting
    )
