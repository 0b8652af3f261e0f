"""A placement is released once: what it used is given back, and no more."""

from __future__ import annotations

import pytest
from test_scenarios import ScenarioPlayer

from umberward.core.types import NO_RESOURCES, Instant, MachineId, TeamName
from umberward.scheduling import job_records
from umberward.scheduling.scheduler import Scheduler


def _gang_not_sent() -> Scheduler:
    """A gang of three whose mark is not committed yet stands on one machine."""
    game = ScenarioPlayer()
    game.do_team("cpus_max=8")
    game.do_machine("m1", "small", "a")
    game.do_lead()
    game.do_run("2")
    game.do_submit("req-000001", "shards=3", "shape=ensemble", "cores=1", "runs=50")
    world, scheduler = game.cluster, game.cluster.scheduler
    assert scheduler is not None
    job_records.apply_changes(scheduler, world.store.core.news("", world.seen_revision))
    scheduler.run_pass(Instant(world.now))
    held = scheduler.machines[MachineId("m1")].placements.values()
    assert len(held) == 3 and not any(placement.sent for placement in held)
    return scheduler


@pytest.mark.parametrize("what", ["session over", "machine gone"])
def test_a_gang_that_was_not_sent_is_released_once(what: str) -> None:
    """Found by a soak (quota): the team was credited with more than it had used, and got more."""
    scheduler = _gang_not_sent()
    machine = scheduler.machines[MachineId("m1")]
    if what == "machine gone":
        scheduler.remove_machines([machine.id], scheduler.now)
    else:
        scheduler.release_all(machine, what)
    assert scheduler.quota.used[TeamName("red")] == NO_RESOURCES
    assert machine.allocated == NO_RESOURCES and not machine.placements
    assert not any(scheduler.running_by_key.values())
