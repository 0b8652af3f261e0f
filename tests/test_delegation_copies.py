"""Late copies of requests for a delegation, which the leader can't tell from new ones."""

from __future__ import annotations

from cluster_settings import raw_settings

from umberward.core.settings import OperatorSettings, settings_from_toml
from umberward.core.types import ControllerName, Instant, ZoneName
from umberward.scheduling.sessions.lease_delegation import Delegator

DELEGATE, ZONE = ControllerName("k1"), ZoneName("b")
WORKERS = settings_from_toml(raw_settings(), OperatorSettings()).platform.cluster.workers


def test_copy_of_a_request_does_not_end_a_session_that_the_delegate_renews() -> None:
    delegator = Delegator(WORKERS, {DELEGATE: ZONE}, 5)
    last_at = 2.0 * WORKERS.lease_s
    requests: list[tuple[int, float]] = []  # what each said it had received, unused, and when
    received, at = 0, 0.0
    while at < last_at:  # the zone is not cut off, and the delegate is idle
        requests.append((received, at))
        received = delegator.issue(DELEGATE, received, Instant(at), unused=True)
        at += 1.0
    # The zone is cut off: the delegate renews the session from now on, and copies arrive.
    cut_at, now = at, at
    for seen, _ in requests[::-1] * 2:
        now += 0.5
        delegator.issue(DELEGATE, seen, Instant(now), unused=True)
        if now - cut_at <= delegator.bounds.delegated_lease_s:
            assert not delegator.lease_expired(ZONE, Instant(cut_at), Instant(cut_at), Instant(now))


def test_copy_of_a_request_extends_what_the_leader_waits_for() -> None:
    """Each issued delegation counts, as the leader can't know that nobody awaited the response."""
    delegator = Delegator(WORKERS, {DELEGATE: ZONE}, 5)
    first = delegator.issue(DELEGATE, 0, Instant(0.0), unused=False)
    assert delegator.issue(DELEGATE, 0, Instant(1.0), unused=False) > first
    expired_at = delegator.bounds.delegated_lease_s + 1.0
    assert not delegator.lease_expired(ZONE, Instant(0.0), Instant(1.0), Instant(expired_at - 0.01))
    assert delegator.lease_expired(ZONE, Instant(0.0), Instant(1.0), Instant(expired_at + 0.01))
