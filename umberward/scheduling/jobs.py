"""Unfinished jobs and the progress of their tasks, as tracked by the leader. No I/O.

A job's record in the state service is less precise than the leader's knowledge: any task below
`placed_below` may have been placed by some leader, and the stored completions are those of an
earlier time (see `wire.JobRecord`).
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Iterable
from typing import Any, NamedTuple

from umberward.core.types import (
    JobId,
    Key,
    MachineId,
    MachineOffer,
    MachineTypeName,
    TeamName,
    Version,
    WallTime,
)
from umberward.protocol import wire
from umberward.protocol.message_sizes import task_need
from umberward.protocol.wire import LIVE_JOBS_PREFIX, JobRecord, JobSpec, RemainingTasks
from umberward.scheduling.job_failures import JobFailures
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

RECORD_OVERHEAD_BYTES = 128  # reserved in a record for all fields besides the spec and the bitmap
TASKS_PER_BITMAP_BYTE = 4  # the bitmap is stored as hexadecimal digits, one byte each
# Bounds of an array's task window: tasks from the first unfinished one to the last that may be
# started.
MIN_TASK_WINDOW = 16
MAX_TASK_WINDOW = 8192


class DependentDemand(NamedTuple):
    """What the jobs that depend on a job require of it.

    `priority`: the most urgent priority of the dependents; `finish_by`: the wall-clock time, in
    seconds, by which the job must be done.
    """

    priority: int
    finish_by: float


NO_DEMAND = DependentDemand(max(wire.JOB_PRIORITIES.values()), math.inf)


class Job(JobFailures):
    """An unfinished job. Its tasks are numbered from 0; `index` is the number of a task.

    `conditions`: keys in the state service that must still have these
    versions when the job's record is written.
    """

    conditions: tuple[tuple[Key, Version], ...] = ()

    def __init__(self, record: JobRecord, version: Version, max_value_bytes: int) -> None:
        """Create a job from its record; `max_value_bytes` is the state service's limit."""
        spec = record.spec
        self.spec: JobSpec = spec
        self.id = JobId(spec.job_id)
        self.team = TeamName(spec.team)
        self.need = task_need(spec)
        self.priority = wire.JOB_PRIORITIES[spec.priority]
        self.gang = spec.kind == wire.GANG
        self.service = spec.kind == wire.SERVICE
        # The tasks of a gang complete together, and replicas not at all: such a job stores no
        # bitmap of completions, and the window that bounds the bitmap does not bound its tasks.
        self.runs_all_tasks_at_once = self.gang or self.service
        self.size = spec.task_count
        # The deadline counts from the submission, the other objectives from the end of the last
        # dependency.
        self.submitted_at = WallTime(record.submitted_at)
        self.ready_at = WallTime(record.ready_at or record.submitted_at)
        self.version = version
        self.ended = False
        self.record_unreadable = False  # the stored record cannot be decoded
        self._init_progress(record, max_value_bytes)
        super().__init__()
        self._init_scheduling()

    def _init_progress(self, record: JobRecord, max_value_bytes: int) -> None:
        """Initialize the progress of the tasks from the record."""
        bitmap_bytes = max_value_bytes - wire.json_size(self.spec) - RECORD_OVERHEAD_BYTES
        self.window = max(
            MIN_TASK_WINDOW, min(MAX_TASK_WINDOW, bitmap_bytes * TASKS_PER_BITMAP_BYTE)
        )
        self.placed_below = record.placed_below
        self.stored_progress = CompletedTasks.from_record(record)
        self.done_below, self.done_bitmap = self.stored_progress
        self.progress_stored_at = 0.0  # monotonic time
        if self.gang and self.done_count:
            # An earlier release of this program stored only some tasks of a gang as done, see
            # `tasks_completed_with`.
            self.done_below, self.done_bitmap = self.size, 0
        self.placements: dict[int, Placement] = {}
        # All placed tasks of the gang have been told to stop, and none was placed since.
        self.stopping_whole_gang = False
        self.unstored_intents = 0  # placements whose intent is not committed yet
        self.next_unstarted_task = self.placed_below  # tasks from here on were never started
        self.requeued_tasks: list[int] = []  # tasks to start again, ascending
        # Tasks that a previous leader may have placed and that are not located yet: they may be on
        # a machine that has sent no heartbeat to this leader.
        self.unlocated_tasks = {
            index for index in range(self.done_below, self.placed_below) if not self.is_done(index)
        }

    def _init_scheduling(self) -> None:
        """Initialize the state that the scheduling pass keeps about the job."""
        # Monotonic time at which room was last cleared or reserved for the job (`preemption`).
        self.room_reserved_at = 0.0
        self.retry_not_before = 0.0  # monotonic time before which no task is placed
        self.failed_passes = 0
        # Jobs of one placement class need the same kind of capacity: if one finds no room, the
        # others do not either.
        machine_types = self.spec.machine_types
        self.placement_class = (
            self.need,
            tuple(machine_types) if machine_types is not None else None,
            self.spec.zone,
            self.spec.spot,
        )
        # Suitable offers, with the `ClusterState.offers_version` for which they were computed.
        self.suitable_offers: tuple[int, set[MachineOffer]] | None = None
        # Machine types on which its tasks are small (`heartbeat_room`), with the same version.
        self.types_with_small_tasks: tuple[int, frozenset[MachineTypeName]] | None = None
        self.precedence = (1, self.priority)  # smaller values are served first
        # The job needs accelerators and should start soon after its submission.
        self.needs_prompt_start = False
        # Wall-clock time of the latest start that meets the next objective.
        self.next_latest_start = -math.inf

    @classmethod
    def from_remaining_tasks(cls, job_id: JobId, remaining: RemainingTasks) -> Job:
        """Create a cancelled job to account for the resources that its tasks may still use."""
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
        """The key that determines preemption of and by the job's tasks."""
        return PreemptionKey(self.need.accelerators > 0, self.priority, self.precedence)

    @property
    def avoided_machines(self) -> set[MachineId]:
        """Machines on which tasks failed; they are used only if no other machine has room."""
        return self.failed_machines

    @property
    def placeable_by_class_alone(self) -> bool:
        """Whether the placement class alone determines where the job's tasks may run.

        If so, the job can be exchanged for any other such job of its class in a search for room.
        """
        return not (
            self.avoided_machines
            or self.unlocated_tasks
            or self.gang
            or self.spec.spread
            or self.spec.same_zone
        )

    # ---- completions -------------------------------------------------------------------

    def is_done(self, index: int) -> bool:
        """Return whether the leader knows the task to be completed."""
        # Inlined from CompletedTasks.includes, as this runs for each task of each heartbeat.
        return index < self.done_below or bool(self.done_bitmap >> (index - self.done_below) & 1)

    def is_completion_stored(self, index: int) -> bool:
        """Return whether the completion of the task is stored in the state service."""
        return self.stored_progress.includes(index)

    def tasks_completed_with(self, index: int) -> Iterable[int]:
        """Return the tasks that are completed if this one is.

        For a gang these are all its tasks, no matter which leader placed it and which of its
        machines still report: once one task is done, the others could never run again.
        """
        return range(self.size) if self.gang else (index,)

    def mark_done(self, index: int) -> bool:
        """Record a completion; return False if it was known or there is no such task."""
        if index >= self.size or self.is_done(index):
            return False
        self.done_bitmap |= 1 << (index - self.done_below)
        self.unlocated_tasks.discard(index)
        self.delayed_tasks.discard(index)
        self.failures_by_task.pop(index, None)
        self.remove_requeued(index)
        while self.done_bitmap & 1:
            self.done_bitmap >>= 1
            self.done_below += 1
        return True

    @property
    def done_count(self) -> int:
        """The number of completed tasks."""
        return self.done_below + self.done_bitmap.bit_count()

    @property
    def complete(self) -> bool:
        """Whether all tasks are completed."""
        return self.done_count >= self.size

    @property
    def has_end_to_write(self) -> bool:
        """Whether the job's end is still to be written to the state service.

        A completed job is removed once its end is written.
        """
        return self.complete

    @property
    def progress_unstored(self) -> bool:
        """Whether the state service lacks some of the completions."""
        return self.stored_progress != (self.done_below, self.done_bitmap)

    # ---- tasks to start ----------------------------------------------------------------

    def startable_count(self) -> int:
        """Return the number of tasks that could be placed now."""
        end = self.size
        if not self.runs_all_tasks_at_once:
            end = min(end, self.done_below + self.window)
        return len(self.requeued_tasks) + max(0, end - self.next_unstarted_task)

    def dequeue_tasks(self, count: int) -> list[int]:
        """Take the next `count` tasks to place; the caller must requeue those not placed."""
        tasks = self.requeued_tasks[:count]
        del self.requeued_tasks[:count]
        first = self.next_unstarted_task
        self.next_unstarted_task += count - len(tasks)
        tasks.extend(range(first, self.next_unstarted_task))
        return tasks

    def requeue_task(self, index: int) -> None:
        """Requeue a task unless it is queued or done."""
        self.delayed_tasks.discard(index)
        position = bisect.bisect_left(self.requeued_tasks, index)
        if not self.is_done(index) and not self._requeued_at(position, index):
            self.requeued_tasks.insert(position, index)

    def remove_requeued(self, index: int) -> bool:
        """Remove a task from the queue; return whether it was queued.

        The queue can hold thousands of tasks, so it is searched by bisection.
        """
        position = bisect.bisect_left(self.requeued_tasks, index)
        if not self._requeued_at(position, index):
            return False
        del self.requeued_tasks[position]
        return True

    def _requeued_at(self, position: int, index: int) -> bool:
        """Return whether the task is in the queue, at the `position` that bisection yields."""
        return position < len(self.requeued_tasks) and self.requeued_tasks[position] == index

    def locate_task(self, index: int) -> None:
        """Record that a task of a previous leader was found on a machine."""
        self.unlocated_tasks.discard(index)
        self.delayed_tasks.discard(index)
        self.remove_requeued(index)

    def requeue_unlocated(self) -> None:
        """Requeue the unlocated tasks: all machines have reported, and none runs them."""
        for index in self.unlocated_tasks:
            self.requeue_task(index)
        self.unlocated_tasks.clear()

    def count_unaccounted_tasks(self) -> int:
        """Return the number of unaccounted tasks.

        These are neither done nor placed, queued, delayed, unlocated or never started; there should
        be none.
        Only counts are used, so that the cost does not depend on the job's size.
        """
        known = (
            self.done_count
            + len(self.placements)
            + len(self.delayed_tasks)
            + len(self.unlocated_tasks)
            + len(self.requeued_tasks)
        )
        return max(0, self.size - known - max(0, self.size - self.next_unstarted_task))

    def is_unaccounted(self, index: int) -> bool:
        """Return whether a task that was started is neither done nor placed, queued or delayed.

        Unlike `count_unaccounted_tasks`, this does not test whether it is unlocated.
        """
        position = bisect.bisect_left(self.requeued_tasks, index)
        queued = self._requeued_at(position, index) or index in self.delayed_tasks
        return not (queued or index in self.placements or self.is_done(index))

    # ---- the stored record -------------------------------------------------------------

    @property
    def record_key(self) -> Key:
        """The key of the job's record in the state service."""
        return Key(LIVE_JOBS_PREFIX + self.id)

    def build_record(self, placed_below: int) -> StoredProgressRecord | None:
        """Build the record to store, with placement intents for all tasks below `placed_below`.

        None: the bitmap does not fit, as a previous leader had space for a wider one.
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
        """Convert a decoded value to a record of this job. Raises wire.MalformedMessageError."""
        return wire.convert(data, JobRecord)

    def companion_writes(self) -> list[dict[str, Any]]:
        """Return the writes that go into the same transaction as the job's record."""
        return []

    # The records of subclasses differ, and a method may not narrow the type of a parameter.
    def record_stored(self, record: Any, version: Version, now: float) -> None:  # noqa: ANN401
        """Record that the record and its companion writes are committed as `version`."""
        self.version = version
        self.placed_below = record.placed_below
        self.stored_progress = CompletedTasks.from_record(record)
        self.progress_stored_at = now

    def replace_stored_record(self, record: StoredProgressRecord, version: Version) -> None:
        """Replace what is known of the stored record, after a write with an unknown outcome."""
        self.version = version
        self.placed_below = max(self.placed_below, record.placed_below)
        self.stored_progress = CompletedTasks.from_record(record)

    def encode_done_bitmap(self) -> str | None:
        """Encode the bitmap of completions for the record; None: it does not fit.

        Committed completions always stay in it. Other completions beyond this leader's window are
        left out until the first tasks are done; until then the workers keep reporting them in
        their heartbeats.
        """
        bitmap = self.done_bitmap
        if bitmap >> self.window:
            stored_below, stored_bitmap = self.stored_progress
            stored_part = stored_bitmap >> max(0, self.done_below - stored_below)
            bitmap = bitmap & ((1 << self.window) - 1) | stored_part
            if bitmap >> self.window:
                return None
        return f"{bitmap:x}"
