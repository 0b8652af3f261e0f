"""The scheduling pass: one walk over the waiting jobs that places tasks on machines. No I/O.

Each job takes free room by best fit, then room that is cleared for it by preemption. A placement
is decided here and its start is sent once its intent is stored (docs/design.md, "Safety").
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import NamedTuple

from umberward.core.log import logger
from umberward.core.types import (
    NO_RESOURCES,
    Attempt,
    Instant,
    JobId,
    MachineId,
    Resources,
    TaskId,
    TeamName,
)
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.consolidation import Consolidation
from umberward.scheduling.gang_reservation import GangReservations
from umberward.scheduling.jobs import Job, Placement
from umberward.scheduling.machine_selection import Candidates, choose_machines
from umberward.scheduling.machines import Machine
from umberward.scheduling.preemptable_work import PreemptableWork
from umberward.scheduling.preemption import Preemption
from umberward.scheduling.replica_moves import ReplicaMoves
from umberward.scheduling.schedulable_machines import machines_with_room
from umberward.scheduling.service_order import ServiceOrder
from umberward.scheduling.spot_policy import AffordableMachines, jobs_limited_to_affordable
from umberward.scheduling.unlocated_tasks import UnlocatedTasks

log = logger(__name__)

MAX_FAILED_PASS_PAUSE_S = 30.0  # longest pause of a job whose placing fails, until the next try
ATTEMPT_NUMBER_BITS = 20  # of an attempt's number; the bits above are the term's fencing token


class SearchKind(NamedTuple):
    """What decides whether a search finds room: jobs of one kind find the same."""

    placement_class: Hashable
    long_running: bool
    has_barred: bool
    has_denied: bool
    any_price: bool
    widening: int = 0  # how far the search has been widened to machines kept for other work


@dataclass
class PassState:
    """What the jobs of one pass share."""

    usable: list[Machine]
    free: dict[MachineId, Resources]  # by machine; lowered with each task placed
    with_room: list[Machine]  # the usable machines with room for the least that any job takes
    with_room_ids: set[MachineId]
    unlocated_usage: dict[TeamName, Resources]
    headroom_machines: set[MachineId]  # kept open for accelerated work
    headroom_candidates: set[MachineId]  # all that could run such work
    preemptable: PreemptableWork | None  # None: no preemption in this pass
    affordable: dict[JobId, AffordableMachines]  # of the jobs that wait for spot machines
    # Kinds of jobs for which nothing is left in this pass: thousands of tasks may wait.
    exhausted: set[SearchKind] = field(default_factory=set)


@dataclass(slots=True)
class JobSearch:
    """The search for machines for one job in one pass."""

    job: Job
    count: int  # tasks to place
    reserved: set[MachineId]  # machines on which room was cleared for the job
    machines: list[Machine]
    barred: set[MachineId]  # machines of which only what accelerated work leaves may be used
    kind: SearchKind
    chosen: list[MachineId] = field(default_factory=list)
    clearing: int = 0  # tasks for which room is being cleared

    @property
    def missing(self) -> int:
        """How many tasks have neither a machine nor room on its way."""
        return self.count - len(self.chosen) - self.clearing


class PlacementPass:
    """Places the waiting jobs, in the order of service."""

    def __init__(
        self,
        cluster: ClusterState,
        job_order: ServiceOrder,
        unlocated_tasks: UnlocatedTasks,
        preemption: Preemption,
        consolidation: Consolidation,
    ) -> None:
        """Tie the parts that a pass consults; room for gangs is reserved here alone."""
        self.cluster = cluster
        self.job_order = job_order
        self.unlocated_tasks = unlocated_tasks
        self.preemption = preemption
        self.consolidation = consolidation
        self.gang_reservations = GangReservations(cluster)
        self.replica_moves = ReplicaMoves(cluster, preemption, cluster.now)
        self.attempt_count = 0  # attempts numbered in this term

    def run(self, now: Instant) -> None:
        """Place what can be placed; `now` is the leader's monotonic clock."""
        cluster = self.cluster
        cluster.pass_wanted = False
        if not cluster.loaded:
            return
        waiting, state = self._prepare(now)
        for job in waiting:
            try:
                self.place_job(job, state, now)
            except Exception:
                # The others are served all the same, and it is tried again.
                job.failed_passes += 1
                job.retry_not_before = now + min(MAX_FAILED_PASS_PAUSE_S, 2.0**job.failed_passes)
                log.exception("job_not_placed", job=job.id, again_s=job.retry_not_before - now)
        self.preemption.denied_machines = set()
        if not cluster.reconciliation_completed:
            return
        if state.preemptable is not None:
            self.replica_moves.move_replicas(
                state.headroom_machines, state.headroom_candidates, state.preemptable
            )
        self.consolidation.consolidate(state.headroom_machines, state.usable, now)

    def _prepare(self, now: Instant) -> tuple[list[Job], PassState]:
        """Return the waiting jobs in the order of service, and what they share."""
        cluster = self.cluster
        usable, free = cluster.schedulable_room()
        unlocated_usage = self.unlocated_tasks.usage_by_team()
        if cluster.standings_outdated:
            self.job_order.update_standings()
        waiting = self.job_order.jobs_in_order(now)
        cluster.headroom.update((job for job in waiting if not job.faulty), now)
        self.preemption.reservations.subtract(free, now)
        by_offer = cluster.schedulable.by_offer
        headroom_machines, candidates = cluster.headroom.select_machines(by_offer, free)
        cluster.headroom_machines = headroom_machines
        self.gang_reservations.update(waiting, free, now)
        with_room = machines_with_room(usable, free, waiting)
        machine_counts = {offer: len(machines) for offer, machines in by_offer.items()}
        return waiting, PassState(
            usable=usable,
            free=free,
            with_room=with_room,
            with_room_ids={machine.id for machine in with_room},
            unlocated_usage=unlocated_usage,
            headroom_machines=headroom_machines,
            headroom_candidates=candidates,
            preemptable=(
                PreemptableWork(cluster, usable, free, now)
                if self.preemption.is_due(waiting, now)
                else None
            ),
            affordable=jobs_limited_to_affordable(cluster, waiting, machine_counts),
        )

    def place_job(self, job: Job, state: PassState, now: Instant) -> None:
        """Place the job's startable tasks as far as there is room, a gang whole or not at all."""
        count = self._count_to_place(job, state)
        if not count:
            return
        reserved = self.preemption.reservations.grant(job, state.free)
        search = self._new_search(job, count, reserved, state)
        self._find_machines(search, state)
        if job.gang and len(search.chosen) < job.size:
            search.chosen = []
        all_placed = len(search.chosen) == count
        used = reserved if all_placed else reserved.intersection(search.chosen)
        self.preemption.reservations.return_unused(used, reserved, state.free)
        self._start(job, search.chosen, state.free, now)
        if job.need.accelerators > 0 and search.chosen:
            cluster = self.cluster
            state.headroom_machines, state.headroom_candidates = cluster.headroom.select_machines(
                cluster.schedulable.by_offer, state.free
            )
            cluster.headroom_machines = state.headroom_machines

    def _count_to_place(self, job: Job, state: PassState) -> int:
        """Return how many tasks to place now, within the team's limit; a gang: all or none."""
        unlocated_usage = state.unlocated_usage.get(job.team, NO_RESOURCES)
        quota = self.cluster.quota.tasks_within_limit(job.team, job.need, unlocated_usage)
        count = max(0, min(job.startable_count(), quota))
        if job.gang and (count < job.size or job.placements or job.unlocated_tasks):
            return 0
        if count and job.faulty:
            # One try at a time, in room that happens to be free; nothing is preempted for it.
            if job.placements:
                return 0
            return job.size if job.gang else 1
        return count

    def _new_search(
        self, job: Job, count: int, reserved: set[MachineId], state: PassState
    ) -> JobSearch:
        # What was cleared for the job counts as full for all others.
        machines = state.with_room
        if reserved:
            with_room_ids = state.with_room_ids
            machines = [m for m in state.usable if m.id in reserved or m.id in with_room_ids]
        denied = self.preemption.denied_machines = self.gang_reservations.denied_machines(job)
        if denied:
            machines = [m for m in machines if m.id not in denied]
        # Replicas stay long: they take accelerated machines only if nothing else is left.
        long_running = job.service and job.need.accelerators <= 0
        open_machines = state.headroom_candidates if long_running else state.headroom_machines
        barred = self.cluster.barred_machines(job, open_machines) - reserved
        kind = SearchKind(
            job.placement_class,
            long_running,
            bool(barred),
            bool(denied),
            job.id not in state.affordable,
        )
        return JobSearch(job, count, reserved, machines, barred, kind)

    def _find_machines(self, search: JobSearch, state: PassState) -> None:
        """Choose machines: free room first, then by preemption, then machines kept for others."""
        job, preemptable = search.job, state.preemptable
        room = self._usable_room(search, state)
        if search.kind.long_running:
            self._count_room_being_cleared(search, state)
        if search.clearing < search.count:
            self._choose(search, search.kind, room, search.barred, state)
        if search.missing > 0 and preemptable is not None:
            search.clearing += self.preemption.preempt(
                job, search.missing, preemptable, search.reserved
            )
        if search.kind.long_running:
            widened = (state.headroom_machines - search.reserved, set[MachineId]())
            for widening, barred in enumerate(widened, start=1):
                if search.missing > 0:
                    kind = search.kind._replace(widening=widening)
                    self._choose(search, kind, state.free, barred, state)

    def _usable_room(self, search: JobSearch, state: PassState) -> dict[MachineId, Resources]:
        """Return the room by machine that the job may use; less where others are too expensive."""
        affordable = state.affordable.get(search.job.id)
        if affordable is None:
            return state.free
        machine_types = self.cluster.machine_types
        return {
            machine.id: state.free[machine.id]
            if machine.id in state.headroom_machines and affordable.may_use_leftovers
            else affordable.usable_room(
                machine, state.free[machine.id], machine_types[machine.machine_type]
            )
            for machine in search.machines
        }

    def _count_room_being_cleared(self, search: JobSearch, state: PassState) -> None:
        """Replicas wait for the room that is being cleared for them: it is free in a moment."""
        job, free = search.job, state.free
        search.clearing = sum(
            1
            for machine_id in search.reserved
            if machine_id in free and not job.need.fits(free[machine_id])
        )
        if state.preemptable is not None and self.preemption.needs_cached_image(job):
            search.clearing += self.preemption.preempt_near_image(
                job,
                search.count - search.clearing,
                search.machines,
                state.preemptable,
                state.headroom_candidates,
            )

    def _choose(
        self,
        search: JobSearch,
        kind: SearchKind,
        room: dict[MachineId, Resources],
        barred: set[MachineId],
        state: PassState,
    ) -> None:
        """Search for room, unless a job of the same kind has found none in this pass."""
        job = search.job
        if not search.reserved and kind in state.exhausted:
            return
        search.chosen = choose_machines(
            self.cluster,
            job,
            search.count - search.clearing,
            Candidates(search.machines, room, barred),
            prefer=search.reserved,
        )
        if not search.chosen and not search.reserved and job.interchangeable:
            state.exhausted.add(kind)

    def _start(
        self, job: Job, chosen: list[MachineId], free: dict[MachineId, Resources], now: Instant
    ) -> None:
        """Place one task on each chosen machine, all under one attempt number."""
        if not chosen:
            return
        self.attempt_count += 1
        attempt = Attempt((self.cluster.term_token << ATTEMPT_NUMBER_BITS) + self.attempt_count)
        for index, machine_id in self._assign_tasks(job, chosen):
            machine = self.cluster.machines[machine_id]
            task = TaskId(job.id, index)
            placement = Placement(task, attempt, machine_id, machine.zone, job, now)
            placement.intent_stored = index < job.placed_below
            if not self.cluster.invariants.may_place(machine, job, placement):
                continue
            self.cluster.add_placement(machine, job, placement)
            free[machine_id] = free[machine_id].minus(job.need)
            if placement.intent_stored:
                self.cluster.send_start(placement)

    def _assign_tasks(self, job: Job, chosen: list[MachineId]) -> list[tuple[int, MachineId]]:
        """Return pairs of task index and machine; tasks left over are queued again.

        A worker refuses a task whose previous attempt it still lists, so such a pair is avoided.
        """
        unassigned = [job.take_task() for _ in chosen]
        assigned: list[tuple[int, MachineId]] = []
        for machine_id in chosen:
            machine = self.cluster.machines[machine_id]
            for index in unassigned:
                task = TaskId(job.id, index)
                if task not in machine.placements and task not in machine.exited_tasks:
                    unassigned.remove(index)
                    assigned.append((index, machine_id))
                    break
        if job.gang and unassigned:
            # One task would be refused where its last attempt is still listed: not without it.
            unassigned += [index for index, _ in assigned]
            assigned = []
        for index in unassigned:
            job.put_back(index)
        return assigned
