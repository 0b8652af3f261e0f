"""The scheduler's array for one kind of a graph's tasks, in the leader process. No I/O.

Its tasks may start one by one, each as soon as the tasks that it needs are done. Placement,
quotas, priorities, drains and progress records are those of any array. A task is *over* when it is
done, has failed for good, or will not run; that is its one final answer, and it stands once the
array's record is committed.
"""

from __future__ import annotations

import bisect
from collections.abc import Mapping
from typing import Any, Protocol

from umberward.core.log import logger
from umberward.core.types import Instant, Key, MachineId, Version
from umberward.graphs import records
from umberward.graphs.failure_pages import list_machines, paginate
from umberward.graphs.model import GraphId, Options, Shape
from umberward.graphs.records import Failure, GraphRecord, PageRecord, RunRecord
from umberward.protocol import transactions, wire
from umberward.protocol.wire import JobRecord
from umberward.scheduling.failure_attribution import (
    FAULTY_JOB_AFTER_MACHINES,
    QUARANTINE_DECISION_S,
)
from umberward.scheduling.jobs import Job
from umberward.scheduling.machines import Machine

# Split from `live`; the logger name is part of the log lines, which stay as they were.
log = logger("umberward.graphs.live")

MAX_AVOIDED_MACHINES = 16  # machines that failed a task that waits for its next attempt
# The last failure may be its machine's fault as long as that machine has run nothing well since.
# So many times the task is then tried elsewhere once more, which decides sooner than any wait.
EXTRA_ATTEMPTS = 1
FAILURE_CAUSE = "error"  # all that a worker reports of a failed task


class TaskGraph(Protocol):
    """The graph that an array belongs to, as the array uses it."""

    id: GraphId
    record: GraphRecord
    options: Options
    version: Version
    shape: Shape

    def is_ready(self, kind: int, index: int) -> bool:
        """Whether all that the task needs is done."""

    def was_started(self, kind: int, index: int) -> None:
        """Infer from a started task that all that it needs was done."""

    def task_done(self, kind: int, index: int) -> None:
        """Start what needs only this task."""

    def task_failed(self, job: DagJob, index: int) -> None:
        """Give up what needs this task, which has failed for good."""

    def retry_task(self, job: DagJob, index: int) -> None:
        """Have the task placed once more."""


class FailedAttempt:
    """One failure of one task at `at`, on the leader's clock."""

    __slots__ = ("at", "excused", "granted", "machine")

    def __init__(self, machine: MachineId, at: Instant) -> None:
        """Create a failure that counts against its task."""
        self.machine = machine
        self.at = at
        self.excused = False  # its machine turned out to be at fault
        self.granted = False  # not counted, as its machine has run nothing well since

    def counts(self) -> bool:
        """Whether the failure uses up one of the task's retries."""
        return not (self.excused or self.granted)

    def is_settled(self, machines: Mapping[MachineId, Machine], now: Instant) -> bool:
        """Whether nothing can be learned any more about who was at fault."""
        return (
            not self.counts()
            or self.machine_cleared(machines)
            or now - self.at > QUARANTINE_DECISION_S
        )

    def machine_cleared(self, machines: Mapping[MachineId, Machine]) -> bool:
        """Whether the machine has run a task well since this failure."""
        machine = machines.get(self.machine)
        return machine is not None and machine.succeeded_at > self.at


class DagJob(Job):
    """The array of one kind of a graph's tasks."""

    attributes_failures_per_task = True

    def __init__(
        self,
        graph: TaskGraph,
        kind: int,
        run: RunRecord,
        version: Version,
        failures: list[Failure],
        value_limit: int,
    ) -> None:
        """Create the array from its stored progress.

        `version` is that of the array's record, 0 if there is none; `failures` are those of its
        page records; `value_limit` is the largest value of the state service, in bytes.
        """
        spec = graph.shape.spec(graph.id, graph.options, kind)
        record = JobRecord(spec, graph.record.at, run.placed_below, run.done_below, run.done_bitmap)
        super().__init__(record, version, value_limit)
        # Tasks are queued when they become ready, never in the order of their indices.
        self.next_fresh_task = self.size
        self.graph = graph
        self.kind = kind
        self.max_retries = graph.shape.kinds[kind].max_retries
        self.conditions = ((records.live_key(graph.id), graph.version),)
        self.failed_attempts: dict[int, list[FailedAttempt]] = {}
        # Failed tasks that are ready to be tried again, in order of failure.
        self.retries: dict[int, None] = {}
        # Tasks with no retry left, unless a machine turns out to be at fault.
        self.undecided_tasks: set[int] = set()
        self.failures = list(failures)
        self.failure_pages = paginate(failures, value_limit)
        self.sent_failure_count = self.stored_failure_count = len(failures)
        self.page_limit_bytes = value_limit

    # ---- which tasks may start -----------------------------------------------------------

    def task_ready(self, index: int) -> None:
        """Queue a task, as all that it needs is done."""
        # A former leader may have started it, so it waits until all machines are known. If it was
        # found running, that alone may have implied that what it needs is done.
        if index not in self.unlocated_tasks and index not in self.placements:
            self.put_back(index)

    def put_back(self, index: int) -> None:
        """Queue a task again if it is ready and no failure of it is undecided."""
        if index not in self.undecided_tasks and self.graph.is_ready(self.kind, index):
            super().put_back(index)

    def count_lost_tasks(self) -> int:
        """Return 0: tasks that are not ready are in none of the places that `Job` counts."""
        return 0

    def startable_count(self) -> int:
        """Return how many queued tasks lie within the window of the done bitmap."""
        return bisect.bisect_left(self.requeued_tasks, self.done_below + self.window)

    def take_task(self) -> int:
        """Remove the next task to place from the queue; retries come first."""
        for index in self.retries:
            if index < self.done_below + self.window and self.remove_requeued(index):
                del self.retries[index]
                return index
        return self.requeued_tasks.pop(0)

    @property
    def avoided_machines(self) -> set[MachineId]:
        """Machines that failed tasks which now wait for a retry, a bounded number of them."""
        machines: set[MachineId] = set()
        for index in self.retries:
            machines.update(self._failed_on(index))
            if len(machines) >= MAX_AVOIDED_MACHINES:
                break
        return machines

    def locate_task(self, index: int) -> None:
        """Note where a task runs that a former leader has started."""
        super().locate_task(index)
        self.graph.was_started(self.kind, index)

    # ---- which tasks are over ------------------------------------------------------------

    def mark_done(self, index: int) -> bool:
        """Note that a task has ended well; return False if that is known or it does not exist."""
        if index >= self.size or self.is_done(index):
            return False
        # It was started, so all that it needs was done, whatever was stored of it.
        self.graph.was_started(self.kind, index)
        self.mark_over(index)
        self.graph.task_done(self.kind, index)
        return True

    def mark_over(self, index: int) -> None:
        """Give the task its final answer."""
        super().mark_done(index)
        self.failed_attempts.pop(index, None)
        self.retries.pop(index, None)
        self.undecided_tasks.discard(index)

    # ---- failures ------------------------------------------------------------------------

    def task_failed(self, index: int, machine: MachineId, now: Instant) -> None:
        """Note a failure; the task is retried while it has retries left."""
        if self.is_done(index):
            return
        self.failed_attempts.setdefault(index, []).append(FailedAttempt(machine, now))
        if self._used(index) > self.max_retries:
            self.undecided_tasks.add(index)
            self.retries.pop(index, None)
            self.remove_requeued(index)
        else:
            self.retries[index] = None

    def failure_excused(self, index: int) -> bool:
        """Whether the task's failures say nothing about the machines that it failed on."""
        fails_everywhere = len(set(self._failed_on(index))) >= FAULTY_JOB_AFTER_MACHINES
        never_succeeded = (
            not self.ran_well and len(self.failed_machines) >= FAULTY_JOB_AFTER_MACHINES
        )
        return fails_everywhere or never_succeeded

    def judge_failures(self, machines: Mapping[MachineId, Machine], now: Instant) -> bool:
        """Decide what can be decided of the tasks that failed; False: none is left."""
        self._excuse_failures(machines)
        for index in sorted(self.undecided_tasks):
            if self._used(index) <= self.max_retries:
                # A machine is to blame, which uses up no retry.
                self._retry(index)
            elif not self._grant_attempt(index, machines) and self._is_settled(
                index, machines, now
            ):
                self._fail(index)
        return bool(self.failed_attempts)

    def _excuse_failures(self, machines: Mapping[MachineId, Machine]) -> None:
        """Excuse exactly the failures on machines that are quarantined now."""
        for index in sorted(self.failed_attempts):
            for attempt in self.failed_attempts[index]:
                machine = machines.get(attempt.machine)
                if machine is not None:
                    attempt.excused = machine.quarantined

    def _failed_on(self, index: int) -> list[MachineId]:
        """The machines of the task's failed attempts, in order, with repetitions."""
        return [attempt.machine for attempt in self.failed_attempts.get(index, ())]

    def _used(self, index: int) -> int:
        """How many of the task's failures count against it."""
        return sum(1 for attempt in self.failed_attempts[index] if attempt.counts())

    def _retry(self, index: int) -> None:
        """Have an undecided task tried again."""
        self.undecided_tasks.discard(index)
        self.retries[index] = None
        self.graph.retry_task(self, index)

    def _grant_attempt(self, index: int, machines: Mapping[MachineId, Machine]) -> bool:
        """Grant one more attempt for the last failure that may be its machine's fault.

        Returns False if there is no such failure or the task has had its extra attempts.
        """
        attempts = self.failed_attempts[index]
        if sum(attempt.granted for attempt in attempts) >= EXTRA_ATTEMPTS:
            return False
        for attempt in reversed(attempts):
            if attempt.counts() and not attempt.machine_cleared(machines):
                attempt.granted = True
                self._retry(index)
                return True
        return False

    def _is_settled(self, index: int, machines: Mapping[MachineId, Machine], now: Instant) -> bool:
        """Whether there is nothing more to wait for before the task is given up."""
        return all(attempt.is_settled(machines, now) for attempt in self.failed_attempts[index])

    def _fail(self, index: int) -> None:
        """Give the task up, unless that must wait until an earlier page is stored."""
        names = list_machines(
            attempt.machine for attempt in self.failed_attempts[index] if not attempt.excused
        )
        failure = Failure(index, FAILURE_CAUSE, names)
        pages = paginate([*self.failures, failure], self.page_limit_bytes)
        starts_page = len(pages) > len(self.failure_pages)
        if starts_page and self.stored_failure_count < len(self.failures):
            return  # one page is written at a time; the next judgement tries this again
        log.info("task_failed_for_good", task=f"{self.id}/{index}", machines=",".join(names))
        self.failures.append(failure)
        self.failure_pages = pages
        self.mark_over(index)
        self.graph.task_failed(self, index)

    # ---- what is stored ------------------------------------------------------------------

    @property
    def record_key(self) -> Key:
        """The key of the array's record."""
        return records.run_key(self.graph.id, self.kind)

    @property
    def progress_unstored(self) -> bool:
        """Whether the array's record or its failures lag behind."""
        progress = (self.done_below, self.done_bitmap)
        return self.stored_progress != progress or self.stored_failure_count < len(self.failures)

    @property
    def end_unwritten(self) -> bool:
        """Whether all tasks are over and that is not stored yet."""
        return self.complete and self.progress_unstored

    def build_record(self, marked: int) -> RunRecord | None:
        """Return the record to store, with tasks below `marked` as placed; None: it is too wide."""
        bits = self.encode_done_bitmap()
        if bits is None:
            return None
        return RunRecord(marked, self.done_below, bits, len(self.failure_pages))

    def parse_record(self, data: object) -> RunRecord:
        """Parse a stored record of this array; raise MalformedMessageError for other data."""
        return wire.convert(data, RunRecord)

    def companion_writes(self) -> list[dict[str, Any]]:
        """Return the write of the last failure page, if it has failures that are not stored."""
        self.sent_failure_count = len(self.failures)
        if self.stored_failure_count == len(self.failures):
            return []
        key = records.page_key(self.graph.id, self.kind, len(self.failure_pages) - 1)
        return [transactions.put(key, PageRecord(self.failure_pages[-1]))]

    def record_stored(self, record: RunRecord, stamp: Version, now: float) -> None:
        """Note that `record` and the failures sent with it are committed as version `stamp`."""
        super().record_stored(record, stamp, now)
        self.stored_failure_count = self.sent_failure_count
