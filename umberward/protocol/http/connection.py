"""One accepted connection of a server."""

from __future__ import annotations

import math
import time
from typing import Any

import curio
from curio.traps import _read_wait

IDLE_TIMEOUT_S = 75.0  # a connection without a request is closed after this
SILENT_TIMEOUT_S = 20.0  # a named connection that is silent for so long may be closed for a new one
REQUEST_TIMEOUT_S = 10.0  # a request must be complete this long after its first byte
READ_BYTES = 16384


async def receive(sock: curio.io.Socket) -> bytes:
    """Wait for data, then read it: a read before it has come is a system call in vain."""
    await _read_wait(sock._fileno)  # noqa: SLF001 (curio has no public way to wait only)
    data: bytes = await sock.recv(READ_BYTES)
    return data


class Connection:
    """An accepted connection, and the time by which its present step must be over.

    One sweep of the server checks the deadlines of all connections: a timer for each read and
    write of a thousand workers would cost the event loop more than their messages.
    """

    __slots__ = ("deadline", "name", "resting", "served", "sock", "task")

    def __init__(self, sock: curio.io.Socket) -> None:
        """`sock`: as accepted; its task is set by the server that spawns it."""
        self.sock = sock
        self.deadline = time.monotonic() + IDLE_TIMEOUT_S
        self.task: Any = None
        self.name = ""  # who has connected, once the server was told
        self.resting = True  # waiting for a request
        self.served = False  # has had a response

    def await_request(self) -> None:
        """The next request may take IDLE_TIMEOUT_S to come."""
        self.deadline = time.monotonic() + IDLE_TIMEOUT_S

    def await_transfer(self) -> None:
        """The rest of a request, or a response, must be through within REQUEST_TIMEOUT_S."""
        self.deadline = time.monotonic() + REQUEST_TIMEOUT_S

    def await_handler(self) -> None:
        """The handler takes as long as it takes: the connection is not closed meanwhile."""
        self.deadline = math.inf

    def may_be_evicted(self, now: float) -> bool:
        """Whether a new connection is worth more than this one, which rests.

        A connection that has only just come, or whose named client spoke lately, is kept.
        """
        if not self.resting:
            return False
        silent_s = now - (self.deadline - IDLE_TIMEOUT_S)
        if self.name:
            return silent_s > SILENT_TIMEOUT_S
        return self.served or silent_s > REQUEST_TIMEOUT_S
