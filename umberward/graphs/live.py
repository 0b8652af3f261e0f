"""A task graph under way, as the leader sees it. No I/O.

Each kind of tasks is one array of the scheduler (`DagJob`), whose tasks may start one by one, as
what they need is done. Placement, quotas, ranks, drains and marks are those of any array. A task
is *over* when it is done, has failed for good, or will not run; that is its one final answer, and
it stands when the array's record is committed.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from umberward.core.log import logger
from umberward.core.types import Instant, Key, MachineId, Version
from umberward.graphs import records
from umberward.graphs.model import GraphId, Shape
from umberward.graphs.records import Failure, GraphRecord, PageRecord, RunRecord
from umberward.protocol import transactions, wire
from umberward.protocol.wire import JobRecord
from umberward.scheduling.failure_attribution import (
    FAULTY_JOB_AFTER_MACHINES,
    QUARANTINE_DECISION_S,
)
from umberward.scheduling.jobs import Job
from umberward.scheduling.machines import Machine

log = logger(__name__)

MOST_AVOIDED = 16  # machines that failed a task that waits for its next try
MACHINES_BYTES = 600  # of the names of machines in one failure's account
# The last failure may be its machine's, as long as nothing has spoken for that: so often a task is
# tried elsewhere once more, which tells sooner than any wait.
EXTRA_ATTEMPTS = 1
CAUSE = "error"  # all that a worker says of a failed task


class FailedAttempt:
    """One failure of one task. It is excused if its machine turns out to be at fault."""

    __slots__ = ("machine", "at", "excused", "granted")

    def __init__(self, machine: MachineId, at: Instant) -> None:
        self.machine = machine
        self.at = at
        self.excused = False
        self.granted = False  # not counted, as nothing has spoken for its machine


class DagJob(Job):
    """The array of one kind of a graph's tasks."""

    attributes_failures_per_task = True

    def __init__(
        self,
        graph: LiveGraph,
        kind: int,
        run: RunRecord,
        stamp: Version,
        failed: list[Failure],
        value_limit: int,
    ) -> None:
        spec = graph.shape.spec(graph.id, graph.options, kind)
        record = JobRecord(spec, graph.record.at, run.placed_below, run.done_below, run.done_bitmap)
        super().__init__(record, stamp, value_limit)
        self.next_fresh_task = self.size  # tasks come in when they are ready, never by their number
        self.graph = graph
        self.number = kind
        self.max_retries = graph.shape.kinds[kind].max_retries
        self.conditions = ((records.live_key(graph.id), graph.stamp),)
        self.failed_attempts: dict[int, list[FailedAttempt]] = {}
        self.retries: dict[int, None] = {}  # failed, and ready to be tried again
        self.doubtful: set[int] = set()  # retries used up, unless a machine was at fault
        self.failures = list(failed)
        self.pages = _paged(failed, value_limit)
        self.failures_sent = self.failures_saved = len(failed)
        self.page_limit = value_limit

    # ---- what may start ----------------------------------------------------------------

    def task_ready(self, index: int) -> None:
        """All that the task needs is done."""
        # A former holder may have started it: not before all machines are known. If it was found
        # running, that alone may have told us that what it needs is done.
        if index not in self.unlocated_tasks and index not in self.placements:
            self.put_back(index)

    def put_back(self, index: int) -> None:
        if index not in self.doubtful and self.graph.is_ready(self.number, index):
            super().put_back(index)

    def count_lost_tasks(self) -> int:
        """Those that are not ready yet are in none of its places."""
        return 0

    def startable_count(self) -> int:
        return bisect.bisect_left(self.requeued_tasks, self.done_below + self.window)

    def take_task(self) -> int:
        for index in self.retries:
            if index < self.done_below + self.window and self.remove_requeued(index):
                del self.retries[index]
                return index
        return self.requeued_tasks.pop(0)

    @property
    def avoided_machines(self) -> set[MachineId]:
        found: set[MachineId] = set()
        for index in self.retries:
            found.update(t.machine for t in self.failed_attempts.get(index, ()))
            if len(found) >= MOST_AVOIDED:
                break
        return found

    def locate_task(self, index: int) -> None:
        super().locate_task(index)
        self.graph.was_started(self.number, index)

    # ---- what is over ------------------------------------------------------------------

    def mark_done(self, index: int) -> bool:
        if index >= self.size or self.is_done(index):
            return False
        # It was started, so all that it needs was done, whatever was stored of it.
        self.graph.was_started(self.number, index)
        self.over(index)
        self.graph.passed(self.number, index)
        return True

    def over(self, index: int) -> None:
        """The task has its final answer."""
        super().mark_done(index)
        self.failed_attempts.pop(index, None)
        self.retries.pop(index, None)
        self.doubtful.discard(index)

    # ---- failures ----------------------------------------------------------------------

    def task_failed(self, index: int, machine: MachineId, now: Instant) -> None:
        if self.is_done(index):
            return
        self.failed_attempts.setdefault(index, []).append(FailedAttempt(machine, now))
        if self._used(index) > self.max_retries:
            self.doubtful.add(index)
            self.retries.pop(index, None)
            self.remove_requeued(index)
        else:
            self.retries[index] = None

    def failure_excused(self, index: int) -> bool:
        # Fails wherever it is tried; or nothing of this array has ever gone well anywhere.
        widely = (
            len({t.machine for t in self.failed_attempts.get(index, ())})
            >= FAULTY_JOB_AFTER_MACHINES
        )
        return widely or (
            not self.ran_well and len(self.failed_machines) >= FAULTY_JOB_AFTER_MACHINES
        )

    def judge_failures(self, machines: Mapping[MachineId, Machine], now: Instant) -> bool:
        """Decide what can be decided of the tasks that failed; False: none is left."""
        for index in sorted(self.failed_attempts):
            for failed in self.failed_attempts[index]:
                machine = machines.get(failed.machine)
                if machine is not None:
                    failed.excused = machine.quarantined
        for index in sorted(self.doubtful):
            if self._used(index) <= self.max_retries:
                # A machine is to blame: that uses up no retry.
                self.doubtful.discard(index)
                self.retries[index] = None
                self.graph.wake(self, index)
            elif not self._grant(index, machines) and self._decided(index, machines, now):
                self._fail(index)
        return bool(self.failed_attempts)

    def _used(self, index: int) -> int:
        return sum(
            1 for failed in self.failed_attempts[index] if not (failed.excused or failed.granted)
        )

    def _grant(self, index: int, machines: Mapping[MachineId, Machine]) -> bool:
        """One more try, in place of the last that may be its machine's fault, if there is one."""
        tries = self.failed_attempts[index]
        if sum(failed.granted for failed in tries) >= EXTRA_ATTEMPTS:
            return False
        for failed in reversed(tries):
            if not (failed.excused or failed.granted or self._vouched(failed, machines)):
                failed.granted = True
                self.doubtful.discard(index)
                self.retries[index] = None
                self.graph.wake(self, index)
                return True
        return False

    @staticmethod
    def _vouched(failed: FailedAttempt, machines: Mapping[MachineId, Machine]) -> bool:
        """Whether the machine has done well since."""
        machine = machines.get(failed.machine)
        return machine is not None and machine.succeeded_at > failed.at

    def _decided(self, index: int, machines: Mapping[MachineId, Machine], now: Instant) -> bool:
        """Whether nothing more is to be waited for before the failures are held against it."""
        return all(
            failed.excused
            or failed.granted
            or self._vouched(failed, machines)
            or now - failed.at > QUARANTINE_DECISION_S
            for failed in self.failed_attempts[index]
        )

    def _fail(self, index: int) -> None:
        """The task has failed for good."""
        names: list[str] = []
        for failed in self.failed_attempts[index]:
            if failed.machine not in names and not failed.excused:
                names.append(str(failed.machine))
        while len(names) > 1 and wire.json_size(names) > MACHINES_BYTES:
            names.pop()
        failure = Failure(index, CAUSE, names)
        pages = _paged([*self.failures, failure], self.page_limit)
        if len(pages) > len(self.pages) and self.failures_saved < len(self.failures):
            return  # one page is written at a time: this one's turn comes
        log.info("task_failed_for_good", task=f"{self.id}/{index}", machines=",".join(names))
        self.failures.append(failure)
        self.pages = pages
        self.over(index)
        self.graph.task_failed(self, index)

    # ---- what is stored ----------------------------------------------------------------

    @property
    def record_key(self) -> Key:
        return records.run_key(self.graph.id, self.number)

    @property
    def progress_unstored(self) -> bool:
        return self.stored_progress != (
            self.done_below,
            self.done_bitmap,
        ) or self.failures_saved < len(self.failures)

    @property
    def end_unwritten(self) -> bool:
        return self.complete and self.progress_unstored

    def build_record(self, marked: int) -> RunRecord | None:
        bits = self.encode_done_bitmap()
        return None if bits is None else RunRecord(marked, self.done_below, bits, len(self.pages))

    def parse_record(self, data: Any) -> RunRecord:
        return wire.convert(data, RunRecord)

    def companion_writes(self) -> list[dict[str, Any]]:
        self.failures_sent = len(self.failures)
        if self.failures_saved == len(self.failures):
            return []
        key = records.page_key(self.graph.id, self.number, len(self.pages) - 1)
        return [transactions.put(key, PageRecord(self.pages[-1]))]

    def record_stored(self, record: RunRecord, stamp: Version, now: float) -> None:
        super().record_stored(record, stamp, now)
        self.failures_saved = self.failures_sent


class LiveGraph:
    """One graph: which of its tasks are over, and which of the others may start."""

    def __init__(
        self,
        id: GraphId,
        record: GraphRecord,
        stamp: Version,
        shape: Shape,
        progress: records.Progress,
        value_limit: int,
        woken: Callable[[Job], None],
        changed: Callable[[Job], None],
        withdraw: Callable[[Job, int], None],
    ) -> None:
        """`woken`: tasks of this array may start; `changed`: it has something to store; `withdraw`:
        its task is to be stopped, as it is over."""
        self.id = id
        self.record = record
        self.options = record.options
        self.stamp = stamp
        self.shape = shape
        self.woken = woken
        self.changed = changed
        self.withdraw = withdraw
        self.left = [len(needs) for needs in shape.needs]  # not done yet
        self.not_run: dict[int, int] = {}  # position -> the failed task before it
        nothing = (RunRecord(), 0)
        self.jobs = [
            DagJob(
                self,
                kind,
                *_run(progress.runs.get(kind, nothing)),
                progress.failed.get(kind, []),
                value_limit,
            )
            for kind in range(len(shape.kinds))
        ]
        self._begin()

    def _begin(self) -> None:
        """From what is stored, which may lack what had only just happened."""
        failed = {
            self.shape.members[job.number][failure.number]
            for job in self.jobs
            for failure in job.failures
        }
        for position in sorted(failed):
            self._spread(position)
        for position in range(len(self.shape)):
            if self.is_over(position) and position not in failed and position not in self.not_run:
                for heir in self.shape.heirs[position]:
                    self.left[heir] -= 1
        for position in range(len(self.shape)):
            if not self.left[position] and not self.is_over(position):
                kind, number = self.shape.place[position]
                self.jobs[kind].task_ready(number)

    @property
    def ended(self) -> bool:
        """Whether its end may be stored: all that it rests on is."""
        if any(job.progress_unstored for job in self.jobs):
            return False
        return all(job.complete for job in self.jobs) or (
            self.options.on_failure == "cancel_rest" and any(job.failures for job in self.jobs)
        )

    def end(self, at: float) -> records.EndRecord:
        failed = sum(len(job.failures) for job in self.jobs)
        over = sum(job.done_count for job in self.jobs)
        done = over - failed - len(self.not_run)
        return records.EndRecord(
            records.FAILED if failed else records.DONE,
            self.record,
            round(at, 3),
            done,
            failed,
            len(self.shape) - done - failed,
        )

    def is_over(self, position: int) -> bool:
        kind, number = self.shape.place[position]
        return self.jobs[kind].is_done(number)

    def is_ready(self, kind: int, number: int) -> bool:
        return not self.left[self.shape.members[kind][number]]

    # ---- what happens to tasks -----------------------------------------------------------

    def passed(self, kind: int, number: int) -> None:
        """The task is done; a task costs what hangs on it, however large the graph is."""
        woken: dict[int, None] = {}
        for heir in self.shape.heirs[self.shape.members[kind][number]]:
            self.left[heir] -= 1
            if not self.left[heir] and not self.is_over(heir):
                place = self.shape.place[heir]
                self.jobs[place.kind].task_ready(place.number)
                woken[place.kind] = None
        for other in woken:
            self.woken(self.jobs[other])

    def was_started(self, kind: int, number: int) -> None:
        """A task was started, maybe by a former holder: so all that it needs was done, though that
        had not been stored. Else it would be done again beside those that build on it."""
        position = self.shape.members[kind][number]
        if not self.left[position]:
            return
        for need in self.shape.before(position):
            place = self.shape.place[need]
            job = self.jobs[place.kind]
            if not job.is_done(place.number):
                self.withdraw(job, place.number)
                job.over(place.number)
                self.passed(*place)
                self.changed(job)

    def task_failed(self, job: DagJob, number: int) -> None:
        self.changed(job)
        self._spread(self.shape.members[job.number][number])

    def wake(self, job: DagJob, number: int) -> None:
        job.put_back(number)
        self.woken(job)

    def _spread(self, position: int) -> None:
        """Nothing that needs this task will run; none of it was started."""
        for heir in self.shape.spread(position, self.not_run):
            kind, number = self.shape.place[heir]
            if not self.jobs[kind].is_done(number):
                self.jobs[kind].over(number)
                self.changed(self.jobs[kind])


def _run(found: tuple[RunRecord, int]) -> tuple[RunRecord, Version]:
    return found[0], Version(found[1])


def _paged(failures: Iterable[Failure], value_limit: int) -> list[list[Failure]]:
    """The failures by the records that hold them: full ones never change."""
    pages: list[list[Failure]] = []
    size = 0
    for failure in failures:
        bytes_ = wire.json_size(failure) + 1
        if not pages or size + bytes_ > value_limit // 2:
            pages.append([])
            size = 32
        pages[-1].append(failure)
        size += bytes_
    return pages
