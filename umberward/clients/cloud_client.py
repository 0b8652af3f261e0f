"""Client of the cloud, within its request limit."""

from __future__ import annotations

from collections.abc import Callable

from umberward.clients.state_client import RateBudget, RateBudgetError
from umberward.core.types import Address, MachineId, MachineTypeName, ScaleOutRequest
from umberward.protocol import wire
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError, Response
from umberward.protocol.wire import (
    CloudMachine,
    CloudMachinePage,
    MachineType,
    MachineTypeList,
    ScaleOutResponse,
)

REQUEST_TIMEOUT_S = 5.0


class CloudUnavailableError(Exception):
    """The call was not executed, or only a reading one failed."""


class NoCapacityError(Exception):
    pass


class CloudClient:
    def __init__(self, address: Address, rps: float, client: Client) -> None:
        self.address = address
        self.client = client
        self.budget = RateBudget(rps * 0.9)
        self._flavors = wire.decoder(MachineTypeList)
        self._hosts = wire.decoder(CloudMachinePage)
        self._rented = wire.decoder(ScaleOutResponse)

    async def _call(
        self,
        method: str,
        target: str,
        body: object = None,
        still: Callable[[], bool] | None = None,
    ) -> Response:
        """Raises CloudTrouble or NoAnswer."""
        try:
            await self.budget.take(1, 0, 5.0)
        except RateBudgetError as error:
            raise CloudUnavailableError(str(error)) from None
        data = b"" if body is None else wire.encode(body)
        try:
            response = await self.client.request(
                self.address, method, target, data, REQUEST_TIMEOUT_S, still=still
            )
        except RequestNotSentError as error:
            raise CloudUnavailableError(str(error)) from None
        if response.status == 429 or (response.status == 503 and b"capacity" not in response.body):
            raise CloudUnavailableError(f"{method} {target}: {response.status}")
        return response

    async def machine_types(self) -> dict[MachineTypeName, MachineType]:
        try:
            response = await self._call("GET", "/flavors")
        except NoResponseError as error:
            raise CloudUnavailableError(str(error)) from None
        if response.status != 200:
            raise CloudUnavailableError(f"flavors: {response.status}")
        return {
            MachineTypeName(sku.name): sku for sku in self._flavors(response.body).machine_types
        }

    async def scale_out(
        self, rental: ScaleOutRequest, still: Callable[[], bool]
    ) -> list[MachineId]:
        """Raises NoCapacity, CloudTrouble, or NoAnswer if it may have been carried out."""
        body = {
            "claim": rental.request_id,
            "flavor": rental.offer.type,
            "yard": rental.offer.zone,
            "reclaimable": rental.offer.spot,
            "how_many": rental.machine_count,
        }
        response = await self._call("POST", "/hosts", body, still)
        if response.status == 503:
            raise NoCapacityError
        if response.status != 200:
            raise CloudUnavailableError(f"rent: {response.status}")
        return [MachineId(name) for name in self._rented(response.body).machine_ids]

    async def terminate(self, ids: list[MachineId], still: Callable[[], bool]) -> None:
        """Returns only if the machines are surely gone."""
        try:
            response = await self._call("POST", "/hosts/delete", {"hosts": ids}, still)
        except NoResponseError as error:
            raise CloudUnavailableError(str(error)) from None
        if response.status != 200:
            raise CloudUnavailableError(f"delete: {response.status}")

    async def list_machines(self) -> list[CloudMachine]:
        found: list[CloudMachine] = []
        while True:
            target = f"/hosts?most={wire.MAX_MACHINES_PER_PAGE}"
            if found:
                target += f"&from={found[-1].machine_id}"
            try:
                response = await self._call("GET", target)
            except NoResponseError as error:
                raise CloudUnavailableError(str(error)) from None
            if response.status != 200:
                raise CloudUnavailableError(f"list: {response.status}")
            page = self._hosts(response.body)
            found += page.machines
            if not page.more or not page.machines:
                return found
