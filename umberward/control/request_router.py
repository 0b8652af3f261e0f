"""Routes requests to a controller's public address to their handlers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from umberward.control.heartbeat_api import HeartbeatApi
from umberward.control.job_api import JobApi
from umberward.control.readiness import Readiness
from umberward.core.types import parse_job_id
from umberward.protocol.http import Request, Response

if TYPE_CHECKING:
    from umberward.graphs.graph_api import GraphApi

WORKER_HEARTBEAT_PATH = "/hello"
JOBS_PATH = "/v1/jobs"
GRAPHS_PATH = "/v1/graphs"
READINESS_PATH = "/ready"
CANCEL_ACTION = "cancel"


class RequestRouter:
    """Routes requests of workers, users and readiness probes."""

    def __init__(
        self,
        heartbeat_api: HeartbeatApi,
        job_api: JobApi,
        graph_api: GraphApi | None,
        readiness: Readiness,
    ) -> None:
        """Create a router; `graph_api` is None if task graphs are disabled."""
        self.heartbeat_api = heartbeat_api
        self.job_api = job_api
        self.graph_api = graph_api
        self.readiness = readiness

    async def serve(self, request: Request) -> Response:
        """Answer a request; 404 for an unknown path, 405 for a wrong method."""
        path = request.path
        if path == WORKER_HEARTBEAT_PATH:  # first, because most requests are heartbeats
            if request.method != "POST":
                return Response(405)
            return await self.heartbeat_api.serve(request)
        if _is_at_or_below(path, JOBS_PATH):
            return await self._serve_jobs(request)
        if self.graph_api is not None and _is_at_or_below(path, GRAPHS_PATH):
            subpath = path[len(GRAPHS_PATH) :]
            return await self.graph_api.serve(request.method, subpath, request.query, request.body)
        if path == READINESS_PATH:
            return self._serve_readiness(request.method)
        return Response(404)

    async def _serve_jobs(self, request: Request) -> Response:
        if request.path == JOBS_PATH:
            if request.method != "POST":
                return Response(405)
            return await self.job_api.submit(request.body)
        name, _, action = request.path[len(JOBS_PATH) + 1 :].partition("/")
        if action not in ("", CANCEL_ACTION):
            return Response(404)
        if request.method != ("POST" if action else "GET"):
            return Response(405)
        job_id = parse_job_id(name)
        if job_id is None:
            return Response(404)
        return await (self.job_api.cancel(job_id) if action else self.job_api.poll(job_id))

    def _serve_readiness(self, method: str) -> Response:
        if method not in ("GET", "HEAD"):
            return Response(405)
        return Response(200 if self.readiness.is_ready() else 503)


def _is_at_or_below(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(prefix + "/")
