"""Announces confirmed cancellations to the other controllers, and receives theirs.

A leader that has lost contact with the state service can then stop the tasks of a cancelled job
before its own time limit does. Nothing relies on these messages, so they are never
retried.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

import curio

from umberward.control import peer_messages
from umberward.control.peer_contacts import PEER_TIMEOUT_S
from umberward.control.peer_messages import (
    CANCELLATIONS_PATH,
    CancelledJobs,
    InvalidPeerMessageError,
)
from umberward.core.log import logger
from umberward.core.tasks import TaskScope
from umberward.core.types import Address, JobId, parse_job_id
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError, Response

log = logger(__name__)

ANNOUNCE_INTERVAL_S = 0.1
MAX_JOBS_PER_MESSAGE = 500
MAX_LOGGED_REJECTIONS = 500  # each reason is logged once; further ones are not logged
INVALID_ANNOUNCEMENT = "a job id is invalid, or the sender is not a known peer"


class CancellationAnnouncer:
    """Collects cancellations and sends them to each peer once."""

    def __init__(
        self,
        name: str,
        addresses: Mapping[str, Address],
        client: Client,
        on_cancelled: Callable[[list[JobId]], Awaitable[None]],
    ) -> None:
        """Create the announcer of the controller `name`.

        `on_cancelled` is called with the jobs that another controller announces.
        """
        self.name = name
        self.addresses = addresses
        self.client = client
        self.on_cancelled = on_cancelled
        self.unannounced: dict[JobId, None] = {}  # an ordered set: oldest cancellations first
        self.logged_rejections: set[str] = set()

    def announce(self, job_id: JobId) -> None:
        """Queue a job whose cancellation was confirmed to its user for the next message."""
        self.unannounced[job_id] = None

    async def run(self) -> None:
        """Send the queued cancellations periodically, until cancelled."""
        async with TaskScope() as scope:
            while True:
                await curio.sleep(ANNOUNCE_INTERVAL_S)
                job_ids = self._take_unannounced()
                if not job_ids:
                    continue
                body = peer_messages.encode(CancelledJobs(self.name, [*job_ids]))
                for address in self.addresses.values():
                    await scope.spawn(self._send, address, body)

    def _take_unannounced(self) -> list[JobId]:
        job_ids = list(self.unannounced)[:MAX_JOBS_PER_MESSAGE]
        for job_id in job_ids:
            del self.unannounced[job_id]
        return job_ids

    async def _send(self, address: Address, body: bytes) -> None:
        try:
            await self.client.request(address, "POST", CANCELLATIONS_PATH, body, PEER_TIMEOUT_S)
        except (RequestNotSentError, NoResponseError) as error:
            log.debug("cancellations_not_announced", error=error)

    async def receive(self, body: bytes) -> Response:
        """Handle a peer's announcement: respond 200, or 400 if it is invalid."""
        try:
            job_ids = self._decode(body)
        except InvalidPeerMessageError as error:
            self._log_rejection(str(error))
            return Response(400)
        await self.on_cancelled(job_ids)
        return Response(200)

    def _decode(self, body: bytes) -> list[JobId]:
        message = peer_messages.decode(body, CancelledJobs)
        job_ids = [job_id for job_id in map(parse_job_id, message.cancelled) if job_id is not None]
        if len(job_ids) < len(message.cancelled) or message.sender not in self.addresses:
            raise InvalidPeerMessageError(INVALID_ANNOUNCEMENT)
        return job_ids

    def _log_rejection(self, reason: str) -> None:
        """Log each reason once, so that a faulty peer can't fill the log."""
        if reason in self.logged_rejections or len(self.logged_rejections) >= MAX_LOGGED_REJECTIONS:
            return
        self.logged_rejections.add(reason)
        log.warning("message_refused", path=CANCELLATIONS_PATH, error=reason)
