"""Two troubles that meet, with whole controllers (`controllers.py`).

The files of tests/scenarios/meetings are played by the one runner; docs/meetings.md says of each
what meets there. A controller is named by its place (`k0`) or by what `call` has named it.
"""

from __future__ import annotations

import contextlib
from pathlib import Path
from typing import Any

import pytest
from controllers import USERS_PATIENCE_S, Controllers
from test_scenarios import Play, _pairs, fails_unguarded, guarded, play

from umberward.control import job_api
from umberward.core.types import Key
from umberward.local.links import LinkFault
from umberward.protocol import transactions
from umberward.protocol.wire import FINAL_JOBS_PREFIX, LIVE_JOBS_PREFIX

FILES = sorted((Path(__file__).parent / "scenarios/meetings").glob("*.txt"))


class MeetingPlay(Play):
    world: Controllers  # type: ignore[assignment]

    def __init__(self) -> None:
        self.world = Controllers()
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
        self.world = Controllers(int(size), seed, limits=limits, operator=operator, **given)
        self.open.enter_context(self.world.playing())
        for name in self.world.names:
            self.world.start(name)

    def do_call(self, name: str, called: str) -> None:
        """`call leader old`; `call other new`: one that does not lead and has no name yet."""
        leader = self.world.leader()
        if name == "leader":
            assert leader is not None
            self.called[called] = leader
            return
        taken = {leader, *self.called.values()}
        self.called[called] = next(n for n in self.world.names if n not in taken)

    def _name(self, word: str) -> str:
        return self.called.get(word, word)

    def do_machine(self, name: str, flavor: str, zone: str, *kind: str) -> None:
        self.world.machine(name, flavor, zone)

    def do_crash(self, name: str = "") -> None:
        self.world.crash(self._name(name))

    def do_back(self, name: str) -> None:
        self.world.start(self._name(name))

    def do_refuse(self, name: str, what: str) -> None:
        """The state service refuses this controller alone."""
        number = self.world.names.index(self._name(name))
        (self.world.state.refused.add if what == "on" else self.world.state.refused.discard)(number)

    def do_state(self, mode: str) -> None:
        self.world.state.set_down(mode == "down")

    def do_cloud(self, mode: str) -> None:
        self.world.cloud.down = mode == "down"

    def do_trouble(self, label: str, src: str, dst: str, what: str, *words: str) -> None:
        """`trouble NAME FROM TO refuse|lost|hold|late [path=/do] [least=2] [most=12] [share=1]`"""
        given = _pairs(list(words))
        path = given.pop("path", "")
        times = {name: float(value) for name, value in given.items()}
        self.world.network.links.faults[label] = LinkFault(
            self._name(src), self._name(dst), what, path, **times
        )

    def do_clear(self, label: str) -> None:
        del self.world.network.links.faults[label]

    def do_copies(self, name: str, share: str, least: str, most: str) -> None:  # type: ignore[override]
        """Of that share of the machine's reports a copy comes again, so many seconds later."""
        self.world.network.copied[name] = (float(share), float(least), float(most))

    # ---- users -------------------------------------------------------------------------

    def do_submit(self, id: str, name: str, *words: str) -> None:  # type: ignore[override]
        self.last = self.world.submit(self._spec(id, words), self._name(name))

    def do_poll(self, id: str, name: str) -> None:  # type: ignore[override]
        self.last = self.world.poll(id, self._name(name))

    def do_cancel(self, id: str, name: str) -> None:  # type: ignore[override]
        """Until it is answered, as its user does."""
        until = self.world.now + USERS_PATIENCE_S
        while self.world.now < until:
            self.last = self.world.cancel(id, self._name(name))
            if self.last is not None and self.last.status == 200:
                return
            self.world.run(1.0)

    def do_cancel_once(self, id: str, name: str) -> None:
        self.last = self.world.cancel(id, self._name(name))

    def do_together(self, gap_ms: str, *words: str) -> None:
        """`together GAP poll:JOB:WHERE cancel:JOB:WHERE submit:JOB:WHERE`: each question so many
        milliseconds after the one before, without waiting for answers; a submission is a repeat."""
        questions = []
        for word in words:
            what, id, name = word.split(":")
            about: Any = id
            if what == "submit":
                about = self.world.specs.get(id) or self._spec(id, ("runs=200",))
            questions.append((what, about, self._name(name)))
        self.answered = self.world.together(questions, float(gap_ms) / 1000)

    def do_look(self, id: str, *times: str) -> None:
        """Its user asks all controllers, and submits it again everywhere, within milliseconds."""
        words = [f"{what}:{id}:{name}" for name in self.world.names for what in ("poll", "submit")]
        for _ in range(int(times[0]) if times else 1):
            self.do_together("2", *words)

    def do_stream(self, first: str, count: str, *words: str) -> None:
        """One-task jobs, four a second, at all controllers in turn; every fourth is cancelled."""
        ids = [f"req-{int(first) + number:06d}" for number in range(int(count))]
        questions: list[Any] = []
        for number, id in enumerate(ids):
            name = self.world.names[number % len(self.world.names)]
            questions.append(("submit", self._spec(id, words), name))
            if number >= 8 and number % 4 == 0:
                questions.append(("cancel", ids[number - 8], name))
        self.world.together(questions, 0.25 * len(ids) / len(questions))

    # ---- machines and leaders ----------------------------------------------------------

    def do_remove(self, name: str) -> None:
        """The machine stops with all that is on it."""
        self.world.remove(name)

    def do_remove_under(self, id: str) -> None:
        """The machines stop on which the job runs."""
        for _, host in self.world.running(id):
            self.world.remove(host)

    def do_hang(self, name: str) -> None:
        self.world.hang(name)

    def do_goes_on(self, name: str) -> None:
        self.world.goes_on(name)

    def do_boots(self, times: str) -> None:
        """New machines are up so many times sooner than their nominal ten seconds."""
        self.world.cloud_core.speed = float(times)

    def do_rentable(self, many: str) -> None:
        """So many small machines in each zone, those that are there included."""
        for kind in self.world.cloud_core.capacity:
            if kind.sku == "small" and not kind.spot:
                self.world.cloud_core.capacity[kind] = int(many)

    def do_keep_copies(self, share: str) -> None:
        """Of that share of the reports a copy is kept until a leader is new, and comes to all."""
        self.world.network.kept_share = float(share)

    def do_leaders(self, count: str, every: str, away: str) -> None:
        """Whoever leads ends, again and again, and is back after `away` seconds."""
        for _ in range(int(count)):
            leader = self.world.leader()
            if leader in self.world.nodes:
                self.world.crash(leader)
                self.world.run(float(away))
                self.world.start(leader)
            self.world.run(float(every) - float(away))

    def do_known(self) -> None:
        """Troubles are over: each controller answers about each job in time."""
        self.world.known_by_all()

    # ---- expectations ------------------------------------------------------------------

    def see_phase(self) -> str:
        return self.world.phase(self.last)

    def see_leader(self) -> str:
        leader = self.world.leader()
        return next((n for n, known in self.called.items() if known == leader), str(leader))

    def see_live(self) -> int:
        return sum(key.startswith(LIVE_JOBS_PREFIX) for key in self.world.kept())

    def see_answered(self, status: str) -> int:
        """How many of the questions put together were answered so."""
        return sum(one is not None and one.status == int(status) for one in self.answered)

    def see_late_starts(self, what: str) -> int:
        """Of jobs called cancelled: `in-flight` or `sent-after`."""
        return self.world.late_starts[what.replace("-", " ")]

    def see_phases(self, phase: str) -> int:
        return sum(self.world.phase(one) == phase for one in self.answered)

    def see_terms(self) -> int:
        return len(self.world.terms)


def play_meeting(path: Path) -> None:
    with contextlib.ExitStack() as stack:

        def make() -> MeetingPlay:
            return stack.enter_context(MeetingPlay())

        play(path, make)


def test_a_cancellation_that_was_only_read_is_logged(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its transaction got no answer and was carried out."""
    said: list[str] = []
    monkeypatch.setattr(job_api.log, "info", lambda event, **_: said.append(event))
    game = Play()
    game.do_submit("req-000001")
    game.do_state("lost")
    game.do_cancel("req-000001")
    assert game.see_phase() == "cancelled" and said == ["cancelled_by_user"]


def test_a_gang_of_which_a_part_is_stored_as_done_is_done() -> None:
    """As an earlier version has stored it, which then waited for the rest for ever."""
    game = Play()
    game.do_machine("m1", "small", "a")
    spec = game._spec("req-000001", ("shards=3", "shape=ensemble"))
    known = {name: value for name, value in spec.items() if not name.startswith("_")}
    game.world.store.keep(
        f"{LIVE_JOBS_PREFIX}req-000001", {"spec": known, "at": 90.0, "marked": 3, "base": 1}
    )
    game.world.specs["req-000001"] = spec
    game.do_lead()
    game.do_run("3")
    game.do_poll("req-000001")
    assert game.see_phase() == "done" and not game.world.starts


def test_what_remains_of_a_job_may_be_unreadable() -> None:
    """It is met as any record that can't be read, and ends no term."""
    game = Play()
    game.do_team("cpus_max=8")
    remains = {"owner": "red", "cores": 1.0, "mem_gb": 1.0, "marked": 4}
    for number, more in enumerate(({"done": "zz"}, {"cores": "many"}, {"marked": None}, {})):
        record = {"phase": "cancelled", "remains": {**remains, **more}}
        game.world.store.apply(
            [], [transactions.put(Key(f"{FINAL_JOBS_PREFIX}req-{number:06}"), record)]
        )
    game.do_machine("m1", "small", "a")
    game.do_lead()
    assert game.world.scheduler is not None
    assert list(game.world.scheduler.cancelled_jobs) == ["req-000003"]
    game.do_submit("req-000009", "shards=4", "cores=1")
    game.do_run("3")
    assert game.see_running("req-000009") == 4


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_meeting(path: Path) -> None:
    play_meeting(path)


@pytest.mark.parametrize("path", guarded(FILES), ids=lambda path: path.stem)
def test_fails_without_its_guard(path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    fails_unguarded(path, monkeypatch, play_meeting)
