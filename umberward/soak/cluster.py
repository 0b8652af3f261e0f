"""The local cluster of a soak: every link can fail, and the events of workers are recorded."""

from __future__ import annotations

import random
import signal
import subprocess
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import curio

from umberward.core.settings import TeamQuota
from umberward.core.types import Address
from umberward.local.cloudcore import CapacityPool, Machine
from umberward.local.cluster import ClusterPlan as LocalPlan
from umberward.local.cluster import LocalCluster
from umberward.local.controller_settings import ControllerAddresses
from umberward.local.links import Links
from umberward.local.task_attempts import TaskOutcome
from umberward.local.worker_server import WorkerServer
from umberward.protocol import wire
from umberward.protocol.http import (
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
from umberward.soak.late_copies import LateCopies
from umberward.soak.loopback_network import LoopbackNetwork
from umberward.soak.worker import FaultInjectingClient, SoakWorker

STATE, CLOUD = "state", "cloud"  # names of the services as ends of links
WITHHELD_RESPONSE_S = 40.0  # longer than any client waits for a response
RELAY_TIMEOUT_S = 60.0  # longer than a message can be held
MAX_SERVER_SOCKETS = 200  # of each relay and of each worker
SPEED = 4.0  # boots and image pulls are faster than specified by this factor
RENTABLE_PER_POOL = 4  # per machine type, zone and spot or not; initial machines not counted
RED_QUOTA_CORES = 8.0  # for each job a second; keeps the team at its quota all the time
INITIAL_MACHINE_TYPES = ("small", "small", "small", "large")
ENDLESS_S = float("inf")


def teams(size: plan.Size) -> list[TeamQuota]:
    """The teams of a soak: one always at its quota, and one without a quota."""
    return [TeamQuota("red", cpus_max=RED_QUOTA_CORES * size.jobs_per_s), TeamQuota("blue")]


class HarnessError(RuntimeError):
    """The soak itself has failed, so the run has no result."""


class SoakCluster(LocalCluster):
    """A local cluster whose links, machines and controllers can be made to fail."""

    worker_core = SoakWorker
    links: Links
    record: Callable[[Event], None]
    run_started_at: float

    @staticmethod
    def local_plan(soak_plan: plan.Plan) -> LocalPlan:
        """The plan of the local cluster for a plan of a soak."""
        return LocalPlan(
            controllers=plan.CONTROLLER_COUNT,
            teams=teams(soak_plan.size),
            seed=soak_plan.seed,
            graphs=False,
            speed=SPEED,
            workers=plan.WORKER_TIMES,
            log_level="debug",
            properties={"idle.seconds": "3600", "lease.seconds": "1.5", "silence.seconds": "2"},
        )

    def __init__(self, local_plan: LocalPlan, folder: Path) -> None:
        """Start nothing yet. `folder`: for the controllers' settings and logs."""
        self.network = LoopbackNetwork()
        super().__init__(local_plan, folder)
        self.links = Links(self.rng)
        self.late_copies = LateCopies(random.Random(f"late copies {local_plan.seed}"))
        self.run_started_at = time.monotonic()
        self.record = _ignore_event
        self.specs: dict[str, JobSpec] = {}  # of all jobs that users have submitted
        self.task_runtimes_s: dict[str, float] = {}  # job -> run time of each of its tasks
        self.killed_controllers: set[int] = set()  # controllers that the soak has killed
        self.takeovers = 0
        self.leader_token: int | None = None
        self.relays: dict[tuple[str, str], Server] = {}
        for src in self.controller_names:
            for dst in self.controller_names:
                if src != dst:
                    relay = Server(
                        self._free_addresses(1)[0],
                        self._relay_handler(src, dst),
                        MAX_SERVER_SOCKETS,
                    )
                    self.relays[src, dst] = relay
        for number, server in enumerate(self.state.servers):
            server.handler = self._link_handler(
                self.controller_names[number], STATE, server.handler
            )
        self.cloud.server.handler = self._link_handler("keeper-*", CLOUD, self.cloud.server.handler)
        self.cloud.core.capacity = {
            CapacityPool(machine_type.name, zone, spot): RENTABLE_PER_POOL
            for machine_type in local_plan.machines
            for zone in machine_type.zones
            for spot in (True, False)
        }

    def _free_addresses(self, count: int) -> list[Address]:
        """Loopback addresses that no other process uses."""
        return [self.network.next_address() for _ in range(count)]

    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self.run_started_at

    # ---- links ---------------------------------------------------------------------------

    def _link_handler(self, src: str, dst: str, handler: Handler) -> Handler:
        async def handle(request: Request) -> Response:
            response = await self.links.exchange(
                src, dst, _request_target(request), lambda: handler(request)
            )
            return response if response is not None else await _withhold_response()

        return handle

    def _relay_handler(self, src: str, dst: str) -> Handler:
        """A handler that forwards requests from one controller to another over their link."""
        dst_address = self.peers[self.controller_names.index(dst)]

        async def forward(request: Request) -> Response:
            try:
                return await self.client.request(
                    dst_address,
                    request.method,
                    _request_target(request),
                    request.body,
                    RELAY_TIMEOUT_S,
                )
            except (RequestNotSentError, NoResponseError):
                return await _withhold_response()

        return self._link_handler(src, dst, forward)

    def _peer_address(self, own: ControllerAddresses, peer: ControllerAddresses) -> Address:
        return self.relays[own.name, peer.name].address

    async def _start(self) -> None:
        for relay in self.relays.values():
            await self.task_scope.spawn(relay.run)
        await super()._start()

    # ---- machines ------------------------------------------------------------------------

    async def add_machines(self, count: int) -> None:
        """Add machines that have already booted, with their workers."""
        machine_types = self.cloud.core.machine_types
        for number in range(count):
            now = time.monotonic()
            machine_type = machine_types[INITIAL_MACHINE_TYPES[number % len(INITIAL_MACHINE_TYPES)]]
            zone = machine_type.zones[number % len(machine_type.zones)]
            machine = Machine(
                f"m-{number:06d}", machine_type, zone, spot=False, rented_at=now, boots_at=now
            )
            machine.booted = True
            self.cloud.core.machines[machine.id] = machine
            await self._start_worker(machine, now)

    def _new_worker_server(self, machine: Machine, now: float) -> WorkerServer:
        core: Any = self._new_worker_core(machine, now)
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
        names = {address: name for name, address in self.controller_addresses.items()}
        client: Any = FaultInjectingClient(
            self.client, self.links, core, names, self.task_scope, self.build_of
        )
        worker = WorkerServer(
            core, self.controller_addresses, self.worker_times.report_s, client, self.rng
        )
        worker.server.socket_budget.limit = worker.server.socket_budget.client_limit = (
            MAX_SERVER_SOCKETS
        )
        worker.server.handler = self._command_handler(core, worker.server.handler)
        return worker

    def _command_handler(self, core: SoakWorker, handler: Handler) -> Handler:
        """A handler for status requests and direct commands, over the link from the leader.

        The sender is assumed to be the leader, as no other controller sends them.
        """

        async def handle(request: Request) -> Response:
            src = self.controller_names[self.leader] if self.leader is not None else "keeper-?"
            sent_at, sent_by = self.now(), self.build_of(src)

            async def deliver() -> Response | None:
                if core.host not in self.workers:
                    return None
                core.sent_at, core.sent_by = sent_at, sent_by
                try:
                    return await handler(request)
                finally:
                    core.sent_at = self.now()

            async def deliver_copy(after_s: float) -> None:
                await curio.sleep(after_s)
                if await self.links.transmit(src, core.host, request.path):
                    await deliver()

            copied_after_s = self.late_copies.delay_s(request)
            if copied_after_s is not None:
                await self.task_scope.spawn(deliver_copy, copied_after_s)
            response = await self.links.exchange(src, core.host, request.path, deliver)
            return response if response is not None else await _withhold_response()

        return handle

    def _remove_workers(self, machines: list[Machine]) -> None:
        super()._remove_workers(machines)
        for machine in machines:
            self.record(history.SessionOver(self.now(), machine.id))
            self.record(history.MachineGone(self.now(), machine.id))

    def set_hanging(self, host: str, *, still: bool) -> None:
        """Make a machine hang (`still`) or resume."""
        worker, _ = self.workers.get(host, (None, None))
        if worker is None:
            return
        core: Any = worker.core
        core.still = still
        if not still:
            # Ends its tasks if its lease has expired, before any message arrives.
            core.tick(time.monotonic())
        self.record(history.MachineStill(self.now(), host, still))

    def find_spec(self, job_id: str) -> JobSpec | None:
        """The specification of a job as its user submitted it."""
        return self.specs.get(job_id)

    def _plan_outcome(self, host: str, name: str, spec: JobSpec) -> TaskOutcome:
        if spec.kind == wire.SERVICE:
            return TaskOutcome(ENDLESS_S)
        return TaskOutcome(self.task_runtimes_s[spec.job_id])

    def _stop_processes(self) -> None:
        self.killed_controllers.update(range(len(self.controller_processes)))
        super()._stop_processes()
        self.network.close()

    # ---- controllers ---------------------------------------------------------------------

    def kill_controller(self, number: int, restart_delay_s: float) -> None:
        """Kill a controller; it restarts `restart_delay_s` seconds after its exit."""
        child = self.controller_processes[number]
        if child is not None:
            self.restart_delays_s[number] = restart_delay_s
            self.killed_controllers.add(number)
            child.kill()

    def set_stopped(self, number: int, *, stopped: bool) -> None:
        """Send SIGSTOP (`stopped`) or SIGCONT to a controller."""
        child = self.controller_processes[number]
        if child is not None and child.poll() is None:
            child.send_signal(signal.SIGSTOP if stopped else signal.SIGCONT)

    def build_of(self, name: str) -> str:
        """The build that a controller runs, or ran last; empty if there is no such controller."""
        if name not in self.controller_names:
            return ""
        return self.running_builds[self.controller_names.index(name)].name

    def _start_controller(self, number: int) -> subprocess.Popen[bytes]:
        process = super()._start_controller(number)
        name = self.controller_names[number]
        self.record(history.ProcessStarted(self.now(), name, self.build_of(name)))
        return process

    def _controller_exited(self, number: int, code: int) -> None:
        by_us = number in self.killed_controllers
        self.killed_controllers.discard(number)
        name = self.controller_names[number]
        build = self.build_of(name)
        self.record(history.ProcessEnded(self.now(), name, code, by_us, build))

    def observe(self) -> None:
        """Record a change of leader. Raises HarnessError if a worker's task has ended."""
        leader_record = self.state.core.keys.get("leader")
        if leader_record is not None and self.leader_token != leader_record.version:
            self.leader_token = leader_record.version
            self.takeovers += 1
            name = str(leader_record.data["node"])
            build = self.build_of(name)
            self.record(history.LeaderChanged(self.now(), name, leader_record.version, build))
        for host, (_, task) in list(self.workers.items()):
            if task.terminated and host in self.workers:
                raise HarnessError(f"the worker of {host} has ended: {task.exception!r}")


def _ignore_event(_event: Event) -> None:
    """The default of `SoakCluster.record`."""


def _request_target(request: Request) -> str:
    return f"{request.path}?{request.query}" if request.query else request.path


async def _withhold_response() -> Response:
    await curio.sleep(WITHHELD_RESPONSE_S)
    return Response(503)
