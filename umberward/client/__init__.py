"""Task graphs written as Python functions, following the conventions of Ray.

    from umberward import client

    client.init("127.0.0.1:8080", store="127.0.0.1:9000", team="red")

    @client.remote(num_cpus=2, max_retries=1)
    def add(a, b):
        return a + b

    print(client.get(add.remote(add.remote(1, 2), 3)))

Calls are collected and sent as one graph by the next `get`, `wait` or `flush`. Functions and
values are transferred through a store on the user's side, never through the controllers. Actors
are not supported.
"""

from umberward.client.session import (
    ActorsNotServed,
    Cancelled,
    ClientError,
    NotRun,
    Ref,
    TaskFailed,
    cancel,
    flush,
    get,
    init,
    remote,
    wait,
)

__all__ = [
    "ActorsNotServed",
    "Cancelled",
    "ClientError",
    "NotRun",
    "Ref",
    "TaskFailed",
    "cancel",
    "flush",
    "get",
    "init",
    "remote",
    "wait",
]
