"""The command line's `local`: a cluster on this machine, to try everything without the platform."""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path
from typing import Any

import click

from umberward.cli.asking import read_list

STATUS_S = 0.5
QUIET_STATUS_S = 5.0  # where nobody watches a line change


@click.command()
@click.option("--controllers", default=3, show_default=True, type=click.IntRange(1, 5))
@click.option(
    "--machines", type=click.Path(path_type=Path), help="Machine types (TOML): [[machines]]."
)
@click.option(
    "--speed",
    default=1.0,
    show_default=True,
    type=click.FloatRange(0.1, 100.0),
    help="How much faster machines boot and tasks run.",
)
@click.option(
    "--troubles", type=click.Path(path_type=Path), help="What goes wrong when (TOML): [[troubles]]."
)
@click.option("--for", "seconds", type=click.FloatRange(0.1), help="End after so many seconds.")
@click.option("--example", is_flag=True, help="Run an example of each kind of work, then end.")
def local(
    controllers: int,
    machines: Path | None,
    speed: float,
    troubles: Path | None,
    seconds: float | None,
    example: bool,
) -> None:
    """Run a cluster on this machine until Ctrl-C: controllers for real, all else by stand-ins."""
    from umberward.core import event_loop, log
    from umberward.local.cluster import ClusterPlan, Fault
    from umberward.protocol.wire import MachineType

    log.configure("error", "lines")
    plan = ClusterPlan(controllers=controllers, speed=speed)
    if machines is not None:
        plan.machines = read_list(machines, "machines", list[MachineType])
    if troubles is not None:
        plan.troubles = read_list(troubles, "troubles", list[Fault])
    # Ended by a signal, it still takes its processes along.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    try:
        failed = event_loop.run(_run, plan, seconds, example)
    except KeyboardInterrupt:
        click.echo("\nended")
        return
    except RuntimeError as error:
        raise click.ClickException(str(error)) from None
    if failed:
        raise SystemExit(1)


async def _run(plan: Any, seconds: float | None, example: bool) -> bool:
    """Whether the example did not end well."""
    import curio

    from umberward.local import example as examples
    from umberward.local.cluster import LocalCluster

    began = time.monotonic()
    async with LocalCluster.running(plan) as cluster:
        click.echo(f"users' addresses: {' '.join(map(str, cluster.listen))}")
        click.echo(f"store for functions' values: {cluster.store.server.address}")
        click.echo(f"submit with: umberward submit --server {cluster.listen[0]} JOB.json")
        click.echo(f"        or: umberward graph submit --server {cluster.listen[0]} GRAPH.toml")
        work = await curio.spawn(examples.run, cluster, click.echo) if example else None
        shown = 0.0
        tty = sys.stdout.isatty()
        while seconds is None or time.monotonic() - began < seconds:
            if work is not None and work.terminated:
                break
            if time.monotonic() - shown > (STATUS_S if tty else QUIET_STATUS_S):
                shown = time.monotonic()
                click.echo(f"\r\x1b[K{cluster.status()}" if tty else cluster.status(), nl=not tty)
            await curio.sleep(0.1)
        if tty:
            click.echo()
        if work is None:
            return False
        if not work.terminated:
            await work.cancel()
            click.echo("the example did not end in time", err=True)
            return True
        return not await work.join()
