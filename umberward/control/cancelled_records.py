"""The final record of a job that its user cancels, with what its tasks may still use."""

from __future__ import annotations

from umberward.control.stored_jobs import done_task_count
from umberward.core.log import logger
from umberward.core.types import JobId, TeamName
from umberward.protocol import wire
from umberward.protocol.wire import CANCELLED, FinalJobRecord, JobRecord, RemainingTasks
from umberward.scheduling.quota import Quota

log = logger(__name__)

NO_COMPLETIONS = "0"  # an empty bitmap


def cancelled_record(
    job_id: JobId, stored: object, quota: Quota, max_value_bytes: int
) -> FinalJobRecord:
    """The final record that cancels a job with the live record `stored`.

    It fits `max_value_bytes`, even if the live record was stored under a higher limit.
    """
    try:
        record = wire.convert(stored, JobRecord)
        done_count = done_task_count(record)
    except (wire.MalformedMessageError, ValueError) as error:
        log.error("record_malformed", job=job_id, error=error)  # noqa: TRY400 - a fault of the record, not of the code
        return FinalJobRecord(CANCELLED)
    remaining = _remaining_tasks(record, done_count, quota)
    final = FinalJobRecord(CANCELLED, done_count, remaining=remaining)
    if remaining is not None and wire.json_size(final) > max_value_bytes:
        # Without the bitmap, tasks that are done count against the team's limit as well until it is
        # known what each machine runs.
        remaining.done_bitmap = NO_COMPLETIONS
    return final


def _remaining_tasks(record: JobRecord, done_count: int, quota: Quota) -> RemainingTasks | None:
    """The tasks that may still be running and count towards their team's limit.

    They are stored for a leader that has never read the live record. None if there are none or
    the team has no limit.
    """
    spec = record.spec
    if record.placed_below <= done_count or not quota.has_limit(TeamName(spec.team)):
        return None
    return RemainingTasks(
        spec.team,
        spec.cores,
        spec.mem_gb,
        record.placed_below,
        spec.accelerators,
        record.done_below,
        record.done_bitmap,
    )
