"""Enumerated values in messages (kinds, phases, commands), and limits on the sizes of messages.

The values of the enumerations are the strings on the wire, and each member compares equal to its
string. Each enumeration names its section of PROTOCOL.
"""

from __future__ import annotations

import enum

# PROTOCOL, introduction and "Controller nodes -> cloud".
MAX_BODY_BYTES = 64 * 1024
MAX_MACHINES_PER_REQUEST = 50
MAX_DELETIONS_PER_REQUEST = 100
MAX_MACHINES_PER_PAGE = 500


class JobKind(enum.StrEnum):
    """How the tasks of a job run together ("POST /v1/jobs", `shape`)."""

    ARRAY = "batch"  # independent tasks, each of which runs to completion
    GANG = "ensemble"  # all tasks run at the same time or none does
    SERVICE = "service"  # replicas that run until the job is cancelled


# Priorities of jobs ("POST /v1/jobs", `rank`); the lowest number is the most urgent.
JOB_PRIORITIES = {"production": 0, "urgent": 1, "normal": 2, "idle": 3}


class CommandVerb(enum.StrEnum):
    """What a worker is to do with an attempt of a task ("Workers -> controller nodes")."""

    START = "start"
    KILL = "kill"
    FORGET = "forget"  # drop an exited attempt from the heartbeats


class TaskPhase(enum.StrEnum):
    """The state of an attempt of a task in a heartbeat ("POST /hello")."""

    PULLING_IMAGE = "pulling"
    WAITING_FOR_GANG = "gathering"
    RUNNING = "running"
    CHECKPOINTING = "flushing"
    EXITED = "exited"


class JobPhase(enum.StrEnum):
    """The state of a job as shown to its user ("GET /v1/jobs/{id}").

    A running job has the value of `TaskPhase.RUNNING`. `DONE` is also the exit cause of a completed
    task.
    """

    PENDING = "pending"
    DONE = "done"
    CANCELLED = "cancelled"


class MachinePhase(enum.StrEnum):
    """The state of a machine in the cloud's list ("GET /hosts").

    A running machine has the value of `TaskPhase.RUNNING`.
    """

    BOOTING = "booting"
    FAILED = "failed"
