"""Sharing of the room in a machine's heartbeats between small and larger tasks. No I/O.

A heartbeat lists a few hundred tasks (`umberward.protocol.message_sizes`). Small tasks could take
all of that while cores and memory are free, and work of other teams would wait beside free
resources. So small tasks leave room for as many larger ones as a machine can run. A job of small
tasks that runs nothing yet may place a few of them in that room, so that it begins.
"""

from __future__ import annotations

from umberward.core.types import Resources
from umberward.protocol.message_sizes import MAX_TASK_STATUS_BYTES

# A task is small on a machine that has resources for so many of them.
SMALL_TASKS_PER_MACHINE = 100
RESERVED_FOR_LARGER_TASKS = Resources(
    0.0, 0.0, 0.0, SMALL_TASKS_PER_MACHINE * MAX_TASK_STATUS_BYTES
)
# Tasks that a job of small tasks may place in the reserved room.
FIRST_TASKS = 8


def is_small(need: Resources, capacity: Resources) -> bool:
    """Whether tasks of this size use up a machine's heartbeats before its resources."""
    return (
        need.cores * SMALL_TASKS_PER_MACHINE <= capacity.cores
        and need.accelerators * SMALL_TASKS_PER_MACHINE <= capacity.accelerators
        and need.mem_gb * SMALL_TASKS_PER_MACHINE <= capacity.mem_gb
    )


def room_for_tasks(need: Resources, room: Resources, capacity: Resources) -> Resources:
    """Return the part of `room` that tasks of this size may use on such a machine."""
    if not is_small(need, capacity):
        return room
    return room.minus(RESERVED_FOR_LARGER_TASKS)
