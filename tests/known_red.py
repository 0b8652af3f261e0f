"""pytest plugin: expected failures, listed in KNOWN-RED.txt if that file exists.

A line is `TEST | CAUSE | ISSUE`, with the test's pytest node id. Only the listed tests may fail;
they are printed at the end of each run. A listed test that passes is a failure. A line that is
malformed or names no test, and more than `MAX_ENTRIES` lines, are errors.

`TEST` may also be `$ COMMAND`, a command that is run by hand: it is printed and excuses no test.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

FILE = "KNOWN-RED.txt"
MAX_ENTRIES = 3
COMMAND_PREFIX = "$ "


class KnownFailure(NamedTuple):
    test: str
    cause: str
    issue: str


def read_entries(path: Path) -> list[KnownFailure]:
    """Raises UsageError for a malformed line and for too many lines."""
    failures = []
    for line in path.read_text().splitlines() if path.exists() else ():
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != len(KnownFailure._fields) or not all(parts):
            raise pytest.UsageError(f"{FILE}: not TEST | CAUSE | ISSUE: {line}")
        failures.append(KnownFailure(*parts))
    if len(failures) > MAX_ENTRIES:
        raise pytest.UsageError(f"{FILE}: {len(failures)} lines, at most {MAX_ENTRIES} are allowed")
    return failures


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    failures = read_entries(config.rootpath / FILE)
    by_name = {item.nodeid: item for item in items}
    all_collected = not (
        config.option.keyword or config.option.markexpr
    ) and config.args_source.name in (
        "TESTPATHS",
        "INVOCATION_DIR",
    )
    for failure in failures:
        if failure.test.startswith(COMMAND_PREFIX):
            continue
        item = by_name.get(failure.test)
        if item is not None:
            item.add_marker(
                pytest.mark.xfail(reason=f"{failure.cause} ({failure.issue})", strict=True)
            )
        elif all_collected:  # a selection of the tests need not include it
            raise pytest.UsageError(f"{FILE}: there is no test {failure.test}")


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    failures = read_entries(config.rootpath / FILE)
    if failures:
        terminalreporter.section("expected failures")
    for failure in failures:
        terminalreporter.line(f"{failure.test}: {failure.cause} ({failure.issue})")
