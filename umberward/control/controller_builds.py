"""Stores which build this controller runs, and reads those of all controllers.

Each controller stores its build in its record under CONTROLLER_KEY_PREFIX when it starts, and again
when it is elected. Versions before 0.5 store none.
"""

from __future__ import annotations

from collections.abc import Iterable

import curio

from umberward.clients import state_client
from umberward.clients.state_client import StateClient
from umberward.control.known_fault_log import KnownFaultLog
from umberward.core.build_identity import UNKNOWN_BUILD, parse_build
from umberward.core.log import logger
from umberward.leader.leader_election import CONTROLLER_KEY_PREFIX, LeaderElection
from umberward.protocol import transactions, wire

log = logger(__name__)

STORE_RETRY_S = 5.0
READ_INTERVAL_S = 30.0  # between two reads of a leader


def builds_by_controller(
    entries: Iterable[wire.KeyValue], controllers: Iterable[str]
) -> dict[str, str]:
    """The build of each controller, by name, from the controllers' stored records.

    UNKNOWN_BUILD for a controller without a record or with an invalid build in it.
    """
    builds = dict.fromkeys(sorted(controllers), UNKNOWN_BUILD)
    for entry in entries:
        name = entry.key.removeprefix(CONTROLLER_KEY_PREFIX)
        if name in builds and isinstance(entry.data, dict):
            builds[name] = parse_build(entry.data.get("build"))
    return builds


class ControllerBuilds:
    """Stores the build of this controller; while it leads, logs the builds of all controllers."""

    def __init__(
        self,
        election: LeaderElection,
        store: StateClient,
        controllers: Iterable[str],
        known_faults: KnownFaultLog,
    ) -> None:
        """`controllers`: the names of all controllers."""
        self.election = election
        self.store = store
        self.controllers = list(controllers)
        self.known_faults = known_faults
        self.logged_builds: dict[str, str] = {}

    async def run(self) -> None:
        """Store the build once, then log all builds when they change, until cancelled."""
        await self._store_own_build()
        while True:
            await curio.sleep(READ_INTERVAL_S)
            if self.election.is_leader():
                await self._log_if_changed()

    async def _store_own_build(self) -> None:
        while True:
            record = self.election.controller_record()
            try:
                await self.store.commit(
                    [],
                    [transactions.put(self.election.record_key, record)],
                    priority=transactions.BACKGROUND,
                )
            except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
                log.debug("build_not_stored", error=error)
                await curio.sleep(STORE_RETRY_S)
            else:
                return

    async def _log_if_changed(self) -> None:
        try:
            page = await self.store.list_page(
                CONTROLLER_KEY_PREFIX, priority=transactions.BACKGROUND
            )
        except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
            log.debug("builds_not_read", error=error)
            return
        builds = builds_by_controller(page.entries, self.controllers)
        if builds != self.logged_builds:
            self.logged_builds = builds
            text = ",".join(f"{name}:{build}" for name, build in builds.items())
            log.info("controller_builds", mixed=len(set(builds.values())) > 1, builds=text)
            self.known_faults.note_stored_builds(builds)
