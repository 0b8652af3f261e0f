"""Must not type-check: what is said of a job or graph that is not known needs a proof.

`test_absence_proofs` runs mypy on this file and expects an error in each line marked so.
"""

from __future__ import annotations

from umberward.clients.state_client import StateClient
from umberward.control.absent_jobs import AbsentJob
from umberward.control.job_admission import UnknownDependencyError, resolve_dependencies
from umberward.control.job_api import JobApi
from umberward.control.job_state_cache import JobStateCache
from umberward.control.job_states import JobState
from umberward.control.rejection_log import JobRequest, RejectionLog
from umberward.core.types import JobId, Key
from umberward.graphs.errors import AbsentGraph, UnknownGraphError
from umberward.graphs.model import GraphId
from umberward.protocol.http import Response
from umberward.protocol.transactions import AbsentKey

JOB_ID = JobId("req-000001")


def say_not_known_without_a_proof(job_api: JobApi, rejections: RejectionLog) -> None:
    job_api._unknown_job_response(JobRequest.POLL, JOB_ID, 0.0)  # error
    job_api._unknown_job_response(JobRequest.POLL, None, 0.0)  # error
    job_api._refused_response(JOB_ID, 422, "", 0.0)  # error
    rejections.record(JobRequest.POLL, JOB_ID, Response(404))  # error
    UnknownDependencyError(JOB_ID)  # error
    UnknownGraphError(GraphId("graph-1"))  # error
    resolve_dependencies({JOB_ID: None})  # error


def make_a_proof_without_an_answered_read(store: StateClient, key: Key) -> None:
    AbsentJob(JOB_ID, None, 0.0, 0.0, None)  # error
    AbsentJob(JOB_ID, key, 0.0, 0.0, None)  # error
    AbsentGraph(None, None)  # error
    AbsentKey(key, None)  # error


def show_state(_: JobState) -> None: ...


def show_absence(_: AbsentJob | None) -> None: ...


async def take_silence_for_absence(cache: JobStateCache, store: StateClient, key: Key) -> None:
    show_state(await cache.state(JOB_ID))  # error
    show_state((await cache.states([JOB_ID]))[JOB_ID])  # error
    show_absence(await cache.state(JOB_ID))  # error
    print((await store.get(key)).data)  # error


class ForgetfulCache(JobStateCache):
    async def state(self, job_id: JobId, *, urgent: bool = False) -> JobState | None:  # error
        return self.live_jobs.get(job_id)

    async def _lookup(self, job_id: JobId) -> JobState | AbsentJob:
        return self.live_jobs.get(job_id)  # error
