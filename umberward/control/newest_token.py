"""The newest fencing token that a controller has heard of from its peers. For the log only."""

from __future__ import annotations


class NewestToken:
    """The highest token, and since when at the latest it was the leader's."""

    def __init__(self) -> None:
        """No token has been heard of."""
        self.token = 0
        self.known_at: float | None = None  # by this controller's monotonic clock, in seconds

    def note(self, token: object, asked_at: float) -> None:
        """A peer that was asked at `asked_at` says that it leads with this token.

        0 if it does not lead; ignored if invalid.
        """
        if isinstance(token, int) and token > 0 and token >= self.token:
            self.token, self.known_at = token, asked_at
