"""What a holder of machines decides. No I/O: reports and results come in, effects go out.

The rules rest on one question: may a task still be on a machine? A `Placement` stands for "it
may", from before its start is sent until one of these is known (docs/design.md, "Safety"):
a newer report under our token does not list it and no start is in flight; the worker's session
has changed; its lease has run out since the last answer it could have accepted; the cloud has
deleted the machine.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from umberward.core.log import logger
from umberward.core.settings import Settings
from umberward.core.types import (
    NOTHING,
    Amount,
    Attempt,
    Epoch,
    Instant,
    JobId,
    Key,
    MachineId,
    NodeName,
    Offer,
    Stamp,
    TaskId,
    TeamName,
    TypeName,
    WallTime,
    ZoneName,
)
from umberward.decisions.answers import Answers
from umberward.decisions.blame import Blame
from umberward.decisions.choice import choose
from umberward.decisions.clearing import Clearing, Stoppable
from umberward.decisions.cluster import Cluster, Command, Probe
from umberward.decisions.fleet import Machine, with_room
from umberward.decisions.gathering import Gathering
from umberward.decisions.hearing import Hearing
from umberward.decisions.jobs import Job, Placement
from umberward.decisions.lateness import Lateness
from umberward.decisions.patience import Cheap, patient
from umberward.decisions.pipelines import Pipelines
from umberward.decisions.reports import Reports
from umberward.decisions.tending import Lender, Loan
from umberward.decisions.thrift import Thrift
from umberward.decisions.watch import Watch
from umberward.decisions.writer import Batch, Writer
from umberward.protocol import wire
from umberward.protocol.changes import Got
from umberward.protocol.wire import JobRecord, Report, Sku

log = logger(__name__)


MISSED_S = 15.0  # a live job that is not known for so long is taken up
UNBOUNDED = Amount(math.inf, math.inf, math.inf)
LONGEST_PAUSE_S = 30.0  # ... of a job whose placing fails, until it is tried again


@dataclass
class Pass:
    """What the jobs of one placing pass share."""

    usable: list[Machine]
    free: dict[MachineId, Amount]
    roomy: list[Machine]
    names: set[MachineId]  # of the roomy ones
    unsure: dict[TeamName, Amount]
    kept: set[MachineId]
    able: set[MachineId]
    stoppable: Stoppable | None
    # Jobs that wait for cheap machines, and what these are.
    patient: dict[JobId, Cheap]
    # Kinds of jobs for which nothing is left in this pass: thousands of tasks may wait.
    full: set[Any] = field(default_factory=set)


class Scheduler(Cluster):
    """The cluster, and all that is decided about it: the one thing that a holder speaks to."""

    def __init__(
        self,
        settings: Settings,
        skus: dict[TypeName, Sku],
        epoch: Epoch,
        now: Instant,
        wall: Callable[[], WallTime],
        rng: random.Random,
    ) -> None:
        super().__init__(settings, skus, epoch, now, wall, rng)
        platform = settings.platform
        borrowers = {NodeName(peer.label): ZoneName(peer.site) for peer in platform.peers}
        self.lender = Lender(self.workers, borrowers, epoch)
        self.clearing = Clearing(self, now)
        self.gathering = Gathering(self)
        self.lateness = Lateness(self, now)
        self.thrift = Thrift(self, self.clearing, now)
        self.blame = Blame(self, now)
        self.pipelines = Pipelines(self)
        self.writer = Writer(self, self.pipelines, platform.cluster.state.least(), now)
        self.hearing = Hearing(self)
        self.watch = Watch(self, self.lender, self.hearing)
        self.reports = Reports(self, self.hearing, self.blame, self.writer)
        self.answers = Answers(self, self.hearing, self.reports)
        self.attempts = 0
        self.missed: dict[JobId, Instant] = {}  # live, and not known here: since when
        self.lately_gone: dict[JobId, Instant] = {}  # an older reading may still show them
        self.unsettled: dict[JobId, Instant] = {}  # until when tasks of theirs may be somewhere
        self.cancelled_unread = False  # which jobs were cancelled lately could not be read

    # ---- what is said to it: passed on to the part that knows ----------------------------

    def hello(self, head: wire.Head, body: bytes, now: Instant) -> list[wire.Order] | None:
        return self.reports.hello(head, body, now)

    def commanded(
        self, command: Command, report: Report | None, unknown: bool, now: Instant
    ) -> None:
        self.answers.commanded(command, report, unknown, now)

    def probed(self, probe: Probe, report: Report | None, now: Instant) -> None:
        self.answers.probed(probe, report, now)

    def may_keep_session(self, id: MachineId) -> bool:
        """Whether a leader without its lease may keep the worker's session alive, as far as the
        starts that were sent there go."""
        machine = self.machines.get(id)
        return machine is None or not self.unwanted_start(machine)

    def wake(self, now: Instant) -> None:
        self.watch.wake(now)

    def tick(self, now: Instant) -> None:
        """Notice what time alone tells. To be called a few times a second."""
        self.now = now
        self.watch.tick(now)
        self.hearing.tick(now)
        self.blame.tick(now)
        self.watch.pick_doomed(now)

    def cut_off(self, now: Instant) -> bool:
        return self.watch.cut_off(now)

    def unheard(self, now: Instant) -> bool:
        return self.watch.unheard(now)

    def lend(self, borrower: NodeName, seen: int, idle: bool, now: Instant) -> Loan | None:
        return self.watch.lend(borrower, seen, idle, now)

    def committed(self, batch: Batch, stamp: Stamp, now: Instant) -> None:
        """A transaction of ours was carried out."""
        for job, final in self.writer.committed(batch, stamp, now):
            log.info("job_ended", job=job.id, phase=final.phase)
            self.job_ended(job.id, final, final.at or self.wall())
            self.job_gone(job.id)

    def reread(self, key: Key, found: Got | None) -> None:
        """What the state service has after a conflict or an unknown outcome."""
        for gone in self.writer.reread(key, found):
            self.job_gone(gone)

    # ---- taking over -------------------------------------------------------------------

    def load_block(self, number: int, record: wire.BlockRecord, stamp: Stamp, now: Instant) -> None:
        machines = []
        for name, (address, type_, zone, spot) in record.hosts.items():
            machine = self.machine(
                MachineId(name), address, TypeName(type_), ZoneName(zone), spot, now
            )
            machines.append(machine)
            if not machine.met and not machine.probing:
                machine.probing = True
                self.out.append(Probe(machine.id, address))
        self.writer.load_block(number, stamp, machines)

    def load_done(self) -> None:
        self.loaded = True
        for machine in self.machines.values():
            if machine.settled:
                # It reported before the jobs were read, so its tasks could not be told: until it
                # has reported once more, they may run there and must not start elsewhere.
                machine.settled = False
                machine.touched()
                machine.calm = None
                machine.probing = True
                self.out.append(Probe(machine.id, machine.address))
        self.want_pass = True
        log.info("took_over", epoch=self.epoch, machines=len(self.machines), jobs=len(self.jobs))

    def knows(self, id: JobId) -> bool:
        """Whether it is live as far as we know."""
        return id in self.jobs or id in self.pipelines.jobs

    def job_put(self, record: JobRecord, stamp: Stamp) -> None:
        """A job's record was read or has come by the watch."""
        id = JobId(record.spec.uid)
        if self.knows(id):
            return
        job = Job(record, stamp, self.value_limit)
        if record.needs and not record.marked:
            # A job that waits for others is in nothing that counts queued work, and cannot start.
            self.pipelines.add(job, wire.unpack_needs(record.needs))
        else:
            self.admit(job)
        self.pipelines.graph.seen(id)

    def swept(self, entries: Iterable[wire.Entry], now: Instant) -> list[JobId]:
        """Records of live jobs as they were read just now; returns the ids of those that nobody
        here knows of, for the second time in a row, so that no news of them is on its way."""
        found = []
        for entry in entries:
            id = JobId(entry.path[len(wire.LIVE) :])
            if self.knows(id) or id in self.lately_gone:
                self.missed.pop(id, None)
            elif now - self.missed.setdefault(id, now) > MISSED_S:
                found.append(id)
        return found

    def take_up(self, record: JobRecord, stamp: Stamp, now: Instant) -> None:
        """A job that is live and that we had lost sight of."""
        id = JobId(record.spec.uid)
        if self.missed.pop(id, None) is None or id in self.lately_gone:
            return
        log.warning("job_taken_up", job=id, marked=record.marked)
        self.job_put(record, stamp)
        job = self.jobs.get(id)
        if job is None:
            return
        for machine in self.machines.values():
            for task, placement in machine.held.items():
                if task.job == id:  # started before we lost sight of it
                    job.placed[task.number] = placement
                    job.found(task.number)
        if job.unsure:
            self._settle_later(job, now)

    def _settle_later(self, job: Job, now: Instant) -> None:
        """Its tasks may be on machines, which list them with their next reports. Where none comes,
        the session is over within this time."""
        self.unsettled[job.id] = Instant(now + self.lender.bounds.takeover_s)

    def mend(self, now: Instant) -> None:
        """What the books have lost is put in order; to be called once in a while."""
        for id, until in list(self.unsettled.items()):
            job = self.jobs.get(id)
            if now > until or (job is None and id not in self.cancelled):
                del self.unsettled[id]
                if job is not None:
                    job.settle()
                    self.unplaced[id] = job
                    self.want_pass = True
        for id, at in list(self.lately_gone.items()):
            if now - at <= MISSED_S:
                break
            del self.lately_gone[id]
        if not self.all_settled:
            return
        for id in [id for id in self.cancelled if id not in self.unsettled]:
            del self.cancelled[id]
        for job in self.jobs.values():
            if job.id in self.unsettled:
                continue
            lost = job.lost_tasks()
            if lost:
                log.warning("tasks_without_place", job=job.id, tasks=lost)
                job.unsure.update(n for n in range(job.base, job.fresh) if job.nowhere(n))
            if job.unsure:
                self._settle_later(job, now)

    def admit(self, job: Job) -> None:
        """The job's tasks may start from now on."""
        self.jobs[job.id] = self.unplaced[job.id] = job
        if job.complete:
            self.writer.completions(job)  # all is done and its end was not written
        job.prompt = self.prompt(job)
        if not job.marked:
            log.info(
                "job_ready", job=job.id, jobclass=job.spec.jobclass, tasks=job.size,
                size=round(job.size * max(job.need.cores, job.need.accelerators), 1),
            )  # fmt: skip
        self.want_grades = True
        self.want_pass = True

    def job_ended(self, id: JobId, final: wire.FinalRecord, at: float) -> None:
        """A job's end was read or committed: only now may those after it start."""
        for job in self.pipelines.ended(id, final.phase, at):
            log.info("job_may_start", job=job.id)
            self.admit(job)

    def job_gone(self, id: JobId) -> None:
        """A job's live record is gone: it is done, or was cancelled by some controller."""
        self.pipelines.gone(id)
        self.lately_gone[id] = self.now
        job = self.jobs.pop(id, None)
        self.unplaced.pop(id, None)
        if job is None:
            return
        job.ended = True
        if job.unsure:
            # They may run on until they are found: they go on counting against the team's limit.
            self.cancelled[id] = job
        self.blame.forget(job, self.now)
        self.want_grades = True
        for placement in list(job.placed.values()):
            self.stop(placement, 0.0)
        self.want_pass = True

    def remain(self, id: JobId, remains: wire.Remains) -> None:
        """A job was cancelled, and we may never have known it: its tasks may be on machines that
        we have not heard yet."""
        if not (self.all_settled or self.knows(id) or id in self.lately_gone):
            self.cancelled.setdefault(id, Job.of_remains(id, remains))

    def removed(self, ids: Iterable[MachineId], now: Instant) -> None:
        """The cloud has deleted these machines, or they stopped by themselves."""
        for id in ids:
            self.doomed.discard(id)
            machine = self.machines.get(id)
            if machine is None:
                continue
            machine.returning = True
            self.lose_tasks(machine, "machine gone")
            del self.machines[id]
            machine.touched()
            self.gone[id] = None
            while len(self.gone) > 5000:
                del self.gone[next(iter(self.gone))]
            self.writer.drop(machine)
        self.want_pass = True

    def next_epoch(self, epoch: Epoch) -> None:
        self.epoch = epoch
        self.token_raises.raised(self.now)

    def _unsure_usage(self) -> dict[TeamName, Amount]:
        """What tasks may use that a former holder placed and nobody has found yet, be their jobs
        live or cancelled. For teams with a limit: others need not know."""
        usage: dict[TeamName, Amount] = {}
        jobs: Iterable[Job] = (*self.jobs.values(), *self.cancelled.values())
        if self.all_settled:
            found = (self.jobs.get(id) or self.cancelled.get(id) for id in self.unsettled)
            jobs = [job for job in found if job is not None]
        for job in jobs:
            if job.unsure and self.quota.limits(job.team):
                old = usage.get(job.team, NOTHING)
                usage[job.team] = old.plus(job.need, len(job.unsure))
        if self.all_settled or not (usage or self.cancelled_unread):
            return usage
        # They are on machines that we have not heard under our token, as far as these have room.
        most = self._unheard_room()
        if self.cancelled_unread:
            return {team: most for team in self.quota.teams if self.quota.limits(team)}
        return {team: used.least(most) for team, used in usage.items()}

    def _unheard_room(self) -> Amount:
        """All of the machines on which a former holder's tasks may be that we don't know of."""
        room = NOTHING
        for machine in self.machines.values():
            if not (machine.settled or machine.cleared):
                sku = self.skus.get(machine.type)
                room = UNBOUNDED if sku is None else room.plus(sku.whole)
        return room

    def waiting(self, now: Instant) -> list[Job]:
        """Jobs with tasks to place, in the order in which they are served."""
        ready: list[Job] = []
        wall = self.wall()
        self.considered += len(self.unplaced)
        for job in list(self.unplaced.values()):
            if not job.startable():
                del self.unplaced[job.id]
            elif job.hold_until <= now:
                ready.append(job)
        self.lateness.look(ready, now)
        late = self.lateness.late
        ordered: list[tuple[Any, int, Job]] = []
        for job in ready:
            served = self.pipelines.served_as(job)
            order = (job.mistaken, served, job.id in late, self.goal(job, wall))
            ordered.append((order, len(ordered), job))
        ordered.sort()
        return [job for *_, job in ordered]

    def _grade(self) -> None:
        """Each job's standing: who is served first and who may be stopped for whom.

        A job is guaranteed if it fits its team's guarantee together with the team's earlier
        unfinished jobs. That only ever changes from no to yes, and only work of a strictly lower
        standing is stopped: so two jobs never take turns in stopping each other.
        """
        # The team's order is that in which its jobs became ready: one that waited for others takes
        # nothing from those that run. The rank is that of the live jobs that need it, which changes
        # only when users act.
        self.want_grades = False
        judged = []  # whose standing depends on the jobs before them
        for job in self.jobs.values():
            rank = min(wire.RANKS[job.spec.rank], self.pipelines.claim(job.id).rank)
            if rank == 0 or not self.quota.guarantees(job.team):
                self.stand(job, rank, (0 if rank == 0 else 1, rank))
            if self.quota.guarantees(job.team):
                judged.append((job.ready_at, job.id, rank, job))
        judged.sort(key=lambda entry: entry[:2])
        totals: dict[TeamName, Amount] = {}
        for _, _, rank, job in judged:
            total = totals.get(job.team, NOTHING).plus(job.need, job.size)
            totals[job.team] = total
            if rank > 0:
                within = self.quota.fits_guarantee(job.team, total)
                self.stand(job, rank, (0 if within else 1, rank))

    def place(self, now: Instant) -> None:
        """One pass over the waiting jobs."""
        self.want_pass = False
        if not self.loaded:
            return
        usable, free = self.survey()
        unsure = self._unsure_usage()
        if self.want_grades:
            self._grade()
        waiting = self.waiting(now)
        self.reserve.note((job for job in waiting if not job.mistaken), now)
        self.clearing.keep(free, now)
        kept, able = self.reserve.split(self.ready.kinds, free)
        self.kept = kept
        self.gathering.look(waiting, free, now)
        roomy = with_room(usable, free, waiting)
        state = Pass(
            usable, free, roomy, {m.id for m in roomy}, unsure, kept, able,
            self.clearing.look(waiting, usable, now),
            patient(self, waiting, {o: len(kind) for o, kind in self.ready.kinds.items()}),
        )  # fmt: skip
        for job in waiting:
            try:
                self._place_job(job, state, now)
            except Exception:
                # The others are served all the same, and it is tried again.
                job.failed_passes += 1
                job.hold_until = now + min(LONGEST_PAUSE_S, 2.0**job.failed_passes)
                log.exception("job_not_placed", job=job.id, again_s=job.hold_until - now)
        self.clearing.denied = set()
        if state.stoppable is not None and self.all_settled:
            self.clearing.move_replicas(state.kept, state.able, usable, free, state.stoppable, now)
        if self.all_settled:
            self.thrift.move(state.kept, usable, now)

    def _place_job(self, job: Job, state: Pass, now: Instant) -> None:
        need = job.need
        free, stoppable, full = state.free, state.stoppable, state.full
        count = min(
            job.startable(),
            self.quota.room(job.team, need, state.unsure.get(job.team, NOTHING)),
        )
        if count <= 0 or (job.gang and (count < job.size or job.placed or job.unsure)):
            return
        if job.mistaken:
            # One try at a time, in room that happens to be there; nobody gives way for it.
            if job.placed:
                return
            count = job.size if job.gang else 1
        mine = self.clearing.give(job, free)
        # What was cleared for the job counts as full for all others.
        open_ = state.roomy
        if mine:
            open_ = [m for m in state.usable if m.id in mine or m.id in state.names]
        denied = self.clearing.denied = self.gathering.denied(job)
        if denied:
            open_ = [m for m in open_ if m.id not in denied]
        cheap = state.patient.get(job.id)
        room_in = free
        if cheap is not None:
            room_in = {
                m.id: free[m.id]
                if m.id in state.kept and cheap.leftover
                else cheap.room(m, free[m.id], self.skus[m.type])
                for m in open_
            }
        # Replicas stay long: they take accelerated machines only if nothing else is left.
        lasting = job.service and need.accelerators <= 0
        barred = self.barred(job, state.able if lasting else state.kept) - mine
        kind = (job.kind, lasting, bool(barred), bool(denied), cheap is None)
        chosen: list[MachineId] = []
        # Replicas wait for what is being cleared for them: it is gone in a moment.
        coming = 0
        if lasting:
            coming = sum(1 for id in mine if id in free and not need.fits(free[id]))
            if stoppable is not None and self.clearing.hurries(job):
                coming += self.clearing.near_image(
                    job, count - coming, open_, free, state.able, stoppable, now
                )
        if coming < count and (mine or kind not in full):
            chosen = choose(self, job, count - coming, open_, room_in, barred, prefer=mine)
            if not chosen and not mine and job.plain:
                full.add(kind)
        if len(chosen) + coming < count and stoppable is not None:
            coming += self.clearing.preempt(
                job, count - len(chosen) - coming, stoppable, free, mine, now
            )
        for step, wider in enumerate((state.kept - mine, set()) if lasting else ()):
            if len(chosen) + coming < count and (mine or (kind, step) not in full):
                chosen = choose(self, job, count - coming, open_, free, wider, prefer=mine)
                if not chosen and not mine and job.plain:
                    full.add((kind, step))
        if job.gang and len(chosen) < job.size:
            chosen = []
        used = mine if len(chosen) == count else mine.intersection(chosen)
        self.clearing.take_back(used, mine, free)
        self._start(job, chosen, free, now)
        if need.accelerators > 0 and chosen:
            state.kept, state.able = self.reserve.split(self.ready.kinds, free)
            self.kept = state.kept

    def _start(
        self, job: Job, chosen: list[MachineId], free: dict[MachineId, Amount], now: Instant
    ) -> None:
        if not chosen:
            return
        self.attempts += 1
        attempt = Attempt((self.term << 20) + self.attempts)
        left = [job.take() for _ in chosen]
        pairs: list[tuple[int, MachineId]] = []
        for id in chosen:
            machine = self.machines[id]
            for index in left:
                task = TaskId(job.id, index)
                if task not in machine.held and task not in machine.lingering:
                    left.remove(index)
                    pairs.append((index, id))
                    break
        if job.gang and left:
            # One task would be refused where its last attempt is still listed: not without it.
            left += [index for index, _ in pairs]
            pairs = []
        for index in left:
            job.put_back(index)
        for index, id in pairs:
            machine = self.machines[id]
            task = TaskId(job.id, index)
            placement = Placement(task, attempt, id, machine.zone, job, now)
            placement.ready = index < job.marked
            if not self.invariants.may_hold(machine, job, placement):
                continue
            self.hold(machine, job, placement)
            free[id] = free[id].minus(job.need)
            if placement.ready:
                self.send(placement)

    def fleet_summary(self) -> list[dict[str, Any]]:
        """The machines by offer: how many, how many of them empty, how full; and what waits."""
        groups: dict[Offer, list[Machine]] = {}
        for machine in self.machines.values():
            groups.setdefault(machine.offer, []).append(machine)
        found: list[dict[str, Any]] = []
        for offer, machines in sorted(groups.items()):
            whole = sum(self.skus[m.type].cores for m in machines if m.type in self.skus)
            booked = sum(m.booked.cores for m in machines)
            held: Counter[str] = Counter()
            for machine in machines:
                for placement in machine.held.values():
                    job = self.jobs.get(placement.task.job)
                    held[job.spec.jobclass if job is not None else "-"] += 1
            found.append(
                {
                    **offer._asdict(),
                    "machines": len(machines),
                    "empty": sum(1 for m in machines if not m.held),
                    "not_usable": sum(1 for m in machines if not m.usable),
                    "percent_booked": round(100 * booked / whole) if whole else 0,
                    "holds": ",".join(f"{name}:{many}" for name, many in sorted(held.items())),
                }
            )
        waits: dict[str, tuple[int, int, float]] = {}
        for job in self.unplaced.values():
            tasks = job.startable()
            if tasks:
                jobs, total, first = waits.get(job.spec.jobclass, (0, 0, job.at))
                waits[job.spec.jobclass] = (jobs + 1, total + tasks, min(first, job.at))
        for name, (jobs, total, first) in sorted(waits.items()):
            oldest = round(self.wall() - first)
            found.append({"waiting": name, "tasks": total, "jobs": jobs, "oldest_s": oldest})
        return found

    def direct_starts_summary(self) -> dict[str, int]:
        """How many starts may still arrive, and what that has led to in this term."""
        open_ = [len(machine.direct_starts) for machine in self.machines.values()]
        return {
            "may_arrive": sum(open_),
            "machines": sum(1 for starts in open_ if starts),
            "forgets_put_off": self.reports.forgets_put_off,
            "token_raises": self.token_raises.count,
            "violations": sum(self.invariants.violations.values()),
        }

    def lacking(self, now: Instant) -> list[tuple[Job, int]]:
        """Jobs with tasks for which there is no room, in the order of service."""
        found = []
        for job in self.waiting(now):
            count = min(job.startable(), self.quota.room(job.team, job.need))
            if job.gang and (job.placed or count < job.size):
                continue
            if count > 0 and not job.mistaken:
                found.append((job, count))
        return found
