"""How long workers' sessions may be kept alive, and by whom if a zone is cut off. No I/O.

All bounds stand in `Bounds`: who answers a worker, and who waits for a session's end, count with
the same terms (docs/design.md, "Silence of the state service").

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

DRIFT = 1.001  # twice as much as two steady clocks drift apart
MARGIN_S = 0.5
STARTS_S = 3.0  # several times as long as a reading takes, and a common lease's length
REACHED_S = 2.5  # a leader that answered so lately is within reach: its workers are sent to it


class Bounds:
    """Lengths of time, in seconds, after which something is sure; from the settings of the workers.

    A cancellation that we don't know was confirmed after `known`: the moment at which the latest
    answered reading of the jobs was *asked*. An answer that we send at t < known + tend_s is to a
    report that was sent before t, so the session that it keeps alive is over by

        t + lease_s * DRIFT < known + (tend_s + lease_s) * DRIFT = known + cancel_s - MARGIN_S

    by any of the clocks, and so within `cancel_s` of the cancellation. `held` bounds it likewise:
    the moment at which the latest granted renewal of our lease was sent. Whoever leads after us was
    elected later, and can count on all that we keep alive being over `takeover_s` after that.
    """

    def __init__(self, workers: Workers) -> None:
        # 0: there is no time in which a session could be kept alive without the state service.
        self.tend_s = max(0.0, (workers.cancel_s - MARGIN_S) / DRIFT - workers.lease_s)
        # After our answer was ready, the session that it keeps alive is over.
        self.lease_s = workers.lease_s * DRIFT + MARGIN_S
        # After we have lent the machine: the borrower answers for tend_s at most.
        self.lent_s = workers.cancel_s * DRIFT + MARGIN_S
        # After a term has begun: the former holder's last renewal was granted before that.
        self.takeover_s = workers.cancel_s * DRIFT + 2 * MARGIN_S

    def may_answer(self, known: Instant | None, held: Instant, now: Instant) -> bool:
        """Whether a report may be answered so that its session goes on. To be asked at the moment
        of sending, by whoever answers: a term that has read nothing knows nothing (None)."""
        return known is not None and now < min(known, held) + self.tend_s

    def may_start(self, known: Instant | None, now: Instant) -> bool:
        """Whether something may be started by one who leads. To be asked at the moment of sending.

        A cancellation that we don't know was confirmed after `known`, so a start of what it was
        about is sent less than STARTS_S after it, however slowly we are told.
        """
        return known is not None and now < known + STARTS_S


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
        self.bounds = Bounds(workers)
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
        if now - answered <= self.bounds.lease_s:
            return False
        if lent is None or now - lent > self.bounds.lent_s:
            return True
        spans = [self.idle.get(name) for name, place in self.borrowers.items() if place == zone]
        return all(
            span is not None and span[0] <= answered and span[1] - answered > self.bounds.lease_s
            for span in spans
        )


class Borrower:
    """The other controllers' side: the loan that counts, and for how long."""

    def __init__(self, workers: Workers) -> None:
        self.bounds = Bounds(workers)
        self.serial = 0  # of the last answer
        self.epoch = Epoch(0)
        self.hosts: frozenset[str] = frozenset()
        self.known = Instant(0.0)  # the leader knew of all that was cancelled until then
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
        self.known = Instant(asked - loan.age)
        self.asked = asked
        self.reached = now

    def may_answer(self, host: MachineId, epoch: int, now: Instant) -> bool:
        """Whether the report of this worker, which has seen that token, may be answered with it.

        To be asked again when the answer is ready to be sent.
        """
        if (
            epoch != self.epoch
            or not self.bounds.may_answer(self.known, self.asked, now)
            or now - self.reached <= REACHED_S
            or host not in self.hosts
        ):
            return False
        self.used = now
        return True
