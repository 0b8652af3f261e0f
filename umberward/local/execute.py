"""Runs one task of a graph as a worker does: fetches the call and its inputs, leaves the value.

    python -m umberward.local.execute STORE TASK

Exit status 0: done; 1: the function raised, and its traceback is in the store.
"""

from __future__ import annotations

import sys
import traceback
from typing import Any

import cloudpickle
import curio

from umberward.client import store
from umberward.client.session import Later
from umberward.core.types import Address, parse_address
from umberward.protocol.http import Client


async def run(at: Address, task: str) -> bool:
    client = Client(4)

    async def fetch(name: str) -> Any:
        data = await store.get(client, at, name)
        if data is None:
            raise store.StoreError(f"{name}: not in the store")
        return cloudpickle.loads(data)

    try:
        call, inputs = await fetch(task + store.CALL)
        function, args, kwargs = cloudpickle.loads(call)
        values = {name: await fetch(place + store.RESULT) for name, place in inputs.items()}

        def real(value: Any) -> Any:
            return values[value.name] if isinstance(value, Later) else value

        result = function(*map(real, args), **{name: real(a) for name, a in kwargs.items()})
        await store.put(client, at, task + store.RESULT, cloudpickle.dumps(result))
        return True
    except Exception:
        await store.put(client, at, task + store.ERROR, traceback.format_exc().encode())
        return False


if __name__ == "__main__":
    sys.exit(0 if curio.run(run, parse_address(sys.argv[1]), sys.argv[2]) else 1)
