"""Detection of machines that are reachable in one direction only. No I/O.

If a machine's heartbeats arrive but it receives nothing from the leader, its sessions end with
their leases, and it would be given work again and again. Proof that a worker receives the leader's
messages is a response to a probe or command, the leader's fencing token, a task that the leader
started, or a session older than its lease. Without such proof the machine is suspected and probed;
a healthy one answers within milliseconds. One that does not answer gets no new work, is probed at
longer intervals, and is deleted once keeping it has cost as much as booting a replacement: after
the boot time of one, but not before a lease has passed. Its tasks start elsewhere only under the
usual conditions (docs/design.md, "Safety").

Conversely, a machine may execute commands and answer probes while its heartbeats reach no
controller. Its session then ends with its lease and its tasks are lost, so it gets no new work
until it sends heartbeats, and is deleted in the same way.
"""

from __future__ import annotations

from umberward.core.grouped_log import GroupedLog
from umberward.core.log import logger
from umberward.core.types import Instant, MachineId
from umberward.scheduling.cluster_state import ClusterState, Probe
from umberward.scheduling.machines import UNREACHABLE_AFTER_PROBES, Machine
from umberward.scheduling.sessions.lease_bounds import LeaseBounds

log = logger(__name__)
grouped_log = GroupedLog(log)

# Intervals between probes of a suspected machine that sends heartbeats, of one that does not, and
# of one that counts as unreachable.
REPORTING_MACHINE_PROBE_INTERVAL_S = 0.5
PROBE_INTERVAL_S = 1.0
UNREACHABLE_PROBE_INTERVAL_S = 5.0
WORKER_RESPONSE_TIMEOUT_S = 4.0  # a worker drops later responses to its heartbeats (PROTOCOL)
# Up to this many machines, or this fraction of all, may be unreachable independently at the same
# time.
MAX_INDEPENDENT_UNREACHABLE = 3
MAX_INDEPENDENT_UNREACHABLE_FRACTION = 0.1
# After this fraction of its lease without a heartbeat, a task started on a machine would be lost.
NO_HEARTBEAT_LEASE_FRACTION = 0.6
MANY_UNREACHABLE_RETENTION_FACTOR = 3.0  # if more are unreachable, each is kept this much longer


class Reachability:
    """Tracks machines that receive nothing from the leader, or send it no heartbeats."""

    def __init__(self, cluster: ClusterState) -> None:
        """Initialize for the machines of `cluster`."""
        self.cluster = cluster
        self.lease_s = LeaseBounds(cluster.worker_times).lease_s
        self.suspected: dict[MachineId, Machine] = {}
        self.without_heartbeats: dict[MachineId, Machine] = {}
        # Long enough for a worker to find another controller after its own has failed, and for most
        # of an unrenewed session to pass.
        self.heartbeats_missing_after_s = max(
            cluster.heartbeat_timeout_s(),
            NO_HEARTBEAT_LEASE_FRACTION * cluster.worker_times.lease_s,
        )

    # ---- whether a machine receives what is sent to it ---------------------------------------

    def suspect_unreachable(
        self, machine: Machine, now: Instant, *, mark_unreachable: bool = False
    ) -> None:
        """Record that a message to the machine seems to be lost, and probe the machine.

        With `mark_unreachable`, the machine counts as unreachable and gets no new work until it
        answers. Otherwise it does so once it has left UNREACHABLE_AFTER_PROBES probes unanswered.
        """
        if machine.suspected_unreachable_since is None:
            machine.suspected_unreachable_since = now
            machine.unanswered_probes = 0
            self.suspected[machine.id] = machine
        if mark_unreachable and not machine.unreachable:
            machine.unanswered_probes = UNREACHABLE_AFTER_PROBES
            machine.mark_availability_changed()
        self._probe_if_due(machine, now)

    def suspect_after_silence(self, machine: Machine, now: Instant) -> None:
        """Suspect a machine that left a probe unanswered and now sends heartbeats again.

        The time for which it was silent does not show for how long it has received nothing, so
        the suspicion starts now.
        """
        machine.suspected_unreachable_since = None
        machine.probe_not_before = now
        self.suspect_unreachable(machine, now, mark_unreachable=True)

    def incarnation_began(self, machine: Machine, now: Instant) -> None:
        """Record a new session of the worker.

        A previous session that was answered recently should have lasted, so the latest response
        seems not to have reached the worker.
        """
        min_answered_session_s = self.cluster.worker_times.lease_s - WORKER_RESPONSE_TIMEOUT_S
        if (
            machine.lease_started_at is not None
            and now - machine.lease_started_at < min_answered_session_s
        ):
            self.suspect_unreachable(machine, now, mark_unreachable=True)
        machine.incarnation_since = now

    def newer_heartbeat_received(self, machine: Machine, now: Instant) -> None:
        """Handle a newer heartbeat, which alone is no proof that the machine receives messages."""
        if machine.suspected_unreachable_since is None:
            return
        # A session older than its lease must have received an answer within that time.
        if now - max(machine.incarnation_since, machine.suspected_unreachable_since) > self.lease_s:
            self.confirm_reachable(machine, now)
        else:
            machine.probe_not_before = min(
                machine.probe_not_before,
                Instant(machine.probed_at + REPORTING_MACHINE_PROBE_INTERVAL_S),
            )
            self._probe_if_due(machine, now)

    def confirm_reachable(self, machine: Machine, now: Instant) -> None:
        """Record proof that the machine has received something from the leader."""
        if machine.suspected_unreachable_since is None:
            return
        if machine.unreachable:
            grouped_log.info(
                "machine_reachable",
                machine=machine.id,
                after_s=round(now - machine.suspected_unreachable_since, 1),
            )
            machine.mark_availability_changed()
            self.cluster.scheduling_pass_needed = True
        machine.suspected_unreachable_since = None
        machine.unanswered_probes = 0
        self.suspected.pop(machine.id, None)

    def count_unanswered_probe(self, machine: Machine) -> None:
        """Count an unanswered probe of a suspected machine."""
        if machine.suspected_unreachable_since is None:
            return
        machine.unanswered_probes += 1
        if machine.unanswered_probes == UNREACHABLE_AFTER_PROBES:
            machine.mark_availability_changed()
            grouped_log.info(
                "machine_unreachable", machine=machine.id, tasks=len(machine.placements)
            )
            self._stop_waiting_gangs(machine)

    # ---- whether a machine sends heartbeats --------------------------------------------------

    def periodic_heartbeat_received(self, machine: Machine, now: Instant) -> None:
        """Record a periodic heartbeat of the machine that is no duplicate."""
        machine.heartbeat_at = now
        if machine.no_heartbeats_since is not None:
            grouped_log.info(
                "machine_heartbeats_resumed",
                machine=machine.id,
                after_s=round(now - machine.no_heartbeats_since, 1),
            )
            machine.no_heartbeats_since = None
            del self.without_heartbeats[machine.id]
            machine.mark_availability_changed()
            self.cluster.scheduling_pass_needed = True

    def heartbeats_missing(self, machine: Machine, now: Instant) -> None:
        """Record that heartbeats have been missing for too long; probe responses renew no lease."""
        grouped_log.info(
            "machine_heartbeats_missing", machine=machine.id, tasks=len(machine.placements)
        )
        machine.no_heartbeats_since = now
        self.without_heartbeats[machine.id] = machine
        machine.mark_availability_changed()

    # ---- probes and deletion -----------------------------------------------------------------

    def tick(self, now: Instant) -> None:
        """Drop deleted machines and send the probes that are due."""
        for machine in list(self.without_heartbeats.values()):
            if machine.id not in self.cluster.machines:
                del self.without_heartbeats[machine.id]
        for machine in list(self.suspected.values()):
            if machine.id not in self.cluster.machines:
                del self.suspected[machine.id]
            elif not machine.silent:
                self._probe_if_due(machine, now)

    def send_probe(self, machine: Machine) -> None:
        """Probe the machine now; `CommandResults.probe_completed` handles the result."""
        machine.probe_inflight = True
        self.cluster.outbox.append(Probe(machine.id, machine.address))

    def partially_reachable_machines(self) -> list[Machine]:
        """The machines that are up but reachable in one direction only."""
        machines = {**self.suspected, **self.without_heartbeats}
        return [m for m in machines.values() if m.partially_reachable and not m.silent]

    def many_partially_reachable(self) -> bool:
        """Whether more machines are partially reachable than independent failures explain.

        They are expected to recover, so no replacements are requested.
        """
        return len(self.partially_reachable_machines()) > self._max_independent_unreachable()

    def partially_reachable_machines_to_drain(self, now: Instant) -> list[Machine]:
        """The partially reachable machines to drain now.

        A machine is kept while that costs no more than booting a replacement: for its boot time,
        but at least for a lease. If many are partially reachable at the same time they are kept
        longer, and drained a few at a time.
        """
        retention_factor = (
            MANY_UNREACHABLE_RETENTION_FACTOR if self.many_partially_reachable() else 1.0
        )
        max_deletions = self._max_independent_unreachable()
        machines: list[Machine] = []
        for machine in self.partially_reachable_machines():
            if machine.draining:
                continue
            since = (
                machine.suspected_unreachable_since
                if machine.unreachable
                else machine.no_heartbeats_since
            )
            if since is not None and now - since > self._retention_s(machine) * retention_factor:
                machines.append(machine)
            if len(machines) >= max_deletions:
                break
        return machines

    # ---- helpers -----------------------------------------------------------------------------

    def _max_independent_unreachable(self) -> float:
        return max(
            MAX_INDEPENDENT_UNREACHABLE,
            MAX_INDEPENDENT_UNREACHABLE_FRACTION * len(self.cluster.machines),
        )

    def _retention_s(self, machine: Machine) -> float:
        """How long to keep such a machine: a lease, or the boot time of a replacement if longer."""
        machine_type = self.cluster.machine_types.get(machine.machine_type)
        return max(self.lease_s, 0.0 if machine_type is None else machine_type.boot_s)

    def _probe_if_due(self, machine: Machine, now: Instant) -> None:
        """Probe the machine unless a probe is in flight or the probe interval has not passed."""
        if machine.probe_inflight or machine.draining or now < machine.probe_not_before:
            return
        interval_s = UNREACHABLE_PROBE_INTERVAL_S if machine.unreachable else PROBE_INTERVAL_S
        machine.probed_at = now
        machine.probe_not_before = Instant(now + interval_s)
        self.send_probe(machine)

    def _stop_waiting_gangs(self, machine: Machine) -> None:
        """Stop each gang with a task on the machine that the machine has never listed.

        Their other tasks would wait for it and hold their resources for nothing.
        """
        for placement in list(machine.placements.values()):
            job = self.cluster.jobs.get(placement.task.job)
            if job is not None and job.gang and not placement.seen_on_worker:
                for other in list(job.placements.values()):
                    self.cluster.stop(other, 0.0)
