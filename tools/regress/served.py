"""How much of each class of jobs and of each team was served on a day. No I/O but reading files."""

from __future__ import annotations

import re
from pathlib import Path

import msgspec

from tools.regress.entries import Day, Part, Spent

FAILED_PART = 0.5  # a day on which any class or team gets less counts for nothing
NEAR_PART = 0.6  # ... and below this it is marked

# An aim in the journal, as "wait payslip-portal 1.0 s: 0.94 (aim 0.95)".
_AIM = re.compile(r"(?:wait|finished|deadline) (\S+) .*?: ([0-9.]+) ")


class JobClass(msgspec.Struct):
    """Jobs of one class in a report of the bench."""

    jobs: int
    started: int
    done: int
    cancelled: int
    up: float | None = None  # for services, of the time that replicas should have been up


class Team(msgspec.Struct):
    """Jobs of one team in a report of the bench."""

    jobs: int
    started: int


class Broken(msgspec.Struct):
    """How often each rule was broken, by its name."""

    by_kind: dict[str, int] = {}


class Report(msgspec.Struct):
    """What the bench writes with ``run --report``, as far as it is read here."""

    classes: dict[str, JobClass]
    rules_broken: Broken
    spent: Spent
    teams: dict[str, Team] = {}

    @property
    def broken(self) -> bool:
        """Whether any rule was."""
        return bool(self.rules_broken.by_kind)

    @property
    def processor_s(self) -> float:
        """Processor time of all controllers' own code."""
        return sum(self.spent.processes)

    def least(self) -> Part | None:
        """The class or team that was served least; services by their time, others when done."""
        parts = [Part(name, _share(kind)) for name, kind in self.classes.items() if kind.jobs]
        parts += [
            Part(name, team.started / team.jobs) for name, team in self.teams.items() if team.jobs
        ]
        return min(parts, key=lambda part: part.share, default=None)


def _share(kind: JobClass) -> float:
    started = kind.started / kind.jobs
    if kind.up is not None:
        return min(started, kind.up)
    # Users cancel some, before or after their start: those are not asked for any more.
    asked = max(1, kind.jobs - kind.cancelled)
    return min(1.0, started, kind.done / asked)


def read(path: Path) -> Report:
    """Raises ValueError for a file that is none."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Report)
    except msgspec.DecodeError as error:
        raise ValueError(f"{path}: {error}") from None


def least_by_aims(day: Day) -> Part | None:
    """The same from the journal alone: of each class, the widest of its aims."""
    widest: dict[str, float] = {}
    for text, _ in day.aims:
        found = _AIM.match(text)
        if found is not None:
            name, share = found[1], float(found[2])
            widest[name] = max(widest.get(name, 0.0), share)
    parts = [Part(name, share) for name, share in widest.items()]
    return min(parts, key=lambda part: part.share, default=None)


def judge(part: Part | None) -> str:
    """What it says against landing; empty: nothing."""
    if part is None or part.share >= NEAR_PART:
        return ""
    word = "failed" if part.share < FAILED_PART else "near"
    return f"{word}: {part.share:.2f} of {part.who} served"
