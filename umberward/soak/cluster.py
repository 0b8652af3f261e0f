"""The local cluster of a soak: every link may fail, and what workers do is recorded."""

from __future__ import annotations

import contextlib
import os
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import curio

from umberward.core.settings import TeamQuota
from umberward.core.tasks import TaskScope
from umberward.core.types import Address
from umberward.local.cloudcore import Capacity, Machine
from umberward.local.cluster import ClusterPlan as LocalPlan
from umberward.local.cluster import LocalCluster
from umberward.local.links import Links
from umberward.local.servers import WorkerServer
from umberward.local.workercore import Fate, Task, WorkerCore
from umberward.protocol import wire
from umberward.protocol.http import (
    Client,
    Handler,
    NoResponseError,
    Request,
    RequestNotSentError,
    Response,
    Server,
)
from umberward.protocol.wire import JobSpec
from umberward.soak import history, plan
from umberward.soak.history import Event

STATE, CLOUD = "state", "cloud"
WITHHELD_RESPONSE_S = 40.0  # longer than any client waits for a response
RELAY_TIMEOUT_S = 60.0  # longer than a message may be held
SOCKETS = 200
FIRST_NETWORK, NETWORKS, HOSTS, PORT = 10, 240, 250, 9000  # of the loopback: 127.NETWORK.x.HOST
SPEED = 4.0  # factor by which boots and fetches of images are faster than the machine types say
RENTABLE = 4  # machines of each kind that may be rented besides those that are there
CORES_FOR_RED = 8.0  # for each job a second: the team is at its limit all the time
WORKER_TYPES = ("small", "small", "small", "large")
ENDLESS_S = float("inf")


def teams(size: plan.Size) -> list[TeamQuota]:
    """The teams of a soak: one that is always at its quota, and one without a quota."""
    return [TeamQuota("red", cpus_max=CORES_FOR_RED * size.jobs_per_s), TeamQuota("blue")]


class HarnessError(RuntimeError):
    """A part of the soak itself has failed, so that the run has no result."""


class SoakWorker(WorkerCore):
    """A worker that records starts and ends; its tasks do not advance while its machine hangs."""

    record: Callable[[Event], None]
    clock: Callable[[], float]
    sent_at = 0.0  # when the command that it carries out now was sent
    still = False

    def tick(self, now: float) -> None:
        """Advance the tasks; of a machine that hangs only the lease may expire."""
        if not self.still:
            super().tick(now)
            return
        self.now = now
        if self.running_tasks and now - self.lease_renewed_at > self.times.lease_s:
            self.record(history.SessionOver(self.clock(), self.host))

    def start(self, name: str, attempt: int) -> None:
        """Start an attempt, and record it unless it was refused."""
        known = set(self.running_tasks)
        now = self.clock()
        super().start(name, attempt)
        task = self.tasks[(name, attempt)]
        if name in known or task.cause in ("no_such", "in_use", "no_room"):
            return
        self.record(
            history.TaskStarted(now, self.host, self.incarnation, name, attempt, self.sent_at)
        )
        if task.over:
            self.record(history.TaskEnded(now, self.host, name, attempt, str(task.cause)))

    def _exit(self, task: Task, cause: str, stored: bool | None = None) -> None:  # noqa: FBT001 - as in the base
        super()._exit(task, cause, stored)
        self.record(history.TaskEnded(self.clock(), self.host, task.name, task.attempt, cause))

    def end_session(self) -> None:
        """End all tasks, and record that."""
        super().end_session()
        self.record(history.SessionOver(self.clock(), self.host))


class LinkedClient:
    """The client of a worker, each link of which may fail."""

    def __init__(
        self,
        client: Client,
        links: Links,
        core: SoakWorker,
        names: dict[Address, str],
        messages: TaskScope,
    ) -> None:
        """`messages` owns what is under way: it may arrive long after the request was given up."""
        self.client = client
        self.links = links
        self.core = core
        self.host = core.host
        self.names = names
        self.messages = messages

    async def request(
        self, address: Address, method: str, target: str, body: bytes, timeout: float
    ) -> Response:
        """Send a request as `Client.request` does, over a link that may lose or delay it.

        Raises RequestNotSentError or NoResponseError. A late request arrives all the same.
        """
        answers: list[Response] = []
        failed: list[RequestNotSentError] = []
        answered_at: list[float] = []  # when the controller had answered
        answered = curio.Event()

        async def deliver() -> Response | None:
            try:
                response = await self.client.request(address, method, target, body, timeout)
                answered_at.append(self.core.clock())
                return response
            except RequestNotSentError as error:
                failed.append(error)
                await answered.set()
            except NoResponseError:
                pass
            return None

        async def carry() -> None:
            response = await self.links.carry(self.host, self.names[address], target, deliver)
            if response is not None:
                answers.append(response)
                await answered.set()

        async def copy(after_s: float) -> None:
            await curio.sleep(after_s)
            with contextlib.suppress(RequestNotSentError, NoResponseError):
                await self.client.request(address, method, target, body, timeout)

        await self.messages.spawn(carry)
        again = self.links.copied_after(self.host, self.names[address], target)
        if again is not None:
            await self.messages.spawn(copy, again)
        await curio.ignore_after(timeout, answered.wait)
        if answers:
            self.core.sent_at = answered_at[0]  # the worker takes it up at once
            return answers[0]
        raise failed[0] if failed else NoResponseError(f"{method} {address}: no answer")


class SoakCluster(LocalCluster):
    """A local cluster whose links, machines and controllers can be made to fail."""

    worker_core = SoakWorker
    links: Links
    record: Callable[[Event], None]
    began: float
    hosts_used = 0  # of the loopback

    @staticmethod
    def local_plan(of: plan.Plan) -> LocalPlan:
        """The plan of the local cluster for a soak's plan."""
        return LocalPlan(
            controllers=plan.CONTROLLERS,
            teams=teams(of.size),
            seed=of.seed,
            graphs=False,
            speed=SPEED,
            workers=plan.TIMES,
            log_level="debug",
            properties={"idle.seconds": "3600", "lease.seconds": "1.5", "silence.seconds": "2"},
        )

    def __init__(self, of: LocalPlan, folder: Path) -> None:
        """Nothing runs yet. `folder`: for the controllers' settings and logs."""
        super().__init__(of, folder)
        self.links = Links(self.rng)
        self.began = time.monotonic()
        self.record = _ignore_event
        self.specs: dict[str, JobSpec] = {}  # of all jobs that users have sent
        self.runs: dict[str, float] = {}  # how long a task of the job runs, in seconds
        self.killed: set[int] = set()  # controllers that the soak has ended
        self.takeovers = 0
        self.token: int | None = None  # of who leads
        self.relays: dict[tuple[str, str], Server] = {}
        for src in self.names:
            for dst in self.names:
                if src != dst:
                    relay = Server(self._addresses(1)[0], self._relay(src, dst), SOCKETS)
                    self.relays[src, dst] = relay
        for number, server in enumerate(self.state.servers):
            server.handler = self._linked(self.names[number], STATE, server.handler)
        self.cloud.server.handler = self._linked("keeper-*", CLOUD, self.cloud.server.handler)
        self.cloud.core.capacity = {
            Capacity(machine_type.name, zone, spot): RENTABLE
            for machine_type in of.machines
            for zone in machine_type.zones
            for spot in (True, False)
        }

    def _addresses(self, count: int) -> list[Address]:
        """Addresses on hosts of the loopback that only this process uses.

        A port of 127.0.0.1 may be taken by an outgoing connection at any time.
        """
        network = FIRST_NETWORK + os.getpid() % NETWORKS
        found = []
        for _ in range(count):
            self.hosts_used += 1
            high, low = divmod(self.hosts_used, HOSTS)
            found.append(Address(f"127.{network}.{high}.{low + 1}", PORT))
        return found

    def now(self) -> float:
        """Seconds since the run began."""
        return time.monotonic() - self.began

    # ---- links ---------------------------------------------------------------------------

    def _linked(self, src: str, dst: str, handler: Handler) -> Handler:
        async def handle(request: Request) -> Response:
            response = await self.links.carry(src, dst, _target(request), lambda: handler(request))
            return response if response is not None else await _withhold_response()

        return handle

    def _relay(self, src: str, dst: str) -> Handler:
        """The handler that forwards requests of one controller to another over their link."""
        there = self.peers[self.names.index(dst)]

        async def forward(request: Request) -> Response:
            try:
                return await self.client.request(
                    there, request.method, _target(request), request.body, RELAY_TIMEOUT_S
                )
            except (RequestNotSentError, NoResponseError):
                return await _withhold_response()

        return self._linked(src, dst, forward)

    def _settings(self, number: int) -> dict[str, Any]:
        found = super()._settings(number)
        for peer in found["peers"]:
            peer["addr"] = str(self.relays[self.names[number], peer["label"]].address)
        return found

    async def _start(self) -> None:
        for relay in self.relays.values():
            await self.group.spawn(relay.run)
        await super()._start()

    # ---- machines ------------------------------------------------------------------------

    async def add_machines(self, count: int) -> None:
        """Add machines that have booted already, with their workers."""
        machine_types = self.cloud.core.machine_types
        for number in range(count):
            now = time.monotonic()
            machine_type = machine_types[WORKER_TYPES[number % len(WORKER_TYPES)]]
            zone = machine_type.zones[number % len(machine_type.zones)]
            machine = Machine(
                f"m-{number:06d}", machine_type, zone, spot=False, rented_at=now, up_at=now
            )
            machine.up = True
            self.cloud.core.machines[machine.id] = machine
            await self._up(machine, now)

    def _worker(self, machine: Machine, now: float) -> WorkerServer:
        core: Any = self._core(machine, now)
        core.record, core.clock = self.record, self.now
        self.record(
            history.MachineUp(
                self.now(),
                machine.id,
                machine.machine_type.name,
                machine.zone,
                machine.spot,
                machine.machine_type.cores,
            )
        )
        names = {address: name for name, address in self.nodes.items()}
        client: Any = LinkedClient(self.client, self.links, core, names, self.group)
        worker = WorkerServer(core, self.nodes, self.workers_said.report_s, client, self.rng)
        worker.server.sockets.limit = worker.server.sockets.most_of_client = SOCKETS
        worker.server.handler = self._commanded(core, worker.server.handler)
        return worker

    def _commanded(self, core: SoakWorker, handler: Handler) -> Handler:
        """The handler for status requests and direct commands, over the link from the leader.

        The sender is taken to be the leader, as nobody else sends them.
        """

        async def handle(request: Request) -> Response:
            sent_at = self.now()

            async def deliver() -> Response | None:
                if core.host not in self.workers:
                    return None
                core.sent_at = sent_at
                try:
                    return await handler(request)
                finally:
                    core.sent_at = self.now()

            src = self.names[self.leader] if self.leader is not None else "keeper-?"
            response = await self.links.carry(src, core.host, request.path, deliver)
            return response if response is not None else await _withhold_response()

        return handle

    def _gone(self, machines: list[Machine]) -> None:
        super()._gone(machines)
        for machine in machines:
            self.record(history.SessionOver(self.now(), machine.id))
            self.record(history.MachineGone(self.now(), machine.id))

    def hang(self, host: str, *, still: bool) -> None:
        """Let a machine hang (`still`), or go on."""
        worker, _ = self.workers.get(host, (None, None))
        if worker is None:
            return
        core: Any = worker.core
        core.still = still
        if not still:
            core.tick(time.monotonic())  # its lease may have expired, before any message arrives
        self.record(history.MachineStill(self.now(), host, still))

    def describe(self, job_id: str) -> JobSpec | None:
        """The description of a job as its user has sent it."""
        return self.specs.get(job_id)

    def _fate(self, host: str, name: str, spec: JobSpec) -> Fate:
        if spec.kind == wire.SERVICE:
            return Fate(ENDLESS_S)
        return Fate(self.runs[spec.job_id])

    def _end(self) -> None:
        self.killed.update(range(len(self.children)))
        super()._end()

    # ---- controllers ---------------------------------------------------------------------

    def kill(self, number: int, back_s: float) -> None:
        """Kill a controller; it is started again `back_s` seconds after its end."""
        child = self.children[number]
        if child is not None:
            self.come_back_s[number] = back_s
            self.killed.add(number)
            child.kill()

    def stop(self, number: int, *, stopped: bool) -> None:
        """Send SIGSTOP to a controller, or SIGCONT."""
        child = self.children[number]
        if child is not None and child.poll() is None:
            child.send_signal(signal.SIGSTOP if stopped else signal.SIGCONT)

    def _child_ended(self, number: int, code: int) -> None:
        by_us = number in self.killed
        self.killed.discard(number)
        self.record(history.ProcessEnded(self.now(), self.names[number], code, by_us))

    def look(self) -> None:
        """Record changes of the leader. Raises HarnessError if a worker's task has ended."""
        found = self.state.core.keys.get("leader")
        if found is not None and self.token != found.version:
            self.token = found.version
            self.takeovers += 1
            name = str(found.data["node"])
            self.record(history.LeaderChanged(self.now(), name, found.version))
        for host, (_, task) in list(self.workers.items()):
            if task.terminated and host in self.workers:
                raise HarnessError(f"the worker of {host} has ended: {task.exception!r}")


def _ignore_event(_event: Event) -> None:
    """The default of `SoakCluster.record`."""


def _target(request: Request) -> str:
    return f"{request.path}?{request.query}" if request.query else request.path


async def _withhold_response() -> Response:
    await curio.sleep(WITHHELD_RESPONSE_S)
    return Response(503)
