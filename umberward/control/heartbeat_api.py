"""Answers the heartbeats of workers, at every controller.

PROTOCOL, "Workers -> controller nodes", defines the request. A controller that is not the leader
redirects the worker to the leader, or forwards the heartbeat if the worker can't reach the leader.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from umberward.control.peer_link import PeerLink
from umberward.control.responses import error_response
from umberward.core.log import logger
from umberward.core.types import ControllerName, Instant, MachineId
from umberward.leader.leader_election import LeaderElection
from umberward.leader.leader_loop import LeaderLoop
from umberward.protocol import wire
from umberward.protocol.http import Connection, Request, Response
from umberward.protocol.message_sizes import exceeds_body_limit
from umberward.scheduling.heartbeat_forwarding import DuplicateFilter, HeartbeatForwarding

log = logger(__name__)


class LocalLeader(Protocol):
    """Access to the event loop of this controller's leader, if it leads."""

    @property
    def leader_loop(self) -> LeaderLoop | None:
        """The leader's event loop; None while this controller is not the leader."""

    def apply_heartbeat(
        self, header: wire.HeartbeatHeader, body: bytes
    ) -> Awaitable[list[wire.TaskCommand] | None]:
        """The commands for the worker; None if leadership ends before they are known."""


class HeartbeatResponse(
    msgspec.Struct, rename={"fencing_token": "epoch", "commands": "orders"}, frozen=True
):
    """Body of a response that renews the worker's session."""

    fencing_token: int
    commands: list[wire.TaskCommand]


class RedirectResponse(msgspec.Struct, rename={"leader": "steward"}, frozen=True):
    """Body of a response that redirects the worker to the leader."""

    leader: ControllerName


class HeartbeatApi:
    """Serves heartbeats sent by workers or forwarded by other controllers."""

    def __init__(
        self,
        local_leader: LocalLeader,
        election: LeaderElection,
        peers: PeerLink,
        set_client_name: Callable[[Connection, str], Awaitable[None]],
        clock: Callable[[], float],
    ) -> None:
        """Create the handler of one controller.

        `set_client_name` tells the HTTP server the id of the machine that has opened a connection.
        `clock` is a monotonic clock, in seconds.
        """
        self.local_leader = local_leader
        self.election = election
        self.peers = peers
        self.set_client_name = set_client_name
        self.clock = clock
        self.forwarding = HeartbeatForwarding()
        self.duplicate_filter = DuplicateFilter()

    async def serve(self, request: Request) -> Response:
        """Answer a heartbeat that a worker has sent to this controller."""
        try:
            header = wire.decode_heartbeat_header(request.body)
        except wire.MalformedMessageError as error:
            return error_response(400, str(error))
        machine_id = MachineId(header.machine_id)
        is_new = self.duplicate_filter.record_if_new(
            machine_id, header.incarnation, header.sequence
        )
        if is_new:
            # A delayed duplicate does not show that the worker is connected here or currently sends
            # its heartbeats to this controller.
            if request.connection is not None:
                await self.set_client_name(request.connection, header.machine_id)
            self.peers.contacts.record_heartbeat()
        response = await self._answer_as_leader(header, request.body)
        if response is not None:
            return response
        if self.local_leader.leader_loop is None and self.peers.delegation.may_answer_worker(
            machine_id, header.fencing_token
        ):
            # The leader and the state service are unreachable, as when the zone is cut off.
            return _session_response(header.fencing_token, [])
        leader = self.peers.contacts.leader_for(header.fencing_token) if is_new else None
        if leader is None:
            return _try_another_response()
        return await self._forward_or_redirect(machine_id, leader, request.body)

    async def serve_forwarded(self, body: bytes) -> Response:
        """Answer a heartbeat that another controller has forwarded."""
        try:
            header = wire.decode_heartbeat_header(body)
        except wire.MalformedMessageError as error:
            return error_response(400, str(error))
        return await self._answer_as_leader(header, body) or _try_another_response()

    async def _forward_or_redirect(
        self, machine_id: MachineId, leader: ControllerName, body: bytes
    ) -> Response:
        """The leader's response if the worker can't reach the leader itself, else a redirect."""
        now = Instant(self.clock())
        if self.forwarding.decide_forwarding(machine_id, leader, now):
            response = await self.peers.forwarder.forward(leader, body)
            if response is not None:
                return response
            self.forwarding.forward_failed(machine_id, leader, now)
        return Response(421, wire.encode(RedirectResponse(leader)))

    async def _answer_as_leader(self, header: wire.HeartbeatHeader, body: bytes) -> Response | None:
        """The response as the leader, with or without a valid lease; None if it may not answer."""
        leader_loop = self.local_leader.leader_loop
        if leader_loop is None:
            return None
        scheduler = leader_loop.scheduler
        if not self.election.may_answer_heartbeat(scheduler.jobs_read_requested_at):
            return None
        commands = await self.local_leader.apply_heartbeat(header, body)
        # Leadership may have ended while the heartbeat was queued.
        if commands is None or not self.election.may_answer_heartbeat(
            scheduler.jobs_read_requested_at
        ):
            return None
        if not self.election.is_leader():
            if not scheduler.may_keep_session(MachineId(header.machine_id)):
                return None
            # Without a valid lease no task may be started; running tasks continue.
            commands = [command for command in commands if command.verb == wire.KILL]
        elif not self.election.may_start(scheduler.jobs_read_requested_at):
            commands = [command for command in commands if command.verb != wire.START]
        token = scheduler.fencing_token_for(MachineId(header.machine_id))
        return _session_response(token, commands)


def _session_response(fencing_token: int, commands: list[wire.TaskCommand]) -> Response:
    body = wire.encode(HeartbeatResponse(fencing_token, commands))
    if exceeds_body_limit(body):
        # The leader selects commands that fit, so this is a bug. The worker would drop the
        # response, and its lease would expire.
        log.error("message_too_large", commands=len(commands), bytes=len(body))
        body = wire.encode(HeartbeatResponse(fencing_token, []))
    return Response(200, body)


def _try_another_response() -> Response:
    """Tell the worker to try another controller."""
    return Response(421, wire.encode({}))
