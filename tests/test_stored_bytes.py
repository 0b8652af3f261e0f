"""Records and messages as an earlier version has encoded them: read, and written alike again.

tests/records/encoded.json holds the bytes of one of each kind, in hexadecimal, with a value for
every field. They are not to be written anew: an earlier version may have left them, or send them.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import cbor2
import msgspec
import pytest

from umberward.control.peer_messages import CancelledJobs
from umberward.graphs import records
from umberward.leader import failover_snapshot
from umberward.protocol import wire
from umberward.scheduling.lease_delegation import Delegation

ENCODED = {
    name: bytes.fromhex(text)
    for name, text in json.loads(
        (Path(__file__).parent / "records" / "encoded.json").read_text()
    ).items()
}

IN_MSGPACK: dict[str, Any] = {
    "job live": wire.JobRecord,
    "job past": wire.FinalJobRecord,
    "leader": wire.LeaderRecord,
    "controller": wire.ControllerRecord,
    "block": wire.BlockRecord,
    "stored hints": failover_snapshot.FailoverSnapshot,
    "flavors": wire.MachineTypeList,
    "graph live": records.GraphRecord,
    "graph past": records.EndRecord,
    "graph run": records.RunRecord,
    "graph page": records.PageRecord,
    "graph open": records.OpenRecord,
    "graph part": records.PartRecord,
    "report": wire.Heartbeat,
    "order": wire.TaskCommand,
}
GRAPH_TASKS = "graph tasks"
IN_CBOR: dict[str, Any] = {
    "peer hints": failover_snapshot.FailoverSnapshot,
    "peer cancelled": CancelledJobs,
    "peer loan": Delegation,
}


def test_each_stored_kind_is_read() -> None:
    assert set(ENCODED) == {*IN_MSGPACK, *IN_CBOR, GRAPH_TASKS}


@pytest.mark.parametrize("name", IN_MSGPACK)
def test_what_an_earlier_version_stored(name: str) -> None:
    kind, body = IN_MSGPACK[name], ENCODED[name]
    data = msgspec.msgpack.decode(body)
    made = wire.convert(data, kind)
    assert wire.encode(made) == body
    _has_every_field(data, kind)


@pytest.mark.parametrize("name", IN_CBOR)
def test_what_another_controller_sends(name: str) -> None:
    kind, body = IN_CBOR[name], ENCODED[name]
    data = cbor2.loads(body)
    made = msgspec.convert(data, kind)
    assert cbor2.dumps(msgspec.to_builtins(made)) == body
    _has_every_field(data, kind)


def _has_every_field(data: dict[str, Any], kind: Any) -> None:
    assert list(data) == [field.encode_name for field in msgspec.structs.fields(kind)]


def test_hints_of_another_controller() -> None:
    body = ENCODED["peer hints"]
    found = failover_snapshot.decode_snapshot(body)
    assert found is not None and failover_snapshot.encode_snapshot(found) == body


def test_tasks_of_a_stored_graph() -> None:
    body = ENCODED[GRAPH_TASKS]
    assert records.pack(records.unpack(body)) == body


@pytest.mark.parametrize("read", [wire.decode_heartbeat, wire.decode_heartbeat_header])
def test_reports_of_workers(read: Callable[[bytes], Any]) -> None:
    assert isinstance(read(ENCODED["report"]), msgspec.Struct)
