"""Graphs as files, TOML or JSON: read, checked with the line of each error, cut into parts."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from umberward.core.settings import TeamQuota
from umberward.core.types import MachineTypeName
from umberward.graphs import model
from umberward.graphs.model import File, GraphId, Part
from umberward.protocol import wire
from umberward.protocol.wire import MAX_BODY_BYTES, MachineType
from umberward.scheduling.quota import Quota

PART_BYTES = MAX_BODY_BYTES - 4096  # of tasks in one part; the rest is for what goes with them

_TOML_TASK = re.compile(r"^\s*\[\[\s*tasks\s*\]\]", re.MULTILINE)
_JSON_TASK = re.compile(r'"name"\s*:')
_TASK_PATH = re.compile(r"tasks\[(\d+)\]")


class GraphFileError(Exception):
    """One line for each thing that is wrong: FILE:LINE: what."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


def load(
    path: Path,
    teams: Iterable[TeamQuota] | None = None,
    skus: dict[MachineTypeName, MachineType] | None = None,
) -> File:
    """Raises FileError. `teams`, `skus`: those of the cluster that it is for, if they are known."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise GraphFileError([f"{path}: {error.strerror or error}"]) from None
    except UnicodeDecodeError as error:
        raise GraphFileError([f"{path}: not UTF-8 text: {error.reason}"]) from None
    is_json = path.suffix == ".json"
    try:
        raw = msgspec.json.decode(text) if is_json else tomllib.loads(text)
    except msgspec.DecodeError as error:
        raise GraphFileError([f"{path}: not JSON: {error}"]) from None
    except tomllib.TOMLDecodeError as error:
        raise GraphFileError([f"{path}: not TOML: {error}"]) from None
    lines = _task_lines(text, is_json)
    try:
        made = msgspec.convert(raw, File)
    except msgspec.ValidationError as error:
        what, _, where = str(error).partition(" - at `$")
        where = where.rstrip("`").lstrip(".")
        found = _TASK_PATH.search(where)
        at = _at(path, lines, int(found[1]) if found else None)
        raise GraphFileError([f"{at} {where}: {what}" if where else f"{at} {what}"]) from None
    wrong = model.problems(made.tasks, skus)
    if teams is not None:
        wrong += model.team_problems(
            made.graph.team, [] if wrong else made.tasks, Quota(list(teams))
        )
    said = [f"{_at(path, lines, problem.task)} {problem.text}" for problem in wrong]
    if said:
        raise GraphFileError(said)
    return made


def parts(id: GraphId, file: File) -> list[Part]:
    """The graph as it is sent; each part fits into one request."""
    groups: list[list[model.Task]] = [[]]
    size = 0
    for task in file.tasks:
        bytes_ = len(wire.encode(task))
        if groups[-1] and size + bytes_ > PART_BYTES:
            groups.append([])
            size = 0
        groups[-1].append(task)
        size += bytes_
    return [Part(id, file.graph, tasks, number, len(groups)) for number, tasks in enumerate(groups)]


def schema() -> dict[str, Any]:
    """Of a graph file, as JSON schema."""
    made = msgspec.json.schema(File)
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", **made}


def _task_lines(text: str, is_json: bool) -> list[int]:
    """The line on which each task begins, as far as the text's usual forms tell."""
    pattern = _JSON_TASK if is_json else _TOML_TASK
    return [text.count("\n", 0, found.end()) + 1 for found in pattern.finditer(text)]


def _at(path: Path, lines: list[int], task: int | None) -> str:
    if task is None:
        return f"{path}:"
    if task < len(lines):
        return f"{path}:{lines[task]}:"
    return f"{path}: task {task + 1}:"
