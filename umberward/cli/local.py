"""The command `local`: runs a cluster on this machine, without a real platform."""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

from umberward.cli.asking import read_toml_value

if TYPE_CHECKING:
    import curio

    from umberward.local.cluster import ClusterPlan, LocalCluster

TERMINAL_STATUS_INTERVAL_S = 0.5
PLAIN_STATUS_INTERVAL_S = 5.0  # if standard output is not a terminal
POLL_S = 0.1
EXIT_TERMINATED = 143  # 128 + SIGTERM


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
    help="Speed-up factor of machine boots and tasks.",
)
@click.option(
    "--troubles", type=click.Path(path_type=Path), help="Faults to inject (TOML): [[troubles]]."
)
@click.option("--for", "seconds", type=click.FloatRange(0.1), help="Stop after this time in s.")
@click.option("--example", is_flag=True, help="Run an example of each kind of work, then end.")
def local(
    controllers: int,
    machines: Path | None,
    speed: float,
    troubles: Path | None,
    seconds: float | None,
    example: bool,  # noqa: FBT001 - click passes it by name
) -> None:
    """Run a cluster on this machine until Ctrl-C: real controllers, all else simulated."""
    from umberward.core import event_loop, log
    from umberward.local.cluster import ClusterPlan, Fault
    from umberward.protocol.wire import MachineType

    log.configure("error", "lines")
    plan = ClusterPlan(controllers=controllers, speed=speed)
    if machines is not None:
        plan.machines = read_toml_value(machines, "machines", list[MachineType])
    if troubles is not None:
        plan.troubles = read_toml_value(troubles, "troubles", list[Fault])
    # Raises SystemExit on SIGTERM, so that the cluster stops its child processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_TERMINATED))
    try:
        failed = event_loop.run(_run, plan, seconds, example)
    except KeyboardInterrupt:
        click.echo("\nended")
        return
    except RuntimeError as error:
        raise click.ClickException(str(error)) from None
    if failed:
        raise SystemExit(1)


async def _run(plan: ClusterPlan, seconds: float | None, example: bool) -> bool:  # noqa: FBT001 - click passes it by name
    """Run the cluster and, if requested, the example; returns whether the example failed."""
    import curio

    from umberward.local import example as examples
    from umberward.local.cluster import LocalCluster

    started_at = time.monotonic()
    async with LocalCluster.running(plan) as cluster:
        _show_addresses(cluster)
        example_task = await curio.spawn(examples.run, cluster, click.echo) if example else None
        end_at = None if seconds is None else started_at + seconds
        await _show_status(cluster, example_task, end_at)
        if example_task is None:
            return False
        if not example_task.terminated:
            await example_task.cancel()
            click.echo("the example did not end in time", err=True)
            return True
        return not await example_task.join()


def _show_addresses(cluster: LocalCluster) -> None:
    click.echo(f"users' addresses: {' '.join(map(str, cluster.listen))}")
    click.echo(f"store for functions' values: {cluster.store.server.address}")
    click.echo(f"submit with: umberward submit --server {cluster.listen[0]} JOB.json")
    click.echo(f"        or: umberward graph submit --server {cluster.listen[0]} GRAPH.toml")


async def _show_status(
    cluster: LocalCluster, example_task: curio.Task | None, end_at: float | None
) -> None:
    """Print the status periodically until the example has ended or time is up.

    On a terminal each status overwrites the previous one. `end_at`: by the monotonic clock.
    """
    import curio

    is_terminal = sys.stdout.isatty()
    interval_s = TERMINAL_STATUS_INTERVAL_S if is_terminal else PLAIN_STATUS_INTERVAL_S
    shown_at = 0.0
    while end_at is None or time.monotonic() < end_at:
        if example_task is not None and example_task.terminated:
            break
        if time.monotonic() - shown_at > interval_s:
            shown_at = time.monotonic()
            status = cluster.status()
            click.echo(f"\r\x1b[K{status}" if is_terminal else status, nl=not is_terminal)
        await curio.sleep(POLL_S)
    if is_terminal:
        click.echo()
