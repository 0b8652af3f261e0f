"""A 404 to a job that a peer knows is one line at both controllers."""

from __future__ import annotations

from typing import Any

import curio
import pytest
from log_lines import Lines

from umberward.control import unknown_jobs
from umberward.control.unknown_jobs import (
    MAX_JOBS_PER_MESSAGE,
    UnknownJobReporter,
    WrongAnswerCallbacks,
)
from umberward.core.types import Address, JobId
from umberward.protocol.http import RequestNotSentError, Response

KNOWN, UNKNOWN = JobId("req-000001"), JobId("req-000002")
BUILD = "0.5.0+b"


class Peers:
    """Passes messages on to the reporters of peers, by address; counts them."""

    def __init__(self) -> None:
        self.reporters: dict[Address, UnknownJobReporter] = {}
        self.sent = 0
        self.wrong: list[str] = []  # controllers that called a job unknown that a peer knows
        self.wrongly_unknown: list[str] = []  # such jobs, as told to these controllers
        self.callbacks = WrongAnswerCallbacks(self.wrong.append, self.wrongly_unknown.append)

    async def request(self, address: Address, _: str, __: str, body: bytes, *___: Any) -> Response:
        self.sent += 1
        if address not in self.reporters:
            raise RequestNotSentError("refused")
        return self.reporters[address].receive(body)


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> Lines:
    collected = Lines()
    monkeypatch.setattr(unknown_jobs, "log", collected)
    return collected


def report_to_peers(jobs: list[JobId], known_to_peer: dict[JobId, str], peers: Peers) -> None:
    """A controller calls the jobs unknown; of its two peers one is down."""
    addresses = {"k1": Address("127.0.0.1", 11), "k2": Address("127.0.0.1", 12)}
    client: Any = peers
    reporter = UnknownJobReporter(
        "k0", lambda: BUILD, addresses, client, lambda _: None, peers.callbacks
    )
    peers.reporters[addresses["k1"]] = UnknownJobReporter(
        "k1", lambda: "other", {}, client, known_to_peer.get, peers.callbacks
    )

    async def run() -> None:
        task = await curio.spawn(reporter.run)
        for job in jobs:
            reporter.report(job)
        await curio.sleep(3 * unknown_jobs.SEND_INTERVAL_S)
        await task.cancel()

    curio.run(run)


def test_both_logs_name_a_job_that_one_called_unknown_and_the_other_knows(lines: Lines) -> None:
    peers = Peers()
    report_to_peers([UNKNOWN, KNOWN], {KNOWN: "cancelled"}, peers)
    assert peers.wrong == ["k0"] and peers.wrongly_unknown == [KNOWN]
    about = {"job": KNOWN, "phase": "cancelled"}
    assert lines.of("peer_called_job_unknown") == [
        {"event": "peer_called_job_unknown", "peer": "k0", "build": BUILD, **about}
    ]
    assert lines.of("unknown_job_known_to_peer") == [
        {"event": "unknown_job_known_to_peer", "peer": "k1", **about}
    ]


def test_a_job_that_no_peer_knows_is_told_once_and_not_logged(lines: Lines) -> None:
    peers = Peers()
    report_to_peers([UNKNOWN, UNKNOWN], {}, peers)
    assert peers.sent == 2  # one for each peer
    assert peers.wrong == [] and peers.wrongly_unknown == []
    assert not lines.of("peer_called_job_unknown") and not lines.of("unknown_job_known_to_peer")


def test_a_flood_of_unknown_jobs_is_one_bounded_message(lines: Lines) -> None:
    jobs = [JobId(f"req-{number:06d}") for number in range(5 * MAX_JOBS_PER_MESSAGE)]
    peers = Peers()
    report_to_peers(jobs, dict.fromkeys(jobs, "done"), peers)
    told = {line["job"] for line in lines.of("peer_called_job_unknown")}
    assert peers.sent == 2 and told <= set(jobs[:MAX_JOBS_PER_MESSAGE])


@pytest.mark.parametrize("body", [b"", b"\xa0", b"\xa1ejobs\x07", b"\xff"])
def test_a_malformed_message_is_refused(body: bytes) -> None:
    peers = Peers()
    client: Any = peers
    reporter = UnknownJobReporter(
        "k1", lambda: BUILD, {}, client, lambda _: "done", peers.callbacks
    )
    assert reporter.receive(body).status == 400 and peers.wrong == []
