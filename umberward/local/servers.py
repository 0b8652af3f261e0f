"""HTTP servers on the loopback that simulate the state service, the cloud and workers.

Their behaviour is in the modules `statecore`, `cloudcore` and `workercore`; this module reads the
monotonic clock for them and translates between HTTP and their methods.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote

import curio
import msgspec

from umberward.core.log import logger
from umberward.core.settings import StateLimits
from umberward.core.types import Address, parse_address
from umberward.local import cloudcore, statecore
from umberward.local.cloudcore import CapacityPool, CloudCore, Machine
from umberward.local.statecore import StateCore, TokenBucket
from umberward.local.workercore import WorkerCore
from umberward.protocol import wire
from umberward.protocol.http import (
    Client,
    Handler,
    NoResponseError,
    Request,
    RequestNotSentError,
    Response,
    Server,
)

log = logger(__name__)

SERVICE_SOCKETS = 256
WORKER_SOCKETS = 16
MAX_WATCH_S = 60.0
CLOUD_BURST_S = 2.0
HEARTBEAT_INTERVAL_SPREAD = 0.25  # the interval varies by up to this fraction, both ways
MIN_HEARTBEAT_GAP_S = 0.5  # between two heartbeats, even if there are changes to report
HEARTBEAT_TIMEOUT_S = 4.0
RETRY_NEXT_CONTROLLER_S = 1.0
POLL_S = 0.05  # how often workers check for changes, and open watches for the end of an outage
MAX_WATCH_WAIT_S = 1.0  # an open watch checks again after this time, even without a change
LATE_EXECUTION_S = 4.0  # delay of late transactions
WITHHELD_RESPONSE_S = 30.0  # longer than any controller waits for a response
MIN_LEASE_MS, MAX_LEASE_MS = 100, 600_000
MS_PER_S = 1000

# Faults of all transactions, the values of `StateServer.transaction_fault`.
LOST_RESPONSES = "lost"  # executed, but not answered
LATE_EXECUTION = "late"  # executed after a delay and not answered


def _query(request: Request) -> dict[str, str]:
    """The parameters of the request's query string, the first value of each."""
    return {name: values[0] for name, values in parse_qs(request.query).items()}


class BodyNotMapError(TypeError):
    """A request's body is not a map."""

    def __init__(self) -> None:
        """The client gets this text in the response."""
        super().__init__("not a map")


def _body(request: Request) -> dict[str, Any]:
    """Decode a request's body; a missing body counts as an empty map.

    Raises msgspec.DecodeError or BodyNotMapError.
    """
    decoded = msgspec.msgpack.decode(request.body) if request.body else {}
    if not isinstance(decoded, dict):
        raise BodyNotMapError
    return decoded


def _error(status: int, text: str) -> Response:
    return Response(status, wire.encode({"error": text}))


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
                return _error(HTTPStatus.BAD_REQUEST, str(error))

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
            return await self._serve_transaction(_body(request))
        return Response(HTTPStatus.NOT_FOUND)

    # ---- reads ---------------------------------------------------------------------------

    async def _serve_read(self, request: Request, number: int) -> Response:
        if request.path == "/kv":
            query = _query(request)
            most = int(query.get("most", statecore.MAX_PAGE_ENTRIES))
            page = self.core.entries(query.get("prefix", ""), query.get("from", ""), most)
            return Response(HTTPStatus.OK, wire.encode(page))
        if request.path.startswith("/kv/"):
            return self._read_key(unquote(request.path[len("/kv/") :]))
        if request.path == "/watch":
            return await self._watch(_query(request), number)
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
                wait_s = POLL_S  # open watches stay open during an outage
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
            return _error(HTTPStatus.BAD_REQUEST, str(error))
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
            return self._grant_lease(_body(request)["ttl_ms"], now)
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
            return _error(HTTPStatus.BAD_REQUEST, text)
        lease_id = self.core.grant(ttl_ms / MS_PER_S, now)
        return Response(HTTPStatus.OK, wire.encode({"charter": lease_id}))


class CloudServer:
    """The cloud provider's API for controllers."""

    def __init__(
        self,
        core: CloudCore,
        rps: float,
        address: Address,
        on_deleted: Callable[[list[Machine]], None],
    ) -> None:
        """`rps`: limit of requests per second; `on_deleted`: called with deleted machines."""
        self.core = core
        self.rate = TokenBucket(rps, time.monotonic(), CLOUD_BURST_S)
        self.down = False
        self.on_deleted = on_deleted
        self.server = Server(address, self._serve, SERVICE_SOCKETS)

    async def _serve(self, request: Request) -> Response:
        if self.down:
            return _error(HTTPStatus.SERVICE_UNAVAILABLE, "trouble")
        if not self.rate.take(1, time.monotonic()):
            return Response(HTTPStatus.TOO_MANY_REQUESTS)
        try:
            return self._respond(request)
        except (
            msgspec.DecodeError,
            TypeError,
            ValueError,
            KeyError,
            cloudcore.MalformedRequestError,
        ) as error:
            return _error(HTTPStatus.BAD_REQUEST, str(error))

    def _respond(self, request: Request) -> Response:
        route = (request.method, request.path)
        if route == ("GET", "/flavors"):
            machine_types = wire.MachineTypeList(list(self.core.machine_types.values()))
            return Response(HTTPStatus.OK, wire.encode(machine_types))
        if route == ("POST", "/hosts"):
            return self._rent(msgspec.convert(_body(request), _RentalRequest))
        if route == ("POST", "/hosts/delete"):
            machine_ids = msgspec.convert(_body(request)["hosts"], list[str])
            self.on_deleted(self.core.delete(machine_ids))
            return Response(HTTPStatus.OK, wire.encode({}))
        if route == ("GET", "/hosts"):
            return self._list_machines(_query(request))
        return Response(HTTPStatus.NOT_FOUND)

    def _rent(self, rental: _RentalRequest) -> Response:
        kind = CapacityPool(rental.machine_type, rental.zone, rental.spot)
        try:
            machine_ids = self.core.rent(rental.claim, kind, rental.count, time.monotonic())
        except cloudcore.NoCapacityError:
            return _error(HTTPStatus.SERVICE_UNAVAILABLE, "no capacity")
        return Response(HTTPStatus.OK, wire.encode({"hosts": machine_ids}))

    def _list_machines(self, query: dict[str, str]) -> Response:
        requested = int(query.get("most", wire.MAX_MACHINES_PER_PAGE))
        page = self.core.list_page(
            query.get("from", ""), min(requested, wire.MAX_MACHINES_PER_PAGE)
        )
        answer = wire.CloudMachinePage(page.machines, page.more)
        return Response(HTTPStatus.OK, wire.encode(answer))


class _RentalRequest(
    msgspec.Struct,
    rename={
        "machine_type": "flavor",
        "zone": "yard",
        "spot": "reclaimable",
        "count": "how_many",
    },
):
    claim: str
    machine_type: str
    zone: str
    spot: bool
    count: int


class WorkerServer:
    """One machine's worker: sends heartbeats to one controller and accepts direct commands."""

    def __init__(
        self,
        core: WorkerCore,
        controller_addresses: dict[str, Address],
        report_s: float,
        client: Client,
        rng: random.Random,
    ) -> None:
        """`controller_addresses`: by controller name; `report_s`: mean heartbeat interval."""
        self.core = core
        self.controller_addresses = controller_addresses
        self.report_s = report_s
        self.client = client
        self.rng = rng
        # The controller that gets the heartbeats.
        self.node = rng.choice(sorted(controller_addresses))
        self.server = Server(parse_address(core.address), self._serve, WORKER_SOCKETS)

    async def run(self) -> None:
        """Serve commands and send heartbeats until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self.server.run)
            await group.spawn(self._send_heartbeats)

    async def _serve(self, request: Request) -> Response:
        core = self.core
        if (request.method, request.path) == ("GET", "/status"):
            return Response(HTTPStatus.OK, wire.encode(core.report()))
        if (request.method, request.path) != ("POST", "/do"):
            return Response(HTTPStatus.NOT_FOUND)
        try:
            body = msgspec.convert(_body(request), _CommandRequest)
        except (msgspec.DecodeError, msgspec.ValidationError, TypeError) as error:
            return _error(HTTPStatus.BAD_REQUEST, str(error))
        executed = core.handle_direct_commands(body.fencing_token, body.incarnation, body.commands)
        status = HTTPStatus.OK if executed else HTTPStatus.CONFLICT
        return Response(status, wire.encode(core.report()))

    async def _send_heartbeats(self) -> None:
        """Send a heartbeat in each interval, and one soon after each change."""
        reported_changes = 0
        last_sent_at = 0.0
        while True:
            due_at = time.monotonic() + self.report_s * self.rng.uniform(
                1 - HEARTBEAT_INTERVAL_SPREAD, 1 + HEARTBEAT_INTERVAL_SPREAD
            )
            while time.monotonic() < due_at and (
                self.core.changes == reported_changes
                or time.monotonic() < last_sent_at + MIN_HEARTBEAT_GAP_S
            ):
                await curio.sleep(POLL_S)
            reported_changes, last_sent_at = self.core.changes, time.monotonic()
            await self._send_heartbeat()

    async def _send_heartbeat(self) -> None:
        """Send a heartbeat; if it fails, switch to another controller for the next one.

        That is the leader, if the controller's response names it, and otherwise the next controller
        by name, after a pause.
        """
        incarnation, sent_at = self.core.incarnation, time.monotonic()
        leader = None
        try:
            response = await self.client.request(
                self.controller_addresses[self.node],
                "POST",
                "/hello",
                wire.encode(self.core.report()),
                HEARTBEAT_TIMEOUT_S,
            )
            if response.status == HTTPStatus.OK:
                body = msgspec.msgpack.decode(response.body, type=_HeartbeatResponse)
                self.core.handle_heartbeat_response(
                    sent_at, incarnation, body.fencing_token, body.commands
                )
                return
            if response.status == HTTPStatus.MISDIRECTED_REQUEST:
                leader = msgspec.msgpack.decode(response.body, type=_LeaderHint).leader
        except (RequestNotSentError, NoResponseError, msgspec.DecodeError):
            pass
        await self._switch_controller(leader)

    async def _switch_controller(self, leader: str | None) -> None:
        if leader is not None and leader in self.controller_addresses and leader != self.node:
            self.node = leader
            return
        names = sorted(self.controller_addresses)
        self.node = names[(names.index(self.node) + 1) % len(names)]
        await curio.sleep(RETRY_NEXT_CONTROLLER_S)


class _CommandRequest(
    msgspec.Struct,
    rename={"fencing_token": "epoch", "incarnation": "tenure", "commands": "orders"},
):
    fencing_token: int
    incarnation: int
    commands: list[wire.TaskCommand]


class _HeartbeatResponse(msgspec.Struct, rename={"fencing_token": "epoch", "commands": "orders"}):
    fencing_token: int = -1  # lower than any valid token: a response without one is dropped
    commands: list[wire.TaskCommand] = []


class _LeaderHint(msgspec.Struct, rename={"leader": "steward"}):
    leader: str | None = None
