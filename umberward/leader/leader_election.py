"""Who leads: a lease in the state service, the leader's key on it, and the fencing token."""

from __future__ import annotations

import contextlib
import random
import time
from collections.abc import Awaitable, Callable

import curio

from umberward.clients import state_client
from umberward.clients.state_client import StateClient
from umberward.core.log import logger
from umberward.core.settings import Settings
from umberward.core.types import (
    ControllerName,
    FencingToken,
    Instant,
    Key,
    LeaseId,
    Revision,
    Version,
)
from umberward.protocol import transactions, wire
from umberward.scheduling.lease_bounds import LeaseBounds

log = logger(__name__)

LEADER_KEY = Key("leader")
CLOCK_DRIFT_FACTOR = 0.999
LEASE_MARGIN_S = 0.15
MIN_KEEPALIVE_S = 3.0  # a shorter time is used up by renewals and readings of every day
RESTARTED_LEADER_PAUSE_S = 1.0  # for so long a restarted leader leaves its place to the others


class LeaderElection:
    """Keeps this controller's lease, follows the leader's key and campaigns when it is free."""

    def __init__(
        self,
        settings: Settings,
        store: StateClient,
        rng: random.Random,
        elected: Callable[[FencingToken], Awaitable[None]],
        lost: Callable[[], Awaitable[None]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """`clock`: steady, in seconds."""
        platform = settings.platform
        self.name = ControllerName(platform.label)
        self.record_key = Key(f"controllers/{platform.label}")
        self.store = store
        self.lease_seconds = settings.operator.lease_seconds
        self.clock = clock
        workers = platform.cluster.workers
        self.bounds = LeaseBounds(workers)
        if self.bounds.keepalive_s < MIN_KEEPALIVE_S:
            log.warning(
                "no_keepalive_without_state_service",
                reason="cluster.workers.cancel_s leaves none above cluster.workers.lease_s",
                cancel_s=workers.cancel_s,
                lease_s=workers.lease_s,
            )
        self.rng = rng
        self.on_elected = elected
        self.on_lost = lost
        self.used_nonces: set[str] = set()
        self.nonce = ""
        self.term = 0
        self.lease: LeaseId | None = None
        self.renewed_at = Instant(0.0)  # when the last granted renewal was sent
        self.fencing_token: FencingToken | None = None  # ours, while we lead
        self.leader: ControllerName | None = None
        self.leader_version = Version(0)
        self.campaign_not_before = 0.0

    # ---- what others ask ---------------------------------------------------------------

    def is_leader(self) -> bool:
        """Whether our lease surely holds: only then may anything be written, or started as far as
        `may_start` says."""
        return (
            self.fencing_token is not None
            and self.lease is not None
            and self.clock()
            < self.renewed_at + self.lease_seconds * CLOCK_DRIFT_FACTOR - LEASE_MARGIN_S
        )

    def may_start(self, known: Instant | None) -> bool:
        """Whether something may be started by one that knows all that was cancelled until then."""
        return self.is_leader() and self.bounds.may_start(known, Instant(self.clock()))

    def may_keep_alive(self) -> bool:
        """Whether our term may go on without the state service: commands that start nothing may
        still be given, and reports be answered as far as `may_answer` says."""
        lasts = max(self.bounds.keepalive_s, self.lease_seconds)
        return self.fencing_token is not None and self.clock() < self.renewed_at + lasts

    def may_answer(self, known: Instant | None) -> bool:
        """Whether a report may be answered so that its session goes on, by one that knows all that
        was cancelled until `known`. The one judge for answers of our own and carried ones."""
        if self.fencing_token is None or known is None:
            return False
        if self.bounds.keepalive_s < MIN_KEEPALIVE_S and self.is_leader():
            return True  # else no session could ever last; the operators were warned
        return self.bounds.may_answer(known, self.renewed_at, Instant(self.clock()))

    def leadership_condition(self) -> tuple[Key, Version]:
        """What makes a write valid only while we lead."""
        return LEADER_KEY, self.leader_version

    async def rotate_token(self) -> FencingToken:
        """A higher token for all we hold: late commands under the old one become void."""
        assert self.fencing_token is not None
        self.term += 1
        record = wire.ControllerRecord(self.name, self.nonce, self.term, (0, 65536))
        revision = await self.store.commit(
            [self.leadership_condition()], [transactions.put(self.record_key, record)]
        )
        self.fencing_token = FencingToken(revision)
        return self.fencing_token

    async def step_down(self, why: str) -> None:
        if self.fencing_token is None:
            return
        log.warning("stepping_down", reason=why)
        lease = self.lease
        await self._lose_leadership()
        if lease is not None:
            with contextlib.suppress(
                state_client.StateUnavailableError, state_client.UnknownOutcomeError
            ):
                await self.store.revoke_lease(lease)
        self.campaign_not_before = self.clock() + 2 * self.lease_seconds  # let another one win

    async def superseded_by(self, seen: FencingToken) -> None:
        """A worker has seen a higher token: another controller has won since, though we may not
        have heard of it. What we may still tend would only be kept from the one that leads."""
        if self.fencing_token is not None and seen > self.fencing_token:
            log.warning("leadership_superseded", epoch=self.fencing_token, seen=seen)
            await self._lose_leadership()

    # ---- the lease ---------------------------------------------------------------------

    async def keep_lease(self) -> None:
        while True:
            try:
                await self._renew()
            except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
                log.debug("lease_not_renewed", error=error)
            if self.fencing_token is not None and not self.may_keep_alive():
                await self._lose_leadership()
            # Shortly before the end, ask more often.
            await curio.sleep(self.lease_seconds / 5 * self.rng.uniform(0.9, 1.1))

    async def _renew(self) -> None:
        """Whatever an answer says, it says of the lease that was asked about: while we waited, that
        may have been let go, and another granted to a campaign, whose key hangs on that one."""
        sent = Instant(self.clock())
        lease = self.lease
        if lease is None:
            granted = await self.store.grant_lease(self.lease_seconds)
            if self.lease is None:
                self.lease, self.renewed_at = granted, sent
            return
        try:
            await self.store.renew_lease(lease, max(0.5, self.lease_seconds / 3))
        except state_client.LeaseExpiredError:
            if self.lease == lease:
                log.info("lease_expired")
                self._abandon_lease()
                if self.fencing_token is not None:
                    await self._lose_leadership()
            return
        if self.lease == lease:
            self.renewed_at = max(self.renewed_at, sent)

    async def _lose_leadership(self) -> None:
        self.fencing_token = None
        self._abandon_lease()
        self.store.set_role(leading=False)
        await self.on_lost()

    def _abandon_lease(self) -> None:
        """Renew our lease no longer, and never take for a win what hangs on it. Else our key could
        stand there for ever, whoever does not lead by it; or be taken for ours by a late reading
        when it is gone with the lease."""
        self.lease = None
        self.nonce = ""

    # ---- the leader's key --------------------------------------------------------------

    async def follow(self) -> None:
        while True:
            try:
                after = await self._read_leader()
                while True:
                    if self.leader is None and self.clock() >= self.campaign_not_before:
                        await self._campaign()
                        break
                    hold = 10.0 if self.leader is not None else 1.0
                    changes, after = await self.store.watch(LEADER_KEY, after, hold)
                    if any(
                        LEADER_KEY in (change.put_key, change.deleted_key) for change in changes
                    ):
                        break
            except state_client.CompareAndSwapError:
                continue
            except (
                state_client.StateUnavailableError,
                state_client.UnknownOutcomeError,
                state_client.RevisionCompactedError,
                state_client.LeaseExpiredError,
            ) as error:
                log.debug("leader_not_read", error=error)
                await curio.sleep(self.rng.uniform(0.2, 0.4))

    async def _read_leader(self) -> Revision:
        """Read the key; learn who leads, and whether it is us."""
        entries, revision = await self.store.list_all(LEADER_KEY)
        found = next((entry for entry in entries if entry.key == LEADER_KEY), None)
        if found is None:
            self.leader, self.leader_version = None, Version(0)
            if self.fencing_token is not None:
                await self._lose_leadership()
            return revision
        record = wire.convert(found.data, wire.LeaderRecord)
        stamp = Version(found.version)
        if record.controller == self.name and record.nonce in self.used_nonces:
            if self.fencing_token is None and self.lease is not None and record.nonce == self.nonce:
                await self._become_leader(stamp)
            elif self.fencing_token is None:
                # Left over from a lease of ours that is over or a campaign that came late.
                self.leader, self.leader_version = None, stamp
            return revision
        if record.controller == self.name:
            # Our former self led and was restarted: its commands carry a lower token and its
            # transactions a condition that fails from now on. The others have heard what it had
            # learnt and we have not; and if we end again and again, at each return within the
            # time of the former lease we would keep the others from leading.
            self.campaign_not_before = self.clock() + RESTARTED_LEADER_PAUSE_S
            log.info("restarted_leader_yields", rest_s=RESTARTED_LEADER_PAUSE_S)
            await self.store.commit(
                [(LEADER_KEY, stamp)],
                [transactions.delete(LEADER_KEY)],
                priority=transactions.URGENT,
            )
            self.leader, self.leader_version = None, Version(0)
            return revision
        if self.fencing_token is not None:
            await self._lose_leadership()
        if self.leader != record.controller:
            log.info("leader_changed", node=record.controller)
        self.leader, self.leader_version = ControllerName(record.controller), stamp
        return revision

    async def _campaign(self) -> None:
        if self.lease is None or self.clock() > self.renewed_at + self.lease_seconds * 0.8:
            await self._renew()
        if self.lease is None:
            return
        nonce = self.nonce = f"{self.rng.getrandbits(64):016x}"
        self.used_nonces.add(nonce)
        self.term = 1
        leader = wire.LeaderRecord(self.name, nonce)
        record = wire.ControllerRecord(self.name, nonce, self.term, (0, 65536))
        try:
            revision = await self.store.commit(
                [(LEADER_KEY, self.leader_version)],
                [
                    transactions.put(LEADER_KEY, leader, self.lease),
                    transactions.put(self.record_key, record),
                ],
                priority=transactions.URGENT,
            )
        except state_client.LeaseExpiredError:
            if self.nonce == nonce:
                self._abandon_lease()
            return
        if self.nonce == nonce:  # else the key hangs on a lease that we have let go meanwhile
            await self._become_leader(Version(revision))

    async def _become_leader(self, stamp: Version) -> None:
        self.leader, self.leader_version = self.name, stamp
        self.fencing_token = FencingToken(stamp)
        self.store.set_role(leading=True)
        log.info("leadership_acquired", epoch=stamp)
        await self.on_elected(self.fencing_token)
