"""An HTTP/1.1 server and a client with connection pooling, built on h11 and curio.

Both are limited by a budget of open sockets, which a server and a client of one process may share.
"""

from umberward.protocol.http.client import Client
from umberward.protocol.http.connection import Connection
from umberward.protocol.http.messages import (
    Handler,
    NoResponseError,
    Request,
    RequestNotSentError,
    Response,
)
from umberward.protocol.http.server import Server
from umberward.protocol.http.socket_budget import SocketBudget

__all__ = [
    "Client",
    "Connection",
    "Handler",
    "NoResponseError",
    "Request",
    "RequestNotSentError",
    "Response",
    "Server",
    "SocketBudget",
]
