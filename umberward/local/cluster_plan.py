"""What a local cluster consists of, and the faults that it is to suffer."""

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
    """A fault that begins `at` so many seconds after the cluster is ready and lasts `for` so many.

    crash: controllers (all without `controller`) are killed; state_down, cloud_down: the service is
    unavailable; refuse: the state service refuses one controller; lost, late: transactions get no
    response and are executed all the same, or some time later; drain: the cloud announces that it
    will take back all machines of `zone`; take: the same for `count` spot machines; delete:
    `count` machines disappear at once; sick: `count` machines fail the tasks that they start.
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
    """What a local cluster consists of; `speed`: how much faster machines boot and tasks run."""

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
    properties: dict[str, str] = {}  # operators' settings, besides the one that enables graphs
    log_level: str = ""  # of the controllers; empty: as in this process
