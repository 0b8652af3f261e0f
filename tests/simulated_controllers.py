"""Several whole controllers against the loopback's stand-ins, on a clock that jumps.

`Node` runs as it does in a process: its real membership, users, mirror, holder, relays and loans.
State service, workers and cloud are those of `umberward/local`. Only sockets and time are played
(`network.py`). Rules are checked ten times a second, on the workers' truth.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any
from unittest import mock

import curio
import msgspec
from network import Clock, Jumping, Network
from rules import Rules, ToldUser
from simulated_cluster import MACHINE_TYPES, raw_settings

from umberward.control import controller as node_module
from umberward.control.controller import Controller
from umberward.core.settings import OperatorSettings, validate
from umberward.core.tasks import TaskScope
from umberward.core.types import Key, MachineTypeName
from umberward.local import servers
from umberward.local.cloudcore import Capacity, CloudCore, Machine
from umberward.local.links import LinkFault
from umberward.local.servers import CloudServer, StateServer, WorkerServer
from umberward.local.statecore import StateCore
from umberward.local.workercore import Fate, WorkerCore
from umberward.protocol import wire
from umberward.protocol.http import NoResponseError, RequestNotSentError, Response
from umberward.protocol.transactions import VersionedValue
from umberward.protocol.wire import FINAL_JOBS_PREFIX, JobSpec

Question = tuple[str, Any, str]  # submit, poll or cancel; a description or an id; at which node

STEP_S = 0.1
USERS_WAIT_S = 5.0
POLL_WAIT_S = 2.0
USERS_PATIENCE_S = 60.0
KNOWN_S = 75.0  # troubles over, a job must be answered about within this time


class Worker(WorkerCore):
    """Its starts and completions are checked."""

    rules: SimulatedControllers

    def tick(self, now: float) -> None:
        if self.rules.stands_still(self):
            self.now = now  # its tasks stand still; its lease runs on
        else:
            super().tick(now)

    def start(self, name: str, attempt: int) -> None:
        self.rules.started(self, name, attempt)
        super().start(name, attempt)

    def _exit(self, task: Any, cause: str, stored: bool | None = None) -> None:
        super()._exit(task, cause, stored)
        if cause == wire.DONE:
            self.rules.completed(task.name)


class SimulatedControllers(Rules):
    done_stays = False

    def __init__(
        self,
        size: int = 3,
        seed: int = 1,
        rent: int = 0,
        limits: dict[str, float] | None = None,
        operator: dict[str, Any] | None = None,
        **workers: float,
    ) -> None:
        """`rent`: how many small machines the cloud has in each zone, beside those that are named;
        `limits`: `cpus_max` or `gpus_max` of the team red; `operator`: settings of its own;
        `workers`: fields of the settings' `cluster.workers` that differ."""
        self.rent = rent
        raw = raw_settings()
        raw["cluster"]["size"] = size
        raw["cluster"]["workers"].update(workers)
        raw["cluster"]["teams"][0].update(limits or {})
        raw["cluster"]["machine_limits"]["sockets"] = 400
        self.raw = raw
        self.operator = OperatorSettings(**{"idle_seconds": 86400.0, **(operator or {})})
        super().__init__(validate(raw, OperatorSettings()).platform.cluster, MACHINE_TYPES.values())
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.network = Network(self.clock, self.rng)
        self.names = [f"k{number}" for number in range(size)]
        self.listen = {n: self.network.address(n, 100 + i) for i, n in enumerate(self.names)}
        self.peers = {n: self.network.address(n, 200 + i) for i, n in enumerate(self.names)}
        self.states = [self.network.address("state", 300 + i) for i in range(size)]
        self.cloud_at = self.network.address("cloud", 400)
        self.scope = TaskScope()  # owns the tasks of the stand-ins and of the nodes
        self.nodes: dict[str, Controller] = {}
        self.tasks: dict[str, Any] = {}
        self.running_workers: dict[str, Any] = {}
        self.terms: list[tuple[str, int]] = []  # who won, with which token
        self.requested: set[str] = set()  # cancellations that users have asked for

    # ---- the rules' view ---------------------------------------------------------------

    @property
    def now(self) -> float:  # type: ignore[override]
        return self.clock.now

    def stored_keys(self) -> Mapping[Key, VersionedValue]:
        return self.state.core.keys  # type: ignore[return-value]

    def is_gone(self, worker: WorkerCore) -> bool:
        # One that hangs may go on only within its lease.
        over = self.now - worker.lease_renewed_at > self.cluster.workers.lease_s
        return worker.host not in self.workers or (over and self.stands_still(worker))

    def stands_still(self, worker: WorkerCore) -> bool:
        return f"hang {worker.host}" in self.network.links.faults

    def sent_at(self, worker: WorkerCore) -> float | None:
        return self.network.sent.get(worker.host)

    # ---- as a whole --------------------------------------------------------------------

    @contextlib.contextmanager
    def playing(self) -> Iterator[SimulatedControllers]:
        with contextlib.ExitStack() as stack:
            stack.enter_context(self.clock.running())
            stack.enter_context(mock.patch.object(node_module, "Client", self.network.client))
            stack.enter_context(mock.patch.object(node_module, "Server", self.network.server))
            stack.enter_context(mock.patch.object(servers, "Server", self.network.server))
            stack.enter_context(mock.patch.object(servers, "POLL_S", STEP_S))
            self.kernel = curio.Kernel(selector=Jumping(self.clock))
            stack.callback(self._shut_down)
            self.kernel.run(self._start)
            yield self

    def _shut_down(self) -> None:
        self.kernel.run(self._end)
        self.kernel.run(shutdown=True)

    async def _end(self) -> None:
        for name in list(self.nodes):
            await self._crash(name)
        await self.scope.close()
        await self.network.messages.close()

    async def _start(self) -> None:
        limits = self.cluster.state
        core = StateCore(int(limits.value_kb * 1024), limits.txn_ops)
        self.state = StateServer(core, limits, self.states)
        self.cloud_core = CloudCore(list(MACHINE_TYPES.values()), 5.0, self.rng, 1.0)
        self.cloud_core.capacity = {
            Capacity(sku.name, zone, spot): self.rent if sku.name == "small" and not spot else 0
            for sku in MACHINE_TYPES.values()
            for zone in sku.zones
            for spot in (True, False)
        }
        self.cloud = CloudServer(self.cloud_core, 20.0, self.cloud_at, self._deleted)
        self.network.building = "user"
        self.user = self.network.client()
        for server in [*self.state.servers, self.cloud.server]:
            await self.scope.spawn(server.run)
        await self.scope.spawn(self._clockwork)

    async def _clockwork(self) -> None:
        led = None
        while True:
            leads = self.state.core.keys.get("leader")
            if leads is not None and leads.version != led:
                led = leads.version
                await self.network.bring_kept(self.listen.values())
            revision = self.state.core.revision
            if not self.state.down:
                self.state.core.tick(self.now)
            if self.state.core.revision != revision:
                await self.state.notify()
            for machine in self.cloud_core.tick(self.now)[0]:
                if machine.id not in self.workers:
                    await self._worker(machine)
            for worker in self.workers.values():
                worker.tick(self.now)
            self.check_now()
            self._check_invariants()
            await curio.sleep(STEP_S)

    def _check_invariants(self) -> None:
        """A violation ends the handling of a message, and the controller goes on."""
        for name, node in self.nodes.items():
            if node.leader_loop is not None and node.leader_loop.scheduler.invariants.violations:
                found = node.leader_loop.scheduler.invariants.violations
                self.broken.append(f"invariants of {name}: {', '.join(found)}")

    def run(self, seconds: float) -> None:
        self.kernel.run(curio.sleep, seconds)

    # ---- controllers -------------------------------------------------------------------

    def start(self, name: str) -> None:
        self.kernel.run(self._start_node, name)

    async def _start_node(self, name: str) -> None:
        number = self.names.index(name)
        zones = self.raw["cluster"]["zones"]
        raw = {
            **self.raw,
            "label": name,
            "site": zones[number % len(zones)],
            "listen": str(self.listen[name]),
            "peer_bind": str(self.peers[name]),
            "endpoints": {"cloud": str(self.cloud_at), "state": str(self.states[number])},
            "peers": [
                {"label": n, "site": zones[i % len(zones)], "addr": str(self.peers[n])}
                for i, n in enumerate(self.names)
                if n != name
            ],
        }
        self.network.building = name
        node = Controller(validate(raw, self.operator), self.clock)
        node.rng.seed(self.rng.getrandbits(32))
        elected = node.election.on_elected

        async def note(epoch: Any) -> None:
            self.terms.append((name, epoch))
            await elected(epoch)

        node.election.on_elected = note
        self.nodes[name] = node
        self.tasks[name] = await self.scope.spawn(node.run)

    def crash(self, name: str) -> None:
        """The process ends; what it has sent is under way."""
        self.kernel.run(self._crash, name)

    async def _crash(self, name: str) -> None:
        node = self.nodes.pop(name, None)
        if node is None:
            return
        for client in (node.client, node.upstream):
            client.ended = True  # type: ignore[attr-defined]
        # The node first: while it runs, it may be elected and start a holder anew.
        await self.tasks.pop(name).cancel()
        if node.leader_task is not None:
            await node.leader_task.cancel()

    def leader(self) -> str | None:
        """Who leads by the state service."""
        found = self.state.core.keys.get("leader")
        return None if found is None else str(found.data["node"])

    # ---- machines ----------------------------------------------------------------------

    def machine(self, name: str, flavor: str, zone: str) -> None:
        self.kernel.run(self._machine, name, flavor, zone)

    async def _machine(self, name: str, flavor: str, zone: str) -> None:
        sku = MACHINE_TYPES[MachineTypeName(flavor)]
        machine = Machine(name, sku, zone, False, self.now, self.now)
        self.cloud_core.machines[name] = machine
        machine.up = True
        await self._worker(machine)

    async def _worker(self, machine: Machine) -> None:
        name = machine.id
        address = self.network.address(name, 1000 + len(self.running_workers))
        machine.address = str(address)
        core = Worker(
            name,
            str(address),
            machine.machine_type,
            machine.zone,
            False,
            self.cluster.workers,
            self.mates,
            self.describe,
            self.fate,
            self.now,
        )
        core.rules = self
        self.workers[name] = core
        self.network.building = name
        worker = WorkerServer(
            core, self.listen, self.cluster.workers.report_s, self.network.client(), self.rng
        )
        self.running_workers[name] = await self.scope.spawn(worker.run)

    def hang(self, name: str) -> None:
        """Nothing is done there and nothing passes, either way, until it goes on."""
        self.network.links.faults[f"hang {name}"] = LinkFault("*", name, "hold")
        self.network.links.faults[f"hang {name} back"] = LinkFault(name, "*", "hold")

    def hanging(self) -> list[str]:
        return [name for name in self.workers if f"hang {name}" in self.network.links.faults]

    def goes_on(self, name: str) -> None:
        for label in (f"hang {name}", f"hang {name} back"):
            self.network.links.faults.pop(label, None)
        worker = self.workers.get(name)
        if worker is not None:
            worker.tick(self.now)  # its lease may be over, before it hears anything

    def remove(self, name: str) -> None:
        self._deleted(self.cloud_core.delete([name]))

    def _deleted(self, machines: list[Machine]) -> None:
        for machine in machines:
            worker = self.workers.pop(machine.id, None)
            if worker is not None:
                worker.end_session()
                self.network.links.faults[f"gone {machine.id}"] = LinkFault(machine.id, "*", "lost")

    def fate(self, name: str, _: JobSpec) -> Fate:
        return Fate(self.specs[name.split("/")[0]]["_runs"])

    # ---- users -------------------------------------------------------------------------

    def submit(self, spec: dict[str, Any], name: str) -> Response | None:
        return self._one(self._submit, spec, name)

    def poll(self, id: str, name: str) -> Response | None:
        return self._one(self._poll, id, name)

    def cancel(self, id: str, name: str) -> Response | None:
        """Asked once; who is not answered asks again."""
        return self._one(self._cancel, id, name)

    def together(self, questions: Sequence[Question], gap_s: float = 0.0) -> list[Response | None]:
        """Asked one after the other without waiting for the answers."""

        async def ask() -> list[Response | None]:
            tasks = []
            for what, about, name in questions:
                asks = {"submit": self._submit, "poll": self._poll, "cancel": self._cancel}[what]
                tasks.append(await curio.spawn(asks, about, name))
                await curio.sleep(gap_s)
            return [await task.join() for task in tasks]

        found: list[Response | None] = self.kernel.run(ask)
        return found

    def _one(self, asks: Callable[[Any, str], Any], about: Any, name: str) -> Response | None:
        made: Response | None = self.kernel.run(asks, about, name)
        return made

    async def _submit(self, spec: dict[str, Any], name: str) -> Response | None:
        id = spec["uid"]
        self.specs.setdefault(id, spec)
        told = self.told(id)
        response = await self._users(name, "POST", "/v1/jobs", wire.encode(spec), USERS_WAIT_S)
        if response is not None:
            self.check_submission(spec, response, told)
            self.check_phase(id, response, told)
            if response.status in (200, 201):
                self.submitted.setdefault(id, self.now)
        return response

    async def _poll(self, id: str, name: str) -> Response | None:
        told = self.told(id)
        response = await self._users(name, "GET", f"/v1/jobs/{id}", b"", POLL_WAIT_S)
        self._heard(id, response, told)
        return response

    async def _cancel(self, id: str, name: str) -> Response | None:
        told = self.told(id)
        self.requested.add(id)
        response = await self._users(name, "POST", f"/v1/jobs/{id}/cancel", b"", USERS_WAIT_S)
        if self._heard(id, response, told) == wire.CANCELLED:
            past = self.stored_keys().get(Key(FINAL_JOBS_PREFIX + id))
            if past is None or past.data["phase"] != wire.CANCELLED:
                self.broken.append(f"{id} is called cancelled and was not committed")
            self.cancelled.setdefault(id, self.now)
        return response

    def _heard(self, id: str, response: Response | None, told: ToldUser) -> str | None:
        if response is None:
            return None
        phase = self.check_phase(id, response, told)
        if phase == wire.CANCELLED and id not in self.requested:
            self.broken.append(f"went_back: nobody has cancelled {id}")
        return phase

    async def _users(
        self, name: str, method: str, target: str, body: bytes, wait: float
    ) -> Response | None:
        try:
            found: Response = await self.user.request(self.listen[name], method, target, body, wait)
            return found
        except (RequestNotSentError, NoResponseError):
            return None

    def known_by_all(self, seconds: float = KNOWN_S) -> None:
        """Troubles are over: about each accepted job every controller answers in time."""
        self.calm_since = self.now
        until = self.now + seconds
        asked = [(id, name) for id in self.submitted for name in self.nodes]
        while asked and self.now < until:
            left = []
            for id, name in asked:
                response = self.poll(id, name)
                if response is None or response.status != 200:
                    left.append((id, name))
            asked = left
            if asked:
                self.run(1.0)
        self.broken += [f"forgotten: {id}, asked of {name}" for id, name in asked]

    def phase(self, response: Response | None) -> str:
        if response is None or response.status != 200:
            return "none"
        return str(msgspec.msgpack.decode(response.body)["phase"])
