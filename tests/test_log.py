"""The two log formats, the level, and the rate limit of repeated events."""

from __future__ import annotations

import logging
from typing import Any

import msgspec
import pytest

from umberward.core import log
from umberward.core.rate_limited_log import RateLimitedLog
from umberward.core.types import JobId, TaskId


@pytest.fixture(autouse=True)
def reset_logging() -> object:
    yield
    log.configure("error", "lines", cache_loggers=False)


def test_line_format(capsys: pytest.CaptureFixture[str]) -> None:
    log.configure("info", "lines", cache_loggers=False)
    logger = log.logger("umberward.x")
    logger.debug("not_said")
    logger.info("moves", task=TaskId(JobId("req-1"), 2), reason="dear machine")
    assert capsys.readouterr().err == "INFO umberward.x: moves task=req-1/2 reason='dear machine'\n"


def test_library_records_have_the_same_format(capsys: pytest.CaptureFixture[str]) -> None:
    log.configure("info", "json", cache_loggers=False)
    logging.getLogger("curio.kernel").warning("took %d s", 3)
    logging.getLogger("curio.kernel").debug("not said")
    (line,) = capsys.readouterr().err.splitlines()
    assert msgspec.json.decode(line) == {
        "level": "warning",
        "logger": "curio.kernel",
        "event": "said_by_library",
        "text": "took 3 s",
    }


def test_json_format(capsys: pytest.CaptureFixture[str]) -> None:
    log.configure("error", "json", cache_loggers=False)
    logger = log.logger("umberward.x")
    logger.info("not_said")
    try:
        raise ValueError("two\nlines")
    except ValueError:
        logger.exception("failed", task=TaskId(JobId("req-1"), 2), tries=3)
    (line,) = capsys.readouterr().err.splitlines()
    fields = msgspec.json.decode(line)
    assert "ValueError: two" in fields.pop("exception")
    assert fields == {
        "level": "error",
        "logger": "umberward.x",
        "event": "failed",
        "task": "req-1/2",
        "tries": 3,
    }


def test_repeated_events_are_rate_limited() -> None:
    written: list[dict[str, Any]] = []
    now = 10.0

    class Log:
        def info(self, event: str, **fields: Any) -> None:
            written.append({"event": event, **fields})

    limited_log = RateLimitedLog(Log(), 2, lambda: now)
    for number in range(5):
        limited_log.info("given_up", number=number)
    limited_log.info("other")
    assert written == [
        {"event": "given_up", "number": 0},
        {"event": "given_up", "number": 1},
        {"event": "other"},
    ]
    now += 1.0
    limited_log.info("given_up", number=5)
    limited_log.info("given_up", number=6)
    assert written[3:] == [
        {"event": "given_up", "number": 5, "left_out": 3},
        {"event": "given_up", "number": 6},
    ]
