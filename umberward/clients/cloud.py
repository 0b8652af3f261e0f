"""Client of the cloud, within its request limit."""

from __future__ import annotations

from collections.abc import Callable

from umberward.clients.state import Budget, OverBudget
from umberward.core.types import Address, MachineId, Rental, TypeName
from umberward.protocol import wire
from umberward.protocol.http import Client, NoAnswer, NotSent, Response
from umberward.protocol.wire import Flavors, Host, Hosts, Rented, Sku

TIMEOUT_S = 5.0


class CloudTrouble(Exception):
    """The call was not executed, or only a reading one failed."""


class NoCapacity(Exception):
    pass


class Cloud:
    def __init__(self, address: Address, rps: float, client: Client) -> None:
        self.address = address
        self.client = client
        self.budget = Budget(rps * 0.9)
        self._flavors = wire.decoder(Flavors)
        self._hosts = wire.decoder(Hosts)
        self._rented = wire.decoder(Rented)

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
        except OverBudget as error:
            raise CloudTrouble(str(error)) from None
        data = b"" if body is None else wire.encode(body)
        try:
            response = await self.client.request(
                self.address, method, target, data, TIMEOUT_S, still=still
            )
        except NotSent as error:
            raise CloudTrouble(str(error)) from None
        if response.status == 429 or (response.status == 503 and b"capacity" not in response.body):
            raise CloudTrouble(f"{method} {target}: {response.status}")
        return response

    async def flavors(self) -> dict[TypeName, Sku]:
        try:
            response = await self._call("GET", "/flavors")
        except NoAnswer as error:
            raise CloudTrouble(str(error)) from None
        if response.status != 200:
            raise CloudTrouble(f"flavors: {response.status}")
        return {TypeName(sku.sku): sku for sku in self._flavors(response.body).flavors}

    async def rent(self, rental: Rental, still: Callable[[], bool]) -> list[MachineId]:
        """Raises NoCapacity, CloudTrouble, or NoAnswer if it may have been carried out."""
        body = {
            "claim": rental.claim,
            "flavor": rental.offer.type,
            "yard": rental.offer.zone,
            "reclaimable": rental.offer.spot,
            "how_many": rental.many,
        }
        response = await self._call("POST", "/hosts", body, still)
        if response.status == 503:
            raise NoCapacity
        if response.status != 200:
            raise CloudTrouble(f"rent: {response.status}")
        return [MachineId(name) for name in self._rented(response.body).hosts]

    async def delete(self, ids: list[MachineId], still: Callable[[], bool]) -> None:
        """Returns only if the machines are surely gone."""
        try:
            response = await self._call("POST", "/hosts/delete", {"hosts": ids}, still)
        except NoAnswer as error:
            raise CloudTrouble(str(error)) from None
        if response.status != 200:
            raise CloudTrouble(f"delete: {response.status}")

    async def machines(self) -> list[Host]:
        found: list[Host] = []
        while True:
            target = f"/hosts?most={wire.LIST_LIMIT}"
            if found:
                target += f"&from={found[-1].uid}"
            try:
                response = await self._call("GET", target)
            except NoAnswer as error:
                raise CloudTrouble(str(error)) from None
            if response.status != 200:
                raise CloudTrouble(f"list: {response.status}")
            page = self._hosts(response.body)
            found += page.hosts
            if not page.more or not page.hosts:
                return found
