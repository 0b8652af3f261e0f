"""Index of running tasks by preemption key, for one scheduling pass. No I/O."""

from __future__ import annotations

from collections.abc import Hashable, Iterator

from umberward.core.types import NO_RESOURCES, Instant, MachineId, MachineOffer, Resources
from umberward.scheduling import victim_selection
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.jobs import Job, PreemptionKey, may_preempt
from umberward.scheduling.machines import Machine
from umberward.scheduling.victim_selection import VictimPlan


class PreemptableWork:
    """The tasks that each preemption key may preempt.

    Most searches end immediately, as no running work has a lower precedence. For the others the
    machines are examined once per preemption key, using sums that each machine caches until its
    tasks change.
    """

    def __init__(
        self,
        cluster: ClusterState,
        schedulable_machines: list[Machine],
        free: dict[MachineId, Resources],
        now: Instant,
    ) -> None:
        """Index the machines of one pass, which keeps `free`, the room left on each, up to date."""
        self.cluster = cluster
        self.schedulable_machines = schedulable_machines
        self.free = free
        self.now = now
        # Kinds of jobs for which nothing can be preempted in this pass.
        self.kinds_without_victims: set[Hashable] = set()
        self._rooms_by_key: dict[PreemptionKey, dict[MachineId, tuple[Machine, Resources]]] = {}
        # Plans with the free room for which they were made: jobs with equal keys and needs reuse
        # them while the machine's free room is unchanged.
        self._plans: dict[
            tuple[PreemptionKey, Resources, MachineId], tuple[Resources, VictimPlan | None]
        ] = {}

    def preemptable_room(self, job: Job) -> dict[MachineId, tuple[Machine, Resources]]:
        """Return the machines with work that the job may preempt, and that work's resources."""
        key = job.preemption_key
        rooms = self._rooms_by_key.get(key)
        if rooms is None:
            rooms = self._rooms_by_key[key] = self._find_rooms(key)
        return rooms

    def _find_rooms(self, key: PreemptionKey) -> dict[MachineId, tuple[Machine, Resources]]:
        preemptable_keys = {
            other
            for other, count in self.cluster.placement_counts_by_key.items()
            if count > 0 and may_preempt(key, other)
        }
        rooms: dict[MachineId, tuple[Machine, Resources]] = {}
        for machine in self.schedulable_machines if preemptable_keys else ():
            if not machine.placements:
                continue
            self.cluster.machines_examined += 1
            room = NO_RESOURCES
            for other, amount in machine.preemptable_by_key().items():
                if other in preemptable_keys:
                    room = room.plus(amount)
            if room is not NO_RESOURCES:
                rooms[machine.id] = (machine, room)
        return rooms

    def plan(self, machine: Machine, job: Job, free: Resources) -> VictimPlan | None:
        """Return the victims for one task of the job; None: all of them would not be enough.

        `free`: the part of the machine's free room that the job may use.
        """
        key = job.preemption_key
        cached = self._plans.get((key, job.need, machine.id))
        if cached is not None and cached[0] == free:
            plan = cached[1]
            if plan is None or all(victim.stop_grace_s is None for victim in plan.victims):
                return plan
        victims = [
            placement
            for placement in machine.placements.values()
            if placement.stop_grace_s is None and may_preempt(key, placement.preemption_key)
        ]
        plan = victim_selection.select_victims(job.need, free, victims, self.now)
        self._plans[key, job.need, machine.id] = (free, plan)
        return plan

    def machines_of(self, offers: set[MachineOffer]) -> Iterator[Machine]:
        """Yield the schedulable machines of these offers, which may be a small part of all."""
        for offer, machines in self.cluster.schedulable_index.by_offer.items():
            if offer in offers:
                yield from machines.values()
