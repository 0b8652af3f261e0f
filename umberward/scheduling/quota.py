"""Teams: what they may use at most and what is guaranteed to them. A figure of 0: none is set."""

from __future__ import annotations

from umberward.core.settings import TeamQuota
from umberward.core.types import NO_RESOURCES, Resources, TeamName


class Quota:
    def __init__(self, teams: list[TeamQuota]) -> None:
        self.teams = {TeamName(team.name): team for team in teams}
        self.used: dict[TeamName, Resources] = {}
        self.any_limits = any(self.has_limit(team) for team in self.teams)

    def reserve(self, team: TeamName, need: Resources) -> None:
        self.used[team] = self.used.get(team, NO_RESOURCES).plus(need)

    def release(self, team: TeamName, need: Resources) -> None:
        self.used[team] = self.used.get(team, NO_RESOURCES).minus(need)

    def tasks_within_limit(
        self, team: TeamName, need: Resources, unsure: Resources = NO_RESOURCES
    ) -> int:
        """How many more tasks of this size the team's maximum admits."""
        limits = self.teams.get(team)
        if limits is None:
            return 0
        used = self.used.get(team, NO_RESOURCES).plus(unsure)
        most = 1 << 30
        for cap, taken, each in (
            (limits.cpus_max, used.cores, need.cores),
            (limits.gpus_max, used.accelerators, need.accelerators),
        ):
            if cap > 0 and each > 0:
                most = min(most, int((cap - taken + 1e-6) / each))
        return max(most, 0)

    def exceeds_limit(self, team: TeamName, need: Resources, times: int) -> bool:
        """Whether so many tasks could never run at once."""
        limits = self.teams[team]
        return (0 < limits.cpus_max < need.cores * times - 1e-6) or (
            0 < limits.gpus_max < need.accelerators * times - 1e-6
        )

    def has_limit(self, team: TeamName) -> bool:
        """Whether the team has a limit at all."""
        limits = self.teams.get(team)
        return limits is not None and (limits.cpus_max > 0 or limits.gpus_max > 0)

    def has_guarantee(self, team: TeamName) -> bool:
        """Whether anything is guaranteed to the team."""
        limits = self.teams.get(team)
        return limits is not None and (limits.cpus > 0 or limits.gpus > 0)

    def fits_guarantee(self, team: TeamName, total: Resources) -> bool:
        """Whether jobs of this size together are within what is guaranteed to the team."""
        if not self.has_guarantee(team):
            return False
        limits = self.teams[team]
        return total.cores <= limits.cpus + 1e-6 and total.accelerators <= limits.gpus + 1e-6
