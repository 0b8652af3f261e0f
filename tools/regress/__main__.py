"""``python -m tools.regress``: run from the project's root, beside the users' ``given`` folder."""

from __future__ import annotations

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import click

from tools.regress import entries, largest, meetings, served, sites
from tools.regress.entries import Entry, Row

KIT = Path("../given/kit")
BENCH = KIT / "more/hunt/bin/fleetbench"
JOURNAL = Path("journal")
SITES = Path("target/sites")
MARKED_S = 300.0  # of processor time: near the 400 s after which a day counts for nothing
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
# What other site files have taken the place of.
EARLIER = [*OPERATIONS, "sites/bayanihan-payroll-ph.toml", "sites/atlas-cores-ma.toml"]

_why = click.option("--why", required=True, help="One plain sentence for the journal.")
_jobs = click.option("--jobs", default=4, show_default=True, help="Days played at once.")


class Plain(click.Group):
    """Says in one line what is wrong with the words given, as all else that ends with 2 here."""

    def main(self, *args: Any, **more: Any) -> Any:
        try:
            return super().main(*args, **{**more, "standalone_mode": False})
        except click.ClickException as error:
            click.echo(f"regress: {error.format_message()}", err=True)
            sys.exit(error.exit_code)


@click.group(cls=Plain)
def main() -> None:
    """Play what a landing asks for, and compare with the last full score.

    Ends with 1 if a rule is broken, a day has no result, a figure fell by more than 0.03 or a day
    takes more than 200 s of processor time; with 2 without the users' kit.
    """


@main.command()
@_why
@_jobs
def quick(why: str, jobs: int) -> None:
    """Before every landing: the two roughest days of three deployments."""
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
def hunt(why: str, jobs: int) -> None:
    """The same for both hunt deployments, on whose days two troubles meet."""
    _play(HUNT, ["--quick"], why, jobs)


@main.command()
@_why
@_jobs
def full(why: str, jobs: int) -> None:
    """At every third landing: all days of the nine deployments."""
    _play(FULL, [], why, jobs)


@main.command()
@_why
@_jobs
def earlier(why: str, jobs: int) -> None:
    """The site files that left the other modes: their two roughest days."""
    _play(EARLIER, ["--quick"], why, jobs)


@main.command()
@_why
@_jobs
@click.option("--factor", default=1.5, show_default=True, help="Times the machines and jobs.")
@click.option("--restart-s", default=0.2, show_default=True, help="An ended process is back.")
@click.option("--seed", "seeds", multiple=True, type=int, default=[1, 2], help="Drawn days.")
@click.option("--all-days", is_flag=True, help="All standard days, not the two roughest alone.")
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
    """The largest deployments half again as large, their roughest days and drawn ones.

    Ends with 1 if a rule is broken, a day has no result, less than half of a class of jobs, of a
    team or of a class's largest jobs was served, or one of the largest began after four minutes;
    days of over 300 s of processor time are marked.
    """
    _need_bench()
    played: list[tuple[Path, str]] = []
    for source in (name for name in HALF_AGAIN if only in name):
        folder = SITES / f"x{factor:g}-{restart_s:g}"
        site = sites.write(KIT / source, folder, factor, restart_s, min(seeds, default=1))
        played += [(site, day) for day in sites.days(site, rough=not all_days)]
        played += [(site, str(path)) for path in sites.write_days(site, list(seeds))]
    _play_each(played, why, jobs)


@main.command("meetings")
@_why
@_jobs
@click.option(
    "--factor",
    "factors",
    multiple=True,
    type=float,
    default=[1.0, 1.5],
    help="Times the machines and jobs.",
)
@click.option("--restart-s", default=0.2, show_default=True, help="An ended process is back.")
@click.option("--seed", "seeds", multiple=True, type=int, default=[1], help="Other luck.")
@click.option("--pairs", default=2, show_default=True, help="Drawn pairs of meetings, each seed.")
@click.option("--only", default="", help="Only deployments whose names contain this.")
@click.option("--day", default="", help="Only meetings whose names contain this.")
def _meetings(
    why: str,
    jobs: int,
    factors: tuple[float, ...],
    restart_s: float,
    seeds: tuple[int, ...],
    pairs: int,
    only: str,
    day: str,
) -> None:
    """Days on which two troubles meet, on both hunt deployments and on lending.

    Ends with 1 as `half-again` does, with 2 without the users' kit or for an unknown name.
    """
    _need_bench()
    played: list[tuple[Path, str]] = []
    for source in (name for name in [*HUNT, LENDING] if only in name):
        for factor in factors:
            folder = SITES / f"x{factor:g}-{restart_s:g}"
            least = min(seeds, default=1)
            site = sites.write(KIT / source, folder, factor, restart_s, least)
            for seed in seeds:
                try:
                    made = meetings.days(sites.read(site), seed, pairs, day)
                except ValueError as error:
                    click.echo(f"regress: {error}", err=True)
                    sys.exit(2)
                for one, variant in made:
                    where = sites.write(KIT / source, folder, factor, restart_s, least, variant)
                    played.append((where, str(sites.write_day(where, one))))
    if not played:
        click.echo(f"regress: no deployment is called {only!r}", err=True)
        sys.exit(2)
    _play_each(played, why, jobs)


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


def _play_each(played: list[tuple[Path, str]], why: str, jobs: int) -> None:
    """Play these days one by one, print how each went, and end with 1 if one failed."""
    click.echo(f"{'deployment':34}{'day':14}{'now':>7}{'cpu s':>7}  least served")
    failures = 0
    with ThreadPoolExecutor(max_workers=jobs) as pool:
        for text, failed in pool.map(lambda pair: _run(pair[0], pair[1], why), played):
            click.echo(text)
            failures += failed
    sys.exit(1 if failures else 0)


def _play(sites: list[str], flags: list[str], why: str, jobs: int) -> None:
    _need_bench()
    before = {entry.id for entry in _read()}
    paths = [str(KIT / site) for site in sites]
    words = [str(BENCH), "score", *paths, *flags, "--jobs", str(jobs), "--why", why]
    ended = subprocess.run(words, check=False).returncode
    found = _read()
    made = [entry for entry in found if entry.id not in before and entry.cmd == "score"]
    if ended != 0 or len({entry.site for entry in made}) < len(sites):
        click.echo(f"regress: the bench ended with {ended} before all were played", err=True)
    _judge(found, made, incomplete=len({entry.site for entry in made}) < len(sites))


def _run(site: Path, day: str, why: str) -> tuple[str, bool]:
    """Play one day; a line about it, and whether it failed."""
    name = Path(day).stem.rpartition("x")[2] if day.endswith(".toml") else day
    report = site.with_name(f"{site.stem}-{Path(day).stem}.json")
    report.unlink(missing_ok=True)
    words = [str(BENCH), "run", str(site), day, "--report", str(report), "--log", "info"]
    words += ["--why", f"{why} ({name})"]
    done = subprocess.run(words, check=False, capture_output=True, text=True)
    line = f"{site.stem:34}{name.partition('-')[2] or name:14}"
    if not report.exists():
        last = (done.stdout + done.stderr).strip().splitlines()[-1:]
        return f"{line}      -      -  no result: {' '.join(last)}", True
    found = served.read(report)
    least = found.least()
    wrong = [f"broken: {', '.join(sorted(found.rules_broken.by_kind))}"] if found.broken else []
    if served.judge(least):
        wrong.append(served.judge(least))
    biggest = largest.read(
        (done.stdout + done.stderr).splitlines(),
        {name: kind.cancelled for name, kind in found.classes.items()},
    )
    if largest.judge(biggest):
        wrong.append(largest.judge(biggest))
    if found.processor_s > MARKED_S:
        wrong.append(f"over {MARKED_S:.0f} s")
    failed = found.broken or (least is not None and least.share < served.FAILED_PART)
    failed = failed or bool(largest.judge(biggest))
    figure = _figure(done.stdout)
    part = "-" if least is None else f"{least.share:.2f} {least.who}"
    part = f"{part}; largest {largest.summary(biggest)}"
    text = f"{line}{figure:>7}{found.processor_s:7.0f}  {part}  {'; '.join(wrong)}".rstrip()
    return text, failed


def _figure(printed: str) -> str:
    """The day's figure, from the table that the bench prints: day, size, score, ..."""
    lines = printed.splitlines()
    heads = [number for number, text in enumerate(lines) if text.startswith("day ")]
    words = lines[heads[-1] + 1].split() if heads and heads[-1] + 1 < len(lines) else []
    return words[2] if len(words) > 2 else "-"


def _need_bench() -> None:
    if not BENCH.exists():
        click.echo(f"regress: no {BENCH}: the users' kit is not beside this folder", err=True)
        sys.exit(2)


def _read() -> list[Entry]:
    try:
        return entries.read(JOURNAL)
    except ValueError as error:
        click.echo(f"regress: {error}", err=True)
        sys.exit(2)


def _newest(found: list[Entry]) -> list[Entry]:
    newest = {entry.site: entry for entry in found if entry.cmd == "score" and entry.over}
    return list(newest.values())


def _rows(entry: Entry, before: Entry | None) -> list[Row]:
    """The comparison, with who was served least: below a half that speaks against landing."""
    rows = []
    days = {day.name: day for day in entry.days}
    for row in entries.compare(entry, before):
        least = served.least_by_aims(days[row.day]) if row.day in days else None
        wrong = "; ".join(filter(None, [row.wrong, served.judge(least)]))
        rows.append(row._replace(least=least, wrong=wrong))
    return rows


def _judge(found: list[Entry], chosen: list[Entry], *, incomplete: bool = False) -> None:
    rows: list[Row] = []
    for entry in chosen:
        earlier = [other for other in found if other.at[0] < entry.at[0]]
        rows += _rows(entry, entries.last_full(earlier, entry.site or ""))
    click.echo(f"{'deployment':28}{'day':14}{'before':>7}{'now':>7}{'cpu s':>7}  least served")
    for row in rows:
        least = "" if row.least is None else f"{row.least.share:.2f} {row.least.who}"
        figures = "".join(
            f"{'-' if figure is None else format(figure, form):>7}"
            for figure, form in ((row.before, ".2f"), (row.now, ".2f"), (row.processor_s, ".0f"))
        )
        click.echo(f"{row.site:28}{row.day:14}{figures}  {least:22}{row.wrong}".rstrip())
    sys.exit(1 if incomplete or not rows or any(row.wrong for row in rows) else 0)


if __name__ == "__main__":
    main()
