"""The job APIs of several controllers over one simulated state service, without a scheduler.

Requests run in the background on a simulated clock and network, so that they overlap. Each answer
is checked against what users knew when they sent the request.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Iterator
from functools import partial
from typing import Any, NamedTuple
from unittest import mock

import curio
import msgspec
from cluster_settings import MACHINE_TYPES, job_spec, raw_settings
from network import Client, Clock, JumpingSelector, Network
from rules import UserKnowledge
from simulated_controllers import ALL_KNOWN_S, POLL_TIMEOUT_S, WRITE_TIMEOUT_S

from umberward.clients.state_client import StateClient
from umberward.control.job_api import JobApi
from umberward.control.job_state_cache import JobStateCache
from umberward.core.settings import OperatorSettings, settings_from_toml
from umberward.core.tasks import TaskScope
from umberward.core.types import JobId, WallTime
from umberward.local import state_server, statecore
from umberward.local.links import LinkFault
from umberward.local.state_server import StateServer
from umberward.local.statecore import StateCore
from umberward.protocol import wire
from umberward.protocol.http import Response
from umberward.protocol.wire import FINAL_JOBS_PREFIX, LIVE_JOBS_PREFIX, JobRecord

CONTROLLERS = ("k0", "k1", "k2")
# Small, so that a few jobs fill several pages, evict cached records and outrun the watches.
PAGE_ENTRIES = 2
RETAINED_CHANGES = 12
CACHED_RECORDS = 3
FINAL_PHASES = (wire.DONE, wire.CANCELLED)


class RunningController(NamedTuple):
    """The parts of a controller that answer users; they end with the process."""

    job_api: JobApi
    job_states: JobStateCache
    client: Client
    tasks: list[curio.Task]


class SimulatedJobApis:
    def __init__(self, cached_records: int = CACHED_RECORDS) -> None:
        """`cached_records`: how many final records and unknown ids each controller caches."""
        self.clock = Clock()
        self.network = Network(self.clock, random.Random(1))
        self.settings = settings_from_toml(
            raw_settings(), OperatorSettings(poll_cache=cached_records)
        )
        self.scope = TaskScope()
        self.controllers: dict[str, RunningController] = {}
        self.starts: dict[str, int] = {}
        self.submitted: set[str] = set()  # ids that any user has sent a submission of
        self.accepted: set[str] = set()  # of these, the ids whose acceptance a user was told
        self.ended: dict[str, str] = {}  # the final phase that a user was told
        self.cancel_requested: set[str] = set()
        self.dependencies: dict[str, list[str]] = {}
        self.unreadable: set[str] = set()  # jobs whose final record can't be decoded
        self.broken: list[str] = []
        self.answers: list[tuple[str, str, str, int]] = []  # request, job, controller, status

    @contextlib.contextmanager
    def running(self) -> Iterator[SimulatedJobApis]:
        with contextlib.ExitStack() as stack:
            stack.enter_context(self.clock.running())
            stack.enter_context(mock.patch.object(state_server, "Server", self.network.server))
            stack.enter_context(mock.patch.object(statecore, "MAX_PAGE_ENTRIES", PAGE_ENTRIES))
            stack.enter_context(
                mock.patch.object(statecore, "MAX_RETAINED_CHANGES", RETAINED_CHANGES)
            )
            self.core = StateCore()  # only now: it reads RETAINED_CHANGES
            self.kernel = curio.Kernel(selector=JumpingSelector(self.clock))
            stack.callback(self._shut_down)
            self.kernel.run(self._start)
            yield self

    async def _start(self) -> None:
        self.addresses = {
            name: self.network.address("state", number) for number, name in enumerate(CONTROLLERS)
        }
        self.state = StateServer(
            self.core, self.settings.platform.cluster.state, list(self.addresses.values())
        )
        for server in self.state.servers:
            await self.scope.spawn(server.run)
        for name in CONTROLLERS:
            await self._start_controller(name)

    def _shut_down(self) -> None:
        self.kernel.run(self._stop)
        self.kernel.run(shutdown=True)

    async def _stop(self) -> None:
        await self.scope.close()
        await self.network.messages.close()

    # ---- processes and time ------------------------------------------------------------

    async def _start_controller(self, name: str) -> None:
        client = self.network.client()
        client.owner = name
        limits = self.settings.platform.cluster.state
        store = StateClient(self.addresses[name], limits, len(CONTROLLERS), client)  # type: ignore[arg-type]
        job_states = JobStateCache(self.settings, store, self.clock)
        job_api = JobApi(
            self.settings, store, job_states, MACHINE_TYPES, lambda: WallTime(self.clock.now)
        )
        tasks = [await self.scope.spawn(job_states.run)]
        self.controllers[name] = RunningController(job_api, job_states, client, tasks)
        self.starts[name] = self.starts.get(name, 0) + 1

    def restart(self, name: str) -> None:
        """End the process and start it again; the messages it has sent stay in flight."""

        async def restart() -> None:
            former = self.controllers[name]
            former.client.ended = True
            for task in former.tasks:
                await task.cancel()
            await self._start_controller(name)

        self.kernel.run(restart)

    def run(self, seconds: float) -> None:
        self.kernel.run(curio.sleep, seconds)

    def pause_processes(self, seconds: float) -> None:
        """All processes stand still wherever they are, while the clock runs on."""
        self.clock.now += seconds

    def set_fault(self, label: str, *fault: Any) -> None:
        """Add a fault of a link; `fault`: the fields of LinkFault."""
        self.network.links.faults[label] = LinkFault(*fault)

    def heal(self) -> None:
        """End all faults of links and of the state service."""
        self.network.links.faults.clear()
        self.state.set_down(False)

    # ---- the leader and other writers --------------------------------------------------

    def store_job(self, job_id: str, phase: str = wire.PENDING) -> None:
        """Store a job that was accepted, and perhaps has ended, before the controllers started."""
        self.submitted.add(job_id)
        self.accepted.add(job_id)
        if phase in FINAL_PHASES:
            if phase == wire.CANCELLED:
                self.cancel_requested.add(job_id)
            self.ended[job_id] = phase
            self._commit([{"write": FINAL_JOBS_PREFIX + job_id, "data": {"phase": phase}}])
        else:
            record = JobRecord(wire.decode_job_spec(wire.encode(job_spec(job_id))), 1.0)
            self._commit(
                [{"write": LIVE_JOBS_PREFIX + job_id, "data": msgspec.to_builtins(record)}]
            )

    def place_job(self, job_id: str) -> None:
        """The leader stores that tasks of a live job may have been placed."""
        record = self._live_record(job_id)
        if record is not None:
            record = {**record, "marked": 1}
            record.pop("needs", None)
            self._commit([{"write": LIVE_JOBS_PREFIX + job_id, "data": record}])

    def end_job(self, job_id: str, data: object = None) -> None:
        """The leader replaces the live record by a final one, `data` or that of a done job.

        A job with a cancelled dependency is cancelled instead.
        """
        if self._live_record(job_id) is None:
            return
        if data is not None:
            self.unreadable.add(job_id)
        else:
            needed_phases = map(self._stored_phase, self.needed_jobs(job_id))
            phase = wire.CANCELLED if wire.CANCELLED in needed_phases else wire.DONE
            data = {"phase": phase, "done": 1}
        self._commit(
            [
                {"write": FINAL_JOBS_PREFIX + job_id, "data": data},
                {"delete": LIVE_JOBS_PREFIX + job_id},
            ]
        )

    def add_revisions(self, count: int) -> None:
        """Other keys under the watched prefix change; old changes are discarded."""
        for number in range(count):
            self._commit([{"write": "jobs/other", "data": number}])

    def _commit(self, writes: list[dict[str, object]]) -> None:
        self.core.commit([], writes)
        self.kernel.run(self.state.notify)

    def _live_record(self, job_id: str) -> dict[str, Any] | None:
        stored = self.core.keys.get(LIVE_JOBS_PREFIX + job_id)
        return None if stored is None else stored.data  # type: ignore[return-value]

    def _stored_phase(self, job_id: str) -> str | None:
        stored = self.core.keys.get(FINAL_JOBS_PREFIX + job_id)
        return stored.data.get("phase") if stored and isinstance(stored.data, dict) else None

    def needed_jobs(self, job_id: str) -> set[str]:
        """The job and all jobs that it depends on, directly or through others."""
        direct = self.dependencies.get(job_id, ())
        return {job_id}.union(*map(self.needed_jobs, direct))

    # ---- users -------------------------------------------------------------------------

    def ask(self, what: str, job_id: str, name: str, body: dict[str, Any] | None = None) -> None:
        """Send a request without waiting for its answer.

        `what`: submit, poll or cancel. `body`: of a submission, instead of a valid description.
        """
        self.kernel.run(self._ask, what, job_id, name, body)

    async def _ask(self, what: str, job_id: str, name: str, body: dict[str, Any] | None) -> None:
        job_api = self.controllers[name].job_api
        process = self.starts[name]
        if what == "submit":
            spec = job_spec(job_id) if body is None else body
            if body is None or "waits_on" in body:
                self.submitted.add(job_id)
                self.dependencies.setdefault(job_id, spec.get("waits_on", []))
            request = partial(job_api.submit, wire.encode(spec))
        elif what == "cancel":
            self.cancel_requested.add(job_id)
            request = partial(job_api.cancel, JobId(job_id))
        else:
            request = partial(job_api.poll, JobId(job_id))
        timeout_s = POLL_TIMEOUT_S if what == "poll" else WRITE_TIMEOUT_S
        known = UserKnowledge(job_id in self.accepted, self.ended.get(job_id))
        dependencies_known = body is None or self.accepted.issuperset(body.get("waits_on", ()))

        async def exchange() -> None:
            response = await curio.ignore_after(timeout_s, request)
            if response is not None and self.starts[name] == process:
                self.answers.append((what, job_id, name, response.status))
                self._check(f"{what} at {name}", job_id, response, known)
                if response.status == 422 and body and "waits_on" in body and dependencies_known:
                    self.broken.append(f"refused: {job_id}, whose dependencies were accepted")

        await self.scope.spawn(exchange)

    def _check(self, what: str, job_id: str, response: Response, known: UserKnowledge) -> None:
        if response.status in (400, 404, 422) and known.accepted:
            self.broken.append(f"forgotten: {what} of {job_id} is answered {response.status}")
        if response.status not in (200, 201):
            return
        if job_id not in self.submitted:
            self.broken.append(f"invented: {what} of {job_id}")
        if response.status == 201 and known.accepted:
            self.broken.append(f"accepted twice: {what} of {job_id}")
        phase = msgspec.msgpack.decode(response.body)["phase"]
        if known.ended is not None and phase != known.ended:
            self.broken.append(f"went back: {what} of {job_id}: {known.ended}, then {phase}")
        if phase == wire.DONE and self._stored_phase(job_id) != wire.DONE:
            self.broken.append(f"not done: {what} of {job_id}")
        if phase == wire.CANCELLED and self.cancel_requested.isdisjoint(self.needed_jobs(job_id)):
            self.broken.append(f"cancelled by nobody: {what} of {job_id}")
        self.accepted.add(job_id)
        if phase in FINAL_PHASES:
            self.ended.setdefault(job_id, phase)

    def check_all_known(self) -> None:
        """Without faults, every controller must answer polls of each accepted job in time.

        Left out are jobs that need one whose final record can't be decoded.
        """
        readable = sorted(
            job_id
            for job_id in self.accepted
            if self.unreadable.isdisjoint(self.needed_jobs(job_id))
        )
        missing = [(job_id, name) for job_id in readable for name in CONTROLLERS]
        deadline = self.clock.now + ALL_KNOWN_S
        while missing and self.clock.now < deadline:
            self.answers.clear()
            for job_id, name in missing:
                self.ask("poll", job_id, name)
            self.run(POLL_TIMEOUT_S)
            answered = {(job_id, name) for _, job_id, name, status in self.answers if status == 200}
            missing = [pair for pair in missing if pair not in answered]
        self.broken += [f"forgotten: {job_id}, polled at {name}" for job_id, name in missing]
