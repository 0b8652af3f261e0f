"""The command line: run a controller, check its settings, submit, inspect and cancel jobs."""

from __future__ import annotations

import logging
import os
import sys
from pathlib import Path
from typing import Any

import click
import curio
import msgspec

from umberward import __version__, wire
from umberward.http import Client, NoAnswer, NotSent, Response
from umberward.settings import Settings, SettingsError, load
from umberward.types import Address, parse_address

log = logging.getLogger(__name__)

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}

_config = click.option(
    "--config", "config", required=True, type=click.Path(path_type=Path),
    help="The platform's settings file (TOML).",
)  # fmt: skip
_properties = click.option(
    "--properties", envvar="UMBERWARD_PROPERTIES", type=click.Path(path_type=Path),
    help="The operators' own settings (Java-style properties).",
)  # fmt: skip


class _HostPort(click.ParamType):
    name = "host:port"

    def convert(self, value: Any, param: Any, ctx: Any) -> Address:
        try:
            return parse_address(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


_server = click.option(
    "--server", required=True, envvar="UMBERWARD_SERVER", type=_HostPort(),
    help="A controller, or the load balancer before them.",
)  # fmt: skip


@click.group()
@click.version_option(__version__)
def main() -> None:
    """umberward: a cluster scheduler."""


@main.command()
@_config
@_properties
def run(config: Path, properties: Path | None) -> None:
    """Run one controller until it is killed."""
    settings = _load(config, properties)
    _log_to_stderr()
    log.info("serving version=%s", __version__)
    from umberward.node import Node

    curio.run(Node(settings).run)


@main.command()
@_config
@_properties
def check(config: Path, properties: Path | None) -> None:
    """Check a settings file and say what it holds."""
    settings = _load(config, properties)
    platform = settings.platform
    click.echo(
        f"{config}: controller {platform.label} of {platform.cluster.size},"
        f" {len(platform.cluster.teams)} teams, {len(platform.cluster.zones)} zones"
    )


@main.command()
@_server
@click.argument("job", type=click.File("rb"))
def submit(server: Address, job: Any) -> None:
    """Submit the job described in the JSON file JOB ('-': standard input)."""
    try:
        body = msgspec.json.decode(job.read())
    except msgspec.DecodeError as error:
        raise click.ClickException(f"not JSON: {error}") from None
    _show(_ask(server, "POST", "/v1/jobs", wire.encode(body)))


@main.command()
@_server
@click.argument("job_id")
def status(server: Address, job_id: str) -> None:
    """Show the state of a job."""
    _show(_ask(server, "GET", f"/v1/jobs/{job_id}"))


@main.command()
@_server
@click.argument("job_id")
def cancel(server: Address, job_id: str) -> None:
    """Cancel a job."""
    _show(_ask(server, "POST", f"/v1/jobs/{job_id}/cancel"))


def _load(config: Path, properties: Path | None) -> Settings:
    try:
        return load(config, properties)
    except SettingsError as error:
        click.echo(f"umberward: {error}", err=True)
        sys.exit(2)


def _log_to_stderr() -> None:
    level = os.environ.get("LOG_LEVEL", "info").lower()
    if level not in LEVELS:
        click.echo(f"umberward: LOG_LEVEL: {level!r} is none of {', '.join(LEVELS)}", err=True)
        sys.exit(2)
    logging.basicConfig(
        stream=sys.stderr, level=LEVELS[level], format="%(levelname)s %(name)s: %(message)s"
    )


def _ask(server: Address, method: str, path: str, body: bytes = b"") -> Response:
    async def call() -> Response:
        return await Client(4).request(server, method, path, body, 5.0)

    try:
        return curio.run(call)
    except (NotSent, NoAnswer) as error:
        raise click.ClickException(f"no answer: {error}") from None


def _show(response: Response) -> None:
    try:
        text = msgspec.json.encode(msgspec.msgpack.decode(response.body)).decode()
    except msgspec.DecodeError:
        text = ""
    if response.status in (200, 201):
        click.echo(text)
        return
    again = f", try again in {response.retry_after:.0f} s" if response.retry_after else ""
    raise click.ClickException(f"status {response.status}{again} {text}".rstrip())
