"""Service-level objectives by job class. No I/O.

The settings list them (docs/operators), each with a kind, a job class, and a time or a factor.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from umberward.core.settings import Objective

# Kinds of objectives in the settings.
START_KIND = "wait"
FINISH_KIND = "finished"
DEADLINE_KIND = "deadline"
GUARANTEE_KIND = "guarantee"


class StrictestObjectives(NamedTuple):
    """The strictest objective of each kind for a job class, in seconds; None: there is none."""

    start_within_s: float | None
    finish_within_s: float | None


NO_STRICTEST_OBJECTIVES = StrictestObjectives(None, None)


class ClassObjectives(NamedTuple):
    """All objectives of a job class, in seconds and as multiples of a job's own deadline."""

    start_within_s: list[float]
    finish_within_s: list[float]
    deadline_factors: list[float]


NO_OBJECTIVES = ClassObjectives([], [], [])


@dataclass
class Objectives:
    """The parsed objectives of the settings."""

    strictest: dict[str, StrictestObjectives] = field(default_factory=dict)
    by_class: dict[str, ClassObjectives] = field(default_factory=dict)
    guaranteed_start_within_s: float | None = None  # time within which guaranteed work should start


def parse_objectives(objectives: Iterable[Objective]) -> Objectives:
    """Group the objectives of the settings by job class."""
    parsed = Objectives()
    for objective in objectives:
        if objective.kind == GUARANTEE_KIND and objective.within_s:
            parsed.guaranteed_start_within_s = objective.within_s
        if objective.job_class is not None:
            _add_class_objective(parsed.by_class, objective.job_class, objective)
            if objective.within_s:
                strictest = parsed.strictest.get(objective.job_class, NO_STRICTEST_OBJECTIVES)
                parsed.strictest[objective.job_class] = _stricter_objectives(
                    strictest, objective.kind, objective.within_s
                )
    return parsed


def _add_class_objective(
    by_class: dict[str, ClassObjectives], job_class: str, objective: Objective
) -> None:
    class_objectives = by_class.setdefault(job_class, ClassObjectives([], [], []))
    if objective.kind == DEADLINE_KIND:
        class_objectives.deadline_factors.append(objective.times or 1.0)
    elif objective.within_s and objective.kind == START_KIND:
        class_objectives.start_within_s.append(objective.within_s)
    elif objective.within_s and objective.kind == FINISH_KIND:
        class_objectives.finish_within_s.append(objective.within_s)


def _stricter_objectives(
    strictest: StrictestObjectives, kind: str, within_s: float
) -> StrictestObjectives:
    if kind == START_KIND:
        return strictest._replace(
            start_within_s=min(strictest.start_within_s or within_s, within_s)
        )
    if kind == FINISH_KIND:
        return strictest._replace(
            finish_within_s=min(strictest.finish_within_s or within_s, within_s)
        )
    return strictest
