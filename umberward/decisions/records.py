"""Takes what is read from the state service's job records into the scheduler. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from umberward.core.log import logger
from umberward.core.types import Instant, JobId, Stamp
from umberward.decisions.scheduler import Scheduler
from umberward.protocol import wire
from umberward.protocol.changes import Got
from umberward.protocol.wire import LIVE, PAST, FinalRecord, JobRecord

log = logger(__name__)


def take_changes(scheduler: Scheduler, changes: Sequence[wire.Change]) -> None:
    """News of a watch. Ends come first: whether a job is done or cancelled decides what those
    after it do, and its live record goes in the same transaction."""
    take_ends(scheduler, changes)
    for change in changes:
        if change.delete is not None and change.delete.startswith(LIVE):
            scheduler.job_gone(JobId(change.delete[len(LIVE) :]))
        elif change.write is not None and change.write.startswith(LIVE):
            take_job(scheduler, change.write, change.data, change.stamp)


def take_ends(scheduler: Scheduler, changes: Sequence[wire.Change]) -> None:
    for change in changes:
        if change.write is not None and change.write.startswith(PAST):
            take_end(scheduler, JobId(change.write[len(PAST) :]), change.data, scheduler.wall())


def take_job(scheduler: Scheduler, path: str, data: Any, stamp: int) -> None:
    try:
        scheduler.job_put(wire.converted(data, JobRecord), Stamp(stamp))
    except wire.Malformed as error:
        log.error("record_malformed", key=path, error=error)


def take_missed(scheduler: Scheduler, id: JobId, found: Got, now: Instant) -> None:
    """A live job that was in nobody's memory."""
    try:
        scheduler.take_up(wire.converted(found.data, JobRecord), found.stamp, now)
    except (wire.Malformed, ValueError) as error:
        # Nothing can be started of it; its user is told that it waits, and may cancel it.
        log.error("record_malformed", job=id, error=error)


def take_end(scheduler: Scheduler, id: JobId, data: Any, otherwise: float = 0.0) -> None:
    """`otherwise`: when the job ended if its record does not say so, as none waited for it when
    it was written; 0: before those that wait for it were submitted."""
    try:
        final = wire.converted(data, FinalRecord)
        if final.remains is not None:
            scheduler.remain(id, final.remains)
    except (wire.Malformed, ValueError) as error:
        log.error("record_malformed", job=id, error=error)
        return
    scheduler.job_ended(id, final, final.at or otherwise)
