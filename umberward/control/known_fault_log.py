"""Warns of peers whose build has a known fault, since such a build can't log that itself.

Nothing is decided by these lines, and no request is sent for them.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from umberward.core.build_identity import UNKNOWN_BUILD
from umberward.core.known_faults import FaultMatch, find_faults
from umberward.core.log import logger

log = logger(__name__)

STARTED = "peer_started"
STORED = "build_stored"
CALLED_JOB_UNKNOWN = "peer_called_job_unknown"


class KnownFaultLog:
    """Logs each fault of a peer's build once a start, and once more if it shows in an answer."""

    def __init__(self, peers: Iterable[str]) -> None:
        """`peers`: the names of the other controllers; what others claim to be is ignored."""
        self.peers = frozenset(peers)
        self._heard_builds: dict[str, str] = {}
        self._faults: dict[str, list[FaultMatch]] = {}
        self._logged: set[tuple[str, str]] = set()  # peer and occasion, since its latest start

    @property
    def affected_peers(self) -> int:
        """How many peers run a build that has, or may have, a known fault."""
        return sum(map(bool, self._faults.values()))

    def faults_of(self, peer: str) -> list[str]:
        """The names of the faults that the peer's build has, or may have."""
        return [match.fault.name for match in self._faults.get(peer, ())]

    def note_start(self, peer: str, build: str, status_fields: Collection[object]) -> None:
        """A peer has started, or may have, and says its build or none in its status."""
        if peer not in self.peers:
            return
        self._heard_builds[peer] = build
        self._faults[peer] = find_faults(build, status_fields)
        self._logged = {(name, occasion) for name, occasion in self._logged if name != peer}
        self._warn(peer, build, STARTED)

    def note_stored_builds(self, builds: Mapping[str, str]) -> None:
        """The builds that all controllers stored; for peers that have not been heard.

        A peer's own answer is newer, and tells more about a version that stores no build.
        """
        for peer, build in builds.items():
            if peer not in self.peers or peer in self._heard_builds:
                continue
            self._faults[peer] = find_faults(build)
            self._warn(peer, build, STORED)

    def note_wrong_answer(self, peer: str) -> None:
        """A peer has called a job unknown that this controller knows."""
        self._warn(peer, self._heard_builds.get(peer, UNKNOWN_BUILD), CALLED_JOB_UNKNOWN)

    def _warn(self, peer: str, build: str, occasion: str) -> None:
        if (peer, occasion) in self._logged:
            return
        for match in self._faults.get(peer, ()):
            self._logged.add((peer, occasion))
            log.warning(
                "peer_build_has_known_fault",
                peer=peer,
                build=build,
                occasion=occasion,
                fault=match.fault.name,
                symptom=match.fault.symptom,
                mended_in=match.fault.mended_in,
                unless=match.unless,
                page=match.fault.page,
            )
