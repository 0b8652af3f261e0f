"""The configuration of a local cluster, and the faults to inject into it."""

from __future__ import annotations

from typing import Literal

import msgspec

from umberward.core.settings import TeamQuota, WorkerTimes
from umberward.protocol.wire import MachineType

MACHINES = [
    MachineType("small", 4.0, 16.0, 0.2, 4.0, ["a", "b"], image_cache_gb=50.0, spot_price=0.1),
    MachineType("large", 32.0, 128.0, 1.6, 6.0, ["a", "b"], image_cache_gb=50.0, spot_price=0.6),
    MachineType("accel", 32.0, 128.0, 9.0, 8.0, ["a", "b"], accelerators=4.0, image_cache_gb=50.0),
]

WORKERS = WorkerTimes(report_s=1.0, lease_s=8.0, gang_wait_s=20.0, gang_peer_s=4.0, cancel_s=20.0)


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """A fault that starts `at` seconds after the cluster is ready and lasts `for` seconds.

    crash: one controller (all if `controller` is not set) is killed; state_down, cloud_down: the
    service is unavailable; refuse: the state service refuses one controller; lost, late:
    transactions get no response, but are executed, at once or after a delay; drain: the cloud
    announces that it will reclaim all machines of `zone`; take: the same for `count` spot machines;
    delete: `count` machines are deleted without notice; sick: `count` machines fail the tasks that
    they start.
    """

    at: float
    what: Literal[
        "crash",
        "state_down",
        "cloud_down",
        "refuse",
        "lost",
        "late",
        "drain",
        "take",
        "delete",
        "sick",
    ]
    seconds: float = msgspec.field(name="for", default=5.0)
    controller: int | None = None
    zone: str = ""
    count: int = 1


class ClusterPlan(msgspec.Struct):
    """The configuration of a local cluster; `speed`: speed-up factor of boots and tasks."""

    controllers: int = 3
    machines: list[MachineType] = msgspec.field(default_factory=lambda: list(MACHINES))
    teams: list[TeamQuota] = msgspec.field(
        default_factory=lambda: [TeamQuota("red"), TeamQuota("blue")]
    )
    troubles: list[Fault] = []
    speed: float = 1.0
    seed: int = 1
    graphs: bool = True
    workers: WorkerTimes = WORKERS
    properties: dict[str, str] = {}  # operators' settings besides `graphs.enabled`
    log_level: str = ""  # of the controllers; empty: LOG_LEVEL of this process
