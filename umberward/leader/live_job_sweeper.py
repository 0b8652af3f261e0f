"""Compares the stored live jobs with those that the scheduler knows, a page at a time.

The watch of the jobs keeps the scheduler complete. The sweep is a second line of defence: an
accepted job must not stay live in the state service while no leader knows it, whatever has failed.
"""

from __future__ import annotations

import curio

from umberward.clients import state_client
from umberward.core.log import logger
from umberward.core.types import Key
from umberward.leader.leader_context import LeaderContext
from umberward.leader.messages import LiveJobsPageRead, UnknownJobRead
from umberward.protocol import transactions
from umberward.protocol.wire import LIVE_JOBS_PREFIX

log = logger(__name__)

SWEEP_INTERVAL_S = 2.0  # from one page to the next
SWEEP_PAGE_SIZE = 50  # jobs


class LiveJobSweeper:
    """Reads all live jobs over and over, and reports those that the scheduler does not know."""

    def __init__(self, context: LeaderContext) -> None:
        """Create a sweeper that begins with the first live job."""
        self.context = context
        self._last_key = ""  # of the page before; empty: begin anew

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await curio.sleep(SWEEP_INTERVAL_S)
            if not self.context.is_loaded_leader():
                continue
            try:
                await self._sweep_page()
            except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
                log.debug("live_jobs_not_swept", error=error)

    async def _sweep_page(self) -> None:
        store, mailbox = self.context.store, self.context.mailbox
        page = await store.list_page(
            LIVE_JOBS_PREFIX, self._last_key, SWEEP_PAGE_SIZE, transactions.BACKGROUND
        )
        self._last_key = page.entries[-1].key if page.more and page.entries else ""
        for job_id in await mailbox.ask(LiveJobsPageRead(page.entries)) or ():
            # The page may be out of date by now.
            found = await store.get(Key(LIVE_JOBS_PREFIX + job_id))
            if found is not None:
                await mailbox.tell(UnknownJobRead(job_id, found))
