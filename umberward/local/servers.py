"""The stand-ins on real HTTP over the loopback; what they mean stands in the `...core` modules."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from urllib.parse import parse_qs, unquote

import curio
import msgspec

from umberward.core.log import logger
from umberward.core.settings import StateLimits
from umberward.core.types import Address, parse_address
from umberward.local import cloudcore, statecore
from umberward.local.cloudcore import CloudCore, Machine
from umberward.local.statecore import Rate, StateCore
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

SOCKETS = 256
LONGEST_HOLD_S = 60.0
REPORT_SPREAD = 0.25  # give or take, of the time between two reports
LEAST_GAP_S = 0.5  # between two reports
HELLO_TIMEOUT_S = 4.0
NEXT_NODE_S = 1.0
LOOK_S = 0.05
LATE_S = 4.0  # a late transaction is executed so much later
NO_ANSWER_S = 30.0  # nobody waits that long


def _query(request: Request) -> dict[str, str]:
    return {name: values[0] for name, values in parse_qs(request.query).items()}


def _body(request: Request) -> dict[str, object]:
    """Raises msgspec.DecodeError or TypeError for anything but a map."""
    found = msgspec.msgpack.decode(request.body) if request.body else {}
    if not isinstance(found, dict):
        raise TypeError("not a map")
    return found


def _error(status: int, text: str) -> Response:
    return Response(status, wire.encode({"error": text}))


class StateServer:
    """Each controller has an address of its own, so that one alone can be refused."""

    def __init__(self, core: StateCore, limits: StateLimits, addresses: list[Address]) -> None:
        self.core = core
        now = time.monotonic()
        self.calls = Rate(limits.rps, now)
        self.writes = Rate(limits.write_rps, now)
        self.down = False
        self.refused: set[int] = set()  # controllers that alone get no answer but 503
        self.lossy = ""  # transactions get no answer: "lost" is executed, "late" is later
        self.late: list[tuple[float, dict[str, object]]] = []
        self.changed = curio.Event()
        self.requests = 0
        self.over_rate = 0
        self.servers = [
            Server(address, self._handler(number), SOCKETS)
            for number, address in enumerate(addresses)
        ]

    def _handler(self, number: int) -> Handler:
        async def handle(request: Request) -> Response:
            self.requests += 1
            if self.closed(number):
                return Response(503)
            if not self.calls.take(1, time.monotonic()):
                self.over_rate += 1
                return Response(429)
            try:
                return await self._serve(request, number)
            except (msgspec.DecodeError, TypeError, ValueError, KeyError) as error:
                return _error(400, str(error))

        return handle

    def closed(self, number: int) -> bool:
        return self.down or number in self.refused

    def set_down(self, down: bool) -> None:
        if self.down and not down:
            self.core.recovered(time.monotonic())
        self.down = down

    async def _serve(self, request: Request, number: int) -> Response:
        method, path = request.method, request.path
        if method == "GET" and path == "/kv":
            asked = _query(request)
            most = int(asked.get("most", statecore.MOST_ENTRIES))
            page = self.core.entries(asked.get("prefix", ""), asked.get("from", ""), most)
            return Response(200, wire.encode(page))
        if method == "GET" and path.startswith("/kv/"):
            return self._get(unquote(path[len("/kv/") :]))
        if method == "GET" and path == "/watch":
            return await self._watch(_query(request), number)
        if method == "POST" and path == "/commit":
            body = _body(request)
            if self.lossy == "late":
                self.late.append((time.monotonic() + LATE_S, body))
                await curio.sleep(NO_ANSWER_S)
                return Response(503)
            response = await self._commit(body)
            if self.lossy == "lost":
                await curio.sleep(NO_ANSWER_S)
            return response
        if path == "/leases" or path.startswith("/leases/"):
            return await self._lease(method, path[len("/leases") :].strip("/"), request)
        return Response(404)

    def _get(self, key: str) -> Response:
        found = self.core.keys.get(key)
        if found is None:
            return Response(404, wire.encode({"generation": self.core.revision}))
        entry = wire.KeyValue(key, found.data, found.version, self.core.attached.get(key))
        return Response(200, wire.encode(entry))

    async def _commit(self, body: dict[str, object]) -> Response:
        conditions = [(c["path"], c["stamp"]) for c in body.get("if") or ()]  # type: ignore[attr-defined]
        writes = list(body.get("writes") or ())  # type: ignore[call-overload]
        if writes and not self.writes.take(len(writes), time.monotonic()):
            self.over_rate += 1
            return Response(429)
        try:
            revision = self.core.commit(conditions, writes)
        except statecore.CompareFailedError as error:
            answer = {"failed": error.keys, "generation": self.core.revision}
            return Response(409, wire.encode(answer))
        except statecore.InvalidRequestError as error:
            return _error(400, str(error))
        await self.notify()
        return Response(200, wire.encode({"generation": revision}))

    async def deliver(self) -> None:
        """Execute the transactions that are late by now."""
        now = time.monotonic()
        due = [body for at, body in self.late if at <= now]
        self.late = [(at, body) for at, body in self.late if at > now]
        for body in due:
            await self._commit(body)

    async def notify(self) -> None:
        changed, self.changed = self.changed, curio.Event()
        await changed.set()

    async def _watch(self, asked: dict[str, str], number: int) -> Response:
        prefix, after = asked.get("prefix", ""), int(asked.get("from", "0"))
        hold = min(float(asked.get("hold_ms", "0")) / 1000, LONGEST_HOLD_S)
        deadline = time.monotonic() + hold
        while True:
            changed = self.changed
            if not self.closed(number):
                try:
                    news = self.core.news(prefix, after)
                except statecore.RevisionCompactedError:
                    return Response(410)
                left = deadline - time.monotonic()
                if news or left <= 0:
                    return Response(200, wire.encode(wire.WatchResponse(self.core.revision, news)))
            else:
                left = LOOK_S  # open watches wait through an outage
            await curio.ignore_after(min(left, 1.0), changed.wait)

    async def _lease(self, method: str, path: str, request: Request) -> Response:
        now = time.monotonic()
        if method == "POST" and not path:
            ttl = _body(request)["ttl_ms"]
            if not isinstance(ttl, int) or not 100 <= ttl <= 600_000:
                return _error(400, "ttl_ms: from 100 to 600000")
            return Response(200, wire.encode({"charter": self.core.grant(ttl / 1000, now)}))
        name, _, verb = path.partition("/")
        if not name.isdecimal():
            return Response(404)
        if method == "POST" and verb == "extend":
            return Response(200 if self.core.extend(int(name), now) else 404)
        if method == "DELETE" and not verb:
            self.core.end_lease(int(name))
            await self.notify()
            return Response(200)
        return Response(405)


class CloudServer:
    def __init__(
        self, core: CloudCore, rps: float, address: Address, gone: Callable[[list[Machine]], None]
    ) -> None:
        self.core = core
        self.rate = Rate(rps, time.monotonic(), burst_s=2.0)
        self.down = False
        self.gone = gone
        self.server = Server(address, self._serve, SOCKETS)

    async def _serve(self, request: Request) -> Response:
        if self.down:
            return _error(503, "trouble")
        if not self.rate.take(1, time.monotonic()):
            return Response(429)
        try:
            return self._answer(request)
        except (
            msgspec.DecodeError,
            TypeError,
            ValueError,
            KeyError,
            cloudcore.MalformedRequestError,
        ) as error:
            return _error(400, str(error))

    def _answer(self, request: Request) -> Response:
        route = (request.method, request.path)
        if route == ("GET", "/flavors"):
            return Response(200, wire.encode(wire.MachineTypeList(list(self.core.skus.values()))))
        if route == ("POST", "/hosts"):
            b = msgspec.convert(_body(request), _Rent)
            try:
                names = self.core.rent(
                    b.claim, b.flavor, b.yard, b.reclaimable, b.how_many, time.monotonic()
                )
            except cloudcore.NoCapacityError:
                return _error(503, "no capacity")
            return Response(200, wire.encode({"hosts": names}))
        if route == ("POST", "/hosts/delete"):
            self.gone(self.core.delete(msgspec.convert(_body(request)["hosts"], list[str])))
            return Response(200, wire.encode({}))
        if route == ("GET", "/hosts"):
            asked = _query(request)
            most = min(
                int(asked.get("most", wire.MAX_MACHINES_PER_PAGE)), wire.MAX_MACHINES_PER_PAGE
            )
            hosts, more = self.core.listed(asked.get("from", ""), most)
            return Response(200, wire.encode(wire.CloudMachinePage(hosts, more)))
        return Response(404)


class _Rent(msgspec.Struct):
    claim: str
    flavor: str
    yard: str
    reclaimable: bool
    how_many: int


class WorkerServer:
    """One machine's worker: reports to one controller at a time, and takes direct commands."""

    def __init__(
        self,
        core: WorkerCore,
        nodes: dict[str, Address],
        report_s: float,
        client: Client,
        rng: random.Random,
    ) -> None:
        self.core = core
        self.nodes = nodes
        self.report_s = report_s
        self.client = client
        self.rng = rng
        self.node = rng.choice(sorted(nodes))
        self.server = Server(parse_address(core.address), self._serve, 16)

    async def run(self) -> None:
        async with curio.TaskGroup() as group:
            await group.spawn(self.server.run)
            await group.spawn(self._report)

    async def _serve(self, request: Request) -> Response:
        core = self.core
        if (request.method, request.path) == ("GET", "/status"):
            return Response(200, wire.encode(core.report()))
        if (request.method, request.path) != ("POST", "/do"):
            return Response(404)
        try:
            body = msgspec.convert(_body(request), _Do)
        except (msgspec.DecodeError, msgspec.ValidationError, TypeError) as error:
            return _error(400, str(error))
        done = core.direct(body.epoch, body.tenure, body.orders)
        return Response(200 if done else 409, wire.encode(core.report()))

    async def _report(self) -> None:
        said = 0
        last = 0.0
        while True:
            due = time.monotonic() + self.report_s * self.rng.uniform(
                1 - REPORT_SPREAD, 1 + REPORT_SPREAD
            )
            while time.monotonic() < due and (
                self.core.changes == said or time.monotonic() < last + LEAST_GAP_S
            ):
                await curio.sleep(LOOK_S)
            said, last = self.core.changes, time.monotonic()
            await self._hello()

    async def _hello(self) -> None:
        core = self.core
        tenure, sent = core.tenure, time.monotonic()
        try:
            response = await self.client.request(
                self.nodes[self.node],
                "POST",
                "/hello",
                wire.encode(core.report()),
                HELLO_TIMEOUT_S,
            )
            if response.status == 200:
                body = msgspec.msgpack.decode(response.body, type=_Orders)
                core.answered(sent, tenure, body.epoch, body.orders)
                return
            steward = None
            if response.status == 421:
                steward = msgspec.msgpack.decode(response.body, type=_Steward).steward
        except (RequestNotSentError, NoResponseError, msgspec.DecodeError):
            steward = None
        if steward in self.nodes and steward != self.node:
            self.node = steward
            return
        names = sorted(self.nodes)
        self.node = names[(names.index(self.node) + 1) % len(names)]
        await curio.sleep(NEXT_NODE_S)


class _Do(msgspec.Struct):
    epoch: int
    tenure: int
    orders: list[wire.TaskCommand]


class _Orders(msgspec.Struct):
    epoch: int = -1
    orders: list[wire.TaskCommand] = []


class _Steward(msgspec.Struct):
    steward: str | None = None
