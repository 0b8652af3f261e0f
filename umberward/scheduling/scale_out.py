"""Number of machines to request of each offer for waiting work. No I/O.

A simulation first places the work on existing and booting machines; machines are requested for the
rest.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from typing import NamedTuple

from umberward.core.types import MachineOffer, MachineTypeName, Resources, ZoneName
from umberward.protocol.wire import MachineType
from umberward.scheduling.jobs import Job
from umberward.scheduling.objectives import NO_STRICTEST_OBJECTIVES
from umberward.scheduling.offer_selection import OfferChoice, OfferSelection
from umberward.scheduling.scheduler import Scheduler
from umberward.scheduling.simulated_machines import SimulatedMachine

MAX_MACHINES_PER_CHOICE = 10  # after these the best offer is chosen again


class _GangZone(NamedTuple):
    """A zone in which a gang could run, if necessary with more machines."""

    missing_tasks: int
    zone: ZoneName
    machines: list[SimulatedMachine]  # those with room for a task of the gang
    choice: OfferChoice | None  # the offer to request for the missing tasks


class ScaleOutPlan:
    """One decision to scale out; `offers.requested` counts the machines to request."""

    def __init__(
        self, scheduler: Scheduler, offers: OfferSelection, machines: list[SimulatedMachine]
    ) -> None:
        """`machines`: the existing and booting ones, to which requested ones are added."""
        self.scheduler = scheduler
        self.offers = offers
        self.machines = machines
        self.fit_checks = 0  # checks whether a machine has room for a waiting job

    # ---- waiting jobs --------------------------------------------------------------------

    def request_for_jobs(self, waiting: list[tuple[Job, int]]) -> None:
        """Request machines for the waiting jobs and their numbers of tasks, in this order."""
        # By placement class: the number of machines already searched. They need no second search,
        # as their room only shrinks.
        search_positions: dict[Hashable, int] = {}
        for job, task_count in waiting:
            if job.gang and job.spec.same_zone and task_count > 1:
                self._request_for_gang(job, task_count)
            else:
                missing_tasks = self._fill_machines(job, task_count, search_positions)
                self._request_for_tasks(job, missing_tasks)

    def _fill_machines(
        self, job: Job, task_count: int, search_positions: dict[Hashable, int]
    ) -> int:
        """Fill the simulated machines with the job's tasks; return how many did not fit."""
        need, machines = job.need, self.machines
        missing_tasks = task_count
        position = search_positions.get(job.placement_class, 0)
        while missing_tasks > 0 and position < len(machines):
            self.fit_checks += 1
            machine = machines[position]
            room = self._room_for_job(job, machine)
            if need.fits(room) and self.scheduler.admits_offer(job, *machine.offer):
                fitting = min(missing_tasks, need.count_within(room))
                machine.free = machine.free.minus(need, fitting)
                missing_tasks -= fitting
            if missing_tasks > 0:
                position += 1
        search_positions[job.placement_class] = position
        return missing_tasks

    def _room_for_job(self, job: Job, machine: SimulatedMachine) -> Resources:
        """Return the room on the machine that the job's tasks may use."""
        room = machine.room(prompt=job.needs_prompt_start)
        return self.scheduler.room_for_job(job, machine.offer.type, room)

    def _request_for_tasks(self, job: Job, missing_tasks: int) -> None:
        while missing_tasks > 0:
            choice = self.offers.cheapest(job, missing_tasks)
            if choice is None:
                return
            machine_count = math.ceil(missing_tasks / choice.tasks_per_machine)
            machine_count = min(machine_count, MAX_MACHINES_PER_CHOICE)
            missing_tasks = self._add_machines(job, choice, machine_count, missing_tasks)
            if self.offers.is_exhausted(choice.offer):
                return

    def _add_machines(
        self, job: Job, choice: OfferChoice, machine_count: int, missing_tasks: int
    ) -> int:
        """Request machines and fill them with the job's tasks; return how many did not fit."""
        self.offers.request(choice.offer, machine_count)
        capacity = self.scheduler.machine_types[choice.offer.type].capacity
        for _ in range(machine_count):
            fitting = min(missing_tasks, choice.tasks_per_machine)
            missing_tasks -= fitting
            free = capacity.minus(job.need, fitting)
            self.machines.append(SimulatedMachine(choice.offer, free))
        return missing_tasks

    # ---- gangs in one zone ---------------------------------------------------------------

    def _request_for_gang(self, job: Job, task_count: int) -> None:
        """Make room for the whole gang in the zone where the fewest tasks lack room."""
        zones = self._zones_for_gang(job, task_count)
        if not zones:
            return
        best = min(zones, key=lambda zone: zone[:2])
        remaining_tasks = task_count - best.missing_tasks
        for machine in best.machines:
            fitting = min(remaining_tasks, job.need.count_within(self._room_for_job(job, machine)))
            machine.free = machine.free.minus(job.need, fitting)
            remaining_tasks -= fitting
        if best.choice is not None:
            machine_count = math.ceil(best.missing_tasks / best.choice.tasks_per_machine)
            self._add_machines(job, best.choice, machine_count, best.missing_tasks)

    def _zones_for_gang(self, job: Job, task_count: int) -> list[_GangZone]:
        """Return the zones that have room for the gang or can get it by a request."""
        need = job.need
        machines_by_zone: dict[ZoneName, list[SimulatedMachine]] = {}
        for machine in self.machines:
            self.fit_checks += 1
            fits = need.fits(self._room_for_job(job, machine))
            if fits and self.scheduler.admits_offer(job, *machine.offer):
                machines_by_zone.setdefault(machine.offer.zone, []).append(machine)
        found = []
        for zone in self._all_zones():
            machines = machines_by_zone.get(zone, [])
            fitting_tasks = sum(
                need.count_within(self._room_for_job(job, machine)) for machine in machines
            )
            missing = task_count - fitting_tasks
            choice = self.offers.cheapest(job, missing, zone) if missing > 0 else None
            if missing <= 0 or choice is not None:
                found.append(_GangZone(max(0, missing), zone, machines, choice))
        return found

    def _all_zones(self) -> list[ZoneName]:
        machine_types = self.scheduler.machine_types.values()
        return sorted({ZoneName(zone) for offered in machine_types for zone in offered.zones})

    # ---- headroom and consolidation ------------------------------------------------------

    def request_for_headroom(self) -> None:
        """Request machines ahead of accelerated work that would otherwise start too late."""
        scheduler = self.scheduler
        headroom, rent_spare = scheduler.headroom, scheduler.operator.rent_spare
        if headroom.latest_accelerated_spec is None or rent_spare <= 0:
            return
        start_within_s, _ = scheduler.strictest_objectives.get(
            headroom.latest_accelerated_spec.job_class, NO_STRICTEST_OBJECTIVES
        )
        if start_within_s is None:
            return
        missing = round(headroom.headroom_task_count() * rent_spare)
        missing -= sum(
            1
            for machine in self.machines
            if headroom.largest_accelerator_need.fits(machine.room(prompt=True))
            and headroom.could_run_accelerated(*machine.offer)
        )
        offer = self._cheapest_for_headroom(start_within_s)
        if offer is not None and missing > 0:
            self.offers.request(offer, missing)
            capacity = scheduler.machine_types[offer.type].capacity
            self.machines.extend(SimulatedMachine(offer, capacity) for _ in range(missing))

    def _cheapest_for_headroom(self, start_within_s: float) -> MachineOffer | None:
        """Return the cheapest offer among those that boot too slowly to request when work comes."""
        headroom = self.scheduler.headroom
        best: tuple[float, MachineOffer] | None = None
        for machine_type in self.scheduler.machine_types.values():
            if (
                not headroom.largest_accelerator_need.fits(machine_type.capacity)
                or headroom.latest_accelerated_spec is None
            ):
                continue
            pull_s = headroom.latest_accelerated_spec.image_gb / machine_type.image_pull_gb_per_s
            if machine_type.boot_s + pull_s <= start_within_s:
                continue
            for offer in _on_demand_offers(machine_type):
                if not self.offers.is_available(offer):
                    continue
                if best is None or machine_type.hourly_price < best[0]:
                    best = (machine_type.hourly_price, offer)
        return None if best is None else best[1]

    def request_for_consolidation(self) -> None:
        """Request machines for replicas that should leave an expensive machine and have no room."""
        for job, max_price_per_core in self.scheduler.consolidation.jobs_needing_cheaper_room:
            if self._has_cheaper_room(job, max_price_per_core):
                continue  # such a machine exists, boots or is being requested
            for _, offer in sorted(self._cheaper_offers(job, max_price_per_core)):
                if self.offers.is_available(offer) and self.scheduler.admits_offer(job, *offer):
                    self._add_machines(job, OfferChoice(offer, 1), 1, 1)
                    break

    def _has_cheaper_room(self, job: Job, max_price_per_core: float) -> bool:
        price_per_core = self.scheduler.consolidation.price_per_core
        return any(
            price_per_core(machine.offer.type) < max_price_per_core
            and job.need.fits(machine.free)
            and self.scheduler.admits_offer(job, *machine.offer)
            for machine in self.machines
        )

    def _cheaper_offers(
        self, job: Job, max_price_per_core: float
    ) -> list[tuple[float, MachineOffer]]:
        """Return the on-demand offers with a lower price per core, with that price."""
        price_per_core = self.scheduler.consolidation.price_per_core
        found = []
        for machine_type in self.scheduler.machine_types.values():
            price = price_per_core(MachineTypeName(machine_type.name))
            if price < max_price_per_core and job.need.fits(machine_type.capacity):
                found += [(price, offer) for offer in _on_demand_offers(machine_type)]
        return found


def _on_demand_offers(machine_type: MachineType) -> list[MachineOffer]:
    """Return the on-demand offers of a machine type, one for each zone."""
    name = MachineTypeName(machine_type.name)
    return [MachineOffer(name, ZoneName(zone), spot=False) for zone in machine_type.zones]
