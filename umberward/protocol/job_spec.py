"""The specification of a job as submitted by a user, and the bounds of its fields."""

from __future__ import annotations

from typing import Annotated

import msgspec

from umberward.core.types import MAX_TASKS_PER_JOB

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
NonNegative = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class JobSpec(
    msgspec.Struct,
    omit_defaults=True,
    rename={
        "job_id": "uid",
        "job_class": "jobclass",
        "team": "owner",
        "kind": "shape",
        "priority": "rank",
        "task_count": "shards",
        "image": "bundle",
        "image_gb": "pull_gb",
        "expected_runtime_s": "expect_s",
        "same_zone": "same_place",
        "spread": "apart",
        "spot": "reclaimable",
        "checkpoint_interval_s": "snapshot_every_s",
        "checkpoint_cost_s": "snapshot_cost_s",
        "machine_types": "flavors",
        "zone": "yard",
        "deadline_s": "due_s",
        "dependencies": "waits_on",
    },
):
    """A job as submitted by a user (PROTOCOL, "POST /v1/jobs").

    `cores`, `accelerators`, `mem_gb` and `image_gb` are per task; fields ending in `_s` are in
    seconds. `same_zone`: all tasks run in one zone; `spread`: at most half of the tasks, rounded
    up, run in one zone. `dependencies` is never set in a stored record: see
    `JobRecord.dependencies`.
    """

    job_id: Name
    job_class: Name
    team: Name
    kind: str
    priority: str
    task_count: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS_PER_JOB)]
    cores: NonNegative
    accelerators: NonNegative
    mem_gb: NonNegative
    image: Name
    image_gb: NonNegative
    expected_runtime_s: NonNegative
    same_zone: bool
    spread: bool
    spot: bool
    checkpoint_interval_s: NonNegative
    checkpoint_cost_s: NonNegative
    machine_types: list[Name] | None = None
    zone: Name | None = None
    deadline_s: Positive | None = None
    dependencies: list[Name] | None = None
