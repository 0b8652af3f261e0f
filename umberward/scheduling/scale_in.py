"""Selection of unneeded machines to drain. No I/O."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from umberward.core.types import Instant, JobId
from umberward.scheduling.jobs import Job
from umberward.scheduling.machines import Machine
from umberward.scheduling.scheduler import Scheduler
from umberward.scheduling.spot_policy import AffordableMachines


def unneeded_machines(
    scheduler: Scheduler, affordable_by_job: Mapping[JobId, AffordableMachines], now: Instant
) -> list[Machine]:
    """Return the machines that have been idle for too long, and empty quarantined faulty ones.

    `affordable_by_job`: the jobs that wait for affordable machines. The result is empty until
    reconciliation is complete, so that the tasks of every machine are known.
    """
    if not scheduler.reconciliation_completed:
        return []
    # Jobs of one placement class have equal needs: keep one for each class.
    waiting = {
        (job.placement_class, job.id in affordable_by_job): job
        for job, _ in scheduler.jobs_without_room(now)
    }.values()
    headroom = scheduler.headroom
    kept_for_headroom = headroom.headroom_task_count() if scheduler.operator.rent_spare > 0 else 0
    unneeded = []
    for machine in scheduler.machines.values():
        if not _is_empty(scheduler, machine):
            continue
        if machine.quarantined:
            if _is_unneeded_in_quarantine(scheduler, machine, now):
                unneeded.append(machine)
        elif kept_for_headroom > 0 and headroom.could_run_accelerated(*machine.offer):
            kept_for_headroom -= 1  # else it would be requested again
        elif _exceeds_idle_limit(scheduler, machine, now) and not _is_wanted(
            scheduler, machine, waiting, affordable_by_job
        ):
            unneeded.append(machine)
    return unneeded


def _is_unneeded_in_quarantine(scheduler: Scheduler, machine: Machine, now: Instant) -> bool:
    """Tell whether a quarantined machine is faulty, or merely idle and no longer suspected.

    A faulty job fails in the same way as a faulty machine: failures on other machines may still
    show that the job is faulty and not this machine.
    """
    if scheduler.quarantines.is_faulty(machine, now):
        return True
    no_longer_suspected = machine.quarantine is not None and machine.quarantine.evidence_withdrawn
    return no_longer_suspected and _exceeds_idle_limit(scheduler, machine, now)


def _is_empty(scheduler: Scheduler, machine: Machine) -> bool:
    """Tell whether the machine certainly runs nothing and is not being deleted.

    No start of a task that is to be stopped may still be executed on it.
    """
    return (
        not (machine.placements or machine.tasks_without_placement or machine.draining)
        and machine.reconciled
        and not scheduler.has_unwanted_start(machine)
    )


def _exceeds_idle_limit(scheduler: Scheduler, machine: Machine, now: Instant) -> bool:
    """Tell whether it is idle for longer than the operators' limit and the boot time."""
    machine_type = scheduler.machine_types.get(machine.machine_type)
    boot_s = machine_type.boot_s if machine_type is not None else 0.0
    idle_s = now - max(machine.idle_since, machine.known_since)
    return idle_s > max(scheduler.operator.idle_seconds, boot_s)


def _is_wanted(
    scheduler: Scheduler,
    machine: Machine,
    waiting: Collection[Job],
    affordable_by_job: Mapping[JobId, AffordableMachines],
) -> bool:
    """Tell whether a waiting job could use it, such as a gang that waits for more machines."""
    machine_type = scheduler.machine_types.get(machine.machine_type)
    return machine_type is not None and any(
        job.need.fits(machine_type.capacity)
        and scheduler.admits_offer(job, *machine.offer)
        and (job.id not in affordable_by_job or machine.offer in affordable_by_job[job.id].offers)
        for job in waiting
    )
