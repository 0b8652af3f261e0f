"""What to rent and what to return. Pure decisions; the leader's cloud actor carries them out."""

from __future__ import annotations

import math
from collections import Counter
from typing import Any

from umberward.core.log import logger
from umberward.core.types import (
    NO_RESOURCES,
    Instant,
    JobId,
    MachineId,
    MachineOffer,
    MachineTypeName,
    Resources,
    ScaleOutRequest,
    ScaleOutRequestId,
    ZoneName,
)
from umberward.protocol.wire import (
    BOOTING,
    FAILED,
    MAX_MACHINES_PER_REQUEST,
    CloudMachine,
    MachineType,
)
from umberward.scheduling.jobs import Job
from umberward.scheduling.machines import Machine
from umberward.scheduling.schedulable_machines import smallest_need
from umberward.scheduling.scheduler import Scheduler
from umberward.scheduling.spot_policy import AffordableMachines, jobs_limited_to_affordable

log = logger(__name__)

PRICE_RATIO_MAX = 3.0  # up to so many times the lowest price, machines are rented at once
CHEAP_WAIT_SHARE = 0.3  # ... and dearer ones when so much of the time to the start is over
NO_CAPACITY_PAUSE_S = 15.0  # how long a refused type, zone and kind is left alone at first
LATE_BOOT_RATIO = 2.5  # a machine booting for so many times boot_s is no longer counted on
FAILED_BOOT_RATIO = 5.0  # ... and is returned after so many


class PendingMachine:
    """A rented machine that has not reported yet."""

    def __init__(self, offer: MachineOffer, since: Instant) -> None:
        self.offer = offer
        self.since = since


class SimulatedMachine:
    """A machine that exists or is on its way, to be filled on paper with what waits."""

    __slots__ = ("offer", "free", "preemptable")

    def __init__(
        self, offer: MachineOffer, free: Resources, yielding: Resources = NO_RESOURCES
    ) -> None:
        self.offer = offer
        self.free = free
        self.preemptable = yielding  # what accelerated work would find besides

    def room(self, prompt: bool) -> Resources:
        return self.free.plus(self.preemptable) if prompt else self.free


class Autoscaler:
    def __init__(self, scheduler: Scheduler, prefix: str, now: Instant) -> None:
        self.scheduler = scheduler
        self.prefix = prefix
        self.request_count = 0
        self.comparisons = 0  # how often a machine's room was compared with what waits
        self.no_capacity_until: dict[
            MachineOffer, tuple[Instant, float]
        ] = {}  # until, length of the pause
        self.pending: dict[MachineId, PendingMachine] = {}
        self.unheard_machines: dict[MachineId, Instant] = {}  # listed and not reporting, since when
        self.started = now
        self.affordable: dict[JobId, AffordableMachines] = {}  # jobs that wait for cheap machines
        self.lacking_since: Instant | None = None

    # ---- what the cloud says -----------------------------------------------------------

    def machines_rented(self, rental: ScaleOutRequest, ids: list[MachineId], now: Instant) -> None:
        for id in ids:
            self.pending[id] = PendingMachine(rental.offer, now)
        if len(ids) < rental.machine_count:
            self.no_capacity(rental.offer, now)
        else:
            self.no_capacity_until.pop(rental.offer, None)

    def no_capacity(self, offer: MachineOffer, now: Instant) -> None:
        _, pause = self.no_capacity_until.get(offer, (now, NO_CAPACITY_PAUSE_S / 1.5))
        pause = min(pause * 1.5, 60.0)
        self.no_capacity_until[offer] = (Instant(now + pause), pause)

    def reconcile_machine_list(self, hosts: list[CloudMachine], now: Instant) -> list[MachineId]:
        """Take in the machine list; returns machines that have failed."""
        failed = []
        known = self.scheduler.machines
        names = set()
        for host in hosts:
            id = MachineId(host.machine_id)
            names.add(id)
            if id in self.scheduler.deleted_machines:
                continue
            if host.phase == FAILED:
                failed.append(id)
            elif id in known:
                self.pending.pop(id, None)
            elif host.phase == BOOTING:
                if id not in self.pending:
                    offer = MachineOffer(
                        MachineTypeName(host.machine_type), ZoneName(host.zone), host.spot
                    )
                    self.pending[id] = PendingMachine(offer, Instant(now - host.age_s))
            else:
                # It runs and we have not heard of it: ask it, it may report to nobody.
                self.unheard_machines.setdefault(id, now)
        for id in list(self.unheard_machines):
            if id not in names or id in known:
                del self.unheard_machines[id]
        return failed

    def machines_removed(self, ids: list[MachineId]) -> None:
        for id in ids:
            self.pending.pop(id, None)
            self.unheard_machines.pop(id, None)

    # ---- decisions ---------------------------------------------------------------------

    def machines_to_delete(self, now: Instant) -> list[MachineId]:
        scheduler = self.scheduler
        found = [
            id
            for id in scheduler.machines_to_delete
            if id in scheduler.machines and scheduler.machines[id].probe_unanswered
        ]
        scheduler.machines_to_delete.intersection_update(found)
        for id, expected in self.pending.items():
            sku = scheduler.machine_types.get(expected.offer.type)
            if sku is not None and now - expected.since > FAILED_BOOT_RATIO * sku.boot_s + 10.0:
                found.append(id)
        for id, since in self.unheard_machines.items():
            if now - since > 60.0:
                found.append(id)
        found += [m.id for m in scheduler.machines.values() if m.returning]
        return found

    def machines_to_abandon(self, now: Instant) -> list[Machine]:
        """Machines to return as they do not hear us."""
        return self.scheduler.reachability.machines_to_return(now)

    def machines_to_return(self, now: Instant) -> list[Machine]:
        """Machines to return: empty for long, or set aside and empty."""
        scheduler = self.scheduler
        if not scheduler.all_settled:
            return []
        found = []
        lacking = {
            (job.placement_class, job.id in self.affordable): job
            for job, _ in scheduler.jobs_without_room(now)
        }.values()
        reserved = scheduler.headroom.open_task_count() if scheduler.operator.rent_spare > 0 else 0
        for machine in scheduler.machines.values():
            if (
                machine.placements
                or machine.unplaced_tasks
                or not machine.reconciled
                or machine.returning
            ):
                continue
            if scheduler.has_unwanted_start(machine):
                continue
            if machine.quarantined:
                # Others may still speak for it: a mistaken job fails in the same way.
                if scheduler.failure_attribution.machine_is_faulty(machine, now):
                    found.append(machine)
                continue
            if reserved > 0 and scheduler.headroom.could_run(
                machine.type, machine.zone, machine.spot
            ):
                reserved -= 1  # returned, it would be rented again
                continue
            sku = scheduler.machine_types.get(machine.type)
            quiet = now - max(machine.idle_since, machine.known_since)
            if quiet <= max(scheduler.operator.idle_seconds, sku.boot_s if sku else 0.0):
                continue
            # A gang may wait for more machines than this one.
            if sku is None or not any(
                job.need.fits(sku.capacity)
                and scheduler.allowed(job, machine.type, machine.zone, machine.spot)
                and (
                    job.id not in self.affordable or machine.offer in self.affordable[job.id].offers
                )
                for job in lacking
            ):
                found.append(machine)
        return found

    def scale_out_requests(self, now: Instant) -> list[ScaleOutRequest]:
        scheduler = self.scheduler
        if not scheduler.loaded or now - scheduler.started < 2.0:
            return []
        skus = scheduler.machine_types
        for id in scheduler.machines:
            self.pending.pop(id, None)
        lacking = scheduler.jobs_without_room(now)
        virtual = self._simulate_existing(lacking)
        standing = len(virtual)
        for expected in self.pending.values():
            sku = skus.get(expected.offer.type)
            if sku is None or now - expected.since > LATE_BOOT_RATIO * sku.boot_s + 5.0:
                continue
            whole = sku.capacity
            virtual.append(SimulatedMachine(expected.offer, whole))
        known = Counter(paper.offer for paper in virtual[standing:])
        known.update({offer: len(kind) for offer, kind in scheduler.schedulable.by_offer.items()})
        self.affordable = jobs_limited_to_affordable(scheduler, (job for job, _ in lacking), known)
        wanted: dict[MachineOffer, int] = {}
        self._scale_out_for_headroom(virtual, wanted, now)
        # Up to where there is no room left for a kind of job: it only gets less.
        searched: dict[Any, int] = {}
        for job, count in lacking:
            if job.gang and job.spec.same_zone and count > 1:
                self._scale_out_for_gang(job, count, virtual, wanted, now)
                continue
            need = job.need
            left = count
            at = searched.get(job.placement_class, 0)
            while left > 0 and at < len(virtual):
                self.comparisons += 1
                paper = virtual[at]
                room = paper.room(job.prompt)
                if need.fits(room) and scheduler.allowed(job, *paper.offer):
                    took = min(left, need.count_within(room))
                    paper.free = paper.free.minus(need, took)
                    left -= took
                if left > 0:
                    at += 1
            searched[job.placement_class] = at
            while left > 0:
                best = self._cheapest(job, left, now, wanted)
                if best is None:
                    break
                offer, each = best
                sku = skus[offer.type]
                machines = min(math.ceil(left / each), 10)
                wanted[offer] = wanted.get(offer, 0) + machines
                for _ in range(machines):
                    took = min(left, each)
                    left -= took
                    whole = sku.capacity
                    virtual.append(SimulatedMachine(offer, whole.minus(need, took)))
                if wanted[offer] >= MAX_MACHINES_PER_REQUEST:
                    break
        self._scale_out_for_consolidation(virtual, wanted, now)
        made = []
        for offer, count in wanted.items():
            self.request_count += 1
            claim = ScaleOutRequestId(f"{self.prefix}-{self.request_count}")
            made.append(ScaleOutRequest(claim, offer, min(count, MAX_MACHINES_PER_REQUEST)))
        return made

    def _scale_out_for_gang(
        self,
        job: Job,
        count: int,
        virtual: list[SimulatedMachine],
        wanted: dict[MachineOffer, int],
        now: Instant,
    ) -> None:
        """Room in one zone for all of it: where least has to be rented for that, and can be."""
        scheduler = self.scheduler
        need = job.need
        rooms: dict[ZoneName, list[SimulatedMachine]] = {}
        for paper in virtual:
            self.comparisons += 1
            if need.fits(paper.room(job.prompt)) and scheduler.allowed(job, *paper.offer):
                rooms.setdefault(paper.offer.zone, []).append(paper)
        choices = []
        for zone in sorted(
            {ZoneName(yard) for sku in scheduler.machine_types.values() for yard in sku.zones}
        ):
            here = rooms.get(zone, [])
            missing = count - sum(need.count_within(paper.room(job.prompt)) for paper in here)
            best = self._cheapest(job, missing, now, wanted, zone) if missing > 0 else None
            if missing <= 0 or best is not None:
                choices.append((max(0, missing), zone, here, best))
        if not choices:
            return
        missing, _, here, best = min(choices, key=lambda choice: choice[:2])
        left = count - missing
        for paper in here:
            took = min(left, need.count_within(paper.room(job.prompt)))
            paper.free = paper.free.minus(need, took)
            left -= took
        if best is not None:
            offer, each = best
            sku = scheduler.machine_types[offer.type]
            whole = sku.capacity
            machines = math.ceil(missing / each)
            wanted[offer] = wanted.get(offer, 0) + machines
            for _ in range(machines):
                took = min(missing, each)
                missing -= took
                virtual.append(SimulatedMachine(offer, whole.minus(need, took)))

    def _simulate_existing(self, lacking: list[tuple[Job, int]]) -> list[SimulatedMachine]:
        """The machines that there are, less those that nothing which waits could use: of a fleet
        that is full, nearly all."""
        scheduler = self.scheduler
        jobs = [job for job, _ in lacking] + [
            job for job, _ in scheduler.consolidation.replicas_without_room
        ]
        least = smallest_need(jobs, scheduler.headroom.need)
        yields = {offer: scheduler.headroom.could_run(*offer) for offer in scheduler.offers}
        found = []
        usable, rooms = scheduler.schedulable_room()
        for machine in usable:
            free = rooms[machine.id]
            yielding = NO_RESOURCES
            if yields[machine.offer]:
                yielding = scheduler.headroom.yielding_room(machine)
            if least is not None and least.fits(free.plus(yielding)):
                found.append(SimulatedMachine(machine.offer, free, yielding))
        if scheduler.reachability.many_unreachable():
            for machine in scheduler.reachability.partially_reachable():
                sku = scheduler.machine_types.get(machine.type)
                if sku is not None:
                    found.append(SimulatedMachine(machine.offer, sku.capacity))
        return found

    def _scale_out_for_consolidation(
        self, virtual: list[SimulatedMachine], wanted: dict[MachineOffer, int], now: Instant
    ) -> None:
        """Rent for replicas that should leave a dear machine and have nowhere to go."""
        scheduler = self.scheduler
        thrift = scheduler.consolidation
        for job, bound in thrift.replicas_without_room:
            need = job.need
            if any(
                thrift.unit_price(paper.offer.type) < bound
                and need.fits(paper.free)
                and scheduler.allowed(job, *paper.offer)
                for paper in virtual
            ):
                continue  # it is on its way
            offers = [
                (
                    thrift.unit_price(MachineTypeName(sku.name)),
                    MachineOffer(MachineTypeName(sku.name), zone, False),
                )
                for sku in scheduler.machine_types.values()
                for zone in map(ZoneName, sku.zones)
                if thrift.unit_price(MachineTypeName(sku.name)) < bound and need.fits(sku.capacity)
            ]
            for _, offer in sorted(offers):
                until = self.no_capacity_until.get(offer, (Instant(0.0), 0.0))[0]
                if until <= now and scheduler.allowed(job, *offer):
                    sku = scheduler.machine_types[offer.type]
                    whole = sku.capacity
                    wanted[offer] = wanted.get(offer, 0) + 1
                    virtual.append(SimulatedMachine(offer, whole.minus(need)))
                    break

    def _cheapest(
        self,
        job: Job,
        left: int,
        now: Instant,
        wanted: dict[MachineOffer, int],
        only: ZoneName | None = None,
    ) -> tuple[MachineOffer, int] | None:
        """The offer with the lowest price per task, and how many tasks one machine takes.

        `only`: the zone in which it has to be.
        """
        scheduler = self.scheduler
        best: tuple[float, MachineOffer, int] | None = None
        waited = scheduler.wall() - job.ready_at
        patience = CHEAP_WAIT_SHARE * (scheduler.start_by(job) - job.ready_at)
        fair = math.inf if waited > patience else PRICE_RATIO_MAX * self._lowest_ordinary_price(job)
        if job.id in self.affordable:
            fair = min(fair, self.affordable[job.id].max_task_price)
        for sku in scheduler.machine_types.values():
            whole = sku.capacity
            each = job.need.count_within(whole)
            if each <= 0:
                continue
            for zone in sku.zones:
                for spot in (True, False):
                    offer = MachineOffer(MachineTypeName(sku.name), ZoneName(zone), spot)
                    if not scheduler.allowed(job, *offer) or only not in (None, offer.zone):
                        continue
                    price = _hourly_price(sku, spot)
                    until = self.no_capacity_until.get(offer, (Instant(0.0), 0.0))[0]
                    if (
                        price is None
                        or until > now
                        or wanted.get(offer, 0) >= MAX_MACHINES_PER_REQUEST
                    ):
                        continue
                    if price / each > fair:
                        continue  # dear: the job waits for cheap room while it has time
                    cost = price * math.ceil(left / each) / left
                    if best is None or cost < best[0]:
                        best = (cost, offer, each)
        return None if best is None else (best[1], best[2])

    def _lowest_ordinary_price(self, job: Job) -> float:
        """The lowest ordinary price for which a task of the job could run."""
        fair = math.inf
        for sku in self.scheduler.machine_types.values():
            each = job.need.count_within(sku.capacity)
            names = job.spec.machine_types
            if each > 0 and (names is None or sku.name in names):
                fair = min(fair, sku.hourly_price / each)
        return fair

    def _scale_out_for_headroom(
        self, virtual: list[SimulatedMachine], wanted: dict[MachineOffer, int], now: Instant
    ) -> None:
        """Rent ahead for accelerated work, if a machine rented on demand would come too late."""
        scheduler = self.scheduler
        need, spec = scheduler.headroom.need, scheduler.headroom.spec
        if spec is None or scheduler.operator.rent_spare <= 0:
            return
        wait, _ = scheduler.class_aims.get(spec.job_class, (None, None))
        if wait is None:
            return
        lacking = round(scheduler.headroom.open_task_count() * scheduler.operator.rent_spare)
        lacking -= sum(
            1
            for paper in virtual
            if need.fits(paper.room(prompt=True)) and scheduler.headroom.could_run(*paper.offer)
        )
        best: tuple[float, MachineOffer] | None = None
        for sku in scheduler.machine_types.values():
            whole = sku.capacity
            if not need.fits(whole) or sku.boot_s + spec.image_gb / sku.image_pull_gb_per_s <= wait:
                continue
            for zone in sku.zones:
                offer = MachineOffer(MachineTypeName(sku.name), ZoneName(zone), False)
                if self.no_capacity_until.get(offer, (Instant(0.0), 0.0))[0] > now:
                    continue
                if best is None or sku.hourly_price < best[0]:
                    best = (sku.hourly_price, offer)
        if best is not None and lacking > 0:
            wanted[best[1]] = lacking
            sku = scheduler.machine_types[best[1].type]
            whole = sku.capacity
            virtual.extend(SimulatedMachine(best[1], whole) for _ in range(lacking))


def _hourly_price(sku: MachineType, spot: bool) -> float | None:
    if spot:
        # A spot machine may be taken at any time, and the work on it is done again.
        return None if sku.spot_price is None else sku.spot_price * 1.25
    return sku.hourly_price
