"""Runs each scenario file of tests/scenarios.

A line is a verb with its arguments; '#' starts a comment. A file with a line `guard NAME` is run a
second time with that mutation of `mutations.py` applied to the code, and must fail then.

A line `VERB ARGUMENT...` calls `ScenarioPlayer.do_VERB`, and `expect WHAT ARGUMENT... RESULT`
compares the result of `see_WHAT`.
"""

from __future__ import annotations

import contextlib
import math
import subprocess
import tempfile
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import curio
import msgspec
import pytest
from click.testing import CliRunner
from cluster_settings import job_spec, raw_settings
from mutations import MUTATIONS
from simulated_cluster import SimulatedCluster, Worker

from umberward.cli import main as cli
from umberward.clients.state_client import StateClient
from umberward.control.controller import Controller
from umberward.core.settings import (
    NextLimits,
    OperatorSettings,
    SettingsError,
    StateLimits,
    settings_from_toml,
)
from umberward.core.types import Address, Instant, JobId, Key, MachineId
from umberward.leader import leader_loop
from umberward.protocol import transactions, wire
from umberward.protocol.http import Client, Request, RequestNotSentError, Response, Server
from umberward.protocol.transactions import delete
from umberward.protocol.wire import JOBS_PREFIX, LIVE_JOBS_PREFIX
from umberward.scheduling.invariants import InvariantViolationError
from umberward.scheduling.jobs import Job

FILES = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))
PRODUCTION_SPEC = msgspec.json.decode(
    (Path(__file__).parent / "records" / "fields.json").read_text()
)


class ScenarioFailure(Exception):
    pass


def _value(text: str) -> Any:
    if text in ("true", "false"):
        return text == "true"
    if text == "null":
        return None
    try:
        number = float(text)
    except ValueError:
        return text.split(",") if "," in text else text
    return int(text) if text.lstrip("-").isdecimal() else number


def parse_pairs(words: list[str]) -> dict[str, Any]:
    return {name: _value(value) for name, _, value in (word.partition("=") for word in words)}


class ScenarioPlayer:
    cluster_factory: Callable[..., SimulatedCluster] = SimulatedCluster

    def __init__(self) -> None:
        self.cluster = self.cluster_factory()
        self.last_result: Any = None
        self.outcome_count = 0
        self.defaults: dict[str, Any] = {}
        self.sent_heartbeats: dict[str, deque[tuple[float, bytes]]] = {}

    def line(self, text: str) -> None:
        verb, *words = text.split()
        method: Callable[..., None] = getattr(self, f"do_{verb.replace('-', '_')}")
        method(*words)

    # ---- cluster and faults ------------------------------------------------------------

    def do_guard(self, _: str) -> None:
        pass

    def do_team(self, *words: str) -> None:
        amounts = {name: float(value) for name, value in parse_pairs(list(words)).items()}
        self.cluster = self.cluster_factory(raw_settings(**amounts))

    def do_silence(self, seconds: str) -> None:
        """Set the operators' `silence.seconds`; must come first in a scenario."""
        self.cluster = self.cluster_factory(None, OperatorSettings(silence_seconds=float(seconds)))

    def do_peer(self, label: str, zone: str) -> None:
        """Add another controller to the settings; must come first in a scenario."""
        raw = raw_settings()
        raw["peers"] = [{"label": label, "site": zone, "addr": "127.0.0.1:5"}]
        self.cluster = self.cluster_factory(raw)

    def do_zone(self, name: str, what: str) -> None:
        self.cluster.cut_zone(name, what == "cut")

    def do_limits(self, *words: str) -> None:
        """Announce future limits of the state service (`state.next` in the settings).

        `cpus_max` is the limit of the team red.
        """
        pairs = parse_pairs(list(words))
        team = {"cpus_max": float(pairs.pop("cpus_max"))} if "cpus_max" in pairs else {}
        raw = raw_settings(**team)
        raw["cluster"]["state"]["next"] = pairs
        self.cluster = self.cluster_factory(raw)

    def do_lower(self, *words: str) -> None:
        """Lower limits of the state service from now on."""
        for name, value in parse_pairs(list(words)).items():
            setattr(self.cluster.store.core, name, value)

    def do_stored(self, fixture: str) -> None:
        """Load records that the production version has written."""
        text = (Path(__file__).parent / "records" / f"{fixture}.json").read_text()
        for path, data in msgspec.json.decode(text).items():
            # They may exceed the present limits of writes.
            self.cluster.store.insert(path, data)
            if path.startswith(JOBS_PREFIX):
                self.cluster.prewritten_jobs.add(path.rpartition("/")[2])
            if path.startswith("jobs/live/"):
                self.cluster.register_stored_job(data)
            elif path.startswith("blocks/"):
                for name, (_, flavor, zone, *_) in data["hosts"].items():
                    self.do_machine(name, flavor, zone)

    def do_remove(self, name: str) -> None:
        """Delete the machine, as by the cloud."""
        self.sent_heartbeats[name] = self.cluster.workers[name].sent_heartbeats
        self.cluster.delete(name)

    def do_lowered_rate(self, now: str, later: str) -> None:
        """Refuse a transaction once for its rate; the client must then use the `later` limit."""
        limits = StateLimits(1000.0, float(now), 4.0, 8, NextLimits(write_rps=float(later)))
        responses = [Response(429), Response(200, wire.encode({"generation": 7}))]

        class RefusingOnce:
            async def request(self, *_: Any) -> Response:
                return responses.pop(0)

        store = StateClient(Address("127.0.0.1", 4), limits, 3, RefusingOnce())  # type: ignore[arg-type]
        revision = curio.run(store.commit, [], [delete(Key("x"))])
        assert revision == 7 and not responses
        self.outcome_count = int(store.limits.write_rps)

    def do_machine(self, name: str, flavor: str, zone: str, *kind: str) -> None:
        self.cluster.workers[name] = Worker(self.cluster, name, flavor, zone, "spot" in kind)

    def do_machines(self, count: str, flavor: str, zone: str) -> None:
        for number in range(1, int(count) + 1):
            self.do_machine(f"m{number}", flavor, zone)

    def do_lead(self) -> None:
        self.cluster.takeover()

    def do_succeed(self) -> None:
        self.cluster.succeed()

    def do_restart(self) -> None:
        self.cluster.restart()

    def do_read_blocks(self) -> None:
        self.cluster.watching = False
        self.cluster.load_blocks()

    def do_read_jobs(self) -> None:
        self.cluster.load_jobs()
        self.cluster.watching = True

    def do_aim(self, kind: str, job_class: str, within_s: str) -> None:
        """Give the current leader an objective for the job class: to start `within_s`."""
        assert kind == "wait" and self.cluster.scheduler is not None
        self.cluster.scheduler.strictest_objectives[job_class] = (float(within_s), None)

    def do_watch(self, mode: str) -> None:
        """Whether the leader receives changes from the state service."""
        self.cluster.watching = mode == "on"

    def do_crash(self) -> None:
        self.cluster.crash()

    def do_run(self, seconds: str) -> None:
        self.cluster.run(float(seconds))

    def do_freeze(self, seconds: str) -> None:
        """Pause the leader process for this time, while its clock advances."""
        self.cluster.paused = True
        self.cluster.run(float(seconds))
        self.cluster.paused = False

    def do_mend(self, id: str) -> None:
        self.cluster.specs[id].update(_mistaken=False, _failing=None)

    def do_set(self, name: str, flag: str) -> None:
        worker = self.cluster.workers[name]
        clear = flag.startswith("not-")
        flag = flag.removeprefix("not-")
        if flag not in (
            "sick",
            "dead",
            "cut",
            "holding",
            "deaf",
            "mute",
            "slow",
            "astray",
            "oneway",
        ):
            raise ValueError(flag)
        if flag == "dead":
            worker.end_session()
        setattr(worker, flag, not clear)

    def do_set_many(self, first: str, last: str, flag: str) -> None:
        for number in range(int(first), int(last) + 1):
            self.do_set(f"m{number}", flag)

    def do_copy(self, name: str, age: str) -> None:
        """Deliver a late copy of the machine's heartbeat, even if the machine is gone."""
        self.sent_heartbeats.update(
            {name: worker.sent_heartbeats for name, worker in self.cluster.workers.items()}
        )
        self.cluster.deliver_copy(self.sent_heartbeats[name], float(age))

    def do_copies(self, name: str, age: str, every: str, seconds: str) -> None:
        """Deliver copies of one heartbeat repeatedly."""
        self.sent_heartbeats.update(
            {name: worker.sent_heartbeats for name, worker in self.cluster.workers.items()}
        )
        heartbeats = deque(
            [
                item
                for item in self.sent_heartbeats[name]
                if self.cluster.now - item[0] >= float(age)
            ]
        )
        for _ in range(round(float(seconds) / float(every))):
            self.cluster.deliver_copy(heartbeats, 0.0)
            self.cluster.run(float(every))

    def do_forget_deleted(self) -> None:
        """Clear the leader's bounded list of deleted machines, as many later deletions would."""
        assert self.cluster.scheduler is not None
        self.cluster.scheduler.deleted_machines.clear()

    def do_lose_job(self, id: str) -> None:
        """Remove the job from the leader's memory."""
        assert self.cluster.scheduler is not None
        self.cluster.scheduler.jobs.pop(JobId(id))
        self.cluster.scheduler.jobs_to_place.pop(JobId(id), None)

    def do_lose_tasks(self, id: str) -> None:
        """Remove the job's waiting tasks from the leader's memory."""
        job = self._job(id)
        job.requeued_tasks.clear()
        job.next_unstarted_task = job.size

    def do_trip(self, id: str) -> None:
        """Make each placement of this job raise an exception."""
        self._job(id).placement_class = []  # type: ignore[assignment]

    def do_untrip(self, id: str) -> None:
        """Undo `trip`."""
        self._job(id).placement_class = ("mended",)  # type: ignore[assignment]

    def do_garble(self, id: str) -> None:
        """Overwrite the job's live record with one that can't be decoded."""
        self.cluster.store.apply([], [transactions.put(Key(LIVE_JOBS_PREFIX + id), {"spec": 7})])

    def do_copy_lacks(self, id: str) -> None:
        """Remove the job from the controller's cache of job states, long after its last listing."""
        self.cluster.job_states.live_jobs.pop(JobId(id), None)
        self.cluster.job_states.listed_at -= 100.0

    def do_notice(self, name: str, seconds: str) -> None:
        self.cluster.workers[name].notice_at = self.cluster.now + float(seconds)

    def do_copy_commands(self, name: str, times: str = "1") -> None:
        """Deliver copies of all direct commands that the machine has carried out and answered."""
        for _ in range(int(times)):
            self.cluster.deliver_command_copies(name)

    def do_refuse_starts(self, name: str, cause: str) -> None:
        """Make the worker refuse each start with this cause; `none`: refuse none."""
        self.cluster.workers[name].refusal = None if cause == "none" else cause

    def do_release(self, name: str) -> None:
        self.cluster.release_commands(name)

    def do_state(self, mode: str) -> None:
        self.cluster.store.mode = mode

    def do_late(self) -> None:
        self.cluster.store.deliver_late()

    def do_cloud(self, mode: str) -> None:
        self.cluster.cloud_up = mode == "up"

    # ---- sockets -----------------------------------------------------------------------

    def do_ask_servers(self, servers: str, sockets: str) -> None:
        """Send two requests to each of the servers, with a budget of this number of sockets."""

        async def answer(_: Request) -> Response:
            return Response(200)

        async def ask() -> int:
            addresses = [Address("127.0.0.1", 29340 + number) for number in range(int(servers))]
            running = [
                await curio.spawn(Server(address, answer, 8).run, daemon=True)
                for address in addresses
            ]
            await curio.sleep(0.05)
            client = Client(int(sockets))
            count = 0
            for address in addresses + addresses:
                response = await client.request(address, "GET", "/", timeout=0.5)
                count += response.status == 200
            for task in running:
                await task.cancel()
            return count

        self.outcome_count = curio.run(ask)

    def do_ask_too_late(self) -> None:
        """Send two requests; the second is withdrawn when it is ready to be sent."""

        async def answer(_: Request) -> Response:
            self.outcome_count += 1
            return Response(200)

        async def ask() -> None:
            address = Address("127.0.0.1", 29390)
            running = await curio.spawn(Server(address, answer, 8).run, daemon=True)
            await curio.sleep(0.05)
            client = Client(4)
            await client.request(address, "POST", "/do", timeout=0.5, may_send=lambda: True)
            with contextlib.suppress(RequestNotSentError):
                await client.request(address, "POST", "/do", timeout=0.5, may_send=lambda: False)
            await running.cancel()

        curio.run(ask)

    def see_answers(self) -> int:
        return self.outcome_count

    # ---- the README --------------------------------------------------------------------

    def do_readme(self, *words: str) -> None:
        """Execute the commands that follow these words in the README, with the job of its worked
        example, and compare their output with the README's."""
        text = (Path(__file__).parent.parent / "README.md").read_text()
        job = text[text.index("    {") : text.index("\n\n", text.index("    {"))]
        lines = text[text.index(" ".join(words)) :].splitlines()
        shown = [line[4:] for line in lines if line.startswith("    ")]
        self.outcome_count = 0
        with (
            self._serving() as server,
            tempfile.TemporaryDirectory() as folder,
            contextlib.chdir(folder),
        ):
            Path("hello.json").write_text(job)
            while shown:
                typed = shown.pop(0).removeprefix("$ ").replace("10.0.0.1:8080", server)
                if not typed.startswith("umberward"):
                    subprocess.run(typed, shell=True, check=True)
                    continue
                result = CliRunner().invoke(cli.main, typed.split()[1:])
                if result.output.strip() != shown.pop(0):
                    raise ScenarioFailure(f"{typed}: printed {result.output}")
                self.outcome_count += 1

    @contextlib.contextmanager
    def _serving(self) -> Iterator[str]:
        """Serve the user API of a controller on top of the simulated state service.

        Yields the address.
        """
        node = Controller(self.cluster.settings)
        node.router.job_api = self.cluster.job_api
        stop = threading.Event()

        async def serve() -> None:
            server = Server(Address("127.0.0.1", 29391), node.router.serve, 8)
            running = [
                await curio.spawn(part, daemon=True)
                for part in (server.run, self.cluster.job_states.run)
            ]
            while not stop.is_set():
                await curio.sleep(0.02)
            for task in running:
                await task.cancel()

        thread = threading.Thread(target=curio.run, args=(serve,))
        thread.start()
        time.sleep(0.1)
        try:
            yield "127.0.0.1:29391"
        finally:
            stop.set()
            thread.join()

    # ---- settings ----------------------------------------------------------------------

    def do_settings(self, field: str, value: str) -> None:
        """Validate the platform's settings with this field set to a JSON value."""
        raw: Any = raw_settings()
        *path, last = field.split(".")
        place = raw
        for name in path:
            place = place[name]
        place[last] = msgspec.json.decode(value)
        try:
            settings_from_toml(raw, OperatorSettings())
        except SettingsError as error:
            self.last_result = str(error)
        else:
            self.last_result = "settings: taken: "

    def see_refused(self) -> str:
        """The field that the error names, or `taken` if the settings are valid."""
        assert "\n" not in self.last_result
        return str(self.last_result).split(": ")[1]

    # ---- users -------------------------------------------------------------------------

    def _spec(self, id: str, words: tuple[str, ...]) -> dict[str, Any]:
        spec = job_spec(id, _runs=10.0)
        given = parse_pairs(list(words))
        spec.update(
            {f"_{k}" if k in ("runs", "mistaken", "failing") else k: v for k, v in given.items()}
        )
        if spec["shape"] == "service":
            spec["_runs"] = 1e9
        if isinstance(spec["flavors"], str) and spec["flavors"] != "-":
            spec["flavors"] = [spec["flavors"]]
        if isinstance(spec.get("waits_on"), str):
            spec["waits_on"] = [spec["waits_on"]]
        for name in [name for name, value in spec.items() if value == "-"]:
            del spec[name]
        return spec

    def do_submit_many(self, first: str, last: str, *words: str) -> None:
        for number in range(int(first), int(last) + 1):
            self.do_submit(f"req-{number:06d}", *words)

    def do_submit(self, id: str, *words: str) -> None:
        self.last_result = self.cluster.submit(self._spec(id, words))

    def do_submit_chain(self, first: str, last: str, after: str) -> None:
        for number in range(int(first), int(last) + 1):
            self.do_submit(f"req-{number:06d}", f"waits_on={after}")
            after = f"req-{number:06d}"

    def do_submit_waiting_for_many(self, id: str, count: str, first: str = "500000") -> None:
        names = [f"req-{int(first) + number:06d}" for number in range(int(count))]
        self.do_submit(id, f"waits_on={','.join(names)}")

    def do_meanwhile_cancel(self, id: str) -> None:
        """Let another controller cancel the job between the next read of it and its use."""
        self.cluster.cancel_after_reading(id, 0.0)

    def do_poll_elsewhere(self, id: str) -> None:
        self.last_result = self.cluster.poll_elsewhere(id)

    def do_poll_elsewhere_at_once(self, id: str, times: str) -> None:
        """Poll concurrently at a controller that has just started, and count the successes."""
        responses = self.cluster.poll_elsewhere_concurrently(id, int(times))
        self.outcome_count = sum(response.status == 200 for response in responses)

    def do_late_cancel(self, id: str) -> None:
        self.cluster.cancel_elsewhere(id)

    def do_raw(self, text: str) -> None:
        self.last_result = self.cluster.submit(bytes.fromhex(text))

    def do_poll(self, id: str) -> None:
        self.last_result = self.cluster.poll(id)

    def do_poll_across_cancel(self, id: str, seconds: str) -> None:
        self.last_result = self.cluster.poll_across_cancel(id, float(seconds))

    def do_cancel(self, id: str) -> None:
        self.last_result = self.cluster.cancel(id)

    # ---- expectations ------------------------------------------------------------------

    def do_expect(self, what: str, *words: str) -> None:
        found = getattr(self, f"see_{what.replace('-', '_')}")(*words[:-1])
        if str(found) != words[-1]:
            raise ScenarioFailure(f"expect {what} {' '.join(words)}: found {found}")

    def see_status(self) -> int:
        return self.last_result.status

    def see_phase(self) -> str:
        return str(msgspec.msgpack.decode(self.last_result.body)["phase"])

    def see_because(self) -> str:
        return str(msgspec.msgpack.decode(self.last_result.body)["because"])

    def see_live(self) -> int:
        """How many jobs have a live record."""
        return sum(1 for key in self.cluster.store.keys if key.startswith(LIVE_JOBS_PREFIX))

    def see_queued(self) -> int:
        """How many jobs a pass considers for placement."""
        assert self.cluster.scheduler is not None
        return len(self.cluster.scheduler.jobs_in_service_order(Instant(self.cluster.now)))

    def see_refused_writes(self) -> int:
        return len(self.cluster.store.refused)

    def see_rank(self, id: str) -> int:
        return self._job(id).priority

    def see_start_by_after_ready(self, id: str) -> int:
        assert self.cluster.scheduler is not None
        return round(self.cluster.scheduler.start_by(self._job(id)) - self._job(id).ready_at)

    def see_waited_before_ready(self, id: str) -> int:
        return round(self._job(id).ready_at - self._job(id).submitted_at)

    def _job(self, id: str) -> Job:
        assert self.cluster.scheduler is not None
        return self.cluster.scheduler.jobs[JobId(id)]

    def see_strange_fields(self) -> str:
        """Fields of job records that the production version does not know."""
        known_fields = {"spec", "at", "marked", "base", "done", "phase"} | set(PRODUCTION_SPEC)
        found = set()
        for key, got in self.cluster.store.keys.items():
            if key.startswith(JOBS_PREFIX):
                found |= (set(got.data) | set(got.data.get("spec", ()))) - known_fields
        return ",".join(sorted(found)) or "none"

    def see_pass_share(self, milliseconds: str) -> int:
        """Percentage of the time spent in passes if each takes this long."""
        took = float(milliseconds) / 1000
        return int(100 * took / leader_loop.pass_interval_s(took))

    def see_retry_after(self) -> bool:
        return self.last_result.retry_after is not None

    def see_running(self, id: str) -> int:
        return len(self.cluster.running(id))

    def see_where(self, id: str) -> str:
        return ",".join(sorted(host for _, host in self.cluster.running(id)))

    def see_listed(self, name: str) -> int:
        """How many tasks its heartbeats list, including exited ones."""
        return len(self.cluster.workers[name].tasks)

    def see_token_raises(self) -> int:
        assert self.cluster.scheduler is not None
        return self.cluster.scheduler.token_rotation.count

    def see_tokens_of_own(self) -> bool:
        """Whether the workers have seen tokens that differ, above the leader's first one."""
        assert self.cluster.scheduler is not None
        tokens = {worker.fencing_token for worker in self.cluster.workers.values()}
        return len(tokens) > 1 and max(tokens) > self.cluster.scheduler.tokens.initial

    def see_starts(self, task: str) -> int:
        return self.cluster.starts.get(task, 0)

    def see_at_most(self, what: str, *words: str) -> bool:
        """Whether the result of `cost_WHAT` is within the bound, which is the last argument."""
        *words_, bound = words
        return int(getattr(self, f"cost_{what}")(*words_)) <= int(bound)

    def cost_polls(self, id: str, times: str) -> int:
        return self.cluster.poll_concurrently(id, int(times))

    def cost_reading(self, seconds: str) -> int:
        return self._increase("heartbeats_decoded", seconds)

    def cost_searching(self, seconds: str) -> int:
        return self._increase("room_searches", seconds)

    def cost_considering(self, seconds: str) -> int:
        """Jobs examined for tasks to place."""
        return self._increase("jobs_examined", seconds)

    def cost_polls_one_by_one(self, id: str, times: str, gap_s: str) -> int:
        """Requests to the state service per 0.15 s, for polls one after the other."""
        started_at, before = time.monotonic(), self.cluster.store.requests
        self.cluster.poll_one_by_one(id, int(times), float(gap_s))
        spans = 1 + (time.monotonic() - started_at) / 0.15
        return round((self.cluster.store.requests - before) / spans)

    def cost_looking(self, seconds: str) -> int:
        """Machines examined for tasks to preempt."""
        return self._increase("machines_examined", seconds)

    def cost_renting(self) -> int:
        """Comparisons of machine sizes with waiting jobs, to decide what to rent."""
        assert self.cluster.autoscaler is not None
        self.cluster.autoscaler.fit_checks = 0
        self.cluster.autoscaler.scale_out_requests(Instant(self.cluster.now))
        return self.cluster.autoscaler.fit_checks

    def cost_probing(self, seconds: str) -> int:
        before = self.cluster.probes
        self.cluster.run(float(seconds))
        return self.cluster.probes - before

    def cost_lookups(self, id: str, times: str) -> int:
        """Requests to the state service for this number of polls of an unknown job."""
        before = self.cluster.store.requests
        for _ in range(int(times)):
            assert self.cluster.poll(id).status == 404
        return self.cluster.store.requests - before

    def cost_requests_of_waiting(self, id: str, count: str, first: str) -> int:
        before = self.cluster.store.requests
        self.do_submit_waiting_for_many(id, count, first)
        assert self.last_result.status == 201
        return self.cluster.store.requests - before

    def cost_starting(self, id: str, seconds: str) -> int:
        """Starts of the job's tasks in this time."""

        def count() -> int:
            return sum(n for task, n in self.cluster.starts.items() if task.startswith(id + "/"))

        before = count()
        self.cluster.run(float(seconds))
        return count() - before

    def cost_starting_on(self, name: str, seconds: str) -> int:
        """Tasks started on a machine in some seconds."""

        def count() -> int:
            return sum(host == name for host, *_ in self.cluster.attempts)

        before = count()
        self.do_run(seconds)
        return count() - before

    def _increase(self, name: str, seconds: str) -> int:
        scheduler = self.cluster.scheduler
        before = getattr(scheduler, name)
        self.cluster.run(float(seconds))
        return int(getattr(scheduler, name)) - before

    def see_machines(self) -> int:
        return len(self.cluster.workers)

    def see_returning(self) -> int:
        """How many machines the autoscaler would return now."""
        assert self.cluster.autoscaler is not None
        return len(self.cluster.autoscaler.machines_to_drain(Instant(self.cluster.now)))

    def see_renting(self, flavor: str) -> int:
        """How many machines of the type the autoscaler would rent now."""
        assert self.cluster.autoscaler is not None
        rentals = self.cluster.autoscaler.scale_out_requests(Instant(self.cluster.now))
        return sum(rental.machine_count for rental in rentals if rental.offer.type == flavor)

    def see_cut_off(self) -> bool:
        assert self.cluster.scheduler is not None
        return self.cluster.scheduler.receives_few_heartbeats(Instant(self.cluster.now))

    def see_unheard(self) -> bool:
        assert self.cluster.scheduler is not None
        return self.cluster.scheduler.received_no_heartbeat_this_term(Instant(self.cluster.now))

    def see_deaf(self, name: str) -> bool:
        assert self.cluster.scheduler is not None
        return self.cluster.scheduler.machines[MachineId(name)].unreachable

    def see_usable(self) -> int:
        """How many machines are schedulable."""
        assert self.cluster.scheduler is not None
        return len(self.cluster.scheduler.schedulable_room()[0])

    def see_known(self) -> int:
        """How many machines the leader knows of."""
        assert self.cluster.scheduler is not None
        return len(self.cluster.scheduler.machines)

    def see_began_within(self, id: str, seconds: str) -> bool:
        return self.cluster.start_delay_s.get(id, math.inf) <= float(seconds)

    def see_sick(self, name: str) -> bool:
        assert self.cluster.scheduler is not None
        return self.cluster.scheduler.machines[name].quarantined  # type: ignore[index]


def play(path: Path, kind: type[ScenarioPlayer] = ScenarioPlayer) -> None:
    player = kind()
    for number, line in enumerate(path.read_text().splitlines(), 1):
        text = line.partition("#")[0].strip()
        if not text:
            continue
        try:
            player.line(text)
        except ScenarioFailure as error:
            raise ScenarioFailure(f"{path.name}:{number}: {error}") from None
    if player.cluster.broken:
        raise ScenarioFailure(f"{path.name}: {player.cluster.broken[0]}")


def _guard(path: Path) -> str | None:
    """The name on the file's `guard` line."""
    for line in path.read_text().splitlines():
        if line.startswith("guard "):
            return line.split()[1]
    return None


def files_with_guard(files: list[Path]) -> list[Path]:
    """The files with a line `guard NAME`."""
    return [path for path in files if _guard(path)]


def assert_fails_without_guard(
    path: Path, patch: pytest.MonkeyPatch, play: Callable[[Path], None]
) -> None:
    """Check that the scenario fails with the mutation that its guard line names."""
    name = _guard(path)
    assert name is not None
    MUTATIONS[name](patch)
    with pytest.raises((ScenarioFailure, InvariantViolationError)):
        play(path)


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    play(path)


@pytest.mark.parametrize("path", files_with_guard(FILES), ids=lambda path: path.stem)
def test_fails_without_its_guard(path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    assert_fails_without_guard(path, monkeypatch, play)
