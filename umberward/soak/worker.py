"""A worker of a soak: it records what its tasks do, and its links can fail."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import curio

from umberward.core.tasks import TaskScope
from umberward.core.types import Address
from umberward.local.links import Links
from umberward.local.task_attempts import TaskAttempt
from umberward.local.workercore import WorkerCore
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError, Response
from umberward.soak import history
from umberward.soak.history import Event


class SoakWorker(WorkerCore):
    """A worker that records task starts and ends; no task advances while the machine hangs."""

    record: Callable[[Event], None]
    clock: Callable[[], float]
    sent_at = 0.0  # when the command being carried out was sent
    sent_by = ""  # the build of the controller that sent it
    still = False  # whether the machine hangs

    def tick(self, now: float) -> None:
        """Advance the tasks; while the machine hangs, only its lease can expire."""
        if not self.still:
            super().tick(now)
            return
        self.now = now
        if self.running_tasks and now - self.lease_renewed_at > self.times.lease_s:
            self.record(history.SessionOver(self.clock(), self.host))

    def start(self, name: str, attempt: int) -> None:
        """Start an attempt and record it unless it was refused."""
        running_before = set(self.running_tasks)
        now = self.clock()
        super().start(name, attempt)
        task = self.tasks[(name, attempt)]
        if name in running_before or task.cause in ("no_such", "in_use", "no_room"):
            return
        self.record(
            history.TaskStarted(
                now, self.host, self.incarnation, name, attempt, self.sent_at, self.sent_by
            )
        )
        if task.has_ended:
            self.record(history.TaskEnded(now, self.host, name, attempt, str(task.cause)))

    def _exit(self, task: TaskAttempt, cause: str, stored: bool | None = None) -> None:  # noqa: FBT001 - as in the base
        super()._exit(task, cause, stored)
        self.record(history.TaskEnded(self.clock(), self.host, task.name, task.attempt, cause))

    def end_session(self) -> None:
        """End all tasks and record it."""
        super().end_session()
        self.record(history.SessionOver(self.clock(), self.host))


class FaultInjectingClient:
    """The HTTP client of a worker, whose links can fail."""

    def __init__(
        self,
        client: Client,
        links: Links,
        core: SoakWorker,
        names: dict[Address, str],
        message_tasks: TaskScope,
        build_of: Callable[[str], str],
    ) -> None:
        """`message_tasks` owns messages in flight, which may arrive after the request timed out.

        `build_of` returns the build that a controller runs now.
        """
        self.client = client
        self.links = links
        self.core = core
        self.host = core.host
        self.names = names
        self.message_tasks = message_tasks
        self.build_of = build_of

    async def request(
        self, address: Address, method: str, target: str, body: bytes, timeout: float
    ) -> Response:
        """Send a request as `Client.request` does, over a link that can lose or delay it.

        Raises RequestNotSentError or NoResponseError. A delayed request still arrives.
        """
        responses: list[Response] = []
        failed: list[RequestNotSentError] = []
        responded_at: list[float] = []  # when the controller had responded
        responded_by: list[str] = []  # its build
        settled = curio.Event()

        async def deliver() -> Response | None:
            try:
                response = await self.client.request(address, method, target, body, timeout)
            except RequestNotSentError as error:
                failed.append(error)
                await settled.set()
                return None
            except NoResponseError:
                return None
            responded_at.append(self.core.clock())
            responded_by.append(self.build_of(self.names[address]))
            return response

        async def send_over_link() -> None:
            response = await self.links.exchange(self.host, self.names[address], target, deliver)
            if response is not None:
                responses.append(response)
                await settled.set()

        async def send_duplicate(after_s: float) -> None:
            await curio.sleep(after_s)
            with contextlib.suppress(RequestNotSentError, NoResponseError):
                await self.client.request(address, method, target, body, timeout)

        await self.message_tasks.spawn(send_over_link)
        duplicate_after_s = self.links.duplicate_delay_s(self.host, self.names[address], target)
        if duplicate_after_s is not None:
            await self.message_tasks.spawn(send_duplicate, duplicate_after_s)
        await curio.ignore_after(timeout, settled.wait)
        if responses:
            self.core.sent_at = responded_at[0]  # the worker handles the response at once
            self.core.sent_by = responded_by[0]
            return responses[0]
        raise failed[0] if failed else NoResponseError(f"{method} {address}: no response")
