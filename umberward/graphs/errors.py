"""Errors in answering requests about graphs."""

from __future__ import annotations


class GraphRejectedError(Exception):
    """A request about a graph cannot be served as it is; its text goes to the user."""

    def __init__(self, status: int, text: str) -> None:
        """Create an error that is answered with the HTTP status code `status`."""
        super().__init__(text)
        self.status = status
