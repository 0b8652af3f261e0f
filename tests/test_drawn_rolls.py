"""Drawn rolls (`tools.regress.rolls`) on simulated controllers: no rule is broken."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Any

import pytest
from simulated_controllers import Question, SimulatedControllers
from test_scenarios import ScenarioPlayer

from tools.regress.rolls import DURATION_S, RESTART_S, draw_roll
from umberward.local.links import LATE, LinkFault

SHAPES = ("shape=batch", "shape=ensemble", "shape=service")
SUBMISSION_INTERVAL_S, REPETITION_INTERVAL_S = 4.0, 0.3
MOST_LIVE_JOBS = 5
PIPELINE_SHARE = 0.3  # of the jobs wait for another
REQUEST_GAP_S = 0.01
LOOKUP_S = (0.0, 0.1)
STEP_S = 0.1
# What `_repeat_requests` does throughout, and jobs that are cancelled as they end.
PLAYED_THROUGHOUT = ("close_looks", "odd_requests", "cancel_at_end")
SETTLED_S = 60.0


class PlayedRoll:
    """Plays a drawn roll, while users submit, cancel, and repeat requests for ended jobs."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.world = SimulatedControllers(3, seed, rent=2)
        self.due: list[tuple[float, Callable[[], object]]] = []

    def play(self, day: dict[str, Any]) -> None:
        for name in self.world.names:
            self.world.start(name)
        for machine in ("m1", "m2", "m3"):
            self.world.machine(machine, "small", "a")
        # So that requests overlap with the lookups of others.
        self.world.network.links.faults["slow lookups"] = LinkFault(
            "state", "*", LATE, "/kv/", *LOOKUP_S
        )
        for fault in day["faults"]:
            if fault["kind"] not in PLAYED_THROUGHOUT:
                self._in(fault["at_s"], partial(getattr(self, f"_{fault['kind']}"), fault))
        self._in(2.0, self._submit)
        self._in(5.0, self._repeat_requests)
        self._run_until(self.world.now + DURATION_S)
        self.due.clear()
        faults = self.world.network.links.faults
        for key in [key for key in faults if not key.startswith("gone ")]:
            del faults[key]
        self.world.state.set_down(False)
        for name in self.world.names:
            self._start(name)
        self.world.run(SETTLED_S)
        self.world.known_by_all()

    def _in(self, delay_s: float, action: Callable[[], object]) -> None:
        self.due.append((self.world.now + delay_s, action))

    def _run_until(self, end: float) -> None:
        while self.world.now < end:
            self.world.run(STEP_S)
            for item in [item for item in self.due if item[0] <= self.world.now]:
                self.due.remove(item)
                item[1]()

    # ---- faults ------------------------------------------------------------------------

    def _node_roll(self, fault: dict[str, Any]) -> None:
        for number, name in enumerate(self.world.names):
            self._in(number * fault["every_s"], partial(self._restart, [name]))

    def _node_crash(self, fault: dict[str, Any]) -> None:
        order = self.rng.sample(self.world.names, len(self.world.names))
        if fault["busiest"]:  # the leader first
            order.sort(key=lambda name: name != self.world.leader())
        self._restart(order[: fault["count"]])

    def _restart(self, names: list[str]) -> None:
        for name in names:
            self.world.crash(name)
            self._in(RESTART_S, partial(self._start, name))

    def _start(self, name: str) -> None:
        if name not in self.world.nodes:
            self.world.start(name)

    def _state_outage(self, fault: dict[str, Any]) -> None:
        self.world.state.set_down(True)
        self._in(fault["for_s"], partial(self.world.state.set_down, False))

    def _node_cut(self, fault: dict[str, Any]) -> None:
        leader = self.world.leader() or self.world.names[0]
        self._fail_link(LinkFault(leader, "state", "refuse"), fault["for_s"])

    def _machine_deaf(self, fault: dict[str, Any]) -> None:
        self._fail_link(LinkFault("*", "m1", "lost"), fault["for_s"])

    def _late_writes(self, fault: dict[str, Any]) -> None:
        lost = LinkFault("state", "*", "lost", "/commit", share=fault["share"])
        self._fail_link(lost, fault["for_s"])

    def _fail_link(self, link_fault: LinkFault, for_s: float) -> None:
        key = f"{link_fault} {self.world.now}"
        self.world.network.links.faults[key] = link_fault
        self._in(for_s, partial(self.world.network.links.faults.pop, key))

    # ---- users -------------------------------------------------------------------------

    def _cancel_now(self, _: dict[str, Any]) -> None:
        running = sorted(
            {task.split("/")[0] for w in self.world.workers.values() for task in w.running_tasks}
        )
        for job in running:
            self.world.cancel(job, self.rng.choice(self.world.names))
        self._note_cancelled_dependents()

    def _note_cancelled_dependents(self) -> None:
        """Jobs that wait for a job that a user cancels are cancelled with it."""
        for job, spec in self.world.specs.items():  # in the order of submission
            if self.world.requested.intersection(spec.get("waits_on", ())):
                self.world.requested.add(job)

    def _submit(self) -> None:
        self._in(SUBMISSION_INTERVAL_S, self._submit)
        if len(self.world.specs) - len(self.world.cancelled) > MOST_LIVE_JOBS:
            self._cancel_now({})
        words = [f"shards={self.rng.randint(1, 3)}", f"runs={self.rng.choice((2.0, 12.0))}"]
        finite = [job for job in self.world.submitted if not self._is_service(job)]
        if finite and self.rng.random() < PIPELINE_SHARE:
            words.append(f"waits_on={self.rng.choice(finite)}")
        spec = ScenarioPlayer._spec(
            None,  # type: ignore[arg-type]
            f"req-{len(self.world.specs) + 1:06}",
            (*words, "cores=1", self.rng.choice(SHAPES)),
        )
        self.world.specs[spec["uid"]] = spec
        self._note_cancelled_dependents()
        self.world.submit(spec, self.rng.choice(self.world.names))

    def _is_service(self, job: str) -> bool:
        return bool(self.world.specs[job]["shape"] == "service")

    def _repeat_requests(self) -> None:
        """Overlapping requests for a job, at one controller, as it may just have been started."""
        self._in(REPETITION_INTERVAL_S, self._repeat_requests)
        if not self.world.submitted:
            return
        job = self.rng.choice(sorted(self.world.submitted))
        name = self.rng.choice(self.world.names)
        questions: list[Question] = [
            ("submit", self.world.specs[job], name),
            ("poll", job, name),
            ("poll", job, name),
        ]
        self.rng.shuffle(questions)
        self.world.together(questions, REQUEST_GAP_S)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_rule_is_broken_while_controllers_are_restarted_in_turn_and_end(seed: int) -> None:
    played = PlayedRoll(seed)
    with played.world.playing():
        played.play(draw_roll(3, seed, upgrade=False))
    assert played.world.broken == []
    assert played.world.submitted and played.world.cancelled
