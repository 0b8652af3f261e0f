"""A whole cluster on the loopback: stand-ins in this process, controllers as processes."""

from __future__ import annotations

import contextlib
import os
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any, Literal

import curio
import javaproperties
import msgspec
import tomli_w

from umberward.client.store import CALL, Store
from umberward.core.log import logger
from umberward.core.settings import StateLimits, TeamQuota, WorkerTimes
from umberward.core.tasks import TaskScope
from umberward.core.types import Address
from umberward.graphs import model, records
from umberward.graphs.model import Shape
from umberward.local.cloudcore import CloudCore, Machine
from umberward.local.servers import CloudServer, StateServer, WorkerServer
from umberward.local.statecore import StateCore
from umberward.local.workercore import Fate, Mates, WorkerCore
from umberward.protocol import wire
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError
from umberward.protocol.wire import JobSpec, MachineType

log = logger(__name__)

HOST = "127.0.0.1"
TICK_S = 0.05
COME_BACK_S = 2.0  # a controller that ended is started again so much later
LEAST_RUN_S = 0.02
DEFAULT_RUN_S = 5.0  # of tasks whose owner has said nothing
LIST_LAG_S = 2.0
CLOUD_RPS = 5.0
CLIENT_SOCKETS = 600
READY_S = 30.0  # by then a controller must be ready

MACHINES = [
    MachineType("small", 4.0, 16.0, 0.2, 4.0, ["a", "b"], image_cache_gb=50.0, spot_price=0.1),
    MachineType("large", 32.0, 128.0, 1.6, 6.0, ["a", "b"], image_cache_gb=50.0, spot_price=0.6),
    MachineType("accel", 32.0, 128.0, 9.0, 8.0, ["a", "b"], accelerators=4.0, image_cache_gb=50.0),
]


WORKERS = WorkerTimes(report_s=1.0, lease_s=8.0, gang_wait_s=20.0, gang_peer_s=4.0, cancel_s=20.0)


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """Something that happens `at` so many seconds after the cluster is ready, `for` so many more.

    crash: controllers (all without `controller`) are killed; state_down, cloud_down: no service;
    refuse: one controller is refused by the state service; lost, late: transactions get no answer
    and are executed all the same, or some time later; drain: all machines of `zone` are told
    that they will be taken; take: `count` spot machines are; delete: `count` machines are gone at
    once; sick: `count` machines fail what they start.
    """

    at: float
    what: Literal[
        "crash",
        "state_down",
        "cloud_down",
        "refuse",
        "lost",
        "late",
        "drain",
        "take",
        "delete",
        "sick",
    ]
    seconds: float = msgspec.field(name="for", default=5.0)
    controller: int | None = None
    zone: str = ""
    count: int = 1


class ClusterPlan(msgspec.Struct):
    """What a local cluster is made of. `speed`: how much faster machines boot and tasks run."""

    controllers: int = 3
    machines: list[MachineType] = msgspec.field(default_factory=lambda: list(MACHINES))
    teams: list[TeamQuota] = msgspec.field(
        default_factory=lambda: [TeamQuota("red"), TeamQuota("blue")]
    )
    troubles: list[Fault] = []
    speed: float = 1.0
    seed: int = 1
    graphs: bool = True
    workers: WorkerTimes = WORKERS
    properties: dict[str, str] = {}  # of the controllers, besides those for graphs
    log_level: str = ""  # of the controllers; empty: as in this process


class LocalCluster:
    worker_core: type[WorkerCore] = WorkerCore

    def __init__(self, plan: ClusterPlan, folder: Path) -> None:
        self.plan = plan
        self.folder = folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}  # functions of graphs' tasks
        self.rng = random.Random(plan.seed)
        self.zones = sorted({zone for sku in plan.machines for zone in sku.zones})
        self.workers_said = plan.workers
        self.limits = StateLimits(rps=600.0, write_rps=60.0, value_kb=4.0, txn_ops=8)
        free = self._addresses(3 * plan.controllers + 2)
        self.listen = [free.pop() for _ in range(plan.controllers)]
        self.peers = [free.pop() for _ in range(plan.controllers)]
        states = [free.pop() for _ in range(plan.controllers)]
        self.state = StateServer(
            StateCore(int(self.limits.value_kb * 1024), self.limits.txn_ops), self.limits, states
        )
        core = CloudCore(plan.machines, LIST_LAG_S, self.rng, plan.speed)
        self.cloud = CloudServer(core, CLOUD_RPS, free.pop(), self._gone)
        self.store = Store(free.pop())
        self.names = [f"keeper-{number}" for number in range(plan.controllers)]
        self.nodes = dict(zip(self.names, self.listen, strict=True))
        self.children: list[subprocess.Popen[bytes] | None] = [None] * plan.controllers
        self.start_at = [0.0] * plan.controllers
        self.come_back_s = [COME_BACK_S] * plan.controllers
        self.mates = Mates()
        self.workers: dict[str, tuple[WorkerServer, Any]] = {}
        self.client = Client(CLIENT_SOCKETS)
        self.shapes: dict[str, Shape] = {}
        self.sick: set[str] = set()
        self.to_execute: list[tuple[str, str]] = []  # machine, task
        self.running_on: dict[str, str] = {}  # task -> its machine
        self.dying: list[Any] = []  # servers of machines that are gone
        self.most_cores: dict[str, float] = {}  # team -> the most that it has used at once
        self.started_at: dict[str, float] = {}  # task -> when it first ran
        self.done_at: dict[str, float] = {}
        self.ends: dict[str, list[str]] = {}  # task -> how its attempts ended
        self.group = TaskScope()  # owns the tasks of the stand-ins

    def _addresses(self, count: int) -> list[Address]:
        """Addresses on which nobody listens."""
        return free_ports(count)

    # ---- as a whole --------------------------------------------------------------------

    @classmethod
    @contextlib.asynccontextmanager
    async def running(cls, plan: ClusterPlan) -> AsyncIterator[LocalCluster]:
        """A cluster that is ready; all its processes and files are gone afterwards."""
        folder = Path(tempfile.mkdtemp(prefix="umberward-local-"))
        cluster = cls(plan, folder)
        try:
            async with cluster.group:
                await cluster._start()
                yield cluster
        finally:
            cluster._end()
            shutil.rmtree(folder, ignore_errors=True)

    async def _start(self) -> None:
        for number in range(self.plan.controllers):
            path = self.folder / f"{self.names[number]}.toml"
            path.write_text(tomli_w.dumps(self._settings(number)))
        graphs = {"graphs.enabled": str(self.plan.graphs).lower()}
        properties = {**graphs, **self.plan.properties}
        (self.folder / "own.properties").write_text(javaproperties.dumps(properties))
        for server in [*self.state.servers, self.cloud.server, self.store.server]:
            await self.group.spawn(server.run)
        await self.group.spawn(self._clockwork)
        deadline = time.monotonic() + READY_S
        while not await self._ready():
            if time.monotonic() > deadline:
                raise RuntimeError(f"no controller is ready after {READY_S:.0f} s{self._why()}")
            await curio.sleep(0.1)
        await self.group.spawn(self._trouble)

    def _end(self) -> None:
        for process in [*self.children, *self.processes.values()]:
            _stop(process)

    async def _ready(self) -> bool:
        for address in self.listen:
            try:
                response = await self.client.request(address, "GET", "/ready", b"", 1.0)
            except (RequestNotSentError, NoResponseError):
                return False
            if response.status != 200:
                return False
        return True

    def _why(self) -> str:
        """The last line that a controller has said."""
        for name in self.names:
            path = self.folder / f"{name}.log"
            lines = path.read_text().splitlines() if path.exists() else []
            if lines:
                return f"; {name}: {lines[-1]}"
        return ""

    def _settings(self, number: int) -> dict[str, Any]:
        zone = self.zones[number % len(self.zones)]
        peers = [
            {"label": self.names[n], "site": self.zones[n % len(self.zones)], "addr": str(addr)}
            for n, addr in enumerate(self.peers)
            if n != number
        ]
        limits = {name: v for name, v in wire.to_builtins(self.limits).items() if v is not None}
        return {
            "label": self.names[number],
            "site": zone,
            "listen": str(self.listen[number]),
            "peer_bind": str(self.peers[number]),
            "peers": peers,
            "endpoints": {
                "cloud": str(self.cloud.server.address),
                "state": str(self.state.servers[number].address),
            },
            "cluster": {
                "size": self.plan.controllers,
                "zones": self.zones,
                "skew_ms": 0.0,
                "teams": wire.to_builtins(self.plan.teams),
                "workers": wire.to_builtins(self.workers_said),
                "state": limits,
                "cloud": {"rps": CLOUD_RPS, "list_lag_s": LIST_LAG_S},
                "machine_limits": {"cpu": 1.0, "memory_mb": 200.0, "sockets": 800},
            },
        }

    # ---- time --------------------------------------------------------------------------

    async def _clockwork(self) -> None:
        while True:
            now = time.monotonic()
            revision = self.state.core.revision
            if not self.state.down:
                self.state.core.tick(now)
                await self.state.deliver()
            if self.state.core.revision != revision:
                await self.state.notify()
            up, taken = self.cloud.core.tick(now)
            for machine in up:
                await self._up(machine, now)
            self._gone(taken)
            for worker, _ in self.workers.values():
                worker.core.tick(now)
                machine_ = self.cloud.core.machines.get(worker.core.host)
                if machine_ is not None and worker.core.notice_at != machine_.taken_at:
                    worker.core.notice_at = machine_.taken_at
                    worker.core.changes += 1
            self._note_use()
            self._execute()
            while self.dying:
                await self.dying.pop().cancel(blocking=False)
            self._revive(now)
            await curio.sleep(TICK_S)

    def _revive(self, now: float) -> None:
        for number, child in enumerate(self.children):
            if child is not None and child.poll() is not None:
                self.children[number] = None
                self.start_at[number] = now + self.come_back_s[number]
                self._child_ended(number, child.returncode)
            if self.children[number] is None and now >= self.start_at[number]:
                self.children[number] = self._child(number)

    def _child_ended(self, number: int, code: int) -> None:
        """A controller's process has ended, and is started again in a while."""

    def _child(self, number: int) -> subprocess.Popen[bytes]:
        name = self.names[number]
        with open(self.folder / f"{name}.log", "ab") as out:
            return subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "umberward.local.child",
                    "run",
                    "--config",
                    str(self.folder / f"{name}.toml"),
                    "--properties",
                    str(self.folder / "own.properties"),
                ],
                stdin=subprocess.PIPE,
                stdout=out,
                stderr=out,
                env=self._environment(),
            )

    def _environment(self) -> dict[str, str]:
        level = {"LOG_LEVEL": self.plan.log_level} if self.plan.log_level else {}
        return {**os.environ, **level}

    def _core(self, machine: Machine, now: float) -> WorkerCore:
        return self.worker_core(
            machine.id,
            machine.address,
            machine.sku,
            machine.zone,
            machine.spot,
            self.workers_said,
            self.mates,
            self.describe,
            lambda name, spec: self._fate(machine.id, name, spec),
            now,
            self.plan.speed,
        )

    def _worker(self, machine: Machine, now: float) -> WorkerServer:
        core = self._core(machine, now)
        core.exited = self._exited
        report_s = self.workers_said.report_s
        return WorkerServer(core, self.nodes, report_s, self.client, self.rng)

    async def _up(self, machine: Machine, now: float) -> None:
        machine.address = str(self._addresses(1)[0])
        worker = self._worker(machine, now)
        self.workers[machine.id] = (worker, await self.group.spawn(worker.run))

    def _gone(self, machines: list[Machine]) -> None:
        for machine in machines:
            worker, task = self.workers.pop(machine.id, (None, None))
            if worker is not None:
                worker.core.end_session()
                # Its connections go with it.
                self.dying.append(task)

    # ---- what runs ---------------------------------------------------------------------

    def _fate(self, host: str, name: str, spec: JobSpec) -> Fate:
        self.started_at.setdefault(name, time.monotonic())
        if spec.kind == wire.SERVICE:
            return Fate(float("inf"))
        seconds = (spec.expected_runtime_s or DEFAULT_RUN_S) / self.plan.speed
        if host in self.sick:
            return Fate(min(seconds, 0.2), "error")
        if self.store.whole(name + CALL):
            self.to_execute.append((host, name))
            return Fate(float("inf"))
        return Fate(max(LEAST_RUN_S, seconds))

    def _exited(self, name: str, cause: str) -> None:
        self.ends.setdefault(name, []).append(cause)
        _stop(self.processes.pop(name, None))
        if cause == wire.DONE:
            self.done_at.setdefault(name, time.monotonic())

    def _execute(self) -> None:
        """Functions of graphs' tasks run in processes of their own, as on a worker."""
        for host, name in self.to_execute:
            _stop(self.processes.pop(name, None))
            command = [sys.executable, "-m", "umberward.local.execute"]
            out = subprocess.DEVNULL
            self.processes[name] = subprocess.Popen(
                [*command, str(self.store.server.address), name], stdin=out, stdout=out, stderr=out
            )
            self.running_on[name] = host
        self.to_execute.clear()
        for name, process in list(self.processes.items()):
            code = process.poll()
            if code is not None:
                del self.processes[name]
                worker, _ = self.workers.get(self.running_on.pop(name), (None, None))
                if worker is not None:
                    worker.core.finish(name, wire.DONE if code == 0 else "error")

    def _note_use(self) -> None:
        used: dict[str, float] = {}
        for worker, _ in self.workers.values():
            for task in worker.core.alive.values():
                if task.spec is not None:
                    used[task.spec.team] = used.get(task.spec.team, 0.0) + task.spec.cores
        for team, cores in used.items():
            self.most_cores[team] = max(self.most_cores.get(team, 0.0), cores)

    def describe(self, job: str) -> JobSpec | None:
        """A job's description. Users would upload it; here it is read where it was submitted."""
        own = model.graph_of(job)
        keys = self.state.core.keys
        if own is None:
            found = keys.get(wire.LIVE_JOBS_PREFIX + job)
            if found is None:
                return None
            record: wire.JobRecord = wire.convert(found.data, wire.JobRecord)
            return record.spec
        id, kind = own
        stored = keys.get(records.live_key(id))
        if stored is None:
            return None
        graph: records.GraphRecord = wire.convert(stored.data, records.GraphRecord)
        if id not in self.shapes:
            self.shapes[id] = Shape(self._tasks(id, graph))
        return self.shapes[id].spec(id, graph.options, kind)

    def _tasks(self, id: model.GraphId, graph: records.GraphRecord) -> list[model.Task]:
        if not graph.opened:
            return records.unpack(records.decompress(graph.content))
        prefix = f"{records.PART}{id}/{graph.opened}/"
        page = self.state.core.keys.items()
        found = {key[len(prefix) :]: got.data for key, got in page if key.startswith(prefix)}
        return records.joined(id, graph, records.parts_of(id, found, len(graph.digests)))

    # ---- troubles ----------------------------------------------------------------------

    async def _trouble(self) -> None:
        began = time.monotonic()
        for trouble in sorted(self.plan.troubles, key=lambda trouble: trouble.at):
            await curio.sleep(max(0.0, began + trouble.at - time.monotonic()))
            await self.group.spawn(self.cause, trouble)

    async def cause(self, trouble: Fault) -> None:
        """Make it happen, and end it when its time is over."""
        log.info("trouble", what=trouble.what)
        some = [worker.core.host for worker, _ in self.workers.values()][: trouble.count]
        if trouble.what == "crash":
            self.crash(trouble.controller)
        elif trouble.what == "drain":
            count = len(self.workers)
            self.cloud.core.take_back(count, trouble.seconds, time.monotonic(), trouble.zone)
        elif trouble.what == "take":
            self.cloud.core.take_back(trouble.count, trouble.seconds, time.monotonic())
        elif trouble.what == "delete":
            self._gone(self.cloud.core.delete(some))
        elif trouble.what == "sick":
            self.sick.update(some)
            await curio.sleep(trouble.seconds)
            self.sick.difference_update(some)
        elif trouble.what == "cloud_down":
            self.cloud.down = True
            await curio.sleep(trouble.seconds)
            self.cloud.down = False
        elif trouble.what == "state_down":
            self.state.set_down(True)
            await curio.sleep(trouble.seconds)
            self.state.set_down(False)
        elif trouble.what in ("lost", "late"):
            self.state.lossy = trouble.what
            await curio.sleep(trouble.seconds)
            self.state.lossy = ""
        elif trouble.controller is not None:
            self.state.refused.add(trouble.controller)
            await curio.sleep(trouble.seconds)
            self.state.refused.discard(trouble.controller)

    def crash(self, number: int | None = None) -> None:
        """Kill one controller, or all."""
        for at, child in enumerate(self.children):
            if child is not None and number in (None, at):
                child.kill()

    @property
    def leader(self) -> int | None:
        found = self.state.core.keys.get("leader")
        return None if found is None else self.names.index(found.data["node"])

    def status(self) -> str:
        """One line about all of it."""
        alive = sum(child is not None for child in self.children)
        tasks = sum(len(worker.core.alive) for worker, _ in self.workers.values())
        core = self.state.core
        jobs = sum(key.startswith(wire.LIVE_JOBS_PREFIX) for key in core.keys)
        graphs = sum(key.startswith(records.LIVE) for key in core.keys)
        leader = "none" if self.leader is None else self.names[self.leader]
        return (
            f"controllers {alive}/{self.plan.controllers}, leader {leader},"
            f" machines {len(self.workers)}, tasks {tasks}, jobs {jobs}, graphs {graphs},"
            f" writes {core.written}"
        )


def _stop(process: subprocess.Popen[bytes] | None) -> None:
    if process is not None:
        process.kill()  # of one that has ended already it does nothing
        process.wait()


def free_ports(count: int) -> list[Address]:
    """Ports of the loopback that nobody listens on now."""
    taken = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind((HOST, 0))
        taken.append(probe)
    found = [Address(HOST, probe.getsockname()[1]) for probe in taken]
    for probe in taken:
        probe.close()
    return found
