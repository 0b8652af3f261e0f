"""Whether machines receive what the leader sends, and whether they send heartbeats. No I/O.

A network may carry a machine's heartbeats to the leader and nothing back. What is sent to such a
machine is lost, its session ends with its lease, and it would be given work again and again. Only
what a worker shows is proof that it receives: a response to a probe or a command, the leader's
fencing token, a task that the leader started, or a session that has outlived its lease. Where such
proof is missing the machine is suspected, and a probe settles that within milliseconds where
nothing is wrong. A machine that does not answer gets no new work, is probed again at longer
intervals, and is returned once keeping it has cost as much as another machine would; its tasks
start elsewhere by the same proofs as always (docs/design.md, "Safety").

The other way round, a machine may execute commands and answer probes while its heartbeats reach
no controller. Its session ends with its lease whatever it answers, and what is started there is
lost with it. So it gets no new work until it sends heartbeats, and is returned in the same way.
"""

from __future__ import annotations

from umberward.core.log import logger
from umberward.core.types import Instant, MachineId
from umberward.scheduling.cluster_state import ClusterState, Probe
from umberward.scheduling.lease_bounds import LeaseBounds
from umberward.scheduling.machines import UNREACHABLE_AFTER_PROBES, Machine

log = logger(__name__)

PROMPT_PROBE_S = 0.5  # between two probes of a suspected machine that sends heartbeats
PROBE_INTERVAL_S = 1.0  # between two probes of another suspected machine
UNREACHABLE_PROBE_INTERVAL_S = 5.0  # ... and of one that counts as unreachable
WORKER_RESPONSE_TIMEOUT_S = 4.0  # a worker drops later responses to its heartbeats (PROTOCOL)
FEW_MACHINES = 3  # this many machines may be unreachable at once for reasons of their own, or
FEW_MACHINES_SHARE = 0.1  # ... this share of all
# After this share of its lease without a heartbeat, what is started on a machine would be lost.
NO_HEARTBEAT_LEASE_SHARE = 0.6
MANY_UNREACHABLE_KEEP_FACTOR = 3.0  # if more are unreachable, each is kept this much longer


class Reachability:
    """Tracks the machines that receive nothing from the leader, or send it no heartbeats."""

    def __init__(self, cluster: ClusterState) -> None:
        """Track the machines of `cluster`."""
        self.cluster = cluster
        self.lease_s = LeaseBounds(cluster.worker_times).lease_s
        self.suspected: dict[MachineId, Machine] = {}
        self.without_heartbeats: dict[MachineId, Machine] = {}
        # By then a worker whose controller has failed has found the next one, and most of a
        # session that nobody renews is over.
        self.no_heartbeat_s = max(
            cluster.heartbeat_timeout(), NO_HEARTBEAT_LEASE_SHARE * cluster.worker_times.lease_s
        )

    # ---- whether a machine receives what is sent to it ---------------------------------------

    def suspect(self, machine: Machine, now: Instant, *, sure: bool = False) -> None:
        """Note that something sent to the machine seems not to have arrived, and probe it.

        With `sure` it counts as unreachable, and gets no new work, until it has answered;
        otherwise once it has left UNREACHABLE_AFTER_PROBES probes unanswered.
        """
        if machine.suspected_since is None:
            machine.suspected_since = now
            machine.unanswered_probes = 0
            self.suspected[machine.id] = machine
        if sure and not machine.unreachable:
            machine.unanswered_probes = UNREACHABLE_AFTER_PROBES
            machine.availability_changed()
        self._probe(machine, now)

    def heard_after_silence(self, machine: Machine, now: Instant) -> None:
        """Suspect a machine that left a probe unanswered and now sends heartbeats again.

        How long it was silent says nothing about how long it has received nothing, so the
        suspicion begins anew.
        """
        machine.suspected_since = None
        machine.probe_not_before = now
        self.suspect(machine, now, sure=True)

    def incarnation_began(self, machine: Machine, now: Instant) -> None:
        """Note a new session of the worker.

        Had the leader's latest response reached it, the previous session would have lasted.
        """
        session_lasts_s = self.cluster.worker_times.lease_s - WORKER_RESPONSE_TIMEOUT_S
        if machine.answered_at is not None and now - machine.answered_at < session_lasts_s:
            self.suspect(machine, now, sure=True)
        machine.incarnation_since = now

    def heartbeat_received(self, machine: Machine, now: Instant) -> None:
        """Note a new heartbeat, which alone does not prove that the machine receives anything."""
        if machine.suspected_since is None:
            return
        # A session that is older than its lease has been answered within that time.
        if now - max(machine.incarnation_since, machine.suspected_since) > self.lease_s:
            self.confirm_reachable(machine, now)
        else:
            machine.probe_not_before = min(
                machine.probe_not_before, Instant(machine.probed_at + PROMPT_PROBE_S)
            )
            self._probe(machine, now)

    def confirm_reachable(self, machine: Machine, now: Instant) -> None:
        """Note the proof that the machine has received something from the leader."""
        if machine.suspected_since is None:
            return
        if machine.unreachable:
            log.info(
                "machine_reachable",
                machine=machine.id,
                after_s=round(now - machine.suspected_since, 1),
            )
            machine.availability_changed()
            self.cluster.pass_wanted = True
        machine.suspected_since = None
        machine.unanswered_probes = 0
        self.suspected.pop(machine.id, None)

    def probe_unanswered(self, machine: Machine) -> None:
        """Count a probe of a suspected machine that had no answer."""
        if machine.suspected_since is None:
            return
        machine.unanswered_probes += 1
        if machine.unanswered_probes == UNREACHABLE_AFTER_PROBES:
            machine.availability_changed()
            log.info("machine_unreachable", machine=machine.id, tasks=len(machine.placements))
            self._stop_waiting_gangs(machine)

    # ---- whether a machine sends heartbeats --------------------------------------------------

    def heartbeat_seen(self, machine: Machine, now: Instant) -> None:
        """Note a heartbeat sent by the machine itself that is no duplicate."""
        machine.heartbeat_at = now
        if machine.no_heartbeats_since is not None:
            log.info(
                "machine_heartbeats_resumed",
                machine=machine.id,
                after_s=round(now - machine.no_heartbeats_since, 1),
            )
            machine.no_heartbeats_since = None
            del self.without_heartbeats[machine.id]
            machine.availability_changed()
            self.cluster.pass_wanted = True

    def heartbeats_missing(self, machine: Machine, now: Instant) -> None:
        """Note that no heartbeat has come for too long; answers to probes renew no lease."""
        log.info("machine_heartbeats_missing", machine=machine.id, tasks=len(machine.placements))
        machine.no_heartbeats_since = now
        self.without_heartbeats[machine.id] = machine
        machine.availability_changed()

    # ---- probes and what follows -------------------------------------------------------------

    def tick(self, now: Instant) -> None:
        """Drop deleted machines and send the probes that are due."""
        for machine in list(self.without_heartbeats.values()):
            if machine.id not in self.cluster.machines:
                del self.without_heartbeats[machine.id]
        for machine in list(self.suspected.values()):
            if machine.id not in self.cluster.machines:
                del self.suspected[machine.id]
            elif not machine.probe_unanswered:
                self._probe(machine, now)

    def send_probe(self, machine: Machine) -> None:
        """Probe the machine now; its result comes to `CommandResults.probe_completed`."""
        machine.probe_inflight = True
        self.cluster.outbox.append(Probe(machine.id, machine.address))

    def partially_reachable(self) -> list[Machine]:
        """The machines that are up and out of reach in one direction only."""
        found = {**self.suspected, **self.without_heartbeats}
        return [m for m in found.values() if m.partially_reachable and not m.probe_unanswered]

    def many_unreachable(self) -> bool:
        """Whether more machines are partially reachable than fail for reasons of their own.

        They are expected to come back, and no machines are requested in their place.
        """
        return len(self.partially_reachable()) > self._few_machines()

    def machines_to_return(self, now: Instant) -> list[Machine]:
        """The partially reachable machines to delete now.

        Keeping a machine is worth what another one costs until it is up. If many are out of reach
        at once they are kept longer, and returned a few at a time.
        """
        keep_factor = MANY_UNREACHABLE_KEEP_FACTOR if self.many_unreachable() else 1.0
        returned_at_once = self._few_machines()
        found: list[Machine] = []
        for machine in self.partially_reachable():
            if machine.deletion_requested:
                continue
            since = machine.suspected_since if machine.unreachable else machine.no_heartbeats_since
            if since is not None and now - since > self._keep_s(machine) * keep_factor:
                found.append(machine)
            if len(found) >= returned_at_once:
                break
        return found

    # ---- parts -------------------------------------------------------------------------------

    def _few_machines(self) -> float:
        return max(FEW_MACHINES, FEW_MACHINES_SHARE * len(self.cluster.machines))

    def _keep_s(self, machine: Machine) -> float:
        """How long to keep a machine out of reach: a lease, or the boot time of another one."""
        machine_type = self.cluster.machine_types.get(machine.machine_type)
        return max(self.lease_s, 0.0 if machine_type is None else machine_type.boot_s)

    def _probe(self, machine: Machine, now: Instant) -> None:
        """Probe the machine unless a probe is under way or it was probed just before."""
        if machine.probe_inflight or machine.deletion_requested or now < machine.probe_not_before:
            return
        interval_s = UNREACHABLE_PROBE_INTERVAL_S if machine.unreachable else PROBE_INTERVAL_S
        machine.probed_at = now
        machine.probe_not_before = Instant(now + interval_s)
        self.send_probe(machine)

    def _stop_waiting_gangs(self, machine: Machine) -> None:
        """Stop gangs whose start of a task did not show on the machine.

        Their other tasks would wait for it and hold their resources in vain.
        """
        for placement in list(machine.placements.values()):
            job = self.cluster.jobs.get(placement.task.job)
            if job is not None and job.gang and not placement.seen_on_worker:
                for other in list(job.placements.values()):
                    self.cluster.stop(other, 0.0)
