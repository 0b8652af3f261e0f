"""Loads blocks, graphs and jobs from the state service, then follows the changes of the jobs."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import curio

from umberward.clients import state_client
from umberward.core.log import logger
from umberward.core.types import Revision, Version
from umberward.leader.clock import monotonic_now
from umberward.leader.leader_context import LeaderContext
from umberward.leader.messages import JobsChanged, JobsListed
from umberward.protocol import wire
from umberward.protocol.wire import (
    BLOCKS_PREFIX,
    FINAL_JOBS_PREFIX,
    JOBS_PREFIX,
    LIVE_JOBS_PREFIX,
)

if TYPE_CHECKING:  # not loaded where graphs are off
    from umberward.graphs.graph_controller import GraphController

log = logger(__name__)

# The scheduler's copy of the jobs becomes so old while nothing changes; no task may be started by
# a copy that is much older.
WATCH_HOLD_S = 0.5
MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S = 0.15, 0.3


class StateSync:
    """Keeps the scheduler's jobs in step with the state service."""

    def __init__(
        self,
        context: LeaderContext,
        graph_controller: GraphController | None,
        revision_before: Callable[[float], Revision | None],
        load_snapshots: Callable[[], Awaitable[None]],
        send_effects: Callable[[], Awaitable[None]],
    ) -> None:
        """Prepare to load, for one leadership.

        `graph_controller`: None where graphs are off. `revision_before(instant)`: a revision below
        that of everything that was committed after this instant, or None if there is no such note.
        `load_snapshots`: reads what a former leader has stored. `send_effects`: carries out what
        the scheduler wants to be sent and written.
        """
        self.context = context
        self.graph_controller = graph_controller
        self.revision_before = revision_before
        self.load_snapshots = load_snapshots
        self.send_effects = send_effects

    async def run(self) -> None:
        """Load everything and follow the jobs, until cancelled."""
        revision: Revision | None = None  # the changes until here have been handled; None: list
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
        """Read the blocks, the snapshots and the graphs, unless the jobs were loaded already."""
        if self.context.scheduler.loaded:
            return
        await self._load_blocks()
        await self.send_effects()
        await self.load_snapshots()
        if self.graph_controller is not None:
            # Before the jobs: tasks of a graph that is not known then would be stopped.
            await self.graph_controller.load()

    async def _load_blocks(self) -> None:
        """Give the stored machines to the scheduler.

        This is done directly and not by messages: no scheduling pass is due before the jobs are
        loaded, and the caller sends the probes that follow.
        """
        entries, _ = await self.context.store.list_all(BLOCKS_PREFIX)
        for entry in entries:
            number = int(entry.key[len(BLOCKS_PREFIX) :])
            record = wire.convert(entry.data, wire.BlockRecord)
            self.context.scheduler.load_block(
                number, record, Version(entry.version), monotonic_now()
            )

    async def _list_jobs(self) -> Revision:
        """Read all live jobs and hand them to the leader loop; returns their revision."""
        asked_at = monotonic_now()
        entries, revision = await self.context.store.list_all(LIVE_JOBS_PREFIX)
        recent_final = await self._recent_final_records(revision)
        await self.context.mailbox.ask(JobsListed(entries, asked_at, recent_final))
        # Returned only now: if any of this fails, all of it is done again.
        return revision

    async def _watch_jobs(self, revision: Revision) -> Revision:
        """Hand the changes after `revision` to the leader loop; returns the revision reached."""
        asked_at = monotonic_now()
        changes, revision = await self.context.store.watch(JOBS_PREFIX, revision, WATCH_HOLD_S)
        await self.context.mailbox.tell(JobsChanged(changes, asked_at))
        return revision

    async def _recent_final_records(self, listed: Revision) -> list[wire.KeyChange] | None:
        """The final records of jobs whose tasks may still be on some machine.

        Such tasks count against their team's limits, and a new leader that reads live records only
        does not know of them. They are read from the revision noted for the moment before which
        none of them can have ended. Without such a note the read starts as many revisions below
        `listed` as can have been written since that moment.

        Returns None if the state service no longer keeps these changes.
        """
        scheduler = self.context.scheduler
        if scheduler.loaded or not scheduler.quota.any_limits:
            return []
        store = self.context.store
        takeover_s = scheduler.delegator.bounds.takeover_s
        since = self.revision_before(monotonic_now() - takeover_s)
        if since is None:
            max_changes = math.ceil(takeover_s * store.max_changes_per_s)
            since = Revision(max(0, listed - max_changes))
        try:
            changes, _ = await store.watch(FINAL_JOBS_PREFIX, since, 0.0)
        except state_client.RevisionCompactedError:
            log.warning(
                "final_records_not_read", reason="the state service no longer keeps such changes"
            )
            return None
        return changes
