"""Options of the commands that read a controller's settings files."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click

from umberward.core.settings import Settings, SettingsError, load

EXIT_INVALID_SETTINGS = 2

Command = TypeVar("Command", bound=Callable[..., Any])

properties_option = click.option(
    "--properties",
    envvar="UMBERWARD_PROPERTIES",
    type=click.Path(path_type=Path),
    help="The operators' own settings (Java-style properties).",
)


def config_option(*, required: bool) -> Callable[[Command], Command]:
    """The option `--config`, which names the platform's settings file."""
    return click.option(
        "--config",
        "config",
        required=required,
        type=click.Path(path_type=Path),
        help="The platform's settings file (TOML).",
    )


def load_settings(config: Path, properties: Path | None) -> Settings:
    """Read the settings; exits with status 2 if they are invalid."""
    try:
        return load(config, properties)
    except SettingsError as error:
        click.echo(f"umberward: {error}", err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
