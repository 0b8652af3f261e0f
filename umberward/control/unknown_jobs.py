"""Tells the peers which jobs this controller called unknown, so that a wrong answer shows in logs.

An accepted job must never be answered with 404. If a peer knows the job, both controllers log it,
so that the loss of one log does not hide which build gave the answer. Nothing relies on these
messages, so they are never retried.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus

import curio

from umberward.control import peer_messages
from umberward.control.peer_contacts import PEER_TIMEOUT_S
from umberward.control.peer_messages import (
    UNKNOWN_JOBS_PATH,
    InvalidPeerMessageError,
    KnownJobs,
    UnknownJobs,
)
from umberward.core.log import logger
from umberward.core.rate_limited_log import RateLimitedLog
from umberward.core.tasks import TaskScope
from umberward.core.types import Address, JobId, parse_job_id
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError, Response

log = logger(__name__)

SEND_INTERVAL_S = 0.1
MAX_JOBS_PER_MESSAGE = 100  # further jobs of an interval are not told


@dataclass(frozen=True)
class WrongAnswerCallbacks:
    """Called when an accepted job was called unknown.

    `by_peer(peer)`: by a peer, of a job that this controller knows; `by_this_controller(job_id)`:
    by this controller, of a job that a peer knows.
    """

    by_peer: Callable[[str], None] = lambda _: None
    by_this_controller: Callable[[JobId], None] = lambda _: None


class UnknownJobReporter:
    """Sends the ids answered with 404 to each peer once, and compares those of peers."""

    def __init__(
        self,
        name: str,
        build: Callable[[], str],
        addresses: Mapping[str, Address],
        client: Client,
        known_phase: Callable[[JobId], str | None],
        on_wrong_answer: WrongAnswerCallbacks,
    ) -> None:
        """Create the reporter of the controller `name`.

        `build` returns the build of this process; `known_phase(job_id)` returns what this
        controller has read of the job, without a new read; None: nothing.
        """
        self.name = name
        self.build = build
        self.addresses = addresses
        self.client = client
        self.known_phase = known_phase
        self.on_wrong_answer = on_wrong_answer
        self.log = RateLimitedLog(log)
        self._unsent: dict[JobId, None] = {}  # an ordered set

    def report(self, job_id: JobId) -> None:
        """Queue a job that a user was told is unknown."""
        if len(self._unsent) < MAX_JOBS_PER_MESSAGE:
            self._unsent[job_id] = None

    async def run(self) -> None:
        """Send the queued jobs to the peers periodically, until cancelled."""
        async with TaskScope() as scope:
            while True:
                await curio.sleep(SEND_INTERVAL_S)
                if not self._unsent:
                    continue
                job_ids, self._unsent = [*self._unsent], {}
                body = peer_messages.encode(UnknownJobs(self.name, self.build(), [*job_ids]))
                for peer, address in self.addresses.items():
                    await scope.spawn(self._send, peer, address, body)

    async def _send(self, peer: str, address: Address, body: bytes) -> None:
        try:
            response = await self.client.request(
                address, "POST", UNKNOWN_JOBS_PATH, body, PEER_TIMEOUT_S
            )
            if response.status != HTTPStatus.OK:
                return  # a peer of an earlier version
            known = peer_messages.decode(response.body, KnownJobs).known
        except (RequestNotSentError, NoResponseError, InvalidPeerMessageError) as error:
            log.debug("unknown_jobs_not_told", peer=peer, error=error)
            return
        for job_id, phase in known.items():
            self.log.info("unknown_job_known_to_peer", job=job_id, peer=peer, phase=phase)
            self.on_wrong_answer.by_this_controller(JobId(job_id))

    def receive(self, body: bytes) -> Response:
        """Answer a peer's message with the jobs among its that are known here; 400 if invalid."""
        try:
            message = peer_messages.decode(body, UnknownJobs)
        except InvalidPeerMessageError:
            return Response(400)
        known: dict[str, str] = {}
        for job_id in map(parse_job_id, message.jobs[:MAX_JOBS_PER_MESSAGE]):
            phase = None if job_id is None else self.known_phase(job_id)
            if job_id is None or phase is None:
                continue
            known[job_id] = phase
            self.log.info(
                "peer_called_job_unknown",
                job=job_id,
                peer=message.sender,
                build=message.build,
                phase=phase,
            )
        if known:
            self.on_wrong_answer.by_peer(message.sender)
        return Response(200, peer_messages.encode(KnownJobs(known)))
