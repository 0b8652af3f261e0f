"""Errors of the clients of the state service and of the cloud.

For the caller the decisive question is whether a request may have been executed. Each error of the
state service's client answers it; see also `umberward.protocol.http.NoResponseError`.
"""

from __future__ import annotations


class ServiceClientError(Exception):
    """The base of all errors in this package."""


class StateUnavailableError(ServiceClientError):
    """The request to the state service was certainly not executed."""


class RateBudgetError(StateUnavailableError):
    """This controller's own share of a service's rate limit is used up; nothing was sent."""

    def __init__(self, wait_s: float) -> None:
        """`wait_s`: seconds until the budget would allow the request."""
        super().__init__(f"over budget for {wait_s:.2f} s")
        self.wait_s = wait_s


class RateLimitedError(StateUnavailableError):
    """The state service refused the request for its rate; a later attempt may succeed."""

    def __init__(self, method: str, target: str) -> None:
        """`method` and `target` are those of the refused HTTP request."""
        super().__init__(f"{method} {target}: 429")


class UnexpectedStatusError(StateUnavailableError):
    """The state service answered with a status that the operation does not know."""

    def __init__(self, operation: str, status: int) -> None:
        """`operation`: what was requested, for the log; `status`: the HTTP status."""
        super().__init__(f"{operation}: {status}")


class ValueTooLargeError(StateUnavailableError):
    """The state service refuses the transaction or one of its values; a retry is useless."""

    def __init__(self, reason: str = "commit: 400") -> None:
        """`reason`: the refused operation and its status, for the log."""
        super().__init__(reason)


class UnknownOutcomeError(ServiceClientError):
    """The request to the state service may have been executed, or may be executed later."""


class CompareAndSwapError(ServiceClientError):
    """A condition of the transaction failed; nothing was written."""


class LeaseExpiredError(ServiceClientError):
    """The state service does not have the lease any more."""


class RevisionCompactedError(ServiceClientError):
    """The state service no longer has the changes after the requested revision."""


class CloudUnavailableError(ServiceClientError):
    """The request to the cloud was not executed, or it only read and can be repeated."""


class CloudStatusError(CloudUnavailableError):
    """The cloud answered with a status that the operation does not know."""

    def __init__(self, operation: str, status: int) -> None:
        """`operation`: what was requested, for the log; `status`: the HTTP status."""
        super().__init__(f"{operation}: {status}")


class NoCapacityError(ServiceClientError):
    """The cloud has no machine of the requested type, zone and kind (spot or ordinary) now."""
