"""Decisions of single modules: late jobs, duplicate heartbeats, readiness, cost per task."""

from __future__ import annotations

import time

import curio
import pytest
from cluster_settings import MACHINE_TYPES, raw_settings
from test_scenarios import ScenarioPlayer

from umberward.control.controller import Controller
from umberward.control.peer_contacts import ReceivedStatus
from umberward.core.settings import OperatorSettings, settings_from_toml
from umberward.core.types import Instant, JobId, MachineId
from umberward.protocol.http import Request
from umberward.scheduling.deadline_triage import DeadlineJob, choose_jobs_to_delay
from umberward.scheduling.heartbeat_forwarding import MAX_REMEMBERED_WORKERS, DuplicateFilter


def _deadline_jobs(*pairs: tuple[float, float]) -> list[DeadlineJob]:
    return [
        DeadlineJob(due, duration, JobId(f"req-{n}")) for n, (due, duration) in enumerate(pairs)
    ]


@pytest.mark.parametrize(
    ("jobs", "late"),
    [
        (_deadline_jobs((10, 4), (10, 4)), set()),
        # Only one fits: the longer one is late, although its latest start is earlier.
        (_deadline_jobs((9, 8), (10, 4)), {"req-0"}),
        # One long job is late instead of three short ones.
        (_deadline_jobs((20, 18), (21, 3), (22, 3), (23, 3)), {"req-0"}),
        # A job that can no longer meet its deadline does not make others late.
        (_deadline_jobs((-1, 2), (5, 4)), {"req-0"}),
    ],
)
def test_as_few_as_can_be_are_late(jobs: list[DeadlineJob], late: set[str]) -> None:
    assert choose_jobs_to_delay(jobs, 0.0) == late


def test_copies_are_known_and_the_memory_of_them_is_bounded() -> None:
    news = DuplicateFilter()
    host = MachineId("i-1")
    assert news.record_if_new(host, 1, 5)
    assert not news.record_if_new(host, 1, 5)
    assert not news.record_if_new(host, 1, 4)
    assert news.record_if_new(host, 2, 1)  # in a new session, sequence numbers start again
    assert not news.record_if_new(host, 1, 99)
    for number in range(MAX_REMEMBERED_WORKERS + 10):
        news.record_if_new(MachineId(f"i-x{number}"), 1, 1)
    assert len(news.latest) == MAX_REMEMBERED_WORKERS


def _controller(peers: int) -> Controller:
    raw = raw_settings()
    raw["peers"] = [
        {"label": f"k{n}", "site": "a", "addr": f"127.0.0.1:{29380 + n}"} for n in range(peers)
    ]
    node = Controller(settings_from_toml(raw, OperatorSettings()))
    node.machine_types.update(MACHINE_TYPES)
    return node


def _request_status(node: Controller, method: str, path: str) -> int:
    async def request() -> int:
        started_at = time.monotonic()
        response = await node.router.serve(Request(method, path, "", b""))
        assert time.monotonic() - started_at < 0.5, "the answer took too long"
        return response.status

    return curio.run(request)  # type: ignore[no-any-return]


@pytest.mark.parametrize(
    ("peers", "silent_s", "peer_contact_age_s", "ready"),
    [
        (2, 60.0, None, 503),  # isolated: reaches neither the state service nor a peer
        (2, 60.0, 40.0, 200),  # an outage: the peers do not reach the state service either
        (2, 60.0, 0.1, 503),  # only this controller does not reach the state service
        (0, 60.0, None, 200),  # the only controller: each answer tells users of the outage
        (2, 0.1, None, 200),  # the state service is reached; no peer has to be asked
    ],
)
def test_who_is_ready(
    peers: int, silent_s: float, peer_contact_age_s: float | None, ready: int
) -> None:
    node = _controller(peers)
    now = time.monotonic()
    node.election.renewal_sent_at = Instant(now - silent_s)
    if silent_s > 1.0:
        node.peers.contacts.cut_off_since = now - silent_s
    if peer_contact_age_s is not None:
        node.peers.contacts.contacts_by_peer["k1"] = ReceivedStatus(
            now, peer_contact_age_s, 0.1, None
        )
    assert _request_status(node, "GET", "/ready") == ready


def test_without_the_state_service_users_are_refused_at_once() -> None:
    node = _controller(2)
    node.election.renewal_sent_at = Instant(time.monotonic() - 60.0)
    assert _request_status(node, "GET", "/v1/jobs/req-000001") == 503
    assert _request_status(node, "POST", "/v1/jobs/req-000001/cancel") == 503


def _cost_of_tasks(shards: int) -> tuple[int, int]:
    """Writes, and jobs examined for placement, while 60 tasks of a job start and end."""
    player = ScenarioPlayer()
    for number in range(4):
        player.do_machine(f"m{number}", "small", "a")
    player.do_lead()
    player.do_run("2")
    player.do_submit("req-000001", f"shards={shards}", "cores=1", "runs=5", "expect_s=5")
    player.do_run("3")
    scheduler = player.cluster.scheduler
    assert scheduler is not None
    writes, jobs_examined = player.cluster.store.write_count, scheduler.jobs_examined
    player.do_run("20")
    assert sum(player.cluster.starts.values()) >= 60
    return player.cluster.store.write_count - writes, scheduler.jobs_examined - jobs_examined


def test_a_start_and_an_end_cost_the_same_in_a_job_of_any_size() -> None:
    small, large = _cost_of_tasks(100), _cost_of_tasks(100_000)
    assert large[1] == small[1]
    # Marks grow by doubling, so that a larger job needs no more of them in the same time, and
    # there is no write for each task.
    assert abs(large[0] - small[0]) <= 2 and large[0] <= 15


def test_a_machine_with_the_address_of_one_that_is_gone() -> None:
    """A new machine gets the address of a dead one, and executes a command sent to the dead one.

    The task counts as running on the new machine, and is not started again when the dead one is
    deleted.
    """
    player = ScenarioPlayer()
    player.do_machine("m1", "small", "a")
    player.do_lead()
    player.do_run("2")
    player.do_set("m1", "holding")
    player.do_submit("req-000001", "runs=30")
    player.do_run("0.3")
    cluster, scheduler = player.cluster, player.cluster.scheduler
    assert scheduler is not None
    command = cluster.workers["m1"].held_commands.pop().command  # its answer is delivered below
    player.do_set("m1", "dead")
    player.do_machine("m2", "small", "a")
    player.do_run("2")
    new_worker = cluster.workers["m2"]
    assert new_worker.handle_direct_commands(
        command.fencing_token, command.incarnation, command.commands
    )
    scheduler.command_completed(command, new_worker.report(), False, Instant(cluster.now))
    player.do_run("15")
    assert not cluster.broken
    assert player.see_where("req-000001") == "m2" and player.see_starts("req-000001/0") == 1
