"""Time bounds on worker sessions that all controllers rely on. No I/O.

A worker's session ends when its lease has run out unanswered. The controller that answers a worker
and the controller that waits for a session's end must use the same bounds, so all of them are in
`LeaseBounds` (docs/design.md, "Silence of the state service").
"""

from __future__ import annotations

from umberward.core.settings import WorkerTimes
from umberward.core.types import Instant

CLOCK_DRIFT_FACTOR = 1.001  # twice as much as two steady clocks drift apart
LEASE_MARGIN_S = 0.5  # safety margin of each bound
START_AFTER_READ_S = 3.0  # several times as long as a read takes, and a common lease's length


class LeaseBounds:
    """Durations in seconds after which a worker's session is certain to be over.

    They follow from the workers' settings. Let `jobs_read_at` be the moment at which the latest
    answered read of the jobs was *requested*: a cancellation unknown to the controller was
    confirmed after it. A response sent at t < jobs_read_at + keepalive_s is to a heartbeat that
    was sent before t, so the session that it renews is over by

        t + lease_s * CLOCK_DRIFT_FACTOR
            < jobs_read_at + (keepalive_s + lease_s) * CLOCK_DRIFT_FACTOR
            = jobs_read_at + cancel_s - LEASE_MARGIN_S

    by any of the clocks, and so within `cancel_s` of the cancellation. `lease_renewed_at`, the
    moment at which the latest granted renewal of the leader's own lease was *sent*, bounds it
    likewise: the next leader is elected later, and may rely on every session renewed by this
    controller being over `takeover_s` after that.

    Attributes:
        keepalive_s: how long after `jobs_read_at` responses may renew sessions; 0 if the settings
            leave no time in which that is possible without the state service.
        lease_s: after a response was ready, the session that it renews is over.
        delegated_s: after a machine was delegated, its session is over: the delegate answers for
            `keepalive_s` at most.
        takeover_s: after a term began, each session that a former leader renewed is over: its
            last renewal of the leader's lease was granted before the term.
    """

    def __init__(self, workers: WorkerTimes) -> None:
        """Derive the bounds from the lease and cancellation times of the workers' settings."""
        self.keepalive_s = max(
            0.0, (workers.cancel_s - LEASE_MARGIN_S) / CLOCK_DRIFT_FACTOR - workers.lease_s
        )
        self.lease_s = workers.lease_s * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_S
        self.delegated_s = workers.cancel_s * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_S
        self.takeover_s = workers.cancel_s * CLOCK_DRIFT_FACTOR + 2 * LEASE_MARGIN_S

    def may_answer(
        self, jobs_read_at: Instant | None, lease_renewed_at: Instant, now: Instant
    ) -> bool:
        """Whether a heartbeat may be answered so that its worker's session goes on.

        To be called at the moment of sending, by the controller that answers, with moments of its
        own steady clock. `jobs_read_at` is None for a term that has read nothing: it knows of no
        cancellation and must not answer.
        """
        return jobs_read_at is not None and now < (
            min(jobs_read_at, lease_renewed_at) + self.keepalive_s
        )

    def may_start(self, jobs_read_at: Instant | None, now: Instant) -> bool:
        """Whether a leader may start a task; to be called at the moment of sending.

        A cancellation unknown to the leader was confirmed after `jobs_read_at`, so a start of a
        cancelled task is sent less than START_AFTER_READ_S after its cancellation, however late
        the leader learns of it.
        """
        return jobs_read_at is not None and now < jobs_read_at + START_AFTER_READ_S
