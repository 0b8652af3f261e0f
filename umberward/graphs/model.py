"""A task graph as submitted by its user, and its shape as used by the scheduler. No I/O.

Fields have the names that Ray uses (`num_cpus`, `num_gpus`, `memory` in bytes, `max_retries`,
`resources`). Tasks with equal requirements are of one kind; each kind becomes one array job of the
scheduler, whose tasks are numbered in topological order.
"""

from __future__ import annotations

import graphlib
import math
import re
from array import array
from collections.abc import Mapping
from typing import Annotated, Literal, NamedTuple, NewType, TypeAlias

import msgspec

from umberward.core.types import (
    JOB_ID_PREFIX,
    MAX_TASKS_PER_JOB,
    JobId,
    MachineTypeName,
    Resources,
    TeamName,
)
from umberward.graphs.errors import (
    CyclicGraphError,
    DuplicateNameError,
    MalformedGraphError,
    UnknownNeedError,
    UnknownResourceError,
)
from umberward.protocol import wire
from umberward.protocol.wire import JobSpec, MachineType, Name, NonNegative, Positive
from umberward.scheduling.quota import Quota

GraphId = NewType("GraphId", str)
MachineTypes = Mapping[MachineTypeName, MachineType]

GRAPH_ID_PREFIX = "graph-"
GRAPH_DIGITS = 13
KIND_DIGITS = 4
GRAPH_JOB_DIGIT = "9"  # the first of the 18 digits in the id of an array of a graph
MAX_GRAPH_TASKS = 10_000
MAX_KINDS = 12
MAX_PRINTED_CYCLE_NAMES = 12
MAX_NEEDS = 1_000  # of one task
MAX_PARTS = 200
BYTES_PER_GB = 1e9  # `memory` of tasks is in bytes, that of machines in GB
DEFAULT_MEMORY = 1e9  # bytes

_GRAPH_ID = re.compile(GRAPH_ID_PREFIX + rf"[0-9]{{1,{GRAPH_DIGITS}}}\Z")
_JOB_ID = re.compile(
    rf"{JOB_ID_PREFIX}{GRAPH_JOB_DIGIT}([0-9]{{{GRAPH_DIGITS}}})([0-9]{{{KIND_DIGITS}}})\Z"
)

# By task: the numbers of others, as the shortest integers that hold MAX_GRAPH_TASKS. A graph may
# have millions of needs, and a list of integers takes four times as much.
Edges: TypeAlias = "list[array[int]]"
EDGE_TYPE = "H"

TaskName = Annotated[str, msgspec.Meta(min_length=1, max_length=100, pattern=r"^[^\x00-\x1f]*$")]


class Task(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """One task: what it needs done before it, and what it takes of its machine."""

    name: TaskName
    needs: Annotated[list[TaskName], msgspec.Meta(max_length=MAX_NEEDS)] = []
    num_cpus: Positive = 1.0
    num_gpus: NonNegative = 0.0
    memory: Annotated[float, msgspec.Meta(gt=0, le=1e18)] = DEFAULT_MEMORY
    max_retries: Annotated[int, msgspec.Meta(ge=0, le=100)] = 3
    resources: dict[Name, Positive] = {}  # "type:NAME" or "zone:NAME"
    expect_s: NonNegative = 0.0


class Options(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """The options of a graph, which apply to all its tasks.

    `due_s` is the deadline in seconds after submission, `pull_gb` the size of the image.
    """

    team: Name
    rank: Literal["production", "urgent", "normal", "idle"] = "normal"
    due_s: Positive | None = None
    on_failure: Literal["go_on", "cancel_rest"] = "go_on"
    job_class: Name = "graph"
    image: Name = "graph"
    pull_gb: NonNegative = 0.0
    reclaimable: bool = False


class File(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """A whole graph as it is written in a file."""

    graph: Options
    tasks: Annotated[list[Task], msgspec.Meta(min_length=1)]


class Part(msgspec.Struct, forbid_unknown_fields=True):
    """One part of a graph as sent to a controller; at most 64 KiB as MessagePack.

    `part` is the number of this part, counted from 0, and `parts` the total number of parts.
    """

    uid: Name
    options: Options
    tasks: Annotated[list[Task], msgspec.Meta(min_length=1, max_length=MAX_GRAPH_TASKS)]
    part: Annotated[int, msgspec.Meta(ge=0, lt=MAX_PARTS)] = 0
    parts: Annotated[int, msgspec.Meta(ge=1, le=MAX_PARTS)] = 1


class Kind(NamedTuple):
    """The requirements that the tasks of one array have in common; `memory` is in bytes."""

    cpus: float
    gpus: float
    memory: float
    max_retries: int
    type: str | None
    zone: str | None

    @property
    def need(self) -> Resources:
        """The resources that one task takes."""
        return Resources(self.cpus, self.gpus, self.memory / BYTES_PER_GB)


class ArraySlot(NamedTuple):
    """The kind of a task, which selects its array, and the task's index in that array."""

    kind: int
    number: int


def parse_graph_id(text: object) -> GraphId | None:
    """Return a graph id in canonical form, without leading zeros; None: not a graph id."""
    if isinstance(text, str) and _GRAPH_ID.match(text):
        return GraphId(f"{GRAPH_ID_PREFIX}{int(text[len(GRAPH_ID_PREFIX) :])}")
    return None


def job_id(graph_id: GraphId, kind: int) -> JobId:
    """Return the id of the array for tasks of this kind; users' own jobs never have such an id."""
    number = int(graph_id[len(GRAPH_ID_PREFIX) :])
    return JobId(f"{JOB_ID_PREFIX}{GRAPH_JOB_DIGIT}{number:0{GRAPH_DIGITS}d}{kind:0{KIND_DIGITS}d}")


def parse_graph_job_id(job_id: str) -> tuple[GraphId, int] | None:
    """Return the graph and the kind of an array by its job id; None: an ordinary job."""
    match = _JOB_ID.match(job_id)
    if match is None:
        return None
    return GraphId(f"{GRAPH_ID_PREFIX}{int(match[1])}"), int(match[2])


class Shape:
    """The tasks of a graph in topological order, level by level, and their dependencies.

    A position is a task's number in that order. Indexed by position: `names` (as given by the
    user), `needs` and `dependents` (the positions of the tasks that a task needs directly, and of
    those that need it) and `array_slots` (the task's array and index). Indexed by kind: `kinds`,
    `task_positions` (the position of each task of the array) and `expect_s` (the longest expected
    runtime, in seconds).
    """

    def __init__(self, tasks: list[Task]) -> None:
        """Sort the tasks; raise MalformedGraphError for tasks that `find_problems` rejects."""
        numbers = {task.name: number for number, task in enumerate(tasks)}
        if len(numbers) != len(tasks):
            raise DuplicateNameError
        needs = _need_numbers(tasks, numbers)
        levels = _levels(needs)
        order = sorted(range(len(tasks)), key=lambda number: (levels[number], number))
        self.names = [tasks[number].name for number in order]
        self._link_dependencies(needs, order)
        self.kinds: list[Kind] = []
        self.array_slots: list[ArraySlot] = []
        self.task_positions: list[list[int]] = []
        self.expect_s: list[float] = []
        self._group_by_kind([tasks[number] for number in order])

    def _link_dependencies(self, needs: Edges, order: list[int]) -> None:
        """Fill `needs` and `dependents`."""
        positions = [0] * len(order)
        for position, number in enumerate(order):
            positions[number] = position
        self.needs: Edges = [
            array(EDGE_TYPE, sorted(positions[need] for need in needs[number])) for number in order
        ]
        self.dependents = _reversed_edges(self.needs)

    def _group_by_kind(self, ordered_tasks: list[Task]) -> None:
        """Fill `array_slots` and the lists that are indexed by kind."""
        known: dict[Kind, int] = {}
        for position, task in enumerate(ordered_tasks):
            kind = kind_of(task)
            index = known.setdefault(kind, len(known))
            if index == len(self.kinds):
                self.kinds.append(kind)
                self.task_positions.append([])
                self.expect_s.append(0.0)
            self.array_slots.append(ArraySlot(index, len(self.task_positions[index])))
            self.task_positions[index].append(position)
            self.expect_s[index] = max(self.expect_s[index], task.expect_s)

    def __len__(self) -> int:
        """Return the number of tasks."""
        return len(self.names)

    def mark_not_run(self, position: int, because: dict[int, int]) -> list[int]:
        """Record the failed task at `position` as the reason why its dependents will not run.

        Adds it to `because` for every task that needs it, directly or not, and has no reason yet;
        returns these tasks in topological order. Dependents of a task that has a reason already
        have one too, so they are not visited again.
        """
        return sorted(_reachable(position, self.dependents, because))

    def transitive_needs(self, position: int) -> list[int]:
        """Return all tasks that this one needs, directly or not, in topological order."""
        return sorted(_reachable(position, self.needs, {}))

    def spec(self, graph_id: GraphId, options: Options, kind: int) -> JobSpec:
        """Return the job specification of the array for one kind."""
        common = self.kinds[kind]
        return JobSpec(
            job_id=job_id(graph_id, kind),
            job_class=options.job_class,
            team=options.team,
            kind=wire.ARRAY,
            priority=options.rank,
            task_count=len(self.task_positions[kind]),
            cores=common.cpus,
            accelerators=common.gpus,
            mem_gb=common.memory / BYTES_PER_GB,
            image=options.image,
            image_gb=options.pull_gb,
            expected_runtime_s=self.expect_s[kind],
            same_zone=False,
            spread=False,
            spot=options.reclaimable,
            checkpoint_interval_s=0.0,
            checkpoint_cost_s=0.0,
            machine_types=None if common.type is None else [common.type],
            zone=common.zone,
            deadline_s=options.due_s,
        )


def _need_numbers(tasks: list[Task], numbers: dict[str, int]) -> Edges:
    """Return the numbers of the tasks that each task needs, each once."""
    try:
        return [array(EDGE_TYPE, {numbers[name] for name in task.needs}) for task in tasks]
    except KeyError as error:
        raise UnknownNeedError(error.args[0]) from None


def _reversed_edges(needs: Edges) -> Edges:
    """Return by task those that need it, in ascending order."""
    dependents: Edges = [array(EDGE_TYPE) for _ in needs]
    for number, needed in enumerate(needs):
        for need in needed:
            dependents[need].append(number)
    return dependents


def _levels(needs: Edges) -> list[int]:
    """Return the length of the longest chain of needs of each task."""
    levels = [0] * len(needs)
    unmet = [len(needed) for needed in needs]
    dependents = _reversed_edges(needs)
    ready = [number for number, count in enumerate(unmet) if not count]
    sorted_count = 0
    while ready:
        number = ready.pop()
        sorted_count += 1
        for dependent in dependents[number]:
            levels[dependent] = max(levels[dependent], levels[number] + 1)
            unmet[dependent] -= 1
            if not unmet[dependent]:
                ready.append(dependent)
    if sorted_count < len(needs):
        raise CyclicGraphError
    return levels


def _reachable(position: int, edges: Edges, known: dict[int, int]) -> list[int]:
    """Return the positions reachable along `edges` without entering those in `known`.

    Adds them to `known`, mapped to `position`.
    """
    reached = []
    unvisited = [position]
    while unvisited:
        for neighbor in edges[unvisited.pop()]:
            if neighbor not in known:
                known[neighbor] = position
                reached.append(neighbor)
                unvisited.append(neighbor)
    return reached


def kind_of(task: Task) -> Kind:
    """Return the kind of a task; raise UnknownResourceError for resources that no machine has."""
    machine_type: str | None = None
    zone: str | None = None
    for name in task.resources:
        resource, _, value = name.partition(":")
        if not value or resource not in ("type", "zone"):
            raise UnknownResourceError(name)
        if resource == "type":
            machine_type = value
        else:
            zone = value
    return Kind(task.num_cpus, task.num_gpus, task.memory, task.max_retries, machine_type, zone)


class Problem(NamedTuple):
    """An error in a graph.

    `task` is the task's number in the list of tasks, None for the graph as a whole. `unrunnable`
    means that the graph is well-formed but can never run on this cluster.
    """

    task: int | None
    text: str
    unrunnable: bool = False


def find_problems(tasks: list[Task], machine_types: MachineTypes | None = None) -> list[Problem]:
    """Return the problems of a graph's tasks.

    `machine_types` are those of the cluster; None: unknown, so tasks may be of any size.
    """
    if len(tasks) > min(MAX_GRAPH_TASKS, MAX_TASKS_PER_JOB):
        return [Problem(None, f"{len(tasks)} tasks, at most {MAX_GRAPH_TASKS} are taken")]
    numbers: dict[str, int] = {}
    for number, task in enumerate(tasks):
        numbers.setdefault(task.name, number)
    found = _find_task_problems(tasks, numbers, machine_types)
    found += [
        Problem(number, f"{task.name}: needs {name!r}, which is no task")
        for number, task in enumerate(tasks)
        for name in task.needs
        if name not in numbers
    ]
    return found or _find_cycle_problems(tasks, numbers)


def find_team_problems(team: str, tasks: list[Task], quota: Quota) -> list[Problem]:
    """Return the problems of a graph with this team.

    Either the team does not exist or a task exceeds the team's maximum. Raises MalformedGraphError
    for tasks that `find_problems` rejects.
    """
    name = TeamName(team)
    if name not in quota.teams:
        return [Problem(None, f"team: no team {team}", unrunnable=True)]
    return [
        Problem(number, f"{task.name}: needs more than the team's maximum", unrunnable=True)
        for number, task in enumerate(tasks)
        if quota.exceeds_limit(name, kind_of(task).need, 1)
    ]


def _find_task_problems(
    tasks: list[Task], numbers: dict[str, int], machine_types: MachineTypes | None
) -> list[Problem]:
    """Return the problems of single tasks and of the number of kinds."""
    found: list[Problem] = []
    kinds: set[Kind] = set()
    for number, task in enumerate(tasks):
        first = numbers[task.name]
        if first != number:
            text = f"the name {task.name!r} is that of task {first + 1} too"
            found.append(Problem(number, text))
        amounts = (task.num_cpus, task.num_gpus, task.memory, task.expect_s)
        if any(math.isnan(amount) for amount in amounts):
            found.append(Problem(number, f"{task.name}: an amount is not a number"))
            continue
        try:
            kind = kind_of(task)
        except MalformedGraphError as error:
            found.append(Problem(number, f"{task.name}: {error}", unrunnable=True))
            continue
        # One problem per kind is enough.
        if kind not in kinds and machine_types is not None and not _fits_any(kind, machine_types):
            text = f"{task.name}: no machine type can hold it"
            found.append(Problem(number, text, unrunnable=True))
        kinds.add(kind)
    if len(kinds) > MAX_KINDS:
        text = f"tasks of {len(kinds)} kinds (amounts and retries), at most {MAX_KINDS} are taken"
        found.append(Problem(None, text))
    return found


def _fits_any(kind: Kind, machine_types: MachineTypes) -> bool:
    """Whether a task of this kind fits on an empty machine of some type."""
    return any(
        kind.type in (None, name)
        and (kind.zone is None or kind.zone in machine_type.zones)
        and kind.need.fits(machine_type.capacity)
        for name, machine_type in machine_types.items()
    )


def _find_cycle_problems(tasks: list[Task], numbers: dict[str, int]) -> list[Problem]:
    """Return the first cycle among the needs, if there is one."""
    try:
        graphlib.TopologicalSorter({task.name: task.needs for task in tasks}).prepare()
    except graphlib.CycleError as error:
        names: list[str] = error.args[1]  # each task is needed by the next one
        shown = names
        if len(names) > MAX_PRINTED_CYCLE_NAMES:
            shown = [*names[:MAX_PRINTED_CYCLE_NAMES], "...", names[-1]]
        return [Problem(numbers[names[0]], f"a cycle: {' -> '.join(shown)}")]
    return []
