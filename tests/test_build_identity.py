"""Which build a controller runs: read from its sources, stored, logged and shown side by side."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from cluster_settings import raw_settings
from simulated_controllers import SimulatedControllers

from umberward import __version__
from umberward.cli import builds as builds_command
from umberward.cli import main as cli
from umberward.control import controller_builds
from umberward.control.controller import Controller
from umberward.control.controller_builds import builds_by_controller
from umberward.core import build_identity
from umberward.core.build_identity import UNKNOWN_BUILD, parse_build, read_build
from umberward.core.types import Version
from umberward.protocol import wire
from umberward.protocol.http import Response

CHANGELOG = Path(__file__).parent.parent / "CHANGELOG.md"


def _write_sources(folder: Path, text: str) -> None:
    (folder / "inner").mkdir(exist_ok=True)
    (folder / "inner" / "module.py").write_text(text)


def test_build_changes_with_the_sources_alone(tmp_path: Path) -> None:
    _write_sources(tmp_path, "a = 1\n")
    first = read_build(tmp_path)
    (tmp_path / "notes.txt").write_text("not a source")
    assert read_build(tmp_path) == first
    assert re.fullmatch(rf"{re.escape(__version__)}\+[0-9a-f]{{12}}", first)
    _write_sources(tmp_path, "a = 2\n")
    assert read_build(tmp_path) != first


def test_version_is_described_in_the_changelog() -> None:
    assert __version__ in CHANGELOG.read_text()


def test_unreadable_or_missing_sources_are_an_unknown_build(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert read_build(tmp_path) == UNKNOWN_BUILD
    assert read_build(tmp_path / "missing") == UNKNOWN_BUILD
    _write_sources(tmp_path, "a = 1\n")
    assert read_build(tmp_path, version="") == UNKNOWN_BUILD

    def fail(_: Path) -> bytes:
        raise PermissionError

    monkeypatch.setattr(Path, "read_bytes", fail)
    assert read_build(tmp_path) == UNKNOWN_BUILD


INVALID_BUILDS = [None, "", 7, ["0.5"], {}, "0.5 x", "0.5\n", "é", "x" * 65]


@pytest.mark.parametrize("value", INVALID_BUILDS)
def test_invalid_build_of_another_controller_is_shown_as_unknown(value: object) -> None:
    assert parse_build(value) == UNKNOWN_BUILD
    entry = wire.KeyValue("controllers/k1", {"node": "k1", "build": value}, Version(3), None)
    stranger = wire.KeyValue("controllers/stranger", {"build": "0.9+0"}, Version(4), None)
    not_a_map = wire.KeyValue("controllers/k0", "text", Version(5), None)
    found = builds_by_controller([entry, stranger, not_a_map], ["k1", "k0", "k2"])
    assert found == dict.fromkeys(("k0", "k1", "k2"), UNKNOWN_BUILD)


class _Controllers(SimulatedControllers):
    """Controllers of which k2 runs a version that stores no build."""

    def builds(self) -> dict[str, str]:
        entries = [
            wire.KeyValue(key, stored.data, stored.version, None)
            for key, stored in self.state.core.keys.items()
            if key.startswith("controllers/")
        ]
        return builds_by_controller(entries, self.names)


def test_leader_shows_the_builds_of_all_controllers(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[dict[str, Any]] = []
    monkeypatch.setattr(
        controller_builds.log, "info", lambda event, **fields: lines.append(fields), raising=False
    )
    original = Controller.__init__

    def init(self: Controller, settings: Any, clock: Any) -> None:
        name = settings.platform.label
        original(self, settings, clock, UNKNOWN_BUILD if name == "k2" else f"0.5.0+{name}")

    monkeypatch.setattr(Controller, "__init__", init)
    expected = {"k0": "0.5.0+k0", "k1": "0.5.0+k1", "k2": UNKNOWN_BUILD}
    controllers = _Controllers()
    with controllers.playing():
        for name in controllers.names:
            controllers.start(name)
        controllers.run(controller_builds.READ_INTERVAL_S + 5.0)
        assert controllers.builds() == expected
        leader = controllers.leader()
        assert leader is not None
        controllers.state.core.keys["controllers/k1"].data["build"] = 7  # type: ignore[index]
        controllers.run(controller_builds.READ_INTERVAL_S + 5.0)
        assert not controllers.broken
    texts = [fields["builds"] for fields in lines if "builds" in fields]
    assert texts[0] == ",".join(f"{name}:{build}" for name, build in expected.items())
    assert texts[1] == f"k0:0.5.0+k0,k1:{UNKNOWN_BUILD},k2:{UNKNOWN_BUILD}"


def test_build_is_stored_after_an_outage(monkeypatch: pytest.MonkeyPatch) -> None:
    original = Controller.__init__
    monkeypatch.setattr(
        Controller, "__init__", lambda self, settings, clock: original(self, settings, clock, "0.5")
    )
    controllers = _Controllers()
    with controllers.playing():
        controllers.state.set_down(True)
        controllers.start("k0")
        controllers.run(8.0)
        controllers.state.set_down(False)
        controllers.run(8.0)
        assert controllers.builds()["k0"] == "0.5"


def test_commands_show_builds(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(build_identity, "PACKAGE_DIR", tmp_path)
    import tomli_w

    config = tmp_path / "settings.toml"
    raw = raw_settings()
    raw["peers"] = [{"label": "n1", "site": "a", "addr": "127.0.0.1:9"}]
    config.write_text(tomli_w.dumps(raw))
    record = {"node": "n0", "build": "0.5.0+ab"}
    page = wire.KeyValuePage([wire.KeyValue("controllers/n0", record, Version(1), None)], 1)
    monkeypatch.setattr(builds_command, "ask", lambda *_: Response(200, wire.encode(page)))
    result = CliRunner().invoke(cli.main, ["builds", "--config", str(config)])
    assert result.exit_code == builds_command.EXIT_KNOWN_FAULT
    first, second = result.output.splitlines()
    assert first == "n0 0.5.0+ab"
    assert second.startswith("n1 unknown (unless it is 0.1.1 or later, has the known fault ")
    assert second.endswith("; mended in 0.1.1; see docs/operators/upgrades.md)")
    known = [
        wire.KeyValue(f"controllers/{name}", {"build": "0.5.0+ab"}, Version(1), None)
        for name in ("n0", "n1")
    ]
    monkeypatch.setattr(
        builds_command, "ask", lambda *_: Response(200, wire.encode(wire.KeyValuePage(known, 1)))
    )
    result = CliRunner().invoke(cli.main, ["builds", "--config", str(config)])
    assert (result.exit_code, result.output) == (0, "n0 0.5.0+ab\nn1 0.5.0+ab\n")
    monkeypatch.setattr(builds_command, "ask", lambda *_: Response(503))
    assert CliRunner().invoke(cli.main, ["builds", "--config", str(config)]).exit_code == 1
    assert __version__ in CliRunner().invoke(cli.main, ["--version"]).output
