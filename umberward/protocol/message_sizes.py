"""Sizes of messages to and from workers, in their JSON form, which the limits in PROTOCOL count.

A worker drops a response above the limit and refuses a direct command above it, and a controller
refuses such a heartbeat. Then the worker's lease expires, and all its tasks end. A heartbeat grows
with the tasks of its machine, so the tasks of a machine are bounded by the size of their entries
(`Resources.heartbeat_bytes`), those of exited tasks included. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from umberward.core.types import MAX_TASKS_PER_JOB, Resources
from umberward.protocol.constants import MAX_BODY_BYTES
from umberward.protocol.job_spec import JobSpec
from umberward.protocol.worker_messages import TaskCommand

# JSON is at most this many times as long as MessagePack: `false,` has six bytes against one.
MAX_JSON_EXPANSION = 6
MAX_INTEGER_DIGITS = 20  # of tokens and attempts, which are below 2^64
# A heartbeat without tasks: its four names have up to 200 bytes each.
HEARTBEAT_HEADER_BYTES = 1024
# What a heartbeat can spend on the entries of its tasks.
HEARTBEAT_TASK_BYTES = MAX_BODY_BYTES - HEARTBEAT_HEADER_BYTES
# The longest entry of a task in a heartbeat, without its id and attempt.
_STATUS_FRAME_BYTES = len(
    b'{"shard":"","try":,"phase":"exited","cause":"mates_gone","stored":false},'
)
MAX_JOB_ID_BYTES = len("req-") + 18
MAX_TASK_NUMBER_BYTES = len(str(MAX_TASKS_PER_JOB - 1))

# A command without its verb, task id, attempt and grace.
_COMMAND_FRAME_BYTES = len(b'{"verb":"","shard":"","try":},')
_GRACE_FRAME_BYTES = len(b',"drain_s":')
# The rest of a direct command or of a response to a heartbeat: token and incarnation.
_ENVELOPE_BYTES = len(b'{"epoch":,"tenure":,"orders":[]}') + 2 * MAX_INTEGER_DIGITS
# What a message to a worker can spend on its commands.
MAX_COMMAND_LIST_BYTES = MAX_BODY_BYTES - _ENVELOPE_BYTES


def task_status_bytes(task_id_bytes: int) -> int:
    """Return the largest size of a task's entry in a heartbeat, given the length of its id."""
    return _STATUS_FRAME_BYTES + task_id_bytes + MAX_INTEGER_DIGITS


# The largest size of any task's entry.
MAX_TASK_STATUS_BYTES = task_status_bytes(MAX_JOB_ID_BYTES + 1 + MAX_TASK_NUMBER_BYTES)


def task_need(spec: JobSpec) -> Resources:
    """Return what each task of the job takes of its machine and of its worker's heartbeat."""
    task_id_bytes = len(spec.job_id) + 1 + len(str(spec.task_count - 1))
    return Resources(spec.cores, spec.accelerators, spec.mem_gb, task_status_bytes(task_id_bytes))


def command_bytes(command: TaskCommand) -> int:
    """Return the size of a command in a message, with the comma after it."""
    size = _COMMAND_FRAME_BYTES + len(command.verb) + len(command.task_id)
    size += len(str(command.attempt))
    if command.grace_s is not None:
        size += _GRACE_FRAME_BYTES + len(msgspec.json.encode(command.grace_s))
    return size


def commands_that_fit(commands: Iterable[TaskCommand]) -> int:
    """Return how many of the commands, from the first on, one message to a worker can carry."""
    room = MAX_COMMAND_LIST_BYTES
    count = 0
    for command in commands:
        room -= command_bytes(command)
        if room < 0:
            break
        count += 1
    return count


def exceeds_body_limit(body: bytes) -> bool:
    """Whether a MessagePack body is above the limit of PROTOCOL, which counts its JSON form.

    Raises msgspec.DecodeError for a large body that is not MessagePack.
    """
    if len(body) * MAX_JSON_EXPANSION <= MAX_BODY_BYTES:
        return False
    return len(msgspec.json.encode(msgspec.msgpack.decode(body))) > MAX_BODY_BYTES
