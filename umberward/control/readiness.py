"""Determines whether this controller can serve users and can reach the state service."""

from __future__ import annotations

from collections.abc import Callable, Sized

from umberward.control.job_state_cache import JobStateCache
from umberward.control.peer_contacts import STATE_CONTACT_TIMEOUT_S, PeerContacts
from umberward.core.log import logger
from umberward.leader.leader_election import LeaderElection

log = logger(__name__)


class Readiness:
    """Answers the readiness probe of a load balancer."""

    def __init__(
        self,
        election: LeaderElection,
        job_states: JobStateCache,
        peer_contacts: PeerContacts,
        machine_types: Sized,
        clock: Callable[[], float],
    ) -> None:
        """Create the readiness check of one controller.

        `clock` is the monotonic clock, in seconds, that the other parts use as well.
        """
        self.election = election
        self.job_states = job_states
        self.peer_contacts = peer_contacts
        self.machine_types = machine_types
        self.clock = clock
        self.isolation_logged = False

    def is_ready(self) -> bool:
        """Whether users should be sent to this controller.

        It is not ready while it has no machine types, or while it has no contact with the state
        service but other controllers do. In an outage of the state service no controller has
        contact: all stay ready, and tell their users about the outage.
        """
        if not self.machine_types:
            return False
        state_contact_age_s = self.clock() - self.election.renewal_sent_at
        has_contact = state_contact_age_s < STATE_CONTACT_TIMEOUT_S
        is_isolated = not has_contact and self.peer_contacts.is_isolated()
        self._log_isolation(state_contact_age_s, is_isolated=is_isolated)
        if has_contact:
            return True
        return not (is_isolated or self.peer_contacts.peers_have_state_contact())

    def _log_isolation(self, state_contact_age_s: float, *, is_isolated: bool) -> None:
        """Log the beginning and the end of an isolation of this controller."""
        if is_isolated == self.isolation_logged:
            return
        self.isolation_logged = is_isolated
        log.warning(
            "controller_isolated" if is_isolated else "controller_not_isolated",
            without_state_s=round(state_contact_age_s, 1),
        )

    def is_state_reachable(self) -> bool:
        """Whether the state service has answered a recently sent lease renewal or refresh.

        Contact in `is_ready` and in `PeerContacts` means lease renewals only.
        """
        last_contact_at = max(self.election.renewal_sent_at, self.job_states.refresh_sent_at)
        return self.clock() - last_contact_at < STATE_CONTACT_TIMEOUT_S
