"""What time alone tells: who is silent, whose lease is over, and whether it is we who are cut off.

No I/O.
"""

from __future__ import annotations

import heapq

from umberward.core.log import logger
from umberward.core.types import (
    Instant,
    MachineId,
    NodeName,
    Tenure,
    ZoneName,
)
from umberward.decisions.cluster import Cluster, Probe
from umberward.decisions.fleet import Machine
from umberward.decisions.hearing import Hearing
from umberward.decisions.tending import Lender, Loan

log = logger(__name__)

AGAIN_S = 0.1  # less than a tick: at the next one
COUNT_S = 0.5  # how often all machines are counted
LEAST_WORKERS = 4  # with fewer it can't be told whether they or we are cut off
ASKED = 8  # workers that are asked when none is heard
ASKED_S = 1.2  # by then they have answered, or won't
MANY_WORKERS = 20  # so many report at moments spread evenly enough
DEAF_MARGIN_S = 1.0
FEW_PART = 0.1  # of the machines may die at once, more are rather cut off
ZONE_PART = 0.5  # of a zone's machines: where fewer are heard, the zone may be cut off
STOOD_STILL_S = 1.0  # without a message for so long, it was we who stood still: ticks are frequent


class Watch:
    def __init__(self, cluster: Cluster, lender: Lender, ears: Hearing) -> None:
        self.cluster = cluster
        self.ears = ears
        self.lender = lender
        self.apart: set[ZoneName] = set()  # zones that may be cut off
        self.due: list[tuple[Instant, MachineId]] = []  # a heap: when to look at which machine
        self.met = 0  # machines that have reported to us
        self.hearing = 0  # ... and do so still
        self.count_at = cluster.started
        self.doubted: Instant | None = None  # since when we may be cut off, and have asked

    def wake(self, now: Instant) -> None:
        """To be called before anything else is decided, with the clock read anew.

        If we stood still, the machines were not silent: it was we who did not listen, and what they
        sent meanwhile is still to be read. Their leases ran on all the same.
        """
        gap = now - self.cluster.awake
        self.cluster.awake = now
        if gap <= STOOD_STILL_S:
            return
        log.info("stood_still", seconds=round(gap, 1))
        self.cluster.heard = min(now, Instant(self.cluster.heard + gap))
        self.doubted = None
        for machine in self.cluster.machines.values():
            machine.heard = min(now, Instant(machine.heard + gap))
            machine.reported = min(now, Instant(machine.reported + gap))

    def tick(self, now: Instant) -> None:
        """Sessions that are over, machines to ask, and whether all is settled."""
        for machine in self.cluster.unwatched:
            heapq.heappush(self.due, (now, machine.id))
        self.cluster.unwatched.clear()
        # Each machine has one entry, of when to look at it next: reports only put that off, and
        # nothing is done about them here until it has come.
        while self.due and self.due[0][0] <= now:
            id = self.due[0][1]
            found = self.cluster.machines.get(id)
            if found is None:
                heapq.heappop(self.due)
            else:
                heapq.heapreplace(self.due, (self._look(found, now), id))
        self._doubt(now)
        if not self.cluster.all_settled and self.cluster.loaded:
            waiting = [m for m in self.cluster.machines.values() if not (m.settled or m.cleared)]
            if not waiting:
                self.cluster.all_settled = True
                for job in self.cluster.jobs.values():
                    job.settle()
                    self.cluster.unplaced[job.id] = job
                self.cluster.want_pass = True
                log.info("all_settled", after_s=round(now - self.cluster.started, 1))

    def _look(self, machine: Machine, now: Instant) -> Instant:
        """What time tells of one machine; when to look at it again."""
        soon = Instant(now + AGAIN_S)
        silence = self.cluster.silence()
        quiet = now - machine.heard
        if quiet > silence and not machine.probing and not machine.returning:
            machine.probing = True
            self.cluster.out.append(Probe(machine.id, machine.address))
        due = now + silence
        if not machine.returning:
            due = soon if machine.probing else min(due, machine.heard + silence)
        if machine.mute_since is None and not (machine.silent or machine.returning):
            if now - machine.reported > self.ears.mute_s:
                self.ears.reports_not(machine, now)
            else:
                due = min(due, machine.reported + self.ears.mute_s)
        if machine.settled:
            if machine.answered is not None:
                if self.lender.session_over(machine.zone, machine.answered, machine.lent, now):
                    # Its lease has run out: it has killed all that it had.
                    self._expire(machine)
                else:
                    due = min(due, machine.answered + self.lender.bounds.lease_s)
        elif not machine.cleared:
            takeover = self.lender.bounds.takeover_s
            if now - self.cluster.started > takeover:
                machine.cleared = True  # nobody can have kept its session alive for so long
            else:
                due = min(due, self.cluster.started + takeover)
        return max(soon, Instant(due))

    def _count(self, now: Instant) -> None:
        """How many machines were met, and are heard; once in a while, as they are many."""
        if now < self.count_at:
            return
        self.count_at = Instant(now + COUNT_S)
        late = now - self.cluster.silence() - 1.0
        met = [m for m in self.cluster.machines.values() if m.met]
        self.met = len(met)
        self.hearing = sum(1 for m in met if not (m.silent or m.deaf) and m.heard > late)

    def deaf(self, now: Instant) -> bool:
        """Whether no worker at all is heard, though so many should report that one would be."""
        self._count(now)
        met = self.met
        if met < LEAST_WORKERS:
            return False
        # Each reports at least so often; the more there are, the sooner one of them does.
        longest = (
            1.25 * self.cluster.workers.report_s * min(1.0, MANY_WORKERS / met) + DEAF_MARGIN_S
        )
        return now - self.cluster.heard > longest

    def _doubt(self, now: Instant) -> None:
        """Nothing is heard: ask some workers before anything follows from it.

        Machines that came up in one moment report in one moment for a while, and between two such
        moments all of them are silent.
        """
        if not self.deaf(now):
            self.doubted = None
        elif self.doubted is None:
            self.doubted = now
            met = [m for m in self.cluster.machines.values() if m.met and not m.returning]
            for machine in self.cluster.rng.sample(met, min(ASKED, len(met))):
                machine.probing = True
                self.cluster.out.append(Probe(machine.id, machine.address))

    def cut_off(self, now: Instant) -> bool:
        """Whether the workers seem to be out of our reach, all but a few."""
        if now - self.cluster.started < 2 * self.cluster.silence():
            return False
        if self.doubted is not None and now - self.doubted > ASKED_S:
            return True
        return self.met >= LEAST_WORKERS and self.hearing < 0.25 * self.met

    def unheard(self, now: Instant) -> bool:
        """Whether not one of the machines we took over has been heard of, though by now each that
        we can reach should have reported, or have answered our question.

        `deaf` and `cut_off` count machines that were met: a new leader that is cut off itself meets
        none. All may be dead as well, so that this alone is no reason to give way.
        """
        if now - self.cluster.started < 1.25 * self.cluster.workers.report_s + DEAF_MARGIN_S:
            return False
        machines = self.cluster.machines.values()
        return len(machines) >= LEAST_WORKERS and not any(m.met for m in machines)

    def _expire(self, machine: Machine) -> None:
        self.cluster.lose_tasks(machine, "lease over")
        machine.min_tenure = Tenure(machine.tenure + 1)
        machine.answered = None
        machine.lapsed = True
        machine.touched()
        machine.calm = None  # a late report of that session must not be taken in unread

    def pick_doomed(self, now: Instant) -> None:
        """Silent machines are deleted: that frees their tasks before the lease does.

        Many silent ones at once mean that we, or their zone, are cut off, not that they are dead:
        what runs there goes on until their leases are nearly over, and so long they are left alone.
        If hardly any is heard, it is us.
        """
        if not self.cluster.hushed:
            return
        known = [self.cluster.machines.get(id) for id in self.cluster.hushed]
        silent = [m for m in known if m is not None and m.silent and not m.returning]
        # One that has reported since it left us without an answer, and of late, is not dead: it
        # does not hear us (hearing.py).
        lease_s = self.cluster.workers.lease_s
        silent = [
            m
            for m in silent
            if m.doubted is None or m.heard <= m.doubted or now - m.heard > lease_s
        ]
        self.cluster.hushed = {m.id for m in silent}
        if not silent:
            return
        taken = [m for m in silent if m.notice_at is not None]
        self.cluster.doomed.update(m.id for m in taken)
        recent = 1.25 * self.cluster.workers.report_s + DEAF_MARGIN_S
        apart = self._zones_apart(now, recent)
        for zone in sorted(apart - self.apart):
            log.warning("zone_not_heard", zone=zone)
        self.apart = apart
        silent = [m for m in silent if m.zone not in apart or m.lapsed or m.cleared]
        # Those count too that we have taken over and never met: a new leader that hears but a few
        # is cut off from the rest rather than the only one whose machines live.
        within = [m for m in self.cluster.machines.values() if m.zone not in apart]
        alive = sum(1 for m in within if m.met and now - m.heard < recent)
        if self.deaf(now) or not alive:
            return
        # Those whose report is overdue count as well: of a cut, some are noticed before others.
        overdue = len(within) - alive - sum(1 for m in taken if m.zone not in apart)
        if overdue <= max(3, FEW_PART * len(within)):
            self.cluster.doomed.update(m.id for m in silent)
        elif overdue <= 0.7 * alive:
            late = 0.8 * self.cluster.workers.lease_s
            self.cluster.doomed.update(m.id for m in silent if now - m.heard > late)

    def _zones_apart(self, now: Instant, recent: float) -> set[ZoneName]:
        """Zones of which hardly any machine is heard, and in which another controller may answer
        them: what runs there goes on, for as long as that may be so.

        A new leader may never have heard of any of them.
        """
        heard: dict[ZoneName, list[bool]] = {}
        for machine in self.cluster.machines.values():
            if machine.zone in self.lender.zones and machine.notice_at is None:
                here = machine.met and now - machine.heard < recent
                heard.setdefault(machine.zone, []).append(here)
        return {
            zone
            for zone, here in heard.items()
            if len(here) >= LEAST_WORKERS and sum(here) < ZONE_PART * len(here)
        }

    def lend(self, borrower: NodeName, seen: int, idle: bool, now: Instant) -> Loan | None:
        """The machines of its zone that this controller may answer if the zone is cut off; None:
        we know too little ourselves."""
        if self.cluster.known is None:
            return None
        zone = self.lender.borrowers.get(borrower)
        serial = self.lender.asked(borrower, seen, idle, now)
        hosts = []
        for machine in self.cluster.machines.values() if self.cluster.loaded else ():
            if (
                machine.zone == zone
                and machine.settled
                and machine.epoch == self.cluster.epoch
                and now - machine.heard < self.cluster.silence()
                and not (machine.strays or machine.returning or machine.lapsed)
                and not (machine.stopping or self.cluster.unwanted_start(machine))
            ):
                machine.lent = now
                hosts.append(str(machine.id))
        return Loan(self.cluster.epoch, serial, max(0.0, now - self.cluster.known), hosts)
