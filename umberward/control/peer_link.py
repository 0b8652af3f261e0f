"""What controllers tell each other: their contact with the state service, and hints."""

from __future__ import annotations

import math
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple
from urllib.parse import parse_qsl

import cbor2
import curio
import msgspec

from umberward.core.log import logger
from umberward.core.settings import Settings
from umberward.core.types import (
    Address,
    ControllerName,
    FencingToken,
    Instant,
    JobId,
    MachineId,
    parse_job_id,
)
from umberward.leader import failover_snapshot
from umberward.leader.failover_snapshot import FailoverSnapshot
from umberward.leader.leader_election import LeaderElection
from umberward.protocol.http import Client, NoResponseError, Request, RequestNotSentError, Response
from umberward.scheduling.lease_delegation import Delegate, Delegation

log = logger(__name__)

STATE_CONTACT_TIMEOUT_S = (
    2.5  # without the state service for so long, a node asks whether others have it
)
SNAPSHOT_INTERVAL_S = 2.0  # how often the leader is asked for what it has learnt
DELEGATION_INTERVAL_S = 1.0  # how often the leader is asked for a loan of our zone's machines
CONTACT_VALID_S = 3.0  # for so long the others' word is believed
FORWARD_TIMEOUT_S = 1.5  # for so long a report is carried: its worker waits 4 s for an answer
FORWARD_RETRY_S = 2.0  # for so long none is carried after one that was not answered
MAX_FORWARDED = 16  # reports on their way to the leader
ANNOUNCE_INTERVAL_S = 0.1  # how often the others are told of cancellations
MAX_ANNOUNCED = 500
PEER_TIMEOUT_S = 0.5  # a silent peer must not keep the others waiting


class PeerContact(NamedTuple):
    """What another controller said at `at`, all in seconds."""

    received_at: float
    contact_age: float  # how long ago the state service had granted its lease
    heartbeat_age: float  # how long ago a worker had reported to it
    leader: ControllerName | None  # as it knew


class CancelledJobs(msgspec.Struct):
    """What one controller tells the others when users were told that these jobs are cancelled."""

    sender: str = msgspec.field(name="from")
    cancelled: list[str] = []


class PeerLink:
    """`told` gives what this controller has learnt itself, if it leads."""

    def __init__(
        self,
        settings: Settings,
        membership: LeaderElection,
        client: Client,
        rng: random.Random,
        told: Callable[[], FailoverSnapshot | None],
        lend: Callable[[ControllerName, int, bool], Awaitable[Delegation | None]],
        answer: Callable[[bytes], Awaitable[Response]],
        cancelled: Callable[[list[JobId]], Awaitable[None]],
    ) -> None:
        self.addresses = settings.peers
        self.membership = membership
        self.clock = membership.clock
        self.client = client
        self.rng = rng
        self.take_own_snapshot = told
        self.delegate = lend
        self.answer_forwarded = answer  # a report that another controller has carried to us
        self.on_cancelled = cancelled  # hears which jobs others have told their users are cancelled
        self.unannounced: dict[JobId, None] = {}
        self.logged_rejections: set[str] = set()  # why messages were: each reason is logged once
        self.forward_not_before = -math.inf
        self.forward_slots = curio.Semaphore(MAX_FORWARDED)
        platform = settings.platform
        self.name = platform.label
        self.delegate_role = Delegate(platform.cluster.workers)
        self.answering = False  # workers of our zone, in place of the leader
        self.multiple_zones = len(platform.cluster.zones) > 1  # else no zone can be cut off
        self.contacts: dict[str, PeerContact] = {}
        self.contact_asked_since = math.inf  # since when the others are asked for their contact
        self.heartbeat_at = -math.inf  # when a worker last reported to us
        # A worker turns to the next controller 1 s after its last one has left it without an
        # answer for 4 s, and there are as many of them as report within this.
        self.heartbeat_recency_s = 2.0 + 1.25 * platform.cluster.workers.report_s
        self.latest_snapshot: FailoverSnapshot | None = None  # of whoever led last
        self.latest_snapshot_at = 0.0
        self.encoded_snapshot = b""  # our own, as sent
        self.encoded_at = 0.0

    async def run(self) -> None:
        asked = 0.0
        while True:
            await curio.sleep(self.rng.uniform(0.8, 1.2))
            now = self.clock()
            if now - self.membership.renewed_at >= STATE_CONTACT_TIMEOUT_S:
                # Only who lacks the state service needs to know.
                self.contact_asked_since = min(self.contact_asked_since, now)
                await self._refresh_contacts()
                continue
            self.contact_asked_since = math.inf
            if now - asked >= SNAPSHOT_INTERVAL_S:
                asked = now
                await self._fetch_snapshot()

    async def request_delegations(self) -> None:
        """Keep a loan of our zone's machines at hand, for the case that the zone is cut off."""
        while True:
            await curio.sleep(DELEGATION_INTERVAL_S * self.rng.uniform(0.9, 1.1))
            address = self.addresses.get(str(self.membership.leader))
            if address is None or not self.multiple_zones:
                continue
            borrower = self.delegate_role
            target = (
                f"/peer/loan?for={self.name}&seen={borrower.serial}&idle={int(borrower.unused)}"
            )
            asked = Instant(self.clock())
            try:
                response = await self.client.request(address, "GET", target, b"", PEER_TIMEOUT_S)
                if response.status == 200:
                    loan = msgspec.convert(cbor2.loads(response.body), Delegation)
                    borrower.accept(loan, asked, Instant(self.clock()))
            except (
                RequestNotSentError,
                NoResponseError,
                msgspec.ValidationError,
                cbor2.CBORDecodeError,
            ) as error:
                log.debug("delegation_not_available", error=error)

    def announce(self, id: JobId) -> None:
        """A user was told that the job is cancelled: whoever still tends its tasks, without the
        state service, may stop them earlier than its own bound would."""
        self.unannounced[id] = None

    async def announce_cancellations(self) -> None:
        """Once to each; what gets lost costs nothing but time, as no bound counts on it."""
        while True:
            await curio.sleep(ANNOUNCE_INTERVAL_S)
            ids = list(self.unannounced)[:MAX_ANNOUNCED]
            if not ids:
                continue
            for id in ids:
                del self.unannounced[id]
            body = cbor2.dumps({"from": self.name, "cancelled": ids})
            for address in self.addresses.values():
                await curio.spawn(self._announce, address, body, daemon=True)

    async def _announce(self, address: Address, body: bytes) -> None:
        try:
            await self.client.request(address, "POST", "/peer/cancelled", body, PEER_TIMEOUT_S)
        except (RequestNotSentError, NoResponseError) as error:
            log.debug("cancellations_not_announced", error=error)

    async def _receive_cancellations(self, body: bytes) -> Response:
        try:
            told = msgspec.convert(cbor2.loads(body), CancelledJobs)
            ids = [id for id in map(parse_job_id, told.cancelled) if id is not None]
            if len(ids) < len(told.cancelled) or told.sender not in self.addresses:
                raise ValueError("not the ids of jobs, or not from another controller")
        except (msgspec.ValidationError, cbor2.CBORDecodeError, ValueError) as error:
            if (
                str(error) not in self.logged_rejections
                and len(self.logged_rejections) < MAX_ANNOUNCED
            ):
                self.logged_rejections.add(str(error))
                log.warning("message_refused", path="/peer/cancelled", error=error)
            return Response(400)
        await self.on_cancelled(ids)
        return Response(200)

    def may_answer_worker(self, host: str, epoch: int) -> bool:
        """Whether we may keep this worker's session alive, cut off as we are from the others."""
        now = Instant(self.clock())
        if now - self.membership.renewed_at < STATE_CONTACT_TIMEOUT_S:
            self.answering = False
            return False
        may = self.delegate_role.may_answer(MachineId(host), epoch, now)
        if may and not self.answering:
            self.answering = True
            log.warning(
                "delegated_lease_renewal",
                machines=len(self.delegate_role.machine_ids),
                known_age_s=round(now - self.delegate_role.jobs_read_at, 1),
            )
        return may

    def others_have_contact(self) -> bool:
        now = self.clock()
        return any(
            now - told.received_at < CONTACT_VALID_S and told.contact_age < STATE_CONTACT_TIMEOUT_S
            for told in self.contacts.values()
        )

    def is_isolated(self) -> bool:
        """Whether no other controller has answered of late, though there are some: together with
        the state service's silence that means that it is us who are cut off."""
        now = self.clock()
        if not self.addresses or now - self.contact_asked_since < STATE_CONTACT_TIMEOUT_S:
            return False
        return all(now - told.received_at >= CONTACT_VALID_S for told in self.contacts.values())

    def leader_for(self, epoch: int) -> ControllerName | None:
        """Who leads, for a worker that has seen that token; None: it is to look for itself.

        Without the state service we may know only who led before. A worker that was sent there and
        from there to us again would go to and fro between two that do not lead, until its lease
        is over; so others are believed that have the state service, and nobody is named who holds
        a lower token than the worker's.
        """
        leader = self.membership.leader
        now = self.clock()
        if now - self.membership.renewed_at >= STATE_CONTACT_TIMEOUT_S:
            told = [
                told
                for told in self.contacts.values()
                if now - told.received_at < CONTACT_VALID_S
                and told.contact_age < STATE_CONTACT_TIMEOUT_S
            ]
            if told:
                leader = max(told, key=lambda one: one.received_at - one.contact_age).leader
            elif epoch > self.membership.leader_version:
                leader = None
        return None if leader == self.name else leader

    async def forward_heartbeat(self, leader: ControllerName, report: bytes) -> Response | None:
        """The leader's answer to a worker's report; None: it was not reached, or does not lead."""
        address = self.addresses.get(leader)
        # A leader that is gone must not hold up all that still turn to it.
        if address is None or self.forward_slots.locked() or self.clock() < self.forward_not_before:
            return None
        async with self.forward_slots:
            try:
                response = await self.client.request(
                    address, "POST", "/peer/hello", report, FORWARD_TIMEOUT_S
                )
            except (RequestNotSentError, NoResponseError) as error:
                log.debug("heartbeat_not_forwarded", error=error)
                self.forward_not_before = self.clock() + FORWARD_RETRY_S
                return None
        return Response(200, response.body) if response.status == 200 else None

    def keep_snapshot(self, found: FailoverSnapshot) -> None:
        """The newest hints are kept, whoever they come from."""
        if (
            self.latest_snapshot is None
            or found.fencing_token >= self.latest_snapshot.fencing_token
        ):
            self.latest_snapshot, self.latest_snapshot_at = found, self.clock()

    def recent_snapshot(self) -> tuple[FailoverSnapshot, float] | None:
        """What the last leader knew, and how old that is."""
        age = self.clock() - self.latest_snapshot_at
        if self.latest_snapshot is None or age > failover_snapshot.MAX_SNAPSHOT_AGE_S:
            return None
        return self.latest_snapshot, age

    def note_heartbeat(self) -> None:
        """A worker has reported to this controller, whoever answers it."""
        self.heartbeat_at = self.clock()

    async def peers_receive_heartbeats(self) -> bool:
        """Whether a controller that has the state service was reported to by a worker of late.

        A worker that gets no answer from its holder turns to all controllers within a few seconds.
        """
        asked = self.clock()
        await self._refresh_contacts()
        return any(
            told.received_at >= asked
            and told.contact_age < STATE_CONTACT_TIMEOUT_S
            and told.heartbeat_age < self.heartbeat_recency_s
            for told in self.contacts.values()
        )

    async def _refresh_contacts(self) -> None:
        for label, address in self.addresses.items():
            try:
                response = await self.client.request(address, "GET", "/peer", b"", PEER_TIMEOUT_S)
                told = cbor2.loads(response.body)
                self.contacts[label] = PeerContact(
                    self.clock(),
                    float(told["contact_age"]),
                    float(told.get("heard_age", math.inf)),  # earlier versions do not tell
                    None if told["leader"] is None else ControllerName(str(told["leader"])),
                )
                if (
                    self.contacts[label].contact_age < STATE_CONTACT_TIMEOUT_S
                    and told["leader"] != self.name
                ):
                    # Somebody won while the state service was out of our reach.
                    await self.membership.superseded_by(FencingToken(int(told.get("stamp", 0))))
            except (
                RequestNotSentError,
                NoResponseError,
                ValueError,
                KeyError,
                TypeError,
                cbor2.CBORDecodeError,
            ):
                continue

    async def _fetch_snapshot(self) -> None:
        address = self.addresses.get(str(self.membership.leader))
        if address is None:
            return  # nobody leads, or we do
        try:
            response = await self.client.request(address, "GET", "/peer/hints", b"", PEER_TIMEOUT_S)
        except (RequestNotSentError, NoResponseError) as error:
            log.debug("snapshot_not_available", error=error)
            return
        found = failover_snapshot.decode_snapshot(response.body) if response.status == 200 else None
        if found is not None:
            self.keep_snapshot(found)

    async def serve(self, request: Request) -> Response:
        if request.path == "/peer":
            told = {
                "label": self.membership.name,
                "contact_age": self.clock() - self.membership.renewed_at,
                "leader": self.membership.leader,
                "stamp": self.membership.leader_version,
                "heard_age": self.clock() - self.heartbeat_at,
            }
            return Response(200, cbor2.dumps(told))
        if request.path == "/peer/hello" and request.method == "POST":
            return await self.answer_forwarded(request.body)
        if request.path == "/peer/cancelled" and request.method == "POST":
            return await self._receive_cancellations(request.body)
        if request.path == "/peer/loan" and self.membership.is_leader():
            return await self._serve_delegation(request.query)
        if request.path == "/peer/hints" and self.membership.is_leader():
            # Made once for all that ask at about the same time.
            if self.clock() - self.encoded_at > 0.9 * SNAPSHOT_INTERVAL_S:
                found = self.take_own_snapshot()
                if found is None:
                    return Response(404)
                self.encoded_snapshot, self.encoded_at = (
                    failover_snapshot.encode_snapshot(found),
                    self.clock(),
                )
            return Response(200, self.encoded_snapshot)
        return Response(404)

    async def _serve_delegation(self, query: str) -> Response:
        fields = dict(parse_qsl(query))
        try:
            borrower, seen = ControllerName(fields["for"]), int(fields["seen"])
        except (KeyError, ValueError):
            return Response(400)
        loan = await self.delegate(borrower, seen, fields.get("idle") == "1")
        if loan is None:
            return Response(404)
        return Response(200, cbor2.dumps(msgspec.to_builtins(loan)))
