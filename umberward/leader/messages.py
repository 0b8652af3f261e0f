"""The messages that the leader loop handles.

They are sent by the controller that the loop runs in, and by the loop's own tasks. Messages derived
from `Request` have an answer, of the type given there; `Actor.ask` returns None in its place if the
loop has ended.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from umberward.core.actor import Request
from umberward.core.types import ControllerName, Instant, JobId
from umberward.protocol import wire
from umberward.protocol.transactions import VersionedValue
from umberward.protocol.wire import Heartbeat, KeyChange, KeyValue, TaskCommand
from umberward.scheduling.cluster_state import DirectCommand, Probe
from umberward.scheduling.lease_delegation import Delegation


class HeartbeatReceived(Request[list[TaskCommand] | None], frozen=True):
    """A worker's heartbeat has arrived, here or at a controller that has forwarded it.

    Answered with the commands for the worker, or None if the heartbeat must not be answered.
    """

    header: wire.HeartbeatHeader
    body: bytes  # the whole heartbeat, as received


class CommandCompleted(msgspec.Struct, frozen=True):
    """A direct command was answered, was refused, timed out or could not be sent."""

    command: DirectCommand
    heartbeat: Heartbeat | None  # the worker's answer, if there was a valid one
    outcome_unknown: bool  # whether the worker may have executed it, or may still do so


class ProbeCompleted(msgspec.Struct, frozen=True):
    """A probe was answered, timed out or could not be sent."""

    probe: Probe
    heartbeat: Heartbeat | None  # the worker's answer, if there was a valid one


class JobsListed(Request[None], frozen=True):
    """All live jobs were read. Answered with None once they are loaded."""

    entries: list[KeyValue]
    asked_at: Instant  # the entries show the state service at this moment or later
    # Final records written shortly before, for a leader that has not loaded the jobs before; None:
    # they could not be read.
    recent_final: list[KeyChange] | None


class JobsChanged(msgspec.Struct, frozen=True):
    """The watch of the jobs has returned."""

    changes: list[KeyChange]
    asked_at: Instant  # all changes until this moment are there, and maybe later ones


class DelegationRequested(Request[Delegation | None], frozen=True):
    """A controller asks which machines of its zone it may answer if the zone is cut off.

    Answered with None if no delegation can be given.
    """

    delegate: ControllerName
    last_sequence: int  # of the last delegation that has reached the delegate; 0: of none
    unused: bool  # whether it has used no delegation since it asked for that one


class JobsCancelledByPeer(msgspec.Struct, frozen=True):
    """Another controller has confirmed cancellations to its users.

    The watch of the jobs may show them only later.
    """

    job_ids: list[JobId]


class JobEnded(msgspec.Struct, frozen=True):
    """The final record of a job that others depend on was looked up."""

    job_id: JobId
    data: object  # the stored record, not validated yet


class LiveJobsPageRead(Request[list[JobId]], frozen=True):
    """A page of the live jobs was read, to compare it with the scheduler's jobs.

    Answered with the ids of those jobs that the scheduler does not know.
    """

    entries: list[KeyValue]


class UnknownJobRead(msgspec.Struct, frozen=True):
    """The record of a live job that the scheduler does not know was read once more."""

    job_id: JobId
    found: VersionedValue


class TransactionCompleted(msgspec.Struct, frozen=True):
    """A transaction was committed or has failed; the scheduler has been told already."""


class TimerTick(Request[None], frozen=True):
    """Sent a few times a second. Answered with None once it is handled."""


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
