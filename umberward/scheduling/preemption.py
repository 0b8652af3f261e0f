"""Preemption: work of lower precedence is stopped to make room for a job. No I/O.

The room is reserved for the job until the victims have left the machine.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from umberward.core.log import logger
from umberward.core.types import ImageName, Instant, MachineId, ZoneName
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.gang_preemption import plan_gang_preemption
from umberward.scheduling.jobs import Job, Placement
from umberward.scheduling.machine_selection import (
    CandidateMachines,
    choose_machines,
    max_tasks_per_zone,
)
from umberward.scheduling.machines import Machine
from umberward.scheduling.objectives import NO_STRICTEST_OBJECTIVES
from umberward.scheduling.preemptable_work import PreemptableWork
from umberward.scheduling.room_reservation import RoomReservations
from umberward.scheduling.victim_selection import VictimCost

log = logger(__name__)

SEARCH_INTERVAL_S = 0.1  # between searches, as each one examines all running tasks
MAX_MACHINES_CLEARED_PER_PASS = 16  # for one job
JOB_PREEMPTION_PAUSE_S = 1.5  # between preemptions for one job: by then its last victims are gone


class _MachinePlan(NamedTuple):
    """The victims that clear room for one task on a machine; sorted by the first three fields."""

    image_missing: bool
    cost: VictimCost
    machine_id: MachineId
    victims: list[Placement]


class Preemption:
    """Selects victims for a job, stops them, and reserves the room."""

    def __init__(self, cluster: ClusterState, now: Instant) -> None:
        """Allow a first search at `now`, a time of the leader's monotonic clock."""
        self.cluster = cluster
        self.reservations = RoomReservations(cluster)
        # Machines that the job being placed may not use: they are reserved for other gangs.
        self.machines_reserved_for_others: set[MachineId] = set()
        self.search_not_before = now

    def claim_search_if_due(self, waiting: list[Job], now: Instant) -> bool:
        """Tell whether to search in this pass; if so, delay the next search by the interval.

        Replicas that need a cached image to start in time cause a search even before the interval
        has passed.
        """
        if now < self.search_not_before and not any(
            job.service and self.needs_cached_image(job) for job in waiting
        ):
            return False
        self.search_not_before = Instant(now + SEARCH_INTERVAL_S)
        return True

    def preempt(
        self,
        job: Job,
        count: int,
        work: PreemptableWork,
        excluded: set[MachineId],
        *,
        image_cached_only: bool = False,
        ending: Placement | None = None,
    ) -> int:
        """Clear room for up to `count` tasks; return for how many room is being cleared.

        `excluded`: machines that are not cleared. `image_cached_only`: clear only machines with the
        job's image. `ending`: a placement of the job that is about to end.
        """
        if not self._may_preempt_now(job, work.now):
            return 0
        if job.gang and job.size > 1:
            return self._preempt_for_gang(job, work)
        kind = (
            job.placement_class,
            job.precedence,
            job.priority,
            frozenset(self.machines_reserved_for_others),
        )
        if job.placeable_by_class_alone and kind in work.kinds_without_victims:
            return 0
        zones = [placement.zone for placement in job.placements.values() if placement is not ending]
        plans = self._machine_plans(job, work, excluded, zones, image_cached_only=image_cached_only)
        cleared = self._clear_machines(job, count, plans, zones, work.now)
        if not cleared and job.placeable_by_class_alone and not image_cached_only:
            work.kinds_without_victims.add(kind)
        return cleared

    def _may_preempt_now(self, job: Job, now: Instant) -> bool:
        if now - job.room_reserved_at < JOB_PREEMPTION_PAUSE_S or job.faulty:
            return False
        if job.service or job.gang:
            return True
        # Arrays wait first: tasks end all the time, and the next free room goes to this job.
        waited_s = self.cluster.wall_clock() - job.ready_at
        return waited_s >= self.cluster.preemption_delay_s(job)

    def _machine_plans(
        self,
        job: Job,
        work: PreemptableWork,
        excluded: set[MachineId],
        zones: list[ZoneName],
        *,
        image_cached_only: bool,
    ) -> list[_MachinePlan]:
        """Return the machines that can be cleared for one task each, best first."""
        image = ImageName(job.spec.image)
        max_per_zone = max_tasks_per_zone(job)
        suitable = self.cluster.suitable_offers(job)
        plans = [
            _MachinePlan(image not in machine.images, plan.cost, machine_id, plan.victims)
            for machine_id, (machine, preemptable) in work.preemptable_room(job).items()
            if machine.offer in suitable
            and (not image_cached_only or image in machine.images)
            and machine_id not in self.reservations.by_machine
            and machine_id not in excluded
            and machine_id not in self.machines_reserved_for_others
            and (free := work.free.get(machine_id)) is not None
            and job.need.fits(
                (room := self.cluster.room_for_job(job, machine.machine_type, free)).plus(
                    preemptable
                )
            )
            and zones.count(machine.zone) < max_per_zone
            and (not job.spec.same_zone or all(zone == machine.zone for zone in zones))
            and (plan := work.plan(machine, job, room)) is not None
        ]
        plans.sort(key=lambda plan: plan[:3])
        return plans

    def _clear_machines(
        self, job: Job, count: int, plans: list[_MachinePlan], zones: list[ZoneName], now: Instant
    ) -> int:
        """Carry out the best plans; return how many were."""
        max_per_zone = max_tasks_per_zone(job)
        cleared = 0
        victims_by_machine: list[list[Placement]] = []
        for plan in plans:
            if cleared >= min(count, MAX_MACHINES_CLEARED_PER_PASS):
                break
            # The job cannot use more room in this zone than its limit per zone.
            zone = self.cluster.machines[plan.machine_id].zone
            if zones.count(zone) >= max_per_zone or any(
                victim.stop_grace_s is not None for victim in plan.victims
            ):
                continue
            zones.append(zone)
            cleared += 1
            victims_by_machine.append(plan.victims)
            self._reserve_and_stop(job, plan.machine_id, 1, plan.victims, now)
        _log_preempted(job, victims_by_machine)
        return cleared

    def _preempt_for_gang(self, job: Job, work: PreemptableWork) -> int:
        """Clear room for the whole gang, or none; return the number of its tasks."""
        # If one gang finds no room, no other of its kind does in this pass.
        kind = (
            job.placement_class,
            job.precedence,
            job.priority,
            job.size,
            job.spec.same_zone,
            frozenset(self.machines_reserved_for_others),
        )
        if kind in work.kinds_without_victims:
            return 0
        steps = plan_gang_preemption(
            self.cluster, job, work, self.reservations, self.machines_reserved_for_others
        )
        if not steps:
            work.kinds_without_victims.add(kind)
            return 0
        missing_tasks = job.size
        for step in steps:
            task_count = min(step.task_count, missing_tasks)
            self._reserve_and_stop(job, step.machine_id, task_count, step.victims, work.now)
            missing_tasks -= step.task_count
        _log_preempted(job, [step.victims for step in steps])
        return job.size

    def _reserve_and_stop(
        self,
        job: Job,
        machine_id: MachineId,
        task_count: int,
        victims: list[Placement],
        now: Instant,
    ) -> None:
        """Stop the victims and reserve room for `task_count` of the job's tasks.

        There may be no victims; the pause until the next preemption for the job starts anyway.
        """
        self.reservations.add(job, machine_id, task_count, now)
        job.room_reserved_at = now
        for victim in victims:
            if victim.stop_grace_s is not None:
                continue  # stopped together with another task of its gang
            owner = self.cluster.jobs.get(victim.task.job)
            grace_s = 0.0
            if owner is not None and not job.service:
                grace_s = owner.spec.checkpoint_cost_s
            log.debug("preempting_task", task=victim.task, machine=machine_id, for_job=job.id)
            # A gang saves a checkpoint only if all its tasks get the stop command in time.
            whole_gang = owner.placements.values() if owner is not None and owner.gang else [victim]
            for placement in list(whole_gang):
                self.cluster.stop(placement, grace_s)

    def reserve(self, job: Job, machine_id: MachineId, now: Instant) -> None:
        """Reserve free room for one of the job's tasks that is about to move there."""
        self._reserve_and_stop(job, machine_id, 1, [], now)

    # ---- replicas that need a machine with their image cached ----------------------------

    def needs_cached_image(self, job: Job) -> bool:
        """Tell whether the job can still start in time, but not if it had to pull its image."""
        start_within_s, _ = self.cluster.strictest_objectives.get(
            job.spec.job_class, NO_STRICTEST_OBJECTIVES
        )
        if start_within_s is None:
            return False
        left_s = start_within_s - (self.cluster.wall_clock() - job.ready_at)
        return 0.0 < left_s < self.cluster.slowest_image_pull_s(job)

    def preempt_where_image_cached(
        self,
        job: Job,
        count: int,
        machines: list[Machine],
        work: PreemptableWork,
        excluded: set[MachineId],
    ) -> int:
        """Clear room for replicas on machines that cache their image, if too little is free."""
        image = ImageName(job.spec.image)
        near = [machine for machine in machines if image in machine.images]
        candidates = CandidateMachines(near, work.free, excluded)
        missing_tasks = count - len(choose_machines(self.cluster, job, count, candidates))
        if missing_tasks <= 0:
            return 0
        return self.preempt(job, missing_tasks, work, excluded, image_cached_only=True)


def _log_preempted(job: Job, victims_by_machine: Sequence[list[Placement]]) -> None:
    """Log one decision to preempt, if it has victims."""
    victim_counts = [len(victims) for victims in victims_by_machine if victims]
    if victim_counts:
        log.info(
            "tasks_preempted",
            tasks=sum(victim_counts),
            machines=len(victim_counts),
            for_job=job.id,
        )
