"""The limit on open sockets that a server and a client of one process share."""

from __future__ import annotations


class SocketBudget:
    """A limit on open sockets, shared by a server and a client.

    The server has no fixed share. After a failover all workers connect at once, and a worker whose
    connection is refused loses its lease. The server therefore takes the sockets it needs, starting
    with the client's idle connections, and the client is limited to the rest.
    """

    def __init__(self, limit: int, client_limit: int) -> None:
        """Limit both sides to `limit` sockets, and the client to `client_limit` of them."""
        self.limit = limit
        self.client_limit = client_limit
        self.server_sockets = 0  # open connections accepted by the server
        self.client_sockets = 0  # open connections made by the client

    @classmethod
    def of(cls, budget: SocketBudget | int) -> SocketBudget:
        """Return a budget unchanged, or convert a number of sockets to an unshared budget."""
        return budget if isinstance(budget, SocketBudget) else cls(budget, budget)

    @property
    def available_to_server(self) -> int:
        """The number of sockets that the server may still open."""
        return self.limit - self.server_sockets - self.client_sockets

    @property
    def available_to_client(self) -> int:
        """The number of sockets that the client may still open."""
        return min(self.available_to_server, self.client_limit - self.client_sockets)
