"""Client of the cloud's machine API, within its rate limit (PROTOCOL, "Controller nodes -> cloud").

Only the leader makes changes: the predicate `may_send` is checked right before a request is sent,
and the request is dropped if it returns False.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from umberward.clients.errors import (
    CloudRequestFailedError,
    CloudStatusError,
    NoCapacityError,
    RateBudgetExceededError,
)
from umberward.clients.rate_budget import RateBudget
from umberward.core.types import Address, MachineId, MachineTypeName, ScaleOutRequest
from umberward.protocol import wire
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError, Response
from umberward.protocol.transactions import URGENT
from umberward.protocol.wire import (
    CloudMachine,
    CloudMachinePage,
    MachineType,
    MachineTypeList,
    ScaleOutResponse,
)

__all__ = ["CloudClient", "CloudRequestFailedError", "NoCapacityError"]

USABLE_SHARE = 0.9  # of the cloud's rate limit
REQUEST_TIMEOUT_S = 5.0
BUDGET_WAIT_S = 5.0


class CloudClient:
    """Rents, deletes and lists machines.

    All operations raise CloudRequestFailedError if the request was not executed, or if it failed
    and is safe to retry.
    """

    def __init__(self, address: Address, max_requests_per_s: float, client: Client) -> None:
        """`max_requests_per_s`: the cloud's limit for the leader's requests."""
        self.address = address
        self.client = client
        self.budget = RateBudget(max_requests_per_s * USABLE_SHARE)
        self._decode_machine_types = wire.decoder(MachineTypeList)
        self._decode_machines = wire.decoder(CloudMachinePage)
        self._decode_scale_out = wire.decoder(ScaleOutResponse)

    async def machine_types(self) -> dict[MachineTypeName, MachineType]:
        """Return the offered machine types with their current prices."""
        response = await self._send_idempotent("GET", "/flavors", "flavors")
        offered = self._decode_machine_types(response.body).machine_types
        return {MachineTypeName(machine_type.name): machine_type for machine_type in offered}

    async def rent(self, request: ScaleOutRequest, may_send: Callable[[], bool]) -> list[MachineId]:
        """Rent machines; returns the rented ones, which may be fewer than requested.

        Raises NoCapacityError if none is available, and NoResponseError if the request may have
        been executed. The same request can then be repeated without renting anything twice.
        """
        body = {
            "claim": request.request_id,
            "flavor": request.offer.type,
            "yard": request.offer.zone,
            "reclaimable": request.offer.spot,
            "how_many": request.machine_count,
        }
        response = await self._send("POST", "/hosts", body, may_send)
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            raise NoCapacityError
        if response.status != HTTPStatus.OK:
            raise CloudStatusError("rent", response.status)
        return [MachineId(name) for name in self._decode_scale_out(response.body).machine_ids]

    async def delete_machines(
        self, machine_ids: list[MachineId], may_send: Callable[[], bool]
    ) -> None:
        """Delete machines; when this returns, they and all their tasks have certainly ended."""
        await self._send_idempotent(
            "POST", "/hosts/delete", "delete", body={"hosts": machine_ids}, may_send=may_send
        )

    async def list_machines(self) -> list[CloudMachine]:
        """Return all machines in the cloud's list, which lags by up to `cloud.list_lag_s`."""
        machines: list[CloudMachine] = []
        while True:
            target = f"/hosts?most={wire.MAX_MACHINES_PER_PAGE}"
            if machines:
                target += f"&from={machines[-1].machine_id}"
            response = await self._send_idempotent("GET", target, "list")
            page = self._decode_machines(response.body)
            machines += page.machines
            if not page.more or not page.machines:
                return machines

    async def _send_idempotent(
        self,
        method: str,
        target: str,
        operation: str,
        *,
        body: object = None,
        may_send: Callable[[], bool] | None = None,
    ) -> Response:
        """Send an idempotent request and return its successful response.

        `operation`: its name in error messages. Raises only CloudRequestFailedError.
        """
        try:
            response = await self._send(method, target, body, may_send)
        except NoResponseError as error:
            raise CloudRequestFailedError(str(error)) from None
        if response.status != HTTPStatus.OK:
            raise CloudStatusError(operation, response.status)
        return response

    async def _send(
        self, method: str, target: str, body: object, may_send: Callable[[], bool] | None
    ) -> Response:
        """Return the response to a request. Raises CloudRequestFailedError or NoResponseError."""
        try:
            await self.budget.take(1, URGENT, BUDGET_WAIT_S)
        except RateBudgetExceededError as error:
            raise CloudRequestFailedError(str(error)) from None
        data = b"" if body is None else wire.encode(body)
        try:
            response = await self.client.request(
                self.address, method, target, data, REQUEST_TIMEOUT_S, may_send=may_send
            )
        except RequestNotSentError as error:
            raise CloudRequestFailedError(str(error)) from None
        if _was_not_processed(response):
            operation = f"{method} {target}"
            raise CloudStatusError(operation, response.status)
        return response


def _was_not_processed(response: Response) -> bool:
    """Whether the cloud rejected the request without processing it: rate limit or outage."""
    if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
        return b"capacity" not in response.body
    return response.status == HTTPStatus.TOO_MANY_REQUESTS
