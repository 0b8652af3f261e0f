"""An upgrade from the production version: both versions as real processes on one state service."""

from __future__ import annotations

import functools
import itertools
import re
import subprocess
import sys
from collections.abc import Sequence
from http import HTTPStatus
from pathlib import Path
from typing import Any, NamedTuple

import curio
import msgspec
import pytest

from umberward.cli.builds import EXIT_KNOWN_FAULT
from umberward.core import event_loop
from umberward.core.known_faults import KNOWN_FAULTS
from umberward.local.builds import (
    DEPLOY_FILE,
    ControllerBuild,
    current_build,
    export_build,
    production_commit,
    repository_root,
)
from umberward.local.links import LATE, LinkFault
from umberward.protocol import wire
from umberward.soak import plan
from umberward.soak.cluster import STATE, SoakCluster

ASKED, OTHER = 0, 1  # controllers: the one that is restarted and asked, and one that cancels
REQUEST_KINDS = ("poll", "cancel", "submit")
Pair = tuple[str, str]  # kinds of two requests, in the order in which they are sent
ALL_PAIRS: Sequence[Pair] = list(itertools.product(REQUEST_KINDS, repeat=2))
SUBMIT_AND_POLL: Sequence[Pair] = [("submit", "poll"), ("poll", "submit")]
LOOKUP_S = 0.3  # of a final record by the controller that is asked
GAP_S = 0.01  # between two requests for the same job
REQUEST_TIMEOUT_S = 5.0
READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.05
NOTICE_TIMEOUT_S = 15.0  # for the logs of the peers to name a controller's build

EXCERPT_LINES = 15
EXCERPT_AFTER_S = 12.0  # after a start: long enough for a second line of state
PATCH_RELEASE_COMMIT = "0fcfe804504e75ed3a700572259f04cfae41ee30"

# A version that takes a lookup in progress for its result, and the changes that mend it.
FAULTY_COMMIT = "e3e27d45fba9c421791ba7becade9d7c9039dc79"
MENDED_FILE = "umberward/mirror.py"
MEND = {
    "self.absent: OrderedDict[JobId, None]": "self.absent: OrderedDict[JobId, bool]",
    "found is None and id not in self.absent": "found is None and not self.absent.get(id)",
    "        self.absent[id] = None\n": "        self.absent[id] = False\n",
    "        if past is None:\n": "        if past is None:\n            self.absent[id] = True\n",
}


class Answers(NamedTuple):
    """The answers to two overlapping requests for one job that was cancelled."""

    kinds: Pair
    found: list[tuple[int, str]]  # status and phase of each
    build: str  # of the controller that answered

    @property
    def are_right(self) -> bool:
        return self.found == [(HTTPStatus.OK, wire.CANCELLED)] * 2


class FaultNotices(NamedTuple):
    """What this version says of the one controller that runs another build."""

    by_peers: list[list[str]]  # log lines with a known fault, of each other controller
    builds_exit_code: int
    builds_output: list[str]  # of `umberward builds`


class UpgradedCluster:
    """Controllers of this version, but for the one that is asked."""

    def __init__(self, build: ControllerBuild, folder: Path) -> None:
        soak_plan = plan.draw_plan(1, plan.size_by_name("short"), [])
        self.cluster = SoakCluster(SoakCluster.local_plan(soak_plan), folder)
        self.cluster.next_builds[ASKED] = build

    async def ask_about_ended_jobs(
        self, pairs: Sequence[Pair], *, restart_before_each: bool
    ) -> list[Answers]:
        """Ask a controller that was restarted after the jobs ended, once or before each pair."""
        jobs = [f"req-{number:06d}" for number in range(len(pairs))]
        try:
            async with self.cluster.task_scope:
                await self.cluster._start()
                for job in jobs:
                    assert await self._request("submit", job, OTHER) == (201, wire.PENDING)
                    assert await self._request("cancel", job, OTHER) == (200, wire.CANCELLED)
                name = self.cluster.controller_names[ASKED]
                answers = []
                for number, (kinds, job) in enumerate(zip(pairs, jobs, strict=True)):
                    if number == 0 or restart_before_each:
                        await self._restart()
                        self.cluster.links.faults["slow lookups"] = LinkFault(
                            STATE, name, LATE, f"/kv/{wire.FINAL_JOBS_PREFIX}", LOOKUP_S, LOOKUP_S
                        )
                    found = await self._ask_twice(kinds, job)
                    answers.append(Answers(kinds, found, self.cluster.build_of(name)))
                return answers
        finally:
            self.cluster._stop_processes()

    async def read_fault_notices(self) -> FaultNotices:
        """What peers and the command line say of the controllers' builds."""
        try:
            async with self.cluster.task_scope:
                await self.cluster._start()
                await self._builds_heard()
                result = await curio.run_in_thread(self._show_builds)
                by_peers = [
                    [line for line in lines if "peer_build_has_known_fault" in line]
                    for lines in self._lines_of_peers()
                ]
                return FaultNotices(by_peers, result.returncode, result.stdout.splitlines())
        finally:
            self.cluster._stop_processes()

    async def upgrade_and_read_excerpts(self) -> list[list[str]]:
        """The end of each log once the asked controller runs this version too."""
        try:
            async with self.cluster.task_scope:
                await self.cluster._start()
                await self._builds_heard()
                self.cluster.next_builds[ASKED] = current_build()
                await self._restart()
                await curio.sleep(EXCERPT_AFTER_S)
                names = self.cluster.controller_names
                return [self._lines_of(name)[-EXCERPT_LINES:] for name in names]
        finally:
            self.cluster._stop_processes()

    def _lines_of(self, name: str) -> list[str]:
        return (self.cluster.folder / f"{name}.log").read_text().splitlines()

    def _lines_of_peers(self) -> list[list[str]]:
        return [self._lines_of(name) for name in self.cluster.controller_names[OTHER:]]

    async def _builds_heard(self) -> None:
        """Wait until the controllers of this version have logged the builds of all."""

        def heard(lines: list[str]) -> bool:
            builds = [line for line in lines if " peer_builds " in line]
            return bool(builds) and "not_heard" not in builds[-1]

        async with curio.timeout_after(NOTICE_TIMEOUT_S):
            while not all(map(heard, self._lines_of_peers())):
                await curio.sleep(READY_POLL_S)

    def _show_builds(self) -> subprocess.CompletedProcess[str]:
        config = self.cluster.folder / f"{self.cluster.controller_names[OTHER]}.toml"
        command = [sys.executable, "-m", "umberward", "builds", "--config", str(config)]
        return subprocess.run(command, capture_output=True, text=True, check=False)

    async def _restart(self) -> None:
        process = self.cluster.controller_processes[ASKED]
        self.cluster.kill_controller(ASKED, 0.0)
        async with curio.timeout_after(READY_TIMEOUT_S):
            while self.cluster.controller_processes[ASKED] in (process, None):
                await curio.sleep(READY_POLL_S)
            while not await self.cluster._ready():
                await curio.sleep(READY_POLL_S)

    async def _ask_twice(self, kinds: tuple[str, str], job: str) -> list[tuple[int, str]]:
        async with curio.TaskGroup() as requests:
            for kind in kinds:
                await requests.spawn(self._request, kind, job, ASKED)
                await curio.sleep(GAP_S)
        return list(requests.results)

    async def _request(self, kind: str, job: str, controller: int) -> tuple[int, str]:
        method, target, body = {
            "submit": ("POST", "/v1/jobs", wire.encode(_job(job))),
            "poll": ("GET", f"/v1/jobs/{job}", b""),
            "cancel": ("POST", f"/v1/jobs/{job}/cancel", b""),
        }[kind]
        response = await self.cluster.client.request(
            self.cluster.listen[controller], method, target, body, REQUEST_TIMEOUT_S
        )
        if response.status not in (HTTPStatus.OK, HTTPStatus.CREATED):
            return response.status, ""
        return response.status, msgspec.msgpack.decode(response.body)["phase"]


def _job(job: str) -> dict[str, Any]:
    """An array that fits no machine that is up: it waits until it is cancelled."""
    amounts = {"cores": 4.0, "accelerators": 0.0, "mem_gb": 1.0, "pull_gb": 0.0, "expect_s": 5.0}
    checkpoints = {"snapshot_every_s": 0.0, "snapshot_cost_s": 0.0}
    place = {"same_place": False, "apart": False, "reclaimable": False}
    names = {"uid": job, "jobclass": "batch", "owner": "blue", "bundle": "img-1"}
    return {
        **names, **amounts, **checkpoints, **place,
        "shape": wire.ARRAY, "rank": "normal", "shards": 1,
    }  # fmt: skip


@pytest.fixture(scope="module")
def production_build(tmp_path_factory: pytest.TempPathFactory) -> ControllerBuild:
    repository = repository_root()
    folder = tmp_path_factory.mktemp("production")
    return export_build(production_commit(repository / DEPLOY_FILE), repository, folder)


@pytest.fixture(scope="module")
def faulty_build(tmp_path_factory: pytest.TempPathFactory) -> ControllerBuild:
    return export_build(FAULTY_COMMIT, repository_root(), tmp_path_factory.mktemp("faulty"))


@pytest.fixture(scope="module")
def patch_release(tmp_path_factory: pytest.TempPathFactory) -> ControllerBuild:
    return export_build(PATCH_RELEASE_COMMIT, repository_root(), tmp_path_factory.mktemp("patch"))


@pytest.fixture(scope="module")
def this_version() -> ControllerBuild:
    return current_build()


@pytest.fixture(scope="module")
def mended_build(tmp_path_factory: pytest.TempPathFactory) -> ControllerBuild:
    build = export_build(FAULTY_COMMIT, repository_root(), tmp_path_factory.mktemp("mended"))
    assert build.folder is not None
    path = build.folder / MENDED_FILE
    text = path.read_text()
    for faulty, mended in MEND.items():
        assert text.count(faulty) == 1
        text = text.replace(faulty, mended)
    path.write_text(text)
    return build._replace(name=f"{build.name} mended")


def wrong_answers(
    build: ControllerBuild,
    folder: Path,
    pairs: Sequence[Pair] = ALL_PAIRS,
    *,
    restart_before_each: bool = False,
) -> list[Answers]:
    cluster = UpgradedCluster(build, folder)
    answers: list[Answers] = event_loop.run(
        functools.partial(
            cluster.ask_about_ended_jobs, pairs, restart_before_each=restart_before_each
        )
    )
    assert [answer.kinds for answer in answers] == list(pairs)
    return [answer for answer in answers if not answer.are_right]


def test_production_version_beside_this_one_forgets_no_ended_job(
    production_build: ControllerBuild, tmp_path: Path
) -> None:
    assert wrong_answers(production_build, tmp_path) == []


def test_production_version_with_the_mend_beside_this_one_forgets_no_ended_job(
    mended_build: ControllerBuild, tmp_path: Path
) -> None:
    assert wrong_answers(mended_build, tmp_path) == []


def test_this_version_forgets_no_ended_job(tmp_path: Path) -> None:
    assert wrong_answers(current_build(), tmp_path) == []


def test_production_version_forgets_no_job_submitted_again_and_polled_before_it_has_listed_any(
    production_build: ControllerBuild, tmp_path: Path
) -> None:
    wrong = wrong_answers(production_build, tmp_path, SUBMIT_AND_POLL, restart_before_each=True)
    assert wrong == []


@pytest.mark.parametrize("version", ["patch_release", "this_version"])
def test_version_with_the_mend_forgets_no_job_submitted_again_and_polled_before_it_has_listed_any(
    version: str, tmp_path: Path, request: pytest.FixtureRequest
) -> None:
    build = request.getfixturevalue(version)
    assert wrong_answers(build, tmp_path, SUBMIT_AND_POLL, restart_before_each=True) == []


def fault_notices(build: ControllerBuild, folder: Path) -> FaultNotices:
    notices: FaultNotices = event_loop.run(UpgradedCluster(build, folder).read_fault_notices)
    return notices


@pytest.mark.parametrize("version", ["faulty_build", "patch_release"])
def test_peers_and_command_line_name_the_known_fault_of_a_build_that_names_none(
    version: str, tmp_path: Path, request: pytest.FixtureRequest
) -> None:
    """The patch release can't be told from the version with the fault: the line says so."""
    notices = fault_notices(request.getfixturevalue(version), tmp_path)
    for lines in notices.by_peers:
        (line,) = lines
        assert "WARNING" in line and "peer=keeper-0 build=unknown occasion=peer_started" in line
        assert "mended_in=0.1.1 unless='0.1.1 or later'" in line
    assert len(notices.by_peers) == 2
    assert notices.builds_exit_code == EXIT_KNOWN_FAULT
    (described,) = [line for line in notices.builds_output if "known fault" in line]
    assert described.startswith("keeper-0 unknown (unless it is 0.1.1 or later, has ")


def test_excerpt_of_every_log_names_builds_leader_and_a_faulty_process_that_has_ended(
    faulty_build: ControllerBuild, tmp_path: Path
) -> None:
    cluster = UpgradedCluster(faulty_build, tmp_path)
    excerpts: list[list[str]] = event_loop.run(cluster.upgrade_and_read_excerpts)
    this_build = current_build().name
    for excerpt in excerpts:
        (*_, state) = [line for line in excerpt if ": controller_state " in line]
        assert f" builds={this_build}:keeper-0,keeper-1,keeper-2 " in state
        assert re.search(
            rf" known_faults={KNOWN_FAULTS[0].name}:keeper-0@[0-9.]+ watched_from=[0-9.]+ ", state
        )
        assert re.search(
            r" leader=keeper-\d term=\d+ leader_read_s=\S+ token=\d+ token_read_s=\d", state
        )
    assert len(excerpts) == 3


def test_peers_and_command_line_name_no_known_fault_of_this_version(tmp_path: Path) -> None:
    notices = fault_notices(current_build(), tmp_path)
    assert notices.by_peers == [[], []]
    assert notices.builds_exit_code == 0
    assert notices.builds_output == [
        f"keeper-{number} {current_build().name}" for number in range(3)
    ]
