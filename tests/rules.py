"""Checks of the rules of PROTOCOL against the answers to users and the actions of workers.

`RuleChecker` is the base class of the simulated clusters, which tell it what happens in them.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import msgspec

from umberward.core.settings import ClusterSettings
from umberward.core.types import NO_RESOURCES, Key, Resources
from umberward.local.workercore import SharedTaskState, TaskOutcome, WorkerCore
from umberward.protocol import wire
from umberward.protocol.http import Response
from umberward.protocol.transactions import VersionedValue
from umberward.protocol.wire import FINAL_JOBS_PREFIX, LIVE_JOBS_PREFIX, JobSpec, MachineType

# With no fault left, no job may wait longer than this while a machine has room for it.
MAX_WAIT_WITH_ROOM_S = 90.0
# A leader that can't be told of a cancellation sends no starts for longer than this after it.
MAX_UNINFORMED_S = 3.5


class UserKnowledge(NamedTuple):
    """What a job's user knew from the answers received until some moment."""

    accepted: bool
    ended: str | None


class RuleChecker:
    now: float
    # Whether no completion is lost before it is stored; if one is, its task may run once more.
    completions_never_lost = True

    def __init__(self, cluster: ClusterSettings, skus: Iterable[MachineType] = ()) -> None:
        self.cluster = cluster
        self.machine_types = list(skus)
        self.workers: dict[str, WorkerCore] = {}
        self.specs: dict[str, dict[str, Any]] = {}
        self.shared_tasks = SharedTaskState()
        self.described: dict[str, JobSpec] = {}
        self.cancelled: dict[str, float] = {}
        self.ended: dict[str, str] = {}
        self.broken: list[str] = []
        self.starts: dict[str, int] = {}
        self.attempts: set[tuple[str, int, str, int]] = set()  # (host, session, task, attempt)
        self.submitted: dict[str, float] = {}
        self.start_delay_s: dict[str, float] = {}  # submission to first start
        self.prewritten_jobs: set[str] = set()  # jobs whose records the test wrote itself
        # Starts of jobs already reported as cancelled: in commands sent before that (or in answers
        # to heartbeats, whose time of sending is not known), or in commands sent after it.
        self.late_starts = {"in flight": 0, "sent after": 0}
        self.overtaken = 0  # answers to earlier requests that arrived after a newer answer
        self.faults_over_since: float | None = None  # when the last fault ended
        self.waiting_since: dict[str, float] = {}  # jobs that wait although a machine has room

    def stored_keys(self) -> Mapping[Key, VersionedValue]:
        """The contents of the state service."""
        raise NotImplementedError

    def is_gone(self, worker: WorkerCore) -> bool:
        """Whether the worker's machine is gone, so that none of its tasks runs."""
        raise NotImplementedError

    # ---- answers to users --------------------------------------------------------------

    def user_knowledge(self, id: str) -> UserKnowledge:
        return UserKnowledge(id in self.submitted, self.ended.get(id))

    def check_phase(
        self, id: str, response: Response, known: UserKnowledge | None = None
    ) -> str | None:
        """Check an answer with a job's phase, and return the phase.

        `known`: what the user knew when the request was sent; None: all that is known now.
        """
        if response.status != 200:
            if response.status == 404 and id in self.specs and (known is None or known.accepted):
                self.broken.append(f"forgotten: {id}")
            return None
        if id not in self.specs and id not in self.prewritten_jobs:
            self.broken.append(f"invented: {id}")
            return None
        phase: str = msgspec.msgpack.decode(response.body)["phase"]
        now = self.user_knowledge(id)
        if phase not in (wire.DONE, wire.CANCELLED) and now.ended and known and not known.ended:
            # The request was sent before the newer answer had arrived. No controller can know what
            # another one answers at the same moment, so this is counted, and breaks no rule.
            self.overtaken += 1
            return phase
        for need in self.specs.get(id, {}).get("waits_on") or ():
            if self.ended.get(need) == wire.CANCELLED and phase != wire.CANCELLED:
                self.broken.append(f"orphaned: {id} is {phase}, {need} was cancelled")
        if id in self.ended and phase != self.ended[id]:
            self.broken.append(f"went_back: {id} was {self.ended[id]}, is {phase}")
        if phase in (wire.DONE, wire.CANCELLED):
            self.ended[id] = phase
        return phase

    def check_submission(
        self, spec: dict[str, Any], response: Response, known: UserKnowledge
    ) -> None:
        """Check an answer to a submission. `spec`: the body sent, also of a repeat that differs."""
        id = spec.get("uid")
        if response.status in (400, 422) and known.accepted:
            self.broken.append(f"forgotten: a repeat of {id} is answered {response.status}")
        if response.status == 201 and known.ended:
            self.broken.append(f"went_back: {id} was {known.ended}, is accepted anew")
        if response.status == 201 and self.why_unfit(spec):
            self.broken.append(f"accepted: {id}, {self.why_unfit(spec)}")

    def why_unfit(self, spec: dict[str, Any]) -> str:
        """Why the job can never run; empty if it can."""
        for field in JobSpec.__struct_encode_fields__:
            if field not in ("flavors", "yard", "due_s", "waits_on") and field not in spec:
                return f"it lacks {field}"
        for field in ("shards", "cores", "accelerators", "mem_gb", "pull_gb", "expect_s"):
            value = spec[field]
            if type(value) not in (int, float) or not 0 <= value < math.inf:
                return f"its {field} is {value}"
        if spec["uid"] != spec["uid"].strip() or not 1 <= spec["shards"] <= 100_000:
            return "its id or its size is wrong"
        team = next((team for team in self.cluster.teams if team.name == spec["owner"]), None)
        if team is None:
            return "its team is unknown"
        fits = [
            sku
            for sku in self.machine_types
            if spec["cores"] <= sku.cores
            and spec["accelerators"] <= sku.accelerators
            and spec["mem_gb"] <= sku.mem_gb
            and (spec.get("flavors") is None or sku.name in spec["flavors"])
            and (spec.get("yard") is None or spec["yard"] in sku.zones)
        ]
        if not fits:
            return "it fits no machine"
        times = 1 if spec["shape"] == wire.ARRAY else spec["shards"]
        for most, each in ((team.cpus_max, "cores"), (team.gpus_max, "accelerators")):
            if 0 < most < times * spec[each]:
                return "it needs more than its team may use"
        return ""

    # ---- actions of workers ------------------------------------------------------------

    def find_spec(self, job: str) -> JobSpec | None:
        """The job's description, as the user uploaded it for the workers."""
        if job not in self.described and job in self.specs:
            known_fields = JobSpec.__struct_encode_fields__
            plain = {name: value for name, value in self.specs[job].items() if name in known_fields}
            # Image fetches take no time here.
            plain["pull_gb"] = 0.0
            self.described[job] = wire.convert(plain, JobSpec)
        return self.described.get(job)

    def plan_outcome(self, name: str, _: JobSpec) -> TaskOutcome:
        spec = self.specs[name.split("/")[0]]
        if spec.get("_mistaken") or name == f"{spec['uid']}/{spec.get('_failing')}":
            return TaskOutcome(0.0, "error")
        return TaskOutcome(spec["_runs"])

    def completed(self, name: str) -> None:
        self.specs[name.split("/")[0]].setdefault("_done", set()).add(name)

    def started(self, worker: WorkerCore, name: str, attempt: int) -> None:
        """Check the start of a task."""
        id = name.split("/")[0]
        spec = self.specs[id]
        if self.completions_never_lost and name in spec.get("_done", ()):
            self.broken.append(f"{name} started again after it was done")
        self.starts[name] = self.starts.get(name, 0) + 1
        self.note_attempt(worker, name, attempt)
        self.start_delay_s.setdefault(id, self.now - self.submitted.get(id, self.now))
        for need in spec.get("waits_on") or ():
            final_record = self.stored_keys().get(Key(FINAL_JOBS_PREFIX + need))
            if final_record is None or final_record.data["phase"] != wire.DONE:
                self.broken.append(f"too_early: {name} started before {need} was done")
        for other in self.workers.values():
            if name in other.running_tasks and not self.is_gone(other):
                self.broken.append(f"ran_twice: {name} on {other.host} and {worker.host}")
        if self._cancellation_overdue(id):
            self.broken.append(f"ran_cancelled: {name}")
        if id in self.cancelled:
            sent = self.sent_at(worker)
            after = sent is not None and sent > self.cancelled[id]
            self.late_starts["sent after" if after else "in flight"] += 1
            if sent is not None and sent > self.cancelled[id] + MAX_UNINFORMED_S:
                self.broken.append(f"ran_cancelled: {name}, sent after its job's cancellation")
        self._check_place(worker, spec, name)

    def note_attempt(self, worker: WorkerCore, name: str, attempt: int) -> None:
        """Check that the worker gets this attempt for the first time in its session."""
        started = (worker.host, worker.incarnation, name, attempt)
        if started in self.attempts:
            # The worker was told to forget this attempt while a start of it was still in flight.
            self.broken.append(f"restarted: attempt {attempt} of {name} on {worker.host}")
        self.attempts.add(started)

    def _check_place(self, worker: WorkerCore, spec: dict[str, Any], name: str) -> None:
        """Check that the task may run on this machine and in its zone."""
        id = spec["uid"]
        zones = self._zones_of(id) if spec["same_place"] or spec["apart"] else []
        if spec.get("flavors") and worker.machine_type.name not in spec["flavors"]:
            self.broken.append(f"wrong_place: {name} on a {worker.machine_type.name}")
        if spec.get("yard") and worker.zone != spec["yard"]:
            self.broken.append(f"wrong_place: {name} in {worker.zone}")
        if worker.spot and not spec["reclaimable"]:
            self.broken.append(f"wrong_place: {name} on a spot machine")
        if spec["same_place"] and any(zone != worker.zone for zone in zones):
            self.broken.append(f"wrong_place: {name} not with the others")
        if spec["apart"] and zones.count(worker.zone) >= (spec["shards"] + 1) // 2:
            self.broken.append(f"wrong_place: too many of {id} in {worker.zone}")

    def _zones_of(self, id: str) -> list[str]:
        """The zone of each of the job's tasks that are on a machine."""
        return [
            worker.zone
            for worker in self.workers.values()
            for task in worker.running_tasks.values()
            if task.name.split("/")[0] == id and not self.is_gone(worker)
        ]

    def _cancellation_overdue(self, id: str) -> bool:
        """Whether the job was cancelled so long ago that none of its tasks may run."""
        cancelled_at = self.cancelled.get(id)
        return cancelled_at is not None and self.now - cancelled_at > self.cluster.workers.cancel_s

    def sent_at(self, worker: WorkerCore) -> float | None:
        """When the command that this worker handles now was sent; None if that is not known."""
        return None

    def hangs(self, worker: WorkerCore) -> bool:
        """Whether the worker's machine hangs."""
        return False

    def usage_by_team(self) -> dict[str, Resources]:
        """Resources of the running tasks, by team."""
        found: dict[str, Resources] = {}
        for worker in self.workers.values():
            if not self.is_gone(worker):
                for name in worker.running_tasks:
                    spec = self.specs[name.split("/")[0]]
                    need = Resources(spec["cores"], spec["accelerators"], spec["mem_gb"])
                    found[spec["owner"]] = found.get(spec["owner"], NO_RESOURCES).plus(need)
        return found

    def check_rules(self) -> None:
        """Check the rules that hold at every moment."""
        for worker in self.workers.values():
            if not (self.is_gone(worker) or self.hangs(worker)):
                for name in worker.running_tasks:
                    if self._cancellation_overdue(name.split("/")[0]):
                        self.broken.append(f"ran_cancelled: {name}")
        usage_by_team = self.usage_by_team()
        for team in self.cluster.teams:
            cores, accelerators, *_ = usage_by_team.get(team.name, NO_RESOURCES)
            if 0 < team.cpus_max < cores - 1e-6:
                self.broken.append(f"quota: {team.name} uses {cores} cores")
            if 0 < team.gpus_max < accelerators - 1e-6:
                self.broken.append(f"quota: {team.name} uses {accelerators} accelerators")
        self._check_waiting(usage_by_team)
        for key in self.stored_keys():
            if (
                key.startswith(FINAL_JOBS_PREFIX)
                and self.stored_keys()[key].data["phase"] == wire.DONE
            ):
                spec = self.specs.get(key[len(FINAL_JOBS_PREFIX) :])
                if spec is None:
                    continue  # a record that the scenario wrote itself
                if len(spec.get("_done", ())) < spec["shards"] and spec["shape"] != wire.GANG:
                    self.broken.append(f"not_done: {spec['uid']}")

    def _check_waiting(self, usage_by_team: dict[str, Resources]) -> None:
        """With no fault left, no array or service waits long while a machine has room for it."""
        if self.faults_over_since is None:
            self.waiting_since.clear()
            return
        for key in self.stored_keys():
            id = key[len(LIVE_JOBS_PREFIX) :]
            if not key.startswith(LIVE_JOBS_PREFIX) or id not in self.specs:
                continue
            spec = self.specs[id]
            left = spec["shards"] - len(spec.get("_done", ())) - len(self.running(id))
            plain = spec["shape"] != wire.GANG and not (spec["same_place"] or spec["apart"])
            if plain and left > 0 and self._has_room(spec, usage_by_team):
                since = self.waiting_since.setdefault(id, self.now)
                if self.now - since > MAX_WAIT_WITH_ROOM_S:
                    self.broken.append(f"left waiting: {id}")
            else:
                self.waiting_since.pop(id, None)

    def _has_room(self, spec: dict[str, Any], usage_by_team: dict[str, Resources]) -> bool:
        need = Resources(spec["cores"], spec["accelerators"], spec["mem_gb"])
        team = next(team for team in self.cluster.teams if team.name == spec["owner"])
        then = usage_by_team.get(team.name, NO_RESOURCES).plus(need)
        if 0 < team.cpus_max < then.cores or 0 < team.gpus_max < then.accelerators:
            return False
        return any(
            need.fits(worker.machine_type.capacity.minus(worker.reserved))
            and not self.is_gone(worker)
            and (spec.get("flavors") is None or worker.machine_type.name in spec["flavors"])
            and spec.get("yard") in (None, worker.zone)
            and (spec["reclaimable"] or not worker.spot)
            for worker in self.workers.values()
        )

    def running(self, id: str) -> list[tuple[str, str]]:
        return [
            (name, worker.host)
            for worker in self.workers.values()
            if not self.is_gone(worker)
            for name in worker.running_tasks
            if name.split("/")[0] == id
        ]
