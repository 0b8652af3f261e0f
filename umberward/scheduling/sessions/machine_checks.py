"""Timed checks of each machine: silence, missing heartbeats and expired sessions. No I/O.

All times are of the leader's monotonic clock.
"""

from __future__ import annotations

import heapq
import math

from umberward.core.types import Incarnation, Instant, MachineId
from umberward.scheduling.cluster_state import ClusterState
from umberward.scheduling.machines import Machine
from umberward.scheduling.sessions.lease_delegation import Delegator
from umberward.scheduling.sessions.reachability import Reachability

RECHECK_INTERVAL_S = 0.1  # shorter than the tick interval: checks again at the next tick

NO_CHECK_DUE = Instant(math.inf)


class MachineChecks:
    """Probes silent machines, and ends sessions that are certain to be over."""

    def __init__(
        self, cluster: ClusterState, delegator: Delegator, reachability: Reachability
    ) -> None:
        """Check the machines of `cluster`; `delegator` knows whose leases delegates may renew."""
        self.cluster = cluster
        self.reachability = reachability
        self.delegator = delegator
        # A heap of the next check of each machine, one entry per machine.
        self._schedule: list[tuple[Instant, MachineId]] = []

    def tick(self, now: Instant) -> None:
        """Schedule a check of new machines, and run all checks that are due."""
        for machine in self.cluster.machines_without_check:
            heapq.heappush(self._schedule, (now, machine.id))
        self.cluster.machines_without_check.clear()
        self._run_due_checks(now)

    def _run_due_checks(self, now: Instant) -> None:
        """Check the machines whose check is due.

        Heartbeats can only postpone a check, so an entry is rescheduled when it comes due rather
        than with each heartbeat.
        """
        while self._schedule and self._schedule[0][0] <= now:
            machine_id = self._schedule[0][1]
            machine = self.cluster.machines.get(machine_id)
            if machine is None:
                heapq.heappop(self._schedule)
            else:
                heapq.heapreplace(self._schedule, (self._check_machine(machine, now), machine_id))

    def _check_machine(self, machine: Machine, now: Instant) -> Instant:
        """Run all checks of one machine, and return when to check it next."""
        next_check = min(
            self._check_silence(machine, now),
            self._check_heartbeats(machine, now),
            self._check_session(machine, now),
        )
        return max(Instant(now + RECHECK_INTERVAL_S), next_check)

    def _check_silence(self, machine: Machine, now: Instant) -> Instant:
        """Probe a machine that has been silent for longer than the heartbeat timeout."""
        timeout_s = self.cluster.heartbeat_timeout_s()
        if machine.draining:
            return Instant(now + timeout_s)
        if not machine.probe_inflight and now - machine.last_message_at > timeout_s:
            self.reachability.send_probe(machine)
        if machine.probe_inflight:
            return Instant(now + RECHECK_INTERVAL_S)
        return Instant(min(now, machine.last_message_at) + timeout_s)

    def _check_heartbeats(self, machine: Machine, now: Instant) -> Instant:
        """Report a machine that answers but has sent no periodic heartbeat for too long."""
        if machine.no_heartbeats_since is not None:
            return NO_CHECK_DUE
        if machine.silent or machine.draining:
            return NO_CHECK_DUE
        if now - machine.heartbeat_at > self.reachability.heartbeats_missing_after_s:
            self.reachability.heartbeats_missing(machine, now)
            return NO_CHECK_DUE
        return Instant(machine.heartbeat_at + self.reachability.heartbeats_missing_after_s)

    def _check_session(self, machine: Machine, now: Instant) -> Instant:
        """End the machine's session, or a previous leader's, once it is certain to be over."""
        if machine.reconciled:
            return self._check_lease(machine, now)
        if machine.previous_tasks_ended:
            return NO_CHECK_DUE
        takeover_s = self.delegator.bounds.takeover_s
        if now - self.cluster.started_at > takeover_s:
            # Any session that a previous leader renewed is over by now, but this one may have
            # renewed it as well, before knowing its tasks.
            if machine.lease_started_at is not None and not self._lease_is_over(machine, now):
                return Instant(machine.lease_started_at + self.delegator.bounds.lease_s)
            machine.previous_tasks_ended = True
            return NO_CHECK_DUE
        return Instant(self.cluster.started_at + takeover_s)

    def _check_lease(self, machine: Machine, now: Instant) -> Instant:
        """Expire the lease of a reconciled machine; its worker has then killed all tasks."""
        if machine.lease_started_at is None:
            return NO_CHECK_DUE
        if self._lease_is_over(machine, now):
            self._expire_lease(machine)
            return NO_CHECK_DUE
        return Instant(machine.lease_started_at + self.delegator.bounds.lease_s)

    def _lease_is_over(self, machine: Machine, now: Instant) -> bool:
        """Whether the session that began or was renewed at `lease_started_at` is certainly over."""
        assert machine.lease_started_at is not None, "the machine has no lease"
        return self.delegator.lease_expired(
            machine.zone, machine.lease_started_at, machine.delegated_at, now
        )

    def _expire_lease(self, machine: Machine) -> None:
        self.cluster.release_all_placements(machine, "lease over")
        machine.min_incarnation = Incarnation(machine.incarnation + 1)
        machine.lease_started_at = None
        machine.lease_expired = True
        machine.mark_availability_changed()
        # A late heartbeat of the expired session must not be accepted without decoding it.
        machine.settled_task_list = None
