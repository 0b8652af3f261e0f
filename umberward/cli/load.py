"""The command `load`: runs the open-loop load generator against controllers."""

from __future__ import annotations

from pathlib import Path

import click
import curio
import msgspec

from umberward.cli.asking import HostPort
from umberward.core.types import Address

RATE = click.FloatRange(0.0, 1000.0)


@click.command()
@click.option(
    "--server",
    "servers",
    required=True,
    multiple=True,
    envvar="UMBERWARD_SERVER",
    type=HostPort(),
    help="Address of a controller; may be given several times.",
)
@click.option("--submit", default=2.0, show_default=True, type=RATE, help="Jobs per second.")
@click.option("--poll", default=5.0, show_default=True, type=RATE, help="Polls per second.")
@click.option("--cancel", default=0.1, show_default=True, type=RATE, help="Cancels per second.")
@click.option("--graph", default=0.0, show_default=True, type=RATE, help="Graphs per second.")
@click.option("--graph-tasks", default=50, show_default=True, type=click.IntRange(1, 10_000))
@click.option(
    "--tasks", default=4, show_default=True, type=click.IntRange(1, 100_000), help="Tasks per job."
)
@click.option("--run", "run_s", default=5.0, show_default=True, help="Run time of a task in s.")
@click.option("--team", default="red", show_default=True)
@click.option("--seconds", default=30.0, show_default=True, type=click.FloatRange(0.1, 3600.0))
@click.option("--seed", default=1, show_default=True)
@click.option("--save", type=click.Path(path_type=Path), help="Write the results as JSON.")
@click.option("--plot", type=click.Path(path_type=Path), help="Plot them: FILE.svg or FILE.png.")
def load(  # noqa: PLR0913 - one argument for each option
    servers: tuple[Address, ...],
    submit: float,
    poll: float,
    cancel: float,
    graph: float,
    graph_tasks: int,
    tasks: int,
    run_s: float,
    team: str,
    seconds: float,
    seed: int,
    save: Path | None,
    plot: Path | None,
) -> None:
    """Send requests at given rates, independently of the responses, and print response times."""
    from umberward.load import generator

    if plot is not None and plot.suffix not in (".svg", ".png"):
        raise click.BadParameter("expected FILE.svg or FILE.png", param_hint="--plot")  # noqa: TRY003 - click prints this text
    load_generator = generator.Generator(
        list(servers),
        generator.Rates(submit, poll, cancel, graph),
        generator.Workload(team, tasks, 1.0, run_s, graph_tasks),
        seed,
    )
    result = curio.run(load_generator.run, seconds)
    for kind, stats in result.kinds.items():
        times = ", ".join(f"{name} {value:g}" for name, value in stats.ms.items())
        statuses = ", ".join(f"{name}: {count}" for name, count in stats.statuses.items())
        click.echo(f"{kind}: {stats.sent} sent ({statuses}); ms {times}")
    if save is not None:
        save.write_bytes(msgspec.json.format(msgspec.json.encode(result)) + b"\n")
    if plot is not None:
        generator.plot(load_generator, str(plot))
