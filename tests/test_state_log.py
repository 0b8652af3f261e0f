"""Any excerpt of a controller's log names the builds, the leader and peers with a known fault."""

from __future__ import annotations

import itertools
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from log_lines import Lines
from simulated_controllers import SimulatedControllers

from umberward.control import state_log
from umberward.control.controller import Controller
from umberward.control.state_log import (
    INTERVAL_S,
    MAX_LINES_BETWEEN,
    MAX_NAMED_CONTROLLERS,
    describe_builds,
)
from umberward.core import log
from umberward.core.known_faults import KNOWN_FAULTS
from umberward.local.links import LinkFault

FAULT = KNOWN_FAULTS[0].name
FAULTY_BUILD, THIS_BUILD = "0.1.0", "0.5.0"
EXCERPT_LINES = 15  # what operators keep of a log
PAGE = Path(__file__).parent.parent / "docs/operators/log.md"
SAMPLE_S = 0.1
ROUNDING_S = 0.1  # of the times and ages in a line, together


@pytest.fixture(autouse=True)
def reset_logging() -> Iterator[None]:
    yield
    log.configure("error", "lines", cache_loggers=False)


@pytest.fixture
def builds(monkeypatch: pytest.MonkeyPatch) -> dict[str, str]:
    """The build of each controller's next process; k2's is one with a fault."""
    builds = {"k0": THIS_BUILD, "k1": THIS_BUILD, "k2": FAULTY_BUILD}
    original = Controller.__init__

    def init(self: Controller, settings: Any, clock: Any) -> None:
        original(self, settings, clock, builds[settings.platform.label])

    monkeypatch.setattr(Controller, "__init__", init)
    return builds


def start_all(controllers: SimulatedControllers) -> None:
    for name in controllers.names:
        controllers.start(name)


def test_all_name_a_faulty_process_that_ended_and_its_span_also_those_started_later(
    builds: dict[str, str], monkeypatch: pytest.MonkeyPatch
) -> None:
    lines = Lines()
    monkeypatch.setattr(state_log, "log", lines)
    controllers = SimulatedControllers()
    with controllers.playing():
        start_all(controllers)
        started_at = controllers.now
        controllers.run(20.0)
        controllers.crash("k2")
        controllers.run(5.0)
        builds["k2"] = THIS_BUILD
        controllers.start("k2")
        for name in ("k0", "k1"):  # no process is left that has met the faulty one
            controllers.run(10.0)
            controllers.crash(name)
            controllers.run(3.0)
            controllers.start(name)
        controllers.run(4 * INTERVAL_S)
        lines.take()
        controllers.run(INTERVAL_S + 0.5)
        found = lines.of("controller_state")
    assert len(found) == len(controllers.names)
    for line in found:
        fault, _, span = line["known_faults"].partition(":")
        name, _, times = span.partition("@")
        first, last = map(float, times.split(".."))
        assert (fault, name) == (FAULT, "k2")
        assert 15.0 < last - first < 20.5  # it ran for 20 s, and is asked every 2 s
        assert started_at <= first <= started_at + 4.0
        assert started_at + 16.0 <= last <= started_at + 20.0
        assert started_at <= line["watched_from"] <= first
        assert line["builds"] == f"{THIS_BUILD}:k0,k1,k2" and line["build"] == THIS_BUILD
        assert line["leader"] in controllers.names and line["token"] >= line["term"] > 0
        assert line["leader_read_s"] < 15.0 and line["uptime_s"] > INTERVAL_S
    assert len({(line["leader"], line["known_faults"].partition(":")[0]) for line in found}) == 1


def test_state_is_written_also_when_idle_and_while_the_state_service_is_out(
    builds: dict[str, str], monkeypatch: pytest.MonkeyPatch
) -> None:
    lines = Lines()
    monkeypatch.setattr(state_log, "log", lines)
    controllers = SimulatedControllers()
    with controllers.playing():
        start_all(controllers)
        controllers.run(20.0)
        lines.take()
        controllers.state.set_down(True)
        controllers.run(6 * INTERVAL_S)
        found = lines.of("controller_state")
    assert 5 * 3 <= len(found) <= 7 * 3
    assert max(line["refreshed_s"] for line in found) > 2 * INTERVAL_S
    assert max(line["leader_read_s"] for line in found) > 2 * INTERVAL_S


def test_every_excerpt_of_a_busy_log_names_builds_and_leader(
    builds: dict[str, str], capsys: pytest.CaptureFixture[str]
) -> None:
    controllers = SimulatedControllers()
    with controllers.playing():
        start_all(controllers)
        controllers.run(5.0)
        log.configure("info", "lines", cache_loggers=False)
        capsys.readouterr()
        busy = log.logger("umberward.busy")
        for number in range(300):
            busy.info("tasks_preempted", tasks=number)
            busy.debug("not_written")
    written = capsys.readouterr().err.splitlines()
    assert len([line for line in written if "tasks_preempted" in line]) == 300
    assert MAX_LINES_BETWEEN < EXCERPT_LINES
    for first in range(len(written) - EXCERPT_LINES):
        excerpt = written[first : first + EXCERPT_LINES]
        (state, *_) = [line for line in excerpt if ": controller_state " in line]
        assert f"{THIS_BUILD}:k0,k1" in state and f"{FAULT}:k2@" in state
        assert " leader=k" in state and " term=" in state and " token=" in state


def test_two_lines_have_ten_others_or_ten_seconds_between_them(
    builds: dict[str, str], capsys: pytest.CaptureFixture[str]
) -> None:
    controllers = SimulatedControllers(size=1)
    states = []  # times of the lines of state, and how many other lines came before each
    others = 0
    with controllers.playing():
        log.configure("info", "lines", cache_loggers=False)
        start_all(controllers)
        for step in range(1200):
            if step % 7 == 0 or 400 < step < 440:  # a line every 0.7 s, at times ten a second
                log.logger("umberward.busy").info("tasks_preempted")
            controllers.run(0.1)
            for line in capsys.readouterr().err.splitlines():
                if " controller_state " in line:
                    states.append((controllers.now, others))
                    others = 0
                else:
                    others += 1
    assert len(states) > 1200 * 0.1 / INTERVAL_S
    for (earlier, _), (later, lines_between) in itertools.pairwise(states):
        assert lines_between <= MAX_LINES_BETWEEN + 1
        assert lines_between >= MAX_LINES_BETWEEN or later - earlier >= INTERVAL_S - ROUNDING_S


class LeaderKeyHistory:
    """Every value of the leader key, sampled from the simulated state service."""

    def __init__(self, controllers: SimulatedControllers) -> None:
        self.controllers = controllers
        self.values: list[tuple[float, str | None, int | None]] = []  # from when; leader, term

    def run(self, seconds: float) -> None:
        """Run the simulation, and note each change of the key."""
        for _ in range(round(seconds / SAMPLE_S)):
            self.controllers.run(SAMPLE_S)
            found = self.controllers.state.core.keys.get("leader")
            value = (None, None) if found is None else (found.data["node"], found.version)
            if not self.values or self.values[-1][1:] != value:
                self.values.append((self.controllers.now, *value))

    def held_since(self, leader: str | None, term: int | None, instant: float) -> bool:
        """Whether the key had the value at some time from `instant` on."""
        ends = [began for began, *_ in self.values[1:]] + [float("inf")]
        return any(
            (found_leader, found_term) == (leader, term) and end >= instant
            for (_, found_leader, found_term), end in zip(self.values, ends, strict=True)
        )


def test_leaders_terms_and_tokens_agree_within_the_stated_ages(
    builds: dict[str, str], monkeypatch: pytest.MonkeyPatch
) -> None:
    lines = Lines()
    monkeypatch.setattr(state_log, "log", lines)
    monkeypatch.setattr(state_log, "INTERVAL_S", 1.0)
    builds["k2"] = THIS_BUILD
    controllers = SimulatedControllers()
    history = LeaderKeyHistory(controllers)
    with controllers.playing():
        start_all(controllers)
        history.run(10.0)
        first = controllers.leader()
        assert first is not None
        controllers.crash(first)  # a take-over
        history.run(10.0)
        controllers.start(first)
        history.run(5.0)
        second = str(controllers.leader())
        cut = {f"{a}-{b}": LinkFault(a, b, "lost") for a, b in (("*", second), (second, "*"))}
        controllers.network.links.faults.update(cut)  # the leader is cut off
        history.run(20.0)
        for name in cut:
            controllers.network.links.faults.pop(name)
        history.run(10.0)
        for name in controllers.names:  # a roll
            controllers.crash(name)
            history.run(1.0)
            controllers.start(name)
            history.run(6.0)
        found = lines.of("controller_state")
    assert len({term for _, _, term in history.values if term is not None}) >= 3
    for line in found:
        if line["leader_read_s"] is not None:
            known_at = line["time"] - line["leader_read_s"] - ROUNDING_S - SAMPLE_S
            assert history.held_since(line["leader"], line["term"], known_at), line
        if line["leader"] is not None:
            assert line["token"] >= line["term"]
    disagreeing = [
        (one, other)
        for one, other in itertools.combinations(found, 2)
        if abs(one["time"] - other["time"]) <= 1.0
        and None not in (one["term"], other["term"])
        and one["term"] != other["term"]
    ]
    assert max(max(a["leader_read_s"], b["leader_read_s"]) for a, b in disagreeing) > 15.0


def test_page_describes_exactly_the_fields_of_the_line(
    builds: dict[str, str], monkeypatch: pytest.MonkeyPatch
) -> None:
    lines = Lines()
    monkeypatch.setattr(state_log, "log", lines)
    controllers = SimulatedControllers(size=1)
    with controllers.playing():
        start_all(controllers)
        controllers.run(5.0)
    written = set(lines.of("controller_state")[0]) - {"event"}
    section = PAGE.read_text().partition("### Which build was it")[2].partition("\n## ")[0]
    cells = [line.split("|")[1] for line in section.splitlines() if line.startswith("| `")]
    described = [field for cell in cells for field in re.findall("`([a-z_]+)`", cell)]
    assert sorted(described) == sorted(written)


def test_length_of_the_list_of_builds_is_bounded() -> None:
    builds = {f"keeper-{number:04}": f"0.{number}" for number in range(1000)}
    described = describe_builds(builds)
    assert described.endswith(f";{1000 - MAX_NAMED_CONTROLLERS} more")
    assert described.count("keeper-") == MAX_NAMED_CONTROLLERS
    same = dict.fromkeys(list(builds)[:3], "0.5")
    assert describe_builds(same) == "0.5:keeper-0000,keeper-0001,keeper-0002"
