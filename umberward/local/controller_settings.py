"""The settings files of a local cluster's controllers."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import javaproperties
import tomli_w

from umberward.core.settings import StateLimits, WorkerTimes
from umberward.core.types import Address
from umberward.local.cluster_plan import ClusterPlan
from umberward.protocol import wire

CLOUD_RPS = 5.0
LIST_LAG_S = 2.0
PROPERTIES_FILE = "own.properties"
MACHINE_LIMITS = {"cpu": 1.0, "memory_mb": 200.0, "sockets": 800}


class ControllerAddresses(NamedTuple):
    """The addresses of one controller, and of the services that it uses."""

    name: str
    zone: str
    listen: Address
    peer_bind: Address
    state: Address
    cloud: Address


class ClusterLimits(NamedTuple):
    """Times and limits that all controllers of a cluster share."""

    zones: list[str]
    workers: WorkerTimes
    state: StateLimits


def write_settings(
    folder: Path,
    plan: ClusterPlan,
    limits: ClusterLimits,
    controllers: list[ControllerAddresses],
    peer_address: Callable[[ControllerAddresses, ControllerAddresses], Address],
) -> None:
    """Write a file for each controller, named after it, and one with the operators' properties.

    `peer_address(own, peer)` is the address at which a controller reaches another.
    """
    for own in controllers:
        peers = [
            {"label": peer.name, "site": peer.zone, "addr": str(peer_address(own, peer))}
            for peer in controllers
            if peer != own
        ]
        settings = _settings(own, plan, limits, peers)
        (folder / f"{own.name}.toml").write_text(tomli_w.dumps(settings))
    # Builds from before a property was added refuse it.
    graphs = {"graphs.enabled": "true"} if plan.graphs else {}
    (folder / PROPERTIES_FILE).write_text(javaproperties.dumps({**graphs, **plan.properties}))


def _settings(
    own: ControllerAddresses,
    plan: ClusterPlan,
    limits: ClusterLimits,
    peers: list[dict[str, str]],
) -> dict[str, Any]:
    """The platform's settings of one controller."""
    state = {name: v for name, v in wire.to_builtins(limits.state).items() if v is not None}
    return {
        "label": own.name,
        "site": own.zone,
        "listen": str(own.listen),
        "peer_bind": str(own.peer_bind),
        "peers": peers,
        "endpoints": {"cloud": str(own.cloud), "state": str(own.state)},
        "cluster": {
            "size": plan.controllers,
            "zones": limits.zones,
            "skew_ms": 0.0,
            "teams": wire.to_builtins(plan.teams),
            "workers": wire.to_builtins(limits.workers),
            "state": state,
            "cloud": {"rps": CLOUD_RPS, "list_lag_s": LIST_LAG_S},
            "machine_limits": MACHINE_LIMITS,
        },
    }
