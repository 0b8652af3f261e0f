"""The array job for the tasks of one kind of a graph, in the leader process. No I/O.

Each task may start as soon as the tasks that it needs are done. Placement, quotas, priorities,
drains and progress records are those of any array. A task is *finished* when it is done, has
failed permanently, or will not run; this one final state no longer changes once the array's record
is committed.
"""

from __future__ import annotations

import bisect
from collections.abc import Mapping
from typing import Any, Protocol

from umberward.core.log import logger
from umberward.core.types import Instant, Key, MachineId, Version
from umberward.graphs import records
from umberward.graphs.failure_pages import limit_machine_names, paginate
from umberward.graphs.model import GraphId, Options, Shape
from umberward.graphs.records import ArrayProgressRecord, Failure, FailurePageRecord, GraphRecord
from umberward.protocol import transactions, wire
from umberward.protocol.wire import JobRecord
from umberward.scheduling.failure_attribution import FAULTY_JOB_AFTER_MACHINES
from umberward.scheduling.jobs import Job
from umberward.scheduling.machines import Machine
from umberward.scheduling.quarantine import QUARANTINE_TIMEOUT_S

# The name of the module that this code was split from: log lines keep their logger name.
log = logger("umberward.graphs.live")

# A bound on the machines that are avoided because they failed a task that awaits its retry.
MAX_AVOIDED_MACHINES = 16
# Maximum number of attempts that are granted beyond a task's retries. The machine of the last
# failure may be at fault as long as no task has succeeded on it since; one more attempt on another
# machine decides that sooner than waiting would.
EXTRA_ATTEMPTS = 1
FAILURE_CAUSE = "error"  # workers report no details of a failure


class TaskGraph(Protocol):
    """The interface of a graph that its arrays use."""

    id: GraphId
    record: GraphRecord
    options: Options
    version: Version
    shape: Shape

    def is_ready(self, kind: int, index: int) -> bool:
        """Whether all tasks that this one needs are done."""

    def infer_needs_done(self, kind: int, index: int) -> None:
        """Infer from a started task that all tasks that it needs are done."""

    def task_done(self, kind: int, index: int) -> None:
        """Queue the tasks that needed only this task."""

    def task_failed(self, job: GraphJob) -> None:
        """Store that a task of this array has failed permanently."""

    def failure_stored(self, job: GraphJob, index: int) -> None:
        """Mark the tasks that need this permanently failed task as never to run."""

    def retry_task(self, job: GraphJob, index: int) -> None:
        """Queue the task for another attempt."""


class FailedAttempt:
    """A failed attempt of a task; `at` is on the leader's clock."""

    __slots__ = ("at", "excused", "granted", "machine")

    def __init__(self, machine: MachineId, at: Instant) -> None:
        """Create a failure that counts against its task."""
        self.machine = machine
        self.at = at
        self.excused = False  # not counted: the machine is quarantined
        self.granted = False  # not counted: no task has succeeded on the machine since

    def counts(self) -> bool:
        """Whether the failure uses up one of the task's retries."""
        return not (self.excused or self.granted)

    def is_settled(self, machines: Mapping[MachineId, Machine], now: Instant) -> bool:
        """Whether no later event can show that the machine was at fault."""
        return (
            not self.counts()
            or self.machine_succeeded_since(machines)
            or now - self.at > QUARANTINE_TIMEOUT_S
        )

    def machine_succeeded_since(self, machines: Mapping[MachineId, Machine]) -> bool:
        """Whether a task has succeeded on the machine since this failure."""
        machine = machines.get(self.machine)
        return machine is not None and machine.succeeded_at > self.at


class GraphJob(Job):
    """The array job for the tasks of one kind of a graph."""

    attributes_failures_per_task = True

    def __init__(
        self,
        graph: TaskGraph,
        kind: int,
        run: ArrayProgressRecord,
        version: Version,
        failures: list[Failure],
        max_value_bytes: int,
    ) -> None:
        """Create the array from its stored progress.

        `version` is that of the array's record, 0 if there is none; `failures` are those in its
        page records; `max_value_bytes` is the maximum size of a value in the state service.
        """
        spec = graph.shape.spec(graph.id, graph.options, kind)
        record = JobRecord(spec, graph.record.at, run.placed_below, run.done_below, run.done_bitmap)
        super().__init__(record, version, max_value_bytes)
        # Tasks are queued when they become ready, not in the order of their indices.
        self.next_unstarted_task = self.size
        self.graph = graph
        self.kind = kind
        self.max_retries = graph.shape.kinds[kind].max_retries
        self.conditions = ((records.live_key(graph.id), graph.version),)
        self.failed_attempts: dict[int, list[FailedAttempt]] = {}
        # Failed tasks that may be retried, in order of failure.
        self.retries: dict[int, None] = {}
        # Tasks without retries left; they get more if a machine proves to be at fault.
        self.undecided_tasks: set[int] = set()
        self.failures = list(failures)
        self.failed_tasks = {failure.number for failure in failures}
        self.failure_pages = paginate(failures, max_value_bytes)
        self.sent_failure_count = self.stored_failure_count = len(failures)
        self.page_limit_bytes = max_value_bytes

    # ---- queue of startable tasks --------------------------------------------------------

    def task_ready(self, index: int) -> None:
        """Queue a task of which all needs are done."""
        # A former leader may have started the task, so it is not queued while it is unlocated. A
        # task that was found running, from which its needs were inferred as done, has a placement.
        if index not in self.unlocated_tasks and index not in self.placements:
            self.requeue_task(index)

    def requeue_task(self, index: int) -> None:
        """Queue a task again if it is ready and is not an undecided task."""
        if index not in self.undecided_tasks and self.graph.is_ready(self.kind, index):
            super().requeue_task(index)

    def count_unaccounted_tasks(self) -> int:
        """Return 0: `Job` would count the tasks that are not ready as lost."""
        return 0

    def startable_count(self) -> int:
        """Return the number of queued tasks within the window of the done bitmap."""
        return bisect.bisect_left(self.requeued_tasks, self.done_below + self.window)

    def dequeue_tasks(self, count: int) -> list[int]:
        """Remove the next tasks to place from the queue; retries come first."""
        return [self._dequeue_task() for _ in range(count)]

    def _dequeue_task(self) -> int:
        for index in self.retries:
            if index < self.done_below + self.window and self.remove_requeued(index):
                del self.retries[index]
                return index
        return self.requeued_tasks.pop(0)

    @property
    def avoided_machines(self) -> set[MachineId]:
        """Machines on which tasks that now await a retry have failed; their number is bounded."""
        machines: set[MachineId] = set()
        for index in self.retries:
            machines.update(self._failure_machines(index))
            if len(machines) >= MAX_AVOIDED_MACHINES:
                break
        return machines

    def locate_task(self, index: int) -> None:
        """Record the location of a task that a former leader started."""
        super().locate_task(index)
        self.graph.infer_needs_done(self.kind, index)

    # ---- finished tasks ------------------------------------------------------------------

    def mark_done(self, index: int) -> bool:
        """Mark a task as done; return False if it is already finished or does not exist."""
        if index >= self.size or self.is_done(index):
            return False
        # It was started, so all tasks that it needs are done, even if that was not stored.
        self.graph.infer_needs_done(self.kind, index)
        self.mark_finished(index)
        self.graph.task_done(self.kind, index)
        return True

    def mark_finished(self, index: int) -> None:
        """Mark a task as finished: done, failed permanently, or never to run."""
        super().mark_done(index)
        self.failed_attempts.pop(index, None)
        self.retries.pop(index, None)
        self.undecided_tasks.discard(index)

    # ---- failures ------------------------------------------------------------------------

    def task_failed(self, index: int, machine: MachineId, now: Instant) -> None:
        """Record a failed attempt; the task is retried while it has retries left."""
        if self.is_done(index):
            return
        self.failed_attempts.setdefault(index, []).append(FailedAttempt(machine, now))
        if self._counted_failures(index) > self.max_retries:
            self.undecided_tasks.add(index)
            self.retries.pop(index, None)
            self.remove_requeued(index)
        else:
            self.retries[index] = None

    def failures_blamed_on_job(self, index: int) -> bool:
        """Whether the task's failures do not count against the machines on which it failed."""
        fails_everywhere = len(self.task_machines(index)) >= FAULTY_JOB_AFTER_MACHINES
        never_succeeded = (
            not self.known_to_work and len(self.failed_machines) >= FAULTY_JOB_AFTER_MACHINES
        )
        return fails_everywhere or never_succeeded

    def machine_at_fault(self, index: int) -> bool:
        """Whether the task completed, so that its failures were the fault of the machines."""
        return self.is_done(index) and index not in self.failed_tasks

    def task_machines(self, index: int) -> set[MachineId]:
        """Return the machines on which the task has failed."""
        return set(self._failure_machines(index))

    @property
    def has_open_failures(self) -> bool:
        """Whether failed attempts are undecided, or the whole array may be at fault."""
        return bool(self.failed_attempts) or super().has_open_failures

    def attribute_failures(self, machines: Mapping[MachineId, Machine], now: Instant) -> bool:
        """Retry or fail the undecided tasks that can be decided now.

        Returns False if no failed attempts are left to consider.
        """
        self._excuse_failures(machines)
        for index in sorted(self.undecided_tasks):
            if self._counted_failures(index) <= self.max_retries:
                # A machine was at fault, which uses up no retry.
                self._retry(index)
            elif not self._grant_attempt(index, machines) and self._is_settled(
                index, machines, now
            ):
                self._fail_permanently(index)
        return bool(self.failed_attempts)

    def _excuse_failures(self, machines: Mapping[MachineId, Machine]) -> None:
        """Excuse exactly the failures on machines that are currently quarantined."""
        for index in sorted(self.failed_attempts):
            for attempt in self.failed_attempts[index]:
                machine = machines.get(attempt.machine)
                if machine is not None:
                    attempt.excused = machine.quarantined

    def _failure_machines(self, index: int) -> list[MachineId]:
        """Return the machines of the task's failed attempts, in order, with repetitions."""
        return [attempt.machine for attempt in self.failed_attempts.get(index, ())]

    def _counted_failures(self, index: int) -> int:
        """Return how many of the task's failures count against its retries."""
        return sum(1 for attempt in self.failed_attempts[index] if attempt.counts())

    def _retry(self, index: int) -> None:
        """Queue an undecided task for another attempt."""
        self.undecided_tasks.discard(index)
        self.retries[index] = None
        self.graph.retry_task(self, index)

    def _grant_attempt(self, index: int, machines: Mapping[MachineId, Machine]) -> bool:
        """Grant one more attempt for the latest failure that may be the machine's fault.

        Returns False if there is no such failure or the task has used its extra attempts.
        """
        attempts = self.failed_attempts[index]
        if sum(attempt.granted for attempt in attempts) >= EXTRA_ATTEMPTS:
            return False
        for attempt in reversed(attempts):
            if attempt.counts() and not attempt.machine_succeeded_since(machines):
                attempt.granted = True
                self._retry(index)
                return True
        return False

    def _is_settled(self, index: int, machines: Mapping[MachineId, Machine], now: Instant) -> bool:
        """Whether all failures are settled, so that the task can be failed permanently."""
        return all(attempt.is_settled(machines, now) for attempt in self.failed_attempts[index])

    def _fail_permanently(self, index: int) -> None:
        """Fail the task permanently, unless an earlier failure page must be stored first."""
        names = limit_machine_names(
            attempt.machine for attempt in self.failed_attempts[index] if not attempt.excused
        )
        failure = Failure(index, FAILURE_CAUSE, names)
        pages = paginate([*self.failures, failure], self.page_limit_bytes)
        starts_page = len(pages) > len(self.failure_pages)
        if starts_page and self.stored_failure_count < len(self.failures):
            return  # one page is written at a time; the next `attribute_failures` tries again
        log.info("task_failed_permanently", task=f"{self.id}/{index}", machines=",".join(names))
        self.failed_tasks.add(index)
        self.failures.append(failure)
        self.failure_pages = pages
        self.mark_finished(index)
        self.graph.task_failed(self)

    # ---- stored progress -----------------------------------------------------------------

    @property
    def record_key(self) -> Key:
        """The key of the array's progress record."""
        return records.run_key(self.graph.id, self.kind)

    @property
    def progress_unstored(self) -> bool:
        """Whether the stored progress or the stored failures are out of date."""
        progress = (self.done_below, self.done_bitmap)
        return self.stored_progress != progress or self.stored_failure_count < len(self.failures)

    @property
    def has_end_to_write(self) -> bool:
        """Whether all tasks are finished and that is not stored yet."""
        return self.complete and self.progress_unstored

    def build_record(self, marked: int) -> ArrayProgressRecord | None:
        """Return the record to store, with tasks below `marked` as placed.

        Returns None if the done bitmap is too wide.
        """
        bits = self.encode_done_bitmap()
        if bits is None:
            return None
        return ArrayProgressRecord(marked, self.done_below, bits, len(self.failure_pages))

    def parse_record(self, data: object) -> ArrayProgressRecord:
        """Parse a stored record of this array; raise MalformedMessageError for other data."""
        return wire.convert(data, ArrayProgressRecord)

    def companion_writes(self) -> list[dict[str, Any]]:
        """Return the write of the last failure page if it contains unstored failures."""
        self.sent_failure_count = len(self.failures)
        if self.stored_failure_count == len(self.failures):
            return []
        key = records.page_key(self.graph.id, self.kind, len(self.failure_pages) - 1)
        return [transactions.put(key, FailurePageRecord(self.failure_pages[-1]))]

    def record_stored(self, record: ArrayProgressRecord, stamp: Version, now: float) -> None:
        """Record that `record` and the failures sent with it were committed as version `stamp`."""
        super().record_stored(record, stamp, now)
        stored = self.failures[self.stored_failure_count : self.sent_failure_count]
        self.stored_failure_count = self.sent_failure_count
        # Only now: without the stored failure, a task that needs it would be read as done.
        for failure in stored:
            self.graph.failure_stored(self, failure.number)
