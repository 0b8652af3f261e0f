"""The command `soak-memory`: checks that no controller's memory grows with what it has done."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

import click
import msgspec

from umberward.cli.soak import EXIT_HARNESS_FAILED, EXIT_RULE_BROKEN, EXIT_TERMINATED


@click.command("soak-memory")
@click.option(
    "--commands",
    default=1_000_000,
    show_default=True,
    type=click.IntRange(1),
    help="Commands and probes to workers after the warm-up.",
)
@click.option(
    "--warm-up",
    default=100_000,
    show_default=True,
    type=click.IntRange(0),
    help="Commands and probes before, in which caches fill.",
)
@click.option("--workers", default=200, show_default=True, type=click.IntRange(1, 400))
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--max-seconds",
    default=7200.0,
    show_default=True,
    type=click.FloatRange(1.0),
    help="End after this time with the commands sent by then.",
)
@click.option("--report", type=click.Path(path_type=Path), help="Write the result as JSON.")
def soak_memory(
    commands: int, warm_up: int, workers: int, seed: int, max_seconds: float, report: Path | None
) -> None:
    """Run short tasks without faults on this machine, and watch the controllers' memory.

    Exits with 0 if no controller's memory grew by more than 5% after the warm-up, 1 if one's did, 2
    for bad input, 3 if the soak itself failed.
    """
    from umberward.core import event_loop, log
    from umberward.soak.memory import MemoryPlan, MemoryResult, MemoryRun

    log.configure("error", "lines")
    # Raises SystemExit on SIGTERM, so that the soak stops its child processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_TERMINATED))
    try:
        result: MemoryResult = event_loop.run(
            MemoryRun(MemoryPlan(seed, warm_up, commands, workers, max_seconds)).execute
        )
    except (RuntimeError, OSError) as error:
        click.echo(f"soak-memory: the soak failed: {error}", err=True)
        sys.exit(EXIT_HARNESS_FAILED)
    if report is not None:
        report.write_bytes(msgspec.json.format(msgspec.json.encode(result)) + b"\n")
    if result.warm_up_commands < warm_up:
        click.echo(
            f"the warm-up ended by time after {result.warm_up_commands} of {warm_up} commands:"
            " some of the growth may be caches that fill"
        )
    click.echo(
        f"seed {seed}: {result.commands} commands, {result.jobs} jobs, {result.seconds} s;"
        f" grown too much: {', '.join(result.grown) or 'none'}"
    )
    for found in result.memory:
        click.echo(
            f"    {found.controller} {found.role}: {found.warm_mb} MB after the warm-up,"
            f" {found.end_mb} MB at the end ({found.growth:+.1%})"
        )
    sys.exit(EXIT_RULE_BROKEN if result.grown else 0)
