"""Loopback addresses that no other process of this machine uses, for one run.

An outgoing connection may take any port of 127.0.0.1 at any time, so a run takes addresses of a
network 127.N.0.0/16 of its own. It reserves the network by a socket that it binds in it.
"""

from __future__ import annotations

import os
import socket

from umberward.core.types import Address

FIRST_NETWORK, NETWORK_COUNT, HOSTS_PER_NETWORK, PORT = 10, 240, 250, 9000
RESERVING_HOST = "255.254"  # never given out
MAX_HOSTS = 255 * HOSTS_PER_NETWORK


class NoFreeNetworkError(RuntimeError):
    """All networks are reserved by other processes, or all addresses of this one are given out."""

    def __init__(self, what: str) -> None:
        """`what`: networks or addresses."""
        super().__init__(f"no loopback {what} is free")


class LoopbackNetwork:
    """A network that this process has reserved until `close`, or until it ends."""

    def __init__(self) -> None:
        """Reserve a network. Raises NoFreeNetworkError."""
        self.hosts_used = 0
        for offset in range(NETWORK_COUNT):
            number = FIRST_NETWORK + (os.getpid() + offset) % NETWORK_COUNT
            reservation = _try_reserve(number)
            if reservation is not None:
                self.number = number
                self._reservation = reservation
                return
        raise NoFreeNetworkError("network")

    def next_address(self) -> Address:
        """An address that was not given out before. Raises NoFreeNetworkError."""
        if self.hosts_used >= MAX_HOSTS:
            raise NoFreeNetworkError("address")
        self.hosts_used += 1
        high, low = divmod(self.hosts_used, HOSTS_PER_NETWORK)
        return Address(f"127.{self.number}.{high}.{low + 1}", PORT)

    def close(self) -> None:
        """Let other processes reserve the network."""
        self._reservation.close()


def _try_reserve(number: int) -> socket.socket | None:
    """A socket that is bound in the network; None if another process has reserved it."""
    reservation = socket.socket()
    try:
        reservation.bind((f"127.{number}.{RESERVING_HOST}", PORT))
    except OSError:
        reservation.close()
        return None
    return reservation
