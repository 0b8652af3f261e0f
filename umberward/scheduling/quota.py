"""Teams' quotas: limits on what they may use, and guarantees. No I/O.

A figure of 0 in the settings means that there is no limit, or no guarantee.
"""

from __future__ import annotations

from collections.abc import Iterable

from umberward.core.settings import TeamQuota
from umberward.core.types import NO_RESOURCES, Resources, TeamName

ROUNDING_TOLERANCE = 1e-6  # sums of fractional cores are not exact
UNLIMITED_TASKS = 1 << 30


class Quota:
    """The quotas of all teams and what each team's placements use."""

    def __init__(self, teams: Iterable[TeamQuota]) -> None:
        """Start with nothing used."""
        self.teams = {TeamName(team.name): team for team in teams}
        self.used: dict[TeamName, Resources] = {}
        self.any_limits = any(self.has_limit(team) for team in self.teams)

    def reserve(self, team: TeamName, need: Resources) -> None:
        """Count a task as used by the team."""
        self.used[team] = self.used.get(team, NO_RESOURCES).plus(need)

    def release(self, team: TeamName, need: Resources) -> None:
        """Take back what `reserve` counted."""
        self.used[team] = self.used.get(team, NO_RESOURCES).minus(need)

    def tasks_within_limit(
        self, team: TeamName, need: Resources, unlocated_usage: Resources = NO_RESOURCES
    ) -> int:
        """Return how many more tasks of this size the team's limit admits; none if it is unknown.

        `unlocated_usage`: what tasks of a previous leader may use besides.
        """
        limits = self.teams.get(team)
        if limits is None:
            return 0
        used = self.used.get(team, NO_RESOURCES).plus(unlocated_usage)
        admitted = UNLIMITED_TASKS
        for limit, taken, each in (
            (limits.cpus_max, used.cores, need.cores),
            (limits.gpus_max, used.accelerators, need.accelerators),
        ):
            if limit > 0 and each > 0:
                admitted = min(admitted, int((limit - taken + ROUNDING_TOLERANCE) / each))
        return max(admitted, 0)

    def exceeds_limit(self, team: TeamName, need: Resources, task_count: int) -> bool:
        """Tell whether so many tasks could never run at once; raises KeyError without the team."""
        limits = self.teams[team]
        exceeds_cores = 0 < limits.cpus_max < need.cores * task_count - ROUNDING_TOLERANCE
        accelerators = need.accelerators * task_count
        return exceeds_cores or 0 < limits.gpus_max < accelerators - ROUNDING_TOLERANCE

    def has_limit(self, team: TeamName) -> bool:
        """Tell whether the team has a limit at all."""
        limits = self.teams.get(team)
        return limits is not None and (limits.cpus_max > 0 or limits.gpus_max > 0)

    def has_guarantee(self, team: TeamName) -> bool:
        """Tell whether anything is guaranteed to the team."""
        limits = self.teams.get(team)
        return limits is not None and (limits.cpus > 0 or limits.gpus > 0)

    def fits_guarantee(self, team: TeamName, total: Resources) -> bool:
        """Tell whether jobs of this size together are within the team's guarantee."""
        if not self.has_guarantee(team):
            return False
        limits = self.teams[team]
        return (
            total.cores <= limits.cpus + ROUNDING_TOLERANCE
            and total.accelerators <= limits.gpus + ROUNDING_TOLERANCE
        )
