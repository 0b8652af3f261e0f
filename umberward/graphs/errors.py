"""Errors in the content of graphs and in requests about them."""

from __future__ import annotations


class GraphRejectedError(Exception):
    """A request about a graph is rejected; the error text is sent to the user."""

    def __init__(self, status: int, text: str) -> None:
        """Create an error that is answered with the HTTP status code `status`."""
        super().__init__(text)
        self.status = status


class MalformedGraphError(ValueError):
    """The tasks form no valid graph, or need a resource that no machine has."""


class DuplicateNameError(MalformedGraphError):
    """Two tasks of a graph have the same name."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("duplicate task names")


class UnknownNeedError(MalformedGraphError):
    """A task needs a task that its graph does not contain."""

    def __init__(self, name: str) -> None:
        """Create an error about the unknown task `name`."""
        super().__init__(f"a need is no task of the graph: {name!r}")


class CyclicGraphError(MalformedGraphError):
    """The needs of some tasks form a cycle."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("the needs of the tasks form a cycle")


class UnknownResourceError(MalformedGraphError):
    """A task asks for a resource that no machine has."""

    def __init__(self, name: str) -> None:
        """Create an error about the resource `name`."""
        super().__init__(f"resources: no machine has {name!r}; known are type:NAME, zone:NAME")
