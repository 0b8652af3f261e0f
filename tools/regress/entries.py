"""Journal entries of the bench, and the comparison of their scores. No I/O but reading files."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

SCORE_NOISE = 0.03  # smaller changes of a score are noise
MAX_PROCESSOR_S = 200.0  # of a day, in the processes' own code; at 400 s it counts for nothing


class Spent(msgspec.Struct):
    """Processor time in seconds: in the processes' own code, and in the kernel."""

    processes: list[float] = []


class Day(msgspec.Struct):
    """One day of a run."""

    name: str
    score: float | None = None
    rules: dict[str, Any] = {}  # broken rules
    fault: Any = None  # why the day has no result
    spent: Spent | None = None
    aims: list[tuple[str, float]] = []  # objectives: text with the reached value, and its worth


class Entry(msgspec.Struct):
    """One deployment in one run of the bench."""

    id: str
    at: list[str]  # start and end; the end is empty while it runs
    cmd: str
    argv: list[str]
    site: str | None = None
    score: float | None = None
    error: str | None = None
    mode: str | None = None
    days: list[Day] = []

    @property
    def finished(self) -> bool:
        """Whether the run ended without an error."""
        return len(self.at) > 1 and bool(self.at[1]) and self.error is None

    @property
    def full(self) -> bool:
        """Whether the run scored all standard days of the deployment."""
        return self.cmd == "score" and self.finished and "--quick" not in self.argv


class ServedShare(NamedTuple):
    """A class of jobs or a team, and the share of its jobs that was served."""

    who: str
    share: float


class Row(NamedTuple):
    """The comparison of one day with the last full score of its deployment."""

    site: str
    day: str
    before: float | None
    now: float | None
    processor_s: float | None
    objections: str  # reasons against landing, or empty
    least_served: ServedShare | None = None  # None if unknown


def read(folder: Path) -> list[Entry]:
    """All entries, oldest first. Raises ValueError if a file is not an entry."""
    found = []
    for path in sorted(folder.glob("*.json")):
        try:
            found.append(msgspec.json.decode(path.read_bytes(), type=Entry))
        except msgspec.DecodeError as error:
            raise ValueError(f"{path}: {error}") from None
    return sorted(found, key=lambda entry: (entry.at[0], entry.id))


def last_full(entries: Iterable[Entry], site: str) -> Entry | None:
    """The newest full score of the deployment, or None."""
    found = [entry for entry in entries if entry.full and entry.site == site]
    return found[-1] if found else None


def compare(now: Entry, before: Entry | None) -> list[Row]:
    """Compare day by day; a day without a previous score has nothing to be compared with."""
    previous_scores = {day.name: day.score for day in before.days} if before is not None else {}
    rows = []
    for day in now.days:
        objections = []
        if day.rules:
            objections.append("broken: " + ", ".join(sorted(day.rules)))
        if day.fault is not None or day.score is None:
            objections.append(f"no result: {day.fault}")
        previous_score = previous_scores.get(day.name)
        if (
            previous_score is not None
            and day.score is not None
            and day.score < previous_score - SCORE_NOISE
        ):
            objections.append(f"fell by {previous_score - day.score:.2f}")
        spent = sum(day.spent.processes) if day.spent is not None else None
        if spent is not None and spent > MAX_PROCESSOR_S:
            objections.append(f"{spent:.0f} s of processor time")
        rows.append(
            Row(now.site or "?", day.name, previous_score, day.score, spent, "; ".join(objections))
        )
    if not now.days or not now.finished:
        rows.append(Row(now.site or "?", "-", None, None, None, f"no result: {now.error}"))
    return rows
