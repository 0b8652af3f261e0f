"""What controllers tell each other: their contact with the state service, and hints."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable

import cbor2
import curio

from umberward import hints
from umberward.hints import Hints
from umberward.http import Client, NoAnswer, NotSent, Request, Response
from umberward.membership import Membership
from umberward.settings import Settings

log = logging.getLogger(__name__)

CONTACT_S = 2.5  # without the state service for so long, a node asks whether others have it
HINTS_S = 2.0  # how often the leader is asked for what it has learnt
TIMEOUT_S = 0.5  # a silent peer must not keep the others waiting


class Peers:
    """`told` gives what this controller has learnt itself, if it leads."""

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        client: Client,
        rng: random.Random,
        told: Callable[[], Hints | None],
    ) -> None:
        self.addresses = settings.peers
        self.membership = membership
        self.client = client
        self.rng = rng
        self.told = told
        self.contact: dict[str, tuple[float, float]] = {}  # when it told, age it told
        self.latest: Hints | None = None  # of whoever led last
        self.latest_at = 0.0
        self.made = b""  # our own, as sent
        self.made_at = 0.0

    async def run(self) -> None:
        asked = 0.0
        while True:
            await curio.sleep(self.rng.uniform(0.8, 1.2))
            now = time.monotonic()
            if now - self.membership.good >= CONTACT_S:
                # Only who lacks the state service needs to know.
                await self._ask_contact()
            elif now - asked >= HINTS_S:
                asked = now
                await self._ask_hints()

    def others_have_contact(self) -> bool:
        now = time.monotonic()
        return any(now - at < 3.0 and age < CONTACT_S for at, age in self.contact.values())

    def keep(self, found: Hints) -> None:
        """The newest hints are kept, whoever they come from."""
        if self.latest is None or found.epoch >= self.latest.epoch:
            self.latest, self.latest_at = found, time.monotonic()

    def fresh(self) -> tuple[Hints, float] | None:
        """What the last leader knew, and how old that is."""
        age = time.monotonic() - self.latest_at
        if self.latest is None or age > hints.OLD_S:
            return None
        return self.latest, age

    async def _ask_contact(self) -> None:
        for label, address in self.addresses.items():
            try:
                response = await self.client.request(address, "GET", "/peer", b"", TIMEOUT_S)
                told = cbor2.loads(response.body)
                self.contact[label] = (time.monotonic(), float(told["contact_age"]))
            except (NotSent, NoAnswer, ValueError, KeyError, TypeError, cbor2.CBORDecodeError):
                continue

    async def _ask_hints(self) -> None:
        address = self.addresses.get(str(self.membership.leader))
        if address is None:
            return  # nobody leads, or we do
        try:
            response = await self.client.request(address, "GET", "/peer/hints", b"", TIMEOUT_S)
        except (NotSent, NoAnswer) as error:
            log.debug("hints: %s", error)
            return
        found = hints.loads(response.body) if response.status == 200 else None
        if found is not None:
            self.keep(found)

    async def serve(self, request: Request) -> Response:
        if request.path == "/peer":
            told = {
                "label": self.membership.me,
                "contact_age": time.monotonic() - self.membership.good,
                "leader": self.membership.leader,
            }
            return Response(200, cbor2.dumps(told))
        if request.path == "/peer/hints" and self.membership.leading():
            # Made once for all that ask at about the same time.
            if time.monotonic() - self.made_at > HINTS_S / 2:
                found = self.told()
                if found is None:
                    return Response(404)
                self.made, self.made_at = hints.dumps(found), time.monotonic()
            return Response(200, self.made)
        return Response(404)
