"""Commits the scheduler's transactions to the state service."""

from __future__ import annotations

import curio

from umberward.clients import state_client
from umberward.core.log import logger
from umberward.core.types import FencingToken, Version
from umberward.leader.clock import monotonic_now
from umberward.leader.leader_context import LeaderContext
from umberward.leader.messages import TransactionCompleted
from umberward.protocol import transactions
from umberward.scheduling.state_writer import Transaction

log = logger(__name__)

WRITE_CHECK_INTERVAL_S = 0.5  # between two checks for due writes if `request_write` is not called
# A write rejected for its content would be rejected again, so its retry is delayed longer.
REJECTED_WRITE_RETRY_DELAY_S = 2.0
MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S = 0.05, 0.15
# How long a transaction may wait for the write budget. Less urgent ones do not wait, as they would
# delay urgent writes that become due meanwhile.
URGENT_BUDGET_WAIT_S = 2.0
NON_URGENT_BUDGET_WAIT_S = 0.0


class TransactionWriter:
    """Commits one transaction at a time, each on the condition that this controller leads.

    The scheduler is notified of results directly, not through messages to the leader loop, as it
    must know them before it creates the next transaction.
    """

    def __init__(self, context: LeaderContext) -> None:
        """Create a writer that writes nothing until `run` is called."""
        self.context = context
        self._requested = curio.Event()

    async def request_write(self) -> None:
        """Wake up the writer, as the scheduler has something to write."""
        await self._requested.set()

    async def run(self) -> None:
        """Commit due transactions until cancelled."""
        while True:
            await curio.ignore_after(WRITE_CHECK_INTERVAL_S, self._requested.wait)
            self._requested.clear()
            while self.context.election.is_leader():
                transaction = self.context.scheduler.state_writer.next_transaction(monotonic_now())
                if transaction is None:
                    break
                if not await self._commit(transaction):
                    await curio.sleep(
                        self.context.rng.uniform(MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S)
                    )
                await self.context.leader_loop.tell(TransactionCompleted())

    async def _commit(self, transaction: Transaction) -> bool:
        """Commit the transaction; returns whether it was certainly committed."""
        conditions = [self.context.election.leadership_condition(), *transaction.conditions]
        urgent = transaction.priority == transactions.URGENT
        try:
            revision = await self.context.store.commit(
                conditions,
                transaction.writes,
                priority=transaction.priority,
                budget_wait_s=URGENT_BUDGET_WAIT_S if urgent else NON_URGENT_BUDGET_WAIT_S,
            )
        except state_client.TransactionRejectedError:
            await curio.sleep(REJECTED_WRITE_RETRY_DELAY_S)
            return False
        except state_client.StateUnavailableError as error:
            log.debug("commit_failed", error=error)
            return False
        except (
            state_client.CompareAndSwapError,
            state_client.UnknownOutcomeError,
            state_client.LeaseExpiredError,
        ):
            await self._reconcile(transaction)
            return False
        self.context.election.commit_confirmed(FencingToken(revision))
        self.context.scheduler.transaction_committed(
            transaction, Version(revision), monotonic_now()
        )
        return True

    async def _reconcile(self, transaction: Transaction) -> None:
        """Read each key of the transaction again and adopt its value, whoever wrote it."""
        for key, _ in transaction.conditions:
            if not self.context.election.is_leader():
                return
            try:
                stored = await self.context.store.get(key, transactions.URGENT)
            except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
                log.debug("read_failed", key=key, error=error)
                return
            self.context.scheduler.reconcile_key(key, stored)
