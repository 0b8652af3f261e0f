"""Invalid and repeated requests: each gets the answer of PROTOCOL and changes no record."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import pytest
from test_scenarios import ScenarioPlayer

from umberward.protocol import wire
from umberward.protocol.http import Response
from umberward.protocol.wire import JobSpec

JOB_ID = "req-000001"
OPTIONAL = ("flavors", "yard", "due_s", "waits_on")
REQUIRED = [name for name in JobSpec.__struct_encode_fields__ if name not in OPTIONAL]
NUMBERS = (
    "cores",
    "accelerators",
    "mem_gb",
    "pull_gb",
    "expect_s",
    "snapshot_every_s",
    "snapshot_cost_s",
    "due_s",
)
WRONG_TYPE: dict[str, Any] = {
    **dict.fromkeys(NUMBERS, "four"),
    **dict.fromkeys(("uid", "jobclass", "owner", "shape", "rank", "bundle", "yard"), 7),
    **dict.fromkeys(("same_place", "apart", "reclaimable"), 1),
    "shards": 1.5,
    "flavors": "small",
}


def _player(**limits: float) -> ScenarioPlayer:
    player = ScenarioPlayer()
    if limits:
        player.do_team(*(f"{name}={value}" for name, value in limits.items()))
    player.do_machine("m1", "small", "a")
    player.do_lead()
    player.do_run("3")
    return player


def _spec(**more: Any) -> dict[str, Any]:
    return {**ScenarioPlayer._spec(None, JOB_ID, ()), **more}  # type: ignore[arg-type]


def _submit(player: ScenarioPlayer, spec: dict[str, Any]) -> Response:
    stored_before = dict(player.cluster.store.keys)
    response = player.cluster.submit(wire.encode(spec))
    if response.status not in (200, 201):
        assert player.cluster.store.keys == stored_before
    return response


def _phase(response: Response) -> str:
    return str(msgspec.msgpack.decode(response.body)["phase"])


@pytest.mark.parametrize("name", REQUIRED)
def test_a_field_is_missing(name: str) -> None:
    spec = _spec()
    del spec[name]
    assert _submit(_player(), spec).status == 400


@pytest.mark.parametrize("name", WRONG_TYPE)
def test_a_field_is_of_the_wrong_type(name: str) -> None:
    player = _player()
    for value in (WRONG_TYPE[name], [], {}):
        if (name, value) != ("flavors", []):
            assert _submit(player, _spec(**{name: value})).status == 400
    if name not in OPTIONAL:
        assert _submit(player, _spec(**{name: None})).status == 400


@pytest.mark.parametrize("name", NUMBERS)
@pytest.mark.parametrize("value", [math.inf, -math.inf, math.nan, -1.0])
def test_an_amount_that_is_none(name: str, value: float) -> None:
    assert _submit(_player(), _spec(**{name: value})).status == 400


@pytest.mark.parametrize("shards", [0, -1, 100_001])
def test_a_size_that_is_none(shards: int) -> None:
    assert _submit(_player(), _spec(shards=shards)).status == 400


@pytest.mark.parametrize(
    "more",
    [
        {"owner": "nobody"},
        {"cores": 33.0},
        {"accelerators": 1.0, "flavors": ["small"]},
        {"yard": "z"},
        {"yard": "z", "same_place": True, "shape": "ensemble", "shards": 3},
        {"flavors": ["unheard-of"]},
        {"shape": "ensemble", "shards": 5, "cores": 2.0},
        {"shape": "service", "shards": 5, "cores": 2.0},
        {"cores": 9.0},
    ],
)
def test_a_job_that_can_never_run(more: dict[str, Any]) -> None:
    spec = _spec(**more)
    player = _player(cpus_max=8)
    assert _submit(player, spec).status == 422 and player.cluster.why_unfit(spec)


def test_an_array_larger_than_its_teams_limit_runs_bit_by_bit() -> None:
    spec = _spec(shards=50)
    player = _player(cpus_max=8)
    assert player.cluster.submit(spec).status == 201 and not player.cluster.why_unfit(spec)


@pytest.mark.parametrize("state", ["waiting", "running", "done", "cancelled"])
def test_a_repeat_with_another_body_gets_the_state(state: str) -> None:
    player = _player()
    cores = 4 if state != "waiting" else 32
    player.do_submit(JOB_ID, "runs=3" if state == "done" else "runs=100", f"cores={cores}")
    player.do_run("2" if state != "done" else "8")
    if state == "cancelled":
        player.do_cancel(JOB_ID)
    stored_before = dict(player.cluster.store.keys)
    phase = {"waiting": "pending"}.get(state, state)
    bodies = [_spec(**{name: value}) for name, value in WRONG_TYPE.items() if name != "uid"]
    bodies += [_spec(owner="nobody"), _spec(cores=1e6), _spec(shards=3), _spec(cores=math.nan)]
    for body in [*bodies, {"uid": JOB_ID}]:
        response = player.cluster.submit(wire.encode(body))
        assert response.status == 200 and _phase(response) == phase
    assert player.cluster.store.keys == stored_before


def test_a_cancellation_of_what_is_done_or_of_nothing() -> None:
    player = _player()
    player.do_submit(JOB_ID, "runs=2")
    player.do_run("8")
    for _ in range(2):
        response = player.cluster.cancel(JOB_ID)
        assert response.status == 200 and _phase(response) == "done"
    stored_before = dict(player.cluster.store.keys)
    assert player.cluster.cancel("req-000777").status == 404
    assert player.cluster.poll("req-000777").status == 404
    assert player.cluster.store.keys == stored_before and not player.cluster.broken
