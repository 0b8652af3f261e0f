"""The starts that a worker may still execute late: one record for every module to consult. No I/O.

A direct command may be executed at any later time, as long as its fencing token and incarnation
still match (PROTOCOL, "Delayed messages"). A worker that already has the attempt, exited or not,
ignores a late start; one that was told to forget it starts it again. So every decision that relies
on an attempt being gone for good consults this record, and an attempt counts as gone only when its
starts are *known* to be answered or void.

An entry begins when a start is handed to the sender. It ends with a known event only: a response,
the certainty that nothing was sent, a higher token seen by the worker, or the end of the session
(with which the end of the machine counts). A timeout ends nothing. There are at most as many
entries as starts were sent in a session under the current token.
"""

from __future__ import annotations

from collections.abc import Iterator

from umberward.core.types import Attempt, FencingToken, TaskId

AttemptKey = tuple[TaskId, Attempt]


class _AttemptStarts:
    """The direct starts of one attempt that may still be executed."""

    __slots__ = ("awaited", "timed_out_token")

    def __init__(self) -> None:
        self.awaited = 0  # handed to the sender, without a response so far
        # The highest token of those that timed out; None: none did.
        self.timed_out_token: FencingToken | None = None


class InflightStarts:
    """The starts in flight to one machine, for the worker's current session."""

    def __init__(self) -> None:
        """Begin without starts."""
        self._starts: dict[AttemptKey, _AttemptStarts] = {}

    def __iter__(self) -> Iterator[AttemptKey]:
        """Iterate over the attempts of which a start may still be executed."""
        return iter(self._starts)

    def __len__(self) -> int:
        """Return the number of these attempts."""
        return len(self._starts)

    def sent(self, task_id: TaskId, attempt: Attempt) -> None:
        """Note that a start was handed to the sender."""
        self._starts.setdefault((task_id, attempt), _AttemptStarts()).awaited += 1

    def answered(self, task_id: TaskId, attempt: Attempt) -> None:
        """Note that one of the starts was answered, or was certainly not sent."""
        starts = self._starts.get((task_id, attempt))
        if starts is not None and starts.awaited > 0:
            starts.awaited -= 1
            self._drop_if_settled((task_id, attempt), starts)

    def timed_out(
        self, task_id: TaskId, attempt: Attempt, token: FencingToken, highest_seen: FencingToken
    ) -> None:
        """Note that one of the starts had no response in time.

        It was sent under `token`; `highest_seen` is the highest token that the worker has seen.
        """
        starts = self._starts.get((task_id, attempt))
        if starts is None or not starts.awaited:
            return
        starts.awaited -= 1
        if token >= highest_seen:
            starts.timed_out_token = max(token, starts.timed_out_token or token)
        self._drop_if_settled((task_id, attempt), starts)

    def token_seen(self, token: FencingToken) -> None:
        """Note that the worker has seen this token: starts sent under a lower one are void."""
        for key, starts in list(self._starts.items()):
            if starts.timed_out_token is not None and starts.timed_out_token < token:
                starts.timed_out_token = None
                self._drop_if_settled(key, starts)

    def incarnation_ended(self) -> None:
        """Note the end of the session: the worker refuses commands for an earlier one."""
        self._starts.clear()

    def may_arrive(self, task_id: TaskId, attempt: Attempt) -> bool:
        """Whether a start of this attempt may still be executed."""
        return (task_id, attempt) in self._starts

    def valid_under(self, task_id: TaskId, attempt: Attempt, token: FencingToken) -> bool:
        """Whether a start timed out that a worker which has seen `token` would still accept."""
        starts = self._starts.get((task_id, attempt))
        if starts is None or starts.timed_out_token is None:
            return False
        return starts.timed_out_token >= token

    def _drop_if_settled(self, key: AttemptKey, starts: _AttemptStarts) -> None:
        if starts.awaited <= 0 and starts.timed_out_token is None:
            del self._starts[key]
