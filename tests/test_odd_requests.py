"""Requests that make no sense or come again: each is answered by PROTOCOL and changes nothing."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import pytest
from test_scenarios import ScenarioPlayer

from umberward.protocol import wire
from umberward.protocol.http import Response
from umberward.protocol.wire import JobSpec

ID = "req-000001"
MAY_LACK = ("flavors", "yard", "due_s", "waits_on")
NEEDED = [name for name in JobSpec.__struct_encode_fields__ if name not in MAY_LACK]
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
WRONG: dict[str, Any] = {
    **dict.fromkeys(NUMBERS, "four"),
    **dict.fromkeys(("uid", "jobclass", "owner", "shape", "rank", "bundle", "yard"), 7),
    **dict.fromkeys(("same_place", "apart", "reclaimable"), 1),
    "shards": 1.5,
    "flavors": "small",
}


def _game(**limits: float) -> ScenarioPlayer:
    game = ScenarioPlayer()
    if limits:
        game.do_team(*(f"{name}={value}" for name, value in limits.items()))
    game.do_machine("m1", "small", "a")
    game.do_lead()
    game.do_run("3")
    return game


def _spec(**more: Any) -> dict[str, Any]:
    return {**ScenarioPlayer._spec(None, ID, ()), **more}  # type: ignore[arg-type]


def _sent(game: ScenarioPlayer, spec: dict[str, Any]) -> Response:
    kept = dict(game.cluster.store.keys)
    response = game.cluster.submit(wire.encode(spec))
    if response.status not in (200, 201):
        assert game.cluster.store.keys == kept
    return response


def _phase(response: Response) -> str:
    return str(msgspec.msgpack.decode(response.body)["phase"])


@pytest.mark.parametrize("name", NEEDED)
def test_a_field_is_missing(name: str) -> None:
    spec = _spec()
    del spec[name]
    assert _sent(_game(), spec).status == 400


@pytest.mark.parametrize("name", WRONG)
def test_a_field_is_of_the_wrong_type(name: str) -> None:
    game = _game()
    for value in (WRONG[name], [], {}):
        if (name, value) != ("flavors", []):
            assert _sent(game, _spec(**{name: value})).status == 400
    if name not in MAY_LACK:
        assert _sent(game, _spec(**{name: None})).status == 400


@pytest.mark.parametrize("name", NUMBERS)
@pytest.mark.parametrize("value", [math.inf, -math.inf, math.nan, -1.0])
def test_an_amount_that_is_none(name: str, value: float) -> None:
    assert _sent(_game(), _spec(**{name: value})).status == 400


@pytest.mark.parametrize("shards", [0, -1, 100_001])
def test_a_size_that_is_none(shards: int) -> None:
    assert _sent(_game(), _spec(shards=shards)).status == 400


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
    game = _game(cpus_max=8)
    assert _sent(game, spec).status == 422 and game.cluster.why_unfit(spec)


def test_an_array_larger_than_its_teams_limit_runs_bit_by_bit() -> None:
    spec = _spec(shards=50)
    game = _game(cpus_max=8)
    assert game.cluster.submit(spec).status == 201 and not game.cluster.why_unfit(spec)


@pytest.mark.parametrize("state", ["waiting", "running", "done", "cancelled"])
def test_a_repeat_with_another_body_gets_the_state(state: str) -> None:
    game = _game()
    cores = 4 if state != "waiting" else 32
    game.do_submit(ID, "runs=3" if state == "done" else "runs=100", f"cores={cores}")
    game.do_run("2" if state != "done" else "8")
    if state == "cancelled":
        game.do_cancel(ID)
    kept = dict(game.cluster.store.keys)
    phase = {"waiting": "pending"}.get(state, state)
    bodies = [_spec(**{name: value}) for name, value in WRONG.items() if name != "uid"]
    bodies += [_spec(owner="nobody"), _spec(cores=1e6), _spec(shards=3), _spec(cores=math.nan)]
    for body in [*bodies, {"uid": ID}]:
        response = game.cluster.submit(wire.encode(body))
        assert response.status == 200 and _phase(response) == phase
    assert game.cluster.store.keys == kept


def test_a_cancellation_of_what_is_done_or_of_nothing() -> None:
    game = _game()
    game.do_submit(ID, "runs=2")
    game.do_run("8")
    for _ in range(2):
        response = game.cluster.cancel(ID)
        assert response.status == 200 and _phase(response) == "done"
    kept = dict(game.cluster.store.keys)
    assert game.cluster.cancel("req-000777").status == 404
    assert game.cluster.poll("req-000777").status == 404
    assert game.cluster.store.keys == kept and not game.cluster.broken
