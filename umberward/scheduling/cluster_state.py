"""The state of a cluster as its leader knows it: jobs, machines and placements. No I/O.

The parts of the scheduler share their decisions through this state and don't depend on each
other's internals. Its methods are those that several parts need: where a job may run, and the
bookkeeping of a placement from the decision until its task has certainly ended on the machine.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from umberward.core.grouped_log import GroupedLog
from umberward.core.log import logger
from umberward.core.settings import Settings
from umberward.core.types import (
    NO_RESOURCES,
    Attempt,
    FencingToken,
    Incarnation,
    Instant,
    JobId,
    MachineId,
    MachineTypeName,
    Resources,
    TaskId,
    WallTime,
    ZoneName,
)
from umberward.protocol.wire import KILL, START, MachineType, TaskCommand
from umberward.scheduling.fencing_tokens import FencingTokens
from umberward.scheduling.headroom import Headroom
from umberward.scheduling.invariants import Invariants
from umberward.scheduling.job_constraints import JobConstraints
from umberward.scheduling.job_timing import DEFAULT_START_WITHIN_S
from umberward.scheduling.jobs import Job, Placement, PreemptionKey
from umberward.scheduling.machines import Machine
from umberward.scheduling.objectives import NO_STRICTEST_OBJECTIVES
from umberward.scheduling.quota import Quota
from umberward.scheduling.schedulable_machines import SchedulableMachines
from umberward.scheduling.token_rotation import TokenRotation

log = logger(__name__)
grouped_log = GroupedLog(log)

INVARIANT_REFUSAL_PAUSE_S = 1.0  # pause of a job after an invariant refused one of its starts


class CommandMessage(NamedTuple):
    """Task commands sent to a worker immediately, not in the response to a heartbeat."""

    machine: MachineId
    address: str
    fencing_token: FencingToken
    incarnation: Incarnation
    commands: list[TaskCommand]


class Probe(NamedTuple):
    """A request to a worker for its heartbeat."""

    machine: MachineId
    address: str


class ClusterState(JobConstraints):
    """Jobs, machines, placements and the outbox of one leader for one term."""

    def __init__(
        self,
        settings: Settings,
        machine_types: dict[MachineTypeName, MachineType],
        fencing_token: FencingToken,
        now: Instant,
        wall_clock: Callable[[], WallTime],
        rng: random.Random,
    ) -> None:
        """Start a term with an empty cluster.

        `machine_types` is the cloud's list, updated in place by the caller; `now` is this
        process's monotonic time; `wall_clock` reads its wall clock; `rng` breaks ties.
        """
        cluster = settings.platform.cluster
        super().__init__(cluster.objectives, machine_types)
        self.worker_times = cluster.workers
        # Largest value of the state service, in bytes.
        self.max_value_bytes = int(cluster.state.strictest().value_kb * 1024)
        self.operator = settings.operator
        self.quota = Quota(cluster.teams)
        self.wall_clock = wall_clock
        self.rng = rng
        self.invariants = Invariants()
        self.loaded = False  # the stored jobs and machines have been read
        # For every machine, either its tasks are known or it certainly runs none.
        self.reconciliation_completed = False
        self.scheduling_pass_needed = (
            True  # a scheduling pass is needed: a change may allow a task to start
        )
        self._init_term(fencing_token, now)
        self._init_jobs()
        self._init_machines(now)
        self._init_counters()
        self.outbox: list[CommandMessage | Probe] = []  # sent by the leader loop

    def _init_term(self, fencing_token: FencingToken, now: Instant) -> None:
        """Initialize the fencing tokens and the times, which are monotonic."""
        self.tokens = FencingTokens(fencing_token)
        self.higher_token_seen = FencingToken(0)  # higher token that a worker has reported
        self.token_rotation = TokenRotation()
        self.started_at = now
        self.now = now
        self.last_pause_check_at = now  # last check for a pause of this process
        self.last_heartbeat_at = now  # last heartbeat of any worker
        # When the latest successful read of the job records was requested: all earlier
        # cancellations are known. None: the jobs have not been read in this term.
        self.jobs_read_requested_at: Instant | None = None

    def _init_jobs(self) -> None:
        """Initialize the fields about jobs."""
        self.jobs: dict[JobId, Job] = {}  # live jobs whose dependencies are done
        # Cancelled jobs with tasks that a previous leader placed and that are not located yet.
        self.cancelled_jobs: dict[JobId, Job] = {}
        # The recent cancellations could not be read: any machine may run tasks of cancelled jobs.
        self.recent_cancellations_unknown = False
        # Jobs that may have tasks to place, in the order in which they were added here.
        self.jobs_to_place: dict[JobId, Job] = {}
        self.jobs_to_write: set[JobId] = set()  # jobs with a placement intent or an end to store
        self.precedences_outdated = True
        # Number of placements by preemption key. Most jobs can preempt no placement at all; these
        # counts show it without examining any machine.
        self.placement_counts_by_key: Counter[PreemptionKey] = Counter()

    def _init_machines(self, now: Instant) -> None:
        """Initialize the fields about machines."""
        self.machines: dict[MachineId, Machine] = {}
        self.schedulable_index = SchedulableMachines()
        # New machines whose first check is not scheduled yet.
        self.machines_without_check: list[Machine] = []
        # Machines that sent no message for the heartbeat timeout and did not answer a probe
        # (`Machine.silent`).
        self.silent_machines: set[MachineId] = set()
        # Silent machines whose deletion is to be requested once the cloud answers.
        self.machines_to_delete: set[MachineId] = set()
        # Deleted machines, whose late heartbeats are ignored. A dict keeps the order, so that the
        # oldest can be dropped.
        self.deleted_machines: dict[MachineId, None] = {}
        self.headroom = Headroom(self.machine_types, now)
        self.headroom_machines: set[MachineId] = set()  # machines kept free for accelerated work
        # By task that workers run without a placement: the number of machines that run it.
        self.tasks_without_placement: Counter[TaskId] = Counter()

    def _init_counters(self) -> None:
        """Initialize the work counters, by which tests bound the cost of events and passes."""
        self.heartbeats_decoded = 0  # heartbeats decoded in full
        self.jobs_examined = 0  # jobs examined for tasks to place
        self.machines_examined = 0  # machines examined for work to preempt
        self.room_searches = 0  # searches for free resources among all machines

    # ---- where jobs may run --------------------------------------------------------------

    def set_precedence(self, job: Job, priority: int, precedence: tuple[int, int]) -> None:
        """Set the job's priority and precedence, which also decide what it may preempt."""
        if (priority, precedence) == (job.priority, job.precedence):
            return
        job.priority, job.precedence = priority, precedence
        for placement in job.placements.values():
            self.placement_counts_by_key[placement.preemption_key] -= 1
            placement.preemption_key = job.preemption_key
            self.placement_counts_by_key[placement.preemption_key] += 1
            machine = self.machines.get(placement.machine)
            if machine is not None:
                machine.clear_cached_sums()

    def schedulable_room(self) -> tuple[list[Machine], dict[MachineId, Resources]]:
        """Return the schedulable machines and a copy of the free resources on each."""
        self.schedulable_index.refresh(self.machines, self.machine_types)
        return list(self.schedulable_index.machines.values()), dict(self.schedulable_index.free)

    def machine_types_changed(self) -> None:
        """Re-examine all machines after the cloud's list of machine types was read again."""
        self.constraints_changed()
        self.schedulable_index.changed.update(dict.fromkeys(self.machines))

    def headroom_limited_machines(
        self, job: Job, candidate_machines: set[MachineId]
    ) -> set[MachineId]:
        """Return those of `candidate_machines` on which the job must leave the headroom free."""
        spec = self.headroom.latest_accelerated_spec
        start_within_s = None
        if spec is not None:
            start_within_s, _ = self.strictest_objectives.get(
                spec.job_class, NO_STRICTEST_OBJECTIVES
            )
        return self.headroom.headroom_limited_machines(
            job,
            candidate_machines,
            self.expected_task_runtime_s(job),
            start_within_s or DEFAULT_START_WITHIN_S,
        )

    def find_or_add_machine(
        self,
        machine_id: MachineId,
        address: str,
        machine_type: MachineTypeName,
        zone: ZoneName,
        spot: bool,  # noqa: FBT001 - the fields of a stored machine, in order
        now: Instant,
    ) -> Machine:
        """Return the machine with this id; add it if it is not known."""
        machine = self.machines.get(machine_id)
        if machine is None:
            machine = self.machines[machine_id] = Machine(
                machine_id,
                address,
                machine_type,
                zone,
                spot,
                now,
                self.schedulable_index.changed,
            )
            machine.fencing_token = self.tokens.initial
            self.machines_without_check.append(machine)
            self.note_offer(machine.offer)
        return machine

    def fencing_token_for(self, machine_id: MachineId) -> FencingToken:
        """Return the token for commands and responses to this machine's worker."""
        machine = self.machines.get(machine_id)
        return self.tokens.newest if machine is None else machine.fencing_token

    def heartbeat_timeout_s(self) -> float:
        """Return the seconds without a message after which a machine is probed."""
        return max(self.operator.silence_seconds, self.worker_times.report_s * 1.25 + 1.0)

    # ---- placements ----------------------------------------------------------------------

    def add_placement(self, machine: Machine, job: Job, placement: Placement) -> None:
        """Add a placement to the machine, the job and the usage of the team's quota."""
        machine.mark_placements_changed()
        machine.placements[placement.task] = placement
        self.placement_counts_by_key[placement.preemption_key] += 1
        self.headroom.placement_added(placement)
        if not placement.intent_stored:
            job.unstored_intents += 1
            self.jobs_to_write.add(job.id)
        machine.allocated = machine.allocated.plus(placement.need)
        job.placements[placement.task.number] = placement
        job.stopping_whole_gang = False
        self.quota.add_usage(placement.team, placement.need)

    def release(self, machine: Machine, placement: Placement, *, requeue: bool = True) -> None:
        """Remove a placement whose attempt has certainly ended on its machine; idempotent.

        Releasing one task of a gang also releases the others whose start was not sent, so a caller
        that iterates over all tasks of a machine may release these twice. `requeue`: the task is
        to run again.
        """
        if machine.placements.get(placement.task) is not placement:
            return
        machine.mark_placements_changed()
        machine.placements.pop(placement.task, None)
        self.placement_counts_by_key[placement.preemption_key] -= 1
        self.headroom.placement_released(placement)
        machine.allocated = (
            machine.allocated.minus(placement.need) if machine.placements else NO_RESOURCES
        )
        if not machine.placements:
            machine.idle_since = self.now
        self.quota.remove_usage(placement.team, placement.need)
        self.scheduling_pass_needed = True
        job = self.jobs.get(placement.task.job)
        if job is not None and not job.ended:
            self._release_task(job, placement, requeue=requeue)

    def _release_task(self, job: Job, placement: Placement, *, requeue: bool) -> None:
        if job.placements.get(placement.task.number) is placement:
            del job.placements[placement.task.number]
            if not placement.intent_stored:
                job.unstored_intents -= 1
        if not requeue:
            return
        job.requeue_task(placement.task.number)
        self.jobs_to_place[job.id] = job
        if job.gang and not job.stopping_whole_gang:
            # The rest of a gang cannot run without this task.
            job.stopping_whole_gang = True
            for other in list(job.placements.values()):
                if other.stop_grace_s is None:
                    self.stop(other, 0.0)

    def release_all_placements(self, machine: Machine, reason: str) -> None:
        """Release all placements of a machine whose session has ended; log the `reason`."""
        if machine.placements:
            grouped_log.info(
                "tasks_lost", machine=machine.id, tasks=len(machine.placements), reason=reason
            )
        machine.inflight_starts.incarnation_ended()
        for placement in list(machine.placements.values()):
            self.release(machine, placement)
        machine.exited_tasks.clear()
        machine.set_unplaced_heartbeat_bytes(0)
        machine.forget_deferred_since = None
        self.clear_tasks_without_placement(machine)

    def add_task_without_placement(self, machine: Machine, task: TaskId) -> None:
        """Record a task that the machine runs without a placement and that is to be stopped."""
        if task not in machine.tasks_without_placement:
            machine.tasks_without_placement.add(task)
            self.tasks_without_placement[task] += 1

    def clear_tasks_without_placement(self, machine: Machine) -> None:
        """Clear the record of tasks that the machine runs without a placement."""
        for task in machine.tasks_without_placement:
            self.tasks_without_placement[task] -= 1
            if not self.tasks_without_placement[task]:
                del self.tasks_without_placement[task]
        machine.tasks_without_placement.clear()

    def stop(self, placement: Placement, grace_s: float) -> None:
        """Stop a task with `grace_s` seconds to save a checkpoint; a shorter grace overrides."""
        if placement.stop_grace_s is not None and placement.stop_grace_s <= grace_s:
            return
        placement.stop_grace_s = grace_s
        machine = self.machines.get(placement.machine)
        if machine is None:
            return
        placement.stop_requested_at = self.now
        machine.mark_placements_changed()
        if not placement.sent:
            self.release(machine, placement)
            return
        self.queue_commands(
            machine, [TaskCommand(KILL, str(placement.task), placement.attempt, grace_s)]
        )

    def queue_commands(self, machine: Machine, commands: list[TaskCommand]) -> None:
        """Add commands for a worker to its direct command in the outbox, one per worker."""
        # From the end: the tasks of a job are started and stopped machine by machine.
        for message in reversed(self.outbox):
            if isinstance(message, CommandMessage) and message.machine == machine.id:
                message.commands.extend(commands)
                return
        self.outbox.append(
            CommandMessage(
                machine.id,
                machine.address,
                machine.fencing_token,
                machine.incarnation,
                list(commands),
            )
        )

    def queue_start(self, placement: Placement) -> None:
        """Queue the start of a task whose intent is stored, unless an invariant refuses it."""
        machine = self.machines[placement.machine]
        job = self.jobs.get(placement.task.job)
        if not self.invariants.may_start(job, placement, self.tasks_without_placement):
            if job is not None:
                job.retry_not_before = max(
                    job.retry_not_before, self.now + INVARIANT_REFUSAL_PAUSE_S
                )
            self.release(machine, placement)
            return
        placement.sent = True
        machine.inflight_starts.sent(placement.task, placement.attempt)
        self.queue_commands(machine, [TaskCommand(START, str(placement.task), placement.attempt)])

    def has_unwanted_start(self, machine: Machine) -> bool:
        """Tell whether a start of a task that is to be stopped may still be executed there."""
        return any(self.is_unwanted_start(machine, *key) for key in machine.inflight_starts)

    @staticmethod
    def is_unwanted_start(machine: Machine, task: TaskId, attempt: Attempt) -> bool:
        """Tell whether a start in flight is of an attempt to be stopped, and may be executed.

        Such a start becomes void when the worker receives a higher fencing token or its session
        ends. Until the token is raised, the session must therefore be allowed to end. A start has
        no effect on an attempt that the worker already lists, exited or not.
        """
        placement = machine.placements.get(task)
        if placement is None or placement.attempt != attempt:
            return task not in machine.exited_tasks
        return placement.stop_grace_s is not None and not placement.seen_on_worker
