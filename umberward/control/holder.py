"""The actor that holds machines for one term: wraps the scheduler's decisions with I/O."""

from __future__ import annotations

import math
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import curio

from umberward.clients import state
from umberward.clients.cloud import Cloud
from umberward.clients.state import State
from umberward.control import hints
from umberward.control.hints import Hints
from umberward.control.membership import Membership
from umberward.control.renting import Renting
from umberward.core.actor import Actor
from umberward.core.bounded_log import BoundedLog
from umberward.core.log import logger
from umberward.core.settings import Settings
from umberward.core.types import (
    Epoch,
    Instant,
    JobId,
    Key,
    NodeName,
    Revision,
    Stamp,
    TypeName,
    WallTime,
    parse_address,
)
from umberward.decisions import records
from umberward.decisions.cluster import Command, Probe
from umberward.decisions.commands import CommandQueue
from umberward.decisions.provision import Provisioner
from umberward.decisions.scheduler import Scheduler
from umberward.decisions.writer import Batch
from umberward.protocol import changes, wire
from umberward.protocol.http import Client, NoAnswer, NotSent
from umberward.protocol.wire import BLOCKS, HINTS, JOBS, LIVE, PAST, FinalRecord, Report, Sku

log = logger(__name__)
bounded_log = BoundedLog(log)

TICK_S = 0.2
PASS_S = 0.06  # the least time between two placing passes
PASS_PART = 4.0  # ... and so many times as long as the last one took: reports must be answered
# With thousands of jobs waiting a pass takes long and changes little: such passes are made more
# rarely, up to so many times more of their length for one that takes SLOW_PASS_S or longer.
SLOW_PART = 6.0
SLOW_PASS_S = 0.1
IDLE_PASS_S = 1.0  # a pass is made so often even if nothing seems to have changed
DO_TIMEOUT_S = 2.0
PROBE_TIMEOUT_S = 1.0
STORE_HINTS_S = 3.0
STORED_AGE_S = 15.0  # how old stored hints are taken to be
REFUSED_S = 2.0  # a write that was refused as it is will be refused again
WATCH_S = 0.5  # how old our knowledge of the jobs becomes while nothing changes
LOOKUP_S = 0.2  # how often ends that were not seen are looked up
SWEEP_S = 2.0  # how often a page of the live jobs is compared with what is known
SWEPT = 50  # ... of so many
ORDERS_SAID = 4  # of a direct command, in a line of the log
SUMMARY_S = 10.0  # how often the state of the fleet is logged


class Hello(NamedTuple):
    head: wire.Head
    body: bytes


class Commanded(NamedTuple):
    command: Command
    report: Report | None
    unknown: bool


class Probed(NamedTuple):
    probe: Probe
    report: Report | None


class Listed(NamedTuple):
    """All live jobs, as they stood in the state service at the moment `asked` or later; `ended`:
    what a new term has to know of those that ended shortly before (None: that can't be told)."""

    entries: list[wire.Entry]
    asked: Instant
    ended: list[wire.Change] | None


class Changes(NamedTuple):
    """All changes that stood in the state service at the moment `asked`, and maybe more."""

    changes: list[wire.Change]
    asked: Instant


class Lend(NamedTuple):
    """A controller asks which machines of its zone it may answer if it is cut off."""

    borrower: NodeName
    seen: int
    idle: bool


class CancelledElsewhere(NamedTuple):
    """Another controller has told its users so; the state service may not have told us yet."""

    ids: list[JobId]


class Ended(NamedTuple):
    """What became of a job was looked up."""

    id: JobId
    data: Any


class Swept(NamedTuple):
    """A page of the live jobs as they stand in the state service."""

    entries: list[wire.Entry]


class Missed(NamedTuple):
    """A live job that was not known here, as it was read once more."""

    id: JobId
    found: changes.Got


class Tick(NamedTuple):
    pass


class Holder(Actor):
    """Lives as long as one term of leadership."""

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        store: State,
        client: Client,
        cloud: Cloud,
        skus: dict[TypeName, Sku],
        epoch: Epoch,
        rng: random.Random,
        final: Callable[[JobId], FinalRecord | None],
        others_hear: Callable[[], Awaitable[bool]],
        revision_before: Callable[[float], Revision | None],
        hinted: tuple[Hints, float] | None = None,
    ) -> None:
        super().__init__()
        now = _now()
        self.membership = membership
        self.store = store
        self.client = client
        self.rng = rng
        self.others_hear = others_hear  # asks them whether they hear workers
        self.revision_before = revision_before
        self.doubting = False
        self.final = final  # ends that this controller knows of anyway
        # What the last leader knew, and how old that is.
        self.hinted = [] if hinted is None else [hinted]
        self.scheduler = Scheduler(settings, skus, epoch, now, _wall, rng)
        prefix = f"{settings.platform.label}-{epoch}"
        self.provisioner = Provisioner(self.scheduler, prefix, now)
        self.commands = CommandQueue(self.scheduler, self._may_start)
        self.to_write = curio.Event()
        self.next_pass = 0.0
        self.renting = Renting(membership, cloud, self.scheduler, self.provisioner)
        self.tasks: Any = None
        self.keeper: Any = None  # of task graphs, if they are on
        if settings.operator.graphs_enabled:
            from umberward.graphs.board import Board
            from umberward.graphs.keeper import Keeper

            self.keeper = Keeper(
                store, Board(self.scheduler), self.tell, membership.condition, membership.leading
            )

    # ---- the term ----------------------------------------------------------------------

    async def serve(self) -> None:
        """Runs until cancelled."""
        async with curio.TaskGroup() as self.tasks:
            await self.tasks.spawn(self.run)
            await self.tasks.spawn(self._load_and_watch)
            await self.tasks.spawn(self._ticker)
            await self.tasks.spawn(self._write)
            await self.tasks.spawn(self.renting.run)
            await self.tasks.spawn(self._store_hints)
            await self.tasks.spawn(self._look_up)
            await self.tasks.spawn(self._sweep)
            if self.keeper is not None:
                await self.tasks.spawn(self.keeper.watch)
                await self.tasks.spawn(self.keeper.finish)
                await self.tasks.spawn(self.keeper.clean)

    async def _load_and_watch(self) -> None:
        after: Revision | None = None
        while True:
            try:
                if after is None:
                    if not self.scheduler.loaded:
                        entries, _ = await self.store.entries(BLOCKS)
                        for entry in entries:
                            number = int(entry.path[len(BLOCKS) :])
                            record = wire.converted(entry.data, wire.BlockRecord)
                            stamp = Stamp(entry.stamp)
                            self.scheduler.load_block(number, record, stamp, _now())
                        await self._flush()
                        if not self.hinted:
                            await self._stored_hints()
                    if self.keeper is not None and not self.scheduler.loaded:
                        await self.keeper.load()
                    asked = _now()
                    entries, listed = await self.store.entries(LIVE)
                    await self.ask(Listed(entries, asked, await self._ended_lately(listed)))
                    after = listed  # not before: what fails in between is done anew
                asked = _now()
                news, after = await self.store.watch(JOBS, after, WATCH_S)
                await self.tell(Changes(news, asked))
            except state.TooOld:
                after = None
            except (state.Unavailable, state.Unknown) as error:
                log.debug("watch_failed", error=error)
                await curio.sleep(self.rng.uniform(0.15, 0.3))

    async def _ended_lately(self, listed: Revision) -> list[wire.Change] | None:
        """The ends of jobs whose tasks may still be somewhere: a leader that reads live records
        only does not know of these. They are asked for by the revision of the moment before which
        none of them can have been, or by the most that can have been written since then."""
        if self.scheduler.loaded or not self.scheduler.quota.any_limits:
            return []
        lasts = self.scheduler.lender.bounds.takeover_s
        since = self.revision_before(_now() - lasts)
        if since is None:
            since = Revision(max(0, listed - math.ceil(lasts * self.store.most_changes)))
        try:
            return (await self.store.watch(PAST, since, 0.0))[0]
        except state.TooOld:
            log.warning("ends_not_read", reason="the state service no longer keeps such changes")
            return None

    async def _ticker(self) -> None:
        said = _now()
        while True:
            await curio.sleep(TICK_S)
            await self.ask(Tick())
            if _now() - said > SUMMARY_S and self.scheduler.loaded:
                said = _now()
                for fields in self.scheduler.fleet_summary():
                    log.info("fleet", **fields)
                log.info("direct_starts", **self.scheduler.direct_starts_summary(),
                         jobs_read_s=self._jobs_read_s(said))  # fmt: skip

    # ---- messages ----------------------------------------------------------------------

    async def handle(self, message: Any) -> Any:
        scheduler = self.scheduler
        now = _now()
        scheduler.wake(now)
        answer: Any = None
        if isinstance(message, Hello):
            answer = scheduler.hello(message.head, message.body, now)
        elif isinstance(message, Commanded):
            try:
                scheduler.commanded(message.command, message.report, message.unknown, now)
            finally:
                await self._send(self.commands.ended(message.command.machine))
        elif isinstance(message, Probed):
            scheduler.probed(message.probe, message.report, now)
        elif isinstance(message, Changes):
            records.take_changes(scheduler, message.changes)
            self._known(message.asked)
        elif isinstance(message, Lend):
            answer = scheduler.lend(*message, now) if self.membership.leading() else None
        elif isinstance(message, Swept):
            answer = scheduler.swept(message.entries, now)
            scheduler.mend(now)
        elif isinstance(message, Missed):
            records.take_missed(scheduler, message.id, message.found, now)
        elif isinstance(message, CancelledElsewhere):
            # This ends what runs, and proves nothing about what else was cancelled.
            for id in message.ids:
                if scheduler.knows(id):
                    log.info("cancelled_elsewhere", job=id)
                    scheduler.job_gone(id)
        elif isinstance(message, Ended):
            records.take_end(scheduler, message.id, message.data)
        elif isinstance(message, Listed):
            self._load_jobs(message.entries, message.ended)
            self._known(message.asked)
        elif self.keeper is not None and self.keeper.takes(message):
            pass
        elif isinstance(message, Tick):
            scheduler.tick(now)
            if scheduler.cut_off(now) and self.membership.leading():
                # The state service answers and the workers do not: another node may reach them.
                await curio.spawn(
                    self.membership.step_down, "hardly any worker is heard", daemon=True
                )
            elif scheduler.unheard(now) and self.membership.leading() and not self.doubting:
                self.doubting = True
                await curio.spawn(self._doubt, daemon=True)
            if scheduler.token_raises.wanted and self.membership.leading():
                scheduler.token_raises.begun()
                await curio.spawn(self._raise_epoch, daemon=True)
        if scheduler.higher:
            seen, scheduler.higher = scheduler.higher, Epoch(0)
            await curio.spawn(self.membership.deposed, seen, daemon=True)
        due = scheduler.want_pass and now >= self.next_pass
        if (due or now >= self.next_pass + IDLE_PASS_S) and self._may_start():
            scheduler.place(now)
            self.next_pass = now + pass_pause(_now() - now)
        await self._flush()
        return answer

    def _may_start(self) -> bool:
        return self.membership.may_start(self.scheduler.known)

    def _known(self, asked: Instant) -> None:
        """Of all that was cancelled before we asked we have been told, if we know all jobs."""
        if self.scheduler.loaded:
            self.scheduler.known = max(asked, self.scheduler.known or asked)

    def _load_jobs(self, entries: list[wire.Entry], ended: list[wire.Change] | None) -> None:
        listed = set()
        for entry in entries:
            listed.add(JobId(entry.path[len(LIVE) :]))
            records.take_job(self.scheduler, entry.path, entry.data, entry.stamp)
        for job in [*self.scheduler.jobs.values(), *self.scheduler.pipelines.jobs.values()]:
            # What rests on something else goes with that.
            if job.id not in listed and not job.conditions:
                self.scheduler.job_gone(job.id)
        if not self.scheduler.loaded:
            self.scheduler.cancelled_unread = ended is None
            records.take_ends(self.scheduler, ended or ())
            for found, age in self.hinted:
                age += _now() - self.scheduler.started
                hints.recall(found, age, self.scheduler, self.provisioner, _now())
            self.scheduler.load_done()

    async def _doubt(self) -> None:
        """We have met no worker: if another controller hears some, it is to lead."""
        try:
            if await self.others_hear() and self.membership.leading():
                await self.membership.step_down("others hear workers and we do not")
        finally:
            self.doubting = False

    async def _raise_epoch(self) -> None:
        try:
            epoch = await self.membership.raise_epoch()
        except (state.Unavailable, state.Unknown, state.Conflict) as error:
            log.info("token_not_raised", error=error)
            self.scheduler.token_raises.failed()
            return
        log.info("token_raised", epoch=epoch)
        self.scheduler.next_epoch(epoch)

    # ---- commands ----------------------------------------------------------------------

    async def _flush(self) -> None:
        out, self.scheduler.out = self.scheduler.out, []
        for item in out:
            if isinstance(item, Probe):
                await self.tasks.spawn(self._probe, item)
            else:
                await self._send(self.commands.submit(item))
        if self.scheduler.writer.due(_now()):
            await self.to_write.set()

    async def _send(self, command: Command | None) -> None:
        if command is not None:
            await self.tasks.spawn(self._command, command)

    async def _command(self, command: Command) -> None:
        report = None
        unknown = False
        body = {"epoch": command.epoch, "tenure": command.tenure, "orders": command.orders}
        # Without our lease, or long after our last reading, nothing may be started; what is there
        # may still be tended.
        starts = any(order.verb == wire.START for order in command.orders)
        still = self._may_start if starts else self.membership.tending
        sent = _now()
        log.debug("command_sent", machine=command.machine, epoch=command.epoch,
                  session=command.tenure, orders=_orders_said(command.orders),
                  jobs_read_s=self._jobs_read_s(sent))  # fmt: skip
        try:
            response = await self.client.request(
                parse_address(command.address), "POST", "/do", wire.encode(body), DO_TIMEOUT_S,
                still=still,
            )  # fmt: skip
            if response.status in (200, 409):
                report = wire.decode_report(response.body)
            # Only a 400 says as surely that nothing was executed.
            unknown = response.status not in (200, 409, 400)
        except NotSent:
            pass
        except (NoAnswer, wire.Malformed, ValueError) as error:
            bounded_log.info(
                "command_given_up", machine=command.machine, epoch=command.epoch,
                session=command.tenure, after_s=round(_now() - sent, 1),
                orders=_orders_said(command.orders), error=type(error).__name__,
            )  # fmt: skip
            unknown = True
        await self.tell(Commanded(command, report, unknown))

    def _jobs_read_s(self, now: Instant) -> float | None:
        """How long ago the latest answered reading of the jobs was asked; None: there was none."""
        known = self.scheduler.known
        return None if known is None else round(now - known, 2)

    async def _probe(self, probe: Probe) -> None:
        report = None
        try:
            response = await self.client.request(
                parse_address(probe.address), "GET", "/status", b"", PROBE_TIMEOUT_S
            )
            if response.status == 200:
                report = wire.decode_report(response.body)
        except (NotSent, NoAnswer, wire.Malformed, ValueError):
            pass
        await self.tell(Probed(probe, report))

    # ---- writing -----------------------------------------------------------------------

    async def _write(self) -> None:
        while True:
            await curio.ignore_after(0.5, self.to_write.wait)
            self.to_write.clear()
            while self.membership.leading():
                batch = self.scheduler.writer.next_batch(_now())
                if batch is None:
                    break
                if not await self._commit(batch):
                    await curio.sleep(self.rng.uniform(0.05, 0.15))
                await self.tell(None)

    async def _commit(self, batch: Batch) -> bool:
        conditions = [self.membership.condition(), *batch.conditions]
        # What is not urgent gives way at once: urgent writes may come while it waits.
        patience = 2.0 if batch.priority == changes.URGENT else 0.0
        try:
            revision = await self.store.commit(
                conditions, batch.writes, priority=batch.priority, patience=patience
            )
        except state.TooLarge:
            await curio.sleep(REFUSED_S)
            return False
        except state.Unavailable as error:
            log.debug("commit_failed", error=error)
            return False
        except (state.Conflict, state.Unknown, state.NoLease):
            # Each key is read again: what stands there decides, whoever wrote it.
            for key, _ in batch.conditions:
                if not self.membership.leading():
                    return False
                try:
                    self.scheduler.reread(key, await self.store.get(key, changes.URGENT))
                except (state.Unavailable, state.Unknown) as error:
                    log.debug("read_failed", key=key, error=error)
                    return False
            return False
        self.scheduler.committed(batch, Stamp(revision), _now())
        return True

    # ---- jobs that others wait for -------------------------------------------------------

    async def _look_up(self) -> None:
        """What became of jobs that are not live and whose end we did not see."""
        while True:
            await curio.sleep(LOOKUP_S)
            if not self.scheduler.loaded:
                continue
            for id in list(self.scheduler.pipelines.graph.unknown):
                final = self.final(id)
                data: Any = None if final is None else wire.builtins(final)
                if final is None:
                    try:
                        past = await self.store.get(Key(PAST + id))
                    except (state.Unavailable, state.Unknown) as error:
                        log.debug("look_up_failed", job=id, error=error)
                        break
                    if past is None:
                        continue  # it moves: the next change tells
                    data = past.data
                await self.tell(Ended(id, data))

    async def _sweep(self) -> None:
        """No job that was accepted may be live and in nobody's memory, whatever went wrong."""
        last = ""
        while True:
            await curio.sleep(SWEEP_S)
            if not (self.scheduler.loaded and self.membership.leading()):
                continue
            try:
                page = await self.store.page(LIVE, last, SWEPT, changes.LAZY)
                last = page.entries[-1].path if page.more and page.entries else ""
                for id in await self.ask(Swept(page.entries)) or ():
                    found = await self.store.get(Key(LIVE + id))
                    if found is not None:
                        await self.tell(Missed(id, found))
            except (state.Unavailable, state.Unknown) as error:
                log.debug("not_swept", error=error)

    # ---- hints -------------------------------------------------------------------------

    async def _stored_hints(self) -> None:
        """What the last leader stored; used if no peer has told us more."""
        entries, _ = await self.store.entries(HINTS)
        for entry in entries:
            try:
                self.hinted.append((wire.converted(entry.data, Hints), STORED_AGE_S))
            except wire.Malformed as error:
                log.info("record_malformed", key=entry.path, error=error)

    async def _store_hints(self) -> None:
        """One part after the other, if nothing else is to be written."""
        stored: dict[Key, Any] = {}
        number = 0
        while True:
            await curio.sleep(STORE_HINTS_S)
            if not (self.scheduler.loaded and self.membership.leading()):
                continue
            made = hints.parts(
                hints.gather(self.scheduler, self.provisioner, _now()),
                self.scheduler.writer.block_size,
                self.scheduler.value_limit,
            )
            if not made:
                continue
            number = (number + 1) % len(made)
            key, part = Key(f"{HINTS}{number}"), wire.builtins(made[number])
            changed = {**part, "epoch": 0} != stored.get(key)
            if not changed:
                continue
            try:
                await self.store.commit(
                    [self.membership.condition()], [changes.put(key, part)],
                    priority=changes.LAZY, patience=0.0,
                )  # fmt: skip
            except (state.Unavailable, state.Unknown, state.Conflict, state.NoLease) as error:
                log.debug("hints_not_had", error=error)
            else:
                stored[key] = {**part, "epoch": 0}


def pass_pause(took: float) -> float:
    """Seconds from the beginning of a pass that took so long to the next one."""
    return max(PASS_S, (PASS_PART + SLOW_PART * min(1.0, took / SLOW_PASS_S)) * took)


def _orders_said(orders: list[wire.Order]) -> str:
    """The first few orders for a line of the log: what, which task, which attempt."""
    said = [f"{order.verb}:{order.shard}#{order.attempt}" for order in orders[:ORDERS_SAID]]
    if len(orders) > ORDERS_SAID:
        said.append(f"+{len(orders) - ORDERS_SAID}")
    return ",".join(said)


def _now() -> Instant:
    return Instant(time.monotonic())


def _wall() -> WallTime:
    return WallTime(time.time())
