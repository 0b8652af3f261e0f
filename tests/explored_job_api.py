"""The requests of users at one controller, from `JobApi` down, for the explorer.

Beside what `explored_job_states` plays, users submit and cancel, the controller's own transactions
may fail or lose their answer, and its process may start anew at any step.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from cluster_settings import MACHINE_TYPES, job_spec
from explored_job_states import Commit, ExploredStore, JobStateWorld, Scenario, Told, canonical
from explorer import Choice, RequestFailed, Task, wait_until

from umberward.clients import state_client
from umberward.control.job_api import JobApi
from umberward.core.types import JobId, Revision, WallTime
from umberward.local import statecore
from umberward.protocol import wire
from umberward.protocol.http import Response
from umberward.protocol.wire import FINAL_JOBS_PREFIX, LIVE_JOBS_PREFIX

REFUSED = (400, 404, 422)
WALL = WallTime(1.0)


class Request(NamedTuple):
    """One request of one user. `what`: submit, malformed, infeasible, poll or cancel.

    A `malformed` or `infeasible` one is a submission. `dependencies`: of a submitted job.
    """

    what: str
    job_id: str
    dependencies: tuple[str, ...] = ()

    @property
    def body(self) -> bytes:
        """The body of a submission."""
        if self.what == "malformed":
            return wire.encode({"uid": self.job_id})
        more: dict[str, Any] = {"cores": 1e6} if self.what == "infeasible" else {}
        return wire.encode(job_spec(self.job_id, waits_on=list(self.dependencies), **more))


class ApiScenario(NamedTuple):
    """What may happen; see `Scenario`. The process may start anew `restarts` times."""

    requests: tuple[Request, ...]
    before: tuple[Commit, ...] = ()
    commits: tuple[Commit, ...] = ()
    failures: int = 0
    restarts: int = 0
    cached_records: int = 10


class CommittingStore(ExploredStore):
    """The state service, also for transactions."""

    async def commit(self, conditions: Any, writes: Any, **_: Any) -> Revision:
        try:
            await wait_until(may_fail=True)
        except RequestFailed:
            raise state_client.StateUnavailableError("chosen to fail") from None
        failed: list[str] = []
        try:
            self.world.core.commit(conditions, writes)
        except statecore.CompareFailedError as error:
            failed = error.keys
        self.world.current.observed.append(tuple(failed))
        revision = Revision(self.world.core.revision)
        try:
            await wait_until(may_fail=True)
        except RequestFailed:
            raise state_client.UnknownOutcomeError("chosen to lose its answer") from None
        if failed:
            raise state_client.CompareAndSwapError(*failed)
        return revision


class JobApiWorld(JobStateWorld):
    """One run of a scenario."""

    def __init__(self, scenario: ApiScenario) -> None:
        self.api_scenario = scenario
        self.restarts = 0
        self.submitted: set[str] = set()
        super().__init__(
            Scenario(
                before=scenario.before,
                commits=scenario.commits,
                failures=scenario.failures,
                cached_records=scenario.cached_records,
            ),
            CommittingStore,
        )
        self.api = self._new_api()
        self.users: list[Task] = []
        for number, request in enumerate(scenario.requests):
            task = Task(f"user {number}: {request.what}", self._send(request))
            self.users.append(task)
        self.tasks += self.users

    def _new_api(self) -> JobApi:
        store: Any = self.cache.store
        return JobApi(self.settings, store, self.cache, MACHINE_TYPES, lambda: WALL)

    # ---- what may happen ---------------------------------------------------------------

    def _commit(self, commit: Commit) -> None:
        """As in service, the transaction does nothing if its conditions do not hold."""
        is_live = LIVE_JOBS_PREFIX + commit.job_id in self.core.keys
        has_ended = FINAL_JOBS_PREFIX + commit.job_id in self.core.keys
        if is_live is (commit.what != "accept") and not has_ended:
            super()._commit(commit)

    def steps(self) -> list[Choice]:
        choices = super().steps()
        if self.restarts < self.api_scenario.restarts:
            choices.append(Choice("restart", self._restart))
        return choices

    def _restart(self) -> None:
        """The process starts anew; requests that it has not answered get no answer."""
        self.restarts += 1
        self.told_here.clear()
        for task in self.tasks:
            if task.observed or task.name == "refresh":
                task.coroutine.close()
                task.wait = None
        self._start_process()
        self.api = self._new_api()
        self.tasks += [task for task in self.users if task.wait is not None]

    # ---- users -------------------------------------------------------------------------

    async def _send(self, request: Request) -> None:
        known = self.told.get(request.job_id, Told())
        dependencies_known = all(
            self.told.get(job_id, Told()).accepted for job_id in request.dependencies
        )
        self.current.observed.append((canonical(known), dependencies_known))
        response = await self._call(request)()
        self._check_response(request, response, known, dependencies_known)

    def _call(self, request: Request) -> Callable[[], Any]:
        job_id = JobId(request.job_id)
        if request.what == "poll":
            return lambda: self.api.poll(job_id)
        if request.what == "cancel":
            self.cancelled.add(request.job_id)
            return lambda: self.api.cancel(job_id)
        if request.what == "submit":
            self.submitted.add(request.job_id)
            self.dependencies.setdefault(request.job_id, request.dependencies)
        return lambda: self.api.submit(request.body)

    def _check_response(
        self, request: Request, response: Response, known: Told, dependencies_known: bool
    ) -> None:
        job_id = request.job_id
        if response.status in REFUSED:
            if known.accepted:
                self.broken.append(f"forgotten: {request.what} {job_id}: {response.status}")
            elif request.what == "submit" and dependencies_known:
                self.broken.append(f"refused: {job_id}: {response.status}")
            return
        if response.status not in (200, 201):
            return  # the user asks again
        if response.status == 201 and known.accepted:
            self.broken.append(f"accepted twice: {job_id}")
        phase = msgspec.msgpack.decode(response.body)["phase"]
        self._check_phase(job_id, phase, known)

    def _check_phase(self, job_id: str, phase: str, known: Told) -> None:
        ended = phase if phase in (wire.DONE, wire.CANCELLED) else None
        if job_id not in self.told and job_id not in self.submitted:
            self.broken.append(f"invented: {job_id}")
        if known.ended is not None and ended != known.ended:
            self.broken.append(f"went back: {job_id}: {known.ended}, then {phase}")
        if ended == wire.CANCELLED and not self._may_be_cancelled(job_id):
            self.broken.append(f"cancelled by nobody: {job_id}")
        stored = self.core.keys.get(FINAL_JOBS_PREFIX + job_id)
        if ended == wire.DONE and (stored is None or stored.data != {"phase": wire.DONE}):
            self.broken.append(f"not done: {job_id}")
        self._tell(job_id, ended)

    # ---- the state ---------------------------------------------------------------------

    def fingerprint(self) -> Any:
        return (super().fingerprint(), self.restarts, tuple(sorted(self.submitted)))
