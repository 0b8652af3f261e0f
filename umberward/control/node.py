"""One controller: wires the parts together and serves its two addresses."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import curio

from umberward.clients import state
from umberward.clients.cloud import Cloud, CloudTrouble
from umberward.clients.state import State
from umberward.control import hints
from umberward.control.hints import Hints
from umberward.control.holder import CancelledElsewhere, Hello, Holder, Lend
from umberward.control.membership import Membership
from umberward.control.mirror import Mirror
from umberward.control.peers import CONTACT_S, Peers
from umberward.control.users import Users
from umberward.core.log import logger
from umberward.core.settings import Settings
from umberward.core.types import (
    Epoch,
    Instant,
    JobId,
    Key,
    MachineId,
    NodeName,
    Stamp,
    TypeName,
    WallTime,
    parse_job_id,
)
from umberward.decisions.relays import News, Relays
from umberward.decisions.tending import Loan
from umberward.protocol import changes, wire
from umberward.protocol.http import Client, Request, Response, Server, Sockets
from umberward.protocol.wire import Flavors, Sku

log = logger(__name__)

FLAVORS = Key("flavors")
JOBS = "/v1/jobs"
GRAPHS = "/v1/graphs"
# Of a controller's sockets, those that are not shared by workers, users and direct commands.
UPSTREAM_SOCKETS = 24
PEER_SOCKETS = 64
SPARE_SOCKETS = 16  # listeners, the event loop's own, and those being closed


class Node:
    def __init__(self, settings: Settings, clock: Callable[[], float] = time.monotonic) -> None:
        """`clock`: steady, in seconds."""
        self.settings = settings
        self.clock = clock
        self.rng = random.Random()
        limits = settings.platform.cluster.machine_limits
        # Each worker keeps a connection, and each user; what is left is for what we open.
        rest = limits.sockets - UPSTREAM_SOCKETS - PEER_SOCKETS - SPARE_SOCKETS
        shared = Sockets(max(48, rest), max(16, limits.sockets // 3))
        self.client = Client(shared)
        self.server = Server(settings.listen, self._serve, shared, self.client)
        # Many workers must not keep us from the state service and the cloud.
        self.upstream = Client(UPSTREAM_SOCKETS)
        cluster = settings.platform.cluster
        self.store = State(settings.state, cluster.state, cluster.size, self.upstream)
        self.cloud = Cloud(settings.cloud, cluster.cloud.rps, self.upstream)
        self.skus: dict[TypeName, Sku] = {}
        self.mirror = Mirror(settings, self.store, clock)
        self.users = Users(
            settings, self.store, self.mirror, self.skus, _wall, self._reaches_state,
            lambda id: self.peers.announce(id),
        )  # fmt: skip
        self.graphs: Any = None
        if settings.operator.graphs_enabled:
            from umberward.graphs.gateway import Graphs

            self.graphs = Graphs(settings, self.store, self.skus, _wall, self.rng)
        self.membership = Membership(
            settings, self.store, self.rng, self._elected, self._lost, clock
        )
        self.holder: Holder | None = None
        self.holder_task: Any = None
        self.peers = Peers(
            settings, self.membership, self.client, self.rng, self._hints, self._lend,
            self._carried, self._cancelled_elsewhere,
        )  # fmt: skip
        self.relays = Relays()
        self.news = News()
        self.alone = False

    async def run(self) -> None:
        # Any of these ending means a fault of ours: it is logged, and the part starts again.
        parts = [
            self.server.run,
            Server(self.settings.peer_bind, self.peers.serve, PEER_SOCKETS).run,
            self.membership.keep_lease,
            self.membership.follow,
            self.mirror.run,
            self._know_flavors,
            self.peers.run,
            self.peers.borrow,
            self.peers.tell_cancelled,
        ]
        async with curio.TaskGroup() as group:
            for part in parts:
                await group.spawn(_forever, part)

    # ---- leadership --------------------------------------------------------------------

    async def _elected(self, epoch: Epoch) -> None:
        await self._lost()
        self.holder = Holder(
            self.settings, self.membership, self.store, self.client, self.cloud, self.skus,
            epoch, self.rng, self.mirror.finals.get, self.peers.others_hear,
            self.mirror.revision_before, self.peers.fresh(),
        )  # fmt: skip
        self.holder_task = await curio.spawn(_forever, self.holder.serve, daemon=True)

    async def _lost(self) -> None:
        if self.holder_task is not None:
            log.info("no_longer_leading")
            found = self._hints()
            if found is not None:
                self.peers.keep(found)  # we may lead again
            task, self.holder_task, self.holder = self.holder_task, None, None
            await task.cancel(blocking=False)

    def _hints(self) -> Hints | None:
        holder = self.holder
        if holder is None or not holder.scheduler.loaded:
            return None
        return hints.gather(holder.scheduler, holder.provisioner, Instant(self.clock()))

    async def _lend(self, borrower: NodeName, seen: int, idle: bool) -> Loan | None:
        holder = self.holder
        return None if holder is None else await holder.ask(Lend(borrower, seen, idle))

    async def _cancelled_elsewhere(self, ids: list[JobId]) -> None:
        if self.holder is not None:
            await self.holder.tell(CancelledElsewhere(ids))

    # ---- machine types -----------------------------------------------------------------

    async def _know_flavors(self) -> None:
        while not self.skus:
            try:
                # What an earlier controller stored serves when the cloud is down.
                found = await self.store.get(FLAVORS)
                if found is not None:
                    self._learn(wire.converted(found.data, Flavors))
                    break
            except (state.Unavailable, state.Unknown, wire.Malformed) as error:
                log.debug("stored_types_not_read", error=error)
            try:
                self.skus.update(await self.cloud.flavors())
                record = Flavors(list(self.skus.values()))
                if wire.json_size(record) < self.users.value_limit:
                    await self.store.commit([(FLAVORS, Stamp(0))], [changes.put(FLAVORS, record)])
            except (CloudTrouble, state.Unavailable, state.Unknown, state.Conflict) as error:
                log.debug("types_not_had", error=error)
                await curio.sleep(self.rng.uniform(0.5, 1.5))
        while True:
            await curio.sleep(3600)

    def _learn(self, flavors: Flavors) -> None:
        for sku in flavors.flavors:
            self.skus[TypeName(sku.sku)] = sku

    # ---- requests ----------------------------------------------------------------------

    async def _serve(self, request: Request) -> Response:
        method, path = request.method, request.path
        if path == "/hello":
            return await self._hello(request) if method == "POST" else Response(405)
        if path == JOBS:
            return await self.users.submit(request.body) if method == "POST" else Response(405)
        if path.startswith(JOBS + "/"):
            name, _, verb = path[len(JOBS) + 1 :].partition("/")
            if verb not in ("", "cancel"):
                return Response(404)
            if method != ("POST" if verb else "GET"):
                return Response(405)
            id = parse_job_id(name)
            if id is None:
                return Response(404)
            return await (self.users.cancel(id) if verb else self.users.poll(id))
        if self.graphs is not None and (path == GRAPHS or path.startswith(GRAPHS + "/")):
            rest = path[len(GRAPHS) :]
            made: Response = await self.graphs.serve(method, rest, request.query, request.body)
            return made
        if path == "/ready":
            if method not in ("GET", "HEAD"):
                return Response(405)
            return Response(200 if self._ready() else 503)
        return Response(404)

    async def _hello(self, request: Request) -> Response:
        try:
            head = wire.decode_head(request.body)
        except wire.Malformed as error:
            return Response(400, wire.encode({"error": str(error)}))
        fresh = self.news.told(MachineId(head.host), head.tenure, head.serial)
        if fresh:
            # A late copy shows neither where the worker is connected nor that it reports to us.
            if request.origin is not None:
                await self.server.name(request.origin, head.host)
            self.peers.worker_heard()
        answer = await self._answer(head, request.body)
        if answer is not None:
            return answer
        if self.holder is None and self.peers.may_answer(head.host, head.epoch):
            # The leader and the state service are out of reach: the zone is cut off, or worse.
            return Response(200, wire.encode({"epoch": head.epoch, "orders": []}))
        leader = self.peers.steward(head.epoch) if fresh else None
        if leader is None:
            return Response(421, wire.encode({}))
        host, now = MachineId(head.host), Instant(self.clock())
        if self.relays.carries(host, leader, now):
            carried = await self.peers.carry(leader, request.body)
            if carried is not None:
                return carried
            self.relays.failed(host, leader, now)
        return Response(421, wire.encode({"steward": leader}))

    async def _carried(self, body: bytes) -> Response:
        """A report that another controller has carried to us."""
        try:
            answer = await self._answer(wire.decode_head(body), body)
        except wire.Malformed as error:
            return Response(400, wire.encode({"error": str(error)}))
        return answer or Response(421, wire.encode({}))

    async def _answer(self, head: wire.Head, body: bytes) -> Response | None:
        """As the one who holds the machines, or tends them; None: that we are not."""
        holder = self.holder
        if holder is not None and self.membership.may_answer(holder.scheduler.known):
            orders = await holder.ask(Hello(head, body))
            if orders is not None and self.membership.may_answer(holder.scheduler.known):
                if not self.membership.leading():
                    if not holder.scheduler.may_keep_session(MachineId(head.host)):
                        return None
                    # Without our lease nothing may be started; what is there goes on.
                    orders = [order for order in orders if order.verb == wire.KILL]
                elif not self.membership.may_start(holder.scheduler.known):
                    orders = [order for order in orders if order.verb != wire.START]
                epoch = holder.scheduler.epoch
                return Response(200, wire.encode({"epoch": epoch, "orders": orders}))
        return None

    def _ready(self) -> bool:
        """Not ready: no machine types yet, or only we are without the state service."""
        if not self.skus:
            return False
        age = self.clock() - self.membership.good
        alone = age >= CONTACT_S and self.peers.alone()
        if alone != self.alone:
            self.alone = alone
            log.warning("alone" if alone else "not_alone", without_state_s=round(age, 1))
        if age < CONTACT_S:
            return True
        # In an outage all are without the state service, and users are told so by each.
        return not (alone or self.peers.others_have_contact())

    def _reaches_state(self) -> bool:
        now = self.clock()
        return now - max(self.membership.good, self.mirror.read_at) < CONTACT_S


def _wall() -> WallTime:
    return WallTime(time.time())


async def _forever(part: Any) -> None:
    while True:
        try:
            await part()
        except curio.CancelledError:
            raise
        except Exception:
            log.exception("part_failed", part=getattr(part, "__qualname__", part))
        await curio.sleep(0.5)
