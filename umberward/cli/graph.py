"""The command line for task graphs: schema, check, submit, status, tasks, cancel."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import click
import msgspec

from umberward.cli.asking import ask, read_list, server_option, show
from umberward.core.types import Address
from umberward.protocol import wire

GRAPHS = "/v1/graphs"
FAILED = 1  # exit status: a graph that was waited for did not end well
ASK_AGAIN_S = 1.0


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

    teams = skus = None
    try:
        if config is not None:
            teams = load(config).platform.cluster.teams
    except SettingsError as error:
        raise click.ClickException(str(error)) from None
    if machines is not None:
        skus = {
            MachineTypeName(sku.name): sku
            for sku in read_list(machines, "machines", list[MachineType])
        }
    found = _load(file, teams, skus)
    shape = Shape(found.tasks)
    needs = sum(len(some) for some in shape.needs)
    click.echo(f"{file}: {len(shape)} tasks, {needs} needs, {len(shape.kinds)} kinds")


@graph.command()
@server_option
@click.option("--id", "id", help="The graph's id, graph-N; the same again is the same graph.")
@click.option("--wait", is_flag=True, help="Wait for its end; exit 1 unless all tasks are done.")
@click.argument("file", type=click.Path(path_type=Path))
def submit(server: Address, id: str | None, wait: bool, file: Path) -> None:
    """Send the graph in FILE, in as many parts as it takes."""
    from umberward.graphs import files
    from umberward.graphs.model import GRAPH_PREFIX, parse_graph_id

    found = _load(file)
    name = parse_graph_id(id or f"{GRAPH_PREFIX}{time.time_ns() // 1_000_000}")
    if name is None:
        raise click.BadParameter("expected graph-N", param_hint="--id")
    for part in files.parts(name, found):
        response = ask(server, "POST", GRAPHS, wire.encode(part))
        if response.status not in (200, 201, 202):
            break
    show(response)
    while wait:
        time.sleep(ASK_AGAIN_S)
        state = _state(ask(server, "GET", f"{GRAPHS}/{name}").body)
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
        if response.status != 200:
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


def _load(file: Path, teams: Any = None, skus: Any = None) -> Any:
    from umberward.graphs import files

    try:
        return files.load(file, teams, skus)
    except files.GraphFileError as error:
        for line in error.lines:
            click.echo(line, err=True)
        raise SystemExit(2) from None


def _state(body: bytes) -> dict[str, Any]:
    try:
        found = msgspec.msgpack.decode(body)
    except msgspec.DecodeError:
        return {}
    return found if isinstance(found, dict) else {}
