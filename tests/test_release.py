"""Releasing a placement returns exactly the resources that it used, once."""

from __future__ import annotations

import pytest
from test_scenarios import ScenarioPlayer

from umberward.core.types import NO_RESOURCES, Instant, MachineId, TeamName
from umberward.scheduling import job_records
from umberward.scheduling.scheduler import Scheduler


def _gang_not_sent() -> Scheduler:
    """A scheduler with a gang of three placed on one machine, whose mark is not committed yet."""
    game = ScenarioPlayer()
    game.do_team("cpus_max=8")
    game.do_machine("m1", "small", "a")
    game.do_lead()
    game.do_run("2")
    game.do_submit("req-000001", "shards=3", "shape=ensemble", "cores=1", "runs=50")
    world, scheduler = game.cluster, game.cluster.scheduler
    assert scheduler is not None
    job_records.apply_changes(scheduler, world.store.core.changes_after("", world.seen_revision))
    scheduler.run_pass(Instant(world.now))
    placements = scheduler.machines[MachineId("m1")].placements.values()
    assert len(placements) == 3 and not any(placement.sent for placement in placements)
    return scheduler


@pytest.mark.parametrize("what", ["session over", "machine gone"])
def test_a_gang_that_was_not_sent_is_released_once(what: str) -> None:
    """A double release credited the team with more than it used; found by a soak (quota)."""
    scheduler = _gang_not_sent()
    machine = scheduler.machines[MachineId("m1")]
    if what == "machine gone":
        scheduler.remove_machines([machine.id], scheduler.now)
    else:
        scheduler.release_all_placements(machine, what)
    assert scheduler.quota.used[TeamName("red")] == NO_RESOURCES
    assert machine.allocated == NO_RESOURCES and not machine.placements
    assert not any(scheduler.placement_counts_by_key.values())
