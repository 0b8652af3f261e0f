"""Objects shared by the background tasks of one leader's term."""

from __future__ import annotations

import random
from dataclasses import dataclass

from umberward.clients.state_client import StateClient
from umberward.core.actor import Actor
from umberward.leader.leader_election import LeaderElection
from umberward.leader.messages import LeaderMessage
from umberward.scheduling.scheduler import Scheduler


@dataclass(frozen=True, slots=True)
class LeaderContext:
    """The objects that nearly every background task of the leader loop uses.

    These tasks change the scheduler through messages to `leader_loop`, so that a scheduling pass
    and its effects follow; a comment explains each direct call. All of them run in one thread and
    switch only at an `await`, so a call of the scheduler is atomic.
    """

    election: LeaderElection
    store: StateClient
    scheduler: Scheduler
    leader_loop: Actor[LeaderMessage]
    rng: random.Random

    def is_loaded_leader(self) -> bool:
        """Whether the jobs have been loaded and the lease is valid."""
        return self.scheduler.loaded and self.election.is_leader()
