"""Errors about the content of graphs and about requests for them."""

from __future__ import annotations


class GraphRejectedError(Exception):
    """A request about a graph cannot be served as it is; its text goes to the user."""

    def __init__(self, status: int, text: str) -> None:
        """Create an error that is answered with the HTTP status code `status`."""
        super().__init__(text)
        self.status = status


class MalformedGraphError(ValueError):
    """Tasks that form no graph, or that need what no machine has."""


class DuplicateNameError(MalformedGraphError):
    """Two tasks of a graph have the same name."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("doubled names")


class UnknownNeedError(MalformedGraphError):
    """A task needs a name that no task of its graph has."""

    def __init__(self, name: str) -> None:
        """Create an error about the missing `name`."""
        super().__init__(f"unknown name {name!r}")


class CyclicGraphError(MalformedGraphError):
    """Some tasks need each other."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("a cycle")


class UnknownResourceError(MalformedGraphError):
    """A task asks for a resource that no machine has."""

    def __init__(self, name: str) -> None:
        """Create an error about the resource `name`."""
        super().__init__(f"resources: no machine has {name!r}; known are type:NAME, zone:NAME")
