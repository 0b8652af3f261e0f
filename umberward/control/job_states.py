"""The states of jobs as controllers tell them to users, decoded from the stored records."""

from __future__ import annotations

from typing import NamedTuple

from umberward.control.stored_jobs import done_task_count
from umberward.core.log import logger
from umberward.core.types import JobId
from umberward.protocol import wire
from umberward.protocol.wire import CANCELLED, FinalJobRecord, JobRecord

log = logger("umberward.control.job_state_cache")  # which logged these events before


class LiveJobState(NamedTuple):
    """The state of a live job, as far as it is shown to users."""

    placed_below: int  # tasks with lower numbers may have been placed
    done_count: int
    service: bool
    has_dependencies: bool  # the stored record names dependencies


JobState = LiveJobState | FinalJobRecord


class DecodedLiveJob(NamedTuple):
    """A live job's state and the jobs that it waits for; None if its record is malformed."""

    state: LiveJobState
    dependencies: list[JobId] | None


def decode_live(key: str, data: object) -> DecodedLiveJob:
    """Decode a live job's record; a malformed one gives a job that nothing is known of."""
    try:
        record = wire.convert(data, JobRecord)
        done_count = done_task_count(record)
        packed = record.dependencies
        dependencies = wire.unpack_dependencies(packed) if packed else []
    except (wire.MalformedMessageError, ValueError) as error:
        # The job was accepted nevertheless, so polls must find it.
        _log_malformed_record(key, error)
        state = LiveJobState(0, 0, service=False, has_dependencies=False)
        return DecodedLiveJob(state, None)
    is_service = record.spec.kind == wire.SERVICE
    state = LiveJobState(record.placed_below, done_count, is_service, bool(dependencies))
    return DecodedLiveJob(state, dependencies)


def decode_final(data: object, key: str) -> FinalJobRecord | None:
    """The final record, or just its phase if it is malformed; None if that is invalid too."""
    try:
        return wire.convert(data, FinalJobRecord)
    except wire.MalformedMessageError as error:
        _log_malformed_record(key, error)
    phase = data.get("phase") if isinstance(data, dict) else None
    return FinalJobRecord(phase) if phase in (wire.DONE, CANCELLED) else None


def _log_malformed_record(key: str, error: Exception) -> None:
    """Log a malformed record without a traceback: the fault is in the record."""
    log.error("record_malformed", key=key, error=error)
