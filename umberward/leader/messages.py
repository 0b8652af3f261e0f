"""Messages handled by the leader loop.

Their senders are the loop's controller and the loop's own tasks. Messages derived from `Request`
have a response, whose type is the parameter of `Request`; `Actor.ask` returns None instead if the
loop has ended.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from umberward.core.actor import Request
from umberward.core.types import ControllerName, Instant, JobId
from umberward.protocol import wire
from umberward.protocol.transactions import VersionedValue
from umberward.protocol.wire import Heartbeat, KeyChange, KeyValue, RemainingTasks, TaskCommand
from umberward.scheduling.cluster_state import CommandMessage, Probe
from umberward.scheduling.sessions.lease_delegation import Delegation


class HeartbeatReceived(Request[list[TaskCommand] | None], frozen=True):
    """A worker's heartbeat was received here or forwarded by another controller.

    The response: the commands for the worker, or None if the heartbeat must not be answered.
    """

    header: wire.HeartbeatHeader
    body: bytes  # the complete encoded heartbeat


class CommandCompleted(msgspec.Struct, frozen=True):
    """A worker responded to a direct command, or it timed out or could not be sent."""

    command: CommandMessage
    heartbeat: Heartbeat | None  # the worker's response, if there was a valid one
    outcome_unknown: bool  # whether the worker may have executed it or may yet do so


class ProbeCompleted(msgspec.Struct, frozen=True):
    """A probe was answered, timed out or could not be sent."""

    probe: Probe
    heartbeat: Heartbeat | None  # the worker's response, if there was a valid one


class JobsListed(Request[None], frozen=True):
    """All live jobs were read. Answered with None once they are loaded into the scheduler."""

    entries: list[KeyValue]
    requested_at: Instant  # when the read was sent; all changes committed before it are included
    # Recently written final records, for a leader that loads the jobs for the first time; None:
    # they could not be read.
    recent_final_records: list[KeyChange] | None
    # What the arrays of graphs that have ended early may still use, for the same leader; None: it
    # could not be read.
    remaining_graph_tasks: list[tuple[JobId, RemainingTasks]] | None


class JobsChanged(msgspec.Struct, frozen=True):
    """The watch of the jobs returned changes, or none within its time limit."""

    changes: list[KeyChange]
    requested_at: Instant  # when the watch was sent; all changes committed before it are included


class DelegationRequested(Request[Delegation | None], frozen=True):
    """A controller requests permission to answer its zone's heartbeats if the zone is cut off.

    Answered with None if no delegation can be given.
    """

    delegate: ControllerName
    last_sequence: int  # of the last delegation that the delegate has received; 0: none
    unused: bool  # whether it has used no delegation since requesting that one


class JobsCancelledByPeer(msgspec.Struct, frozen=True):
    """Another controller has confirmed cancellations to its users.

    The watch of the jobs may report them later.
    """

    job_ids: list[JobId]


class JobEnded(msgspec.Struct, frozen=True):
    """A lookup found the final record of a job that other jobs depend on."""

    job_id: JobId
    data: object  # the stored record, not validated yet


class LiveJobsPageRead(Request[list[JobId]], frozen=True):
    """A page of the live jobs was read for comparison with the scheduler's jobs.

    Answered with the ids of the jobs that the scheduler does not know.
    """

    entries: list[KeyValue]


class UnknownJobRead(msgspec.Struct, frozen=True):
    """The record of a live job unknown to the scheduler was read again."""

    job_id: JobId
    stored: VersionedValue


class TransactionCompleted(msgspec.Struct, frozen=True):
    """A transaction was committed or failed; the scheduler has already been notified."""


class TimerTick(Request[None], frozen=True):
    """Triggers the scheduler's time-dependent checks, several times per second.

    Answered with None once it is handled.
    """


LeaderMessage: TypeAlias = (
    HeartbeatReceived
    | CommandCompleted
    | ProbeCompleted
    | JobsListed
    | JobsChanged
    | DelegationRequested
    | JobsCancelledByPeer
    | JobEnded
    | LiveJobsPageRead
    | UnknownJobRead
    | TransactionCompleted
    | TimerTick
)
