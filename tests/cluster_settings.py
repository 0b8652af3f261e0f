"""Settings, machine types and a job's description for the simulated clusters."""

from __future__ import annotations

from typing import Any

from umberward.core.types import MachineTypeName
from umberward.protocol.wire import MachineType


def raw_settings(**teams: Any) -> dict[str, Any]:
    return {
        "label": "n0",
        "site": "a",
        "listen": "127.0.0.1:1",
        "peer_bind": "127.0.0.1:2",
        "endpoints": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
        "cluster": {
            "size": 3,
            "zones": ["a", "b"],
            "teams": [
                {"name": "red", **teams},
                {"name": "blue"},
            ],
            "workers": {
                "report_s": 1.0,
                "lease_s": 10.0,
                "gang_wait_s": 20.0,
                "gang_peer_s": 4.0,
                "cancel_s": 25.0,
            },
            "state": {"rps": 1000.0, "write_rps": 1000.0, "value_kb": 4.0, "txn_ops": 8},
            "cloud": {"rps": 2.0, "list_lag_s": 5.0},
            "machine_limits": {"cpu": 1.0, "memory_mb": 100.0, "sockets": 100},
        },
    }


MACHINE_TYPES = {
    MachineTypeName(sku.name): sku
    for sku in (
        MachineType("small", 4.0, 16.0, 0.2, 10.0, ["a", "b"], image_cache_gb=50.0, spot_price=0.1),
        MachineType("big", 32.0, 128.0, 3.0, 10.0, ["a", "b"], image_cache_gb=50.0),
        MachineType(
            "accel", 32.0, 128.0, 9.0, 10.0, ["a", "b"], accelerators=4.0, image_cache_gb=50.0
        ),
    )
}


def job_spec(job_id: str, **more: Any) -> dict[str, Any]:
    """A valid description of a job, as a user sends it."""
    return {
        "uid": job_id,
        "jobclass": "x",
        "owner": "red",
        "shape": "batch",
        "rank": "normal",
        "shards": 1,
        "cores": 2.0,
        "accelerators": 0.0,
        "mem_gb": 1.0,
        "bundle": "img",
        "pull_gb": 1.0,
        "flavors": None,
        "yard": None,
        "same_place": False,
        "apart": False,
        "reclaimable": False,
        "expect_s": 10.0,
        "snapshot_every_s": 0.0,
        "snapshot_cost_s": 0.0,
        "due_s": None,
        **more,
    }
