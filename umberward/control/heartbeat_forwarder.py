"""Forwards heartbeats of workers to a leader that they can't reach directly."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from http import HTTPStatus

import curio

from umberward.control.peer_messages import FORWARDED_HEARTBEAT_PATH
from umberward.core.log import logger
from umberward.core.types import Address, ControllerName
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError, Response

log = logger(__name__)

FORWARD_TIMEOUT_S = 1.5  # the worker waits 4 s for its response
RETRY_PAUSE_S = 2.0  # nothing is forwarded for this long after a failed forward
MAX_IN_FLIGHT = 16


class HeartbeatForwarder:
    """Forwards heartbeats and limits how many are in flight."""

    def __init__(
        self, addresses: Mapping[str, Address], client: Client, clock: Callable[[], float]
    ) -> None:
        """Create a forwarder to the peers at `addresses`; `clock` is monotonic, in seconds."""
        self.addresses = addresses
        self.client = client
        self.clock = clock
        self.inflight_limit = curio.Semaphore(MAX_IN_FLIGHT)
        self.retry_not_before = -math.inf

    async def forward(self, leader: ControllerName, body: bytes) -> Response | None:
        """The leader's response to a heartbeat; None if it is unreachable or does not lead."""
        address = self.addresses.get(leader)
        # While the leader does not respond, do not let every worker's heartbeat wait for it.
        if address is None or self.inflight_limit.locked() or self.clock() < self.retry_not_before:
            return None
        async with self.inflight_limit:
            try:
                response = await self.client.request(
                    address, "POST", FORWARDED_HEARTBEAT_PATH, body, FORWARD_TIMEOUT_S
                )
            except (RequestNotSentError, NoResponseError) as error:
                log.debug("heartbeat_not_forwarded", error=error)
                self.retry_not_before = self.clock() + RETRY_PAUSE_S
                return None
        return Response(200, response.body) if response.status == HTTPStatus.OK else None
