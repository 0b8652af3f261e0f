"""Quotas of teams: limits on the resources that they may use, and guarantees. No I/O.

A value of 0 in the settings means no limit or no guarantee.
"""

from __future__ import annotations

from collections.abc import Iterable

from umberward.core.settings import TeamQuota
from umberward.core.types import NO_RESOURCES, Resources, TeamName

ROUNDING_TOLERANCE = 1e-6  # for rounding errors in sums of fractional cores
UNLIMITED_TASKS = 1 << 30


class Quota:
    """The quotas of all teams, and the resources that each team's placements use."""

    def __init__(self, teams: Iterable[TeamQuota]) -> None:
        """Start with no resources used."""
        self.teams = {TeamName(team.name): team for team in teams}
        self.used: dict[TeamName, Resources] = {}
        self.has_any_limit = any(self.has_limit(team) for team in self.teams)

    def add_usage(self, team: TeamName, need: Resources) -> None:
        """Add a task's resources to the team's usage."""
        self.used[team] = self.used.get(team, NO_RESOURCES).plus(need)

    def remove_usage(self, team: TeamName, need: Resources) -> None:
        """Subtract a task's resources from the team's usage."""
        self.used[team] = self.used.get(team, NO_RESOURCES).minus(need)

    def tasks_within_limit(
        self, team: TeamName, need: Resources, unlocated_usage: Resources = NO_RESOURCES
    ) -> int:
        """Return how many more tasks of this size the team's limit admits; 0 for an unknown team.

        `unlocated_usage` is what unlocated tasks of a previous leader may use in addition.
        """
        team_quota = self.teams.get(team)
        if team_quota is None:
            return 0
        used = self.used.get(team, NO_RESOURCES).plus(unlocated_usage)
        admitted = UNLIMITED_TASKS
        for limit, used_amount, needed_per_task in (
            (team_quota.cpus_max, used.cores, need.cores),
            (team_quota.gpus_max, used.accelerators, need.accelerators),
        ):
            if limit > 0 and needed_per_task > 0:
                admitted = min(
                    admitted, int((limit - used_amount + ROUNDING_TOLERANCE) / needed_per_task)
                )
        return max(admitted, 0)

    def exceeds_limit(self, team: TeamName, need: Resources, task_count: int) -> bool:
        """Whether that many tasks could never run together; raise KeyError for an unknown team."""
        team_quota = self.teams[team]
        exceeds_cores = 0 < team_quota.cpus_max < need.cores * task_count - ROUNDING_TOLERANCE
        accelerators = need.accelerators * task_count
        return exceeds_cores or 0 < team_quota.gpus_max < accelerators - ROUNDING_TOLERANCE

    def has_limit(self, team: TeamName) -> bool:
        """Whether the team has any limit."""
        team_quota = self.teams.get(team)
        return team_quota is not None and (team_quota.cpus_max > 0 or team_quota.gpus_max > 0)

    def has_guarantee(self, team: TeamName) -> bool:
        """Whether the team has any guarantee."""
        team_quota = self.teams.get(team)
        return team_quota is not None and (team_quota.cpus > 0 or team_quota.gpus > 0)

    def fits_guarantee(self, team: TeamName, total: Resources) -> bool:
        """Whether resources of this total are within the team's guarantee."""
        if not self.has_guarantee(team):
            return False
        team_quota = self.teams[team]
        return (
            total.cores <= team_quota.cpus + ROUNDING_TOLERANCE
            and total.accelerators <= team_quota.gpus + ROUNDING_TOLERANCE
        )
