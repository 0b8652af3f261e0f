"""Records and messages encoded by an earlier version are decoded, and encode to the same bytes.

tests/records/encoded.json holds one of each kind in hexadecimal, with a value for every field. Do
not regenerate it: an earlier version may have stored such bytes, or may still send them.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import cbor2
import msgspec
import pytest

from umberward.control.peer_messages import CancelledJobs
from umberward.graphs import records
from umberward.leader import failover_snapshot
from umberward.protocol import wire
from umberward.scheduling.sessions.lease_delegation import Delegation

ENCODED = {
    name: bytes.fromhex(text)
    for name, text in json.loads(
        (Path(__file__).parent / "records" / "encoded.json").read_text()
    ).items()
}

MSGPACK_TYPES: dict[str, Any] = {
    "job live": wire.JobRecord,
    "job past": wire.FinalJobRecord,
    "leader": wire.LeaderRecord,
    "controller": wire.ControllerRecord,
    "controller with build": wire.ControllerRecord,
    "block": wire.BlockRecord,
    "stored hints": failover_snapshot.FailoverSnapshot,
    "flavors": wire.MachineTypeList,
    "graph live": records.GraphRecord,
    "graph past": records.EndRecord,
    "graph run": records.ArrayProgressRecord,
    "graph page": records.FailurePageRecord,
    "graph open": records.OpeningRecord,
    "graph part": records.PartRecord,
    "report": wire.Heartbeat,
    "order": wire.TaskCommand,
}
# Fields that were added after the record was encoded.
SNAPSHOT_LATER_FIELDS = ["quarantine", "failed"]
LATER_FIELDS = {
    "controller": ["build"],
    "stored hints": SNAPSHOT_LATER_FIELDS,
    "peer hints": SNAPSHOT_LATER_FIELDS,
    "peer loan": ["newest"],
}
GRAPH_TASKS = "graph tasks"
CBOR_TYPES: dict[str, Any] = {
    "peer hints": failover_snapshot.FailoverSnapshot,
    "peer cancelled": CancelledJobs,
    "peer loan": Delegation,
}


def test_every_encoded_record_is_covered() -> None:
    assert set(ENCODED) == {*MSGPACK_TYPES, *CBOR_TYPES, GRAPH_TASKS}


@pytest.mark.parametrize("name", MSGPACK_TYPES)
def test_records_of_earlier_version_round_trip(name: str) -> None:
    kind, body = MSGPACK_TYPES[name], ENCODED[name]
    data = msgspec.msgpack.decode(body)
    decoded = wire.convert(data, kind)
    assert wire.encode(decoded) == body
    _check_every_field_encoded(data, kind, LATER_FIELDS.get(name, []))


@pytest.mark.parametrize("name", CBOR_TYPES)
def test_messages_of_another_controller_round_trip(name: str) -> None:
    kind, body = CBOR_TYPES[name], ENCODED[name]
    data = cbor2.loads(body)
    decoded = msgspec.convert(data, kind)
    assert cbor2.dumps(msgspec.to_builtins(decoded)) == body
    _check_every_field_encoded(data, kind, LATER_FIELDS.get(name, []))


def _check_every_field_encoded(data: dict[str, Any], kind: Any, later: Sequence[str] = ()) -> None:
    assert [*data, *later] == [field.encode_name for field in msgspec.structs.fields(kind)]


def test_failover_snapshot_of_another_controller_round_trips() -> None:
    body = ENCODED["peer hints"]
    snapshot = failover_snapshot.decode_snapshot(body)
    assert snapshot is not None and failover_snapshot.encode_snapshot(snapshot) == body


def test_stored_graph_tasks_round_trip() -> None:
    body = ENCODED[GRAPH_TASKS]
    assert records.encode_tasks(records.decode_tasks(body)) == body


@pytest.mark.parametrize("decode", [wire.decode_heartbeat, wire.decode_heartbeat_header])
def test_heartbeat_is_decoded(decode: Callable[[bytes], Any]) -> None:
    assert isinstance(decode(ENCODED["report"]), msgspec.Struct)
