"""Errors in the content of graphs and in requests about them."""

from __future__ import annotations

from dataclasses import dataclass

from umberward.protocol.transactions import AbsentKey

NO_SUCH_GRAPH = "no such graph"


class GraphRejectedError(Exception):
    """A request about a graph is rejected; the error text is sent to the user."""

    def __init__(self, status: int, text: str) -> None:
        """Create an error that is answered with the HTTP status code `status`."""
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class AbsentGraph:
    """No such graph was accepted: it has no live record, and then no past one either.

    `GraphReader` alone makes it, from two answered reads in this order.
    """

    live_record: AbsentKey
    past_record: AbsentKey


class UnknownGraphError(GraphRejectedError):
    """No such graph was accepted."""

    def __init__(self, absent: AbsentGraph) -> None:
        """`absent`: the proof."""
        super().__init__(404, NO_SUCH_GRAPH)
        self.absent = absent


class InvalidGraphNameError(GraphRejectedError):
    """The name in a request's path is none that a graph can have."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(404, NO_SUCH_GRAPH)


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
