"""A line with the state of this controller, often enough that any excerpt of its log has one.

It names the builds, the leader with its token, how old that knowledge is, and the peers with a
known fault, so that an incident can be understood from the few lines of a log that were kept.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import NamedTuple

import curio

from umberward.control.job_state_cache import JobStateCache
from umberward.control.peer_monitor import PeerMonitor
from umberward.control.rejection_log import RejectionLog
from umberward.core.grouped_log import GroupedLog
from umberward.core.log import library_records, logger, observe_lines
from umberward.core.log_clock import LogClock
from umberward.leader.leader_election import LeaderElection

log = logger(__name__)

INTERVAL_S = 10.0
MAX_LINES_BETWEEN = 10  # of other events
MAX_NAMED_CONTROLLERS = 8  # in the list of builds
AGE_DIGITS = 1  # decimal places of ages in seconds
NONE = "none"  # an empty list


class ControllerParts(NamedTuple):
    """The parts of a controller whose state is logged."""

    election: LeaderElection
    job_states: JobStateCache
    rejections: RejectionLog
    peer_monitor: PeerMonitor


class ControllerStateLog:
    """Writes `controller_state` INTERVAL_S, or MAX_LINES_BETWEEN other lines, after the last."""

    def __init__(self, parts: ControllerParts, clock: Callable[[], float]) -> None:
        """`clock`: monotonic, in seconds; the process is assumed to start now."""
        self.parts = parts
        self.clock = clock
        self.log_clock = LogClock(clock)
        self.started_at = clock()
        self.written_at = -math.inf
        self.lines_since = 0

    async def run(self) -> None:
        """Write the line until cancelled."""
        with observe_lines(self.note_line):
            while True:
                remaining_s = self.written_at + INTERVAL_S - self.clock()
                if remaining_s > 0.0:
                    await curio.sleep(remaining_s)
                else:
                    GroupedLog.flush_due()
                    self.write()

    def note_line(self) -> None:
        """A line of any event has been written."""
        self.lines_since += 1
        if self.lines_since > MAX_LINES_BETWEEN:
            self.write()

    def write(self) -> None:
        """Write the line; it counts as none between two of its kind."""
        self.lines_since = -1
        self.written_at = self.clock()
        log.info("controller_state", **self.fields())

    def fields(self) -> dict[str, object]:
        """The fields of the line. Ages are in seconds before it; None: never, or not known."""
        election, job_states = self.parts.election, self.parts.job_states
        faults = self.parts.peer_monitor.fault_history
        token, token_known_at = self._newest_token()
        watched_from = faults.watched_from()
        return {
            "time": self.log_clock.now(),
            "build": election.build,
            "uptime_s": self._age_s(self.started_at),
            "leader": election.leader,
            "term": None if election.leader is None else election.term,
            "leader_read_s": self._age_s(election.leader_known_at()),
            "token": token,
            "token_read_s": self._age_s(token_known_at),
            "refreshed_s": self._age_s(job_states.refresh_sent_at or None),
            "listed_s": self._age_s(job_states.listed_at or None),
            "revision": job_states.watched_revision,
            "builds": describe_builds(self.parts.peer_monitor.builds()),
            "known_faults": faults.summary(self.log_clock) or NONE,
            "watched_from": None if watched_from is None else self.log_clock.time_of(watched_from),
            "rejected": self.parts.rejections.summary() or NONE,
            "library": ",".join(f"{name}:{many}" for name, many in library_records.items()) or NONE,
        }

    def _newest_token(self) -> tuple[int | None, float | None]:
        """The newest fencing token known, and when at the latest it was the leader's."""
        election, heard = self.parts.election, self.parts.peer_monitor.newest_token
        known_at = election.leader_known_at()
        if election.fencing_token is not None:
            return election.fencing_token, known_at
        if heard.known_at is not None and heard.token >= election.term:
            return heard.token, heard.known_at
        return election.term or None, known_at

    def _age_s(self, instant: float | None) -> float | None:
        return None if instant is None else round(self.clock() - instant, AGE_DIGITS)


def describe_builds(builds: Mapping[str, str]) -> str:
    """The controllers of each build, of at most MAX_NAMED_CONTROLLERS; how many more there are."""
    controllers: dict[str, list[str]] = {}
    for name in sorted(builds)[:MAX_NAMED_CONTROLLERS]:
        controllers.setdefault(builds[name], []).append(name)
    parts = [f"{build}:{','.join(names)}" for build, names in sorted(controllers.items())]
    more = len(builds) - MAX_NAMED_CONTROLLERS
    return ";".join([*parts, f"{more} more"] if more > 0 else parts)
