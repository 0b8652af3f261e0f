"""An upgrade during a soak: controllers are restarted one after another with the other build."""

from __future__ import annotations

from typing import NamedTuple

import curio

from umberward.local.builds import ControllerBuild
from umberward.soak.cluster import SoakCluster
from umberward.soak.plan import Roll


class BuildPair(NamedTuple):
    """The builds of an upgrade: this one, and the one beside it."""

    current: ControllerBuild
    beside: ControllerBuild


class Upgrade:
    """Carries out the roll of a plan.

    A controller that is killed before its turn comes back with the build that it had.
    """

    def __init__(self, cluster: SoakCluster, roll: Roll, builds: BuildPair) -> None:
        """Choose the build with which all controllers begin; call it before they are started."""
        self.cluster = cluster
        self.roll = roll
        from_build, self.to_build = builds if roll.to_beside else reversed(builds)
        cluster.next_builds = [from_build] * len(cluster.next_builds)

    async def run(self) -> None:
        """Restart each controller in its turn; returns after the last one."""
        for turn in self.roll.turns:
            await curio.sleep(max(0.0, turn.at_s - self.cluster.now()))
            self.cluster.next_builds[turn.controller] = self.to_build
            self.cluster.kill_controller(turn.controller, turn.restart_delay_s)
