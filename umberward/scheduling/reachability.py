"""Whether machines hear us: that their reports arrive does not show it. No I/O.

A network may carry a machine's reports to us and nothing back. What is sent to such a machine is
lost, its session ends with its lease, and it would be given work again and again. Only what a
worker shows is proof that it hears: an answer to a question or a command, our token, a task that
we started, or a session that has outlived its lease. What is missing raises a doubt, which a direct
question settles within milliseconds where nothing is wrong. A machine that does not answer gets no
new work, is asked again sparingly, and is returned once keeping it has cost as much as another one
would; what was on it starts elsewhere by the same proofs as ever (docs/design.md, "Safety").

The other way round, a machine may carry out what it is told and answer questions while its reports
reach nobody: it is mute. Its session ends with its lease whatever it answers, and what is started
there is lost with it. So it gets no new work until it reports, and is returned in the same way.
"""

from __future__ import annotations

from umberward.core.log import logger
from umberward.core.types import Instant, MachineId
from umberward.scheduling.cluster_state import ClusterState, Probe
from umberward.scheduling.lease_bounds import LeaseBounds
from umberward.scheduling.machines import UNREACHABLE_AFTER_PROBES, Machine

log = logger(__name__)

PROMPT_PROBE_S = 0.5  # a machine that reports is asked again so soon
PROBE_INTERVAL_S = 1.0  # between two questions until it is decided
UNREACHABLE_PROBE_INTERVAL_S = 5.0  # ... and from then on
WORKER_RESPONSE_TIMEOUT_S = 4.0  # a worker waits so long for the answer to a report (PROTOCOL)
FEW_MACHINES = 3  # so many machines, or ...
FEW_MACHINES_SHARE = 0.1  # ... this part of them may not hear us at once for reasons of their own
NO_HEARTBEAT_LEASE_SHARE = 0.6  # of its lease without a report: what would be started there is lost
MANY_UNREACHABLE_PATIENCE = 3.0  # if there are more, each is kept so many times as long


class Reachability:
    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster
        self.lease_s = LeaseBounds(cluster.worker_times).lease_s
        self.suspected: dict[MachineId, Machine] = {}
        self.without_heartbeats: dict[MachineId, Machine] = {}
        # A worker whose controller is gone has found the next one by then; and most of a session
        # that nobody keeps alive is over.
        self.no_heartbeat_s = max(
            cluster.heartbeat_timeout(), NO_HEARTBEAT_LEASE_SHARE * cluster.worker_times.lease_s
        )

    # ---- what raises a doubt, and what ends it -------------------------------------------

    def suspect(self, machine: Machine, now: Instant, sure: bool = False) -> None:
        """Something that we said seems not to have reached it. `sure`: it gets no new work until
        it has answered; else until it has left some questions unanswered."""
        if machine.suspected_since is None:
            machine.suspected_since = now
            machine.unanswered_probes = 0
            self.suspected[machine.id] = machine
        if sure and not machine.unreachable:
            machine.unanswered_probes = UNREACHABLE_AFTER_PROBES
            machine.availability_changed()
        self._probe(machine, now)

    def heard_after_silence(self, machine: Machine, now: Instant) -> None:
        """It was silent, left a question unanswered, and reports again. How long it was silent says
        nothing about how long it has not heard us."""
        machine.suspected_since = None
        machine.probe_not_before = now
        self.suspect(machine, now, sure=True)

    def incarnation_began(self, machine: Machine, now: Instant) -> None:
        """Its last session is over. Had our latest answer reached it, that would have lasted."""
        lasts = self.cluster.worker_times.lease_s - WORKER_RESPONSE_TIMEOUT_S
        if machine.answered_at is not None and now - machine.answered_at < lasts:
            self.suspect(machine, now, sure=True)
        machine.incarnation_since = now

    def heartbeat_received(self, machine: Machine, now: Instant) -> None:
        """A new report has come, which alone proves nothing about what it hears."""
        if machine.suspected_since is None:
            return
        # A session that is older than its lease has had an answer within that time.
        if now - max(machine.incarnation_since, machine.suspected_since) > self.lease_s:
            self.confirm_reachable(machine, now)
        else:
            machine.probe_not_before = min(
                machine.probe_not_before, Instant(machine.probed_at + PROMPT_PROBE_S)
            )
            self._probe(machine, now)

    def confirm_reachable(self, machine: Machine, now: Instant) -> None:
        """It has heard us."""
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

    def probe_unanswered(self, machine: Machine, now: Instant) -> None:
        """A question had no answer."""
        if machine.suspected_since is None:
            return
        machine.unanswered_probes += 1
        if machine.unanswered_probes == UNREACHABLE_AFTER_PROBES:
            machine.availability_changed()
            log.info("machine_unreachable", machine=machine.id, tasks=len(machine.placements))
            self._stop_waiting_gangs(machine)

    def heartbeat_seen(self, machine: Machine, now: Instant) -> None:
        """A report of its own has come, late copies apart."""
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
        """No report has come for so long; that it answers questions keeps no session alive."""
        log.info("machine_heartbeats_missing", machine=machine.id, tasks=len(machine.placements))
        machine.no_heartbeats_since = now
        self.without_heartbeats[machine.id] = machine
        machine.availability_changed()

    # ---- what time tells -----------------------------------------------------------------

    def tick(self, now: Instant) -> None:
        for machine in [
            m for m in self.without_heartbeats.values() if m.id not in self.cluster.machines
        ]:
            del self.without_heartbeats[machine.id]
        for machine in list(self.suspected.values()):
            if machine.id not in self.cluster.machines:
                del self.suspected[machine.id]
            elif not machine.probe_unanswered:
                self._probe(machine, now)

    def many_unreachable(self) -> bool:
        """Whether so many do not hear us that it is hardly their own doing: they are expected back,
        and nothing is rented in their place."""
        return len(self.partially_reachable()) > max(
            FEW_MACHINES, FEW_MACHINES_SHARE * len(self.cluster.machines)
        )

    def machines_to_return(self, now: Instant) -> list[Machine]:
        """Machines to return. Keeping one is worth what another one costs until it is up; if many
        do not hear us at once they are kept longer, and returned a few at a time."""
        found = []
        many = self.many_unreachable()
        most = max(FEW_MACHINES, FEW_MACHINES_SHARE * len(self.cluster.machines))
        for machine in self.partially_reachable():
            if machine.returning:
                continue
            sku = self.cluster.machine_types.get(machine.type)
            patience = max(self.lease_s, sku.boot_s if sku is not None else 0.0)
            if many:
                patience *= MANY_UNREACHABLE_PATIENCE
            since = machine.suspected_since if machine.unreachable else machine.no_heartbeats_since
            if since is not None and now - since > patience:
                found.append(machine)
            if len(found) >= most:
                break
        return found

    # ---- parts ---------------------------------------------------------------------------

    def partially_reachable(self) -> list[Machine]:
        """The machines that do not hear us, or that nobody hears, but that are there."""
        found = {**self.suspected, **self.without_heartbeats}
        return [m for m in found.values() if m.partially_reachable and not m.probe_unanswered]

    def _probe(self, machine: Machine, now: Instant) -> None:
        if machine.probing or machine.returning or now < machine.probe_not_before:
            return
        machine.probing = True
        machine.probed_at = now
        machine.probe_not_before = Instant(
            now + (UNREACHABLE_PROBE_INTERVAL_S if machine.unreachable else PROBE_INTERVAL_S)
        )
        self.cluster.outbox.append(Probe(machine.id, machine.address))

    def _stop_waiting_gangs(self, machine: Machine) -> None:
        """Gangs that wait for a task whose start did not show there: the others hold their places
        in vain."""
        for placement in list(machine.placements.values()):
            job = self.cluster.jobs.get(placement.task.job)
            if job is not None and job.gang and not placement.seen_on_worker:
                for other in list(job.placements.values()):
                    self.cluster.stop(other, 0.0)
