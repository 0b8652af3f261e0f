"""Actors: tasks that own their state and are spoken to by messages."""

from __future__ import annotations

from typing import Any

import curio

from umberward.core.log import logger

log = logger(__name__)


class Question:
    """A message that waits for an answer."""

    __slots__ = ("message", "answer", "_done")

    def __init__(self, message: Any) -> None:
        self.message = message
        self.answer: Any = None
        self._done = curio.Event()

    async def reply(self, answer: Any) -> None:
        self.answer = answer
        await self._done.set()

    async def wait(self) -> Any:
        await self._done.wait()
        return self.answer


class Actor:
    """Handles one message at a time. `handle` may spawn tasks, and must not wait for anything."""

    def __init__(self) -> None:
        self.mailbox: Any = curio.Queue()
        self.running = False
        self.ended = False
        self.handling = False

    async def tell(self, message: Any) -> None:
        await self.mailbox.put(message)

    async def ask(self, message: Any) -> Any:
        """The answer; None if the actor has ended, or ends before it is given."""
        if self.ended:
            return None
        if self.running and not self.handling and self.mailbox.empty():
            # Nothing is before it, so its turn is now: taken here it costs no change of tasks. Of
            # the reports of a large fleet that is nearly all, and two changes cost more than what
            # they say.
            return await self._take(message)
        question = Question(message)
        await self.mailbox.put(question)
        return await question.wait()

    async def run(self) -> None:
        self.running, self.ended = True, False
        try:
            while True:
                message = await self.mailbox.get()
                if isinstance(message, Question):
                    await message.reply(await self._take(message.message))
                else:
                    await self._take(message)
        finally:
            self.running, self.ended = False, True
            # Who still waits would wait for ever.
            while not self.mailbox.empty():
                message = await self.mailbox.get()
                if isinstance(message, Question):
                    await message.reply(None)

    async def _take(self, message: Any) -> Any:
        self.handling = True
        try:
            return await self.handle(message)
        except curio.CancelledError:
            raise
        except Exception:
            log.exception("message_failed", message=type(message).__name__)
        finally:
            self.handling = False

    async def handle(self, message: Any) -> Any:
        raise NotImplementedError
