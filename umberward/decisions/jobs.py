"""Jobs under way, as their holder sees them. No I/O."""

from __future__ import annotations

import bisect
import math
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from umberward.core.types import (
    Amount,
    Attempt,
    Instant,
    JobId,
    Key,
    MachineId,
    Offer,
    Stamp,
    TaskId,
    TeamName,
    WallTime,
    ZoneName,
)
from umberward.protocol import wire
from umberward.protocol.wire import LIVE, JobRecord, Remains, Spec

RECORD_SPARE = 128  # bytes of a record besides the spec and the bitmap
LEAST_WINDOW = 16
WINDOW = 8192  # at most so many tasks may be between the first unfinished and the last started


class Claim(NamedTuple):
    """What the jobs after a job ask of it."""

    rank: int
    late: float  # the time of day by which it must be done


NO_CLAIM = Claim(max(wire.RANKS.values()), math.inf)


class StopKey(NamedTuple):
    """All that decides by whom a task may be stopped."""

    accelerated: bool
    rank: int
    standing: tuple[int, int]


def may_stop(mine: StopKey, other: StopKey) -> bool:
    # Accelerated work is never stopped for ordinary work, whatever their standing: so it may
    # stop ordinary work of lower rank, and the two cannot take turns.
    if mine.accelerated != other.accelerated:
        return mine.accelerated and (other.rank > mine.rank or other.standing > mine.standing)
    return other.standing > mine.standing


class Placement:
    """One attempt of one task on one machine, from the decision until it is surely gone."""

    __slots__ = (
        "task", "attempt", "machine", "zone", "need", "team", "key", "at", "sent", "seen",
        "hello_serial", "phase", "running_at", "saves_every", "stop",
        "stop_at", "ready", "adopted", "fetched", "prompt",
    )  # fmt: skip

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
        self.key = job.key
        self.at = at
        self.ready = False  # its mark is committed: it may be sent
        self.adopted = False  # started by a former holder
        self.fetched = False  # its worker had to fetch the image
        self.sent = False
        self.seen = False  # listed by its worker
        self.hello_serial = -1  # the report whose response last carried the start
        self.phase = ""
        self.running_at: Instant | None = None
        self.saves_every = job.spec.snapshot_every_s
        self.stop: float | None = None  # grace with which it is being stopped
        self.stop_at = at
        self.prompt = job.prompt

    @property
    def rank(self) -> int:
        return self.key.rank


class Job:
    # Whether its failures are judged task by task, and it has its own account of them.
    judges_tasks = False
    # What must still stand in the state service for its record to be written.
    conditions: tuple[tuple[Key, Stamp], ...] = ()

    def __init__(self, record: JobRecord, stamp: Stamp, value_limit: int) -> None:
        spec = record.spec
        self.spec: Spec = spec
        self.id = JobId(spec.uid)
        self.team = TeamName(spec.owner)
        self.need = Amount(spec.cores, spec.accelerators, spec.mem_gb)
        self.rank = wire.RANKS[spec.rank]
        self.gang = spec.shape == wire.GANG
        self.service = spec.shape == wire.SERVICE
        self.at = WallTime(record.at)  # when it was submitted: its deadline counts from here
        # What else is asked of it counts from when the last job that it needs was done.
        self.ready_at = WallTime(record.ready or record.at)
        self.size = spec.shards
        self.stamp = stamp
        self.marked = record.marked
        spare = value_limit - wire.json_size(spec) - RECORD_SPARE
        self.window = max(LEAST_WINDOW, min(WINDOW, spare * 4))
        self.base = record.base
        self.bits = int(record.done, 16)
        self.saved = (self.base, self.bits)
        if self.gang and self.done:
            self.base, self.bits = self.size, 0  # an earlier version stored a part of it
        self.placed: dict[int, Placement] = {}
        self.fresh = self.marked  # tasks from here on were never started
        self.again: list[int] = []  # tasks to start once more, ascending
        # Marked by a former holder and not found yet: they may be on an unsettled machine.
        self.unsure = {i for i in range(self.base, self.marked) if not self.is_done(i)}
        self.ended = False
        self.committed_at = 0.0
        self.unready = 0  # placements whose mark is not committed
        self.errors: set[MachineId] = set()
        self.hold_until = 0.0
        self.failed_passes = 0
        self.unwritable = False  # its record stands there and cannot be read
        self.holds = 0  # tries since it was blamed
        self.mistaken = False  # fails wherever it is started: blamed for it
        self.fails_after = 0.0  # the longest that one of its tasks ran before it failed
        self.ran: set[int] = set()  # replicas that have run
        self.began = False  # one of its tasks was seen running
        self.ran_well = False
        self.stopped_at = 0.0
        # Jobs of one class need the same kind of room: where one finds none, none does.
        self.kind = (
            self.need, tuple(spec.flavors) if spec.flavors is not None else None, spec.yard,
            spec.reclaimable,
        )  # fmt: skip
        # The kinds of machines that suit it, and when that was found.
        self.suits: tuple[int, set[Offer]] | None = None
        self.standing = (1, self.rank)  # the smaller, the earlier it is served
        self.prompt = False  # accelerated work that should start soon after it comes
        self.goal_at = -math.inf  # the latest start for the next of what is asked of it

    @classmethod
    def of_remains(cls, id: JobId, remains: Remains) -> Job:
        """A job that is cancelled, as far as its tasks may still use something."""
        spec = Spec(
            uid=id, jobclass="-", owner=remains.owner, shape=wire.ARRAY, rank="idle",
            shards=max(1, remains.marked), cores=remains.cores, accelerators=remains.accelerators,
            mem_gb=remains.mem_gb, bundle="-", pull_gb=0.0, expect_s=0.0, same_place=False,
            apart=False, reclaimable=False, snapshot_every_s=0.0, snapshot_cost_s=0.0,
        )  # fmt: skip
        record = JobRecord(spec, 0.0, remains.marked, remains.base, remains.done)
        job = cls(record, Stamp(0), 0)
        job.ended = True
        return job

    @property
    def key(self) -> StopKey:
        return StopKey(self.need.accelerators > 0, self.rank, self.standing)

    @property
    def record_key(self) -> Key:
        """Where its record stands."""
        return Key(LIVE + self.id)

    @property
    def avoided(self) -> set[MachineId]:
        """Machines that its tasks go to only if there is no room elsewhere: they failed there."""
        return self.errors

    @property
    def plain(self) -> bool:
        """Whether only its kind tells where it may run."""
        return not (self.avoided or self.unsure or self.gang or self.spec.apart
                    or self.spec.same_place)  # fmt: skip

    def is_done(self, index: int) -> bool:
        return index < self.base or bool(self.bits >> (index - self.base) & 1)

    def is_saved(self, index: int) -> bool:
        """Whether the completion of this task is in the state service."""
        base, bits = self.saved
        return index < base or bool(bits >> (index - base) & 1)

    def done_with(self, index: int) -> Iterable[int]:
        """The tasks that are done if this one is: of a gang all, whoever placed it and whichever
        of its machines can still tell. The others would never run without the one that is done."""
        return range(self.size) if self.gang else (index,)

    def mark_done(self, index: int) -> bool:
        if index >= self.size or self.is_done(index):
            return False
        self.bits |= 1 << (index - self.base)
        self.unsure.discard(index)
        self.not_again(index)
        while self.bits & 1:
            self.bits >>= 1
            self.base += 1
        return True

    @property
    def done(self) -> int:
        return self.base + self.bits.bit_count()

    @property
    def complete(self) -> bool:
        return self.done >= self.size

    @property
    def to_end(self) -> bool:
        """Whether its last task's end is to be written."""
        return self.complete

    @property
    def dirty(self) -> bool:
        return self.saved != (self.base, self.bits)

    def startable(self) -> int:
        """How many tasks wait for a place."""
        end = min(self.size, self.base + self.window)
        return len(self.again) + max(0, end - self.fresh)

    def take(self) -> int:
        """The next task to place; it must be put back if it is not placed."""
        if self.again:
            return self.again.pop(0)
        self.fresh += 1
        return self.fresh - 1

    def put_back(self, index: int) -> None:
        at = bisect.bisect_left(self.again, index)
        if not self.is_done(index) and (at == len(self.again) or self.again[at] != index):
            self.again.insert(at, index)

    def not_again(self, index: int) -> bool:
        """The task is not to be placed; whether it was. Thousands may be: they are not walked."""
        at = bisect.bisect_left(self.again, index)
        if at == len(self.again) or self.again[at] != index:
            return False
        del self.again[at]
        return True

    def found(self, index: int) -> None:
        """A former holder has started this task, and we know where it is now."""
        self.unsure.discard(index)
        self.not_again(index)

    def task_failed(self, index: int, machine: MachineId, now: Instant) -> None:
        """Only for jobs that judge their tasks one by one."""
        raise NotImplementedError

    def judge(self, machines: Mapping[MachineId, Any], now: Instant) -> bool:
        """The same; False: nothing is left to decide."""
        raise NotImplementedError

    def excused(self, index: int) -> bool:
        """Whether the failures of this task say nothing about machines."""
        return self.mistaken

    def lost_tasks(self) -> int:
        """How many tasks are in none of the places in which a task must be. A count, not a walk."""
        known = self.done + len(self.placed) + len(self.unsure) + len(self.again)
        return max(0, self.size - known - max(0, self.size - self.fresh))

    def nowhere(self, index: int) -> bool:
        at = bisect.bisect_left(self.again, index)
        queued = at < len(self.again) and self.again[at] == index
        return not (queued or index in self.placed or self.is_done(index))

    def settle(self) -> None:
        """All machines are known now: what was not found is nowhere."""
        for index in self.unsure:
            self.put_back(index)
        self.unsure.clear()

    def record(self, marked: int) -> Any:
        """What to store, with `marked`, `base` and `done` as a JobRecord has them; None: it does
        not fit, as its holder had room for a wider bitmap."""
        bits = self.bits_to_store()
        if bits is None:
            return None
        ready = self.ready_at if self.ready_at != self.at else None
        return JobRecord(self.spec, self.at, marked, self.base, bits, ready=ready)

    def parse(self, data: Any) -> Any:
        """A record of this job as it was read. Raises wire.Malformed."""
        return wire.converted(data, JobRecord)

    def with_record(self) -> list[dict[str, Any]]:
        """What is to be written in the same transaction as the record."""
        return []

    def stored(self, record: Any, stamp: Stamp, now: float) -> None:
        """The record is committed, and what came with it."""
        self.stamp = stamp
        self.marked = record.marked
        self.saved = (record.base, int(record.done, 16))
        self.committed_at = now

    def bits_to_store(self) -> str | None:
        """The bitmap of completions. All that was committed stays in it. Completions beyond our
        own window are left out until the first tasks are done: their workers remember them
        meanwhile."""
        bits = self.bits
        if bits >> self.window:
            base, saved = self.saved
            bits = bits & ((1 << self.window) - 1) | saved >> max(0, self.base - base)
            if bits >> self.window:
                return None
        return f"{bits:x}"

    def adopt(self, record: Any, stamp: Stamp) -> None:
        """Take over what the state service has after an unknown outcome."""
        self.stamp = stamp
        self.marked = max(self.marked, record.marked)
        self.saved = (record.base, int(record.done, 16))
