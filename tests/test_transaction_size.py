"""Transactions of the leader stay below the state service's limit on their size."""

from __future__ import annotations

import msgspec
from cluster_settings import job_spec, raw_settings
from simulated_cluster import SimulatedCluster, Worker

from umberward.core.types import Key, Version
from umberward.protocol import wire
from umberward.protocol.wire import MAX_BODY_BYTES, BlockRecord, JobRecord
from umberward.scheduling.jobs import Job
from umberward.scheduling.state_transaction import Transaction, TransactionBuilder

VALUE_KB, TXN_OPS = 24, 12
DESCRIPTION_BYTES = 23_000


def _long_description(number: int) -> dict[str, object]:
    """A job whose description takes nearly all of a value."""
    spec = job_spec(f"req-{number:06d}", shards=1, flavors=["big"], _runs=500.0)
    missing_bytes = DESCRIPTION_BYTES - wire.json_size(spec)
    spec["flavors"] += ["x" * 97] * (missing_bytes // 100)
    return spec


def test_long_descriptions_make_no_transaction_that_is_refused() -> None:
    raw = raw_settings()
    raw["cluster"]["state"].update(value_kb=float(VALUE_KB), txn_ops=TXN_OPS)
    cluster = SimulatedCluster(raw)
    cluster.store.core.value_bytes, cluster.store.core.txn_ops = VALUE_KB * 1024, TXN_OPS
    cluster.workers["m1"] = Worker(cluster, "m1", "big", "a", False)
    cluster.takeover()
    cluster.run(2.0)
    for number in range(1, 7):
        spec = _long_description(number)
        assert cluster.submit(spec).status == 201
    cluster.run(3.0)
    assert cluster.store.refused == []
    running = [cluster.running(f"req-{number:06d}") for number in range(1, 7)]
    assert all(running)
    assert cluster.broken == []


class _Companions(Job):
    """A job whose record is written together with another large value, as for a graph's array."""

    def companion_writes(self) -> list[dict[str, object]]:
        return [{"write": f"pages/{self.id}", "data": "x" * 14_000}]


def _size(transaction: Transaction) -> int:
    """The size of the transaction as it is sent, with the condition that its sender leads."""
    conditions = [{"path": "leader", "stamp": 2**64 - 1}] + [
        {"path": key, "stamp": version} for key, version in transaction.conditions
    ]
    return wire.json_size({"if": conditions, "writes": transaction.writes})


def test_companion_writes_and_conditions_count_against_the_size() -> None:
    builder = TransactionBuilder(max_changes=40)
    added = 0
    for number in range(10):
        spec = msgspec.convert(job_spec(f"req-{number:06d}"), wire.JobSpec)
        job = _Companions(JobRecord(spec, 0.0), Version(2**63), 16 * 1024)
        job.conditions = ((Key("x" * 200), Version(number)),)
        record = job.build_record(1)
        assert record is not None
        if not builder.add_job_record(job, record, job.companion_writes()):
            break
        added += 1
    transaction = builder.build()
    assert transaction is not None
    assert added == 4
    assert len(transaction.job_records) == added
    assert _size(transaction) <= MAX_BODY_BYTES


def test_blocks_count_against_the_size() -> None:
    builder = TransactionBuilder(max_changes=40)
    record = BlockRecord({f"i-{number}": ("x" * 100, "y", "z", False) for number in range(100)})
    while builder.add_block(len(builder.block_numbers), Version(1), record):
        pass
    transaction = builder.build()
    assert transaction is not None
    assert MAX_BODY_BYTES - 16 * 1024 < _size(transaction) <= MAX_BODY_BYTES


def test_changes_of_one_record_above_the_size_are_still_tried_alone() -> None:
    builder = TransactionBuilder(max_changes=4)
    record = BlockRecord({"i-1": ("x" * MAX_BODY_BYTES, "y", "z", False)})
    assert builder.add_block(1, Version(1), record)
    assert not builder.add_block(2, Version(1), BlockRecord({}))
