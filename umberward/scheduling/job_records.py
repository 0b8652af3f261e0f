"""Takes what is read from the state service's job records into the scheduler. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from umberward.core.log import logger
from umberward.core.types import Instant, JobId, Version
from umberward.protocol import wire
from umberward.protocol.transactions import VersionedValue
from umberward.protocol.wire import FINAL_JOBS_PREFIX, LIVE_JOBS_PREFIX, FinalJobRecord, JobRecord
from umberward.scheduling.scheduler import Scheduler

log = logger(__name__)


def apply_changes(scheduler: Scheduler, changes: Sequence[wire.KeyChange]) -> None:
    """News of a watch. Ends come first: whether a job is done or cancelled decides what those
    after it do, and its live record goes in the same transaction."""
    apply_final_records(scheduler, changes)
    for change in changes:
        if change.deleted_key is not None and change.deleted_key.startswith(LIVE_JOBS_PREFIX):
            scheduler.remove_job(JobId(change.deleted_key[len(LIVE_JOBS_PREFIX) :]))
        elif change.put_key is not None and change.put_key.startswith(LIVE_JOBS_PREFIX):
            apply_job_record(scheduler, change.put_key, change.data, change.version)


def apply_final_records(scheduler: Scheduler, changes: Sequence[wire.KeyChange]) -> None:
    for change in changes:
        if change.put_key is not None and change.put_key.startswith(FINAL_JOBS_PREFIX):
            apply_final_record(
                scheduler,
                JobId(change.put_key[len(FINAL_JOBS_PREFIX) :]),
                change.data,
                scheduler.wall(),
            )


def apply_job_record(scheduler: Scheduler, path: str, data: Any, stamp: int) -> None:
    try:
        scheduler.put_job(wire.convert(data, JobRecord), Version(stamp))
    except wire.MalformedMessageError as error:
        log.error("record_malformed", key=path, error=error)


def apply_unknown_job(scheduler: Scheduler, id: JobId, found: VersionedValue, now: Instant) -> None:
    """A live job that was in nobody's memory."""
    try:
        scheduler.adopt_unknown_job(wire.convert(found.data, JobRecord), found.version, now)
    except (wire.MalformedMessageError, ValueError) as error:
        # Nothing can be started of it; its user is told that it waits, and may cancel it.
        log.error("record_malformed", job=id, error=error)


def apply_final_record(scheduler: Scheduler, id: JobId, data: Any, otherwise: float = 0.0) -> None:
    """`otherwise`: when the job ended if its record does not say so, as none waited for it when
    it was written; 0: before those that wait for it were submitted."""
    try:
        final = wire.convert(data, FinalJobRecord)
        if final.remaining is not None:
            scheduler.count_remaining(id, final.remaining)
    except (wire.MalformedMessageError, ValueError) as error:
        log.error("record_malformed", job=id, error=error)
        return
    scheduler.apply_job_end(id, final, final.ended_at or otherwise)
