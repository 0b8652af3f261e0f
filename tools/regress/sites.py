"""Deployments of other sizes, derived from the users' site files. Those files do not change."""

from __future__ import annotations

import random
import shutil
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import tomli_w

DRAWN_FAULTS = 4  # number of faults of a random day


def scale_site(site: dict[str, Any], factor: float, restart_s: float, seed: int) -> dict[str, Any]:
    """The deployment with `factor` times as many machines, jobs and failing machines.

    A controller that exits is restarted after `restart_s` seconds.
    """
    scaled = {**site, "name": f"{site['name']}-x{factor:g}", "seed": seed}
    scaled["nodes"] = {**site["nodes"], "restart_delay_s": restart_s}
    for table, counts in (("capacity", ("count", "spot")), ("machines", ("count",))):
        if table in site:
            scaled[table] = [_scale_fields(row, counts, factor) for row in site[table]]
    scaled["jobs"] = [
        {
            **_scale_fields(job, ("initial",), factor),
            "arrivals": _scale_rate(job["arrivals"], factor),
        }
        for job in site["jobs"]
    ]
    scaled["day"] = [
        {**day, "faults": [_scale_fault(fault, factor) for fault in day.get("faults", [])]}
        for day in site["day"]
    ]
    return scaled


def _scale_fields(row: dict[str, Any], keys: tuple[str, ...], factor: float) -> dict[str, Any]:
    return {key: round(value * factor) if key in keys else value for key, value in row.items()}


def _scale_rate(arrivals: dict[str, Any], factor: float) -> dict[str, Any]:
    return {**arrivals, "rate": arrivals["rate"] * factor}


def _scale_fault(fault: dict[str, Any], factor: float) -> dict[str, Any]:
    """Scale the number of failing machines with the fleet; the number of controllers stays."""
    machines = fault["kind"].startswith("machine_")
    return _scale_fields(fault, ("count",), factor) if machines else fault


def _limited(site: dict[str, Any]) -> dict[str, Any]:
    """Give each team a quota so low that bursts reach it."""
    cores = {row["name"]: row["cpus"] for row in site["machine_types"]}
    total_cores = sum(row["count"] * cores[row["type"]] for row in site["capacity"])
    teams = [
        {**team, "cpus_max": TEAM_LIMIT_SHARE * total_cores / team["count"]}
        for team in site["teams"]
    ]
    return {**site, "teams": teams}


def _quick_boots(site: dict[str, Any]) -> dict[str, Any]:
    """Let new machines boot within two seconds."""
    return {**site, "machine_types": [{**row, "boot_s": 1.3} for row in site["machine_types"]]}


def _small_jobs(site: dict[str, Any]) -> dict[str, Any]:
    """Add jobs of one short task, which arrive at four per second."""
    template = next(job for job in site["jobs"] if job["kind"] == "array")
    more = {
        **template,
        "name": "small-jobs",
        "cpus": 1.0,
        "memory_gb": 1.0,
        "checkpoint_s": 0.0,
        "initial": 0,
        "tasks": {"sizes": [1], "weights": [1.0]},
        "arrivals": {"rate": 4.0},
        "run_s": {"median": 8.0, "p95": 20.0, "max": 30.0},
        "images": {"count": 3, "gb": {"median": 0.3, "p95": 0.4, "max": 0.5}, "zipf": 1.0},
    }
    return {**site, "jobs": [*site["jobs"], more]}


TEAM_LIMIT_SHARE = 0.7  # quotas of all teams together, as a share of all cores
VARIANTS: dict[str, Callable[[dict[str, Any]], dict[str, Any]]] = {
    "limited": _limited,
    "quick-boots": _quick_boots,
    "small-jobs": _small_jobs,
}


def write(
    source: Path, folder: Path, factor: float, restart_s: float, seed: int, variant: str = ""
) -> Path:
    """Write the scaled deployment and its wire file to `folder`; returns the deployment's path."""
    site = read_site(source)
    scaled = scale_site(site, factor, restart_s, seed)
    if variant:
        scaled = {**VARIANTS[variant](scaled), "name": f"{scaled['name']}-{variant}"}
    folder.mkdir(parents=True, exist_ok=True)
    shutil.copyfile(source.parent / site["wire"], folder / site["wire"])
    path = folder / f"{scaled['name']}.toml"
    path.write_text(tomli_w.dumps(scaled))
    return path


def draw_day(site: dict[str, Any], seed: int) -> dict[str, Any]:
    """A day with random faults from the deployment's own days, at random times."""
    rng = random.Random(f"{site['name']} {seed}")
    known_faults = [fault for day in site["day"] for fault in day.get("faults", [])]
    first, last = site["warmup_s"] + 10.0, site["duration_s"] - 60.0
    chosen = rng.sample(known_faults, min(DRAWN_FAULTS, len(known_faults)))
    faults = [{**fault, "at_s": round(rng.uniform(first, last), 1)} for fault in chosen]
    faults.sort(key=lambda fault: fault["at_s"])
    return {"name": f"drawn-{seed}", "slot": "scale", "light": True, "seed": seed, "faults": faults}


def write_days(site: Path, seeds: list[int]) -> list[Path]:
    """Write a file for the random day of each seed next to the site file."""
    found = read_site(site)
    return [write_day(site, draw_day(found, seed)) for seed in seeds]


def read_site(site: Path) -> dict[str, Any]:
    """Read a site file."""
    return tomllib.loads(site.read_text())


def write_day(site: Path, day: dict[str, Any]) -> Path:
    """Write a file for the day next to the site file."""
    path = site.with_name(f"{site.stem}-{day['name']}.toml")
    path.write_text(tomli_w.dumps({"day": [day]}))
    return path


def days(site: Path, *, roughest_only: bool) -> list[str]:
    """The names of the standard days, or only of those marked as the two roughest."""
    found = read_site(site)["day"]
    return [day["name"] for day in found if day.get("light") or not roughest_only]
