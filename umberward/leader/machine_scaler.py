"""Carries out what is to be rented and returned, as long as its holder leads."""

from __future__ import annotations

import time

import curio

from umberward.clients.cloud_client import CloudClient, CloudUnavailableError, NoCapacityError
from umberward.core.log import logger
from umberward.core.types import Instant, MachineId
from umberward.leader.leader_election import LeaderElection
from umberward.protocol import wire
from umberward.protocol.http import NoResponseError
from umberward.scheduling.autoscaler import Autoscaler
from umberward.scheduling.scheduler import Scheduler

log = logger(__name__)

SCALING_INTERVAL_S = 0.3  # how often it is asked what to rent and to return
DECISION_PAUSE_RATIO = 10.0  # ... and so many times as long as the answer took
MACHINE_TYPES_REFRESH_S = 30.0
MACHINE_LIST_INTERVAL_S = 8.0  # how often the list of machines is read


class MachineScaler:
    def __init__(
        self,
        membership: LeaderElection,
        cloud: CloudClient,
        scheduler: Scheduler,
        provisioner: Autoscaler,
    ) -> None:
        self.election = membership
        self.cloud = cloud
        self.scheduler = scheduler
        self.autoscaler = provisioner
        self.decision_s = 0.0  # seconds that it took to find what to rent and to return

    async def run(self) -> None:
        listed = 0.0
        refreshed = _now()
        while True:
            await curio.sleep(max(SCALING_INTERVAL_S, DECISION_PAUSE_RATIO * self.decision_s))
            self.decision_s = 0.0
            if not self.election.is_leader():
                continue
            try:
                await self._scale_in()
                await self._scale_out()
                if _now() - listed > MACHINE_LIST_INTERVAL_S:
                    listed = _now()
                    await self._reconcile_machine_list()
                if _now() - refreshed > MACHINE_TYPES_REFRESH_S:
                    refreshed = _now()
                    self.scheduler.machine_types.update(await self.cloud.machine_types())
                    self.scheduler.machine_types_changed()
            except CloudUnavailableError as error:
                log.debug("cloud_failed", error=error)
                await curio.sleep(0.5)

    async def _scale_in(self) -> None:
        now = _now()
        idle = self.autoscaler.machines_to_return(now)
        lost = self.autoscaler.machines_to_abandon(now)
        self.decision_s += _now() - now
        for machine in idle + lost:
            log.info(
                "machine_draining",
                machine=machine.id,
                type=machine.type,
                hears=not machine.unreachable,
                reports=machine.no_heartbeats_since is None,
            )
            machine.returning = True
            machine.availability_changed()
        ids = self.autoscaler.machines_to_delete(now)[: wire.MAX_DELETIONS_PER_REQUEST]
        if ids:
            log.info("machine_terminated", machines=" ".join(ids))
            await self.cloud.terminate(ids, self.election.is_leader)
            self._note_removed(ids)

    def _note_removed(self, ids: list[MachineId]) -> None:
        self.scheduler.remove_machines(ids, _now())
        self.autoscaler.machines_removed(ids)

    async def _scale_out(self) -> None:
        now = _now()
        rentals = self.autoscaler.scale_out_requests(now)
        self.decision_s += _now() - now
        for rental in rentals:
            log.info(
                "machine_requested",
                many=rental.machine_count,
                claim=rental.request_id,
                **rental.offer._asdict(),
            )
            while self.election.is_leader():
                try:
                    ids = await self.cloud.scale_out(rental, self.election.is_leader)
                except NoCapacityError:
                    log.info("no_capacity", **rental.offer._asdict())
                    self.autoscaler.no_capacity(rental.offer, _now())
                    break
                except NoResponseError:
                    # It may have been carried out: the same claim tells, and rents nothing twice.
                    await curio.sleep(0.5)
                    continue
                self.autoscaler.machines_rented(rental, ids, _now())
                break

    async def _reconcile_machine_list(self) -> None:
        hosts = await self.cloud.list_machines()
        failed = self.autoscaler.reconcile_machine_list(hosts, _now())
        if failed:
            # A failed machine runs nothing any more; it stays listed until it is deleted.
            log.info("machines_failed", machines=" ".join(failed))
            self._note_removed(failed)
            await self.cloud.terminate(
                failed[: wire.MAX_DELETIONS_PER_REQUEST], self.election.is_leader
            )


def _now() -> Instant:
    return Instant(time.monotonic())
