"""Actors: tasks that own their state and are spoken to by messages."""

from __future__ import annotations

from typing import Any

import curio

from umberward.core.log import logger

log = logger(__name__)


class Ask:
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
    """Handles one message at a time. `handle` must not wait for anything slow."""

    def __init__(self) -> None:
        self.mail: Any = curio.Queue()

    async def tell(self, message: Any) -> None:
        await self.mail.put(message)

    async def ask(self, message: Any) -> Any:
        question = Ask(message)
        await self.mail.put(question)
        return await question.wait()

    async def run(self) -> None:
        while True:
            message = await self.mail.get()
            if isinstance(message, Ask):
                answer = None
                try:
                    answer = await self.handle(message.message)
                except curio.CancelledError:
                    raise
                except Exception:
                    log.exception("message_failed", message=type(message.message).__name__)
                await message.reply(answer)
            else:
                try:
                    await self.handle(message)
                except curio.CancelledError:
                    raise
                except Exception:
                    log.exception("message_failed", message=type(message).__name__)

    async def handle(self, message: Any) -> Any:
        raise NotImplementedError
