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

from umberward.control import hints
from umberward.control.hints import Hints
from umberward.control.membership import Membership
from umberward.core.log import logger
from umberward.core.settings import Settings
from umberward.core.types import (
    Address,
    Epoch,
    Instant,
    JobId,
    MachineId,
    NodeName,
    parse_job_id,
)
from umberward.decisions.tending import Borrower, Loan
from umberward.protocol.http import Client, NoAnswer, NotSent, Request, Response

log = logger(__name__)

CONTACT_S = 2.5  # without the state service for so long, a node asks whether others have it
HINTS_S = 2.0  # how often the leader is asked for what it has learnt
BORROW_S = 1.0  # how often the leader is asked for a loan of our zone's machines
TOLD_S = 3.0  # for so long the others' word is believed
CARRY_S = 1.5  # for so long a report is carried: its worker waits 4 s for an answer
CARRY_AGAIN_S = 2.0  # for so long none is carried after one that was not answered
CARRIED_AT_ONCE = 16  # reports on their way to the leader
TELL_S = 0.1  # how often the others are told of cancellations
TOLD_AT_ONCE = 500
TIMEOUT_S = 0.5  # a silent peer must not keep the others waiting


class Told(NamedTuple):
    """What another controller said at `at`, all in seconds."""

    at: float
    contact_age: float  # how long ago the state service had granted its lease
    heard_age: float  # how long ago a worker had reported to it
    leader: NodeName | None  # as it knew


class CancelledJobs(msgspec.Struct):
    """What one controller tells the others when users were told that these jobs are cancelled."""

    sender: str = msgspec.field(name="from")
    cancelled: list[str] = []


class Peers:
    """`told` gives what this controller has learnt itself, if it leads."""

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        client: Client,
        rng: random.Random,
        told: Callable[[], Hints | None],
        lend: Callable[[NodeName, int, bool], Awaitable[Loan | None]],
        answer: Callable[[bytes], Awaitable[Response]],
        cancelled: Callable[[list[JobId]], Awaitable[None]],
    ) -> None:
        self.addresses = settings.peers
        self.membership = membership
        self.clock = membership.clock
        self.client = client
        self.rng = rng
        self.told = told
        self.lend = lend
        self.answer = answer  # a report that another controller has carried to us
        self.cancelled = cancelled  # hears which jobs others have told their users are cancelled
        self.to_tell: dict[JobId, None] = {}
        self.refused: set[str] = set()  # why messages were: each reason is logged once
        self.carry_again = -math.inf
        self.carrying = curio.Semaphore(CARRIED_AT_ONCE)
        platform = settings.platform
        self.me = platform.label
        self.borrower = Borrower(platform.cluster.workers)
        self.answering = False  # workers of our zone, in place of the leader
        self.zoned = len(platform.cluster.zones) > 1  # else no zone can be cut off
        self.contact: dict[str, Told] = {}
        self.asked_since = math.inf  # since when the others are asked for their contact
        self.heard_at = -math.inf  # when a worker last reported to us
        # A worker turns to the next controller 1 s after its last one has left it without an
        # answer for 4 s, and there are as many of them as report within this.
        self.hearing_s = 2.0 + 1.25 * platform.cluster.workers.report_s
        self.latest: Hints | None = None  # of whoever led last
        self.latest_at = 0.0
        self.made = b""  # our own, as sent
        self.made_at = 0.0

    async def run(self) -> None:
        asked = 0.0
        while True:
            await curio.sleep(self.rng.uniform(0.8, 1.2))
            now = self.clock()
            if now - self.membership.good >= CONTACT_S:
                # Only who lacks the state service needs to know.
                self.asked_since = min(self.asked_since, now)
                await self._ask_contact()
                continue
            self.asked_since = math.inf
            if now - asked >= HINTS_S:
                asked = now
                await self._ask_hints()

    async def borrow(self) -> None:
        """Keep a loan of our zone's machines at hand, for the case that the zone is cut off."""
        while True:
            await curio.sleep(BORROW_S * self.rng.uniform(0.9, 1.1))
            address = self.addresses.get(str(self.membership.leader))
            if address is None or not self.zoned:
                continue
            borrower = self.borrower
            target = f"/peer/loan?for={self.me}&seen={borrower.serial}&idle={int(borrower.idle)}"
            asked = Instant(self.clock())
            try:
                response = await self.client.request(address, "GET", target, b"", TIMEOUT_S)
                if response.status == 200:
                    loan = msgspec.convert(cbor2.loads(response.body), Loan)
                    borrower.keep(loan, asked, Instant(self.clock()))
            except (NotSent, NoAnswer, msgspec.ValidationError, cbor2.CBORDecodeError) as error:
                log.debug("loan_not_had", error=error)

    def announce(self, id: JobId) -> None:
        """A user was told that the job is cancelled: whoever still tends its tasks, without the
        state service, may stop them earlier than its own bound would."""
        self.to_tell[id] = None

    async def tell_cancelled(self) -> None:
        """Once to each; what gets lost costs nothing but time, as no bound counts on it."""
        while True:
            await curio.sleep(TELL_S)
            ids = list(self.to_tell)[:TOLD_AT_ONCE]
            if not ids:
                continue
            for id in ids:
                del self.to_tell[id]
            body = cbor2.dumps({"from": self.me, "cancelled": ids})
            for address in self.addresses.values():
                await curio.spawn(self._tell, address, body, daemon=True)

    async def _tell(self, address: Address, body: bytes) -> None:
        try:
            await self.client.request(address, "POST", "/peer/cancelled", body, TIMEOUT_S)
        except (NotSent, NoAnswer) as error:
            log.debug("cancellations_not_told", error=error)

    async def _told_cancelled(self, body: bytes) -> Response:
        try:
            told = msgspec.convert(cbor2.loads(body), CancelledJobs)
            ids = [id for id in map(parse_job_id, told.cancelled) if id is not None]
            if len(ids) < len(told.cancelled) or told.sender not in self.addresses:
                raise ValueError("not the ids of jobs, or not from another controller")
        except (msgspec.ValidationError, cbor2.CBORDecodeError, ValueError) as error:
            if str(error) not in self.refused and len(self.refused) < TOLD_AT_ONCE:
                self.refused.add(str(error))
                log.warning("message_refused", path="/peer/cancelled", error=error)
            return Response(400)
        await self.cancelled(ids)
        return Response(200)

    def may_answer(self, host: str, epoch: int) -> bool:
        """Whether we may keep this worker's session alive, cut off as we are from the others."""
        now = Instant(self.clock())
        if now - self.membership.good < CONTACT_S:
            self.answering = False
            return False
        may = self.borrower.may_answer(MachineId(host), epoch, now)
        if may and not self.answering:
            self.answering = True
            log.warning(
                "answering_cut_off_zone",
                machines=len(self.borrower.hosts),
                known_age_s=round(now - self.borrower.known, 1),
            )
        return may

    def others_have_contact(self) -> bool:
        now = self.clock()
        return any(
            now - told.at < TOLD_S and told.contact_age < CONTACT_S
            for told in self.contact.values()
        )

    def alone(self) -> bool:
        """Whether no other controller has answered of late, though there are some: together with
        the state service's silence that means that it is us who are cut off."""
        now = self.clock()
        if not self.addresses or now - self.asked_since < CONTACT_S:
            return False
        return all(now - told.at >= TOLD_S for told in self.contact.values())

    def steward(self, epoch: int) -> NodeName | None:
        """Who leads, for a worker that has seen that token; None: it is to look for itself.

        Without the state service we may know only who led before. A worker that was sent there and
        from there to us again would go to and fro between two that do not lead, until its lease
        is over; so others are believed that have the state service, and nobody is named who holds
        a lower token than the worker's.
        """
        leader = self.membership.leader
        now = self.clock()
        if now - self.membership.good >= CONTACT_S:
            told = [
                told
                for told in self.contact.values()
                if now - told.at < TOLD_S and told.contact_age < CONTACT_S
            ]
            if told:
                leader = max(told, key=lambda one: one.at - one.contact_age).leader
            elif epoch > self.membership.leader_stamp:
                leader = None
        return None if leader == self.me else leader

    async def carry(self, leader: NodeName, report: bytes) -> Response | None:
        """The leader's answer to a worker's report; None: it was not reached, or does not lead."""
        address = self.addresses.get(leader)
        # A leader that is gone must not hold up all that still turn to it.
        if address is None or self.carrying.locked() or self.clock() < self.carry_again:
            return None
        async with self.carrying:
            try:
                response = await self.client.request(
                    address, "POST", "/peer/hello", report, CARRY_S
                )
            except (NotSent, NoAnswer) as error:
                log.debug("report_not_carried", error=error)
                self.carry_again = self.clock() + CARRY_AGAIN_S
                return None
        return Response(200, response.body) if response.status == 200 else None

    def keep(self, found: Hints) -> None:
        """The newest hints are kept, whoever they come from."""
        if self.latest is None or found.epoch >= self.latest.epoch:
            self.latest, self.latest_at = found, self.clock()

    def fresh(self) -> tuple[Hints, float] | None:
        """What the last leader knew, and how old that is."""
        age = self.clock() - self.latest_at
        if self.latest is None or age > hints.OLD_S:
            return None
        return self.latest, age

    def worker_heard(self) -> None:
        """A worker has reported to this controller, whoever answers it."""
        self.heard_at = self.clock()

    async def others_hear(self) -> bool:
        """Whether a controller that has the state service was reported to by a worker of late.

        A worker that gets no answer from its holder turns to all controllers within a few seconds.
        """
        asked = self.clock()
        await self._ask_contact()
        return any(
            told.at >= asked and told.contact_age < CONTACT_S and told.heard_age < self.hearing_s
            for told in self.contact.values()
        )

    async def _ask_contact(self) -> None:
        for label, address in self.addresses.items():
            try:
                response = await self.client.request(address, "GET", "/peer", b"", TIMEOUT_S)
                told = cbor2.loads(response.body)
                self.contact[label] = Told(
                    self.clock(),
                    float(told["contact_age"]),
                    float(told.get("heard_age", math.inf)),  # earlier versions do not tell
                    None if told["leader"] is None else NodeName(str(told["leader"])),
                )
                if self.contact[label].contact_age < CONTACT_S and told["leader"] != self.me:
                    # Somebody won while the state service was out of our reach.
                    await self.membership.deposed(Epoch(int(told.get("stamp", 0))))
            except (NotSent, NoAnswer, ValueError, KeyError, TypeError, cbor2.CBORDecodeError):
                continue

    async def _ask_hints(self) -> None:
        address = self.addresses.get(str(self.membership.leader))
        if address is None:
            return  # nobody leads, or we do
        try:
            response = await self.client.request(address, "GET", "/peer/hints", b"", TIMEOUT_S)
        except (NotSent, NoAnswer) as error:
            log.debug("hints_not_had", error=error)
            return
        found = hints.loads(response.body) if response.status == 200 else None
        if found is not None:
            self.keep(found)

    async def serve(self, request: Request) -> Response:
        if request.path == "/peer":
            told = {
                "label": self.membership.me,
                "contact_age": self.clock() - self.membership.good,
                "leader": self.membership.leader,
                "stamp": self.membership.leader_stamp,
                "heard_age": self.clock() - self.heard_at,
            }
            return Response(200, cbor2.dumps(told))
        if request.path == "/peer/hello" and request.method == "POST":
            return await self.answer(request.body)
        if request.path == "/peer/cancelled" and request.method == "POST":
            return await self._told_cancelled(request.body)
        if request.path == "/peer/loan" and self.membership.leading():
            return await self._loan(request.query)
        if request.path == "/peer/hints" and self.membership.leading():
            # Made once for all that ask at about the same time.
            if self.clock() - self.made_at > 0.9 * HINTS_S:
                found = self.told()
                if found is None:
                    return Response(404)
                self.made, self.made_at = hints.dumps(found), self.clock()
            return Response(200, self.made)
        return Response(404)

    async def _loan(self, query: str) -> Response:
        fields = dict(parse_qsl(query))
        try:
            borrower, seen = NodeName(fields["for"]), int(fields["seen"])
        except (KeyError, ValueError):
            return Response(400)
        loan = await self.lend(borrower, seen, fields.get("idle") == "1")
        if loan is None:
            return Response(404)
        return Response(200, cbor2.dumps(msgspec.to_builtins(loan)))
