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
    ImageName,
    Instant,
    JobId,
    MachineId,
    MachineOffer,
    MachineTypeName,
    Resources,
    ZoneName,
)
from umberward.protocol import wire
from umberward.scheduling.autoscaler import Autoscaler, PendingMachine
from umberward.scheduling.scheduler import Scheduler

MAX_SNAPSHOT_AGE_S = 120.0  # hints that are older than this are not used: too much has changed


class FailoverSnapshot(
    msgspec.Struct,
    omit_defaults=True,
    rename={
        "fencing_token": "epoch",
        "machine_images": "machines",
        "runtime_ratio": "runtime",
        "headroom_peak": "peak",
        "accelerated_spec": "accelerated",
        "quarantined": "sick",
        "faulty_jobs": "mistaken",
        "no_capacity": "refused",
    },
):
    fencing_token: int
    images: list[tuple[str, float]]  # name, GB
    # machine -> its images by their place in the list, least recently used first
    machine_images: dict[str, list[int]]
    runtime_ratio: dict[str, float] = {}  # class -> run time seen by what was estimated
    headroom_peak: float = 0.0  # accelerated tasks there were at once
    accelerated_spec: wire.JobSpec | None = None  # a job of that kind
    quarantined: list[str] = []
    faulty_jobs: dict[str, int] = {}  # job -> how often it was tried since it was blamed
    booting: dict[str, tuple[str, str, bool, float]] = {}  # machine -> type, zone, spot, age
    no_capacity: list[
        tuple[str, str, bool, float, float]
    ] = []  # offer, rest and length of the pause


def take_snapshot(scheduler: Scheduler, provisioner: Autoscaler, now: Instant) -> FailoverSnapshot:
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
    return FailoverSnapshot(
        fencing_token=scheduler.fencing_token,
        images=images,
        machine_images=machines,
        runtime_ratio=dict(scheduler.runtime_ratios),
        headroom_peak=scheduler.headroom.peak,
        accelerated_spec=scheduler.headroom.spec,
        quarantined=[str(m.id) for m in scheduler.machines.values() if m.quarantined],
        faulty_jobs={str(job.id): job.retry_count for job in scheduler.jobs.values() if job.faulty},
        booting={
            str(id): (str(e.offer.type), str(e.offer.zone), e.offer.spot, now - e.since)
            for id, e in provisioner.pending.items()
        },
        no_capacity=[
            (str(offer.type), str(offer.zone), offer.spot, until - now, pause)
            for offer, (until, pause) in provisioner.no_capacity_until.items()
            if until > now
        ],
    )


def restore_snapshot(
    hints: FailoverSnapshot, age: float, scheduler: Scheduler, provisioner: Autoscaler, now: Instant
) -> None:
    """To be called when blocks and jobs were read: what is known by now is not overwritten."""
    for name, numbers in hints.machine_images.items():
        machine = scheduler.machines.get(MachineId(name))
        if machine is None:
            continue
        seen = machine.images
        machine.images = {
            ImageName(hints.images[number][0]): hints.images[number][1]
            for number in numbers
            if 0 <= number < len(hints.images)
        }
        sku = scheduler.machine_types.get(machine.type)
        for image, gb in seen.items():
            machine.cache_image(image, gb, sku.image_cache_gb if sku is not None else 0.0)
    scheduler.runtime_ratios = {**hints.runtime_ratio, **scheduler.runtime_ratios}
    spec = hints.accelerated_spec
    if spec is not None:
        scheduler.headroom.restore(
            spec, Resources(spec.cores, spec.accelerators, spec.mem_gb), hints.headroom_peak
        )
    for name in hints.quarantined:
        machine = scheduler.machines.get(MachineId(name))
        if machine is not None:
            machine.quarantined_since = now
            machine.availability_changed()
    for name, holds in hints.faulty_jobs.items():
        job = scheduler.jobs.get(JobId(name))
        if job is not None:
            scheduler.failure_attribution.restore_faulty_job(job, holds, now)
    for name, (type_, zone, spot, booting) in hints.booting.items():
        if MachineId(name) not in scheduler.machines:
            offer = MachineOffer(MachineTypeName(type_), ZoneName(zone), spot)
            since = Instant(now - booting - age)
            provisioner.pending.setdefault(MachineId(name), PendingMachine(offer, since))
    for type_, zone, spot, rest, pause in hints.no_capacity:
        offer = MachineOffer(MachineTypeName(type_), ZoneName(zone), spot)
        provisioner.no_capacity_until.setdefault(offer, (Instant(now + rest - age), pause))


def split_snapshot(hints: FailoverSnapshot, machines: int, limit: int) -> list[FailoverSnapshot]:
    """What is worth storing, in parts with so many machines and bytes at most. The first has what
    is not about single machines."""
    rest = FailoverSnapshot(
        hints.fencing_token,
        [],
        {},
        hints.runtime_ratio,
        round(hints.headroom_peak, 1),
        hints.accelerated_spec,
    )
    found = [rest] if wire.json_size(rest) <= limit else []
    names = sorted(hints.machine_images)
    chunks = [names[first : first + machines] for first in range(0, len(names), machines)]
    while chunks:
        chunk = chunks.pop(0)
        made = _snapshot_of_machines(hints, chunk)
        if wire.json_size(made) <= limit:
            found.append(made)
        elif len(chunk) > 1:
            half = len(chunk) // 2
            chunks[:0] = [chunk[:half], chunk[half:]]
    return found


def _snapshot_of_machines(hints: FailoverSnapshot, names: list[str]) -> FailoverSnapshot:
    """What is known of these machines."""
    used = sorted({number for name in names for number in hints.machine_images[name]})
    places = {number: place for place, number in enumerate(used)}
    return FailoverSnapshot(
        fencing_token=hints.fencing_token,
        images=[hints.images[number] for number in used],
        machine_images={name: [places[n] for n in hints.machine_images[name]] for name in names},
    )


def encode_snapshot(hints: FailoverSnapshot) -> bytes:
    made: Any = msgspec.to_builtins(hints)
    return bytes(cbor2.dumps(made))


def decode_snapshot(body: bytes) -> FailoverSnapshot | None:
    """None if it cannot be read: another version may run there."""
    try:
        return msgspec.convert(cbor2.loads(body), FailoverSnapshot)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, TypeError):
        return None
