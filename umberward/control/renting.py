"""Carries out what is to be rented and returned, as long as its holder leads."""

from __future__ import annotations

import time

import curio

from umberward.clients.cloud import Cloud, CloudTrouble, NoCapacity
from umberward.control.membership import Membership
from umberward.core.log import logger
from umberward.core.types import Instant, MachineId
from umberward.decisions.provision import Provisioner
from umberward.decisions.scheduler import Scheduler
from umberward.protocol import wire
from umberward.protocol.http import NoAnswer

log = logger(__name__)

CLOUD_S = 0.3  # how often it is asked what to rent and to return
PONDER_PART = 10.0  # ... and so many times as long as the answer took
SILENT_REFRESH_S = 30.0
LIST_S = 8.0  # how often the list of machines is read


class Renting:
    def __init__(
        self,
        membership: Membership,
        cloud: Cloud,
        scheduler: Scheduler,
        provisioner: Provisioner,
    ) -> None:
        self.membership = membership
        self.cloud = cloud
        self.scheduler = scheduler
        self.provisioner = provisioner
        self.pondered = 0.0  # seconds that it took to find what to rent and to return

    async def run(self) -> None:
        listed = 0.0
        refreshed = _now()
        while True:
            await curio.sleep(max(CLOUD_S, PONDER_PART * self.pondered))
            self.pondered = 0.0
            if not self.membership.leading():
                continue
            try:
                await self._deletions()
                await self._rentals()
                if _now() - listed > LIST_S:
                    listed = _now()
                    await self._list()
                if _now() - refreshed > SILENT_REFRESH_S:
                    refreshed = _now()
                    self.scheduler.skus.update(await self.cloud.flavors())
                    self.scheduler.types_changed()
            except CloudTrouble as error:
                log.debug("cloud_failed", error=error)
                await curio.sleep(0.5)

    async def _deletions(self) -> None:
        now = _now()
        idle = self.provisioner.idle(now)
        lost = self.provisioner.unreachable(now)
        self.pondered += _now() - now
        for machine in idle + lost:
            log.info("returning", machine=machine.id, type=machine.type, hears=not machine.deaf,
                     reports=machine.mute_since is None)  # fmt: skip
            machine.returning = True
            machine.touched()
        ids = self.provisioner.deletions(now)[: wire.DELETE_LIMIT]
        if ids:
            log.info("deleting", machines=" ".join(ids))
            await self.cloud.delete(ids, self.membership.leading)
            self._removed(ids)

    def _removed(self, ids: list[MachineId]) -> None:
        self.scheduler.removed(ids, _now())
        self.provisioner.removed(ids)

    async def _rentals(self) -> None:
        now = _now()
        rentals = self.provisioner.rentals(now)
        self.pondered += _now() - now
        for rental in rentals:
            log.info("renting", many=rental.many, claim=rental.claim, **rental.offer._asdict())
            while self.membership.leading():
                try:
                    ids = await self.cloud.rent(rental, self.membership.leading)
                except NoCapacity:
                    log.info("no_capacity", **rental.offer._asdict())
                    self.provisioner.no_capacity(rental.offer, _now())
                    break
                except NoAnswer:
                    # It may have been carried out: the same claim tells, and rents nothing twice.
                    await curio.sleep(0.5)
                    continue
                self.provisioner.rented(rental, ids, _now())
                break

    async def _list(self) -> None:
        hosts = await self.cloud.machines()
        failed = self.provisioner.listed(hosts, _now())
        if failed:
            # A failed machine runs nothing any more; it stays listed until it is deleted.
            log.info("machines_failed", machines=" ".join(failed))
            self._removed(failed)
            await self.cloud.delete(failed[: wire.DELETE_LIMIT], self.membership.leading)


def _now() -> Instant:
    return Instant(time.monotonic())
