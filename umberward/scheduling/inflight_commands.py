"""The starts that a worker may still carry out late: one record for all who have to know. No I/O.

A direct command may be executed at any later time, as long as its token and session still match
(PROTOCOL, "Delayed messages"). A worker that has such an attempt, exited or not, takes no notice of
the late start; one that was told to forget it starts it again. So everything that rests on an
attempt being gone for good asks this record, and it counts as gone only when its starts are *known*
to be answered or void.

An entry begins when a start is handed to the sender. It ends by a known event only: an answer, the
certainty that nothing was sent, a higher token seen by the worker, or the end of the session (with
which the machine's end counts). Giving up on an answer ends nothing. There are at most as many
entries as starts were sent in a session under the token of now.
"""

from __future__ import annotations

from collections.abc import Iterator

from umberward.core.types import Attempt, FencingToken, TaskId

AttemptKey = tuple[TaskId, Attempt]


class _AttemptStarts:
    """The direct starts of one attempt that may still be carried out."""

    __slots__ = ("awaited", "timed_out_token")

    def __init__(self) -> None:
        self.awaited = 0  # handed to the sender, without an answer so far
        # The highest token of those whose answer nobody waits for any more; None: there is none.
        self.timed_out_token: FencingToken | None = None


class InflightStarts:
    """The record of one machine, for the worker's session of now."""

    def __init__(self) -> None:
        self._starts: dict[AttemptKey, _AttemptStarts] = {}

    def __iter__(self) -> Iterator[AttemptKey]:
        """The attempts of which a start may still be carried out."""
        return iter(self._starts)

    def __len__(self) -> int:
        return len(self._starts)

    def sent(self, task: TaskId, attempt: Attempt) -> None:
        """A start was handed to the sender."""
        self._starts.setdefault((task, attempt), _AttemptStarts()).awaited += 1

    def answered(self, task: TaskId, attempt: Attempt) -> None:
        """One of them was answered, or was certainly not sent."""
        starts = self._starts.get((task, attempt))
        if starts is not None and starts.awaited > 0:
            starts.awaited -= 1
            self._drop_if_over((task, attempt), starts)

    def timed_out(
        self, task: TaskId, attempt: Attempt, token: FencingToken, highest_seen: FencingToken
    ) -> None:
        """One of them, sent under `token`, had no answer in time; `highest_seen`: by the worker."""
        starts = self._starts.get((task, attempt))
        if starts is None or not starts.awaited:
            return
        starts.awaited -= 1
        if token >= highest_seen:
            starts.timed_out_token = max(token, starts.timed_out_token or token)
        self._drop_if_over((task, attempt), starts)

    def token_seen(self, token: FencingToken) -> None:
        """The worker has seen this token: what was sent under a lower one is void."""
        for key, starts in list(self._starts.items()):
            if starts.timed_out_token is not None and starts.timed_out_token < token:
                starts.timed_out_token = None
                self._drop_if_over(key, starts)

    def incarnation_ended(self) -> None:
        """Commands for an earlier session are refused by the worker."""
        self._starts.clear()

    def may_arrive(self, task: TaskId, attempt: Attempt) -> bool:
        """Whether a start of this attempt may still be carried out."""
        return (task, attempt) in self._starts

    def valid_under(self, task: TaskId, attempt: Attempt, token: FencingToken) -> bool:
        """Whether a start was given up that a worker would still accept that has seen `token`."""
        starts = self._starts.get((task, attempt))
        if starts is None or starts.timed_out_token is None:
            return False
        return starts.timed_out_token >= token

    def _drop_if_over(self, key: AttemptKey, starts: _AttemptStarts) -> None:
        if starts.awaited <= 0 and starts.timed_out_token is None:
            del self._starts[key]
