"""Client of the state service, within this controller's share of its rate limits.

The operations are compare-and-swap transactions, reads, watches and leases (PROTOCOL, "Controller
nodes -> state service"). Every request takes a token from a rate budget first, so that all
controllers together stay below the service's limits.
"""

from __future__ import annotations

import time
from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import quote

import msgspec

from umberward.clients.errors import (
    CompareAndSwapError,
    LeaseExpiredError,
    RateBudgetExceededError,
    RateLimitedError,
    RevisionCompactedError,
    StateUnavailableError,
    TransactionRejectedError,
    UnexpectedStatusError,
    UnknownOutcomeError,
)
from umberward.clients.rate_budget import RateBudget
from umberward.core.log import logger
from umberward.core.settings import StateLimits
from umberward.core.types import Address, Key, LeaseId, Revision, Version
from umberward.protocol import wire
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError, Response
from umberward.protocol.transactions import (
    NORMAL,
    URGENT,
    AbsentKey,
    RequestPriority,
    VersionedValue,
)

__all__ = [
    "CompareAndSwapError",
    "LeaseExpiredError",
    "ListResult",
    "RateBudget",
    "RateBudgetExceededError",
    "RateLimitedError",
    "RevisionCompactedError",
    "StateClient",
    "StateUnavailableError",
    "TransactionRejectedError",
    "UnexpectedStatusError",
    "UnknownOutcomeError",
    "WatchResult",
]

log = logger(__name__)

# Shares of the state service's limits. A small part stays unused, as clocks and bursts differ.
USABLE_SHARE = 0.98
LEADER_REQUEST_SHARE = 0.38
LEADER_WRITE_SHARE = 0.58
# Submissions come in bursts, rarely at all controllers at once. A burst of a follower may therefore
# use this share of the write limit per second, although its rate is lower. If all followers do so
# at once, the state service rejects some requests, which are then retried.
FOLLOWER_WRITE_BURST_SHARE = 0.4
CHANGE_RATE_SAFETY_FACTOR = 2.0  # for bursts and for keys deleted when their leases end

READ_TIMEOUT_S = 1.5
LIST_TIMEOUT_S = 3.0
COMMIT_TIMEOUT_S = 2.0
LEASE_TIMEOUT_S = 1.0
WATCH_RESPONSE_MARGIN_S = 2.0  # added to the time for which the service may delay its response
READ_BUDGET_WAIT_S = 0.5
REQUEST_BUDGET_WAIT_S = 1.0
LEASE_RENEWAL_BUDGET_WAIT_S = 0.3
LIST_PAGE_SIZE = 200
MS_PER_S = 1000
LOGGED_BODY_BYTES = 300
ERROR_BODY_BYTES = 200


class ListResult(NamedTuple):
    """All entries under a prefix, and the revision after which to watch for their changes."""

    entries: list[wire.KeyValue]
    revision: Revision


class WatchResult(NamedTuple):
    """Changes after the requested revision, and the revision for the next watch."""

    changes: list[wire.KeyChange]
    revision: Revision


@dataclass(frozen=True, slots=True)
class _Request:
    """One HTTP request, with its time limits in seconds."""

    method: str
    target: str
    body: object = None  # None: an empty body
    timeout_s: float = COMMIT_TIMEOUT_S
    priority: RequestPriority = NORMAL
    budget_wait_s: float = REQUEST_BUDGET_WAIT_S


class StateClient:
    """Operations on the state service.

    All of them raise StateUnavailableError if the request was certainly not executed, and
    UnknownOutcomeError if it may have been; each operation documents further errors.
    `budget_wait_s` is the time in seconds that a request may wait for the rate budget.
    """

    def __init__(
        self, address: Address, limits: StateLimits, controller_count: int, client: Client
    ) -> None:
        """Create a client of a follower, a controller that does not lead.

        `limits` apply to all `controller_count` controllers.
        """
        self.address = address
        self.limits = limits
        self.strictest_limits = limits.strictest()  # these may take effect without notice
        next_write_rps = limits.next.write_rps if limits.next is not None else None
        self.max_write_rps = max(limits.write_rps, next_write_rps or 0.0)
        self.leading = False
        self.client = client
        self.follower_count = max(1, controller_count - 1)
        # `set_role` replaces these rates.
        self.request_budget = RateBudget(limits.rps * LEADER_REQUEST_SHARE)
        self.write_budget = RateBudget(limits.write_rps * LEADER_WRITE_SHARE)
        self.set_role(leading=False)
        self._decode_entry = wire.decoder(wire.KeyValue)
        self._decode_page = wire.decoder(wire.KeyValuePage)
        self._decode_watch = wire.decoder(wire.WatchResponse)
        self._decode_commit = wire.decoder(wire.CommitResponse)
        self._decode_absence = wire.decoder(wire.AbsenceResponse)
        self._decode_lease = wire.decoder(wire.LeaseResponse)

    def set_role(self, *, leading: bool) -> None:
        """Set the rate budgets for a leader or a follower.

        The leader writes most, so it gets the largest share of the writes. The sum of all
        controllers' shares is below the limits.
        """
        self.leading = leading
        request_share, write_share = LEADER_REQUEST_SHARE, LEADER_WRITE_SHARE
        min_write_burst = 0.0
        if not leading:
            request_share = (USABLE_SHARE - request_share) / self.follower_count
            write_share = (USABLE_SHARE - write_share) / self.follower_count
            min_write_burst = FOLLOWER_WRITE_BURST_SHARE * self.limits.write_rps
        self.request_budget.set_rate(self.limits.rps * request_share)
        self.write_budget.set_rate(self.limits.write_rps * write_share, min_write_burst)

    @property
    def max_changes_per_s(self) -> float:
        """An upper bound of the number of revisions per second.

        It covers writes, bursts of writes, and deletions of keys whose leases end.
        """
        return CHANGE_RATE_SAFETY_FACTOR * self.max_write_rps

    # ---- reads -------------------------------------------------------------------------

    async def get(
        self,
        key: Key,
        priority: RequestPriority = NORMAL,
        timeout: float = READ_TIMEOUT_S,
        budget_wait_s: float = READ_BUDGET_WAIT_S,
    ) -> VersionedValue | AbsentKey:
        """Return the value of a key, or the answer that there is no such key.

        Raises UnexpectedStatusError for a 404 that names no revision: the service did not send it.
        """
        response = await self._send(
            _Request("GET", f"/kv/{key}", None, timeout, priority, budget_wait_s)
        )
        operation = f"get {key}"
        if response.status == HTTPStatus.NOT_FOUND:
            return self._absent_key(key, response, operation)
        _require_ok(response, operation)
        entry = self._decode_entry(response.body)
        return VersionedValue(entry.data, Version(entry.version))

    def _absent_key(self, key: Key, response: Response, operation: str) -> AbsentKey:
        try:
            revision = self._decode_absence(response.body).revision
        except msgspec.DecodeError:
            raise UnexpectedStatusError(operation, response.status) from None
        return AbsentKey(key, Revision(revision))

    async def list_page(
        self,
        prefix: str,
        after_key: str = "",
        max_entries: int = LIST_PAGE_SIZE,
        priority: RequestPriority = URGENT,
    ) -> wire.KeyValuePage:
        """Return up to `max_entries` entries with keys under `prefix` and above `after_key`."""
        target = f"/kv?prefix={quote(prefix)}&most={max_entries}"
        if after_key:
            target += f"&from={quote(after_key)}"
        response = await self._send(
            _Request("GET", target, timeout_s=LIST_TIMEOUT_S, priority=priority)
        )
        _require_ok(response, f"list {prefix}")
        return self._decode_page(response.body)

    async def list_all(self, prefix: str) -> ListResult:
        """Return all entries with keys under `prefix`."""
        page = await self.list_page(prefix)
        # Use the first page's revision, so that a watch also reports changes made while later pages
        # are read.
        revision = Revision(page.revision)
        entries = list(page.entries)
        while page.more and page.entries:
            page = await self.list_page(prefix, page.entries[-1].key)
            entries += page.entries
        return ListResult(entries, revision)

    async def watch(
        self,
        prefix: str,
        after: Revision,
        max_delay_s: float,
        response_margin_s: float = WATCH_RESPONSE_MARGIN_S,
    ) -> WatchResult:
        """Return the changes under `prefix` after the revision `after`.

        This is a long poll: without changes, the service delays its response by up to `max_delay_s`
        seconds. Raises RevisionCompactedError if the service no longer keeps these changes.
        """
        target = (
            f"/watch?prefix={quote(prefix)}&from={after}&hold_ms={round(max_delay_s * MS_PER_S)}"
        )
        response = await self._send(
            _Request("GET", target, timeout_s=max_delay_s + response_margin_s, priority=URGENT)
        )
        if response.status == HTTPStatus.GONE:
            raise RevisionCompactedError
        _require_ok(response, "watch")
        watch_response = self._decode_watch(response.body)
        return WatchResult(watch_response.changes, Revision(watch_response.revision))

    # ---- transactions ------------------------------------------------------------------

    async def commit(
        self,
        conditions: Iterable[tuple[Key, Version]],
        writes: list[dict[str, Any]],
        priority: RequestPriority = NORMAL,
        budget_wait_s: float = REQUEST_BUDGET_WAIT_S,
        timeout: float = COMMIT_TIMEOUT_S,
    ) -> Revision:
        """Execute `writes` if every key still has the version in `conditions` (0: no such key).

        Returns the revision, which is the new version of the written keys. Raises
        CompareAndSwapError if a condition failed, LeaseExpiredError if a write names a lease that
        has ended, and TransactionRejectedError if the service rejected the transaction or a value
        in it.
        """
        body: dict[str, Any] = {
            "if": [{"path": key, "stamp": version} for key, version in conditions]
        }
        if writes:
            body["writes"] = writes
        deadline = time.monotonic() + budget_wait_s
        while True:
            remaining_wait_s = max(0.0, deadline - time.monotonic())
            if writes:
                await self.write_budget.take(len(writes), priority, remaining_wait_s)
            try:
                response = await self._send(
                    _Request("POST", "/commit", body, timeout, priority, remaining_wait_s)
                )
                break
            except RateLimitedError:
                # The controllers together exceeded the limit, so this one slows down and retries.
                self.write_budget.drain()
                if time.monotonic() >= deadline:
                    raise
        return self._committed_revision(response)

    def _committed_revision(self, response: Response) -> Revision:
        if response.status == HTTPStatus.OK:
            return Revision(self._decode_commit(response.body).revision)
        if response.status == HTTPStatus.CONFLICT:
            raise CompareAndSwapError(repr(response.body[:ERROR_BODY_BYTES]))
        if response.status == HTTPStatus.BAD_REQUEST and b"no such lease" in response.body:
            raise LeaseExpiredError
        log.error(
            "commit_refused",
            status=response.status,
            body=repr(response.body[:LOGGED_BODY_BYTES]),
        )
        if response.status == HTTPStatus.BAD_REQUEST:
            raise TransactionRejectedError
        raise UnexpectedStatusError("commit", response.status)

    # ---- leases ------------------------------------------------------------------------

    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """Grant a lease that ends `ttl_s` seconds (service's clock) after its last renewal."""
        body = {"ttl_ms": round(ttl_s * MS_PER_S)}
        response = await self._send(_Request("POST", "/leases", body, LEASE_TIMEOUT_S, URGENT))
        _require_ok(response, "lease")
        return LeaseId(self._decode_lease(response.body).lease_id)

    async def renew_lease(self, lease: LeaseId, timeout: float) -> None:
        """Renew a lease. Raises LeaseExpiredError if it has already ended."""
        target = f"/leases/{lease}/extend"
        response = await self._send(
            _Request("POST", target, {}, timeout, URGENT, LEASE_RENEWAL_BUDGET_WAIT_S)
        )
        if response.status == HTTPStatus.NOT_FOUND:
            raise LeaseExpiredError
        _require_ok(response, "extend")

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease, which also deletes the keys attached to it."""
        await self._send(_Request("DELETE", f"/leases/{lease}", None, LEASE_TIMEOUT_S, URGENT))

    # ---- requests ----------------------------------------------------------------------

    async def _send(self, request: _Request) -> Response:
        """Send a request and return its response.

        Raises StateUnavailableError if the service certainly did not execute it, and
        UnknownOutcomeError if it may have done so."""
        await self.request_budget.take(1, request.priority, request.budget_wait_s)
        body = b"" if request.body is None else wire.encode(request.body)
        try:
            response = await self.client.request(
                self.address, request.method, request.target, body, request.timeout_s
            )
        except RequestNotSentError as error:
            raise StateUnavailableError(str(error)) from None
        except NoResponseError as error:
            raise UnknownOutcomeError(str(error)) from None
        if response.status == HTTPStatus.TOO_MANY_REQUESTS:
            self._use_strictest_limits()
            raise RateLimitedError(request.method, request.target)
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            operation = f"{request.method} {request.target}"
            raise UnexpectedStatusError(operation, response.status)
        return response

    def _use_strictest_limits(self) -> None:
        """Use the lower of the current and the announced limits from now on.

        The service has probably lowered its limits. If it has not, this only costs speed.
        """
        if self.limits is self.strictest_limits:
            return
        log.info("state_limits_lowered", reason="the state service refused a request for its rate")
        self.limits = self.strictest_limits
        self.set_role(leading=self.leading)


def _require_ok(response: Response, operation: str) -> None:
    if response.status != HTTPStatus.OK:
        raise UnexpectedStatusError(operation, response.status)
