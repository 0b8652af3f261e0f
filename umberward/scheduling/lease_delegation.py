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

from umberward.core.settings import WorkerTimes
from umberward.core.types import ControllerName, FencingToken, Instant, MachineId, ZoneName

CLOCK_DRIFT_FACTOR = 1.001  # twice as much as two steady clocks drift apart
LEASE_MARGIN_S = 0.5
START_AFTER_READ_S = 3.0  # several times as long as a reading takes, and a common lease's length
LEADER_REACHABLE_S = (
    2.5  # a leader that answered so lately is within reach: its workers are sent to it
)


class LeaseBounds:
    """Lengths of time, in seconds, after which something is sure; from the settings of the workers.

    A cancellation that we don't know was confirmed after `known`: the moment at which the latest
    answered reading of the jobs was *asked*. An answer that we send at t < known + tend_s is to a
    report that was sent before t, so the session that it keeps alive is over by

        t + lease_s * DRIFT < known + (tend_s + lease_s) * DRIFT = known + cancel_s - MARGIN_S

    by any of the clocks, and so within `cancel_s` of the cancellation. `held` bounds it likewise:
    the moment at which the latest granted renewal of our lease was sent. Whoever leads after us was
    elected later, and can count on all that we keep alive being over `takeover_s` after that.
    """

    def __init__(self, workers: WorkerTimes) -> None:
        # 0: there is no time in which a session could be kept alive without the state service.
        self.keepalive_s = max(
            0.0, (workers.cancel_s - LEASE_MARGIN_S) / CLOCK_DRIFT_FACTOR - workers.lease_s
        )
        # After our answer was ready, the session that it keeps alive is over.
        self.lease_s = workers.lease_s * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_S
        # After we have lent the machine: the borrower answers for tend_s at most.
        self.delegated_s = workers.cancel_s * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_S
        # After a term has begun: the former holder's last renewal was granted before that.
        self.takeover_s = workers.cancel_s * CLOCK_DRIFT_FACTOR + 2 * LEASE_MARGIN_S

    def may_answer(self, known: Instant | None, held: Instant, now: Instant) -> bool:
        """Whether a report may be answered so that its session goes on. To be asked at the moment
        of sending, by whoever answers: a term that has read nothing knows nothing (None)."""
        return known is not None and now < min(known, held) + self.keepalive_s

    def may_start(self, known: Instant | None, now: Instant) -> bool:
        """Whether something may be started by one who leads. To be asked at the moment of sending.

        A cancellation that we don't know was confirmed after `known`, so a start of what it was
        about is sent less than STARTS_S after it, however slowly we are told.
        """
        return known is not None and now < known + START_AFTER_READ_S


class Delegation(
    msgspec.Struct,
    rename={"fencing_token": "epoch", "jobs_read_age_s": "age", "machine_ids": "hosts"},
):
    """What the leader answers to a controller that asks for the machines of its zone.

    `serial` is said back with the next question; `age`: how many seconds ago the leader knew of
    all cancellations.
    """

    fencing_token: int
    serial: int
    jobs_read_age_s: float
    machine_ids: list[str]


class Delegator:
    """The leader's side: what was lent, and who says that it made no use of it."""

    def __init__(
        self, workers: WorkerTimes, borrowers: dict[ControllerName, ZoneName], term: int
    ) -> None:
        """`borrowers`: the other controllers, with the zone of each."""
        self.bounds = LeaseBounds(workers)
        self.delegates = borrowers
        self.zones = set(borrowers.values())
        self.last_serial = term << 20  # no two leaders give the same
        self.issued: dict[ControllerName, tuple[int, Instant]] = {}
        self.acknowledged: dict[ControllerName, int] = {}
        # While a controller has made no use of loans: from when until when that is known.
        self.unused_between: dict[ControllerName, tuple[Instant, Instant]] = {}

    def issue(self, borrower: ControllerName, seen: int, idle: bool, now: Instant) -> int:
        """A controller asks; returns the serial of the answer.

        It says which answer was the last that it had, and whether it has used no loan since it
        asked for that one. This covers the time until we gave that answer, and not more: the
        question itself may have been under way for any time.
        """
        serial, at = self.issued.get(borrower, (0, now))
        if not idle or not seen:
            self.unused_between.pop(borrower, None)
        elif seen == serial:
            since, _ = self.unused_between.get(borrower, (at, at))
            self.unused_between[borrower] = (since, at)
        elif seen != self.acknowledged.get(borrower):
            self.unused_between.pop(
                borrower, None
            )  # else the last answer was lost: nothing new is known
        self.acknowledged[borrower] = seen
        self.last_serial += 1
        self.issued[borrower] = (self.last_serial, now)
        return self.last_serial

    def lease_expired(
        self, zone: ZoneName, answered: Instant, lent: Instant | None, now: Instant
    ) -> bool:
        """Whether a worker's session is surely over: we have answered it last at `answered`, and
        have lent it last at `lent`."""
        if now - answered <= self.bounds.lease_s:
            return False
        if lent is None or now - lent > self.bounds.delegated_s:
            return True
        spans = [
            self.unused_between.get(name) for name, place in self.delegates.items() if place == zone
        ]
        return all(
            span is not None and span[0] <= answered and span[1] - answered > self.bounds.lease_s
            for span in spans
        )


class Delegate:
    """The other controllers' side: the loan that counts, and for how long."""

    def __init__(self, workers: WorkerTimes) -> None:
        self.bounds = LeaseBounds(workers)
        self.serial = 0  # of the last answer
        self.fencing_token = FencingToken(0)
        self.machine_ids: frozenset[str] = frozenset()
        self.jobs_read_at = Instant(0.0)  # the leader knew of all that was cancelled until then
        self.asked_at = Instant(0.0)
        self.leader_reached_at = Instant(0.0)
        self.used_at = Instant(-1.0)

    @property
    def unused(self) -> bool:
        """No loan was used since we asked for the one that we have."""
        return self.used_at < self.asked_at

    def accept(self, loan: Delegation, asked: Instant, now: Instant) -> None:
        """The leader's answer to what we asked at `asked`, which was before it was made."""
        self.serial = loan.serial
        self.fencing_token = FencingToken(loan.fencing_token)
        self.machine_ids = frozenset(loan.machine_ids)
        self.jobs_read_at = Instant(asked - loan.jobs_read_age_s)
        self.asked_at = asked
        self.leader_reached_at = now

    def may_answer(self, host: MachineId, epoch: int, now: Instant) -> bool:
        """Whether the report of this worker, which has seen that token, may be answered with it.

        To be asked again when the answer is ready to be sent.
        """
        if (
            epoch != self.fencing_token
            or not self.bounds.may_answer(self.jobs_read_at, self.asked_at, now)
            or now - self.leader_reached_at <= LEADER_REACHABLE_S
            or host not in self.machine_ids
        ):
            return False
        self.used_at = now
        return True
