"""The commands for task graphs: schema, check, submit, status, tasks, cancel."""

from __future__ import annotations

import time
from collections.abc import Sequence
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import msgspec

from umberward.cli.asking import (
    ACCEPTED_STATUSES,
    ask,
    print_response,
    read_toml_value,
    server_option,
)
from umberward.core.types import Address
from umberward.protocol import wire

if TYPE_CHECKING:
    from umberward.core.settings import TeamQuota
    from umberward.core.types import MachineTypeName
    from umberward.graphs.model import File
    from umberward.protocol.wire import MachineType

GRAPHS_PATH = "/v1/graphs"
EXIT_NOT_DONE = 1  # with --wait: the graph has failed or was cancelled
EXIT_INVALID_FILE = 2
POLL_INTERVAL_S = 1.0


@click.group()
def graph() -> None:
    """Task graphs: files, submission, progress."""


@graph.command()
def schema() -> None:
    """Print the JSON schema of a graph file."""
    from umberward.graphs import files

    click.echo(msgspec.json.format(msgspec.json.encode(files.schema())).decode())


@graph.command()
@click.option(
    "--config",
    type=click.Path(path_type=Path),
    help="A controller's settings file, to check the graph's team and its quota.",
)
@click.option(
    "--machines",
    type=click.Path(path_type=Path),
    help="Machine types as for `umberward local`, to check that each task fits on one.",
)
@click.argument("file", type=click.Path(path_type=Path))
def check(config: Path | None, machines: Path | None, file: Path) -> None:
    """Check a graph file (TOML, or JSON by its suffix) without submitting it."""
    from umberward.core.settings import SettingsError, load
    from umberward.core.types import MachineTypeName
    from umberward.graphs.model import Shape
    from umberward.protocol.wire import MachineType

    teams = machine_types = None
    try:
        if config is not None:
            teams = load(config).platform.cluster.teams
    except SettingsError as error:
        raise click.ClickException(str(error)) from None
    if machines is not None:
        machine_types = {
            MachineTypeName(machine_type.name): machine_type
            for machine_type in read_toml_value(machines, "machines", list[MachineType])
        }
    loaded = _load(file, teams, machine_types)
    shape = Shape(loaded.tasks)
    needs = sum(len(task_needs) for task_needs in shape.needs)
    click.echo(f"{file}: {len(shape)} tasks, {needs} needs, {len(shape.kinds)} kinds")


@graph.command()
@server_option
@click.option(
    "--id", "id_option", help="The graph's id, graph-N; resubmitting with the same id is safe."
)
@click.option("--wait", is_flag=True, help="Wait for its end; exit 1 unless it succeeds.")
@click.argument("file", type=click.Path(path_type=Path))
def submit(server: Address, id_option: str | None, wait: bool, file: Path) -> None:  # noqa: FBT001 - click passes it by name
    """Submit the graph in FILE, in as many parts as needed."""
    from umberward.graphs import files
    from umberward.graphs.model import GRAPH_ID_PREFIX, parse_graph_id

    loaded = _load(file)
    graph_id = parse_graph_id(id_option or f"{GRAPH_ID_PREFIX}{time.time_ns() // 1_000_000}")
    if graph_id is None:
        raise click.BadParameter("expected graph-N", param_hint="--id")  # noqa: TRY003 - click prints this text
    for part in files.split_graph(graph_id, loaded):
        response = ask(server, "POST", GRAPHS_PATH, wire.encode(part))
        if response.status not in ACCEPTED_STATUSES:
            break
    print_response(response)
    while wait:
        time.sleep(POLL_INTERVAL_S)
        state = _state(ask(server, "GET", f"{GRAPHS_PATH}/{graph_id}").body)
        if state.get("phase") in ("done", "failed", "cancelled"):
            click.echo(msgspec.json.encode(state).decode())
            raise SystemExit(0 if state["phase"] == "done" else EXIT_NOT_DONE)


@graph.command()
@server_option
@click.argument("graph_id")
def status(server: Address, graph_id: str) -> None:
    """Show the progress of a graph."""
    print_response(ask(server, "GET", f"{GRAPHS_PATH}/{graph_id}"))


@graph.command()
@server_option
@click.option("--phase", help="Only tasks in this phase, such as failed.")
@click.argument("graph_id")
def tasks(server: Address, phase: str | None, graph_id: str) -> None:
    """List the tasks of a graph, one JSON object per line."""
    start = 0
    while True:
        response = ask(server, "GET", f"{GRAPHS_PATH}/{graph_id}/tasks?from={start}")
        if response.status != HTTPStatus.OK:
            print_response(response)
        page = _state(response.body)
        for task in page["tasks"]:
            if phase in (None, task["phase"]):
                click.echo(msgspec.json.encode(task).decode())
        start += len(page["tasks"])
        if not page["more"]:
            return


@graph.command()
@server_option
@click.argument("graph_id")
def cancel(server: Address, graph_id: str) -> None:
    """Cancel a graph; its tasks that have not ended are stopped or not started."""
    print_response(ask(server, "POST", f"{GRAPHS_PATH}/{graph_id}/cancel"))


def _load(
    file: Path,
    teams: Sequence[TeamQuota] | None = None,
    machine_types: dict[MachineTypeName, MachineType] | None = None,
) -> File:
    """Read and check a graph file; if it is invalid, list all errors and exit."""
    from umberward.graphs import files

    try:
        return files.load(file, teams, machine_types)
    except files.GraphFileError as error:
        for line in error.lines:
            click.echo(line, err=True)
        raise SystemExit(EXIT_INVALID_FILE) from None


def _state(body: bytes) -> dict[str, Any]:
    """Decode the state of a graph from a response; empty if the body is not a map."""
    try:
        state = msgspec.msgpack.decode(body)
    except msgspec.DecodeError:
        return {}
    return state if isinstance(state, dict) else {}
