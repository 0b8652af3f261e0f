"""The peers' contact with the state service and with workers, as last reported by them."""

from __future__ import annotations

import math
from typing import NamedTuple

import msgspec

from umberward.control import peer_messages
from umberward.control.fault_watch import STATUS_TIMEOUT_S
from umberward.control.known_fault_history import KnownFaultHistory
from umberward.control.peer_messages import STATUS_PATH, InvalidPeerMessageError, PeerStatus
from umberward.core.build_identity import UNKNOWN_BUILD
from umberward.core.settings import Settings
from umberward.core.types import ControllerName, FencingToken
from umberward.leader.leader_election import LeaderElection
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError

# A controller whose latest granted lease renewal was sent longer ago than this counts as cut off
# from the state service.
STATE_CONTACT_TIMEOUT_S = 2.5
CONTACT_VALID_S = 3.0  # maximum age of a peer's status
PEER_TIMEOUT_S = STATUS_TIMEOUT_S
# A worker whose heartbeat has had no response for 4 s tries the next controller 1 s later. A peer
# counts as receiving heartbeats if one has arrived within this base plus the heartbeat interval,
# multiplied by the factor as a margin.
HEARTBEAT_RECENCY_BASE_S = 2.0
HEARTBEAT_INTERVAL_FACTOR = 1.25


class ReceivedStatus(NamedTuple):
    """The status of a peer, received at `received_at` by this controller's monotonic clock."""

    received_at: float
    state_contact_age_s: (
        float  # seconds since it sent its latest granted lease renewal, at that time
    )
    heartbeat_age_s: float  # seconds since it received a worker's heartbeat, at that time
    leader: ControllerName | None  # the leader known to the peer
    newest_token: int = 0  # the highest fencing token that it may use; 0: it does not lead

    @property
    def has_state_contact(self) -> bool:
        """Whether the peer was in contact with the state service."""
        return self.state_contact_age_s < STATE_CONTACT_TIMEOUT_S

    def is_valid(self, now: float) -> bool:
        """Whether the status is recent enough to be used."""
        return now - self.received_at < CONTACT_VALID_S


class PeerContacts:
    """The latest status of each peer.

    Peers are queried only while this controller has no contact with the state service, or while it
    leads but receives no heartbeats. All times are by its monotonic clock, in seconds.
    """

    def __init__(self, settings: Settings, election: LeaderElection, client: Client) -> None:
        """Create an empty table; `client` sends the requests to peers."""
        self.name = settings.platform.label
        self.addresses = settings.peers
        self.election = election
        self.client = client
        self.clock = election.clock
        self.started_at = self.clock()
        self.contacts_by_peer: dict[str, ReceivedStatus] = {}
        # When peers were first queried while this controller was cut off; infinity: it is not.
        self.cut_off_since = math.inf
        self.heartbeat_at = -math.inf  # when a worker last sent a heartbeat to this controller
        heartbeat_interval_s = settings.platform.cluster.workers.report_s
        self.heartbeat_recency_s = (
            HEARTBEAT_RECENCY_BASE_S + HEARTBEAT_INTERVAL_FACTOR * heartbeat_interval_s
        )

    # ---- this controller ---------------------------------------------------------------

    def lacks_state_contact(self) -> bool:
        """Whether no recently sent lease renewal of this controller was granted."""
        return self.clock() - self.election.renewal_sent_at >= STATE_CONTACT_TIMEOUT_S

    def record_heartbeat(self) -> None:
        """Record that a worker has sent a heartbeat to this controller, whoever answers it."""
        self.heartbeat_at = self.clock()

    def own_status(self, fault_history: KnownFaultHistory | None = None) -> PeerStatus:
        """This controller's status, as reported to peers, with what it knows of faulty peers."""
        watched_s = None if fault_history is None else fault_history.watch.watched_s()
        fault_sightings = [] if fault_history is None else fault_history.reports()
        now = self.clock()
        build = self.election.build
        is_known = build != UNKNOWN_BUILD
        newest_token = self.election.fencing_token
        return PeerStatus(
            name=self.election.name,
            state_contact_age_s=now - self.election.renewal_sent_at,
            leader=self.election.leader,
            term=self.election.term,
            newest_token=msgspec.UNSET if newest_token is None else newest_token,
            heartbeat_age_s=now - self.heartbeat_at,
            build=build if is_known else msgspec.UNSET,
            uptime_s=now - self.started_at if is_known else msgspec.UNSET,
            fault_sightings=fault_sightings or msgspec.UNSET,
            watched_s=msgspec.UNSET if watched_s is None else watched_s,
        )

    # ---- the peers ---------------------------------------------------------------------

    async def refresh_while_cut_off(self) -> None:
        """Query all peers, and record when this began."""
        self.cut_off_since = min(self.cut_off_since, self.clock())
        await self.refresh()

    def record_state_contact(self) -> None:
        """Record contact with the state service: peers need not be queried."""
        self.cut_off_since = math.inf

    async def refresh(self) -> None:
        """Query the status of all peers, one after another."""
        for peer, address in self.addresses.items():
            try:
                response = await self.client.request(
                    address, "GET", STATUS_PATH, b"", PEER_TIMEOUT_S
                )
                status = peer_messages.decode(response.body, PeerStatus)
            except (RequestNotSentError, NoResponseError, InvalidPeerMessageError):
                continue
            contact = ReceivedStatus(
                self.clock(),
                status.state_contact_age_s,
                status.heartbeat_age_s,
                status.leader,
                status.token_or_zero,
            )
            self.contacts_by_peer[peer] = contact
            if contact.has_state_contact and status.leader != self.name:
                # Another controller may have been elected while this one was cut off.
                await self.election.step_down_if_superseded(FencingToken(status.term))

    def _valid_contacts_with_state(self) -> list[ReceivedStatus]:
        now = self.clock()
        return [
            contact
            for contact in self.contacts_by_peer.values()
            if contact.is_valid(now) and contact.has_state_contact
        ]

    def peers_have_state_contact(self) -> bool:
        """Whether a peer with a valid status is in contact with the state service."""
        return bool(self._valid_contacts_with_state())

    def is_isolated(self) -> bool:
        """Whether there are peers, all have been queried, and none has a valid status.

        If the state service does not respond either, it is this controller that is cut off.
        """
        now = self.clock()
        if not self.addresses or now - self.cut_off_since < STATE_CONTACT_TIMEOUT_S:
            return False
        return not any(contact.is_valid(now) for contact in self.contacts_by_peer.values())

    def leader_for(self, fencing_token: int) -> ControllerName | None:
        """The leader to redirect a worker with this token to; None if it must find one by itself.

        A controller without contact with the state service may only know an earlier leader. If that
        one redirects the worker back here, the worker alternates between two controllers that do
        not lead until its lease expires. Therefore peers in contact with the state service take
        precedence, and a leader whose tokens are all below the worker's is never returned.
        """
        leader = self.election.leader
        if self.lacks_state_contact():
            contacts = self._valid_contacts_with_state()
            if contacts:
                leader = max(
                    contacts, key=lambda contact: contact.received_at - contact.state_contact_age_s
                ).leader
            elif fencing_token > self._newest_token_of(leader):
                leader = None
        return None if leader == self.name else leader

    def _newest_token_of(self, leader: ControllerName | None) -> int:
        """The highest fencing token that the leader known here is known to use."""
        contact = self.contacts_by_peer.get(str(leader))
        if contact is None or not contact.is_valid(self.clock()):
            return self.election.term
        return max(self.election.term, contact.newest_token)

    async def peers_receive_heartbeats(self) -> bool:
        """Query all peers: whether one in contact with the state service receives heartbeats.

        A worker that gets no response from the leader tries all controllers within a few seconds.
        """
        asked_at = self.clock()
        await self.refresh()
        return any(
            contact.received_at >= asked_at
            and contact.has_state_contact
            and contact.heartbeat_age_s < self.heartbeat_recency_s
            for contact in self.contacts_by_peer.values()
        )
