"""The load generator: seeds reproduce arrivals, and times count from when a request was due."""

from __future__ import annotations

import time
from pathlib import Path

import curio
import msgspec
from click.testing import CliRunner

from umberward.cli import main as cli
from umberward.core.types import Address
from umberward.load.generator import Generator, Rates, Result, Workload, plot
from umberward.local.cluster import free_ports
from umberward.protocol.http import Request, Response, Server


def test_arrivals_are_reproducible_by_seed() -> None:
    arrivals = [
        list(Generator([], Rates(3.0, 5.0), Workload(), seed).arrivals(20.0)) for seed in (1, 1, 2)
    ]
    assert arrivals[0] == arrivals[1] != arrivals[2]
    assert 100 < len(arrivals[0]) < 230  # 8 per second for 20 s
    assert {kind for _, kind in arrivals[0]} == {"submit", "poll"}


async def load_a_stalling_server() -> tuple[Result, Generator]:
    """The server stalls for 0.6 s; a load that waits for each response would hardly show that."""
    started_at = time.monotonic()

    async def serve(_: Request) -> Response:
        if time.monotonic() - started_at < 0.6:
            await curio.sleep(0.6 - (time.monotonic() - started_at))
        return Response(201)

    address: Address = free_ports(1)[0]
    running = await curio.spawn(Server(address, serve, 500).run, daemon=True)
    await curio.sleep(0.05)
    generator = Generator([address], Rates(submit=100.0), Workload(), 3)
    result = await generator.run(1.0)
    await running.cancel()
    return result, generator


def test_response_times_include_a_stall(tmp_path: Path) -> None:
    result, generator = curio.run(load_a_stalling_server)
    stats = result.kinds["submit"]
    assert stats.statuses == {"201": stats.sent} and stats.sent > 60
    assert stats.ms["p99"] > 450 and stats.ms["p90"] > 200
    plot(generator, str(tmp_path / "times.svg"))
    assert (tmp_path / "times.svg").stat().st_size > 2000


def test_unreachable_controllers_are_counted(tmp_path: Path) -> None:
    nobody = str(free_ports(1)[0])
    path = tmp_path / "figures.json"
    args = ["load", "--server", nobody, "--seconds", "0.5", "--submit", "20", "--save", str(path)]
    result = CliRunner().invoke(cli.main, args)
    assert result.exit_code == 0 and "not reached" in result.output
    saved = msgspec.json.decode(path.read_bytes(), type=Result)
    assert set(saved.kinds["submit"].statuses) == {"not reached"}
    assert saved.kinds["poll"].statuses == {"nothing to ask about": saved.kinds["poll"].sent}
    args = ["load", "--server", nobody, "--plot", "x.pdf"]
    assert "expected FILE.svg or FILE.png" in CliRunner().invoke(cli.main, args).output
