"""Apply job records read from the state service to the scheduler. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from umberward.core.log import logger
from umberward.core.types import Instant, JobId, Version
from umberward.protocol import wire
from umberward.protocol.transactions import VersionedValue
from umberward.protocol.wire import FINAL_JOBS_PREFIX, LIVE_JOBS_PREFIX, FinalJobRecord, JobRecord
from umberward.scheduling.scheduler import Scheduler

log = logger(__name__)

# An end time earlier than any submission, so that it does not postpone when dependents become
# ready. Wall-clock time.
ENDED_BEFORE_DEPENDENTS = 0.0


def apply_changes(scheduler: Scheduler, changes: Sequence[wire.KeyChange]) -> None:
    """Apply the changes that a watch has returned.

    Final records are applied first: a job's live record is deleted in the same transaction, and
    whether the job was done or cancelled decides whether its dependents run.
    """
    apply_final_records(scheduler, changes)
    for change in changes:
        if change.deleted_key is not None and change.deleted_key.startswith(LIVE_JOBS_PREFIX):
            scheduler.remove_job(JobId(change.deleted_key[len(LIVE_JOBS_PREFIX) :]))
        elif change.put_key is not None and change.put_key.startswith(LIVE_JOBS_PREFIX):
            apply_job_record(scheduler, change.put_key, change.data, change.version)


def apply_final_records(scheduler: Scheduler, changes: Sequence[wire.KeyChange]) -> None:
    """Apply only the final records among the changes that a watch has returned."""
    for change in changes:
        if change.put_key is not None and change.put_key.startswith(FINAL_JOBS_PREFIX):
            job_id = JobId(change.put_key[len(FINAL_JOBS_PREFIX) :])
            apply_final_record(scheduler, job_id, change.data, scheduler.wall_clock())


def apply_job_record(scheduler: Scheduler, key: str, data: object, version: int) -> None:
    """Apply the live record that the state service has under `key`.

    A record that cannot be decoded is logged and otherwise ignored.
    """
    try:
        scheduler.add_job(wire.convert(data, JobRecord), Version(version))
    except wire.MalformedMessageError as error:
        log.error("record_malformed", key=key, error=error)  # noqa: TRY400 - no traceback


def apply_missing_job(
    scheduler: Scheduler, job_id: JobId, found: VersionedValue, now: Instant
) -> None:
    """Apply the live record of a job that is missing from the leader's state.

    `now` is the leader's monotonic time. No task of a job with a malformed record can start; its
    user sees the job as pending and can cancel it.
    """
    try:
        scheduler.adopt_missing_job(wire.convert(found.data, JobRecord), found.version, now)
    except (wire.MalformedMessageError, ValueError) as error:
        log.error("record_malformed", job=job_id, error=error)  # noqa: TRY400 - no traceback


def apply_final_record(
    scheduler: Scheduler,
    job_id: JobId,
    data: object,
    default_ended_at: float = ENDED_BEFORE_DEPENDENTS,
) -> None:
    """Apply the record of how a job has ended.

    `default_ended_at` is the wall-clock time of the end if the record has none. A record has none
    if no job depended on this one when it was written.
    """
    try:
        final = wire.convert(data, FinalJobRecord)
        if final.remaining is not None:
            scheduler.add_cancelled_job(job_id, final.remaining)
    except (wire.MalformedMessageError, ValueError) as error:
        log.error("record_malformed", job=job_id, error=error)  # noqa: TRY400 - no traceback
        return
    scheduler.apply_job_end(job_id, final, final.ended_at or default_ended_at)
