"""What users ask of any controller: submit, poll, cancel. No answer is older than the question."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from umberward.clients import state_client
from umberward.clients.state_client import StateClient
from umberward.control.job_state_cache import JobStateCache, LiveJobState
from umberward.core.log import logger
from umberward.core.settings import Settings
from umberward.core.types import (
    JobId,
    Key,
    MachineTypeName,
    Resources,
    TeamName,
    Version,
    WallTime,
    parse_job_id,
)
from umberward.graphs.model import graph_of
from umberward.protocol import transactions, wire
from umberward.protocol.http import Response
from umberward.protocol.wire import (
    CANCELLED,
    FINAL_JOBS_PREFIX,
    LIVE_JOBS_PREFIX,
    FinalJobRecord,
    JobRecord,
    JobSpec,
    MachineType,
    RemainingTasks,
)
from umberward.scheduling.quota import Quota

log = logger(__name__)

SUBMIT_BUDGET_WAIT_S = 0.4  # how long a submission may wait for its turn under the limits
COMPLETIONS_RESERVE_BYTES = 512  # of a record are left for what is stored once the job runs
RECORD_SPARE_BYTES = 64
RETRY_AFTER_S = 1.0
OUTAGE_RETRY_AFTER_S = 2.0


class JobRejectedError(Exception):
    """The job can never run."""


class JobApi:
    def __init__(
        self,
        settings: Settings,
        store: StateClient,
        mirror: JobStateCache,
        skus: dict[MachineTypeName, MachineType],
        wall: Callable[[], WallTime],
        reached: Callable[[], bool] = lambda: True,
        confirmed: Callable[[JobId], None] = lambda id: None,
    ) -> None:
        """`reached`: whether the state service can be asked at all; else all but what is known for
        good is refused at once. `confirmed` is told of each cancellation that a user is told of."""
        self.on_cancelled = confirmed
        self.state_reachable = reached
        self.store = store
        self.job_states = mirror
        self.machine_types = skus
        self.wall = wall
        cluster = settings.platform.cluster
        self.quota = Quota(cluster.teams)
        self.value_limit = int(cluster.state.strictest().value_kb * 1024)
        self.graphs_enabled = settings.operator.graphs_enabled

    # ---- requests ----------------------------------------------------------------------

    async def submit(self, body: bytes) -> Response:
        try:
            return await self._submit(body)
        except state_client.RateBudgetError as error:
            log.info("submission_not_taken", error="our part of the writes is used up")
            return Response(429, retry_after=max(RETRY_AFTER_S, error.wait_s))
        except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
            log.info("submission_not_taken", error=error)
            return Response(503, retry_after=OUTAGE_RETRY_AFTER_S)

    async def _submit(self, body: bytes) -> Response:
        try:
            spec = wire.decode_job_spec(body)
            id = parse_job_id(spec.job_id)
            if id is None:
                raise wire.MalformedMessageError("uid: not a job id")
            if self.graphs_enabled and graph_of(id) is not None:
                raise wire.MalformedMessageError("uid: such ids are those of task graphs")
            record, names = self._build_record(spec)
        except wire.MalformedMessageError as error:
            # The repeat of an accepted job gets its state, whatever its body says.
            return await self._known_response(_job_id_of(body)) or _rejection(400, str(error))
        final = self.job_states.finals.get(id)
        if final is not None:
            return _final_response(id, final)
        self._require_state()
        if not self.machine_types:
            return Response(503, retry_after=RETRY_AFTER_S)
        try:
            self.check_feasible(spec)
        except JobRejectedError as error:
            return await self._known_response(id) or _rejection(422, str(error))
        past: FinalJobRecord | None = None
        if id in names:
            return await self._known_response(id) or _rejection(422, "waits_on: the job itself")
        if names:
            found = await self.job_states.states([id, *names])
            if found.pop(id) is not None:
                # Known already: it gets its state, whatever became of those that it names.
                return await self._known_response(id) or Response(503, retry_after=RETRY_AFTER_S)
            try:
                past = self._record_dependencies(record, found)
            except JobRejectedError as error:
                return _rejection(422, str(error))
        write = transactions.put(Key(LIVE_JOBS_PREFIX + id), record)
        if past is not None:
            write = transactions.put(Key(FINAL_JOBS_PREFIX + id), past)
        conditions = [
            (Key(LIVE_JOBS_PREFIX + id), Version(0)),
            (Key(FINAL_JOBS_PREFIX + id), Version(0)),
        ]
        for last in (False, True):
            try:
                await self.store.commit(conditions, [write], patience=SUBMIT_BUDGET_WAIT_S)
                log.debug("accepted", job=id)
                if past is not None:
                    self.job_states.keep_final(id, past)
                    return _final_response(id, past, status=201)
                return _state_response(id, wire.PENDING, 0, status=201)
            except (state_client.CompareAndSwapError, state_client.UnknownOutcomeError):
                # Known already, or the outcome is unknown: what can be read decides.
                known = await self._known_response(id)
                if known is not None:
                    return known
            except state_client.RateBudgetError:
                raise
            except state_client.StateUnavailableError:
                if last:
                    raise
        return Response(503, retry_after=RETRY_AFTER_S)

    async def poll(self, id: JobId) -> Response:
        try:
            final = self.job_states.finals.get(id)
            if final is not None:
                return _final_response(id, final)
            self._require_state()
            return await self._known_response(id, urgent=False) or Response(404)
        except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
            log.debug("poll_not_answered", job=id, error=error)
            return Response(503, retry_after=RETRY_AFTER_S)

    async def cancel(self, id: JobId) -> Response:
        try:
            self._require_state()
            for _ in range(4):
                response = await self._cancel(id)
                if response is not None:
                    final = self.job_states.finals.get(id)
                    if final is not None and final.phase == CANCELLED:
                        log.info("cancelled_by_user", job=id)  # also if that was only read
                        self.on_cancelled(id)
                    return response
        except state_client.RateBudgetError as error:
            return Response(429, retry_after=max(RETRY_AFTER_S, error.wait_s))
        except (state_client.StateUnavailableError, state_client.UnknownOutcomeError) as error:
            log.info("cancellation_not_taken", job=id, error=error)
        return Response(503, retry_after=RETRY_AFTER_S)

    async def _cancel(self, id: JobId) -> Response | None:
        live = await self.store.get(Key(LIVE_JOBS_PREFIX + id))
        if live is None:
            # It moves from live to past at once: if it is known, it is over.
            known = await self.job_states.state(id, urgent=True)
            if known is None:
                return Response(404)
            if isinstance(known, FinalJobRecord):
                return _final_response(id, known)
            return None
        try:
            record = wire.convert(live.data, JobRecord)
            done = record.done_below + int(record.done_bitmap, 16).bit_count()
            past = FinalJobRecord(CANCELLED, done, remaining=self._remaining_tasks(record, done))
        except (wire.MalformedMessageError, ValueError) as error:
            log.error("record_malformed", job=id, error=error)
            past = FinalJobRecord(CANCELLED)
        writes = [
            transactions.put(Key(FINAL_JOBS_PREFIX + id), past),
            transactions.delete(Key(LIVE_JOBS_PREFIX + id)),
        ]
        try:
            await self.store.commit(
                [(Key(LIVE_JOBS_PREFIX + id), live.version)], writes, priority=transactions.URGENT
            )
        except (state_client.CompareAndSwapError, state_client.UnknownOutcomeError):
            return None  # read again what became of it
        self.job_states.keep_final(id, past)
        return _state_response(id, CANCELLED, past.done_count)

    # ---- parts -------------------------------------------------------------------------

    def _require_state(self) -> None:
        if not self.state_reachable():
            raise state_client.StateUnavailableError("the state service is out of our reach")

    async def _known_response(self, id: JobId | None, urgent: bool = True) -> Response | None:
        known = None if id is None else await self.job_states.state(id, urgent)
        if id is None or known is None:
            return None
        return self._answer(id, known)

    def _answer(self, id: JobId, known: LiveJobState | FinalJobRecord) -> Response:
        if isinstance(known, FinalJobRecord):
            return _final_response(id, known)
        phase = wire.RUNNING if known.placed_below else wire.PENDING
        return _state_response(
            id,
            phase,
            known.done_count,
            max(0, known.placed_below - known.done_count),
            waits_on=self.job_states.dependencies_of(id),
        )

    def _build_record(self, spec: JobSpec) -> tuple[JobRecord, list[JobId]]:
        """What would be stored, and the jobs that it names. Raises Malformed if it is too long."""
        names = list(dict.fromkeys(map(JobId, spec.dependencies or ())))
        spec.dependencies = None
        record = JobRecord(spec, round(self.wall(), 3))
        # Completions are stored with the description; what it waits for only until it starts.
        if wire.json_size(record) > self.value_limit - COMPLETIONS_RESERVE_BYTES:
            raise wire.MalformedMessageError("the description is too long")
        record.dependencies = wire.pack_dependencies(names)
        if wire.json_size(record) > self.value_limit - RECORD_SPARE_BYTES:
            raise wire.MalformedMessageError("waits_on: too many jobs for one record")
        return record, names

    def _remaining_tasks(self, record: JobRecord, done: int) -> RemainingTasks | None:
        """What a leader that never reads the live record has to count against the team's limit."""
        spec = record.spec
        if record.placed_below <= done or not self.quota.has_limit(TeamName(spec.team)):
            return None
        return RemainingTasks(
            spec.team,
            spec.cores,
            spec.mem_gb,
            record.placed_below,
            spec.accelerators,
            record.done_below,
            record.done_bitmap,
        )

    @staticmethod
    def _record_dependencies(
        record: JobRecord, found: dict[JobId, LiveJobState | FinalJobRecord | None]
    ) -> FinalJobRecord | None:
        """Note in the record what is not done yet; or the end of a job that can never run.

        Raises Refused for what may not be named.
        """
        waits = []
        cancelled = None
        for name, known in found.items():
            if known is None:
                raise JobRejectedError(f"waits_on: {name} was never accepted")
            if isinstance(known, FinalJobRecord):
                if known.phase != wire.DONE:
                    cancelled = cancelled or name
            elif known.service:
                raise JobRejectedError(f"waits_on: {name} is a service")
            else:
                waits.append(name)
        if cancelled is not None:
            return FinalJobRecord(CANCELLED, cancelled_by=cancelled)
        record.dependencies = wire.pack_dependencies(waits)
        return None

    def check_feasible(self, spec: JobSpec) -> None:
        """Raises Refused for a job that can never run."""
        team = TeamName(spec.team)
        if team not in self.quota.teams:
            raise JobRejectedError(f"owner: no team {spec.team}")
        need = Resources(spec.cores, spec.accelerators, spec.mem_gb)
        for name, sku in self.machine_types.items():
            if spec.machine_types is not None and name not in spec.machine_types:
                continue
            if spec.zone is not None and spec.zone not in sku.zones:
                continue
            if need.fits(sku.capacity):
                break
        else:
            raise JobRejectedError("a task fits no allowed machine type")
        if self.quota.exceeds_limit(team, need, 1 if spec.kind == wire.ARRAY else spec.task_count):
            raise JobRejectedError("the job needs more than the team's maximum")


def _job_id_of(body: bytes) -> JobId | None:
    try:
        data = msgspec.msgpack.decode(body)
    except (msgspec.DecodeError, RecursionError, ValueError):
        return None
    return parse_job_id(data.get("uid")) if isinstance(data, dict) else None


def _state_response(
    id: JobId,
    phase: str,
    done: int,
    running: int = 0,
    status: int = 200,
    waits_on: Sequence[JobId] = (),
    because: str = "",
) -> Response:
    body: dict[str, Any] = {"uid": id, "phase": phase, "done": done, "running": running}
    if waits_on:
        body["waits_on"] = waits_on
    if because:
        body["because"] = because
    return Response(status, wire.encode(body))


def _final_response(id: JobId, final: FinalJobRecord, status: int = 200) -> Response:
    return _state_response(
        id, final.phase, final.done_count, status=status, because=final.cancelled_by
    )


def _rejection(status: int, text: str) -> Response:
    log.info("submission_refused", status=status, error=text)
    return Response(status, wire.encode({"error": text}))
