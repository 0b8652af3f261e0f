"""Sends direct commands and probes to workers and reports the results to the leader loop."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from http import HTTPStatus

from umberward.core.grouped_log import GroupedLog
from umberward.core.log import logger
from umberward.core.types import Instant, MachineId, parse_address
from umberward.leader.clock import monotonic_now
from umberward.leader.leader_context import LeaderContext
from umberward.leader.messages import CommandCompleted, ProbeCompleted
from umberward.protocol import wire
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError
from umberward.protocol.message_sizes import exceeds_body_limit
from umberward.scheduling.cluster_state import CommandMessage, Probe
from umberward.scheduling.command_queue import CommandQueue

log = logger(__name__)
grouped_log = GroupedLog(log)

COMMAND_TIMEOUT_S = 2.0
PROBE_TIMEOUT_S = 1.0
OVERSIZED_COMMAND = "the command is above the limit on messages"
MAX_LOGGED_COMMANDS = 4  # task commands listed in a log line about one direct command

# A worker responds to a direct command with a heartbeat if it executed the command (200) or
# rejected its fencing token or incarnation (409).
HEARTBEAT_STATUSES = (HTTPStatus.OK, HTTPStatus.CONFLICT)
# After one of these statuses the outcome is known: of a malformed command (400) nothing was
# executed.
KNOWN_OUTCOME_STATUSES = (*HEARTBEAT_STATUSES, HTTPStatus.BAD_REQUEST)


class CommandSender:
    """Sends the scheduler's outbox, with at most one direct command in flight per machine."""

    def __init__(
        self,
        context: LeaderContext,
        client: Client,
        spawn: Callable[..., Awaitable[object]],
    ) -> None:
        """`spawn(function, *args)` starts a background task that is cancelled when the leader's
        term ends."""
        self.context = context
        self.client = client
        self.spawn = spawn
        self.queue = CommandQueue(context.scheduler, self.may_start)

    def may_start(self) -> bool:
        """Whether a task start may be scheduled or sent now."""
        return self.context.election.may_start(self.context.scheduler.jobs_read_requested_at)

    def jobs_read_age_s(self, now: Instant) -> float | None:
        """Seconds since the latest successful read of the jobs was requested; None: no read yet."""
        read_at = self.context.scheduler.jobs_read_requested_at
        return None if read_at is None else round(now - read_at, 2)

    async def send_outbox(self) -> None:
        """Take everything from the scheduler's outbox: start sending each item, or queue it."""
        scheduler = self.context.scheduler
        outbox, scheduler.outbox = scheduler.outbox, []
        for item in outbox:
            if isinstance(item, Probe):
                await self.spawn(self._send_probe, item)
            else:
                await self._spawn_command(self.queue.add_and_take_next(item))

    async def send_next(self, machine: MachineId) -> None:
        """Send the machine's next queued command, if any, as the one in flight has completed."""
        await self._spawn_command(self.queue.finish_and_take_next(machine))

    async def _spawn_command(self, command: CommandMessage | None) -> None:
        if command is not None:
            await self.spawn(self._send_command, command)

    async def _send_command(self, command: CommandMessage) -> None:
        sent_at = monotonic_now()
        log.debug(
            "command_sent",
            machine=command.machine,
            token=command.fencing_token,
            session=command.incarnation,
            orders=_describe_commands(command.commands),
            jobs_read_s=self.jobs_read_age_s(sent_at),
        )
        try:
            completed = await self._request(command)
        except RequestNotSentError:
            completed = CommandCompleted(command, None, outcome_unknown=False)
        except (NoResponseError, wire.MalformedMessageError, ValueError) as error:
            grouped_log.info(
                "command_timed_out",
                machine=command.machine,
                token=command.fencing_token,
                session=command.incarnation,
                after_s=round(monotonic_now() - sent_at, 1),
                orders=_describe_commands(command.commands),
                error=type(error).__name__,
            )
            completed = CommandCompleted(command, None, outcome_unknown=True)
        await self.context.leader_loop.tell(completed)

    async def _request(self, command: CommandMessage) -> CommandCompleted:
        """Send the command and convert the worker's response.

        Raises RequestNotSentError, NoResponseError, MalformedMessageError, or ValueError for an
        invalid address.
        """
        body = {
            "epoch": command.fencing_token,
            "tenure": command.incarnation,
            "orders": command.commands,
        }
        encoded = wire.encode(body)
        if exceeds_body_limit(encoded):
            # The command queue splits what is larger, so this is a bug.
            log.error("message_too_large", machine=command.machine, bytes=len(encoded))
            raise RequestNotSentError(OVERSIZED_COMMAND)
        response = await self.client.request(
            parse_address(command.address),
            "POST",
            "/do",
            encoded,
            COMMAND_TIMEOUT_S,
            may_send=self._send_condition(command),
        )
        heartbeat = None
        if response.status in HEARTBEAT_STATUSES:
            heartbeat = wire.decode_heartbeat(response.body)
        else:
            grouped_log.info(
                "command_rejected",
                machine=command.machine,
                status=response.status,
                json_bytes=wire.json_size(body),
                orders=_describe_commands(command.commands),
            )
        return CommandCompleted(
            command, heartbeat, outcome_unknown=response.status not in KNOWN_OUTCOME_STATUSES
        )

    def _send_condition(self, command: CommandMessage) -> Callable[[], bool]:
        """Return the check that must pass right before the command is sent.

        Without the lease, or long after the latest read of the jobs, nothing may be started, but
        running tasks may still be kept alive and stopped.
        """
        if any(order.verb == wire.START for order in command.commands):
            return self.may_start
        return self.context.election.may_remain_leader

    async def _send_probe(self, probe: Probe) -> None:
        heartbeat = None
        try:
            response = await self.client.request(
                parse_address(probe.address), "GET", "/status", b"", PROBE_TIMEOUT_S
            )
            if response.status == HTTPStatus.OK:
                heartbeat = wire.decode_heartbeat(response.body)
        except (RequestNotSentError, NoResponseError, wire.MalformedMessageError, ValueError):
            pass  # to the scheduler, every failure is a probe without a response
        await self.context.leader_loop.tell(ProbeCompleted(probe, heartbeat))


def _describe_commands(commands: list[wire.TaskCommand]) -> str:
    """Format the verb, task and attempt of the first few commands for a log line."""
    described = [
        f"{command.verb}:{command.task_id}#{command.attempt}"
        for command in commands[:MAX_LOGGED_COMMANDS]
    ]
    if len(commands) > MAX_LOGGED_COMMANDS:
        described.append(f"+{len(commands) - MAX_LOGGED_COMMANDS}")
    return ",".join(described)
