"""Any excerpt of a controller's log names the builds, the leader and peers with a known fault."""

from __future__ import annotations

from collections.abc import Iterator
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

FAULT = KNOWN_FAULTS[0].name
FAULTY_BUILD, THIS_BUILD = "0.1.0", "0.5.0"
EXCERPT_LINES = 15  # what operators keep of a log


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
        name, _, ages = span.partition("@")
        first_s, last_s = map(float, ages.split(".."))
        assert (fault, name) == (FAULT, "k2")
        assert 15.0 < first_s - last_s < 20.5  # it ran for 20 s, and is asked every 2 s
        assert line["builds"] == f"{THIS_BUILD}:k0,k1,k2" and line["build"] == THIS_BUILD
        assert line["leader"] in controllers.names and line["token"] > 0
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
        assert " leader=k" in state and " token=" in state


def test_length_of_the_list_of_builds_is_bounded() -> None:
    builds = {f"keeper-{number:04}": f"0.{number}" for number in range(1000)}
    described = describe_builds(builds)
    assert described.endswith(f";{1000 - MAX_NAMED_CONTROLLERS} more")
    assert described.count("keeper-") == MAX_NAMED_CONTROLLERS
    same = dict.fromkeys(list(builds)[:3], "0.5")
    assert describe_builds(same) == "0.5:keeper-0000,keeper-0001,keeper-0002"
