"""The record of a run: what was sent, answered and run, one line for each event."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes lines with the seconds since the start of the run to a file and keeps them."""

    def __init__(self, path: Path) -> None:
        """Begin the record at `path`; an earlier one is replaced."""
        self.started_at = time.monotonic()
        self.lines: list[str] = []
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Write one line."""
        line = f"{self.now():8.3f} {text}"
        self.lines.append(line)
        self._file.write(line + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
