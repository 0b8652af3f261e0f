"""The cloud provider's API as an HTTP server on the loopback; its behaviour is in `cloudcore`."""

from __future__ import annotations

import time
from collections.abc import Callable
from http import HTTPStatus

import msgspec

from umberward.core.types import Address
from umberward.local import cloudcore
from umberward.local.cloudcore import CapacityPool, CloudCore, Machine
from umberward.local.http_requests import decode_body, error_response, query_parameters
from umberward.local.statecore import TokenBucket
from umberward.protocol import wire
from umberward.protocol.http import Request, Response, Server

SERVICE_SOCKETS = 256
CLOUD_BURST_S = 2.0


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
            return error_response(HTTPStatus.SERVICE_UNAVAILABLE, "trouble")
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
            return error_response(HTTPStatus.BAD_REQUEST, str(error))

    def _respond(self, request: Request) -> Response:
        route = (request.method, request.path)
        if route == ("GET", "/flavors"):
            machine_types = wire.MachineTypeList(list(self.core.machine_types.values()))
            return Response(HTTPStatus.OK, wire.encode(machine_types))
        if route == ("POST", "/hosts"):
            return self._rent(msgspec.convert(decode_body(request), _RentalRequest))
        if route == ("POST", "/hosts/delete"):
            machine_ids = msgspec.convert(decode_body(request)["hosts"], list[str])
            self.on_deleted(self.core.delete(machine_ids))
            return Response(HTTPStatus.OK, wire.encode({}))
        if route == ("GET", "/hosts"):
            return self._list_machines(query_parameters(request))
        return Response(HTTPStatus.NOT_FOUND)

    def _rent(self, rental: _RentalRequest) -> Response:
        kind = CapacityPool(rental.machine_type, rental.zone, rental.spot)
        try:
            machine_ids = self.core.rent(rental.claim, kind, rental.count, time.monotonic())
        except cloudcore.NoCapacityError:
            return error_response(HTTPStatus.SERVICE_UNAVAILABLE, "no capacity")
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
