"""Simulated network links with faults, separate for each direction. No sockets.

This module decides for each request and response whether it arrives, is delayed, is held until the
link works again, or is lost. A request that is delayed or held is executed even if its sender has
timed out long before.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterator
from fnmatch import fnmatchcase
from typing import NamedTuple

import curio

from umberward.protocol.http import Response

HELD_MESSAGE_POLL_S = 0.05  # how often a held message checks whether its link works again

# The effects that a fault may have on a message, the values of `LinkFault.what`.
REFUSED, LOST, HELD, LATE, DUPLICATED = "refuse", "lost", "hold", "late", "copied"


class LinkFault(NamedTuple):
    """A fault of the link from `src` to `dst`, for messages whose target starts with `path`.

    `src` and `dst` may have wildcards (`*`). `what` is REFUSED (only by receivers that can refuse a
    connection), LOST, HELD, LATE (by `least` to `most` seconds) or DUPLICATED (the message arrives,
    and again `least` to `most` seconds later). `share`: the fraction of messages affected by LOST,
    LATE and DUPLICATED.
    """

    src: str
    dst: str
    what: str
    path: str = ""
    least: float = 0.0
    most: float = 0.0
    share: float = 1.0

    def applies_to(self, src: str, dst: str, target: str) -> bool:
        """Whether the fault applies to a message from `src` to `dst` with that target."""
        return (
            target.startswith(self.path)
            and fnmatchcase(src, self.src)
            and fnmatchcase(dst, self.dst)
        )


class Links:
    """The links between all processes, with their current faults."""

    def __init__(self, rng: random.Random, trip_s: float = 0.0) -> None:
        """`trip_s`: the latency of a link without faults."""
        self.rng = rng
        self.trip_s = trip_s
        self.faults: dict[str, LinkFault] = {}  # by label; whoever adds a fault removes it by that

    def refuses(self, src: str, dst: str, target: str) -> bool:
        """Whether the receiver refuses the connection."""
        return any(fault.what == REFUSED for fault in self._faults_of(src, dst, target))

    async def transmit(self, src: str, dst: str, target: str) -> bool:
        """Wait until a message has arrived; returns False if it is lost."""
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

    def duplicate_delay_s(self, src: str, dst: str, target: str) -> float | None:
        """The seconds after which the message arrives again, or None if it doesn't."""
        for fault in self._faults_of(src, dst, target):
            if fault.what == DUPLICATED and self.rng.random() < fault.share:
                return self.rng.uniform(fault.least, fault.most)
        return None

    async def exchange(
        self, src: str, dst: str, target: str, deliver: Callable[[], Awaitable[Response | None]]
    ) -> Response | None:
        """Transmit a request and return the response, or None if the sender gets none.

        `deliver` passes the request to the receiver once it has arrived.
        """
        if not await self.transmit(src, dst, target):
            return None
        response = await deliver()
        if response is None or not await self.transmit(dst, src, target):
            return None
        return response

    def _faults_of(self, src: str, dst: str, target: str) -> Iterator[LinkFault]:
        """The faults that apply to a message; from a copy, as they may change meanwhile."""
        return (fault for fault in list(self.faults.values()) if fault.applies_to(src, dst, target))
