"""Collects what a module logs."""

from __future__ import annotations

from typing import Any


class Lines:
    """Stands in for a logger and collects its lines."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def info(self, event: str, **fields: Any) -> None:
        self.lines.append({"event": event, **fields})

    debug = warning = error = info

    def take(self) -> list[dict[str, Any]]:
        """Return the lines since the last call."""
        taken, self.lines = self.lines, []
        return taken

    def of(self, event: str) -> list[dict[str, Any]]:
        return [line for line in self.lines if line["event"] == event]
