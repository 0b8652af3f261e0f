"""Loads the list of machine types that a controller needs before it can accept jobs."""

from __future__ import annotations

import random

import curio

from umberward.clients import state_client
from umberward.clients.cloud_client import CloudClient, CloudRequestFailedError
from umberward.clients.state_client import StateClient
from umberward.core.log import logger
from umberward.core.types import Key, MachineTypeName, Version
from umberward.protocol import transactions, wire
from umberward.protocol.transactions import AbsentKey
from umberward.protocol.wire import MachineType, MachineTypeList

log = logger(__name__)

MACHINE_TYPES_KEY = Key("flavors")
MIN_RETRY_PAUSE_S = 0.5
MAX_RETRY_PAUSE_S = 1.5
IDLE_SLEEP_S = 3600.0  # length of one sleep once the list is loaded


class MachineTypeLoader:
    """Fills the mapping of machine types that all parts of the controller share.

    A list that a controller has stored before takes precedence over the cloud's, because it can be
    read while the cloud is down. The list is loaded only once here; while this controller leads,
    `MachineScaler` updates the same mapping with the cloud's current list.
    """

    def __init__(
        self,
        store: StateClient,
        cloud: CloudClient,
        machine_types: dict[MachineTypeName, MachineType],
        max_value_bytes: int,
        rng: random.Random,
    ) -> None:
        """Create a loader that adds to `machine_types`.

        `max_value_bytes` is the largest value that the state service accepts.
        """
        self.store = store
        self.cloud = cloud
        self.machine_types = machine_types
        self.max_value_bytes = max_value_bytes
        self.rng = rng

    async def run(self) -> None:
        """Load the machine types, retrying until there are any, then sleep until cancelled.

        It does not return, because the controller restarts each part that returns.
        """
        while not self.machine_types:
            if await self._load_stored():
                break
            await self._load_from_cloud()
        while True:
            await curio.sleep(IDLE_SLEEP_S)

    async def _load_stored(self) -> bool:
        """Load the list from the state service; return whether it was found."""
        try:
            stored = await self.store.get(MACHINE_TYPES_KEY)
            if isinstance(stored, AbsentKey):
                return False
            record = wire.convert(stored.data, MachineTypeList)
        except (
            state_client.StateUnavailableError,
            state_client.UnknownOutcomeError,
            wire.MalformedMessageError,
        ) as error:
            log.debug("stored_machine_types_not_read", error=error)
            return False
        for machine_type in record.machine_types:
            self.machine_types[MachineTypeName(machine_type.name)] = machine_type
        return True

    async def _load_from_cloud(self) -> None:
        """Load the cloud's list and store it for all controllers; if either step fails, pause.

        A loaded list is used even if it could not be stored.
        """
        try:
            self.machine_types.update(await self.cloud.machine_types())
            await self._store()
        except (
            CloudRequestFailedError,
            state_client.StateUnavailableError,
            state_client.UnknownOutcomeError,
            state_client.CompareAndSwapError,
        ) as error:
            log.debug("machine_types_not_available", error=error)
            await curio.sleep(self.rng.uniform(MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S))

    async def _store(self) -> None:
        """Store the list, unless it is too large. Raises CompareAndSwapError if there is one."""
        record = MachineTypeList(list(self.machine_types.values()))
        if wire.json_size(record) < self.max_value_bytes:
            await self.store.commit(
                [(MACHINE_TYPES_KEY, Version(0))],
                [transactions.put(MACHINE_TYPES_KEY, record)],
            )
