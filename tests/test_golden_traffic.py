"""Messages on the wire and writes to the state service are byte for byte as recorded.

A refactoring must pass this test. A change that is meant to alter messages, records or their order
rewrites the digests, and says so in its commit:

    python -m pytest tests/test_golden_traffic.py --write-golden

To see what differs, write the messages of both versions to folders, and compare these:

    PYTHONPATH=. PYTHONHASHSEED=0 python tests/traffic_runs.py --keep FOLDER

The runs take place in a process of their own with a fixed hash seed, on which the order of sets of
strings depends.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest
import traffic_runs
from test_scenarios import FILES, play
from traffic_recorder import Digest, Recorder, recording

TESTS = Path(__file__).parent
GOLDEN = TESTS / "records" / "golden_traffic.json"
NAMES = list(traffic_runs.all_runs())


def _read_golden() -> dict[str, Digest]:
    return {name: Digest(*found) for name, found in json.loads(GOLDEN.read_text()).items()}


def _write_golden(digests: dict[str, Digest]) -> None:
    lines = [f"{json.dumps(name)}: {json.dumps(digest)}" for name, digest in digests.items()]
    GOLDEN.write_text("{\n" + ",\n".join(lines) + "\n}\n")


@pytest.fixture(scope="module")
def current_digests(request: pytest.FixtureRequest) -> dict[str, Digest]:
    """The digests of all runs by the current code."""
    paths = [str(TESTS.parent), *filter(None, [os.environ.get("PYTHONPATH")])]
    environment = {
        **os.environ,
        "PYTHONHASHSEED": "0",
        "PYTHONPATH": os.pathsep.join(paths),
    }
    result = subprocess.run(
        [sys.executable, str(TESTS / "traffic_runs.py")],
        env=environment,
        capture_output=True,
        text=True,
    )
    assert result.returncode == 0, result.stderr[-3000:]
    digests = {name: Digest(*found) for name, found in json.loads(result.stdout).items()}
    # pytest shows this output with a failed test: it tells why a run failed, if one did.
    print(result.stderr[-3000:])
    if request.config.getoption("--write-golden"):
        _write_golden(digests)
    return digests


@pytest.mark.parametrize("name", NAMES)
def test_traffic_is_as_stored(name: str, current_digests: dict[str, Digest]) -> None:
    golden = _read_golden()
    assert name in golden, f"{name}: no digest is stored; see --write-golden"
    found, stored = current_digests[name], golden[name]
    assert found == stored, f"{name}: {found.messages} messages, stored were {stored.messages}"


def test_every_scenario_is_recorded_or_left_out_for_a_reason(
    current_digests: dict[str, Digest],
) -> None:
    scenarios = {name for name in NAMES if not name.startswith("day/")}
    assert scenarios | set(traffic_runs.NOT_RECORDED) == traffic_runs.scenario_names()
    assert not scenarios & set(traffic_runs.NOT_RECORDED)
    golden = _read_golden()
    assert set(golden) == set(NAMES) == set(current_digests)
    assert all(digest.messages for digest in golden.values())


def _flip_a_bit(messages: list[bytes]) -> None:
    changed = bytearray(messages[-1])
    changed[len(changed) // 2] ^= 1
    messages[-1] = bytes(changed)


def _swap(messages: list[bytes]) -> None:
    messages[0], messages[-1] = messages[-1], messages[0]


def _drop(messages: list[bytes]) -> None:
    del messages[len(messages) // 2]


def _move_a_byte(messages: list[bytes]) -> None:
    messages[0], messages[1] = messages[0] + messages[1][:1], messages[1][1:]


@pytest.mark.parametrize("change", [_flip_a_bit, _swap, _drop, _move_a_byte])
def test_a_digest_tells_any_change(change: Callable[[list[bytes]], None]) -> None:
    path = next(path for path in FILES if path.stem == "cancel_kills")
    with recording() as recorder:
        play(path)
    changed = Recorder()
    changed.messages = list(recorder.messages)
    assert changed.digest() == recorder.digest()
    change(changed.messages)
    assert changed.digest().sha256 != recorder.digest().sha256
