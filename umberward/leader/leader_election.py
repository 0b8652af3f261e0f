"""Leader election: a lease in the state service, the leader key on it, and the fencing token.

The leader is the controller named by `LEADER_KEY`. The key is attached to that controller's lease,
so the state service deletes it when the lease ends. The revision of the transaction that wrote the
key is the leader's first fencing token. Every write of a leader is conditional on the key's
version, so a former leader cannot write anything.
"""

from __future__ import annotations

import contextlib
import random
import time
from collections.abc import Awaitable, Callable

import curio

from umberward.clients import state_client
from umberward.clients.state_client import StateClient
from umberward.core.build_identity import UNKNOWN_BUILD
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
from umberward.scheduling.sessions.lease_bounds import LeaseBounds

log = logger(__name__)

LEADER_KEY = Key("leader")
CONTROLLER_KEY_PREFIX = "controllers/"
ALL_JOB_HASHES = (0, 65536)  # one leader leads all jobs; the stored record has a range of hashes

# A lease of 1 s by the state service's clock lasts at least this many seconds by this controller's.
LEASE_DRIFT_FACTOR = 0.999
LEASE_VALIDITY_MARGIN_S = 0.15  # the lease counts as expired this long before its assumed end
# If `renewal_window_s` is below this, the intervals between lease renewals and between reads of the
# jobs in normal operation use up all of it, so it allows no outage of the state service.
MIN_RENEWAL_WINDOW_S = 3.0

RENEWALS_PER_LEASE = 5
RENEWAL_JITTER = (0.9, 1.1)
RENEWAL_TIMEOUTS_PER_LEASE = 3  # a renewal times out after a third of the lease
MIN_RENEWAL_TIMEOUT_S = 0.5  # lower bound of that timeout
MAX_CAMPAIGN_LEASE_AGE_RATIO = 0.8  # of the lease's length; an older one is renewed first

LEADER_WATCH_MAX_DELAY_S = 10.0
# While there is no leader and this controller may not campaign yet.
FREE_KEY_WATCH_MAX_DELAY_S = 1.0
MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S = 0.2, 0.4
STEP_DOWN_CAMPAIGN_DELAY_LEASES = 2  # lease lengths without campaigning after stepping down
RESTARTED_LEADER_CAMPAIGN_DELAY_S = 1.0  # after a leader's restart only the others campaign


class LeaderElection:
    """Renews this controller's lease, follows the leader key and campaigns when it is free."""

    def __init__(
        self,
        settings: Settings,
        store: StateClient,
        rng: random.Random,
        on_elected: Callable[[FencingToken], Awaitable[None]],
        on_lost: Callable[[], Awaitable[None]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create an election that does nothing until `keep_lease` and `follow_leader_key` run.

        `on_elected(fencing_token)` is awaited when this controller becomes the leader, `on_lost()`
        when it ceases to be; `clock`: monotonic, in seconds.
        """
        platform = settings.platform
        self.name = ControllerName(platform.label)
        self.record_key = Key(f"{CONTROLLER_KEY_PREFIX}{platform.label}")
        self.build = UNKNOWN_BUILD  # of this process, set by its owner; for its stored record
        self.store = store
        self.lease_seconds = settings.operator.lease_seconds
        self.clock = clock
        self.bounds = LeaseBounds(platform.cluster.workers)
        self._warn_if_renewal_window_too_short(platform.cluster.workers)
        self.rng = rng
        self.on_elected = on_elected
        self.on_lost = on_lost
        self.used_nonces: set[str] = set()  # nonces of all campaigns of this process
        self.nonce = ""  # of the latest campaign; empty if its lease was abandoned
        self.tokens_in_term = 0  # the number of fencing tokens obtained in this term
        self.lease: LeaseId | None = None
        self.renewal_sent_at = Instant(0.0)  # when the latest successful renewal was sent
        # The highest token that this leader may use; None: not the leader.
        self.fencing_token: FencingToken | None = None
        self.leader: ControllerName | None = None  # None: unknown or none
        # The version of the leader key, and so also the leader's first fencing token.
        self.term = Version(0)
        self.campaign_not_before = 0.0
        # The leader key had this value at that time or later; None: it was never read. For the log.
        self.leader_read_at: Instant | None = None

    def _warn_if_renewal_window_too_short(self, workers: WorkerTimes) -> None:
        if self.bounds.renewal_window_s < MIN_RENEWAL_WINDOW_S:
            log.warning(
                "no_keepalive_without_state_service",
                reason="cluster.workers.cancel_s leaves none above cluster.workers.lease_s",
                cancel_s=workers.cancel_s,
                lease_s=workers.lease_s,
            )

    # ---- permissions -------------------------------------------------------------------

    def is_leader(self) -> bool:
        """Whether this controller leads and its lease is certainly valid.

        This is required for any write, and for any task start in addition to `may_start`.
        """
        return (
            self.fencing_token is not None
            and self.lease is not None
            and self.clock()
            < self.renewal_sent_at
            + self.lease_seconds * LEASE_DRIFT_FACTOR
            - LEASE_VALIDITY_MARGIN_S
        )

    def may_start(self, jobs_read_requested_at: Instant | None) -> bool:
        """Whether a task may be started.

        `jobs_read_requested_at`: time until which all confirmed cancellations are known; None: none
        are.
        """
        return self.is_leader() and self.bounds.may_start(
            jobs_read_requested_at, Instant(self.clock())
        )

    def may_remain_leader(self) -> bool:
        """Whether the leadership may continue without the state service.

        Commands that start nothing may then be sent, and heartbeats may be answered if
        `may_answer_heartbeat` allows it.
        """
        renewal_window_s = max(self.bounds.renewal_window_s, self.lease_seconds)
        return (
            self.fencing_token is not None
            and self.clock() < self.renewal_sent_at + renewal_window_s
        )

    def may_answer_heartbeat(self, jobs_read_requested_at: Instant | None) -> bool:
        """Whether a heartbeat may be answered, which renews the worker's session.

        `jobs_read_requested_at`: as for `may_start`. The check also applies to heartbeats that
        another controller has forwarded.
        """
        if self.fencing_token is None or jobs_read_requested_at is None:
            return False
        if self.bounds.renewal_window_s < MIN_RENEWAL_WINDOW_S and self.is_leader():
            return True  # otherwise every session would expire; a warning was logged at start
        return self.bounds.may_answer_heartbeat(
            jobs_read_requested_at, self.renewal_sent_at, Instant(self.clock())
        )

    def leader_known_at(self) -> Instant | None:
        """`leader` and `term` were those of the leader key at that time or later; None: unknown."""
        if self.fencing_token is None or self.leader_read_at is None:
            return self.leader_read_at
        return max(self.renewal_sent_at, self.leader_read_at)  # the key is attached to the lease

    def leadership_condition(self) -> tuple[Key, Version]:
        """Return the condition that makes a transaction valid only while this controller leads."""
        return LEADER_KEY, self.term

    # ---- leadership changes ------------------------------------------------------------

    async def rotate_token(self) -> FencingToken:
        """Get a higher fencing token, so that workers reject delayed commands with the old one.

        Must be called while this controller leads. Raises the errors of `StateClient.commit`.
        """
        assert self.fencing_token is not None
        self.tokens_in_term += 1
        revision = await self.store.commit(
            [self.leadership_condition()],
            [transactions.put(self.record_key, self.controller_record())],
        )
        self.commit_confirmed(FencingToken(revision))
        return FencingToken(revision)

    def commit_confirmed(self, revision: FencingToken) -> None:
        """Record that a transaction on the `leadership_condition` was committed."""
        if self.fencing_token is not None:
            self.fencing_token = max(self.fencing_token, revision)

    async def step_down(self, reason: str) -> None:
        """Give up the leadership so that another controller can win; no-op if it was lost already.

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
        self.campaign_not_before = (
            self.clock() + STEP_DOWN_CAMPAIGN_DELAY_LEASES * self.lease_seconds
        )

    async def step_down_if_superseded(self, seen_token: FencingToken) -> None:
        """Give up the leadership if a worker has seen a higher fencing token.

        It shows that another controller was elected, even if this one has not yet read that from
        the state service. Answering workers any longer would only withhold their tasks from the new
        leader.
        """
        if self.fencing_token is not None and seen_token > self.fencing_token:
            log.warning("leadership_superseded", token=self.fencing_token, seen=seen_token)
            await self._lose_leadership()

    async def _become_leader(self, version: Version) -> None:
        """Take the leadership. `version`: of the leader key, which this controller has written."""
        self.leader, self.term = self.name, version
        self.fencing_token = FencingToken(version)
        self.store.set_role(leading=True)
        log.info("leadership_acquired", term=version)
        await self.on_elected(self.fencing_token)

    async def _lose_leadership(self) -> None:
        self.fencing_token = None
        self._abandon_lease()
        self.store.set_role(leading=False)
        await self.on_lost()

    # ---- the lease ---------------------------------------------------------------------

    async def keep_lease(self) -> None:
        """Renew the lease several times per lease length, until cancelled."""
        while True:
            try:
                await self._renew()
            except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
                log.debug("lease_not_renewed", error=error)
            if self.fencing_token is not None and not self.may_remain_leader():
                await self._lose_leadership()
            await curio.sleep(
                self.lease_seconds / RENEWALS_PER_LEASE * self.rng.uniform(*RENEWAL_JITTER)
            )

    async def _renew(self) -> None:
        """Renew the lease, or request one if there is none.

        A response applies only to the lease named in its request. That lease may meanwhile have
        been abandoned, and another one granted for a campaign that attached the leader key to it.
        """
        sent_at = Instant(self.clock())
        lease = self.lease
        if lease is None:
            granted = await self.store.grant_lease(self.lease_seconds)
            if self.lease is None:
                self.lease, self.renewal_sent_at = granted, sent_at
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
            self.renewal_sent_at = max(self.renewal_sent_at, sent_at)

    def _abandon_lease(self) -> None:
        """Stop renewing the lease, and no longer accept a leader key attached to it as a win.

        Renewing it further could preserve a leader key whose owner does not lead. Accepting the key
        could rely on a read made before the key was deleted with its lease.
        """
        self.lease = None
        self.nonce = ""

    # ---- the leader key ----------------------------------------------------------------

    async def follow_leader_key(self) -> None:
        """Follow the leader key and campaign when it is free, until cancelled."""
        while True:
            try:
                await self._follow_once()
            except state_client.CompareAndSwapError:
                continue  # another controller has changed the key, so read it immediately
            except (
                state_client.StateUnavailableError,
                state_client.UnknownOutcomeError,
                state_client.RevisionCompactedError,
                state_client.LeaseExpiredError,
            ) as error:
                log.debug("election_step_failed", error=error)
                await curio.sleep(self.rng.uniform(MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S))

    async def _follow_once(self) -> None:
        """Read the leader key, then campaign or wait for a change of the key."""
        revision = await self._read_leader()
        while True:
            if self.leader is None and self.clock() >= self.campaign_not_before:
                await self._campaign()
                return
            max_delay_s = (
                FREE_KEY_WATCH_MAX_DELAY_S if self.leader is None else LEADER_WATCH_MAX_DELAY_S
            )
            sent_at = self.clock()
            changes, revision = await self.store.watch(LEADER_KEY, revision, max_delay_s)
            if any(LEADER_KEY in (change.put_key, change.deleted_key) for change in changes):
                return
            # Without changes, the service has waited for the whole delay before it responded.
            unchanged_at = sent_at if changes else min(sent_at + max_delay_s, self.clock())
            self.leader_read_at = Instant(unchanged_at)

    async def _read_leader(self) -> Revision:
        """Read the leader key and handle its value. Returns the revision of the read."""
        sent_at = Instant(self.clock())
        entries, revision = await self.store.list_all(LEADER_KEY)
        self.leader_read_at = sent_at
        entry = next((entry for entry in entries if entry.key == LEADER_KEY), None)
        if entry is None:
            self.leader, self.term = None, Version(0)
            if self.fencing_token is not None:
                await self._lose_leadership()
            return revision
        record = wire.convert(entry.data, wire.LeaderRecord)
        version = Version(entry.version)
        if record.controller != self.name:
            await self._follow_leader(ControllerName(record.controller), version)
        elif record.nonce in self.used_nonces:
            await self._handle_own_key(record.nonce, version)
        else:
            await self._delete_key_of_former_process(version)
        return revision

    async def _handle_own_key(self, nonce: str, version: Version) -> None:
        """Handle a leader key written by a campaign of this process."""
        if self.fencing_token is not None:
            return
        if self.lease is not None and nonce == self.nonce:
            await self._become_leader(version)
        else:
            # It is attached to an abandoned lease, or its campaign was committed late. Treat it as
            # free: the next campaign replaces this version.
            self.leader, self.term = None, version

    async def _delete_key_of_former_process(self, version: Version) -> None:
        """Handle a leader key that this controller wrote before its restart.

        From now on the former process's commands have an outdated fencing token, and the condition
        of its transactions fails. The other controllers may campaign first: unlike this process,
        they have the former one's snapshot. Without this delay, a controller that repeatedly
        crashes and restarts within its former lease would also prevent the others from leading.
        """
        self.campaign_not_before = self.clock() + RESTARTED_LEADER_CAMPAIGN_DELAY_S
        log.info("restarted_leader_yields", rest_s=RESTARTED_LEADER_CAMPAIGN_DELAY_S)
        await self.store.commit(
            [(LEADER_KEY, version)],
            [transactions.delete(LEADER_KEY)],
            priority=transactions.URGENT,
        )
        self.leader, self.term = None, Version(0)

    async def _follow_leader(self, leader: ControllerName, version: Version) -> None:
        """Handle a leader key written by another controller."""
        if self.fencing_token is not None:
            await self._lose_leadership()
        if self.leader != leader:
            log.info("leader_changed", node=leader, term=version)
        self.leader, self.term = leader, version

    async def _campaign(self) -> None:
        """Try to write the leader key, attached to a sufficiently recent lease.

        Raises CompareAndSwapError if another controller has written the key first, and the other
        errors of `StateClient`.
        """
        max_age_s = self.lease_seconds * MAX_CAMPAIGN_LEASE_AGE_RATIO
        if self.lease is None or self.clock() > self.renewal_sent_at + max_age_s:
            await self._renew()
        if self.lease is None:
            return
        sent_at = Instant(self.clock())
        nonce = self.nonce = f"{self.rng.getrandbits(64):016x}"
        self.used_nonces.add(nonce)
        self.tokens_in_term = 1
        leader_record = wire.LeaderRecord(self.name, nonce)
        try:
            revision = await self.store.commit(
                [(LEADER_KEY, self.term)],
                [
                    transactions.put(LEADER_KEY, leader_record, self.lease),
                    transactions.put(self.record_key, self.controller_record()),
                ],
                priority=transactions.URGENT,
            )
        except state_client.LeaseExpiredError:
            if self.nonce == nonce:
                self._abandon_lease()
            return
        if self.nonce == nonce:  # otherwise the key's lease has been abandoned meanwhile
            self.leader_read_at = sent_at
            await self._become_leader(Version(revision))

    def controller_record(self) -> wire.ControllerRecord:
        """This controller's record, to be stored under `record_key`."""
        return wire.ControllerRecord(
            self.name, self.nonce, self.tokens_in_term, ALL_JOB_HASHES, self.build
        )
