"""Whose reports a controller carries to the leader, as they cannot reach it themselves. No I/O.

A worker that the leader does not answer turns to the next controller, is sent to the leader again,
and so on until its lease is over, though that controller may reach both. Carried by it, a report
and its answer only take another way: the answer has the leader's token and orders, a worker drops
it if it comes after more than 4 s or in another session, and the leader counts the lease from when
it answered. So nothing that holds of a slow network is broken by it.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from umberward.core.types import ControllerName, Instant, MachineId

RETURN_AFTER_MIN_S = (
    0.8  # a worker that was sent on and is back so soon was refused or asks for another reason
)
RETURN_AFTER_MAX_S = (
    12.0  # one that is back within this time got no answer: 4 s, and 1 s to the next, in turns
)
DIRECT_RETRY_S = 30.0  # so often a worker whose reports are carried is to try for itself
MAX_REMEMBERED_WORKERS = 4096  # workers that are remembered


class DuplicateFilter:
    """Which reports are new to this controller: copies of earlier ones may come at any time.

    The latest of each of the MOST workers that were heard last is remembered, and so long any copy
    of an earlier one is known for what it is; of a worker that is not, the first that comes counts.
    """

    def __init__(self) -> None:
        self.latest: OrderedDict[MachineId, tuple[int, int]] = OrderedDict()

    def is_new(self, host: MachineId, tenure: int, serial: int) -> bool:
        """Whether this report is newer than any before it; it is remembered if so."""
        known = self.latest.get(host)
        if known is not None and (tenure, serial) <= known:
            return False
        self.latest[host] = (tenure, serial)
        self.latest.move_to_end(host)
        while len(self.latest) > MAX_REMEMBERED_WORKERS:
            self.latest.popitem(last=False)
        return True


class RedirectedWorker(NamedTuple):
    """A worker was sent to the leader at `at`; its reports are carried since `carried`."""

    leader: ControllerName
    redirected_at: Instant
    forwarded_since: Instant | None = None


class HeartbeatForwarding:
    def __init__(self) -> None:
        self.redirected: OrderedDict[MachineId, RedirectedWorker] = OrderedDict()

    def should_forward(self, host: MachineId, leader: ControllerName, now: Instant) -> bool:
        """Whether this report is to be carried to the leader; if not, its worker is sent there."""
        known = self.redirected.pop(host, None)
        made = RedirectedWorker(leader, now)
        if known is not None and known.leader == leader:
            if known.forwarded_since is not None:
                if now - known.forwarded_since < DIRECT_RETRY_S:
                    made = known
            elif RETURN_AFTER_MIN_S <= now - known.redirected_at <= RETURN_AFTER_MAX_S:
                made = RedirectedWorker(leader, known.redirected_at, now)
        self.redirected[host] = made
        while len(self.redirected) > MAX_REMEMBERED_WORKERS:
            self.redirected.popitem(last=False)
        return made.forwarded_since is not None

    def forward_failed(self, host: MachineId, leader: ControllerName, now: Instant) -> None:
        """The leader could not be reached, or did not take the report."""
        self.redirected[host] = RedirectedWorker(leader, now)
