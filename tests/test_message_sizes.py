"""Messages to and from workers stay below the limit of the protocol, which counts JSON."""

from __future__ import annotations

import random

import msgspec
import pytest
from cluster_settings import MACHINE_TYPES, job_spec, raw_settings
from hypothesis import example, given
from hypothesis import strategies as st

from umberward.core.settings import OperatorSettings, settings_from_toml
from umberward.core.types import (
    Attempt,
    FencingToken,
    Instant,
    JobId,
    MachineId,
    MachineTypeName,
    TaskId,
    Version,
    WallTime,
    ZoneName,
    parse_task_id,
)
from umberward.protocol import message_sizes, wire
from umberward.protocol.message_sizes import (
    HEARTBEAT_TASK_BYTES,
    MAX_TASK_STATUS_BYTES,
    command_bytes,
    commands_that_fit,
    exceeds_body_limit,
    task_need,
    task_status_bytes,
)
from umberward.protocol.wire import (
    FORGET,
    KILL,
    MAX_BODY_BYTES,
    START,
    Heartbeat,
    JobRecord,
    TaskCommand,
    TaskStatus,
)
from umberward.scheduling.cluster_state import CommandMessage
from umberward.scheduling.command_queue import CommandQueue
from umberward.scheduling.jobs import Placement
from umberward.scheduling.scheduler import Scheduler

MACHINE = MachineId("m1")
LONGEST_ID = "req-" + "9" * 18
MAX_INTEGER = 2**64 - 1

job_ids = st.integers(0, 10**18 - 1).map(lambda number: f"req-{number}")
task_ids = st.builds("{}/{}".format, job_ids, st.integers(0, 99_999))
attempts = st.integers(0, MAX_INTEGER)
phases = st.sampled_from([phase.value for phase in wire.TaskPhase])
causes = st.sampled_from(
    [None, "done", "stopped", "mates_gone", "alone", "error", "no_room", "in_use", "no_such"]
)


@given(task_ids, attempts, phases, causes, st.sampled_from([None, True, False]))
def test_a_task_takes_no_more_of_a_heartbeat_than_is_reckoned(
    task_id: str, attempt: int, phase: str, cause: str | None, checkpointed: bool | None
) -> None:
    if phase != wire.EXITED:
        cause = checkpointed = None
    status = TaskStatus(task_id, attempt, phase, cause, checkpointed)
    actual_bytes = wire.json_size(status) + 1
    assert actual_bytes <= task_status_bytes(len(task_id)) <= MAX_TASK_STATUS_BYTES


@given(
    st.sampled_from([START, KILL, FORGET]),
    task_ids,
    attempts,
    st.none() | st.floats(0, 1e9, allow_nan=False),
)
@example(KILL, "req-0/0", 0, 6.103515625e-05)  # longer in JSON than in Python
def test_a_command_takes_no_more_of_a_message_than_is_reckoned(
    verb: str, task_id: str, attempt: int, grace_s: float | None
) -> None:
    command = TaskCommand(verb, task_id, attempt, grace_s)
    assert wire.json_size(command) + 1 <= command_bytes(command)


def test_a_heartbeat_with_longest_names_and_as_many_tasks_as_fit_is_below_the_limit() -> None:
    name = "x" * 200
    status = TaskStatus(f"{LONGEST_ID}/99999", MAX_INTEGER, wire.EXITED, "mates_gone", False)
    count = HEARTBEAT_TASK_BYTES // MAX_TASK_STATUS_BYTES
    heartbeat = Heartbeat(
        name, name, name, name, MAX_INTEGER, MAX_INTEGER, MAX_INTEGER, [status] * count, True, 0.1
    )
    assert wire.json_size(heartbeat) <= MAX_BODY_BYTES
    assert not exceeds_body_limit(wire.encode(heartbeat))


@pytest.mark.parametrize("verb", [START, KILL, FORGET])
def test_the_commands_that_fit_make_a_message_just_below_the_limit(verb: str) -> None:
    commands = [
        TaskCommand(verb, f"{LONGEST_ID}/{number}", MAX_INTEGER, 1 / 3 if verb == KILL else None)
        for number in range(2000)
    ]
    count = commands_that_fit(commands)
    assert 0 < count < len(commands)
    body = {"epoch": MAX_INTEGER, "tenure": MAX_INTEGER, "orders": commands[:count]}
    assert MAX_BODY_BYTES - 200 < wire.json_size(body) <= MAX_BODY_BYTES


def test_a_body_is_measured_in_json_whatever_its_encoding() -> None:
    names = ["x" * 10] * 5100
    assert len(wire.encode(names)) < MAX_BODY_BYTES < wire.json_size(names)
    assert exceeds_body_limit(wire.encode(names))
    assert not exceeds_body_limit(wire.encode(names[:5000]))
    flags = [False] * 11_000
    assert exceeds_body_limit(wire.encode(flags))
    assert message_sizes.MAX_JSON_EXPANSION * len(wire.encode(flags)) > wire.json_size(flags)


# ---- direct commands ---------------------------------------------------------------------


def _leader_with_small_tasks(count: int) -> tuple[Scheduler, list[Placement]]:
    """A leader that has placed many tasks on one machine, more than a heartbeat can list."""
    now = Instant(100.0)
    scheduler = Scheduler(
        settings_from_toml(raw_settings(), OperatorSettings()),
        MACHINE_TYPES,
        FencingToken(7),
        now,
        lambda: WallTime(0.0),
        random.Random(1),
    )
    machine = scheduler.find_or_add_machine(
        MACHINE, "127.0.0.1:9", MachineTypeName("big"), ZoneName("a"), False, now
    )
    spec = msgspec.convert(
        job_spec("req-000001", shards=count, cores=0.001, mem_gb=0.001), wire.JobSpec
    )
    scheduler.add_job(JobRecord(spec, 0.0, count), Version(1))
    job = scheduler.jobs[JobId("req-000001")]
    placements = []
    for number in range(count):
        placement = Placement(TaskId(job.id, number), Attempt(1), MACHINE, ZoneName("a"), job, now)
        placement.intent_stored = True
        scheduler.add_placement(machine, job, placement)
        placements.append(placement)
    return scheduler, placements


def _take_outbox(scheduler: Scheduler, queue: CommandQueue) -> CommandMessage | None:
    (message,), scheduler.outbox = scheduler.outbox, []
    assert isinstance(message, CommandMessage)
    return queue.add_and_take_next(message)


def _assert_within_limit(message: CommandMessage) -> None:
    body = {"epoch": message.fencing_token, "tenure": 1, "orders": message.commands}
    assert wire.json_size(body) <= MAX_BODY_BYTES


def test_direct_starts_above_the_limit_are_sent_in_several_messages_by_age() -> None:
    scheduler, placements = _leader_with_small_tasks(3000)
    queue = CommandQueue(scheduler, lambda: True)
    for placement in placements:
        scheduler.queue_start(placement)
    message = _take_outbox(scheduler, queue)
    started: list[TaskId | None] = []
    while message is not None:
        _assert_within_limit(message)
        started += [parse_task_id(command.task_id) for command in message.commands]
        message = queue.finish_and_take_next(MACHINE)
    assert started == [placement.task for placement in placements]


def test_stops_are_sent_before_the_starts_that_a_message_had_no_room_for() -> None:
    scheduler, placements = _leader_with_small_tasks(3000)
    queue = CommandQueue(scheduler, lambda: True)
    for placement in placements:
        scheduler.queue_start(placement)
    first = _take_outbox(scheduler, queue)
    assert first is not None
    sent = len(first.commands)
    for placement in placements[: sent // 2]:  # sent already
        scheduler.stop(placement, 0.0)
    for placement in placements[-10:]:  # not sent yet: their starts are dropped
        scheduler.stop(placement, 0.0)
    assert _take_outbox(scheduler, queue) is None
    second = queue.finish_and_take_next(MACHINE)
    assert second is not None
    _assert_within_limit(second)
    verbs = [command.verb for command in second.commands]
    assert verbs == sorted(verbs)  # kill, then start
    assert verbs.count(KILL) == sent // 2 + 10
    third = queue.finish_and_take_next(MACHINE)
    started = [
        command.task_id
        for message in (first, second, third)
        if message is not None
        for command in message.commands
        if command.verb == START
    ]
    assert started == [str(placement.task) for placement in placements[: len(started)]]
    dropped = {str(placement.task) for placement in placements[-10:]}
    assert not dropped.intersection(started)


def test_a_start_that_no_message_has_carried_may_not_arrive_once_it_is_dropped() -> None:
    scheduler, placements = _leader_with_small_tasks(3000)
    queue = CommandQueue(scheduler, lambda: True)
    machine = scheduler.machines[MACHINE]
    for placement in placements:
        scheduler.queue_start(placement)
    first = _take_outbox(scheduler, queue)
    assert first is not None
    last = placements[-1]
    scheduler.stop(last, 0.0)
    _take_outbox(scheduler, queue)
    while queue.finish_and_take_next(MACHINE) is not None:
        pass
    assert not machine.inflight_starts.may_arrive(last.task, last.attempt)
    assert machine.inflight_starts.may_arrive(placements[0].task, placements[0].attempt)


def test_the_need_of_a_task_includes_its_entry_in_a_heartbeat() -> None:
    spec = msgspec.convert(job_spec("req-000001", shards=1000), wire.JobSpec)
    assert task_need(spec).heartbeat_bytes == task_status_bytes(len("req-000001/999"))
