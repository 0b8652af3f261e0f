"""What all commands that ask a controller have in common."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import click
import curio
import msgspec

from umberward.core.types import Address, parse_address
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError, Response


class HostPort(click.ParamType[Address]):
    """An address on the command line, as HOST:PORT."""

    name = "host:port"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> Address:
        """The address; ends with click's own message for anything else."""
        try:
            return parse_address(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


server_option = click.option(
    "--server",
    required=True,
    envvar="UMBERWARD_SERVER",
    type=HostPort(),
    help="A controller, or the load balancer before them.",
)


def ask(server: Address, method: str, path: str, body: bytes = b"") -> Response:
    """Send one request to a controller. Raises click.ClickException if there is no response."""

    async def call() -> Response:
        return await Client(4).request(server, method, path, body, 5.0)

    try:
        response: Response = curio.run(call)
    except (RequestNotSentError, NoResponseError) as error:
        raise click.ClickException(f"no answer: {error}") from None
    return response


def show(response: Response) -> None:
    """Print the answer; raises ClickException for anything but success."""
    try:
        text = msgspec.json.encode(msgspec.msgpack.decode(response.body)).decode()
    except msgspec.DecodeError:
        text = ""
    if response.status in (200, 201, 202):
        click.echo(text)
        return
    again = f", try again in {response.retry_after:.0f} s" if response.retry_after else ""
    raise click.ClickException(f"status {response.status}{again} {text}".rstrip())


def read_list(path: Path, name: str, kind: Any) -> Any:
    """What a TOML file has under that name. Raises ClickException."""

    try:
        found = tomllib.loads(path.read_text(encoding="utf-8")).get(name)
        return msgspec.convert(found, kind)
    except OSError as error:
        raise click.ClickException(f"{path}: {error.strerror or error}") from None
    except (ValueError, msgspec.ValidationError) as error:
        raise click.ClickException(f"{path}: {name}: {error}") from None
