"""A log of events about many machines or jobs at one moment: one line for all but the first.

The first line of an event is written at once and as it is. Those that follow within GROUP_S become
one line with their number, the first names and the ranges of the numbers.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, ClassVar

from umberward.core.rate_limited_log import InfoLogger

GROUP_S = 1.0
MAX_NAMES = 3


class _Group:
    """The lines of one event since its last written one."""

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at
        self.lines = 0
        self.names: dict[str, list[str]] = {}  # by field: its first distinct values
        self.ranges: dict[str, tuple[float, float]] = {}  # by numeric field

    def add(self, fields: dict[str, object]) -> None:
        """Add a line."""
        self.lines += 1
        for name, value in fields.items():
            if isinstance(value, int | float) and not isinstance(value, bool):
                low, high = self.ranges.get(name, (value, value))
                self.ranges[name] = (min(low, value), max(high, value))
                continue
            names = self.names.setdefault(name, [])
            if len(names) <= MAX_NAMES and str(value) not in names:
                names.append(str(value))

    def fields(self) -> dict[str, object]:
        """The fields of the line that stands for all."""
        fields: dict[str, object] = {"lines": self.lines}
        for name, values in self.names.items():
            more = ",..." if len(values) > MAX_NAMES else ""
            fields[name] = ",".join(values[:MAX_NAMES]) + more
        for name, (low, high) in self.ranges.items():
            fields[name] = low if low == high else f"{low}..{high}"
        return fields


class GroupedLog:
    """A logger that joins lines of one event; `flush_due` writes those that are due."""

    _all: ClassVar[list[GroupedLog]] = []

    def __init__(self, log: InfoLogger, clock: Callable[[], float] = time.monotonic) -> None:
        """`log`: a logger of `umberward.core.log`; `clock`: monotonic, in seconds."""
        self.log = log
        self.clock = clock
        self._groups: dict[str, _Group] = {}
        self._all.append(self)

    def info(self, event: str, **fields: Any) -> None:  # noqa: ANN401 - any value can be logged
        """Write a line, or add it to the event's group."""
        now = self.clock()
        group = self._groups.get(event)
        if group is not None and now - group.began_at >= GROUP_S:
            self._write(event, group)
            group = None
        if group is None:
            self._groups[event] = _Group(now)
            self.log.info(event, **fields)
        else:
            group.add(fields)

    def flush(self, *, due_only: bool = False) -> None:
        """Write the groups, or those that have lasted for GROUP_S."""
        if not self._groups:
            return
        now = self.clock()
        for event, group in list(self._groups.items()):
            if not due_only or now - group.began_at >= GROUP_S:
                self._write(event, group)

    def _write(self, event: str, group: _Group) -> None:
        del self._groups[event]
        if group.lines:
            self.log.info(event, **group.fields())

    @classmethod
    def flush_due(cls) -> None:
        """Write all groups that have lasted for GROUP_S; call several times a second."""
        for grouped in cls._all:
            grouped.flush(due_only=True)
