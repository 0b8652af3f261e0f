"""What controllers learn from each other: contact ages, the leader, cancellations, heartbeats."""

from __future__ import annotations

import random
import time
from typing import Any

import cbor2
import curio
import msgspec
import pytest
from cluster_settings import raw_settings
from simulated_store import SimulatedStore

from umberward.control import cancellation_announcer
from umberward.control.controller import Controller
from umberward.control.peer_link import PeerCallbacks, PeerLink
from umberward.core.settings import OperatorSettings, settings_from_toml
from umberward.core.types import Address, ControllerName, FencingToken, Instant, MachineId, Version
from umberward.leader.leader_election import LeaderElection
from umberward.protocol import wire
from umberward.protocol.http import Request, RequestNotSentError, Response, Server
from umberward.scheduling import heartbeat_forwarding as forwarding_module
from umberward.scheduling.heartbeat_forwarding import HeartbeatForwarding


class FakePeers:
    """Answers in place of the other controllers. `answers`: by port."""

    def __init__(self, answers: dict[int, Any]) -> None:
        self.answers = answers

    async def request(self, address: Address, *_: Any) -> Response:
        if address.port not in self.answers:
            raise RequestNotSentError("refused")
        return Response(200, cbor2.dumps(self.answers[address.port]))


async def _nothing(*_: Any) -> None:
    return None


def _peers(answers: dict[int, Any]) -> PeerLink:
    raw = raw_settings()
    raw["peers"] = [
        {"label": f"k{port}", "site": "a", "addr": f"127.0.0.1:{port}"} for port in (11, 12, 13)
    ]
    settings = settings_from_toml(raw, OperatorSettings())
    rng = random.Random(1)
    election = LeaderElection(settings, None, rng, _nothing, _nothing)  # type: ignore[arg-type]
    return PeerLink(
        settings,
        election,
        FakePeers(answers),
        rng,
        PeerCallbacks(lambda: None, _nothing, _nothing, _nothing),  # type: ignore[arg-type]
    )


def _peers_receive_heartbeats(answers: dict[int, Any]) -> bool:
    return curio.run(_peers(answers).contacts.peers_receive_heartbeats)  # type: ignore[no-any-return]


HEARS_WORKERS = {"contact_age": 0.4, "heard_age": 0.3, "leader": None}


@pytest.mark.parametrize(
    ("answers", "found"),
    [
        ({13: HEARS_WORKERS}, True),
        ({11: {"contact_age": 0.4, "heard_age": 60.0, "leader": None}, 12: HEARS_WORKERS}, True),
        ({}, False),
        # It has no contact to the state service, so it could not lead.
        ({11: {"contact_age": 30.0, "heard_age": 0.3, "leader": None}}, False),
        # It hears no workers either: the machines are dead, or all controllers are cut off.
        ({11: {"contact_age": 0.4, "heard_age": 60.0, "leader": None}}, False),
        # The version in production does not report on workers.
        ({11: {"contact_age": 0.4, "label": "k11", "leader": None}}, False),
    ],
)
def test_a_leader_gives_way_only_to_one_that_hears(answers: dict[int, Any], found: bool) -> None:
    assert _peers_receive_heartbeats(answers) is found


@pytest.mark.parametrize(
    ("answers", "seen", "found"),
    [
        # A peer in contact with the state service is believed over what this controller knew.
        ({12: {"contact_age": 0.2, "leader": "k12"}}, 50, "k12"),
        (
            {11: {"contact_age": 30.0, "leader": "k11"}, 12: {"contact_age": 0.2, "leader": "k13"}},
            50,
            "k13",
        ),
        # No peer is in contact: the last known leader is named only to workers that know no later.
        ({}, 7, "k11"),
        ({}, 50, None),
        ({11: {"contact_age": 30.0, "leader": "k11"}}, 50, None),
        # It says itself which tokens it uses in its term.
        ({11: {"contact_age": 30.0, "leader": "k11", "token": 50}}, 50, "k11"),
        ({11: {"contact_age": 30.0, "leader": "k11", "token": 49}}, 50, None),
    ],
)
def test_whom_a_controller_names_that_lacks_the_state_service(
    answers: dict[int, Any], seen: int, found: str | None
) -> None:
    peers = _peers(answers)
    peers.election.leader = ControllerName("k11")
    peers.election.term = Version(7)

    async def ask() -> None:
        await peers.contacts.refresh()

    curio.run(ask)
    assert peers.contacts.leader_for(seen) == found
    # In contact with the state service, the leader read there counts, also after a token rotation.
    peers.election.renewal_sent_at = Instant(time.monotonic())
    assert peers.contacts.leader_for(50) == "k11"


def test_a_leader_gives_up_when_a_worker_has_seen_a_higher_token() -> None:
    lost = []

    async def record_loss() -> None:
        lost.append(1)

    settings = settings_from_toml(raw_settings(), OperatorSettings())
    store = SimulatedStore()
    store.set_role = lambda leading: None  # type: ignore[attr-defined]
    election = LeaderElection(settings, store, random.Random(1), _nothing, record_loss)  # type: ignore[arg-type]
    election.fencing_token = FencingToken(20)

    async def run() -> None:
        await election.step_down_if_superseded(FencingToken(20))
        assert not lost and election.fencing_token == 20
        await election.step_down_if_superseded(FencingToken(21))

    curio.run(run)
    assert lost and election.fencing_token is None and not election.may_remain_leader()


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
    cancelled_ids: list[Any] = []
    logged: list[str] = []
    monkeypatch.setattr(
        cancellation_announcer.log, "warning", lambda event, **_: logged.append(event)
    )
    peers = _peers({})

    async def cancelled(ids: Any) -> None:
        cancelled_ids.extend(ids)

    peers.cancellations.on_cancelled = cancelled

    async def run(sent: bytes) -> int:
        return (await peers.serve(Request("POST", "/peer/cancelled", "", sent))).status

    assert curio.run(run, body) == curio.run(run, body) == 400
    assert not cancelled_ids and logged == ["message_refused"]
    good = cbor2.dumps({"from": "k11", "cancelled": ["req-000001"]})
    assert curio.run(run, good) == 200 and cancelled_ids == ["req-000001"]


HOST = MachineId("i-000007")
K1, K2 = ControllerName("k1"), ControllerName("k2")


def test_whose_reports_are_carried() -> None:
    forwarding = HeartbeatForwarding()

    def at(second: float, leader: ControllerName = K1) -> bool:
        return forwarding.decide_forwarding(HOST, leader, Instant(second))

    assert not at(0.0)  # redirected to the leader
    assert at(5.2) and at(7.7) and at(34.0)  # it was not answered there
    assert not at(36.0)  # the worker is to try the leader itself again
    assert not at(36.4)  # back at once: the leader refused it, so it is reachable
    assert not at(60.0)  # too late to belong to the failure before
    assert at(65.0)
    assert not at(67.0, K2)  # the leader has changed
    forwarding.decide_forwarding(HOST, K2, Instant(72.0))
    forwarding.forward_failed(HOST, K2, Instant(73.5))
    assert not at(74.0, K2)
    for number in range(5000):
        forwarding.decide_forwarding(MachineId(f"i-{number}"), K1, Instant(0.0))
    assert len(forwarding.redirected) == forwarding_module.MAX_REMEMBERED_WORKERS


def test_a_report_is_carried_to_a_leader_that_its_worker_cannot_reach() -> None:
    """A worker is redirected to the leader and returns without an answer: from then on its
    heartbeats are forwarded. If this controller can't reach the leader either, it is redirected."""
    raw = raw_settings()
    raw["peers"] = [{"label": "k1", "site": "a", "addr": "127.0.0.1:29395"}]
    node = Controller(settings_from_toml(raw, OperatorSettings()))
    node.election.leader = K1
    node.election.renewal_sent_at = Instant(time.monotonic())
    sent_reports: list[bytes] = []

    def report() -> bytes:
        sent_reports.append(
            wire.encode(
                {
                    "host": "i-7",
                    "address": "10.1.0.7:9000",
                    "flavor": "small",
                    "yard": "a",
                    "tenure": 1,
                    "serial": 3 + len(sent_reports),
                    "epoch": 5,
                    "shards": [],
                    "reclaimable": False,
                }
            )
        )
        return sent_reports[-1]

    received = []

    async def serve_leader(request: Request) -> Response:
        received.append((request.path, request.body))
        return Response(200, b"what the leader says")

    async def hello(after: float) -> Response:
        known = node.heartbeat_api.forwarding.redirected.get(MachineId("i-7"))
        if known is not None:
            moved = known._replace(redirected_at=Instant(known.redirected_at - after))
            node.heartbeat_api.forwarding.redirected[MachineId("i-7")] = moved
        return await node.heartbeat_api.serve(Request("POST", "/hello", "", report()))

    async def run() -> None:
        first = await hello(0.0)
        assert first.status == 421 and msgspec.msgpack.decode(first.body) == {"steward": "k1"}
        out_of_reach = await hello(5.0)
        assert out_of_reach.status == 421 and msgspec.msgpack.decode(out_of_reach.body) == {
            "steward": "k1"
        }
        running = await curio.spawn(
            Server(Address("127.0.0.1", 29395), serve_leader, 8).run, daemon=True
        )
        await curio.sleep(0.05)
        # The leader could not be reached a moment ago, so no attempt is made now.
        assert (await hello(5.0)).status == 421
        node.peers.forwarder.retry_not_before = 0.0
        forwarded = await hello(5.0)
        assert (forwarded.status, forwarded.body) == (200, b"what the leader says")
        assert (await hello(0.0)).status == 200
        # A late copy of an earlier heartbeat is neither forwarded nor redirected.
        copy = await node.heartbeat_api.serve(Request("POST", "/hello", "", sent_reports[1]))
        assert copy.status == 421 and msgspec.msgpack.decode(copy.body) == {}
        await running.cancel()

    curio.run(run)
    assert received == [("/peer/hello", body) for body in sent_reports[-2:]]
