"""KNOWN-RED.txt excuses the failures it lists, and no others."""

from __future__ import annotations

from pathlib import Path

import known_red
import pytest

FAILING, PASSING, MISSING = (
    f"test_it.py::test_{name} | it leaks | issue 7\n" for name in ("red", "green", "blue")
)
COMMAND = "$ soak --seeds 4 | it leaks | issue 7\n"
TESTS = "def test_red():\n    assert False\n\ndef test_green():\n    pass\n"


@pytest.mark.parametrize(
    ("listed", "exit_status", "output"),
    [
        ("", 1, "1 failed, 1 passed"),
        (FAILING, 0, "test_it.py::test_red: it leaks (issue 7)"),
        (FAILING + PASSING, 1, "1 failed, 1 xfailed"),
        (FAILING + MISSING, 4, "there is no test"),
        ("test_it.py::test_red\n", 4, "not TEST"),
        (FAILING * 4, 4, "4 lines"),
        (FAILING + COMMAND, 0, "$ soak --seeds 4: it leaks (issue 7)"),
        (COMMAND, 1, "1 failed, 1 passed"),
        (COMMAND * 4, 4, "4 lines"),
    ],
)
def test_what_is_listed_alone_may_fail(
    pytester: pytest.Pytester, listed: str, exit_status: int, output: str
) -> None:
    (pytester.path / "conftest.py").write_text(Path(known_red.__file__).read_text())
    (pytester.path / "test_it.py").write_text(TESTS)
    if listed:
        (pytester.path / known_red.FILE).write_text(listed)
    result = pytester.runpytest()
    assert result.ret == exit_status
    assert output in "\n".join([*result.outlines, *result.errlines])
