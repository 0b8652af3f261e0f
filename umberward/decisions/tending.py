"""Who may answer the workers of a zone that is cut off from the leader. No I/O.

A zone may be cut off with a controller in it. That controller commands nothing there, but if it
answers the zone's workers with the token that they know, their leases do not run out and their
tasks go on. Two things follow, and this module keeps both:

- A task that a user has cancelled meanwhile must be gone in time. So the leader lends machines only
  as it knows them to be without anything cancelled, and the loan ends so early that a session ends
  within `cancel_s` after the last moment of which the leader knew all cancellations.
- The leader must not take a session for over that somebody else has kept alive. So it counts a
  machine that it has lent as alive for as long as the loan may last, unless each controller that
  has a loan says that it made no use of it.

docs/design.md, "A zone that is cut off", has the argument.
"""

from __future__ import annotations

import msgspec

from umberward.core.settings import Workers
from umberward.core.types import Epoch, Instant, MachineId, NodeName, ZoneName

DRIFT = 1.001
MARGIN_S = 0.5
REACHED_S = 2.5  # a leader that answered so lately is within reach: its workers are sent to it


class Loan(msgspec.Struct):
    """What the leader answers to a controller that asks for the machines of its zone.

    `serial` is said back with the next question; `age`: how many seconds ago the leader knew of
    all cancellations.
    """

    epoch: int
    serial: int
    age: float
    hosts: list[str]


class Lender:
    """The leader's side: what was lent, and who says that it made no use of it."""

    def __init__(self, workers: Workers, borrowers: dict[NodeName, ZoneName], term: int) -> None:
        """`borrowers`: the other controllers, with the zone of each."""
        self.lease_s = workers.lease_s * DRIFT + MARGIN_S
        self.cancel_s = workers.cancel_s * DRIFT + MARGIN_S
        self.borrowers = borrowers
        self.zones = set(borrowers.values())
        self.serials = term << 20  # no two leaders give the same
        self.issued: dict[NodeName, tuple[int, Instant]] = {}
        self.acknowledged: dict[NodeName, int] = {}
        # While a controller has made no use of loans: from when until when that is known.
        self.idle: dict[NodeName, tuple[Instant, Instant]] = {}

    def asked(self, borrower: NodeName, seen: int, idle: bool, now: Instant) -> int:
        """A controller asks; returns the serial of the answer.

        It says which answer was the last that it had, and whether it has used no loan since it
        asked for that one. This covers the time until we gave that answer, and not more: the
        question itself may have been under way for any time.
        """
        serial, at = self.issued.get(borrower, (0, now))
        if not idle or not seen:
            self.idle.pop(borrower, None)
        elif seen == serial:
            since, _ = self.idle.get(borrower, (at, at))
            self.idle[borrower] = (since, at)
        elif seen != self.acknowledged.get(borrower):
            self.idle.pop(borrower, None)  # else the last answer was lost: nothing new is known
        self.acknowledged[borrower] = seen
        self.serials += 1
        self.issued[borrower] = (self.serials, now)
        return self.serials

    def session_over(
        self, zone: ZoneName, answered: Instant, lent: Instant | None, now: Instant
    ) -> bool:
        """Whether a worker's session is surely over: we have answered it last at `answered`, and
        have lent it last at `lent`."""
        if now - answered <= self.lease_s:
            return False
        if lent is None or now - lent > self.cancel_s:
            return True
        spans = [self.idle.get(name) for name, place in self.borrowers.items() if place == zone]
        return all(
            span is not None and span[0] <= answered and span[1] - answered > self.lease_s
            for span in spans
        )


class Borrower:
    """The other controllers' side: the loan that counts, and for how long."""

    def __init__(self, workers: Workers) -> None:
        self.span_s = (workers.cancel_s - workers.lease_s) / DRIFT - MARGIN_S
        self.serial = 0  # of the last answer
        self.epoch = Epoch(0)
        self.hosts: frozenset[str] = frozenset()
        self.until = Instant(0.0)
        self.asked = Instant(0.0)
        self.reached = Instant(0.0)
        self.used = Instant(-1.0)

    @property
    def idle(self) -> bool:
        """No loan was used since we asked for the one that we have."""
        return self.used < self.asked

    def keep(self, loan: Loan, asked: Instant, now: Instant) -> None:
        """The leader's answer to what we asked at `asked`, which was before it was made."""
        self.serial = loan.serial
        self.epoch = Epoch(loan.epoch)
        self.hosts = frozenset(loan.hosts)
        self.until = Instant(asked + self.span_s - loan.age)
        self.asked = asked
        self.reached = now

    def may_answer(self, host: MachineId, epoch: int, now: Instant) -> bool:
        """Whether the report of this worker, which has seen that token, may be answered with it.

        To be asked again when the answer is ready to be sent.
        """
        if (
            epoch != self.epoch
            or now >= self.until
            or now - self.reached <= REACHED_S
            or host not in self.hosts
        ):
            return False
        self.used = now
        return True
