"""Unfinished jobs and the progress of their tasks, as the leader keeps account of them. No I/O.

The record that the state service has of a job runs behind what the leader knows: tasks below
`placed_below` may have been placed by some leader, and the stored completions are those of an
earlier moment (see `wire.JobRecord`).
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from umberward.core.types import (
    Instant,
    JobId,
    Key,
    MachineId,
    MachineOffer,
    Resources,
    TeamName,
    Version,
    WallTime,
)
from umberward.protocol import wire
from umberward.protocol.wire import LIVE_JOBS_PREFIX, JobRecord, JobSpec, RemainingTasks
from umberward.scheduling.placements import Placement
from umberward.scheduling.preemption_key import PreemptionKey, may_preempt
from umberward.scheduling.stored_progress import CompletedTasks, StoredProgressRecord

__all__ = [
    "NO_DEMAND",
    "DependentDemand",
    "Job",
    "Placement",
    "PreemptionKey",
    "may_preempt",
]

RECORD_OVERHEAD_BYTES = 128  # of a record besides the spec and the bitmap
TASKS_PER_BITMAP_BYTE = 4  # the bitmap is stored in hexadecimal digits
# Bounds of the window: the tasks from the first unfinished one to the last that may be started.
MIN_TASK_WINDOW = 16
MAX_TASK_WINDOW = 8192


class DependentDemand(NamedTuple):
    """What the jobs that depend on a job require of it.

    `priority`: the most urgent one of theirs; `finish_by`: the time of day, in seconds, by which
    it must be done.
    """

    priority: int
    finish_by: float


NO_DEMAND = DependentDemand(max(wire.PRIORITIES.values()), math.inf)


class Job:
    """An unfinished job. Its tasks are numbered from 0, and `index` is the number of a task.

    `attributes_failures_per_task`: whether the job decides itself, task by task, which failures
    are the fault of machines. `conditions`: keys that must still have these versions in the state
    service when the job's record is written.
    """

    attributes_failures_per_task = False
    conditions: tuple[tuple[Key, Version], ...] = ()

    def __init__(self, record: JobRecord, version: Version, value_limit: int) -> None:
        """A job as a leader reads it; `value_limit`: bytes of a value in the state service."""
        spec = record.spec
        self.spec: JobSpec = spec
        self.id = JobId(spec.job_id)
        self.team = TeamName(spec.team)
        self.need = Resources(spec.cores, spec.accelerators, spec.mem_gb)
        self.priority = wire.PRIORITIES[spec.priority]
        self.gang = spec.kind == wire.GANG
        self.service = spec.kind == wire.SERVICE
        self.size = spec.task_count
        # The deadline counts from the submission; the other objectives count from the moment when
        # the last dependency was done.
        self.submitted_at = WallTime(record.submitted_at)
        self.ready_at = WallTime(record.ready_at or record.submitted_at)
        self.version = version
        self.ended = False
        self.record_unreadable = False  # the stored record cannot be decoded
        self._init_progress(record, value_limit)
        self._init_failures()
        self._init_scheduling()

    def _init_progress(self, record: JobRecord, value_limit: int) -> None:
        """The progress of the tasks as the record has it."""
        spare_bytes = value_limit - wire.json_size(self.spec) - RECORD_OVERHEAD_BYTES
        self.window = max(
            MIN_TASK_WINDOW, min(MAX_TASK_WINDOW, spare_bytes * TASKS_PER_BITMAP_BYTE)
        )
        self.placed_below = record.placed_below
        self.stored_progress = CompletedTasks.from_record(record)
        self.done_below, self.done_bitmap = self.stored_progress
        self.progress_stored_at = 0.0  # by the leader's steady clock
        if self.gang and self.done_count:
            # An earlier version stored only a part of a gang as done, see `completed_with`.
            self.done_below, self.done_bitmap = self.size, 0
        self.placements: dict[int, Placement] = {}
        self.unstored_intents = 0  # placements with an intent that is not committed yet
        self.next_fresh_task = self.placed_below  # tasks from here on were never started
        self.requeued_tasks: list[int] = []  # tasks to start once more, ascending
        # Tasks that an earlier leader may have placed, and that were not found yet: they may be
        # on a machine that has sent no heartbeat to this leader.
        self.unlocated_tasks = {
            index for index in range(self.done_below, self.placed_below) if not self.is_done(index)
        }

    def _init_failures(self) -> None:
        """What is known of failed and of successful runs."""
        self.failed_machines: set[MachineId] = set()
        self.faulty = False  # its tasks fail on every machine: the job itself is at fault
        self.retry_count = 0  # attempts since it was found faulty
        self.longest_failed_run_s = 0.0
        self.started_replicas: set[int] = set()  # replicas of a service that have run
        self.has_begun = False  # one of its tasks was reported as running
        self.ran_well = False
        self.preempted_at = 0.0

    def _init_scheduling(self) -> None:
        """What the scheduling pass knows about the job."""
        self.retry_not_before = 0.0  # not placed before this reading of the steady clock
        self.failed_passes = 0
        # Jobs of one class need the same kind of capacity: if one finds none, none of them does.
        machine_types = self.spec.machine_types
        self.placement_class = (
            self.need,
            tuple(machine_types) if machine_types is not None else None,
            self.spec.zone,
            self.spec.spot,
        )
        # The offers that suit the job, with the counter of changes at which they were computed.
        self.suitable_offers: tuple[int, set[MachineOffer]] | None = None
        self.standing = (1, self.priority)  # the smaller, the earlier it is served
        self.needs_prompt_start = (
            False  # accelerated work that should start soon after its submission
        )
        self.next_latest_start = -math.inf  # the latest start that meets its next objective

    @classmethod
    def from_remaining_tasks(cls, job_id: JobId, remaining: RemainingTasks) -> Job:
        """A cancelled job, of which only the resources matter that its tasks may still use."""
        spec = JobSpec(
            job_id=job_id,
            job_class="-",
            team=remaining.team,
            kind=wire.ARRAY,
            priority="idle",
            task_count=max(1, remaining.placed_below),
            cores=remaining.cores,
            accelerators=remaining.accelerators,
            mem_gb=remaining.mem_gb,
            image="-",
            image_gb=0.0,
            expected_runtime_s=0.0,
            same_zone=False,
            spread=False,
            spot=False,
            checkpoint_interval_s=0.0,
            checkpoint_cost_s=0.0,
        )
        record = JobRecord(
            spec, 0.0, remaining.placed_below, remaining.done_below, remaining.done_bitmap
        )
        job = cls(record, Version(0), 0)
        job.ended = True
        return job

    # ---- properties for the scheduling pass --------------------------------------------

    @property
    def preemption_key(self) -> PreemptionKey:
        """Which other work may preempt the job's tasks, and which they may preempt."""
        return PreemptionKey(self.need.accelerators > 0, self.priority, self.standing)

    @property
    def avoided_machines(self) -> set[MachineId]:
        """Machines on which tasks failed: they are used only if no other has room."""
        return self.failed_machines

    @property
    def interchangeable(self) -> bool:
        """Whether the placement class alone decides where the job's tasks may run."""
        return not (
            self.avoided_machines
            or self.unlocated_tasks
            or self.gang
            or self.spec.spread
            or self.spec.same_zone
        )

    # ---- completions -------------------------------------------------------------------

    def is_done(self, index: int) -> bool:
        """Whether the task is completed, as far as the leader knows."""
        # Not by CompletedTasks: this runs for each task of each heartbeat.
        return index < self.done_below or bool(self.done_bitmap >> (index - self.done_below) & 1)

    def is_completion_stored(self, index: int) -> bool:
        """Whether the state service has the completion of the task."""
        return self.stored_progress.includes(index)

    def completed_with(self, index: int) -> Iterable[int]:
        """The tasks that are completed if this one is.

        Of a gang these are all, whichever leader placed it and whichever of its machines still
        report: once one task is done, the others could never run again.
        """
        return range(self.size) if self.gang else (index,)

    def mark_done(self, index: int) -> bool:
        """Record a completion; False: it was known, or there is no such task."""
        if index >= self.size or self.is_done(index):
            return False
        self.done_bitmap |= 1 << (index - self.done_below)
        self.unlocated_tasks.discard(index)
        self.remove_requeued(index)
        while self.done_bitmap & 1:
            self.done_bitmap >>= 1
            self.done_below += 1
        return True

    @property
    def done_count(self) -> int:
        """How many tasks are completed."""
        return self.done_below + self.done_bitmap.bit_count()

    @property
    def complete(self) -> bool:
        """Whether all tasks are completed."""
        return self.done_count >= self.size

    @property
    def end_unwritten(self) -> bool:
        """Whether the job's end is to be written to the state service."""
        return self.complete

    @property
    def progress_unstored(self) -> bool:
        """Whether the state service lacks some of the completions."""
        return self.stored_progress != (self.done_below, self.done_bitmap)

    # ---- tasks to start ----------------------------------------------------------------

    def startable_count(self) -> int:
        """How many tasks could be placed now."""
        end = min(self.size, self.done_below + self.window)
        return len(self.requeued_tasks) + max(0, end - self.next_fresh_task)

    def take_task(self) -> int:
        """The next task to place. The caller must put it back if it is not placed."""
        if self.requeued_tasks:
            return self.requeued_tasks.pop(0)
        self.next_fresh_task += 1
        return self.next_fresh_task - 1

    def put_back(self, index: int) -> None:
        """Queue a task once more, unless it is queued or done."""
        position = bisect.bisect_left(self.requeued_tasks, index)
        if not self.is_done(index) and not self._requeued_at(position, index):
            self.requeued_tasks.insert(position, index)

    def remove_requeued(self, index: int) -> bool:
        """Take a task out of the queue; returns whether it was queued.

        The queue can hold thousands of tasks, so it is searched by bisection.
        """
        position = bisect.bisect_left(self.requeued_tasks, index)
        if not self._requeued_at(position, index):
            return False
        del self.requeued_tasks[position]
        return True

    def _requeued_at(self, position: int, index: int) -> bool:
        """Whether the queue has the task at `position`, where bisection places it."""
        return position < len(self.requeued_tasks) and self.requeued_tasks[position] == index

    def locate_task(self, index: int) -> None:
        """A task that an earlier leader started was found on a machine."""
        self.unlocated_tasks.discard(index)
        self.remove_requeued(index)

    def requeue_unlocated(self) -> None:
        """All machines have reported: a task that was not found on any of them does not run."""
        for index in self.unlocated_tasks:
            self.put_back(index)
        self.unlocated_tasks.clear()

    def count_lost_tasks(self) -> int:
        """How many tasks are neither done nor placed, queued, unlocated or never started.

        There should be none. Computed from counts alone, at a cost independent of the job's size.
        """
        known = (
            self.done_count
            + len(self.placements)
            + len(self.unlocated_tasks)
            + len(self.requeued_tasks)
        )
        return max(0, self.size - known - max(0, self.size - self.next_fresh_task))

    def is_lost(self, index: int) -> bool:
        """Whether a task that was started before is neither done, nor placed, nor queued."""
        position = bisect.bisect_left(self.requeued_tasks, index)
        queued = self._requeued_at(position, index)
        return not (queued or index in self.placements or self.is_done(index))

    # ---- failures ----------------------------------------------------------------------

    def task_failed(self, index: int, machine: MachineId, now: Instant) -> None:
        """A task failed on a machine. Only for jobs that attribute failures per task."""
        raise NotImplementedError

    def judge_failures(self, machines: Mapping[MachineId, Any], now: Instant) -> bool:
        """Attribute the failures that are still open; False: none are left.

        Only for jobs that attribute failures per task.
        """
        raise NotImplementedError

    def failure_excused(self, index: int) -> bool:  # noqa: ARG002 - subclasses use it
        """Whether the failures of this task say nothing about the machines."""
        return self.faulty

    # ---- the stored record -------------------------------------------------------------

    @property
    def record_key(self) -> Key:
        """The key of the job's record in the state service."""
        return Key(LIVE_JOBS_PREFIX + self.id)

    def build_record(self, placed_below: int) -> StoredProgressRecord | None:
        """The record to store, with placement intents for all tasks below `placed_below`.

        None: the bitmap does not fit, as an earlier leader had room for a wider one.
        """
        bitmap = self.encode_done_bitmap()
        if bitmap is None:
            return None
        ready_at = self.ready_at if self.ready_at != self.submitted_at else None
        return JobRecord(
            self.spec,
            self.submitted_at,
            placed_below,
            self.done_below,
            bitmap,
            ready_at=ready_at,
        )

    def parse_record(self, data: object) -> StoredProgressRecord:
        """A decoded value as a record of this job. Raises wire.MalformedMessageError."""
        return wire.convert(data, JobRecord)

    def companion_writes(self) -> list[dict[str, Any]]:
        """Writes that go into the same transaction as the job's record."""
        return []

    # The records of subclasses differ, and a method may not narrow the type of a parameter.
    def record_stored(self, record: Any, version: Version, now: float) -> None:  # noqa: ANN401
        """The record and its companion writes are committed as `version`."""
        self.version = version
        self.placed_below = record.placed_below
        self.stored_progress = CompletedTasks.from_record(record)
        self.progress_stored_at = now

    def adopt_record(self, record: StoredProgressRecord, version: Version) -> None:
        """Take over the record that the state service has after a write of unknown outcome."""
        self.version = version
        self.placed_below = max(self.placed_below, record.placed_below)
        self.stored_progress = CompletedTasks.from_record(record)

    def encode_done_bitmap(self) -> str | None:
        """The bitmap of completions for the record; None: it does not fit.

        Everything that was committed stays in it. Completions beyond this leader's window are left
        out until the first tasks are done; their workers keep them in the heartbeats until then.
        """
        bitmap = self.done_bitmap
        if bitmap >> self.window:
            stored_below, stored_bitmap = self.stored_progress
            stored_part = stored_bitmap >> max(0, self.done_below - stored_below)
            bitmap = bitmap & ((1 << self.window) - 1) | stored_part
            if bitmap >> self.window:
                return None
        return f"{bitmap:x}"
