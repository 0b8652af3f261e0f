"""Peers whose build has a known fault are named where operators look; no bad input changes that."""

from __future__ import annotations

from typing import Any

import pytest
from log_lines import Lines

from umberward.control import known_fault_log
from umberward.control.known_fault_log import KnownFaultLog
from umberward.core.build_identity import UNKNOWN_BUILD, read_build
from umberward.core.known_faults import KNOWN_FAULTS, find_faults

LOOKUP_FAULT = KNOWN_FAULTS[0]
OLD_STATUS = frozenset({"label", "contact_age", "leader"})  # all that production's status has
LATER_STATUS = OLD_STATUS | {"heard_age"}


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> Lines:
    collected = Lines()
    monkeypatch.setattr(known_fault_log, "log", collected)
    return collected


def occasions(lines: Lines) -> list[tuple[str, str]]:
    return [(line["peer"], line["occasion"]) for line in lines.take()]


@pytest.mark.parametrize("build", ["0.1.0", "0.1.0+ab", "0.0.9", "0.1"])
def test_version_before_the_mend_certainly_has_the_fault(build: str) -> None:
    (match,) = find_faults(build)
    assert match.fault is LOOKUP_FAULT and match.certain and match.unless is None


@pytest.mark.parametrize("build", ["0.1.1", "0.1.1+ab", "0.3.0", "0.5.0.dev4+0", "1.0", "10.0.0"])
def test_version_since_the_mend_has_no_fault(build: str) -> None:
    assert find_faults(build) == []


def test_this_build_has_no_known_fault() -> None:
    assert find_faults(read_build()) == []


BAD_BUILDS: list[Any] = [
    UNKNOWN_BUILD,
    "",
    "x",
    "0",
    "0.x",
    "é.1.1",
    "0.1 .1",
    "9" * 65,
    "1" * 9,
    7,
]


@pytest.mark.parametrize("build", BAD_BUILDS)
def test_build_that_cannot_be_parsed_counts_as_unknown(build: Any) -> None:
    (match,) = find_faults(build)
    assert not match.certain and match.unless == "0.1.1 or later"
    assert find_faults(build, LATER_STATUS) == []


def test_fault_is_logged_once_a_start_and_peer(lines: Lines) -> None:
    log = KnownFaultLog(["k1", "k2"])
    log.note_start("k1", UNKNOWN_BUILD, OLD_STATUS)
    log.note_stored_builds({"k0": "0.5", "k1": UNKNOWN_BUILD, "k2": "0.5.0"})
    (line,) = lines.take()
    assert line == {
        "event": "peer_build_has_known_fault",
        "peer": "k1",
        "build": UNKNOWN_BUILD,
        "occasion": "peer_started",
        "fault": LOOKUP_FAULT.name,
        "symptom": LOOKUP_FAULT.symptom,
        "mended_in": "0.1.1",
        "unless": "0.1.1 or later",
        "page": LOOKUP_FAULT.page,
    }
    log.note_start("k1", "0.1.0", OLD_STATUS)
    (line,) = lines.take()
    assert (line["build"], line["unless"]) == ("0.1.0", None)
    assert log.affected_peers == 1
    log.note_start("k1", "0.5.0", LATER_STATUS)
    assert occasions(lines) == [] and log.affected_peers == 0


def test_wrong_answer_of_a_faulty_build_is_named_once(lines: Lines) -> None:
    log = KnownFaultLog(["k1", "k2"])
    log.note_start("k1", "0.1.0", OLD_STATUS)
    log.note_start("k2", "0.5.0", LATER_STATUS)
    for peer in ("k1", "k2", "k1", "stranger"):
        log.note_wrong_answer(peer)
    assert occasions(lines) == [("k1", "peer_started"), ("k1", "peer_called_job_unknown")]


def test_stored_builds_are_used_only_for_peers_that_have_not_been_heard(lines: Lines) -> None:
    log = KnownFaultLog(["k1", "k2"])
    log.note_start("k1", "0.5.0", LATER_STATUS)
    for _ in range(2):
        log.note_stored_builds({"k0": UNKNOWN_BUILD, "k1": UNKNOWN_BUILD, "k2": UNKNOWN_BUILD})
    assert occasions(lines) == [("k2", "build_stored")] and log.affected_peers == 1


def test_names_that_are_no_peers_take_no_memory(lines: Lines) -> None:
    log = KnownFaultLog(["k1"])
    for number in range(100):
        log.note_start(f"stranger-{number}", UNKNOWN_BUILD, OLD_STATUS)
        log.note_wrong_answer(f"stranger-{number}")
    assert occasions(lines) == [] and log.affected_peers == 0
