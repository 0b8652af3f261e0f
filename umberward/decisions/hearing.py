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
from umberward.decisions.cluster import Cluster, Probe
from umberward.decisions.fleet import DEAF_AFTER, Machine
from umberward.decisions.tending import Bounds

log = logger(__name__)

AT_ONCE_S = 0.5  # a machine that reports is asked again so soon
ASK_S = 1.0  # between two questions until it is decided
SPARING_S = 5.0  # ... and from then on
ANSWER_S = 4.0  # a worker waits so long for the answer to a report (PROTOCOL)
FEW = 3  # so many machines, or ...
FEW_PART = 0.1  # ... this part of them may not hear us at once for reasons of their own
MUTE_PART = 0.6  # of its lease without a report: what would be started there is lost
MANY_WAIT = 3.0  # if there are more, each is kept so many times as long


class Hearing:
    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.lease_s = Bounds(cluster.workers).lease_s
        self.doubted: dict[MachineId, Machine] = {}
        self.mute: dict[MachineId, Machine] = {}
        # A worker whose controller is gone has found the next one by then; and most of a session
        # that nobody keeps alive is over.
        self.mute_s = max(cluster.silence(), MUTE_PART * cluster.workers.lease_s)

    # ---- what raises a doubt, and what ends it -------------------------------------------

    def doubt(self, machine: Machine, now: Instant, sure: bool = False) -> None:
        """Something that we said seems not to have reached it. `sure`: it gets no new work until
        it has answered; else until it has left some questions unanswered."""
        if machine.doubted is None:
            machine.doubted = now
            machine.unanswered = 0
            self.doubted[machine.id] = machine
        if sure and not machine.deaf:
            machine.unanswered = DEAF_AFTER
            machine.touched()
        self._ask(machine, now)

    def returned(self, machine: Machine, now: Instant) -> None:
        """It was silent, left a question unanswered, and reports again. How long it was silent says
        nothing about how long it has not heard us."""
        machine.doubted = None
        machine.ask_at = now
        self.doubt(machine, now, sure=True)

    def session_began(self, machine: Machine, now: Instant) -> None:
        """Its last session is over. Had our latest answer reached it, that would have lasted."""
        lasts = self.cluster.workers.lease_s - ANSWER_S
        if machine.answered is not None and now - machine.answered < lasts:
            self.doubt(machine, now, sure=True)
        machine.session_at = now

    def reported(self, machine: Machine, now: Instant) -> None:
        """A new report has come, which alone proves nothing about what it hears."""
        if machine.doubted is None:
            return
        # A session that is older than its lease has had an answer within that time.
        if now - max(machine.session_at, machine.doubted) > self.lease_s:
            self.proved(machine, now)
        else:
            machine.ask_at = min(machine.ask_at, Instant(machine.asked_at + AT_ONCE_S))
            self._ask(machine, now)

    def proved(self, machine: Machine, now: Instant) -> None:
        """It has heard us."""
        if machine.doubted is None:
            return
        if machine.deaf:
            log.info("machine_hears_again", machine=machine.id,
                     after_s=round(now - machine.doubted, 1))  # fmt: skip
            machine.touched()
            self.cluster.want_pass = True
        machine.doubted = None
        machine.unanswered = 0
        self.doubted.pop(machine.id, None)

    def not_answered(self, machine: Machine, now: Instant) -> None:
        """A question had no answer."""
        if machine.doubted is None:
            return
        machine.unanswered += 1
        if machine.unanswered == DEAF_AFTER:
            machine.touched()
            log.info("machine_does_not_hear", machine=machine.id, tasks=len(machine.held))
            self._free_gangs(machine)

    def reports(self, machine: Machine, now: Instant) -> None:
        """A report of its own has come, late copies apart."""
        machine.reported = now
        if machine.mute_since is not None:
            log.info("machine_reports_again", machine=machine.id,
                     after_s=round(now - machine.mute_since, 1))  # fmt: skip
            machine.mute_since = None
            del self.mute[machine.id]
            machine.touched()
            self.cluster.want_pass = True

    def reports_not(self, machine: Machine, now: Instant) -> None:
        """No report has come for so long; that it answers questions keeps no session alive."""
        log.info("machine_does_not_report", machine=machine.id, tasks=len(machine.held))
        machine.mute_since = now
        self.mute[machine.id] = machine
        machine.touched()

    # ---- what time tells -----------------------------------------------------------------

    def tick(self, now: Instant) -> None:
        for machine in [m for m in self.mute.values() if m.id not in self.cluster.machines]:
            del self.mute[machine.id]
        for machine in list(self.doubted.values()):
            if machine.id not in self.cluster.machines:
                del self.doubted[machine.id]
            elif not machine.silent:
                self._ask(machine, now)

    def many(self) -> bool:
        """Whether so many do not hear us that it is hardly their own doing: they are expected back,
        and nothing is rented in their place."""
        return len(self.one_way()) > max(FEW, FEW_PART * len(self.cluster.machines))

    def given_up(self, now: Instant) -> list[Machine]:
        """Machines to return. Keeping one is worth what another one costs until it is up; if many
        do not hear us at once they are kept longer, and returned a few at a time."""
        found = []
        many = self.many()
        most = max(FEW, FEW_PART * len(self.cluster.machines))
        for machine in self.one_way():
            if machine.returning:
                continue
            sku = self.cluster.skus.get(machine.type)
            patience = max(self.lease_s, sku.boot_s if sku is not None else 0.0)
            if many:
                patience *= MANY_WAIT
            since = machine.doubted if machine.deaf else machine.mute_since
            if since is not None and now - since > patience:
                found.append(machine)
            if len(found) >= most:
                break
        return found

    # ---- parts ---------------------------------------------------------------------------

    def one_way(self) -> list[Machine]:
        """The machines that do not hear us, or that nobody hears, but that are there."""
        found = {**self.doubted, **self.mute}
        return [m for m in found.values() if m.one_way and not m.silent]

    def _ask(self, machine: Machine, now: Instant) -> None:
        if machine.probing or machine.returning or now < machine.ask_at:
            return
        machine.probing = True
        machine.asked_at = now
        machine.ask_at = Instant(now + (SPARING_S if machine.deaf else ASK_S))
        self.cluster.out.append(Probe(machine.id, machine.address))

    def _free_gangs(self, machine: Machine) -> None:
        """Gangs that wait for a task whose start did not show there: the others hold their places
        in vain."""
        for placement in list(machine.held.values()):
            job = self.cluster.jobs.get(placement.task.job)
            if job is not None and job.gang and not placement.seen:
                for other in list(job.placed.values()):
                    self.cluster.stop(other, 0.0)
