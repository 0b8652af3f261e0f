"""Messages of the cloud's machine API (PROTOCOL, "Controller nodes -> cloud").

The table of wire names is in `umberward.protocol.wire`. The names in requests are in
`umberward.clients.cloud_client`.
"""

from __future__ import annotations

import msgspec

from umberward.core.types import Resources
from umberward.protocol.job_spec import Name, NonNegative, Positive
from umberward.protocol.message_sizes import HEARTBEAT_TASK_BYTES


class MachineType(
    msgspec.Struct,
    rename={
        "name": "sku",
        "hourly_price": "hourly",
        "zones": "yards",
        "image_cache_gb": "local_gb",
        "image_pull_gb_per_s": "fetch_gb_per_s",
        "spot_price": "low_price",
    },
):
    """A machine type of the cloud (PROTOCOL, "GET /flavors"); prices are per hour."""

    name: Name
    cores: NonNegative
    mem_gb: NonNegative
    hourly_price: NonNegative
    boot_s: NonNegative
    zones: list[Name]
    accelerators: NonNegative = 0.0
    image_cache_gb: NonNegative = 0.0
    image_pull_gb_per_s: Positive = 1.0
    spot_price: NonNegative | None = None

    @property
    def capacity(self) -> Resources:
        """The resources of an empty machine, and what its heartbeat can spend on tasks."""
        return Resources(self.cores, self.accelerators, self.mem_gb, HEARTBEAT_TASK_BYTES)


class MachineTypeList(msgspec.Struct, rename={"machine_types": "flavors"}):
    """The cloud's response to GET /flavors."""

    machine_types: list[MachineType]


class CloudMachine(
    msgspec.Struct,
    rename={
        "machine_id": "uid",
        "machine_type": "flavor",
        "zone": "yard",
        "spot": "reclaimable",
        "age_s": "held_s",
    },
):
    """A machine in the cloud's list (PROTOCOL, "GET /hosts").

    `age_s` is the time in seconds since the machine was requested.
    """

    machine_id: Name
    address: str = ""
    machine_type: str = ""
    zone: str = ""
    spot: bool = False
    phase: str = "running"
    age_s: float = 0.0


class CloudMachinePage(msgspec.Struct, rename={"machines": "hosts"}):
    """The cloud's response to GET /hosts; `more` is true if further machines follow."""

    machines: list[CloudMachine]
    more: bool = False


class ScaleOutResponse(msgspec.Struct, rename={"machine_ids": "hosts"}):
    """The cloud's response to POST /hosts: the ids of the new machines."""

    machine_ids: list[Name]
