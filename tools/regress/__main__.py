"""``python -m tools.regress``: run from the project's root, beside the users' ``given`` folder."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import click

from tools.regress import entries
from tools.regress.entries import Entry, Row

KIT = Path("../given/kit")
BENCH = KIT / "more/fleet/bin/fleetbench"
JOURNAL = Path("journal")
QUICK = [
    "more/bayanihan-payroll-ph-ops.toml",
    "more/atlas-cores-ma-ops.toml",
    "change/bayanihan-payroll-ph-next.toml",
    "change/atlas-cores-ma-next.toml",
]
FLEET = ["more/fleet/bayanihan-payroll-ph-fleet.toml", "more/fleet/atlas-cores-ma-fleet.toml"]
FULL = [
    *FLEET,
    *QUICK,
    "sites/bayanihan-payroll-ph.toml",
    "sites/atlas-cores-ma.toml",
    "next/bayanihan-payroll-ph-grown.toml",
    "next/atlas-cores-ma-grown.toml",
]

_why = click.option("--why", required=True, help="One plain sentence for the journal.")
_jobs = click.option("--jobs", default=4, show_default=True, help="Days played at once.")


@click.group()
def main() -> None:
    """Play what a landing asks for, and compare with the last full score.

    Ends with 1 if a rule is broken, a day has no result, a figure fell by more than 0.03 or a day
    takes more than 200 s of processor time; with 2 without the users' kit.
    """


@main.command()
@_why
@_jobs
def quick(why: str, jobs: int) -> None:
    """Before every landing: the two roughest days of four deployments."""
    _play(QUICK, ["--quick"], why, jobs)


@main.command()
@_why
@_jobs
def fleet(why: str, jobs: int) -> None:
    """If storage, membership, timers or messages changed: both fleet deployments, quickly."""
    _play(FLEET, ["--quick"], why, jobs)


@main.command()
@_why
@_jobs
def full(why: str, jobs: int) -> None:
    """At every third landing: all days of all ten deployments."""
    _play(FULL, [], why, jobs)


@main.command()
@click.argument("ids", nargs=-1)
def compare(ids: tuple[str, ...]) -> None:
    """Compare the entries IDS, or the newest score of each deployment, with the full one before."""
    found = _read()
    chosen = [entry for entry in found if entry.id in ids] if ids else _newest(found)
    missing = set(ids) - {entry.id for entry in chosen}
    if missing:
        raise click.UsageError(f"no such entry: {' '.join(sorted(missing))}")
    _judge(found, chosen)


def _play(sites: list[str], flags: list[str], why: str, jobs: int) -> None:
    if not BENCH.exists():
        click.echo(f"regress: no {BENCH}: the users' kit is not beside this folder", err=True)
        sys.exit(2)
    before = {entry.id for entry in _read()}
    paths = [str(KIT / site) for site in sites]
    words = [str(BENCH), "score", *paths, *flags, "--jobs", str(jobs), "--why", why]
    ended = subprocess.run(words, check=False).returncode
    found = _read()
    made = [entry for entry in found if entry.id not in before and entry.cmd == "score"]
    if ended != 0 or len({entry.site for entry in made}) < len(sites):
        click.echo(f"regress: the bench ended with {ended} before all were played", err=True)
    _judge(found, made, incomplete=len({entry.site for entry in made}) < len(sites))


def _read() -> list[Entry]:
    try:
        return entries.read(JOURNAL)
    except ValueError as error:
        click.echo(f"regress: {error}", err=True)
        sys.exit(2)


def _newest(found: list[Entry]) -> list[Entry]:
    newest = {entry.site: entry for entry in found if entry.cmd == "score" and entry.over}
    return list(newest.values())


def _judge(found: list[Entry], chosen: list[Entry], incomplete: bool = False) -> None:
    rows: list[Row] = []
    for entry in chosen:
        earlier = [other for other in found if other.at[0] < entry.at[0]]
        rows += entries.compare(entry, entries.last_full(earlier, entry.site or ""))
    click.echo(f"{'deployment':28}{'day':14}{'before':>7}{'now':>7}{'cpu s':>7}")
    for row in rows:
        figures = "".join(
            f"{'-' if figure is None else format(figure, form):>7}"
            for figure, form in ((row.before, ".2f"), (row.now, ".2f"), (row.processor_s, ".0f"))
        )
        click.echo(f"{row.site:28}{row.day:14}{figures}  {row.wrong}".rstrip())
    sys.exit(1 if incomplete or not rows or any(row.wrong for row in rows) else 0)


if __name__ == "__main__":
    main()
