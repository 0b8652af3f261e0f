"""Checks of submitted jobs that need no request to other services."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from umberward.control.absent_jobs import AbsentJob
from umberward.control.errors import ControllerError
from umberward.control.job_states import JobState
from umberward.core.settings import ControllerLimits, Settings, StateLimits
from umberward.core.types import (
    JobId,
    MachineTypeName,
    TeamName,
    WallTime,
    parse_job_id,
)
from umberward.graphs.model import parse_graph_job_id
from umberward.protocol import wire
from umberward.protocol.message_sizes import task_need
from umberward.protocol.wire import FinalJobRecord, JobRecord, JobSpec, MachineType
from umberward.scheduling.quota import Quota

BYTES_PER_KB = 1024
BYTES_PER_MB = 1_000_000
PLACEMENT_BYTES = 1200  # memory of a leader for each task on a machine
# The tasks of one job may take this part of a controller's memory; the process needs the rest.
PLACEMENTS_MEMORY_FRACTION = 0.5
# What a controller may keep of jobs that wait for others, and the memory of a leader for each pair
# of a waiting job and one that it waits for.
DEPENDENCIES_MEMORY_FRACTION = 0.25
DEPENDENCY_BYTES = 40
COMPLETIONS_RESERVE_BYTES = 512  # reserved in each record for a running job's completions
RECORD_MARGIN_BYTES = 64  # left unused in each record
SUBMITTED_AT_DIGITS = 3  # decimal places of the submission time in seconds


class JobRejectedError(ControllerError):
    """The job is well-formed but not allowed: it can never run, or has an invalid dependency."""


class UnknownTeamError(JobRejectedError):
    """The job's team is not in the settings."""

    def __init__(self, team: str) -> None:
        """`team`: the unknown team that the job names."""
        super().__init__(f"owner: no team {team}")


class NoFittingMachineTypeError(JobRejectedError):
    """A single task does not fit any machine type that the job allows."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("a task fits no allowed machine type")


class QuotaExceededError(JobRejectedError):
    """The tasks that must run at the same time need more than the team's limit."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("the job needs more than the team's maximum")


class TooManyTasksError(JobRejectedError):
    """The job has more tasks that run at the same time than a controller can keep track of."""

    def __init__(self, max_tasks: int) -> None:
        """`max_tasks`: how many it could have."""
        super().__init__(f"shards: at most {max_tasks} tasks can run at the same time")


class SelfDependencyError(JobRejectedError):
    """The job depends on itself."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("waits_on: the job itself")


class UnknownDependencyError(JobRejectedError):
    """The job depends on a job that no controller has accepted."""

    def __init__(self, dependency: AbsentJob) -> None:
        """`dependency`: the one that is not allowed, with the proof that it is not known."""
        super().__init__(f"waits_on: {dependency.job_id} was never accepted")
        self.dependency = dependency


class ServiceDependencyError(JobRejectedError):
    """The job depends on a service, which never ends by itself."""

    def __init__(self, dependency: JobId) -> None:
        """`dependency`: the one that is not allowed."""
        super().__init__(f"waits_on: {dependency} is a service")


class InvalidSubmissionError(wire.MalformedMessageError):
    """The body can be decoded but is not a valid submission."""


class Submission(NamedTuple):
    """A decoded submission: the record to store and the dependencies of the job."""

    job_id: JobId
    record: JobRecord
    dependencies: list[JobId]

    @property
    def spec(self) -> JobSpec:
        """The job's description."""
        return self.record.spec


class DependencyOutcome(NamedTuple):
    """What the states of a job's dependencies mean for the job.

    `unfinished` lists the live dependencies, for which it still waits. `cancelled` is the first
    cancelled dependency: if there is one, the job is cancelled as well.
    """

    unfinished: list[JobId]
    cancelled: JobId | None = None


class JobAdmission:
    """Decodes submissions and checks them against machine types and quotas."""

    def __init__(
        self,
        settings: Settings,
        machine_types: Mapping[MachineTypeName, MachineType],
        wall_clock: Callable[[], WallTime],
    ) -> None:
        """Create the admission checks; the owner of `machine_types` may fill it in later."""
        cluster = settings.platform.cluster
        self.machine_types = machine_types
        self.wall_clock = wall_clock
        self.quota = Quota(cluster.teams)
        self.max_value_bytes = max_value_bytes(cluster.state)
        self.max_tasks_at_once = max_tasks_at_once(cluster.machine_limits)
        self.max_dependencies = max_dependencies(cluster.machine_limits)
        self.graphs_enabled = settings.operator.graphs_enabled

    def decode(self, body: bytes) -> Submission:
        """Decode a request body. Raises MalformedMessageError with the reason for a 400."""
        spec = wire.decode_job_spec(body)
        job_id = parse_job_id(spec.job_id)
        if job_id is None:
            reason = "uid: not a job id"
            raise InvalidSubmissionError(reason)
        if self.graphs_enabled and parse_graph_job_id(job_id) is not None:
            reason = "uid: such ids are those of task graphs"
            raise InvalidSubmissionError(reason)
        return self._build_submission(job_id, spec)

    def _build_submission(self, job_id: JobId, spec: JobSpec) -> Submission:
        """Build the record to store. Raises InvalidSubmissionError if it would be too long."""
        dependencies = list(dict.fromkeys(map(JobId, spec.dependencies or ())))
        spec.dependencies = None
        record = JobRecord(spec, round(self.wall_clock(), SUBMITTED_AT_DIGITS))
        # The record of a running job needs space for completed tasks. Dependencies are stored only
        # until the job starts, so they may use that space.
        if wire.json_size(record) > self.max_value_bytes - COMPLETIONS_RESERVE_BYTES:
            reason = "the description is too long"
            raise InvalidSubmissionError(reason)
        record.dependencies = wire.pack_dependencies(dependencies)
        if wire.json_size(record) > self.max_value_bytes - RECORD_MARGIN_BYTES:
            reason = "waits_on: too many jobs for one record"
            raise InvalidSubmissionError(reason)
        return Submission(job_id, record, dependencies)

    def check_feasible(self, spec: JobSpec) -> None:
        """Raise JobRejectedError for a job that can never run."""
        team = TeamName(spec.team)
        if team not in self.quota.teams:
            raise UnknownTeamError(spec.team)
        need = task_need(spec)
        if not any(
            need.fits(machine_type.capacity) for machine_type in self._allowed_machine_types(spec)
        ):
            raise NoFittingMachineTypeError
        # The tasks of an array may run one at a time; gangs and services need all at once.
        tasks_at_once = 1 if spec.kind == wire.ARRAY else spec.task_count
        if self.quota.exceeds_limit(team, need, tasks_at_once):
            raise QuotaExceededError
        if tasks_at_once > self.max_tasks_at_once:
            raise TooManyTasksError(self.max_tasks_at_once)

    def _allowed_machine_types(self, spec: JobSpec) -> Iterable[MachineType]:
        for name, machine_type in self.machine_types.items():
            if spec.machine_types is not None and name not in spec.machine_types:
                continue
            if spec.zone is None or spec.zone in machine_type.zones:
                yield machine_type


def max_tasks_at_once(limits: ControllerLimits) -> int:
    """How many tasks of one gang or service a leader can hold in memory (docs/size.md)."""
    return int(PLACEMENTS_MEMORY_FRACTION * limits.memory_mb * BYTES_PER_MB / PLACEMENT_BYTES)


def max_dependencies(limits: ControllerLimits) -> int:
    """How many dependencies all waiting jobs together may have (docs/size.md)."""
    memory_bytes = DEPENDENCIES_MEMORY_FRACTION * limits.memory_mb * BYTES_PER_MB
    return int(memory_bytes / DEPENDENCY_BYTES)


def max_value_bytes(limits: StateLimits) -> int:
    """Size in bytes of the largest value that the state service accepts."""
    return int(limits.strictest().value_kb * BYTES_PER_KB)


def resolve_dependencies(
    states: Mapping[JobId, JobState | AbsentJob],
) -> DependencyOutcome:
    """Evaluate the states of a job's dependencies, in the order given by the job.

    Raises JobRejectedError for a dependency that is not allowed.
    """
    unfinished = []
    cancelled: JobId | None = None
    for dependency, state in states.items():
        if isinstance(state, AbsentJob):
            raise UnknownDependencyError(state)
        if isinstance(state, FinalJobRecord):
            if state.phase != wire.DONE:
                cancelled = cancelled or dependency
        elif state.service:
            raise ServiceDependencyError(dependency)
        else:
            unfinished.append(dependency)
    return DependencyOutcome(unfinished, cancelled)


def extract_job_id(body: bytes) -> JobId | None:
    """The job id in a malformed submission; None if there is no valid one."""
    return parse_job_id(wire.extract_uid(body))
