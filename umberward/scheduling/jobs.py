"""Jobs under way, as their holder sees them. No I/O."""

from __future__ import annotations

import bisect
import math
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple, Protocol

from umberward.core.types import (
    Attempt,
    Instant,
    JobId,
    Key,
    MachineId,
    MachineOffer,
    Resources,
    TaskId,
    TeamName,
    Version,
    WallTime,
    ZoneName,
)
from umberward.protocol import wire
from umberward.protocol.wire import LIVE_JOBS_PREFIX, JobRecord, JobSpec, RemainingTasks

RECORD_SPARE_BYTES = 128  # bytes of a record besides the spec and the bitmap
MIN_TASK_WINDOW = 16
MAX_TASK_WINDOW = (
    8192  # at most so many tasks may be between the first unfinished and the last started
)


class StoredProgressRecord(Protocol):
    """What the stored records of all kinds of jobs have in common, see `wire.JobRecord`."""

    placed_below: int
    done_below: int
    done_bitmap: str


class DependentDemand(NamedTuple):
    """What the jobs after a job ask of it."""

    priority: int
    finish_by: float  # the time of day by which it must be done


NO_DEMAND = DependentDemand(max(wire.PRIORITIES.values()), math.inf)


class PreemptionKey(NamedTuple):
    """All that decides by whom a task may be stopped."""

    accelerated: bool
    priority: int
    standing: tuple[int, int]


def may_preempt(mine: PreemptionKey, other: PreemptionKey) -> bool:
    # Accelerated work is never stopped for ordinary work, whatever their standing: so it may
    # stop ordinary work of lower rank, and the two cannot take turns.
    if mine.accelerated != other.accelerated:
        return mine.accelerated and (
            other.priority > mine.priority or other.standing > mine.standing
        )
    return other.standing > mine.standing


class Placement:
    """One attempt of one task on one machine, from the decision until it is surely gone."""

    __slots__ = (
        "task",
        "attempt",
        "machine",
        "zone",
        "need",
        "team",
        "preemption_key",
        "placed_at",
        "sent",
        "seen_on_worker",
        "start_sent_sequence",
        "phase",
        "running_since",
        "checkpoint_interval_s",
        "stop_grace",
        "stopped_at",
        "intent_stored",
        "adopted_from_predecessor",
        "image_fetched",
        "prompt",
    )

    def __init__(
        self,
        task: TaskId,
        attempt: Attempt,
        machine: MachineId,
        zone: ZoneName,
        job: Job,
        at: Instant,
    ) -> None:
        self.task = task
        self.attempt = attempt
        self.machine = machine
        self.zone = zone
        self.need = job.need
        self.team = job.team
        self.preemption_key = job.preemption_key
        self.placed_at = at
        self.intent_stored = False  # its mark is committed: it may be sent
        self.adopted_from_predecessor = False  # started by a former holder
        self.image_fetched = False  # its worker had to fetch the image
        self.sent = False
        self.seen_on_worker = False  # listed by its worker
        self.start_sent_sequence = -1  # the report whose response last carried the start
        self.phase = ""
        self.running_since: Instant | None = None
        self.checkpoint_interval_s = job.spec.checkpoint_interval_s
        self.stop_grace: float | None = None  # grace with which it is being stopped
        self.stopped_at = at
        self.prompt = job.prompt

    @property
    def priority(self) -> int:
        return self.preemption_key.priority


class Job:
    # Whether its failures are judged task by task, and it has its own account of them.
    attributes_failures_per_task = False
    # What must still stand in the state service for its record to be written.
    conditions: tuple[tuple[Key, Version], ...] = ()

    def __init__(self, record: JobRecord, stamp: Version, value_limit: int) -> None:
        spec = record.spec
        self.spec: JobSpec = spec
        self.id = JobId(spec.job_id)
        self.team = TeamName(spec.team)
        self.need = Resources(spec.cores, spec.accelerators, spec.mem_gb)
        self.priority = wire.PRIORITIES[spec.priority]
        self.gang = spec.kind == wire.GANG
        self.service = spec.kind == wire.SERVICE
        self.submitted_at = WallTime(
            record.submitted_at
        )  # when it was submitted: its deadline counts from here
        # What else is asked of it counts from when the last job that it needs was done.
        self.ready_at = WallTime(record.ready_at or record.submitted_at)
        self.size = spec.task_count
        self.version = stamp
        self.placed_below = record.placed_below
        spare = value_limit - wire.json_size(spec) - RECORD_SPARE_BYTES
        self.window = max(MIN_TASK_WINDOW, min(MAX_TASK_WINDOW, spare * 4))
        self.done_below = record.done_below
        self.done_bitmap = int(record.done_bitmap, 16)
        self.stored_progress = (self.done_below, self.done_bitmap)
        if self.gang and self.done_count:
            self.done_below, self.done_bitmap = (
                self.size,
                0,
            )  # an earlier version stored a part of it
        self.placements: dict[int, Placement] = {}
        self.next_fresh_task = self.placed_below  # tasks from here on were never started
        self.requeued_tasks: list[int] = []  # tasks to start once more, ascending
        # Marked by a former holder and not found yet: they may be on an unsettled machine.
        self.unlocated_tasks = {
            i for i in range(self.done_below, self.placed_below) if not self.is_done(i)
        }
        self.ended = False
        self.progress_stored_at = 0.0
        self.unstored_intents = 0  # placements whose mark is not committed
        self.failed_machines: set[MachineId] = set()
        self.held_until = 0.0
        self.failed_passes = 0
        self.record_unreadable = False  # its record stands there and cannot be read
        self.retry_count = 0  # tries since it was blamed
        self.faulty = False  # fails wherever it is started: blamed for it
        self.longest_failed_run_s = 0.0  # the longest that one of its tasks ran before it failed
        self.replicas_run: set[int] = set()  # replicas that have run
        self.has_begun = False  # one of its tasks was seen running
        self.ran_well = False
        self.preempted_at = 0.0
        # Jobs of one class need the same kind of room: where one finds none, none does.
        self.placement_class = (
            self.need,
            tuple(spec.machine_types) if spec.machine_types is not None else None,
            spec.zone,
            spec.spot,
        )
        # The kinds of machines that suit it, and when that was found.
        self.suitable_offers: tuple[int, set[MachineOffer]] | None = None
        self.standing = (1, self.priority)  # the smaller, the earlier it is served
        self.prompt = False  # accelerated work that should start soon after it comes
        self.next_goal_at = -math.inf  # the latest start for the next of what is asked of it

    @classmethod
    def of_remaining(cls, id: JobId, remains: RemainingTasks) -> Job:
        """A job that is cancelled, as far as its tasks may still use something."""
        spec = JobSpec(
            job_id=id,
            job_class="-",
            team=remains.team,
            kind=wire.ARRAY,
            priority="idle",
            task_count=max(1, remains.placed_below),
            cores=remains.cores,
            accelerators=remains.accelerators,
            mem_gb=remains.mem_gb,
            image="-",
            image_gb=0.0,
            expected_runtime_s=0.0,
            same_zone=False,
            spread=False,
            spot=False,
            checkpoint_interval_s=0.0,
            checkpoint_cost_s=0.0,
        )
        record = JobRecord(spec, 0.0, remains.placed_below, remains.done_below, remains.done_bitmap)
        job = cls(record, Version(0), 0)
        job.ended = True
        return job

    @property
    def preemption_key(self) -> PreemptionKey:
        return PreemptionKey(self.need.accelerators > 0, self.priority, self.standing)

    @property
    def record_key(self) -> Key:
        """Where its record stands."""
        return Key(LIVE_JOBS_PREFIX + self.id)

    @property
    def avoided_machines(self) -> set[MachineId]:
        """Machines that its tasks go to only if there is no room elsewhere: they failed there."""
        return self.failed_machines

    @property
    def interchangeable(self) -> bool:
        """Whether only its kind tells where it may run."""
        return not (
            self.avoided_machines
            or self.unlocated_tasks
            or self.gang
            or self.spec.spread
            or self.spec.same_zone
        )

    def is_done(self, index: int) -> bool:
        return index < self.done_below or bool(self.done_bitmap >> (index - self.done_below) & 1)

    def is_completion_stored(self, index: int) -> bool:
        """Whether the completion of this task is in the state service."""
        base, bits = self.stored_progress
        return index < base or bool(bits >> (index - base) & 1)

    def completed_with(self, index: int) -> Iterable[int]:
        """The tasks that are done if this one is: of a gang all, whoever placed it and whichever
        of its machines can still tell. The others would never run without the one that is done."""
        return range(self.size) if self.gang else (index,)

    def mark_done(self, index: int) -> bool:
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
        return self.done_below + self.done_bitmap.bit_count()

    @property
    def complete(self) -> bool:
        return self.done_count >= self.size

    @property
    def end_unwritten(self) -> bool:
        """Whether its last task's end is to be written."""
        return self.complete

    @property
    def progress_unstored(self) -> bool:
        return self.stored_progress != (self.done_below, self.done_bitmap)

    def startable_count(self) -> int:
        """How many tasks wait for a place."""
        end = min(self.size, self.done_below + self.window)
        return len(self.requeued_tasks) + max(0, end - self.next_fresh_task)

    def take_task(self) -> int:
        """The next task to place; it must be put back if it is not placed."""
        if self.requeued_tasks:
            return self.requeued_tasks.pop(0)
        self.next_fresh_task += 1
        return self.next_fresh_task - 1

    def put_back(self, index: int) -> None:
        at = bisect.bisect_left(self.requeued_tasks, index)
        if not self.is_done(index) and (
            at == len(self.requeued_tasks) or self.requeued_tasks[at] != index
        ):
            self.requeued_tasks.insert(at, index)

    def remove_requeued(self, index: int) -> bool:
        """The task is not to be placed; whether it was. Thousands may be: they are not walked."""
        at = bisect.bisect_left(self.requeued_tasks, index)
        if at == len(self.requeued_tasks) or self.requeued_tasks[at] != index:
            return False
        del self.requeued_tasks[at]
        return True

    def locate_task(self, index: int) -> None:
        """A former holder has started this task, and we know where it is now."""
        self.unlocated_tasks.discard(index)
        self.remove_requeued(index)

    def task_failed(self, index: int, machine: MachineId, now: Instant) -> None:
        """Only for jobs that judge their tasks one by one."""
        raise NotImplementedError

    def judge_failures(self, machines: Mapping[MachineId, Any], now: Instant) -> bool:
        """The same; False: nothing is left to decide."""
        raise NotImplementedError

    def failure_excused(self, index: int) -> bool:
        """Whether the failures of this task say nothing about machines."""
        return self.faulty

    def count_lost_tasks(self) -> int:
        """How many tasks are in none of the places in which a task must be. A count, not a walk."""
        known = (
            self.done_count
            + len(self.placements)
            + len(self.unlocated_tasks)
            + len(self.requeued_tasks)
        )
        return max(0, self.size - known - max(0, self.size - self.next_fresh_task))

    def is_lost(self, index: int) -> bool:
        at = bisect.bisect_left(self.requeued_tasks, index)
        queued = at < len(self.requeued_tasks) and self.requeued_tasks[at] == index
        return not (queued or index in self.placements or self.is_done(index))

    def requeue_unlocated(self) -> None:
        """All machines are known now: what was not found is nowhere."""
        for index in self.unlocated_tasks:
            self.put_back(index)
        self.unlocated_tasks.clear()

    def build_record(self, marked: int) -> StoredProgressRecord | None:
        """What to store, with `marked`, `base` and `done` as a JobRecord has them; None: it does
        not fit, as its holder had room for a wider bitmap."""
        bits = self.encode_done_bitmap()
        if bits is None:
            return None
        ready = self.ready_at if self.ready_at != self.submitted_at else None
        return JobRecord(
            self.spec, self.submitted_at, marked, self.done_below, bits, ready_at=ready
        )

    def parse_record(self, data: Any) -> StoredProgressRecord:
        """A record of this job as it was read. Raises wire.Malformed."""
        return wire.convert(data, JobRecord)

    def companion_writes(self) -> list[dict[str, Any]]:
        """What is to be written in the same transaction as the record."""
        return []

    def record_stored(self, record: Any, stamp: Version, now: float) -> None:
        """The record is committed, and what came with it."""
        self.version = stamp
        self.placed_below = record.placed_below
        self.stored_progress = (record.done_below, int(record.done_bitmap, 16))
        self.progress_stored_at = now

    def encode_done_bitmap(self) -> str | None:
        """The bitmap of completions. All that was committed stays in it. Completions beyond our
        own window are left out until the first tasks are done: their workers remember them
        meanwhile."""
        bits = self.done_bitmap
        if bits >> self.window:
            base, saved = self.stored_progress
            bits = bits & ((1 << self.window) - 1) | saved >> max(0, self.done_below - base)
            if bits >> self.window:
                return None
        return f"{bits:x}"

    def adopt_record(self, record: Any, stamp: Version) -> None:
        """Take over what the state service has after an unknown outcome."""
        self.version = stamp
        self.placed_below = max(self.placed_below, record.placed_below)
        self.stored_progress = (record.done_below, int(record.done_bitmap, 16))
