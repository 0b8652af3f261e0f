"""Forwarding of heartbeats to the leader for workers that cannot reach it themselves. No I/O.

A worker that the leader does not answer turns to the next controller, is redirected to the leader
again, and so on until its lease expires, although that controller may reach both. Forwarding only
changes the route: the response carries the leader's token and commands, the worker drops it if it
arrives after more than 4 s or in another session, and the leader counts the lease from when it
answered. So all guarantees that hold on a slow network hold with forwarding.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple, TypeVar

from umberward.core.types import ControllerName, Instant, MachineId

# A worker that returns from a redirect sooner was refused, or has another reason to ask again.
MIN_RETURN_DELAY_S = 0.8
# A worker that returns within this time had no response: with each controller in turn it waits 4 s
# for a response (`reachability.WORKER_RESPONSE_TIMEOUT_S`), and 1 s before it turns to the next.
MAX_RETURN_DELAY_S = 12.0
DIRECT_RETRY_INTERVAL_S = 30.0  # after which a forwarded worker is redirected to the leader again
MAX_REMEMBERED_WORKERS = 4096

Value = TypeVar("Value")
# Incarnation and sequence number of a heartbeat, which increase with each heartbeat of a worker. A
# plain tuple for speed, as one is created for each heartbeat received.
HeartbeatPosition = tuple[int, int]


class DuplicateFilter:
    """Recognizes duplicate heartbeats, which the network may deliver at any time.

    It stores the position of the latest heartbeat of each of the MAX_REMEMBERED_WORKERS workers
    that sent a heartbeat last. Duplicates from these workers are recognized; from any other worker,
    the first heartbeat to arrive counts as new.
    """

    def __init__(self) -> None:
        """Start without workers."""
        self.latest: OrderedDict[MachineId, HeartbeatPosition] = OrderedDict()

    def record_if_new(self, machine_id: MachineId, incarnation: int, sequence: int) -> bool:
        """Whether this heartbeat is newer than all before it; if so, store its position."""
        position = (incarnation, sequence)
        latest = self.latest.get(machine_id)
        if latest is not None and position <= latest:
            return False
        self.latest[machine_id] = position
        self.latest.move_to_end(machine_id)
        _drop_oldest(self.latest)
        return True


class WorkerRoute(NamedTuple):
    """A worker that was redirected to the leader, or whose heartbeats are forwarded to it."""

    leader: ControllerName
    redirected_at: Instant
    forwarded_since: Instant | None = None  # None: its heartbeats are not forwarded


class HeartbeatForwarding:
    """Decides for each heartbeat that reaches a controller other than the leader what to do.

    All times are of this controller's monotonic clock.
    """

    def __init__(self) -> None:
        """Start without workers."""
        self.redirected: OrderedDict[MachineId, WorkerRoute] = OrderedDict()

    def decide_forwarding(
        self, machine_id: MachineId, leader: ControllerName, now: Instant
    ) -> bool:
        """Decide whether to forward this heartbeat to the leader, and record the decision.

        If it is not forwarded, the worker is to be redirected.
        """
        worker = self._next_state(self.redirected.pop(machine_id, None), leader, now)
        self.redirected[machine_id] = worker
        _drop_oldest(self.redirected)
        return worker.forwarded_since is not None

    def forward_failed(self, machine_id: MachineId, leader: ControllerName, now: Instant) -> None:
        """Record that the leader could not be reached or did not accept the heartbeat."""
        self.redirected[machine_id] = WorkerRoute(leader, now)

    @staticmethod
    def _next_state(
        previous: WorkerRoute | None, leader: ControllerName, now: Instant
    ) -> WorkerRoute:
        """Return the new state of a worker that sends a heartbeat, from its previous state."""
        redirected = WorkerRoute(leader, now)
        if previous is None or previous.leader != leader:
            return redirected
        if previous.forwarded_since is not None:
            retry_due = now - previous.forwarded_since >= DIRECT_RETRY_INTERVAL_S
            return redirected if retry_due else previous
        if MIN_RETURN_DELAY_S <= now - previous.redirected_at <= MAX_RETURN_DELAY_S:
            return previous._replace(forwarded_since=now)
        return redirected


def _drop_oldest(workers: OrderedDict[MachineId, Value]) -> None:
    """Drop all but the MAX_REMEMBERED_WORKERS workers added last."""
    while len(workers) > MAX_REMEMBERED_WORKERS:
        workers.popitem(last=False)
