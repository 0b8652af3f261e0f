"""Events seen from outside of the controllers: by workers, by users, and of processes."""

from __future__ import annotations

import msgspec


class Event(msgspec.Struct):
    """Something that was seen; `at`: seconds since the run began."""

    at: float


class TaskStarted(Event):
    """A worker has started an attempt of a task.

    `sent_at`: when the command for it was sent, as far as its receiver can tell.
    """

    host: str
    session: int
    task: str
    attempt: int
    sent_at: float


class TaskEnded(Event):
    """An attempt of a task has ended on a worker."""

    host: str
    task: str
    attempt: int
    cause: str


class SessionOver(Event):
    """All tasks on the machine have ended, by its lease or with the machine."""

    host: str


class MachineStill(Event):
    """The machine hangs (`still`), or goes on."""

    host: str
    still: bool


class MachineGone(Event):
    """The cloud has deleted the machine."""

    host: str


class MachineUp(Event):
    """The machine has booted and its worker runs."""

    host: str
    flavor: str
    zone: str
    spot: bool
    cores: float


class Submitted(Event):
    """A user sends a job's description for the first time. `why_unfit`: empty if it can run."""

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
    """A user has decided to cancel the job, and sends requests until one is answered."""

    job: str


class Answered(Event):
    """A user's request was answered at `at`.

    `kind`: submit, poll or cancel; `status`: 0 if no answer came; `phase`: of a 200 or 201.
    """

    kind: str
    job: str
    controller: str
    asked_at: float
    status: int
    phase: str = ""


class LeaderChanged(Event):
    """Another controller leads, or the same one with a new fencing token."""

    controller: str
    token: int


class FaultBegan(Event):
    """A drawn fault begins, for `for_s` seconds; `what`: whom it concerns."""

    kind: str
    for_s: float
    what: str


class ProcessEnded(Event):
    """The process of a controller has ended; `by_us`: the soak has killed it."""

    controller: str
    code: int
    by_us: bool


def said(event: Event) -> str:
    """The event as one line of a timeline."""
    fields = {name: getattr(event, name) for name in event.__struct_fields__ if name != "at"}
    words = " ".join(f"{name}={value}" for name, value in fields.items() if value not in ("", None))
    return f"{event.at:8.3f} {type(event).__name__} {words}"
