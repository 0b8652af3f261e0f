"""What a leader that hears no worker learns from the other controllers."""

from __future__ import annotations

import random
from typing import Any

import cbor2
import curio
import pytest
from world import raw_settings

from umberward.control.membership import Membership
from umberward.control.peers import Peers
from umberward.core.settings import Operator, check
from umberward.core.types import Address
from umberward.protocol.http import NotSent, Response


class Others:
    """Answers for other controllers; `told`: by port."""

    def __init__(self, told: dict[int, Any]) -> None:
        self.told = told

    async def request(self, address: Address, *_: Any) -> Response:
        if address.port not in self.told:
            raise NotSent("refused")
        return Response(200, cbor2.dumps(self.told[address.port]))


async def _nothing(*_: Any) -> None:
    return None


def _hear(told: dict[int, Any]) -> bool:
    raw = raw_settings()
    raw["peers"] = [
        {"label": f"k{port}", "site": "a", "addr": f"127.0.0.1:{port}"} for port in (11, 12, 13)
    ]
    settings = check(raw, Operator())
    rng = random.Random(1)
    membership = Membership(settings, None, rng, _nothing, _nothing)  # type: ignore[arg-type]
    peers = Peers(
        settings, membership, Others(told), rng, lambda: None, _nothing,  # type: ignore[arg-type]
    )  # fmt: skip
    return curio.run(peers.others_hear)  # type: ignore[no-any-return]


HEARS = {"contact_age": 0.4, "heard_age": 0.3}


@pytest.mark.parametrize(
    ("told", "found"),
    [
        ({13: HEARS}, True),
        ({11: {"contact_age": 0.4, "heard_age": 60.0}, 12: HEARS}, True),
        ({}, False),
        # It could not lead in our place.
        ({11: {"contact_age": 30.0, "heard_age": 0.3}}, False),
        # Its workers have fallen silent as well: the machines are dead, or all of us are cut off.
        ({11: {"contact_age": 0.4, "heard_age": 60.0}}, False),
        # The version in production says nothing of workers.
        ({11: {"contact_age": 0.4, "label": "k11", "leader": None}}, False),
    ],
)
def test_a_leader_gives_way_only_to_one_that_hears(told: dict[int, Any], found: bool) -> None:
    assert _hear(told) is found
