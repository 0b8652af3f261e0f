"""Several complete controllers in one process, on a simulated network and clock (`network.py`).

Each `Controller` is the real one, with its leader election, user API, caches, leader loop,
forwarding and lease delegation. State service, workers and cloud are those of `umberward/local`.
Only sockets and time are simulated. Rules are checked ten times a second, on what really runs on
the workers.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any
from unittest import mock

import curio
import msgspec
from cluster_settings import MACHINE_TYPES, raw_settings
from network import Clock, JumpingSelector, Network
from rules import RuleChecker, UserKnowledge

from umberward.control import controller as controller_module
from umberward.control.controller import Controller
from umberward.core.settings import OperatorSettings, settings_from_toml
from umberward.core.tasks import TaskScope
from umberward.core.types import Key, MachineTypeName
from umberward.local import cloud_server, state_server, worker_server
from umberward.local.cloud_server import CloudServer
from umberward.local.cloudcore import CapacityPool, CloudCore, Machine
from umberward.local.links import LinkFault
from umberward.local.state_server import StateServer
from umberward.local.statecore import StateCore
from umberward.local.worker_server import WorkerServer
from umberward.local.workercore import TaskOutcome, WorkerCore
from umberward.protocol import wire
from umberward.protocol.http import NoResponseError, RequestNotSentError, Response
from umberward.protocol.transactions import VersionedValue
from umberward.protocol.wire import FINAL_JOBS_PREFIX, JobSpec

# A user's request: submit, poll or cancel; the job's description or id; the controller's name.
Question = tuple[str, Any, str]

STEP_S = 0.1
WRITE_TIMEOUT_S = 5.0
POLL_TIMEOUT_S = 2.0
CANCEL_RETRY_DURATION_S = 60.0
# With no fault left, each controller must answer polls of a job within this time.
ALL_KNOWN_S = 75.0


class CheckedWorker(WorkerCore):
    """A worker that reports its starts and completions to the rule checker."""

    rules: SimulatedControllers

    def tick(self, now: float) -> None:
        if self.rules.hangs(self):
            self.now = now  # its tasks make no progress, but its lease runs out
        else:
            super().tick(now)

    def start(self, name: str, attempt: int) -> None:
        self.rules.started(self, name, attempt)
        super().start(name, attempt)

    def _exit(self, task: Any, cause: str, stored: bool | None = None) -> None:
        super()._exit(task, cause, stored)
        if cause == wire.DONE:
            self.rules.completed(task.name)


class SimulatedControllers(RuleChecker):
    completions_never_lost = False

    def __init__(
        self,
        size: int = 3,
        seed: int = 1,
        rent: int = 0,
        limits: dict[str, float] | None = None,
        operator: dict[str, Any] | None = None,
        **workers: float,
    ) -> None:
        """`rent`: how many small machines can be rented in each zone, beside those added by name;
        `limits`: `cpus_max` or `gpus_max` of the team red; `operator`: the operator's settings;
        `workers`: fields of `cluster.workers` in the settings that differ from `raw_settings`."""
        self.rent = rent
        raw = raw_settings()
        raw["cluster"]["size"] = size
        raw["cluster"]["workers"].update(workers)
        raw["cluster"]["teams"][0].update(limits or {})
        raw["cluster"]["machine_limits"]["sockets"] = 400
        self.raw = raw
        self.operator = OperatorSettings(**{"idle_seconds": 86400.0, **(operator or {})})
        super().__init__(
            settings_from_toml(raw, OperatorSettings()).platform.cluster, MACHINE_TYPES.values()
        )
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.network = Network(self.clock, self.rng)
        self.names = [f"k{number}" for number in range(size)]
        self.listen = {n: self.network.address(n, 100 + i) for i, n in enumerate(self.names)}
        self.peers = {n: self.network.address(n, 200 + i) for i, n in enumerate(self.names)}
        self.states = [self.network.address("state", 300 + i) for i in range(size)]
        self.cloud_address = self.network.address("cloud", 400)
        self.scope = TaskScope()  # owns the tasks of the simulated services and the controllers
        self.nodes: dict[str, Controller] = {}
        self.tasks: dict[str, Any] = {}
        self.running_workers: dict[str, Any] = {}
        self.terms: list[tuple[str, int]] = []  # of each elected leader: its name and token
        self.requested: set[str] = set()  # jobs whose cancellation a user has requested

    # ---- for the rule checker ----------------------------------------------------------

    @property
    def now(self) -> float:  # type: ignore[override]
        return self.clock.now

    def stored_keys(self) -> Mapping[Key, VersionedValue]:
        return self.state.core.keys  # type: ignore[return-value]

    def is_gone(self, worker: WorkerCore) -> bool:
        # A machine that hangs may resume its tasks only while its lease is valid.
        over = self.now - worker.lease_renewed_at > self.cluster.workers.lease_s
        return worker.host not in self.workers or (over and self.hangs(worker))

    def hangs(self, worker: WorkerCore) -> bool:
        return f"hang {worker.host}" in self.network.links.faults

    def sent_at(self, worker: WorkerCore) -> float | None:
        return self.network.sent.get(worker.host)

    # ---- simulation --------------------------------------------------------------------

    @contextlib.contextmanager
    def playing(self) -> Iterator[SimulatedControllers]:
        with contextlib.ExitStack() as stack:
            stack.enter_context(self.clock.running())
            stack.enter_context(mock.patch.object(controller_module, "Client", self.network.client))
            stack.enter_context(mock.patch.object(controller_module, "Server", self.network.server))
            for module in (cloud_server, state_server, worker_server):
                stack.enter_context(mock.patch.object(module, "Server", self.network.server))
            stack.enter_context(mock.patch.object(state_server, "OUTAGE_POLL_S", STEP_S))
            stack.enter_context(mock.patch.object(worker_server, "CHANGE_POLL_S", STEP_S))
            self.kernel = curio.Kernel(selector=JumpingSelector(self.clock))
            stack.callback(self._shut_down)
            self.kernel.run(self._start)
            yield self

    def _shut_down(self) -> None:
        self.kernel.run(self._stop)
        self.kernel.run(shutdown=True)

    async def _stop(self) -> None:
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
            CapacityPool(sku.name, zone, spot): self.rent if sku.name == "small" and not spot else 0
            for sku in MACHINE_TYPES.values()
            for zone in sku.zones
            for spot in (True, False)
        }
        self.cloud = CloudServer(self.cloud_core, 20.0, self.cloud_address, self._remove_workers)
        self.network.client_owner = "user"
        self.user = self.network.client()
        for server in [*self.state.servers, self.cloud.server]:
            await self.scope.spawn(server.run)
        await self.scope.spawn(self._tick)

    async def _tick(self) -> None:
        version = None
        while True:
            leader_record = self.state.core.keys.get("leader")
            if leader_record is not None and leader_record.version != version:
                version = leader_record.version
                await self.network.deliver_kept_heartbeats(self.listen.values())
            revision = self.state.core.revision
            if not self.state.down:
                self.state.core.tick(self.now)
            if self.state.core.revision != revision:
                await self.state.notify()
            for machine in self.cloud_core.tick(self.now)[0]:
                if machine.id not in self.workers:
                    await self._start_worker(machine)
            for worker in self.workers.values():
                worker.tick(self.now)
            self.check_rules()
            self._check_invariants()
            await curio.sleep(STEP_S)

    def _check_invariants(self) -> None:
        """Check for violated invariants; one ends the handling of a message, not the controller."""
        for name, node in self.nodes.items():
            if node.leader_loop is not None and node.leader_loop.scheduler.invariants.violations:
                found = node.leader_loop.scheduler.invariants.violations
                self.broken.append(f"invariants of {name}: {', '.join(found)}")
        self.broken += [f"message above the limit: {found}" for found in self.network.oversized]
        self.network.oversized.clear()

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
            "endpoints": {"cloud": str(self.cloud_address), "state": str(self.states[number])},
            "peers": [
                {"label": n, "site": zones[i % len(zones)], "addr": str(self.peers[n])}
                for i, n in enumerate(self.names)
                if n != name
            ],
        }
        self.network.client_owner = name
        node = Controller(settings_from_toml(raw, self.operator), self.clock)
        node.rng.seed(self.rng.getrandbits(32))
        elected = node.election.on_elected

        async def record_term(term: Any) -> None:
            self.terms.append((name, term))
            await elected(term)

        node.election.on_elected = record_term
        self.nodes[name] = node
        self.tasks[name] = await self.scope.spawn(node.run)

    def crash(self, name: str) -> None:
        """End the process; the messages it has sent stay in flight."""
        self.kernel.run(self._crash, name)

    async def _crash(self, name: str) -> None:
        node = self.nodes.pop(name, None)
        if node is None:
            return
        for client in (node.client, node.upstream_client):
            client.ended = True  # type: ignore[attr-defined]
        # The controller first: while it runs, it may be elected and start another leader task.
        await self.tasks.pop(name).cancel()
        if node.leader_task is not None:
            await node.leader_task.cancel()

    def leader(self) -> str | None:
        """The leader according to the state service."""
        found = self.state.core.keys.get("leader")
        return None if found is None else str(found.data["node"])

    # ---- machines ----------------------------------------------------------------------

    def machine(self, name: str, flavor: str, zone: str) -> None:
        self.kernel.run(self._add_machine, name, flavor, zone)

    async def _add_machine(self, name: str, flavor: str, zone: str) -> None:
        sku = MACHINE_TYPES[MachineTypeName(flavor)]
        machine = Machine(name, sku, zone, False, self.now, self.now)
        self.cloud_core.machines[name] = machine
        machine.booted = True
        await self._start_worker(machine)

    async def _start_worker(self, machine: Machine) -> None:
        name = machine.id
        address = self.network.address(name, 1000 + len(self.running_workers))
        machine.address = str(address)
        core = CheckedWorker(
            name,
            str(address),
            machine.machine_type,
            machine.zone,
            False,
            self.cluster.workers,
            self.shared_tasks,
            self.find_spec,
            self.plan_outcome,
            self.now,
        )
        core.rules = self
        self.workers[name] = core
        self.network.client_owner = name
        worker = WorkerServer(
            core, self.listen, self.cluster.workers.report_s, self.network.client(), self.rng
        )
        self.running_workers[name] = await self.scope.spawn(worker.run)

    def hang(self, name: str) -> None:
        """Suspend the machine, and hold its messages in both directions, until `goes_on`."""
        self.network.links.faults[f"hang {name}"] = LinkFault("*", name, "hold")
        self.network.links.faults[f"hang {name} back"] = LinkFault(name, "*", "hold")

    def hanging(self) -> list[str]:
        return [name for name in self.workers if f"hang {name}" in self.network.links.faults]

    def goes_on(self, name: str) -> None:
        for label in (f"hang {name}", f"hang {name} back"):
            self.network.links.faults.pop(label, None)
        worker = self.workers.get(name)
        if worker is not None:
            worker.tick(self.now)  # notice first that its lease may have expired

    def remove(self, name: str) -> None:
        self._remove_workers(self.cloud_core.delete([name]))

    def _remove_workers(self, machines: list[Machine]) -> None:
        for machine in machines:
            worker = self.workers.pop(machine.id, None)
            if worker is not None:
                worker.end_session()
                self.network.links.faults[f"gone {machine.id}"] = LinkFault(machine.id, "*", "lost")

    def plan_outcome(self, name: str, _: JobSpec) -> TaskOutcome:
        return TaskOutcome(self.specs[name.split("/")[0]]["_runs"])

    # ---- users -------------------------------------------------------------------------

    def submit(self, spec: dict[str, Any], name: str) -> Response | None:
        return self._request_now(self._submit, spec, name)

    def poll(self, id: str, name: str) -> Response | None:
        return self._request_now(self._poll, id, name)

    def cancel(self, id: str, name: str) -> Response | None:
        """One request, without retries."""
        return self._request_now(self._cancel, id, name)

    def together(self, questions: Sequence[Question], gap_s: float = 0.0) -> list[Response | None]:
        """Send the requests one after the other, `gap_s` apart, without waiting for answers."""

        async def ask() -> list[Response | None]:
            tasks = []
            for what, subject, name in questions:
                ask_one = {"submit": self._submit, "poll": self._poll, "cancel": self._cancel}[what]
                tasks.append(await curio.spawn(ask_one, subject, name))
                await curio.sleep(gap_s)
            return [await task.join() for task in tasks]

        found: list[Response | None] = self.kernel.run(ask)
        return found

    def _request_now(
        self, ask_one: Callable[[Any, str], Any], subject: Any, name: str
    ) -> Response | None:
        response: Response | None = self.kernel.run(ask_one, subject, name)
        return response

    async def _submit(self, spec: dict[str, Any], name: str) -> Response | None:
        id = spec["uid"]
        self.specs.setdefault(id, spec)
        known = self.user_knowledge(id)
        response = await self._send_request(
            name, "POST", "/v1/jobs", wire.encode(spec), WRITE_TIMEOUT_S
        )
        if response is not None:
            self.check_submission(spec, response, known)
            self.check_phase(id, response, known)
            if response.status in (200, 201):
                self.submitted.setdefault(id, self.now)
        return response

    async def _poll(self, id: str, name: str) -> Response | None:
        known = self.user_knowledge(id)
        response = await self._send_request(name, "GET", f"/v1/jobs/{id}", b"", POLL_TIMEOUT_S)
        self._check_answer(id, response, known)
        return response

    async def _cancel(self, id: str, name: str) -> Response | None:
        known = self.user_knowledge(id)
        self.requested.add(id)
        response = await self._send_request(
            name, "POST", f"/v1/jobs/{id}/cancel", b"", WRITE_TIMEOUT_S
        )
        if self._check_answer(id, response, known) == wire.CANCELLED:
            final_record = self.stored_keys().get(Key(FINAL_JOBS_PREFIX + id))
            if final_record is None or final_record.data["phase"] != wire.CANCELLED:
                self.broken.append(
                    f"{id} was reported as cancelled before the cancellation was committed"
                )
            self.cancelled.setdefault(id, self.now)
        return response

    def _check_answer(self, id: str, response: Response | None, known: UserKnowledge) -> str | None:
        if response is None:
            return None
        phase = self.check_phase(id, response, known)
        if phase == wire.CANCELLED and id not in self.requested:
            self.broken.append(f"went_back: nobody has cancelled {id}")
        return phase

    async def _send_request(
        self, name: str, method: str, target: str, body: bytes, wait: float
    ) -> Response | None:
        try:
            found: Response = await self.user.request(self.listen[name], method, target, body, wait)
            return found
        except (RequestNotSentError, NoResponseError):
            return None

    def known_by_all(self, seconds: float = ALL_KNOWN_S) -> None:
        """With no fault left, check that each controller answers polls of each job in time."""
        self.faults_over_since = self.now
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
        self.broken += [f"forgotten: {id}, polled at {name}" for id, name in asked]

    def phase(self, response: Response | None) -> str:
        if response is None or response.status != 200:
            return "none"
        return str(msgspec.msgpack.decode(response.body)["phase"])
