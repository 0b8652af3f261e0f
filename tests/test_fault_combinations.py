"""Two troubles that meet, with whole controllers (`simulated_controllers.py`).

The files of tests/scenarios/meetings are played by the one runner; docs/meetings.md says of each
what meets there. A controller is named by its place (`k0`) or by what `call` has named it.
"""

from __future__ import annotations

import contextlib
from pathlib import Path
from typing import Any

import pytest
from simulated_controllers import USERS_PATIENCE_S, SimulatedControllers
from test_scenarios import ScenarioPlayer, _pairs, fails_unguarded, guarded, play

from umberward.control import job_api
from umberward.core.types import Key
from umberward.local.links import LinkFault
from umberward.protocol import transactions
from umberward.protocol.wire import FINAL_JOBS_PREFIX, LIVE_JOBS_PREFIX

FILES = sorted((Path(__file__).parent / "scenarios/meetings").glob("*.txt"))


class MeetingPlay(ScenarioPlayer):
    cluster: SimulatedControllers  # type: ignore[assignment]

    def __init__(self) -> None:
        self.cluster = SimulatedControllers()
        self.called: dict[str, str] = {}
        self.last: Any = None
        self.answered: list[Any] = []
        self.open = contextlib.ExitStack()

    def __enter__(self) -> MeetingPlay:
        return self

    def __exit__(self, *_: Any) -> None:
        self.open.close()

    # ---- the world ---------------------------------------------------------------------

    def do_cluster(self, size: str, *words: str) -> None:
        """So many controllers, which start one after the other; other settings of the workers, and
        limits of the team red."""
        given = {name: float(value) for name, value in _pairs(list(words)).items()}
        seed = int(given.pop("seed", 1))
        limits = {name: given.pop(name) for name in ("cpus_max", "gpus_max") if name in given}
        operator = {name: int(given.pop(name)) for name in ("poll_cache",) if name in given}
        self.cluster = SimulatedControllers(
            int(size), seed, limits=limits, operator=operator, **given
        )
        self.open.enter_context(self.cluster.playing())
        for name in self.cluster.names:
            self.cluster.start(name)

    def do_call(self, name: str, called: str) -> None:
        """`call leader old`; `call other new`: one that does not lead and has no name yet."""
        leader = self.cluster.leader()
        if name == "leader":
            assert leader is not None
            self.called[called] = leader
            return
        taken = {leader, *self.called.values()}
        self.called[called] = next(n for n in self.cluster.names if n not in taken)

    def _name(self, word: str) -> str:
        return self.called.get(word, word)

    def do_machine(self, name: str, flavor: str, zone: str, *kind: str) -> None:
        self.cluster.machine(name, flavor, zone)

    def do_crash(self, name: str = "") -> None:
        self.cluster.crash(self._name(name))

    def do_back(self, name: str) -> None:
        self.cluster.start(self._name(name))

    def do_refuse(self, name: str, what: str) -> None:
        """The state service refuses this controller alone."""
        number = self.cluster.names.index(self._name(name))
        (self.cluster.state.refused.add if what == "on" else self.cluster.state.refused.discard)(
            number
        )

    def do_state(self, mode: str) -> None:
        self.cluster.state.set_down(mode == "down")

    def do_cloud(self, mode: str) -> None:
        self.cluster.cloud.down = mode == "down"

    def do_trouble(self, label: str, src: str, dst: str, what: str, *words: str) -> None:
        """`trouble NAME FROM TO refuse|lost|hold|late [path=/do] [least=2] [most=12] [share=1]`"""
        given = _pairs(list(words))
        path = given.pop("path", "")
        times = {name: float(value) for name, value in given.items()}
        self.cluster.network.links.faults[label] = LinkFault(
            self._name(src), self._name(dst), what, path, **times
        )

    def do_clear(self, label: str) -> None:
        del self.cluster.network.links.faults[label]

    def do_copies(self, name: str, share: str, least: str, most: str) -> None:  # type: ignore[override]
        """Of that share of the machine's reports a copy comes again, so many seconds later."""
        self.cluster.network.copied[name] = (float(share), float(least), float(most))

    # ---- users -------------------------------------------------------------------------

    def do_submit(self, id: str, name: str, *words: str) -> None:  # type: ignore[override]
        self.last = self.cluster.submit(self._spec(id, words), self._name(name))

    def do_poll(self, id: str, name: str) -> None:  # type: ignore[override]
        self.last = self.cluster.poll(id, self._name(name))

    def do_cancel(self, id: str, name: str) -> None:  # type: ignore[override]
        """Until it is answered, as its user does."""
        until = self.cluster.now + USERS_PATIENCE_S
        while self.cluster.now < until:
            self.last = self.cluster.cancel(id, self._name(name))
            if self.last is not None and self.last.status == 200:
                return
            self.cluster.run(1.0)

    def do_cancel_once(self, id: str, name: str) -> None:
        self.last = self.cluster.cancel(id, self._name(name))

    def do_together(self, gap_ms: str, *words: str) -> None:
        """`together GAP poll:JOB:WHERE cancel:JOB:WHERE submit:JOB:WHERE`: each question so many
        milliseconds after the one before, without waiting for answers; a submission is a repeat."""
        questions = []
        for word in words:
            what, id, name = word.split(":")
            about: Any = id
            if what == "submit":
                about = self.cluster.specs.get(id) or self._spec(id, ("runs=200",))
            questions.append((what, about, self._name(name)))
        self.answered = self.cluster.together(questions, float(gap_ms) / 1000)

    def do_look(self, id: str, *times: str) -> None:
        """Its user asks all controllers, and submits it again everywhere, within milliseconds."""
        words = [
            f"{what}:{id}:{name}" for name in self.cluster.names for what in ("poll", "submit")
        ]
        for _ in range(int(times[0]) if times else 1):
            self.do_together("2", *words)

    def do_stream(self, first: str, count: str, *words: str) -> None:
        """One-task jobs, four a second, at all controllers in turn; every fourth is cancelled."""
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
        """The machine stops with all that is on it."""
        self.cluster.remove(name)

    def do_remove_under(self, id: str) -> None:
        """The machines stop on which the job runs."""
        for _, host in self.cluster.running(id):
            self.cluster.remove(host)

    def do_hang(self, name: str) -> None:
        self.cluster.hang(name)

    def do_goes_on(self, name: str) -> None:
        self.cluster.goes_on(name)

    def do_boots(self, times: str) -> None:
        """New machines are up so many times sooner than their nominal ten seconds."""
        self.cluster.cloud_core.speed = float(times)

    def do_rentable(self, many: str) -> None:
        """So many small machines in each zone, those that are there included."""
        for kind in self.cluster.cloud_core.capacity:
            if kind.machine_type == "small" and not kind.spot:
                self.cluster.cloud_core.capacity[kind] = int(many)

    def do_keep_copies(self, share: str) -> None:
        """Of that share of the reports a copy is kept until a leader is new, and comes to all."""
        self.cluster.network.kept_share = float(share)

    def do_leaders(self, count: str, every: str, away: str) -> None:
        """Whoever leads ends, again and again, and is back after `away` seconds."""
        for _ in range(int(count)):
            leader = self.cluster.leader()
            if leader in self.cluster.nodes:
                self.cluster.crash(leader)
                self.cluster.run(float(away))
                self.cluster.start(leader)
            self.cluster.run(float(every) - float(away))

    def do_known(self) -> None:
        """Troubles are over: each controller answers about each job in time."""
        self.cluster.known_by_all()

    # ---- expectations ------------------------------------------------------------------

    def see_phase(self) -> str:
        return self.cluster.phase(self.last)

    def see_leader(self) -> str:
        leader = self.cluster.leader()
        return next((n for n, known in self.called.items() if known == leader), str(leader))

    def see_live(self) -> int:
        return sum(key.startswith(LIVE_JOBS_PREFIX) for key in self.cluster.stored_keys())

    def see_answered(self, status: str) -> int:
        """How many of the questions put together were answered so."""
        return sum(one is not None and one.status == int(status) for one in self.answered)

    def see_late_starts(self, what: str) -> int:
        """Of jobs called cancelled: `in-flight` or `sent-after`."""
        return self.cluster.late_starts[what.replace("-", " ")]

    def see_phases(self, phase: str) -> int:
        return sum(self.cluster.phase(one) == phase for one in self.answered)

    def see_terms(self) -> int:
        return len(self.cluster.terms)


def play_meeting(path: Path) -> None:
    with contextlib.ExitStack() as stack:

        def make() -> MeetingPlay:
            return stack.enter_context(MeetingPlay())

        play(path, make)


def test_a_cancellation_that_was_only_read_is_logged(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its transaction got no answer and was carried out."""
    said: list[str] = []
    monkeypatch.setattr(job_api.log, "info", lambda event, **_: said.append(event))
    game = ScenarioPlayer()
    game.do_submit("req-000001")
    game.do_state("lost")
    game.do_cancel("req-000001")
    assert game.see_phase() == "cancelled" and said == ["cancelled_by_user"]


def test_a_gang_of_which_a_part_is_stored_as_done_is_done() -> None:
    """As an earlier version has stored it, which then waited for the rest for ever."""
    game = ScenarioPlayer()
    game.do_machine("m1", "small", "a")
    spec = game._spec("req-000001", ("shards=3", "shape=ensemble"))
    known = {name: value for name, value in spec.items() if not name.startswith("_")}
    game.cluster.store.keep(
        f"{LIVE_JOBS_PREFIX}req-000001", {"spec": known, "at": 90.0, "marked": 3, "base": 1}
    )
    game.cluster.specs["req-000001"] = spec
    game.do_lead()
    game.do_run("3")
    game.do_poll("req-000001")
    assert game.see_phase() == "done" and not game.cluster.starts


def test_what_remains_of_a_job_may_be_unreadable() -> None:
    """It is met as any record that can't be read, and ends no term."""
    game = ScenarioPlayer()
    game.do_team("cpus_max=8")
    remains = {"owner": "red", "cores": 1.0, "mem_gb": 1.0, "marked": 4}
    for number, more in enumerate(({"done": "zz"}, {"cores": "many"}, {"marked": None}, {})):
        record = {"phase": "cancelled", "remains": {**remains, **more}}
        game.cluster.store.apply(
            [], [transactions.put(Key(f"{FINAL_JOBS_PREFIX}req-{number:06}"), record)]
        )
    game.do_machine("m1", "small", "a")
    game.do_lead()
    assert game.cluster.scheduler is not None
    assert list(game.cluster.scheduler.cancelled_jobs) == ["req-000003"]
    game.do_submit("req-000009", "shards=4", "cores=1")
    game.do_run("3")
    assert game.see_running("req-000009") == 4


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_meeting(path: Path) -> None:
    play_meeting(path)


@pytest.mark.parametrize("path", guarded(FILES), ids=lambda path: path.stem)
def test_fails_without_its_guard(path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    fails_unguarded(path, monkeypatch, play_meeting)
