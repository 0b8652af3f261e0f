"""Each guard of the rules, and how it is taken out: the scenario that names it must fail then."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from umberward import blame, hints, mirror, placement, scheduler, users
from umberward.blame import Blame
from umberward.http import Client
from umberward.jobs import Job
from umberward.mirror import Mirror
from umberward.quota import Quota
from umberward.scheduler import Scheduler
from umberward.thrift import Thrift
from umberward.types import JobId
from umberward.users import Users
from umberward.writer import Writer

Patch = Callable[[pytest.MonkeyPatch], None]


def lease_wait(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(scheduler, "MARGIN_S", -8.0)


def settle_first(patch: pytest.MonkeyPatch) -> None:
    whole = Scheduler.load_done

    def load_done(self: Scheduler) -> None:
        whole(self)
        self.all_settled = True
        for job in self.jobs.values():
            job.settle()

    patch.setattr(Scheduler, "load_done", load_done)


def settle_again(patch: pytest.MonkeyPatch) -> None:
    whole = Scheduler.load_done

    def load_done(self: Scheduler) -> None:
        settled = [machine for machine in self.machines.values() if machine.settled]
        whole(self)
        for machine in settled:
            machine.settled = True

    patch.setattr(Scheduler, "load_done", load_done)


def token_first(patch: pytest.MonkeyPatch) -> None:
    whole = Scheduler.__init__

    def init(self: Scheduler, *args: Any) -> None:
        whole(self, *args)
        self.term = 0  # type: ignore[assignment]

    patch.setattr(Scheduler, "__init__", init)


def forget_after_commit(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Job, "is_saved", lambda self, index: True)


def unanswered_start(patch: pytest.MonkeyPatch) -> None:
    whole = Scheduler.commanded

    def commanded(self: Scheduler, command: Any, report: Any, unknown: bool, now: Any) -> None:
        whole(self, command, report, False, now)

    patch.setattr(Scheduler, "commanded", commanded)


def quota_room(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Quota, "room", lambda *_: 1000)


def quota_unsure(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Scheduler, "_unsure_usage", lambda _: {})


def allowed(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Scheduler, "allowed", lambda *_: True)


def apart(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        scheduler,
        "best_fit",
        lambda need, count, rooms, distinct, left=None: placement.best_fit(
            need, count, rooms, distinct
        ),
    )


def same_place(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        Scheduler,
        "_choose_zone",
        lambda self, job, count, rooms, taken: placement.best_fit(job.need, count, rooms, 1),
    )


def kill_cancelled(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Scheduler, "job_gone", lambda *_: None)


def complete_first(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Job, "complete", property(lambda self: self.done >= self.size - 1))


def standing(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Quota, "fits_guarantee", lambda *_: False)


def past_lookup(patch: pytest.MonkeyPatch) -> None:
    async def state(self: Mirror, id: Any) -> Any:
        await self._refresh()
        return self.live.get(id)

    patch.setattr(Mirror, "state", state)
    patch.setattr(Mirror, "keep", lambda self, id, final: None)


def known_first(patch: pytest.MonkeyPatch) -> None:
    """Every job is taken for one that was submitted."""

    async def known(self: Users, id: Any) -> Any:
        return users._state(id or JobId("req-0"), "pending", 0)

    patch.setattr(Users, "_known", known)


def mark_first(patch: pytest.MonkeyPatch) -> None:
    def job_marked(self: Writer, batch: Any, *_: Any) -> None:
        # The start goes out, but its mark never reaches the state service.
        for job, marked, _, final in batch.jobs:
            if not final:
                job.marked = marked
                self.marked(job)
        for number, hosts in batch.blocks:
            self.block_stored(number, set(hosts))  # type: ignore[arg-type]

    patch.setattr(Writer, "committed", job_marked)

    from world import FakeState

    async def commit(self: FakeState, conditions: Any, writes: Any, **_: Any) -> Any:
        kept = [w for w in writes if not str(w.get("write", "")).startswith("jobs/live")]
        if "0" not in [str(stamp) for _, stamp in conditions]:
            writes = kept
        self.apply([], writes)
        return self.revision

    patch.setattr(FakeState, "commit", commit)


def own_silence(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Scheduler, "wake", lambda *_: None)


def fresh_answers(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(mirror, "STALE_S", 1e9)


def absent_known(patch: pytest.MonkeyPatch) -> None:
    async def state(self: Mirror, id: Any) -> Any:
        self.absent.clear()
        return await whole(self, id)

    whole = Mirror.state
    patch.setattr(Mirror, "state", state)


def look_up_first(patch: pytest.MonkeyPatch) -> None:
    """A look-up in progress is taken for its result."""
    patch.setattr(mirror, "Lookup", lambda: mirror.NOT_FOUND)


def ask_again(patch: pytest.MonkeyPatch) -> None:
    whole = Client.request

    async def request(self: Client, *args: Any, still: Any = None, **named: Any) -> Any:
        return await whole(self, *args, **named)

    patch.setattr(Client, "request", request)


def blame_jobs(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(blame, "MISTAKEN_AFTER", 1 << 30)


def blame_undone(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Blame, "_clear", lambda *_: None)


def ever_rarer(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Blame, "_hold", lambda *_: None)


def hints_kept(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(hints, "recall", lambda *_: None)


def deaf(patch: pytest.MonkeyPatch) -> None:
    # As it was: any machine that is heard speaks for our own ears.
    patch.setattr(Scheduler, "deaf", lambda *_: False)
    patch.setattr(scheduler, "DEAF_MARGIN_S", 4.0)


def few_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(scheduler, "FEW_PART", 1.0)


def thrift(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Thrift, "move", lambda *_: None)


GUARDS: dict[str, Patch] = {
    "lease-wait": lease_wait,
    "settle-first": settle_first,
    "settle-again": settle_again,
    "token-first": token_first,
    "forget-after-commit": forget_after_commit,
    "unanswered-start": unanswered_start,
    "quota-room": quota_room,
    "quota-unsure": quota_unsure,
    "allowed": allowed,
    "apart": apart,
    "same-place": same_place,
    "kill-cancelled": kill_cancelled,
    "complete-first": complete_first,
    "mark-first": mark_first,
    "standing": standing,
    "past-lookup": past_lookup,
    "known-first": known_first,
    "thrift": thrift,
    "deaf": deaf,
    "few-at-once": few_at_once,
    "hints-kept": hints_kept,
    "own-silence": own_silence,
    "fresh-answers": fresh_answers,
    "absent-known": absent_known,
    "ask-again": ask_again,
    "look-up-first": look_up_first,
    "blame-jobs": blame_jobs,
    "blame-undone": blame_undone,
    "ever-rarer": ever_rarer,
}
