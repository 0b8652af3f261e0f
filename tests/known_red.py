"""Tests that may fail for now: those of KNOWN-RED.txt, if there is one.

A line is `TEST | CAUSE | ISSUE`, with the test as pytest names it. These alone may fail, and they
are printed at the end of each run. One that passes is a failure, and so is a line that names no
test, that is not of this form, or that is one too many.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3


class Known(NamedTuple):
    test: str
    cause: str
    issue: str


def read(path: Path) -> list[Known]:
    """Raises UsageError for what is not as it should be."""
    found = []
    for line in path.read_text().splitlines() if path.exists() else ():
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != len(Known._fields) or not all(parts):
            raise pytest.UsageError(f"{FILE}: not TEST | CAUSE | ISSUE: {line}")
        found.append(Known(*parts))
    if len(found) > MOST:
        raise pytest.UsageError(f"{FILE}: {len(found)} lines, {MOST} at the most")
    return found


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = read(config.rootpath / FILE)
    by_name = {item.nodeid: item for item in items}
    whole = not (config.option.keyword or config.option.markexpr) and config.args_source.name in (
        "TESTPATHS",
        "INVOCATION_DIR",
    )
    for one in known:
        item = by_name.get(one.test)
        if item is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{one.cause} ({one.issue})", strict=True))
        elif whole:  # of a part of the tests it may not be one
            raise pytest.UsageError(f"{FILE}: there is no test {one.test}")


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    known = read(config.rootpath / FILE)
    if known:
        terminalreporter.section("known to fail")
    for one in known:
        terminalreporter.line(f"{one.test}: {one.cause} ({one.issue})")
