"""A cluster simulated in memory: one leader, the state service and workers, on a simulated clock.

A scenario decides what fails and when; the cluster collects each broken rule. No sockets are used.
"""

from __future__ import annotations

import random
from collections import deque
from typing import Any

import curio
from cluster_settings import MACHINE_TYPES, raw_settings
from rules import RuleChecker
from simulated_store import SimulatedStore
from traffic_recorder import record_message

from umberward.clients import state_client
from umberward.control.job_api import JobApi
from umberward.control.job_state_cache import JobStateCache
from umberward.core.settings import OperatorSettings, settings_from_toml
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
from umberward.local.workercore import TaskAttempt, TaskOutcome, WorkerCore
from umberward.protocol import transactions, wire
from umberward.protocol.http import Response
from umberward.protocol.message_sizes import exceeds_body_limit
from umberward.protocol.transactions import AbsentKey, VersionedValue
from umberward.protocol.wire import (
    BLOCKS_PREFIX,
    FINAL_JOBS_PREFIX,
    LIVE_JOBS_PREFIX,
    Heartbeat,
    JobRecord,
    JobSpec,
)
from umberward.scheduling import job_records
from umberward.scheduling.autoscaler import Autoscaler
from umberward.scheduling.cluster_state import CommandMessage, Probe
from umberward.scheduling.command_queue import CommandQueue
from umberward.scheduling.scheduler import Scheduler
from umberward.scheduling.sessions.lease_bounds import LeaseBounds
from umberward.scheduling.sessions.lease_delegation import Delegate

STEP_S = 0.1


class HeldCommand:
    """A direct command in flight. Its sender waits until `gives_up_at`; None: it has given up."""

    def __init__(self, command: CommandMessage, sender: Scheduler, gives_up_at: float) -> None:
        self.command = command
        self.sender = sender
        self.gives_up_at: float | None = gives_up_at


class Worker(WorkerCore):
    """A worker with the faults that it and its messages may suffer."""

    def __init__(
        self, cluster: SimulatedCluster, host: str, flavor: str, zone: str, spot: bool
    ) -> None:
        times = cluster.settings.platform.cluster.workers
        sku = MACHINE_TYPES[MachineTypeName(flavor)]
        super().__init__(
            host,
            "127.0.0.1:9",
            sku,
            zone,
            spot,
            times,
            cluster.shared_tasks,
            cluster.find_spec,
            self._plan_outcome,
            cluster.now,
        )
        self.cluster = cluster
        self.next_heartbeat_at = cluster.now
        self.sick = False
        self.dead = False
        self.cut = False  # no message passes in either direction
        self.deaf = False  # responses to its heartbeats are lost
        self.mute = False  # its heartbeats are lost; direct commands reach it
        self.slow = False  # a heartbeat stays in flight until this flag is cleared
        self.astray = False  # it sends heartbeats to the former leader
        self.oneway = False  # its heartbeats arrive; nothing reaches it
        # Time of sending and body, for late copies.
        self.sent_heartbeats: deque[tuple[float, bytes]] = deque(maxlen=200)
        # Time of sending, session, body.
        self.heartbeat_in_flight: tuple[float, int, bytes] | None = None
        self.holding = False  # direct commands are held, to be delivered later
        self.held_commands: list[HeldCommand] = []
        self.executed_commands: list[CommandMessage] = []  # all direct ones, for late copies
        self.refusal: str | None = None  # why it refuses every start; None: it refuses none

    def _plan_outcome(self, name: str, spec: JobSpec) -> TaskOutcome:
        return TaskOutcome(0.3, "error") if self.sick else self.cluster.plan_outcome(name, spec)

    def start(self, name: str, attempt: int) -> None:
        if self.refusal is not None:
            task = self.tasks[(name, attempt)] = TaskAttempt(
                name, attempt, self.find_spec(name.split("/")[0]), self.now
            )
            task.exit(self.refusal)
            self.cluster.note_attempt(self, name, attempt)
            return
        self.cluster.started(self, name, attempt)
        super().start(name, attempt)

    def _exit(self, task: TaskAttempt, cause: str, stored: bool | None = None) -> None:
        if self.sick and cause == wire.DONE:
            self.shared_tasks.done.discard(task.name)
            cause = "error"
        super()._exit(task, cause, stored)
        if cause == wire.DONE:
            self.cluster.completed(task.name)


class SimulatedCluster(RuleChecker):
    workers: dict[str, Worker]  # type: ignore[assignment]

    def __init__(
        self, raw: dict[str, Any] | None = None, operator: OperatorSettings | None = None
    ) -> None:
        self.settings = settings_from_toml(raw or raw_settings(), operator or OperatorSettings())
        super().__init__(self.settings.platform.cluster, MACHINE_TYPES.values())
        self.now = 100.0
        self.store = SimulatedStore()
        self.scheduler: Scheduler | None = None
        self.autoscaler: Autoscaler | None = None
        self.snapshots_to_restore: list[tuple[failover_snapshot.FailoverSnapshot, float]] = []
        self.token = 0
        self.seen_revision = 0
        self.placing = True
        self.watching = True
        self.cloud_up = True
        self.job_states = JobStateCache(self.settings, self.store, lambda: self.now)  # type: ignore[arg-type]
        self.job_api = JobApi(
            self.settings, self.store, self.job_states, MACHINE_TYPES, lambda: WallTime(self.now)
        )  # type: ignore[arg-type]
        self.paused = False  # the leader does nothing while the clock advances
        self.probes = 0
        self.store.on_applied = self._check_blocks
        self.machines_in_blocks: set[str] = set()  # machines that have stood in a block record
        self.next_sweep_at = 0.0
        self.rng = random.Random(7)
        self.former_leaders: list[Scheduler] = []
        self.lost_commands: list[HeldCommand] = []  # never delivered, but not given up yet
        times = self.settings.platform.cluster.workers
        self.leader_since = self.now
        # The former leader may answer for this long.
        self.renewal_window_s = LeaseBounds(times).renewal_window_s
        # By name of the other controllers: their zone and their side of the lease delegation.
        self.delegates = {
            peer.label: (peer.site, Delegate(self.settings.platform.cluster.workers))
            for peer in self.settings.platform.peers
        }
        self.cut_off_zones: set[str] = set()

    # ---- controllers -------------------------------------------------------------------

    def takeover(self) -> None:
        """A controller becomes the leader: it gets a new token, then reads blocks and jobs."""
        self.load_blocks()
        self.load_jobs()

    def succeed(self) -> None:
        """Another controller takes over with the last leader's failover snapshot."""
        assert self.scheduler is not None and self.autoscaler is not None
        snapshot = failover_snapshot.encode_snapshot(
            failover_snapshot.take_snapshot(self.scheduler, self.autoscaler, Instant(self.now))
        )
        record_message("hints", snapshot)
        self.load_blocks()
        found = failover_snapshot.decode_snapshot(snapshot)
        assert found is not None
        self.snapshots_to_restore.append((found, 1.0))
        self.load_jobs()

    def restart(self) -> None:
        """All controllers restart at once: the new leader has the last one's stored snapshot."""
        assert self.scheduler is not None and self.autoscaler is not None
        snapshot = failover_snapshot.take_snapshot(
            self.scheduler, self.autoscaler, Instant(self.now)
        )
        for number, part in enumerate(failover_snapshot.split_snapshot(snapshot, 2, 1000)):
            self.store.apply([], [transactions.put(Key(f"{wire.SNAPSHOT_PREFIX}{number}"), part)])
        self.load_blocks()
        for key, got in sorted(self.store.keys.items()):
            if key.startswith(wire.SNAPSHOT_PREFIX):
                found = wire.convert(got.data, failover_snapshot.FailoverSnapshot)
                self.snapshots_to_restore.append((found, 15.0))
        self.load_jobs()

    def load_blocks(self) -> None:
        self.store.apply([], [transactions.put(Key("leader"), {"node": "n", "nonce": "x"})])
        self.token = self.store.revision
        self.leader_since = self.now
        if self.scheduler is not None:
            self.former_leaders.append(self.scheduler)
        scheduler = Scheduler(
            self.settings,
            MACHINE_TYPES,
            FencingToken(self.token),
            Instant(self.now),
            lambda: WallTime(self.now),
            self.rng,
        )
        self.scheduler = scheduler
        self.commands = CommandQueue(scheduler, lambda: True)
        self.lost_commands = []
        self.autoscaler = Autoscaler(scheduler, f"n-{self.token}", Instant(self.now))
        for key, got in list(self.store.keys.items()):
            if key.startswith(BLOCKS_PREFIX):
                record = wire.convert(got.data, wire.BlockRecord)
                scheduler.load_block(
                    int(key[len(BLOCKS_PREFIX) :]), record, got.version, Instant(self.now)
                )

    def load_jobs(self) -> None:
        scheduler = self.scheduler
        assert scheduler is not None
        for key, got in list(self.store.keys.items()):
            if key.startswith(LIVE_JOBS_PREFIX):
                scheduler.add_job(wire.convert(got.data, JobRecord), got.version)
        job_records.apply_final_records(
            scheduler, self.store.core.changes_after(FINAL_JOBS_PREFIX, 0)
        )
        self._restore_snapshots(scheduler)
        scheduler.finish_loading()
        self.seen_revision = self.store.revision

    def _restore_snapshots(self, scheduler: Scheduler) -> None:
        """Restore the former leader's snapshots, as the leader loop does once the jobs are read."""
        for snapshot, age_s in self.snapshots_to_restore:
            assert self.autoscaler is not None
            failover_snapshot.restore_snapshot(
                snapshot, age_s, scheduler, self.autoscaler, Instant(self.now)
            )
        self.snapshots_to_restore.clear()

    def stored_keys(self) -> dict[Key, VersionedValue]:
        return self.store.keys  # type: ignore[return-value]

    def is_gone(self, worker: Worker) -> bool:  # type: ignore[override]
        return worker.dead

    def cut_zone(self, zone: str, cut: bool) -> None:
        """Cut the zone off: its workers and controllers reach only each other. Or reconnect it."""
        self.cut_off_zones = self.cut_off_zones | {zone} if cut else self.cut_off_zones - {zone}
        for worker in self.workers.values():
            if worker.zone == zone:
                worker.cut = cut

    def crash(self) -> None:
        self.scheduler = None

    # ---- users -------------------------------------------------------------------------

    def register_stored_job(self, data: dict[str, Any]) -> None:
        """Register the job of a live record that is stored already."""
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

    def poll_concurrently(self, id: str, times: int) -> int:
        """The number of requests to the state service that concurrent polls cost."""

        async def polls(id: JobId) -> Response:
            asked = [await curio.spawn(self.job_api.poll, id) for _ in range(times)]
            answers = [await task.join() for task in asked]
            assert all(answer.status == 200 for answer in answers)
            return answers[0]  # type: ignore[no-any-return]

        before = self.store.requests
        self._serve(polls, JobId(id))
        return self.store.requests - before

    def poll_one_by_one(self, id: str, times: int, gap_s: float) -> None:
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
        """Cancel the job at another controller, which answers the user."""
        job_states, job_api = self.job_states, self.job_api
        self._use_other_controller()
        self.cancel(id)
        self.job_states, self.job_api = job_states, job_api

    def _use_other_controller(self) -> None:
        self.job_states = JobStateCache(self.settings, self.store, lambda: self.now)  # type: ignore[arg-type]
        self.job_api = JobApi(
            self.settings,
            self.store,
            self.job_states,
            MACHINE_TYPES,
            self.job_api.admission.wall_clock,
        )  # type: ignore[arg-type]

    def poll_elsewhere(self, id: str) -> Response:
        """Poll at a controller that has just started."""
        job_states, job_api = self.job_states, self.job_api
        self._use_other_controller()
        response = self.poll(id)
        self.job_states, self.job_api = job_states, job_api
        return response

    def poll_elsewhere_concurrently(self, id: str, times: int) -> list[Response]:
        async def polls(id: JobId) -> Any:
            asked = [await curio.spawn(self.job_api.poll, id) for _ in range(times)]
            return [await task.join() for task in asked]

        self._use_other_controller()
        answers: Any = self._serve(polls, JobId(id))
        return list(answers)

    def poll_across_cancel(self, id: str, seconds: float) -> Response:
        """Poll at a controller that pauses after reading the state, while another controller
        cancels the job and answers so."""
        self.cancel_after_reading(id, seconds)
        return self.poll(id)

    def cancel_after_reading(self, id: str, seconds: float) -> None:
        async def during_watch() -> None:
            job_states, job_api = self.job_states, self.job_api
            self._use_other_controller()
            running = await curio.spawn(self.job_states.run, daemon=True)
            response = await self.job_api.cancel(JobId(id))
            await running.cancel()
            self.job_states, self.job_api = job_states, job_api
            assert self.check_phase(id, response) == wire.CANCELLED
            self.cancelled[id] = self.now
            self.now += seconds

        self.store.during_watch = during_watch

    def _serve(self, call: Any, argument: Any) -> Response:
        async def serve() -> Response:
            running = await curio.spawn(self.job_states.run, daemon=True)
            response: Response = await call(argument)
            await running.cancel()
            return response

        record_message("user asks", argument, self.now)
        response: Response = curio.run(serve)
        for answer in response if isinstance(response, list) else [response]:
            record_message("user is answered", answer.status, answer.body, answer.retry_after)
        return response

    # ---- simulation --------------------------------------------------------------------

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.now = round(self.now + STEP_S, 6)
            self._step()

    def _step(self) -> None:
        for worker in self.workers.values():
            if not worker.dead:
                self._run_worker(worker)
        scheduler = self.scheduler
        if scheduler is not None and not self.paused:
            now = Instant(self.now)
            scheduler.discount_process_pause(now)
            if self.watching and self.store.mode != "down":
                job_records.apply_changes(
                    scheduler, self.store.core.changes_after("", self.seen_revision)
                )
                self._resolve_dependencies(scheduler)
                self.seen_revision = self.store.revision
                scheduler.jobs_read_requested_at = now
            if self.store.mode != "down":
                self._delegate(scheduler, now)
            self._time_out_commands(scheduler, now)
            scheduler.tick(now)
            if scheduler.token_rotation.requested and self.store.mode == "ok":
                self.store.apply([], [transactions.put(Key("term"), 1)])
                scheduler.token_rotated(FencingToken(self.store.revision))
                self.token = self.store.revision
            if self.placing and self.store.mode != "down":
                scheduler.run_pass(now)
            self._send_outbox(scheduler)
            self._write_state(scheduler)
            self._send_outbox(scheduler)
            self._sweep(scheduler, now)
            if self.cloud_up and self.autoscaler is not None:
                for machine in self.autoscaler.partially_reachable_machines_to_drain(now):
                    machine.draining = True
                gone = [id for id in self.autoscaler.machines_to_delete(now) if id in self.workers]
                for id in gone:
                    record_message("machine deleted", id, self.now)
                    self.delete(id)
        self._check()

    def _delegate(self, scheduler: Scheduler, now: Instant) -> None:
        for name, (zone, delegate) in self.delegates.items():
            if zone not in self.cut_off_zones and now - delegate.requested_at >= 1.0:
                delegation = scheduler.issue_delegation(
                    ControllerName(name), delegate.serial, delegate.unused, now
                )
                if delegation is not None:
                    record_message("loan", name, delegation)
                    delegate.accept(delegation, now, now)

    def _sweep(self, scheduler: Scheduler, now: Instant) -> None:
        if now < self.next_sweep_at or self.store.mode == "down" or not scheduler.loaded:
            return
        self.next_sweep_at = now + live_job_sweeper.SWEEP_INTERVAL_S
        entries = self.store.core.entries(LIVE_JOBS_PREFIX, "").entries
        for id in scheduler.find_unknown_jobs(entries, now):
            job_records.apply_missing_job(
                scheduler, id, self.store.keys[Key(LIVE_JOBS_PREFIX + id)], now
            )
        scheduler.run_maintenance(now)

    def _resolve_dependencies(self, scheduler: Scheduler) -> None:
        for id in list(scheduler.blocked_jobs.graph.unresolved_dependency_ids):
            found = self.store.keys.get(Key(FINAL_JOBS_PREFIX + id))
            if found is not None:
                job_records.apply_final_record(scheduler, id, found.data)

    def _write_state(self, scheduler: Scheduler) -> None:
        for _ in range(5):
            batch = scheduler.state_writer.next_transaction(Instant(self.now))
            if batch is None or self.store.mode == "down":
                return
            try:
                revision = curio.run(self.store.commit, batch.conditions, batch.writes)
            except state_client.TransactionRejectedError:
                return
            except (state_client.CompareAndSwapError, state_client.UnknownOutcomeError):
                for key, _ in batch.conditions:
                    absent = AbsentKey(key, Revision(self.store.revision))
                    scheduler.reconcile_key(key, self.store.keys.get(key) or absent)
                return
            scheduler.transaction_committed(batch, Version(revision), Instant(self.now))

    def _send_outbox(self, scheduler: Scheduler) -> None:
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
                    record_message("probe", item.machine, silent, self.now)
                    scheduler.probe_completed(item, None if silent else worker.report(), now)
                    continue
                self._send(scheduler, self.commands.add_and_take_next(item), now)

    def _send(self, scheduler: Scheduler, command: CommandMessage | None, now: Instant) -> None:
        """Send a command. As in a real leader, each machine has only one in flight."""
        while command is not None:
            record_message(
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
                # The response is lost too, so the leader can't know whether the command arrived.
                self.lost_commands.append(HeldCommand(command, scheduler, gives_up_at))
                return
            body = {
                "epoch": command.fencing_token,
                "tenure": command.incarnation,
                "orders": command.commands,
            }
            if self._is_oversized("command", wire.encode(body)):
                scheduler.command_completed(command, None, True, now)
                command = self.commands.finish_and_take_next(command.machine)
                continue
            unreachable = worker is None or worker.dead or worker.cut
            report = None if unreachable else self._execute(worker, command)  # type: ignore[arg-type]
            scheduler.command_completed(command, report, False, now)
            command = self.commands.finish_and_take_next(command.machine)

    def _is_oversized(self, what: str, body: bytes) -> bool:
        """Whether a message is above the limit; the receiver refuses it, and that is an error."""
        if not exceeds_body_limit(body):
            return False
        self.broken.append(f"a {what} above the limit on messages, {len(body)} bytes encoded")
        return True

    def _time_out_commands(self, scheduler: Scheduler, now: Instant) -> None:
        """Time out the commands that were not answered in time."""
        held = [
            held_command
            for worker in self.workers.values()
            for held_command in worker.held_commands
        ]
        for held_command in [*held, *self.lost_commands]:
            if (
                held_command.sender is scheduler
                and held_command.gives_up_at is not None
                and now >= held_command.gives_up_at
            ):
                held_command.gives_up_at = None
                scheduler.command_completed(held_command.command, None, True, now)
                self._send(
                    scheduler,
                    self.commands.finish_and_take_next(held_command.command.machine),
                    now,
                )
        self.lost_commands = [
            held_command
            for held_command in self.lost_commands
            if held_command.gives_up_at is not None
        ]

    def release_commands(self, name: str) -> None:
        """Deliver the held commands, however old."""
        worker = self.workers[name]
        worker.holding = False
        held, worker.held_commands = worker.held_commands, []
        for held_command in held:
            report = self._execute(worker, held_command.command)
            if held_command.gives_up_at is not None and held_command.sender is self.scheduler:
                now = Instant(self.now)
                held_command.sender.command_completed(held_command.command, report, False, now)
                self._send(
                    held_command.sender, self.commands.finish_and_take_next(worker.host), now
                )  # type: ignore[arg-type]

    def delete(self, name: str) -> None:
        del self.workers[name]
        if self.scheduler is not None:
            self.scheduler.remove_machines([name], Instant(self.now))  # type: ignore[list-item]
        if self.autoscaler is not None:
            self.autoscaler.forget_machines([name])  # type: ignore[list-item]

    # ---- workers -----------------------------------------------------------------------

    def _run_worker(self, worker: Worker) -> None:
        worker.tick(self.now)
        if worker.notice_at is not None and worker.notice_at <= self.now:
            worker.dead = True
            worker.end_session()
            return
        if self.now >= worker.next_heartbeat_at:
            # With broken connections it also tries the other controllers, 1 s apart.
            worker.next_heartbeat_at = self.now + (2.0 if worker.oneway else 1.0)
            self._send_heartbeat(worker)

    def _send_heartbeat(self, worker: Worker) -> None:
        sent = self.now
        if worker.cut:
            # Only another controller of its zone can answer.
            for zone, delegate in self.delegates.values():
                if zone == worker.zone and zone in self.cut_off_zones:
                    answered = delegate.claim_answer(
                        MachineId(worker.host), worker.fencing_token, Instant(self.now)
                    )
                    worker.lease_renewed_at = sent if answered else worker.lease_renewed_at
            return
        if self.scheduler is None or self.paused or worker.mute:
            return
        if worker.heartbeat_in_flight is None:
            worker.heartbeat_in_flight = (sent, worker.incarnation, wire.encode(worker.report()))
            worker.sent_heartbeats.append((sent, worker.heartbeat_in_flight[2]))
        if not worker.slow:
            self._deliver_heartbeat(worker)

    def _deliver_heartbeat(self, worker: Worker) -> None:
        """Deliver a heartbeat, and its response unless the worker no longer waits for it."""
        assert worker.heartbeat_in_flight is not None
        (sent, tenure, body), worker.heartbeat_in_flight = worker.heartbeat_in_flight, None
        leader = self.scheduler
        if (
            worker.astray
            and self.former_leaders
            and self.now - self.leader_since < self.renewal_window_s
        ):
            leader = self.former_leaders[-1]  # it still answers, as it knows of no other leader
        assert leader is not None
        if self._is_oversized("heartbeat", body):
            return
        orders = leader.receive_heartbeat(
            wire.decode_heartbeat_header(body), body, Instant(self.now)
        )
        token = leader.fencing_token_for(MachineId(worker.host))
        record_message("report", body, token, orders, self.now)
        if self._is_oversized("response", wire.encode({"epoch": token, "orders": orders})):
            return
        if orders is None and leader is not self.scheduler:
            worker.astray = False  # refused, the worker looks for another controller
        if orders is None or worker.deaf or worker.oneway or self.now - sent > 4.0:
            return
        if self.store.mode == "down" or leader is not self.scheduler:
            orders = [order for order in orders if order.verb == wire.KILL]
        worker.handle_heartbeat_response(Instant(sent), tenure, token, orders)

    def deliver_copy(self, heartbeats: deque[tuple[float, bytes]], age: float) -> None:
        """Deliver a late copy of the latest heartbeat that is at least `age` seconds old."""
        assert self.scheduler is not None
        body = next((body for sent, body in reversed(heartbeats) if self.now - sent >= age), None)
        if body is not None:
            # Nobody waits for its response.
            orders = self.scheduler.receive_heartbeat(
                wire.decode_heartbeat_header(body), body, Instant(self.now)
            )
            record_message("copied report", body, orders, self.now)
            self._send_outbox(self.scheduler)

    def deliver_command_copies(self, name: str) -> None:
        """Deliver a copy of each direct command that the worker has carried out and answered."""
        worker = self.workers[name]
        for command in worker.executed_commands:
            worker.handle_direct_commands(
                command.fencing_token, command.incarnation, command.commands
            )

    def _execute(self, worker: Worker, command: CommandMessage) -> Heartbeat:
        worker.executed_commands.append(command)
        worker.handle_direct_commands(command.fencing_token, command.incarnation, command.commands)
        report = worker.report()
        record_message(
            "command done",
            command.fencing_token,
            command.incarnation,
            command.commands,
            report,
            self.now,
        )
        return report

    def _check_schedulable_room(self) -> None:
        """Check the room of machines kept between passes against a full computation."""
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
            self.broken.append(
                f"machines kept as schedulable: {sorted(free)}, computed {sorted(found)}"
            )

    def _check_sessions(self) -> None:
        """Check that no session still alive on its worker is treated as ended."""
        for machine in self.scheduler.machines.values() if self.scheduler is not None else ():
            worker = self.workers.get(machine.id)
            if (
                worker is not None
                and not worker.dead
                and worker.incarnation < machine.min_incarnation
            ):
                self.broken.append(f"live session of {machine.id} treated as ended")

    def _check_invariants(self) -> None:
        """Check for violated invariants, which do not stop the placement of other jobs."""
        found = {} if self.scheduler is None else self.scheduler.invariants.violations
        if found:
            self.broken.append(f"invariants: {', '.join(found)}")

    def _check(self) -> None:
        self._check_invariants()
        self._check_sessions()
        self._check_schedulable_room()
        self.check_rules()

    def _check_blocks(self) -> None:
        stored = {
            name
            for key, got in self.store.keys.items()
            if key.startswith(BLOCKS_PREFIX)
            for name in got.data["hosts"]
        }
        self.machines_in_blocks = (self.machines_in_blocks | stored) & set(self.workers)
        for name in self.machines_in_blocks - stored:
            self.broken.append(f"{name} is in no block record any more")
