"""Nothing is called unknown without an answered read that began after the request."""

from __future__ import annotations

import ast
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from cluster_settings import job_spec
from log_lines import Lines
from simulated_job_api import SimulatedJobApis

from umberward.clients.errors import UnexpectedStatusError
from umberward.clients.state_client import StateClient
from umberward.control import rejection_log
from umberward.control.job_state_cache import JobStateCache
from umberward.control.rejection_log import UNPROVED_ABSENCE
from umberward.core.settings import StateLimits
from umberward.core.types import Address, Key, Revision
from umberward.protocol import wire
from umberward.protocol.http import Response
from umberward.protocol.transactions import AbsentKey

ROOT = Path(__file__).resolve().parents[1]
NEGATIVE_FILE = ROOT / "tests/typing_absence.py"
EXPECTED_ERROR = "  # error"
JOB_ID = "req-000001"

# Where each proof may be made, and a 404 be answered.
MADE_IN = {
    "AbsentKey": ["clients/state_client.py"],
    "AbsentJob": ["control/job_state_cache.py"],
    "AbsentGraph": ["graphs/graph_reader.py"],
}
ANSWERS_404_IN = {
    "control/job_api.py": 1,  # `_unknown_job_response`
    "control/peer_link.py": 3,  # between controllers
    "control/request_router.py": 3,  # the path's text
    "control/snapshot_exchange.py": 1,  # between controllers
    "graphs/errors.py": 2,  # `UnknownGraphError`, and the path's text
    "graphs/graph_api.py": 1,  # the path's text
}


def calls() -> Iterator[tuple[str, str, ast.Call]]:
    """Each call in the controllers' packages: the file, the name that is called, the call."""
    for package in ("clients", "control", "graphs", "leader", "protocol", "scheduling"):
        for path in sorted((ROOT / "umberward" / package).rglob("*.py")):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Call):
                    name = ast.unparse(node.func).rpartition(".")[2]
                    yield str(path.relative_to(ROOT / "umberward")), name, node


def test_each_proof_is_made_in_one_place() -> None:
    made = {
        name: sorted({file for file, called, _ in calls() if called == name}) for name in MADE_IN
    }
    assert made == MADE_IN


def test_404_is_answered_only_where_listed() -> None:
    found: dict[str, int] = {}
    for file, _, call in calls():
        choices = [
            choice
            for argument in call.args
            for choice in (
                (argument.body, argument.orelse) if isinstance(argument, ast.IfExp) else (argument,)
            )
        ]
        if not {"404", "HTTPStatus.NOT_FOUND"}.isdisjoint(map(ast.unparse, choices)):
            found[file] = found.get(file, 0) + 1
    assert found == ANSWERS_404_IN


def test_type_checker_refuses_what_is_said_without_a_proof() -> None:
    command = [sys.executable, "-m", "mypy", "--strict", "--no-error-summary", str(NEGATIVE_FILE)]
    printed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False).stdout
    refused = {
        int(line.split(":")[1])
        for line in printed.splitlines()
        if "typing_absence.py:" in line and ": error: " in line
    }
    lines = NEGATIVE_FILE.read_text().splitlines()
    expected = {number for number, line in enumerate(lines, 1) if line.endswith(EXPECTED_ERROR)}
    assert refused == expected and len(expected) > 10


def absent_key(body: bytes) -> AbsentKey:
    limits = StateLimits(10.0, 10.0, 4.0, 8)
    client: Any = None
    store = StateClient(Address("127.0.0.1", 1), limits, 1, client)
    return store._absent_key(Key("jobs/past/x"), Response(404, body), "get")


@pytest.mark.parametrize("body", [b"", b"\x80", b"not found", wire.encode({"generation": "x"})])
def test_404_that_the_state_service_did_not_send_proves_nothing(body: bytes) -> None:
    with pytest.raises(UnexpectedStatusError):
        absent_key(body)


def test_404_of_the_state_service_names_its_revision() -> None:
    assert absent_key(wire.encode({"generation": 431})) == AbsentKey(
        Key("jobs/past/x"), Revision(431)
    )


@pytest.mark.parametrize(
    ("what", "body"),
    [
        ("poll", None),
        ("cancel", None),
        ("submit", {"uid": JOB_ID}),
        ("submit", job_spec(JOB_ID, cores=1e6)),
        ("submit", job_spec(JOB_ID, waits_on=["req-000777"])),
    ],
)
def test_answer_whose_proof_is_older_than_the_request_is_withheld(
    what: str, body: dict[str, Any] | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    lines = Lines()
    monkeypatch.setattr(rejection_log, "log", lines)
    with SimulatedJobApis().running() as apis:
        apis.ask(what, JOB_ID, "k0", body)
        apis.run(1.0)
        (first,) = apis.answers
        assert first[3] in (400, 404, 422)
        apis.answers.clear()
        lines.take()

        async def no_refresh(*_: object, **__: object) -> None:
            """The safeguard taken out: the latest refresh counts, whenever it was sent."""

        monkeypatch.setattr(JobStateCache, "_request_refresh", no_refresh)
        monkeypatch.setattr("umberward.control.job_state_cache.MAX_STALENESS_S", 1e9)
        apis.ask(what, JOB_ID, "k0", body)
        apis.run(1.0)
        (second,) = apis.answers
        assert second[3] == 503
        (violation,) = lines.of("invariant_violated")
        assert violation["invariant"] == UNPROVED_ABSENCE and violation["too_old_s"] > 0.0
        assert apis.controllers["k0"].job_api.rejections.counts[UNPROVED_ABSENCE] == 1
