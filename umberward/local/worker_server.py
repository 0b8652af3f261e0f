"""A worker as an HTTP server and client on the loopback; its behaviour is in `workercore`."""

from __future__ import annotations

import random
import time
from http import HTTPStatus

import curio
import msgspec

from umberward.core.types import Address, parse_address
from umberward.local.http_requests import BodyTooLargeError, decode_body, error_response
from umberward.local.workercore import WorkerCore
from umberward.protocol import wire
from umberward.protocol.http import (
    Client,
    NoResponseError,
    Request,
    RequestNotSentError,
    Response,
    Server,
)
from umberward.protocol.message_sizes import exceeds_body_limit

WORKER_SOCKETS = 16
HEARTBEAT_INTERVAL_SPREAD = 0.25  # the interval varies by up to this fraction, both ways
MIN_HEARTBEAT_GAP_S = 0.5  # between two heartbeats, even if there are changes to report
HEARTBEAT_TIMEOUT_S = 4.0
RETRY_NEXT_CONTROLLER_S = 1.0
OVERSIZED_HEARTBEAT = "the heartbeat is too large"
OVERSIZED_RESPONSE = "the response is too large"
CHANGE_POLL_S = 0.05  # how often a worker checks for changes to report


class WorkerServer:
    """One machine's worker: sends heartbeats to one controller and accepts direct commands."""

    def __init__(
        self,
        core: WorkerCore,
        controller_addresses: dict[str, Address],
        report_s: float,
        client: Client,
        rng: random.Random,
    ) -> None:
        """`controller_addresses`: by controller name; `report_s`: mean heartbeat interval."""
        self.core = core
        self.controller_addresses = controller_addresses
        self.report_s = report_s
        self.client = client
        self.rng = rng
        # The controller that gets the heartbeats.
        self.node = rng.choice(sorted(controller_addresses))
        self.server = Server(parse_address(core.address), self._serve, WORKER_SOCKETS)

    async def run(self) -> None:
        """Serve commands and send heartbeats until cancelled."""
        async with curio.TaskGroup() as group:
            await group.spawn(self.server.run)
            await group.spawn(self._send_heartbeats)

    async def _serve(self, request: Request) -> Response:
        core = self.core
        if (request.method, request.path) == ("GET", "/status"):
            return Response(HTTPStatus.OK, wire.encode(core.report()))
        if (request.method, request.path) != ("POST", "/do"):
            return Response(HTTPStatus.NOT_FOUND)
        try:
            body = msgspec.convert(decode_body(request), _CommandRequest)
        except BodyTooLargeError as error:
            return error_response(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, str(error))
        except (msgspec.DecodeError, msgspec.ValidationError, TypeError) as error:
            return error_response(HTTPStatus.BAD_REQUEST, str(error))
        executed = core.handle_direct_commands(body.fencing_token, body.incarnation, body.commands)
        status = HTTPStatus.OK if executed else HTTPStatus.CONFLICT
        return Response(status, wire.encode(core.report()))

    async def _send_heartbeats(self) -> None:
        """Send a heartbeat in each interval, and one soon after each change."""
        reported_changes = 0
        last_sent_at = 0.0
        while True:
            due_at = time.monotonic() + self.report_s * self.rng.uniform(
                1 - HEARTBEAT_INTERVAL_SPREAD, 1 + HEARTBEAT_INTERVAL_SPREAD
            )
            while time.monotonic() < due_at and (
                self.core.changes == reported_changes
                or time.monotonic() < last_sent_at + MIN_HEARTBEAT_GAP_S
            ):
                await curio.sleep(CHANGE_POLL_S)
            reported_changes, last_sent_at = self.core.changes, time.monotonic()
            await self._send_heartbeat()

    async def _send_heartbeat(self) -> None:
        """Send a heartbeat; if it fails, switch to another controller for the next one.

        That is the leader, if the controller's response names it, and otherwise the next controller
        by name, after a pause.
        """
        incarnation, sent_at = self.core.incarnation, time.monotonic()
        leader = None
        try:
            response = await self._request_within_limit(wire.encode(self.core.report()))
            if response.status == HTTPStatus.OK:
                body = msgspec.msgpack.decode(response.body, type=_HeartbeatResponse)
                self.core.handle_heartbeat_response(
                    sent_at, incarnation, body.fencing_token, body.commands
                )
                return
            if response.status == HTTPStatus.MISDIRECTED_REQUEST:
                leader = msgspec.msgpack.decode(response.body, type=_LeaderHint).leader
        except (RequestNotSentError, NoResponseError, msgspec.DecodeError):
            pass
        await self._switch_controller(leader)

    async def _request_within_limit(self, heartbeat: bytes) -> Response:
        """Send a heartbeat and return the response.

        A heartbeat above the limit of the protocol is not sent, and such a response is dropped.
        Raises RequestNotSentError or NoResponseError.
        """
        if exceeds_body_limit(heartbeat):
            raise RequestNotSentError(OVERSIZED_HEARTBEAT)
        response = await self.client.request(
            self.controller_addresses[self.node], "POST", "/hello", heartbeat, HEARTBEAT_TIMEOUT_S
        )
        if exceeds_body_limit(response.body):
            raise NoResponseError(OVERSIZED_RESPONSE)
        return response

    async def _switch_controller(self, leader: str | None) -> None:
        if leader is not None and leader in self.controller_addresses and leader != self.node:
            self.node = leader
            return
        names = sorted(self.controller_addresses)
        self.node = names[(names.index(self.node) + 1) % len(names)]
        await curio.sleep(RETRY_NEXT_CONTROLLER_S)


class _CommandRequest(
    msgspec.Struct,
    rename={"fencing_token": "epoch", "incarnation": "tenure", "commands": "orders"},
):
    fencing_token: int
    incarnation: int
    commands: list[wire.TaskCommand]


class _HeartbeatResponse(msgspec.Struct, rename={"fencing_token": "epoch", "commands": "orders"}):
    fencing_token: int = -1  # lower than any valid token: a response without one is dropped
    commands: list[wire.TaskCommand] = []


class _LeaderHint(msgspec.Struct, rename={"leader": "steward"}):
    leader: str | None = None
