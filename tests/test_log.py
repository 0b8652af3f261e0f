"""The log's two forms, and that what is below the level costs no line."""

from __future__ import annotations

import logging
from typing import Any

import msgspec
import pytest

from umberward.core import log
from umberward.core.rate_limited_log import RateLimitedLog
from umberward.core.types import JobId, TaskId


@pytest.fixture(autouse=True)
def quiet_again() -> object:
    yield
    log.configure("error", "lines", keep=False)


def test_lines_for_people(capsys: pytest.CaptureFixture[str]) -> None:
    log.configure("info", "lines", keep=False)
    logger = log.logger("umberward.x")
    logger.debug("not_said")
    logger.info("moves", task=TaskId(JobId("req-1"), 2), reason="dear machine")
    assert capsys.readouterr().err == "INFO umberward.x: moves task=req-1/2 reason='dear machine'\n"


def test_libraries_say_it_in_the_same_form(capsys: pytest.CaptureFixture[str]) -> None:
    log.configure("info", "json", keep=False)
    logging.getLogger("curio.kernel").warning("took %d s", 3)
    logging.getLogger("curio.kernel").debug("not said")
    (line,) = capsys.readouterr().err.splitlines()
    assert msgspec.json.decode(line) == {
        "level": "warning",
        "logger": "curio.kernel",
        "event": "said_by_library",
        "text": "took 3 s",
    }


def test_one_object_a_line(capsys: pytest.CaptureFixture[str]) -> None:
    log.configure("error", "json", keep=False)
    logger = log.logger("umberward.x")
    logger.info("not_said")
    try:
        raise ValueError("two\nlines")
    except ValueError:
        logger.exception("failed", task=TaskId(JobId("req-1"), 2), tries=3)
    (line,) = capsys.readouterr().err.splitlines()
    found = msgspec.json.decode(line)
    assert "ValueError: two" in found.pop("exception")
    assert found == {
        "level": "error",
        "logger": "umberward.x",
        "event": "failed",
        "task": "req-1/2",
        "tries": 3,
    }


def test_repeated_events_are_counted_and_not_written() -> None:
    said: list[dict[str, Any]] = []
    now = 10.0

    class Log:
        def info(self, event: str, **fields: Any) -> None:
            said.append({"event": event, **fields})

    bounded = RateLimitedLog(Log(), 2, lambda: now)
    for number in range(5):
        bounded.info("given_up", number=number)
    bounded.info("other")
    assert said == [
        {"event": "given_up", "number": 0},
        {"event": "given_up", "number": 1},
        {"event": "other"},
    ]
    now += 1.0
    bounded.info("given_up", number=5)
    bounded.info("given_up", number=6)
    assert said[3:] == [
        {"event": "given_up", "number": 5, "left_out": 3},
        {"event": "given_up", "number": 6},
    ]
