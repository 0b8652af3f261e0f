"""Actors: objects that handle one message at a time, so that their state needs no locks.

An actor has a mailbox and handles its messages in the order of arrival. `Actor.tell` sends a
message; `Actor.ask` sends a `Request` and waits for the response.
"""

from __future__ import annotations

from typing import Any, Generic, TypeVar

import curio
import msgspec

from umberward.core.log import logger

log = logger(__name__)

MessageT = TypeVar("MessageT")
ResponseT = TypeVar("ResponseT")


class Request(msgspec.Struct, Generic[ResponseT], frozen=True):
    """Base class of messages whose response is a `ResponseT`."""


class PendingRequest:
    """A queued request whose sender waits for the response.

    The response's type depends on the request and is not checked here; see `Actor.ask`.
    """

    __slots__ = ("_done", "message", "response")

    def __init__(self, message: object) -> None:
        """Wrap `message`, which the receiver will handle."""
        self.message = message
        self.response: Any = None
        self._done = curio.Event()

    async def respond(self, response: object) -> None:
        """Set the response and wake up the sender. Must be called only once."""
        self.response = response
        await self._done.set()

    async def wait(self) -> Any:  # noqa: ANN401 - depends on the message
        """Wait for the response and return it."""
        await self._done.wait()
        return self.response


class Actor(Generic[MessageT]):
    """Handles one message at a time.

    `handle` may spawn tasks but must not wait for I/O or other actors, as no other message is
    handled until it returns. If it raises, the error is logged and the actor continues with the
    next message.
    """

    def __init__(self) -> None:
        """Create an actor that handles nothing until `run` is called."""
        self.mailbox: curio.Queue = curio.Queue()
        self.running = False
        self.ended = False
        self.handling = False

    async def tell(self, message: MessageT) -> None:
        """Put the message into the mailbox without waiting for its handling."""
        await self.mailbox.put(message)

    async def ask(self, request: Request[ResponseT]) -> ResponseT | None:
        """Send the request and return its response.

        Returns None if the actor has ended, ends before it responds, or fails to handle the
        request.
        """
        if self.ended:
            return None
        if self.running and not self.handling and self.mailbox.empty():
            # With no message queued before it, handle the request directly in the sender's task.
            # This saves two task switches, which cost more than handling a heartbeat. Nearly all
            # heartbeats of a large fleet take this path.
            return await self._handle_or_log(request)  # type: ignore[no-any-return]
        pending_request = PendingRequest(request)
        await self.mailbox.put(pending_request)
        return await pending_request.wait()  # type: ignore[no-any-return]

    async def run(self) -> None:
        """Handle messages until cancelled, then respond to all queued requests with None."""
        self.running, self.ended = True, False
        try:
            while True:
                message = await self.mailbox.get()
                if isinstance(message, PendingRequest):
                    await message.respond(await self._handle_or_log(message.message))
                else:
                    await self._handle_or_log(message)
        finally:
            self.running, self.ended = False, True
            # Otherwise their senders would wait forever.
            while not self.mailbox.empty():
                message = await self.mailbox.get()
                if isinstance(message, PendingRequest):
                    await message.respond(None)

    async def _handle_or_log(self, message: Any) -> Any:  # noqa: ANN401 - see PendingRequest
        """Return the handler's result; if it raises, log the error and return None."""
        self.handling = True
        try:
            return await self.handle(message)
        except curio.CancelledError:
            raise
        except Exception:
            log.exception("message_handler_failed", message=type(message).__name__)
            return None
        finally:
            self.handling = False

    async def handle(self, message: MessageT) -> object:
        """Handle one message. Returns the response if the message is a `Request`."""
        raise NotImplementedError
