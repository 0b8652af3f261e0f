"""Deployments of our own size, made from the users' site files, which stay as they are."""

from __future__ import annotations

import random
import shutil
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import tomli_w

DRAWN = 4  # troubles of a drawn day


def grow(site: dict[str, Any], factor: float, restart_s: float, seed: int) -> dict[str, Any]:
    """The same deployment with `factor` times the machines, jobs and failing machines.

    A process that ends is back after `restart_s` seconds.
    """
    grown = {**site, "name": f"{site['name']}-x{factor:g}", "seed": seed}
    grown["nodes"] = {**site["nodes"], "restart_delay_s": restart_s}
    for table, counts in (("capacity", ("count", "spot")), ("machines", ("count",))):
        if table in site:
            grown[table] = [_times(row, counts, factor) for row in site[table]]
    grown["jobs"] = [
        {**_times(job, ("initial",), factor), "arrivals": _faster(job["arrivals"], factor)}
        for job in site["jobs"]
    ]
    grown["day"] = [
        {**day, "faults": [_fault(fault, factor) for fault in day.get("faults", [])]}
        for day in site["day"]
    ]
    return grown


def _times(row: dict[str, Any], keys: tuple[str, ...], factor: float) -> dict[str, Any]:
    return {key: round(value * factor) if key in keys else value for key, value in row.items()}


def _faster(arrivals: dict[str, Any], factor: float) -> dict[str, Any]:
    return {**arrivals, "rate": arrivals["rate"] * factor}


def _fault(fault: dict[str, Any], factor: float) -> dict[str, Any]:
    """Machines that fail keep their part of the fleet; controllers are as many as before."""
    machines = fault["kind"].startswith("machine_")
    return _times(fault, ("count",), factor) if machines else fault


def _limited(site: dict[str, Any]) -> dict[str, Any]:
    """Each team may use so little that it is at its limit in bursts."""
    cores = {row["name"]: row["cpus"] for row in site["machine_types"]}
    all_ = sum(row["count"] * cores[row["type"]] for row in site["capacity"])
    teams = [{**team, "cpus_max": LIMIT * all_ / team["count"]} for team in site["teams"]]
    return {**site, "teams": teams}


def _quick_boots(site: dict[str, Any]) -> dict[str, Any]:
    """New machines are up within two seconds."""
    return {**site, "machine_types": [{**row, "boot_s": 1.3} for row in site["machine_types"]]}


def _small_jobs(site: dict[str, Any]) -> dict[str, Any]:
    """Jobs of one short task come four a second, besides all others."""
    like = next(job for job in site["jobs"] if job["kind"] == "array")
    more = {
        **like,
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


LIMIT = 0.7  # of all cores, for all teams together
VARIANTS: dict[str, Callable[[dict[str, Any]], dict[str, Any]]] = {
    "limited": _limited,
    "quick-boots": _quick_boots,
    "small-jobs": _small_jobs,
}


def write(
    source: Path, folder: Path, factor: float, restart_s: float, seed: int, variant: str = ""
) -> Path:
    """Write the grown deployment and its wire file into `folder`; the path of the first."""
    site = read(source)
    grown = grow(site, factor, restart_s, seed)
    if variant:
        grown = {**VARIANTS[variant](grown), "name": f"{grown['name']}-{variant}"}
    folder.mkdir(parents=True, exist_ok=True)
    shutil.copyfile(source.parent / site["wire"], folder / site["wire"])
    path = folder / f"{grown['name']}.toml"
    path.write_text(tomli_w.dumps(grown))
    return path


def draw(site: dict[str, Any], seed: int) -> dict[str, Any]:
    """A day with troubles that the deployment knows from its own days, at other times."""
    rng = random.Random(f"{site['name']} {seed}")
    known = [fault for day in site["day"] for fault in day.get("faults", [])]
    first, last = site["warmup_s"] + 10.0, site["duration_s"] - 60.0
    chosen = rng.sample(known, min(DRAWN, len(known)))
    faults = [{**fault, "at_s": round(rng.uniform(first, last), 1)} for fault in chosen]
    faults.sort(key=lambda fault: fault["at_s"])
    return {"name": f"drawn-{seed}", "slot": "scale", "light": True, "seed": seed, "faults": faults}


def write_days(site: Path, seeds: list[int]) -> list[Path]:
    """Write a file for each drawn day beside the site file."""
    found = read(site)
    return [write_day(site, draw(found, seed)) for seed in seeds]


def read(site: Path) -> dict[str, Any]:
    """A site file as it stands."""
    return tomllib.loads(site.read_text())


def write_day(site: Path, day: dict[str, Any]) -> Path:
    """Write a file for the day beside the site file."""
    path = site.with_name(f"{site.stem}-{day['name']}.toml")
    path.write_text(tomli_w.dumps({"day": [day]}))
    return path


def days(site: Path, *, rough: bool) -> list[str]:
    """The names of the standard days; `rough`: of those that are marked as the two roughest."""
    found = read(site)["day"]
    return [day["name"] for day in found if day.get("light") or not rough]
