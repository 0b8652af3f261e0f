"""When jobs should start and how long they take: deadlines, objectives and estimates. No I/O.

Times of day are seconds of the leader's wall clock, as jobs' deadlines count from when they were
submitted, to whichever controller.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from umberward.core.settings import Objective
from umberward.core.types import JobId, MachineTypeName, WallTime
from umberward.protocol.wire import MachineType
from umberward.scheduling.jobs import NO_DEMAND, DependentDemand, Job
from umberward.scheduling.objectives import (
    NO_AIM,
    NO_OBJECTIVES,
    ClassAim,
    ClassObjectives,
    parse_objectives,
)

ESTIMATE_MARGIN = 1.3  # some tasks of a job take longer than its estimate
START_WITHIN_S = 240.0  # every job should begin within four minutes (the users' rules)
MISSED_GOALS_PRIORITY_S = 0.4 * START_WITHIN_S  # so old a job that missed its goals is served first
WAITING_PRIORITY_S = 0.6 * START_WITHIN_S  # ... and so old any job that still waits
DEFAULT_WAIT_S = 120.0  # when a job should start that has neither a deadline nor an objective
GUARANTEED_DELAY_SHARE = 0.5  # of the time to a guaranteed start: wait before preempting
DELAY_SHARE = 0.3  # ... and of the time to the start of other work


class JobTiming:
    """The times that follow from objectives, deadlines, dependents and observed run times."""

    def __init__(
        self,
        objectives: Iterable[Objective],
        machine_types: dict[MachineTypeName, MachineType],
    ) -> None:
        """Start without any observed run time; `machine_types` is kept and changes in place."""
        parsed = parse_objectives(objectives)
        self.machine_types = machine_types
        self.class_aims: dict[str, ClassAim] = parsed.aims
        self.class_objectives: dict[str, ClassObjectives] = parsed.by_class
        self.guaranteed_start_s = parsed.guaranteed_start_s
        # By job: what the jobs that depend on it ask of it.
        self.demands: dict[JobId, DependentDemand] = {}
        # By job class: observed run time divided by the owners' estimate.
        self.runtime_ratios: dict[str, float] = {}

    def start_by(self, job: Job) -> float:
        """Return the time of day by which the job should start.

        It follows from the job's own deadline, the objectives of its class, and its dependents.
        """
        spec = job.spec
        estimate = ESTIMATE_MARGIN * self.estimate(job)
        start_by = job.ready_at + DEFAULT_WAIT_S
        start_within_s, finish_within_s = self.class_aims.get(spec.job_class, NO_AIM)
        if start_within_s is not None:
            start_by = job.ready_at + start_within_s
        if finish_within_s is not None:
            start_by = min(start_by, job.ready_at + finish_within_s - estimate)
        if spec.deadline_s is not None:
            start_by = job.submitted_at + spec.deadline_s - estimate
        # Its dependents leave it so much time.
        return min(start_by, self.demands.get(job.id, NO_DEMAND).finish_by - estimate)

    def start_goals(self, job: Job) -> list[float]:
        """Return the latest start for each of the job's objectives, the earliest first."""
        spec = job.spec
        estimate = ESTIMATE_MARGIN * self.estimate(job)
        objectives = self.class_objectives.get(spec.job_class, NO_OBJECTIVES)
        goals = [job.ready_at + within_s for within_s in objectives.start_within_s]
        goals += [job.ready_at + within_s - estimate for within_s in objectives.finish_within_s]
        if spec.deadline_s is not None:
            goals += [
                job.submitted_at + spec.deadline_s * factor - estimate
                for factor in objectives.deadline_factors or (1.0,)
            ]
        demand = self.demands.get(job.id)
        if demand is not None:
            goals = [min([demand.finish_by - estimate, *goals])]
        return sorted(goals)

    def service_order(self, job: Job, wall: WallTime) -> float:
        """Return the job's place among jobs of equal standing, the smallest first.

        It is the latest start for the next of its goals that can still be reached. What can no
        longer be reached is no reason to be served before jobs that still can reach theirs. A job
        that has missed all of them comes behind, but not for long: then it is first. Replicas are
        served as they came: each second without one counts alike.
        """
        if job.service:
            return self.start_by(job)
        if self.can_reach(job, wall):
            # To begin in time is a goal of its own: a late goal is no reason to wait for ever.
            return min(job.next_goal_at, max(self.start_by(job), job.ready_at + WAITING_PRIORITY_S))
        return max(self.start_by(job), job.ready_at + MISSED_GOALS_PRIORITY_S)

    def can_reach(self, job: Job, wall: WallTime) -> bool:
        """Tell whether the job can still reach one of its goals; `next_goal_at` is updated."""
        if wall > job.next_goal_at or job.id in self.demands:
            reachable = (start_by for start_by in self.start_goals(job) if start_by >= wall)
            job.next_goal_at = next(reachable, math.inf)
        return job.next_goal_at < math.inf

    def is_prompt(self, job: Job) -> bool:
        """Tell whether the job needs accelerators and should have them soon after it comes."""
        start_within_s, _ = self.class_aims.get(job.spec.job_class, NO_AIM)
        has_start_aim = start_within_s is not None
        return job.need.accelerators > 0 and (has_start_aim or job.spec.deadline_s is None)

    def expected_duration(self, job: Job) -> float:
        """Return the seconds from the job's start to its end, if there is room at once."""
        return ESTIMATE_MARGIN * self.estimate(job) + self.slowest_image_pull_s(job)

    def slowest_image_pull_s(self, job: Job) -> float:
        """Return the seconds in which every machine type has pulled the job's image."""
        rates = (machine_type.image_pull_gb_per_s for machine_type in self.machine_types.values())
        return job.spec.image_gb / min(rates, default=1.0)

    def estimate(self, job: Job) -> float:
        """Return a task's expected seconds: its owner's estimate, corrected by its class's past."""
        return job.spec.expected_runtime_s * self.runtime_ratios.get(job.spec.job_class, 1.0)

    def preemption_delay(self, job: Job) -> float:
        """Return the seconds that an array waits for room before others are preempted for it."""
        if self.guaranteed_start_s is not None:
            return GUARANTEED_DELAY_SHARE * self.guaranteed_start_s
        return DELAY_SHARE * (self.start_by(job) - job.ready_at)
