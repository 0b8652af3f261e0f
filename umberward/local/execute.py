"""Runs one task of a graph as a worker does: fetches the call and its inputs, stores the result.

    python -m umberward.local.execute STORE TASK

STORE is the address of the store, TASK the task's id. Exit status 0: the task has succeeded;
1: the function raised, and its traceback is in the store.
"""

from __future__ import annotations

import sys
import traceback

import cloudpickle
import curio

from umberward.client import store
from umberward.client.session import Later
from umberward.core.types import Address, parse_address
from umberward.protocol.http import Client

STORE_CONNECTIONS = 4


async def run(store_address: Address, task_id: str) -> bool:
    """Run the task's function; False if it raised: its traceback is stored instead of a result.

    A missing input value counts as a failure of the function.
    """
    client = Client(STORE_CONNECTIONS)
    try:
        result = await _call(client, store_address, task_id)
        await store.put(
            client, store_address, task_id + store.RESULT_SUFFIX, cloudpickle.dumps(result)
        )
    except Exception:  # noqa: BLE001 - users' functions may raise anything
        error = traceback.format_exc().encode()
        await store.put(client, store_address, task_id + store.ERROR_SUFFIX, error)
        return False
    return True


async def _call(client: Client, store_address: Address, task_id: str) -> object:
    """Call the task's function with its inputs; returns its result."""
    call, inputs = cloudpickle.loads(
        await _fetch(client, store_address, task_id + store.CALL_SUFFIX)
    )
    function, args, kwargs = cloudpickle.loads(call)
    values = {}
    for name, producer in inputs.items():
        data = await _fetch(client, store_address, producer + store.RESULT_SUFFIX)
        values[name] = cloudpickle.loads(data)

    def resolve(argument: object) -> object:
        """Replace a placeholder for another task's result by that result."""
        return values[argument.name] if isinstance(argument, Later) else argument

    resolved_kwargs = {name: resolve(argument) for name, argument in kwargs.items()}
    result: object = function(*map(resolve, args), **resolved_kwargs)
    return result


async def _fetch(client: Client, store_address: Address, name: str) -> bytes:
    """Fetch a value from the store. Raises StoreError if there is none."""
    data: bytes | None = await store.get(client, store_address, name)
    if data is None:
        raise store.StoreError(f"{name}: not in the store")  # noqa: TRY003 - users see this text
    return data


if __name__ == "__main__":
    sys.exit(0 if curio.run(run, parse_address(sys.argv[1]), sys.argv[2]) else 1)
