"""Each 404, 400 or 422 about a job is counted, and written if it may have been wrong."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import mutations
import pytest
from cluster_settings import job_spec
from log_lines import Lines
from simulated_job_api import SimulatedJobApis

from umberward.control import rejection_log
from umberward.control.rejection_log import (
    MAX_KEPT_ANSWERS,
    SAMPLE_INTERVAL_S,
    YOUNG_PROCESS_S,
    JobRequest,
)
from umberward.core.rate_limited_log import DEFAULT_LINES_PER_S
from umberward.core.types import JobId
from umberward.protocol import wire
from umberward.protocol.http import Response

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
    apis.run(1.0)
    assert not lines.lines and not apis.broken
    assert not apis.controllers["k0"].job_api.rejections.counts


def test_lines_are_limited_and_all_answers_counted(apis: SimulatedJobApis, lines: Lines) -> None:
    asked = DEFAULT_LINES_PER_S + 5
    for number in range(asked):
        apis.ask("poll", f"req-{number:06}", "k0")
    apis.run(0.5)
    assert len(lines.of("unknown_job")) == DEFAULT_LINES_PER_S
    apis.ask("submit", JOB_ID, "k0", {"uid": JOB_ID})
    apis.run(0.5)
    rejections = apis.controllers["k0"].job_api.rejections
    assert rejections.counts == {"poll_404": asked, "submit_400": 1}
    assert rejections.summary() == f"poll_404:{asked},submit_400:1"


def test_ids_that_nobody_knows_are_a_sampled_line_once_the_process_is_not_young(
    apis: SimulatedJobApis, lines: Lines
) -> None:
    apis.run(YOUNG_PROCESS_S + 1.0)
    for number in range(50):
        apis.ask("poll", f"req-{number:06}", "k0")
        apis.run(SAMPLE_INTERVAL_S / 100)
    assert [line["occasion"] for line in lines.of("unknown_job")] == ["sample"]
    apis.run(SAMPLE_INTERVAL_S)
    apis.ask("poll", "req-000050", "k0")
    apis.run(1.0)
    assert len(lines.of("unknown_job")) == 2
    assert apis.controllers["k0"].job_api.rejections.counts == {"poll_404": 51}


def test_all_answers_are_written_while_a_peer_has_a_known_fault(
    apis: SimulatedJobApis, lines: Lines
) -> None:
    apis.controllers["k0"].job_api.rejections.has_faulty_peer = lambda: True
    apis.run(YOUNG_PROCESS_S + 1.0)
    for number in range(5):
        apis.ask("poll", f"req-{number:06}", "k0")
    apis.run(1.0)
    assert [line["occasion"] for line in lines.of("unknown_job")] == ["faulty_peer"] * 5


@pytest.mark.parametrize("age_s", [0.0, YOUNG_PROCESS_S + 1.0])
@pytest.mark.parametrize("occasion", ["job_appeared", "known_to_peer"])
def test_evidence_of_a_wrong_answer_is_written_even_if_its_line_was_suppressed(
    apis: SimulatedJobApis, lines: Lines, occasion: str, age_s: float
) -> None:
    apis.run(age_s)
    asked = [f"req-{number:06}" for number in range(3 * DEFAULT_LINES_PER_S)]
    for job_id in asked:
        apis.ask("poll", job_id, "k0")
    apis.run(0.5)
    revision = apis.core.revision
    written = {line["job"] for line in lines.take()}
    suppressed = [job_id for job_id in asked if job_id not in written]
    assert len(suppressed) >= 2 * DEFAULT_LINES_PER_S
    for job_id in suppressed:
        if occasion == "job_appeared":
            apis.store_job(job_id)
            apis.ask("poll", job_id, "k0")
        else:
            apis.controllers["k0"].job_api.rejections.note_job_known_to_peer(JobId(job_id))
    apis.run(1.0)
    found = lines.of("unknown_job")
    assert {line["job"] for line in found} == set(suppressed)
    assert {line["occasion"] for line in found} == {occasion}
    assert {line["revision"] for line in found} == {revision}  # as of the answer
    assert all(set(line) >= EVIDENCE and line["answered_s"] > 0.0 for line in found)


def test_evidence_is_written_once_and_of_a_bounded_number_of_answers(
    apis: SimulatedJobApis, lines: Lines
) -> None:
    rejections = apis.controllers["k0"].job_api.rejections
    asked = [JobId(f"req-{number:06}") for number in range(MAX_KEPT_ANSWERS + 7)]
    for job_id in asked:
        absent = mutations.absence(apis.controllers["k0"].job_states, job_id)
        rejections.record(JobRequest.POLL, absent, Response(404))
    lines.take()
    for job_id in [*asked, *asked]:
        rejections.note_job_known_to_peer(job_id)
    assert [line["job"] for line in lines.of("unknown_job")] == asked[7:]
