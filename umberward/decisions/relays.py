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

from umberward.core.types import Instant, MachineId, NodeName

SOON_S = 0.8  # a worker that was sent on and is back so soon was refused or asks for another reason
BACK_S = 12.0  # one that is back within this time got no answer: 4 s, and 1 s to the next, in turns
DIRECT_AGAIN_S = 30.0  # so often a worker whose reports are carried is to try for itself
MOST = 4096  # workers that are remembered


class News:
    """Which reports are new to this controller: copies of earlier ones may come at any time.

    The latest of each of the MOST workers that were heard last is remembered, and so long any copy
    of an earlier one is known for what it is; of a worker that is not, the first that comes counts.
    """

    def __init__(self) -> None:
        self.latest: OrderedDict[MachineId, tuple[int, int]] = OrderedDict()

    def told(self, host: MachineId, tenure: int, serial: int) -> bool:
        """Whether this report is newer than any before it; it is remembered if so."""
        known = self.latest.get(host)
        if known is not None and (tenure, serial) <= known:
            return False
        self.latest[host] = (tenure, serial)
        self.latest.move_to_end(host)
        while len(self.latest) > MOST:
            self.latest.popitem(last=False)
        return True


class Sent(NamedTuple):
    """A worker was sent to the leader at `at`; its reports are carried since `carried`."""

    leader: NodeName
    at: Instant
    carried: Instant | None = None


class Relays:
    def __init__(self) -> None:
        self.sent: OrderedDict[MachineId, Sent] = OrderedDict()

    def carries(self, host: MachineId, leader: NodeName, now: Instant) -> bool:
        """Whether this report is to be carried to the leader; if not, its worker is sent there."""
        known = self.sent.pop(host, None)
        made = Sent(leader, now)
        if known is not None and known.leader == leader:
            if known.carried is not None:
                if now - known.carried < DIRECT_AGAIN_S:
                    made = known
            elif SOON_S <= now - known.at <= BACK_S:
                made = Sent(leader, known.at, now)
        self.sent[host] = made
        while len(self.sent) > MOST:
            self.sent.popitem(last=False)
        return made.carried is not None

    def failed(self, host: MachineId, leader: NodeName, now: Instant) -> None:
        """The leader could not be reached, or did not take the report."""
        self.sent[host] = Sent(leader, now)
