"""What users ask of any controller: submit, poll, cancel. No answer is older than the question."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from umberward.clients import state
from umberward.clients.state import State
from umberward.control.mirror import Live, Mirror
from umberward.core.log import logger
from umberward.core.settings import Settings
from umberward.core.types import (
    Amount,
    JobId,
    Key,
    Stamp,
    TeamName,
    TypeName,
    WallTime,
    parse_job_id,
)
from umberward.decisions.quota import Quota
from umberward.graphs.model import graph_of
from umberward.protocol import changes, wire
from umberward.protocol.http import Response
from umberward.protocol.wire import (
    CANCELLED,
    LIVE,
    PAST,
    FinalRecord,
    JobRecord,
    Remains,
    Sku,
    Spec,
)

log = logger(__name__)

PATIENCE_S = 0.4  # how long a submission may wait for its turn under the limits
COMPLETIONS_BYTES = 512  # of a record are left for what is stored once the job runs
SPARE_BYTES = 64
RETRY_S = 1.0
OUTAGE_RETRY_S = 2.0


class Refused(Exception):
    """The job can never run."""


class Users:
    def __init__(
        self,
        settings: Settings,
        store: State,
        mirror: Mirror,
        skus: dict[TypeName, Sku],
        wall: Callable[[], WallTime],
        reached: Callable[[], bool] = lambda: True,
        confirmed: Callable[[JobId], None] = lambda id: None,
    ) -> None:
        """`reached`: whether the state service can be asked at all; else all but what is known for
        good is refused at once. `confirmed` is told of each cancellation that a user is told of."""
        self.confirmed = confirmed
        self.reached = reached
        self.store = store
        self.mirror = mirror
        self.skus = skus
        self.wall = wall
        cluster = settings.platform.cluster
        self.quota = Quota(cluster.teams)
        self.value_limit = int(cluster.state.least().value_kb * 1024)
        self.graphs_enabled = settings.operator.graphs_enabled

    # ---- requests ----------------------------------------------------------------------

    async def submit(self, body: bytes) -> Response:
        try:
            return await self._submit(body)
        except state.OverBudget as error:
            log.info("submission_not_taken", error="our part of the writes is used up")
            return Response(429, retry_after=max(RETRY_S, error.wait))
        except (state.Unavailable, state.Unknown) as error:
            log.info("submission_not_taken", error=error)
            return Response(503, retry_after=OUTAGE_RETRY_S)

    async def _submit(self, body: bytes) -> Response:
        try:
            spec = wire.decode_spec(body)
            id = parse_job_id(spec.uid)
            if id is None:
                raise wire.Malformed("uid: not a job id")
            if self.graphs_enabled and graph_of(id) is not None:
                raise wire.Malformed("uid: such ids are those of task graphs")
            record, names = self._record(spec)
        except wire.Malformed as error:
            # The repeat of an accepted job gets its state, whatever its body says.
            return await self._known(_any_id(body)) or _problem(400, str(error))
        final = self.mirror.finals.get(id)
        if final is not None:
            return _final(id, final)
        self._need_state()
        if not self.skus:
            return Response(503, retry_after=RETRY_S)
        try:
            self.check(spec)
        except Refused as error:
            return await self._known(id) or _problem(422, str(error))
        past: FinalRecord | None = None
        if id in names:
            return await self._known(id) or _problem(422, "waits_on: the job itself")
        if names:
            found = await self.mirror.states([id, *names])
            if found.pop(id) is not None:
                # Known already: it gets its state, whatever became of those that it names.
                return await self._known(id) or Response(503, retry_after=RETRY_S)
            try:
                past = self._wait_for(record, found)
            except Refused as error:
                return _problem(422, str(error))
        write = changes.put(Key(LIVE + id), record)
        if past is not None:
            write = changes.put(Key(PAST + id), past)
        conditions = [(Key(LIVE + id), Stamp(0)), (Key(PAST + id), Stamp(0))]
        for last in (False, True):
            try:
                await self.store.commit(conditions, [write], patience=PATIENCE_S)
                log.debug("accepted", job=id)
                if past is not None:
                    self.mirror.keep(id, past)
                    return _final(id, past, status=201)
                return _state(id, wire.PENDING, 0, status=201)
            except (state.Conflict, state.Unknown):
                # Known already, or the outcome is unknown: what can be read decides.
                known = await self._known(id)
                if known is not None:
                    return known
            except state.OverBudget:
                raise
            except state.Unavailable:
                if last:
                    raise
        return Response(503, retry_after=RETRY_S)

    async def poll(self, id: JobId) -> Response:
        try:
            final = self.mirror.finals.get(id)
            if final is not None:
                return _final(id, final)
            self._need_state()
            return await self._known(id, urgent=False) or Response(404)
        except (state.Unavailable, state.Unknown) as error:
            log.debug("poll_not_answered", job=id, error=error)
            return Response(503, retry_after=RETRY_S)

    async def cancel(self, id: JobId) -> Response:
        try:
            self._need_state()
            for _ in range(4):
                response = await self._cancel(id)
                if response is not None:
                    final = self.mirror.finals.get(id)
                    if final is not None and final.phase == CANCELLED:
                        log.info("cancelled_by_user", job=id)  # also if that was only read
                        self.confirmed(id)
                    return response
        except state.OverBudget as error:
            return Response(429, retry_after=max(RETRY_S, error.wait))
        except (state.Unavailable, state.Unknown) as error:
            log.info("cancellation_not_taken", job=id, error=error)
        return Response(503, retry_after=RETRY_S)

    async def _cancel(self, id: JobId) -> Response | None:
        live = await self.store.get(Key(LIVE + id))
        if live is None:
            # It moves from live to past at once: if it is known, it is over.
            known = await self.mirror.state(id, urgent=True)
            if known is None:
                return Response(404)
            if isinstance(known, FinalRecord):
                return _final(id, known)
            return None
        try:
            record = wire.converted(live.data, JobRecord)
            done = record.base + int(record.done, 16).bit_count()
            past = FinalRecord(CANCELLED, done, remains=self._remains(record, done))
        except (wire.Malformed, ValueError) as error:
            log.error("record_malformed", job=id, error=error)
            past = FinalRecord(CANCELLED)
        writes = [changes.put(Key(PAST + id), past), changes.delete(Key(LIVE + id))]
        try:
            await self.store.commit([(Key(LIVE + id), live.stamp)], writes, priority=changes.URGENT)
        except (state.Conflict, state.Unknown):
            return None  # read again what became of it
        self.mirror.keep(id, past)
        return _state(id, CANCELLED, past.done)

    # ---- parts -------------------------------------------------------------------------

    def _need_state(self) -> None:
        if not self.reached():
            raise state.Unavailable("the state service is out of our reach")

    async def _known(self, id: JobId | None, urgent: bool = True) -> Response | None:
        known = None if id is None else await self.mirror.state(id, urgent)
        if id is None or known is None:
            return None
        return self._answer(id, known)

    def _answer(self, id: JobId, known: Live | FinalRecord) -> Response:
        if isinstance(known, FinalRecord):
            return _final(id, known)
        phase = wire.RUNNING if known.marked else wire.PENDING
        return _state(
            id, phase, known.done, max(0, known.marked - known.done), waits_on=self.mirror.needs(id)
        )

    def _record(self, spec: Spec) -> tuple[JobRecord, list[JobId]]:
        """What would be stored, and the jobs that it names. Raises Malformed if it is too long."""
        names = list(dict.fromkeys(map(JobId, spec.waits_on or ())))
        spec.waits_on = None
        record = JobRecord(spec, round(self.wall(), 3))
        # Completions are stored with the description; what it waits for only until it starts.
        if wire.json_size(record) > self.value_limit - COMPLETIONS_BYTES:
            raise wire.Malformed("the description is too long")
        record.needs = wire.pack_needs(names)
        if wire.json_size(record) > self.value_limit - SPARE_BYTES:
            raise wire.Malformed("waits_on: too many jobs for one record")
        return record, names

    def _remains(self, record: JobRecord, done: int) -> Remains | None:
        """What a leader that never reads the live record has to count against the team's limit."""
        spec = record.spec
        if record.marked <= done or not self.quota.limits(TeamName(spec.owner)):
            return None
        return Remains(
            spec.owner, spec.cores, spec.mem_gb, record.marked, spec.accelerators, record.base,
            record.done,
        )  # fmt: skip

    @staticmethod
    def _wait_for(
        record: JobRecord, found: dict[JobId, Live | FinalRecord | None]
    ) -> FinalRecord | None:
        """Note in the record what is not done yet; or the end of a job that can never run.

        Raises Refused for what may not be named.
        """
        waits = []
        cancelled = None
        for name, known in found.items():
            if known is None:
                raise Refused(f"waits_on: {name} was never accepted")
            if isinstance(known, FinalRecord):
                if known.phase != wire.DONE:
                    cancelled = cancelled or name
            elif known.service:
                raise Refused(f"waits_on: {name} is a service")
            else:
                waits.append(name)
        if cancelled is not None:
            return FinalRecord(CANCELLED, because=cancelled)
        record.needs = wire.pack_needs(waits)
        return None

    def check(self, spec: Spec) -> None:
        """Raises Refused for a job that can never run."""
        team = TeamName(spec.owner)
        if team not in self.quota.teams:
            raise Refused(f"owner: no team {spec.owner}")
        need = Amount(spec.cores, spec.accelerators, spec.mem_gb)
        for name, sku in self.skus.items():
            if spec.flavors is not None and name not in spec.flavors:
                continue
            if spec.yard is not None and spec.yard not in sku.yards:
                continue
            if need.fits(sku.whole):
                break
        else:
            raise Refused("a task fits no allowed machine type")
        if self.quota.exceeds(team, need, 1 if spec.shape == wire.ARRAY else spec.shards):
            raise Refused("the job needs more than the team's maximum")


def _any_id(body: bytes) -> JobId | None:
    try:
        data = msgspec.msgpack.decode(body)
    except (msgspec.DecodeError, RecursionError, ValueError):
        return None
    return parse_job_id(data.get("uid")) if isinstance(data, dict) else None


def _state(
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


def _final(id: JobId, final: FinalRecord, status: int = 200) -> Response:
    return _state(id, final.phase, final.done, status=status, because=final.because)


def _problem(status: int, text: str) -> Response:
    log.info("submission_refused", status=status, error=text)
    return Response(status, wire.encode({"error": text}))
