"""Time bounds on worker sessions, shared by all controllers. No I/O.

A worker's session ends when its lease expires without an answer. The controller that answers a
worker and the one that waits for a session's end must use the same bounds, so `LeaseBounds` holds
all of them (docs/design.md, "Silence of the state service").
"""

from __future__ import annotations

from umberward.core.settings import WorkerTimes
from umberward.core.types import Instant

CLOCK_DRIFT_FACTOR = 1.001  # allows for twice the drift between two monotonic clocks
LEASE_MARGIN_S = 0.5  # safety margin in each bound
# Age of the latest read of the jobs up to which tasks may be started: several times the duration of
# a read, and as long as a typical lease.
MAX_JOBS_READ_AGE_TO_START_S = 3.0


class LeaseBounds:
    """Durations in seconds after which a worker's session is certain to be over.

    They follow from the workers' settings. Let `jobs_read_requested_at` be the time at which the
    latest answered read of the jobs was *requested*: a cancellation unknown to the controller was
    confirmed after it. A response sent at t < jobs_read_requested_at + renewal_window_s answers a
    heartbeat that was sent before t, so the session that it renews is over by

        t + lease_s * CLOCK_DRIFT_FACTOR
            < jobs_read_requested_at + (renewal_window_s + lease_s) * CLOCK_DRIFT_FACTOR
            = jobs_read_requested_at + cancel_s - LEASE_MARGIN_S

    by any of the clocks, and so within `cancel_s` of the cancellation. `lease_renewed_at`, the
    time at which the latest granted renewal of the leader's own lease was *sent*, is a bound in
    the same way: the next leader is elected later than that, and may rely on every session that
    this controller renewed being over `takeover_s` after its election.

    Attributes:
        renewal_window_s: how long after `jobs_read_requested_at` responses may renew sessions; 0 if
            the settings leave no time for renewals without the state service.
        lease_s: time from when a response is ready until the session that it renews is certain to
            be over; not the setting `lease_s`, from which it differs by clock drift and a margin.
        delegated_lease_s: time from the delegation of a machine until its session is certain to be
            over; the delegate answers for at most `renewal_window_s`.
        takeover_s: time from the start of a term until all sessions renewed by previous leaders are
            certain to be over; their last lease renewals were granted before the term.
    """

    def __init__(self, workers: WorkerTimes) -> None:
        """Derive the bounds from the lease and cancellation times of the workers' settings."""
        self.renewal_window_s = max(
            0.0, (workers.cancel_s - LEASE_MARGIN_S) / CLOCK_DRIFT_FACTOR - workers.lease_s
        )
        self.lease_s = workers.lease_s * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_S
        self.delegated_lease_s = workers.cancel_s * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_S
        self.takeover_s = workers.cancel_s * CLOCK_DRIFT_FACTOR + 2 * LEASE_MARGIN_S

    def may_answer_heartbeat(
        self, jobs_read_requested_at: Instant | None, lease_renewed_at: Instant, now: Instant
    ) -> bool:
        """Whether a heartbeat may be answered, which renews its worker's session.

        To be called when the response is sent, by the controller that answers, with times of its
        own monotonic clock. `jobs_read_requested_at` is None if the leader has read no jobs in this
        term: it knows of no cancellations and must not answer.
        """
        return jobs_read_requested_at is not None and now < (
            min(jobs_read_requested_at, lease_renewed_at) + self.renewal_window_s
        )

    def may_start(self, jobs_read_requested_at: Instant | None, now: Instant) -> bool:
        """Whether a leader may start a task; to be called when the start is sent.

        A cancellation unknown to the leader was confirmed after `jobs_read_requested_at`. So a
        start of a cancelled task is sent less than MAX_JOBS_READ_AGE_TO_START_S after the
        cancellation, however late the leader learns of it.
        """
        return (
            jobs_read_requested_at is not None
            and now < jobs_read_requested_at + MAX_JOBS_READ_AGE_TO_START_S
        )
