"""When peers with a known fault were seen, as this controller and its peers have observed it.

A process with a known fault may have ended before an incident is noticed, and so may those that saw
it. Each controller therefore passes on what it has seen or been told. Nothing is decided by it.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from umberward.control.fault_watch import STATUS_TIMEOUT_S, FaultWatch
from umberward.core.known_faults import KNOWN_FAULTS
from umberward.core.log_clock import LogClock

RETENTION_S = 600.0  # from the last sighting
MAX_SIGHTINGS = 8  # those seen last are kept
# Sightings of a peer count as one if no more than this lies between them: the interval of the
# monitor's requests and their timeout. A restart takes longer.
MERGE_GAP_S = 2.5

FAULT_NAMES = frozenset(fault.name for fault in KNOWN_FAULTS)


class FaultSighting(NamedTuple):
    """A peer that ran a build with a fault; times are by this controller's monotonic clock."""

    peer: str
    fault: str
    first_at: float
    last_at: float


class SightingReport(NamedTuple):
    """A sighting as told to a peer, with ages in seconds; an array on the wire."""

    peer: str
    fault: str
    first_age_s: float
    last_age_s: float


class KnownFaultHistory:
    """The sightings of the last RETENTION_S, at most MAX_SIGHTINGS."""

    def __init__(self, controllers: Iterable[str], clock: Callable[[], float]) -> None:
        """`controllers`: all names, others are ignored; `clock`: monotonic, in seconds."""
        self.controllers = frozenset(controllers)
        self.clock = clock
        self.watch = FaultWatch(clock)
        self._sightings: list[FaultSighting] = []  # the one seen last comes last

    def note_seen(self, peer: str, faults: Iterable[str]) -> None:
        """A peer has just answered, and its build has, or may have, these faults."""
        now = self.clock()
        for fault in faults:
            self._add(FaultSighting(peer, fault, now, now))

    def merge(self, reports: object, watched_s: object, sent_at: float, received_at: float) -> None:
        """Add what a peer reports in an answer to a request of `sent_at`; bad reports are ignored.

        Each interval is taken at its shortest, so that it does not grow as it is passed around.
        `watched_s`: how long the peer has watched without a gap, if it says so.
        """
        self.watch.note_contact()
        self.watch.note_told(watched_s, received_at)
        if not isinstance(reports, list):
            return
        for item in reports[:MAX_SIGHTINGS]:
            report = _decode_report(item)
            if report is None or report.last_age_s > RETENTION_S:
                continue
            first_at = received_at - report.first_age_s
            last_at = max(first_at, sent_at - report.last_age_s)
            added = FaultSighting(report.peer, report.fault, first_at, last_at)
            self._add(self._ignoring_small_differences(added))

    def watched_from(self) -> float | None:
        """Since when every sighting would be known here, up to RETENTION_S; None: not now."""
        since = self.watch.since()
        return None if since is None else max(since, self.clock() - RETENTION_S)

    def recent(self) -> list[FaultSighting]:
        """The sightings of the last RETENTION_S, the one seen last at the end."""
        oldest = self.clock() - RETENTION_S
        self._sightings = [sighting for sighting in self._sightings if sighting.last_at >= oldest]
        return list(self._sightings)

    def reports(self) -> list[SightingReport]:
        """The recent sightings, for a peer."""
        now = self.clock()
        return [
            SightingReport(
                sighting.peer, sighting.fault, now - sighting.first_at, now - sighting.last_at
            )
            for sighting in self.recent()
        ]

    def summary(self, log_clock: LogClock) -> str:
        """The recent sightings for a log line: each peer with its times, by fault."""
        spans: dict[str, list[str]] = {}
        for sighting in self.recent():
            first, last = log_clock.time_of(sighting.first_at), log_clock.time_of(sighting.last_at)
            spans.setdefault(sighting.fault, []).append(f"{sighting.peer}@{first}..{last}")
        return ";".join(f"{fault}:{','.join(found)}" for fault, found in spans.items())

    def _ignoring_small_differences(self, added: FaultSighting) -> FaultSighting:
        """The sighting, with the known times where they differ by what an answer may take."""
        for other in self._sightings:
            if _is_same(other, added):
                if abs(added.first_at - other.first_at) <= STATUS_TIMEOUT_S:
                    added = added._replace(first_at=other.first_at)
                if abs(added.last_at - other.last_at) <= STATUS_TIMEOUT_S:
                    added = added._replace(last_at=other.last_at)
        return added

    def _add(self, added: FaultSighting) -> None:
        if added.peer not in self.controllers or added.fault not in FAULT_NAMES:
            return
        apart = []
        for other in self._sightings:
            if _is_same(other, added):
                added = added._replace(
                    first_at=min(added.first_at, other.first_at),
                    last_at=max(added.last_at, other.last_at),
                )
            else:
                apart.append(other)
        latest_last = sorted([*apart, added], key=lambda sighting: sighting.last_at)
        for dropped in latest_last[:-MAX_SIGHTINGS]:
            self.watch.note_forgotten(dropped.last_at)
        self._sightings = latest_last[-MAX_SIGHTINGS:]


def _is_same(one: FaultSighting, other: FaultSighting) -> bool:
    """Whether both may be the same process, seen without a longer gap."""
    if (one.peer, one.fault) != (other.peer, other.fault):
        return False
    gap_s = max(one.first_at, other.first_at) - min(one.last_at, other.last_at)
    return gap_s <= MERGE_GAP_S


def _decode_report(item: object) -> SightingReport | None:
    try:
        report = msgspec.convert(item, SightingReport)
    except msgspec.ValidationError:
        return None
    ages_are_valid = 0.0 <= report.last_age_s <= report.first_age_s < math.inf
    return report if ages_are_valid else None
