"""Each 404, 400 or 422 about a job is logged with what it was based on, and counted."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest
from cluster_settings import job_spec
from log_lines import Lines
from simulated_job_api import SimulatedJobApis

from umberward.control import rejection_log
from umberward.control.rejection_log import COUNTS_INTERVAL_S
from umberward.core.rate_limited_log import DEFAULT_LINES_PER_S
from umberward.protocol import wire

JOB_ID = "req-000001"
EVIDENCE = {"looked_up_s", "refreshed_s", "listed_s", "revision", "uptime_s"}


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> Lines:
    collected = Lines()
    monkeypatch.setattr(rejection_log, "log", collected)
    return collected


@pytest.fixture
def apis(lines: Lines) -> Iterator[SimulatedJobApis]:
    with SimulatedJobApis(cached_records=100).running() as running:
        yield running


def test_unknown_job_is_logged_with_what_was_read(apis: SimulatedJobApis, lines: Lines) -> None:
    apis.run(2.0)
    apis.ask("poll", JOB_ID, "k0")
    apis.run(1.0)
    apis.ask("cancel", JOB_ID, "k0")
    apis.run(1.0)
    first, second = lines.of("unknown_job")
    assert (first["request"], first["status"], first["job"]) == ("poll", 404, JOB_ID)
    assert second["request"] == "cancel"
    assert set(first) >= EVIDENCE
    assert first["looked_up_s"] < 0.01 and 2.0 < first["uptime_s"] < 2.5
    assert 0.9 < second["looked_up_s"] < 1.1  # from the cache of absent jobs
    assert second["refreshed_s"] < 0.1
    assert first["revision"] == apis.core.revision


@pytest.mark.parametrize(
    ("body", "status"),
    [
        ({"uid": JOB_ID}, 400),
        (job_spec(JOB_ID, cores=1e6), 422),
        (job_spec(JOB_ID, waits_on=["req-000777"]), 422),
        (job_spec(JOB_ID, waits_on=[JOB_ID]), 422),
    ],
)
def test_refused_submission_is_logged_with_its_job(
    apis: SimulatedJobApis, lines: Lines, body: dict[str, Any], status: int
) -> None:
    apis.ask("submit", JOB_ID, "k0", body)
    apis.run(1.0)
    (line,) = lines.of("submission_refused")
    assert (line["status"], line["job"]) == (status, JOB_ID)
    assert line["error"] and set(line) >= EVIDENCE


def test_submission_without_an_id_is_logged_without_evidence(
    apis: SimulatedJobApis, lines: Lines
) -> None:
    apis.ask("submit", JOB_ID, "k0", {"uid": 7})
    apis.run(1.0)
    (line,) = lines.of("submission_refused")
    assert line["status"] == 400 and "job" not in line


def test_answers_about_accepted_jobs_are_not_logged(apis: SimulatedJobApis, lines: Lines) -> None:
    apis.store_job(JOB_ID, wire.DONE)
    for what in ("submit", "poll", "cancel"):
        apis.ask(what, JOB_ID, "k0")
    apis.run(COUNTS_INTERVAL_S + 1.0)
    assert not lines.lines and not apis.broken


def test_lines_are_limited_and_all_answers_counted(apis: SimulatedJobApis, lines: Lines) -> None:
    asked = DEFAULT_LINES_PER_S + 5
    for number in range(asked):
        apis.ask("poll", f"req-{number:06}", "k0")
    apis.run(0.5)
    assert len(lines.of("unknown_job")) == DEFAULT_LINES_PER_S
    apis.ask("submit", JOB_ID, "k0", {"uid": JOB_ID})
    apis.run(COUNTS_INTERVAL_S)
    counts = {"event": "rejected_job_requests", "poll_404": asked, "submit_400": 1}
    assert lines.of("rejected_job_requests") == [counts]
    apis.run(2 * COUNTS_INTERVAL_S)
    assert len(lines.of("rejected_job_requests")) == 1  # only if they have changed
