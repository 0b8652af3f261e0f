"""Completed tasks of a job as they are stored: a bound and a bitmap beyond it. No I/O."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class StoredProgressRecord(Protocol):
    """What the stored records of all kinds of jobs have in common, see `wire.JobRecord`."""

    placed_below: int
    done_below: int
    done_bitmap: str


class CompletedTasks(NamedTuple):
    """Completed tasks: all below `done_below`, and from there on a bitmap, lowest bit first."""

    done_below: int
    done_bitmap: int

    def includes(self, index: int) -> bool:
        """Whether the task with this number is completed."""
        return index < self.done_below or bool(self.done_bitmap >> (index - self.done_below) & 1)

    @classmethod
    def of_record(cls, record: StoredProgressRecord) -> CompletedTasks:
        """The completed tasks of a stored record, whose bitmap is in hexadecimal digits."""
        return cls(record.done_below, int(record.done_bitmap, 16))
