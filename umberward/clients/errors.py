"""Errors of the clients of the state service and of the cloud.

A caller must know whether a request may have been executed. The class of each error raised by the
state service's client says so; see also `umberward.protocol.http.NoResponseError`.
"""

from __future__ import annotations


class ServiceClientError(Exception):
    """Base class of all errors in this package."""


class StateUnavailableError(ServiceClientError):
    """The request to the state service was certainly not executed."""


class RateBudgetExceededError(StateUnavailableError):
    """This controller's share of a service's rate limit is used up; nothing was sent."""

    def __init__(self, wait_s: float) -> None:
        """`wait_s`: seconds until the budget would allow the request."""
        super().__init__(f"rate budget exceeded; next request allowed in {wait_s:.2f} s")
        self.wait_s = wait_s


class RateLimitedError(StateUnavailableError):
    """The state service rejected the request because of its rate limit; a retry may succeed."""

    def __init__(self, method: str, target: str) -> None:
        """`method` and `target`: those of the rejected HTTP request."""
        super().__init__(f"{method} {target}: rate limit exceeded (HTTP 429)")


class UnexpectedStatusError(StateUnavailableError):
    """The state service responded with a status that is not expected for the operation."""

    def __init__(self, operation: str, status: int) -> None:
        """`operation`: what was requested, for the log; `status`: the HTTP status."""
        super().__init__(f"{operation}: unexpected HTTP status {status}")


class TransactionRejectedError(StateUnavailableError):
    """The state service rejected the transaction or one of its values; a retry is useless."""

    def __init__(self, reason: str = "commit: transaction or value rejected (HTTP 400)") -> None:
        """`reason`: the rejected operation and its status, for the log."""
        super().__init__(reason)


class UnknownOutcomeError(ServiceClientError):
    """The request to the state service may have been executed or may yet be executed."""


class CompareAndSwapError(ServiceClientError):
    """A condition of the transaction failed; nothing was written."""


class LeaseExpiredError(ServiceClientError):
    """The lease has expired or was revoked in the state service."""


class RevisionCompactedError(ServiceClientError):
    """The state service has compacted (discarded) changes after the requested revision."""


class CloudRequestFailedError(ServiceClientError):
    """The request to the cloud was not executed, or it failed and is safe to retry."""


class CloudStatusError(CloudRequestFailedError):
    """The cloud responded with a status that is not expected for the operation."""

    def __init__(self, operation: str, status: int) -> None:
        """`operation`: what was requested, for the log; `status`: the HTTP status."""
        super().__init__(f"{operation}: unexpected HTTP status {status}")


class NoCapacityError(ServiceClientError):
    """The cloud currently has no machine of the requested type, zone and kind (spot or not)."""
