"""Starts, silences and builds of the other controllers are logged when they happen."""

from __future__ import annotations

from typing import Any

import cbor2
import curio
import pytest
from log_lines import Lines
from simulated_controllers import SimulatedControllers

from umberward.control import known_fault_log, peer_monitor
from umberward.control.controller import Controller
from umberward.control.fault_watch import CHECK_INTERVAL_S
from umberward.control.known_fault_log import KnownFaultLog
from umberward.control.peer_messages import PeerStatus, decode
from umberward.control.peer_monitor import PeerMonitor
from umberward.core.build_identity import UNKNOWN_BUILD
from umberward.core.types import Address
from umberward.protocol.http import RequestNotSentError, Response

ADDRESS = Address("127.0.0.1", 9)


class OnePeer:
    """A monitor whose one peer, k1, answers `body`, or not at all if that is None."""

    def __init__(self) -> None:
        self.now = 100.0
        self.body: bytes | None = None
        self.response_s = 0.0
        self.monitor = PeerMonitor(
            "k0",
            lambda: "0.5",
            {"k1": ADDRESS},
            self,  # type: ignore[arg-type]
            lambda: self.now,
            KnownFaultLog(["k1"]),
        )

    async def request(self, *_: Any) -> Response:
        if self.body is None:
            raise RequestNotSentError("refused")
        self.now += self.response_s
        return Response(200, self.body)

    def check(self, status: Any = None, after_s: float = CHECK_INTERVAL_S) -> None:
        self.now += after_s
        self.body = status if isinstance(status, bytes | None) else cbor2.dumps(status)
        curio.run(self.monitor.check, "k1")


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> Lines:
    collected = Lines()
    monkeypatch.setattr(peer_monitor, "log", collected)
    return collected


def events(lines: Lines) -> list[str]:
    return [line["event"] for line in lines.take()]


def test_start_and_build_of_a_peer_are_logged_once(lines: Lines) -> None:
    peer = OnePeer()
    peer.check({"build": "0.5", "uptime": 1.0})
    started, builds = lines.take()
    assert started == {
        "event": "peer_started",
        "peer": "k1",
        "build": "0.5",
        "uptime_s": 1.0,
        "first_answer": True,
    }
    assert builds == {
        "event": "peer_builds",
        "mixed": False,
        "peers_with_known_faults": 0,
        "builds": "k0:0.5,k1:0.5",
    }
    peer.check({"build": "0.5", "uptime": 3.0})
    assert events(lines) == []


def test_restart_between_two_checks_is_logged(lines: Lines) -> None:
    peer = OnePeer()
    peer.check({"build": "0.5", "uptime": 50.0})
    lines.take()
    peer.check({"build": "0.5", "uptime": 0.7})
    assert events(lines) == ["peer_started"]


def test_peer_of_another_build_is_logged_as_mixed_at_its_first_answer(lines: Lines) -> None:
    peer = OnePeer()
    peer.check({"build": "0.5", "uptime": 50.0})
    lines.take()
    peer.check(None)
    assert events(lines) == ["peer_unreachable"]
    peer.check({"contact_age": 0.1, "leader": "k0"})  # a version that says neither
    started, builds = lines.take()
    assert (started["event"], started["build"]) == ("peer_started", UNKNOWN_BUILD)
    assert builds["mixed"] and builds["builds"] == f"k0:0.5,k1:{UNKNOWN_BUILD}"


def test_peer_without_uptime_is_logged_as_reachable_again_not_as_started(lines: Lines) -> None:
    peer = OnePeer()
    peer.check({"leader": None})
    peer.check(None)
    peer.check(None)
    assert events(lines) == ["peer_started", "peer_builds", "peer_unreachable"]
    peer.check({"leader": None})
    (reachable,) = lines.take()
    assert reachable["event"] == "peer_reachable" and reachable["same_process"] is None
    assert reachable["silent_s"] == 2 * CHECK_INTERVAL_S


def test_peer_that_names_no_build_is_named_at_each_start_as_possibly_faulty(
    lines: Lines, monkeypatch: pytest.MonkeyPatch
) -> None:
    faults = Lines()
    monkeypatch.setattr(known_fault_log, "log", faults)
    peer = OnePeer()
    production = {"label": "k1", "contact_age": 0.1, "leader": "k0"}
    for _ in range(3):
        peer.check(production)
    assert lines.of("peer_builds")[0]["peers_with_known_faults"] == 1
    assert [line["unless"] for line in faults.take()] == ["0.1.1 or later"]
    peer.check(None)
    peer.check(production)  # perhaps another process
    assert [line["occasion"] for line in faults.take()] == ["peer_started"]
    peer.check({**production, "heard_age": 1.0, "build": "0.5", "uptime": 1.0})
    peer.check(None)
    peer.check({**production, "heard_age": 1.0})  # a version after the mend that names no build
    assert faults.take() == [] and peer.monitor.known_faults.affected_peers == 0


def test_peer_behind_a_cut_is_the_same_process_afterwards(lines: Lines) -> None:
    peer = OnePeer()
    peer.check({"build": "0.5", "uptime": 50.0})
    peer.check(None)
    lines.take()
    peer.check({"build": "0.5", "uptime": 54.0})
    (reachable,) = lines.take()
    assert reachable["event"] == "peer_reachable" and reachable["same_process"] is True


def test_pause_of_this_process_is_not_taken_for_a_restart_of_the_peer(lines: Lines) -> None:
    peer = OnePeer()
    peer.check({"build": "0.5", "uptime": 50.0})
    lines.take()
    peer.response_s = 21.0
    peer.check({"build": "0.5", "uptime": 52.0})
    peer.response_s = 0.0
    peer.check({"build": "0.5", "uptime": 75.0})
    assert events(lines) == []


NONSENSE: list[Any] = [b"", b"\xff\xff", 7, ["0.5"], "text"]


@pytest.mark.parametrize("status", NONSENSE)
def test_nonsense_of_a_peer_is_one_counted_line(status: Any, lines: Lines) -> None:
    peer = OnePeer()
    for _ in range(50):
        peer.check(status, after_s=0.0)
    (invalid,) = lines.take()
    assert invalid["event"] == "peer_status_invalid"
    peer.check(status)
    (invalid,) = lines.take()
    assert invalid["left_out"] == 49
    assert peer.monitor.peers == {}


@pytest.mark.parametrize("build", [7, None, "0.5\n", ["0.5"], "x" * 65])
@pytest.mark.parametrize("uptime", [-1.0, "1", float("inf"), float("nan"), None, 3])
def test_malformed_fields_are_not_known_and_harm_no_other_use_of_the_status(
    build: Any, uptime: Any, lines: Lines
) -> None:
    status = {"label": "k1", "contact_age": 0.1, "leader": "k0", "build": build, "uptime": uptime}
    peer = OnePeer()
    peer.check(status)
    started, _ = lines.take()
    assert (started["build"], started["uptime_s"]) == (UNKNOWN_BUILD, None)
    assert decode(cbor2.dumps(status), PeerStatus).leader == "k0"


def test_all_controllers_log_the_restart_of_a_peer_with_an_older_build(
    lines: Lines, monkeypatch: pytest.MonkeyPatch
) -> None:
    builds = dict.fromkeys(("k0", "k1", "k2"), "0.5")
    original = Controller.__init__

    def init(self: Controller, settings: Any, clock: Any) -> None:
        original(self, settings, clock, builds[settings.platform.label])

    monkeypatch.setattr(Controller, "__init__", init)
    controllers = SimulatedControllers()
    with controllers.playing():
        for name in controllers.names:
            controllers.start(name)
        controllers.run(10.0)
        lines.take()
        controllers.crash("k2")
        controllers.run(5.0)
        builds["k2"] = "0.4"
        controllers.start("k2")
        controllers.run(CHECK_INTERVAL_S + 1.0)
        found = lines.take()
    by_peers = [line for line in found if line.get("peer") == "k2"]
    assert [line["event"] for line in by_peers] == ["peer_unreachable"] * 2 + ["peer_started"] * 2
    assert {line["build"] for line in by_peers[2:]} == {"0.4"}
    mixed = [line for line in found if line["event"] == "peer_builds" and line["mixed"]]
    assert len([line for line in mixed if "k2:0.4" in line["builds"]]) >= 2
