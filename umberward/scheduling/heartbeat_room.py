"""Sharing of the room in a machine's heartbeats between small and larger tasks. No I/O.

A heartbeat lists a few hundred tasks (`umberward.protocol.message_sizes`). Small tasks could take
all of that while cores and memory are free, and work of other teams would wait beside free
resources. So small tasks leave room for as many larger ones as a machine can run. A job of small
tasks that runs nothing yet may use a part of that room, so that it begins: a gang or service as
much as it needs of the part, an array only a few tasks.
"""

from __future__ import annotations

from umberward.core.types import Resources
from umberward.protocol.message_sizes import MAX_TASK_STATUS_BYTES

# A task is small on a machine that has resources for so many of them.
SMALL_TASKS_PER_MACHINE = 100
# What small tasks leave of a machine's heartbeats to larger ones.
RESERVED_BYTES = SMALL_TASKS_PER_MACHINE * MAX_TASK_STATUS_BYTES
# The part of what is left of it that a job may use which runs nothing yet.
FIRST_TASKS_FRACTION = 0.5
FIRST_TASKS_OF_ARRAY = 8


def is_small(need: Resources, capacity: Resources) -> bool:
    """Whether tasks of this size use up a machine's heartbeats before its resources."""
    return (
        need.cores * SMALL_TASKS_PER_MACHINE <= capacity.cores
        and need.accelerators * SMALL_TASKS_PER_MACHINE <= capacity.accelerators
        and need.mem_gb * SMALL_TASKS_PER_MACHINE <= capacity.mem_gb
    )


def room_for_small_tasks(room: Resources, reserved_fraction: float = 0.0) -> Resources:
    """Return the part of a machine's free room that small tasks may use.

    `reserved_fraction`: the part that they may use of what is left of the reserved room.
    """
    reserved_bytes = max(0, min(room.heartbeat_bytes, RESERVED_BYTES))
    usable_bytes = int(reserved_bytes * reserved_fraction)
    return room._replace(heartbeat_bytes=room.heartbeat_bytes - reserved_bytes + usable_bytes)


def room_for_tasks(need: Resources, room: Resources, capacity: Resources) -> Resources:
    """Return the part of `room` that tasks of this size may use on such a machine."""
    return room_for_small_tasks(room) if is_small(need, capacity) else room
