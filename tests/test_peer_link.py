"""What a leader that hears no worker learns from the other controllers."""

from __future__ import annotations

import random
import time
from typing import Any

import cbor2
import curio
import msgspec
import pytest
from simulated_cluster import SimulatedStore, raw_settings

from umberward.control import cancellation_announcer
from umberward.control.controller import Controller
from umberward.control.peer_link import PeerCallbacks, PeerLink
from umberward.core.settings import OperatorSettings, validate
from umberward.core.types import Address, ControllerName, FencingToken, Instant, MachineId, Version
from umberward.leader.leader_election import LeaderElection
from umberward.protocol import wire
from umberward.protocol.http import Request, RequestNotSentError, Response, Server
from umberward.scheduling import heartbeat_forwarding as relays_module
from umberward.scheduling.heartbeat_forwarding import HeartbeatForwarding


class Others:
    """Answers for other controllers; `told`: by port."""

    def __init__(self, told: dict[int, Any]) -> None:
        self.told = told

    async def request(self, address: Address, *_: Any) -> Response:
        if address.port not in self.told:
            raise RequestNotSentError("refused")
        return Response(200, cbor2.dumps(self.told[address.port]))


async def _nothing(*_: Any) -> None:
    return None


def _peers(told: dict[int, Any]) -> PeerLink:
    raw = raw_settings()
    raw["peers"] = [
        {"label": f"k{port}", "site": "a", "addr": f"127.0.0.1:{port}"} for port in (11, 12, 13)
    ]
    settings = validate(raw, OperatorSettings())
    rng = random.Random(1)
    membership = LeaderElection(settings, None, rng, _nothing, _nothing)  # type: ignore[arg-type]
    return PeerLink(
        settings,
        membership,
        Others(told),
        rng,
        PeerCallbacks(lambda: None, _nothing, _nothing, _nothing),  # type: ignore[arg-type]
    )


def _hear(told: dict[int, Any]) -> bool:
    return curio.run(_peers(told).contacts.peers_receive_heartbeats)  # type: ignore[no-any-return]


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
        (
            {11: {"contact_age": 30.0, "leader": "k11"}, 12: {"contact_age": 0.2, "leader": "k13"}},
            50,
            "k13",
        ),
        # Nobody has it: the leader of before is named only to a worker that knows no later one.
        ({}, 7, "k11"),
        ({}, 50, None),
        ({11: {"contact_age": 30.0, "leader": "k11"}}, 50, None),
    ],
)
def test_whom_a_controller_names_that_lacks_the_state_service(
    told: dict[int, Any], seen: int, found: str | None
) -> None:
    peers = _peers(told)
    peers.election.leader = ControllerName("k11")
    peers.election.leader_version = Version(7)

    async def ask() -> None:
        await peers.contacts.refresh()

    curio.run(ask)
    assert peers.contacts.leader_for(seen) == found
    # With the state service at hand, what we read there counts, also after a raised token.
    peers.election.renewed_at = Instant(time.monotonic())
    assert peers.contacts.leader_for(50) == "k11"


def test_a_leader_gives_up_when_a_worker_has_seen_a_higher_token() -> None:
    lost = []

    async def note() -> None:
        lost.append(1)

    settings = validate(raw_settings(), OperatorSettings())
    store = SimulatedStore()
    store.set_role = lambda leading: None  # type: ignore[attr-defined]
    made = LeaderElection(settings, store, random.Random(1), _nothing, note)  # type: ignore[arg-type]
    made.fencing_token = FencingToken(20)

    async def play() -> None:
        await made.superseded_by(FencingToken(20))
        assert not lost and made.fencing_token == 20
        await made.superseded_by(FencingToken(21))

    curio.run(play)
    assert lost and made.fencing_token is None and not made.may_keep_alive()


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff\xff",
        cbor2.dumps([1, 2]),
        cbor2.dumps({"from": "k11", "cancelled": ["req-000001", "no job"]}),
        cbor2.dumps({"from": "k11", "cancelled": "req-000001"}),
        cbor2.dumps({"from": "nobody", "cancelled": ["req-000001"]}),
    ],
)
def test_what_cannot_be_read_of_cancellations_changes_nothing(
    body: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    heard: list[Any] = []
    said: list[str] = []
    monkeypatch.setattr(
        cancellation_announcer.log, "warning", lambda event, **_: said.append(event)
    )
    peers = _peers({})

    async def cancelled(ids: Any) -> None:
        heard.extend(ids)

    peers.cancellations.on_cancelled = cancelled

    async def play(sent: bytes) -> int:
        return (await peers.serve(Request("POST", "/peer/cancelled", "", sent))).status

    assert curio.run(play, body) == curio.run(play, body) == 400
    assert not heard and said == ["message_refused"]
    good = cbor2.dumps({"from": "k11", "cancelled": ["req-000001"]})
    assert curio.run(play, good) == 200 and heard == ["req-000001"]


HOST = MachineId("i-000007")
K1, K2 = ControllerName("k1"), ControllerName("k2")


def test_whose_reports_are_carried() -> None:
    relays = HeartbeatForwarding()

    def at(second: float, leader: ControllerName = K1) -> bool:
        return relays.should_forward(HOST, leader, Instant(second))

    assert not at(0.0)  # sent to the leader
    assert at(5.2) and at(7.7) and at(34.0)  # it was not answered there
    assert not at(36.0)  # it is to try for itself once more
    assert not at(36.4)  # back at once: refused, not unanswered
    assert not at(60.0)  # another trouble than the one before
    assert at(65.0)
    assert not at(67.0, K2)  # another leads
    relays.should_forward(HOST, K2, Instant(72.0))
    relays.forward_failed(HOST, K2, Instant(73.5))
    assert not at(74.0, K2)
    for number in range(5000):
        relays.should_forward(MachineId(f"i-{number}"), K1, Instant(0.0))
    assert len(relays.redirected) == relays_module.MAX_REMEMBERED_WORKERS


def test_a_report_is_carried_to_a_leader_that_its_worker_cannot_reach() -> None:
    """The worker is sent to the leader, comes back unanswered, and is answered from then on with
    what the leader says; if the leader is out of our reach as well, it is sent there as before."""
    raw = raw_settings()
    raw["peers"] = [{"label": "k1", "site": "a", "addr": "127.0.0.1:29395"}]
    node = Controller(validate(raw, OperatorSettings()))
    node.election.leader = K1
    node.election.renewed_at = Instant(time.monotonic())
    said: list[bytes] = []

    def report() -> bytes:
        said.append(
            wire.encode(
                {
                    "host": "i-7",
                    "address": "10.1.0.7:9000",
                    "flavor": "small",
                    "yard": "a",
                    "tenure": 1,
                    "serial": 3 + len(said),
                    "epoch": 5,
                    "shards": [],
                    "reclaimable": False,
                }
            )
        )
        return said[-1]

    heard = []

    async def leads(request: Request) -> Response:
        heard.append((request.path, request.body))
        return Response(200, b"what the leader says")

    async def hello(after: float) -> Response:
        known = node.heartbeat_api.forwarding.redirected.get(MachineId("i-7"))
        if known is not None:
            moved = known._replace(redirected_at=Instant(known.redirected_at - after))
            node.heartbeat_api.forwarding.redirected[MachineId("i-7")] = moved
        return await node.heartbeat_api.serve(Request("POST", "/hello", "", report()))

    async def play() -> None:
        first = await hello(0.0)
        assert first.status == 421 and msgspec.msgpack.decode(first.body) == {"steward": "k1"}
        out_of_reach = await hello(5.0)
        assert out_of_reach.status == 421 and msgspec.msgpack.decode(out_of_reach.body) == {
            "steward": "k1"
        }
        running = await curio.spawn(Server(Address("127.0.0.1", 29395), leads, 8).run, daemon=True)
        await curio.sleep(0.05)
        # The leader was not reached a moment ago: nobody is held up by that once more.
        assert (await hello(5.0)).status == 421
        node.peers.forwarder.retry_not_before = 0.0
        carried = await hello(5.0)
        assert (carried.status, carried.body) == (200, b"what the leader says")
        assert (await hello(0.0)).status == 200
        # A late copy of an earlier report is neither carried nor sent anywhere.
        copy = await node.heartbeat_api.serve(Request("POST", "/hello", "", said[1]))
        assert copy.status == 421 and msgspec.msgpack.decode(copy.body) == {}
        await running.cancel()

    curio.run(play)
    assert heard == [("/peer/hello", body) for body in said[-2:]]
