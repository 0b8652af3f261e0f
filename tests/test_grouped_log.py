"""Lines of one event at one moment become one line, so that an excerpt of a log has others, too."""

from __future__ import annotations

from typing import Any

import pytest

from umberward.core.grouped_log import GROUP_S, GroupedLog


class Lines:
    def __init__(self) -> None:
        self.written: list[tuple[str, dict[str, Any]]] = []

    def info(self, event: str, **fields: Any) -> None:
        self.written.append((event, fields))


@pytest.fixture
def now(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    monkeypatch.setattr(GroupedLog, "_all", [])
    return [100.0]


def test_lines_of_one_moment_become_the_first_and_one_for_the_rest(now: list[float]) -> None:
    lines = Lines()
    log = GroupedLog(lines, lambda: now[0])
    for number in range(30):
        log.info("silent", machine=f"i-{number}", seconds=5.5 + number / 10, zone="a", sent=True)
    first = {"machine": "i-0", "seconds": 5.5, "zone": "a", "sent": True}
    assert lines.written == [("silent", first)]
    GroupedLog.flush_due()
    assert len(lines.written) == 1
    now[0] += GROUP_S
    GroupedLog.flush_due()
    rest = {"machine": "i-1,i-2,i-3,...", "zone": "a", "sent": "True", "seconds": "5.6..8.4"}
    assert lines.written[1:] == [("silent", {"lines": 29, **rest})]


def test_single_lines_stay_as_they_are(now: list[float]) -> None:
    lines = Lines()
    log = GroupedLog(lines, lambda: now[0])
    for event in ("new", "lost", "new"):
        log.info(event, machine="i-1", tasks=2)
        now[0] += GROUP_S
    assert lines.written == [
        (event, {"machine": "i-1", "tasks": 2}) for event in ("new", "lost", "new")
    ]


def test_a_line_after_the_moment_writes_the_rest_first(now: list[float]) -> None:
    lines = Lines()
    log = GroupedLog(lines, lambda: now[0])
    for machine in ("i-1", "i-2"):
        log.info("new", machine=machine, tasks=2)
    now[0] += GROUP_S
    log.info("new", machine="i-3", tasks=2)
    assert [fields["machine"] for _, fields in lines.written] == ["i-1", "i-2", "i-3"]
    assert lines.written[1][1] == {"lines": 1, "machine": "i-2", "tasks": 2}
