"""The load: the same seed asks the same, times count from when a request was due."""

from __future__ import annotations

import time
from pathlib import Path

import curio
import msgspec
from click.testing import CliRunner

from umberward.cli import main as cli
from umberward.core.types import Address
from umberward.load.generator import Generator, Rates, Result, Work, plot
from umberward.local.cluster import free_ports
from umberward.protocol.http import Request, Response, Server


def test_the_same_seed_asks_the_same() -> None:
    some = [list(Generator([], Rates(3.0, 5.0), Work(), seed).arrivals(20.0)) for seed in (1, 1, 2)]
    assert some[0] == some[1] != some[2]
    assert 100 < len(some[0]) < 230  # 8 a second for 20 s
    assert {kind for _, kind in some[0]} == {"submit", "poll"}


async def against_a_stalling_server() -> tuple[Result, Generator]:
    """It stands still for 0.6 s; who waits for answers before asking on would hardly notice."""
    began = time.monotonic()

    async def serve(_: Request) -> Response:
        if time.monotonic() - began < 0.6:
            await curio.sleep(0.6 - (time.monotonic() - began))
        return Response(201)

    address: Address = free_ports(1)[0]
    running = await curio.spawn(Server(address, serve, 500).run, daemon=True)
    await curio.sleep(0.05)
    made = Generator([address], Rates(submit=100.0), Work(), 3)
    result = await made.run(1.0)
    await running.cancel()
    return result, made


def test_a_stall_shows_in_full(tmp_path: Path) -> None:
    result, made = curio.run(against_a_stalling_server)
    figures = result.kinds["submit"]
    assert figures.statuses == {"201": figures.sent} and figures.sent > 60
    assert figures.ms["p99"] > 450 and figures.ms["p90"] > 200
    plot(made, str(tmp_path / "times.svg"))
    assert (tmp_path / "times.svg").stat().st_size > 2000


def test_what_nobody_answers_is_counted(tmp_path: Path) -> None:
    nobody = str(free_ports(1)[0])
    path = tmp_path / "figures.json"
    words = ["load", "--server", nobody, "--seconds", "0.5", "--submit", "20", "--save", str(path)]
    result = CliRunner().invoke(cli.main, words)
    assert result.exit_code == 0 and "not reached" in result.output
    found = msgspec.json.decode(path.read_bytes(), type=Result)
    assert set(found.kinds["submit"].statuses) == {"not reached"}
    assert found.kinds["poll"].statuses == {"nothing to ask about": found.kinds["poll"].sent}
    words = ["load", "--server", nobody, "--plot", "x.pdf"]
    assert "expected FILE.svg or FILE.png" in CliRunner().invoke(cli.main, words).output
