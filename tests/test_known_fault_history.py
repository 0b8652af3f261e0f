"""When a peer with a known fault was about is known to controllers that started after it ended."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import pytest

from umberward.control.fault_watch import CHECK_INTERVAL_S
from umberward.control.known_fault_history import (
    MAX_SIGHTINGS,
    MERGE_GAP_S,
    RETENTION_S,
    KnownFaultHistory,
)
from umberward.core.known_faults import KNOWN_FAULTS
from umberward.core.log_clock import LogClock

FAULT = KNOWN_FAULTS[0].name
NAMES = [f"k{number}" for number in range(20)]


class Clocked:
    """A history and its clock."""

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now
        self.history = KnownFaultHistory(NAMES, lambda: self.now)

    def see(self, peer: str, first_at: float, last_at: float) -> None:
        self.now = first_at
        while self.now <= last_at:
            self.history.note_seen(peer, [FAULT])
            self.now += 1.0
        self.now = last_at

    def spans(self) -> list[tuple[str, float, float]]:
        return [(found.peer, found.first_at, found.last_at) for found in self.history.recent()]

    def wire_reports(self) -> Any:
        return msgspec.to_builtins(self.history.reports())


def test_each_process_of_a_peer_is_a_span_of_its_own() -> None:
    clocked = Clocked()
    clocked.see("k2", 1000.0, 1010.0)
    clocked.see("k2", 1013.0, 1030.0)
    clocked.now = 1100.0
    assert clocked.spans() == [("k2", 1000.0, 1010.0), ("k2", 1013.0, 1030.0)]
    expected = f"{FAULT}:k2@1000.0..1010.0,k2@1013.0..1030.0"
    log_clock = LogClock(lambda: clocked.now, lambda: clocked.now)
    assert clocked.history.summary(log_clock) == expected
    clocked.now += 100.0  # another line of the same log
    assert clocked.history.summary(log_clock) == expected


def test_a_controller_that_started_later_names_the_span_by_its_own_clock() -> None:
    former, later = Clocked(), Clocked(now=5.0)
    former.see("k2", 1000.0, 1010.0)
    former.now = 1060.0
    later.history.merge(former.wire_reports(), None, later.now, later.now)
    assert later.spans() == [("k2", 5.0 - 60.0, 5.0 - 50.0)]
    later.now += 40.0  # and tells a third one, itself included
    third = Clocked(now=77.0)
    third.history.merge(later.wire_reports(), None, third.now, third.now)
    assert third.spans() == [("k2", 77.0 - 100.0, 77.0 - 90.0)]


def test_a_span_does_not_grow_as_it_is_passed_around() -> None:
    one, other = Clocked(), Clocked()
    one.see("k2", 1000.0, 1010.0)
    for _ in range(300):
        for asked, asking in ((one, other), (other, one)):
            sent_at = asking.now
            one.now = other.now = sent_at + 0.4
            asking.history.merge(asked.wire_reports(), None, sent_at, asking.now)
    assert one.spans() == [("k2", 1000.0, 1010.0)]
    ((_, first_at, last_at),) = other.spans()
    assert first_at >= 1000.0 and last_at <= 1010.0


def test_a_span_is_the_same_in_each_line_though_peers_report_it_again_and_again() -> None:
    one, other = Clocked(), Clocked()
    one.see("k2", 1000.0, 1010.0)
    other.now = one.now
    log_clock = LogClock(lambda: other.now)
    summaries = set()
    for delay_s in (0.4, 0.3, 0.0, 0.2, 0.45):
        other.now += 2.0
        sent_at, one.now = other.now, other.now + delay_s / 2
        other.now += delay_s
        other.history.merge(one.wire_reports(), None, sent_at, other.now)
        summaries.add(other.history.summary(log_clock))
    assert len(summaries) == 1
    ((_, first_at, last_at),) = other.spans()
    assert 1000.0 <= first_at <= 1000.5 and 1009.5 <= last_at <= 1010.0


def test_absence_of_sightings_rests_on_the_time_since_all_would_be_known() -> None:
    one, other = Clocked(), Clocked()
    assert one.history.watched_from() is None  # no peer has answered yet
    for watcher, until in ((one, 1100.0), (other, 1003.0)):
        while watcher.now < until:
            watcher.history.merge([], None, watcher.now, watcher.now)
            watcher.now += CHECK_INTERVAL_S
    assert one.history.watched_from() == other.history.watched_from() == 1000.0
    other.now = 1100.0
    assert other.history.watched_from() is None  # nothing was heard for too long
    other.history.merge([], None, other.now, other.now)
    assert other.history.watched_from() == 1100.0
    other.history.merge([], one.history.watch.watched_s(), other.now - 0.1, other.now)
    assert other.history.watched_from() == 1000.0  # the other one has watched in the meantime
    for bad in (True, -1.0, math.nan, "9", math.inf):
        other.history.merge([], bad, other.now, other.now)
    assert other.history.watched_from() == 1000.0
    other.history.merge([], 9.0 * RETENTION_S, other.now, other.now)
    assert other.history.watched_from() == 1100.0 - RETENTION_S
    other.see("k3", 1101.0, 1101.0)
    for number in range(MAX_SIGHTINGS):
        other.see(f"k{number + 4}", 1102.0, 1102.0)  # the sighting of k3 is dropped for these
    other.history.merge([], None, other.now, other.now)
    assert other.history.watched_from() == 1101.0


def test_spans_end_and_their_number_is_bounded() -> None:
    clocked = Clocked()
    for number in range(MAX_SIGHTINGS + 3):
        clocked.see(f"k{number}", 1000.0 + number, 1000.0 + number)
    assert [peer for peer, _, _ in clocked.spans()] == NAMES[3 : MAX_SIGHTINGS + 3]
    clocked.now += RETENTION_S - 0.5
    assert len(clocked.spans()) == 1
    clocked.now += 1.0
    assert clocked.spans() == [] and clocked.history.summary(LogClock(lambda: 0.0)) == ""


BAD_REPORTS: list[Any] = [
    None,
    7,
    "text",
    [7],
    [["k2", FAULT]],
    [["k2", FAULT, "1", 0.0]],
    [["stranger", FAULT, 1.0, 0.0]],
    [["k2", "no such fault", 1.0, 0.0]],
    [["k2", FAULT, 1.0, 2.0]],
    [["k2", FAULT, 1.0, -1.0]],
    [["k2", FAULT, math.inf, 0.0]],
    [["k2", FAULT, math.nan, 0.0]],
    [["k2", FAULT, RETENTION_S + 9.0, RETENTION_S + 1.0]],
]


@pytest.mark.parametrize("reports", BAD_REPORTS)
def test_bad_reports_of_a_peer_are_ignored(reports: Any) -> None:
    clocked = Clocked()
    clocked.history.merge(reports, None, clocked.now, clocked.now)
    assert clocked.spans() == []


def test_sightings_of_two_controllers_are_one_span_up_to_the_gap() -> None:
    clocked = Clocked()
    clocked.see("k2", 1000.0, 1010.0)
    clocked.now = 1010.0 + MERGE_GAP_S
    clocked.history.merge([["k2", FAULT, 0.0, 0.0]], None, clocked.now, clocked.now)
    assert clocked.spans() == [("k2", 1000.0, 1010.0 + MERGE_GAP_S)]
    clocked.now += MERGE_GAP_S + 0.1
    clocked.history.merge([["k2", FAULT, 0.0, 0.0]], None, clocked.now, clocked.now)
    assert len(clocked.spans()) == 2
