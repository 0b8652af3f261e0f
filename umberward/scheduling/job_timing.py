"""Start times and durations of jobs: deadlines, objectives and estimates. No I/O.

These times are defined: `start_by`, by which a job should start; `latest_starts`, the latest start
for each of its objectives; `next_latest_start`, the first of these that can still be met; and
`serve_by`, the sort key of the service order.

Points in time are wall-clock seconds, because a job's deadline counts from its submission, which
any controller may have accepted.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from umberward.core.settings import Objective
from umberward.core.types import JobId, MachineTypeName, WallTime
from umberward.protocol.wire import MachineType
from umberward.scheduling.jobs import NO_DEMAND, DependentDemand, Job
from umberward.scheduling.objectives import (
    NO_OBJECTIVES,
    NO_STRICTEST_OBJECTIVES,
    ClassObjectives,
    StrictestObjectives,
    parse_objectives,
)

ESTIMATE_FACTOR = 1.3  # factor on estimates: some tasks of a job take longer than its estimate
START_WITHIN_S = 240.0  # every job should start within four minutes (the users' rules)
# Seconds after a job became ready until it is due for service, if it has missed all its objectives.
SERVE_MISSED_WITHIN_S = 0.4 * START_WITHIN_S
# The same, if it can still meet an objective.
SERVE_WITHIN_S = 0.6 * START_WITHIN_S
DEFAULT_START_WITHIN_S = 120.0  # for jobs that have neither a deadline nor an objective
# Fraction of the time until an array should start that it waits before it preempts other work: with
# a guaranteed start, and without one.
GUARANTEED_PREEMPTION_DELAY_FRACTION = 0.5
PREEMPTION_DELAY_FRACTION = 0.3


class JobTiming:
    """Times that follow from objectives, deadlines, dependents and observed run times."""

    def __init__(
        self,
        objectives: Iterable[Objective],
        machine_types: dict[MachineTypeName, MachineType],
    ) -> None:
        """Start without observed run times; the caller updates `machine_types` in place."""
        parsed = parse_objectives(objectives)
        self.machine_types = machine_types
        self.strictest_objectives: dict[str, StrictestObjectives] = parsed.strictest
        self.class_objectives: dict[str, ClassObjectives] = parsed.by_class
        self.guaranteed_start_within_s = parsed.guaranteed_start_within_s
        # By job: what the jobs that depend on it require of it.
        self.demands: dict[JobId, DependentDemand] = {}
        # By job class: moving average of the observed run time divided by the estimated run time,
        # which is the job owner's `expected_runtime_s`.
        self.runtime_ratios: dict[str, float] = {}

    def start_by(self, job: Job) -> float:
        """Return the wall-clock time by which the job should start.

        It follows from the job's own deadline, the objectives of its class and its dependents.
        """
        spec = job.spec
        estimate = ESTIMATE_FACTOR * self.expected_task_runtime_s(job)
        start_by = job.ready_at + DEFAULT_START_WITHIN_S
        start_within_s, finish_within_s = self.strictest_objectives.get(
            spec.job_class, NO_STRICTEST_OBJECTIVES
        )
        if start_within_s is not None:
            start_by = job.ready_at + start_within_s
        if finish_within_s is not None:
            start_by = min(start_by, job.ready_at + finish_within_s - estimate)
        if spec.deadline_s is not None:
            start_by = job.submitted_at + spec.deadline_s - estimate
        # The job must also finish in time for its dependents.
        return min(start_by, self.demands.get(job.id, NO_DEMAND).finish_by - estimate)

    def latest_starts(self, job: Job) -> list[float]:
        """Return the latest start time for each of the job's objectives, in ascending order."""
        spec = job.spec
        estimate = ESTIMATE_FACTOR * self.expected_task_runtime_s(job)
        objectives = self.class_objectives.get(spec.job_class, NO_OBJECTIVES)
        latest_starts = [job.ready_at + within_s for within_s in objectives.start_within_s]
        latest_starts += [
            job.ready_at + within_s - estimate for within_s in objectives.finish_within_s
        ]
        if spec.deadline_s is not None:
            latest_starts += [
                job.submitted_at + spec.deadline_s * factor - estimate
                for factor in objectives.deadline_factors or (1.0,)
            ]
        demand = self.demands.get(job.id)
        if demand is not None:
            latest_starts = [min([demand.finish_by - estimate, *latest_starts])]
        return sorted(latest_starts)

    def serve_by(self, job: Job, wall_now: WallTime) -> float:
        """Return the sort key, a wall-clock time, that orders jobs of equal precedence.

        It is the latest start for the next objective that the job can still meet: a missed
        objective is no reason to be served before jobs that can still meet theirs. A job that has
        missed all its objectives is served after the others, but first once it has waited for
        `SERVE_MISSED_WITHIN_S`. Replicas of services are ordered by `start_by` alone, as each
        second without a replica counts the same.
        """
        if job.service:
            return self.start_by(job)
        if self.update_next_latest_start(job, wall_now):
            # Every job should start in time: a distant objective must not delay it without bound.
            return min(
                job.next_latest_start, max(self.start_by(job), job.ready_at + SERVE_WITHIN_S)
            )
        return max(self.start_by(job), job.ready_at + SERVE_MISSED_WITHIN_S)

    def update_next_latest_start(self, job: Job, wall_now: WallTime) -> bool:
        """Update the job's `next_latest_start`; tell whether it can still meet an objective."""
        if wall_now > job.next_latest_start or job.id in self.demands:
            reachable = (start_by for start_by in self.latest_starts(job) if start_by >= wall_now)
            job.next_latest_start = next(reachable, math.inf)
        return job.next_latest_start < math.inf

    def is_prompt_accelerated(self, job: Job) -> bool:
        """Tell whether the job needs accelerators and should start soon after its submission."""
        start_within_s, _ = self.strictest_objectives.get(
            job.spec.job_class, NO_STRICTEST_OBJECTIVES
        )
        has_start_objective = start_within_s is not None
        return job.need.accelerators > 0 and (has_start_objective or job.spec.deadline_s is None)

    def expected_duration_s(self, job: Job) -> float:
        """Return the seconds from the job's start to its end if all its tasks start together."""
        return ESTIMATE_FACTOR * self.expected_task_runtime_s(job) + self.slowest_image_pull_s(job)

    def slowest_image_pull_s(self, job: Job) -> float:
        """Return the seconds that the slowest machine type takes to pull the job's image."""
        rates = (machine_type.image_pull_gb_per_s for machine_type in self.machine_types.values())
        return job.spec.image_gb / min(rates, default=1.0)

    def expected_task_runtime_s(self, job: Job) -> float:
        """Return a task's expected run time: the owner's estimate times the class's ratio."""
        return job.spec.expected_runtime_s * self.runtime_ratios.get(job.spec.job_class, 1.0)

    def preemption_delay_s(self, job: Job) -> float:
        """Return the seconds that an array waits for room before it preempts other work."""
        if self.guaranteed_start_within_s is not None:
            return GUARANTEED_PREEMPTION_DELAY_FRACTION * self.guaranteed_start_within_s
        return PREEMPTION_DELAY_FRACTION * (self.start_by(job) - job.ready_at)
