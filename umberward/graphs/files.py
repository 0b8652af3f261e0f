"""Graph files in TOML or JSON: reading, checking with line numbers, and splitting into parts."""

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
from umberward.graphs.model import File, GraphId, Part, Task
from umberward.protocol import wire
from umberward.protocol.wire import MAX_BODY_BYTES, MachineType
from umberward.scheduling.quota import Quota

MAX_PART_TASKS_BYTES = MAX_BODY_BYTES - 4096  # 4096 bytes are left for the other fields of a part

_TOML_TASK = re.compile(r"^\s*\[\[\s*tasks\s*\]\]", re.MULTILINE)
_JSON_TASK = re.compile(r'"name"\s*:')
_TASK_PATH = re.compile(r"tasks\[(\d+)\]")


class GraphFileError(Exception):
    """A graph file is invalid; `lines` has one line for each problem, as FILE:LINE: TEXT."""

    def __init__(self, lines: list[str]) -> None:
        """Create an error with the lines to show to the user."""
        super().__init__("\n".join(lines))
        self.lines = lines


def load(
    path: Path,
    teams: Iterable[TeamQuota] | None = None,
    machine_types: dict[MachineTypeName, MachineType] | None = None,
) -> File:
    """Read and check a graph file.

    `teams` and `machine_types` are those of the target cluster; None: unknown, so the checks that
    need them are left out. Raises GraphFileError with one line for each problem.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise GraphFileError([f"{path}: {error.strerror or error}"]) from None
    except UnicodeDecodeError as error:
        raise GraphFileError([f"{path}: not UTF-8 text: {error.reason}"]) from None
    raw = _decode(path, text)
    lines = _task_lines(path, text)
    try:
        file = msgspec.convert(raw, File)
    except msgspec.ValidationError as error:
        raise GraphFileError([_describe_mismatch(path, lines, error)]) from None
    problems = model.find_problems(file.tasks, machine_types)
    if teams is not None:
        well_formed_tasks = [] if problems else file.tasks
        problems += model.find_team_problems(file.graph.team, well_formed_tasks, Quota(list(teams)))
    if problems:
        raise GraphFileError(
            [f"{_location(path, lines, problem.task)} {problem.text}" for problem in problems]
        )
    return file


def split_graph(graph_id: GraphId, file: File) -> list[Part]:
    """Split a graph into parts that each fit into one request."""
    groups: list[list[Task]] = [[]]
    group_bytes = 0
    for task in file.tasks:
        task_bytes = wire.json_size(task) + 1  # with the comma
        if groups[-1] and group_bytes + task_bytes > MAX_PART_TASKS_BYTES:
            groups.append([])
            group_bytes = 0
        groups[-1].append(task)
        group_bytes += task_bytes
    return [
        Part(graph_id, file.graph, tasks, number, len(groups))
        for number, tasks in enumerate(groups)
    ]


def schema() -> dict[str, Any]:
    """Return the JSON schema of a graph file."""
    file_schema = msgspec.json.schema(File)
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", **file_schema}


def _is_json(path: Path) -> bool:
    """Whether the file is JSON, by its suffix; all other files are TOML."""
    return path.suffix == ".json"


def _decode(path: Path, text: str) -> object:
    """Decode the text of a graph file; raise GraphFileError for a syntax error."""
    try:
        return msgspec.json.decode(text) if _is_json(path) else tomllib.loads(text)
    except msgspec.DecodeError as error:
        raise GraphFileError([f"{path}: not JSON: {error}"]) from None
    except tomllib.TOMLDecodeError as error:
        raise GraphFileError([f"{path}: not TOML: {error}"]) from None


def _describe_mismatch(path: Path, lines: list[int], error: msgspec.ValidationError) -> str:
    """Return the line for the user about a field that does not match the schema."""
    message, _, field = str(error).partition(" - at `$")
    field = field.rstrip("`").lstrip(".")
    match = _TASK_PATH.search(field)
    location = _location(path, lines, int(match[1]) if match else None)
    return f"{location} {field}: {message}" if field else f"{location} {message}"


def _task_lines(path: Path, text: str) -> list[int]:
    """Return the line on which each task begins.

    Found by pattern: `[[tasks]]` in TOML, a `"name":` key in JSON.
    """
    pattern = _JSON_TASK if _is_json(path) else _TOML_TASK
    return [text.count("\n", 0, match.end()) + 1 for match in pattern.finditer(text)]


def _location(path: Path, lines: list[int], task_number: int | None) -> str:
    """Return FILE:LINE: of a task.

    If the line is unknown, the task's number stands for it; without a task, only FILE: is returned.
    """
    if task_number is None:
        return f"{path}:"
    if task_number < len(lines):
        return f"{path}:{lines[task_number]}:"
    return f"{path}: task {task_number + 1}:"
