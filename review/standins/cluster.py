"""A small deployment on the loopback, on the real clock.

The controllers are processes that are started with the `run` command of the deploy file. State
service, cloud and workers are the project's stand-ins (`umberward.local`), run in this process; the
platform, which starts the controllers and starts them again after their end, is `Cluster`.
"""

from __future__ import annotations

import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import curio

from standins.record import Record
from umberward.core.settings import StateLimits, WorkerTimes
from umberward.core.tasks import TaskScope
from umberward.core.types import Address
from umberward.local.cloud_server import CloudServer
from umberward.local.cloudcore import CloudCore, Machine
from umberward.local.job_descriptions import JobDescriptions
from umberward.local.state_server import StateServer
from umberward.local.statecore import StateCore
from umberward.local.worker_server import WorkerServer
from umberward.local.workercore import SharedTaskState, TaskAttempt, TaskOutcome, WorkerCore
from umberward.protocol import wire
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError
from umberward.protocol.wire import JobSpec, MachineType, TaskCommand

REPOSITORY = Path(__file__).resolve().parent.parent.parent
TICK_S = 0.02
READY_TIMEOUT_S = 25.0
POLL_S = 0.1
CLIENT_SOCKETS = 400
FIRST_NETWORK, NETWORKS = 20, 200  # loopback networks 127.N.0.0 from which one is chosen
HOSTS_PER_NETWORK = 250
OK = 200


class NotRunError(RuntimeError):
    """The case could not run, so it has no result."""


@dataclass
class Plan:
    """What a deployment has; the figures are those of a small one (BRIEF)."""

    machine_types: list[MachineType]
    machines: list[tuple[str, str]]  # type and zone of the machines that are up at the start
    teams: list[dict[str, Any]]
    workers: WorkerTimes
    limits: StateLimits
    zones: list[str]
    controllers: int = 3
    cloud_rps: float = 2.0
    list_lag_s: float = 8.0
    cpu: float = 1.0
    memory_mb: float = 146.0
    sockets: int = 800
    restart_s: float = 4.0  # from the end of a controller to its next start
    properties: str = ""  # name of an operators' file under deploy/
    objectives: list[dict[str, Any]] = field(default_factory=list)


class RecordedWorker(WorkerCore):
    """The project's stand-in for a worker, with a record of what its tasks do."""

    note: Callable[[str], None]

    def start(self, name: str, attempt: int) -> None:
        """Start an attempt and record that."""
        super().start(name, attempt)
        self.note(f"{self.host} starts {name} try {attempt}")

    def _exit(self, task: TaskAttempt, cause: str, stored: bool | None = None) -> None:  # noqa: FBT001 - as in the base class
        super()._exit(task, cause, stored)
        self.note(f"{self.host} ends {task.name} try {task.attempt}: {cause}")

    def execute(self, commands: list[TaskCommand]) -> None:
        """Execute commands and record the kills among them."""
        for command in commands:
            if command.verb == wire.KILL:
                self.note(f"{self.host} is told to kill {command.task_id} try {command.attempt}")
        super().execute(commands)

    def end_session(self) -> None:
        """End the session and record how many tasks it ends."""
        self.note(f"{self.host} session {self.incarnation} over, {len(self.running_tasks)} tasks")
        super().end_session()


class Cluster:
    """One deployment, from its start to its end; use it with `async with`."""

    worker_class: type[RecordedWorker] = RecordedWorker

    def __init__(self, plan: Plan, record: Record) -> None:
        """Start nothing yet."""
        self.plan = plan
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.rng = random.Random(1)
        self.hosts_used = 0
        self.network = FIRST_NETWORK + os.getpid() % NETWORKS
        self.names = [f"keeper-{number}" for number in range(plan.controllers)]
        self.listen = [self.free_address() for _ in self.names]
        self.peers = [self.free_address() for _ in self.names]
        states = [self.free_address() for _ in self.names]
        core = StateCore(int(plan.limits.value_kb * 1024), plan.limits.txn_ops)
        self.state = StateServer(core, plan.limits, states)
        cloud = CloudCore(plan.machine_types, plan.list_lag_s, self.rng, 1.0)
        self.cloud = CloudServer(cloud, plan.cloud_rps, self.free_address(), self._remove_workers)
        self.processes: list[subprocess.Popen[bytes] | None] = [None] * plan.controllers
        self.start_at = [0.0] * plan.controllers
        self.down: set[int] = set()  # controllers that are not started again
        self.shared_tasks = SharedTaskState()
        self.client = Client(CLIENT_SOCKETS)
        self.descriptions = JobDescriptions(core)
        self.workers: dict[str, tuple[WorkerServer, curio.Task]] = {}
        self.servers_to_cancel: list[curio.Task] = []
        self.scope = TaskScope()
        self.outcome: Callable[[str, str, JobSpec], TaskOutcome] = default_outcome
        self.observers: list[Callable[[], None]] = []  # called with every tick
        deploy = tomllib.loads((REPOSITORY / "deploy" / "service.toml").read_text())
        self.command = shlex.split(deploy["run"])

    def free_address(self) -> Address:
        """An address of the loopback that nothing else uses."""
        self.hosts_used += 1
        high, low = divmod(self.hosts_used, HOSTS_PER_NETWORK)
        host = f"127.{self.network}.{high}.{low + 1}"
        with socket.socket() as probe:
            probe.bind((host, 0))
            return Address(host, probe.getsockname()[1])

    # ---- start and end -----------------------------------------------------------------

    async def __aenter__(self) -> Cluster:
        """Start everything and wait until all controllers are ready."""
        self.write_settings()
        for server in [*self.state.servers, self.cloud.server]:
            await self.scope.spawn(server.run)
        for number, (type_name, zone) in enumerate(self.plan.machines):
            await self._add_machine(number, type_name, zone)
        await self.scope.spawn(self._run_ticks)
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not await self._all_ready():
            if time.monotonic() > deadline:
                await self.__aexit__()
                message = "the controllers are not ready"
                raise NotRunError(message)
            await curio.sleep(POLL_S)
        self.record.write("all controllers are ready")
        return self

    def write_settings(self) -> None:
        """Write the controllers' settings files, which a controller reads when it starts."""
        for number in range(self.plan.controllers):
            path = self.folder / f"{self.names[number]}.toml"
            path.write_text(to_toml(self._settings(number)))

    async def __aexit__(self, *_: object) -> None:
        """End all processes and remove the files."""
        self.down.update(range(self.plan.controllers))
        for process in self.processes:
            if process is not None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        await self.scope.close()
        logs = Path(os.environ.get("REVIEW_LOGS", "/nowhere"))
        if logs.is_dir():
            for path in self.folder.glob("*.log"):
                shutil.copy(path, logs)
        shutil.rmtree(self.folder, ignore_errors=True)

    def _settings(self, number: int) -> dict[str, Any]:
        plan = self.plan
        zones = plan.zones
        return {
            "label": self.names[number],
            "site": zones[number % len(zones)],
            "listen": str(self.listen[number]),
            "peer_bind": str(self.peers[number]),
            "peers": [
                {
                    "label": self.names[peer],
                    "site": zones[peer % len(zones)],
                    "addr": str(self.peers[peer]),
                }
                for peer in range(plan.controllers)
                if peer != number
            ],
            "endpoints": {
                "cloud": str(self.cloud.server.address),
                "state": str(self.state.servers[number].address),
            },
            "cluster": {
                "size": plan.controllers,
                "zones": zones,
                "skew_ms": 250.0,
                "teams": plan.teams,
                "objectives": plan.objectives,
                "workers": wire.to_builtins(plan.workers),
                "state": _without_none(wire.to_builtins(plan.limits)),
                "cloud": {"rps": plan.cloud_rps, "list_lag_s": plan.list_lag_s},
                "machine_limits": {
                    "cpu": plan.cpu,
                    "memory_mb": plan.memory_mb,
                    "sockets": plan.sockets,
                },
            },
        }

    def _start_controller(self, number: int) -> subprocess.Popen[bytes]:
        environment = {**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")}
        environment.pop("UMBERWARD_PROPERTIES", None)
        if self.plan.properties:
            environment["UMBERWARD_PROPERTIES"] = str(REPOSITORY / "deploy" / self.plan.properties)
        name = self.names[number]
        with (self.folder / f"{name}.log").open("ab") as log:
            return subprocess.Popen(
                [*self.command, str(self.folder / f"{name}.toml")],
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self, number: int) -> bool:
        """Whether a controller answers that it is ready."""
        try:
            response = await self.client.request(self.listen[number], "GET", "/ready", b"", 1.0)
        except (RequestNotSentError, NoResponseError):
            return False
        return response.status == OK

    async def _all_ready(self) -> bool:
        return all([await self.is_ready(number) for number in range(self.plan.controllers)])

    # ---- ticks -------------------------------------------------------------------------

    async def _run_ticks(self) -> None:
        while True:
            now = time.monotonic()
            await self._tick_services(now)
            for worker, _ in self.workers.values():
                worker.core.tick(now)
            for observe in self.observers:
                observe()
            while self.servers_to_cancel:
                await self.servers_to_cancel.pop().cancel(blocking=False)
            self._start_controllers(now)
            await curio.sleep(TICK_S)

    async def _tick_services(self, now: float) -> None:
        revision = self.state.core.revision
        if not self.state.down:
            self.state.core.tick(now)
            await self.state.execute_due_transactions()
        if self.state.core.revision != revision:
            await self.state.notify()
        happened = self.cloud.core.tick(now)
        for machine in happened.booted:
            await self._start_worker(machine, now)
        self._remove_workers(happened.reclaimed)

    def _start_controllers(self, now: float) -> None:
        for number, process in enumerate(self.processes):
            if process is not None and process.poll() is not None:
                if number not in self.down:
                    self.record.write(f"{self.names[number]} has ended")
                self.processes[number] = None
                self.start_at[number] = now + self.plan.restart_s
            due = now >= self.start_at[number] and number not in self.down
            if self.processes[number] is None and due:
                self.record.write(f"{self.names[number]} is started")
                self.processes[number] = self._start_controller(number)

    # ---- machines ----------------------------------------------------------------------

    async def _add_machine(self, number: int, type_name: str, zone: str) -> None:
        now = time.monotonic()
        machine_type = self.cloud.core.machine_types[type_name]
        machine = Machine(f"i-{number:06d}", machine_type, zone, False, now, now, booted=True)  # noqa: FBT003 - its fields in order
        self.cloud.core.machines[machine.id] = machine
        self.cloud.core.total_rented += 1
        await self._start_worker(machine, now)

    async def _start_worker(self, machine: Machine, now: float) -> None:
        machine.address = str(self.free_address())
        core = self.worker_class(
            machine.id,
            machine.address,
            machine.machine_type,
            machine.zone,
            machine.spot,
            self.plan.workers,
            self.shared_tasks,
            self.descriptions.find,
            lambda name, spec: self.outcome(machine.id, name, spec),
            now,
        )
        core.note = self.record.write
        addresses = dict(zip(self.names, self.listen, strict=True))
        worker = self.new_worker_server(core, addresses)
        self.workers[machine.id] = (worker, await self.scope.spawn(worker.run))

    def new_worker_server(
        self, core: RecordedWorker, addresses: dict[str, Address]
    ) -> WorkerServer:
        """The server of a worker; cases that need another override this."""
        return WorkerServer(core, addresses, self.plan.workers.report_s, self.client, self.rng)

    def _remove_workers(self, machines: list[Machine]) -> None:
        for machine in machines:
            worker, task = self.workers.pop(machine.id, (None, None))
            if worker is not None:
                self.record.write(f"{machine.id} is gone")
                worker.core.end_session()
                self.servers_to_cancel.append(task)

    # ---- what a case does and sees -----------------------------------------------------

    @property
    def leader(self) -> int | None:
        """The number of the controller that the state service's key names as the leader."""
        found = self.state.core.keys.get("leader")
        return None if found is None else self.names.index(found.data["node"])

    def kill(self, number: int) -> None:
        """End a controller without a signal that it could handle."""
        process = self.processes[number]
        if process is not None:
            self.record.write(f"{self.names[number]} is killed")
            process.kill()

    def team_cores(self, team: str) -> float:
        """The cores of the team's tasks that are on a machine and have their image."""
        return sum(
            task.spec.cores
            for worker, _ in self.workers.values()
            for task in worker.core.running_tasks.values()
            if task.spec is not None and task.spec.team == team and task.phase != wire.PULLING_IMAGE
        )


def _without_none(table: dict[str, Any]) -> dict[str, Any]:
    """The table without the fields that are not set, which TOML can't express."""
    return {
        name: _without_none(value) if isinstance(value, dict) else value
        for name, value in table.items()
        if value is not None
    }


def default_outcome(_host: str, _name: str, spec: JobSpec) -> TaskOutcome:
    """A task runs as long as its owner expects; a replica until it is stopped."""
    return TaskOutcome(float("inf") if spec.kind == wire.SERVICE else spec.expected_runtime_s)


def to_toml(table: dict[str, Any], prefix: str = "") -> str:
    """A table as TOML, for the few kinds of values that a settings file has."""
    lines = [
        f"{key} = {_toml_value(value)}"
        for key, value in table.items()
        if not isinstance(value, dict) and not _is_table_list(value)
    ]
    for key, value in table.items():
        name = f"{prefix}{key}"
        if isinstance(value, dict):
            lines += [f"[{name}]", to_toml(value, f"{name}.")]
        elif _is_table_list(value):
            for entry in value:
                lines += [f"[[{name}]]", to_toml(entry, f"{name}.")]
    return "\n".join(lines)


def _is_table_list(value: object) -> bool:
    return isinstance(value, list) and bool(value) and isinstance(value[0], dict)


def _toml_value(value: object) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, list):
        return f"[{', '.join(_toml_value(entry) for entry in value)}]"
    return str(value)
