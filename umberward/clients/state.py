"""Client of the state service, within this controller's part of its request limits."""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import Any
from urllib.parse import quote

import curio

from umberward.core.log import logger
from umberward.core.settings import StateLimits
from umberward.core.types import Address, Key, LeaseId, Revision, Stamp
from umberward.protocol import wire
from umberward.protocol.changes import COMMON, URGENT, Got
from umberward.protocol.http import Client, NoAnswer, NotSent, Response

log = logger(__name__)

# Parts of the state service's limits. A little stays free: clocks and bursts differ.
ALL = 0.98
LEADERS_CALLS = 0.38
LEADERS_WRITES = 0.58
# Submissions come in bursts, and rarely at all controllers at once: so the others' writes may use
# so much of the second's worth that the state service allows, though their rate is lower. If they
# do all at once, it refuses some, and they are tried again.
OTHERS_BURST = 0.4
SPARE_CHANGES = 2.0


class Unavailable(Exception):
    """The request was certainly not executed."""


class OverBudget(Unavailable):
    """Our own part of the limits is used up for `wait` seconds."""

    def __init__(self, wait: float) -> None:
        super().__init__(f"over budget for {wait:.2f} s")
        self.wait = wait


class RateLimited(Unavailable):
    """Above the state service's rate: not executed, and fine in a moment."""


class TooLarge(Unavailable):
    """The state service takes no value or transaction of that size: asking again is no use."""


class Unknown(Exception):
    """The request may have been executed, or may be executed later."""


class Conflict(Exception):
    """A condition failed."""


class NoLease(Exception):
    """The lease is over."""


class TooOld(Exception):
    """The service no longer keeps the changes asked for."""


class Budget:
    """A token bucket, of one second's worth if nothing else is said. Lower priorities leave some
    for the higher ones."""

    RESERVE = (0.0, 0.15, 0.4)

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.depth = rate
        self.tokens = rate
        self.at = time.monotonic()

    def set_rate(self, rate: float, depth: float = 0.0) -> None:
        self._fill()
        self.rate = rate
        self.depth = max(rate, depth)

    def _fill(self) -> None:
        now = time.monotonic()
        self.tokens = min(self.depth, self.tokens + (now - self.at) * self.rate)
        self.at = now

    def wait(self, count: int, priority: int) -> float:
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
            wait = self.wait(count, priority)
            if wait <= 0:
                self.tokens -= count
                return
            if time.monotonic() + wait > deadline:
                raise OverBudget(wait)
            await curio.sleep(wait + 0.001)


class State:
    def __init__(self, address: Address, limits: StateLimits, size: int, client: Client) -> None:
        self.address = address
        self.limits = limits
        self.lower = limits.least()  # comes into force without notice
        later = limits.next.write_rps if limits.next is not None else None
        self.widest_write_rps = max(limits.write_rps, later or 0.0)
        self.leading = False
        self.client = client
        self.others = max(1, size - 1)
        self.calls = Budget(limits.rps * LEADERS_CALLS)
        self.writes = Budget(limits.write_rps * LEADERS_WRITES)
        self.share(leading=False)
        self._entry = wire.decoder(wire.Entry)
        self._listing = wire.decoder(wire.Listing)
        self._news = wire.decoder(wire.News)
        self._generation = wire.decoder(wire.Generation)
        self._lease = wire.decoder(wire.Lease)

    def share(self, leading: bool) -> None:
        """The leader writes most; the parts of all controllers together stay below the limits."""
        self.leading = leading
        calls, writes = LEADERS_CALLS, LEADERS_WRITES
        if not leading:
            calls, writes = (ALL - calls) / self.others, (ALL - writes) / self.others
        self.calls.set_rate(self.limits.rps * calls)
        burst = 0.0 if leading else OTHERS_BURST * self.limits.write_rps
        self.writes.set_rate(self.limits.write_rps * writes, burst)

    @property
    def most_changes(self) -> float:
        """How many times a second the revision may grow, with room to spare: writes, bursts of
        them, and the keys of leases that end."""
        return SPARE_CHANGES * self.widest_write_rps

    async def _call(
        self,
        method: str,
        target: str,
        body: Any = None,
        timeout: float = 2.0,
        priority: int = COMMON,
        patience: float = 1.0,
    ) -> Response:
        await self.calls.take(1, priority, patience)
        data = b"" if body is None else wire.encode(body)
        try:
            response = await self.client.request(self.address, method, target, data, timeout)
        except NotSent as error:
            raise Unavailable(str(error)) from None
        except NoAnswer as error:
            raise Unknown(str(error)) from None
        if response.status == 429 and self.limits is not self.lower:
            # It may have lowered its limits; if not, we have room to spare with the lower ones.
            log.info("lower_limits", reason="the state service refused a request for its rate")
            self.limits = self.lower
            self.share(self.leading)
        if response.status == 429:
            raise RateLimited(f"{method} {target}: 429")
        if response.status == 503:
            raise Unavailable(f"{method} {target}: {response.status}")
        return response

    async def get(
        self, key: Key, priority: int = COMMON, timeout: float = 1.5, patience: float = 0.5
    ) -> Got | None:
        response = await self._call("GET", f"/kv/{key}", None, timeout, priority, patience)
        if response.status == 404:
            return None
        if response.status != 200:
            raise Unavailable(f"get {key}: {response.status}")
        entry = self._entry(response.body)
        return Got(entry.data, Stamp(entry.stamp))

    async def page(
        self, prefix: str, last: str = "", most: int = 200, priority: int = URGENT
    ) -> wire.Listing:
        """So many entries behind the key `last`."""
        target = f"/kv?prefix={quote(prefix)}&most={most}"
        if last:
            target += f"&from={quote(last)}"
        response = await self._call("GET", target, timeout=3.0, priority=priority)
        if response.status != 200:
            raise Unavailable(f"list {prefix}: {response.status}")
        return self._listing(response.body)  # type: ignore[no-any-return]

    async def entries(self, prefix: str) -> tuple[list[wire.Entry], Revision]:
        """All entries, and a revision from which a watch misses no change of them."""
        found: list[wire.Entry] = []
        last = ""
        revision: Revision | None = None
        while True:
            page = await self.page(prefix, last)
            # The first page's revision: changes behind the pages already read come by the watch.
            if revision is None:
                revision = Revision(page.generation)
            found += page.entries
            if not page.more or not page.entries:
                return found, revision
            last = page.entries[-1].path

    async def commit(
        self,
        conditions: Iterable[tuple[Key, Stamp]],
        writes: list[dict[str, Any]],
        priority: int = COMMON,
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
                await self.writes.take(len(writes), priority, left)
            try:
                response = await self._call("POST", "/commit", body, timeout, priority, left)
                break
            except RateLimited:
                # All controllers together were too fast: we pause too, and ask again.
                self.writes.drain()
                if time.monotonic() >= deadline:
                    raise
        if response.status == 200:
            return Revision(self._generation(response.body).generation)
        if response.status == 409:
            raise Conflict(repr(response.body[:200]))
        if response.status == 400 and b"no such lease" in response.body:
            raise NoLease
        log.error("commit_refused", status=response.status, body=repr(response.body[:300]))
        if response.status == 400:
            raise TooLarge("commit: 400")
        raise Unavailable(f"commit: {response.status}")

    async def grant(self, ttl_s: float) -> LeaseId:
        response = await self._call(
            "POST", "/leases", {"ttl_ms": round(ttl_s * 1000)}, 1.0, priority=URGENT
        )
        if response.status != 200:
            raise Unavailable(f"lease: {response.status}")
        return LeaseId(self._lease(response.body).charter)

    async def extend(self, lease: LeaseId, timeout: float) -> None:
        target = f"/leases/{lease}/extend"
        response = await self._call("POST", target, {}, timeout, priority=URGENT, patience=0.3)
        if response.status == 404:
            raise NoLease
        if response.status != 200:
            raise Unavailable(f"extend: {response.status}")

    async def drop(self, lease: LeaseId) -> None:
        await self._call("DELETE", f"/leases/{lease}", None, 1.0, priority=URGENT)

    async def watch(
        self, prefix: str, after: Revision, hold_s: float, grace_s: float = 2.0
    ) -> tuple[list[wire.Change], Revision]:
        target = f"/watch?prefix={quote(prefix)}&from={after}&hold_ms={round(hold_s * 1000)}"
        response = await self._call("GET", target, None, hold_s + grace_s, priority=URGENT)
        if response.status == 410:
            raise TooOld
        if response.status != 200:
            raise Unavailable(f"watch: {response.status}")
        news = self._news(response.body)
        return news.news, Revision(news.generation)
