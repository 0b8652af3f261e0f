"""Record of the direct starts that a worker may still execute. No I/O.

A direct command may be executed at any later time while its fencing token and incarnation match
(PROTOCOL, "Delayed messages"), and a copy of it even after it was executed and answered. A worker
that has the attempt, exited or not, ignores a start; one that was told to forget the attempt starts
it again. So every decision that relies on an attempt being gone for good consults this record, and
neither an answer nor a timeout removes an entry.

An entry is added when a start is handed to the command sender. It is removed only by a higher token
seen by the worker, the certainty that nothing was sent, or the end of the session (the end of the
machine included). There are at most as many entries as starts were sent in the session under the
worker's current token.
"""

from __future__ import annotations

from collections.abc import Iterator

from umberward.core.types import Attempt, FencingToken, TaskId

AttemptKey = tuple[TaskId, Attempt]


class _AttemptStarts:
    """The direct starts of one attempt that may still be executed."""

    __slots__ = ("outstanding", "token")

    def __init__(self) -> None:
        # Starts handed to the command sender that are neither answered nor timed out yet.
        self.outstanding = 0
        # The highest token of a start that was answered or timed out; None: none, or they are void.
        self.token: FencingToken | None = None


class InflightStarts:
    """The starts that may still reach one machine in the worker's current session."""

    def __init__(self) -> None:
        """Start with an empty record."""
        self._starts: dict[AttemptKey, _AttemptStarts] = {}
        self._outstanding = 0

    def __iter__(self) -> Iterator[AttemptKey]:
        """Iterate over the attempts that have a start that may still be executed."""
        return iter(self._starts)

    def __len__(self) -> int:
        """Return the number of these attempts."""
        return len(self._starts)

    @property
    def awaits_response(self) -> bool:
        """Whether a start is queued or sent, and neither answered nor timed out."""
        return self._outstanding > 0

    def sent(self, task_id: TaskId, attempt: Attempt) -> None:
        """Record that a start was handed to the command sender."""
        self._starts.setdefault((task_id, attempt), _AttemptStarts()).outstanding += 1
        self._outstanding += 1

    def not_sent(self, task_id: TaskId, attempt: Attempt) -> None:
        """Record that one of the starts is certain not to have been sent."""
        starts = self._take_outstanding(task_id, attempt)
        if starts is not None:
            self._remove_if_void((task_id, attempt), starts)

    def completed(
        self,
        task_id: TaskId,
        attempt: Attempt,
        token: FencingToken,
        highest_token_seen: FencingToken,
    ) -> None:
        """Record that one of the starts was answered or had no response in time.

        It was sent under `token`; `highest_token_seen` is the highest token that the worker has
        seen.
        """
        starts = self._take_outstanding(task_id, attempt)
        if starts is None:
            return
        if token >= highest_token_seen:
            starts.token = max(token, starts.token or token)
        self._remove_if_void((task_id, attempt), starts)

    def token_seen(self, token: FencingToken) -> None:
        """Record that the worker has seen this token, which voids starts under a lower one."""
        for key, starts in list(self._starts.items()):
            if starts.token is not None and starts.token < token:
                starts.token = None
                self._remove_if_void(key, starts)

    def incarnation_ended(self) -> None:
        """Clear the record: the worker refuses commands for an earlier session."""
        self._starts.clear()
        self._outstanding = 0

    def may_arrive(self, task_id: TaskId, attempt: Attempt) -> bool:
        """Whether a start of this attempt may still be executed."""
        return (task_id, attempt) in self._starts

    def is_void_under(self, task_id: TaskId, attempt: Attempt, token: FencingToken) -> bool:
        """Whether a worker that has seen `token` refuses every start of this attempt."""
        starts = self._starts.get((task_id, attempt))
        if starts is None:
            return True
        return not starts.outstanding and (starts.token is None or starts.token < token)

    def _take_outstanding(self, task_id: TaskId, attempt: Attempt) -> _AttemptStarts | None:
        """Return the attempt's starts with one outstanding start less; None if there is none."""
        starts = self._starts.get((task_id, attempt))
        if starts is None or not starts.outstanding:
            return None
        starts.outstanding -= 1
        self._outstanding -= 1
        return starts

    def _remove_if_void(self, key: AttemptKey, starts: _AttemptStarts) -> None:
        if starts.outstanding <= 0 and starts.token is None:
            del self._starts[key]
