"""How much of each class of jobs and of each team was served on a day. No I/O but reading files."""

from __future__ import annotations

import re
from pathlib import Path

import msgspec

from tools.regress.entries import Day, ServedShare, Spent

FAILED_SHARE = 0.5  # a day that serves less of any class or team counts for nothing
MARKED_SHARE = 0.6  # a day that serves less of any class or team is marked

# An objective in the journal, such as "wait payslip-portal 1.0 s: 0.94 (aim 0.95)".
_AIM = re.compile(r"(?:wait|finished|deadline) (\S+) .*?: ([0-9.]+) ")


class JobClass(msgspec.Struct):
    """Jobs of one class in a report of the bench."""

    jobs: int
    started: int
    done: int
    cancelled: int
    up: float | None = None  # only services: the share of the required uptime of replicas


class Team(msgspec.Struct):
    """Jobs of one team in a report of the bench."""

    jobs: int
    started: int


class BrokenRules(msgspec.Struct):
    """How often each rule was broken, by its name."""

    by_kind: dict[str, int] = {}


class Report(msgspec.Struct):
    """The report that the bench writes with ``run --report``, without unused fields."""

    classes: dict[str, JobClass]
    rules_broken: BrokenRules
    spent: Spent
    teams: dict[str, Team] = {}

    @property
    def broken(self) -> bool:
        """Whether any rule was broken."""
        return bool(self.rules_broken.by_kind)

    @property
    def processor_s(self) -> float:
        """Processor time of all controllers' own code."""
        return sum(self.spent.processes)

    def least_served(self) -> ServedShare | None:
        """The class or team that was served least: services by uptime, other jobs by completion."""
        parts = [
            ServedShare(name, _served_share(kind))
            for name, kind in self.classes.items()
            if kind.jobs
        ]
        parts += [
            ServedShare(name, team.started / team.jobs)
            for name, team in self.teams.items()
            if team.jobs
        ]
        return min(parts, key=lambda part: part.share, default=None)


def _served_share(kind: JobClass) -> float:
    started = kind.started / kind.jobs
    if kind.up is not None:
        return min(started, kind.up)
    # Jobs that users cancel, before or after their start, are not expected to be done.
    expected = max(1, kind.jobs - kind.cancelled)
    return min(1.0, started, kind.done / expected)


def read(path: Path) -> Report:
    """Read a report. Raises ValueError if the file is not one."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Report)
    except msgspec.DecodeError as error:
        raise ValueError(f"{path}: {error}") from None


def least_served_by_aims(day: Day) -> ServedShare | None:
    """The least served class by the journal alone, each class by its best reached objective."""
    widest: dict[str, float] = {}
    for text, _ in day.aims:
        match = _AIM.match(text)
        if match is not None:
            name, share = match[1], float(match[2])
            widest[name] = max(widest.get(name, 0.0), share)
    parts = [ServedShare(name, share) for name, share in widest.items()]
    return min(parts, key=lambda part: part.share, default=None)


def objections(part: ServedShare | None) -> str:
    """The reason against landing, or an empty string."""
    if part is None or part.share >= MARKED_SHARE:
        return ""
    word = "failed" if part.share < FAILED_SHARE else "near"
    return f"{word}: {part.share:.2f} of {part.who} served"
