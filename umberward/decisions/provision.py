"""What to rent and what to return. Pure decisions; the leader's cloud actor carries them out."""

from __future__ import annotations

import math
from collections import Counter
from typing import Any

from umberward.core.log import logger
from umberward.core.types import (
    NOTHING,
    Amount,
    ClaimId,
    Instant,
    JobId,
    MachineId,
    Offer,
    Rental,
    TypeName,
    ZoneName,
)
from umberward.decisions.fleet import Machine, least_need
from umberward.decisions.jobs import Job
from umberward.decisions.patience import Cheap, patient
from umberward.decisions.scheduler import Scheduler
from umberward.protocol.wire import BOOTING, FAILED, RENT_LIMIT, Host, Sku

log = logger(__name__)

FAIR_PRICE = 3.0  # up to so many times the lowest price, machines are rented at once
PATIENT_PART = 0.3  # ... and dearer ones when so much of the time to the start is over
REFUSED_S = 15.0  # how long a refused type, zone and kind is left alone at first
LATE_BOOT = 2.5  # a machine booting for so many times boot_s is no longer counted on
DEAD_BOOT = 5.0  # ... and is returned after so many


class Expected:
    """A rented machine that has not reported yet."""

    def __init__(self, offer: Offer, since: Instant) -> None:
        self.offer = offer
        self.since = since


class Paper:
    """A machine that exists or is on its way, to be filled on paper with what waits."""

    __slots__ = ("offer", "free", "yielding")

    def __init__(self, offer: Offer, free: Amount, yielding: Amount = NOTHING) -> None:
        self.offer = offer
        self.free = free
        self.yielding = yielding  # what accelerated work would find besides

    def room(self, prompt: bool) -> Amount:
        return self.free.plus(self.yielding) if prompt else self.free


class Provisioner:
    def __init__(self, scheduler: Scheduler, prefix: str, now: Instant) -> None:
        self.scheduler = scheduler
        self.prefix = prefix
        self.claims = 0
        self.tried = 0  # how often a machine's room was compared with what waits
        self.refused: dict[Offer, tuple[Instant, float]] = {}  # until, length of the pause
        self.expected: dict[MachineId, Expected] = {}
        self.strange: dict[MachineId, Instant] = {}  # listed and not reporting, since when
        self.started = now
        self.patient: dict[JobId, Cheap] = {}  # jobs that wait for cheap machines
        self.lacking_since: Instant | None = None

    # ---- what the cloud says -----------------------------------------------------------

    def rented(self, rental: Rental, ids: list[MachineId], now: Instant) -> None:
        for id in ids:
            self.expected[id] = Expected(rental.offer, now)
        if len(ids) < rental.many:
            self.no_capacity(rental.offer, now)
        else:
            self.refused.pop(rental.offer, None)

    def no_capacity(self, offer: Offer, now: Instant) -> None:
        _, pause = self.refused.get(offer, (now, REFUSED_S / 1.5))
        pause = min(pause * 1.5, 60.0)
        self.refused[offer] = (Instant(now + pause), pause)

    def listed(self, hosts: list[Host], now: Instant) -> list[MachineId]:
        """Take in the machine list; returns machines that have failed."""
        failed = []
        known = self.scheduler.machines
        names = set()
        for host in hosts:
            id = MachineId(host.uid)
            names.add(id)
            if id in self.scheduler.gone:
                continue
            if host.phase == FAILED:
                failed.append(id)
            elif id in known:
                self.expected.pop(id, None)
            elif host.phase == BOOTING:
                if id not in self.expected:
                    offer = Offer(TypeName(host.flavor), ZoneName(host.yard), host.reclaimable)
                    self.expected[id] = Expected(offer, Instant(now - host.held_s))
            else:
                # It runs and we have not heard of it: ask it, it may report to nobody.
                self.strange.setdefault(id, now)
        for id in list(self.strange):
            if id not in names or id in known:
                del self.strange[id]
        return failed

    def removed(self, ids: list[MachineId]) -> None:
        for id in ids:
            self.expected.pop(id, None)
            self.strange.pop(id, None)

    # ---- decisions ---------------------------------------------------------------------

    def deletions(self, now: Instant) -> list[MachineId]:
        scheduler = self.scheduler
        found = [
            id for id in scheduler.doomed if id in scheduler.machines
            and scheduler.machines[id].silent
        ]  # fmt: skip
        scheduler.doomed.intersection_update(found)
        for id, expected in self.expected.items():
            sku = scheduler.skus.get(expected.offer.type)
            if sku is not None and now - expected.since > DEAD_BOOT * sku.boot_s + 10.0:
                found.append(id)
        for id, since in self.strange.items():
            if now - since > 60.0:
                found.append(id)
        found += [m.id for m in scheduler.machines.values() if m.returning]
        return found

    def unreachable(self, now: Instant) -> list[Machine]:
        """Machines to return as they do not hear us."""
        return self.scheduler.hearing.given_up(now)

    def idle(self, now: Instant) -> list[Machine]:
        """Machines to return: empty for long, or set aside and empty."""
        scheduler = self.scheduler
        if not scheduler.all_settled:
            return []
        found = []
        lacking = {
            (job.kind, job.id in self.patient): job for job, _ in scheduler.lacking(now)
        }.values()
        reserved = scheduler.reserve.size() if scheduler.operator.rent_spare > 0 else 0
        for machine in scheduler.machines.values():
            if machine.held or machine.strays or not machine.settled or machine.returning:
                continue
            if scheduler.unwanted_start(machine):
                continue
            if machine.sick:
                # Others may still speak for it: a mistaken job fails in the same way.
                if scheduler.blame.given_up(machine, now):
                    found.append(machine)
                continue
            if reserved > 0 and scheduler.reserve.could_run(
                machine.type, machine.zone, machine.spot
            ):
                reserved -= 1  # returned, it would be rented again
                continue
            sku = scheduler.skus.get(machine.type)
            quiet = now - max(machine.idle_since, machine.since)
            if quiet <= max(scheduler.operator.idle_seconds, sku.boot_s if sku else 0.0):
                continue
            # A gang may wait for more machines than this one.
            if sku is None or not any(
                job.need.fits(sku.whole)
                and scheduler.allowed(job, machine.type, machine.zone, machine.spot)
                and (job.id not in self.patient or machine.offer in self.patient[job.id].offers)
                for job in lacking
            ):
                found.append(machine)
        return found

    def rentals(self, now: Instant) -> list[Rental]:
        scheduler = self.scheduler
        if not scheduler.loaded or now - scheduler.started < 2.0:
            return []
        skus = scheduler.skus
        for id in scheduler.machines:
            self.expected.pop(id, None)
        lacking = scheduler.lacking(now)
        virtual = self._standing_room(lacking)
        standing = len(virtual)
        for expected in self.expected.values():
            sku = skus.get(expected.offer.type)
            if sku is None or now - expected.since > LATE_BOOT * sku.boot_s + 5.0:
                continue
            whole = sku.whole
            virtual.append(Paper(expected.offer, whole))
        known = Counter(paper.offer for paper in virtual[standing:])
        known.update({offer: len(kind) for offer, kind in scheduler.ready.kinds.items()})
        self.patient = patient(scheduler, (job for job, _ in lacking), known)
        wanted: dict[Offer, int] = {}
        self._reserve(virtual, wanted, now)
        # Up to where there is no room left for a kind of job: it only gets less.
        searched: dict[Any, int] = {}
        for job, count in lacking:
            if job.gang and job.spec.same_place and count > 1:
                self._for_gang(job, count, virtual, wanted, now)
                continue
            need = job.need
            left = count
            at = searched.get(job.kind, 0)
            while left > 0 and at < len(virtual):
                self.tried += 1
                paper = virtual[at]
                room = paper.room(job.prompt)
                if need.fits(room) and scheduler.allowed(job, *paper.offer):
                    took = min(left, need.times_into(room))
                    paper.free = paper.free.minus(need, took)
                    left -= took
                if left > 0:
                    at += 1
            searched[job.kind] = at
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
                    whole = sku.whole
                    virtual.append(Paper(offer, whole.minus(need, took)))
                if wanted[offer] >= RENT_LIMIT:
                    break
        self._cheaper_room(virtual, wanted, now)
        made = []
        for offer, count in wanted.items():
            self.claims += 1
            claim = ClaimId(f"{self.prefix}-{self.claims}")
            made.append(Rental(claim, offer, min(count, RENT_LIMIT)))
        return made

    def _for_gang(
        self,
        job: Job,
        count: int,
        virtual: list[Paper],
        wanted: dict[Offer, int],
        now: Instant,
    ) -> None:
        """Room in one zone for all of it: where least has to be rented for that, and can be."""
        scheduler = self.scheduler
        need = job.need
        rooms: dict[ZoneName, list[Paper]] = {}
        for paper in virtual:
            self.tried += 1
            if need.fits(paper.room(job.prompt)) and scheduler.allowed(job, *paper.offer):
                rooms.setdefault(paper.offer.zone, []).append(paper)
        choices = []
        for zone in sorted(
            {ZoneName(yard) for sku in scheduler.skus.values() for yard in sku.yards}
        ):
            here = rooms.get(zone, [])
            missing = count - sum(need.times_into(paper.room(job.prompt)) for paper in here)
            best = self._cheapest(job, missing, now, wanted, zone) if missing > 0 else None
            if missing <= 0 or best is not None:
                choices.append((max(0, missing), zone, here, best))
        if not choices:
            return
        missing, _, here, best = min(choices, key=lambda choice: choice[:2])
        left = count - missing
        for paper in here:
            took = min(left, need.times_into(paper.room(job.prompt)))
            paper.free = paper.free.minus(need, took)
            left -= took
        if best is not None:
            offer, each = best
            sku = scheduler.skus[offer.type]
            whole = sku.whole
            machines = math.ceil(missing / each)
            wanted[offer] = wanted.get(offer, 0) + machines
            for _ in range(machines):
                took = min(missing, each)
                missing -= took
                virtual.append(Paper(offer, whole.minus(need, took)))

    def _standing_room(self, lacking: list[tuple[Job, int]]) -> list[Paper]:
        """The machines that there are, less those that nothing which waits could use: of a fleet
        that is full, nearly all."""
        scheduler = self.scheduler
        jobs = [job for job, _ in lacking] + [job for job, _ in scheduler.thrift.homeless]
        least = least_need(jobs, scheduler.reserve.need)
        yields = {offer: scheduler.reserve.could_run(*offer) for offer in scheduler.offers}
        found = []
        usable, rooms = scheduler.survey()
        for machine in usable:
            free = rooms[machine.id]
            yielding = NOTHING
            if yields[machine.offer]:
                yielding = scheduler.reserve.yielding(machine)
            if least is not None and least.fits(free.plus(yielding)):
                found.append(Paper(machine.offer, free, yielding))
        if scheduler.hearing.many():
            for machine in scheduler.hearing.one_way():
                sku = scheduler.skus.get(machine.type)
                if sku is not None:
                    found.append(Paper(machine.offer, sku.whole))
        return found

    def _cheaper_room(self, virtual: list[Paper], wanted: dict[Offer, int], now: Instant) -> None:
        """Rent for replicas that should leave a dear machine and have nowhere to go."""
        scheduler = self.scheduler
        thrift = scheduler.thrift
        for job, bound in thrift.homeless:
            need = job.need
            if any(
                thrift.unit_price(paper.offer.type) < bound
                and need.fits(paper.free)
                and scheduler.allowed(job, *paper.offer)
                for paper in virtual
            ):
                continue  # it is on its way
            offers = [
                (thrift.unit_price(TypeName(sku.sku)), Offer(TypeName(sku.sku), zone, False))
                for sku in scheduler.skus.values()
                for zone in map(ZoneName, sku.yards)
                if thrift.unit_price(TypeName(sku.sku)) < bound and need.fits(sku.whole)
            ]
            for _, offer in sorted(offers):
                until = self.refused.get(offer, (Instant(0.0), 0.0))[0]
                if until <= now and scheduler.allowed(job, *offer):
                    sku = scheduler.skus[offer.type]
                    whole = sku.whole
                    wanted[offer] = wanted.get(offer, 0) + 1
                    virtual.append(Paper(offer, whole.minus(need)))
                    break

    def _cheapest(
        self,
        job: Job,
        left: int,
        now: Instant,
        wanted: dict[Offer, int],
        only: ZoneName | None = None,
    ) -> tuple[Offer, int] | None:
        """The offer with the lowest price per task, and how many tasks one machine takes.

        `only`: the zone in which it has to be.
        """
        scheduler = self.scheduler
        best: tuple[float, Offer, int] | None = None
        waited = scheduler.wall() - job.ready_at
        patience = PATIENT_PART * (scheduler.deadline(job) - job.ready_at)
        fair = math.inf if waited > patience else FAIR_PRICE * self._fair(job)
        if job.id in self.patient:
            fair = min(fair, self.patient[job.id].bound)
        for sku in scheduler.skus.values():
            whole = sku.whole
            each = job.need.times_into(whole)
            if each <= 0:
                continue
            for zone in sku.yards:
                for spot in (True, False):
                    offer = Offer(TypeName(sku.sku), ZoneName(zone), spot)
                    if not scheduler.allowed(job, *offer) or only not in (None, offer.zone):
                        continue
                    price = _price(sku, spot)
                    until = self.refused.get(offer, (Instant(0.0), 0.0))[0]
                    if price is None or until > now or wanted.get(offer, 0) >= RENT_LIMIT:
                        continue
                    if price / each > fair:
                        continue  # dear: the job waits for cheap room while it has time
                    cost = price * math.ceil(left / each) / left
                    if best is None or cost < best[0]:
                        best = (cost, offer, each)
        return None if best is None else (best[1], best[2])

    def _fair(self, job: Job) -> float:
        """The lowest ordinary price for which a task of the job could run."""
        fair = math.inf
        for sku in self.scheduler.skus.values():
            each = job.need.times_into(sku.whole)
            names = job.spec.flavors
            if each > 0 and (names is None or sku.sku in names):
                fair = min(fair, sku.hourly / each)
        return fair

    def _reserve(self, virtual: list[Paper], wanted: dict[Offer, int], now: Instant) -> None:
        """Rent ahead for accelerated work, if a machine rented on demand would come too late."""
        scheduler = self.scheduler
        need, spec = scheduler.reserve.need, scheduler.reserve.spec
        if spec is None or scheduler.operator.rent_spare <= 0:
            return
        wait, _ = scheduler.aims.get(spec.jobclass, (None, None))
        if wait is None:
            return
        lacking = round(scheduler.reserve.size() * scheduler.operator.rent_spare)
        lacking -= sum(
            1
            for paper in virtual
            if need.fits(paper.room(prompt=True)) and scheduler.reserve.could_run(*paper.offer)
        )
        best: tuple[float, Offer] | None = None
        for sku in scheduler.skus.values():
            whole = sku.whole
            if not need.fits(whole) or sku.boot_s + spec.pull_gb / sku.fetch_gb_per_s <= wait:
                continue
            for zone in sku.yards:
                offer = Offer(TypeName(sku.sku), ZoneName(zone), False)
                if self.refused.get(offer, (Instant(0.0), 0.0))[0] > now:
                    continue
                if best is None or sku.hourly < best[0]:
                    best = (sku.hourly, offer)
        if best is not None and lacking > 0:
            wanted[best[1]] = lacking
            sku = scheduler.skus[best[1].type]
            whole = sku.whole
            virtual.extend(Paper(best[1], whole) for _ in range(lacking))


def _price(sku: Sku, spot: bool) -> float | None:
    if spot:
        # A spot machine may be taken at any time, and the work on it is done again.
        return None if sku.low_price is None else sku.low_price * 1.25
    return sku.hourly
