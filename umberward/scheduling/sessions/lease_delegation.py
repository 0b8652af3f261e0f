"""Renewal of worker leases by another controller while a zone is cut off from the leader. No I/O.

A zone may be cut off together with a controller in it, the delegate. The delegate sends no
commands, but answers the zone's workers with the fencing token that they know, so that their leases
do not expire and their tasks go on. This module ensures two rules:

- A task that a user cancels meanwhile must end in time. So the leader delegates a machine only
  while it knows that nothing cancelled runs there, and each delegation ends early enough that all
  sessions end within `cancel_s` after the latest time up to which the leader knew of all
  cancellations.
- The leader must not consider a session over that a delegate has renewed. So it counts a delegated
  machine as alive for as long as the delegation may last, unless all delegates of the machine's
  zone report that they have not used it.

docs/design.md, "A zone that is cut off", has the argument. The durations are in `lease_bounds`.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from umberward.core.settings import WorkerTimes
from umberward.core.types import ControllerName, FencingToken, Instant, MachineId, ZoneName
from umberward.scheduling.sessions.lease_bounds import LeaseBounds

# A leader that answered within this time is reachable, so workers are redirected to it.
LEADER_REACHABLE_S = 2.5
DELEGATION_SEQUENCE_BITS = 20  # low bits of a delegation's number; the term's token is above them


class Delegation(
    msgspec.Struct,
    rename={
        "initial_token": "epoch",
        "jobs_read_age_s": "age",
        "machine_ids": "hosts",
        "newest_token": "newest",
    },
):
    """The leader's response to a controller that requests the delegation of its zone's machines.

    `initial_token` and `newest_token` are the lowest and the highest fencing token that the leader
    has used in its term; earlier versions, which use one for all machines, omit `newest_token`.
    `serial` is the delegation's sequence number, which the controller returns with its next
    request; `jobs_read_age_s` is how many seconds ago the leader knew of all cancellations;
    `machine_ids` are the machines whose heartbeats the controller may answer.
    """

    initial_token: int
    serial: int
    jobs_read_age_s: float
    machine_ids: list[str]
    newest_token: int | msgspec.UnsetType = msgspec.UNSET


class _IssuedDelegation(NamedTuple):
    """The latest delegation to a controller: its number, and when the leader issued it."""

    sequence: int
    at: Instant


class _UnusedPeriod(NamedTuple):
    """A period in which a delegate is certain to have renewed no session."""

    since: Instant
    until: Instant


class Delegator:
    """The leader's side: numbers delegations and tracks which are certain to be unused."""

    def __init__(
        self,
        workers: WorkerTimes,
        delegates: dict[ControllerName, ZoneName],
        initial_token: int,
    ) -> None:
        """`delegates`: the other controllers with their zones; `initial_token` begins the term."""
        self.bounds = LeaseBounds(workers)
        self.delegates = delegates
        self.zones = set(delegates.values())
        # Derived from the term's token, so that no two leaders issue the same number.
        self._last_sequence = initial_token << DELEGATION_SEQUENCE_BITS
        self._issued: dict[ControllerName, _IssuedDelegation] = {}
        self._acknowledged_sequences: dict[ControllerName, int] = {}
        self._unused: dict[ControllerName, _UnusedPeriod] = {}

    def issue(
        self, delegate: ControllerName, last_sequence: int, now: Instant, *, unused: bool
    ) -> int:
        """Return the number of the response to a delegate's request.

        `last_sequence` is the number of the last response that the delegate received (0: none), and
        `unused` means that it has renewed no session since it requested that one. This proves
        non-use only until the leader issued that response, as the delegate's new request may have
        been in transit for any time.
        """
        issued = self._issued.get(delegate, _IssuedDelegation(0, now))
        if not unused or not last_sequence:
            self._unused.pop(delegate, None)
        elif last_sequence == issued.sequence:
            previous_period = self._unused.get(delegate)
            since = issued.at if previous_period is None else previous_period.since
            self._unused[delegate] = _UnusedPeriod(since, issued.at)
        elif last_sequence != self._acknowledged_sequences.get(delegate):
            # Otherwise the last response was lost, and nothing new is known.
            self._unused.pop(delegate, None)
        self._acknowledged_sequences[delegate] = last_sequence
        self._last_sequence += 1
        self._issued[delegate] = _IssuedDelegation(self._last_sequence, now)
        return self._last_sequence

    def lease_expired(
        self, zone: ZoneName, answered_at: Instant, delegated_at: Instant | None, now: Instant
    ) -> bool:
        """Whether a worker's session is certain to be over.

        The leader last answered the worker at `answered_at` and last delegated it at
        `delegated_at` (None: never), both times of the leader's monotonic clock.
        """
        if now - answered_at <= self.bounds.lease_s:
            return False
        if delegated_at is None or now - delegated_at > self.bounds.delegated_lease_s:
            return True
        return all(
            self._unused_for_a_lease(delegate, answered_at)
            for delegate, delegate_zone in self.delegates.items()
            if delegate_zone == zone
        )

    def _unused_for_a_lease(self, delegate: ControllerName, answered_at: Instant) -> bool:
        """Whether the delegate has renewed no session for a whole lease after `answered_at`."""
        period = self._unused.get(delegate)
        return (
            period is not None
            and period.since <= answered_at
            and period.until - answered_at > self.bounds.lease_s
        )


class Delegate:
    """The delegate's side: the current delegation, and for how long it may be used.

    All times are of this controller's monotonic clock.
    """

    def __init__(self, workers: WorkerTimes) -> None:
        """Start without a delegation."""
        self.bounds = LeaseBounds(workers)
        self.serial = 0  # sequence number of the current delegation
        # The lowest and the highest fencing token that the leader which issued it has used.
        self.initial_token = self.newest_token = FencingToken(0)
        self.machine_ids: frozenset[str] = frozenset()  # whose heartbeats may be answered
        # The leader knew of all cancellations up to then.
        self.jobs_read_requested_at = Instant(0.0)
        self.requested_at = Instant(0.0)  # when the current delegation was requested
        self.leader_responded_at = Instant(0.0)  # when the leader last responded
        self.last_used_at = Instant(-1.0)  # when a delegation was last used

    @property
    def unused(self) -> bool:
        """Whether no session was renewed since the current delegation was requested."""
        return self.last_used_at < self.requested_at

    def accept(self, delegation: Delegation, requested_at: Instant, now: Instant) -> None:
        """Make a delegation the current one.

        `requested_at` is when this controller sent the request. The leader issued the delegation
        later, so durations counted from the request are on the safe side.
        """
        self.serial = delegation.serial
        newest_token = delegation.newest_token
        self.initial_token = FencingToken(delegation.initial_token)
        self.newest_token = (
            self.initial_token
            if newest_token is msgspec.UNSET
            else FencingToken(max(delegation.initial_token, newest_token))
        )
        self.machine_ids = frozenset(delegation.machine_ids)
        self.jobs_read_requested_at = Instant(requested_at - delegation.jobs_read_age_s)
        self.requested_at = requested_at
        self.leader_responded_at = now

    def claim_answer(self, machine_id: MachineId, fencing_token: int, now: Instant) -> bool:
        """Whether a worker's heartbeat may be answered; if so, the delegation counts as used.

        `fencing_token` is the highest that the worker has seen; a delegation is valid only for
        tokens of the term in which it was issued. To be called when the response is about to be
        sent.
        """
        if (
            not self.initial_token <= fencing_token <= self.newest_token
            or not self.bounds.may_answer_heartbeat(
                self.jobs_read_requested_at, self.requested_at, now
            )
            or now - self.leader_responded_at <= LEADER_REACHABLE_S
            or machine_id not in self.machine_ids
        ):
            return False
        self.last_used_at = now
        return True
