"""The command line: run a controller, check its settings, submit, inspect and cancel jobs."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import Any

import click
import curio
import msgspec

from umberward import __version__
from umberward.core.settings import Settings, SettingsError, load
from umberward.core.types import Address, parse_address
from umberward.protocol import wire
from umberward.protocol.http import Client, NoAnswer, NotSent, Response

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
    _log_to_stderr(settings.operator.log_format)
    from umberward.control.node import Node
    from umberward.core import loop

    loop.run(Node(settings).run)


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
@click.option(
    "--after", "after", multiple=True, metavar="JOB_ID",
    help="A job that must be done before this one starts; may be given several times.",
)  # fmt: skip
@click.argument("job", type=click.File("rb"))
def submit(server: Address, after: tuple[str, ...], job: Any) -> None:
    """Submit the job described in the JSON file JOB ('-': standard input)."""
    try:
        body = msgspec.json.decode(job.read())
    except msgspec.DecodeError as error:
        raise click.ClickException(f"not JSON: {error}") from None
    if after:
        if not isinstance(body, dict):
            raise click.ClickException("not a JSON object")
        body["waits_on"] = [*(body.get("waits_on") or ()), *after]
    _show(_ask(server, "POST", "/v1/jobs", wire.encode(body)))


@main.command()
@_server
@click.argument("job_id")
def status(server: Address, job_id: str) -> None:
    """Show the state of a job, what it waits for, and which job's cancellation ended it."""
    _show(_ask(server, "GET", f"/v1/jobs/{job_id}"))


@main.command()
@_server
@click.argument("job_id")
def cancel(server: Address, job_id: str) -> None:
    """Cancel a job, and with it all jobs that wait for it."""
    _show(_ask(server, "POST", f"/v1/jobs/{job_id}/cancel"))


def _load(config: Path, properties: Path | None) -> Settings:
    try:
        return load(config, properties)
    except SettingsError as error:
        click.echo(f"umberward: {error}", err=True)
        sys.exit(2)


def _log_to_stderr(form: str) -> None:
    from umberward.core import log

    level = os.environ.get("LOG_LEVEL", "info").lower()
    if level not in log.LEVELS:
        names = ", ".join(log.LEVELS)
        click.echo(f"umberward: LOG_LEVEL: {level!r} is none of {names}", err=True)
        sys.exit(2)
    log.configure(level, form)


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
