"""A controller's cache of job states among other controllers' commits, for the explorer.

Users ask about jobs; the state service reads a request at one step and its response arrives at a
later one. Each answer is compared with what users had been told when they asked.
"""

from __future__ import annotations

import functools
import re
from collections.abc import Callable, Hashable, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple, Protocol
from unittest import mock

import msgspec
from cluster_settings import job_spec, raw_settings
from explorer import Choice, FakeCurio, RequestFailed, Task, Wait, wait_until

from umberward.clients import state_client
from umberward.clients.state_client import ListResult, StateClient, WatchResult
from umberward.control import job_state_cache
from umberward.control.absent_jobs import AbsenceLookup, AbsentJob, AnsweredLookup
from umberward.control.job_state_cache import (
    IDLE_REFRESH_S,
    RECENT_LISTING_S,
    JobStateCache,
    RefreshRequested,
)
from umberward.control.job_states import JobState
from umberward.core import actor
from umberward.core.actor import PendingRequest
from umberward.core.settings import OperatorSettings, Settings, settings_from_toml
from umberward.core.types import JobId, Key, Revision
from umberward.local import statecore
from umberward.local.statecore import StateCore
from umberward.protocol import wire
from umberward.protocol.transactions import AbsentKey, VersionedValue
from umberward.protocol.wire import FINAL_JOBS_PREFIX, LIVE_JOBS_PREFIX, FinalJobRecord, JobRecord

NO_NAMES: Mapping[int, str] = MappingProxyType({})
ADDRESS = re.compile(r" at 0x[0-9a-f]+")
LONG_AFTER_LISTING_S = RECENT_LISTING_S + 1.0


class Commit(NamedTuple):
    """Another controller's transaction; its user is told at the same moment.

    `what`: accept, place, done, cancel, `other` (a change that concerns no job), or `miss` (the
    explored cache loses a live job, as if a change had been lost, long after its listing).
    """

    what: str
    job_id: str = ""
    dependencies: tuple[str, ...] = ()


class Scenario(NamedTuple):
    """What may happen; the explorer chooses when.

    `before`: commits before the controller starts; `once_listed`: those after it has listed the
    jobs and before anybody asks. `commits`: later ones, in their order. `asks`: each a user who
    asks once, for one job or for several at once. `by_answer_time`: an answer must not be older
    than one that this controller gave before either, even if it was asked earlier.
    """

    before: tuple[Commit, ...] = ()
    once_listed: tuple[Commit, ...] = ()
    commits: tuple[Commit, ...] = ()
    asks: tuple[tuple[str, ...], ...] = ()
    by_answer_time: bool = False
    failures: int = 0
    page_entries: int = 2
    retained_changes: int = 100
    cached_records: int = 10


class Told(NamedTuple):
    """What users know of a job."""

    accepted: bool = False
    ended: str | None = None


class StoreWorld(Protocol):
    """What the state service needs of the world that it is in."""

    core: StateCore
    current: Task
    page_entries: int


class ExploredStore:
    """The state service: what it returns is read at one step and arrives at a later one."""

    def __init__(self, world: StoreWorld) -> None:
        self.world = world

    async def _exchange(self, read: Callable[[], Any]) -> Any:
        try:
            await wait_until(may_fail=True)
        except RequestFailed:
            raise state_client.StateUnavailableError("chosen to fail") from None
        result = read()
        self.world.current.observed.append(canonical(result))
        await wait_until()
        return result

    async def get(self, key: str) -> Any:
        def read() -> VersionedValue | AbsentKey:
            core = self.world.core
            return core.keys.get(key) or AbsentKey(Key(key), Revision(core.revision))

        return await self._exchange(read)

    async def list_page(self, prefix: str, start: str = "") -> wire.KeyValuePage:
        most = self.world.page_entries
        page = await self._exchange(lambda: self.world.core.entries(prefix, start, most))
        assert isinstance(page, wire.KeyValuePage)
        return page

    async def list_all(self, prefix: str) -> ListResult:
        return await StateClient.list_all(self, prefix)  # type: ignore[arg-type]

    async def watch(self, prefix: str, after: Revision, *_: Any) -> WatchResult:
        def read() -> WatchResult:
            changes = self.world.core.changes_after(prefix, after)
            return WatchResult(changes, Revision(self.world.core.revision))

        try:
            result = await self._exchange(read)
        except statecore.RevisionCompactedError:
            await wait_until()
            raise state_client.RevisionCompactedError from None
        assert isinstance(result, WatchResult)
        return result


class ExploredCache(JobStateCache):
    """Records what its lookups return, since a task's partial results are not in its frames."""

    world: JobStateWorld

    async def _lookup(self, job_id: JobId) -> JobState | AbsentJob:
        state = await super()._lookup(job_id)
        self.world.current.observed.append(canonical(state))
        return state


class JobStateWorld:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, store: type[ExploredStore] = ExploredStore) -> None:
        self.scenario = scenario
        self.store = store(self)
        self.page_entries = scenario.page_entries
        self.now = 100.0
        self.broken: list[str] = []
        self.told: dict[str, Told] = {}
        self.told_here: dict[str, Told] = {}  # what this controller has answered
        self.cancelled: set[str] = set()  # jobs that a user has cancelled
        self.dependencies: dict[str, tuple[str, ...]] = {}
        self.commits_done = self.failures = 0
        curio = FakeCurio(lambda seconds: seconds < IDLE_REFRESH_S)
        self.patches = [
            mock.patch.object(statecore, "MAX_RETAINED_CHANGES", scenario.retained_changes),
            mock.patch.object(job_state_cache, "curio", curio),
            mock.patch.object(actor, "curio", curio),
        ]
        for patch in self.patches:
            patch.start()
        self.core = StateCore()
        for commit in scenario.before:
            self._commit(commit)
        self.settings = _settings(scenario.cached_records)
        self._start_process()
        self.current = self.tasks[0]
        if scenario.once_listed:
            self._list_jobs()
            for commit in scenario.once_listed:
                self._commit(commit)
        for number, job_ids in enumerate(scenario.asks):
            task = Task(f"user {number}", self._ask(job_ids))
            if number > 0 and scenario.asks[number - 1] == job_ids:
                # Users who ask the same are interchangeable: they ask in their order.
                task.wait = Wait(_has_started(self.tasks[-1]))
            self.tasks.append(task)

    def _start_process(self) -> None:
        self.cache = ExploredCache(self.settings, self.store, lambda: self.now)  # type: ignore[arg-type]
        self.cache.world = self
        self.tasks = [Task("refresh", self.cache.run())]

    def _list_jobs(self) -> None:
        """Let the controller serve one request for a refresh, with nothing else going on."""
        refresh = self.tasks[0]
        self.cache.mailbox.items.append(PendingRequest(RefreshRequested()))
        while refresh.wait is not None and refresh.wait.ready():
            refresh.wait = refresh.coroutine.send(None)

    def close(self) -> None:
        for task in self.tasks:
            task.coroutine.close()
        for patch in self.patches:
            patch.stop()

    # ---- what may happen ---------------------------------------------------------------

    def failures_left(self) -> bool:
        return self.failures < self.scenario.failures

    def failed(self) -> None:
        self.failures += 1

    def steps(self) -> list[Choice]:
        choices = []
        if self.commits_done < len(self.scenario.commits):
            commit = self.scenario.commits[self.commits_done]
            choices.append(Choice(f"{commit.what} {commit.job_id}", self._next_commit))
        return choices

    def _next_commit(self) -> None:
        self._commit(self.scenario.commits[self.commits_done])
        self.commits_done += 1

    def _commit(self, commit: Commit) -> None:
        live, final = LIVE_JOBS_PREFIX + commit.job_id, FINAL_JOBS_PREFIX + commit.job_id
        if commit.what == "other":
            self.core.commit([], [{"write": "jobs/other", "data": self.core.revision}])
        elif commit.what == "miss":
            self.cache.live_jobs.pop(JobId(commit.job_id), None)
            self.now += LONG_AFTER_LISTING_S
        elif commit.what in ("accept", "place"):
            self.dependencies.setdefault(commit.job_id, commit.dependencies)
            self.core.commit([], [{"write": live, "data": self._live_record(commit)}])
            self._tell(commit.job_id, None)
        else:
            phase = wire.CANCELLED if commit.what == "cancel" else wire.DONE
            if phase == wire.CANCELLED:
                self.cancelled.add(commit.job_id)
            self.core.commit([], [{"write": final, "data": {"phase": phase}}, {"delete": live}])
            self._tell(commit.job_id, phase)

    def _live_record(self, commit: Commit) -> Any:
        spec = job_spec(commit.job_id, waits_on=list(commit.dependencies))
        record = msgspec.to_builtins(JobRecord(wire.decode_job_spec(wire.encode(spec)), 1.0))
        if commit.dependencies:
            record["needs"] = wire.pack_dependencies([JobId(job) for job in commit.dependencies])
        if commit.what == "place":
            record["marked"] = 1
        return record

    def _tell(self, job_id: str, phase: str | None) -> None:
        known = self.told.get(job_id, Told())
        self.told[job_id] = Told(accepted=True, ended=known.ended or phase)

    # ---- users -------------------------------------------------------------------------

    async def _ask(self, job_ids: tuple[str, ...]) -> None:
        known = {job_id: self.told.get(job_id, Told()) for job_id in job_ids}
        self.current.observed.append(canonical(known))
        ids = [JobId(job_id) for job_id in job_ids]
        try:
            if len(ids) == 1:
                states = {ids[0]: await self.cache.state(ids[0])}
            else:
                states = await self.cache.states(ids)
        except (state_client.StateUnavailableError, state_client.UnknownOutcomeError):
            return  # the user asks again
        for job_id in ids:
            earlier = self.told_here.get(job_id) if self.scenario.by_answer_time else None
            self._check(job_id, states[job_id], earlier or known[job_id])

    def _check(self, job_id: str, state: JobState | AbsentJob, known: Told) -> None:
        if isinstance(state, AbsentJob):
            if known.accepted:
                self.broken.append(f"forgotten: {job_id}")
            return
        phase = state.phase if isinstance(state, FinalJobRecord) else None
        if job_id not in self.told:
            self.broken.append(f"invented: {job_id}")
        if known.ended is not None and phase != known.ended:
            self.broken.append(f"went back: {job_id}: {known.ended}, then {phase}")
        if phase == wire.CANCELLED and not self._may_be_cancelled(job_id):
            self.broken.append(f"cancelled by nobody: {job_id}")
        self._tell(job_id, phase)
        self.told_here[job_id] = Told(accepted=True, ended=phase)

    def _may_be_cancelled(self, job_id: str) -> bool:
        needed = self.dependencies.get(job_id, ())
        return job_id in self.cancelled or any(map(self._may_be_cancelled, needed))

    # ---- the state ---------------------------------------------------------------------

    def fingerprint(self) -> Hashable:
        names = self._object_names()
        cache = self.cache
        return (
            self.now,
            self.commits_done,
            self.failures,
            canonical(self.told, names),
            canonical(self.told_here, names),
            canonical(cache.live_jobs, names),
            canonical(cache.final_records, names),
            canonical(cache.absent_jobs._lookups, names),
            canonical(
                {k: v for k, v in vars(cache.dependency_graph).items() if k != "is_live"}, names
            ),
            (cache.watched_revision, cache.must_list, cache.listed_at, cache.refresh_sent_at),
            canonical(cache.mailbox.items, names),
            cache.urgent_request._set,
            tuple(self._task_fingerprint(task, names) for task in self.tasks),
        )

    def _task_fingerprint(self, task: Task, names: dict[int, str]) -> Hashable:
        if task.wait is None:
            return None
        frames = [
            (
                frame.f_code.co_name,
                frame.f_lasti,
                tuple(
                    (key, canonical(value, names))
                    for key, value in frame.f_locals.items()
                    if key != "self"
                ),
            )
            for frame in task.frames()
        ]
        return (tuple(frames), tuple(task.observed) if task.name != "refresh" else ())

    def _object_names(self) -> dict[int, str]:
        """Names for the objects whose identity matters, by the task and variable that hold them."""
        return {
            id(value): f"{task.name} {key}"
            for task in self.tasks
            if task.wait is not None
            for frame in task.frames()
            for key, value in frame.f_locals.items()
            if isinstance(value, PendingRequest | AbsenceLookup)
        }


def _has_started(task: Task) -> Callable[[], bool]:
    first = task.wait
    return lambda: task.wait is not first


@functools.cache
def _settings(cached_records: int) -> Settings:
    return settings_from_toml(raw_settings(), OperatorSettings(poll_cache=cached_records))


def canonical(value: Any, names: Mapping[int, str] = NO_NAMES) -> Hashable:
    """A hashable form of a value that is equal for equal states of different runs.

    `names` are those of objects whose identity matters, by their `id`.
    """
    if isinstance(value, PendingRequest):
        return (names.get(id(value)), value._done._set, repr(value.response))  # type: ignore[attr-defined]
    if isinstance(value, AbsenceLookup):
        return (names.get(id(value)), canonical(value.answer, names))
    if isinstance(value, AbsentKey):
        return ("absent", value.key)  # its revision is only logged
    if isinstance(value, AnsweredLookup):
        return ("absent", value.final_record.key, value.answered_at)
    if isinstance(value, AbsentJob):
        return ("absent", value.job_id, value.looked_up_at, value.read_sent_at)
    if isinstance(value, dict):
        return tuple((key, canonical(item, names)) for key, item in value.items())
    if isinstance(value, set | frozenset):
        return tuple(sorted(map(str, value)))
    if isinstance(value, list | tuple):
        return tuple(canonical(item, names) for item in value)
    return ADDRESS.sub("", repr(value))
