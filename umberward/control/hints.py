"""What a leader has learnt and no record holds, told to the other controllers. No I/O.

Which machine has which image, how long work of a class takes, how much accelerated work comes,
which machines are on their way, what fails: a new leader that had to learn all that anew would
start replicas where their image is missing and rent what was rented already. Hints are only ever
used to choose better: no rule rests on them, and they may be old, or be missing altogether. The
others ask for them every few seconds; for the case that all controllers end at once, what changes
slowly also stands in the state service, a part at a time, as writes are scarce.
"""

from __future__ import annotations

from typing import Any

import cbor2
import msgspec

from umberward.core.types import (
    Amount,
    ImageName,
    Instant,
    JobId,
    MachineId,
    Offer,
    TypeName,
    ZoneName,
)
from umberward.decisions.provision import Expected, Provisioner
from umberward.decisions.scheduler import Scheduler
from umberward.protocol import wire

OLD_S = 120.0  # hints that are older than this are not used: too much has changed


class Hints(msgspec.Struct, omit_defaults=True):
    epoch: int
    images: list[tuple[str, float]]  # name, GB
    # machine -> its images by their place in the list, least recently used first
    machines: dict[str, list[int]]
    runtime: dict[str, float] = {}  # class -> run time seen by what was estimated
    peak: float = 0.0  # accelerated tasks there were at once
    accelerated: wire.Spec | None = None  # a job of that kind
    sick: list[str] = []
    mistaken: dict[str, int] = {}  # job -> how often it was tried since it was blamed
    booting: dict[str, tuple[str, str, bool, float]] = {}  # machine -> type, zone, spot, age
    refused: list[tuple[str, str, bool, float, float]] = []  # offer, rest and length of the pause


def gather(scheduler: Scheduler, provisioner: Provisioner, now: Instant) -> Hints:
    numbers: dict[ImageName, int] = {}
    images: list[tuple[str, float]] = []
    machines: dict[str, list[int]] = {}
    for machine in scheduler.machines.values():
        found = machines[machine.id] = []
        for image, gb in machine.images.items():
            if image not in numbers:
                numbers[image] = len(images)
                images.append((image, gb))
            found.append(numbers[image])
    return Hints(
        epoch=scheduler.epoch,
        images=images,
        machines=machines,
        runtime=dict(scheduler.runtime),
        peak=scheduler.reserve.peak,
        accelerated=scheduler.reserve.spec,
        sick=[str(m.id) for m in scheduler.machines.values() if m.sick],
        mistaken={str(job.id): job.holds for job in scheduler.jobs.values() if job.mistaken},
        booting={
            str(id): (str(e.offer.type), str(e.offer.zone), e.offer.spot, now - e.since)
            for id, e in provisioner.expected.items()
        },
        refused=[
            (str(offer.type), str(offer.zone), offer.spot, until - now, pause)
            for offer, (until, pause) in provisioner.refused.items()
            if until > now
        ],
    )


def recall(
    hints: Hints, age: float, scheduler: Scheduler, provisioner: Provisioner, now: Instant
) -> None:
    """To be called when blocks and jobs were read: what is known by now is not overwritten."""
    for name, numbers in hints.machines.items():
        machine = scheduler.machines.get(MachineId(name))
        if machine is None:
            continue
        seen = machine.images
        machine.images = {
            ImageName(hints.images[number][0]): hints.images[number][1]
            for number in numbers
            if 0 <= number < len(hints.images)
        }
        sku = scheduler.skus.get(machine.type)
        for image, gb in seen.items():
            machine.note_image(image, gb, sku.local_gb if sku is not None else 0.0)
    scheduler.runtime = {**hints.runtime, **scheduler.runtime}
    spec = hints.accelerated
    if spec is not None:
        scheduler.reserve.remember(
            spec, Amount(spec.cores, spec.accelerators, spec.mem_gb), hints.peak
        )
    for name in hints.sick:
        machine = scheduler.machines.get(MachineId(name))
        if machine is not None:
            machine.sick_since = now
            machine.touched()
    for name, holds in hints.mistaken.items():
        job = scheduler.jobs.get(JobId(name))
        if job is not None:
            scheduler.blame.remember(job, holds, now)
    for name, (type_, zone, spot, booting) in hints.booting.items():
        if MachineId(name) not in scheduler.machines:
            offer = Offer(TypeName(type_), ZoneName(zone), spot)
            since = Instant(now - booting - age)
            provisioner.expected.setdefault(MachineId(name), Expected(offer, since))
    for type_, zone, spot, rest, pause in hints.refused:
        offer = Offer(TypeName(type_), ZoneName(zone), spot)
        provisioner.refused.setdefault(offer, (Instant(now + rest - age), pause))


def parts(hints: Hints, machines: int, limit: int) -> list[Hints]:
    """What is worth storing, in parts with so many machines and bytes at most. The first has what
    is not about single machines."""
    rest = Hints(hints.epoch, [], {}, hints.runtime, round(hints.peak, 1), hints.accelerated)
    found = [rest] if wire.json_size(rest) <= limit else []
    names = sorted(hints.machines)
    chunks = [names[first : first + machines] for first in range(0, len(names), machines)]
    while chunks:
        chunk = chunks.pop(0)
        made = _part(hints, chunk)
        if wire.json_size(made) <= limit:
            found.append(made)
        elif len(chunk) > 1:
            half = len(chunk) // 2
            chunks[:0] = [chunk[:half], chunk[half:]]
    return found


def _part(hints: Hints, names: list[str]) -> Hints:
    """What is known of these machines."""
    used = sorted({number for name in names for number in hints.machines[name]})
    places = {number: place for place, number in enumerate(used)}
    return Hints(
        epoch=hints.epoch,
        images=[hints.images[number] for number in used],
        machines={name: [places[n] for n in hints.machines[name]] for name in names},
    )


def dumps(hints: Hints) -> bytes:
    made: Any = msgspec.to_builtins(hints)
    return bytes(cbor2.dumps(made))


def loads(body: bytes) -> Hints | None:
    """None if it cannot be read: another version may run there."""
    try:
        return msgspec.convert(cbor2.loads(body), Hints)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, TypeError):
        return None
