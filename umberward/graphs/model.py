"""A task graph as its user sends it, and its shape as the scheduler uses it. No I/O.

Fields are named as Ray's users know them (`num_cpus`, `num_gpus`, `memory` in bytes,
`max_retries`, `resources`). Tasks that take the same of their machines are of one kind; each kind
becomes one array of the scheduler, whose tasks are numbered in topological order.
"""

from __future__ import annotations

import graphlib
import re
from typing import Annotated, Literal, NamedTuple, NewType

import msgspec

from umberward.core.types import JOB_PREFIX, MAX_TASKS, JobId, MachineTypeName, Resources, TeamName
from umberward.protocol import wire
from umberward.protocol.wire import JobSpec, MachineType, Name, NonNegative, Positive
from umberward.scheduling.quota import Quota

GraphId = NewType("GraphId", str)

GRAPH_PREFIX = "graph-"
GRAPH_DIGITS = 13
KIND_DIGITS = 4
OWN_DIGIT = "9"  # the first of 18 digits of the ids of arrays that belong to graphs
MOST_TASKS = 10_000
MOST_KINDS = 12
MOST_NEEDS = 1_000  # of one task
MOST_PARTS = 200
GB = 1e9  # `memory` is in bytes
DEFAULT_MEMORY = 1e9
SHOWN = 12  # names of a cycle that are printed

_GRAPH_ID = re.compile(GRAPH_PREFIX + rf"[0-9]{{1,{GRAPH_DIGITS}}}\Z")
_JOB_ID = re.compile(rf"{JOB_PREFIX}{OWN_DIGIT}([0-9]{{{GRAPH_DIGITS}}})([0-9]{{{KIND_DIGITS}}})\Z")

TaskName = Annotated[str, msgspec.Meta(min_length=1, max_length=100, pattern=r"^[^\x00-\x1f]*$")]


class Task(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """One task: what it needs done before it, and what it takes of its machine."""

    name: TaskName
    needs: Annotated[list[TaskName], msgspec.Meta(max_length=MOST_NEEDS)] = []
    num_cpus: Positive = 1.0
    num_gpus: NonNegative = 0.0
    memory: Annotated[float, msgspec.Meta(gt=0, le=1e18)] = DEFAULT_MEMORY
    max_retries: Annotated[int, msgspec.Meta(ge=0, le=100)] = 3
    resources: dict[Name, Positive] = {}  # "type:NAME" or "zone:NAME"
    expect_s: NonNegative = 0.0


class Options(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """What holds for all tasks of a graph."""

    team: Name
    rank: Literal["production", "urgent", "normal", "idle"] = "normal"
    due_s: Positive | None = None
    on_failure: Literal["go_on", "cancel_rest"] = "go_on"
    job_class: Name = "graph"
    image: Name = "graph"
    pull_gb: NonNegative = 0.0
    reclaimable: bool = False


class File(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """A whole graph, as files have it."""

    graph: Options
    tasks: Annotated[list[Task], msgspec.Meta(min_length=1)]


class Part(msgspec.Struct, forbid_unknown_fields=True):
    """One part of a graph on its way to the controllers; at most 64 KiB as MessagePack."""

    uid: Name
    options: Options
    tasks: Annotated[list[Task], msgspec.Meta(min_length=1, max_length=MOST_TASKS)]
    part: Annotated[int, msgspec.Meta(ge=0, lt=MOST_PARTS)] = 0
    parts: Annotated[int, msgspec.Meta(ge=1, le=MOST_PARTS)] = 1


class Problem(NamedTuple):
    """Something wrong with a graph. `task`: its place in the list, None: the graph as a whole.

    `never`: well-formed, and yet it can never run here.
    """

    task: int | None
    text: str
    never: bool = False


class Kind(NamedTuple):
    """What tasks of one array have in common."""

    cpus: float
    gpus: float
    memory: float
    max_retries: int
    type: str | None
    zone: str | None

    @property
    def need(self) -> Resources:
        return Resources(self.cpus, self.gpus, self.memory / GB)


class Place(NamedTuple):
    """Where a task of a graph stands among the scheduler's arrays."""

    kind: int
    number: int


def parse_graph_id(text: object) -> GraphId | None:
    if isinstance(text, str) and _GRAPH_ID.match(text):
        return GraphId(f"{GRAPH_PREFIX}{int(text[len(GRAPH_PREFIX) :])}")
    return None


def job_id(graph: GraphId, kind: int) -> JobId:
    """The array that tasks of this kind are of. Users' own jobs never have such an id."""
    number = int(graph[len(GRAPH_PREFIX) :])
    return JobId(f"{JOB_PREFIX}{OWN_DIGIT}{number:0{GRAPH_DIGITS}d}{kind:0{KIND_DIGITS}d}")


def graph_of(job: str) -> tuple[GraphId, int] | None:
    """The graph and kind that an array is for; None: it is an ordinary job."""
    found = _JOB_ID.match(job)
    if found is None:
        return None
    return GraphId(f"{GRAPH_PREFIX}{int(found[1])}"), int(found[2])


class Shape:
    """Tasks in topological order, level by level, and how they hang together.

    All lists are by that order. `names` are the users', `needs` and `heirs` are places in the
    order, `place` says which task of which array each is, `members` is the way back.
    """

    def __init__(self, tasks: list[Task]) -> None:
        """Raises ValueError for a graph that `problems` finds fault with."""
        numbers = {task.name: number for number, task in enumerate(tasks)}
        if len(numbers) != len(tasks):
            raise ValueError("doubled names")
        level = [0] * len(tasks)
        try:
            sorter = graphlib.TopologicalSorter(
                {n: [numbers[name] for name in task.needs] for n, task in enumerate(tasks)}
            )
            for number in sorter.static_order():
                for name in tasks[number].needs:
                    level[number] = max(level[number], level[numbers[name]] + 1)
        except KeyError as error:
            raise ValueError(f"unknown name {error}") from None
        except graphlib.CycleError:
            raise ValueError("a cycle") from None
        order = sorted(range(len(tasks)), key=lambda number: (level[number], number))
        at = [0] * len(tasks)
        for position, number in enumerate(order):
            at[number] = position
        self.names = [tasks[number].name for number in order]
        self.needs = [sorted({at[numbers[n]] for n in tasks[number].needs}) for number in order]
        self.heirs: list[list[int]] = [[] for _ in order]
        for position, needs in enumerate(self.needs):
            for need in needs:
                self.heirs[need].append(position)
        self.kinds: list[Kind] = []
        self.place: list[Place] = []
        self.members: list[list[int]] = []
        # The longest that its owner expects of any of a kind's tasks.
        self.expect_s: list[float] = []
        known: dict[Kind, int] = {}
        for position, number in enumerate(order):
            task = tasks[number]
            kind = kind_of(task)
            index = known.setdefault(kind, len(known))
            if index == len(self.kinds):
                self.kinds.append(kind)
                self.members.append([])
                self.expect_s.append(0.0)
            self.place.append(Place(index, len(self.members[index])))
            self.members[index].append(position)
            self.expect_s[index] = max(self.expect_s[index], task.expect_s)

    def __len__(self) -> int:
        return len(self.names)

    def spread(self, position: int, because: dict[int, int]) -> list[int]:
        """Note in `because` this failed task for all that need it and have none noted; these, in
        topological order. What hangs on one that has was noted with it, and is not walked again.
        """
        return sorted(_reached(position, self.heirs, because))

    def before(self, position: int) -> list[int]:
        """All tasks that this one needs, directly or through others, in topological order."""
        return sorted(_reached(position, self.needs, {}))

    def spec(self, graph: GraphId, options: Options, kind: int) -> JobSpec:
        """The array that the scheduler runs for the tasks of one kind."""
        same = self.kinds[kind]
        return JobSpec(
            job_id=job_id(graph, kind),
            job_class=options.job_class,
            team=options.team,
            kind=wire.ARRAY,
            priority=options.rank,
            task_count=len(self.members[kind]),
            cores=same.cpus,
            accelerators=same.gpus,
            mem_gb=same.memory / GB,
            image=options.image,
            image_gb=options.pull_gb,
            expected_runtime_s=self.expect_s[kind],
            same_zone=False,
            spread=False,
            spot=options.reclaimable,
            checkpoint_interval_s=0.0,
            checkpoint_cost_s=0.0,
            machine_types=None if same.type is None else [same.type],
            zone=same.zone,
            deadline_s=options.due_s,
        )


def _reached(position: int, edges: list[list[int]], known: dict[int, int]) -> list[int]:
    """What is reached of what is not known; it is known, by this position, afterwards."""
    found = []
    walk = [position]
    while walk:
        for other in edges[walk.pop()]:
            if other not in known:
                known[other] = position
                found.append(other)
                walk.append(other)
    return found


def kind_of(task: Task) -> Kind:
    """Raises ValueError for resources that no machine has."""
    type_: str | None = None
    zone: str | None = None
    for name in task.resources:
        what, colon, which = name.partition(":")
        if not colon or not which or what not in ("type", "zone"):
            raise ValueError(f"resources: no machine has {name!r}; known are type:NAME, zone:NAME")
        if what == "type":
            type_ = which
        else:
            zone = which
    return Kind(task.num_cpus, task.num_gpus, task.memory, task.max_retries, type_, zone)


def problems(
    tasks: list[Task], skus: dict[MachineTypeName, MachineType] | None = None
) -> list[Problem]:
    """All that is wrong with a graph. `skus`: the machine types, if they are known."""
    if len(tasks) > min(MOST_TASKS, MAX_TASKS):
        return [Problem(None, f"{len(tasks)} tasks, at most {MOST_TASKS} are taken")]
    found: list[Problem] = []
    first: dict[str, int] = {}
    kinds: dict[Kind, int] = {}
    for number, task in enumerate(tasks):
        if task.name in first:
            where = first[task.name] + 1
            found.append(Problem(number, f"the name {task.name!r} is that of task {where} too"))
        first.setdefault(task.name, number)
        amounts = (task.num_cpus, task.num_gpus, task.memory, task.expect_s)
        if any(amount != amount for amount in amounts):
            found.append(Problem(number, f"{task.name}: an amount is not a number"))
            continue
        try:
            kind = kind_of(task)
        except ValueError as error:
            found.append(Problem(number, f"{task.name}: {error}", never=True))
            continue
        if kind not in kinds and skus is not None and not _held(kind, skus):
            text = f"{task.name}: no machine type can hold it"
            found.append(Problem(number, text, never=True))
        kinds.setdefault(kind, number)
    if len(kinds) > MOST_KINDS:
        text = f"tasks of {len(kinds)} kinds (amounts and retries), at most {MOST_KINDS} are taken"
        found.append(Problem(None, text))
    for number, task in enumerate(tasks):
        for name in task.needs:
            if name not in first:
                found.append(Problem(number, f"{task.name}: needs {name!r}, which is no task"))
    if not found:
        found += _cycle(tasks, first)
    return found


def team_problems(team: str, tasks: list[Task], quota: Quota) -> list[Problem]:
    """What its team says of a graph: there is none, or a task is more than it may ever use."""
    name = TeamName(team)
    if name not in quota.teams:
        return [Problem(None, f"team: no team {team}", never=True)]
    return [
        Problem(number, f"{task.name}: needs more than the team's maximum", never=True)
        for number, task in enumerate(tasks)
        if quota.exceeds_limit(name, kind_of(task).need, 1)
    ]


def _held(kind: Kind, skus: dict[MachineTypeName, MachineType]) -> bool:
    return any(
        kind.type in (None, name)
        and (kind.zone is None or kind.zone in sku.zones)
        and kind.need.fits(sku.capacity)
        for name, sku in skus.items()
    )


def _cycle(tasks: list[Task], numbers: dict[str, int]) -> list[Problem]:
    try:
        graphlib.TopologicalSorter({task.name: task.needs for task in tasks}).prepare()
    except graphlib.CycleError as error:
        names: list[str] = error.args[1]  # each is needed by the next
        shown = names if len(names) <= SHOWN else [*names[:SHOWN], "...", names[-1]]
        text = f"a cycle: {' -> '.join(shown)}"
        return [Problem(numbers[names[0]], text)]
    return []
