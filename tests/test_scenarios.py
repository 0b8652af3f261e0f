"""The one runner: plays each text file of tests/scenarios.

A line is a verb with its words; '#' starts a comment. A file that begins with `guard NAME` is
played a second time with that guard taken out of the code, and must fail then.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import curio
import msgspec
import pytest
from guards import GUARDS
from world import Worker, World, raw_settings

from umberward.http import Client, NotSent, Request, Response, Server
from umberward.settings import Operator, SettingsError, check
from umberward.types import Address, Instant

FILES = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


class Failed(Exception):
    pass


def _value(text: str) -> Any:
    if text in ("true", "false"):
        return text == "true"
    if text == "null":
        return None
    try:
        number = float(text)
    except ValueError:
        return text.split(",") if "," in text else text
    return int(text) if text.lstrip("-").isdecimal() else number


def _pairs(words: list[str]) -> dict[str, Any]:
    return {name: _value(value) for name, _, value in (word.partition("=") for word in words)}


class Play:
    def __init__(self) -> None:
        self.world = World()
        self.last: Any = None
        self.answers = 0
        self.defaults: dict[str, Any] = {}

    def line(self, text: str) -> None:
        verb, *words = text.split()
        method: Callable[..., None] = getattr(self, f"do_{verb.replace('-', '_')}")
        method(*words)

    # ---- the world ---------------------------------------------------------------------

    def do_guard(self, _: str) -> None:
        pass

    def do_team(self, *words: str) -> None:
        self.world = World(**{k: float(v) for k, v in _pairs(list(words)).items()})

    def do_machine(self, name: str, flavor: str, zone: str, *kind: str) -> None:
        now = self.world.now
        self.world.workers[name] = Worker(name, flavor, zone, "spot" in kind, now, now)

    def do_lead(self) -> None:
        self.world.takeover()

    def do_succeed(self) -> None:
        self.world.succeed()

    def do_restart(self) -> None:
        self.world.restart()

    def do_read_blocks(self) -> None:
        self.world.watching = False
        self.world.take_blocks()

    def do_read_jobs(self) -> None:
        self.world.take_jobs()
        self.world.watching = True

    def do_aim(self, kind: str, job_class: str, within_s: str) -> None:
        """What operators aim at; the leader of now knows it."""
        assert kind == "wait" and self.world.scheduler is not None
        self.world.scheduler.aims[job_class] = (float(within_s), None)

    def do_crash(self) -> None:
        self.world.crash()

    def do_run(self, seconds: str) -> None:
        self.world.run(float(seconds))

    def do_freeze(self, seconds: str) -> None:
        """The leader stands still for so long while its clock runs on."""
        self.world.frozen = True
        self.world.run(float(seconds))
        self.world.frozen = False

    def do_mend(self, id: str) -> None:
        self.world.specs[id]["_mistaken"] = False

    def do_set(self, name: str, flag: str) -> None:
        worker = self.world.workers[name]
        clear = flag.startswith("not-")
        flag = flag.removeprefix("not-")
        if flag not in ("sick", "dead", "cut", "holding", "deaf"):
            raise ValueError(flag)
        if flag == "dead":
            worker.tasks.clear()
        setattr(worker, flag, not clear)

    def do_notice(self, name: str, seconds: str) -> None:
        self.world.workers[name].notice = self.world.now + float(seconds)

    def do_release(self, name: str) -> None:
        self.world.release(name)

    def do_state(self, mode: str) -> None:
        self.world.store.mode = mode

    def do_late(self) -> None:
        self.world.store.deliver_late()

    def do_cloud(self, mode: str) -> None:
        self.world.cloud_up = mode == "up"

    # ---- sockets -----------------------------------------------------------------------

    def do_ask_servers(self, servers: str, sockets: str) -> None:
        """Ask so many servers twice over, with a budget of so many sockets."""

        async def answer(_: Request) -> Response:
            return Response(200)

        async def ask() -> int:
            addresses = [Address("127.0.0.1", 29340 + number) for number in range(int(servers))]
            running = [
                await curio.spawn(Server(address, answer, 8).run, daemon=True)
                for address in addresses
            ]
            await curio.sleep(0.05)
            client = Client(int(sockets))
            count = 0
            for address in addresses + addresses:
                response = await client.request(address, "GET", "/", timeout=0.5)
                count += response.status == 200
            for task in running:
                await task.cancel()
            return count

        self.answers = curio.run(ask)

    def do_ask_too_late(self) -> None:
        """A request that is ready to be sent when its reason no longer holds."""

        async def answer(_: Request) -> Response:
            self.answers += 1
            return Response(200)

        async def ask() -> None:
            address = Address("127.0.0.1", 29390)
            running = await curio.spawn(Server(address, answer, 8).run, daemon=True)
            await curio.sleep(0.05)
            client = Client(4)
            await client.request(address, "POST", "/do", timeout=0.5, still=lambda: True)
            with contextlib.suppress(NotSent):
                await client.request(address, "POST", "/do", timeout=0.5, still=lambda: False)
            await running.cancel()

        curio.run(ask)

    def see_answers(self) -> int:
        return self.answers

    # ---- settings ----------------------------------------------------------------------

    def do_settings(self, field: str, value: str) -> None:
        """The platform's file with this field (JSON) put in: is it refused, and how?"""
        raw: Any = raw_settings()
        *path, last = field.split(".")
        place = raw
        for name in path:
            place = place[name]
        place[last] = msgspec.json.decode(value)
        try:
            check(raw, Operator())
        except SettingsError as error:
            self.last = str(error)
        else:
            self.last = "settings: taken: "

    def see_refused(self) -> str:
        """The field that the message names, or `taken`."""
        assert "\n" not in self.last
        return str(self.last).split(": ")[1]

    # ---- users -------------------------------------------------------------------------

    def _spec(self, id: str, words: tuple[str, ...]) -> dict[str, Any]:
        spec: dict[str, Any] = {
            "uid": id, "jobclass": "x", "owner": "red", "shape": "batch", "rank": "normal",
            "shards": 1, "cores": 2.0, "accelerators": 0.0, "mem_gb": 1.0, "bundle": "img",
            "pull_gb": 1.0, "flavors": None, "yard": None, "same_place": False, "apart": False,
            "reclaimable": False, "expect_s": 10.0, "snapshot_every_s": 0.0,
            "snapshot_cost_s": 0.0, "due_s": None, "_runs": 10.0,
        }  # fmt: skip
        given = _pairs(list(words))
        spec.update({k.replace("runs", "_runs").replace("mistaken", "_mistaken"): v
                     for k, v in given.items()})  # fmt: skip
        if spec["shape"] == "service":
            spec["_runs"] = 1e9
        if isinstance(spec["flavors"], str) and spec["flavors"] != "-":
            spec["flavors"] = [spec["flavors"]]
        for name in [name for name, value in spec.items() if value == "-"]:
            del spec[name]
        return spec

    def do_submit_many(self, first: str, last: str, *words: str) -> None:
        for number in range(int(first), int(last) + 1):
            self.do_submit(f"req-{number:06d}", *words)

    def do_submit(self, id: str, *words: str) -> None:
        self.last = self.world.submit(self._spec(id, words))

    def do_late_cancel(self, id: str) -> None:
        self.world.cancel_elsewhere(id)

    def do_raw(self, text: str) -> None:
        self.last = self.world.submit(bytes.fromhex(text))

    def do_poll(self, id: str) -> None:
        self.last = self.world.poll(id)

    def do_poll_elsewhere_at_once(self, id: str, times: str) -> None:
        responses = self.world.poll_elsewhere_at_once(id, int(times))
        self.answers = sum(response.status == 200 for response in responses)

    def do_poll_across_cancel(self, id: str, seconds: str) -> None:
        self.last = self.world.poll_across_cancel(id, float(seconds))

    def do_cancel(self, id: str) -> None:
        self.last = self.world.cancel(id)

    # ---- expectations ------------------------------------------------------------------

    def do_expect(self, what: str, *words: str) -> None:
        found = getattr(self, f"see_{what.replace('-', '_')}")(*words[:-1])
        if str(found) != words[-1]:
            raise Failed(f"expect {what} {' '.join(words)}: found {found}")

    def see_status(self) -> int:
        return self.last.status

    def see_phase(self) -> str:
        return str(msgspec.msgpack.decode(self.last.body)["phase"])

    def see_retry_after(self) -> bool:
        return self.last.retry_after is not None

    def see_running(self, id: str) -> int:
        return len(self.world.running(id))

    def see_where(self, id: str) -> str:
        return ",".join(sorted(host for _, host in self.world.running(id)))

    def see_starts(self, task: str) -> int:
        return self.world.starts.get(task, 0)

    def see_at_most(self, what: str, *words: str) -> bool:
        """Whether what something cost is within the bound given last."""
        *words_, bound = words
        return int(getattr(self, f"cost_{what}")(*words_)) <= int(bound)

    def cost_polls(self, id: str, times: str) -> int:
        return self.world.poll_at_once(id, int(times))

    def cost_reading(self, seconds: str) -> int:
        return self._counted("read", seconds)

    def cost_searching(self, seconds: str) -> int:
        return self._counted("searches", seconds)

    def cost_probing(self, seconds: str) -> int:
        before = self.world.probes
        self.world.run(float(seconds))
        return self.world.probes - before

    def cost_lookups(self, id: str, times: str) -> int:
        """Requests to the state service for as many polls, one after the other."""
        before = self.world.store.requests
        for _ in range(int(times)):
            assert self.world.poll(id).status == 404
        return self.world.store.requests - before

    def cost_starting(self, id: str, seconds: str) -> int:
        """How often tasks of the job are started in so many seconds."""

        def count() -> int:
            return sum(n for task, n in self.world.starts.items() if task.startswith(id + "/"))

        before = count()
        self.world.run(float(seconds))
        return count() - before

    def _counted(self, name: str, seconds: str) -> int:
        scheduler = self.world.scheduler
        before = getattr(scheduler, name)
        self.world.run(float(seconds))
        return int(getattr(scheduler, name)) - before

    def see_machines(self) -> int:
        return len(self.world.workers)

    def see_returning(self) -> int:
        """How many machines would be returned now."""
        assert self.world.provisioner is not None
        return len(self.world.provisioner.idle(Instant(self.world.now)))

    def see_renting(self, flavor: str) -> int:
        """How many machines of the type would be rented now."""
        assert self.world.provisioner is not None
        rentals = self.world.provisioner.rentals(Instant(self.world.now))
        return sum(rental.many for rental in rentals if rental.offer.type == flavor)

    def see_cut_off(self) -> bool:
        assert self.world.scheduler is not None
        return self.world.scheduler.cut_off(Instant(self.world.now))

    def see_sick(self, name: str) -> bool:
        assert self.world.scheduler is not None
        return self.world.scheduler.machines[name].sick  # type: ignore[index]


def play(path: Path) -> None:
    game = Play()
    for number, line in enumerate(path.read_text().splitlines(), 1):
        text = line.partition("#")[0].strip()
        if not text:
            continue
        try:
            game.line(text)
        except Failed as error:
            raise Failed(f"{path.name}:{number}: {error}") from None
    if game.world.broken:
        raise Failed(f"{path.name}: {game.world.broken[0]}")


def _guard(path: Path) -> str | None:
    for line in path.read_text().splitlines():
        if line.startswith("guard "):
            return line.split()[1]
    return None


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    play(path)


@pytest.mark.parametrize("path", [p for p in FILES if _guard(p)], ids=lambda path: path.stem)
def test_fails_without_its_guard(path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    name = _guard(path)
    assert name is not None
    GUARDS[name](monkeypatch)
    with pytest.raises(Failed):
        play(path)
