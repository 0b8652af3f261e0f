"""The actor that holds machines for one term: wraps the scheduler's decisions with I/O."""

from __future__ import annotations

import math
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import curio

from umberward.clients import state_client
from umberward.clients.cloud_client import CloudClient
from umberward.clients.state_client import StateClient
from umberward.core.actor import Actor
from umberward.core.log import logger
from umberward.core.rate_limited_log import RateLimitedLog
from umberward.core.settings import Settings
from umberward.core.types import (
    ControllerName,
    FencingToken,
    Instant,
    JobId,
    Key,
    MachineTypeName,
    Revision,
    Version,
    WallTime,
    parse_address,
)
from umberward.leader import failover_snapshot
from umberward.leader.failover_snapshot import FailoverSnapshot
from umberward.leader.leader_election import LeaderElection
from umberward.leader.machine_scaler import MachineScaler
from umberward.protocol import transactions, wire
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError
from umberward.protocol.wire import (
    BLOCKS_PREFIX,
    FINAL_JOBS_PREFIX,
    JOBS_PREFIX,
    LIVE_JOBS_PREFIX,
    SNAPSHOT_PREFIX,
    FinalJobRecord,
    Heartbeat,
    MachineType,
)
from umberward.scheduling import job_records
from umberward.scheduling.autoscaler import Autoscaler
from umberward.scheduling.cluster_state import DirectCommand, Probe
from umberward.scheduling.command_queue import CommandQueue
from umberward.scheduling.scheduler import Scheduler
from umberward.scheduling.state_writer import Transaction

log = logger(__name__)
bounded_log = RateLimitedLog(log)

TICK_INTERVAL_S = 0.2
MIN_PASS_INTERVAL_S = 0.06  # the least time between two placing passes
PASS_PAUSE_RATIO = (
    4.0  # ... and so many times as long as the last one took: reports must be answered
)
# With thousands of jobs waiting a pass takes long and changes little: such passes are made more
# rarely, up to so many times more of their length for one that takes SLOW_PASS_S or longer.
SLOW_PASS_PAUSE_RATIO = 6.0
SLOW_PASS_S = 0.1
IDLE_PASS_INTERVAL_S = 1.0  # a pass is made so often even if nothing seems to have changed
COMMAND_TIMEOUT_S = 2.0
PROBE_TIMEOUT_S = 1.0
STORE_SNAPSHOT_INTERVAL_S = 3.0
STORED_SNAPSHOT_AGE_S = 15.0  # how old stored hints are taken to be
REFUSED_WRITE_PAUSE_S = 2.0  # a write that was refused as it is will be refused again
WATCH_HOLD_S = 0.5  # how old our knowledge of the jobs becomes while nothing changes
FINAL_LOOKUP_INTERVAL_S = 0.2  # how often ends that were not seen are looked up
SWEEP_INTERVAL_S = 2.0  # how often a page of the live jobs is compared with what is known
SWEEP_PAGE_SIZE = 50  # ... of so many
LOGGED_COMMANDS = 4  # of a direct command, in a line of the log
SUMMARY_INTERVAL_S = 10.0  # how often the state of the fleet is logged


class HeartbeatReceived(NamedTuple):
    header: wire.HeartbeatHeader
    body: bytes


class CommandCompleted(NamedTuple):
    command: DirectCommand
    heartbeat: Heartbeat | None
    outcome_unknown: bool


class ProbeCompleted(NamedTuple):
    probe: Probe
    heartbeat: Heartbeat | None


class JobsListed(NamedTuple):
    """All live jobs, as they stood in the state service at the moment `asked` or later; `ended`:
    what a new term has to know of those that ended shortly before (None: that can't be told)."""

    entries: list[wire.KeyValue]
    asked_at: Instant
    recent_final: list[wire.KeyChange] | None


class JobsChanged(NamedTuple):
    """All changes that stood in the state service at the moment `asked`, and maybe more."""

    changes: list[wire.KeyChange]
    asked_at: Instant


class DelegationRequested(NamedTuple):
    """A controller asks which machines of its zone it may answer if it is cut off."""

    delegate: ControllerName
    last_seen_serial: int
    unused: bool


class JobsCancelledByPeer(NamedTuple):
    """Another controller has told its users so; the state service may not have told us yet."""

    job_ids: list[JobId]


class JobEnded(NamedTuple):
    """What became of a job was looked up."""

    job_id: JobId
    data: Any


class LiveJobsPageRead(NamedTuple):
    """A page of the live jobs as they stand in the state service."""

    entries: list[wire.KeyValue]


class UnknownJobRead(NamedTuple):
    """A live job that was not known here, as it was read once more."""

    job_id: JobId
    found: transactions.VersionedValue


class TimerTick(NamedTuple):
    pass


class LeaderLoop(Actor):
    """Lives as long as one term of leadership."""

    def __init__(
        self,
        settings: Settings,
        membership: LeaderElection,
        store: StateClient,
        client: Client,
        cloud: CloudClient,
        skus: dict[MachineTypeName, MachineType],
        epoch: FencingToken,
        rng: random.Random,
        final: Callable[[JobId], FinalJobRecord | None],
        others_hear: Callable[[], Awaitable[bool]],
        revision_before: Callable[[float], Revision | None],
        hinted: tuple[FailoverSnapshot, float] | None = None,
    ) -> None:
        super().__init__()
        now = _now()
        self.election = membership
        self.store = store
        self.client = client
        self.rng = rng
        self.peers_receive_heartbeats = others_hear  # asks them whether they hear workers
        self.revision_before = revision_before
        self.checking_peers = False
        self.known_final = final  # ends that this controller knows of anyway
        # What the last leader knew, and how old that is.
        self.snapshots = [] if hinted is None else [hinted]
        self.scheduler = Scheduler(settings, skus, epoch, now, _wall, rng)
        prefix = f"{settings.platform.label}-{epoch}"
        self.autoscaler = Autoscaler(self.scheduler, prefix, now)
        self.commands = CommandQueue(self.scheduler, self._may_start)
        self.write_wanted = curio.Event()
        self.next_pass = 0.0
        self.scaler = MachineScaler(membership, cloud, self.scheduler, self.autoscaler)
        self.tasks: Any = None
        self.graph_controller: Any = None  # of task graphs, if they are on
        if settings.operator.graphs_enabled:
            from umberward.graphs.graph_controller import GraphController
            from umberward.graphs.graph_state import GraphState

            self.graph_controller = GraphController(
                store,
                GraphState(self.scheduler),
                self.tell,
                membership.leadership_condition,
                membership.is_leader,
            )

    # ---- the term ----------------------------------------------------------------------

    async def serve(self) -> None:
        """Runs until cancelled."""
        async with curio.TaskGroup() as self.tasks:
            await self.tasks.spawn(self.run)
            await self.tasks.spawn(self._load_and_watch)
            await self.tasks.spawn(self._ticker)
            await self.tasks.spawn(self._write_transactions)
            await self.tasks.spawn(self.scaler.run)
            await self.tasks.spawn(self._store_snapshot)
            await self.tasks.spawn(self._look_up_finals)
            await self.tasks.spawn(self._sweep_live_jobs)
            if self.graph_controller is not None:
                await self.tasks.spawn(self.graph_controller.watch)
                await self.tasks.spawn(self.graph_controller.finish)
                await self.tasks.spawn(self.graph_controller.clean)

    async def _load_and_watch(self) -> None:
        after: Revision | None = None
        while True:
            try:
                if after is None:
                    if not self.scheduler.loaded:
                        entries, _ = await self.store.list_all(BLOCKS_PREFIX)
                        for entry in entries:
                            number = int(entry.key[len(BLOCKS_PREFIX) :])
                            record = wire.convert(entry.data, wire.BlockRecord)
                            stamp = Version(entry.version)
                            self.scheduler.load_block(number, record, stamp, _now())
                        await self._send_outbox()
                        if not self.snapshots:
                            await self._load_stored_snapshot()
                    if self.graph_controller is not None and not self.scheduler.loaded:
                        await self.graph_controller.load()
                    asked = _now()
                    entries, listed = await self.store.list_all(LIVE_JOBS_PREFIX)
                    await self.ask(
                        JobsListed(entries, asked, await self._recent_final_records(listed))
                    )
                    after = listed  # not before: what fails in between is done anew
                asked = _now()
                news, after = await self.store.watch(JOBS_PREFIX, after, WATCH_HOLD_S)
                await self.tell(JobsChanged(news, asked))
            except state_client.RevisionCompactedError:
                after = None
            except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
                log.debug("watch_failed", error=error)
                await curio.sleep(self.rng.uniform(0.15, 0.3))

    async def _recent_final_records(self, listed: Revision) -> list[wire.KeyChange] | None:
        """The ends of jobs whose tasks may still be somewhere: a leader that reads live records
        only does not know of these. They are asked for by the revision of the moment before which
        none of them can have been, or by the most that can have been written since then."""
        if self.scheduler.loaded or not self.scheduler.quota.any_limits:
            return []
        lasts = self.scheduler.delegator.bounds.takeover_s
        since = self.revision_before(_now() - lasts)
        if since is None:
            since = Revision(max(0, listed - math.ceil(lasts * self.store.max_changes_per_s)))
        try:
            return (await self.store.watch(FINAL_JOBS_PREFIX, since, 0.0))[0]
        except state_client.RevisionCompactedError:
            log.warning(
                "final_records_not_read", reason="the state service no longer keeps such changes"
            )
            return None

    async def _ticker(self) -> None:
        said = _now()
        while True:
            await curio.sleep(TICK_INTERVAL_S)
            await self.ask(TimerTick())
            if _now() - said > SUMMARY_INTERVAL_S and self.scheduler.loaded:
                said = _now()
                for fields in self.scheduler.fleet_summary():
                    log.info("fleet", **fields)
                log.info(
                    "inflight_starts",
                    **self.scheduler.inflight_summary(),
                    jobs_read_s=self._job_read_age_s(said),
                )

    # ---- messages ----------------------------------------------------------------------

    async def handle(self, message: Any) -> Any:
        scheduler = self.scheduler
        now = _now()
        scheduler.wake(now)
        answer: Any = None
        if isinstance(message, HeartbeatReceived):
            answer = scheduler.receive_heartbeat(message.header, message.body, now)
        elif isinstance(message, CommandCompleted):
            try:
                scheduler.command_completed(
                    message.command, message.heartbeat, message.outcome_unknown, now
                )
            finally:
                await self._spawn_command(self.commands.completed(message.command.machine))
        elif isinstance(message, ProbeCompleted):
            scheduler.probe_completed(message.probe, message.heartbeat, now)
        elif isinstance(message, JobsChanged):
            job_records.apply_changes(scheduler, message.changes)
            self._note_read(message.asked_at)
        elif isinstance(message, DelegationRequested):
            answer = scheduler.delegate(*message, now) if self.election.is_leader() else None
        elif isinstance(message, LiveJobsPageRead):
            answer = scheduler.find_unknown_jobs(message.entries, now)
            scheduler.repair(now)
        elif isinstance(message, UnknownJobRead):
            job_records.apply_unknown_job(scheduler, message.job_id, message.found, now)
        elif isinstance(message, JobsCancelledByPeer):
            # This ends what runs, and proves nothing about what else was cancelled.
            for id in message.job_ids:
                if scheduler.is_live(id):
                    log.info("job_cancelled_by_peer", job=id)
                    scheduler.remove_job(id)
        elif isinstance(message, JobEnded):
            job_records.apply_final_record(scheduler, message.job_id, message.data)
        elif isinstance(message, JobsListed):
            self._load_jobs(message.entries, message.recent_final)
            self._note_read(message.asked_at)
        elif self.graph_controller is not None and self.graph_controller.handle(message):
            pass
        elif isinstance(message, TimerTick):
            scheduler.tick(now)
            if scheduler.is_isolated(now) and self.election.is_leader():
                # The state service answers and the workers do not: another node may reach them.
                await curio.spawn(
                    self.election.step_down, "hardly any worker is heard", daemon=True
                )
            elif (
                scheduler.heard_no_machine(now)
                and self.election.is_leader()
                and not self.checking_peers
            ):
                self.checking_peers = True
                await curio.spawn(self._yield_to_reachable_peer, daemon=True)
            if scheduler.token_rotation.wanted and self.election.is_leader():
                scheduler.token_rotation.started()
                await curio.spawn(self._rotate_token, daemon=True)
        if scheduler.higher_token_seen:
            seen, scheduler.higher_token_seen = scheduler.higher_token_seen, FencingToken(0)
            await curio.spawn(self.election.superseded_by, seen, daemon=True)
        due = scheduler.pass_wanted and now >= self.next_pass
        if (due or now >= self.next_pass + IDLE_PASS_INTERVAL_S) and self._may_start():
            scheduler.run_pass(now)
            self.next_pass = now + pass_pause(_now() - now)
        await self._send_outbox()
        return answer

    def _may_start(self) -> bool:
        return self.election.may_start(self.scheduler.jobs_read_at)

    def _note_read(self, asked: Instant) -> None:
        """Of all that was cancelled before we asked we have been told, if we know all jobs."""
        if self.scheduler.loaded:
            self.scheduler.jobs_read_at = max(asked, self.scheduler.jobs_read_at or asked)

    def _load_jobs(self, entries: list[wire.KeyValue], ended: list[wire.KeyChange] | None) -> None:
        listed = set()
        for entry in entries:
            listed.add(JobId(entry.key[len(LIVE_JOBS_PREFIX) :]))
            job_records.apply_job_record(self.scheduler, entry.key, entry.data, entry.version)
        for job in [*self.scheduler.jobs.values(), *self.scheduler.waiting_jobs.jobs.values()]:
            # What rests on something else goes with that.
            if job.id not in listed and not job.conditions:
                self.scheduler.remove_job(job.id)
        if not self.scheduler.loaded:
            self.scheduler.cancellations_unread = ended is None
            job_records.apply_final_records(self.scheduler, ended or ())
            for found, age in self.snapshots:
                age += _now() - self.scheduler.started
                failover_snapshot.restore_snapshot(
                    found, age, self.scheduler, self.autoscaler, _now()
                )
            self.scheduler.finish_loading()

    async def _yield_to_reachable_peer(self) -> None:
        """We have met no worker: if another controller hears some, it is to lead."""
        try:
            if await self.peers_receive_heartbeats() and self.election.is_leader():
                await self.election.step_down("others hear workers and we do not")
        finally:
            self.checking_peers = False

    async def _rotate_token(self) -> None:
        try:
            epoch = await self.election.rotate_token()
        except (
            state_client.StateUnavailableError,
            state_client.UnknownOutcomeError,
            state_client.CompareAndSwapError,
        ) as error:
            log.info("token_not_rotated", error=error)
            self.scheduler.token_rotation.failed()
            return
        log.info("token_rotated", epoch=epoch)
        self.scheduler.token_rotated(epoch)

    # ---- commands ----------------------------------------------------------------------

    async def _send_outbox(self) -> None:
        out, self.scheduler.outbox = self.scheduler.outbox, []
        for item in out:
            if isinstance(item, Probe):
                await self.tasks.spawn(self._send_probe, item)
            else:
                await self._spawn_command(self.commands.submit(item))
        if self.scheduler.writer.has_work(_now()):
            await self.write_wanted.set()

    async def _spawn_command(self, command: DirectCommand | None) -> None:
        if command is not None:
            await self.tasks.spawn(self._send_command, command)

    async def _send_command(self, command: DirectCommand) -> None:
        report = None
        unknown = False
        body = {
            "epoch": command.fencing_token,
            "tenure": command.incarnation,
            "orders": command.commands,
        }
        # Without our lease, or long after our last reading, nothing may be started; what is there
        # may still be tended.
        starts = any(order.verb == wire.START for order in command.commands)
        still = self._may_start if starts else self.election.may_keep_alive
        sent = _now()
        log.debug(
            "command_sent",
            machine=command.machine,
            epoch=command.fencing_token,
            session=command.incarnation,
            orders=_describe_commands(command.commands),
            jobs_read_s=self._job_read_age_s(sent),
        )
        try:
            response = await self.client.request(
                parse_address(command.address),
                "POST",
                "/do",
                wire.encode(body),
                COMMAND_TIMEOUT_S,
                still=still,
            )
            if response.status in (200, 409):
                report = wire.decode_heartbeat(response.body)
            # Only a 400 says as surely that nothing was executed.
            unknown = response.status not in (200, 409, 400)
        except RequestNotSentError:
            pass
        except (NoResponseError, wire.MalformedMessageError, ValueError) as error:
            bounded_log.info(
                "command_timed_out",
                machine=command.machine,
                epoch=command.fencing_token,
                session=command.incarnation,
                after_s=round(_now() - sent, 1),
                orders=_describe_commands(command.commands),
                error=type(error).__name__,
            )
            unknown = True
        await self.tell(CommandCompleted(command, report, unknown))

    def _job_read_age_s(self, now: Instant) -> float | None:
        """How long ago the latest answered reading of the jobs was asked; None: there was none."""
        known = self.scheduler.jobs_read_at
        return None if known is None else round(now - known, 2)

    async def _send_probe(self, probe: Probe) -> None:
        report = None
        try:
            response = await self.client.request(
                parse_address(probe.address), "GET", "/status", b"", PROBE_TIMEOUT_S
            )
            if response.status == 200:
                report = wire.decode_heartbeat(response.body)
        except (RequestNotSentError, NoResponseError, wire.MalformedMessageError, ValueError):
            pass
        await self.tell(ProbeCompleted(probe, report))

    # ---- writing -----------------------------------------------------------------------

    async def _write_transactions(self) -> None:
        while True:
            await curio.ignore_after(0.5, self.write_wanted.wait)
            self.write_wanted.clear()
            while self.election.is_leader():
                batch = self.scheduler.writer.next_transaction(_now())
                if batch is None:
                    break
                if not await self._commit(batch):
                    await curio.sleep(self.rng.uniform(0.05, 0.15))
                await self.tell(None)

    async def _commit(self, batch: Transaction) -> bool:
        conditions = [self.election.leadership_condition(), *batch.conditions]
        # What is not urgent gives way at once: urgent writes may come while it waits.
        patience = 2.0 if batch.priority == transactions.URGENT else 0.0
        try:
            revision = await self.store.commit(
                conditions, batch.writes, priority=batch.priority, patience=patience
            )
        except state_client.ValueTooLargeError:
            await curio.sleep(REFUSED_WRITE_PAUSE_S)
            return False
        except state_client.StateUnavailableError as error:
            log.debug("commit_failed", error=error)
            return False
        except (
            state_client.CompareAndSwapError,
            state_client.UnknownOutcomeError,
            state_client.LeaseExpiredError,
        ):
            # Each key is read again: what stands there decides, whoever wrote it.
            for key, _ in batch.conditions:
                if not self.election.is_leader():
                    return False
                try:
                    self.scheduler.reconcile_key(
                        key, await self.store.get(key, transactions.URGENT)
                    )
                except (
                    state_client.StateUnavailableError,
                    state_client.UnknownOutcomeError,
                ) as error:
                    log.debug("read_failed", key=key, error=error)
                    return False
            return False
        self.scheduler.transaction_committed(batch, Version(revision), _now())
        return True

    # ---- jobs that others wait for -------------------------------------------------------

    async def _look_up_finals(self) -> None:
        """What became of jobs that are not live and whose end we did not see."""
        while True:
            await curio.sleep(FINAL_LOOKUP_INTERVAL_S)
            if not self.scheduler.loaded:
                continue
            for id in list(self.scheduler.waiting_jobs.graph.unresolved_ids):
                final = self.known_final(id)
                data: Any = None if final is None else wire.to_builtins(final)
                if final is None:
                    try:
                        past = await self.store.get(Key(FINAL_JOBS_PREFIX + id))
                    except (
                        state_client.StateUnavailableError,
                        state_client.UnknownOutcomeError,
                    ) as error:
                        log.debug("final_record_lookup_failed", job=id, error=error)
                        break
                    if past is None:
                        continue  # it moves: the next change tells
                    data = past.data
                await self.tell(JobEnded(id, data))

    async def _sweep_live_jobs(self) -> None:
        """No job that was accepted may be live and in nobody's memory, whatever went wrong."""
        last = ""
        while True:
            await curio.sleep(SWEEP_INTERVAL_S)
            if not (self.scheduler.loaded and self.election.is_leader()):
                continue
            try:
                page = await self.store.list_page(
                    LIVE_JOBS_PREFIX, last, SWEEP_PAGE_SIZE, transactions.BACKGROUND
                )
                last = page.entries[-1].key if page.more and page.entries else ""
                for id in await self.ask(LiveJobsPageRead(page.entries)) or ():
                    found = await self.store.get(Key(LIVE_JOBS_PREFIX + id))
                    if found is not None:
                        await self.tell(UnknownJobRead(id, found))
            except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
                log.debug("live_jobs_not_swept", error=error)

    # ---- hints -------------------------------------------------------------------------

    async def _load_stored_snapshot(self) -> None:
        """What the last leader stored; used if no peer has told us more."""
        entries, _ = await self.store.list_all(SNAPSHOT_PREFIX)
        for entry in entries:
            try:
                self.snapshots.append(
                    (wire.convert(entry.data, FailoverSnapshot), STORED_SNAPSHOT_AGE_S)
                )
            except wire.MalformedMessageError as error:
                log.info("record_malformed", key=entry.key, error=error)

    async def _store_snapshot(self) -> None:
        """One part after the other, if nothing else is to be written."""
        stored: dict[Key, Any] = {}
        number = 0
        while True:
            await curio.sleep(STORE_SNAPSHOT_INTERVAL_S)
            if not (self.scheduler.loaded and self.election.is_leader()):
                continue
            made = failover_snapshot.split_snapshot(
                failover_snapshot.take_snapshot(self.scheduler, self.autoscaler, _now()),
                self.scheduler.writer.block_size,
                self.scheduler.value_limit,
            )
            if not made:
                continue
            number = (number + 1) % len(made)
            key, part = Key(f"{SNAPSHOT_PREFIX}{number}"), wire.to_builtins(made[number])
            changed = {**part, "epoch": 0} != stored.get(key)
            if not changed:
                continue
            try:
                await self.store.commit(
                    [self.election.leadership_condition()],
                    [transactions.put(key, part)],
                    priority=transactions.BACKGROUND,
                    patience=0.0,
                )
            except (
                state_client.StateUnavailableError,
                state_client.UnknownOutcomeError,
                state_client.CompareAndSwapError,
                state_client.LeaseExpiredError,
            ) as error:
                log.debug("snapshot_not_available", error=error)
            else:
                stored[key] = {**part, "epoch": 0}


def pass_pause(took: float) -> float:
    """Seconds from the beginning of a pass that took so long to the next one."""
    return max(
        MIN_PASS_INTERVAL_S,
        (PASS_PAUSE_RATIO + SLOW_PASS_PAUSE_RATIO * min(1.0, took / SLOW_PASS_S)) * took,
    )


def _describe_commands(orders: list[wire.TaskCommand]) -> str:
    """The first few orders for a line of the log: what, which task, which attempt."""
    said = [f"{order.verb}:{order.task_id}#{order.attempt}" for order in orders[:LOGGED_COMMANDS]]
    if len(orders) > LOGGED_COMMANDS:
        said.append(f"+{len(orders) - LOGGED_COMMANDS}")
    return ",".join(said)


def _now() -> Instant:
    return Instant(time.monotonic())


def _wall() -> WallTime:
    return WallTime(time.time())
