"""Users, and the frame of a case: it runs, is judged, and ends with its exit status."""

from __future__ import annotations

import os
import signal
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import curio
import msgspec

from standins.cluster import Cluster, NotRunError
from standins.record import Record
from umberward.core import event_loop
from umberward.protocol import wire
from umberward.protocol.http import NoResponseError, RequestNotSentError

HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case
ANSWER_TIMEOUT_S = 5.0
RETRY_S = 1.0
RETRY_FOR_S = 60.0
FIRST_RETRIED_STATUS = 429
MAX_RUN_S = 116.0
MAX_RECORDED = 200  # characters of an answer


class Users:
    """Users who send requests to the nodes and repeat them as the pages say."""

    def __init__(self, cluster: Cluster) -> None:
        """Send to the controllers of `cluster`."""
        self.cluster = cluster
        self.record = cluster.record

    async def ask(
        self,
        number: int,
        method: str,
        path: str,
        body: object = None,
        timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> tuple[int, dict[str, Any]]:
        """Send one request to one node; the status is 0 if there is no answer."""
        data = b"" if body is None else wire.encode(body)
        address = self.cluster.listen[number]
        try:
            response = await self.cluster.client.request(address, method, path, data, timeout_s)
        except (RequestNotSentError, NoResponseError):
            return 0, {}
        answer = msgspec.msgpack.decode(response.body) if response.body else {}
        return response.status, answer

    async def request(
        self, method: str, path: str, body: object = None, nodes: list[int] | None = None
    ) -> tuple[int, dict[str, Any]]:
        """Send a request, and repeat it at the next node while it may be repeated."""
        nodes = nodes or list(range(len(self.cluster.listen)))
        deadline = time.monotonic() + RETRY_FOR_S
        attempt = 0
        while True:
            number = nodes[attempt % len(nodes)]
            status, answer = await self.ask(number, method, path, body)
            name = self.cluster.names[number]
            self.record.write(f"{method} {path} at {name}: {status} {str(answer)[:MAX_RECORDED]}")
            if 0 < status < FIRST_RETRIED_STATUS:
                return status, answer
            if time.monotonic() > deadline:
                message = f"{method} {path}: no answer"
                raise NotRunError(message)
            attempt += 1
            await curio.sleep(RETRY_S)


def job(uid: str, shape: str, shards: int, **fields: object) -> dict[str, Any]:
    """A submission; `fields` replace its usual values."""
    return {
        "uid": uid,
        "jobclass": "review",
        "owner": "red",
        "shape": shape,
        "rank": "normal",
        "shards": shards,
        "cores": 1.0,
        "accelerators": 0.0,
        "mem_gb": 1.0,
        "bundle": "img-1",
        "pull_gb": 0.0,
        "flavors": None,
        "yard": None,
        "same_place": False,
        "apart": False,
        "reclaimable": False,
        "expect_s": 30.0,
        "snapshot_every_s": 0.0,
        "snapshot_cost_s": 0.0,
        "due_s": None,
        **fields,
    }


Case = Callable[[Record, bool], Awaitable[list[str]]]


async def _limited(case: Case, record: Record, with_trouble: bool) -> list[str]:  # noqa: FBT001 - the arguments of a case
    """Run a case for as long as it may take; its processes end with it."""
    broken: list[str] = await curio.timeout_after(MAX_RUN_S, case, record, with_trouble)
    return broken


def run(folder: Path, case: Case) -> None:
    """Run a case, which returns the broken rules, and exit with its status.

    The case is called with the record and whether the disruption is to happen.
    """
    record = Record(folder / "record.txt")
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"disruption: {'yes' if with_trouble else 'no'}")
    status = NOT_RUN
    # A terminated case still ends its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        broken = event_loop.run(_limited, case, record, with_trouble)
        status = BROKEN if broken else HELD
        for text in broken:
            record.write(f"BROKEN: {text}")
    except Exception:  # noqa: BLE001 - whatever it was, the case has no result
        record.write(f"not run: {traceback.format_exc()}")
    record.write(("the rule held", "the rule was broken", "the case could not run")[status])
    record.close()
    print(*record.lines[-4:], sep="\n")
    sys.exit(status)
