"""Loads machine blocks, graphs and jobs from the state service and follows changes of the jobs."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import curio

from umberward.clients import state_client
from umberward.core.log import logger
from umberward.core.types import JobId, Revision, Version
from umberward.leader.clock import monotonic_now
from umberward.leader.leader_context import LeaderContext
from umberward.leader.messages import JobsChanged, JobsListed
from umberward.protocol import wire
from umberward.protocol.wire import (
    BLOCKS_PREFIX,
    FINAL_JOBS_PREFIX,
    JOBS_PREFIX,
    LIVE_JOBS_PREFIX,
    RemainingTasks,
)

if TYPE_CHECKING:  # not imported at run time if graphs are disabled
    from umberward.graphs.graph_controller import GraphController

log = logger(__name__)

# Without changes the scheduler's copy of the jobs becomes this old between two watch responses. No
# task may be started on the basis of a copy that is much older.
WATCH_MAX_DELAY_S = 0.5
MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S = 0.15, 0.3


class StateSync:
    """Keeps the scheduler's jobs synchronized with the state service."""

    def __init__(
        self,
        context: LeaderContext,
        graph_controller: GraphController | None,
        revision_before: Callable[[float], Revision | None],
        load_snapshots: Callable[[], Awaitable[None]],
        flush_scheduler_output: Callable[[], Awaitable[None]],
    ) -> None:
        """Prepare to load, for one term.

        `graph_controller`: None if graphs are disabled. `revision_before(instant)`: a revision
        lower than that of every commit after `instant`, or None if none is known.
        `load_snapshots`: loads the snapshots stored by former leaders. `flush_scheduler_output`:
        starts sending the scheduler's outbox and committing its pending writes.
        """
        self.context = context
        self.graph_controller = graph_controller
        self.revision_before = revision_before
        self.load_snapshots = load_snapshots
        self.flush_scheduler_output = flush_scheduler_output

    async def run(self) -> None:
        """Load everything and follow the jobs, until cancelled."""
        revision: Revision | None = None  # all changes up to it are handled; None: list again
        while True:
            try:
                if revision is None:
                    await self._load_machines_and_graphs()
                    revision = await self._list_jobs()
                revision = await self._watch_jobs(revision)
            except state_client.RevisionCompactedError:
                revision = None
            except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
                log.debug("watch_failed", error=error)
                await curio.sleep(self.context.rng.uniform(MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S))

    async def _load_machines_and_graphs(self) -> None:
        """Read the blocks, the snapshots and the graphs, unless the jobs are already loaded."""
        if self.context.scheduler.loaded:
            return
        await self._load_blocks()
        await self.flush_scheduler_output()
        await self.load_snapshots()
        if self.graph_controller is not None:
            # Load graphs before jobs: loading the jobs stops the tasks of unknown graphs.
            await self.graph_controller.load()

    async def _load_blocks(self) -> None:
        """Load the stored machines into the scheduler.

        This calls the scheduler directly, without a message to the leader loop: no scheduling pass
        is due before the jobs are loaded, and the caller sends the resulting probes.
        """
        entries, _ = await self.context.store.list_all(BLOCKS_PREFIX)
        for entry in entries:
            number = int(entry.key[len(BLOCKS_PREFIX) :])
            record = wire.convert(entry.data, wire.BlockRecord)
            self.context.scheduler.load_block(
                number, record, Version(entry.version), monotonic_now()
            )

    async def _list_jobs(self) -> Revision:
        """Read all live jobs and send them to the leader loop; returns their revision."""
        requested_at = monotonic_now()
        entries, revision = await self.context.store.list_all(LIVE_JOBS_PREFIX)
        recent_final_records: list[wire.KeyChange] | None = []
        remaining_graph_tasks: list[tuple[JobId, RemainingTasks]] | None = []
        scheduler = self.context.scheduler
        if scheduler.quota.has_any_limit and not scheduler.loaded:
            start_revision = self._revision_before_takeover(revision)
            recent_final_records = await self._recent_final_records(start_revision)
            remaining_graph_tasks = await self._remaining_graph_tasks(start_revision)
        await self.context.leader_loop.ask(
            JobsListed(entries, requested_at, recent_final_records, remaining_graph_tasks)
        )
        # Returned only after the message is handled: if any step fails, all are repeated.
        return revision

    async def _watch_jobs(self, revision: Revision) -> Revision:
        """Send the changes after `revision` to the leader loop; returns the new revision."""
        requested_at = monotonic_now()
        changes, revision = await self.context.store.watch(JOBS_PREFIX, revision, WATCH_MAX_DELAY_S)
        await self.context.leader_loop.tell(JobsChanged(changes, requested_at))
        return revision

    def _revision_before_takeover(self, listed_revision: Revision) -> Revision:
        """Return a revision from before the earliest end of a job that may have tasks on a machine.

        Such tasks count against their team's limits, but a new leader that reads only live records
        does not know them. No such job can have ended more than `takeover_s` ago. If no revision is
        known from before that time, the result is as many revisions below `listed_revision` as can
        have been written since.
        """
        takeover_s = self.context.scheduler.delegator.bounds.takeover_s
        start_revision = self.revision_before(monotonic_now() - takeover_s)
        if start_revision is not None:
            return start_revision
        max_changes = math.ceil(takeover_s * self.context.store.max_changes_per_s)
        return Revision(max(0, listed_revision - max_changes))

    async def _recent_final_records(self, start_revision: Revision) -> list[wire.KeyChange] | None:
        """Read the final records of jobs that were written after `start_revision`.

        Returns None if the state service no longer keeps these changes.
        """
        try:
            changes, _ = await self.context.store.watch(FINAL_JOBS_PREFIX, start_revision, 0.0)
        except state_client.RevisionCompactedError:
            _log_changes_lost()
            return None
        return changes

    async def _remaining_graph_tasks(
        self, start_revision: Revision
    ) -> list[tuple[JobId, RemainingTasks]] | None:
        """Read what graphs that ended early after `start_revision` may still use; None as above."""
        if self.graph_controller is None:
            return []
        has_limit = self.context.scheduler.quota.has_limit
        try:
            remaining = await self.graph_controller.remaining_tasks(start_revision, has_limit)
        except state_client.RevisionCompactedError:
            _log_changes_lost()
            return None
        return None if remaining is None else [*remaining]


def _log_changes_lost() -> None:
    reason = "the state service no longer keeps such changes"
    log.warning("final_records_not_read", reason=reason)
