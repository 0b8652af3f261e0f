"""Autoscaling: chooses the machines to request from the cloud and those to drain. No I/O.

The leader's machine scaler carries out the decisions and reports their results.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from umberward.core.types import (
    Instant,
    JobId,
    MachineId,
    MachineOffer,
    MachineTypeName,
    ScaleOutRequest,
    ScaleOutRequestId,
    ZoneName,
)
from umberward.protocol.wire import (
    BOOTING,
    FAILED,
    MAX_MACHINES_PER_REQUEST,
    CloudMachine,
)
from umberward.scheduling.machines import Machine
from umberward.scheduling.offer_selection import OfferSelection
from umberward.scheduling.scale_in import unneeded_machines
from umberward.scheduling.scale_out import ScaleOutPlan
from umberward.scheduling.scheduler import Scheduler
from umberward.scheduling.simulated_machines import (
    RequestedMachine,
    simulate_existing,
    simulate_pending,
)
from umberward.scheduling.spot_policy import AffordableMachines, jobs_limited_to_affordable

__all__ = ["Autoscaler", "RequestedMachine"]

FIRST_DECISION_DELAY_S = 2.0  # in a new term, so that existing machines report first
FIRST_NO_CAPACITY_PAUSE_S = 15.0  # before an offer is requested again after its first refusal
MAX_NO_CAPACITY_PAUSE_S = 60.0
PAUSE_GROWTH_FACTOR = 1.5  # per consecutive refusal
# A machine that boots for longer than this multiple of `boot_s` plus the margin is deleted.
FAILED_BOOT_FACTOR = 5.0
FAILED_BOOT_MARGIN_S = 10.0
NEVER_REPORTED_DELETE_S = 60.0  # a running machine that never reported is deleted after this time


class Autoscaler:
    """The autoscaler of one leader's term, with the cloud's responses in that term."""

    def __init__(self, scheduler: Scheduler, prefix: str, now: Instant) -> None:  # noqa: ARG002
        """`prefix` makes the request ids of this term unique; `now` is unused."""
        self.scheduler = scheduler
        self.prefix = prefix
        self.request_count = 0
        self.fit_checks = 0  # checks whether a machine has room for a waiting job
        # By refused offer: the time before which it is not requested, and the pause in seconds.
        self.offer_pauses: dict[MachineOffer, tuple[Instant, float]] = {}
        self.pending_machines: dict[MachineId, RequestedMachine] = {}
        # Machines that the cloud lists as running but that have not reported, with the time at
        # which this was first seen.
        self.unreported_machines: dict[MachineId, Instant] = {}
        # Jobs that wait for affordable machines, as of the last decision to scale out.
        self.affordable_by_job: dict[JobId, AffordableMachines] = {}

    # ---- responses of the cloud ----------------------------------------------------------

    def machines_created(
        self, request: ScaleOutRequest, machine_ids: list[MachineId], now: Instant
    ) -> None:
        """Record the machines that a request created; if some are missing, count it as refused."""
        for machine_id in machine_ids:
            self.pending_machines[machine_id] = RequestedMachine(request.offer, now)
        if len(machine_ids) < request.machine_count:
            self.record_no_capacity(request.offer, now)
        else:
            self.offer_pauses.pop(request.offer, None)

    def record_no_capacity(self, offer: MachineOffer, now: Instant) -> None:
        """Pause requests for an offer that the cloud refused, longer with each refusal."""
        first_pause_s = FIRST_NO_CAPACITY_PAUSE_S / PAUSE_GROWTH_FACTOR
        _, pause_s = self.offer_pauses.get(offer, (now, first_pause_s))
        pause_s = min(pause_s * PAUSE_GROWTH_FACTOR, MAX_NO_CAPACITY_PAUSE_S)
        self.offer_pauses[offer] = (Instant(now + pause_s), pause_s)

    def reconcile_machine_list(
        self, listed: Iterable[CloudMachine], now: Instant
    ) -> list[MachineId]:
        """Compare the cloud's machine list with the known machines; return those that failed."""
        failed = []
        known = self.scheduler.machines
        listed_ids = set()
        for machine in listed:
            machine_id = MachineId(machine.machine_id)
            listed_ids.add(machine_id)
            if machine_id in self.scheduler.deleted_machines:
                continue
            if machine.phase == FAILED:
                failed.append(machine_id)
            elif machine_id in known:
                self.pending_machines.pop(machine_id, None)
            elif machine.phase == BOOTING:
                self._note_booting(machine_id, machine, now)
            else:
                # It runs without having reported to this leader: it may never report.
                self.unreported_machines.setdefault(machine_id, now)
        for machine_id in list(self.unreported_machines):
            if machine_id not in listed_ids or machine_id in known:
                del self.unreported_machines[machine_id]
        return failed

    def _note_booting(self, machine_id: MachineId, machine: CloudMachine, now: Instant) -> None:
        if machine_id not in self.pending_machines:
            offer = MachineOffer(
                MachineTypeName(machine.machine_type), ZoneName(machine.zone), machine.spot
            )
            self.pending_machines[machine_id] = RequestedMachine(
                offer, Instant(now - machine.age_s)
            )

    def forget_machines(self, machine_ids: Iterable[MachineId]) -> None:
        """Forget machines that the cloud has deleted."""
        for machine_id in machine_ids:
            self.pending_machines.pop(machine_id, None)
            self.unreported_machines.pop(machine_id, None)

    # ---- scaling in ----------------------------------------------------------------------

    def machines_to_delete(self, now: Instant) -> list[MachineId]:
        """Return the machines to delete now: silent ones, ones that never reported, drained ones.

        Drained machines are those with `draining`.
        """
        scheduler = self.scheduler
        lost = [
            machine_id
            for machine_id in scheduler.machines_to_delete
            if machine_id in scheduler.machines and scheduler.machines[machine_id].silent
        ]
        scheduler.machines_to_delete.intersection_update(lost)
        drained = [machine.id for machine in scheduler.machines.values() if machine.draining]
        return lost + self._machines_never_reported(now) + drained

    def _machines_never_reported(self, now: Instant) -> list[MachineId]:
        overdue = []
        for machine_id, pending in self.pending_machines.items():
            machine_type = self.scheduler.machine_types.get(pending.offer.type)
            if machine_type is None:
                continue
            if (
                now - pending.requested_at
                > FAILED_BOOT_FACTOR * machine_type.boot_s + FAILED_BOOT_MARGIN_S
            ):
                overdue.append(machine_id)
        overdue += [
            machine_id
            for machine_id, since in self.unreported_machines.items()
            if now - since > NEVER_REPORTED_DELETE_S
        ]
        return overdue

    def partially_reachable_machines_to_drain(self, now: Instant) -> list[Machine]:
        """Return the machines to drain because they are reachable in one direction only."""
        return self.scheduler.reachability.partially_reachable_machines_to_drain(now)

    def machines_to_drain(self, now: Instant) -> list[Machine]:
        """Return the empty machines to drain: idle for too long, or quarantined and faulty."""
        return unneeded_machines(self.scheduler, self.affordable_by_job, now)

    # ---- scaling out ---------------------------------------------------------------------

    def scale_out_requests(self, now: Instant) -> list[ScaleOutRequest]:
        """Return the requests to the cloud, at most one for each offer."""
        scheduler = self.scheduler
        if not scheduler.loaded or now - scheduler.started_at < FIRST_DECISION_DELAY_S:
            return []
        for machine_id in scheduler.machines:
            self.pending_machines.pop(machine_id, None)
        waiting = scheduler.jobs_without_room(now)
        existing = simulate_existing(scheduler, waiting)
        booting = simulate_pending(scheduler, self.pending_machines.values(), now)
        machine_counts = Counter(machine.offer for machine in booting)
        machine_counts.update(
            {
                offer: len(machines)
                for offer, machines in scheduler.schedulable_index.by_offer.items()
            }
        )
        self.affordable_by_job = jobs_limited_to_affordable(
            scheduler, (job for job, _ in waiting), machine_counts
        )
        offers = OfferSelection(scheduler, self.affordable_by_job, self.offer_pauses, now)
        plan = ScaleOutPlan(scheduler, offers, existing + booting)
        plan.request_for_headroom()
        plan.request_for_jobs(waiting)
        plan.request_for_consolidation()
        self.fit_checks += plan.fit_checks
        return [self._new_request(offer, count) for offer, count in offers.requested.items()]

    def _new_request(self, offer: MachineOffer, machine_count: int) -> ScaleOutRequest:
        self.request_count += 1
        request_id = ScaleOutRequestId(f"{self.prefix}-{self.request_count}")
        return ScaleOutRequest(request_id, offer, min(machine_count, MAX_MACHINES_PER_REQUEST))
