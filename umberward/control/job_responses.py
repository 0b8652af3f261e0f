"""HTTP responses to users about a single job."""

from __future__ import annotations

import msgspec

from umberward.control.job_states import LiveJobState
from umberward.core.types import JobId
from umberward.protocol import wire
from umberward.protocol.http import Response
from umberward.protocol.wire import FinalJobRecord


class JobStateResponse(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "job_id": "uid",
        "done_count": "done",
        "running_count": "running",
        "dependencies": "waits_on",
        "cancelled_by": "because",
    },
):
    """Body of each response with a job's state.

    `dependencies` lists the jobs that it still waits for; `cancelled_by` is the dependency whose
    cancellation cancelled the job. Both are omitted if there is none.
    """

    job_id: JobId
    phase: str
    done_count: int
    running_count: int = 0
    dependencies: list[JobId] | msgspec.UnsetType = msgspec.UNSET
    cancelled_by: str | msgspec.UnsetType = msgspec.UNSET


def state_response(state: JobStateResponse, status: int = 200) -> Response:
    """A response with the state of a job."""
    return Response(status, wire.encode(state))


def final_response(job_id: JobId, final: FinalJobRecord, status: int = 200) -> Response:
    """A response with the state of a job that has ended."""
    state = JobStateResponse(
        job_id=job_id,
        phase=final.phase,
        done_count=final.done_count,
        cancelled_by=final.cancelled_by or msgspec.UNSET,
    )
    return state_response(state, status)


def live_response(
    job_id: JobId, state: LiveJobState, dependencies: list[JobId], status: int = 200
) -> Response:
    """A response with the state of a job that has not ended; `dependencies`: it waits for these."""
    return state_response(
        JobStateResponse(
            job_id=job_id,
            phase=wire.RUNNING if state.placed_below else wire.PENDING,
            done_count=state.done_count,
            running_count=max(0, state.placed_below - state.done_count),
            dependencies=dependencies or msgspec.UNSET,
        ),
        status,
    )
