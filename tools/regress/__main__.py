"""``python -m tools.regress``: run in the project's root, next to the users' ``given`` folder."""

from __future__ import annotations

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import click

from tools.regress import entries, largest, meetings, rolls, served, sites
from tools.regress.entries import Entry, Row

KIT = Path("../given/kit")
BENCH = KIT / "more/hunt/bin/fleetbench"
JOURNAL = Path("journal")
SITES = Path("target/sites")
MARKED_PROCESSOR_S = 300.0  # days above this are marked; above 400 s a day counts for nothing
LENDING = "added/bayanihan-lending.toml"
QUICK = [
    LENDING,
    "change/bayanihan-payroll-ph-next.toml",
    "change/atlas-cores-ma-next.toml",
]
OPERATIONS = ["more/bayanihan-payroll-ph-ops.toml", "more/atlas-cores-ma-ops.toml"]
FLEET = ["more/fleet/bayanihan-payroll-ph-fleet.toml", "more/fleet/atlas-cores-ma-fleet.toml"]
HALF_AGAIN = [*FLEET, LENDING]
HUNT = ["more/hunt/bayanihan-payroll-ph-hunt.toml", "more/hunt/atlas-cores-ma-hunt.toml"]
FULL = [
    *FLEET,
    *QUICK,
    *OPERATIONS,
    "next/bayanihan-payroll-ph-grown.toml",
    "next/atlas-cores-ma-grown.toml",
]
# Site files that were replaced by others.
EARLIER = [*OPERATIONS, "sites/bayanihan-payroll-ph.toml", "sites/atlas-cores-ma.toml"]

_why_option = click.option("--why", required=True, help="One plain sentence for the journal.")
_jobs_option = click.option("--jobs", default=4, show_default=True, help="Days run in parallel.")


class OneLineErrorGroup(click.Group):
    """A command group that reports usage errors in one line, as all errors with exit status 2."""

    def main(self, *args: Any, **more: Any) -> Any:
        try:
            return super().main(*args, **{**more, "standalone_mode": False})
        except click.ClickException as error:
            click.echo(f"regress: {error.format_message()}", err=True)
            sys.exit(error.exit_code)


@click.group(cls=OneLineErrorGroup)
def main() -> None:
    """Run the days required before a landing, and compare with the last full score.

    Exits with 1 if a rule is broken, a day has no result, a score fell by more than 0.03 or a day
    takes more than 200 s of processor time; with 2 if the users' kit is missing.
    """


@main.command()
@_why_option
@_jobs_option
def quick(why: str, jobs: int) -> None:
    """Before every landing: the two roughest days of three deployments."""
    _score_sites(QUICK, ["--quick"], why, jobs)


@main.command()
@_why_option
@_jobs_option
def fleet(why: str, jobs: int) -> None:
    """If storage, membership, timers or messages changed: as quick, for both fleet deployments."""
    _score_sites(FLEET, ["--quick"], why, jobs)


@main.command()
@_why_option
@_jobs_option
def hunt(why: str, jobs: int) -> None:
    """As quick, for both hunt deployments, whose days combine two faults."""
    _score_sites(HUNT, ["--quick"], why, jobs)


@main.command()
@_why_option
@_jobs_option
def full(why: str, jobs: int) -> None:
    """At every third landing: all days of the nine deployments."""
    _score_sites(FULL, [], why, jobs)


@main.command()
@_why_option
@_jobs_option
def earlier(why: str, jobs: int) -> None:
    """The replaced site files, no longer part of other modes: their two roughest days."""
    _score_sites(EARLIER, ["--quick"], why, jobs)


@main.command()
@_why_option
@_jobs_option
@click.option("--factor", default=1.5, show_default=True, help="Factor for machines and jobs.")
@click.option("--restart-s", default=0.2, show_default=True, help="Restart delay of a controller.")
@click.option("--seed", "seeds", multiple=True, type=int, default=[1, 2], help="Of random days.")
@click.option("--all-days", is_flag=True, help="All standard days, not just the two roughest.")
@click.option("--only", default="", help="Only deployments whose names contain this.")
def half_again(
    why: str,
    jobs: int,
    factor: float,
    restart_s: float,
    seeds: tuple[int, ...],
    all_days: bool,
    only: str,
) -> None:
    """The largest deployments at 1.5 times their size: their roughest days and random ones.

    Exits with 1 if a rule is broken, a day has no result, less than half of a class of jobs, of a
    team or of a class's largest jobs was served, or one of the largest started after four minutes.
    Days with more than 300 s of processor time are marked.
    """
    _require_bench()
    days_to_run: list[tuple[Path, str]] = []
    for source in (name for name in HALF_AGAIN if only in name):
        folder = SITES / f"x{factor:g}-{restart_s:g}"
        site = sites.write(KIT / source, folder, factor, restart_s, min(seeds, default=1))
        days_to_run += [(site, day) for day in sites.days(site, roughest_only=not all_days)]
        days_to_run += [(site, str(path)) for path in sites.write_days(site, list(seeds))]
    _run_days(days_to_run, why, jobs)


@main.command("meetings")
@_why_option
@_jobs_option
@click.option(
    "--factor",
    "factors",
    multiple=True,
    type=float,
    default=[1.0, 1.5],
    help="Factor for machines and jobs.",
)
@click.option("--restart-s", default=0.2, show_default=True, help="Restart delay of a controller.")
@click.option("--seed", "seeds", multiple=True, type=int, default=[1], help="Random seed.")
@click.option("--pairs", default=2, show_default=True, help="Random pairs of meetings per seed.")
@click.option("--only", default="", help="Only deployments whose names contain this.")
@click.option("--day", default="", help="Only meetings whose names contain this.")
def _play_meetings(
    why: str,
    jobs: int,
    factors: tuple[float, ...],
    restart_s: float,
    seeds: tuple[int, ...],
    pairs: int,
    only: str,
    day: str,
) -> None:
    """Days with combined faults ("meetings"), for both hunt deployments and lending.

    Exits with 1 as `half-again` does, with 2 if the users' kit is missing or a name is unknown.
    """
    _require_bench()
    days_to_run: list[tuple[Path, str]] = []
    for source in (name for name in [*HUNT, LENDING] if only in name):
        for factor in factors:
            folder = SITES / f"x{factor:g}-{restart_s:g}"
            least = min(seeds, default=1)
            site = sites.write(KIT / source, folder, factor, restart_s, least)
            for seed in seeds:
                try:
                    planned_days = meetings.days(sites.read_site(site), seed, pairs, day)
                except ValueError as error:
                    click.echo(f"regress: {error}", err=True)
                    sys.exit(2)
                for day_to_write, variant in planned_days:
                    variant_site = sites.write(
                        KIT / source, folder, factor, restart_s, least, variant
                    )
                    days_to_run.append(
                        (variant_site, str(sites.write_day(variant_site, day_to_write)))
                    )
    if not days_to_run:
        click.echo(f"regress: no deployment name contains {only!r}", err=True)
        sys.exit(2)
    _run_days(days_to_run, why, jobs)


@main.command("rolls")
@_why_option
@_jobs_option
@click.option("--first-seed", default=1, show_default=True, help="Of the drawn rolls.")
@click.option("--days", "count", default=20, show_default=True, help="Seeds per deployment.")
@click.option("--upgrade", is_flag=True, help="From the production version to this one.")
@click.option("--only", default="", help="Only deployments whose names contain this.")
def _play_rolls(
    why: str, jobs: int, first_seed: int, count: int, *, upgrade: bool, only: str
) -> None:
    """Drawn rolls on both hunt deployments in small, controllers back after 0.2 s.

    Exits with 1 if a rule is broken or a day has no result.
    """
    _require_bench()
    days_to_run = []
    for source in (name for name in HUNT if only in name):
        site = sites.write(KIT / source, SITES / "rolls", 1.0, rolls.RESTART_S, 1)
        controllers = sites.read_site(site)["nodes"]["count"]
        for seed in range(first_seed, first_seed + count):
            day = rolls.draw_roll(controllers, seed, upgrade=upgrade)
            days_to_run.append((site, sites.write_day(site, day), seed))
    failures = 0
    with ThreadPoolExecutor(max_workers=jobs) as pool:
        results = pool.map(lambda day: _run_roll(day[0], day[1], day[2], why), days_to_run)
        for text, failed in results:
            click.echo(text)
            failures += failed
    click.echo(f"{failures} of {len(days_to_run)} failed")
    sys.exit(1 if failures else 0)


def _run_roll(site: Path, day: Path, seed: int, why: str) -> tuple[str, bool]:
    """Run the beginning of one day in small; returns a line about it, and whether it failed."""
    report = day.with_suffix(".json")
    report.unlink(missing_ok=True)
    command = [str(BENCH), "run", str(site), str(day), "--seed", str(seed), "--small"]
    command += ["--until", f"{rolls.DURATION_S:g}", "--log", "info", "--report", str(report)]
    done = subprocess.run(
        [*command, "--why", f"{why} (seed {seed})"], check=False, capture_output=True, text=True
    )
    day.with_suffix(".log").write_text(done.stdout + done.stderr)
    if not report.exists():
        return f"{day.stem}: no result", True
    found = served.read(report)
    broken = ", ".join(sorted(found.rules_broken.by_kind)) if found.broken else "unbroken"
    return f"{day.stem}: {broken}", found.broken


@main.command()
@click.argument("ids", nargs=-1)
def compare(ids: tuple[str, ...]) -> None:
    """Compare the entries IDS, or each deployment's newest score, with the full score before."""
    found = _read_journal()
    chosen = [entry for entry in found if entry.id in ids] if ids else _newest_scores(found)
    missing = set(ids) - {entry.id for entry in chosen}
    if missing:
        raise click.UsageError(f"no such entry: {' '.join(sorted(missing))}")
    _print_comparison(found, chosen)


def _run_days(days_to_run: list[tuple[Path, str]], why: str, jobs: int) -> None:
    """Run each day by itself, print its result, and exit with 1 if any failed."""
    click.echo(f"{'deployment':34}{'day':14}{'now':>7}{'cpu s':>7}  least served")
    failures = 0
    with ThreadPoolExecutor(max_workers=jobs) as pool:
        for text, failed in pool.map(lambda pair: _run_day(pair[0], pair[1], why), days_to_run):
            click.echo(text)
            failures += failed
    sys.exit(1 if failures else 0)


def _score_sites(sites: list[str], flags: list[str], why: str, jobs: int) -> None:
    _require_bench()
    before = {entry.id for entry in _read_journal()}
    paths = [str(KIT / site) for site in sites]
    command = [str(BENCH), "score", *paths, *flags, "--jobs", str(jobs), "--why", why]
    ended = subprocess.run(command, check=False).returncode
    found = _read_journal()
    made = [entry for entry in found if entry.id not in before and entry.cmd == "score"]
    if ended != 0 or len({entry.site for entry in made}) < len(sites):
        click.echo(f"regress: the bench exited with {ended}, not all deployments ran", err=True)
    _print_comparison(found, made, incomplete=len({entry.site for entry in made}) < len(sites))


def _run_day(site: Path, day: str, why: str) -> tuple[str, bool]:
    """Run one day; returns a line of text about it, and whether it failed."""
    name = Path(day).stem.rpartition("x")[2] if day.endswith(".toml") else day
    report = site.with_name(f"{site.stem}-{Path(day).stem}.json")
    report.unlink(missing_ok=True)
    command = [str(BENCH), "run", str(site), day, "--report", str(report), "--log", "info"]
    command += ["--why", f"{why} ({name})"]
    done = subprocess.run(command, check=False, capture_output=True, text=True)
    line = f"{site.stem:34}{name.partition('-')[2] or name:14}"
    if not report.exists():
        last = (done.stdout + done.stderr).strip().splitlines()[-1:]
        return f"{line}      -      -  no result: {' '.join(last)}", True
    found = served.read(report)
    least = found.least_served()
    objections = (
        [f"broken: {', '.join(sorted(found.rules_broken.by_kind))}"] if found.broken else []
    )
    if served.objections(least):
        objections.append(served.objections(least))
    largest_jobs = largest.read(
        (done.stdout + done.stderr).splitlines(),
        {name: kind.cancelled for name, kind in found.classes.items()},
    )
    if largest.objections(largest_jobs):
        objections.append(largest.objections(largest_jobs))
    if found.processor_s > MARKED_PROCESSOR_S:
        objections.append(f"over {MARKED_PROCESSOR_S:.0f} s")
    failed = found.broken or (least is not None and least.share < served.FAILED_SHARE)
    failed = failed or bool(largest.objections(largest_jobs))
    figure = _score_of_day(done.stdout)
    part = "-" if least is None else f"{least.share:.2f} {least.who}"
    part = f"{part}; largest {largest.summary(largest_jobs)}"
    text = f"{line}{figure:>7}{found.processor_s:7.0f}  {part}  {'; '.join(objections)}".rstrip()
    return text, failed


def _score_of_day(printed: str) -> str:
    """The day's score, from the table that the bench prints: day, size, score, ..."""
    lines = printed.splitlines()
    heads = [number for number, text in enumerate(lines) if text.startswith("day ")]
    columns = lines[heads[-1] + 1].split() if heads and heads[-1] + 1 < len(lines) else []
    return columns[2] if len(columns) > 2 else "-"


def _require_bench() -> None:
    if not BENCH.exists():
        click.echo(f"regress: no {BENCH}: the users' kit is not next to this folder", err=True)
        sys.exit(2)


def _read_journal() -> list[Entry]:
    try:
        return entries.read(JOURNAL)
    except ValueError as error:
        click.echo(f"regress: {error}", err=True)
        sys.exit(2)


def _newest_scores(found: list[Entry]) -> list[Entry]:
    newest = {entry.site: entry for entry in found if entry.cmd == "score" and entry.finished}
    return list(newest.values())


def _compare_entry(entry: Entry, before: Entry | None) -> list[Row]:
    """The comparison, with the least served class or team: less than half is an objection."""
    rows = []
    days = {day.name: day for day in entry.days}
    for row in entries.compare(entry, before):
        least = served.least_served_by_aims(days[row.day]) if row.day in days else None
        objections = "; ".join(filter(None, [row.objections, served.objections(least)]))
        rows.append(row._replace(least_served=least, objections=objections))
    return rows


def _print_comparison(found: list[Entry], chosen: list[Entry], *, incomplete: bool = False) -> None:
    rows: list[Row] = []
    for entry in chosen:
        earlier = [other for other in found if other.at[0] < entry.at[0]]
        rows += _compare_entry(entry, entries.last_full(earlier, entry.site or ""))
    click.echo(f"{'deployment':28}{'day':14}{'before':>7}{'now':>7}{'cpu s':>7}  least served")
    for row in rows:
        least = (
            ""
            if row.least_served is None
            else f"{row.least_served.share:.2f} {row.least_served.who}"
        )
        figures = "".join(
            f"{'-' if figure is None else format(figure, form):>7}"
            for figure, form in ((row.before, ".2f"), (row.now, ".2f"), (row.processor_s, ".0f"))
        )
        click.echo(f"{row.site:28}{row.day:14}{figures}  {least:22}{row.objections}".rstrip())
    sys.exit(1 if incomplete or not rows or any(row.objections for row in rows) else 0)


if __name__ == "__main__":
    main()
