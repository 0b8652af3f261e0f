"""The rules of PROTOCOL, checked on what users were told and on what workers did.

The worlds of the tests play a cluster; whichever it is, what it shows comes here.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import msgspec

from umberward.core.settings import ClusterSettings
from umberward.core.types import NO_RESOURCES, Key, Resources
from umberward.local.workercore import Fate, Mates, WorkerCore
from umberward.protocol import wire
from umberward.protocol.http import Response
from umberward.protocol.transactions import VersionedValue
from umberward.protocol.wire import FINAL_JOBS_PREFIX, LIVE_JOBS_PREFIX, JobSpec, MachineType

LEFT_WAITING_S = 90.0  # troubles over, nobody waits so long beside a machine with room
UNTOLD_S = 3.5  # a leader that can't be told of a cancellation starts nothing for longer than this


class ToldUser(NamedTuple):
    """What a job's user had been told at some moment."""

    accepted: bool
    ended: str | None


class Rules:
    now: float
    # Whether no completion gets lost before it is stored; else its task may run once more.
    done_stays = True

    def __init__(self, cluster: ClusterSettings, skus: Iterable[MachineType] = ()) -> None:
        self.cluster = cluster
        self.machine_types = list(skus)
        self.workers: dict[str, WorkerCore] = {}
        self.specs: dict[str, dict[str, Any]] = {}
        self.mates = Mates()
        self.described: dict[str, JobSpec] = {}
        self.cancelled: dict[str, float] = {}
        self.ended: dict[str, str] = {}
        self.broken: list[str] = []
        self.starts: dict[str, int] = {}
        self.attempts: set[tuple[str, int, str, int]] = set()  # host, session, task, attempt
        self.submitted: dict[str, float] = {}
        self.began: dict[str, float] = {}  # from a job's submission to its first start
        self.stood_there: set[str] = set()  # jobs of records that the test wrote itself
        # Starts of jobs that were called cancelled by then: in commands sent before that (or in
        # answers to reports, of which the sending is not known), or sent after it.
        self.late_starts = {"in flight": 0, "sent after": 0}
        self.overtaken = 0  # older answers, to older questions, that came after a newer one
        self.calm_since: float | None = None  # since when there is no trouble any more
        self.waits_since: dict[str, float] = {}  # jobs that wait beside a machine with room

    def stored_keys(self) -> Mapping[Key, VersionedValue]:
        """What stands in the state service."""
        raise NotImplementedError

    def is_gone(self, worker: WorkerCore) -> bool:
        """Whether its machine is."""
        raise NotImplementedError

    # ---- what users are told -----------------------------------------------------------

    def told(self, id: str) -> ToldUser:
        return ToldUser(id in self.submitted, self.ended.get(id))

    def check_phase(self, id: str, response: Response, told: ToldUser | None = None) -> str | None:
        """`told`: what its user had been told when the question was sent; else all until now."""
        if response.status != 200:
            if response.status == 404 and id in self.specs and (told is None or told.accepted):
                self.broken.append(f"forgotten: {id}")
            return None
        if id not in self.specs and id not in self.stood_there:
            self.broken.append(f"invented: {id}")
            return None
        phase: str = msgspec.msgpack.decode(response.body)["phase"]
        now = self.told(id)
        if phase not in (wire.DONE, wire.CANCELLED) and now.ended and told and not told.ended:
            # Asked before the newer answer had come. No node can know what another one is saying
            # at this moment, so this is counted, and breaks no rule.
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

    def check_submission(self, spec: dict[str, Any], response: Response, told: ToldUser) -> None:
        """`spec`: what was sent, be it a repeat with another body."""
        id = spec.get("uid")
        if response.status in (400, 422) and told.accepted:
            self.broken.append(f"forgotten: a repeat of {id} is answered {response.status}")
        if response.status == 201 and told.ended:
            self.broken.append(f"went_back: {id} was {told.ended}, is accepted anew")
        if response.status == 201 and self.unfit(spec):
            self.broken.append(f"accepted: {id}, {self.unfit(spec)}")

    def unfit(self, spec: dict[str, Any]) -> str:
        """Why the job can't run; empty: it can."""
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
            return "nobody's"
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

    # ---- what workers do ---------------------------------------------------------------

    def describe(self, job: str) -> JobSpec | None:
        """A job's description, as its user has uploaded it."""
        if job not in self.described and job in self.specs:
            known = JobSpec.__struct_encode_fields__
            plain = {name: value for name, value in self.specs[job].items() if name in known}
            # Here images are at hand, and what is saved is another matter.
            plain["pull_gb"] = 0.0
            self.described[job] = wire.convert(plain, JobSpec)
        return self.described.get(job)

    def fate(self, name: str, _: JobSpec) -> Fate:
        spec = self.specs[name.split("/")[0]]
        if spec.get("_mistaken"):
            return Fate(0.0, "error")
        return Fate(spec["_runs"])

    def completed(self, name: str) -> None:
        self.specs[name.split("/")[0]].setdefault("_done", set()).add(name)

    def started(self, worker: WorkerCore, name: str, attempt: int) -> None:
        """What the rules say of a start."""
        id = name.split("/")[0]
        spec = self.specs[id]
        if self.done_stays and name in spec.get("_done", ()):
            self.broken.append(f"{name} started again after it was done")
        self.starts[name] = self.starts.get(name, 0) + 1
        started = (worker.host, worker.incarnation, name, attempt)
        if started in self.attempts:
            # The worker was told to forget this attempt while a start of it was still under way.
            self.broken.append(f"restarted: attempt {attempt} of {name} on {worker.host}")
        self.attempts.add(started)
        self.began.setdefault(id, self.now - self.submitted.get(id, self.now))
        for need in spec.get("waits_on") or ():
            past = self.stored_keys().get(Key(FINAL_JOBS_PREFIX + need))
            if past is None or past.data["phase"] != wire.DONE:
                self.broken.append(f"too_early: {name} started before {need} was done")
        for other in self.workers.values():
            if name in other.running_tasks and not self.is_gone(other):
                self.broken.append(f"ran_twice: {name} on {other.host} and {worker.host}")
        if self._overdue(id):
            self.broken.append(f"ran_cancelled: {name}")
        if id in self.cancelled:
            sent = self.sent_at(worker)
            after = sent is not None and sent > self.cancelled[id]
            self.late_starts["sent after" if after else "in flight"] += 1
            if sent is not None and sent > self.cancelled[id] + UNTOLD_S:
                self.broken.append(f"ran_cancelled: {name}, sent after its job's cancellation")
        self._check_place(worker, spec, name)

    def _check_place(self, worker: WorkerCore, spec: dict[str, Any], name: str) -> None:
        id = spec["uid"]
        zones = [
            w.zone
            for w in self.workers.values()
            for t in w.running_tasks.values()
            if t.name.split("/")[0] == id and not self.is_gone(w)
        ]
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

    def _overdue(self, id: str) -> bool:
        """Whether all of the job should be gone by now."""
        told = self.cancelled.get(id)
        return told is not None and self.now - told > self.cluster.workers.cancel_s

    def sent_at(self, worker: WorkerCore) -> float | None:
        """When the command was sent that this worker carries out now; None: that is not known."""
        return None

    def stands_still(self, worker: WorkerCore) -> bool:
        """Whether its machine hangs."""
        return False

    def used(self) -> dict[str, Resources]:
        """By teams: what is on machines."""
        found: dict[str, Resources] = {}
        for worker in self.workers.values():
            if not self.is_gone(worker):
                for name in worker.running_tasks:
                    spec = self.specs[name.split("/")[0]]
                    need = Resources(spec["cores"], spec["accelerators"], spec["mem_gb"])
                    found[spec["owner"]] = found.get(spec["owner"], NO_RESOURCES).plus(need)
        return found

    def check_now(self) -> None:
        """What holds at every moment."""
        for worker in self.workers.values():
            if not (self.is_gone(worker) or self.stands_still(worker)):
                for name in worker.running_tasks:
                    if self._overdue(name.split("/")[0]):
                        self.broken.append(f"ran_cancelled: {name}")
        used = self.used()
        for team in self.cluster.teams:
            cores, accelerators, _ = used.get(team.name, NO_RESOURCES)
            if 0 < team.cpus_max < cores - 1e-6:
                self.broken.append(f"quota: {team.name} uses {cores} cores")
            if 0 < team.gpus_max < accelerators - 1e-6:
                self.broken.append(f"quota: {team.name} uses {accelerators} accelerators")
        self._check_waiting(used)
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

    def _check_waiting(self, used: dict[str, Resources]) -> None:
        """Troubles over, no array or service waits long beside a machine that could take it."""
        if self.calm_since is None:
            self.waits_since.clear()
            return
        for key in self.stored_keys():
            id = key[len(LIVE_JOBS_PREFIX) :]
            if not key.startswith(LIVE_JOBS_PREFIX) or id not in self.specs:
                continue
            spec = self.specs[id]
            left = spec["shards"] - len(spec.get("_done", ())) - len(self.running(id))
            plain = spec["shape"] != wire.GANG and not (spec["same_place"] or spec["apart"])
            if plain and left > 0 and self._has_room(spec, used):
                since = self.waits_since.setdefault(id, self.now)
                if self.now - since > LEFT_WAITING_S:
                    self.broken.append(f"left waiting: {id}")
            else:
                self.waits_since.pop(id, None)

    def _has_room(self, spec: dict[str, Any], used: dict[str, Resources]) -> bool:
        need = Resources(spec["cores"], spec["accelerators"], spec["mem_gb"])
        team = next(team for team in self.cluster.teams if team.name == spec["owner"])
        then = used.get(team.name, NO_RESOURCES).plus(need)
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
