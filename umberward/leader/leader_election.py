"""Leader election: a lease in the state service, the leader key on it, and the fencing token.

The leader is the controller named by `LEADER_KEY`. The key hangs on that controller's lease, so the
state service deletes it when the lease ends. The revision of the transaction that has written the
key is the leader's first fencing token. Each write of a leader has the version of the key as its
condition, so a former leader can write nothing.
"""

from __future__ import annotations

import contextlib
import random
import time
from collections.abc import Awaitable, Callable

import curio

from umberward.clients import state_client
from umberward.clients.state_client import StateClient
from umberward.core.log import logger
from umberward.core.settings import Settings, WorkerTimes
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
CONTROLLER_KEY_PREFIX = "controllers/"
ALL_JOB_HASHES = (0, 65536)  # the leader holds all jobs

# A lease of T seconds by the state service's clock is taken to last this share of T by ours.
RENEWAL_DRIFT_FACTOR = 0.999
RENEWAL_MARGIN_S = 0.15
# A shorter time of keeping sessions alive without the state service is used up by the renewals and
# reads of ordinary operation.
MIN_KEEPALIVE_S = 3.0

RENEWALS_PER_LEASE = 5
RENEWAL_JITTER = (0.9, 1.1)
RENEWAL_TIMEOUTS_PER_LEASE = 3  # a renewal may take a third of the lease ...
MIN_RENEWAL_TIMEOUT_S = 0.5  # ... or this, whichever is longer
MAX_LEASE_AGE_TO_CAMPAIGN = 0.8  # of the lease's length: an older one is renewed first

LEADER_WATCH_HOLD_S = 10.0
FREE_KEY_WATCH_HOLD_S = 1.0  # while nobody leads and this controller may not campaign yet
MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S = 0.2, 0.4
STEP_DOWN_PAUSE_LEASES = 2  # a controller that steps down does not campaign for so many leases
RESTARTED_LEADER_PAUSE_S = 1.0  # for so long a restarted leader lets the others campaign


class LeaderElection:
    """Keeps this controller's lease, follows the leader key and campaigns when it is free."""

    def __init__(
        self,
        settings: Settings,
        store: StateClient,
        rng: random.Random,
        on_elected: Callable[[FencingToken], Awaitable[None]],
        on_lost: Callable[[], Awaitable[None]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create an election that does nothing until `keep_lease` and `follow` run.

        `on_elected(fencing_token)` is awaited when this controller becomes the leader, `on_lost()`
        when it no longer is; `clock`: steady, in seconds.
        """
        platform = settings.platform
        self.name = ControllerName(platform.label)
        self.record_key = Key(f"{CONTROLLER_KEY_PREFIX}{platform.label}")
        self.store = store
        self.lease_seconds = settings.operator.lease_seconds
        self.clock = clock
        self.bounds = LeaseBounds(platform.cluster.workers)
        self._warn_if_keepalive_too_short(platform.cluster.workers)
        self.rng = rng
        self.on_elected = on_elected
        self.on_lost = on_lost
        self.used_nonces: set[str] = set()  # of all campaigns of this process
        self.nonce = ""  # of the latest campaign, unless its lease has been abandoned
        self.term = 0
        self.lease: LeaseId | None = None
        self.renewed_at = Instant(0.0)  # when the latest granted renewal was sent
        self.fencing_token: FencingToken | None = None  # None: this controller does not lead
        self.leader: ControllerName | None = None  # as far as known
        self.leader_version = Version(0)  # of the leader key
        self.campaign_not_before = 0.0

    def _warn_if_keepalive_too_short(self, workers: WorkerTimes) -> None:
        if self.bounds.keepalive_s < MIN_KEEPALIVE_S:
            log.warning(
                "no_keepalive_without_state_service",
                reason="cluster.workers.cancel_s leaves none above cluster.workers.lease_s",
                cancel_s=workers.cancel_s,
                lease_s=workers.lease_s,
            )

    # ---- what the leader may do --------------------------------------------------------

    def is_leader(self) -> bool:
        """Whether this controller leads and its lease certainly holds.

        Only then may anything be written, or started as far as `may_start` allows it.
        """
        return (
            self.fencing_token is not None
            and self.lease is not None
            and self.clock()
            < self.renewed_at + self.lease_seconds * RENEWAL_DRIFT_FACTOR - RENEWAL_MARGIN_S
        )

    def may_start(self, jobs_read_at: Instant | None) -> bool:
        """Whether a task may be started.

        `jobs_read_at`: all cancellations confirmed until then are known; None: none are.
        """
        return self.is_leader() and self.bounds.may_start(jobs_read_at, Instant(self.clock()))

    def may_keep_alive(self) -> bool:
        """Whether the leadership may go on without the state service.

        Commands that start nothing may be sent then, and heartbeats be answered as far as
        `may_answer` allows it.
        """
        keepalive_s = max(self.bounds.keepalive_s, self.lease_seconds)
        return self.fencing_token is not None and self.clock() < self.renewed_at + keepalive_s

    def may_answer(self, jobs_read_at: Instant | None) -> bool:
        """Whether a heartbeat may be answered so that the worker's incarnation goes on.

        `jobs_read_at`: as for `may_start`. All answers are subject to this check, also those that
        another controller forwards.
        """
        if self.fencing_token is None or jobs_read_at is None:
            return False
        if self.bounds.keepalive_s < MIN_KEEPALIVE_S and self.is_leader():
            return True  # else no incarnation could ever last; the operators were warned
        return self.bounds.may_answer(jobs_read_at, self.renewed_at, Instant(self.clock()))

    def leadership_condition(self) -> tuple[Key, Version]:
        """Return the condition that makes a transaction valid only while this controller leads."""
        return LEADER_KEY, self.leader_version

    # ---- changes of the leadership -----------------------------------------------------

    async def rotate_token(self) -> FencingToken:
        """Get a higher fencing token, so that workers refuse late commands under the old one.

        Raises the errors of `StateClient.commit`. To be called while this controller leads.
        """
        assert self.fencing_token is not None
        self.term += 1
        revision = await self.store.commit(
            [self.leadership_condition()],
            [transactions.put(self.record_key, self._controller_record())],
        )
        self.fencing_token = FencingToken(revision)
        return self.fencing_token

    async def step_down(self, reason: str) -> None:
        """Give the leadership up so that another controller can win; does nothing if it is lost.

        `reason`: for the log.
        """
        if self.fencing_token is None:
            return
        log.warning("stepping_down", reason=reason)
        lease = self.lease
        await self._lose_leadership()
        if lease is not None:
            with contextlib.suppress(
                state_client.StateUnavailableError, state_client.UnknownOutcomeError
            ):
                await self.store.revoke_lease(lease)
        self.campaign_not_before = self.clock() + STEP_DOWN_PAUSE_LEASES * self.lease_seconds

    async def superseded_by(self, seen_token: FencingToken) -> None:
        """Give the leadership up if a worker has seen a higher fencing token.

        Another controller has been elected then, though the state service has not shown it here.
        What this controller keeps alive would only be kept from the new leader.
        """
        if self.fencing_token is not None and seen_token > self.fencing_token:
            log.warning("leadership_superseded", epoch=self.fencing_token, seen=seen_token)
            await self._lose_leadership()

    async def _become_leader(self, version: Version) -> None:
        """Lead from now on: `version` is that of the leader key, which this controller has."""
        self.leader, self.leader_version = self.name, version
        self.fencing_token = FencingToken(version)
        self.store.set_role(leading=True)
        log.info("leadership_acquired", epoch=version)
        await self.on_elected(self.fencing_token)

    async def _lose_leadership(self) -> None:
        self.fencing_token = None
        self._abandon_lease()
        self.store.set_role(leading=False)
        await self.on_lost()

    # ---- the lease ---------------------------------------------------------------------

    async def keep_lease(self) -> None:
        """Renew the lease several times within its length, until cancelled."""
        while True:
            try:
                await self._renew()
            except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
                log.debug("lease_not_renewed", error=error)
            if self.fencing_token is not None and not self.may_keep_alive():
                await self._lose_leadership()
            await curio.sleep(
                self.lease_seconds / RENEWALS_PER_LEASE * self.rng.uniform(*RENEWAL_JITTER)
            )

    async def _renew(self) -> None:
        """Renew the lease, or get one if there is none.

        Each answer is about the lease of its request only. Meanwhile that lease may have been
        abandoned and another one granted for a campaign, which has its leader key on the new one.
        """
        sent_at = Instant(self.clock())
        lease = self.lease
        if lease is None:
            granted = await self.store.grant_lease(self.lease_seconds)
            if self.lease is None:
                self.lease, self.renewed_at = granted, sent_at
            return
        timeout_s = max(MIN_RENEWAL_TIMEOUT_S, self.lease_seconds / RENEWAL_TIMEOUTS_PER_LEASE)
        try:
            await self.store.renew_lease(lease, timeout_s)
        except state_client.LeaseExpiredError:
            if self.lease == lease:
                log.info("lease_expired")
                self._abandon_lease()
                if self.fencing_token is not None:
                    await self._lose_leadership()
            return
        if self.lease == lease:
            self.renewed_at = max(self.renewed_at, sent_at)

    def _abandon_lease(self) -> None:
        """Stop renewing the lease, and never take a key on it for a win.

        Else the leader key could stay for ever though its owner does not lead; or a late read could
        take it for this controller's when it is deleted already with its lease.
        """
        self.lease = None
        self.nonce = ""

    # ---- the leader key ----------------------------------------------------------------

    async def follow(self) -> None:
        """Follow the leader key and campaign when it is free, until cancelled."""
        while True:
            try:
                await self._follow_once()
            except state_client.CompareAndSwapError:
                continue  # another controller has changed the key: read it at once
            except (
                state_client.StateUnavailableError,
                state_client.UnknownOutcomeError,
                state_client.RevisionCompactedError,
                state_client.LeaseExpiredError,
            ) as error:
                log.debug("leader_not_read", error=error)
                await curio.sleep(self.rng.uniform(MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S))

    async def _follow_once(self) -> None:
        """Read the leader key, then campaign or wait until it changes."""
        revision = await self._read_leader()
        while True:
            if self.leader is None and self.clock() >= self.campaign_not_before:
                await self._campaign()
                return
            hold_s = FREE_KEY_WATCH_HOLD_S if self.leader is None else LEADER_WATCH_HOLD_S
            changes, revision = await self.store.watch(LEADER_KEY, revision, hold_s)
            if any(LEADER_KEY in (change.put_key, change.deleted_key) for change in changes):
                return

    async def _read_leader(self) -> Revision:
        """Read the leader key, and act on who leads. Returns the revision of the read."""
        entries, revision = await self.store.list_all(LEADER_KEY)
        entry = next((entry for entry in entries if entry.key == LEADER_KEY), None)
        if entry is None:
            self.leader, self.leader_version = None, Version(0)
            if self.fencing_token is not None:
                await self._lose_leadership()
            return revision
        record = wire.convert(entry.data, wire.LeaderRecord)
        version = Version(entry.version)
        if record.controller != self.name:
            await self._follow_leader(ControllerName(record.controller), version)
        elif record.nonce in self.used_nonces:
            await self._claim_own_key(record.nonce, version)
        else:
            await self._delete_key_of_former_process(version)
        return revision

    async def _claim_own_key(self, nonce: str, version: Version) -> None:
        """Handle a leader key that a campaign of this process has written."""
        if self.fencing_token is not None:
            return
        if self.lease is not None and nonce == self.nonce:
            await self._become_leader(version)
        else:
            # It hangs on a lease that has been abandoned, or its campaign was committed late.
            self.leader, self.leader_version = None, version

    async def _delete_key_of_former_process(self, version: Version) -> None:
        """Handle a leader key that this controller has written before its restart.

        The former process's commands have a lower fencing token, and its transactions a condition
        that fails from now on. The others campaign first: they have received the former process's
        snapshot, which this one has not; and a controller that crashes and returns over and over,
        each time within its former lease, would otherwise keep the others from leading.
        """
        self.campaign_not_before = self.clock() + RESTARTED_LEADER_PAUSE_S
        log.info("restarted_leader_yields", rest_s=RESTARTED_LEADER_PAUSE_S)
        await self.store.commit(
            [(LEADER_KEY, version)],
            [transactions.delete(LEADER_KEY)],
            priority=transactions.URGENT,
        )
        self.leader, self.leader_version = None, Version(0)

    async def _follow_leader(self, leader: ControllerName, version: Version) -> None:
        """Handle a leader key that another controller has written."""
        if self.fencing_token is not None:
            await self._lose_leadership()
        if self.leader != leader:
            log.info("leader_changed", node=leader)
        self.leader, self.leader_version = leader, version

    async def _campaign(self) -> None:
        """Try to write the leader key, on a lease that is recent enough.

        Raises CompareAndSwapError if another controller was faster, and the other errors of
        `StateClient`.
        """
        max_age_s = self.lease_seconds * MAX_LEASE_AGE_TO_CAMPAIGN
        if self.lease is None or self.clock() > self.renewed_at + max_age_s:
            await self._renew()
        if self.lease is None:
            return
        nonce = self.nonce = f"{self.rng.getrandbits(64):016x}"
        self.used_nonces.add(nonce)
        self.term = 1
        leader_record = wire.LeaderRecord(self.name, nonce)
        try:
            revision = await self.store.commit(
                [(LEADER_KEY, self.leader_version)],
                [
                    transactions.put(LEADER_KEY, leader_record, self.lease),
                    transactions.put(self.record_key, self._controller_record()),
                ],
                priority=transactions.URGENT,
            )
        except state_client.LeaseExpiredError:
            if self.nonce == nonce:
                self._abandon_lease()
            return
        if self.nonce == nonce:  # else the key hangs on a lease that was abandoned meanwhile
            await self._become_leader(Version(revision))

    def _controller_record(self) -> wire.ControllerRecord:
        return wire.ControllerRecord(self.name, self.nonce, self.term, ALL_JOB_HASHES)
