"""Record of the start commands that a worker may still execute. No I/O.

A direct command may be executed at any later time while its fencing token and incarnation match
(PROTOCOL, "Delayed messages"). A worker that has the attempt, exited or not, ignores a late start;
one that was told to forget the attempt starts it again. So every decision that relies on an attempt
being gone for good consults this record, and an attempt counts as gone only when its starts are
*known* to be answered or void.

An entry is added when a start is handed to the command sender. It is removed only on a response,
the certainty that nothing was sent, a higher token seen by the worker, or the end of the session
(the end of the machine included); never on a timeout. There are at most as many entries as starts
were sent in the session under the current token.
"""

from __future__ import annotations

from collections.abc import Iterator

from umberward.core.types import Attempt, FencingToken, TaskId

AttemptKey = tuple[TaskId, Attempt]


class _AttemptStarts:
    """The direct starts of one attempt that may still be executed."""

    __slots__ = ("outstanding", "timed_out_token")

    def __init__(self) -> None:
        # Starts handed to the command sender that are not answered or timed out yet.
        self.outstanding = 0
        # The highest token of a start that timed out; None: none did.
        self.timed_out_token: FencingToken | None = None


class InflightStarts:
    """The starts in flight to one machine in the worker's current session."""

    def __init__(self) -> None:
        """Start with an empty record."""
        self._starts: dict[AttemptKey, _AttemptStarts] = {}

    def __iter__(self) -> Iterator[AttemptKey]:
        """Iterate over the attempts that have a start that may still be executed."""
        return iter(self._starts)

    def __len__(self) -> int:
        """Return the number of these attempts."""
        return len(self._starts)

    def sent(self, task_id: TaskId, attempt: Attempt) -> None:
        """Record that a start was handed to the command sender."""
        self._starts.setdefault((task_id, attempt), _AttemptStarts()).outstanding += 1

    def answered(self, task_id: TaskId, attempt: Attempt) -> None:
        """Record that one of the starts was answered, or is certain not to have been sent."""
        starts = self._starts.get((task_id, attempt))
        if starts is not None and starts.outstanding > 0:
            starts.outstanding -= 1
            self._remove_if_resolved((task_id, attempt), starts)

    def timed_out(
        self,
        task_id: TaskId,
        attempt: Attempt,
        token: FencingToken,
        highest_token_seen: FencingToken,
    ) -> None:
        """Record that one of the starts had no response in time.

        It was sent under `token`; `highest_token_seen` is the highest token that the worker has
        seen.
        """
        starts = self._starts.get((task_id, attempt))
        if starts is None or not starts.outstanding:
            return
        starts.outstanding -= 1
        if token >= highest_token_seen:
            starts.timed_out_token = max(token, starts.timed_out_token or token)
        self._remove_if_resolved((task_id, attempt), starts)

    def token_seen(self, token: FencingToken) -> None:
        """Record that the worker has seen this token, which voids starts under a lower one."""
        for key, starts in list(self._starts.items()):
            if starts.timed_out_token is not None and starts.timed_out_token < token:
                starts.timed_out_token = None
                self._remove_if_resolved(key, starts)

    def incarnation_ended(self) -> None:
        """Clear the record: the worker refuses commands for an earlier session."""
        self._starts.clear()

    def may_arrive(self, task_id: TaskId, attempt: Attempt) -> bool:
        """Whether a start of this attempt may still be executed."""
        return (task_id, attempt) in self._starts

    def timed_out_start_valid_under(
        self, task_id: TaskId, attempt: Attempt, token: FencingToken
    ) -> bool:
        """Whether a start has timed out that a worker with the token `token` would still accept."""
        starts = self._starts.get((task_id, attempt))
        if starts is None or starts.timed_out_token is None:
            return False
        return starts.timed_out_token >= token

    def _remove_if_resolved(self, key: AttemptKey, starts: _AttemptStarts) -> None:
        if starts.outstanding <= 0 and starts.timed_out_token is None:
            del self._starts[key]
