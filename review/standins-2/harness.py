"""A small deployment on the loopback for the cases of the second review.

The controllers are separate processes, started with the command of the deploy file. The state
service, the cloud and the workers are the project's own stand-ins and run in this process; the
workers' links can be cut, and a machine can fail every task that it starts.

Times are seconds of the monotonic clock.
"""

from __future__ import annotations

import json
import math
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

import curio
import msgspec

from umberward.core.settings import StateLimits, WorkerTimes
from umberward.core.types import Address
from umberward.local.cloud_server import CloudServer
from umberward.local.cloudcore import CapacityPool, CloudCore, Machine
from umberward.local.job_descriptions import JobDescriptions
from umberward.local.state_server import StateServer
from umberward.local.statecore import StateCore
from umberward.local.worker_server import WorkerServer
from umberward.local.workercore import SharedTaskState, TaskAttempt, TaskOutcome, WorkerCore
from umberward.protocol import wire
from umberward.protocol.http import (
    Client,
    NoResponseError,
    Request,
    RequestNotSentError,
    Response,
)
from umberward.protocol.wire import JobSpec, MachineType

HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
TICK_S = 0.02
NO_ANSWER_S = 600.0  # a silent machine holds a request for longer than any case runs
USER_TIMEOUT_S = 5.0
POLL_TIMEOUT_S = 2.0
OK = 200
CREATED = 201
TOO_LARGE = 413
MAX_BODY_BYTES = 64 * 1024
SOCKETS = 400
POLL_S = 5.0
LATEST_BREAK_S = 8.0  # a case gives up if the job began to wait later than this
CASE_S = 110.0  # the longest run of a case
FIRST_PORT, PORT_RANGES, PORTS_PER_RANGE = 12_000, 100, 200  # a range for each process

SMALL = MachineType("sampaguita", 8.0, 32.0, 0.55, 15.0, ["luzon", "visayas"], spot_price=0.18)
LARGE = MachineType("narra", 64.0, 128.0, 3.98, 30.0, ["luzon", "visayas"], spot_price=1.4)


class CaseNotRunError(RuntimeError):
    """The case could not be brought about; nothing is known about the rule."""

    def __init__(self, reason: str) -> None:
        """`reason`: what was missing."""
        super().__init__(reason)


class Team(NamedTuple):
    """A team with its limit of CPUs; 0: none."""

    name: str
    cpus_max: float = 0.0


class Deployment(NamedTuple):
    """The settings of a small deployment; the defaults are those of `bayanihan-payroll-ph`."""

    machines: tuple[tuple[MachineType, int], ...] = ((SMALL, 3),)
    teams: tuple[Team, ...] = (Team("payroll-ops-00"), Team("payroll-ops-01"))
    controllers: int = 3
    zones: tuple[str, ...] = ("luzon", "visayas")
    workers: WorkerTimes = WorkerTimes(0.8, 11.0, 35.0, 8.0, 36.0)
    limits: StateLimits = StateLimits(200.0, 15.0, 4.0, 8)
    cloud_rps: float = 2.0
    list_lag_s: float = 8.0
    memory_mb: float = 146.0
    sockets: int = 800
    restart_s: float = 4.0
    graphs: bool = True
    enforce_memory: bool = False  # end a controller that holds more than `memory_mb`


CEDRE = MachineType("cedre", 48.0, 384.0, 9.68, 45.0, ["casablanca"], spot_price=2.7)
BAYANIHAN = Deployment()
ATLAS = Deployment(
    machines=((CEDRE, 3),),
    teams=(Team("core-platform-00"), Team("core-platform-01")),
    zones=("casablanca",),
    workers=WorkerTimes(3.0, 24.0, 35.0, 5.0, 44.0),
    limits=StateLimits(150.0, 60.0, 16.0, 12),
    cloud_rps=1.5,
    list_lag_s=10.0,
    memory_mb=186.0,
    sockets=1200,
    restart_s=3.0,
)


class Record:
    """Writes what was sent, answered and run to `record.txt`, one JSON object a line."""

    def __init__(self, path: Path) -> None:
        """Start an empty record at `path`."""
        self.started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def write(self, what: str, **fields: object) -> None:
        """Write one event."""
        at_s = round(time.monotonic() - self.started_at, 3)
        self._file.write(json.dumps({"at": at_s, "what": what, **fields}, default=str) + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class CaseWorker(WorkerCore):
    """A worker that records what its tasks do."""

    record: Record

    def start(self, name: str, attempt: int) -> None:
        """Start an attempt and record it."""
        super().start(name, attempt)
        self.record.write(
            "start",
            host=self.host,
            task=name,
            attempt=attempt,
            phase=self.tasks[name, attempt].phase,
        )

    def _exit(
        self,
        task: TaskAttempt,
        cause: str,
        stored: bool | None = None,  # noqa: FBT001 - as in the base class
    ) -> None:
        super()._exit(task, cause, stored)
        self.record.write("exit", host=self.host, task=task.name, cause=cause)

    def end_session(self) -> None:
        """End all tasks and record that."""
        tasks = sorted(self.running_tasks)
        super().end_session()
        self.record.write("session_over", host=self.host, tasks=tasks)

    def cores_by_team(self) -> dict[str, float]:
        """The cores of the tasks that are on this machine: those that have their image."""
        used: dict[str, float] = {}
        for task in self.running_tasks.values():
            if task.spec is not None and task.phase != wire.PULLING_IMAGE:
                used[task.spec.team] = used.get(task.spec.team, 0.0) + task.spec.cores
        return used


def is_too_large(body: bytes) -> bool:
    """Whether a body exceeds the limit of the protocol, which counts its JSON form."""
    return bool(body) and len(msgspec.json.encode(msgspec.msgpack.decode(body))) > MAX_BODY_BYTES


class CaseWorkerServer(WorkerServer):
    """A worker whose machine can be cut off from the network."""

    cut = False  # no message arrives, in either direction, and nothing is refused
    record: Record

    async def _serve(self, request: Request) -> Response:
        if self.cut:
            await curio.sleep(NO_ANSWER_S)
        if is_too_large(request.body):
            self.record.write("command_too_large", host=self.core.host, bytes=len(request.body))
            return Response(TOO_LARGE)
        response = await super()._serve(request)
        if self.cut:
            await curio.sleep(NO_ANSWER_S)
        return response


class LinkedClient:
    """The HTTP client of a worker; nothing passes while its machine is cut off."""

    def __init__(self, client: Client) -> None:
        """Send through `client`."""
        self.client = client
        self.is_cut: Callable[[], bool] = lambda: False
        self.on_too_large: Callable[[str, int], None] = lambda _what, _bytes: None

    async def request(
        self, address: Address, method: str, target: str, body: bytes, timeout: float
    ) -> Response:
        """Send a request as `Client.request` does."""
        if self.is_cut():
            await curio.sleep(timeout)
            message = "cut off"
            raise NoResponseError(message)
        if is_too_large(body):
            self.on_too_large("report_too_large", len(body))
            message = "a report above the limit cannot be sent"
            raise RequestNotSentError(message)
        response = await self.client.request(address, method, target, body, timeout)
        if self.is_cut():
            message = "cut off"
            raise NoResponseError(message)
        if is_too_large(response.body):
            self.on_too_large("response_too_large", len(response.body))
            message = "a response above the limit is dropped"
            raise NoResponseError(message)
        return response


class Cluster:
    """The stand-ins, the controllers' processes and a user of the deployment."""

    def __init__(self, plan: Deployment, record: Record) -> None:
        """Start nothing yet."""
        self.plan = plan
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="umberward-review-"))
        self.rng = random.Random(1)
        count = plan.controllers
        ports = _free_ports(3 * count + 1)
        self.listen, self.peers = ports[:count], ports[count : 2 * count]
        self.state = StateServer(
            StateCore(int(plan.limits.value_kb * 1024), plan.limits.txn_ops),
            plan.limits,
            ports[2 * count : 3 * count],
        )
        types = [machine_type for machine_type, _ in plan.machines]
        self.cloud = CloudServer(
            CloudCore(types, plan.list_lag_s, self.rng, 1.0),
            plan.cloud_rps,
            ports[-1],
            self._remove_workers,
        )
        self.names = [f"keeper-{number}" for number in range(count)]
        self.processes: list[subprocess.Popen[bytes] | None] = [None] * count
        self.start_at: list[float | None] = [0.0] * count  # None: stays away
        self.kept_away = False  # killed controllers are not restarted
        self.workers: dict[str, tuple[CaseWorkerServer, curio.Task]] = {}
        self.shared_tasks = SharedTaskState()
        self.descriptions = JobDescriptions(self.state.core)
        self.client = Client(SOCKETS)
        self.outcome: Callable[[str, str, JobSpec], TaskOutcome] = _run_as_expected
        self.on_tick: Callable[[], None] = lambda: None
        self.group: curio.TaskGroup | None = None
        self.to_cancel: list[curio.Task] = []
        self.peak_mb = [0.0] * count
        self.memory_kills = 0

    # ---- start and stop ----------------------------------------------------------------

    async def start(self, group: curio.TaskGroup) -> None:
        """Start everything; returns when all controllers and machines are up."""
        self.group = group
        for number in range(self.plan.controllers):
            text = _to_toml(self._settings(number))
            (self.folder / f"{self.names[number]}.toml").write_text(text)
            tomllib.loads(text)
        await self._spawn(self.cloud.server.run)
        for server in self.state.servers:
            await self._spawn(server.run)
        await self._rent_first_machines()
        await self._spawn(self._run_ticks)
        await self.wait_until("all controllers are ready", self._all_ready, 30.0)
        await self.wait_until("all machines report", self._all_machines_known, 30.0)

    async def _spawn(self, function: Callable[[], Awaitable[object]]) -> curio.Task:
        assert self.group is not None
        return await self.group.spawn(function)

    def stop(self) -> None:
        """End all processes and delete their files."""
        self.kept_away = True
        for process in self.processes:
            if process is not None:
                process.kill()
                process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for log in self.folder.glob("*.log"):
                shutil.copy(log, keep)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def _rent_first_machines(self) -> None:
        """Rent the machines that are up at the start; there is no capacity for more."""
        now = time.monotonic()
        number = 0
        for machine_type, count in self.plan.machines:
            for zone in self.plan.zones:
                for spot in (False, True):
                    pool = CapacityPool(machine_type.name, zone, spot)
                    self.cloud.core.capacity[pool] = 0
            for _ in range(count):
                number += 1
                zone = self.plan.zones[number % len(self.plan.zones)]
                pool = CapacityPool(machine_type.name, zone, spot=False)
                self.cloud.core.capacity[pool] += 1
                self.cloud.core.rent(f"first-{number}", pool, 1, now)
        for machine in self.cloud.core.machines.values():
            machine.boots_at = now

    async def _all_ready(self) -> bool:
        for number in range(self.plan.controllers):
            answer = await self.ask(number, "GET", "/ready", timeout=1.0, quiet=True)
            if answer is None or answer.status != OK:
                return False
        return True

    async def _all_machines_known(self) -> bool:
        stored = [
            name
            for key, found in self.state.core.keys.items()
            if key.startswith(wire.BLOCKS_PREFIX)
            for name in found.data["hosts"]
        ]
        return len(stored) == sum(count for _, count in self.plan.machines)

    def _settings(self, number: int) -> dict[str, Any]:
        plan = self.plan
        zones = [plan.zones[peer % len(plan.zones)] for peer in range(plan.controllers)]
        return {
            "label": self.names[number],
            "site": zones[number],
            "listen": str(self.listen[number]),
            "peer_bind": str(self.peers[number]),
            "peers": [
                {"label": self.names[peer], "site": zones[peer], "addr": str(self.peers[peer])}
                for peer in range(plan.controllers)
                if peer != number
            ],
            "endpoints": {
                "cloud": str(self.cloud.server.address),
                "state": str(self.state.servers[number].address),
            },
            "cluster": {
                "size": plan.controllers,
                "zones": list(plan.zones),
                "skew_ms": 250.0,
                "teams": [
                    {
                        "name": team.name,
                        "cpus": 0.0,
                        "cpus_max": team.cpus_max,
                        "gpus": 0.0,
                        "gpus_max": 0.0,
                    }
                    for team in plan.teams
                ],
                "workers": msgspec.to_builtins(plan.workers),
                "state": {
                    "rps": plan.limits.rps,
                    "write_rps": plan.limits.write_rps,
                    "value_kb": plan.limits.value_kb,
                    "txn_ops": plan.limits.txn_ops,
                },
                "cloud": {"rps": plan.cloud_rps, "list_lag_s": plan.list_lag_s},
                "machine_limits": {
                    "cpu": 1.0,
                    "memory_mb": plan.memory_mb,
                    "sockets": plan.sockets,
                },
            },
        }

    # ---- controllers -------------------------------------------------------------------

    def _start_controller(self, number: int) -> subprocess.Popen[bytes]:
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        command = [*deploy["run"].split(), str(self.folder / f"{self.names[number]}.toml")]
        environment = {
            name: value for name, value in os.environ.items() if name not in _OWN_VARIABLES
        }
        environment["LOG_LEVEL"] = os.environ.get("LOG_LEVEL", "info")
        if self.plan.graphs:
            environment["UMBERWARD_PROPERTIES"] = str(ROOT / "deploy" / "graphs.properties")
        with (self.folder / f"{self.names[number]}.log").open("ab") as log:
            return subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def _restart_controllers(self, now: float) -> None:
        """The platform: what has ended is started again after `restart_s`."""
        for number, process in enumerate(self.processes):
            if process is not None and process.poll() is not None:
                self.record.write("controller_ended", name=self.names[number])
                self.processes[number] = None
                self.start_at[number] = now + self.plan.restart_s
            due = self.start_at[number]
            if self.processes[number] is None and due is not None and now >= due:
                if self.kept_away:
                    continue
                self.record.write("controller_started", name=self.names[number])
                self.processes[number] = self._start_controller(number)

    def _end_oversized(self) -> None:
        """The platform: a process that holds more memory than its limit is killed."""
        for number, process in enumerate(self.processes):
            held_mb = None if process is None else _resident_mb(process.pid)
            if held_mb is None:
                continue
            self.peak_mb[number] = max(self.peak_mb[number], held_mb)
            if self.plan.enforce_memory and held_mb > self.plan.memory_mb:
                assert process is not None
                self.record.write(
                    "killed_for_memory", name=self.names[number], held_mb=round(held_mb, 1)
                )
                self.memory_kills += 1
                process.kill()
                process.wait()

    def kill(self, number: int) -> None:
        """Kill a controller, with no signal that it could handle."""
        process = self.processes[number]
        if process is not None:
            self.record.write("kill", name=self.names[number])
            process.kill()

    @property
    def leader(self) -> int:
        """The number of the controller that the state service names as the leader."""
        found = self.state.core.keys.get("leader")
        if found is None:
            reason = "there is no leader"
            raise CaseNotRunError(reason)
        return self.names.index(found.data["node"])

    def followers(self) -> list[int]:
        """The numbers of the other controllers."""
        leader = self.leader
        return [number for number in range(self.plan.controllers) if number != leader]

    # ---- ticks -------------------------------------------------------------------------

    async def _run_ticks(self) -> None:
        while True:
            now = time.monotonic()
            revision = self.state.core.revision
            if not self.state.down:
                self.state.core.tick(now)
                await self.state.execute_due_transactions()
            if self.state.core.revision != revision:
                await self.state.notify()
            for machine in self.cloud.core.tick(now).booted:
                await self._start_worker(machine, now)
            for worker, _ in self.workers.values():
                worker.core.tick(now)
            while self.to_cancel:
                await self.to_cancel.pop().cancel(blocking=False)
            self.on_tick()
            self._end_oversized()
            self._restart_controllers(now)
            await curio.sleep(TICK_S)

    # ---- machines ----------------------------------------------------------------------

    async def _start_worker(self, machine: Machine, now: float) -> None:
        machine.address = str(_free_ports(1)[0])
        core = CaseWorker(
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
        core.record = self.record
        client = LinkedClient(self.client)
        worker = CaseWorkerServer(
            core,
            dict(zip(self.names, self.listen, strict=True)),
            self.plan.workers.report_s,
            client,  # type: ignore[arg-type]
            self.rng,
        )
        worker.record = self.record
        client.is_cut = lambda: worker.cut
        client.on_too_large = lambda what, size: self.record.write(
            what, host=machine.id, bytes=size
        )
        self.workers[machine.id] = (worker, await self._spawn(worker.run))

    def worker(self, host: str) -> CaseWorkerServer:
        """The worker of a machine."""
        return self.workers[host][0]

    def _remove_workers(self, machines: list[Machine]) -> None:
        for machine in machines:
            self.record.write("machine_deleted", host=machine.id)
            worker, task = self.workers.pop(machine.id, (None, None))
            if worker is not None and task is not None:
                worker.core.end_session()
                self.to_cancel.append(task)

    def stop_machine(self, host: str) -> None:
        """A machine stops with all that is on it; the cloud lists it for a while."""
        self.record.write("machine_stopped", host=host)
        worker, task = self.workers.pop(host)
        worker.core.end_session()
        self.to_cancel.append(task)

    def hosts_of(self, job_id: str) -> list[str]:
        """The machines that a job's tasks are on."""
        return sorted(
            host
            for host, (worker, _) in self.workers.items()
            if any(name.startswith(job_id + "/") for name in worker.core.running_tasks)
        )

    def running(self, job_id: str) -> list[str]:
        """The job's tasks that are running."""
        return sorted(
            name
            for worker, _ in self.workers.values()
            for name, task in worker.core.running_tasks.items()
            if name.startswith(job_id + "/") and task.phase == wire.RUNNING
        )

    def cores_by_team(self) -> dict[str, float]:
        """The cores that each team's tasks use on all machines."""
        used: dict[str, float] = {}
        for worker, _ in self.workers.values():
            assert isinstance(worker.core, CaseWorker)
            for team, cores in worker.core.cores_by_team().items():
                used[team] = used.get(team, 0.0) + cores
        return used

    def tasks_that_fit(self, cores: float) -> int:
        """How many tasks of so many cores fit on the machines that are up, beside what runs."""
        return sum(
            int((worker.core.machine_type.cores - worker.core.reserved.cores + 1e-6) / cores)
            for worker, _ in self.workers.values()
        )

    # ---- users -------------------------------------------------------------------------

    async def ask(
        self,
        number: int,
        method: str,
        path: str,
        body: object = None,
        timeout: float = USER_TIMEOUT_S,
        *,
        quiet: bool = False,
    ) -> Response | None:
        """Send a user's request to one controller; None: no answer."""
        data = b"" if body is None else msgspec.msgpack.encode(body)
        try:
            response = await self.client.request(
                self.listen[number], method, path, data, timeout, new_connection=True
            )
        except (RequestNotSentError, NoResponseError):
            response = None
        if not quiet:
            self.record.write(
                "request",
                to=self.names[number],
                method=method,
                path=path,
                bytes=len(data),
                status=None if response is None else response.status,
                answer=None if response is None else decoded(response),
            )
        return response

    async def insist(
        self,
        numbers: list[int],
        method: str,
        path: str,
        body: object = None,
        *,
        within_s: float = 60.0,
        accept: tuple[int, ...] = (OK, CREATED),
    ) -> Response:
        """Repeat a request, as a user does, until it gets one of the statuses in `accept`."""
        deadline = time.monotonic() + within_s
        turn = 0
        while time.monotonic() < deadline:
            response = await self.ask(numbers[turn % len(numbers)], method, path, body)
            if response is not None and response.status in accept:
                return response
            turn += 1
            await curio.sleep(1.0)
        reason = f"{method} {path} was not answered"
        raise CaseNotRunError(reason)

    async def wait_until(
        self, what: str, condition: Callable[[], Awaitable[bool]], within_s: float
    ) -> None:
        """Wait for a condition; raise CaseNotRunError if it does not come true."""
        deadline = time.monotonic() + within_s
        while not await condition():
            if time.monotonic() > deadline:
                reason = f"not in time: {what}"
                raise CaseNotRunError(reason)
            await curio.sleep(0.05)
        self.record.write("condition", met=what)


def decoded(response: Response) -> object:
    """The body of a response."""
    return msgspec.msgpack.decode(response.body) if response.body else None


def batch(job_id: str, team: str, tasks: int, cores: float, run_s: float) -> dict[str, object]:
    """The body of a submission of an array."""
    return {
        "uid": job_id,
        "jobclass": "remittance-batch",
        "owner": team,
        "shape": "batch",
        "rank": "normal",
        "shards": tasks,
        "cores": cores,
        "accelerators": 0.0,
        "mem_gb": 1.0,
        "bundle": "img-01",
        "pull_gb": 0.0,
        "flavors": None,
        "yard": None,
        "same_place": False,
        "apart": False,
        "reclaimable": False,
        "expect_s": run_s,
        "snapshot_every_s": 0.0,
        "snapshot_cost_s": 0.0,
        "due_s": None,
    }


def _resident_mb(pid: int) -> float | None:
    """The memory that a process holds; None if it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return None
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return None


def _run_as_expected(_host: str, _name: str, spec: JobSpec) -> TaskOutcome:
    """A task runs as long as its owner expects, a replica until it is stopped."""
    if spec.kind == wire.SERVICE:
        return TaskOutcome(math.inf)
    return TaskOutcome(spec.expected_runtime_s or 5.0)


def run_case(folder: Path, plan: Deployment, case: Callable[[Cluster], Awaitable[bool]]) -> int:
    """Run a case; `case` returns whether the rule held. Returns the exit code."""
    record = Record(folder / "record.txt")
    cluster = Cluster(plan, record)

    async def main() -> bool:
        async with curio.TaskGroup(wait=None) as group:
            await cluster.start(group)
            return bool(await curio.timeout_after(CASE_S, case, cluster))

    signal.signal(signal.SIGTERM, _end)
    try:
        code = HELD if curio.run(main) else BROKEN
    except curio.TaskTimeout:
        record.write("not_run", reason="the case took too long")
        code = NOT_RUN
    except CaseNotRunError as error:
        record.write("not_run", reason=str(error))
        code = NOT_RUN
    finally:
        cluster.stop()
    record.write("result", code=code)
    record.close()
    sys.stderr.write(f"{folder.name}: {('held', 'broken', 'not run')[code]}\n")
    return code


class LeftWaiting:
    """For how long a job has been left waiting without a break while there was room for it."""

    def __init__(self, cluster: Cluster, job_id: str, cores: float, *, whole: int = 1) -> None:
        """Watch from now on; there is room if `whole` tasks of so many cores fit at once."""
        self.cluster = cluster
        self.job_id = job_id
        self.cores = cores
        self.whole = whole
        self.began = False
        self.since = time.monotonic()
        cluster.on_tick = self._note

    @property
    def seconds(self) -> float:
        """The seconds without a break, up to now; 0 once the job has begun."""
        return 0.0 if self.began else time.monotonic() - self.since

    def _note(self) -> None:
        prefix = f"{self.job_id}/"
        self.began = (
            self.began
            or bool(self.cluster.running(self.job_id))
            or any(name.startswith(prefix) for name in self.cluster.shared_tasks.done)
        )
        if self.cluster.tasks_that_fit(self.cores) < self.whole:
            if self.seconds > TICK_S * 2:
                self.cluster.record.write("no_room", waited=round(self.seconds, 1))
            self.since = time.monotonic()

    async def watch(self, seconds: float) -> bool:
        """Watch until the job has begun or waited for so long; returns whether it has begun."""
        deadline = time.monotonic() + seconds + LATEST_BREAK_S
        while not self.began and self.seconds < seconds:
            if time.monotonic() > deadline:
                reason = "there was not always room"
                raise CaseNotRunError(reason)
            await curio.sleep(POLL_S)
            await self.cluster.ask(0, "GET", f"/v1/jobs/{self.job_id}")
        self.cluster.record.write("waited", seconds=round(self.seconds, 1), began=self.began)
        return self.began


def _end(_number: int, _frame: object) -> None:
    """End the case early: its processes are ended on the way."""
    sys.exit(NOT_RUN)


def trouble() -> bool:
    """Whether the case causes its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


_OWN_VARIABLES = ("TROUBLE", "KEEP_LOGS", "PYTHONPATH")


_ports_given: set[int] = set()


def _free_ports(count: int) -> list[Address]:
    """Different ports of the loopback that nobody uses now, below those of outgoing connections."""
    first = FIRST_PORT + os.getpid() % PORT_RANGES * PORTS_PER_RANGE
    probes: list[socket.socket] = []
    while len(probes) < count:
        port = random.randrange(first, first + PORTS_PER_RANGE)
        if port in _ports_given:  # to a process that may not listen on it yet
            continue
        probe = socket.socket()
        try:
            probe.bind((HOST, port))
        except OSError:
            probe.close()
        else:
            _ports_given.add(port)
            probes.append(probe)
    found = [Address(HOST, probe.getsockname()[1]) for probe in probes]
    for probe in probes:
        probe.close()
    return found


def _to_toml(settings: dict[str, Any], prefix: str = "") -> str:
    """Write settings as TOML: plain values first, then tables."""
    lines, tables = [], []
    for name, value in settings.items():
        if isinstance(value, dict):
            tables.append(f"[{prefix}{name}]\n{_to_toml(value, f'{prefix}{name}.')}")
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            tables += [f"[[{prefix}{name}]]\n{_to_toml(entry)}" for entry in value]
        else:
            lines.append(f"{name} = {json.dumps(value)}")
    return "\n".join([*lines, *tables]) + "\n"
