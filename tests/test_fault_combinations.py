"""Scenarios of two coinciding faults, with complete controllers (`simulated_controllers.py`).

Runs the files of tests/scenarios/meetings; docs/meetings.md says of each which faults coincide. In
them a controller is called by its own name (`k0`) or by the name that `call` has given it.
"""

from __future__ import annotations

import contextlib
from pathlib import Path
from typing import Any

import pytest
from simulated_controllers import CANCEL_RETRY_DURATION_S, SimulatedControllers
from test_scenarios import (
    ScenarioFailure,
    ScenarioPlayer,
    assert_fails_without_guard,
    files_with_guard,
    parse_pairs,
    play,
)

from umberward.control import job_api
from umberward.core.types import Key
from umberward.local.links import LinkFault
from umberward.protocol import transactions
from umberward.protocol.wire import FINAL_JOBS_PREFIX, LIVE_JOBS_PREFIX

FILES = sorted((Path(__file__).parent / "scenarios/meetings").glob("*.txt"))


class MeetingPlayer(ScenarioPlayer):
    cluster: SimulatedControllers  # type: ignore[assignment]

    def __init__(self) -> None:
        self.cluster = SimulatedControllers()
        self.given_names: dict[str, str] = {}
        self.last_result: Any = None
        self.responses: list[Any] = []
        self.exit_stack = contextlib.ExitStack()

    def __enter__(self) -> MeetingPlayer:
        return self

    def __exit__(self, *_: Any) -> None:
        self.exit_stack.close()

    # ---- cluster and faults ------------------------------------------------------------

    def do_cluster(self, size: str, *words: str) -> None:
        """Start this number of controllers. The words set fields of `cluster.workers`, limits of
        the team red, `poll_cache`, or `seed`."""
        given = {name: float(value) for name, value in parse_pairs(list(words)).items()}
        seed = int(given.pop("seed", 1))
        limits = {name: given.pop(name) for name in ("cpus_max", "gpus_max") if name in given}
        operator = {name: int(given.pop(name)) for name in ("poll_cache",) if name in given}
        self.cluster = SimulatedControllers(
            int(size), seed, limits=limits, operator=operator, **given
        )
        self.exit_stack.enter_context(self.cluster.playing())
        for name in self.cluster.names:
            self.cluster.start(name)

    def do_call(self, name: str, given_name: str) -> None:
        """`call leader OLD` names the leader; `call other NEW` a follower that has no name yet."""
        leader = self.cluster.leader()
        if name == "leader":
            assert leader is not None
            self.given_names[given_name] = leader
            return
        taken = {leader, *self.given_names.values()}
        self.given_names[given_name] = next(n for n in self.cluster.names if n not in taken)

    def _controller_name(self, word: str) -> str:
        return self.given_names.get(word, word)

    def do_machine(self, name: str, flavor: str, zone: str, *kind: str) -> None:
        self.cluster.machine(name, flavor, zone)

    def do_crash(self, name: str = "") -> None:
        self.cluster.crash(self._controller_name(name))

    def do_back(self, name: str) -> None:
        self.cluster.start(self._controller_name(name))

    def do_refuse(self, name: str, what: str) -> None:
        """Whether the state service refuses the requests of this controller."""
        number = self.cluster.names.index(self._controller_name(name))
        (self.cluster.state.refused.add if what == "on" else self.cluster.state.refused.discard)(
            number
        )

    def do_state(self, mode: str) -> None:
        self.cluster.state.set_down(mode == "down")

    def do_cloud(self, mode: str) -> None:
        self.cluster.cloud.down = mode == "down"

    def do_trouble(self, label: str, src: str, dst: str, what: str, *words: str) -> None:
        """`trouble NAME FROM TO refuse|lost|hold|late [path=/do] [least=2] [most=12] [share=1]`"""
        given = parse_pairs(list(words))
        path = given.pop("path", "")
        times = {name: float(value) for name, value in given.items()}
        self.cluster.network.links.faults[label] = LinkFault(
            self._controller_name(src), self._controller_name(dst), what, path, **times
        )

    def do_clear(self, label: str) -> None:
        del self.cluster.network.links.faults[label]

    def do_copies(self, name: str, share: str, least: str, most: str) -> None:  # type: ignore[override]
        """Deliver this share of its heartbeats twice, the copy `least` to `most` seconds later."""
        self.cluster.network.copied[name] = (float(share), float(least), float(most))

    # ---- users -------------------------------------------------------------------------

    def do_submit(self, id: str, name: str, *words: str) -> None:  # type: ignore[override]
        self.last_result = self.cluster.submit(self._spec(id, words), self._controller_name(name))

    def do_poll(self, id: str, name: str) -> None:  # type: ignore[override]
        self.last_result = self.cluster.poll(id, self._controller_name(name))

    def do_cancel(self, id: str, name: str) -> None:  # type: ignore[override]
        """Cancel the job, with retries until the request succeeds."""
        until = self.cluster.now + CANCEL_RETRY_DURATION_S
        while self.cluster.now < until:
            self.last_result = self.cluster.cancel(id, self._controller_name(name))
            if self.last_result is not None and self.last_result.status == 200:
                return
            self.cluster.run(1.0)

    def do_cancel_once(self, id: str, name: str) -> None:
        self.last_result = self.cluster.cancel(id, self._controller_name(name))

    def do_together(self, gap_ms: str, *words: str) -> None:
        """`together GAP poll:JOB:CONTROLLER cancel:JOB:CONTROLLER submit:JOB:CONTROLLER`: send the
        requests GAP milliseconds apart without waiting for answers. A submission of a known job
        repeats it."""
        questions = []
        for word in words:
            what, id, name = word.split(":")
            subject: Any = id
            if what == "submit":
                subject = self.cluster.specs.get(id) or self._spec(id, ("runs=200",))
            questions.append((what, subject, self._controller_name(name)))
        self.responses = self.cluster.together(questions, float(gap_ms) / 1000)

    def do_look(self, id: str, *times: str) -> None:
        """Poll and submit the job again at all controllers, within milliseconds."""
        words = [
            f"{what}:{id}:{name}" for name in self.cluster.names for what in ("poll", "submit")
        ]
        for _ in range(int(times[0]) if times else 1):
            self.do_together("2", *words)

    def do_stream(self, first: str, count: str, *words: str) -> None:
        """Submit one-task jobs, four a second, to all controllers in turn; cancel every fourth."""
        ids = [f"req-{int(first) + number:06d}" for number in range(int(count))]
        questions: list[Any] = []
        for number, id in enumerate(ids):
            name = self.cluster.names[number % len(self.cluster.names)]
            questions.append(("submit", self._spec(id, words), name))
            if number >= 8 and number % 4 == 0:
                questions.append(("cancel", ids[number - 8], name))
        self.cluster.together(questions, 0.25 * len(ids) / len(questions))

    # ---- machines and leaders ----------------------------------------------------------

    def do_remove(self, name: str) -> None:
        """Delete the machine and end its tasks."""
        self.cluster.remove(name)

    def do_remove_under(self, id: str) -> None:
        """Delete the machines on which the job runs."""
        for _, host in self.cluster.running(id):
            self.cluster.remove(host)

    def do_hang(self, name: str) -> None:
        self.cluster.hang(name)

    def do_goes_on(self, name: str) -> None:
        self.cluster.goes_on(name)

    def do_boots(self, times: str) -> None:
        """Divide the nominal boot time of new machines, ten seconds, by this number."""
        self.cluster.cloud_core.speed = float(times)

    def do_rentable(self, many: str) -> None:
        """Set the cloud's capacity of small machines in each zone, including existing ones."""
        for kind in self.cluster.cloud_core.capacity:
            if kind.machine_type == "small" and not kind.spot:
                self.cluster.cloud_core.capacity[kind] = int(many)

    def do_keep_copies(self, share: str) -> None:
        """Keep copies of this share of the heartbeats, and deliver them to all controllers when the
        leader changes."""
        self.cluster.network.kept_share = float(share)

    def do_leaders(self, count: str, every: str, away: str) -> None:
        """Crash the leader every `every` seconds, and restart it after `away` seconds."""
        for _ in range(int(count)):
            leader = self.cluster.leader()
            if leader in self.cluster.nodes:
                self.cluster.crash(leader)
                self.cluster.run(float(away))
                self.cluster.start(leader)
            self.cluster.run(float(every) - float(away))

    def do_until_renewed(self, name: str, most_s: str = "30") -> None:
        """Run until the machine accepts a response, which renews its session."""
        worker = self.cluster.workers[name]
        renewed_at, until = worker.lease_renewed_at, self.cluster.now + float(most_s)
        while worker.lease_renewed_at == renewed_at:
            if self.cluster.now >= until:
                raise ScenarioFailure(f"{name} was not renewed within {most_s} s")
            self.cluster.run(0.01)

    def do_known(self) -> None:
        """With no fault left, check that each controller answers polls of each job in time."""
        self.cluster.known_by_all()

    # ---- expectations ------------------------------------------------------------------

    def see_phase(self) -> str:
        return self.cluster.phase(self.last_result)

    def see_leader(self) -> str:
        leader = self.cluster.leader()
        return next((n for n, name in self.given_names.items() if name == leader), str(leader))

    def see_live(self) -> int:
        return sum(key.startswith(LIVE_JOBS_PREFIX) for key in self.cluster.stored_keys())

    def see_answered(self, status: str) -> int:
        """How many requests of the last `together` were answered with this status."""
        return sum(one is not None and one.status == int(status) for one in self.responses)

    def see_late_starts(self, what: str) -> int:
        """How many starts of cancelled jobs there were: `in-flight` or `sent-after`."""
        return self.cluster.late_starts[what.replace("-", " ")]

    def see_phases(self, phase: str) -> int:
        return sum(self.cluster.phase(one) == phase for one in self.responses)

    def see_terms(self) -> int:
        return len(self.cluster.terms)


def play_meeting(path: Path) -> None:
    with contextlib.ExitStack() as stack:

        def make() -> MeetingPlayer:
            return stack.enter_context(MeetingPlayer())

        play(path, make)


def test_a_cancellation_that_was_only_read_is_logged(monkeypatch: pytest.MonkeyPatch) -> None:
    """The transaction was committed, but its response was lost, so that the result is read back."""
    logged: list[str] = []
    monkeypatch.setattr(job_api.log, "info", lambda event, **_: logged.append(event))
    player = ScenarioPlayer()
    player.do_submit("req-000001")
    player.do_state("lost")
    player.do_cancel("req-000001")
    assert player.see_phase() == "cancelled" and logged == ["cancelled_by_user"]


def test_a_gang_of_which_a_part_is_stored_as_done_is_done() -> None:
    """An earlier version stored such records, and then waited for the other tasks forever."""
    player = ScenarioPlayer()
    player.do_machine("m1", "small", "a")
    spec = player._spec("req-000001", ("shards=3", "shape=ensemble"))
    known = {name: value for name, value in spec.items() if not name.startswith("_")}
    player.cluster.store.insert(
        f"{LIVE_JOBS_PREFIX}req-000001", {"spec": known, "at": 90.0, "marked": 3, "base": 1}
    )
    player.cluster.specs["req-000001"] = spec
    player.do_lead()
    player.do_run("3")
    player.do_poll("req-000001")
    assert player.see_phase() == "done" and not player.cluster.starts


def test_what_remains_of_a_job_may_be_unreadable() -> None:
    """Final records whose `remains` can't be decoded are skipped; loading them ends no term."""
    player = ScenarioPlayer()
    player.do_team("cpus_max=8")
    remains = {"owner": "red", "cores": 1.0, "mem_gb": 1.0, "marked": 4}
    for number, more in enumerate(({"done": "zz"}, {"cores": "many"}, {"marked": None}, {})):
        record = {"phase": "cancelled", "remains": {**remains, **more}}
        player.cluster.store.apply(
            [], [transactions.put(Key(f"{FINAL_JOBS_PREFIX}req-{number:06}"), record)]
        )
    player.do_machine("m1", "small", "a")
    player.do_lead()
    assert player.cluster.scheduler is not None
    assert list(player.cluster.scheduler.cancelled_jobs) == ["req-000003"]
    player.do_submit("req-000009", "shards=4", "cores=1")
    player.do_run("3")
    assert player.see_running("req-000009") == 4


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_meeting(path: Path) -> None:
    play_meeting(path)


@pytest.mark.parametrize("path", files_with_guard(FILES), ids=lambda path: path.stem)
def test_fails_without_its_guard(path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    assert_fails_without_guard(path, monkeypatch, play_meeting)
