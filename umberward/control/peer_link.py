"""The messages that this controller exchanges with its peers, the other controllers."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio

from umberward.control import peer_messages
from umberward.control.cancellation_announcer import CancellationAnnouncer
from umberward.control.heartbeat_forwarder import HeartbeatForwarder
from umberward.control.known_fault_log import KnownFaultLog
from umberward.control.peer_contacts import PeerContacts
from umberward.control.peer_delegation import PeerDelegation
from umberward.control.peer_messages import DelegationRequest, InvalidPeerMessageError
from umberward.control.peer_monitor import PeerMonitor
from umberward.control.snapshot_exchange import FETCH_INTERVAL_S, SnapshotExchange
from umberward.control.unknown_jobs import UnknownJobReporter, WrongAnswerCallbacks
from umberward.core.settings import Settings
from umberward.core.types import JobId
from umberward.leader.failover_snapshot import FailoverSnapshot
from umberward.leader.leader_election import LeaderElection
from umberward.protocol.http import Client, Request, Response
from umberward.scheduling.sessions.lease_delegation import Delegation

POLL_PAUSE_RANGE_S = (0.8, 1.2)  # range of the random pause between two polls of the peers


@dataclass(frozen=True)
class PeerCallbacks:
    """Callbacks for requests of peers that other parts of this controller must answer.

    `take_snapshot` returns the snapshot of a leader, and `issue_delegation` answers a request for a
    delegation; both return None if this controller does not lead. `answer_heartbeat` answers a
    heartbeat forwarded by a peer. `on_cancelled` is called with jobs whose cancellation a peer has
    announced. `known_phase` returns what this controller has read of a job, or None.
    `on_unknown_job_known_to_peer` is called with a job that this controller has called unknown.
    """

    take_snapshot: Callable[[], FailoverSnapshot | None]
    issue_delegation: Callable[[DelegationRequest], Awaitable[Delegation | None]]
    answer_heartbeat: Callable[[bytes], Awaitable[Response]]
    on_cancelled: Callable[[list[JobId]], Awaitable[None]]
    known_phase: Callable[[JobId], str | None] = lambda _: None
    on_unknown_job_known_to_peer: Callable[[JobId], None] = lambda _: None


class PeerLink:
    """Owns the parts that exchange messages with peers, and serves the requests of peers."""

    def __init__(
        self,
        settings: Settings,
        election: LeaderElection,
        client: Client,
        rng: random.Random,
        callbacks: PeerCallbacks,
    ) -> None:
        """Create all parts; `client` sends their requests and `rng` randomizes their pauses."""
        addresses = settings.peers
        self.election = election
        self.clock = election.clock
        self.rng = rng
        self.callbacks = callbacks
        self.contacts = PeerContacts(settings, election, client)
        self.known_faults = KnownFaultLog(addresses)
        self.monitor = PeerMonitor(
            settings.platform.label,
            lambda: election.build,
            addresses,
            client,
            election.clock,
            self.known_faults,
        )
        self.forwarder = HeartbeatForwarder(addresses, client, election.clock)
        self.delegation = PeerDelegation(settings, self.contacts, client, rng)
        self.cancellations = CancellationAnnouncer(
            settings.platform.label, addresses, client, callbacks.on_cancelled
        )
        self.unknown_jobs = UnknownJobReporter(
            settings.platform.label,
            lambda: election.build,
            addresses,
            client,
            callbacks.known_phase,
            WrongAnswerCallbacks(
                self.known_faults.note_wrong_answer, callbacks.on_unknown_job_known_to_peer
            ),
        )
        self.snapshots = SnapshotExchange(addresses, election, client, callbacks.take_snapshot)

    async def run(self) -> None:
        """Query the peers' status or fetch the leader's snapshot periodically, until cancelled.

        The status is queried while this controller is cut off from the state service, and the
        snapshot is fetched otherwise.
        """
        fetched_at = 0.0
        while True:
            await curio.sleep(self.rng.uniform(*POLL_PAUSE_RANGE_S))
            now = self.clock()
            if self.contacts.lacks_state_contact():
                await self.contacts.refresh_while_cut_off()
                continue
            self.contacts.record_state_contact()
            if now - fetched_at >= FETCH_INTERVAL_S:
                fetched_at = now
                await self.snapshots.fetch()

    async def serve(self, request: Request) -> Response:
        """Answer a request of a peer; 404 for an unknown path, or one that only a leader serves."""
        path = request.path
        if path == peer_messages.STATUS_PATH:
            status = self.contacts.own_status(self.monitor.fault_history)
            return Response(200, peer_messages.encode(status))
        if path == peer_messages.FORWARDED_HEARTBEAT_PATH and request.method == "POST":
            return await self.callbacks.answer_heartbeat(request.body)
        if path == peer_messages.CANCELLATIONS_PATH and request.method == "POST":
            return await self.cancellations.receive(request.body)
        if path == peer_messages.UNKNOWN_JOBS_PATH and request.method == "POST":
            return self.unknown_jobs.receive(request.body)
        if self.election.is_leader():
            return await self._serve_as_leader(request)
        return Response(404)

    async def _serve_as_leader(self, request: Request) -> Response:
        if request.path == peer_messages.DELEGATION_PATH:
            return await self._serve_delegation(request.query)
        if request.path == peer_messages.SNAPSHOT_PATH:
            return self.snapshots.serve()
        return Response(404)

    async def _serve_delegation(self, query: str) -> Response:
        try:
            request = DelegationRequest.from_query(query)
        except InvalidPeerMessageError:
            return Response(400)
        delegation = await self.callbacks.issue_delegation(request)
        if delegation is None:
            return Response(404)
        return Response(200, peer_messages.encode(delegation))
