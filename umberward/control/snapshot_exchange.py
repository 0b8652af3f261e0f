"""Distributes the leader's failover snapshot to the other controllers, which may lead next."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from http import HTTPStatus

from umberward.control.peer_contacts import PEER_TIMEOUT_S
from umberward.control.peer_messages import SNAPSHOT_PATH
from umberward.core.log import logger
from umberward.core.types import Address
from umberward.leader import failover_snapshot
from umberward.leader.failover_snapshot import FailoverSnapshot
from umberward.leader.leader_election import LeaderElection
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError, Response

log = logger(__name__)

FETCH_INTERVAL_S = 2.0  # interval of requests to the leader for its snapshot
ENCODED_SNAPSHOT_TTL_S = 0.9 * FETCH_INTERVAL_S  # an encoded snapshot is served for this long


class SnapshotExchange:
    """Keeps the latest snapshot of the last leader, and serves that of this controller.

    All times are by this process's monotonic clock, in seconds.
    """

    def __init__(
        self,
        addresses: Mapping[str, Address],
        election: LeaderElection,
        client: Client,
        take_own_snapshot: Callable[[], FailoverSnapshot | None],
    ) -> None:
        """Create an exchange with the peers at `addresses`.

        `take_own_snapshot` returns the snapshot of this controller; None if it does not lead.
        """
        self.addresses = addresses
        self.election = election
        self.client = client
        self.clock = election.clock
        self.take_own_snapshot = take_own_snapshot
        self.last_snapshot: FailoverSnapshot | None = None
        self.last_snapshot_at = 0.0  # when it was received, or taken by this controller
        self.encoded = b""
        self.encoded_at = 0.0

    def keep(self, snapshot: FailoverSnapshot) -> None:
        """Keep the snapshot unless there is one of a later leader."""
        if self.last_snapshot is None or snapshot.fencing_token >= self.last_snapshot.fencing_token:
            self.last_snapshot, self.last_snapshot_at = snapshot, self.clock()

    def recent(self) -> tuple[FailoverSnapshot, float] | None:
        """The last leader's snapshot and its age in seconds; None if missing or too old."""
        age_s = self.clock() - self.last_snapshot_at
        if self.last_snapshot is None or age_s > failover_snapshot.MAX_SNAPSHOT_AGE_S:
            return None
        return self.last_snapshot, age_s

    async def fetch(self) -> None:
        """Fetch the leader's snapshot, if another controller leads."""
        address = self.addresses.get(str(self.election.leader))
        if address is None:
            return
        try:
            response = await self.client.request(address, "GET", SNAPSHOT_PATH, b"", PEER_TIMEOUT_S)
        except (RequestNotSentError, NoResponseError) as error:
            log.debug("snapshot_not_available", error=error)
            return
        if response.status != HTTPStatus.OK:
            return
        snapshot = failover_snapshot.decode_snapshot(response.body)
        if snapshot is not None:
            self.keep(snapshot)

    def serve(self) -> Response:
        """Respond with this controller's snapshot, or 404 if it has none."""
        if self.clock() - self.encoded_at > ENCODED_SNAPSHOT_TTL_S:
            snapshot = self.take_own_snapshot()
            if snapshot is None:
                return Response(404)
            self.encoded = failover_snapshot.encode_snapshot(snapshot)
            self.encoded_at = self.clock()
        return Response(200, self.encoded)
