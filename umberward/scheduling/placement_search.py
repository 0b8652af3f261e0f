"""The state of one scheduling pass, and of the search for machines for one job in it. No I/O."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import NamedTuple

from umberward.core.types import JobId, MachineId, Resources, TeamName
from umberward.scheduling.jobs import Job
from umberward.scheduling.machines import Machine
from umberward.scheduling.preemptable_work import PreemptableWork
from umberward.scheduling.quarantine import DueTrials
from umberward.scheduling.spot_policy import AffordableMachines

# `SearchKind.search_scope`: quarantined machines too, of jobs without and with open failures.
TRIAL_SCOPE, REPEATED_TRIAL_SCOPE = 3, 4
RESERVED_ROOM_SCOPE = 5  # also room that small tasks leave to larger ones (`heartbeat_room`)


class SearchKind(NamedTuple):
    """The properties that decide whether a search finds room.

    If a job that is `placeable_by_class_alone` finds no room, no other job of its kind does.
    """

    placement_class: Hashable
    long_running: bool
    has_restricted_machines: bool
    has_reserved_for_others: bool
    any_price: bool
    # 1: also machines that could run accelerated work; 2: headroom machines too; or one of the
    # constants above.
    search_scope: int = 0


@dataclass
class PassState:
    """The state that the jobs of one pass share."""

    schedulable_machines: list[Machine]
    free: dict[MachineId, Resources]  # reduced by each task placed
    with_room: list[Machine]  # those with room for the smallest need of any waiting job
    with_room_ids: set[MachineId]
    unlocated_usage: dict[TeamName, Resources]
    headroom_machines: set[MachineId]  # kept free for accelerated work
    accelerated_capable_machines: set[MachineId]  # all machines that could run accelerated work
    preemptable: PreemptableWork | None  # None: this pass does not preempt
    affordable_by_job: dict[
        JobId, AffordableMachines
    ]  # for the jobs that wait for affordable machines
    trials: DueTrials  # reduced by each trial placed
    # Kinds of jobs that found no room; not searched again, as thousands of tasks may wait.
    kinds_without_room: set[SearchKind] = field(default_factory=set)


@dataclass(slots=True)
class JobSearch:
    """The search for machines for one job in one pass."""

    job: Job
    count: int  # tasks to place
    reserved: set[MachineId]  # machines on which room is cleared for the job
    machines: list[Machine]
    restricted: set[MachineId]  # machines on which the job must leave the headroom free
    kind: SearchKind
    chosen: list[MachineId] = field(default_factory=list)
    clearing_count: int = 0  # tasks whose room is being cleared by preemption

    @property
    def missing_count(self) -> int:
        """The number of tasks that have no machine and no room being cleared."""
        return self.count - len(self.chosen) - self.clearing_count
