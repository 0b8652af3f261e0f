"""A line with the state of this controller, often enough that any excerpt of its log has one.

It names the builds, the leader with its token, how old that knowledge is, and the peers with a
known fault, so that an incident can be understood from the few lines of a log that were kept.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple

import curio

from umberward.control.job_state_cache import JobStateCache
from umberward.control.known_fault_history import KnownFaultHistory
from umberward.control.rejection_log import RejectionLog
from umberward.core.log import logger, observe_lines
from umberward.leader.leader_election import LeaderElection

log = logger(__name__)

INTERVAL_S = 10.0
MAX_LINES_BETWEEN = 10  # of other events
MAX_NAMED_CONTROLLERS = 8  # in the list of builds
AGE_DIGITS = 1  # decimal places of ages in seconds
NONE = "none"  # an empty list


class ControllerParts(NamedTuple):
    """The parts of a controller whose state is logged; `builds` returns all builds, by name."""

    election: LeaderElection
    job_states: JobStateCache
    rejections: RejectionLog
    builds: Callable[[], Mapping[str, str]]
    fault_history: KnownFaultHistory


class ControllerStateLog:
    """Writes `controller_state` every INTERVAL_S, and after MAX_LINES_BETWEEN other lines."""

    def __init__(self, parts: ControllerParts, clock: Callable[[], float]) -> None:
        """`clock`: monotonic, in seconds; the process is assumed to start now."""
        self.parts = parts
        self.clock = clock
        self.started_at = clock()
        self.lines_since = 0

    async def run(self) -> None:
        """Write the line until cancelled."""
        with observe_lines(self.note_line):
            while True:
                self.write()
                await curio.sleep(INTERVAL_S)

    def note_line(self) -> None:
        """A line of any event has been written."""
        self.lines_since += 1
        if self.lines_since > MAX_LINES_BETWEEN:
            self.write()

    def write(self) -> None:
        """Write the line; it counts as none between two of its kind."""
        self.lines_since = -1
        log.info("controller_state", **self.fields())

    def fields(self) -> dict[str, object]:
        """The fields of the line. Ages are in seconds before it; None: never."""
        election, job_states = self.parts.election, self.parts.job_states
        leads = election.fencing_token is not None
        refreshed_at = job_states.refresh_sent_at or None
        return {
            "build": election.build,
            "uptime_s": self._age_s(self.started_at),
            "leader": election.leader,
            "token": election.fencing_token if leads else election.leader_key_version,
            "leader_read_s": self._age_s(
                election.renewal_sent_at if leads else election.leader_read_at
            ),
            "refreshed_s": self._age_s(refreshed_at),
            "listed_s": self._age_s(job_states.listed_at or None),
            "revision": job_states.watched_revision,
            "builds": describe_builds(self.parts.builds()),
            "known_faults": self.parts.fault_history.summary() or NONE,
            "rejected": self.parts.rejections.summary() or NONE,
        }

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
