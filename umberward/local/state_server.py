"""The state service as an HTTP server on the loopback, with faults that can be injected.

Its behaviour is in `statecore`; this module reads the monotonic clock for it and translates between
HTTP and its methods.
"""

from __future__ import annotations

import time
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import unquote

import curio
import msgspec

from umberward.core.settings import StateLimits
from umberward.core.types import Address
from umberward.local import statecore
from umberward.local.http_requests import decode_body, error_response, query_parameters
from umberward.local.statecore import StateCore, TokenBucket
from umberward.protocol import wire
from umberward.protocol.http import Handler, Request, Response, Server

SERVICE_SOCKETS = 256
MAX_WATCH_S = 60.0
OUTAGE_POLL_S = 0.05  # how often open watches check for the end of an outage
MAX_WATCH_WAIT_S = 1.0  # an open watch checks again after this time, even without a change
LATE_EXECUTION_S = 4.0  # delay of late transactions
WITHHELD_RESPONSE_S = 30.0  # longer than any controller waits for a response
MIN_LEASE_MS, MAX_LEASE_MS = 100, 600_000
MS_PER_S = 1000

# Faults of all transactions, the values of `StateServer.transaction_fault`.
LOST_RESPONSES = "lost"  # executed, but not answered
LATE_EXECUTION = "late"  # executed after a delay and not answered


class LateTransaction(NamedTuple):
    """A transaction that is to be executed at `due_at`."""

    due_at: float
    body: dict[str, Any]


class StateServer:
    """The state service. It has one address per controller, so that it can refuse just one."""

    def __init__(self, core: StateCore, limits: StateLimits, addresses: list[Address]) -> None:
        """`addresses`: the address to listen on for each controller, by controller number."""
        self.core = core
        now = time.monotonic()
        self.request_bucket = TokenBucket(limits.rps, now)
        self.writes = TokenBucket(limits.write_rps, now)
        self.down = False
        self.refused: set[int] = set()  # numbers of controllers whose requests all get 503
        self.transaction_fault = ""  # LOST_RESPONSES, LATE_EXECUTION, or empty for no fault
        self.late: list[LateTransaction] = []
        self.changed = curio.Event()  # set at the next change, then replaced by a new event
        self.requests = 0
        self.rate_limited_requests = 0  # answered with 429
        self.servers = [
            Server(address, self._handler(number), SERVICE_SOCKETS)
            for number, address in enumerate(addresses)
        ]

    def _handler(self, number: int) -> Handler:
        """The request handler for one controller."""

        async def handle(request: Request) -> Response:
            self.requests += 1
            if self.closed(number):
                return Response(HTTPStatus.SERVICE_UNAVAILABLE)
            if not self.request_bucket.take(1, time.monotonic()):
                self.rate_limited_requests += 1
                return Response(HTTPStatus.TOO_MANY_REQUESTS)
            try:
                return await self._serve(request, number)
            except (msgspec.DecodeError, TypeError, ValueError, KeyError) as error:
                return error_response(HTTPStatus.BAD_REQUEST, str(error))

        return handle

    def closed(self, number: int) -> bool:
        """Whether the service is unavailable to the given controller."""
        return self.down or number in self.refused

    def set_down(self, down: bool) -> None:  # noqa: FBT001 - the tests pass it by position
        """Start or end an outage; when it ends, every lease is renewed for its full duration."""
        if self.down and not down:
            self.core.renew_all_leases(time.monotonic())
        self.down = down

    async def _serve(self, request: Request, number: int) -> Response:
        if request.path == "/leases" or request.path.startswith("/leases/"):
            return await self._serve_lease(request)
        if request.method == "GET":
            return await self._serve_read(request, number)
        if (request.method, request.path) == ("POST", "/commit"):
            return await self._serve_transaction(decode_body(request))
        return Response(HTTPStatus.NOT_FOUND)

    # ---- reads ---------------------------------------------------------------------------

    async def _serve_read(self, request: Request, number: int) -> Response:
        if request.path == "/kv":
            query = query_parameters(request)
            most = int(query.get("most", statecore.MAX_PAGE_ENTRIES))
            page = self.core.entries(query.get("prefix", ""), query.get("from", ""), most)
            return Response(HTTPStatus.OK, wire.encode(page))
        if request.path.startswith("/kv/"):
            return self._read_key(unquote(request.path[len("/kv/") :]))
        if request.path == "/watch":
            return await self._watch(query_parameters(request), number)
        return Response(HTTPStatus.NOT_FOUND)

    def _read_key(self, key: str) -> Response:
        stored = self.core.keys.get(key)
        if stored is None:
            answer = {"generation": self.core.revision}
            return Response(HTTPStatus.NOT_FOUND, wire.encode(answer))
        entry = wire.KeyValue(key, stored.data, stored.version, self.core.lease_by_key.get(key))
        return Response(HTTPStatus.OK, wire.encode(entry))

    async def _watch(self, query: dict[str, str], number: int) -> Response:
        """Return the changes after a revision, once there are any or the hold time is up."""
        prefix, after = query.get("prefix", ""), int(query.get("from", "0"))
        hold_s = min(float(query.get("hold_ms", "0")) / MS_PER_S, MAX_WATCH_S)
        deadline = time.monotonic() + hold_s
        while True:
            changed = self.changed
            if not self.closed(number):
                try:
                    changes = self.core.changes_after(prefix, after)
                except statecore.RevisionCompactedError:
                    return Response(HTTPStatus.GONE)
                wait_s = deadline - time.monotonic()
                if changes or wait_s <= 0:
                    response = wire.WatchResponse(self.core.revision, changes)
                    return Response(HTTPStatus.OK, wire.encode(response))
            else:
                wait_s = OUTAGE_POLL_S  # open watches stay open during an outage
            await curio.ignore_after(min(wait_s, MAX_WATCH_WAIT_S), changed.wait)

    async def notify(self) -> None:
        """Wake the open watches after a change."""
        changed, self.changed = self.changed, curio.Event()
        await changed.set()

    # ---- transactions --------------------------------------------------------------------

    async def _serve_transaction(self, body: dict[str, Any]) -> Response:
        if self.transaction_fault == LATE_EXECUTION:
            self.late.append(LateTransaction(time.monotonic() + LATE_EXECUTION_S, body))
            await curio.sleep(WITHHELD_RESPONSE_S)
            return Response(HTTPStatus.SERVICE_UNAVAILABLE)
        response = await self._commit(body)
        if self.transaction_fault == LOST_RESPONSES:
            await curio.sleep(WITHHELD_RESPONSE_S)
        return response

    async def _commit(self, body: dict[str, Any]) -> Response:
        conditions = [(condition["path"], condition["stamp"]) for condition in body.get("if") or ()]
        writes = list(body.get("writes") or ())
        if writes and not self.writes.take(len(writes), time.monotonic()):
            self.rate_limited_requests += 1
            return Response(HTTPStatus.TOO_MANY_REQUESTS)
        try:
            revision = self.core.commit(conditions, writes)
        except statecore.CompareFailedError as error:
            answer = {"failed": error.keys, "generation": self.core.revision}
            return Response(HTTPStatus.CONFLICT, wire.encode(answer))
        except statecore.InvalidRequestError as error:
            return error_response(HTTPStatus.BAD_REQUEST, str(error))
        await self.notify()
        return Response(HTTPStatus.OK, wire.encode({"generation": revision}))

    async def execute_due_transactions(self) -> None:
        """Execute the delayed transactions that are due."""
        now = time.monotonic()
        due = [transaction.body for transaction in self.late if transaction.due_at <= now]
        self.late = [transaction for transaction in self.late if transaction.due_at > now]
        for body in due:
            await self._commit(body)

    # ---- leases --------------------------------------------------------------------------

    async def _serve_lease(self, request: Request) -> Response:
        now = time.monotonic()
        path = request.path[len("/leases") :].strip("/")
        if request.method == "POST" and not path:
            return self._grant_lease(decode_body(request)["ttl_ms"], now)
        lease_id, _, action = path.partition("/")
        if not lease_id.isdecimal():
            return Response(HTTPStatus.NOT_FOUND)
        if request.method == "POST" and action == "extend":
            renewed = self.core.extend(int(lease_id), now)
            return Response(HTTPStatus.OK if renewed else HTTPStatus.NOT_FOUND)
        if request.method == "DELETE" and not action:
            self.core.end_lease(int(lease_id))
            await self.notify()
            return Response(HTTPStatus.OK)
        return Response(HTTPStatus.METHOD_NOT_ALLOWED)

    def _grant_lease(self, ttl_ms: object, now: float) -> Response:
        if not isinstance(ttl_ms, int) or not MIN_LEASE_MS <= ttl_ms <= MAX_LEASE_MS:
            text = f"ttl_ms: from {MIN_LEASE_MS} to {MAX_LEASE_MS}"
            return error_response(HTTPStatus.BAD_REQUEST, text)
        lease_id = self.core.grant(ttl_ms / MS_PER_S, now)
        return Response(HTTPStatus.OK, wire.encode({"charter": lease_id}))
