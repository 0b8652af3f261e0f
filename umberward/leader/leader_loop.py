"""The leader's event loop: applies events to the scheduler and starts the resulting I/O.

There is one `LeaderLoop` per term. The scheduler makes decisions and has no I/O. The loop's
background tasks, in the other modules of this package, do the I/O and send the results to the loop
as messages of `umberward.leader.messages`.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import curio

from umberward.clients import state_client
from umberward.clients.cloud_client import CloudClient
from umberward.clients.state_client import StateClient
from umberward.core.actor import Actor
from umberward.core.grouped_log import GroupedLog
from umberward.core.log import logger
from umberward.core.settings import Settings
from umberward.core.types import (
    FencingToken,
    Instant,
    JobId,
    MachineTypeName,
    Revision,
)
from umberward.leader import failover_snapshot
from umberward.leader.clock import monotonic_now, wall_now
from umberward.leader.command_sender import CommandSender
from umberward.leader.failover_snapshot import FailoverSnapshot
from umberward.leader.final_record_lookup import FinalRecordLookup
from umberward.leader.leader_context import LeaderContext
from umberward.leader.leader_election import LeaderElection
from umberward.leader.live_job_sweeper import LiveJobSweeper
from umberward.leader.machine_scaler import MachineScaler
from umberward.leader.messages import (
    CommandCompleted,
    DelegationRequested,
    HeartbeatReceived,
    JobEnded,
    JobsCancelledByPeer,
    JobsChanged,
    JobsListed,
    LeaderMessage,
    LiveJobsPageRead,
    ProbeCompleted,
    TimerTick,
    TransactionCompleted,
    UnknownJobRead,
)
from umberward.leader.snapshot_store import SnapshotStore
from umberward.leader.state_sync import StateSync
from umberward.leader.transaction_writer import TransactionWriter
from umberward.protocol import wire
from umberward.protocol.http import Client
from umberward.protocol.wire import LIVE_JOBS_PREFIX, FinalJobRecord, MachineType
from umberward.scheduling import job_records
from umberward.scheduling.autoscaler import Autoscaler
from umberward.scheduling.scheduler import Scheduler
from umberward.scheduling.sessions.lease_delegation import Delegation

if TYPE_CHECKING:  # not imported at run time if graphs are disabled
    from umberward.graphs.graph_controller import GraphController

log = logger(__name__)

TICK_INTERVAL_S = 0.2
SUMMARY_INTERVAL_S = 10.0  # interval between log lines about the state of the fleet
MIN_PASS_INTERVAL_S = 0.06  # between the starts of two scheduling passes
# Interval between the starts of two passes, in multiples of the first one's duration. The time left
# is for heartbeats and other messages.
PASS_INTERVAL_RATIO = 4.0
# Added to PASS_INTERVAL_RATIO in proportion to the pass's duration, in full from SLOW_PASS_S: with
# thousands of waiting jobs a pass is slow and changes little.
SLOW_PASS_INTERVAL_RATIO = 6.0
SLOW_PASS_S = 0.1
IDLE_PASS_EXTRA_DELAY_S = 1.0  # extra time until the next pass if no event requests one
ASSUMED_SNAPSHOT_AGE_S = 15.0  # of a stored snapshot, which does not record its age

MessageHandler = Callable[[Any, Instant], Awaitable[object]]


class LeaderLoop(Actor[LeaderMessage]):
    """Handles the messages of one term and owns its background tasks."""

    def __init__(  # noqa: PLR0913 - every part that the controller shares with its leader loop
        self,
        settings: Settings,
        election: LeaderElection,
        store: StateClient,
        client: Client,
        cloud: CloudClient,
        machine_types: dict[MachineTypeName, MachineType],
        fencing_token: FencingToken,
        rng: random.Random,
        cached_final_record: Callable[[JobId], FinalJobRecord | None],  # see FinalRecordLookup
        peers_receive_heartbeats: Callable[[], Awaitable[bool]],
        revision_before: Callable[[float], Revision | None],  # see StateSync
        peer_snapshot: tuple[FailoverSnapshot, float] | None = None,
    ) -> None:
        """Prepare the term that began with `fencing_token`; `serve` runs it.

        `peers_receive_heartbeats`: asks the other controllers whether they receive heartbeats from
        any worker. `peer_snapshot`: the former leader's snapshot, if this controller has it, and
        its age in seconds.
        """
        super().__init__()
        now = monotonic_now()
        self.election = election
        self.peers_receive_heartbeats = peers_receive_heartbeats
        self.snapshots_to_restore = [] if peer_snapshot is None else [peer_snapshot]
        self.scheduler = Scheduler(settings, machine_types, fencing_token, now, wall_now, rng)
        # Prefix of the ids of requests for machines.
        prefix = f"{settings.platform.label}-{fencing_token}"
        self.autoscaler = Autoscaler(self.scheduler, prefix, now)
        self.graph_controller = self._create_graph_controller(settings, store)
        context = LeaderContext(election, store, self.scheduler, self, rng)
        self.commands = CommandSender(context, client, self._spawn)
        self.transaction_writer = TransactionWriter(context)
        self.snapshot_store = SnapshotStore(context, self.autoscaler)
        self.state_sync = self._create_state_sync(context, revision_before)
        self.final_lookup = FinalRecordLookup(context, cached_final_record)
        self.sweeper = LiveJobSweeper(context)
        self.scaler = MachineScaler(election, cloud, self.scheduler, self.autoscaler)
        self._next_pass_at = 0.0
        self._peer_check_running = False
        self._tasks: curio.TaskGroup | None = None  # set while `serve` runs
        self._handlers = self._message_handlers()

    def _message_handlers(self) -> dict[type, MessageHandler]:
        return {
            HeartbeatReceived: self._heartbeat_received,
            CommandCompleted: self._command_completed,
            ProbeCompleted: self._probe_completed,
            JobsListed: self._jobs_listed,
            JobsChanged: self._jobs_changed,
            DelegationRequested: self._delegation_requested,
            JobsCancelledByPeer: self._jobs_cancelled_by_peer,
            JobEnded: self._job_ended,
            LiveJobsPageRead: self._live_jobs_page_read,
            UnknownJobRead: self._unknown_job_read,
            TransactionCompleted: self._transaction_completed,
            TimerTick: self._timer_tick,
        }

    def _create_state_sync(
        self, context: LeaderContext, revision_before: Callable[[float], Revision | None]
    ) -> StateSync:
        return StateSync(
            context,
            self.graph_controller,
            revision_before,
            self._load_stored_snapshots,
            self._flush_scheduler_output,
        )

    def _create_graph_controller(
        self, settings: Settings, store: StateClient
    ) -> GraphController | None:
        """Create the controller of task graphs; None, without an import, if they are disabled."""
        if not settings.operator.graphs_enabled:
            return None
        from umberward.graphs.graph_controller import GraphController
        from umberward.graphs.graph_state import GraphState

        return GraphController(
            store,
            GraphState(self.scheduler),
            self.tell,
            self.election.leadership_condition,
            self.election.is_leader,
        )

    # ---- background tasks --------------------------------------------------------------

    async def serve(self) -> None:
        """Run all background tasks of the term until cancelled."""
        try:
            await self._run_tasks()
        finally:
            self._log_renewals(monotonic_now())

    async def _run_tasks(self) -> None:
        async with curio.TaskGroup(wait=None) as self._tasks:  # cancels what still runs at its end
            await self._spawn(self.run)
            await self._spawn(self.state_sync.run)
            await self._spawn(self._send_ticks)
            await self._spawn(self.transaction_writer.run)
            await self._spawn(self.scaler.run)
            await self._spawn(self.snapshot_store.run)
            await self._spawn(self.final_lookup.run)
            await self._spawn(self.sweeper.run)
            if self.graph_controller is not None:
                await self._spawn(self.graph_controller.watch)
                await self._spawn(self.graph_controller.store_ended_graphs)
                await self._spawn(self.graph_controller.delete_abandoned_submissions)
            await self._discard_finished_tasks()

    async def _discard_finished_tasks(self) -> None:
        """Remove finished tasks, which the group would retain; return when one has failed."""
        assert self._tasks is not None, "serve() is not running"
        async for task in self._tasks:
            if task.exception is not None:
                return

    async def _spawn(self, function: Callable[..., Awaitable[object]], *args: object) -> None:
        """Start a background task that ends with `serve`; if it raises, `serve` ends."""
        assert self._tasks is not None, "serve() is not running"
        await self._tasks.spawn(function, *args)

    async def _send_ticks(self) -> None:
        summary_at = monotonic_now()
        while True:
            await curio.sleep(TICK_INTERVAL_S)
            await self.ask(TimerTick())
            if monotonic_now() - summary_at > SUMMARY_INTERVAL_S and self.scheduler.loaded:
                summary_at = monotonic_now()
                self._log_summary(summary_at)

    def _log_summary(self, now: Instant) -> None:
        for fields in self.scheduler.fleet_summary():
            log.info("fleet", **fields)
        for fields in self.scheduler.quarantine_summary(now):
            log.info("quarantine", **fields)
        self._log_renewals(now)
        log.info(
            "inflight_starts",
            **self.scheduler.inflight_summary(),
            jobs_read_s=self.commands.jobs_read_age_s(now),
        )

    def _log_renewals(self, now: Instant) -> None:
        """Log how heartbeats were answered in this term."""
        term = self.scheduler.tokens.initial
        log.info("session_renewals", term=term, **self.scheduler.renewal_summary(now))

    async def _load_stored_snapshots(self) -> None:
        """Load the snapshot stored by a former leader, unless this controller already has one."""
        if not self.snapshots_to_restore:
            for snapshot in await self.snapshot_store.load():
                self.snapshots_to_restore.append((snapshot, ASSUMED_SNAPSHOT_AGE_S))

    # ---- messages ----------------------------------------------------------------------

    async def handle(self, message: LeaderMessage) -> object:
        """Apply the message to the scheduler, run a pass if due and start the resulting I/O."""
        now = monotonic_now()
        self.scheduler.discount_process_pause(now)
        answer: object = None
        handler = self._handlers.get(type(message))
        if handler is not None:
            answer = await handler(message, now)
        elif self.graph_controller is not None:
            self.graph_controller.handle(message)  # it sends its own message types to the loop
        if self.scheduler.higher_token_seen:
            await self._report_higher_token()
        self._run_due_pass(now)
        await self._flush_scheduler_output()
        return answer

    async def _heartbeat_received(
        self, message: HeartbeatReceived, now: Instant
    ) -> list[wire.TaskCommand] | None:
        return self.scheduler.receive_heartbeat(message.header, message.body, now)

    async def _command_completed(self, message: CommandCompleted, now: Instant) -> None:
        try:
            self.scheduler.command_completed(
                message.command, message.heartbeat, message.outcome_unknown, now
            )
        finally:
            await self.commands.send_next(message.command.machine)

    async def _probe_completed(self, message: ProbeCompleted, now: Instant) -> None:
        self.scheduler.probe_completed(message.probe, message.heartbeat, now)

    async def _jobs_listed(self, message: JobsListed, _now: Instant) -> None:
        listed_ids = set()
        for entry in message.entries:
            listed_ids.add(JobId(entry.key[len(LIVE_JOBS_PREFIX) :]))
            job_records.apply_job_record(self.scheduler, entry.key, entry.data, entry.version)
        for job in [*self.scheduler.jobs.values(), *self.scheduler.blocked_jobs.jobs.values()]:
            # A graph's job has no live record of its own: it has conditions, and is removed with
            # the record whose key they name.
            if job.id not in listed_ids and not job.conditions:
                self.scheduler.remove_job(job.id)
        if not self.scheduler.loaded:
            self._finish_loading(message)
        self._update_jobs_read_at(message.requested_at)

    def _finish_loading(self, message: JobsListed) -> None:
        """Restore the snapshots of former leaders and enable scheduling."""
        self.scheduler.recent_cancellations_unknown = (
            message.recent_final_records is None or message.remaining_graph_tasks is None
        )
        job_records.apply_final_records(self.scheduler, message.recent_final_records or ())
        for job_id, remaining in message.remaining_graph_tasks or ():
            self.scheduler.add_cancelled_job(job_id, remaining)
        for snapshot, age_s in self.snapshots_to_restore:  # age at the start of this term
            now = monotonic_now()
            failover_snapshot.restore_snapshot(
                snapshot,
                age_s + (now - self.scheduler.started_at),
                self.scheduler,
                self.autoscaler,
                now,
            )
        self.scheduler.finish_loading()

    async def _jobs_changed(self, message: JobsChanged, _now: Instant) -> None:
        job_records.apply_changes(self.scheduler, message.changes)
        self._update_jobs_read_at(message.requested_at)

    def _update_jobs_read_at(self, requested_at: Instant) -> None:
        """Record that all cancellations confirmed before `requested_at` are known."""
        if self.scheduler.loaded:  # otherwise some jobs are not known yet
            self.scheduler.jobs_read_requested_at = max(
                requested_at, self.scheduler.jobs_read_requested_at or requested_at
            )

    async def _delegation_requested(
        self, message: DelegationRequested, now: Instant
    ) -> Delegation | None:
        if not self.election.is_leader():
            return None
        return self.scheduler.issue_delegation(
            message.delegate, message.last_sequence, message.unused, now
        )

    async def _jobs_cancelled_by_peer(self, message: JobsCancelledByPeer, _now: Instant) -> None:
        # Stop the jobs' tasks immediately. `jobs_read_requested_at` is unchanged, as other
        # cancellations may not have been announced.
        for job_id in message.job_ids:
            if self.scheduler.is_live(job_id):
                log.info("job_cancelled_by_peer", job=job_id)
                self.scheduler.remove_job(job_id)

    async def _job_ended(self, message: JobEnded, _now: Instant) -> None:
        job_records.apply_final_record(self.scheduler, message.job_id, message.data)

    async def _live_jobs_page_read(self, message: LiveJobsPageRead, now: Instant) -> list[JobId]:
        unknown_ids = self.scheduler.find_unknown_jobs(message.entries, now)
        self.scheduler.run_maintenance(now)
        return unknown_ids

    async def _unknown_job_read(self, message: UnknownJobRead, now: Instant) -> None:
        job_records.apply_missing_job(self.scheduler, message.job_id, message.stored, now)

    async def _transaction_completed(self, _message: TransactionCompleted, _now: Instant) -> None:
        """Apply nothing: the message only triggers a due pass and the resulting I/O."""

    async def _timer_tick(self, _message: TimerTick, now: Instant) -> None:
        scheduler = self.scheduler
        scheduler.tick(now)
        GroupedLog.flush_due()
        # The background tasks spawned here are not owned by the loop, as they must outlive it: when
        # one gives up the leadership, the controller cancels `serve` with all tasks of the loop,
        # but for example the lease must still be revoked. Each ends by itself: it sends a few
        # requests, all with timeouts.
        if scheduler.receives_few_heartbeats(now) and self.election.is_leader():
            # The state service responds but workers do not; another controller may reach them.
            await curio.spawn(self.election.step_down, "hardly any worker is heard", daemon=True)
        elif (
            scheduler.received_no_heartbeat_this_term(now)
            and self.election.is_leader()
            and not self._peer_check_running
        ):
            self._peer_check_running = True
            await curio.spawn(self._step_down_if_peers_receive_heartbeats, daemon=True)
        if scheduler.token_rotation.requested and self.election.is_leader():
            scheduler.token_rotation.started()
            await curio.spawn(self._rotate_token, daemon=True)

    # ---- follow-up actions -------------------------------------------------------------

    async def _report_higher_token(self) -> None:
        """Report to the election that a worker has seen a higher fencing token."""
        seen, self.scheduler.higher_token_seen = self.scheduler.higher_token_seen, FencingToken(0)
        # Not owned by the loop, as it may end the loop; see `_timer_tick`.
        await curio.spawn(self.election.step_down_if_superseded, seen, daemon=True)

    def _run_due_pass(self, now: Instant) -> None:
        due = self.scheduler.scheduling_pass_needed and now >= self._next_pass_at
        idle_due = now >= self._next_pass_at + IDLE_PASS_EXTRA_DELAY_S
        if (due or idle_due) and self.commands.may_start():
            self.scheduler.run_pass(now)
            self._next_pass_at = now + pass_interval_s(monotonic_now() - now)

    async def _flush_scheduler_output(self) -> None:
        """Start sending the scheduler's outbox and committing its pending writes."""
        # Checked here because most heartbeats leave nothing to do, and a needless call costs time.
        if self.scheduler.outbox:
            await self.commands.send_outbox()
        if self.scheduler.state_writer.has_work(monotonic_now()):
            await self.transaction_writer.request_write()

    async def _step_down_if_peers_receive_heartbeats(self) -> None:
        """Step down if another controller receives heartbeats; this one receives none."""
        try:
            if await self.peers_receive_heartbeats() and self.election.is_leader():
                await self.election.step_down("others hear workers and we do not")
        finally:
            self._peer_check_running = False

    async def _rotate_token(self) -> None:
        """Get a higher fencing token and pass it to the scheduler."""
        try:
            fencing_token = await self.election.rotate_token()
        except (
            state_client.StateUnavailableError,
            state_client.UnknownOutcomeError,
            state_client.CompareAndSwapError,
        ) as error:
            log.info("token_not_rotated", error=error)
            self.scheduler.token_rotation.failed()
            return
        log.info("token_rotated", token=fencing_token)
        self.scheduler.token_rotated(fencing_token)


def pass_interval_s(pass_s: float) -> float:
    """Seconds between the starts of two scheduling passes, if the first one took `pass_s`."""
    slow_pass_ratio = SLOW_PASS_INTERVAL_RATIO * min(1.0, pass_s / SLOW_PASS_S)
    return max(MIN_PASS_INTERVAL_S, (PASS_INTERVAL_RATIO + slow_pass_ratio) * pass_s)
