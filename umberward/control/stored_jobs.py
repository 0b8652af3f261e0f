"""Keys of the two records of a job in the state service, and what is derived from them.

A job has a live record until it ends and a final record afterwards. One transaction replaces the
first by the second, so at any revision a job has at most one of them.
"""

from __future__ import annotations

from umberward.core.types import JobId, Key
from umberward.protocol.wire import FINAL_JOBS_PREFIX, LIVE_JOBS_PREFIX, JobRecord


def live_key(job_id: JobId) -> Key:
    """Key of the record of a job that has not ended."""
    return Key(LIVE_JOBS_PREFIX + job_id)


def final_key(job_id: JobId) -> Key:
    """Key of the record of a job that has ended."""
    return Key(FINAL_JOBS_PREFIX + job_id)


def done_task_count(record: JobRecord) -> int:
    """How many tasks are done. Raises ValueError for a malformed bitmap."""
    return record.done_below + int(record.done_bitmap, 16).bit_count()
