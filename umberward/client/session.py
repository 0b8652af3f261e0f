"""Calls of remote functions, collected into graphs; their values and failures."""

from __future__ import annotations

import functools
import inspect
import time
from collections.abc import Iterable, Sequence
from typing import Any

import cloudpickle
import curio
import msgspec

from umberward.client import store
from umberward.core.types import Address, parse_address
from umberward.graphs import files
from umberward.graphs.model import (
    DEFAULT_MEMORY,
    GRAPH_PREFIX,
    File,
    GraphId,
    Options,
    Shape,
    Task,
    job_id,
    problems,
)
from umberward.protocol import wire
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError, Response

GRAPHS = "/v1/graphs"
POLL_S = 0.25
REQUEST_S = 5.0
GIVE_UP_S = 60.0  # no controller has answered for so long
SOCKETS = 16


class ClientError(Exception):
    """Something on the way to the cluster went wrong; the base of all that is raised here."""


class ActorsNotServed(ClientError, TypeError):
    pass


class TaskFailed(ClientError):
    """The function raised, on as many machines as it was tried; holds the remote traceback."""


class NotRun(ClientError):
    """Something that the task needs has failed."""


class Cancelled(ClientError):
    pass


class Ref:
    """The value that a task will leave. Other tasks take it as an argument."""

    def __init__(self, name: str, task: Task, call: bytes, needs: list[Ref]) -> None:
        self.name = name
        self.task = task
        self.call = call
        self.needs = needs
        self.graph: GraphId | None = None  # once it is sent
        self.place = ""  # the scheduler's name for it, from then on
        self.phase = "pending"
        self.because = ""

    def __repr__(self) -> str:
        return f"Ref({self.name}, {self.phase})"

    def __reduce__(self) -> Any:
        text = "give it to a task as an argument of its own, not inside another"
        raise ClientError(f"{self.name}: {text}")


class Session:
    def __init__(self, servers: list[Address], at: Address, options: Options) -> None:
        self.servers = servers
        self.store = at
        self.options = options
        self.pending: list[Ref] = []
        self.sent: dict[GraphId, dict[str, Ref]] = {}
        self.calls = 0
        self.number = time.time_ns() // 1000 % 10**13  # ids of graphs: from the time of day

    # ---- sending -----------------------------------------------------------------------

    def add(self, function: Any, args: Any, kwargs: Any, fields: dict[str, Any]) -> Ref:
        self.calls += 1
        name = f"{getattr(function, '__name__', 'task')}-{self.calls}"
        given = [value for value in (*args, *kwargs.values()) if isinstance(value, Ref)]
        needs = list(dict.fromkeys(ref.name for ref in given))
        try:
            task = msgspec.convert({"name": name, "needs": needs, **fields}, Task)
        except msgspec.ValidationError as error:
            raise ClientError(f"{name}: {error}") from None
        # The arguments are taken as they are now, whatever the caller does with them afterwards.
        plain = tuple(Later(a) if isinstance(a, Ref) else a for a in args)
        named = {n: Later(a) if isinstance(a, Ref) else a for n, a in kwargs.items()}
        ref = Ref(name, task, cloudpickle.dumps((function, plain, named)), given)
        self.pending.append(ref)
        return ref

    def flush(self) -> None:
        """Send what was called since the last time as one graph."""
        refs, self.pending = self.pending, []
        refs = [ref for ref in refs if self._can_run(ref)]
        if not refs:
            return
        here = {ref.name for ref in refs}
        tasks = [
            msgspec.structs.replace(ref.task, needs=[n for n in ref.task.needs if n in here])
            for ref in refs
        ]
        wrong = problems(tasks)
        if wrong:
            raise ClientError("; ".join(problem.text for problem in wrong))
        self.number += 1
        id = GraphId(f"{GRAPH_PREFIX}{self.number}")
        shape = Shape(tasks)
        places = {
            shape.names[position]: f"{job_id(id, kind)}/{number}"
            for position, (kind, number) in enumerate(shape.place)
        }
        for ref in refs:
            ref.graph, ref.place = id, places[ref.name]
        curio.run(self._upload, refs)
        for part in files.parts(id, File(self.options, tasks)):
            response = self._ask("POST", GRAPHS, wire.encode(part))
            if response.status not in (200, 201, 202):
                raise ClientError(f"{id}: {_said(response)}")
        self.sent[id] = {ref.name: ref for ref in refs}

    def _can_run(self, ref: Ref) -> bool:
        """What it needs of earlier graphs must be over: the values are fetched when it starts."""
        for need in ref.needs:
            if need.graph is not None:
                self._follow([need])
            if need.phase not in ("pending", "done"):  # pending: it is sent with this one
                ref.phase, ref.because = "not_run", need.because or need.name
                return False
        return True

    async def _upload(self, refs: list[Ref]) -> None:
        client = Client(SOCKETS)
        for ref in refs:
            inputs = {need.name: need.place for need in ref.needs}
            data = cloudpickle.dumps((ref.call, inputs))
            try:
                await store.put(client, self.store, ref.place + store.CALL, data)
            except store.StoreError as error:
                raise ClientError(str(error)) from None

    # ---- following ---------------------------------------------------------------------

    def _follow(self, refs: Iterable[Ref], many: int | None = None, until: float = 0.0) -> None:
        """Until so many of them (None: all) are over, or it is later than `until` (0: never)."""
        refs = list(refs)
        while True:
            left = [ref for ref in refs if ref.phase == "pending"]
            if len(refs) - len(left) >= (len(refs) if many is None else many):
                return
            for id in {ref.graph for ref in left if ref.graph is not None}:
                self._read(id)
            if all(ref.phase != "pending" for ref in left):
                continue
            if until and time.monotonic() > until:
                return
            time.sleep(POLL_S)

    def _read(self, id: GraphId) -> None:
        start, more = 0, True
        while more:
            response = self._ask("GET", f"{GRAPHS}/{id}/tasks?from={start}")
            if response.status != 200:
                raise ClientError(f"{id}: {_said(response)}")
            page = msgspec.msgpack.decode(response.body)
            for task in page["tasks"]:
                ref = self.sent[id][task["name"]]
                ref.phase, ref.because = task["phase"], task.get("because", "")
            start, more = start + len(page["tasks"]), page["more"]

    def value(self, ref: Ref) -> Any:
        if ref.phase == "not_run":
            raise NotRun(f"{ref.name}: {ref.because} has failed")
        if ref.phase == "cancelled":
            raise Cancelled(ref.name)
        ending = store.RESULT if ref.phase == "done" else store.ERROR

        async def fetch() -> bytes | None:
            return await store.get(Client(SOCKETS), self.store, ref.place + ending)

        try:
            data = curio.run(fetch)
        except store.StoreError as error:
            raise ClientError(str(error)) from None
        if ref.phase == "failed":
            trace = "no traceback is known" if data is None else data.decode()
            raise TaskFailed(f"{ref.name}\n{trace}")
        if data is None:
            raise ClientError(f"{ref.name}: the store has lost its value")
        return cloudpickle.loads(data)

    def cancel(self, id: GraphId) -> None:
        self._ask("POST", f"{GRAPHS}/{id}/cancel")

    def _ask(self, method: str, path: str, body: bytes = b"") -> Response:
        """From any controller; again, as long as that may help."""
        deadline = time.monotonic() + GIVE_UP_S
        last = "no answer"
        while True:
            for address in self.servers:
                try:
                    response: Response = curio.run(_request, address, method, path, body)
                except (RequestNotSentError, NoResponseError) as error:
                    last = str(error)
                    continue
                if response.status < 429:
                    return response
                last = f"status {response.status}"
            if time.monotonic() > deadline:
                raise ClientError(f"{method} {path}: {last}")
            time.sleep(POLL_S)


class Later:
    """A ref among the arguments: which one, without what hangs on it."""

    def __init__(self, ref: Ref) -> None:
        self.name = ref.name


async def _request(address: Address, method: str, path: str, body: bytes) -> Response:
    return await Client(4).request(address, method, path, body, REQUEST_S)


def _said(response: Response) -> str:
    try:
        found = msgspec.msgpack.decode(response.body)
    except msgspec.DecodeError:
        found = None
    text = found.get("error", "") if isinstance(found, dict) else ""
    return f"status {response.status} {text}".rstrip()


_session: Session | None = None


def init(
    server: str | Sequence[str],
    *,
    store: str,
    team: str,
    rank: str = "normal",
    **options: Any,
) -> None:
    """Say where the controllers and the store are, as HOST:PORT, and for whom the tasks run.

    `options` are those of a graph: due_s, on_failure, job_class, image, pull_gb, reclaimable.
    Raises ClientError.
    """
    global _session
    names = [server] if isinstance(server, str) else list(server)
    try:
        addresses = [parse_address(name) for name in names]
        made = msgspec.convert({"team": team, "rank": rank, **options}, Options)
        _session = Session(addresses, parse_address(store), made)
    except (ValueError, msgspec.ValidationError) as error:
        raise ClientError(str(error)) from None


def _current() -> Session:
    if _session is None:
        raise ClientError("call umberward.client.init first")
    return _session


def remote(*args: Any, **fields: Any) -> Any:
    """Make a function remote: bare, or with num_cpus, num_gpus, memory, max_retries, resources."""
    if len(args) == 1 and callable(args[0]) and not fields:
        return _remote(args[0], {})
    if args:
        raise TypeError("remote takes a function, or options by name")
    return functools.partial(_remote, fields=fields)


def _remote(function: Any, fields: dict[str, Any]) -> Any:
    if inspect.isclass(function):
        name = function.__name__
        raise ActorsNotServed(f"{name}: actors (remote classes) are not served; use functions")
    return RemoteFunction(function, fields)


class RemoteFunction:
    """Called by `.remote(...)`, which gives a Ref at once."""

    def __init__(self, function: Any, fields: dict[str, Any]) -> None:
        functools.update_wrapper(self, function)
        self._function = function
        self._fields = {"memory": DEFAULT_MEMORY, **fields}

    def __call__(self, *_: Any, **__: Any) -> Any:
        name = self._function.__name__
        raise TypeError(f"{name} is remote: call {name}.remote(...)")

    def options(self, **fields: Any) -> RemoteFunction:
        """The same function with other options."""
        return RemoteFunction(self._function, {**self._fields, **fields})

    def remote(self, *args: Any, **kwargs: Any) -> Ref:
        return _current().add(self._function, args, kwargs, self._fields)


def flush() -> None:
    """Send all calls made so far. `get` and `wait` do so by themselves."""
    _current().flush()


def get(refs: Ref | Sequence[Ref], timeout: float | None = None) -> Any:
    """The value of one task, or a list of values. Raises TaskFailed, NotRun, Cancelled, or
    TimeoutError after `timeout` seconds."""
    session = _current()
    session.flush()
    some = [refs] if isinstance(refs, Ref) else list(refs)
    session._follow(some, None, time.monotonic() + timeout if timeout is not None else 0.0)
    late = [ref.name for ref in some if ref.phase == "pending"]
    if late:
        raise TimeoutError(f"{len(late)} tasks are not over, {late[0]} among them")
    values = [session.value(ref) for ref in some]
    return values[0] if isinstance(refs, Ref) else values


def wait(
    refs: Sequence[Ref], *, num_returns: int = 1, timeout: float | None = None
) -> tuple[list[Ref], list[Ref]]:
    """Those that are over, as soon as there are `num_returns` of them, and the others."""
    if not 0 < num_returns <= len(refs):
        raise ValueError(f"num_returns: {num_returns} of {len(refs)}")
    session = _current()
    session.flush()
    session._follow(refs, num_returns, time.monotonic() + timeout if timeout is not None else 0.0)
    over = [ref for ref in refs if ref.phase != "pending"][:num_returns]
    return over, [ref for ref in refs if ref not in over]


def cancel(ref: Ref) -> None:
    """Cancel the graph that the task was sent with: what is not over of it will not run."""
    session = _current()
    if ref in session.pending:
        session.flush()
    if ref.graph is not None:
        session.cancel(ref.graph)
