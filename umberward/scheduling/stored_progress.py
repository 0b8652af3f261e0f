"""Stored form of a job's completed tasks: a lower bound and a bitmap above it. No I/O."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class StoredProgressRecord(Protocol):
    """Fields that the stored records of all kinds of jobs share, see `wire.JobRecord`."""

    placed_below: int
    done_below: int
    done_bitmap: str


class CompletedTasks(NamedTuple):
    """All tasks below `done_below`, and from there on those of a bitmap, lowest bit first."""

    done_below: int
    done_bitmap: int

    def includes(self, index: int) -> bool:
        """Return whether the task with this number is completed."""
        return index < self.done_below or bool(self.done_bitmap >> (index - self.done_below) & 1)

    @classmethod
    def from_record(cls, record: StoredProgressRecord) -> CompletedTasks:
        """Decode the completed tasks of a stored record; its bitmap is hexadecimal."""
        return cls(record.done_below, int(record.done_bitmap, 16))
