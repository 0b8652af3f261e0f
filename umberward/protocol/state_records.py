"""The records that controllers store in the state service, and the prefixes of their keys.

| stored name | field |
| --- | --- |
| `at` | `submitted_at` (JobRecord), `ended_at` (FinalJobRecord) |
| `marked` | `placed_below` |
| `base`, `done` | `done_below`, `done_bitmap` (FinalJobRecord: `done` is `done_count`) |
| `needs`, `ready` | `dependencies`, `ready_at` |
| `owner` | `team` |
| `because`, `remains` | `cancelled_by`, `remaining` |
| `node`, `jobs` | `controller`, `job_hash_range` |
| `hosts` | `machines` |
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from umberward.core.build_identity import UNKNOWN_BUILD
from umberward.protocol.constants import JobPhase
from umberward.protocol.job_spec import JobSpec

JOBS_PREFIX = "jobs/"
LIVE_JOBS_PREFIX = "jobs/live/"
FINAL_JOBS_PREFIX = "jobs/past/"
BLOCKS_PREFIX = "blocks/"
SNAPSHOT_PREFIX = "hints/"


class JobRecord(
    msgspec.Struct,
    omit_defaults=True,
    rename={
        "submitted_at": "at",
        "placed_below": "marked",
        "done_below": "base",
        "done_bitmap": "done",
        "dependencies": "needs",
        "ready_at": "ready",
    },
):
    """A live job, under `LIVE_JOBS_PREFIX` and its id.

    `submitted_at` is the wall-clock time of the submission, in seconds, at the controller that
    accepted the job.
    `placed_below` is the placement intent: tasks below this number may have been placed by some
    leader. It is stored before any of them starts.
    `done_below`: all tasks below this number are done. `done_bitmap` contains the committed
    completions from there on: a hexadecimal number whose lowest bit stands for task `done_below`.
    `dependencies` holds the jobs that were not done when this one was accepted
    (`pack_dependencies`), until its first placement intent. From then on, `ready_at` holds the time
    when the last of them was done. Both are unset for jobs without dependencies.
    """

    spec: JobSpec
    submitted_at: float
    placed_below: int = 0
    done_below: int = 0
    done_bitmap: str = "0"
    dependencies: str = ""
    ready_at: float | None = None


class RemainingTasks(
    msgspec.Struct,
    omit_defaults=True,
    rename={"team": "owner", "placed_below": "marked", "done_below": "base", "done_bitmap": "done"},
):
    """Tasks of a cancelled job that may still be running.

    They end when their workers execute the kill command, or when the leases of their workers
    expire. `placed_below`, `done_below` and `done_bitmap` are copied from the JobRecord. The other
    fields are the resources of each task, and the team whose quota they count towards.
    """

    team: str
    cores: float
    mem_gb: float
    placed_below: int
    accelerators: float = 0.0
    done_below: int = 0
    done_bitmap: str = "0"


# Decoding rejects any other phase.
FinalPhase = Annotated[str, msgspec.Meta(pattern=rf"\A({JobPhase.DONE}|{JobPhase.CANCELLED})\Z")]


class FinalJobRecord(
    msgspec.Struct,
    omit_defaults=True,
    rename={
        "done_count": "done",
        "ended_at": "at",
        "cancelled_by": "because",
        "remaining": "remains",
    },
):
    """A job that has ended, under `FINAL_JOBS_PREFIX` and its id.

    `ended_at` is the wall-clock time in seconds, set only if other jobs depended on this one.
    `cancelled_by` is the cancelled dependency because of which the job can never run. `remaining`
    is set only for a cancelled job of a team with a limit, if any task may have been placed.
    """

    phase: FinalPhase
    done_count: int = 0
    ended_at: float | None = None
    cancelled_by: str = ""
    remaining: RemainingTasks | None = None


class LeaderRecord(msgspec.Struct, rename={"controller": "node"}):
    """The current leader; deleted with its lease.

    `nonce` identifies the campaign that wrote the record.
    """

    controller: str
    nonce: str


class BlockRecord(msgspec.Struct, rename={"machines": "hosts"}):
    """The machines of one block, under `BLOCKS_PREFIX` and its number.

    `machines`: id -> [address, machine type, zone, spot].
    """

    machines: dict[str, tuple[str, str, str, bool]]


class ControllerRecord(
    msgspec.Struct, omit_defaults=True, rename={"controller": "node", "job_hash_range": "jobs"}
):
    """The jobs that a leader is responsible for; the revision of this record is its fencing token.

    A controller also stores it when it starts, with `term` 0. `term` counts the tokens of one term;
    `job_hash_range` is the range of job hashes; `build` is that of the process (versions before 0.5
    store none).
    """

    controller: str
    nonce: str
    term: int
    job_hash_range: tuple[int, int]
    build: str = UNKNOWN_BUILD
