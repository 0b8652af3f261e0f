"""A controller process: creates and runs its parts, and starts or stops leadership."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import curio

from umberward.clients.cloud_client import CloudClient
from umberward.clients.state_client import StateClient
from umberward.control.controller_builds import ControllerBuilds
from umberward.control.heartbeat_api import HeartbeatApi
from umberward.control.job_admission import max_value_bytes
from umberward.control.job_api import JobApi, JobApiCallbacks
from umberward.control.job_state_cache import JobStateCache
from umberward.control.machine_types import MachineTypeLoader
from umberward.control.peer_link import PeerCallbacks, PeerLink
from umberward.control.peer_messages import DelegationRequest
from umberward.control.readiness import Readiness
from umberward.control.request_router import RequestRouter
from umberward.control.state_log import ControllerParts, ControllerStateLog
from umberward.core.build_identity import UNKNOWN_BUILD
from umberward.core.log import logger
from umberward.core.settings import Settings
from umberward.core.tasks import TaskScope
from umberward.core.types import (
    FencingToken,
    Instant,
    JobId,
    MachineTypeName,
    WallTime,
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
from umberward.protocol import wire
from umberward.protocol.http import Client, Connection, Response, Server, SocketBudget
from umberward.protocol.wire import MachineType
from umberward.scheduling.sessions.lease_delegation import Delegation

if TYPE_CHECKING:
    from umberward.graphs.graph_api import GraphApi

log = logger(__name__)

# Sockets set aside from those shared by workers, users and direct commands to workers.
UPSTREAM_SOCKETS = 24  # for the state service and the cloud
PEER_SOCKETS = 64
RESERVED_SOCKETS = 16  # for listeners, the event loop and sockets that are being closed
MIN_SHARED_SOCKETS = 48
MIN_CLIENT_SOCKETS = 16
CLIENT_SOCKET_DIVISOR = 3  # the client may use one in this many of the process's sockets
RESTART_PAUSE_S = 0.5


class Controller:
    """Owns the parts of a controller and, while it leads, the leader's event loop."""

    def __init__(
        self,
        settings: Settings,
        clock: Callable[[], float] = time.monotonic,
        build: str = UNKNOWN_BUILD,
    ) -> None:
        """Create all parts without starting any.

        `clock` is a monotonic clock, in seconds; `build` identifies the build of this process.
        """
        self.settings = settings
        self.clock = clock
        self.rng = random.Random()
        cluster = settings.platform.cluster
        shared_sockets = _shared_sockets(cluster.machine_limits.sockets)
        self.client = Client(shared_sockets)
        # A separate client: connections to many workers must not use up the sockets needed for the
        # state service and the cloud.
        self.upstream_client = Client(UPSTREAM_SOCKETS)
        self.store = StateClient(settings.state, cluster.state, cluster.size, self.upstream_client)
        self.cloud = CloudClient(settings.cloud, cluster.cloud.rps, self.upstream_client)
        self.machine_types: dict[MachineTypeName, MachineType] = {}
        self.leader_loop: LeaderLoop | None = None
        self.leader_task: curio.Task | None = None
        self.leader_tasks = TaskScope()  # owns the leader's task until it has ended
        self.job_states = JobStateCache(settings, self.store, clock)
        self.election = LeaderElection(
            settings, self.store, self.rng, self._start_leading, self._stop_leading, clock
        )
        self.election.build = build
        self.peers = self._create_peer_link()
        self.builds = ControllerBuilds(
            self.election,
            self.store,
            [settings.platform.label, *settings.peers],
            self.peers.known_faults,
        )
        self.heartbeat_api = HeartbeatApi(
            self, self.election, self.peers, self._set_client_name, clock
        )
        self.router = self._create_router()
        self.state_log = ControllerStateLog(
            ControllerParts(
                self.election,
                self.job_states,
                self.router.job_api.rejections,
                self.peers.monitor,
            ),
            clock,
        )
        self.machine_type_loader = MachineTypeLoader(
            self.store,
            self.cloud,
            self.machine_types,
            max_value_bytes(cluster.state),
            self.rng,
        )
        self.server = Server(settings.listen, self.router.serve, shared_sockets, self.client, build)

    def _create_peer_link(self) -> PeerLink:
        callbacks = PeerCallbacks(
            self._take_snapshot,
            self._issue_delegation,
            self._serve_forwarded_heartbeat,
            self._report_peer_cancellations,
            self.job_states.known_phase,
            self._note_unknown_job_known_to_peer,
        )
        return PeerLink(self.settings, self.election, self.client, self.rng, callbacks)

    def _create_router(self) -> RequestRouter:
        readiness = Readiness(
            self.election, self.job_states, self.peers.contacts, self.machine_types, self.clock
        )
        job_api = JobApi(
            self.settings,
            self.store,
            self.job_states,
            self.machine_types,
            _wall_now,
            JobApiCallbacks(
                readiness.is_state_reachable,
                self.peers.cancellations.announce,
                self.peers.unknown_jobs.report,
                lambda: self.peers.known_faults.affected_peers > 0,
            ),
        )
        return RequestRouter(self.heartbeat_api, job_api, self._create_graph_api(), readiness)

    def _create_graph_api(self) -> GraphApi | None:
        if not self.settings.operator.graphs_enabled:
            return None
        # Imported here so that the modules are loaded only if task graphs are enabled.
        from umberward.graphs.graph_api import GraphApi

        return GraphApi(self.settings, self.store, self.machine_types, _wall_now, self.rng)

    async def run(self) -> None:
        """Run all parts until cancelled."""
        parts = [
            self.server.run,
            Server(self.settings.peer_bind, self.peers.serve, PEER_SOCKETS).run,
            self.election.keep_lease,
            self.election.follow_leader_key,
            self.job_states.run,
            self.state_log.run,
            self.machine_type_loader.run,
            self.peers.run,
            self.peers.delegation.run,
            self.peers.cancellations.run,
            self.peers.unknown_jobs.run,
        ]
        if self.election.build != UNKNOWN_BUILD:
            parts += [self.builds.run, self.peers.monitor.run]
        # The scope must outlive the group: the election in the group spawns the leader's task.
        async with self.leader_tasks, curio.TaskGroup() as group:
            for part in parts:
                await group.spawn(_restart_on_failure, part)

    # ---- leadership --------------------------------------------------------------------

    async def _start_leading(self, fencing_token: FencingToken) -> None:
        """Start the leader's event loop; called when this controller wins the election."""
        await self._stop_leading()
        self.leader_loop = LeaderLoop(
            self.settings,
            self.election,
            self.store,
            self.client,
            self.cloud,
            self.machine_types,
            fencing_token,
            self.rng,
            self.job_states.final_records.get,
            self.peers.contacts.peers_receive_heartbeats,
            self.job_states.revision_before,
            self.peers.snapshots.recent(),
        )
        self.leader_task = await self.leader_tasks.spawn(
            _restart_on_failure, self.leader_loop.serve
        )

    async def _stop_leading(self) -> None:
        """Cancel the leader's event loop, if it is running, without waiting for it to end."""
        if self.leader_task is None:
            return
        log.info("leadership_lost")
        snapshot = self._take_snapshot()
        if snapshot is not None:
            self.peers.snapshots.keep(snapshot)  # this controller may be elected again
        task, self.leader_task, self.leader_loop = self.leader_task, None, None
        await task.cancel(blocking=False)

    def _take_snapshot(self) -> FailoverSnapshot | None:
        """The snapshot for a later leader; None unless this one leads and has loaded the jobs."""
        leader_loop = self.leader_loop
        if leader_loop is None or not leader_loop.scheduler.loaded:
            return None
        return failover_snapshot.take_snapshot(
            leader_loop.scheduler, leader_loop.autoscaler, Instant(self.clock())
        )

    def apply_heartbeat(
        self, header: wire.HeartbeatHeader, body: bytes
    ) -> Awaitable[list[wire.TaskCommand] | None]:
        """Pass a worker's heartbeat to the leader's event loop; call only while there is one.

        Returns the commands for the worker, or None if leadership ends before they are known. Not a
        coroutine function, to avoid the cost of an additional coroutine per heartbeat.
        """
        assert self.leader_loop is not None
        return self.leader_loop.ask(HeartbeatReceived(header, body))

    async def _issue_delegation(self, request: DelegationRequest) -> Delegation | None:
        """A delegation for a peer; None if this controller does not lead or can't give one."""
        if self.leader_loop is None:
            return None
        message = DelegationRequested(*request)
        delegation: Delegation | None = await self.leader_loop.ask(message)
        return delegation

    async def _report_peer_cancellations(self, job_ids: list[JobId]) -> None:
        """Tell the leader's event loop, if any, of cancellations that a peer has confirmed."""
        if self.leader_loop is not None:
            await self.leader_loop.tell(JobsCancelledByPeer(job_ids))

    # ---- connections between the parts -------------------------------------------------

    def _note_unknown_job_known_to_peer(self, job_id: JobId) -> None:
        self.router.job_api.rejections.note_job_known_to_peer(job_id)

    async def _serve_forwarded_heartbeat(self, body: bytes) -> Response:
        return await self.heartbeat_api.serve_forwarded(body)

    def _set_client_name(self, connection: Connection, machine_id: str) -> Awaitable[None]:
        return self.server.set_client_name(connection, machine_id)


def _shared_sockets(process_limit: int) -> SocketBudget:
    """The sockets shared by the public server and the client for workers and peers.

    Each worker and each user holds a connection; the rest is for connections that the controller
    opens.
    """
    available = process_limit - UPSTREAM_SOCKETS - PEER_SOCKETS - RESERVED_SOCKETS
    return SocketBudget(
        max(MIN_SHARED_SOCKETS, available),
        max(MIN_CLIENT_SOCKETS, process_limit // CLIENT_SOCKET_DIVISOR),
    )


def _wall_now() -> WallTime:
    return WallTime(time.time())


async def _restart_on_failure(part: Callable[[], Awaitable[None]]) -> None:
    """Run a part of the controller forever: restart it when it ends, and log its exceptions."""
    while True:
        try:
            await part()
        except curio.CancelledError:
            raise
        except Exception:
            log.exception("part_failed", part=getattr(part, "__qualname__", part))
        await curio.sleep(RESTART_PAUSE_S)
