"""Client of the state service, within this controller's share of its rate limits.

The operations are compare-and-swap transactions, reads, watches and leases (PROTOCOL, "Controller
nodes -> state service"). Every request takes from a budget first, so that the controllers together
stay below the service's limits.
"""

from __future__ import annotations

import time
from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import quote

from umberward.clients.errors import (
    CompareAndSwapError,
    LeaseExpiredError,
    RateBudgetError,
    RateLimitedError,
    RevisionCompactedError,
    StateUnavailableError,
    UnexpectedStatusError,
    UnknownOutcomeError,
    ValueTooLargeError,
)
from umberward.clients.rate_budget import RateBudget
from umberward.core.log import logger
from umberward.core.settings import StateLimits
from umberward.core.types import Address, Key, LeaseId, Revision, Version
from umberward.protocol import wire
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError, Response
from umberward.protocol.transactions import NORMAL, URGENT, Priority, VersionedValue

__all__ = [
    "CompareAndSwapError",
    "LeaseExpiredError",
    "ListResult",
    "RateBudget",
    "RateBudgetError",
    "RateLimitedError",
    "RevisionCompactedError",
    "StateClient",
    "StateUnavailableError",
    "UnexpectedStatusError",
    "UnknownOutcomeError",
    "ValueTooLargeError",
    "WatchResult",
]

log = logger(__name__)

# Shares of the state service's limits. A little stays unused: clocks and bursts differ.
USABLE_SHARE = 0.98
LEADER_REQUEST_SHARE = 0.38
LEADER_WRITE_SHARE = 0.58
# Submissions come in bursts, and rarely at all controllers at once. So a follower may use this
# share of one second's writes in a burst, although its rate is lower. If all followers do so at
# once, the state service refuses some of the requests, which are then repeated.
FOLLOWER_WRITE_BURST_SHARE = 0.4
CHANGE_RATE_HEADROOM = 2.0

READ_TIMEOUT_S = 1.5
LIST_TIMEOUT_S = 3.0
COMMIT_TIMEOUT_S = 2.0
LEASE_TIMEOUT_S = 1.0
WATCH_GRACE_S = 2.0  # beyond the time for which the service may delay its response
READ_BUDGET_WAIT_S = 0.5
REQUEST_BUDGET_WAIT_S = 1.0
LEASE_RENEWAL_BUDGET_WAIT_S = 0.3
LIST_PAGE_SIZE = 200
MS_PER_S = 1000
LOGGED_BODY_BYTES = 300
ERROR_BODY_BYTES = 200


class ListResult(NamedTuple):
    """All entries under a prefix, and a revision from which a watch misses no change of them."""

    entries: list[wire.KeyValue]
    revision: Revision


class WatchResult(NamedTuple):
    """Changes after the requested revision, and the revision to watch from next."""

    changes: list[wire.KeyChange]
    revision: Revision


@dataclass(frozen=True, slots=True)
class _Request:
    """One HTTP request, with its limits in seconds of this process's steady clock."""

    method: str
    target: str
    body: object = None  # None: an empty body
    timeout_s: float = COMMIT_TIMEOUT_S
    priority: Priority = NORMAL
    budget_wait_s: float = REQUEST_BUDGET_WAIT_S


class StateClient:
    """Operations on the state service.

    All of them raise StateUnavailableError if the request was certainly not executed, and
    UnknownOutcomeError if that cannot be known; further errors are named at each. `patience` is
    the time in seconds that a request may wait for the rate budget.
    """

    def __init__(
        self, address: Address, limits: StateLimits, controller_count: int, client: Client
    ) -> None:
        """`limits` hold for all `controller_count` controllers together; start as a follower."""
        self.address = address
        self.limits = limits
        self.strictest_limits = limits.strictest()  # these come into force without notice
        next_write_rps = limits.next.write_rps if limits.next is not None else None
        self.max_write_rps = max(limits.write_rps, next_write_rps or 0.0)
        self.leading = False
        self.client = client
        self.follower_count = max(1, controller_count - 1)
        self.request_budget = RateBudget(limits.rps * LEADER_REQUEST_SHARE)
        self.write_budget = RateBudget(limits.write_rps * LEADER_WRITE_SHARE)
        self.set_role(leading=False)
        self._decode_entry = wire.decoder(wire.KeyValue)
        self._decode_page = wire.decoder(wire.KeyValuePage)
        self._decode_watch = wire.decoder(wire.WatchResponse)
        self._decode_commit = wire.decoder(wire.CommitResponse)
        self._decode_lease = wire.decoder(wire.LeaseResponse)

    def set_role(self, *, leading: bool) -> None:
        """Set the budgets for a leader or a follower.

        The leader writes most. The shares of all controllers together stay below the limits.
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
        """An upper bound of the revision's growth per second.

        It has room for writes, bursts of them, and keys that are deleted when their leases end.
        """
        return CHANGE_RATE_HEADROOM * self.max_write_rps

    # ---- reads -------------------------------------------------------------------------

    async def get(
        self,
        key: Key,
        priority: Priority = NORMAL,
        timeout: float = READ_TIMEOUT_S,
        patience: float = READ_BUDGET_WAIT_S,
    ) -> VersionedValue | None:
        """The value of a key; None: there is no such key."""
        response = await self._send(
            _Request("GET", f"/kv/{key}", None, timeout, priority, patience)
        )
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        _require_ok(response, f"get {key}")
        entry = self._decode_entry(response.body)
        return VersionedValue(entry.data, Version(entry.version))

    async def list_page(
        self,
        prefix: str,
        after_key: str = "",
        max_entries: int = LIST_PAGE_SIZE,
        priority: Priority = URGENT,
    ) -> wire.KeyValuePage:
        """At most `max_entries` entries with keys under `prefix` and behind `after_key`."""
        target = f"/kv?prefix={quote(prefix)}&most={max_entries}"
        if after_key:
            target += f"&from={quote(after_key)}"
        response = await self._send(
            _Request("GET", target, timeout_s=LIST_TIMEOUT_S, priority=priority)
        )
        _require_ok(response, f"list {prefix}")
        return self._decode_page(response.body)

    async def list_all(self, prefix: str) -> ListResult:
        """All entries with keys under `prefix`."""
        page = await self.list_page(prefix)
        # The first page's revision: a watch from there on also reports what changes in pages
        # while later ones are read.
        revision = Revision(page.revision)
        entries = list(page.entries)
        while page.more and page.entries:
            page = await self.list_page(prefix, page.entries[-1].key)
            entries += page.entries
        return ListResult(entries, revision)

    async def watch(
        self, prefix: str, after: Revision, hold_s: float, grace_s: float = WATCH_GRACE_S
    ) -> WatchResult:
        """The changes under `prefix` after the revision `after`.

        If there are none, the service delays its response by up to `hold_s` seconds. Raises
        RevisionCompactedError if it no longer has these changes.
        """
        target = f"/watch?prefix={quote(prefix)}&from={after}&hold_ms={round(hold_s * MS_PER_S)}"
        response = await self._send(
            _Request("GET", target, timeout_s=hold_s + grace_s, priority=URGENT)
        )
        if response.status == HTTPStatus.GONE:
            raise RevisionCompactedError
        _require_ok(response, "watch")
        answer = self._decode_watch(response.body)
        return WatchResult(answer.changes, Revision(answer.revision))

    # ---- transactions ------------------------------------------------------------------

    async def commit(
        self,
        conditions: Iterable[tuple[Key, Version]],
        writes: list[dict[str, Any]],
        priority: Priority = NORMAL,
        patience: float = REQUEST_BUDGET_WAIT_S,
        timeout: float = COMMIT_TIMEOUT_S,
    ) -> Revision:
        """Execute `writes` if every key still has the version in `conditions` (0: no such key).

        Returns the revision, which is the new version of the written keys. Raises
        CompareAndSwapError if a condition failed, LeaseExpiredError if a write names a lease that
        has ended, and ValueTooLargeError if the service accepts no transaction of that size.
        """
        body: dict[str, Any] = {
            "if": [{"path": key, "stamp": version} for key, version in conditions]
        }
        if writes:
            body["writes"] = writes
        deadline = time.monotonic() + patience
        while True:
            left_s = max(0.0, deadline - time.monotonic())
            if writes:
                await self.write_budget.take(len(writes), priority, left_s)
            try:
                response = await self._send(
                    _Request("POST", "/commit", body, timeout, priority, left_s)
                )
                break
            except RateLimitedError:
                # The controllers together were too fast: this one pauses, too, and repeats it.
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
            raise ValueTooLargeError
        raise UnexpectedStatusError("commit", response.status)

    # ---- leases ------------------------------------------------------------------------

    async def grant_lease(self, ttl_s: float) -> LeaseId:
        """A new lease that ends `ttl_s` seconds after its last renewal, by the service's clock."""
        body = {"ttl_ms": round(ttl_s * MS_PER_S)}
        response = await self._send(_Request("POST", "/leases", body, LEASE_TIMEOUT_S, URGENT))
        _require_ok(response, "lease")
        return LeaseId(self._decode_lease(response.body).lease_id)

    async def renew_lease(self, lease: LeaseId, timeout: float) -> None:
        """Renew a lease. Raises LeaseExpiredError if it has ended already."""
        target = f"/leases/{lease}/extend"
        response = await self._send(
            _Request("POST", target, {}, timeout, URGENT, LEASE_RENEWAL_BUDGET_WAIT_S)
        )
        if response.status == HTTPStatus.NOT_FOUND:
            raise LeaseExpiredError
        _require_ok(response, "extend")

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease, and with it the keys that were written with it."""
        await self._send(_Request("DELETE", f"/leases/{lease}", None, LEASE_TIMEOUT_S, URGENT))

    # ---- requests ----------------------------------------------------------------------

    async def _send(self, request: _Request) -> Response:
        """The response to a request, unless it says that the service did not execute it."""
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
        """Assume that the service has lowered its limits; if not, the lower ones do no harm."""
        if self.limits is self.strictest_limits:
            return
        log.info("state_limits_lowered", reason="the state service refused a request for its rate")
        self.limits = self.strictest_limits
        self.set_role(leading=self.leading)


def _require_ok(response: Response, operation: str) -> None:
    if response.status != HTTPStatus.OK:
        raise UnexpectedStatusError(operation, response.status)
