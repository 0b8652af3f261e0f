"""Each way to answer a heartbeat: the answer stops what must end, or renews no session."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import curio
import msgspec
import pytest
from explored_sessions import JOB, MACHINE, SPEC, TASK, Leader

from umberward.control.heartbeat_api import HeartbeatApi
from umberward.core.types import Attempt, Instant, MachineId, TaskId
from umberward.protocol import wire
from umberward.protocol.message_sizes import MAX_COMMAND_LIST_BYTES, command_bytes
from umberward.protocol.wire import KILL, Heartbeat, JobRecord, TaskCommand, TaskStatus
from umberward.scheduling.sessions.heartbeats import HeartbeatSource

NOW, TOKEN = 1000.0, 5
KINDS = ("unchanged", "reconciled", "stops_only", "refused")
LIVE = JobRecord(SPEC, NOW, 1)
STOP = TaskCommand(KILL, TASK, 1, 0.0)
RUNNING = (TaskStatus(TASK, 1, wire.RUNNING),)


def report(
    sequence: int, tasks: tuple[TaskStatus, ...] = RUNNING, token: int = TOKEN, name: str = MACHINE
) -> Heartbeat:
    return Heartbeat(name, "127.0.0.1:9", "small", "a", 1, sequence, token, list(tasks))


def answer(leader: Leader, heartbeat: Heartbeat) -> list[TaskCommand] | None:
    body = wire.encode(heartbeat)
    header = wire.decode_heartbeat_header(body)
    return leader.scheduler.receive_heartbeat(header, body, Instant(NOW))


def hear_probe(leader: Leader, heartbeat: Heartbeat) -> None:
    leader.scheduler.heartbeats.apply(heartbeat, Instant(NOW), HeartbeatSource.RESPONSE)


def leader_of(job: JobRecord | None = None) -> Leader:
    return Leader(TOKEN, job, NOW)


def reconciled_leader() -> Leader:
    """A leader that runs the task, and has answered the same list before."""
    leader = leader_of(LIVE)
    hear_probe(leader, report(1))
    assert answer(leader, report(2)) == answer(leader, report(3)) == []
    return leader


def kinds(leader: Leader) -> dict[str, int | float]:
    """How the heartbeats were answered, by kind."""
    summary = leader.scheduler.renewal_summary(Instant(NOW))
    return {name: many for name, many in summary.items() if name in KINDS and many}


# Tasks of a service or an array, of a gang that waits, of a graph, and one that saves.
ENDED = {
    "several tasks": (*RUNNING, TaskStatus("req-000001/17", 3, wire.PULLING_IMAGE)),
    "gang": (TaskStatus("req-000002/0", 9, wire.WAITING_FOR_GANG),),
    "graph": (TaskStatus("req-900000000000010000/1", 1, wire.RUNNING),),
    "saving": (TaskStatus(TASK, 1, wire.CHECKPOINTING),),
}


@pytest.mark.parametrize("tasks", ENDED.values(), ids=ENDED)
def test_first_answer_of_a_term_stops_tasks_of_ended_jobs(tasks: tuple[TaskStatus, ...]) -> None:
    leader = leader_of()
    stops = [TaskCommand(KILL, status.task_id, status.attempt, 0.0) for status in tasks]
    assert answer(leader, report(1, tasks, token=1)) == stops
    assert not leader.scheduler.machines[MACHINE].reconciled
    assert kinds(leader) == {"stops_only": 1}


def test_first_answer_of_a_term_concludes_nothing_else() -> None:
    leader = leader_of(LIVE)
    exited = TaskStatus("req-000002/0", 1, wire.EXITED, wire.DONE)
    assert answer(leader, report(1, (*RUNNING, exited), token=1)) == []
    assert leader.scheduler.jobs[JOB].unlocated_tasks == {0}


def test_first_answer_to_an_unconfirmed_machine_stops_tasks_of_ended_jobs() -> None:
    leader = leader_of()
    assert answer(leader, report(1, name="m9")) == [STOP]
    assert not leader.scheduler.machines[MachineId("m9")].reconciled


def test_answer_to_a_report_overtaken_by_a_probe_stops_tasks_of_ended_jobs() -> None:
    leader = leader_of()
    hear_probe(leader, report(2))
    assert answer(leader, report(1)) == [STOP]


def test_overtaken_report_that_lacks_a_task_of_an_ended_job_is_not_answered() -> None:
    leader = leader_of()
    hear_probe(leader, report(2))
    assert answer(leader, report(1, ())) is None


def test_overtaken_report_that_lacks_a_known_task_is_answered_with_its_stop() -> None:
    leader = leader_of(LIVE)
    hear_probe(leader, report(2))
    leader.scheduler.remove_job(JOB)
    assert answer(leader, report(1, ())) == [STOP]


def test_unchanged_report_is_answered_with_stops_once_its_job_has_ended() -> None:
    leader = reconciled_leader()
    leader.scheduler.remove_job(JOB)
    assert answer(leader, report(4)) == [STOP]
    assert kinds(leader) == {"reconciled": 2, "unchanged": 1}


def test_task_that_was_told_to_save_is_ended_once_its_job_is_cancelled() -> None:
    leader = reconciled_leader()
    leader.scheduler.stop(leader.scheduler.jobs[JOB].placements[0], 5.0)
    saving = (TaskStatus(TASK, 1, wire.CHECKPOINTING),)
    assert answer(leader, report(4, saving)) == [TaskCommand(KILL, TASK, 1, 5.0)]
    leader.scheduler.remove_job(JOB)
    assert answer(leader, report(5, saving)) == [STOP]


def test_report_is_not_answered_before_the_jobs_are_read() -> None:
    leader = leader_of(LIVE)
    leader.scheduler.loaded = False
    assert answer(leader, report(1, token=1)) is None
    assert kinds(leader) == {"refused": 1}


def test_report_of_a_machine_believed_deleted_is_not_answered() -> None:
    leader = leader_of(LIVE)
    leader.scheduler.remove_machines([MACHINE], Instant(NOW))
    assert answer(leader, report(1)) is None


def test_report_is_not_answered_if_the_stops_exceed_a_response() -> None:
    too_many = MAX_COMMAND_LIST_BYTES // command_bytes(STOP) + 1
    tasks = [TaskStatus(f"req-000001/{number}", 1, wire.RUNNING) for number in range(too_many)]
    assert answer(leader_of(), report(1, tuple(tasks), token=1)) is None
    assert answer(leader_of(), report(1, tuple(tasks[: too_many // 2]), token=1)) is not None


def test_report_is_not_answered_while_a_start_of_a_cancelled_job_may_arrive() -> None:
    leader = reconciled_leader()
    task, attempt = TaskId(JOB, 0), Attempt(2)
    machine = leader.scheduler.machines[MACHINE]
    machine.inflight_starts.sent(task, attempt)
    assert answer(leader, report(4)) == []  # its job is live
    leader.scheduler.remove_job(JOB)
    assert answer(leader, report(5)) is None
    machine.inflight_starts.completed(task, attempt, machine.fencing_token, machine.token_seen)
    machine.fencing_token += 1  # type: ignore[assignment]
    assert answer(leader, report(6)) == [STOP]


@pytest.mark.parametrize("lease_is_valid", [True, False])
def test_forwarded_report_is_answered_with_stops_also_without_a_lease(lease_is_valid: bool) -> None:
    leader = leader_of()

    async def apply_heartbeat(header: Any, body: bytes) -> Any:
        return leader.scheduler.receive_heartbeat(header, body, Instant(NOW))

    local: Any = SimpleNamespace(leader_loop=leader, apply_heartbeat=apply_heartbeat)
    election: Any = SimpleNamespace(
        may_answer_heartbeat=lambda read: read is not None,
        is_leader=lambda: lease_is_valid,
        may_start=lambda _: True,
    )
    nothing: Any = SimpleNamespace()
    api = HeartbeatApi(local, election, nothing, nothing, lambda: NOW)
    response = curio.run(api.serve_forwarded, wire.encode(report(1, token=1)))
    orders = [{"verb": "kill", "shard": TASK, "try": 1, "drain_s": 0.0}]
    assert msgspec.msgpack.decode(response.body) == {"epoch": TOKEN, "orders": orders}


def test_new_session_of_a_machine_that_hears_nothing_ends_the_wait_for_earlier_tasks() -> None:
    """Its reports go on in ever new sessions, and none of them can still run those tasks."""
    leader = leader_of(LIVE)
    assert answer(leader, report(1, token=1)) == []
    machine = leader.scheduler.machines[MACHINE]
    assert not machine.previous_tasks_ended
    assert answer(leader, msgspec.structs.replace(report(1, (), token=1), incarnation=2)) == []
    assert machine.previous_tasks_ended and not machine.reconciled
