"""The soak: its judge against histories that break each rule, its faults, and a short run."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import curio
import msgspec
import pytest
from click.testing import CliRunner

from umberward.cli import main as cli
from umberward.core import event_loop
from umberward.core.settings import TeamQuota
from umberward.local.links import HELD, LinkFault
from umberward.soak import plan
from umberward.soak.checker import LEFT_WAITING_S, UNTOLD_S, Checker
from umberward.soak.cluster import SoakCluster
from umberward.soak.history import (
    Answered,
    CancelAsked,
    Event,
    MachineGone,
    MachineStill,
    MachineUp,
    ProcessEnded,
    SessionOver,
    Submitted,
    TaskEnded,
    TaskStarted,
)
from umberward.soak.runner import Run

CANCEL_S = 11.0
JOB, TASK = "req-000001", "req-000001/0"


def judged(*events: Event, until: float = 0.0, calm: bool = False) -> list[str]:
    """The rules that the history breaks, each named once."""
    checker = Checker([TeamQuota("red", cpus_max=4.0), TeamQuota("blue")], CANCEL_S)
    for event in (machine("m1"), machine("m2"), machine("m3", zone="b", spot=True), *events):
        checker.observe(event)
        checker.tick(event.at)
    if calm:
        checker.look_for_waiting(events[-1].at)
        checker.look_for_waiting(until)
    checker.tick(until)
    return sorted({broken.rule for broken in checker.broken})


def machine(host: str, zone: str = "a", spot: bool = False) -> MachineUp:
    return MachineUp(0.0, host, "small", zone, spot, 4.0)


def job(
    shards: int = 1,
    owner: str = "blue",
    shape: str = "batch",
    cores: float = 1.0,
    yard: str | None = None,
    same_place: bool = False,
    apart: bool = False,
    reclaimable: bool = True,
    why_unfit: str = "",
) -> Submitted:
    return Submitted(
        1.0, JOB, owner, shape, shards, cores, yard, same_place, apart, reclaimable, why_unfit
    )


def starts(
    at: float, host: str = "m1", attempt: int = 1, task: str = TASK, sent_at: float | None = None
) -> TaskStarted:
    return TaskStarted(at, host, 1, task, attempt, at if sent_at is None else sent_at)


def ends(at: float, host: str = "m1", attempt: int = 1, cause: str = "done") -> TaskEnded:
    return TaskEnded(at, host, TASK, attempt, cause)


def told(
    at: float, phase: str, kind: str = "poll", status: int = 200, asked_at: float | None = None
) -> Answered:
    asked = at - 0.1 if asked_at is None else asked_at
    return Answered(at, kind, JOB, "keeper-0", asked, status, phase)


ACCEPTED = (job(), told(1.2, "pending", "submit", 201))
CANCELLED = (*ACCEPTED, CancelAsked(2.0, JOB), told(2.1, "cancelled", "cancel"))

KEPT: dict[str, tuple[Event, ...]] = {
    "a plain job": (*ACCEPTED, starts(2.0), ends(3.0), told(4.0, "done"), told(5.0, "done")),
    "again after its end": (
        *ACCEPTED,
        starts(2.0),
        ends(3.0, cause="stopped"),
        starts(4.0, "m2", 2),
    ),
    "again after a session": (*ACCEPTED, starts(2.0), SessionOver(3.0, "m1"), starts(4.0, "m2", 2)),
    "late, in flight": (*CANCELLED, starts(3.0, sent_at=2.0), ends(4.0, cause="stopped")),
    "older answer to an older question": (*CANCELLED, told(2.2, "pending", asked_at=1.5)),
    "a question without an answer": (*ACCEPTED, told(2.0, "", status=0)),
    "refused": (job(why_unfit="cores"), told(1.2, "", "submit", 422)),
    "a gang that is done by one": (
        job(2, shape="ensemble"),
        told(1.2, "pending", "submit", 201),
        starts(2.0),
        ends(3.0),
        told(4.0, "done"),
    ),
    "killed by the soak": (ProcessEnded(1.0, "keeper-0", -9, True),),
}

BROKEN: dict[str, tuple[str, tuple[Event, ...]]] = {
    "two at once": ("ran_twice", (*ACCEPTED, starts(2.0), starts(3.0, "m2", 2))),
    "the same attempt anew": (
        "restarted",
        (*ACCEPTED, starts(2.0), ends(3.0, cause="stopped"), starts(4.0)),
    ),
    "sent after a cancellation": (
        "ran_cancelled",
        (*CANCELLED, starts(2.2 + UNTOLD_S), ends(2.3 + UNTOLD_S)),
    ),
    "runs on after a cancellation": (
        "ran_cancelled",
        (
            *ACCEPTED,
            starts(1.5),
            *CANCELLED[2:],
            told(2.2 + CANCEL_S + 1.0, "", status=0),
        ),
    ),
    "goes on after it hung": (
        "ran_cancelled",
        (
            *ACCEPTED,
            starts(1.5),
            MachineStill(1.6, "m1", True),
            *CANCELLED[2:],
            MachineStill(20.0, "m1", False),
        ),
    ),
    "forgotten": ("forgotten", (*ACCEPTED, told(2.0, "", status=404))),
    "a repeat refused": ("forgotten", (*ACCEPTED, told(2.0, "", "submit", 422))),
    "older answer": ("went_back", (*CANCELLED, told(3.0, "running"))),
    "done and cancelled": (
        "went_back",
        (
            *ACCEPTED,
            starts(2.0),
            ends(3.0),
            told(4.0, "done"),
            CancelAsked(4.1, JOB),
            told(5.0, "cancelled"),
        ),
    ),
    "accepted anew": ("went_back", (*CANCELLED, told(3.0, "cancelled", "submit", 201))),
    "cancelled by nobody": ("went_back", (*ACCEPTED, told(2.0, "cancelled"))),
    "done too soon": ("not_done", (*ACCEPTED, told(2.0, "done"))),
    "invented": ("invented", (told(2.0, "pending"),)),
    "runs and was refused": ("invented", (job(why_unfit="cores"), starts(2.0))),
    "accepted though unfit": (
        "accepted",
        (job(why_unfit="cores"), told(1.2, "pending", "submit", 201)),
    ),
    "over its limit": (
        "quota",
        (job(2, "red", cores=3.0), starts(2.0), starts(2.1, "m2", 1, f"{JOB}/1")),
    ),
    "other zone": ("wrong_place", (job(yard="b"), starts(2.0))),
    "on a spot machine": ("wrong_place", (job(reclaimable=False), starts(2.0, "m3"))),
    "not together": (
        "wrong_place",
        (job(2, same_place=True), starts(2.0), starts(2.1, "m3", 1, f"{JOB}/1")),
    ),
    "not apart": (
        "wrong_place",
        (job(2, apart=True), starts(2.0), starts(2.1, "m2", 1, f"{JOB}/1")),
    ),
    "ended by itself": ("ended_by_itself", (ProcessEnded(1.0, "keeper-0", 1, False),)),
}


@pytest.mark.parametrize("what", KEPT)
def test_what_keeps_the_rules_is_not_called_broken(what: str) -> None:
    assert judged(*KEPT[what]) == []


@pytest.mark.parametrize("what", BROKEN)
def test_each_broken_rule_is_seen(what: str) -> None:
    rule, events = BROKEN[what]
    assert judged(*events, until=events[-1].at) == [rule]


def test_who_waits_beside_a_machine_with_room_is_seen() -> None:
    long = ACCEPTED[-1].at + LEFT_WAITING_S + 1.0
    assert judged(*ACCEPTED, until=long, calm=True) == ["left_waiting"]
    assert judged(*ACCEPTED, starts(2.0), until=long, calm=True) == []
    all_gone = [MachineGone(1.5, host) for host in ("m1", "m2", "m3")]
    assert judged(*ACCEPTED, *all_gone, until=50.0, calm=True) == []


def test_a_seed_draws_the_same_faults_each_time() -> None:
    size = plan.size("small")
    drawn = [plan.draw(seed, size, plan.kinds([])) for seed in (1, 1, 2)]
    assert drawn[0] == drawn[1] != drawn[2]
    many = [plan.draw(seed, size, list(plan.Kind)) for seed in range(200)]
    known = {fault.kind for one in many for fault in one.faults}
    assert known == set(plan.Kind)


@pytest.mark.parametrize(
    ("words", "said"),
    [
        (["--seeds", "x"], "--seeds"),
        (["--seeds", "5-1"], "--seeds"),
        (["--size", "huge"], "--size"),
        (["--fault", "rain"], "--fault"),
    ],
)
def test_bad_input_ends_with_one_line_and_2(words: list[str], said: str) -> None:
    result = CliRunner().invoke(cli.main, ["soak", *words])
    assert result.exit_code == 2
    assert said in result.output.strip().splitlines()[-1]


def test_a_soak_that_fails_itself_is_no_verdict(monkeypatch: pytest.MonkeyPatch) -> None:
    """A worker of the soak that ends is neither a broken rule nor a good run."""
    from umberward.soak import cluster

    def failing(self: cluster.SoakCluster) -> None:
        raise cluster.HarnessError("the worker of m-000001 has ended")

    monkeypatch.setattr(cluster.SoakCluster, "look", failing)
    result = CliRunner().invoke(cli.main, ["soak", "--seeds", "1", "--size", "short"])
    assert result.exit_code == 3
    assert "the soak failed: the worker of m-000001 has ended" in result.output


def test_a_soak_that_is_ended_leaves_no_process_behind() -> None:
    words = [sys.executable, "-m", "umberward", "soak", "--seeds", "1-2", "--size", "short"]
    soak = subprocess.Popen([*words, "--jobs", "2"], start_new_session=True)
    time.sleep(4.0)  # its seeds have their controllers by then
    soak.terminate()
    assert soak.wait(20.0) == 143
    until = time.monotonic() + 20.0
    while time.monotonic() < until:
        try:
            os.killpg(soak.pid, 0)
        except ProcessLookupError:
            return
        time.sleep(0.1)
    os.killpg(soak.pid, signal.SIGKILL)
    raise AssertionError("processes of the soak go on")


@pytest.mark.parametrize("held", [True, False], ids=["held by its link", "never answered"])
def test_no_message_of_a_worker_outlives_the_run(
    held: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A worker's first report is due while the kernel shuts down, and stays under way."""

    async def without_controllers(cluster: SoakCluster) -> None:
        pass

    async def slow_to_end() -> None:
        try:
            await curio.sleep(60.0)
        finally:
            await curio.sleep(2.0 * plan.TIMES.report_s)

    async def until_a_worker_runs(run: Run, cluster: SoakCluster) -> None:
        if held:
            cluster.links.faults["all"] = LinkFault("*", "*", HELD)
        else:
            for address in cluster.listen:
                silent.enter_context(socket.create_server(address))
        await cluster.add_machines(1)
        await curio.sleep(0.05)
        # The newest task is the first that the kernel cancels, and it waits for its end.
        await curio.spawn(slow_to_end, daemon=True)
        await curio.sleep(0.01)

    monkeypatch.setattr(SoakCluster, "_start", without_controllers)
    monkeypatch.setattr(Run, "_play", until_a_worker_runs)
    with contextlib.ExitStack() as silent:
        result = event_loop.run(Run(plan.draw(1, plan.size("short"), [])).play)
    assert not result.broken


def test_a_short_soak_keeps_the_rules(tmp_path: Path) -> None:
    report = tmp_path / "soak.json"
    result = CliRunner().invoke(
        cli.main, ["soak", "--seeds", "1", "--size", "short", "--report", str(report)]
    )
    assert result.exit_code == 0, result.output
    (found,) = msgspec.json.decode(report.read_bytes())
    assert found["starts"] > 20 and found["cancellations"] > 5 and not found["broken"]
