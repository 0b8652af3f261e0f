"""The bound on open sockets that a server and a client of one process share."""

from __future__ import annotations


class SocketBudget:
    """A budget of open sockets.

    The server has no fixed part of it. After a failover all workers connect at once, and a worker
    that is refused loses its lease: the server takes the sockets it needs, first those of idle
    connections that the client keeps, and the client makes do with the rest.
    """

    def __init__(self, limit: int, most_of_client: int) -> None:
        """`limit`: sockets of both together; `most_of_client`: of them, the client's at most."""
        self.limit = limit
        self.most_of_client = most_of_client
        self.served = 0  # open connections that the server has accepted
        self.sent = 0  # open connections that the client has made

    @classmethod
    def of(cls, budget: SocketBudget | int) -> SocketBudget:
        """The budget itself, or one of that many sockets that is shared with nobody."""
        return budget if isinstance(budget, SocketBudget) else cls(budget, budget)

    @property
    def left(self) -> int:
        """Sockets that the server may still open."""
        return self.limit - self.served - self.sent

    @property
    def left_to_client(self) -> int:
        """Sockets that the client may still open."""
        return min(self.left, self.most_of_client - self.sent)
