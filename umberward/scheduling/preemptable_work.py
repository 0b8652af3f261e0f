"""What may be preempted for whom, found once for one scheduling pass. No I/O."""

from __future__ import annotations

from collections.abc import Hashable, Iterator

from umberward.core.types import NO_RESOURCES, Instant, MachineId, MachineOffer, Resources
from umberward.scheduling import victim_selection
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.jobs import Job, PreemptionKey, may_preempt
from umberward.scheduling.machines import Machine
from umberward.scheduling.victim_selection import VictimPlan


class PreemptableWork:
    """The running work by who may preempt it.

    Most searches are over at once: nothing that runs has a lower standing. For the others the
    machines are examined once for all jobs of equal standing, with sums that each machine keeps
    until its tasks change.
    """

    def __init__(
        self,
        cluster: ClusterState,
        usable: list[Machine],
        free: dict[MachineId, Resources],
        now: Instant,
    ) -> None:
        """`usable` and `free`: the pass's machines and the room left on each, which it updates."""
        self.cluster = cluster
        self.usable = usable
        self.free = free
        self.now = now
        # Kinds of jobs for which nothing can be preempted in this pass.
        self.exhausted: set[Hashable] = set()
        self._rooms: dict[PreemptionKey, dict[MachineId, tuple[Machine, Resources]]] = {}
        # Jobs of one class need the same: what was found for one holds for the next, as long as
        # the machine's room is the same.
        self._plans: dict[
            tuple[PreemptionKey, Resources, MachineId], tuple[Resources, VictimPlan | None]
        ] = {}

    def preemptable_room(self, job: Job) -> dict[MachineId, tuple[Machine, Resources]]:
        """Return the machines with work that the job may preempt, and the room of that work."""
        key = job.preemption_key
        rooms = self._rooms.get(key)
        if rooms is None:
            rooms = self._rooms[key] = self._find_rooms(key)
        return rooms

    def _find_rooms(self, key: PreemptionKey) -> dict[MachineId, tuple[Machine, Resources]]:
        weaker = {
            other
            for other, count in self.cluster.running_by_key.items()
            if count > 0 and may_preempt(key, other)
        }
        rooms: dict[MachineId, tuple[Machine, Resources]] = {}
        for machine in self.usable if weaker else ():
            if not machine.placements:
                continue
            self.cluster.machines_examined += 1
            room = NO_RESOURCES
            for other, amount in machine.preemptable_by_key().items():
                if other in weaker:
                    room = room.plus(amount)
            if room is not NO_RESOURCES:
                rooms[machine.id] = (machine, room)
        return rooms

    def plan(self, machine: Machine, job: Job, free: Resources) -> VictimPlan | None:
        """Return the victims there for one task of the job; None: all would not be enough."""
        key = job.preemption_key
        known = self._plans.get((key, job.need, machine.id))
        if known is not None and known[0] == free:
            plan = known[1]
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
        """Yield the schedulable machines of these offers: of all machines, they may be few."""
        for offer, machines in self.cluster.schedulable.by_offer.items():
            if offer in offers:
                yield from machines.values()
