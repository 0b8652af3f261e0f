"""A connection that a server has accepted."""

from __future__ import annotations

import math
import time
from typing import Any

import curio
from curio.traps import _read_wait

IDLE_TIMEOUT_S = 75.0  # a connection is closed after this time without a request
MIN_IDLE_BEFORE_EVICTION_S = 20.0  # a named connection idle for longer may be evicted for a new one
# For a request from its first byte to its last, for a response, or for the first request of a new
# connection before it may be evicted.
TRANSFER_TIMEOUT_S = 10.0
READ_BYTES = 16384


async def receive(sock: curio.io.Socket) -> bytes:
    """Wait for data, then read it; reading before data has arrived wastes a system call."""
    await _read_wait(sock._fileno)  # noqa: SLF001 (curio has no public way to wait only)
    data: bytes = await sock.recv(READ_BYTES)
    return data


class Connection:
    """An accepted connection and the deadline of its current step.

    The server checks the deadlines of all connections in one periodic sweep. A timer for each read
    and write of a thousand workers would cost the event loop more than their messages do.
    """

    __slots__ = ("deadline", "name", "request_awaited", "response_sent", "sock", "task")

    def __init__(self, sock: curio.io.Socket) -> None:
        """Wrap an accepted socket; the server sets `task` when it spawns the serving task."""
        self.sock = sock
        self.deadline = time.monotonic() + IDLE_TIMEOUT_S
        self.task: Any = None
        self.name = ""  # of the client, once `Server.set_client_name` has been called
        self.request_awaited = True  # waiting for a request
        self.response_sent = False  # at least one response has been sent

    def set_idle_deadline(self) -> None:
        """Allow IDLE_TIMEOUT_S until the next request begins."""
        self.deadline = time.monotonic() + IDLE_TIMEOUT_S

    def set_transfer_deadline(self) -> None:
        """Allow TRANSFER_TIMEOUT_S for the rest of a request, or for a response."""
        self.deadline = time.monotonic() + TRANSFER_TIMEOUT_S

    def clear_deadline(self) -> None:
        """Set no time limit while the handler runs."""
        self.deadline = math.inf

    def may_be_evicted(self, now: float) -> bool:
        """Whether this connection is idle and may be closed in favor of a new one.

        A connection of a named client is kept for MIN_IDLE_BEFORE_EVICTION_S, and a new connection
        waits for its first request for TRANSFER_TIMEOUT_S.
        """
        if not self.request_awaited:
            return False
        idle_s = now - (self.deadline - IDLE_TIMEOUT_S)
        if self.name:
            return idle_s > MIN_IDLE_BEFORE_EVICTION_S
        return self.response_sent or idle_s > TRANSFER_TIMEOUT_S
