"""Stores failover snapshots in the state service, in case all controllers fail at once."""

from __future__ import annotations

import curio

from umberward.clients import state_client
from umberward.core.log import logger
from umberward.core.types import FencingToken, Key
from umberward.leader import failover_snapshot
from umberward.leader.clock import monotonic_now
from umberward.leader.failover_snapshot import FailoverSnapshot
from umberward.leader.leader_context import LeaderContext
from umberward.protocol import transactions, wire
from umberward.protocol.wire import SNAPSHOT_PREFIX
from umberward.scheduling.autoscaler import Autoscaler

log = logger(__name__)

STORE_SNAPSHOT_INTERVAL_S = 3.0  # between the writes of two parts
TOKEN_FIELD = "epoch"  # the fencing token's field in a stored snapshot


class SnapshotStore:
    """Reads and writes the stored snapshot, which is split into parts with one key each."""

    def __init__(self, context: LeaderContext, autoscaler: Autoscaler) -> None:
        """Create a store that does not yet know what is stored."""
        self.context = context
        self.autoscaler = autoscaler
        # What this leader has stored under each key, without the fencing token: a change of the
        # token alone is not worth a write.
        self._stored: dict[Key, dict[str, object]] = {}
        self._part_number = 0

    async def load(self) -> list[FailoverSnapshot]:
        """Read the parts stored by former leaders, and skip malformed ones.

        Raises StateUnavailableError or UnknownOutcomeError.
        """
        entries, _ = await self.context.store.list_all(SNAPSHOT_PREFIX)
        snapshots = []
        for entry in entries:
            try:
                snapshots.append(wire.convert(entry.data, FailoverSnapshot))
            except wire.MalformedMessageError as error:
                log.info("record_malformed", key=entry.key, error=error)
        return snapshots

    async def run(self) -> None:
        """Store changed parts, one per interval in turn, until cancelled."""
        while True:
            await curio.sleep(STORE_SNAPSHOT_INTERVAL_S)
            if self.context.is_loaded_leader():
                await self._store_next_part()

    async def _store_next_part(self) -> None:
        parts = self._parts()
        if not parts:
            return
        self._part_number = (self._part_number + 1) % len(parts)
        key = Key(f"{SNAPSHOT_PREFIX}{self._part_number}")
        part = wire.to_builtins(parts[self._part_number])
        without_token = {**part, TOKEN_FIELD: 0}
        if without_token == self._stored.get(key):
            return
        try:
            revision = await self.context.store.commit(
                [self.context.election.leadership_condition()],
                [transactions.put(key, part)],
                priority=transactions.BACKGROUND,
                budget_wait_s=0.0,  # skip this write if the rate budget does not allow it now
            )
        except (
            state_client.StateUnavailableError,
            state_client.UnknownOutcomeError,
            state_client.CompareAndSwapError,
            state_client.LeaseExpiredError,
        ) as error:
            log.debug("snapshot_not_stored", error=error)
        else:
            self._stored[key] = without_token
            self.context.election.commit_confirmed(FencingToken(revision))
            self.context.scheduler.tokens.commit_confirmed(FencingToken(revision))

    def _parts(self) -> list[FailoverSnapshot]:
        scheduler = self.context.scheduler
        return failover_snapshot.split_snapshot(
            failover_snapshot.take_snapshot(scheduler, self.autoscaler, monotonic_now()),
            scheduler.state_writer.machines_per_block,
            scheduler.max_value_bytes,
        )
