"""The soak: its checker on histories that violate each rule, its faults, and a short run."""

from __future__ import annotations

import contextlib
import copy
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import curio
import msgspec
import pytest
from click.testing import CliRunner

from umberward.cli import main as cli
from umberward.core import event_loop
from umberward.core.settings import TeamQuota
from umberward.local.links import HELD, LinkFault
from umberward.soak import plan
from umberward.soak.checker import (
    MAX_START_AFTER_CANCEL_S,
    STARVATION_LIMIT_S,
    Checker,
    Violation,
)
from umberward.soak.cluster import SoakCluster
from umberward.soak.history import (
    Answered,
    CancelAsked,
    Event,
    LeaderChanged,
    MachineGone,
    MachineStill,
    MachineUp,
    ProcessEnded,
    SessionOver,
    Submitted,
    TaskEnded,
    TaskStarted,
)
from umberward.soak.runner import SoakRun

CANCEL_S = 11.0
JOB, TASK = "req-000001", "req-000001/0"


def broken_rules(*events: Event, until: float = 0.0, faults_over: bool = False) -> list[str]:
    """The names of the rules that the history violates, without duplicates."""
    return sorted({broken.rule for broken in violations(*events, until=until, over=faults_over)})


def violations(*events: Event, until: float = 0.0, over: bool = False) -> list[Violation]:
    """The violations in the history; `over`: whether all faults are over at its end."""
    checker = Checker([TeamQuota("red", cpus_max=4.0), TeamQuota("blue")], CANCEL_S)
    for event in (
        machine_up("m1"),
        machine_up("m2"),
        machine_up("m3", zone="b", spot=True),
        *events,
    ):
        checker.observe(event)
        checker.check_deadlines(event.at)
    if over:
        checker.check_waiting_jobs(events[-1].at)
        checker.check_waiting_jobs(until)
    checker.check_deadlines(until)
    return checker.violations


def machine_up(host: str, zone: str = "a", spot: bool = False) -> MachineUp:
    return MachineUp(0.0, host, "small", zone, spot, 4.0)


def submitted(
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


def task_started(
    at: float, host: str = "m1", attempt: int = 1, task: str = TASK, sent_at: float | None = None
) -> TaskStarted:
    return TaskStarted(at, host, 1, task, attempt, at if sent_at is None else sent_at)


def task_ended(at: float, host: str = "m1", attempt: int = 1, cause: str = "done") -> TaskEnded:
    return TaskEnded(at, host, TASK, attempt, cause)


def answer(
    at: float, phase: str, kind: str = "poll", status: int = 200, asked_at: float | None = None
) -> Answered:
    asked = at - 0.1 if asked_at is None else asked_at
    return Answered(at, kind, JOB, "keeper-0", asked, status, phase)


ACCEPTED = (submitted(), answer(1.2, "pending", "submit", 201))
CANCELLED = (*ACCEPTED, CancelAsked(2.0, JOB), answer(2.1, "cancelled", "cancel"))

ALLOWED_HISTORIES: dict[str, tuple[Event, ...]] = {
    "a plain job": (
        *ACCEPTED,
        task_started(2.0),
        task_ended(3.0),
        answer(4.0, "done"),
        answer(5.0, "done"),
    ),
    "again after its end": (
        *ACCEPTED,
        task_started(2.0),
        task_ended(3.0, cause="stopped"),
        task_started(4.0, "m2", 2),
    ),
    "again after a session": (
        *ACCEPTED,
        task_started(2.0),
        SessionOver(3.0, "m1"),
        task_started(4.0, "m2", 2),
    ),
    "late, in flight": (
        *CANCELLED,
        task_started(3.0, sent_at=2.0),
        task_ended(4.0, cause="stopped"),
    ),
    "older answer to an older question": (*CANCELLED, answer(2.2, "pending", asked_at=1.5)),
    "a question without an answer": (*ACCEPTED, answer(2.0, "", status=0)),
    "refused": (submitted(why_unfit="cores"), answer(1.2, "", "submit", 422)),
    "a gang that is done by one": (
        submitted(2, shape="ensemble"),
        answer(1.2, "pending", "submit", 201),
        task_started(2.0),
        task_ended(3.0),
        answer(4.0, "done"),
    ),
    "killed by the soak": (ProcessEnded(1.0, "keeper-0", -9, True),),
}

VIOLATING_HISTORIES: dict[str, tuple[str, tuple[Event, ...]]] = {
    "two at once": ("ran_twice", (*ACCEPTED, task_started(2.0), task_started(3.0, "m2", 2))),
    "the same attempt anew": (
        "restarted",
        (*ACCEPTED, task_started(2.0), task_ended(3.0, cause="stopped"), task_started(4.0)),
    ),
    "sent after a cancellation": (
        "ran_cancelled",
        (
            *CANCELLED,
            task_started(2.2 + MAX_START_AFTER_CANCEL_S),
            task_ended(2.3 + MAX_START_AFTER_CANCEL_S),
        ),
    ),
    "runs on after a cancellation": (
        "ran_cancelled",
        (
            *ACCEPTED,
            task_started(1.5),
            *CANCELLED[2:],
            answer(2.2 + CANCEL_S + 1.0, "", status=0),
        ),
    ),
    "goes on after it hung": (
        "ran_cancelled",
        (
            *ACCEPTED,
            task_started(1.5),
            MachineStill(1.6, "m1", True),
            *CANCELLED[2:],
            MachineStill(20.0, "m1", False),
        ),
    ),
    "forgotten": ("forgotten", (*ACCEPTED, answer(2.0, "", status=404))),
    "a repeat refused": ("forgotten", (*ACCEPTED, answer(2.0, "", "submit", 422))),
    "older answer": ("went_back", (*CANCELLED, answer(3.0, "running"))),
    "done and cancelled": (
        "went_back",
        (
            *ACCEPTED,
            task_started(2.0),
            task_ended(3.0),
            answer(4.0, "done"),
            CancelAsked(4.1, JOB),
            answer(5.0, "cancelled"),
        ),
    ),
    "accepted anew": ("went_back", (*CANCELLED, answer(3.0, "cancelled", "submit", 201))),
    "cancelled by nobody": ("went_back", (*ACCEPTED, answer(2.0, "cancelled"))),
    "done too soon": ("not_done", (*ACCEPTED, answer(2.0, "done"))),
    "invented": ("invented", (answer(2.0, "pending"),)),
    "runs and was refused": ("invented", (submitted(why_unfit="cores"), task_started(2.0))),
    "accepted though unfit": (
        "accepted",
        (submitted(why_unfit="cores"), answer(1.2, "pending", "submit", 201)),
    ),
    "over its limit": (
        "quota",
        (submitted(2, "red", cores=3.0), task_started(2.0), task_started(2.1, "m2", 1, f"{JOB}/1")),
    ),
    "other zone": ("wrong_place", (submitted(yard="b"), task_started(2.0))),
    "on a spot machine": ("wrong_place", (submitted(reclaimable=False), task_started(2.0, "m3"))),
    "not together": (
        "wrong_place",
        (submitted(2, same_place=True), task_started(2.0), task_started(2.1, "m3", 1, f"{JOB}/1")),
    ),
    "not apart": (
        "wrong_place",
        (submitted(2, apart=True), task_started(2.0), task_started(2.1, "m2", 1, f"{JOB}/1")),
    ),
    "ended by itself": ("ended_by_itself", (ProcessEnded(1.0, "keeper-0", 1, False),)),
}


@pytest.mark.parametrize("what", ALLOWED_HISTORIES)
def test_allowed_history_has_no_violation(what: str) -> None:
    assert broken_rules(*ALLOWED_HISTORIES[what]) == []


@pytest.mark.parametrize("what", VIOLATING_HISTORIES)
def test_each_violation_is_detected(what: str) -> None:
    rule, events = VIOLATING_HISTORIES[what]
    assert broken_rules(*events, until=events[-1].at) == [rule]


@pytest.mark.parametrize("what", VIOLATING_HISTORIES)
def test_each_violation_names_the_build_that_answered_or_acted(what: str) -> None:
    """That of an answer, of the sender of a start, of a process that ended, or the leader's."""
    rule, events = VIOLATING_HISTORIES[what]
    history: list[Any] = [LeaderChanged(0.5, "keeper-0", 7), *copy.deepcopy(events)]
    with_build = [event for event in history if "build" in event.__struct_fields__]
    for event in with_build[1:-1]:
        event.build = "other"
    with_build[0].build = with_build[-1].build = "responsible"
    found = violations(*history, until=events[-1].at)
    assert [(broken.rule, broken.build) for broken in found] == [(rule, "responsible")]


def test_job_waiting_beside_free_machine_is_detected() -> None:
    until = ACCEPTED[-1].at + STARVATION_LIMIT_S + 1.0
    assert broken_rules(*ACCEPTED, until=until, faults_over=True) == ["left_waiting"]
    assert broken_rules(*ACCEPTED, task_started(2.0), until=until, faults_over=True) == []
    all_deleted = [MachineGone(1.5, host) for host in ("m1", "m2", "m3")]
    assert broken_rules(*ACCEPTED, *all_deleted, until=50.0, faults_over=True) == []


def test_same_seed_draws_same_faults() -> None:
    size = plan.size_by_name("small")
    drawn = [plan.draw_plan(seed, size, plan.fault_kinds_by_name([])) for seed in (1, 1, 2)]
    assert drawn[0] == drawn[1] != drawn[2]
    plans = [plan.draw_plan(seed, size, list(plan.FaultKind)) for seed in range(200)]
    drawn_kinds = {fault.kind for drawn_plan in plans for fault in drawn_plan.faults}
    assert drawn_kinds == set(plan.FaultKind)


def test_same_seed_draws_same_upgrade_of_each_controller_in_either_direction() -> None:
    size = plan.size_by_name("small")
    drawn = [plan.draw_plan(seed, size, list(plan.FaultKind)).roll for seed in range(40)]
    assert drawn == [plan.draw_plan(seed, size, []).roll for seed in range(40)]
    assert {roll.to_beside for roll in drawn} == {False, True}
    for roll in drawn:
        assert sorted(turn.controller for turn in roll.turns) == [0, 1, 2]
        times = [turn.at_s for turn in roll.turns]
        assert times == sorted(times) and times[-1] < size.seconds


@pytest.mark.parametrize(
    ("arguments", "option"),
    [
        (["--seeds", "x"], "--seeds"),
        (["--seeds", "5-1"], "--seeds"),
        (["--size", "huge"], "--size"),
        (["--fault", "rain"], "--fault"),
        (["--beside", "no-such-commit"], "--beside"),
    ],
)
def test_invalid_option_exits_with_status_2(arguments: list[str], option: str) -> None:
    result = CliRunner().invoke(cli.main, ["soak", *arguments])
    assert result.exit_code == 2
    assert option in result.output.strip().splitlines()[-1]


def test_harness_failure_gives_no_result(monkeypatch: pytest.MonkeyPatch) -> None:
    """A worker task of the soak that ends is neither a violation nor a successful run."""
    from umberward.soak import cluster

    def failing(self: cluster.SoakCluster) -> None:
        raise cluster.HarnessError("the worker of m-000001 has ended")

    monkeypatch.setattr(cluster.SoakCluster, "observe", failing)
    result = CliRunner().invoke(cli.main, ["soak", "--seeds", "1", "--size", "short"])
    assert result.exit_code == 3
    assert "the soak failed: the worker of m-000001 has ended" in result.output


def test_terminated_soak_leaves_no_process() -> None:
    arguments = [sys.executable, "-m", "umberward", "soak", "--seeds", "1-2", "--size", "short"]
    soak = subprocess.Popen([*arguments, "--jobs", "2"], start_new_session=True)
    time.sleep(4.0)  # by then each seed has started its controllers
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
    raise AssertionError("processes of the soak are still running")


@pytest.mark.parametrize("hold_link", [True, False], ids=["held by its link", "never answered"])
def test_no_worker_message_outlives_the_run(
    hold_link: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A worker's first heartbeat is due while the kernel shuts down, and stays in flight."""

    async def start_nothing(cluster: SoakCluster) -> None:
        pass

    async def end_slowly() -> None:
        try:
            await curio.sleep(60.0)
        finally:
            await curio.sleep(2.0 * plan.WORKER_TIMES.report_s)

    async def run_one_worker(run: SoakRun, cluster: SoakCluster) -> None:
        if hold_link:
            cluster.links.faults["all"] = LinkFault("*", "*", HELD)
        else:
            for address in cluster.listen:
                silent_servers.enter_context(socket.create_server(address))
        await cluster.add_machines(1)
        await curio.sleep(0.05)
        # The kernel cancels the newest task first, and waits until it has ended.
        await curio.spawn(end_slowly, daemon=True)
        await curio.sleep(0.01)

    monkeypatch.setattr(SoakCluster, "_start", start_nothing)
    monkeypatch.setattr(SoakRun, "_run_plan", run_one_worker)
    with contextlib.ExitStack() as silent_servers:
        result = event_loop.run(SoakRun(plan.draw_plan(1, plan.size_by_name("short"), [])).execute)
    assert not result.broken


def test_records_of_a_broken_rule_are_kept(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    over_limit = "over its limit"

    async def start(cluster: SoakCluster) -> None:
        (cluster.folder / "keeper-0.log").write_text("a line\n")

    async def exceed_limit(run: SoakRun, _: SoakCluster) -> None:
        run.checker = Checker([TeamQuota("red", cpus_max=4.0)], CANCEL_S)
        for event in (machine_up("m1"), machine_up("m2"), *VIOLATING_HISTORIES[over_limit][1]):
            run._record(event)

    monkeypatch.setattr(SoakCluster, "_start", start)
    monkeypatch.setattr(SoakRun, "_run_plan", exceed_limit)
    soak_plan = plan.draw_plan(1, plan.size_by_name("short"), [])
    result = event_loop.run(SoakRun(soak_plan, tmp_path).execute)
    assert [found.rule for found in result.broken] == ["quota"]
    assert result.broken[0].detail.endswith(f"{JOB}/0#1@m1 {JOB}/1#1@m2")
    kept = tmp_path / "seed-1"
    assert (kept / "keeper-0.log").read_text() == "a line\n"
    lines = (kept / "events.txt").read_text().splitlines()
    assert "quota" in lines[0] and any("TaskStarted" in line for line in lines)


def test_short_soak_has_no_violation(tmp_path: Path) -> None:
    report = tmp_path / "soak.json"
    result = CliRunner().invoke(
        cli.main, ["soak", "--seeds", "1", "--size", "short", "--report", str(report)]
    )
    assert result.exit_code == 0, result.output
    (found,) = msgspec.json.decode(report.read_bytes())
    assert found["starts"] > 20 and found["cancellations"] > 5 and not found["broken"]


def test_short_soak_of_an_upgrade_between_equal_builds_has_no_violation(tmp_path: Path) -> None:
    report = tmp_path / "soak.json"
    options = ["--seeds", "2", "--size", "short", "--beside", "HEAD", "--report", str(report)]
    result = CliRunner().invoke(cli.main, ["soak", *options])
    assert result.exit_code == 0, result.output
    (found,) = msgspec.json.decode(report.read_bytes())
    assert len(found["builds"]) == 2 and not found["broken"]
    assert found["kills"] >= plan.CONTROLLER_COUNT and found["starts"] > 20
