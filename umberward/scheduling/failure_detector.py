"""What time alone tells: who is silent, whose lease is over, and whether it is we who are cut off.

No I/O.
"""

from __future__ import annotations

import heapq

from umberward.core.log import logger
from umberward.core.types import (
    ControllerName,
    Incarnation,
    Instant,
    MachineId,
    ZoneName,
)
from umberward.scheduling.cluster_state import ClusterState, Probe
from umberward.scheduling.lease_delegation import Delegation, Delegator
from umberward.scheduling.machines import Machine
from umberward.scheduling.reachability import Reachability

log = logger(__name__)

SOON_S = 0.1  # less than a tick: at the next one
COUNT_INTERVAL_S = 0.5  # how often all machines are counted
MIN_WORKERS = 4  # with fewer it can't be told whether they or we are cut off
PROBED_WORKERS = 8  # workers that are asked when none is heard
PROBE_WAIT_S = 1.2  # by then they have answered, or won't
MANY_WORKERS = 20  # so many report at moments spread evenly enough
HEARTBEAT_MARGIN_S = 1.0
INDEPENDENT_FAILURE_SHARE = 0.1  # of the machines may die at once, more are rather cut off
ZONE_HEARD_SHARE_MIN = 0.5  # of a zone's machines: where fewer are heard, the zone may be cut off
PAUSE_DETECTED_S = (
    1.0  # without a message for so long, it was we who stood still: ticks are frequent
)


class FailureDetector:
    def __init__(self, cluster: ClusterState, lender: Delegator, ears: Reachability) -> None:
        self.cluster = cluster
        self.reachability = ears
        self.delegator = lender
        self.cut_off_zones: set[ZoneName] = set()  # zones that may be cut off
        self.checks: list[tuple[Instant, MachineId]] = []  # a heap: when to look at which machine
        self.machines_seen = 0  # machines that have reported to us
        self.machines_heard = 0  # ... and do so still
        self.count_not_before = cluster.started
        self.suspected_since: Instant | None = None  # since when we may be cut off, and have asked

    def detect_pause(self, now: Instant) -> None:
        """To be called before anything else is decided, with the clock read anew.

        If we stood still, the machines were not silent: it was we who did not listen, and what they
        sent meanwhile is still to be read. Their leases ran on all the same.
        """
        gap = now - self.cluster.last_wake
        self.cluster.last_wake = now
        if gap <= PAUSE_DETECTED_S:
            return
        log.info("process_paused", seconds=round(gap, 1))
        self.cluster.last_heartbeat_at = min(now, Instant(self.cluster.last_heartbeat_at + gap))
        self.suspected_since = None
        for machine in self.cluster.machines.values():
            machine.last_heard_at = min(now, Instant(machine.last_heard_at + gap))
            machine.heartbeat_at = min(now, Instant(machine.heartbeat_at + gap))

    def tick(self, now: Instant) -> None:
        """Sessions that are over, machines to ask, and whether all is settled."""
        for machine in self.cluster.unscheduled_checks:
            heapq.heappush(self.checks, (now, machine.id))
        self.cluster.unscheduled_checks.clear()
        # Each machine has one entry, of when to look at it next: reports only put that off, and
        # nothing is done about them here until it has come.
        while self.checks and self.checks[0][0] <= now:
            id = self.checks[0][1]
            found = self.cluster.machines.get(id)
            if found is None:
                heapq.heappop(self.checks)
            else:
                heapq.heapreplace(self.checks, (self._check_machine(found, now), id))
        self._probe_when_silent(now)
        if not self.cluster.all_settled and self.cluster.loaded:
            waiting = [
                m
                for m in self.cluster.machines.values()
                if not (m.reconciled or m.predecessor_expired)
            ]
            if not waiting:
                self.cluster.all_settled = True
                for job in self.cluster.jobs.values():
                    job.requeue_unlocated()
                    self.cluster.unplaced[job.id] = job
                self.cluster.pass_wanted = True
                log.info("reconciliation_completed", after_s=round(now - self.cluster.started, 1))

    def _check_machine(self, machine: Machine, now: Instant) -> Instant:
        """What time tells of one machine; when to look at it again."""
        soon = Instant(now + SOON_S)
        silence = self.cluster.heartbeat_timeout()
        quiet = now - machine.last_heard_at
        if quiet > silence and not machine.probing and not machine.returning:
            machine.probing = True
            self.cluster.outbox.append(Probe(machine.id, machine.address))
        due = now + silence
        if not machine.returning:
            due = soon if machine.probing else min(due, machine.last_heard_at + silence)
        if machine.no_heartbeats_since is None and not (
            machine.probe_unanswered or machine.returning
        ):
            if now - machine.heartbeat_at > self.reachability.no_heartbeat_s:
                self.reachability.heartbeats_missing(machine, now)
            else:
                due = min(due, machine.heartbeat_at + self.reachability.no_heartbeat_s)
        if machine.reconciled:
            if machine.answered_at is not None:
                if self.delegator.lease_expired(
                    machine.zone, machine.answered_at, machine.delegated_at, now
                ):
                    # Its lease has run out: it has killed all that it had.
                    self._expire_lease(machine)
                else:
                    due = min(due, machine.answered_at + self.delegator.bounds.lease_s)
        elif not machine.predecessor_expired:
            takeover = self.delegator.bounds.takeover_s
            if now - self.cluster.started > takeover:
                machine.predecessor_expired = (
                    True  # nobody can have kept its session alive for so long
                )
            else:
                due = min(due, self.cluster.started + takeover)
        return max(soon, Instant(due))

    def _count(self, now: Instant) -> None:
        """How many machines were met, and are heard; once in a while, as they are many."""
        if now < self.count_not_before:
            return
        self.count_not_before = Instant(now + COUNT_INTERVAL_S)
        late = now - self.cluster.heartbeat_timeout() - 1.0
        met = [m for m in self.cluster.machines.values() if m.heartbeat_seen]
        self.machines_seen = len(met)
        self.machines_heard = sum(
            1 for m in met if not (m.probe_unanswered or m.unreachable) and m.last_heard_at > late
        )

    def hears_nothing(self, now: Instant) -> bool:
        """Whether no worker at all is heard, though so many should report that one would be."""
        self._count(now)
        met = self.machines_seen
        if met < MIN_WORKERS:
            return False
        # Each reports at least so often; the more there are, the sooner one of them does.
        longest = (
            1.25 * self.cluster.worker_times.report_s * min(1.0, MANY_WORKERS / met)
            + HEARTBEAT_MARGIN_S
        )
        return now - self.cluster.last_heartbeat_at > longest

    def _probe_when_silent(self, now: Instant) -> None:
        """Nothing is heard: ask some workers before anything follows from it.

        Machines that came up in one moment report in one moment for a while, and between two such
        moments all of them are silent.
        """
        if not self.hears_nothing(now):
            self.suspected_since = None
        elif self.suspected_since is None:
            self.suspected_since = now
            met = [
                m for m in self.cluster.machines.values() if m.heartbeat_seen and not m.returning
            ]
            for machine in self.cluster.rng.sample(met, min(PROBED_WORKERS, len(met))):
                machine.probing = True
                self.cluster.outbox.append(Probe(machine.id, machine.address))

    def is_isolated(self, now: Instant) -> bool:
        """Whether the workers seem to be out of our reach, all but a few."""
        if now - self.cluster.started < 2 * self.cluster.heartbeat_timeout():
            return False
        if self.suspected_since is not None and now - self.suspected_since > PROBE_WAIT_S:
            return True
        return self.machines_seen >= MIN_WORKERS and self.machines_heard < 0.25 * self.machines_seen

    def heard_no_machine(self, now: Instant) -> bool:
        """Whether not one of the machines we took over has been heard of, though by now each that
        we can reach should have reported, or have answered our question.

        `deaf` and `cut_off` count machines that were met: a new leader that is cut off itself meets
        none. All may be dead as well, so that this alone is no reason to give way.
        """
        if (
            now - self.cluster.started
            < 1.25 * self.cluster.worker_times.report_s + HEARTBEAT_MARGIN_S
        ):
            return False
        machines = self.cluster.machines.values()
        return len(machines) >= MIN_WORKERS and not any(m.heartbeat_seen for m in machines)

    def _expire_lease(self, machine: Machine) -> None:
        self.cluster.release_all(machine, "lease over")
        machine.min_incarnation = Incarnation(machine.incarnation + 1)
        machine.answered_at = None
        machine.lease_expired = True
        machine.availability_changed()
        machine.unchanged_heartbeat = (
            None  # a late report of that session must not be taken in unread
        )

    def select_machines_to_delete(self, now: Instant) -> None:
        """Silent machines are deleted: that frees their tasks before the lease does.

        Many silent ones at once mean that we, or their zone, are cut off, not that they are dead:
        what runs there goes on until their leases are nearly over, and so long they are left alone.
        If hardly any is heard, it is us.
        """
        if not self.cluster.unanswered_probes:
            return
        known = [self.cluster.machines.get(id) for id in self.cluster.unanswered_probes]
        silent = [m for m in known if m is not None and m.probe_unanswered and not m.returning]
        # One that has reported since it left us without an answer, and of late, is not dead: it
        # does not hear us (hearing.py).
        lease_s = self.cluster.worker_times.lease_s
        silent = [
            m
            for m in silent
            if m.suspected_since is None
            or m.last_heard_at <= m.suspected_since
            or now - m.last_heard_at > lease_s
        ]
        self.cluster.unanswered_probes = {m.id for m in silent}
        if not silent:
            return
        taken = [m for m in silent if m.notice_at is not None]
        self.cluster.machines_to_delete.update(m.id for m in taken)
        recent = 1.25 * self.cluster.worker_times.report_s + HEARTBEAT_MARGIN_S
        apart = self._find_cut_off_zones(now, recent)
        for zone in sorted(apart - self.cut_off_zones):
            log.warning("zone_unreachable", zone=zone)
        self.cut_off_zones = apart
        silent = [
            m for m in silent if m.zone not in apart or m.lease_expired or m.predecessor_expired
        ]
        # Those count too that we have taken over and never met: a new leader that hears but a few
        # is cut off from the rest rather than the only one whose machines live.
        within = [m for m in self.cluster.machines.values() if m.zone not in apart]
        alive = sum(1 for m in within if m.heartbeat_seen and now - m.last_heard_at < recent)
        if self.hears_nothing(now) or not alive:
            return
        # Those whose report is overdue count as well: of a cut, some are noticed before others.
        overdue = len(within) - alive - sum(1 for m in taken if m.zone not in apart)
        if overdue <= max(3, INDEPENDENT_FAILURE_SHARE * len(within)):
            self.cluster.machines_to_delete.update(m.id for m in silent)
        elif overdue <= 0.7 * alive:
            late = 0.8 * self.cluster.worker_times.lease_s
            self.cluster.machines_to_delete.update(
                m.id for m in silent if now - m.last_heard_at > late
            )

    def _find_cut_off_zones(self, now: Instant, recent: float) -> set[ZoneName]:
        """Zones of which hardly any machine is heard, and in which another controller may answer
        them: what runs there goes on, for as long as that may be so.

        A new leader may never have heard of any of them.
        """
        heard: dict[ZoneName, list[bool]] = {}
        for machine in self.cluster.machines.values():
            if machine.zone in self.delegator.zones and machine.notice_at is None:
                here = machine.heartbeat_seen and now - machine.last_heard_at < recent
                heard.setdefault(machine.zone, []).append(here)
        return {
            zone
            for zone, here in heard.items()
            if len(here) >= MIN_WORKERS and sum(here) < ZONE_HEARD_SHARE_MIN * len(here)
        }

    def delegate(
        self, borrower: ControllerName, seen: int, idle: bool, now: Instant
    ) -> Delegation | None:
        """The machines of its zone that this controller may answer if the zone is cut off; None:
        we know too little ourselves."""
        if self.cluster.jobs_read_at is None:
            return None
        zone = self.delegator.delegates.get(borrower)
        serial = self.delegator.issue(borrower, seen, now, unused=idle)
        hosts = []
        for machine in self.cluster.machines.values() if self.cluster.loaded else ():
            if (
                machine.zone == zone
                and machine.reconciled
                and machine.token_seen == self.cluster.fencing_token
                and now - machine.last_heard_at < self.cluster.heartbeat_timeout()
                and not (machine.unplaced_tasks or machine.returning or machine.lease_expired)
                and not (machine.has_stopping_tasks or self.cluster.has_unwanted_start(machine))
            ):
                machine.delegated_at = now
                hosts.append(str(machine.id))
        return Delegation(
            self.cluster.fencing_token, serial, max(0.0, now - self.cluster.jobs_read_at), hosts
        )
