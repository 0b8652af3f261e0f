"""What a leader that hears no worker learns from the other controllers."""

from __future__ import annotations

import random
import time
from typing import Any

import cbor2
import curio
import pytest
from world import FakeState, raw_settings

from umberward.control.membership import Membership
from umberward.control.peers import Peers
from umberward.core.settings import Operator, check
from umberward.core.types import Address, Epoch, Instant, NodeName, Stamp
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


def _peers(told: dict[int, Any]) -> Peers:
    raw = raw_settings()
    raw["peers"] = [
        {"label": f"k{port}", "site": "a", "addr": f"127.0.0.1:{port}"} for port in (11, 12, 13)
    ]
    settings = check(raw, Operator())
    rng = random.Random(1)
    membership = Membership(settings, None, rng, _nothing, _nothing)  # type: ignore[arg-type]
    return Peers(
        settings, membership, Others(told), rng, lambda: None, _nothing,  # type: ignore[arg-type]
    )  # fmt: skip


def _hear(told: dict[int, Any]) -> bool:
    return curio.run(_peers(told).others_hear)  # type: ignore[no-any-return]


HEARS = {"contact_age": 0.4, "heard_age": 0.3, "leader": None}


@pytest.mark.parametrize(
    ("told", "found"),
    [
        ({13: HEARS}, True),
        ({11: {"contact_age": 0.4, "heard_age": 60.0, "leader": None}, 12: HEARS}, True),
        ({}, False),
        # It could not lead in our place.
        ({11: {"contact_age": 30.0, "heard_age": 0.3, "leader": None}}, False),
        # Its workers have fallen silent as well: the machines are dead, or all of us are cut off.
        ({11: {"contact_age": 0.4, "heard_age": 60.0, "leader": None}}, False),
        # The version in production says nothing of workers.
        ({11: {"contact_age": 0.4, "label": "k11", "leader": None}}, False),
    ],
)
def test_a_leader_gives_way_only_to_one_that_hears(told: dict[int, Any], found: bool) -> None:
    assert _hear(told) is found


@pytest.mark.parametrize(
    ("told", "seen", "found"),
    [
        # Who has the state service is believed, whoever we took for the leader.
        ({12: {"contact_age": 0.2, "leader": "k12"}}, 50, "k12"),
        ({11: {"contact_age": 30.0, "leader": "k11"}, 12: {"contact_age": 0.2, "leader": "k13"}},
         50, "k13"),
        # Nobody has it: the leader of before is named only to a worker that knows no later one.
        ({}, 7, "k11"),
        ({}, 50, None),
        ({11: {"contact_age": 30.0, "leader": "k11"}}, 50, None),
    ],
)  # fmt: skip
def test_whom_a_controller_names_that_lacks_the_state_service(
    told: dict[int, Any], seen: int, found: str | None
) -> None:
    peers = _peers(told)
    peers.membership.leader = NodeName("k11")
    peers.membership.leader_stamp = Stamp(7)

    async def ask() -> None:
        await peers._ask_contact()

    curio.run(ask)
    assert peers.steward(seen) == found
    # With the state service at hand, what we read there counts, also after a raised token.
    peers.membership.good = Instant(time.monotonic())
    assert peers.steward(50) == "k11"


def test_a_leader_gives_up_when_a_worker_has_seen_a_higher_token() -> None:
    lost = []

    async def note() -> None:
        lost.append(1)

    settings = check(raw_settings(), Operator())
    store = FakeState()
    store.share = lambda leading: None  # type: ignore[attr-defined]
    made = Membership(settings, store, random.Random(1), _nothing, note)  # type: ignore[arg-type]
    made.epoch = Epoch(20)

    async def play() -> None:
        await made.deposed(Epoch(20))
        assert not lost and made.epoch == 20
        await made.deposed(Epoch(21))

    curio.run(play)
    assert lost and made.epoch is None and not made.tending()
