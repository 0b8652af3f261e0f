"""Events observed outside the controllers: of workers, users, machines and processes."""

from __future__ import annotations

import msgspec


class Event(msgspec.Struct):
    """An observed event; `at`: seconds since the start of the run."""

    at: float


class TaskStarted(Event):
    """A worker has started an attempt of a task.

    `sent_at`: when its command was sent, as closely as the receiver can tell; `build`: of its
    sender.
    """

    host: str
    session: int
    task: str
    attempt: int
    sent_at: float
    build: str = ""


class TaskEnded(Event):
    """An attempt of a task has ended on a worker."""

    host: str
    task: str
    attempt: int
    cause: str


class SessionOver(Event):
    """All tasks on the machine have ended, because its lease expired or it was deleted."""

    host: str


class MachineStill(Event):
    """The machine has begun to hang (`still`) or has resumed."""

    host: str
    still: bool


class MachineGone(Event):
    """The cloud has deleted the machine."""

    host: str


class MachineUp(Event):
    """The machine has booted and its worker is running."""

    host: str
    flavor: str
    zone: str
    spot: bool
    cores: float


class Submitted(Event):
    """A user submits a job for the first time. `why_unfit`: why it can never run, or empty."""

    job: str
    owner: str
    shape: str
    shards: int
    cores: float
    yard: str | None = None
    same_place: bool = False
    apart: bool = False
    reclaimable: bool = True
    why_unfit: str = ""


class CancelAsked(Event):
    """A user has decided to cancel the job and sends requests until one succeeds."""

    job: str


class Answered(Event):
    """A user's request was answered or given up.

    `kind`: submit, poll or cancel; `status`: 0 without a response; `phase`: if it is 200 or 201;
    `build`: of the process that answered.
    """

    kind: str
    job: str
    controller: str
    asked_at: float
    status: int
    phase: str = ""
    build: str = ""


class LeaderChanged(Event):
    """Another controller has become leader, or the same one has got a new fencing token."""

    controller: str
    token: int
    build: str = ""


class FaultBegan(Event):
    """A fault of the plan begins and lasts `for_s` seconds; `what`: what it affects."""

    kind: str
    for_s: float
    what: str


class ProcessStarted(Event):
    """A controller process has been started with this build."""

    controller: str
    build: str


class ProcessEnded(Event):
    """A controller process has exited; `by_us`: the soak killed it."""

    controller: str
    code: int
    by_us: bool
    build: str = ""


def format_event(event: Event) -> str:
    """Format an event as one line of the timeline."""
    fields = {name: getattr(event, name) for name in event.__struct_fields__ if name != "at"}
    words = " ".join(f"{name}={value}" for name, value in fields.items() if value not in ("", None))
    return f"{event.at:8.3f} {type(event).__name__} {words}"
