"""Distinguishes failed machines from network partitions, by looking at all machines. No I/O.

Silence alone does not show which side has failed. `FailureDetector` therefore distinguishes a
machine that is down, a zone that is cut off, a leader that is itself cut off from the workers, and
a leader whose process was paused. `machine_checks` handles the silence of a single machine. All
times are of the leader's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable

from umberward.core.log import logger
from umberward.core.types import ControllerName, Instant, ZoneName
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.machines import Machine
from umberward.scheduling.sessions.lease_delegation import Delegation, Delegator
from umberward.scheduling.sessions.machine_checks import MachineChecks
from umberward.scheduling.sessions.reachability import Reachability

log = logger(__name__)

MACHINE_COUNT_INTERVAL_S = 0.5  # interval at which the machines that send heartbeats are counted
REPORTING_TIMEOUT_MARGIN_S = 1.0  # added to the heartbeat timeout in that count
MIN_WORKERS = 4  # with fewer, a network partition can't be told from failed workers
MAX_PROBED_WORKERS = 8  # number of workers to probe when none sends a message
ISOLATION_PROBE_TIMEOUT_S = 1.2  # a reachable worker answers a probe within this time
# Heartbeats of at least this many workers are spread evenly enough over their interval.
MIN_EVENLY_SPREAD_WORKERS = 20
HEARTBEAT_INTERVAL_FACTOR = 1.25  # longest regular heartbeat interval, relative to the setting
HEARTBEAT_MARGIN_S = 1.0  # added to that interval for network delays
# Up to this many machines, or this fraction of all, may fail independently at the same time. If
# more are silent, they are assumed to be cut off.
MAX_INDEPENDENT_FAILURES = 3
MAX_INDEPENDENT_FAILURE_FRACTION = 0.1
# A zone may be cut off if a smaller fraction of its machines sends messages.
MIN_ZONE_REPORTING_FRACTION = 0.5
# The leader is isolated if a smaller fraction of the machines confirmed in this term sends
# messages.
MIN_REPORTING_FRACTION = 0.25
# Number of heartbeat timeouts after the start of a term in which the leader is not considered
# isolated.
ISOLATION_GRACE_TIMEOUTS = 2
MAX_OVERDUE_TO_ALIVE_RATIO = 0.7  # above this ratio of overdue to live machines, none is deleted
# If many machines are silent, each is deleted only after this fraction of its lease.
LATE_DELETION_LEASE_FRACTION = 0.8
PROCESS_PAUSE_THRESHOLD_S = 1.0  # a longer gap between the frequent ticks is a process pause


class FailureDetector:
    """Decides for the leader which machines, zones or leaders have failed or are cut off."""

    def __init__(
        self, cluster: ClusterState, delegator: Delegator, reachability: Reachability
    ) -> None:
        """Monitor the machines of `cluster`; `delegator` knows whose leases delegates may renew."""
        self.cluster = cluster
        self.reachability = reachability
        self.delegator = delegator
        self.machine_checks = MachineChecks(cluster, delegator, reachability)
        self.cut_off_zones: set[ZoneName] = set()  # zones that may be cut off
        self.confirmed_machine_count = 0  # machines with `confirmed_in_term`
        self.reporting_machine_count = 0  # those of them that still send messages
        self.next_count_at = cluster.started_at
        # When all workers were found silent and probed; None: isolation is not suspected.
        self.isolation_suspected_since: Instant | None = None

    def discount_process_pause(self, now: Instant) -> None:
        """Do not count a pause of this process as silence of the machines.

        To be called before any decision, with a fresh `now`. Messages that arrived during the
        pause are still to be read, so the machines were not silent. Their leases kept running
        during the pause.
        """
        pause_s = now - self.cluster.last_pause_check_at
        self.cluster.last_pause_check_at = now
        if pause_s <= PROCESS_PAUSE_THRESHOLD_S:
            return
        log.info("process_paused", seconds=round(pause_s, 1))
        self.cluster.last_heartbeat_at = min(now, Instant(self.cluster.last_heartbeat_at + pause_s))
        self.isolation_suspected_since = None
        for machine in self.cluster.machines.values():
            machine.last_message_at = min(now, Instant(machine.last_message_at + pause_s))
            machine.heartbeat_at = min(now, Instant(machine.heartbeat_at + pause_s))

    def tick(self, now: Instant) -> None:
        """End expired sessions, probe silent machines, and check if reconciliation is complete."""
        self.machine_checks.tick(now)
        self._probe_if_all_silent(now)
        if not self.cluster.reconciliation_completed and self.cluster.loaded:
            self._check_reconciliation_completed(now)

    def all_workers_silent(self, now: Instant) -> bool:
        """Whether no worker sends a message although, given their number, one should have."""
        self._update_machine_counts(now)
        if self.confirmed_machine_count < MIN_WORKERS:
            return False
        # The more workers there are, the shorter the longest gap between two heartbeats.
        interval_fraction = min(1.0, MIN_EVENLY_SPREAD_WORKERS / self.confirmed_machine_count)
        return now - self.cluster.last_heartbeat_at > self._heartbeat_overdue_s(interval_fraction)

    def receives_few_heartbeats(self, now: Instant) -> bool:
        """Whether all but a few workers seem to be unreachable for this leader."""
        if (
            now - self.cluster.started_at
            < ISOLATION_GRACE_TIMEOUTS * self.cluster.heartbeat_timeout_s()
        ):
            return False
        if (
            self.isolation_suspected_since is not None
            and now - self.isolation_suspected_since > ISOLATION_PROBE_TIMEOUT_S
        ):
            return True
        return (
            self.confirmed_machine_count >= MIN_WORKERS
            and self.reporting_machine_count < MIN_REPORTING_FRACTION * self.confirmed_machine_count
        )

    def received_no_heartbeat_this_term(self, now: Instant) -> bool:
        """Whether no machine has sent a message since the term began, although each should have.

        By now each reachable machine should have sent a heartbeat or answered a probe.
        `all_workers_silent` and `receives_few_heartbeats` rely on machines confirmed in this term,
        and a new leader that is cut off has none. All machines may also be down, so this alone is
        no reason to step down.
        """
        if now - self.cluster.started_at < self._heartbeat_overdue_s():
            return False
        machines = self.cluster.machines.values()
        return len(machines) >= MIN_WORKERS and not any(m.confirmed_in_term for m in machines)

    def mark_silent_machines_for_deletion(self, now: Instant) -> None:
        """Mark silent machines for deletion, so that their tasks can start elsewhere sooner.

        Otherwise the tasks would wait until the lease expires.

        If many machines are silent at the same time, the leader or their zone is cut off rather
        than the machines being down. Their tasks run until the leases expire, so the machines are
        kept until shortly before. If hardly any machine sends messages, the leader itself is cut
        off.
        """
        if not self.cluster.silent_machines:
            return
        silent = self._find_silent_machines(now)
        self.cluster.silent_machines = {machine.id for machine in silent}
        if not silent:
            return
        reclaimed = [machine for machine in silent if machine.reclaim_at is not None]
        self._mark_for_deletion(reclaimed)
        cut_off_zones = self._update_cut_off_zones(now)
        silent = [
            machine
            for machine in silent
            if machine.zone not in cut_off_zones
            or machine.lease_expired
            or machine.previous_tasks_ended
        ]
        self._mark_unless_cut_off(silent, reclaimed, now)

    def issue_delegation(
        self,
        delegate: ControllerName,
        last_sequence: int,
        unused: bool,  # noqa: FBT001 - the scheduler passes the request on by position
        now: Instant,
    ) -> Delegation | None:
        """Delegate lease renewal to the controller in a zone, for when the zone is cut off.

        `last_sequence` is the number of the last delegation that it accepted; `unused` means that
        it has renewed no session since it requested that one. Return None while this leader has
        read no jobs and so knows of no cancellations.
        """
        if self.cluster.jobs_read_requested_at is None:
            return None
        zone = self.delegator.delegates.get(delegate)
        delegation_sequence = self.delegator.issue(delegate, last_sequence, now, unused=unused)
        machine_ids = []
        for machine in self.cluster.machines.values() if self.cluster.loaded else ():
            if machine.zone == zone and self._may_delegate(machine, now):
                machine.delegated_at = now
                machine_ids.append(str(machine.id))
        jobs_read_age_s = max(0.0, now - self.cluster.jobs_read_requested_at)
        return Delegation(
            self.cluster.tokens.initial,
            delegation_sequence,
            jobs_read_age_s,
            machine_ids,
            self.cluster.tokens.announce(),
        )

    def _check_reconciliation_completed(self, now: Instant) -> None:
        """Requeue unlocated tasks once each machine is reconciled or its old session is over."""
        if any(
            not (machine.reconciled or machine.previous_tasks_ended)
            for machine in self.cluster.machines.values()
        ):
            return
        self.cluster.reconciliation_completed = True
        for job in self.cluster.jobs.values():
            job.requeue_unlocated()
            self.cluster.jobs_to_place[job.id] = job
        self.cluster.scheduling_pass_needed = True
        log.info("reconciliation_completed", after_s=round(now - self.cluster.started_at, 1))

    # ---- silence of all machines -------------------------------------------------------------

    def _heartbeat_overdue_s(self, interval_fraction: float = 1.0) -> float:
        """Seconds without a heartbeat after which one is overdue.

        `interval_fraction` is less than 1 for a group of workers of which at least one should
        report within that fraction of the interval.
        """
        report_s = self.cluster.worker_times.report_s
        return HEARTBEAT_INTERVAL_FACTOR * report_s * interval_fraction + HEARTBEAT_MARGIN_S

    def _is_reporting(self, machine: Machine, now: Instant) -> bool:
        """Whether the machine's latest message is recent enough."""
        overdue_s = self._heartbeat_overdue_s()
        return machine.confirmed_in_term and now - machine.last_message_at < overdue_s

    def _update_machine_counts(self, now: Instant) -> None:
        """Count the confirmed and the reporting machines; at intervals, as there are many."""
        if now < self.next_count_at:
            return
        self.next_count_at = Instant(now + MACHINE_COUNT_INTERVAL_S)
        reporting_after = now - self.cluster.heartbeat_timeout_s() - REPORTING_TIMEOUT_MARGIN_S
        seen = [m for m in self.cluster.machines.values() if m.confirmed_in_term]
        self.confirmed_machine_count = len(seen)
        self.reporting_machine_count = sum(
            1
            for machine in seen
            if not (machine.silent or machine.unreachable)
            and machine.last_message_at > reporting_after
        )

    def _probe_if_all_silent(self, now: Instant) -> None:
        """If no worker sends a message, probe some before concluding that the leader is isolated.

        Machines that started together send their heartbeats together for a while, and are all
        silent in between.
        """
        if not self.all_workers_silent(now):
            self.isolation_suspected_since = None
        elif self.isolation_suspected_since is None:
            self.isolation_suspected_since = now
            candidates = [
                m for m in self.cluster.machines.values() if m.confirmed_in_term and not m.draining
            ]
            sample_size = min(MAX_PROBED_WORKERS, len(candidates))
            for machine in self.cluster.rng.sample(candidates, sample_size):
                self.reachability.send_probe(machine)

    # ---- deletion of silent machines ---------------------------------------------------------

    def _find_silent_machines(self, now: Instant) -> list[Machine]:
        """The machines that left a probe unanswered and have not sent a message since.

        A machine that sent a recent heartbeat while it left probes unanswered is not down: it does
        not receive what the leader sends (`reachability`).
        """
        lease_s = self.cluster.worker_times.lease_s
        silent = []
        for machine_id in self.cluster.silent_machines:
            machine = self.cluster.machines.get(machine_id)
            if machine is None or not machine.silent or machine.draining:
                continue
            if (
                machine.suspected_unreachable_since is None
                or machine.last_message_at <= machine.suspected_unreachable_since
                or now - machine.last_message_at > lease_s
            ):
                silent.append(machine)
        return silent

    def _mark_unless_cut_off(
        self, silent: list[Machine], reclaimed: list[Machine], now: Instant
    ) -> None:
        """Mark the silent machines unless the leader seems to be cut off from them.

        `reclaimed` lists the silent machines that the cloud deletes anyway.
        """
        # Machines of the previous term that never sent a message count as well: a new leader that
        # receives messages from only a few machines is more likely cut off from the rest than
        # they are all down.
        connected_machines = [
            m for m in self.cluster.machines.values() if m.zone not in self.cut_off_zones
        ]
        alive_count = sum(1 for machine in connected_machines if self._is_reporting(machine, now))
        if self.all_workers_silent(now) or not alive_count:
            return
        # Machines with an overdue heartbeat count as silent, as the silence of machines that are
        # cut off together is not noticed for all at the same time.
        connected_reclaimed = sum(1 for m in reclaimed if m.zone not in self.cut_off_zones)
        overdue = len(connected_machines) - alive_count - connected_reclaimed
        if overdue <= max(
            MAX_INDEPENDENT_FAILURES, MAX_INDEPENDENT_FAILURE_FRACTION * len(connected_machines)
        ):
            self._mark_for_deletion(silent)
        elif overdue <= MAX_OVERDUE_TO_ALIVE_RATIO * alive_count:
            late_deletion_s = LATE_DELETION_LEASE_FRACTION * self.cluster.worker_times.lease_s
            self._mark_for_deletion(m for m in silent if now - m.last_message_at > late_deletion_s)

    def _mark_for_deletion(self, machines: Iterable[Machine]) -> None:
        self.cluster.machines_to_delete.update(machine.id for machine in machines)

    def _update_cut_off_zones(self, now: Instant) -> set[ZoneName]:
        """Update the zones that may be cut off, and log new ones."""
        cut_off_zones = self._find_cut_off_zones(now)
        for zone in sorted(cut_off_zones - self.cut_off_zones):
            log.warning("zone_unreachable", zone=zone)
        self.cut_off_zones = cut_off_zones
        return cut_off_zones

    def _find_cut_off_zones(self, now: Instant) -> set[ZoneName]:
        """The zones that have another controller and too few machines that send messages.

        That controller may renew the machines' leases, so their tasks may go on. A new leader may
        never have received a message from any machine of such a zone.
        """
        reporting_by_zone: dict[ZoneName, list[bool]] = {}
        for machine in self.cluster.machines.values():
            if machine.zone in self.delegator.zones and machine.reclaim_at is None:
                reporting_by_zone.setdefault(machine.zone, []).append(
                    self._is_reporting(machine, now)
                )
        return {
            zone
            for zone, reporting_in_zone in reporting_by_zone.items()
            if len(reporting_in_zone) >= MIN_WORKERS
            and sum(reporting_in_zone) < MIN_ZONE_REPORTING_FRACTION * len(reporting_in_zone)
        }

    # ---- delegation --------------------------------------------------------------------------

    def _may_delegate(self, machine: Machine, now: Instant) -> bool:
        """Whether another controller may renew the machine's lease.

        The machine must have no tasks to stop, as a delegate sends no commands.
        """
        return (
            machine.reconciled
            and now - machine.last_message_at < self.cluster.heartbeat_timeout_s()
            and not (machine.tasks_without_placement or machine.draining or machine.lease_expired)
            and not (machine.has_stopping_tasks or self.cluster.has_unwanted_start(machine))
        )
