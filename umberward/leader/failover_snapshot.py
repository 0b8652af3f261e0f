"""What a leader has learnt and no stored record holds, as it is handed to the next leader. No I/O.

Which machine has which image, how long tasks of a class run, how much accelerated work comes, which
machines are on their way, what fails: a new leader that had to learn all that anew would start
replicas where their image is missing and request machines that were requested already. A snapshot
serves better choices only: no rule rests on it, and it may be old or missing altogether.

The other controllers ask the leader for it every few seconds. For the case that all controllers end
at once, what changes slowly also stands in the state service. It is stored a part at a time, as
writes are scarce there.
"""

from __future__ import annotations

from typing import NamedTuple

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

MAX_SNAPSHOT_AGE_S = 120.0  # too much has changed since an older snapshot was taken


class ImageEntry(NamedTuple):
    """An image that some machine has cached."""

    name: str
    size_gb: float


class BootingMachine(NamedTuple):
    """A rented machine that has not sent a heartbeat yet."""

    machine_type: str
    zone: str
    spot: bool
    pending_s: float  # since it was rented


class CapacityPause(NamedTuple):
    """An offer that the cloud had no capacity for, and that is not requested for a while."""

    machine_type: str
    zone: str
    spot: bool
    remaining_s: float  # until it may be requested again
    pause_s: float  # the whole pause, from which the next one is computed


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
    """A leader's knowledge at one moment. Times are relative to that moment."""

    fencing_token: int
    images: list[ImageEntry]
    # Machine -> its images as indexes into `images`, least recently used first.
    machine_images: dict[str, list[int]]
    runtime_ratio: dict[str, float] = {}  # job class -> observed run time / expected run time
    headroom_peak: float = 0.0  # the most accelerated tasks at once
    accelerated_spec: wire.JobSpec | None = None  # an example of an accelerated job
    quarantined: list[str] = []  # machines
    faulty_jobs: dict[str, int] = {}  # job -> retries since its failures were attributed to it
    booting: dict[str, BootingMachine] = {}
    no_capacity: list[CapacityPause] = []


# ---- the leader's side -------------------------------------------------------------------


def take_snapshot(scheduler: Scheduler, autoscaler: Autoscaler, now: Instant) -> FailoverSnapshot:
    """Return what the leader knows at `now`, by its steady clock."""
    images, machine_images = _index_images(scheduler)
    return FailoverSnapshot(
        fencing_token=scheduler.fencing_token,
        images=images,
        machine_images=machine_images,
        runtime_ratio=dict(scheduler.runtime_ratios),
        headroom_peak=scheduler.headroom.peak,
        accelerated_spec=scheduler.headroom.latest_spec,
        quarantined=[
            str(machine.id) for machine in scheduler.machines.values() if machine.quarantined
        ],
        faulty_jobs={str(job.id): job.retry_count for job in scheduler.jobs.values() if job.faulty},
        booting={
            str(machine_id): BootingMachine(
                str(pending.offer.type),
                str(pending.offer.zone),
                pending.offer.spot,
                now - pending.since,
            )
            for machine_id, pending in autoscaler.pending.items()
        },
        no_capacity=[
            CapacityPause(str(offer.type), str(offer.zone), offer.spot, until - now, pause_s)
            for offer, (until, pause_s) in autoscaler.no_capacity_until.items()
            if until > now
        ],
    )


def _index_images(scheduler: Scheduler) -> tuple[list[ImageEntry], dict[str, list[int]]]:
    """All cached images, and for each machine the indexes of those that it has."""
    indexes: dict[ImageName, int] = {}
    images: list[ImageEntry] = []
    machine_images: dict[str, list[int]] = {}
    for machine in scheduler.machines.values():
        machine_indexes = machine_images[machine.id] = []
        for image, size_gb in machine.images.items():
            if image not in indexes:
                indexes[image] = len(images)
                images.append(ImageEntry(image, size_gb))
            machine_indexes.append(indexes[image])
    return images, machine_images


def split_snapshot(
    snapshot: FailoverSnapshot, max_machines: int, max_bytes: int
) -> list[FailoverSnapshot]:
    """Return what is worth storing, in parts.

    A part has at most `max_machines` machines and `max_bytes` bytes as JSON. The first has what is
    not about single machines. What is too large for a part of its own is left out.
    """
    general = FailoverSnapshot(
        snapshot.fencing_token,
        [],
        {},
        snapshot.runtime_ratio,
        round(snapshot.headroom_peak, 1),  # rounded, as each change costs a write
        snapshot.accelerated_spec,
    )
    parts = [general] if wire.json_size(general) <= max_bytes else []
    names = sorted(snapshot.machine_images)
    chunks = [names[first : first + max_machines] for first in range(0, len(names), max_machines)]
    while chunks:
        chunk = chunks.pop(0)
        part = _snapshot_of_machines(snapshot, chunk)
        if wire.json_size(part) <= max_bytes:
            parts.append(part)
        elif len(chunk) > 1:
            half = len(chunk) // 2
            chunks[:0] = [chunk[:half], chunk[half:]]
    return parts


def _snapshot_of_machines(snapshot: FailoverSnapshot, names: list[str]) -> FailoverSnapshot:
    """The images of these machines only."""
    used = sorted({index for name in names for index in snapshot.machine_images[name]})
    new_indexes = {index: position for position, index in enumerate(used)}
    return FailoverSnapshot(
        fencing_token=snapshot.fencing_token,
        images=[snapshot.images[index] for index in used],
        machine_images={
            name: [new_indexes[index] for index in snapshot.machine_images[name]] for name in names
        },
    )


# ---- the next leader's side --------------------------------------------------------------


def restore_snapshot(
    snapshot: FailoverSnapshot,
    age_s: float,
    scheduler: Scheduler,
    autoscaler: Autoscaler,
    now: Instant,
) -> None:
    """Add what the snapshot knows; what this leader has learnt already takes precedence.

    To be called when blocks and jobs are loaded, with the seconds since the snapshot was taken.
    """
    _restore_images(snapshot, scheduler)
    scheduler.runtime_ratios = {**snapshot.runtime_ratio, **scheduler.runtime_ratios}
    spec = snapshot.accelerated_spec
    if spec is not None:
        scheduler.headroom.restore(
            spec, Resources(spec.cores, spec.accelerators, spec.mem_gb), snapshot.headroom_peak
        )
    _restore_failures(snapshot, scheduler, now)
    _restore_pending_machines(snapshot, age_s, scheduler, autoscaler, now)
    for pause in snapshot.no_capacity:
        offer = _offer(pause)
        until = Instant(now + pause.remaining_s - age_s)
        autoscaler.no_capacity_until.setdefault(offer, (until, pause.pause_s))


def _restore_images(snapshot: FailoverSnapshot, scheduler: Scheduler) -> None:
    for name, indexes in snapshot.machine_images.items():
        machine = scheduler.machines.get(MachineId(name))
        if machine is None:
            continue
        learnt = machine.images
        machine.images = {
            ImageName(snapshot.images[index].name): snapshot.images[index].size_gb
            for index in indexes
            if 0 <= index < len(snapshot.images)
        }
        # Cached anew, so that these are the most recently used ones.
        machine_type = scheduler.machine_types.get(machine.machine_type)
        cache_gb = machine_type.image_cache_gb if machine_type is not None else 0.0
        for image, size_gb in learnt.items():
            machine.cache_image(image, size_gb, cache_gb)


def _restore_failures(snapshot: FailoverSnapshot, scheduler: Scheduler, now: Instant) -> None:
    for name in snapshot.quarantined:
        machine = scheduler.machines.get(MachineId(name))
        if machine is not None:
            machine.quarantined_since = now
            machine.availability_changed()
    for name, retry_count in snapshot.faulty_jobs.items():
        job = scheduler.jobs.get(JobId(name))
        if job is not None:
            scheduler.failure_attribution.restore_faulty_job(job, retry_count, now)


def _restore_pending_machines(
    snapshot: FailoverSnapshot,
    age_s: float,
    scheduler: Scheduler,
    autoscaler: Autoscaler,
    now: Instant,
) -> None:
    for name, booting in snapshot.booting.items():
        machine_id = MachineId(name)
        if machine_id not in scheduler.machines:
            rented_at = Instant(now - booting.pending_s - age_s)
            pending = PendingMachine(_offer(booting), rented_at)
            autoscaler.pending.setdefault(machine_id, pending)


def _offer(entry: BootingMachine | CapacityPause) -> MachineOffer:
    return MachineOffer(MachineTypeName(entry.machine_type), ZoneName(entry.zone), entry.spot)


# ---- between controllers -----------------------------------------------------------------


def encode_snapshot(snapshot: FailoverSnapshot) -> bytes:
    """Return the snapshot as one controller sends it to another: in CBOR."""
    return bytes(cbor2.dumps(msgspec.to_builtins(snapshot)))


def decode_snapshot(body: bytes) -> FailoverSnapshot | None:
    """Return the snapshot; None if it cannot be read, as the peer may run another version."""
    try:
        return msgspec.convert(cbor2.loads(body), FailoverSnapshot)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, TypeError):
        return None
