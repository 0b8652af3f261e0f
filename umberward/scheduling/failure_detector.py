"""Failure detection from the silence of many machines: which of them or who else failed. No I/O.

Silence alone does not tell which side has failed. `FailureDetector` therefore distinguishes a
machine that is down, a zone that is cut off, a leader that is itself cut off from the workers, and
a leader whose process was paused. What the silence of a single machine leads to is in
`machine_checks`. All moments are of the leader's steady clock.
"""

from __future__ import annotations

from collections.abc import Iterable

from umberward.core.log import logger
from umberward.core.types import ControllerName, Instant, ZoneName
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.lease_delegation import Delegation, Delegator
from umberward.scheduling.machine_checks import MachineChecks
from umberward.scheduling.machines import Machine
from umberward.scheduling.reachability import Reachability

log = logger(__name__)

COUNT_INTERVAL_S = 0.5  # all machines are counted this often
COUNT_MARGIN_S = 1.0  # added to the heartbeat timeout when they are counted
MIN_WORKERS = 4  # with fewer, a cut-off leader can't be told from failed workers
PROBED_WORKERS = 8  # workers that are probed when none is heard
PROBE_WAIT_S = 1.2  # a worker in reach has answered a probe by then
MANY_WORKERS = 20  # the heartbeats of this many are spread evenly enough over their interval
HEARTBEAT_INTERVAL_FACTOR = 1.25  # the longest regular interval between heartbeats, by its setting
HEARTBEAT_MARGIN_S = 1.0  # added to that interval for delays on the way
INDEPENDENT_FAILURES_MIN = 3  # this many machines may fail at once for reasons of their own, or
INDEPENDENT_FAILURE_SHARE = 0.1  # ... this share of all; more are rather cut off
ZONE_HEARD_SHARE_MIN = 0.5  # of a zone's machines: where fewer are heard, the zone may be cut off
ISOLATED_HEARD_SHARE = 0.25  # of the machines seen: where fewer are heard, the leader is isolated
ISOLATED_AFTER_TIMEOUTS = 2  # heartbeat timeouts of a term in which isolation is not concluded
OVERDUE_TO_ALIVE_MAX = 0.7  # with relatively more machines overdue, none of them is deleted
LATE_DELETION_LEASE_SHARE = 0.8  # of its lease a machine is silent before deletion, if many are
PAUSE_DETECTED_S = 1.0  # ticks are frequent: after a longer gap the process itself was paused


class FailureDetector:
    """Decides which machines, zones or leaders have failed, as the leader that runs it sees it."""

    def __init__(
        self, cluster: ClusterState, delegator: Delegator, reachability: Reachability
    ) -> None:
        """Watch the machines of `cluster`; `delegator` tells whose leases others may renew."""
        self.cluster = cluster
        self.reachability = reachability
        self.delegator = delegator
        self.machine_checks = MachineChecks(cluster, delegator, reachability)
        self.cut_off_zones: set[ZoneName] = set()  # zones that may be cut off
        self.machines_seen = 0  # machines that have sent a heartbeat to this leader
        self.machines_heard = 0  # ... and still do
        self.count_not_before = cluster.started_at
        # Since when this leader may be cut off, and has sent probes to find out.
        self.suspected_since: Instant | None = None

    def detect_pause(self, now: Instant) -> None:
        """Discount a pause of this process; called before any decision, with a fresh `now`.

        While the process was paused the machines were not silent: the leader did not listen, and
        what they sent meanwhile is still to be read. Their leases ran on all the same.
        """
        pause_s = now - self.cluster.last_wake
        self.cluster.last_wake = now
        if pause_s <= PAUSE_DETECTED_S:
            return
        log.info("process_paused", seconds=round(pause_s, 1))
        self.cluster.last_heartbeat_at = min(now, Instant(self.cluster.last_heartbeat_at + pause_s))
        self.suspected_since = None
        for machine in self.cluster.machines.values():
            machine.last_heard_at = min(now, Instant(machine.last_heard_at + pause_s))
            machine.heartbeat_at = min(now, Instant(machine.heartbeat_at + pause_s))

    def tick(self, now: Instant) -> None:
        """End expired sessions, probe silent machines, and note the end of reconciliation."""
        self.machine_checks.tick(now)
        self._probe_when_silent(now)
        if not self.cluster.reconciliation_completed and self.cluster.loaded:
            self._check_reconciliation_completed(now)

    def hears_nothing(self, now: Instant) -> bool:
        """Whether no worker is heard, though of so many at least one should have been."""
        self._count(now)
        if self.machines_seen < MIN_WORKERS:
            return False
        # The more workers there are, the shorter is the longest gap between two heartbeats.
        interval_share = min(1.0, MANY_WORKERS / self.machines_seen)
        return now - self.cluster.last_heartbeat_at > self._heartbeat_overdue_s(interval_share)

    def is_isolated(self, now: Instant) -> bool:
        """Whether the workers seem to be out of this leader's reach, all but a few."""
        if (
            now - self.cluster.started_at
            < ISOLATED_AFTER_TIMEOUTS * self.cluster.heartbeat_timeout()
        ):
            return False
        if self.suspected_since is not None and now - self.suspected_since > PROBE_WAIT_S:
            return True
        return (
            self.machines_seen >= MIN_WORKERS
            and self.machines_heard < ISOLATED_HEARD_SHARE * self.machines_seen
        )

    def heard_no_machine(self, now: Instant) -> bool:
        """Whether this leader has heard no machine since its term began, though it should have.

        By now each machine in reach should have sent a heartbeat or answered a probe.
        `hears_nothing` and `is_isolated` count the machines that were seen: a new leader that is
        cut off itself has seen none. All machines may be down as well, so this alone is no reason
        to step down.
        """
        if now - self.cluster.started_at < self._heartbeat_overdue_s():
            return False
        machines = self.cluster.machines.values()
        return len(machines) >= MIN_WORKERS and not any(m.heartbeat_seen for m in machines)

    def select_machines_to_delete(self, now: Instant) -> None:
        """Mark silent machines for deletion, which frees their tasks before their lease does.

        Many silent machines at once mean that the leader or their zone is cut off, not that they
        are down: their tasks go on until their leases are nearly over, and until then the machines
        are kept. If hardly any machine is heard, it is the leader that is cut off.
        """
        if not self.cluster.unanswered_probes:
            return
        silent = self._find_silent_machines(now)
        self.cluster.unanswered_probes = {machine.id for machine in silent}
        if not silent:
            return
        preempted = [machine for machine in silent if machine.preempted_at is not None]
        self._mark_for_deletion(preempted)
        cut_off_zones = self._update_cut_off_zones(now)
        silent = [
            machine
            for machine in silent
            if machine.zone not in cut_off_zones
            or machine.lease_expired
            or machine.predecessor_expired
        ]
        self._mark_unless_cut_off(silent, preempted, now)

    def delegate(
        self,
        delegate: ControllerName,
        acknowledged: int,
        unused: bool,  # noqa: FBT001 - the scheduler passes the request on by position
        now: Instant,
    ) -> Delegation | None:
        """Delegate the machines of a controller's zone to it, for when the zone is cut off.

        `acknowledged` is the number of the last delegation that it accepted, and `unused` says
        that it has renewed no session since it requested that one. Returns None while this leader
        has read no jobs and so knows of no cancellations.
        """
        if self.cluster.jobs_read_at is None:
            return None
        zone = self.delegator.delegates.get(delegate)
        sequence = self.delegator.issue(delegate, acknowledged, now, unused=unused)
        machine_ids = []
        for machine in self.cluster.machines.values() if self.cluster.loaded else ():
            if machine.zone == zone and self._may_delegate(machine, now):
                machine.delegated_at = now
                machine_ids.append(str(machine.id))
        jobs_read_age_s = max(0.0, now - self.cluster.jobs_read_at)
        return Delegation(self.cluster.fencing_token, sequence, jobs_read_age_s, machine_ids)

    def _check_reconciliation_completed(self, now: Instant) -> None:
        """Once every machine is reconciled or certainly expired, requeue the tasks not found."""
        if any(
            not (machine.reconciled or machine.predecessor_expired)
            for machine in self.cluster.machines.values()
        ):
            return
        self.cluster.reconciliation_completed = True
        for job in self.cluster.jobs.values():
            job.requeue_unlocated()
            self.cluster.jobs_to_place[job.id] = job
        self.cluster.pass_wanted = True
        log.info("reconciliation_completed", after_s=round(now - self.cluster.started_at, 1))

    # ---- silence of all machines -------------------------------------------------------------

    def _heartbeat_overdue_s(self, interval_share: float = 1.0) -> float:
        """Seconds without a heartbeat after which one is overdue.

        `interval_share` is less than 1 for many workers together, one of which is heard in that
        share of the interval.
        """
        report_s = self.cluster.worker_times.report_s
        return HEARTBEAT_INTERVAL_FACTOR * report_s * interval_share + HEARTBEAT_MARGIN_S

    def _is_heard(self, machine: Machine, now: Instant) -> bool:
        """Whether the machine's heartbeats arrive in time."""
        overdue_s = self._heartbeat_overdue_s()
        return machine.heartbeat_seen and now - machine.last_heard_at < overdue_s

    def _count(self, now: Instant) -> None:
        """Count the machines seen and heard, at intervals, as they are many."""
        if now < self.count_not_before:
            return
        self.count_not_before = Instant(now + COUNT_INTERVAL_S)
        heard_after = now - self.cluster.heartbeat_timeout() - COUNT_MARGIN_S
        seen = [m for m in self.cluster.machines.values() if m.heartbeat_seen]
        self.machines_seen = len(seen)
        self.machines_heard = sum(
            1
            for machine in seen
            if not (machine.probe_unanswered or machine.unreachable)
            and machine.last_heard_at > heard_after
        )

    def _probe_when_silent(self, now: Instant) -> None:
        """While nothing is heard, probe some workers before anything is concluded.

        Machines that were started at once send their heartbeats at once for a while, and between
        two such moments all of them are silent.
        """
        if not self.hears_nothing(now):
            self.suspected_since = None
        elif self.suspected_since is None:
            self.suspected_since = now
            candidates = [
                m
                for m in self.cluster.machines.values()
                if m.heartbeat_seen and not m.deletion_requested
            ]
            sample_size = min(PROBED_WORKERS, len(candidates))
            for machine in self.cluster.rng.sample(candidates, sample_size):
                self.reachability.send_probe(machine)

    # ---- deletion of silent machines ---------------------------------------------------------

    def _find_silent_machines(self, now: Instant) -> list[Machine]:
        """The machines that left a probe unanswered and have not been heard of since.

        One that has sent a heartbeat of late, after it left the leader without an answer, is not
        down: it does not receive what the leader sends (`reachability`).
        """
        lease_s = self.cluster.worker_times.lease_s
        silent = []
        for machine_id in self.cluster.unanswered_probes:
            machine = self.cluster.machines.get(machine_id)
            if machine is None or not machine.probe_unanswered or machine.deletion_requested:
                continue
            if (
                machine.suspected_since is None
                or machine.last_heard_at <= machine.suspected_since
                or now - machine.last_heard_at > lease_s
            ):
                silent.append(machine)
        return silent

    def _mark_unless_cut_off(
        self, silent: list[Machine], preempted: list[Machine], now: Instant
    ) -> None:
        """Mark the silent machines unless the leader is rather cut off from them.

        `preempted` are those among all silent machines that the cloud deletes anyway.
        """
        # Machines taken over and never seen count as well: a new leader that hears but a few is
        # cut off from the rest, rather than the only one whose machines are alive.
        in_reach = [m for m in self.cluster.machines.values() if m.zone not in self.cut_off_zones]
        alive = sum(1 for machine in in_reach if self._is_heard(machine, now))
        if self.hears_nothing(now) or not alive:
            return
        # Machines whose heartbeat is overdue count as silent: of those that are cut off at once,
        # some are noticed before others.
        preempted_in_reach = sum(1 for m in preempted if m.zone not in self.cut_off_zones)
        overdue = len(in_reach) - alive - preempted_in_reach
        if overdue <= max(INDEPENDENT_FAILURES_MIN, INDEPENDENT_FAILURE_SHARE * len(in_reach)):
            self._mark_for_deletion(silent)
        elif overdue <= OVERDUE_TO_ALIVE_MAX * alive:
            late_s = LATE_DELETION_LEASE_SHARE * self.cluster.worker_times.lease_s
            self._mark_for_deletion(m for m in silent if now - m.last_heard_at > late_s)

    def _mark_for_deletion(self, machines: Iterable[Machine]) -> None:
        self.cluster.machines_to_delete.update(machine.id for machine in machines)

    def _update_cut_off_zones(self, now: Instant) -> set[ZoneName]:
        """Find the zones that may be cut off, and log those that were not before."""
        cut_off_zones = self._find_cut_off_zones(now)
        for zone in sorted(cut_off_zones - self.cut_off_zones):
            log.warning("zone_unreachable", zone=zone)
        self.cut_off_zones = cut_off_zones
        return cut_off_zones

    def _find_cut_off_zones(self, now: Instant) -> set[ZoneName]:
        """The zones of which hardly any machine is heard and that have another controller in them.

        That controller may renew the machines' leases, so their tasks may go on. A new leader may
        never have heard any machine of such a zone.
        """
        heard: dict[ZoneName, list[bool]] = {}
        for machine in self.cluster.machines.values():
            if machine.zone in self.delegator.zones and machine.preempted_at is None:
                heard.setdefault(machine.zone, []).append(self._is_heard(machine, now))
        return {
            zone
            for zone, heard_in_zone in heard.items()
            if len(heard_in_zone) >= MIN_WORKERS
            and sum(heard_in_zone) < ZONE_HEARD_SHARE_MIN * len(heard_in_zone)
        }

    # ---- delegation --------------------------------------------------------------------------

    def _may_delegate(self, machine: Machine, now: Instant) -> bool:
        """Whether another controller may renew the machine's lease.

        Nothing on it may have to be stopped, as a delegate sends no commands.
        """
        return (
            machine.reconciled
            and machine.token_seen == self.cluster.fencing_token
            and now - machine.last_heard_at < self.cluster.heartbeat_timeout()
            and not (machine.unplaced_tasks or machine.deletion_requested or machine.lease_expired)
            and not (machine.has_stopping_tasks or self.cluster.has_unwanted_start(machine))
        )
