"""A client of the state service over an in-memory one, for clusters simulated without a network."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import curio
from traffic_recorder import record_message

from umberward.clients import state_client
from umberward.core.types import Key, Revision, Version
from umberward.local import statecore
from umberward.local.statecore import StateCore
from umberward.protocol import wire
from umberward.protocol.transactions import AbsentKey, VersionedValue


class SimulatedStore:
    """A client of the state service, with the outcomes that a real one may meet."""

    def __init__(self) -> None:
        self.core = StateCore()
        self.keys = self.core.keys
        self.mode = "ok"  # ok | down | lost (executed, no answer) | late (executed later)
        self.pending: list[tuple[Any, Any]] = []
        self.requests = 0
        self.refused: list[str] = []
        self.on_applied: Callable[[], None] = lambda: None
        self.during_watch: Any = None  # called once, between a watch and the use of its result

    @property
    def revision(self) -> int:
        return self.core.revision

    @property
    def write_count(self) -> int:
        return self.core.write_count

    async def get(self, key: Key, *_: Any, **__: Any) -> VersionedValue | AbsentKey:
        self.requests += 1
        await curio.sleep(0)  # let other tasks run
        record_message("read", key, self.mode)
        if self.mode == "down":
            raise state_client.StateUnavailableError("down")
        return self.keys.get(key) or AbsentKey(key, Revision(self.revision))

    async def list_all(self, prefix: str) -> tuple[list[wire.KeyValue], Revision]:
        self.requests += 1
        record_message("list", prefix, self.mode)
        if self.mode == "down":
            raise state_client.StateUnavailableError("down")
        found: list[wire.KeyValue] = []
        while True:
            page = self.core.entries(prefix, found[-1].key if found else "")
            found += page.entries
            if not page.more:
                return found, Revision(page.revision)

    async def watch(
        self, prefix: str, after: Revision, *_: Any
    ) -> tuple[list[wire.KeyChange], Revision]:
        self.requests += 1
        record_message("watch", prefix, after, self.mode)
        if self.mode == "down":
            raise state_client.StateUnavailableError("down")
        try:
            changes = self.core.changes_after(prefix, after)
        except statecore.RevisionCompactedError:
            raise state_client.RevisionCompactedError from None
        revision = Revision(self.revision)
        during_watch, self.during_watch = self.during_watch, None
        if during_watch is not None:
            await during_watch()
        return changes, revision

    async def commit(self, conditions: Any, writes: Any, **_: Any) -> Revision:
        self.requests += 1
        conditions = list(conditions)
        record_message("commit", conditions, writes, self.mode)
        if self.mode == "down":
            raise state_client.StateUnavailableError("down")
        if self.mode == "late":
            self.pending.append((conditions, writes))
            raise state_client.UnknownOutcomeError("no answer")
        self.apply(conditions, writes)
        if self.mode == "lost":
            raise state_client.UnknownOutcomeError("no answer")
        return Revision(self.revision)

    def apply(self, conditions: Any, writes: Any) -> None:
        try:
            self.core.commit(conditions, writes)
        except statecore.CompareFailedError as error:
            record_message("applied", conditions, writes, "conflict", error.keys)
            raise state_client.CompareAndSwapError(str(error)) from None
        except statecore.InvalidRequestError as error:
            record_message("applied", conditions, writes, "refused")
            self.refused.append(str(error))
            raise state_client.TransactionRejectedError("400") from None
        record_message("applied", conditions, writes, self.revision)
        self.on_applied()

    def insert(self, path: str, data: Any) -> None:
        """Add a record as if it had been stored before, whatever its size."""
        self.core.revision += 1
        self.keys[path] = VersionedValue(data, Version(self.revision))

    def deliver_late(self) -> None:
        for conditions, writes in self.pending:
            try:
                self.apply(conditions, writes)
            except state_client.CompareAndSwapError:
                continue
        self.pending.clear()
