"""Journal entries of the bench, as far as figures are compared. No I/O but reading files."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

NOISE = 0.03  # smaller changes of a figure mean nothing
PROCESSOR_S = 200.0  # what a day may take in the processes' own code; at 400 it counts for nothing


class Spent(msgspec.Struct):
    """Processor time in seconds: in the processes' own code, and in the kernel for them."""

    processes: list[float] = []


class Day(msgspec.Struct):
    """One day of a run."""

    name: str
    score: float | None = None
    rules: dict[str, Any] = {}  # the rules that were broken
    fault: Any = None  # why the day has no result
    spent: Spent | None = None
    aims: list[tuple[str, float]] = []  # what was reached, and its worth


class Entry(msgspec.Struct):
    """One deployment in one run of the bench."""

    id: str
    at: list[str]  # when it began and ended; the end is empty while it runs
    cmd: str
    argv: list[str]
    site: str | None = None
    score: float | None = None
    error: str | None = None
    mode: str | None = None
    days: list[Day] = []

    @property
    def over(self) -> bool:
        """Whether the run came to its end."""
        return len(self.at) > 1 and bool(self.at[1]) and self.error is None

    @property
    def full(self) -> bool:
        """Whether it scored all standard days of the deployment."""
        return self.cmd == "score" and self.over and "--quick" not in self.argv


class Part(NamedTuple):
    """A class or a team, and the share of its jobs that was served."""

    who: str
    share: float


class Row(NamedTuple):
    """One day now, against the last full score of its deployment."""

    site: str
    day: str
    before: float | None
    now: float | None
    processor_s: float | None
    wrong: str  # what speaks against landing; empty: nothing
    least: Part | None = None  # who was served least, if that is known


def read(folder: Path) -> list[Entry]:
    """All entries, oldest first. Raises ValueError for a file that is none."""
    found = []
    for path in sorted(folder.glob("*.json")):
        try:
            found.append(msgspec.json.decode(path.read_bytes(), type=Entry))
        except msgspec.DecodeError as error:
            raise ValueError(f"{path}: {error}") from None
    return sorted(found, key=lambda entry: (entry.at[0], entry.id))


def last_full(entries: Iterable[Entry], site: str) -> Entry | None:
    """The newest full score of the deployment, if there is any."""
    found = [entry for entry in entries if entry.full and entry.site == site]
    return found[-1] if found else None


def compare(now: Entry, before: Entry | None) -> list[Row]:
    """Day by day; days that only one of the two has are compared with nothing."""
    old = {day.name: day.score for day in before.days} if before is not None else {}
    rows = []
    for day in now.days:
        wrong = []
        if day.rules:
            wrong.append("broken: " + ", ".join(sorted(day.rules)))
        if day.fault is not None or day.score is None:
            wrong.append(f"no result: {day.fault}")
        was = old.get(day.name)
        if was is not None and day.score is not None and day.score < was - NOISE:
            wrong.append(f"fell by {was - day.score:.2f}")
        spent = sum(day.spent.processes) if day.spent is not None else None
        if spent is not None and spent > PROCESSOR_S:
            wrong.append(f"{spent:.0f} s of processor time")
        rows.append(Row(now.site or "?", day.name, was, day.score, spent, "; ".join(wrong)))
    if not now.days or not now.over:
        rows.append(Row(now.site or "?", "-", None, None, None, f"no result: {now.error}"))
    return rows
