"""Scaling out and in: what to request from the cloud, what to return. No I/O.

The decisions are pure; the leader's machine scaler carries them out and reports what came of them.
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
    PendingMachine,
    simulate_existing,
    simulate_pending,
)
from umberward.scheduling.spot_policy import AffordableMachines, jobs_limited_to_affordable

__all__ = ["Autoscaler", "PendingMachine"]

FIRST_DECISION_S = 2.0  # machines report before a new leader requests any
NO_CAPACITY_PAUSE_S = 15.0  # how long a refused offer is not requested again at first
MAX_NO_CAPACITY_PAUSE_S = 60.0
PAUSE_GROWTH_RATIO = 1.5  # of the pause, with each refusal in a row
FAILED_BOOT_RATIO = 5.0  # a machine that boots for so many times boot_s is returned
FAILED_BOOT_MARGIN_S = 10.0  # ... and so much longer
UNHEARD_RETURN_S = 60.0  # a running machine that never reported is returned after so long


class Autoscaler:
    """Decides for one leader's term, and knows what the cloud has said in it."""

    def __init__(self, scheduler: Scheduler, prefix: str, now: Instant) -> None:  # noqa: ARG002
        """`prefix` makes the request ids of this term unique; `now` belongs to the interface."""
        self.scheduler = scheduler
        self.prefix = prefix
        self.request_count = 0
        self.comparisons = 0  # how often a machine's room was compared with what waits
        # By refused offer: until when it is not requested, and the seconds of that pause.
        self.no_capacity_until: dict[MachineOffer, tuple[Instant, float]] = {}
        self.pending: dict[MachineId, PendingMachine] = {}
        # Machines that the cloud lists as running and that have not reported: since when.
        self.unheard_machines: dict[MachineId, Instant] = {}
        # Jobs that wait for spot machines, as of the last decision to scale out.
        self.affordable: dict[JobId, AffordableMachines] = {}

    # ---- responses of the cloud ----------------------------------------------------------

    def machines_created(
        self, request: ScaleOutRequest, machine_ids: list[MachineId], now: Instant
    ) -> None:
        """Note the machines that a request has yielded; fewer than asked for: no more there."""
        for machine_id in machine_ids:
            self.pending[machine_id] = PendingMachine(request.offer, now)
        if len(machine_ids) < request.machine_count:
            self.no_capacity(request.offer, now)
        else:
            self.no_capacity_until.pop(request.offer, None)

    def no_capacity(self, offer: MachineOffer, now: Instant) -> None:
        """Pause requests for an offer that the cloud has refused, longer with each refusal."""
        first_pause_s = NO_CAPACITY_PAUSE_S / PAUSE_GROWTH_RATIO
        _, pause_s = self.no_capacity_until.get(offer, (now, first_pause_s))
        pause_s = min(pause_s * PAUSE_GROWTH_RATIO, MAX_NO_CAPACITY_PAUSE_S)
        self.no_capacity_until[offer] = (Instant(now + pause_s), pause_s)

    def reconcile_machine_list(
        self, listed: Iterable[CloudMachine], now: Instant
    ) -> list[MachineId]:
        """Compare the cloud's machine list with what is known; return machines that have failed."""
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
                self.pending.pop(machine_id, None)
            elif machine.phase == BOOTING:
                self._note_booting(machine_id, machine, now)
            else:
                # It runs and has not reported here: it may report to nobody.
                self.unheard_machines.setdefault(machine_id, now)
        for machine_id in list(self.unheard_machines):
            if machine_id not in listed_ids or machine_id in known:
                del self.unheard_machines[machine_id]
        return failed

    def _note_booting(self, machine_id: MachineId, machine: CloudMachine, now: Instant) -> None:
        if machine_id not in self.pending:
            offer = MachineOffer(
                MachineTypeName(machine.machine_type), ZoneName(machine.zone), machine.spot
            )
            self.pending[machine_id] = PendingMachine(offer, Instant(now - machine.age_s))

    def machines_removed(self, machine_ids: Iterable[MachineId]) -> None:
        """Forget machines that the cloud has deleted."""
        for machine_id in machine_ids:
            self.pending.pop(machine_id, None)
            self.unheard_machines.pop(machine_id, None)

    # ---- scaling in ----------------------------------------------------------------------

    def machines_to_delete(self, now: Instant) -> list[MachineId]:
        """Return the machines to delete at once: lost, never come up, or drained."""
        scheduler = self.scheduler
        lost = [
            machine_id
            for machine_id in scheduler.machines_to_delete
            if machine_id in scheduler.machines and scheduler.machines[machine_id].probe_unanswered
        ]
        scheduler.machines_to_delete.intersection_update(lost)
        drained = [
            machine.id for machine in scheduler.machines.values() if machine.deletion_requested
        ]
        return lost + self._machines_not_come_up(now) + drained

    def _machines_not_come_up(self, now: Instant) -> list[MachineId]:
        found = []
        for machine_id, pending in self.pending.items():
            machine_type = self.scheduler.machine_types.get(pending.offer.type)
            if machine_type is None:
                continue
            if now - pending.since > FAILED_BOOT_RATIO * machine_type.boot_s + FAILED_BOOT_MARGIN_S:
                found.append(machine_id)
        found += [
            machine_id
            for machine_id, since in self.unheard_machines.items()
            if now - since > UNHEARD_RETURN_S
        ]
        return found

    def unreachable_machines_to_return(self, now: Instant) -> list[Machine]:
        """Return the machines to return as this leader's messages do not reach them."""
        return self.scheduler.reachability.machines_to_return(now)

    def machines_to_return(self, now: Instant) -> list[Machine]:
        """Return the machines to return: empty for long, or quarantined and empty."""
        return unneeded_machines(self.scheduler, self.affordable, now)

    # ---- scaling out ---------------------------------------------------------------------

    def scale_out_requests(self, now: Instant) -> list[ScaleOutRequest]:
        """Return what to request from the cloud, at most one request for each offer."""
        scheduler = self.scheduler
        if not scheduler.loaded or now - scheduler.started_at < FIRST_DECISION_S:
            return []
        for machine_id in scheduler.machines:
            self.pending.pop(machine_id, None)
        waiting = scheduler.jobs_without_room(now)
        existing = simulate_existing(scheduler, waiting)
        booting = simulate_pending(scheduler, self.pending.values(), now)
        machine_counts = Counter(machine.offer for machine in booting)
        machine_counts.update(
            {offer: len(machines) for offer, machines in scheduler.schedulable.by_offer.items()}
        )
        self.affordable = jobs_limited_to_affordable(
            scheduler, (job for job, _ in waiting), machine_counts
        )
        offers = OfferSelection(scheduler, self.affordable, self.no_capacity_until, now)
        plan = ScaleOutPlan(scheduler, offers, existing + booting)
        plan.request_for_headroom()
        plan.request_for_jobs(waiting)
        plan.request_for_consolidation()
        self.comparisons += plan.comparisons
        return [self._new_request(offer, count) for offer, count in offers.requested.items()]

    def _new_request(self, offer: MachineOffer, machine_count: int) -> ScaleOutRequest:
        self.request_count += 1
        request_id = ScaleOutRequestId(f"{self.prefix}-{self.request_count}")
        return ScaleOutRequest(request_id, offer, min(machine_count, MAX_MACHINES_PER_REQUEST))
