"""Who leads: a lease in the state service, the leader's key on it, and the fencing token."""

from __future__ import annotations

import contextlib
import random
import time
from collections.abc import Awaitable, Callable

import curio

from umberward.clients import state
from umberward.clients.state import State
from umberward.core.log import logger
from umberward.core.settings import Settings
from umberward.core.types import Epoch, Instant, Key, LeaseId, NodeName, Revision, Stamp
from umberward.decisions.tending import Bounds
from umberward.protocol import changes, wire

log = logger(__name__)

LEADER = Key("leader")
DRIFT = 0.999
MARGIN_S = 0.15
LEAST_TEND_S = 3.0  # a shorter time is used up by renewals and readings of every day
RETURN_REST_S = 1.0  # for so long a restarted leader leaves its place to the others


class Membership:
    """Keeps this controller's lease, follows the leader's key and campaigns when it is free."""

    def __init__(
        self,
        settings: Settings,
        store: State,
        rng: random.Random,
        elected: Callable[[Epoch], Awaitable[None]],
        lost: Callable[[], Awaitable[None]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """`clock`: steady, in seconds."""
        platform = settings.platform
        self.me = NodeName(platform.label)
        self.record_key = Key(f"controllers/{platform.label}")
        self.store = store
        self.ttl = settings.operator.lease_seconds
        self.clock = clock
        workers = platform.cluster.workers
        self.bounds = Bounds(workers)
        if self.bounds.tend_s < LEAST_TEND_S:
            log.warning(
                "no_time_without_state_service",
                reason="cluster.workers.cancel_s leaves none above cluster.workers.lease_s",
                cancel_s=workers.cancel_s, lease_s=workers.lease_s,
            )  # fmt: skip
        self.rng = rng
        self.elected = elected
        self.lost = lost
        self.nonces: set[str] = set()
        self.nonce = ""
        self.term = 0
        self.lease: LeaseId | None = None
        self.good = Instant(0.0)  # when the last granted renewal was sent
        self.epoch: Epoch | None = None  # ours, while we lead
        self.leader: NodeName | None = None
        self.leader_stamp = Stamp(0)
        self.rest_until = 0.0

    # ---- what others ask ---------------------------------------------------------------

    def leading(self) -> bool:
        """Whether our lease surely holds: only then may anything be written, or started as far as
        `may_start` says."""
        return (
            self.epoch is not None
            and self.lease is not None
            and self.clock() < self.good + self.ttl * DRIFT - MARGIN_S
        )

    def may_start(self, known: Instant | None) -> bool:
        """Whether something may be started by one that knows all that was cancelled until then."""
        return self.leading() and self.bounds.may_start(known, Instant(self.clock()))

    def tending(self) -> bool:
        """Whether our term may go on without the state service: commands that start nothing may
        still be given, and reports be answered as far as `may_answer` says."""
        lasts = max(self.bounds.tend_s, self.ttl)
        return self.epoch is not None and self.clock() < self.good + lasts

    def may_answer(self, known: Instant | None) -> bool:
        """Whether a report may be answered so that its session goes on, by one that knows all that
        was cancelled until `known`. The one judge for answers of our own and carried ones."""
        if self.epoch is None or known is None:
            return False
        if self.bounds.tend_s < LEAST_TEND_S and self.leading():
            return True  # else no session could ever last; the operators were warned
        return self.bounds.may_answer(known, self.good, Instant(self.clock()))

    def condition(self) -> tuple[Key, Stamp]:
        """What makes a write valid only while we lead."""
        return LEADER, self.leader_stamp

    async def raise_epoch(self) -> Epoch:
        """A higher token for all we hold: late commands under the old one become void."""
        assert self.epoch is not None
        self.term += 1
        record = wire.ControllerRecord(self.me, self.nonce, self.term, (0, 65536))
        revision = await self.store.commit(
            [self.condition()], [changes.put(self.record_key, record)]
        )
        self.epoch = Epoch(revision)
        return self.epoch

    async def step_down(self, why: str) -> None:
        if self.epoch is None:
            return
        log.warning("stepping_down", reason=why)
        lease = self.lease
        await self._lose()
        if lease is not None:
            with contextlib.suppress(state.Unavailable, state.Unknown):
                await self.store.drop(lease)
        self.rest_until = self.clock() + 2 * self.ttl  # let another one win

    async def deposed(self, seen: Epoch) -> None:
        """A worker has seen a higher token: another controller has won since, though we may not
        have heard of it. What we may still tend would only be kept from the one that leads."""
        if self.epoch is not None and seen > self.epoch:
            log.warning("deposed", epoch=self.epoch, seen=seen)
            await self._lose()

    # ---- the lease ---------------------------------------------------------------------

    async def keep_lease(self) -> None:
        while True:
            try:
                await self._renew()
            except (state.Unavailable, state.Unknown) as error:
                log.debug("lease_not_renewed", error=error)
            if self.epoch is not None and not self.tending():
                await self._lose()
            # Shortly before the end, ask more often.
            await curio.sleep(self.ttl / 5 * self.rng.uniform(0.9, 1.1))

    async def _renew(self) -> None:
        """Whatever an answer says, it says of the lease that was asked about: while we waited, that
        may have been let go, and another granted to a campaign, whose key hangs on that one."""
        sent = Instant(self.clock())
        lease = self.lease
        if lease is None:
            granted = await self.store.grant(self.ttl)
            if self.lease is None:
                self.lease, self.good = granted, sent
            return
        try:
            await self.store.extend(lease, max(0.5, self.ttl / 3))
        except state.NoLease:
            if self.lease == lease:
                log.info("lease_over")
                self._let_go()
                if self.epoch is not None:
                    await self._lose()
            return
        if self.lease == lease:
            self.good = max(self.good, sent)

    async def _lose(self) -> None:
        self.epoch = None
        self._let_go()
        self.store.share(leading=False)
        await self.lost()

    def _let_go(self) -> None:
        """Renew our lease no longer, and never take for a win what hangs on it. Else our key could
        stand there for ever, whoever does not lead by it; or be taken for ours by a late reading
        when it is gone with the lease."""
        self.lease = None
        self.nonce = ""

    # ---- the leader's key --------------------------------------------------------------

    async def follow(self) -> None:
        while True:
            try:
                after = await self._look()
                while True:
                    if self.leader is None and self.clock() >= self.rest_until:
                        await self._campaign()
                        break
                    hold = 10.0 if self.leader is not None else 1.0
                    changes, after = await self.store.watch(LEADER, after, hold)
                    if any(LEADER in (change.write, change.delete) for change in changes):
                        break
            except state.Conflict:
                continue
            except (state.Unavailable, state.Unknown, state.TooOld, state.NoLease) as error:
                log.debug("leader_not_read", error=error)
                await curio.sleep(self.rng.uniform(0.2, 0.4))

    async def _look(self) -> Revision:
        """Read the key; learn who leads, and whether it is us."""
        entries, revision = await self.store.entries(LEADER)
        found = next((entry for entry in entries if entry.path == LEADER), None)
        if found is None:
            self.leader, self.leader_stamp = None, Stamp(0)
            if self.epoch is not None:
                await self._lose()
            return revision
        record = wire.converted(found.data, wire.LeaderRecord)
        stamp = Stamp(found.stamp)
        if record.node == self.me and record.nonce in self.nonces:
            if self.epoch is None and self.lease is not None and record.nonce == self.nonce:
                await self._won(stamp)
            elif self.epoch is None:
                # Left over from a lease of ours that is over or a campaign that came late.
                self.leader, self.leader_stamp = None, stamp
            return revision
        if record.node == self.me:
            # Our former self led and was restarted: its commands carry a lower token and its
            # transactions a condition that fails from now on. The others have heard what it had
            # learnt and we have not; and if we end again and again, at each return within the
            # time of the former lease we would keep the others from leading.
            self.rest_until = self.clock() + RETURN_REST_S
            log.info("former_self_led", rest_s=RETURN_REST_S)
            await self.store.commit(
                [(LEADER, stamp)], [changes.delete(LEADER)], priority=changes.URGENT
            )
            self.leader, self.leader_stamp = None, Stamp(0)
            return revision
        if self.epoch is not None:
            await self._lose()
        if self.leader != record.node:
            log.info("leader", node=record.node)
        self.leader, self.leader_stamp = NodeName(record.node), stamp
        return revision

    async def _campaign(self) -> None:
        if self.lease is None or self.clock() > self.good + self.ttl * 0.8:
            await self._renew()
        if self.lease is None:
            return
        nonce = self.nonce = f"{self.rng.getrandbits(64):016x}"
        self.nonces.add(nonce)
        self.term = 1
        leader = wire.LeaderRecord(self.me, nonce)
        record = wire.ControllerRecord(self.me, nonce, self.term, (0, 65536))
        try:
            revision = await self.store.commit(
                [(LEADER, self.leader_stamp)],
                [changes.put(LEADER, leader, self.lease), changes.put(self.record_key, record)],
                priority=changes.URGENT,
            )
        except state.NoLease:
            if self.nonce == nonce:
                self._let_go()
            return
        if self.nonce == nonce:  # else the key hangs on a lease that we have let go meanwhile
            await self._won(Stamp(revision))

    async def _won(self, stamp: Stamp) -> None:
        self.leader, self.leader_stamp = self.me, stamp
        self.epoch = Epoch(stamp)
        self.store.share(leading=True)
        log.info("leading", epoch=stamp)
        await self.elected(self.epoch)
