"""The limit on open sockets that a server and a client of one process share."""

from __future__ import annotations


class SocketBudget:
    """A limit on open sockets, shared by a server and a client.

    The server has no fixed share. After a failover all workers connect at once, and a worker whose
    connection is refused loses its lease. The server therefore takes the sockets it needs, starting
    with the client's idle connections, and the client is limited to the rest.
    """

    def __init__(self, limit: int, most_of_client: int) -> None:
        """Limit both sides to `limit` sockets, and the client to `most_of_client` of them."""
        self.limit = limit
        self.most_of_client = most_of_client
        self.served = 0  # open connections accepted by the server
        self.sent = 0  # open connections made by the client

    @classmethod
    def of(cls, budget: SocketBudget | int) -> SocketBudget:
        """Return a budget unchanged, or convert a number of sockets to an unshared budget."""
        return budget if isinstance(budget, SocketBudget) else cls(budget, budget)

    @property
    def left(self) -> int:
        """The number of sockets that the server may still open."""
        return self.limit - self.served - self.sent

    @property
    def available_to_client(self) -> int:
        """The number of sockets that the client may still open."""
        return min(self.left, self.most_of_client - self.sent)
