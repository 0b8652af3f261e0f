"""Actors: objects whose state only one message at a time may read or change.

Each actor has a mailbox and handles its messages in the order of their arrival. `Actor.tell` sends
a message, `Actor.ask` sends a `Request` and waits for its answer.
"""

from __future__ import annotations

from typing import Any, Generic, TypeVar

import curio
import msgspec

from umberward.core.log import logger

log = logger(__name__)

MessageT = TypeVar("MessageT")
AnswerT = TypeVar("AnswerT")


class Request(msgspec.Struct, Generic[AnswerT], frozen=True):
    """Base of the messages that are answered with an `AnswerT`."""


class Question:
    """A message in a mailbox whose sender waits for the answer.

    The answer's type depends on the message, so it is not checked here: see `Actor.ask`.
    """

    __slots__ = ("_done", "answer", "message")

    def __init__(self, message: object) -> None:
        """Wrap `message`, which is what the receiver handles."""
        self.message = message
        self.answer: Any = None
        self._done = curio.Event()

    async def reply(self, answer: object) -> None:
        """Give the answer and wake the sender. To be called once."""
        self.answer = answer
        await self._done.set()

    async def wait(self) -> Any:  # noqa: ANN401 - depends on the message
        """Return the answer once it has been given."""
        await self._done.wait()
        return self.answer


class Actor(Generic[MessageT]):
    """Handles one message at a time.

    `handle` may spawn tasks, and must not wait for anything: until it returns, no other message is
    handled. A message whose handler raises is logged, and the actor goes on with the next one.
    """

    def __init__(self) -> None:
        """Create an actor that handles nothing until `run` is called."""
        self.mailbox: curio.Queue = curio.Queue()
        self.running = False
        self.ended = False
        self.handling = False

    async def tell(self, message: MessageT) -> None:
        """Put the message into the mailbox, without waiting until it is handled."""
        await self.mailbox.put(message)

    async def ask(self, request: Request[AnswerT]) -> AnswerT | None:
        """Send the request and return its answer.

        Returns None if the actor has ended, if it ends before the answer is given, or if the
        request's handler fails.
        """
        if self.ended:
            return None
        if self.running and not self.handling and self.mailbox.empty():
            # No other message is before it, so it may be handled at once, in the sender's task.
            # This saves two task switches, which cost more than handling a heartbeat does; nearly
            # all heartbeats of a large fleet are handled here.
            return await self._handle_or_log(request)  # type: ignore[no-any-return]
        question = Question(request)
        await self.mailbox.put(question)
        return await question.wait()  # type: ignore[no-any-return]

    async def run(self) -> None:
        """Handle messages until cancelled; then answer every waiting request with None."""
        self.running, self.ended = True, False
        try:
            while True:
                message = await self.mailbox.get()
                if isinstance(message, Question):
                    await message.reply(await self._handle_or_log(message.message))
                else:
                    await self._handle_or_log(message)
        finally:
            self.running, self.ended = False, True
            # Senders that still wait would otherwise wait for ever.
            while not self.mailbox.empty():
                message = await self.mailbox.get()
                if isinstance(message, Question):
                    await message.reply(None)

    async def _handle_or_log(self, message: Any) -> Any:  # noqa: ANN401 - see Question
        """Return the handler's answer; None if it raised, which is logged."""
        self.handling = True
        try:
            return await self.handle(message)
        except curio.CancelledError:
            raise
        except Exception:
            log.exception("message_failed", message=type(message).__name__)
            return None
        finally:
            self.handling = False

    async def handle(self, message: MessageT) -> object:
        """Handle one message. Returns the answer if the message is a `Request`."""
        raise NotImplementedError
