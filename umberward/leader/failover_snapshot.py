"""Snapshots of a leader's in-memory knowledge, which the next leader restores. No I/O.

A snapshot holds what no stored record does: cached images, observed run times, demand for
accelerators, booting machines and failures. Without it a new leader would start tasks on
machines without their image and request machines that were already requested. It only improves
decisions: no safety rule depends on it, and it may be outdated or missing.

The other controllers fetch it from the leader every few seconds. In case all controllers fail at
once, its slowly changing content is also stored in the state service, one part at a time because
the write rate there is limited.
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
    ZoneName,
)
from umberward.protocol import wire
from umberward.protocol.message_sizes import task_need
from umberward.scheduling.autoscaler import Autoscaler, RequestedMachine
from umberward.scheduling.machines import Quarantine
from umberward.scheduling.quarantine import FIRST_TRIAL_PAUSE_S
from umberward.scheduling.scheduler import Scheduler

MAX_SNAPSHOT_AGE_S = 120.0  # too much has changed since an older snapshot


class ImageEntry(NamedTuple):
    """An image cached by at least one machine."""

    name: str
    size_gb: float


class BootingMachine(NamedTuple):
    """A rented machine that has not yet sent a heartbeat."""

    machine_type: str
    zone: str
    spot: bool
    pending_s: float  # time since it was rented


class OfferBackoff(NamedTuple):
    """The back-off of an offer for which the cloud had no capacity."""

    machine_type: str
    zone: str
    spot: bool
    remaining_s: float  # time until the offer may be requested again
    backoff_s: float  # the whole back-off, from which the next one is computed


class QuarantineEntry(NamedTuple):
    """The quarantine of a machine."""

    # Time until it may be given a trial, and one of a job with open failures; negative: it may be.
    trial_in_s: float
    repeated_trial_in_s: float
    failed_trials: int
    evidence_withdrawn: bool


class FailoverSnapshot(
    msgspec.Struct,
    omit_defaults=True,
    rename={
        "fencing_token": "epoch",
        "machine_images": "machines",
        "runtime_ratio": "runtime",
        "headroom_peak": "peak",
        "latest_accelerated_spec": "accelerated",
        "quarantined": "sick",
        "quarantines": "quarantine",
        "failed_jobs": "failed",
        "faulty_job_retries": "mistaken",
        "no_capacity": "refused",
    },
):
    """A leader's knowledge at one moment, to which all times are relative."""

    fencing_token: int
    images: list[ImageEntry]
    # Machine -> indexes into `images`, least recently used first.
    machine_images: dict[str, list[int]]
    runtime_ratio: dict[str, float] = {}  # job class -> observed run time / expected run time
    # Decaying peak of the demand for accelerated tasks, and the latest job with such tasks. They
    # determine the number and the size of the machines kept free for such work.
    headroom_peak: float = 0.0
    latest_accelerated_spec: wire.JobSpec | None = None
    # Machine ids. Versions that do not know `quarantines` read only these.
    quarantined: list[str] = []
    # Job id -> retries since its failures were attributed to it.
    faulty_job_retries: dict[str, int] = {}
    booting: dict[str, BootingMachine] = {}
    no_capacity: list[OfferBackoff] = []
    quarantines: dict[str, QuarantineEntry] = {}  # by machine id
    failed_jobs: list[str] = []  # ids of jobs with failures that may be their own fault


# Of a machine that an older version has quarantined.
DEFAULT_QUARANTINE = QuarantineEntry(
    FIRST_TRIAL_PAUSE_S, FIRST_TRIAL_PAUSE_S, failed_trials=0, evidence_withdrawn=False
)


# ---- taking snapshots --------------------------------------------------------------------


def take_snapshot(scheduler: Scheduler, autoscaler: Autoscaler, now: Instant) -> FailoverSnapshot:
    """Return the leader's knowledge at `now`, a reading of its monotonic clock."""
    images, machine_images = _index_images(scheduler)
    return FailoverSnapshot(
        fencing_token=scheduler.tokens.initial,
        images=images,
        machine_images=machine_images,
        runtime_ratio=dict(scheduler.runtime_ratios),
        headroom_peak=scheduler.headroom.peak,
        latest_accelerated_spec=scheduler.headroom.latest_accelerated_spec,
        quarantined=[
            str(machine.id) for machine in scheduler.machines.values() if machine.quarantined
        ],
        quarantines={
            str(machine.id): QuarantineEntry(
                round(machine.quarantine.next_trial_at - now, 1),
                round(machine.quarantine.next_repeated_trial_at - now, 1),
                machine.quarantine.failed_trials,
                machine.quarantine.evidence_withdrawn,
            )
            for machine in scheduler.machines.values()
            if machine.quarantine is not None
        },
        failed_jobs=[str(job.id) for job in scheduler.jobs.values() if job.has_open_failures],
        faulty_job_retries={
            str(job.id): job.retry_count for job in scheduler.jobs.values() if job.faulty
        },
        booting={
            str(machine_id): BootingMachine(
                str(pending.offer.type),
                str(pending.offer.zone),
                pending.offer.spot,
                now - pending.requested_at,
            )
            for machine_id, pending in autoscaler.pending_machines.items()
        },
        no_capacity=[
            OfferBackoff(str(offer.type), str(offer.zone), offer.spot, until - now, backoff_s)
            for offer, (until, backoff_s) in autoscaler.offer_pauses.items()
            if until > now
        ],
    )


def _index_images(scheduler: Scheduler) -> tuple[list[ImageEntry], dict[str, list[int]]]:
    """Return all cached images, and for each machine the indexes of its images."""
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
    """Return the slowly changing content in parts: images, run time ratios, accelerator demand.

    A part has at most `max_machines` machines and `max_bytes` bytes as JSON. The first part holds
    what is not specific to a machine. A machine or first part that exceeds `max_bytes` is omitted.
    """
    general = FailoverSnapshot(
        snapshot.fencing_token,
        [],
        {},
        snapshot.runtime_ratio,
        round(snapshot.headroom_peak, 1),  # rounded because every change costs a write
        snapshot.latest_accelerated_spec,
    )
    parts = [general] if wire.json_size(general) <= max_bytes else []
    machine_ids = sorted(snapshot.machine_images)
    chunks = [
        machine_ids[first : first + max_machines]
        for first in range(0, len(machine_ids), max_machines)
    ]
    while chunks:
        chunk = chunks.pop(0)
        part = _snapshot_of_machines(snapshot, chunk)
        if wire.json_size(part) <= max_bytes:
            parts.append(part)
        elif len(chunk) > 1:
            half = len(chunk) // 2
            chunks[:0] = [chunk[:half], chunk[half:]]
    return parts


def _snapshot_of_machines(snapshot: FailoverSnapshot, machine_ids: list[str]) -> FailoverSnapshot:
    """Return a snapshot of the images of these machines only."""
    used = sorted({index for name in machine_ids for index in snapshot.machine_images[name]})
    new_indexes = {index: position for position, index in enumerate(used)}
    return FailoverSnapshot(
        fencing_token=snapshot.fencing_token,
        images=[snapshot.images[index] for index in used],
        machine_images={
            name: [new_indexes[index] for index in snapshot.machine_images[name]]
            for name in machine_ids
        },
    )


# ---- restoring snapshots -----------------------------------------------------------------


def restore_snapshot(
    snapshot: FailoverSnapshot,
    age_s: float,
    scheduler: Scheduler,
    autoscaler: Autoscaler,
    now: Instant,
) -> None:
    """Merge the snapshot into this leader's knowledge, which takes precedence.

    Must be called after blocks and jobs are loaded. `age_s`: seconds since the snapshot was taken.
    """
    _restore_images(snapshot, scheduler)
    scheduler.runtime_ratios = {**snapshot.runtime_ratio, **scheduler.runtime_ratios}
    spec = snapshot.latest_accelerated_spec
    if spec is not None:
        scheduler.headroom.restore(spec, task_need(spec), snapshot.headroom_peak)
    _restore_failures(snapshot, age_s, scheduler, now)
    _restore_pending_machines(snapshot, age_s, scheduler, autoscaler, now)
    for backoff in snapshot.no_capacity:
        offer = _offer(backoff)
        until = Instant(now + backoff.remaining_s - age_s)
        autoscaler.offer_pauses.setdefault(offer, (until, backoff.backoff_s))


def _restore_images(snapshot: FailoverSnapshot, scheduler: Scheduler) -> None:
    for name, indexes in snapshot.machine_images.items():
        machine = scheduler.machines.get(MachineId(name))
        if machine is None:
            continue
        reported_images = machine.images
        machine.images = {
            ImageName(snapshot.images[index].name): snapshot.images[index].size_gb
            for index in indexes
            if 0 <= index < len(snapshot.images)
        }
        # Re-add the images reported to this leader, as the most recently used ones.
        machine_type = scheduler.machine_types.get(machine.machine_type)
        cache_gb = machine_type.image_cache_gb if machine_type is not None else 0.0
        for image, size_gb in reported_images.items():
            machine.cache_image(image, size_gb, cache_gb)


def _restore_failures(
    snapshot: FailoverSnapshot, age_s: float, scheduler: Scheduler, now: Instant
) -> None:
    for name in snapshot.quarantined:
        machine = scheduler.machines.get(MachineId(name))
        if machine is not None:
            entry = snapshot.quarantines.get(name, DEFAULT_QUARANTINE)
            quarantine = Quarantine(
                since=now,
                next_trial_at=Instant(now + entry.trial_in_s - age_s),
                next_repeated_trial_at=Instant(now + entry.repeated_trial_in_s - age_s),
                failed_trials=entry.failed_trials,
                evidence_withdrawn=entry.evidence_withdrawn,
                restored=True,
            )
            scheduler.quarantines.restore(machine, quarantine)
    for name in snapshot.failed_jobs:
        failed_job = scheduler.jobs.get(JobId(name))
        if failed_job is not None:
            failed_job.failed_under_previous_leader = True
    for name, retry_count in snapshot.faulty_job_retries.items():
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
            pending = RequestedMachine(_offer(booting), rented_at)
            autoscaler.pending_machines.setdefault(machine_id, pending)


def _offer(entry: BootingMachine | OfferBackoff) -> MachineOffer:
    return MachineOffer(MachineTypeName(entry.machine_type), ZoneName(entry.zone), entry.spot)


# ---- exchange between controllers --------------------------------------------------------


def encode_snapshot(snapshot: FailoverSnapshot) -> bytes:
    """Encode the snapshot as CBOR, for another controller."""
    return bytes(cbor2.dumps(msgspec.to_builtins(snapshot)))


def decode_snapshot(body: bytes) -> FailoverSnapshot | None:
    """Decode the snapshot; None if it is malformed, as the peer may run another version."""
    try:
        return msgspec.convert(cbor2.loads(body), FailoverSnapshot)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, TypeError):
        return None
