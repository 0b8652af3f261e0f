"""Shared code of the commands that send requests to a controller."""

from __future__ import annotations

import tomllib
from http import HTTPStatus
from pathlib import Path
from typing import TypeVar

import click
import curio
import msgspec

from umberward.core.types import Address, parse_address
from umberward.protocol.http import Client, NoResponseError, RequestNotSentError, Response

REQUEST_TIMEOUT_S = 5.0
CONNECTIONS = 4
ACCEPTED_STATUSES = (HTTPStatus.OK, HTTPStatus.CREATED, HTTPStatus.ACCEPTED)

Content = TypeVar("Content")


class HostPort(click.ParamType[Address]):
    """The type of command line parameters of the form HOST:PORT."""

    name = "host:port"

    def convert(
        self, value: str, param: click.Parameter | None, ctx: click.Context | None
    ) -> Address:
        """Parse the address; fails with click's usage error if it is invalid."""
        try:
            return parse_address(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


server_option = click.option(
    "--server",
    required=True,
    envvar="UMBERWARD_SERVER",
    type=HostPort(),
    help="Address of a controller or of a load balancer in front of the controllers.",
)


def ask(server: Address, method: str, path: str, body: bytes = b"") -> Response:
    """Send one request to a controller. Raises click.ClickException if there is no response."""

    async def call() -> Response:
        return await Client(CONNECTIONS).request(server, method, path, body, REQUEST_TIMEOUT_S)

    try:
        response: Response = curio.run(call)
    except (RequestNotSentError, NoResponseError) as error:
        raise click.ClickException(f"no answer: {error}") from None  # noqa: TRY003 - click prints this text
    return response


def print_response(response: Response) -> None:
    """Print the response's body as JSON. Raises click.ClickException for an error status."""
    try:
        text = msgspec.json.encode(msgspec.msgpack.decode(response.body)).decode()
    except msgspec.DecodeError:
        text = ""
    if response.status in ACCEPTED_STATUSES:
        click.echo(text)
        return
    retry = f", try again in {response.retry_after:.0f} s" if response.retry_after else ""
    raise click.ClickException(f"status {response.status}{retry} {text}".rstrip())


def read_toml_value(path: Path, name: str, kind: type[Content]) -> Content:
    """Read the top-level key `name` of a TOML file as `kind`. Raises click.ClickException."""
    try:
        content = tomllib.loads(path.read_text(encoding="utf-8")).get(name)
        return msgspec.convert(content, kind)
    except OSError as error:
        raise click.ClickException(f"{path}: {error.strerror or error}") from None  # noqa: TRY003 - click prints this text
    except (ValueError, msgspec.ValidationError) as error:
        raise click.ClickException(f"{path}: {name}: {error}") from None  # noqa: TRY003 - click prints this text
