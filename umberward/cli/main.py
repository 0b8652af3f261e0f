"""The command line: run a controller, check its settings, submit, inspect and cancel jobs."""

from __future__ import annotations

import gc
import os
import sys
from pathlib import Path
from typing import BinaryIO

import click
import msgspec

from umberward.cli.asking import ask, print_response, server_option
from umberward.cli.builds import builds
from umberward.cli.graph import graph
from umberward.cli.load import load as load_command
from umberward.cli.local import local
from umberward.cli.settings_files import (
    EXIT_INVALID_SETTINGS,
    config_option,
    load_settings,
    properties_option,
)
from umberward.cli.soak import soak
from umberward.cli.soak_memory import soak_memory
from umberward.core.build_identity import read_build
from umberward.core.types import Address
from umberward.protocol import wire

GC_THRESHOLD_OBJECTS = 10_000  # allocations that trigger a collection of the youngest generation

_config = config_option(required=True)


def _print_version(context: click.Context, _: click.Parameter, *, value: bool) -> None:
    """Print the build and exit; reads the sources only if asked to."""
    if value:
        click.echo(f"umberward, version {read_build()}")
        context.exit()


@click.group()
@click.option(
    "--version",
    is_flag=True,
    is_eager=True,
    expose_value=False,
    callback=lambda context, parameter, value: _print_version(context, parameter, value=value),
    help="Show the build and exit.",
)
def main() -> None:
    """umberward: a cluster scheduler."""


main.add_command(builds)
main.add_command(graph)
main.add_command(load_command)
main.add_command(local)
main.add_command(soak)
main.add_command(soak_memory)


@main.command()
@_config
@properties_option
def run(config: Path, properties: Path | None) -> None:
    """Run one controller until it is killed."""
    settings = load_settings(config, properties)
    _log_to_stderr(settings.operator.log_format)
    from umberward.control.controller import Controller
    from umberward.core import event_loop

    # Reference counting alone frees the objects of each message, so that most collections find
    # nothing.
    gc.set_threshold(GC_THRESHOLD_OBJECTS)
    event_loop.run(Controller(settings, build=read_build()).run)


@main.command()
@_config
@properties_option
def check(config: Path, properties: Path | None) -> None:
    """Check a settings file and print a summary of it."""
    settings = load_settings(config, properties)
    platform = settings.platform
    click.echo(
        f"{config}: controller {platform.label} of {platform.cluster.size},"
        f" {len(platform.cluster.teams)} teams, {len(platform.cluster.zones)} zones"
    )


@main.command()
@server_option
@click.option(
    "--after",
    "after",
    multiple=True,
    metavar="JOB_ID",
    help="A job that must be done before this one starts; may be given several times.",
)
@click.argument("job", type=click.File("rb"))
def submit(server: Address, after: tuple[str, ...], job: BinaryIO) -> None:
    """Submit the job described in the JSON file JOB ('-': standard input)."""
    try:
        body = msgspec.json.decode(job.read())
    except msgspec.DecodeError as error:
        raise click.ClickException(f"not JSON: {error}") from None  # noqa: TRY003 - click prints this text
    if after:
        if not isinstance(body, dict):
            raise click.ClickException("not a JSON object")  # noqa: TRY003 - click prints this text
        body["waits_on"] = [*(body.get("waits_on") or ()), *after]
    print_response(ask(server, "POST", "/v1/jobs", wire.encode(body)))


@main.command()
@server_option
@click.argument("job_id")
def status(server: Address, job_id: str) -> None:
    """Show the state of a job, the jobs it waits for, and the job whose cancellation ended it."""
    print_response(ask(server, "GET", f"/v1/jobs/{job_id}"))


@main.command()
@server_option
@click.argument("job_id")
def cancel(server: Address, job_id: str) -> None:
    """Cancel a job and all jobs that depend on it."""
    print_response(ask(server, "POST", f"/v1/jobs/{job_id}/cancel"))


def _log_to_stderr(log_format: str) -> None:
    """Log in the given format, from the level in LOG_LEVEL; exits with 2 if that is unknown."""
    from umberward.core import log

    level = os.environ.get("LOG_LEVEL", "info").lower()
    if level not in log.LEVELS:
        names = ", ".join(log.LEVELS)
        click.echo(f"umberward: LOG_LEVEL: {level!r} is none of {names}", err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    log.configure(level, log_format)
