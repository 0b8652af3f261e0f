"""One controller: wires the parts together and serves its two addresses."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import curio

from umberward.clients import state_client
from umberward.clients.cloud_client import CloudClient, CloudUnavailableError
from umberward.clients.state_client import StateClient
from umberward.control.job_api import JobApi
from umberward.control.job_state_cache import JobStateCache
from umberward.control.peer_link import STATE_CONTACT_TIMEOUT_S, PeerLink
from umberward.core.log import logger
from umberward.core.settings import Settings
from umberward.core.types import (
    ControllerName,
    FencingToken,
    Instant,
    JobId,
    Key,
    MachineId,
    MachineTypeName,
    Version,
    WallTime,
    parse_job_id,
)
from umberward.leader import failover_snapshot
from umberward.leader.failover_snapshot import FailoverSnapshot
from umberward.leader.leader_election import LeaderElection
from umberward.leader.leader_loop import LeaderLoop
from umberward.leader.messages import (
    DelegationRequested,
    HeartbeatReceived,
    JobsCancelledByPeer,
)
from umberward.protocol import transactions, wire
from umberward.protocol.http import Client, Request, Response, Server, Sockets
from umberward.protocol.wire import MachineType, MachineTypeList
from umberward.scheduling.heartbeat_forwarding import DuplicateFilter, HeartbeatForwarding
from umberward.scheduling.lease_delegation import Delegation

log = logger(__name__)

MACHINE_TYPES_KEY = Key("flavors")
JOBS_PATH = "/v1/jobs"
GRAPHS_PATH = "/v1/graphs"
# Of a controller's sockets, those that are not shared by workers, users and direct commands.
UPSTREAM_SOCKETS = 24
PEER_SOCKETS = 64
SPARE_SOCKETS = 16  # listeners, the event loop's own, and those being closed


class Controller:
    def __init__(self, settings: Settings, clock: Callable[[], float] = time.monotonic) -> None:
        """`clock`: steady, in seconds."""
        self.settings = settings
        self.clock = clock
        self.rng = random.Random()
        limits = settings.platform.cluster.machine_limits
        # Each worker keeps a connection, and each user; what is left is for what we open.
        rest = limits.sockets - UPSTREAM_SOCKETS - PEER_SOCKETS - SPARE_SOCKETS
        shared = Sockets(max(48, rest), max(16, limits.sockets // 3))
        self.client = Client(shared)
        self.server = Server(settings.listen, self._serve, shared, self.client)
        # Many workers must not keep us from the state service and the cloud.
        self.upstream = Client(UPSTREAM_SOCKETS)
        cluster = settings.platform.cluster
        self.store = StateClient(settings.state, cluster.state, cluster.size, self.upstream)
        self.cloud = CloudClient(settings.cloud, cluster.cloud.rps, self.upstream)
        self.machine_types: dict[MachineTypeName, MachineType] = {}
        self.job_states = JobStateCache(settings, self.store, clock)
        self.job_api = JobApi(
            settings,
            self.store,
            self.job_states,
            self.machine_types,
            _wall,
            self._state_reachable,
            lambda id: self.peers.announce(id),
        )
        self.graph_api: Any = None
        if settings.operator.graphs_enabled:
            from umberward.graphs.graph_api import GraphApi

            self.graph_api = GraphApi(settings, self.store, self.machine_types, _wall, self.rng)
        self.election = LeaderElection(
            settings, self.store, self.rng, self._start_leading, self._stop_leading, clock
        )
        self.leader_loop: LeaderLoop | None = None
        self.leader_task: Any = None
        self.peers = PeerLink(
            settings,
            self.election,
            self.client,
            self.rng,
            self._take_snapshot,
            self._delegate,
            self._serve_forwarded_heartbeat,
            self._jobs_cancelled_by_peer,
        )
        self.forwarding = HeartbeatForwarding()
        self.duplicates = DuplicateFilter()
        self.isolated_logged = False

    async def run(self) -> None:
        # Any of these ending means a fault of ours: it is logged, and the part starts again.
        parts = [
            self.server.run,
            Server(self.settings.peer_bind, self.peers.serve, PEER_SOCKETS).run,
            self.election.keep_lease,
            self.election.follow,
            self.job_states.run,
            self._load_machine_types,
            self.peers.run,
            self.peers.request_delegations,
            self.peers.announce_cancellations,
        ]
        async with curio.TaskGroup() as group:
            for part in parts:
                await group.spawn(_restart_on_failure, part)

    # ---- leadership --------------------------------------------------------------------

    async def _start_leading(self, epoch: FencingToken) -> None:
        await self._stop_leading()
        self.leader_loop = LeaderLoop(
            self.settings,
            self.election,
            self.store,
            self.client,
            self.cloud,
            self.machine_types,
            epoch,
            self.rng,
            self.job_states.finals.get,
            self.peers.peers_receive_heartbeats,
            self.job_states.revision_before,
            self.peers.recent_snapshot(),
        )
        self.leader_task = await curio.spawn(
            _restart_on_failure, self.leader_loop.serve, daemon=True
        )

    async def _stop_leading(self) -> None:
        if self.leader_task is not None:
            log.info("leadership_lost")
            found = self._take_snapshot()
            if found is not None:
                self.peers.keep_snapshot(found)  # we may lead again
            task, self.leader_task, self.leader_loop = self.leader_task, None, None
            await task.cancel(blocking=False)

    def _take_snapshot(self) -> FailoverSnapshot | None:
        holder = self.leader_loop
        if holder is None or not holder.scheduler.loaded:
            return None
        return failover_snapshot.take_snapshot(
            holder.scheduler, holder.autoscaler, Instant(self.clock())
        )

    async def _delegate(self, borrower: ControllerName, seen: int, idle: bool) -> Delegation | None:
        holder = self.leader_loop
        return (
            None if holder is None else await holder.ask(DelegationRequested(borrower, seen, idle))
        )

    async def _jobs_cancelled_by_peer(self, ids: list[JobId]) -> None:
        if self.leader_loop is not None:
            await self.leader_loop.tell(JobsCancelledByPeer(ids))

    # ---- machine types -----------------------------------------------------------------

    async def _load_machine_types(self) -> None:
        while not self.machine_types:
            try:
                # What an earlier controller stored serves when the cloud is down.
                found = await self.store.get(MACHINE_TYPES_KEY)
                if found is not None:
                    self._add_machine_types(wire.convert(found.data, MachineTypeList))
                    break
            except (
                state_client.StateUnavailableError,
                state_client.UnknownOutcomeError,
                wire.MalformedMessageError,
            ) as error:
                log.debug("stored_machine_types_not_read", error=error)
            try:
                self.machine_types.update(await self.cloud.machine_types())
                record = MachineTypeList(list(self.machine_types.values()))
                if wire.json_size(record) < self.job_api.value_limit:
                    await self.store.commit(
                        [(MACHINE_TYPES_KEY, Version(0))],
                        [transactions.put(MACHINE_TYPES_KEY, record)],
                    )
            except (
                CloudUnavailableError,
                state_client.StateUnavailableError,
                state_client.UnknownOutcomeError,
                state_client.CompareAndSwapError,
            ) as error:
                log.debug("machine_types_not_available", error=error)
                await curio.sleep(self.rng.uniform(0.5, 1.5))
        while True:
            await curio.sleep(3600)

    def _add_machine_types(self, flavors: MachineTypeList) -> None:
        for sku in flavors.machine_types:
            self.machine_types[MachineTypeName(sku.name)] = sku

    # ---- requests ----------------------------------------------------------------------

    async def _serve(self, request: Request) -> Response:
        method, path = request.method, request.path
        if path == "/hello":
            return await self._serve_heartbeat(request) if method == "POST" else Response(405)
        if path == JOBS_PATH:
            return await self.job_api.submit(request.body) if method == "POST" else Response(405)
        if path.startswith(JOBS_PATH + "/"):
            name, _, verb = path[len(JOBS_PATH) + 1 :].partition("/")
            if verb not in ("", "cancel"):
                return Response(404)
            if method != ("POST" if verb else "GET"):
                return Response(405)
            id = parse_job_id(name)
            if id is None:
                return Response(404)
            return await (self.job_api.cancel(id) if verb else self.job_api.poll(id))
        if self.graph_api is not None and (
            path == GRAPHS_PATH or path.startswith(GRAPHS_PATH + "/")
        ):
            rest = path[len(GRAPHS_PATH) :]
            made: Response = await self.graph_api.serve(method, rest, request.query, request.body)
            return made
        if path == "/ready":
            if method not in ("GET", "HEAD"):
                return Response(405)
            return Response(200 if self._is_ready() else 503)
        return Response(404)

    async def _serve_heartbeat(self, request: Request) -> Response:
        try:
            head = wire.decode_heartbeat_header(request.body)
        except wire.MalformedMessageError as error:
            return Response(400, wire.encode({"error": str(error)}))
        fresh = self.duplicates.is_new(MachineId(head.machine_id), head.incarnation, head.sequence)
        if fresh:
            # A late copy shows neither where the worker is connected nor that it reports to us.
            if request.origin is not None:
                await self.server.name(request.origin, head.machine_id)
            self.peers.note_heartbeat()
        answer = await self._answer_heartbeat(head, request.body)
        if answer is not None:
            return answer
        if self.leader_loop is None and self.peers.may_answer_worker(
            head.machine_id, head.fencing_token
        ):
            # The leader and the state service are out of reach: the zone is cut off, or worse.
            return Response(200, wire.encode({"epoch": head.fencing_token, "orders": []}))
        leader = self.peers.leader_for(head.fencing_token) if fresh else None
        if leader is None:
            return Response(421, wire.encode({}))
        host, now = MachineId(head.machine_id), Instant(self.clock())
        if self.forwarding.should_forward(host, leader, now):
            carried = await self.peers.forward_heartbeat(leader, request.body)
            if carried is not None:
                return carried
            self.forwarding.forward_failed(host, leader, now)
        return Response(421, wire.encode({"steward": leader}))

    async def _serve_forwarded_heartbeat(self, body: bytes) -> Response:
        """A report that another controller has carried to us."""
        try:
            answer = await self._answer_heartbeat(wire.decode_heartbeat_header(body), body)
        except wire.MalformedMessageError as error:
            return Response(400, wire.encode({"error": str(error)}))
        return answer or Response(421, wire.encode({}))

    async def _answer_heartbeat(self, head: wire.HeartbeatHeader, body: bytes) -> Response | None:
        """As the one who holds the machines, or tends them; None: that we are not."""
        holder = self.leader_loop
        if holder is not None and self.election.may_answer(holder.scheduler.jobs_read_at):
            orders = await holder.ask(HeartbeatReceived(head, body))
            if orders is not None and self.election.may_answer(holder.scheduler.jobs_read_at):
                if not self.election.is_leader():
                    if not holder.scheduler.may_keep_session(MachineId(head.machine_id)):
                        return None
                    # Without our lease nothing may be started; what is there goes on.
                    orders = [order for order in orders if order.verb == wire.KILL]
                elif not self.election.may_start(holder.scheduler.jobs_read_at):
                    orders = [order for order in orders if order.verb != wire.START]
                epoch = holder.scheduler.fencing_token
                return Response(200, wire.encode({"epoch": epoch, "orders": orders}))
        return None

    def _is_ready(self) -> bool:
        """Not ready: no machine types yet, or only we are without the state service."""
        if not self.machine_types:
            return False
        age = self.clock() - self.election.renewed_at
        alone = age >= STATE_CONTACT_TIMEOUT_S and self.peers.is_isolated()
        if alone != self.isolated_logged:
            self.isolated_logged = alone
            log.warning(
                "controller_isolated" if alone else "controller_not_isolated",
                without_state_s=round(age, 1),
            )
        if age < STATE_CONTACT_TIMEOUT_S:
            return True
        # In an outage all are without the state service, and users are told so by each.
        return not (alone or self.peers.others_have_contact())

    def _state_reachable(self) -> bool:
        now = self.clock()
        return (
            now - max(self.election.renewed_at, self.job_states.read_at) < STATE_CONTACT_TIMEOUT_S
        )


def _wall() -> WallTime:
    return WallTime(time.time())


async def _restart_on_failure(part: Any) -> None:
    while True:
        try:
            await part()
        except curio.CancelledError:
            raise
        except Exception:
            log.exception("part_failed", part=getattr(part, "__qualname__", part))
        await curio.sleep(0.5)
