"""Who is served first, where, and at what cost: decisions of one module each."""

from __future__ import annotations

import time

import curio
import pytest
from simulated_cluster import MACHINE_TYPES, raw_settings
from test_scenarios import ScenarioPlayer

from umberward.control.controller import Controller
from umberward.control.peer_contacts import PeerContact
from umberward.core.settings import OperatorSettings, validate
from umberward.core.types import Instant, JobId, MachineId
from umberward.protocol.http import Request
from umberward.scheduling.deadline_triage import DeadlineJob, choose_late_jobs
from umberward.scheduling.heartbeat_forwarding import MAX_REMEMBERED_WORKERS, DuplicateFilter


def _waits(*pairs: tuple[float, float]) -> list[DeadlineJob]:
    return [DeadlineJob(due, takes, JobId(f"req-{n}")) for n, (due, takes) in enumerate(pairs)]


@pytest.mark.parametrize(
    ("waits", "late"),
    [
        (_waits((10, 4), (10, 4)), set()),
        # Not both fit: the longer one is late, also if its own start would have come first.
        (_waits((9, 8), (10, 4)), {"req-0"}),
        # One long job is late instead of three short ones.
        (_waits((20, 18), (21, 3), (22, 3), (23, 3)), {"req-0"}),
        # Nothing can help a job whose time is over, and it does not make others late.
        (_waits((-1, 2), (5, 4)), {"req-0"}),
    ],
)
def test_as_few_as_can_be_are_late(waits: list[DeadlineJob], late: set[str]) -> None:
    assert choose_late_jobs(waits, 0.0) == late


def test_copies_are_known_and_the_memory_of_them_is_bounded() -> None:
    news = DuplicateFilter()
    host = MachineId("i-1")
    assert news.is_new(host, 1, 5)
    assert not news.is_new(host, 1, 5)
    assert not news.is_new(host, 1, 4)
    assert news.is_new(host, 2, 1)  # a new session counts from its beginning
    assert not news.is_new(host, 1, 99)
    for number in range(MAX_REMEMBERED_WORKERS + 10):
        news.is_new(MachineId(f"i-x{number}"), 1, 1)
    assert len(news.latest) == MAX_REMEMBERED_WORKERS


def _node(peers: int) -> Controller:
    raw = raw_settings()
    raw["peers"] = [
        {"label": f"k{n}", "site": "a", "addr": f"127.0.0.1:{29380 + n}"} for n in range(peers)
    ]
    node = Controller(validate(raw, OperatorSettings()))
    node.machine_types.update(MACHINE_TYPES)
    return node


def _ask(node: Controller, method: str, path: str) -> int:
    async def ask() -> int:
        began = time.monotonic()
        response = await node.router.serve(Request(method, path, "", b""))
        assert time.monotonic() - began < 0.5, "not at once"
        return response.status

    return curio.run(ask)  # type: ignore[no-any-return]


@pytest.mark.parametrize(
    ("peers", "silent_s", "told", "ready"),
    [
        (2, 60.0, None, 503),  # alone: neither the state service nor another controller
        (2, 60.0, 40.0, 200),  # an outage: the others are without it as well
        (2, 60.0, 0.1, 503),  # only we are without it
        (0, 60.0, None, 200),  # there is no other: users are told by each answer
        (2, 0.1, None, 200),  # all is well, nobody had to be asked
    ],
)
def test_who_is_ready(peers: int, silent_s: float, told: float | None, ready: int) -> None:
    node = _node(peers)
    now = time.monotonic()
    node.election.renewed_at = Instant(now - silent_s)
    if silent_s > 1.0:
        node.peers.contacts.asked_since = now - silent_s
    if told is not None:
        node.peers.contacts.by_peer["k1"] = PeerContact(now, told, 0.1, None)
    assert _ask(node, "GET", "/ready") == ready


def test_without_the_state_service_users_are_refused_at_once() -> None:
    node = _node(2)
    node.election.renewed_at = Instant(time.monotonic() - 60.0)
    assert _ask(node, "GET", "/v1/jobs/req-000001") == 503
    assert _ask(node, "POST", "/v1/jobs/req-000001/cancel") == 503


def _cost_of_tasks(shards: int) -> tuple[int, int]:
    """Writes, and jobs that were looked at, while 60 tasks of a job start and end."""
    game = ScenarioPlayer()
    for number in range(4):
        game.do_machine(f"m{number}", "small", "a")
    game.do_lead()
    game.do_run("2")
    game.do_submit("req-000001", f"shards={shards}", "cores=1", "runs=5", "expect_s=5")
    game.do_run("3")
    scheduler = game.cluster.scheduler
    assert scheduler is not None
    writes, looks = game.cluster.store.written, scheduler.jobs_examined
    game.do_run("20")
    assert sum(game.cluster.starts.values()) >= 60
    return game.cluster.store.written - writes, scheduler.jobs_examined - looks


def test_a_start_and_an_end_cost_the_same_in_a_job_of_any_size() -> None:
    small, large = _cost_of_tasks(100), _cost_of_tasks(100_000)
    assert large[1] == small[1]
    # Marks grow by doubling, so that a longer job needs no more of them in the same time; nothing
    # is written for each task.
    assert abs(large[0] - small[0]) <= 2 and large[0] <= 15


def test_a_machine_with_the_address_of_one_that_is_gone() -> None:
    """It carries out what was meant for the other: the task counts there, and is not started again
    when the other is deleted."""
    game = ScenarioPlayer()
    game.do_machine("m1", "small", "a")
    game.do_lead()
    game.do_run("2")
    game.do_set("m1", "holding")
    game.do_submit("req-000001", "runs=30")
    game.do_run("0.3")
    world, scheduler = game.cluster, game.cluster.scheduler
    assert scheduler is not None
    command = world.workers["m1"].held_commands.pop().command  # its answer comes below
    game.do_set("m1", "dead")
    game.do_machine("m2", "small", "a")
    game.do_run("2")
    other = world.workers["m2"]
    assert other.direct(command.fencing_token, command.incarnation, command.commands)
    scheduler.command_completed(command, other.report(), False, Instant(world.now))
    game.do_run("15")
    assert not world.broken
    assert game.see_where("req-000001") == "m2" and game.see_starts("req-000001/0") == 1
