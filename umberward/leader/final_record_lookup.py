"""Looks up the final records of jobs that other jobs depend on."""

from __future__ import annotations

from collections.abc import Callable

import curio

from umberward.clients import state_client
from umberward.core.log import logger
from umberward.core.types import JobId, Key
from umberward.leader.leader_context import LeaderContext
from umberward.leader.messages import JobEnded
from umberward.protocol import wire
from umberward.protocol.transactions import AbsentKey
from umberward.protocol.wire import FINAL_JOBS_PREFIX, FinalJobRecord

log = logger(__name__)

FINAL_LOOKUP_INTERVAL_S = 0.2


class FinalRecordLookup:
    """Finds final records of dependencies that are not live and whose end the watch has missed."""

    def __init__(
        self, context: LeaderContext, cached_final_record: Callable[[JobId], FinalJobRecord | None]
    ) -> None:
        """`cached_final_record(job_id)`: the final record if this controller has cached it."""
        self.context = context
        self.cached_final_record = cached_final_record

    async def run(self) -> None:
        """Look up all unresolved dependencies periodically, until cancelled."""
        while True:
            await curio.sleep(FINAL_LOOKUP_INTERVAL_S)
            if not self.context.scheduler.loaded:
                continue
            for job_id in list(self.context.scheduler.blocked_jobs.graph.unresolved_dependency_ids):
                try:
                    await self._look_up(job_id)
                except (
                    state_client.StateUnavailableError,
                    state_client.UnknownOutcomeError,
                ) as error:
                    log.debug("final_record_lookup_failed", job=job_id, error=error)
                    break

    async def _look_up(self, job_id: JobId) -> None:
        """Send the job's final record to the leader loop, if there is one."""
        final = self.cached_final_record(job_id)
        if final is not None:
            await self.context.leader_loop.tell(JobEnded(job_id, wire.to_builtins(final)))
            return
        stored = await self.context.store.get(Key(FINAL_JOBS_PREFIX + job_id))
        if not isinstance(stored, AbsentKey):
            await self.context.leader_loop.tell(JobEnded(job_id, stored.data))
        # Otherwise the job is still live in the state service, and the watch will report its end.
