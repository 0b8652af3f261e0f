"""Forwarding of heartbeats to the leader for workers that cannot reach it themselves. No I/O.

A worker that the leader does not answer turns to the next controller, is redirected to the leader
again, and so on until its lease has expired, though that controller may reach both. Forwarded by
it, a heartbeat and its response only take another way: the response has the leader's token and
commands, a worker drops it if it comes after more than 4 s or in another session, and the leader
counts the lease from when it answered. So nothing that holds on a slow network is broken by it.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple, TypeVar

from umberward.core.types import ControllerName, Instant, MachineId

# A worker that returns sooner after a redirect was refused, or has another reason to ask.
RETURN_AFTER_MIN_S = 0.8
# One that returns within this time had no response: it waits 4 s for it, and 1 s before it turns
# to the next controller, for each controller in turn.
RETURN_AFTER_MAX_S = 12.0
DIRECT_RETRY_S = 30.0  # a worker whose heartbeats are forwarded is to try the leader this often
MAX_REMEMBERED_WORKERS = 4096

Remembered = TypeVar("Remembered")
# Incarnation and sequence number of a heartbeat: among those of one worker, later ones are greater.
# A plain tuple, as one is made for each heartbeat that arrives.
HeartbeatPosition = tuple[int, int]


class DuplicateFilter:
    """Recognises duplicates of heartbeats, which the network may deliver at any time.

    The latest heartbeat of each of the MAX_REMEMBERED_WORKERS workers heard last is remembered, and
    for so long any duplicate of an earlier one is recognised. Of a worker that is not remembered,
    the first heartbeat that arrives counts as new.
    """

    def __init__(self) -> None:
        """Begin without workers."""
        self.latest: OrderedDict[MachineId, HeartbeatPosition] = OrderedDict()

    def is_new(self, machine_id: MachineId, incarnation: int, sequence: int) -> bool:
        """Whether this heartbeat is newer than any before it; it is remembered if so."""
        position = (incarnation, sequence)
        latest = self.latest.get(machine_id)
        if latest is not None and position <= latest:
            return False
        self.latest[machine_id] = position
        self.latest.move_to_end(machine_id)
        _drop_oldest(self.latest)
        return True


class RedirectedWorker(NamedTuple):
    """A worker that was redirected to the leader; forwarded to it since `forwarded_since`."""

    leader: ControllerName
    redirected_at: Instant
    forwarded_since: Instant | None = None  # None: its heartbeats are not forwarded


class HeartbeatForwarding:
    """Decides for each heartbeat that is not the leader's whether to forward it.

    All moments are of this controller's steady clock.
    """

    def __init__(self) -> None:
        """Begin without workers."""
        self.redirected: OrderedDict[MachineId, RedirectedWorker] = OrderedDict()

    def should_forward(self, machine_id: MachineId, leader: ControllerName, now: Instant) -> bool:
        """Whether to forward this heartbeat to the leader; if not, its worker is redirected."""
        worker = self._next_state(self.redirected.pop(machine_id, None), leader, now)
        self.redirected[machine_id] = worker
        _drop_oldest(self.redirected)
        return worker.forwarded_since is not None

    def forward_failed(self, machine_id: MachineId, leader: ControllerName, now: Instant) -> None:
        """Note that the leader could not be reached, or did not accept the heartbeat."""
        self.redirected[machine_id] = RedirectedWorker(leader, now)

    @staticmethod
    def _next_state(
        known: RedirectedWorker | None, leader: ControllerName, now: Instant
    ) -> RedirectedWorker:
        """The state of a worker that asks now, from its state when it asked last."""
        redirected = RedirectedWorker(leader, now)
        if known is None or known.leader != leader:
            return redirected
        if known.forwarded_since is not None:
            retry_due = now - known.forwarded_since >= DIRECT_RETRY_S
            return redirected if retry_due else known
        if RETURN_AFTER_MIN_S <= now - known.redirected_at <= RETURN_AFTER_MAX_S:
            return known._replace(forwarded_since=now)
        return redirected


def _drop_oldest(remembered: OrderedDict[MachineId, Remembered]) -> None:
    """Keep the MAX_REMEMBERED_WORKERS workers added last."""
    while len(remembered) > MAX_REMEMBERED_WORKERS:
        remembered.popitem(last=False)
