"""The command line for task graphs: schema, check, submit, status, tasks, cancel."""

from __future__ import annotations

import time
from collections.abc import Sequence
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import msgspec

from umberward.cli.asking import ACCEPTED_STATUSES, ask, read_list, server_option, show
from umberward.core.types import Address
from umberward.protocol import wire

if TYPE_CHECKING:
    from umberward.core.settings import TeamQuota
    from umberward.core.types import MachineTypeName
    from umberward.graphs.model import File
    from umberward.protocol.wire import MachineType

GRAPHS = "/v1/graphs"
FAILED = 1  # exit status: a graph that was waited for has not ended as done
INVALID_FILE = 2  # exit status
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
    help="A controller's settings file: are the team and its maximum right?",
)
@click.option(
    "--machines",
    type=click.Path(path_type=Path),
    help="Machine types as `umberward local` takes them: can they hold each task?",
)
@click.argument("file", type=click.Path(path_type=Path))
def check(config: Path | None, machines: Path | None, file: Path) -> None:
    """Check a graph file (TOML, or JSON by its suffix) without sending it."""
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
            for machine_type in read_list(machines, "machines", list[MachineType])
        }
    loaded = _load(file, teams, machine_types)
    shape = Shape(loaded.tasks)
    needs = sum(len(task_needs) for task_needs in shape.needs)
    click.echo(f"{file}: {len(shape)} tasks, {needs} needs, {len(shape.kinds)} kinds")


@graph.command()
@server_option
@click.option(
    "--id", "id_option", help="The graph's id, graph-N; the same again is the same graph."
)
@click.option("--wait", is_flag=True, help="Wait for its end; exit 1 unless all tasks are done.")
@click.argument("file", type=click.Path(path_type=Path))
def submit(server: Address, id_option: str | None, wait: bool, file: Path) -> None:  # noqa: FBT001 - click passes it by name
    """Send the graph in FILE, in as many parts as it takes."""
    from umberward.graphs import files
    from umberward.graphs.model import GRAPH_PREFIX, parse_graph_id

    loaded = _load(file)
    graph_id = parse_graph_id(id_option or f"{GRAPH_PREFIX}{time.time_ns() // 1_000_000}")
    if graph_id is None:
        raise click.BadParameter("expected graph-N", param_hint="--id")  # noqa: TRY003 - click prints this text
    for part in files.parts(graph_id, loaded):
        response = ask(server, "POST", GRAPHS, wire.encode(part))
        if response.status not in ACCEPTED_STATUSES:
            break
    show(response)
    while wait:
        time.sleep(POLL_INTERVAL_S)
        state = _state(ask(server, "GET", f"{GRAPHS}/{graph_id}").body)
        if state.get("phase") in ("done", "failed", "cancelled"):
            click.echo(msgspec.json.encode(state).decode())
            raise SystemExit(0 if state["phase"] == "done" else FAILED)


@graph.command()
@server_option
@click.argument("graph_id")
def status(server: Address, graph_id: str) -> None:
    """Show how far a graph is."""
    show(ask(server, "GET", f"{GRAPHS}/{graph_id}"))


@graph.command()
@server_option
@click.option("--phase", help="Only tasks of this phase, such as failed.")
@click.argument("graph_id")
def tasks(server: Address, phase: str | None, graph_id: str) -> None:
    """List the tasks of a graph, one JSON object on each line."""
    start = 0
    while True:
        response = ask(server, "GET", f"{GRAPHS}/{graph_id}/tasks?from={start}")
        if response.status != HTTPStatus.OK:
            show(response)
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
    """Cancel a graph: what is not over will not run."""
    show(ask(server, "POST", f"{GRAPHS}/{graph_id}/cancel"))


def _load(
    file: Path,
    teams: Sequence[TeamQuota] | None = None,
    machine_types: dict[MachineTypeName, MachineType] | None = None,
) -> File:
    """Read and check a graph file; ends the command with all that is wrong with it."""
    from umberward.graphs import files

    try:
        return files.load(file, teams, machine_types)
    except files.GraphFileError as error:
        for line in error.lines:
            click.echo(line, err=True)
        raise SystemExit(INVALID_FILE) from None


def _state(body: bytes) -> dict[str, Any]:
    """The state of a graph in a response; empty if the response has another body."""
    try:
        state = msgspec.msgpack.decode(body)
    except msgspec.DecodeError:
        return {}
    return state if isinstance(state, dict) else {}
