"""Stand-ins by the protocol, on a clock of their own: state service, workers, a cloud's deletions.

They are simple on purpose: a scenario says what fails and when, and the world notes each broken
rule. Real sockets and the bench are not needed.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Any

import curio
from rules import Rules
from traffic_recorder import note

from umberward.clients import state_client
from umberward.control.job_api import JobApi
from umberward.control.job_state_cache import JobStateCache
from umberward.core.settings import OperatorSettings, validate
from umberward.core.types import (
    ControllerName,
    FencingToken,
    Instant,
    JobId,
    Key,
    MachineId,
    MachineTypeName,
    Revision,
    Version,
    WallTime,
)
from umberward.leader import command_sender, failover_snapshot, live_job_sweeper
from umberward.local import statecore
from umberward.local.statecore import StateCore
from umberward.local.workercore import Fate, Task, WorkerCore
from umberward.protocol import transactions, wire
from umberward.protocol.http import Response
from umberward.protocol.transactions import VersionedValue
from umberward.protocol.wire import (
    BLOCKS_PREFIX,
    FINAL_JOBS_PREFIX,
    LIVE_JOBS_PREFIX,
    Heartbeat,
    JobRecord,
    JobSpec,
    MachineType,
)
from umberward.scheduling import job_records
from umberward.scheduling.autoscaler import Autoscaler
from umberward.scheduling.cluster_state import DirectCommand, Probe
from umberward.scheduling.command_queue import CommandQueue
from umberward.scheduling.lease_bounds import LeaseBounds
from umberward.scheduling.lease_delegation import Delegate
from umberward.scheduling.scheduler import Scheduler

STEP = 0.1


def raw_settings(**teams: Any) -> dict[str, Any]:
    return {
        "label": "n0",
        "site": "a",
        "listen": "127.0.0.1:1",
        "peer_bind": "127.0.0.1:2",
        "endpoints": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
        "cluster": {
            "size": 3,
            "zones": ["a", "b"],
            "teams": [
                {"name": "red", **teams},
                {"name": "blue"},
            ],
            "workers": {
                "report_s": 1.0,
                "lease_s": 10.0,
                "gang_wait_s": 20.0,
                "gang_peer_s": 4.0,
                "cancel_s": 25.0,
            },
            "state": {"rps": 1000.0, "write_rps": 1000.0, "value_kb": 4.0, "txn_ops": 8},
            "cloud": {"rps": 2.0, "list_lag_s": 5.0},
            "machine_limits": {"cpu": 1.0, "memory_mb": 100.0, "sockets": 100},
        },
    }


MACHINE_TYPES = {
    MachineTypeName(sku.name): sku
    for sku in (
        MachineType("small", 4.0, 16.0, 0.2, 10.0, ["a", "b"], image_cache_gb=50.0, spot_price=0.1),
        MachineType("big", 32.0, 128.0, 3.0, 10.0, ["a", "b"], image_cache_gb=50.0),
        MachineType(
            "accel", 32.0, 128.0, 9.0, 10.0, ["a", "b"], accelerators=4.0, image_cache_gb=50.0
        ),
    )
}


class SimulatedStore:
    """The state service's semantics with the outcomes that a client may meet, and no sockets."""

    def __init__(self) -> None:
        self.core = StateCore()
        self.keys = self.core.keys
        self.mode = "ok"  # ok | down | lost (executed, no answer) | late (executed afterwards)
        self.pending: list[tuple[Any, Any]] = []
        self.requests = 0
        self.refused: list[str] = []
        self.applied: Callable[[], None] = lambda: None
        self.meanwhile: Any = None  # what happens between a reading and its use

    @property
    def revision(self) -> int:
        return self.core.revision

    @property
    def written(self) -> int:
        return self.core.written

    async def get(self, key: Key, *_: Any, **__: Any) -> VersionedValue | None:
        self.requests += 1
        await curio.sleep(0)  # others run meanwhile
        note("read", key, self.mode)
        if self.mode == "down":
            raise state_client.StateUnavailableError("down")
        return self.keys.get(key)

    async def list_all(self, prefix: str) -> tuple[list[wire.KeyValue], Revision]:
        self.requests += 1
        note("list", prefix, self.mode)
        if self.mode == "down":
            raise state_client.StateUnavailableError("down")
        found: list[wire.KeyValue] = []
        while True:
            page = self.core.entries(prefix, found[-1].key if found else "")
            found += page.entries
            if not page.more:
                return found, Revision(page.revision)

    async def watch(
        self, prefix: str, after: Revision, *_: Any
    ) -> tuple[list[wire.KeyChange], Revision]:
        self.requests += 1
        note("watch", prefix, after, self.mode)
        if self.mode == "down":
            raise state_client.StateUnavailableError("down")
        try:
            news = self.core.news(prefix, after)
        except statecore.RevisionCompactedError:
            raise state_client.RevisionCompactedError from None
        revision = Revision(self.revision)
        meanwhile, self.meanwhile = self.meanwhile, None
        if meanwhile is not None:
            await meanwhile()
        return news, revision

    async def commit(self, conditions: Any, writes: Any, **_: Any) -> Revision:
        self.requests += 1
        conditions = list(conditions)
        note("commit", conditions, writes, self.mode)
        if self.mode == "down":
            raise state_client.StateUnavailableError("down")
        if self.mode == "late":
            self.pending.append((conditions, writes))
            raise state_client.UnknownOutcomeError("no answer")
        self.apply(conditions, writes)
        if self.mode == "lost":
            raise state_client.UnknownOutcomeError("no answer")
        return Revision(self.revision)

    def apply(self, conditions: Any, writes: Any) -> None:
        try:
            self.core.commit(conditions, writes)
        except statecore.CompareFailedError as error:
            note("applied", conditions, writes, "conflict", error.keys)
            raise state_client.CompareAndSwapError(str(error)) from None
        except statecore.InvalidRequestError as error:
            note("applied", conditions, writes, "refused")
            self.refused.append(str(error))
            raise state_client.ValueTooLargeError("400") from None
        note("applied", conditions, writes, self.revision)
        self.applied()

    def keep(self, path: str, data: Any) -> None:
        """A record that stands there already, whatever its size."""
        self.core.revision += 1
        self.keys[path] = VersionedValue(data, Version(self.revision))

    def deliver_late(self) -> None:
        for conditions, writes in self.pending:
            try:
                self.apply(conditions, writes)
            except state_client.CompareAndSwapError:
                continue
        self.pending.clear()


class HeldCommand:
    """A direct command on its way. Its sender waits until `gives_up_at`, None: it has given up."""

    def __init__(self, command: DirectCommand, sender: Scheduler, gives_up_at: float) -> None:
        self.command = command
        self.sender = sender
        self.gives_up_at: float | None = gives_up_at


class Worker(WorkerCore):
    """A worker's semantics, and what may befall it and its messages."""

    def __init__(
        self, world: SimulatedCluster, host: str, flavor: str, zone: str, spot: bool
    ) -> None:
        times = world.settings.platform.cluster.workers
        sku = MACHINE_TYPES[MachineTypeName(flavor)]
        super().__init__(
            host,
            "127.0.0.1:9",
            sku,
            zone,
            spot,
            times,
            world.mates,
            world.describe,
            self._fate,
            world.now,
        )
        self.world = world
        self.report_at = world.now
        self.sick = False
        self.dead = False
        self.cut = False  # no packet passes
        self.deaf = False  # responses to its reports are lost
        self.mute = False  # its reports are lost, direct commands reach it
        self.slow = False  # a report that it sends is under way until this ends
        self.astray = False  # it reports to the former leader
        self.oneway = False  # its reports arrive, and nothing reaches it
        self.sent_heartbeats: deque[tuple[float, bytes]] = deque(
            maxlen=200
        )  # its reports, for late copies
        self.heartbeat_in_flight: tuple[float, int, bytes] | None = (
            None  # sent when, in which session
        )
        self.holding = False  # direct commands are held back and delivered later
        self.held_commands: list[HeldCommand] = []

    def _fate(self, name: str, spec: JobSpec) -> Fate:
        return Fate(0.3) if self.sick else self.world.fate(name, spec)

    def start(self, name: str, attempt: int) -> None:
        self.world.started(self, name, attempt)
        super().start(name, attempt)

    def _exit(self, task: Task, cause: str, stored: bool | None = None) -> None:
        if self.sick and cause == wire.DONE:
            self.mates.done.discard(task.name)
            cause = "error"
        super()._exit(task, cause, stored)
        if cause == wire.DONE:
            self.world.completed(task.name)


class SimulatedCluster(Rules):
    workers: dict[str, Worker]  # type: ignore[assignment]

    def __init__(
        self, raw: dict[str, Any] | None = None, operator: OperatorSettings | None = None
    ) -> None:
        self.settings = validate(raw or raw_settings(), operator or OperatorSettings())
        super().__init__(self.settings.platform.cluster, MACHINE_TYPES.values())
        self.now = 100.0
        self.store = SimulatedStore()
        self.scheduler: Scheduler | None = None
        self.autoscaler: Autoscaler | None = None
        self.epoch = 0
        self.seen_revision = 0
        self.placing = True
        self.watching = True
        self.cloud_up = True
        self.job_states = JobStateCache(self.settings, self.store, lambda: self.now)  # type: ignore[arg-type]
        self.job_api = JobApi(
            self.settings, self.store, self.job_states, MACHINE_TYPES, lambda: WallTime(self.now)
        )  # type: ignore[arg-type]
        self.paused = False  # the leader stands still, its clock goes on
        self.probes = 0
        self.store.applied = self._check_blocks
        self.blocked: set[str] = set()  # machines that stood in a block
        self.sweep_at = 0.0
        self.rng = random.Random(7)
        self.former_leaders: list[Scheduler] = []
        self.lost_commands: list[HeldCommand] = []  # that never arrive, and are not given up yet
        times = self.settings.platform.cluster.workers
        self.leader_since = self.now
        self.keepalive_s = LeaseBounds(times).keepalive_s  # for so long the former one answers
        # The other controllers, with the zone of each, and the zones that are cut off.
        self.delegates = {
            peer.label: (peer.site, Delegate(self.settings.platform.cluster.workers))
            for peer in self.settings.platform.peers
        }
        self.cut_off_zones: set[str] = set()

    # ---- controllers -------------------------------------------------------------------

    def takeover(self) -> None:
        """A controller becomes the leader: a new token, then blocks and jobs are read."""
        self.take_blocks()
        self.take_jobs()

    def succeed(self) -> None:
        """Another controller takes over, and has heard what the last leader had learnt."""
        assert self.scheduler is not None and self.autoscaler is not None
        told = failover_snapshot.encode_snapshot(
            failover_snapshot.take_snapshot(self.scheduler, self.autoscaler, Instant(self.now))
        )
        note("hints", told)
        self.take_blocks()
        found = failover_snapshot.decode_snapshot(told)
        assert found is not None
        failover_snapshot.restore_snapshot(
            found, 1.0, self.scheduler, self.autoscaler, Instant(self.now)
        )
        self.take_jobs()

    def restart(self) -> None:
        """All controllers ended at once: the new leader has what the last one stored."""
        assert self.scheduler is not None and self.autoscaler is not None
        told = failover_snapshot.take_snapshot(self.scheduler, self.autoscaler, Instant(self.now))
        for number, part in enumerate(failover_snapshot.split_snapshot(told, 2, 1000)):
            self.store.apply([], [transactions.put(Key(f"{wire.SNAPSHOT_PREFIX}{number}"), part)])
        self.take_blocks()
        for key, got in sorted(self.store.keys.items()):
            if key.startswith(wire.SNAPSHOT_PREFIX):
                found = wire.convert(got.data, failover_snapshot.FailoverSnapshot)
                failover_snapshot.restore_snapshot(
                    found, 15.0, self.scheduler, self.autoscaler, Instant(self.now)
                )
        self.take_jobs()

    def take_blocks(self) -> None:
        self.store.apply([], [transactions.put(Key("leader"), {"node": "n", "nonce": "x"})])
        self.epoch = self.store.revision
        self.leader_since = self.now
        if self.scheduler is not None:
            self.former_leaders.append(self.scheduler)
        made = Scheduler(
            self.settings,
            MACHINE_TYPES,
            FencingToken(self.epoch),
            Instant(self.now),
            lambda: WallTime(self.now),
            self.rng,
        )
        self.scheduler = made
        self.commands = CommandQueue(made, lambda: True)
        self.lost_commands = []
        self.autoscaler = Autoscaler(made, f"n-{self.epoch}", Instant(self.now))
        for key, got in list(self.store.keys.items()):
            if key.startswith(BLOCKS_PREFIX):
                record = wire.convert(got.data, wire.BlockRecord)
                made.load_block(
                    int(key[len(BLOCKS_PREFIX) :]), record, got.version, Instant(self.now)
                )

    def take_jobs(self) -> None:
        made = self.scheduler
        assert made is not None
        for key, got in list(self.store.keys.items()):
            if key.startswith(LIVE_JOBS_PREFIX):
                made.put_job(wire.convert(got.data, JobRecord), got.version)
        job_records.apply_final_records(made, self.store.core.news(FINAL_JOBS_PREFIX, 0))
        made.finish_loading()
        self.seen_revision = self.store.revision

    def stored_keys(self) -> dict[Key, VersionedValue]:
        return self.store.keys  # type: ignore[return-value]

    def is_gone(self, worker: Worker) -> bool:  # type: ignore[override]
        return worker.dead

    def cut_zone(self, zone: str, cut: bool) -> None:
        """The zone's workers and controllers reach each other and nobody else."""
        self.cut_off_zones = self.cut_off_zones | {zone} if cut else self.cut_off_zones - {zone}
        for worker in self.workers.values():
            if worker.zone == zone:
                worker.cut = cut

    def crash(self) -> None:
        self.scheduler = None

    # ---- users -------------------------------------------------------------------------

    def accepted_before(self, data: dict[str, Any]) -> None:
        """A job of a live record that stands there already."""
        spec = data["spec"]
        bits = int(data.get("done", "0"), 16)
        base = data.get("base", 0)
        done = [n for n in range(spec["shards"]) if n < base or bits >> (n - base) & 1]
        self.specs[spec["uid"]] = {
            **spec,
            "_runs": 10.0,
            "_done": {f"{spec['uid']}/{n}" for n in done},
        }

    def submit(self, spec: Any) -> Response:
        body = spec if isinstance(spec, bytes) else wire.encode(spec)
        response = self._serve(self.job_api.submit, body)
        if response.status in (200, 201) and isinstance(spec, dict):
            self.specs.setdefault(spec["uid"], spec)
            self.submitted.setdefault(spec["uid"], self.now)
            self.check_phase(spec["uid"], response)
        return response

    def poll(self, id: str) -> Response:
        response = self._serve(self.job_api.poll, JobId(id))
        self.check_phase(id, response)
        return response

    def poll_at_once(self, id: str, times: int) -> int:
        """So many polls together; how many requests to the state service they cost."""

        async def polls(id: JobId) -> Response:
            asked = [await curio.spawn(self.job_api.poll, id) for _ in range(times)]
            answers = [await task.join() for task in asked]
            assert all(answer.status == 200 for answer in answers)
            return answers[0]  # type: ignore[no-any-return]

        before = self.store.requests
        self._serve(polls, JobId(id))
        return self.store.requests - before

    def polls_one_by_one(self, id: str, times: int, gap_s: float) -> None:
        async def polls(id: JobId) -> Response:
            asked = []
            for _ in range(times):
                asked.append(await curio.spawn(self.job_api.poll, id))
                await curio.sleep(gap_s)
            answers = [await task.join() for task in asked]
            assert all(answer.status == 200 for answer in answers)
            return answers[0]  # type: ignore[no-any-return]

        self._serve(polls, JobId(id))

    def cancel(self, id: str) -> Response:
        response = self._serve(self.job_api.cancel, JobId(id))
        if response.status == 200 and self.check_phase(id, response) == wire.CANCELLED:
            self.cancelled.setdefault(id, self.now)
        return response

    def cancel_elsewhere(self, id: str) -> None:
        """Another controller takes the cancellation and tells the user."""
        mirror, users = self.job_states, self.job_api
        self._other_controller()
        self.cancel(id)
        self.job_states, self.job_api = mirror, users

    def _other_controller(self) -> None:
        self.job_states = JobStateCache(self.settings, self.store, lambda: self.now)  # type: ignore[arg-type]
        self.job_api = JobApi(
            self.settings,
            self.store,
            self.job_states,
            MACHINE_TYPES,
            self.job_api.admission.wall_clock,
        )  # type: ignore[arg-type]

    def poll_elsewhere(self, id: str) -> Response:
        """At a controller that was started just now."""
        mirror, users = self.job_states, self.job_api
        self._other_controller()
        response = self.poll(id)
        self.job_states, self.job_api = mirror, users
        return response

    def poll_elsewhere_at_once(self, id: str, times: int) -> list[Response]:
        async def polls(id: JobId) -> Any:
            asked = [await curio.spawn(self.job_api.poll, id) for _ in range(times)]
            return [await task.join() for task in asked]

        self._other_controller()
        answers: Any = self._serve(polls, JobId(id))
        return list(answers)

    def poll_across_cancel(self, id: str, seconds: float) -> Response:
        """We stand still after we have read the answer to a poll; meanwhile another controller
        cancels the job and says so."""
        self.cancel_after_reading(id, seconds)
        return self.poll(id)

    def cancel_after_reading(self, id: str, seconds: float) -> None:
        async def meanwhile() -> None:
            mirror, users = self.job_states, self.job_api
            self._other_controller()
            running = await curio.spawn(self.job_states.run, daemon=True)
            response = await self.job_api.cancel(JobId(id))
            await running.cancel()
            self.job_states, self.job_api = mirror, users
            assert self.check_phase(id, response) == wire.CANCELLED
            self.cancelled[id] = self.now
            self.now += seconds

        self.store.meanwhile = meanwhile

    def _serve(self, call: Any, argument: Any) -> Response:
        async def serve() -> Response:
            running = await curio.spawn(self.job_states.run, daemon=True)
            response: Response = await call(argument)
            await running.cancel()
            return response

        note("user asks", argument, self.now)
        made: Response = curio.run(serve)
        for answer in made if isinstance(made, list) else [made]:
            note("user is answered", answer.status, answer.body, answer.retry_after)
        return made

    # ---- time --------------------------------------------------------------------------

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP)):
            self.now = round(self.now + STEP, 6)
            self._step()

    def _step(self) -> None:
        for worker in self.workers.values():
            if not worker.dead:
                self._work(worker)
        scheduler = self.scheduler
        if scheduler is not None and not self.paused:
            now = Instant(self.now)
            scheduler.wake(now)
            if self.watching and self.store.mode != "down":
                job_records.apply_changes(scheduler, self.store.core.news("", self.seen_revision))
                self._look_up(scheduler)
                self.seen_revision = self.store.revision
                scheduler.jobs_read_at = now
            if self.store.mode != "down":
                self._delegate(scheduler, now)
            self._give_up(scheduler, now)
            scheduler.tick(now)
            if scheduler.token_rotation.wanted and self.store.mode == "ok":
                self.store.apply([], [transactions.put(Key("term"), 1)])
                scheduler.token_rotated(FencingToken(self.store.revision))
                self.epoch = self.store.revision
            if self.placing and self.store.mode != "down":
                scheduler.run_pass(now)
            self._flush(scheduler)
            self._write(scheduler)
            self._flush(scheduler)
            self._sweep(scheduler, now)
            if self.cloud_up and self.autoscaler is not None:
                for machine in self.autoscaler.unreachable_machines_to_return(now):
                    machine.deletion_requested = True
                gone = [id for id in self.autoscaler.machines_to_delete(now) if id in self.workers]
                for id in gone:
                    note("machine deleted", id, self.now)
                    self.delete(id)
        self._check()

    def _delegate(self, scheduler: Scheduler, now: Instant) -> None:
        for name, (zone, borrower) in self.delegates.items():
            if zone not in self.cut_off_zones and now - borrower.asked_at >= 1.0:
                loan = scheduler.delegate(
                    ControllerName(name), borrower.serial, borrower.unused, now
                )
                if loan is not None:
                    note("loan", name, loan)
                    borrower.accept(loan, now, now)

    def _sweep(self, scheduler: Scheduler, now: Instant) -> None:
        if now < self.sweep_at or self.store.mode == "down" or not scheduler.loaded:
            return
        self.sweep_at = now + live_job_sweeper.SWEEP_INTERVAL_S
        entries = self.store.core.entries(LIVE_JOBS_PREFIX, "").entries
        for id in scheduler.find_unknown_jobs(entries, now):
            job_records.apply_unknown_job(
                scheduler, id, self.store.keys[Key(LIVE_JOBS_PREFIX + id)], now
            )
        scheduler.repair(now)

    def _look_up(self, scheduler: Scheduler) -> None:
        for id in list(scheduler.waiting_jobs.graph.unresolved_ids):
            found = self.store.keys.get(Key(FINAL_JOBS_PREFIX + id))
            if found is not None:
                job_records.apply_final_record(scheduler, id, found.data)

    def _write(self, scheduler: Scheduler) -> None:
        for _ in range(5):
            batch = scheduler.writer.next_transaction(Instant(self.now))
            if batch is None or self.store.mode == "down":
                return
            try:
                revision = curio.run(self.store.commit, batch.conditions, batch.writes)
            except state_client.ValueTooLargeError:
                return
            except (state_client.CompareAndSwapError, state_client.UnknownOutcomeError):
                for key, _ in batch.conditions:
                    scheduler.reconcile_key(key, self.store.keys.get(key))
                return
            scheduler.transaction_committed(batch, Version(revision), Instant(self.now))

    def _flush(self, scheduler: Scheduler) -> None:
        for _ in range(6):
            out, scheduler.outbox = scheduler.outbox, []
            if not out:
                return
            for item in out:
                worker = self.workers.get(item.machine)
                now = Instant(self.now)
                silent = worker is None or worker.dead or worker.cut or worker.oneway
                if isinstance(item, Probe):
                    self.probes += 1
                    note("probe", item.machine, silent, self.now)
                    scheduler.probe_completed(item, None if silent else worker.report(), now)
                    continue
                self._send(scheduler, self.commands.submit(item), now)

    def _send(self, scheduler: Scheduler, command: DirectCommand | None, now: Instant) -> None:
        """One command at a time is under way to each machine, as with the daemon."""
        while command is not None:
            note(
                "command",
                command.machine,
                command.fencing_token,
                command.incarnation,
                command.commands,
                self.now,
            )
            worker = self.workers.get(command.machine)
            gives_up_at = now + command_sender.COMMAND_TIMEOUT_S
            if worker is not None and worker.holding:
                worker.held_commands.append(HeldCommand(command, scheduler, gives_up_at))
                return
            if worker is not None and worker.oneway and not worker.dead:
                # Packets that only one way passes: what was sent may have arrived.
                self.lost_commands.append(HeldCommand(command, scheduler, gives_up_at))
                return
            unreachable = worker is None or worker.dead or worker.cut
            report = None if unreachable else self._do(worker, command)  # type: ignore[arg-type]
            scheduler.command_completed(command, report, False, now)
            command = self.commands.completed(command.machine)

    def _give_up(self, scheduler: Scheduler, now: Instant) -> None:
        """Commands that had no answer within the daemon's time-out."""
        held = [one for worker in self.workers.values() for one in worker.held_commands]
        for one in [*held, *self.lost_commands]:
            if one.sender is scheduler and one.gives_up_at is not None and now >= one.gives_up_at:
                one.gives_up_at = None
                scheduler.command_completed(one.command, None, True, now)
                self._send(scheduler, self.commands.completed(one.command.machine), now)
        self.lost_commands = [one for one in self.lost_commands if one.gives_up_at is not None]

    def release(self, name: str) -> None:
        """Deliver what was held back, however old."""
        worker = self.workers[name]
        worker.holding = False
        held, worker.held_commands = worker.held_commands, []
        for one in held:
            report = self._do(worker, one.command)
            if one.gives_up_at is not None and one.sender is self.scheduler:
                now = Instant(self.now)
                one.sender.command_completed(one.command, report, False, now)
                self._send(one.sender, self.commands.completed(worker.host), now)  # type: ignore[arg-type]

    def delete(self, name: str) -> None:
        del self.workers[name]
        if self.scheduler is not None:
            self.scheduler.remove_machines([name], Instant(self.now))  # type: ignore[list-item]
        if self.autoscaler is not None:
            self.autoscaler.machines_removed([name])  # type: ignore[list-item]

    # ---- workers -----------------------------------------------------------------------

    def _work(self, worker: Worker) -> None:
        worker.tick(self.now)
        if worker.notice_at is not None and worker.notice_at <= self.now:
            worker.dead = True
            worker.end_session()
            return
        if self.now >= worker.report_at:
            # Its connections break: it turns to the next controller 1 s later, and so on.
            worker.report_at = self.now + (2.0 if worker.oneway else 1.0)
            self._send_heartbeat(worker)

    def _send_heartbeat(self, worker: Worker) -> None:
        sent = self.now
        if worker.cut:
            # Another controller of its zone may answer, and only it.
            for zone, borrower in self.delegates.values():
                if zone == worker.zone and zone in self.cut_off_zones:
                    told = borrower.may_answer(
                        MachineId(worker.host), worker.fencing_token, Instant(self.now)
                    )
                    worker.lease_renewed_at = sent if told else worker.lease_renewed_at
            return
        if self.scheduler is None or self.paused or worker.mute:
            return
        if worker.heartbeat_in_flight is None:
            worker.heartbeat_in_flight = (sent, worker.incarnation, wire.encode(worker.report()))
            worker.sent_heartbeats.append((sent, worker.heartbeat_in_flight[2]))
        if not worker.slow:
            self._deliver(worker)

    def _deliver(self, worker: Worker) -> None:
        """A report arrives, and its answer too, unless the worker has given it up."""
        assert worker.heartbeat_in_flight is not None
        (sent, tenure, body), worker.heartbeat_in_flight = worker.heartbeat_in_flight, None
        holder = self.scheduler
        if (
            worker.astray
            and self.former_leaders
            and self.now - self.leader_since < self.keepalive_s
        ):
            holder = self.former_leaders[-1]  # it answers still, as it knows of no other
        assert holder is not None
        orders = holder.receive_heartbeat(
            wire.decode_heartbeat_header(body), body, Instant(self.now)
        )
        note("report", body, holder.fencing_token, orders, self.now)
        if orders is None and holder is not self.scheduler:
            worker.astray = False  # sent away, it looks for another controller
        if orders is None or worker.deaf or worker.oneway or self.now - sent > 4.0:
            return
        if self.store.mode == "down" or holder is not self.scheduler:
            orders = [order for order in orders if order.verb == wire.KILL]
        worker.answered(Instant(sent), tenure, holder.fencing_token, orders)

    def copy(self, said: deque[tuple[float, bytes]], age: float) -> None:
        """A late copy arrives of the latest report that is at least so old."""
        assert self.scheduler is not None
        body = next((body for sent, body in reversed(said) if self.now - sent >= age), None)
        if body is not None:
            # Nobody waits for an answer to it.
            orders = self.scheduler.receive_heartbeat(
                wire.decode_heartbeat_header(body), body, Instant(self.now)
            )
            note("copied report", body, orders, self.now)
            self._flush(self.scheduler)

    def _do(self, worker: Worker, command: DirectCommand) -> Heartbeat:
        worker.direct(command.fencing_token, command.incarnation, command.commands)
        report = worker.report()
        note(
            "command done",
            command.fencing_token,
            command.incarnation,
            command.commands,
            report,
            self.now,
        )
        return report

    def _check_ready(self) -> None:
        """What was kept of the machines from pass to pass is what a look at all of them finds."""
        scheduler = self.scheduler
        if scheduler is None:
            return
        usable, free = scheduler.schedulable_room()
        found = {
            m.id: m.free_room(MACHINE_TYPES[m.machine_type])
            for m in scheduler.machines.values()
            if m.schedulable
        }
        if found != free or {m.id for m in usable} != set(found):
            self.broken.append(f"kept of machines: {sorted(free)}, found {sorted(found)}")

    def _check_sessions(self) -> None:
        """No session is taken for over that its worker still lives in."""
        for machine in self.scheduler.machines.values() if self.scheduler is not None else ():
            worker = self.workers.get(machine.id)
            if (
                worker is not None
                and not worker.dead
                and worker.incarnation < machine.min_incarnation
            ):
                self.broken.append(f"session of {machine.id} taken for over")

    def _check_invariants(self) -> None:
        """A violation while a job is placed is met there, and the others are served."""
        found = {} if self.scheduler is None else self.scheduler.invariants.violations
        if found:
            self.broken.append(f"invariants: {', '.join(found)}")

    def _check(self) -> None:
        self._check_invariants()
        self._check_sessions()
        self._check_ready()
        self.check_now()

    def _check_blocks(self) -> None:
        stored = {
            name
            for key, got in self.store.keys.items()
            if key.startswith(BLOCKS_PREFIX)
            for name in got.data["hosts"]
        }
        self.blocked = (self.blocked | stored) & set(self.workers)
        for name in self.blocked - stored:
            self.broken.append(f"{name} stands in no block any more")
