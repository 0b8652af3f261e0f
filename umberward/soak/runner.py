"""Runs one seed of a soak and produces its result."""

from __future__ import annotations

import contextlib
import random
import resource
import shutil
import tempfile
import time
from collections import Counter
from http import HTTPStatus
from pathlib import Path

import curio
import msgspec

from umberward.local.builds import current_build
from umberward.soak import history, plan
from umberward.soak.checker import Checker, Violation
from umberward.soak.cluster import SoakCluster, teams
from umberward.soak.faults import FaultInjector
from umberward.soak.history import Event
from umberward.soak.upgrade import BuildPair, Upgrade
from umberward.soak.users import Users

CHECK_INTERVAL_S = 0.05
KNOWN_EVERYWHERE_WITHIN_S = 75.0  # after all faults, for each controller to know each job
MAX_DRAIN_S = 240.0  # after all faults, how long unfinished jobs are watched
MAX_TIMELINE_LINES = 60  # of events, and of each controller's log
KIB_PER_MIB = 1024.0
EVENTS_FILE = "events.txt"  # in the folder of a kept seed


class Result(msgspec.Struct):
    """The result of one seed.

    `processor_s`: of all controller processes together; `memory_mb`: of the largest one;
    `late_in_flight`, `late_sent_after`: starts after a confirmed cancellation, sent before it and
    after it; `late_copies`: direct commands delivered once more; `builds`: those of the
    controllers, the first one first; `broken_by_build`: the number of violations by the build that
    answered or acted.
    """

    seed: int
    workers: int
    faults: dict[str, int]
    jobs: int
    starts: int
    cancellations: int
    kills: int
    takeovers: int
    late_in_flight: int
    late_sent_after: int
    late_copies: int
    unfinished: int
    broken: list[Violation]
    builds: list[str]
    broken_by_build: dict[str, int]
    processor_s: float
    memory_mb: float
    seconds: float
    timeline: list[str] = []


class SoakRun:
    """The run of one plan."""

    def __init__(
        self, soak_plan: plan.Plan, keep: Path | None = None, builds: BuildPair | None = None
    ) -> None:
        """Start nothing yet.

        `keep`: if a rule is broken, where to keep all events and the controllers' logs. `builds`:
        the controllers are upgraded from one to the other during the run; None: all run this one.
        """
        self.soak_plan = soak_plan
        self.keep = keep
        self.builds = builds
        self.upgrade: Upgrade | None = None
        self.checker = Checker(teams(soak_plan.size), plan.WORKER_TIMES.cancel_s)
        self.events: list[Event] = []
        self.kills = 0
        self.unfinished = 0  # jobs not finished when the run ended

    async def execute(self) -> Result:
        """Run the plan on a cluster of its own.

        Raises HarnessError or RuntimeError if the soak itself fails.
        """
        started_at = time.monotonic()
        folder = Path(tempfile.mkdtemp(prefix="umberward-soak-"))
        cluster = SoakCluster(SoakCluster.local_plan(self.soak_plan), folder)
        cluster.record = self._record
        if self.builds is not None:
            self.upgrade = Upgrade(cluster, self.soak_plan.roll, self.builds)
        try:
            try:
                async with cluster.task_scope:
                    await cluster._start()
                    await self._run_plan(cluster)
            finally:
                cluster._stop_processes()
            if self.keep is not None and self.checker.violations:
                self._keep_records(self.keep / f"seed-{self.soak_plan.seed}", folder)
            return self._result(cluster, time.monotonic() - started_at, folder)
        finally:
            shutil.rmtree(folder, ignore_errors=True)

    def _record(self, event: Event) -> None:
        self.events.append(event)
        self.checker.observe(event)
        if isinstance(event, history.ProcessEnded):
            self.kills += event.by_us

    async def _run_plan(self, cluster: SoakCluster) -> None:
        rng = random.Random(f"users {self.soak_plan.seed}")
        await cluster.add_machines(self.soak_plan.size.workers)
        cluster.run_started_at = time.monotonic()
        users = Users(cluster, rng, self.soak_plan.size.jobs_per_s)
        fault_injector = FaultInjector(cluster, users)
        # The run ends with the scenario, or as soon as the monitor fails.
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._monitor, cluster)
            await group.spawn(self._run_scenario, cluster, users, fault_injector)
        if group.exception is not None:
            raise group.exception

    async def _run_scenario(
        self, cluster: SoakCluster, users: Users, fault_injector: FaultInjector
    ) -> None:
        submitting = await cluster.task_scope.spawn(users.run, self.soak_plan.size.seconds)
        if self.upgrade is not None:
            upgrading = await cluster.task_scope.spawn(self.upgrade.run)
        await fault_injector.run(self.soak_plan.faults)
        await submitting.join()
        if self.upgrade is not None:
            await upgrading.join()
        await fault_injector.end_all()
        await self._drain(cluster, users)

    async def _monitor(self, cluster: SoakCluster) -> None:
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            cluster.observe()
            self.checker.check_deadlines(cluster.now())

    async def _drain(self, cluster: SoakCluster, users: Users) -> None:
        """Check after all faults that each controller knows each job and that all jobs progress."""
        faults_over_at = cluster.now()
        unconfirmed = [
            (job, name) for job in self.checker.accepted_at for name in cluster.controller_names
        ]
        while unconfirmed and cluster.now() < faults_over_at + KNOWN_EVERYWHERE_WITHIN_S:
            unconfirmed = [
                (job, name) for job, name in unconfirmed if await self._is_unknown(users, job, name)
            ]
        for job, name in unconfirmed:
            self.checker.report_forgotten(cluster.now(), job, name, cluster.build_of(name))
        await users.cancel_services()
        while self.checker.unfinished_jobs() and cluster.now() < faults_over_at + MAX_DRAIN_S:
            for job in self.checker.unfinished_jobs():
                await users.send_request("poll", job)
            self.checker.check_waiting_jobs(cluster.now())
            await curio.sleep(0.5)
        self.unfinished = len(self.checker.unfinished_jobs())

    async def _is_unknown(self, users: Users, job: str, name: str) -> bool:
        return await users.send_request("poll", job, name) != HTTPStatus.OK

    # ---- the result ----------------------------------------------------------------------

    def _keep_records(self, kept: Path, folder: Path) -> None:
        """Write the violations and all events to `kept`, with the files of the controllers."""
        shutil.copytree(folder, kept, dirs_exist_ok=True)
        lines = [
            f"{found.at:.3f} {found.rule}: {found.detail} [{found.build}]"
            for found in self.checker.violations
        ]
        lines += [history.format_event(event) for event in self.events]
        (kept / EVENTS_FILE).write_text("\n".join(lines) + "\n")

    def _result(self, cluster: SoakCluster, seconds: float, folder: Path) -> Result:
        usage = resource.getrusage(resource.RUSAGE_CHILDREN)
        kinds = [fault.kind.value for fault in self.soak_plan.faults]
        return Result(
            seed=self.soak_plan.seed,
            workers=self.soak_plan.size.workers,
            faults={kind: kinds.count(kind) for kind in sorted(set(kinds))},
            jobs=len(self.checker.jobs),
            starts=self.checker.starts,
            cancellations=len(self.checker.cancel_requested),
            kills=self.kills,
            takeovers=cluster.takeovers,
            late_in_flight=self.checker.late_in_flight,
            late_sent_after=self.checker.late_sent_after,
            late_copies=cluster.late_copies.count,
            unfinished=self.unfinished,
            broken=self.checker.violations,
            builds=[build.name for build in self.builds or [current_build()]],
            broken_by_build=dict(Counter(found.build for found in self.checker.violations)),
            processor_s=round(usage.ru_utime + usage.ru_stime, 1),
            memory_mb=round(usage.ru_maxrss / KIB_PER_MIB, 1),
            seconds=round(seconds, 1),
            timeline=self._timeline(cluster, folder) if self.checker.violations else [],
        )

    def _timeline(self, cluster: SoakCluster, folder: Path) -> list[str]:
        """Events and log lines about the job of the first violation, with faults and leaders."""
        broken = self.checker.violations[0]
        always_shown = (
            history.FaultBegan,
            history.LeaderChanged,
            history.ProcessStarted,
            history.ProcessEnded,
        )
        events = [
            history.format_event(event)
            for event in self.events
            if event.at <= broken.at + 1.0
            and (isinstance(event, always_shown) or _is_about(event, broken.job))
        ]
        lines = [
            f"{broken.at:.3f} {broken.rule}: {broken.job} {broken.detail} [{broken.build}]",
            *events[-MAX_TIMELINE_LINES:],
        ]
        for name in cluster.controller_names:
            with contextlib.suppress(OSError):
                text = (folder / f"{name}.log").read_text(errors="replace").splitlines()
                matching = [line for line in text if broken.job and broken.job in line]
                lines += [f"{name}: {line[:300]}" for line in matching[-MAX_TIMELINE_LINES:]]
        return lines


def _is_about(event: Event, job: str) -> bool:
    if not job:
        return False
    return job == getattr(event, "job", None) or getattr(event, "task", "").startswith(f"{job}/")
