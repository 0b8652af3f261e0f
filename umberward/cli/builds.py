"""The command `builds`: which builds run or are recorded, and the known faults of each."""

from __future__ import annotations

import sys
from http import HTTPStatus
from pathlib import Path

import click

from umberward.cli.asking import ask, print_response
from umberward.cli.settings_files import (
    EXIT_INVALID_SETTINGS,
    config_option,
    load_settings,
    properties_option,
)
from umberward.core.known_faults import KNOWN_FAULTS, KnownFault, find_faults
from umberward.protocol import wire

EXIT_KNOWN_FAULT = 3


@click.command()
@config_option(required=False)
@properties_option
@click.option(
    "--deploy",
    "deploy_file",
    type=click.Path(path_type=Path),
    help="A deploy file in a checkout: its record of the version in production is checked too.",
)
def builds(config: Path | None, properties: Path | None, deploy_file: Path | None) -> None:
    """Show the build that each controller has stored, "unknown" for versions before 0.5.

    With --deploy, also what the project's history knows against the version recorded as
    `production`. Exits with status 3 if a version has a known fault, or may have one; with 2 if a
    file can't be read, or the record names no commit of the history.
    """
    if config is None and deploy_file is None:
        raise click.UsageError("--config or --deploy is needed")  # noqa: TRY003 - click prints this text
    has_fault = config is not None and _show_running_builds(config, properties)
    if deploy_file is not None:
        has_fault = _show_recorded_version(deploy_file) or has_fault
    if has_fault:
        sys.exit(EXIT_KNOWN_FAULT)


def _show_running_builds(config: Path, properties: Path | None) -> bool:
    """Print the controllers' builds; returns whether one has a known fault, or may have one."""
    from umberward.control.controller_builds import builds_by_controller
    from umberward.leader.leader_election import CONTROLLER_KEY_PREFIX

    settings = load_settings(config, properties)
    response = ask(settings.state, "GET", f"/kv?prefix={CONTROLLER_KEY_PREFIX}")
    if response.status != HTTPStatus.OK:
        print_response(response)
    page = wire.decoder(wire.KeyValuePage)(response.body)
    names = [settings.platform.label, *settings.peers]
    has_fault = False
    for name, build in builds_by_controller(page.entries, names).items():
        faults = find_faults(build)
        has_fault = has_fault or bool(faults)
        notes = "".join(f" ({match.describe()})" for match in faults)
        click.echo(f"{name} {build}{notes}")
    return has_fault


def _show_recorded_version(deploy_file: Path) -> bool:
    """Print the version recorded as production; returns whether it has a known fault.

    Exits with status 2 if that can't be told.
    """
    from umberward.local.builds import BuildNotAvailableError, production_commit, resolve_commit

    repository = deploy_file.parent
    try:
        commit = resolve_commit(production_commit(deploy_file), repository)
        faults = [fault for fault in KNOWN_FAULTS if _has_fault(commit, fault, repository)]
    except BuildNotAvailableError as error:
        click.echo(f"umberward: {error}", err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    click.echo(f"production {commit}{'' if faults else ' (no known fault)'}")
    for fault in faults:
        click.echo(f"  has the known fault {fault.name}: {fault.symptom}")
        click.echo(f"  mended in {fault.mended_in}; see {fault.page}")
        click.echo(f'  line to write in {deploy_file}: production = "{fault.patch_commit}"')
    return bool(faults)


def _has_fault(commit: str, fault: KnownFault, repository: Path) -> bool:
    """Whether no mend of the fault is in a commit's history."""
    from umberward.local.builds import has_ancestor

    return not any(has_ancestor(commit, mend, repository) for mend in fault.mending_commits)
