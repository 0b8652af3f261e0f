"""Collects calls of remote functions into graphs and fetches their values and failures."""

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
    GRAPH_ID_PREFIX,
    File,
    GraphId,
    Options,
    Shape,
    Task,
    find_problems,
    job_id,
)
from umberward.protocol import wire
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError, Response

GRAPHS_PATH = "/v1/graphs"
POLL_INTERVAL_S = 0.25
REQUEST_TIMEOUT_S = 5.0
RETRY_TIMEOUT_S = 60.0  # a request is retried on all controllers for this long
MAX_CONNECTIONS = 16


class ClientError(Exception):
    """Base class of this module's errors; raised itself for invalid options and failed requests."""


class ActorsNotServed(ClientError, TypeError):
    pass


class TaskFailed(ClientError):
    """The function raised in every attempt; the message contains the remote traceback."""


class NotRun(ClientError):
    """The task did not run because a task that it needs has failed."""


class Cancelled(ClientError):
    pass


class Ref:
    """A reference to the future result of a task, which other tasks accept as an argument."""

    def __init__(self, name: str, task: Task, call_data: bytes, needs: list[Ref]) -> None:
        self.name = name
        self.task = task
        self.call_data = call_data
        self.needs = needs
        self.graph: GraphId | None = None  # set when the task is sent
        self.task_id = ""  # set when the task is sent
        self.phase = "pending"
        self.because = ""

    def __repr__(self) -> str:
        return f"Ref({self.name}, {self.phase})"

    def __reduce__(self) -> Any:
        text = "pass it to a task as an argument of its own, not inside another"
        raise ClientError(f"{self.name}: {text}")


class Session:
    def __init__(self, servers: list[Address], store_address: Address, options: Options) -> None:
        self.servers = servers
        self.store = store_address
        self.options = options
        self.pending: list[Ref] = []
        self.sent: dict[GraphId, dict[str, Ref]] = {}
        self.call_count = 0
        self.number = time.time_ns() // 1000 % 10**13  # graph ids are based on the time of day

    # ---- submission --------------------------------------------------------------------

    def add(self, function: Any, args: Any, kwargs: Any, fields: dict[str, Any]) -> Ref:
        self.call_count += 1
        name = f"{getattr(function, '__name__', 'task')}-{self.call_count}"
        input_refs = [value for value in (*args, *kwargs.values()) if isinstance(value, Ref)]
        needs = list(dict.fromkeys(ref.name for ref in input_refs))
        try:
            task = msgspec.convert({"name": name, "needs": needs, **fields}, Task)
        except msgspec.ValidationError as error:
            raise ClientError(f"{name}: {error}") from None
        # Arguments are serialized now, so later changes by the caller have no effect.
        call_args = tuple(Later(a) if isinstance(a, Ref) else a for a in args)
        call_kwargs = {n: Later(a) if isinstance(a, Ref) else a for n, a in kwargs.items()}
        ref = Ref(name, task, cloudpickle.dumps((function, call_args, call_kwargs)), input_refs)
        self.pending.append(ref)
        return ref

    def flush(self) -> None:
        """Send the calls since the last flush as one graph."""
        refs, self.pending = self.pending, []
        refs = [ref for ref in refs if self._dependencies_succeeded(ref)]
        if not refs:
            return
        names_in_graph = {ref.name for ref in refs}
        tasks = [
            msgspec.structs.replace(
                ref.task, needs=[n for n in ref.task.needs if n in names_in_graph]
            )
            for ref in refs
        ]
        problems = find_problems(tasks)
        if problems:
            raise ClientError("; ".join(problem.text for problem in problems))
        self.number += 1
        id = GraphId(f"{GRAPH_ID_PREFIX}{self.number}")
        shape = Shape(tasks)
        task_ids = {
            shape.names[position]: f"{job_id(id, kind)}/{number}"
            for position, (kind, number) in enumerate(shape.array_slots)
        }
        for ref in refs:
            ref.graph, ref.task_id = id, task_ids[ref.name]
        curio.run(self._upload, refs)
        for part in files.split_graph(id, File(self.options, tasks)):
            response = self._send_request("POST", GRAPHS_PATH, wire.encode(part))
            if response.status not in (200, 201, 202):
                raise ClientError(f"{id}: {_describe_response(response)}")
        self.sent[id] = {ref.name: ref for ref in refs}

    def _dependencies_succeeded(self, ref: Ref) -> bool:
        """Wait for the needed tasks of earlier graphs; return False if one of them did not succeed.

        The values must exist when the task starts, because it fetches them then.
        """
        for need in ref.needs:
            if need.graph is not None:
                self._wait_for([need])
            if need.phase not in ("pending", "done"):  # pending: part of the same graph
                ref.phase, ref.because = "not_run", need.because or need.name
                return False
        return True

    async def _upload(self, refs: list[Ref]) -> None:
        client = Client(MAX_CONNECTIONS)
        for ref in refs:
            inputs = {need.name: need.task_id for need in ref.needs}
            data = cloudpickle.dumps((ref.call_data, inputs))
            try:
                await store.put(client, self.store, ref.task_id + store.CALL_SUFFIX, data)
            except store.StoreError as error:
                raise ClientError(str(error)) from None

    # ---- results -----------------------------------------------------------------------

    def _wait_for(
        self, refs: Iterable[Ref], min_count: int | None = None, stop_at: float = 0.0
    ) -> None:
        """Wait until `min_count` tasks (None: all) finish or `stop_at` is reached (0: no limit)."""
        refs = list(refs)
        while True:
            unfinished = [ref for ref in refs if ref.phase == "pending"]
            if len(refs) - len(unfinished) >= (len(refs) if min_count is None else min_count):
                return
            for id in {ref.graph for ref in unfinished if ref.graph is not None}:
                self._update_refs(id)
            if all(ref.phase != "pending" for ref in unfinished):
                continue
            if stop_at and time.monotonic() > stop_at:
                return
            time.sleep(POLL_INTERVAL_S)

    def _update_refs(self, id: GraphId) -> None:
        start, more = 0, True
        while more:
            response = self._send_request("GET", f"{GRAPHS_PATH}/{id}/tasks?from={start}")
            if response.status != 200:
                raise ClientError(f"{id}: {_describe_response(response)}")
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
        suffix = store.RESULT_SUFFIX if ref.phase == "done" else store.ERROR_SUFFIX

        async def fetch() -> bytes | None:
            return await store.get(Client(MAX_CONNECTIONS), self.store, ref.task_id + suffix)

        try:
            data = curio.run(fetch)
        except store.StoreError as error:
            raise ClientError(str(error)) from None
        if ref.phase == "failed":
            traceback_text = "no traceback was stored" if data is None else data.decode()
            raise TaskFailed(f"{ref.name}\n{traceback_text}")
        if data is None:
            raise ClientError(f"{ref.name}: the store does not have its value")
        return cloudpickle.loads(data)

    def cancel(self, id: GraphId) -> None:
        self._send_request("POST", f"{GRAPHS_PATH}/{id}/cancel")

    def _send_request(self, method: str, path: str, body: bytes = b"") -> Response:
        """Send a request to each controller in turn, and again until RETRY_TIMEOUT_S is over.

        Responses with status 429 or above are retried as well.
        """
        deadline = time.monotonic() + RETRY_TIMEOUT_S
        last = "no response"
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
            time.sleep(POLL_INTERVAL_S)


class Later:
    """Stands for a Ref among pickled arguments; holds only its name, not the Ref's own call."""

    def __init__(self, ref: Ref) -> None:
        self.name = ref.name


async def _request(address: Address, method: str, path: str, body: bytes) -> Response:
    return await Client(4).request(address, method, path, body, REQUEST_TIMEOUT_S)


def _describe_response(response: Response) -> str:
    try:
        body = msgspec.msgpack.decode(response.body)
    except msgspec.DecodeError:
        body = None
    text = body.get("error", "") if isinstance(body, dict) else ""
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
    """Set the addresses of the controllers and the store, as HOST:PORT, and the team of the tasks.

    `options` are the graph options due_s, on_failure, job_class, image, pull_gb, reclaimable.
    Raises ClientError.
    """
    global _session
    names = [server] if isinstance(server, str) else list(server)
    try:
        addresses = [parse_address(name) for name in names]
        graph_options = msgspec.convert({"team": team, "rank": rank, **options}, Options)
        _session = Session(addresses, parse_address(store), graph_options)
    except (ValueError, msgspec.ValidationError) as error:
        raise ClientError(str(error)) from None


def _current_session() -> Session:
    if _session is None:
        raise ClientError("call umberward.client.init first")
    return _session


def remote(*args: Any, **fields: Any) -> Any:
    """Decorate a function as remote.

    Used without arguments or with num_cpus, num_gpus, memory, max_retries, resources.
    """
    if len(args) == 1 and callable(args[0]) and not fields:
        return _remote(args[0], {})
    if args:
        raise TypeError("remote takes a function or keyword options")
    return functools.partial(_remote, fields=fields)


def _remote(function: Any, fields: dict[str, Any]) -> Any:
    if inspect.isclass(function):
        name = function.__name__
        raise ActorsNotServed(f"{name}: actors (remote classes) are not served; use functions")
    return RemoteFunction(function, fields)


class RemoteFunction:
    """A function whose method `remote(...)` adds a call and returns a Ref immediately."""

    def __init__(self, function: Any, fields: dict[str, Any]) -> None:
        functools.update_wrapper(self, function)
        self._function = function
        self._fields = {"memory": DEFAULT_MEMORY, **fields}

    def __call__(self, *_: Any, **__: Any) -> Any:
        name = self._function.__name__
        raise TypeError(f"{name} is remote: call {name}.remote(...)")

    def options(self, **fields: Any) -> RemoteFunction:
        """Return the same function with other options."""
        return RemoteFunction(self._function, {**self._fields, **fields})

    def remote(self, *args: Any, **kwargs: Any) -> Ref:
        return _current_session().add(self._function, args, kwargs, self._fields)


def flush() -> None:
    """Send all calls since the last flush. `get` and `wait` do so automatically."""
    _current_session().flush()


def get(refs: Ref | Sequence[Ref], timeout: float | None = None) -> Any:
    """Return the value of one task, or a list of values. Raises TaskFailed, NotRun, Cancelled, or
    TimeoutError after `timeout` seconds."""
    session = _current_session()
    session.flush()
    ref_list = [refs] if isinstance(refs, Ref) else list(refs)
    session._wait_for(ref_list, None, time.monotonic() + timeout if timeout is not None else 0.0)
    late = [ref.name for ref in ref_list if ref.phase == "pending"]
    if late:
        raise TimeoutError(f"{len(late)} tasks are not finished, {late[0]} among them")
    values = [session.value(ref) for ref in ref_list]
    return values[0] if isinstance(refs, Ref) else values


def wait(
    refs: Sequence[Ref], *, num_returns: int = 1, timeout: float | None = None
) -> tuple[list[Ref], list[Ref]]:
    """Wait until `num_returns` tasks are finished; return these and the others.

    After `timeout` seconds, fewer may be finished.
    """
    if not 0 < num_returns <= len(refs):
        raise ValueError(f"num_returns: {num_returns} of {len(refs)}")
    session = _current_session()
    session.flush()
    session._wait_for(refs, num_returns, time.monotonic() + timeout if timeout is not None else 0.0)
    finished = [ref for ref in refs if ref.phase != "pending"][:num_returns]
    return finished, [ref for ref in refs if ref not in finished]


def cancel(ref: Ref) -> None:
    """Cancel the graph of the task; its tasks that are not finished will not run."""
    session = _current_session()
    if ref in session.pending:
        session.flush()
    if ref.graph is not None:
        session.cancel(ref.graph)
