"""Compares the stored live jobs with those known to the scheduler, one page at a time.

Normally the watch of the jobs keeps the scheduler up to date. The sweep is a safety net: whatever
has failed, an accepted job must not stay live in the state service while no leader knows it.
"""

from __future__ import annotations

import curio

from umberward.clients import state_client
from umberward.core.log import logger
from umberward.core.types import Key
from umberward.leader.leader_context import LeaderContext
from umberward.leader.messages import LiveJobsPageRead, UnknownJobRead
from umberward.protocol import transactions
from umberward.protocol.transactions import AbsentKey
from umberward.protocol.wire import LIVE_JOBS_PREFIX

log = logger(__name__)

SWEEP_INTERVAL_S = 2.0  # between two pages
SWEEP_PAGE_SIZE = 50  # jobs


class LiveJobSweeper:
    """Repeatedly reads all live jobs and reports those unknown to the scheduler."""

    def __init__(self, context: LeaderContext) -> None:
        """Create a sweeper that starts with the first live job."""
        self.context = context
        self._last_key = ""  # of the previous page; empty: start over

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await curio.sleep(SWEEP_INTERVAL_S)
            if not self.context.is_loaded_leader():
                continue
            try:
                await self._sweep_page()
            except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
                log.debug("live_job_sweep_failed", error=error)

    async def _sweep_page(self) -> None:
        store, leader_loop = self.context.store, self.context.leader_loop
        page = await store.list_page(
            LIVE_JOBS_PREFIX, self._last_key, SWEEP_PAGE_SIZE, transactions.BACKGROUND
        )
        self._last_key = page.entries[-1].key if page.more and page.entries else ""
        for job_id in await leader_loop.ask(LiveJobsPageRead(page.entries)) or ():
            # The page may be outdated by now, so read the record again.
            stored = await store.get(Key(LIVE_JOBS_PREFIX + job_id))
            if not isinstance(stored, AbsentKey):
                await leader_loop.tell(UnknownJobRead(job_id, stored))
