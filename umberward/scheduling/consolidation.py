"""Moves of replicas off expensive machines on which nothing else runs. No I/O.

The machines can then be returned to the cloud. When many jobs arrive together, replicas take any
free room, and they never end by themselves: a machine that costs a hundred times as much as the
replicas need would be kept for them. They move one at a time to room that costs less than half, so
rarely that availability does not suffer. If there is no such room, machines are requested
(`ScaleOutPlan.request_for_consolidation`).
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from umberward.core.log import logger
from umberward.core.types import ImageName, Instant, MachineId, MachineTypeName, Resources
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.headroom import HIGHEST_PRIORITY
from umberward.scheduling.jobs import Job, Placement
from umberward.scheduling.machine_selection import CandidateMachines, choose_machines
from umberward.scheduling.machines import Machine
from umberward.scheduling.preemption import Preemption
from umberward.scheduling.replica_moves import MIN_REPLICA_RUN_S
from umberward.scheduling.schedulable_machines import machines_with_room

log = logger(__name__)

MAX_MOVE_PRICE_RATIO = 0.5  # highest price per core of a target, relative to the source
CONSOLIDATE_INTERVAL_S = 1.0
MAX_REPLICAS_EXAMINED = 12  # per check
MOVE_DOWNTIME_S = 0.3  # of a replica that moves to a machine with its image
MAX_MOVE_DOWNTIME_FRACTION = 0.0005  # of total replica time; a quarter of what operators allow
# Lower bound of the average number of replicas that moves may keep down, so that replicas move
# even if there are few.
MIN_ALLOWED_REPLICAS_DOWN = 0.01


class _Move(NamedTuple):
    """The move of a replica to a cheaper machine."""

    job: Job
    placement: Placement
    source: Machine
    target: MachineId
    downtime_s: float


class Consolidation:
    """Moves replicas to cheaper machines, one at a time."""

    def __init__(self, cluster: ClusterState, preemption: Preemption, now: Instant) -> None:
        """Allow the first move at `now`, a time of the leader's monotonic clock."""
        self.cluster = cluster
        self.preemption = preemption
        self.check_not_before = now
        self.move_not_before = now
        # Jobs whose replicas need cheaper machines, with the highest price per core of these.
        self.jobs_needing_cheaper_room: list[tuple[Job, float]] = []

    def price_per_core(self, machine_type_name: MachineTypeName) -> float:
        """Return the hourly price per core of an on-demand machine."""
        machine_type = self.cluster.machine_types[machine_type_name]
        if machine_type.cores > 0:
            return machine_type.hourly_price / machine_type.cores
        return machine_type.hourly_price

    def consolidate(
        self, headroom_machines: set[MachineId], schedulable_machines: list[Machine], now: Instant
    ) -> None:
        """Stop one replica that can run on a cheaper machine, and reserve room for it there.

        Machines that are kept free for accelerated work are not consolidated.
        """
        if now < max(self.check_not_before, self.move_not_before) or not self.cluster.machine_types:
            return
        self.check_not_before = Instant(now + CONSOLIDATE_INTERVAL_S)
        self.jobs_needing_cheaper_room = []
        sources = self._expensive_machines(headroom_machines, schedulable_machines)
        if not sources:
            return
        move = self._find_move(sources, schedulable_machines, now)
        if move is not None:
            self._carry_out(move, now)

    def _expensive_machines(
        self, headroom_machines: set[MachineId], schedulable_machines: list[Machine]
    ) -> list[Machine]:
        """Return the expensive machines to empty, the most wasteful first.

        They run only work of the highest priority that uses no accelerators.
        """
        machine_types = self.cluster.machine_types
        lowest = min(self.price_per_core(name) for name in machine_types)
        wasteful = [
            (machine_types[m.machine_type].hourly_price - lowest * m.allocated.cores, m.id, m)
            for m in schedulable_machines
            if m.placements
            and m.id not in headroom_machines
            and MAX_MOVE_PRICE_RATIO * self.price_per_core(m.machine_type) > lowest
            and all(
                placement.priority == HIGHEST_PRIORITY and placement.need.accelerators <= 0
                for placement in m.placements.values()
            )
        ]
        wasteful.sort(reverse=True)
        return [machine for *_, machine in wasteful]

    def _find_move(
        self, sources: list[Machine], schedulable_machines: list[Machine], now: Instant
    ) -> _Move | None:
        """Return a move to a machine with the image, else one to where it must be pulled.

        Jobs of replicas without any cheaper room are added to `jobs_needing_cheaper_room`.
        """
        cluster = self.cluster
        _, free = cluster.schedulable_room()
        self.preemption.reservations.subtract(free, now)
        replicas = (job for job in cluster.jobs.values() if job.service)
        with_room = machines_with_room(schedulable_machines, free, replicas)
        pulling: _Move | None = None
        for job, placement, source, cheaper in self._movable_replicas(sources, with_room, now):
            image = ImageName(job.spec.image)
            near = [machine for machine in cheaper if image in machine.images]
            target = self._choose_target(job, placement, near, free)
            if target is not None:
                return _Move(job, placement, source, target, MOVE_DOWNTIME_S)
            target = self._choose_target(job, placement, cheaper, free)
            if target is None:
                max_price_per_core = MAX_MOVE_PRICE_RATIO * self.price_per_core(source.machine_type)
                self.jobs_needing_cheaper_room.append((job, max_price_per_core))
            elif pulling is None:
                downtime_s = MOVE_DOWNTIME_S + cluster.slowest_image_pull_s(job)
                pulling = _Move(job, placement, source, target, downtime_s)
        return pulling

    def _movable_replicas(
        self, sources: list[Machine], with_room: list[Machine], now: Instant
    ) -> Iterator[tuple[Job, Placement, Machine, list[Machine]]]:
        """Yield some movable replicas with their machine and the cheaper machines with room."""
        examined = 0
        for source in sources:
            max_price_per_core = MAX_MOVE_PRICE_RATIO * self.price_per_core(source.machine_type)
            cheaper = [
                machine
                for machine in with_room
                if self.price_per_core(machine.machine_type) < max_price_per_core
                and machine.id not in self.preemption.reservations
            ]
            for placement in list(source.placements.values()):
                job = self.cluster.jobs.get(placement.task.job)
                if examined >= MAX_REPLICAS_EXAMINED:
                    return
                if job is not None and _may_consolidate(job, placement, now):
                    examined += 1
                    yield job, placement, source, cheaper

    def _choose_target(
        self,
        job: Job,
        placement: Placement,
        machines: list[Machine],
        free: dict[MachineId, Resources],
    ) -> MachineId | None:
        candidates = CandidateMachines(machines, free)
        chosen = choose_machines(self.cluster, job, 1, candidates, ending=placement)
        return chosen[0] if chosen else None

    def _carry_out(self, move: _Move, now: Instant) -> None:
        log.info(
            "replica_moved",
            task=move.placement.task,
            machine=move.source.id,
            reason="dear machine",
        )
        self.move_not_before = Instant(
            now + move.downtime_s / self._allowed_average_replicas_down()
        )
        self.preemption.reserve(move.job, move.target, now)
        self.cluster.stop(move.placement, 0.0)

    def _allowed_average_replicas_down(self) -> float:
        """Return how many replicas moves may keep down on average; less than 1 if there are few."""
        jobs = self.cluster.jobs.values()
        replicas = sum(len(job.placements) for job in jobs if job.service)
        return max(MIN_ALLOWED_REPLICAS_DOWN, MAX_MOVE_DOWNTIME_FRACTION * replicas)


def _may_consolidate(job: Job, placement: Placement, now: Instant) -> bool:
    """Tell whether the replica has run for long enough and no replica of its job is missing."""
    return (
        job.service
        and not job.requeued_tasks
        and not job.unlocated_tasks
        and placement.stop_grace_s is None
        and placement.running_since is not None
        and now - placement.running_since > MIN_REPLICA_RUN_S
    )
