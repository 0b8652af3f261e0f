"""Links between processes that may fail, each direction by itself. No sockets.

Whoever carries requests asks this module how each of them fares: it arrives, it is late, it is held
until the link is whole again, or it is lost; and likewise its response. A request that is late or
held is carried out even if its sender has long given up.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterator
from fnmatch import fnmatchcase
from typing import NamedTuple

import curio

from umberward.protocol.http import Response

HELD_MESSAGE_POLL_S = 0.05  # how often it is looked whether the link of a held message is whole

# What may happen to a message, as it stands in `LinkFault.what`.
REFUSED, LOST, HELD, LATE, COPIED = "refuse", "lost", "hold", "late", "copied"


class LinkFault(NamedTuple):
    """What happens to messages from `src` to `dst` whose target begins with `path`.

    The names may have wildcards (`*`). `what` is REFUSED (by a receiver that can refuse a
    connection), LOST, HELD, LATE by `least` to `most` seconds, or COPIED: the message arrives, and
    once more after so many seconds. `share`: the part of the messages that LOST, LATE and COPIED
    happen to, from 0 to 1.
    """

    src: str
    dst: str
    what: str
    path: str = ""
    least: float = 0.0
    most: float = 0.0
    share: float = 1.0

    def meets(self, src: str, dst: str, target: str) -> bool:
        """Whether the fault applies to a message from `src` to `dst` with that target."""
        return (
            target.startswith(self.path)
            and fnmatchcase(src, self.src)
            and fnmatchcase(dst, self.dst)
        )


class Links:
    """The links between all processes, with the faults that they have now."""

    def __init__(self, rng: random.Random, trip_s: float = 0.0) -> None:
        """`trip_s`: how long a message is under way on a whole link."""
        self.rng = rng
        self.trip_s = trip_s
        self.faults: dict[str, LinkFault] = {}  # by a label, by which its owner removes it

    def refuses(self, src: str, dst: str, target: str) -> bool:
        """Whether the receiver refuses the connection."""
        return any(fault.what == REFUSED for fault in self._faults_of(src, dst, target))

    async def passes(self, src: str, dst: str, target: str) -> bool:
        """Wait as long as the message is under way; False: it is lost."""
        delay_s = self.trip_s
        for fault in self._faults_of(src, dst, target):
            if fault.what == LOST and (fault.share >= 1.0 or self.rng.random() < fault.share):
                return False
            if fault.what == LATE and self.rng.random() < fault.share:
                delay_s = max(delay_s, self.rng.uniform(fault.least, fault.most))
        if delay_s:
            await curio.sleep(delay_s)
        while any(fault.what == HELD for fault in self._faults_of(src, dst, target)):
            await curio.sleep(HELD_MESSAGE_POLL_S)
        return True

    def copied_after(self, src: str, dst: str, target: str) -> float | None:
        """In how many seconds the message arrives once more; None: it does not."""
        for fault in self._faults_of(src, dst, target):
            if fault.what == COPIED and self.rng.random() < fault.share:
                return self.rng.uniform(fault.least, fault.most)
        return None

    async def carry(
        self, src: str, dst: str, target: str, deliver: Callable[[], Awaitable[Response | None]]
    ) -> Response | None:
        """Carry a request to its receiver and the response back; None: nobody gets a response.

        `deliver` hands the request to the receiver, once it has arrived.
        """
        if not await self.passes(src, dst, target):
            return None
        response = await deliver()
        if response is None or not await self.passes(dst, src, target):
            return None
        return response

    def _faults_of(self, src: str, dst: str, target: str) -> Iterator[LinkFault]:
        """The faults that apply to a message; they may change while the caller waits."""
        return (fault for fault in list(self.faults.values()) if fault.meets(src, dst, target))
