"""Logs when a peer starts, stops answering or answers again, which build it runs, and mixed builds.

The log of a controller that has ended may be lost, so its peers log this when it happens. Nothing
is decided by what is observed here.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

import cbor2
import curio

from umberward.control.fault_watch import CHECK_INTERVAL_S
from umberward.control.known_fault_history import KnownFaultHistory
from umberward.control.known_fault_log import KnownFaultLog
from umberward.control.newest_token import NewestToken
from umberward.control.peer_contacts import PEER_TIMEOUT_S
from umberward.control.peer_messages import (
    FAULT_SIGHTINGS_FIELD,
    STATUS_PATH,
    TOKEN_FIELD,
    WATCHED_FIELD,
)
from umberward.core.build_identity import parse_build
from umberward.core.log import logger
from umberward.core.rate_limited_log import RateLimitedLog
from umberward.core.types import Address
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError

log = logger(__name__)

# A peer has been started anew if its start, by its uptime, is later by more than this. Up to
# PEER_TIMEOUT_S can come from the time that a response takes.
RESTART_TOLERANCE_S = 1.0
INVALID_STATUS_LINES_PER_S = 1
NOT_HEARD = "not_heard"  # in place of the build of a peer that has never answered


class InvalidStatusError(ValueError):
    """The status of a peer is not a CBOR map."""


class PeerProcess(NamedTuple):
    """What a peer says of its process; `uptime_s` is None for versions that do not say it.

    `status_fields` are the names of all fields of its status. `fault_sightings` and `watched_s` are
    what it reports of peers with a known fault, and `newest_token` is the token with which it
    leads; all three are in any form.
    """

    build: str
    uptime_s: float | None
    status_fields: frozenset[object]
    fault_sightings: object = None
    watched_s: object = None
    newest_token: object = None

    @classmethod
    def decode(cls, body: bytes) -> PeerProcess:
        """Decode a status; fields that are missing or invalid are not known.

        Raises InvalidStatusError.
        """
        try:
            status = cbor2.loads(body)
        except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
            raise InvalidStatusError(str(error)) from None
        if not isinstance(status, dict):
            raise InvalidStatusError(type(status).__name__)
        uptime_s = status.get("uptime")
        is_duration = isinstance(uptime_s, float) and math.isfinite(uptime_s) and uptime_s >= 0.0
        return cls(
            parse_build(status.get("build")),
            uptime_s if is_duration else None,
            frozenset(status),
            status.get(FAULT_SIGHTINGS_FIELD),
            status.get(WATCHED_FIELD),
            status.get(TOKEN_FIELD),
        )


@dataclass
class ObservedPeer:
    """A peer that has answered; times are by this controller's monotonic clock, in seconds."""

    build: str
    started_at: float | None  # None: not known
    silent_since: float | None = None  # None: its last answer came in time


class PeerMonitor:
    """Requests the status of each peer periodically, and logs changes."""

    def __init__(
        self,
        name: str,
        build: Callable[[], str],
        addresses: Mapping[str, Address],
        client: Client,
        clock: Callable[[], float],
        known_faults: KnownFaultLog,
    ) -> None:
        """`name` and `build`: of this controller; `clock`: monotonic, in seconds."""
        self.name = name
        self.build = build
        self.addresses = addresses
        self.client = client
        self.clock = clock
        self.known_faults = known_faults
        self.fault_history = KnownFaultHistory([name, *addresses], clock)
        self.newest_token = NewestToken()
        self.peers: dict[str, ObservedPeer] = {}
        self.logged_builds: dict[str, str] = {}
        self.invalid_status_log = RateLimitedLog(log, INVALID_STATUS_LINES_PER_S, clock)

    async def run(self) -> None:
        """Observe all peers until cancelled."""
        async with curio.TaskGroup() as group:
            for peer in self.addresses:
                await group.spawn(self._observe, peer)

    async def _observe(self, peer: str) -> None:
        while True:
            await self.check(peer)
            await curio.sleep(CHECK_INTERVAL_S)

    async def check(self, peer: str) -> None:
        """Request the status of a peer once, and log what has changed."""
        sent_at = self.clock()
        try:
            response = await self.client.request(
                self.addresses[peer], "GET", STATUS_PATH, b"", PEER_TIMEOUT_S
            )
            process = PeerProcess.decode(response.body)
        except (RequestNotSentError, NoResponseError):
            self._note_silence(peer)
        except InvalidStatusError as error:
            self.invalid_status_log.info("peer_status_invalid", peer=peer, error=error)
        else:
            received_at = self.clock()
            if received_at - sent_at <= PEER_TIMEOUT_S:  # otherwise either process was paused
                self._note_answer(peer, process)
                self.fault_history.note_seen(peer, self.known_faults.faults_of(peer))
                self.fault_history.merge(
                    process.fault_sightings, process.watched_s, sent_at, received_at
                )
                self.newest_token.note(process.newest_token, sent_at)
                self._log_builds()

    def _note_silence(self, peer: str) -> None:
        observed = self.peers.get(peer)
        if observed is not None and observed.silent_since is None:
            observed.silent_since = self.clock()
            log.info("peer_unreachable", peer=peer, build=observed.build)

    def _note_answer(self, peer: str, process: PeerProcess) -> None:
        now = self.clock()
        started_at = None if process.uptime_s is None else now - process.uptime_s
        former = self.peers.get(peer)
        self.peers[peer] = ObservedPeer(process.build, started_at)
        if former is None or _is_restarted(former, self.peers[peer]):
            log.info(
                "peer_started",
                peer=peer,
                build=process.build,
                uptime_s=None if process.uptime_s is None else round(process.uptime_s, 3),
                first_answer=former is None,
            )
            self.known_faults.note_start(peer, process.build, process.status_fields)
        elif former.silent_since is not None:
            # A version that does not say its uptime may have been restarted in the meantime.
            log.info(
                "peer_reachable",
                peer=peer,
                build=process.build,
                silent_s=round(now - former.silent_since, 3),
                same_process=None if started_at is None else True,
            )
            if started_at is None:
                self.known_faults.note_start(peer, process.build, process.status_fields)

    def builds(self) -> dict[str, str]:
        """The build of each controller as last heard, by name; NOT_HEARD if it never answered."""
        builds = {self.name: self.build()}
        for peer in self.addresses:
            observed = self.peers.get(peer)
            builds[peer] = NOT_HEARD if observed is None else observed.build
        return builds

    def _log_builds(self) -> None:
        builds = self.builds()
        if builds == self.logged_builds:
            return
        self.logged_builds = builds
        text = ",".join(f"{name}:{build}" for name, build in sorted(builds.items()))
        heard = set(builds.values()) - {NOT_HEARD}
        log.info(
            "peer_builds",
            mixed=len(heard) > 1,
            peers_with_known_faults=self.known_faults.affected_peers,
            builds=text,
        )


def _is_restarted(former: ObservedPeer, latest: ObservedPeer) -> bool:
    """Whether the peer certainly runs another process than before."""
    if former.build != latest.build:
        return True
    if former.started_at is None or latest.started_at is None:
        return False
    return latest.started_at - former.started_at > RESTART_TOLERANCE_S
