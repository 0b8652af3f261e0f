"""Summaries of the fleet and of commands in flight for the leader's periodic log lines. No I/O.

The field names are part of the log format (docs/operators/log.md) and must not change.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from umberward.core.types import MachineOffer
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.machines import Machine

LogFields = dict[str, str | int | float | bool]

UNKNOWN_JOB_CLASS = "-"  # shown for tasks whose job is no longer live


class _ClassBacklog(NamedTuple):
    """The tasks of one job class that wait for a machine."""

    jobs: int
    tasks: int
    oldest_submitted_at: float


def fleet_summary(cluster: ClusterState) -> list[LogFields]:
    """Return the log fields of one line per machine offer, then of one per waiting job class."""
    return [*_offer_lines(cluster), *_backlog_lines(cluster)]


def _offer_lines(cluster: ClusterState) -> list[LogFields]:
    machines_by_offer: dict[MachineOffer, list[Machine]] = {}
    for machine in cluster.machines.values():
        machines_by_offer.setdefault(machine.offer, []).append(machine)
    return [
        _offer_line(cluster, offer, machines)
        for offer, machines in sorted(machines_by_offer.items())
    ]


def _offer_line(cluster: ClusterState, offer: MachineOffer, machines: list[Machine]) -> LogFields:
    """Count the machines of one offer, the empty ones, and the share of allocated cores."""
    total_cores = sum(
        cluster.machine_types[machine.machine_type].cores
        for machine in machines
        if machine.machine_type in cluster.machine_types
    )
    allocated_cores = sum(machine.allocated.cores for machine in machines)
    tasks_by_class: Counter[str] = Counter()
    for machine in machines:
        for placement in machine.placements.values():
            job = cluster.jobs.get(placement.task.job)
            tasks_by_class[job.spec.job_class if job is not None else UNKNOWN_JOB_CLASS] += 1
    return {
        **offer._asdict(),
        "machines": len(machines),
        "empty": sum(1 for machine in machines if not machine.placements),
        "not_usable": sum(1 for machine in machines if not machine.schedulable),
        "percent_booked": round(100 * allocated_cores / total_cores) if total_cores else 0,
        "holds": ",".join(f"{name}:{count}" for name, count in sorted(tasks_by_class.items())),
    }


def _backlog_lines(cluster: ClusterState) -> list[LogFields]:
    backlogs: dict[str, _ClassBacklog] = {}
    for job in cluster.jobs_to_place.values():
        tasks = job.startable_count()
        if not tasks:
            continue
        empty = _ClassBacklog(0, 0, job.submitted_at)
        backlog = backlogs.get(job.spec.job_class, empty)
        backlogs[job.spec.job_class] = _ClassBacklog(
            backlog.jobs + 1,
            backlog.tasks + tasks,
            min(backlog.oldest_submitted_at, job.submitted_at),
        )
    return [
        {
            "waiting": job_class,
            "tasks": backlog.tasks,
            "jobs": backlog.jobs,
            "oldest_s": round(cluster.wall_clock() - backlog.oldest_submitted_at),
        }
        for job_class, backlog in sorted(backlogs.items())
    ]


def inflight_summary(cluster: ClusterState, deferred_forget_count: int) -> dict[str, int]:
    """Count the starts that may still reach a worker, and related events of this term."""
    inflight_counts = [len(machine.inflight_starts) for machine in cluster.machines.values()]
    return {
        "may_arrive": sum(inflight_counts),
        "machines": sum(1 for count in inflight_counts if count),
        "forgets_put_off": deferred_forget_count,
        "forgets_waiting": sum(
            1 for machine in cluster.machines.values() if machine.forget_deferred_since is not None
        ),
        "token_raises": cluster.token_rotation.count,
        "violations": sum(cluster.invariants.violations.values()),
    }
