"""The scheduling pass: one walk over the waiting jobs that places tasks on machines. No I/O.

Each job gets free room by best fit, then room that preemption clears for it. This module decides
placements; a start command is sent once its intent is stored (docs/design.md, "Safety").
"""

from __future__ import annotations

from collections import deque

from umberward.core.log import logger
from umberward.core.types import (
    MAX_TASKS_PER_JOB,
    NO_RESOURCES,
    Attempt,
    Instant,
    MachineId,
    Resources,
    TaskId,
)
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.consolidation import Consolidation
from umberward.scheduling.gang_reservation import GangReservations
from umberward.scheduling.heartbeat_room import FIRST_TASKS_FRACTION, FIRST_TASKS_OF_ARRAY
from umberward.scheduling.jobs import Job, Placement
from umberward.scheduling.machine_selection import CandidateMachines, choose_machines
from umberward.scheduling.placement_search import (
    REPEATED_TRIAL_SCOPE,
    RESERVED_ROOM_SCOPE,
    TRIAL_SCOPE,
    JobSearch,
    PassState,
    SearchKind,
)
from umberward.scheduling.preemptable_work import PreemptableWork
from umberward.scheduling.preemption import Preemption
from umberward.scheduling.quarantine import MachineQuarantines, TrialMachine
from umberward.scheduling.replica_moves import ReplicaMoves
from umberward.scheduling.schedulable_machines import machines_with_room
from umberward.scheduling.service_order import ServiceOrder
from umberward.scheduling.spot_policy import jobs_limited_to_affordable
from umberward.scheduling.unlocated_tasks import UnlocatedTasks

log = logger(__name__)

MAX_PLACEMENT_RETRY_DELAY_S = 30.0  # longest delay before retrying a job whose placement raised
ATTEMPT_COUNTER_BITS = 20  # low bits of an attempt number; the high bits are the fencing token


class PlacementPass:
    """Places the waiting jobs in service order."""

    def __init__(
        self,
        cluster: ClusterState,
        service_order: ServiceOrder,
        unlocated_tasks: UnlocatedTasks,
        preemption: Preemption,
        consolidation: Consolidation,
        quarantines: MachineQuarantines,
    ) -> None:
        """Start without gang reservations; these and replica moves belong to the pass alone."""
        self.cluster = cluster
        self.service_order = service_order
        self.unlocated_tasks = unlocated_tasks
        self.preemption = preemption
        self.consolidation = consolidation
        self.quarantines = quarantines
        self.gang_reservations = GangReservations(cluster)
        self.replica_moves = ReplicaMoves(cluster, preemption, cluster.now)
        self.attempt_count = 0  # attempt numbers issued in this term

    def run(self, now: Instant) -> None:
        """Place every job that has room; `now` is a time of the leader's monotonic clock."""
        cluster = self.cluster
        cluster.scheduling_pass_needed = False
        if not cluster.loaded:
            return
        waiting, state = self._prepare(now)
        for job in waiting:
            try:
                self.place_job(job, state, now)
            except Exception:
                # One failing job must not block the others; it is retried with a growing delay.
                job.failed_passes += 1
                job.retry_not_before = now + min(
                    MAX_PLACEMENT_RETRY_DELAY_S, 2.0**job.failed_passes
                )
                log.exception("job_not_placed", job=job.id, again_s=job.retry_not_before - now)
        self.preemption.machines_reserved_for_others = set()
        if not cluster.reconciliation_completed:
            return
        if state.preemptable is not None:
            self.replica_moves.move_replicas(
                state.headroom_machines, state.accelerated_capable_machines, state.preemptable
            )
        self.consolidation.consolidate(state.headroom_machines, state.schedulable_machines, now)

    def _prepare(self, now: Instant) -> tuple[list[Job], PassState]:
        """Return the waiting jobs in service order, and the state that they share."""
        cluster = self.cluster
        schedulable_machines, free = cluster.schedulable_room()
        unlocated_usage = self.unlocated_tasks.usage_by_team()
        if cluster.precedences_outdated:
            self.service_order.update_precedences()
        waiting = self.service_order.jobs_in_service_order(now)
        cluster.headroom.update((job for job in waiting if not job.faulty), now)
        self.preemption.reservations.subtract(free, now)
        by_offer = cluster.schedulable_index.by_offer
        headroom_machines, candidates = cluster.headroom.select_machines(by_offer, free)
        cluster.headroom_machines = headroom_machines
        self.gang_reservations.update(waiting, free, now)
        with_room = machines_with_room(schedulable_machines, free, waiting)
        machine_counts = {offer: len(machines) for offer, machines in by_offer.items()}
        return waiting, PassState(
            schedulable_machines=schedulable_machines,
            free=free,
            with_room=with_room,
            with_room_ids={machine.id for machine in with_room},
            unlocated_usage=unlocated_usage,
            headroom_machines=headroom_machines,
            accelerated_capable_machines=candidates,
            preemptable=(
                PreemptableWork(cluster, schedulable_machines, free, now)
                if self.preemption.claim_search_if_due(waiting, now)
                else None
            ),
            affordable_by_job=jobs_limited_to_affordable(cluster, waiting, machine_counts),
            trials=self.quarantines.due_trials(now),
        )

    def place_job(self, job: Job, state: PassState, now: Instant) -> None:
        """Place as many startable tasks of the job as have room.

        A gang is placed completely or not at all.
        """
        count = self._count_to_place(job, state)
        if not count:
            return
        reserved = self.preemption.reservations.grant(job, state.free)
        search = self._new_search(job, count, reserved, state)
        self._find_machines(search, state)
        trials = self._choose_trials(search, state)
        if job.gang and len(search.chosen) < job.size:
            search.chosen, trials = [], []
        all_placed = len(search.chosen) == count
        used = reserved if all_placed else reserved.intersection(search.chosen)
        self.preemption.reservations.finish_grant(used, reserved, state.free)
        self._place_tasks(job, search.chosen, state.free, now)
        self._record_trials(job, trials, state, now)
        if job.need.accelerators > 0 and search.chosen:
            cluster = self.cluster
            state.headroom_machines, state.accelerated_capable_machines = (
                cluster.headroom.select_machines(cluster.schedulable_index.by_offer, state.free)
            )
            cluster.headroom_machines = state.headroom_machines

    def _count_to_place(self, job: Job, state: PassState) -> int:
        """Return how many tasks to place now within the team's quota; all or none for a gang."""
        unlocated_usage = state.unlocated_usage.get(job.team, NO_RESOURCES)
        quota = self.cluster.quota.tasks_within_limit(job.team, job.need, unlocated_usage)
        count = max(0, min(job.startable_count(), quota))
        if job.gang and (count < job.size or job.placements or job.unlocated_tasks):
            return 0
        if count and job.faulty:
            # Faulty jobs run one attempt at a time, in free room only: nothing is preempted.
            if job.placements:
                return 0
            return job.size if job.gang else 1
        return count

    def _new_search(
        self, job: Job, count: int, reserved: set[MachineId], state: PassState
    ) -> JobSearch:
        # Room that is reserved for this job counts as used for all others, also in `with_room`.
        machines = state.with_room
        if reserved:
            with_room_ids = state.with_room_ids
            machines = [
                m for m in state.schedulable_machines if m.id in reserved or m.id in with_room_ids
            ]
        reserved_for_others = self.preemption.machines_reserved_for_others = (
            self.gang_reservations.machines_reserved_for_others(job)
        )
        if reserved_for_others:
            machines = [m for m in machines if m.id not in reserved_for_others]
        # Replicas run indefinitely: they use accelerated machines only as a last resort.
        long_running = job.service and job.need.accelerators <= 0
        candidates = state.accelerated_capable_machines if long_running else state.headroom_machines
        restricted = self.cluster.headroom_limited_machines(job, candidates) - reserved
        kind = SearchKind(
            job.placement_class,
            long_running,
            bool(restricted),
            bool(reserved_for_others),
            job.id not in state.affordable_by_job,
        )
        return JobSearch(job, count, reserved, machines, restricted, kind)

    def _find_machines(self, search: JobSearch, state: PassState) -> None:
        """Choose machines: free room, then preemption, then machines kept for other work."""
        job, preemptable = search.job, state.preemptable
        room = self._usable_room(search, state)
        if search.kind.long_running:
            self._count_room_being_cleared(search, state)
        candidates = CandidateMachines(search.machines, room, search.restricted)
        if search.clearing_count < search.count:
            self._choose_machines(search, search.kind, candidates, state)
        if search.missing_count > 0 and preemptable is not None:
            search.clearing_count += self.preemption.preempt(
                job, search.missing_count, preemptable, search.reserved
            )
        if search.kind.long_running:
            restrictions_by_scope = (state.headroom_machines - search.reserved, set[MachineId]())
            for search_scope, restricted in enumerate(restrictions_by_scope, start=1):
                if search.missing_count > 0:
                    kind = search.kind._replace(search_scope=search_scope)
                    self._choose_machines(
                        search,
                        kind,
                        CandidateMachines(search.machines, state.free, restricted),
                        state,
                    )
        if search.missing_count == search.count and not job.placements:
            self._choose_reserved_room(search, candidates, state)

    def _choose_reserved_room(
        self, search: JobSearch, candidates: CandidateMachines, state: PassState
    ) -> None:
        """Let a job of small tasks that runs nothing begin in the room for larger tasks."""
        if not self.cluster.types_with_small_tasks(search.job):
            return
        max_tasks = MAX_TASKS_PER_JOB
        if not search.job.runs_all_tasks_at_once:
            max_tasks = FIRST_TASKS_OF_ARRAY
        kind = search.kind._replace(search_scope=RESERVED_ROOM_SCOPE)
        candidates = candidates._replace(reserved_fraction=FIRST_TASKS_FRACTION)
        self._choose_machines(search, kind, candidates, state, max_tasks)

    def _usable_room(self, search: JobSearch, state: PassState) -> dict[MachineId, Resources]:
        """Return the room that the job may use on each machine; less on unaffordable machines."""
        affordable = state.affordable_by_job.get(search.job.id)
        if affordable is None:
            return state.free
        machine_types = self.cluster.machine_types
        return {
            machine.id: state.free[machine.id]
            if machine.id in state.headroom_machines and affordable.may_use_remaining_room
            else affordable.usable_room(
                machine, state.free[machine.id], machine_types[machine.machine_type]
            )
            for machine in search.machines
        }

    def _count_room_being_cleared(self, search: JobSearch, state: PassState) -> None:
        """Count the replicas whose room is being cleared: it is free soon, so they wait for it."""
        job, free = search.job, state.free
        search.clearing_count = sum(
            1
            for machine_id in search.reserved
            if machine_id in free and not job.need.fits(free[machine_id])
        )
        if state.preemptable is not None and self.preemption.needs_cached_image(job):
            search.clearing_count += self.preemption.preempt_where_image_cached(
                job,
                search.count - search.clearing_count,
                search.machines,
                state.preemptable,
                state.accelerated_capable_machines,
            )

    def _choose_machines(
        self,
        search: JobSearch,
        kind: SearchKind,
        candidates: CandidateMachines,
        state: PassState,
        max_tasks: int = MAX_TASKS_PER_JOB,
    ) -> None:
        """Choose machines, unless a job of the same kind found no room in this pass."""
        job = search.job
        if not search.reserved and kind in state.kinds_without_room:
            return
        search.chosen = choose_machines(
            self.cluster,
            job,
            min(search.count - search.clearing_count, max_tasks),
            candidates,
            preferred=search.reserved,
        )
        if not search.chosen and not search.reserved and job.placeable_by_class_alone:
            state.kinds_without_room.add(kind)

    def _choose_trials(self, search: JobSearch, state: PassState) -> list[TrialMachine]:
        """Choose again, with the quarantined machines as the last ones, if tasks are missing.

        Returns the chosen quarantined machines. A pass that does not preempt places no trials, as
        preemption could still find room on a sound machine.
        """
        job = search.job
        if search.missing_count <= 0 or not state.trials.machines or state.preemptable is None:
            return []
        scope = REPEATED_TRIAL_SCOPE if job.has_open_failures else TRIAL_SCOPE
        kind = search.kind._replace(search_scope=scope)
        if kind in state.kinds_without_room and not search.reserved:
            return []
        trials = self._affordable_trials(job, state)
        if not trials:
            return []
        if search.kind.long_running:
            room, restricted = state.free, set[MachineId]()
        else:
            room, restricted = self._usable_room(search, state), search.restricted
        candidates = CandidateMachines(search.machines, room, restricted, trials)
        self._choose_machines(search, kind, candidates, state)
        chosen = [trial for trial in trials if trial.machine.id in search.chosen]
        if job.gang:
            return chosen
        further_trials = {trial.machine.id for trial in chosen[1:]}
        search.chosen = [id_ for id_ in search.chosen if id_ not in further_trials]
        return chosen[:1]

    def _affordable_trials(self, job: Job, state: PassState) -> list[TrialMachine]:
        """Return the quarantined machines that the job may try, with the room it may use."""
        trials = state.trials.for_job(job)
        affordable = state.affordable_by_job.get(job.id)
        if affordable is None:
            return trials
        machine_types = self.cluster.machine_types
        return [
            trial._replace(
                free=affordable.usable_room(
                    trial.machine, trial.free, machine_types[trial.machine.machine_type]
                )
            )
            for trial in trials
        ]

    def _record_trials(
        self, job: Job, trials: list[TrialMachine], state: PassState, now: Instant
    ) -> None:
        """Record the trials that were given to a job; the machines get no others in this pass.

        A machine that still lists an earlier attempt of the only task left has got none.
        """
        machines = [
            trial.machine
            for trial in trials
            if any(
                placement.is_trial and placement.task.job == job.id
                for placement in trial.machine.placements.values()
            )
        ]
        state.trials.remove({machine.id for machine in machines}, job.id)
        for machine in machines:
            self.quarantines.trial_placed(machine, job.id, now)

    def _place_tasks(
        self, job: Job, chosen: list[MachineId], free: dict[MachineId, Resources], now: Instant
    ) -> None:
        """Place one task per chosen machine, all with the same attempt number."""
        if not chosen:
            return
        self.attempt_count += 1
        attempt = Attempt(
            (self.cluster.tokens.initial << ATTEMPT_COUNTER_BITS) + self.attempt_count
        )
        for index, machine_id in self._assign_tasks(job, chosen):
            machine = self.cluster.machines[machine_id]
            task = TaskId(job.id, index)
            placement = Placement(task, attempt, machine_id, machine.zone, job, now)
            placement.intent_stored = index < job.placed_below
            placement.is_trial = machine.quarantined
            if not self.cluster.invariants.may_place(machine, job, placement):
                continue
            self.cluster.add_placement(machine, job, placement)
            if not placement.is_trial:
                free[machine_id] = free[machine_id].minus(job.need)
            if placement.intent_stored:
                self.cluster.queue_start(placement)

    def _assign_tasks(self, job: Job, chosen: list[MachineId]) -> list[tuple[int, MachineId]]:
        """Return pairs of task index and machine; requeue the tasks that get no machine.

        A worker refuses a task whose previous attempt it still lists, so such pairs are avoided.
        """
        unassigned = deque(job.dequeue_tasks(len(chosen)))
        assigned: list[tuple[int, MachineId]] = []
        for machine_id in chosen:
            machine = self.cluster.machines[machine_id]
            for position, index in enumerate(unassigned):
                task = TaskId(job.id, index)
                if task not in machine.placements and task not in machine.exited_tasks:
                    del unassigned[position]  # nearly always the first one
                    assigned.append((index, machine_id))
                    break
        if job.gang and unassigned:
            # A worker would refuse one of the tasks, and a gang does not start without all.
            unassigned.extend(index for index, _ in assigned)
            assigned = []
        for index in unassigned:
            job.requeue_task(index)
        return assigned
