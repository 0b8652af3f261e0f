"""The fencing tokens of a leader's term, of which each machine has one of its own. No I/O.

Each transaction of a leader is conditional on its leader key, so no other leader was elected before
that transaction's revision: it is a valid token without a write of its own. docs/commands.md has
the argument.
"""

from __future__ import annotations

from umberward.core.types import Attempt, FencingToken, TaskId
from umberward.scheduling.machines import Machine


class FencingTokens:
    """The tokens that a leader may use, from its first one up to the newest that is known."""

    def __init__(self, initial: FencingToken) -> None:
        """`initial`: the revision at which the leader was elected."""
        self.initial = initial
        self.newest = initial
        self.announced = initial  # the newest one that other controllers were told

    def commit_confirmed(self, revision: FencingToken) -> None:
        """Record that a transaction on the condition of this leadership was committed."""
        self.newest = max(self.newest, revision)

    def announce(self) -> FencingToken:
        """Return the newest token, to be told to controllers that may answer in this one's place.

        They answer no worker that has seen a higher one, as it could be that of a later leader.
        """
        self.announced = self.newest
        return self.newest

    def void_starts(self, machine: Machine, task_id: TaskId, attempt: Attempt) -> bool:
        """Make the worker refuse each direct start of the attempt, with the next response to it.

        Raises the machine's token if it has to and can, if possible to one that was announced;
        returns whether it is high enough. It can't if no higher token is known. It does not while a
        start awaits its response, which the worker would refuse under a lower token.
        """
        starts = machine.inflight_starts
        if starts.is_void_under(task_id, attempt, machine.fencing_token):
            return True
        if starts.awaits_response:
            return False
        for token in (self.announced, self.newest):
            if starts.is_void_under(task_id, attempt, token):
                machine.fencing_token = max(machine.fencing_token, token)
                return True
        return False
