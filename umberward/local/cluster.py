"""A whole cluster on the loopback: services and workers are simulated in this process, controllers
run in child processes.

Times are seconds of this process's monotonic clock.
"""

from __future__ import annotations

import contextlib
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from http import HTTPStatus
from pathlib import Path

import curio

from umberward.client.store import CALL_SUFFIX, Store
from umberward.core.log import logger
from umberward.core.settings import StateLimits
from umberward.core.tasks import TaskScope
from umberward.core.types import Address
from umberward.graphs import records
from umberward.local.builds import ControllerBuild, current_build
from umberward.local.child import child_command
from umberward.local.cloud_server import CloudServer
from umberward.local.cloudcore import CloudCore, Machine
from umberward.local.cluster_plan import ClusterPlan as ClusterPlan
from umberward.local.cluster_plan import Fault as Fault
from umberward.local.controller_settings import (
    CLOUD_RPS,
    LIST_LAG_S,
    PROPERTIES_FILE,
    ClusterLimits,
    ControllerAddresses,
    write_settings,
)
from umberward.local.job_descriptions import JobDescriptions
from umberward.local.shared_tasks import SharedTaskState
from umberward.local.state_server import StateServer
from umberward.local.statecore import StateCore
from umberward.local.task_attempts import TaskOutcome
from umberward.local.worker_server import WorkerServer
from umberward.local.workercore import WorkerCore
from umberward.protocol import wire
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError
from umberward.protocol.wire import JobSpec

log = logger(__name__)

HOST = "127.0.0.1"
TICK_S = 0.05
RESTART_DELAY_S = 2.0  # from the exit of a controller to its restart
MIN_RUN_S = 0.02
DEFAULT_RUN_S = 5.0  # of tasks without an expected run time
MAX_FAILING_RUN_S = 0.2  # run time of tasks on a machine that fails its tasks
CLIENT_SOCKETS = 600
READY_TIMEOUT_S = 30.0  # from the start of the controllers until all are ready
READY_POLL_S = 0.1
READY_REQUEST_TIMEOUT_S = 1.0


class NotReadyError(RuntimeError):
    """The controllers did not become ready in time."""

    def __init__(self, last_log_line: str) -> None:
        """`last_log_line`: of a controller, or empty."""
        super().__init__(f"controllers not ready after {READY_TIMEOUT_S:.0f} s{last_log_line}")


class LocalCluster:
    """The simulated services, the controllers' processes, and a record of the tasks' runs."""

    worker_core: type[WorkerCore] = WorkerCore

    def __init__(self, plan: ClusterPlan, folder: Path) -> None:
        """Start nothing yet. `folder`: where the controllers' settings and logs go."""
        self.plan = plan
        self.folder = folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}  # by graph task: its function
        self.rng = random.Random(plan.seed)
        self.zones = sorted({zone for machine_type in plan.machines for zone in machine_type.zones})
        self.worker_times = plan.workers
        self.limits = StateLimits(rps=600.0, write_rps=60.0, value_kb=4.0, txn_ops=8)
        free = self._free_addresses(3 * plan.controllers + 2)
        self.listen = [free.pop() for _ in range(plan.controllers)]
        self.peers = [free.pop() for _ in range(plan.controllers)]
        states = [free.pop() for _ in range(plan.controllers)]
        self.state = StateServer(
            StateCore(int(self.limits.value_kb * 1024), self.limits.txn_ops), self.limits, states
        )
        core = CloudCore(plan.machines, LIST_LAG_S, self.rng, plan.speed)
        self.cloud = CloudServer(core, CLOUD_RPS, free.pop(), self._remove_workers)
        self.store = Store(free.pop())
        self.controller_names = [f"keeper-{number}" for number in range(plan.controllers)]
        self.controller_addresses = dict(zip(self.controller_names, self.listen, strict=True))
        self.controller_processes: list[subprocess.Popen[bytes] | None] = [None] * plan.controllers
        # The build of each controller's process, and the one that it is started with next.
        self.running_builds = [current_build()] * plan.controllers
        self.next_builds = list(self.running_builds)
        self.start_at = [0.0] * plan.controllers
        self.restart_delays_s = [RESTART_DELAY_S] * plan.controllers
        self.shared_tasks = SharedTaskState()
        self.workers: dict[str, tuple[WorkerServer, curio.Task]] = {}  # by machine id
        self.client = Client(CLIENT_SOCKETS)
        self.descriptions = JobDescriptions(self.state.core)
        self.sick: set[str] = set()  # machines that fail the tasks that they start
        self.functions_to_start: list[tuple[str, str]] = []  # pairs of machine id and task id
        self.machine_by_task: dict[str, str] = {}  # for tasks whose function runs
        self.servers_to_cancel: list[curio.Task] = []  # of the workers of deleted machines
        self.peak_cores: dict[str, float] = {}  # team -> the most cores in use at once
        self.started_at: dict[str, float] = {}  # task -> when its first run started
        self.done_at: dict[str, float] = {}  # task -> when it first completed
        self.exit_causes: dict[str, list[str]] = {}  # task -> causes of its attempts' ends
        self.task_scope = TaskScope()  # runs all tasks of this process that belong to the cluster

    def _free_addresses(self, count: int) -> list[Address]:
        """Addresses that no socket listens on."""
        return free_ports(count)

    # ---- start and stop ----------------------------------------------------------------

    @classmethod
    @contextlib.asynccontextmanager
    async def running(cls, plan: ClusterPlan) -> AsyncIterator[LocalCluster]:
        """Yield a cluster that is ready; afterwards stop its processes and delete its files."""
        folder = Path(tempfile.mkdtemp(prefix="umberward-local-"))
        cluster = cls(plan, folder)
        try:
            async with cluster.task_scope:
                await cluster._start()
                yield cluster
        finally:
            cluster._stop_processes()
            shutil.rmtree(folder, ignore_errors=True)

    async def _start(self) -> None:
        """Start everything and wait until all controllers are ready."""
        self._write_settings()
        for server in [*self.state.servers, self.cloud.server, self.store.server]:
            await self.task_scope.spawn(server.run)
        await self.task_scope.spawn(self._run_ticks)
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not await self._ready():
            if time.monotonic() > deadline:
                raise NotReadyError(self._last_log_line())
            await curio.sleep(READY_POLL_S)
        await self.task_scope.spawn(self._cause_faults)

    def _write_settings(self) -> None:
        controllers = [
            ControllerAddresses(
                name,
                self.zones[number % len(self.zones)],
                self.listen[number],
                self.peers[number],
                self.state.servers[number].address,
                self.cloud.server.address,
            )
            for number, name in enumerate(self.controller_names)
        ]
        limits = ClusterLimits(self.zones, self.worker_times, self.limits)
        write_settings(self.folder, self.plan, limits, controllers, self._peer_address)

    def _peer_address(self, _: ControllerAddresses, peer: ControllerAddresses) -> Address:
        """The address at which the first controller reaches the other."""
        return peer.peer_bind

    def _stop_processes(self) -> None:
        for process in [*self.controller_processes, *self.processes.values()]:
            _kill_process(process)

    async def _ready(self) -> bool:
        for address in self.listen:
            try:
                response = await self.client.request(
                    address, "GET", "/ready", b"", READY_REQUEST_TIMEOUT_S
                )
            except (RequestNotSentError, NoResponseError):
                return False
            if response.status != HTTPStatus.OK:
                return False
        return True

    def _last_log_line(self) -> str:
        """The last log line of the first controller that has logged anything, or empty."""
        for name in self.controller_names:
            path = self.folder / f"{name}.log"
            lines = path.read_text().splitlines() if path.exists() else []
            if lines:
                return f"; {name}: {lines[-1]}"
        return ""

    # ---- ticks -------------------------------------------------------------------------

    async def _run_ticks(self) -> None:
        """Advance all simulated parts periodically, until cancelled."""
        while True:
            now = time.monotonic()
            await self._tick_state(now)
            await self._tick_cloud(now)
            self._tick_workers(now)
            self._record_peak_cores()
            self._run_functions()
            while self.servers_to_cancel:
                await self.servers_to_cancel.pop().cancel(blocking=False)
            self._restart_controllers(now)
            await curio.sleep(TICK_S)

    async def _tick_state(self, now: float) -> None:
        revision = self.state.core.revision
        if not self.state.down:
            self.state.core.tick(now)
            await self.state.execute_due_transactions()
        if self.state.core.revision != revision:
            await self.state.notify()

    async def _tick_cloud(self, now: float) -> None:
        happened = self.cloud.core.tick(now)
        for machine in happened.booted:
            await self._start_worker(machine, now)
        self._remove_workers(happened.reclaimed)

    def _tick_workers(self, now: float) -> None:
        for worker, _ in self.workers.values():
            worker.core.tick(now)
            machine = self.cloud.core.machines.get(worker.core.host)
            if machine is not None and worker.core.notice_at != machine.reclaim_at:
                worker.core.notice_at = machine.reclaim_at
                worker.core.changes += 1

    def _restart_controllers(self, now: float) -> None:
        """Restart each controller that has exited, once its restart delay has passed."""
        for number, child in enumerate(self.controller_processes):
            if child is not None and child.poll() is not None:
                self.controller_processes[number] = None
                self.start_at[number] = now + self.restart_delays_s[number]
                self._controller_exited(number, child.returncode)
            if self.controller_processes[number] is None and now >= self.start_at[number]:
                self.controller_processes[number] = self._start_controller(number)

    def _controller_exited(self, number: int, code: int) -> None:
        """Handle the exit of a controller, which is restarted later; subclasses override this."""

    def _start_controller(self, number: int) -> subprocess.Popen[bytes]:
        name = self.controller_names[number]
        build = self.running_builds[number] = self.next_builds[number]
        with (self.folder / f"{name}.log").open("ab") as log_file:
            return subprocess.Popen(
                [
                    *child_command(),
                    "run",
                    "--config",
                    str(self.folder / f"{name}.toml"),
                    "--properties",
                    str(self.folder / PROPERTIES_FILE),
                ],
                stdin=subprocess.PIPE,
                stdout=log_file,
                stderr=log_file,
                env=self._environment(build),
            )

    def _environment(self, build: ControllerBuild) -> dict[str, str]:
        level = {"LOG_LEVEL": self.plan.log_level} if self.plan.log_level else {}
        return {**build.environment(), **level}

    def _new_worker_core(self, machine: Machine, now: float) -> WorkerCore:
        return self.worker_core(
            machine.id,
            machine.address,
            machine.machine_type,
            machine.zone,
            machine.spot,
            self.worker_times,
            self.shared_tasks,
            self.find_spec,
            lambda name, spec: self._plan_outcome(machine.id, name, spec),
            now,
            self.plan.speed,
        )

    def _new_worker_server(self, machine: Machine, now: float) -> WorkerServer:
        core = self._new_worker_core(machine, now)
        core.exited = self._record_exit
        report_s = self.worker_times.report_s
        return WorkerServer(core, self.controller_addresses, report_s, self.client, self.rng)

    async def _start_worker(self, machine: Machine, now: float) -> None:
        machine.address = str(self._free_addresses(1)[0])
        worker = self._new_worker_server(machine, now)
        self.workers[machine.id] = (worker, await self.task_scope.spawn(worker.run))

    def _remove_workers(self, machines: list[Machine]) -> None:
        for machine in machines:
            worker, task = self.workers.pop(machine.id, (None, None))
            if worker is not None:
                worker.core.end_session()
                # Cancelling the server closes its connections.
                self.servers_to_cancel.append(task)

    # ---- tasks -------------------------------------------------------------------------

    def _plan_outcome(self, host: str, name: str, spec: JobSpec) -> TaskOutcome:
        """Decide how a task that starts to run on machine `host` will end."""
        self.started_at.setdefault(name, time.monotonic())
        if spec.kind == wire.SERVICE:
            return TaskOutcome(float("inf"))
        seconds = (spec.expected_runtime_s or DEFAULT_RUN_S) / self.plan.speed
        if host in self.sick:
            return TaskOutcome(min(seconds, MAX_FAILING_RUN_S), "error")
        if self.store.is_complete(name + CALL_SUFFIX):
            self.functions_to_start.append((host, name))
            return TaskOutcome(float("inf"))
        return TaskOutcome(max(MIN_RUN_S, seconds))

    def _record_exit(self, name: str, cause: str) -> None:
        self.exit_causes.setdefault(name, []).append(cause)
        _kill_process(self.processes.pop(name, None))
        if cause == wire.DONE:
            self.done_at.setdefault(name, time.monotonic())

    def _run_functions(self) -> None:
        """Start the functions of graphs' tasks, and end the tasks whose function has returned.

        Each function runs in its own process, as on a worker of a deployment.
        """
        for host, name in self.functions_to_start:
            _kill_process(self.processes.pop(name, None))
            command = [sys.executable, "-m", "umberward.local.execute"]
            null = subprocess.DEVNULL
            self.processes[name] = subprocess.Popen(
                [*command, str(self.store.server.address), name],
                stdin=null,
                stdout=null,
                stderr=null,
            )
            self.machine_by_task[name] = host
        self.functions_to_start.clear()
        for name, process in list(self.processes.items()):
            code = process.poll()
            if code is not None:
                del self.processes[name]
                worker, _ = self.workers.get(self.machine_by_task.pop(name), (None, None))
                if worker is not None:
                    worker.core.finish(name, wire.DONE if code == 0 else "error")

    def _record_peak_cores(self) -> None:
        used: dict[str, float] = {}
        for worker, _ in self.workers.values():
            for task in worker.core.running_tasks.values():
                if task.spec is not None:
                    used[task.spec.team] = used.get(task.spec.team, 0.0) + task.spec.cores
        for team, cores in used.items():
            self.peak_cores[team] = max(self.peak_cores.get(team, 0.0), cores)

    def find_spec(self, job_id: str) -> JobSpec | None:
        """A job's description, or None if there is no such job."""
        return self.descriptions.find(job_id)

    # ---- faults ------------------------------------------------------------------------

    async def _cause_faults(self) -> None:
        """Start each fault of the plan at its time."""
        ready_at = time.monotonic()
        for fault in sorted(self.plan.troubles, key=lambda fault: fault.at):
            await curio.sleep(max(0.0, ready_at + fault.at - time.monotonic()))
            await self.task_scope.spawn(self.cause, fault)

    async def cause(self, fault: Fault) -> None:
        """Start a fault, and end it after its duration."""
        log.info("trouble", what=fault.what)
        machine_ids = [worker.core.host for worker, _ in self.workers.values()][: fault.count]
        if fault.what == "crash":
            self.crash(fault.controller)
        elif fault.what == "drain":
            count = len(self.workers)
            self.cloud.core.reclaim_machines(count, fault.seconds, time.monotonic(), fault.zone)
        elif fault.what == "take":
            self.cloud.core.reclaim_machines(fault.count, fault.seconds, time.monotonic())
        elif fault.what == "delete":
            self._remove_workers(self.cloud.core.delete(machine_ids))
        elif fault.what == "sick":
            self.sick.update(machine_ids)
            await curio.sleep(fault.seconds)
            self.sick.difference_update(machine_ids)
        elif fault.what == "cloud_down":
            self.cloud.down = True
            await curio.sleep(fault.seconds)
            self.cloud.down = False
        elif fault.what == "state_down":
            self.state.set_down(True)
            await curio.sleep(fault.seconds)
            self.state.set_down(False)
        elif fault.what in ("lost", "late"):
            self.state.transaction_fault = fault.what
            await curio.sleep(fault.seconds)
            self.state.transaction_fault = ""
        elif fault.controller is not None:
            self.state.refused.add(fault.controller)
            await curio.sleep(fault.seconds)
            self.state.refused.discard(fault.controller)

    def crash(self, number: int | None = None) -> None:
        """Kill one controller, or all if `number` is None."""
        for index, child in enumerate(self.controller_processes):
            if child is not None and number in (None, index):
                child.kill()

    @property
    def leader(self) -> int | None:
        """The number of the leading controller, by the leader key in the state service."""
        found = self.state.core.keys.get("leader")
        return None if found is None else self.controller_names.index(found.data["node"])

    def status(self) -> str:
        """A one-line summary with counts of controllers, machines, tasks, jobs and graphs."""
        alive = sum(child is not None for child in self.controller_processes)
        tasks = sum(len(worker.core.running_tasks) for worker, _ in self.workers.values())
        core = self.state.core
        jobs = sum(key.startswith(wire.LIVE_JOBS_PREFIX) for key in core.keys)
        graphs = sum(key.startswith(records.LIVE_PREFIX) for key in core.keys)
        leader = "none" if self.leader is None else self.controller_names[self.leader]
        return (
            f"controllers {alive}/{self.plan.controllers}, leader {leader},"
            f" machines {len(self.workers)}, tasks {tasks}, jobs {jobs}, graphs {graphs},"
            f" writes {core.write_count}"
        )


def _kill_process(process: subprocess.Popen[bytes] | None) -> None:
    """Kill a process, if there is one, and wait until it has exited."""
    if process is not None:
        process.kill()  # no effect if it has exited already
        process.wait()


def free_ports(count: int) -> list[Address]:
    """Different ports of the loopback that no socket listens on now."""
    probes = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind((HOST, 0))
        probes.append(probe)
    found = [Address(HOST, probe.getsockname()[1]) for probe in probes]
    for probe in probes:
        probe.close()
    return found
