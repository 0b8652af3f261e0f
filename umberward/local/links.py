"""Links between processes that may fail, each direction by itself. No sockets.

Whoever carries requests asks this module how each of them fares: it arrives, late or held until the
link is whole again, or it is lost; and likewise its answer. A request that is late or held is
carried out though its sender has long given up.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterator
from fnmatch import fnmatchcase
from typing import NamedTuple

import curio

from umberward.protocol.http import Response

LOOK_S = 0.05  # how often a held message looks whether its link is whole

REFUSED, LOST, HELD, LATE, COPIED = "refuse", "lost", "hold", "late", "copied"


class LinkFault(NamedTuple):
    """What befalls messages from `src` to `dst` whose target begins with `path`.

    Names may have wildcards (`*`). `what`: REFUSED (for who can refuse a connection), LOST, HELD,
    LATE by `least` to `most` seconds, or COPIED: it arrives, and so much later once more; of a
    share `share` of them.
    """

    src: str
    dst: str
    what: str
    path: str = ""
    least: float = 0.0
    most: float = 0.0
    share: float = 1.0

    def meets(self, src: str, dst: str, target: str) -> bool:
        return (
            target.startswith(self.path)
            and fnmatchcase(src, self.src)
            and fnmatchcase(dst, self.dst)
        )


class Links:
    def __init__(self, rng: random.Random, trip_s: float = 0.0) -> None:
        """`trip_s`: how long a message is under way on a whole link."""
        self.rng = rng
        self.trip_s = trip_s
        self.faults: dict[str, LinkFault] = {}  # by a label that ends it

    def refuses(self, src: str, dst: str, target: str) -> bool:
        return any(fault.what == REFUSED for fault in self._met(src, dst, target))

    async def passes(self, src: str, dst: str, target: str) -> bool:
        """Wait as long as the message is under way; False: it is lost."""
        late = self.trip_s
        for fault in self._met(src, dst, target):
            if fault.what == LOST and (fault.share >= 1.0 or self.rng.random() < fault.share):
                return False
            if fault.what == LATE and self.rng.random() < fault.share:
                late = max(late, self.rng.uniform(fault.least, fault.most))
        if late:
            await curio.sleep(late)
        while any(fault.what == HELD for fault in self._met(src, dst, target)):
            await curio.sleep(LOOK_S)
        return True

    def copied_after(self, src: str, dst: str, target: str) -> float | None:
        """In how many seconds the message arrives once more; None: it does not."""
        for fault in self._met(src, dst, target):
            if fault.what == COPIED and self.rng.random() < fault.share:
                return self.rng.uniform(fault.least, fault.most)
        return None

    async def carry(
        self, src: str, dst: str, target: str, deliver: Callable[[], Awaitable[Response | None]]
    ) -> Response | None:
        """Carry a request there and its answer back; None: nobody gets an answer."""
        if not await self.passes(src, dst, target):
            return None
        response = await deliver()
        if response is None or not await self.passes(dst, src, target):
            return None
        return response

    def _met(self, src: str, dst: str, target: str) -> Iterator[LinkFault]:
        return (one for one in list(self.faults.values()) if one.meets(src, dst, target))
