"""What this controller knows of its peers' contact with the state service and with workers."""

from __future__ import annotations

import math
from typing import NamedTuple

from umberward.control import peer_messages
from umberward.control.peer_messages import STATUS_PATH, InvalidPeerMessageError, PeerStatus
from umberward.core.settings import Settings
from umberward.core.types import ControllerName, FencingToken
from umberward.leader.leader_election import LeaderElection
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError

# A controller that the state service has not answered for this long counts as cut off from it.
STATE_CONTACT_TIMEOUT_S = 2.5
CONTACT_VALID_S = 3.0  # how long a peer's status is believed
PEER_TIMEOUT_S = 0.5  # a silent peer must not delay the requests to the others
# A worker turns to the next controller 1 s after the last one has left it unanswered for 4 s. As
# many do so as send a heartbeat within this base, plus the interval of heartbeats with a margin.
HEARTBEAT_RECENCY_BASE_S = 2.0
HEARTBEAT_INTERVAL_FACTOR = 1.25


class PeerContact(NamedTuple):
    """The status of another controller, received at `received_at` by this one's steady clock."""

    received_at: float
    contact_age_s: float  # seconds since the state service had renewed its lease
    heartbeat_age_s: float  # seconds since it had received a worker's heartbeat
    leader: ControllerName | None  # the leader, as far as it knew

    @property
    def has_state_contact(self) -> bool:
        """Whether the peer could reach the state service."""
        return self.contact_age_s < STATE_CONTACT_TIMEOUT_S

    def is_valid(self, now: float) -> bool:
        """Whether the status is recent enough to be believed."""
        return now - self.received_at < CONTACT_VALID_S


class PeerContacts:
    """The latest status of each peer.

    Peers are asked only while this controller lacks the state service, or as the leader receives
    no heartbeats. All times are of its own steady clock, in seconds.
    """

    def __init__(self, settings: Settings, election: LeaderElection, client: Client) -> None:
        """Create a table without any status; `client` sends the requests to peers."""
        self.name = settings.platform.label
        self.addresses = settings.peers
        self.election = election
        self.client = client
        self.clock = election.clock
        self.by_peer: dict[str, PeerContact] = {}
        self.asked_since = math.inf  # since when peers are asked, as the state service is away
        self.heartbeat_at = -math.inf  # when a worker last sent this controller a heartbeat
        heartbeat_interval_s = settings.platform.cluster.workers.report_s
        self.heartbeat_recency_s = (
            HEARTBEAT_RECENCY_BASE_S + HEARTBEAT_INTERVAL_FACTOR * heartbeat_interval_s
        )

    # ---- this controller ---------------------------------------------------------------

    def lacks_state_contact(self) -> bool:
        """Whether this controller has not heard from the state service within the timeout."""
        return self.clock() - self.election.renewed_at >= STATE_CONTACT_TIMEOUT_S

    def note_heartbeat(self) -> None:
        """Note that a worker has sent this controller a heartbeat, whoever answers it."""
        self.heartbeat_at = self.clock()

    def own_status(self) -> PeerStatus:
        """What this controller answers to a peer that asks."""
        now = self.clock()
        return PeerStatus(
            name=self.election.name,
            contact_age_s=now - self.election.renewed_at,
            leader=self.election.leader,
            leader_version=self.election.leader_version,
            heartbeat_age_s=now - self.heartbeat_at,
        )

    # ---- the peers ---------------------------------------------------------------------

    async def refresh_without_state(self) -> None:
        """Ask all peers, and note since when they are asked."""
        self.asked_since = min(self.asked_since, self.clock())
        await self.refresh()

    def note_state_contact(self) -> None:
        """Note that this controller reaches the state service, so peers need not be asked."""
        self.asked_since = math.inf

    async def refresh(self) -> None:
        """Ask all peers for their status, one after the other."""
        for peer, address in self.addresses.items():
            try:
                response = await self.client.request(
                    address, "GET", STATUS_PATH, b"", PEER_TIMEOUT_S
                )
                status = peer_messages.decode(response.body, PeerStatus)
            except (RequestNotSentError, NoResponseError, InvalidPeerMessageError):
                continue
            contact = PeerContact(
                self.clock(), status.contact_age_s, status.heartbeat_age_s, status.leader
            )
            self.by_peer[peer] = contact
            if contact.has_state_contact and status.leader != self.name:
                # Another controller may have won while this one lacked the state service.
                await self.election.superseded_by(FencingToken(status.leader_version))

    def _valid_with_state(self) -> list[PeerContact]:
        now = self.clock()
        return [
            contact
            for contact in self.by_peer.values()
            if contact.is_valid(now) and contact.has_state_contact
        ]

    def others_have_contact(self) -> bool:
        """Whether a peer whose status is valid can reach the state service."""
        return bool(self._valid_with_state())

    def is_isolated(self) -> bool:
        """Whether there are peers, all were asked, and none has answered within CONTACT_VALID_S.

        If the state service does not answer either, this controller is the one that is cut off.
        """
        now = self.clock()
        if not self.addresses or now - self.asked_since < STATE_CONTACT_TIMEOUT_S:
            return False
        return not any(contact.is_valid(now) for contact in self.by_peer.values())

    def leader_for(self, fencing_token: int) -> ControllerName | None:
        """The leader to name to a worker that has seen this token; None: it must search itself.

        A controller without the state service may know only an earlier leader. A worker that is
        redirected there, and from there back to this controller, would alternate between two that
        do not lead until its lease expires. Therefore peers that have the state service are
        believed instead, and no leader with a lower token than the worker's is named.
        """
        leader = self.election.leader
        if self.lacks_state_contact():
            contacts = self._valid_with_state()
            if contacts:
                leader = max(contacts, key=lambda one: one.received_at - one.contact_age_s).leader
            elif fencing_token > self.election.leader_version:
                leader = None
        return None if leader == self.name else leader

    async def peers_receive_heartbeats(self) -> bool:
        """Ask all peers whether one that has the state service also receives heartbeats.

        A worker without an answer from the leader turns to all controllers within a few seconds.
        """
        asked_at = self.clock()
        await self.refresh()
        return any(
            contact.received_at >= asked_at
            and contact.has_state_contact
            and contact.heartbeat_age_s < self.heartbeat_recency_s
            for contact in self.by_peer.values()
        )
