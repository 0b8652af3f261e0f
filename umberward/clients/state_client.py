"""Client of the state service, within this controller's part of its request limits."""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import Any
from urllib.parse import quote

import curio

from umberward.core.log import logger
from umberward.core.settings import StateLimits
from umberward.core.types import Address, Key, LeaseId, Revision, Version
from umberward.protocol import wire
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError, Response
from umberward.protocol.transactions import NORMAL, URGENT, VersionedValue

log = logger(__name__)

# Parts of the state service's limits. A little stays free: clocks and bursts differ.
USABLE_SHARE = 0.98
LEADER_REQUEST_SHARE = 0.38
LEADER_WRITE_SHARE = 0.58
# Submissions come in bursts, and rarely at all controllers at once: so the others' writes may use
# so much of the second's worth that the state service allows, though their rate is lower. If they
# do all at once, it refuses some, and they are tried again.
FOLLOWER_WRITE_BURST_SHARE = 0.4
CHANGE_RATE_HEADROOM = 2.0


class StateUnavailableError(Exception):
    """The request was certainly not executed."""


class RateBudgetError(StateUnavailableError):
    """Our own part of the limits is used up for `wait` seconds."""

    def __init__(self, wait: float) -> None:
        super().__init__(f"over budget for {wait:.2f} s")
        self.wait_s = wait


class RateLimitedError(StateUnavailableError):
    """Above the state service's rate: not executed, and fine in a moment."""


class ValueTooLargeError(StateUnavailableError):
    """The state service takes no value or transaction of that size: asking again is no use."""


class UnknownOutcomeError(Exception):
    """The request may have been executed, or may be executed later."""


class CompareAndSwapError(Exception):
    """A condition failed."""


class LeaseExpiredError(Exception):
    """The lease is over."""


class RevisionCompactedError(Exception):
    """The service no longer keeps the changes asked for."""


class RateBudget:
    """A token bucket, of one second's worth if nothing else is said. Lower priorities leave some
    for the higher ones."""

    RESERVE = (0.0, 0.15, 0.4)

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.burst = rate
        self.tokens = rate
        self.filled_at = time.monotonic()

    def set_rate(self, rate: float, depth: float = 0.0) -> None:
        self._fill()
        self.rate = rate
        self.burst = max(rate, depth)

    def _fill(self) -> None:
        now = time.monotonic()
        self.tokens = min(self.burst, self.tokens + (now - self.filled_at) * self.rate)
        self.filled_at = now

    def wait_time(self, count: int, priority: int) -> float:
        """Seconds until `count` may be taken; 0: now."""
        self._fill()
        need = min(count, self.rate) + self.RESERVE[priority] * self.rate
        # Never ask for more than the bucket can hold.
        need = min(need, self.rate)
        return max(0.0, (need - self.tokens) / self.rate)

    def drain(self) -> None:
        """Others have used up what there was."""
        self._fill()
        self.tokens = min(self.tokens, 0.0)

    async def take(self, count: int, priority: int, patience: float) -> None:
        deadline = time.monotonic() + patience
        while True:
            wait = self.wait_time(count, priority)
            if wait <= 0:
                self.tokens -= count
                return
            if time.monotonic() + wait > deadline:
                raise RateBudgetError(wait)
            await curio.sleep(wait + 0.001)


class StateClient:
    def __init__(self, address: Address, limits: StateLimits, size: int, client: Client) -> None:
        self.address = address
        self.limits = limits
        self.strictest_limits = limits.strictest()  # comes into force without notice
        later = limits.next.write_rps if limits.next is not None else None
        self.max_write_rps = max(limits.write_rps, later or 0.0)
        self.leading = False
        self.client = client
        self.follower_count = max(1, size - 1)
        self.request_budget = RateBudget(limits.rps * LEADER_REQUEST_SHARE)
        self.write_budget = RateBudget(limits.write_rps * LEADER_WRITE_SHARE)
        self.set_role(leading=False)
        self._entry = wire.decoder(wire.KeyValue)
        self._listing = wire.decoder(wire.KeyValuePage)
        self._news = wire.decoder(wire.WatchResponse)
        self._generation = wire.decoder(wire.CommitResponse)
        self._lease = wire.decoder(wire.LeaseResponse)

    def set_role(self, leading: bool) -> None:
        """The leader writes most; the parts of all controllers together stay below the limits."""
        self.leading = leading
        calls, writes = LEADER_REQUEST_SHARE, LEADER_WRITE_SHARE
        if not leading:
            calls, writes = (
                (USABLE_SHARE - calls) / self.follower_count,
                (USABLE_SHARE - writes) / self.follower_count,
            )
        self.request_budget.set_rate(self.limits.rps * calls)
        burst = 0.0 if leading else FOLLOWER_WRITE_BURST_SHARE * self.limits.write_rps
        self.write_budget.set_rate(self.limits.write_rps * writes, burst)

    @property
    def max_changes_per_s(self) -> float:
        """How many times a second the revision may grow, with room to spare: writes, bursts of
        them, and the keys of leases that end."""
        return CHANGE_RATE_HEADROOM * self.max_write_rps

    async def _call(
        self,
        method: str,
        target: str,
        body: Any = None,
        timeout: float = 2.0,
        priority: int = NORMAL,
        patience: float = 1.0,
    ) -> Response:
        await self.request_budget.take(1, priority, patience)
        data = b"" if body is None else wire.encode(body)
        try:
            response = await self.client.request(self.address, method, target, data, timeout)
        except RequestNotSentError as error:
            raise StateUnavailableError(str(error)) from None
        except NoResponseError as error:
            raise UnknownOutcomeError(str(error)) from None
        if response.status == 429 and self.limits is not self.strictest_limits:
            # It may have lowered its limits; if not, we have room to spare with the lower ones.
            log.info(
                "state_limits_lowered", reason="the state service refused a request for its rate"
            )
            self.limits = self.strictest_limits
            self.set_role(self.leading)
        if response.status == 429:
            raise RateLimitedError(f"{method} {target}: 429")
        if response.status == 503:
            raise StateUnavailableError(f"{method} {target}: {response.status}")
        return response

    async def get(
        self, key: Key, priority: int = NORMAL, timeout: float = 1.5, patience: float = 0.5
    ) -> VersionedValue | None:
        response = await self._call("GET", f"/kv/{key}", None, timeout, priority, patience)
        if response.status == 404:
            return None
        if response.status != 200:
            raise StateUnavailableError(f"get {key}: {response.status}")
        entry = self._entry(response.body)
        return VersionedValue(entry.data, Version(entry.version))

    async def list_page(
        self, prefix: str, last: str = "", most: int = 200, priority: int = URGENT
    ) -> wire.KeyValuePage:
        """So many entries behind the key `last`."""
        target = f"/kv?prefix={quote(prefix)}&most={most}"
        if last:
            target += f"&from={quote(last)}"
        response = await self._call("GET", target, timeout=3.0, priority=priority)
        if response.status != 200:
            raise StateUnavailableError(f"list {prefix}: {response.status}")
        return self._listing(response.body)  # type: ignore[no-any-return]

    async def list_all(self, prefix: str) -> tuple[list[wire.KeyValue], Revision]:
        """All entries, and a revision from which a watch misses no change of them."""
        found: list[wire.KeyValue] = []
        last = ""
        revision: Revision | None = None
        while True:
            page = await self.list_page(prefix, last)
            # The first page's revision: changes behind the pages already read come by the watch.
            if revision is None:
                revision = Revision(page.revision)
            found += page.entries
            if not page.more or not page.entries:
                return found, revision
            last = page.entries[-1].key

    async def commit(
        self,
        conditions: Iterable[tuple[Key, Version]],
        writes: list[dict[str, Any]],
        priority: int = NORMAL,
        patience: float = 1.0,
        timeout: float = 2.0,
    ) -> Revision:
        """Raises Conflict, NoLease, Unavailable or Unknown."""
        body = {"if": [{"path": key, "stamp": stamp} for key, stamp in conditions]}
        if writes:
            body["writes"] = writes
        deadline = time.monotonic() + patience
        while True:
            left = max(0.0, deadline - time.monotonic())
            if writes:
                await self.write_budget.take(len(writes), priority, left)
            try:
                response = await self._call("POST", "/commit", body, timeout, priority, left)
                break
            except RateLimitedError:
                # All controllers together were too fast: we pause too, and ask again.
                self.write_budget.drain()
                if time.monotonic() >= deadline:
                    raise
        if response.status == 200:
            return Revision(self._generation(response.body).revision)
        if response.status == 409:
            raise CompareAndSwapError(repr(response.body[:200]))
        if response.status == 400 and b"no such lease" in response.body:
            raise LeaseExpiredError
        log.error("commit_refused", status=response.status, body=repr(response.body[:300]))
        if response.status == 400:
            raise ValueTooLargeError("commit: 400")
        raise StateUnavailableError(f"commit: {response.status}")

    async def grant_lease(self, ttl_s: float) -> LeaseId:
        response = await self._call(
            "POST", "/leases", {"ttl_ms": round(ttl_s * 1000)}, 1.0, priority=URGENT
        )
        if response.status != 200:
            raise StateUnavailableError(f"lease: {response.status}")
        return LeaseId(self._lease(response.body).lease_id)

    async def renew_lease(self, lease: LeaseId, timeout: float) -> None:
        target = f"/leases/{lease}/extend"
        response = await self._call("POST", target, {}, timeout, priority=URGENT, patience=0.3)
        if response.status == 404:
            raise LeaseExpiredError
        if response.status != 200:
            raise StateUnavailableError(f"extend: {response.status}")

    async def revoke_lease(self, lease: LeaseId) -> None:
        await self._call("DELETE", f"/leases/{lease}", None, 1.0, priority=URGENT)

    async def watch(
        self, prefix: str, after: Revision, hold_s: float, grace_s: float = 2.0
    ) -> tuple[list[wire.KeyChange], Revision]:
        target = f"/watch?prefix={quote(prefix)}&from={after}&hold_ms={round(hold_s * 1000)}"
        response = await self._call("GET", target, None, hold_s + grace_s, priority=URGENT)
        if response.status == 410:
            raise RevisionCompactedError
        if response.status != 200:
            raise StateUnavailableError(f"watch: {response.status}")
        news = self._news(response.body)
        return news.changes, Revision(news.revision)
