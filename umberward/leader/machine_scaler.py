"""Executes the autoscaler's decisions through the cloud API while this controller leads."""

from __future__ import annotations

import curio

from umberward.clients.cloud_client import CloudClient, CloudRequestFailedError, NoCapacityError
from umberward.core.log import logger
from umberward.core.types import Instant, MachineId, ScaleOutRequest
from umberward.leader.clock import monotonic_now
from umberward.leader.leader_election import LeaderElection
from umberward.protocol import wire
from umberward.protocol.http import NoResponseError
from umberward.scheduling.autoscaler import Autoscaler
from umberward.scheduling.machines import Machine
from umberward.scheduling.scheduler import Scheduler

log = logger(__name__)

SCALING_INTERVAL_S = 0.3  # minimum pause between two rounds of decisions
DECISION_PAUSE_RATIO = 10.0  # minimum pause, in multiples of the last round's computing time
MACHINE_TYPES_REFRESH_S = 30.0
MACHINE_LIST_INTERVAL_S = 8.0
RETRY_DELAY_S = 0.5  # after a failed request to the cloud


class MachineScaler:
    """Rents and deletes machines, and reads the cloud's lists of machines and machine types.

    It calls the scheduler and the autoscaler directly, not through messages to the leader loop,
    because each decision depends on the result of the previous one.
    """

    def __init__(
        self,
        election: LeaderElection,
        cloud: CloudClient,
        scheduler: Scheduler,
        autoscaler: Autoscaler,
    ) -> None:
        """Create a scaler that does nothing until `run` is called."""
        self.election = election
        self.cloud = cloud
        self.scheduler = scheduler
        self.autoscaler = autoscaler
        self.decision_time_s = 0.0  # computing time of the latest round of decisions
        self._list_requested_at = Instant(0.0)
        self._machine_types_requested_at = Instant(0.0)

    async def run(self) -> None:
        """Scale in and out, until cancelled."""
        # The controller has already read the machine types at its start.
        self._machine_types_requested_at = monotonic_now()
        self._list_requested_at = Instant(0.0)
        while True:
            await curio.sleep(max(SCALING_INTERVAL_S, DECISION_PAUSE_RATIO * self.decision_time_s))
            self.decision_time_s = 0.0
            if not self.election.is_leader():
                continue
            try:
                await self._scale_in()
                await self._scale_out()
                await self._read_lists()
            except CloudRequestFailedError as error:
                log.debug("cloud_request_failed", error=error)
                await curio.sleep(RETRY_DELAY_S)

    # ---- scaling in --------------------------------------------------------------------

    async def _scale_in(self) -> None:
        """Drain machines that are idle or unreachable, and delete those that are drained."""
        now = monotonic_now()
        idle = self.autoscaler.machines_to_drain(now)
        lost = self.autoscaler.partially_reachable_machines_to_drain(now)
        self.decision_time_s += monotonic_now() - now
        for machine in idle + lost:
            self._drain(machine)
        machine_ids = self.autoscaler.machines_to_delete(now)[: wire.MAX_DELETIONS_PER_REQUEST]
        if machine_ids:
            log.info("machine_terminated", machines=" ".join(machine_ids))
            await self.cloud.delete_machines(machine_ids, self.election.is_leader)
            self._remove_machines(machine_ids)

    def _drain(self, machine: Machine) -> None:
        log.info(
            "machine_draining",
            machine=machine.id,
            type=machine.machine_type,
            hears=not machine.unreachable,
            reports=machine.no_heartbeats_since is None,
        )
        machine.draining = True
        machine.mark_availability_changed()

    def _remove_machines(self, machine_ids: list[MachineId]) -> None:
        self.scheduler.remove_machines(machine_ids, monotonic_now())
        self.autoscaler.forget_machines(machine_ids)

    # ---- scaling out -------------------------------------------------------------------

    async def _scale_out(self) -> None:
        now = monotonic_now()
        requests = self.autoscaler.scale_out_requests(now)
        self.decision_time_s += monotonic_now() - now
        for request in requests:
            log.info(
                "machine_requested",
                many=request.machine_count,
                claim=request.request_id,
                **request.offer._asdict(),
            )
            await self._rent(request)

    async def _rent(self, request: ScaleOutRequest) -> None:
        """Send the request until its result is known, while this controller leads.

        Raises CloudRequestFailedError.
        """
        while self.election.is_leader():
            try:
                machine_ids = await self.cloud.rent(request, self.election.is_leader)
            except NoCapacityError:
                log.info("no_capacity", **request.offer._asdict())
                self.autoscaler.record_no_capacity(request.offer, monotonic_now())
                return
            except NoResponseError:
                # The request may have been executed. A retry with the same id rents nothing twice,
                # and its response lists the machines that the first request has rented.
                await curio.sleep(RETRY_DELAY_S)
            else:
                self.autoscaler.machines_created(request, machine_ids, monotonic_now())
                return

    # ---- lists of the cloud ------------------------------------------------------------

    async def _read_lists(self) -> None:
        """Refresh the lists of machines and of machine types if they are due."""
        if monotonic_now() - self._list_requested_at > MACHINE_LIST_INTERVAL_S:
            self._list_requested_at = monotonic_now()
            await self._reconcile_machine_list()
        if monotonic_now() - self._machine_types_requested_at > MACHINE_TYPES_REFRESH_S:
            self._machine_types_requested_at = monotonic_now()
            self.scheduler.machine_types.update(await self.cloud.machine_types())
            self.scheduler.machine_types_changed()

    async def _reconcile_machine_list(self) -> None:
        machines = await self.cloud.list_machines()
        failed_ids = self.autoscaler.reconcile_machine_list(machines, monotonic_now())
        if failed_ids:
            # A failed machine runs no tasks, but stays in the cloud's list until it is deleted.
            log.info("machines_failed", machines=" ".join(failed_ids))
            self._remove_machines(failed_ids)
            await self.cloud.delete_machines(
                failed_ids[: wire.MAX_DELETIONS_PER_REQUEST], self.election.is_leader
            )
