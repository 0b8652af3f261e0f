"""Keys of a job's live and final records in the state service, and its count of done tasks.

A job has a live record until it ends and a final record afterwards. A single transaction replaces
one by the other, so at any revision a job has at most one of them.
"""

from __future__ import annotations

from umberward.core.types import JobId, Key
from umberward.protocol.wire import FINAL_JOBS_PREFIX, LIVE_JOBS_PREFIX, JobRecord


def live_key(job_id: JobId) -> Key:
    """The key of a job's live record."""
    return Key(LIVE_JOBS_PREFIX + job_id)


def final_key(job_id: JobId) -> Key:
    """The key of a job's final record."""
    return Key(FINAL_JOBS_PREFIX + job_id)


def done_task_count(record: JobRecord) -> int:
    """The number of done tasks. Raises ValueError for a malformed bitmap."""
    return record.done_below + int(record.done_bitmap, 16).bit_count()
