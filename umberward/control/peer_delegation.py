"""Obtains delegations of lease renewal from the leader, and uses them in a zone partition.

The rules and their reasons are explained in umberward.scheduling.sessions.lease_delegation.
"""

from __future__ import annotations

import random
from http import HTTPStatus

import curio

from umberward.control import peer_messages
from umberward.control.peer_contacts import PEER_TIMEOUT_S, PeerContacts
from umberward.control.peer_messages import DelegationRequest, InvalidPeerMessageError
from umberward.core.log import logger
from umberward.core.settings import Settings
from umberward.core.types import Address, ControllerName, Instant, MachineId
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError
from umberward.scheduling.sessions.lease_delegation import Delegate, Delegation

log = logger(__name__)

REQUEST_INTERVAL_S = 1.0  # interval of requests to the leader for a delegation
INTERVAL_JITTER = (0.9, 1.1)  # range of random factors applied to the interval


class PeerDelegation:
    """Requests and uses delegations for the machines of this controller's own zone."""

    def __init__(
        self, settings: Settings, contacts: PeerContacts, client: Client, rng: random.Random
    ) -> None:
        """Create a delegate without a delegation; `client` sends the requests to the leader."""
        cluster = settings.platform.cluster
        self.name = ControllerName(settings.platform.label)
        self.addresses = settings.peers
        self.contacts = contacts
        self.election = contacts.election
        self.clock = contacts.clock
        self.client = client
        self.rng = rng
        self.delegate = Delegate(cluster.workers)
        self.is_answering = False  # whether it answers workers of the zone in place of the leader
        self.has_multiple_zones = len(cluster.zones) > 1  # otherwise no zone can be cut off

    async def run(self) -> None:
        """Request delegations from the leader periodically, until cancelled."""
        while True:
            await curio.sleep(REQUEST_INTERVAL_S * self.rng.uniform(*INTERVAL_JITTER))
            address = self.addresses.get(str(self.election.leader))
            if address is not None and self.has_multiple_zones:
                await self._request(address)

    async def _request(self, leader: Address) -> None:
        request = DelegationRequest(self.name, self.delegate.serial, self.delegate.unused)
        requested_at = Instant(self.clock())
        try:
            response = await self.client.request(
                leader, "GET", request.to_target(), b"", PEER_TIMEOUT_S
            )
            if response.status == HTTPStatus.OK:
                delegation = peer_messages.decode(response.body, Delegation)
                self.delegate.accept(delegation, requested_at, Instant(self.clock()))
        except (RequestNotSentError, NoResponseError, InvalidPeerMessageError) as error:
            log.debug("delegation_not_available", error=error)

    def may_answer_worker(self, machine_id: MachineId, fencing_token: int) -> bool:
        """Whether this controller may renew the session of a worker with this token.

        It may do so only while it is cut off from the state service and from the leader.
        """
        if not self.contacts.lacks_state_contact():
            self.is_answering = False
            return False
        now = Instant(self.clock())
        may_answer = self.delegate.claim_answer(machine_id, fencing_token, now)
        if may_answer and not self.is_answering:
            self.is_answering = True
            log.warning(
                "delegated_lease_renewal",
                machines=len(self.delegate.machine_ids),
                known_age_s=round(now - self.delegate.jobs_read_requested_at, 1),
            )
        return may_answer
