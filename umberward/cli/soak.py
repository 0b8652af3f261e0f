"""The command `soak`: a cluster on the loopback under load and drawn faults, checked."""

from __future__ import annotations

import signal
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

import click
import msgspec

TERMINATED = 143  # exit code after SIGTERM
BROKEN, BAD_INPUT, HARNESS_FAILED = 1, 2, 3  # exit codes; 0: no rule was broken


class Seeds(click.ParamType[range]):
    """Seeds on the command line: one number or a range, such as `7` or `1-50`."""

    name = "seeds"

    def convert(
        self, value: str | range, param: click.Parameter | None, ctx: click.Context | None
    ) -> range:
        """The seeds; ends with click's own message for anything else."""
        if isinstance(value, range):
            return value
        first, _, last = value.partition("-")
        last = last or first
        if not first.isdecimal() or not last.isdecimal() or int(last) < int(first):
            self.fail(f"{value!r} is neither a number nor a range such as 1-50", param, ctx)
        return range(int(first), int(last) + 1)


class SeedRun(NamedTuple):
    """The run of one seed in a process of its own."""

    seed: int
    output: str  # what the process printed
    result: dict[str, Any] | None  # its report; None: the process failed


@click.command()
@click.option("--seeds", default="1", show_default=True, type=Seeds(), help="N, or N-M.")
@click.option(
    "--size",
    default="small",
    show_default=True,
    help="short, small, medium or large: workers, load and length.",
)
@click.option(
    "--fault", "faults", multiple=True, help="Only this kind of fault; may be given several times."
)
@click.option(
    "--jobs", default=1, show_default=True, type=click.IntRange(1, 16), help="Seeds played at once."
)
@click.option("--report", type=click.Path(path_type=Path), help="Write the results as JSON.")
def soak(seeds: range, size: str, faults: tuple[str, ...], jobs: int, report: Path | None) -> None:
    """Play drawn faults against a cluster on this machine, and judge it from outside.

    Ends with 0 if no rule was broken, 1 if one was, 2 for bad input, 3 if the soak itself failed.
    """
    from umberward.soak import plan

    try:
        plan.size(size)
        plan.kinds(list(faults))
    except plan.PlanError as error:
        click.echo(f"soak: {error}", err=True)
        sys.exit(BAD_INPUT)
    # An exception, unlike the signal itself, lets the soak end its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(TERMINATED))
    if len(seeds) == 1:
        sys.exit(_run_here(seeds[0], size, faults, report))
    sys.exit(_run_in_processes(seeds, size, faults, jobs, report))


def _run_here(seed: int, size: str, faults: tuple[str, ...], report: Path | None) -> int:
    """Run one seed in this process and print the result. Returns the exit status."""
    from umberward.core import event_loop, log
    from umberward.soak import plan
    from umberward.soak.runner import Run

    log.configure("error", "lines")
    run = Run(plan.draw(seed, plan.size(size), plan.kinds(list(faults))))
    try:
        result = event_loop.run(run.play)
    except (RuntimeError, OSError) as error:
        click.echo(f"soak: seed {seed}: the soak failed: {error}", err=True)
        return HARNESS_FAILED
    if report is not None:
        report.write_bytes(msgspec.json.format(msgspec.json.encode([result])) + b"\n")
    click.echo(_line(msgspec.to_builtins(result)))
    for line in result.timeline:
        click.echo(f"    {line}")
    if result.broken:
        chosen = "".join(f" --fault {name}" for name in faults)
        click.echo(f"again: umberward soak --seeds {seed} --size {size}{chosen}")
    return BROKEN if result.broken else 0


def _run_in_processes(
    seeds: range, size: str, faults: tuple[str, ...], jobs: int, report: Path | None
) -> int:
    """Run each seed in a process of its own; none outlives this one. Returns the exit status."""
    running: list[subprocess.Popen[str]] = []
    with tempfile.TemporaryDirectory(prefix="umberward-soak-") as folder:

        def play(seed: int) -> SeedRun:
            path = Path(folder) / f"{seed}.json"
            command = [sys.executable, "-m", "umberward", "soak", "--seeds", str(seed)]
            command += ["--size", size, "--report", str(path)]
            for name in faults:
                command += ["--fault", name]
            process = subprocess.Popen(
                command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
            )
            running.append(process)
            output, _ = process.communicate()
            result = msgspec.json.decode(path.read_bytes())[0] if path.exists() else None
            return SeedRun(seed, output.strip(), result)

        runs: list[SeedRun] = []
        with ThreadPoolExecutor(max_workers=jobs) as pool:
            try:
                for run in pool.map(play, seeds):
                    click.echo(run.output)
                    runs.append(run)
            finally:
                pool.shutdown(wait=False, cancel_futures=True)
                for process in running:
                    process.terminate()  # of one that has ended already it does nothing
    results = [run.result for run in runs if run.result is not None]
    if report is not None:
        report.write_bytes(msgspec.json.format(msgspec.json.encode(results)) + b"\n")
    failed = [run.seed for run in runs if run.result is None]
    broken = [result["seed"] for result in results if result["broken"]]
    click.echo(
        f"{len(runs)} seeds: {len(broken)} broke a rule {broken}, {len(failed)} failed {failed};"
        f" {sum(result['starts'] for result in results)} starts,"
        f" {sum(result['cancellations'] for result in results)} cancellations,"
        f" {sum(result['kills'] for result in results)} kills,"
        f" {sum(result['takeovers'] for result in results)} takeovers"
    )
    return HARNESS_FAILED if failed else BROKEN if broken else 0


def _line(result: dict[str, Any]) -> str:
    """One line with the result of one seed."""
    rules = sorted({rule for _, rule, *_ in result["broken"]})
    return (
        f"seed {result['seed']}: {', '.join(rules) if rules else 'no rule broken'};"
        f" {result['workers']} workers, {result['jobs']} jobs, {result['starts']} starts,"
        f" {result['cancellations']} cancellations, {result['kills']} kills,"
        f" {result['takeovers']} takeovers, {result['processor_s']} s of processor time,"
        f" {result['memory_mb']} MB, {result['seconds']} s"
    )
